//! A watch: one answer that does not end, with a line for each change.

use std::pin::Pin;
use std::time::Duration;

use futures_lite::io::{AsyncBufReadExt, Lines};
use futures_lite::{AsyncBufRead, StreamExt};
use serde_json::{json, Value};
use tidepier_core::store::{self, Event, Failure, Read, Revision, Scope};
use tidepier_http::client::{self as http, Call};
use tidepier_http::server::within;

use super::format::{encode, end_of, Line};
use super::{count, Client};

type Open = Lines<Pin<Box<dyn AsyncBufRead + Send>>>;

/// A running watch.
pub struct Watch {
    client: Client,
    /// What is watched, as the gateway takes it.
    request: Value,
    /// Up to where the changes are known.
    after: Revision,
    /// The answer, once it has been asked for.
    open: Option<Open>,
}

impl Watch {
    pub(super) fn new(client: Client, scope: Scope<'_>, after: Revision) -> Self {
        let from = (after.number() + 1).to_string();
        let request = match scope {
            Scope::Key(key) => json!({ "key": encode(key), "start_revision": from }),
            Scope::Prefix(prefix) => json!({
                "key": encode(prefix),
                "range_end": end_of(prefix),
                "start_revision": from,
            }),
        };
        Self {
            client,
            request: json!({ "create_request": request }),
            after,
            open: None,
        }
    }

    async fn lines(&mut self) -> Result<&mut Open, Failure> {
        let lines = match self.open.take() {
            Some(lines) => lines,
            None => start(&self.client, &self.request).await?,
        };
        Ok(self.open.insert(lines))
    }

    async fn changes(&mut self) -> Result<Vec<Event>, Failure> {
        loop {
            let line = match self.lines().await?.next().await {
                Some(line) => line.map_err(Failure::NoAnswer)?,
                None => {
                    let ended = std::io::ErrorKind::UnexpectedEof.into();
                    return Err(Failure::NoAnswer(ended));
                }
            };
            if line.trim().is_empty() {
                continue;
            }
            let line: Line = serde_json::from_str(&line)
                .map_err(|error| Failure::Malformed(error.to_string()))?;
            let changes = line.result;
            if changes.compact_revision.0 != 0 {
                return Err(Failure::Compacted);
            }
            if changes.events.is_empty() {
                continue;
            }
            let events = changes.events.into_iter().map(|change| change.event());
            let events: Vec<Event> = events.collect::<Result<_, _>>()?;
            let newest = events.iter().map(Event::revision).max();
            let seen = newest.max(Some(changes.header.revision.revision()));
            self.after = seen.map_or(self.after, |seen| seen.max(self.after));
            return Ok(events);
        }
    }
}

impl store::Watch for Watch {
    async fn next(&mut self, wait: Duration) -> Result<Read<Vec<Event>>, Failure> {
        let value = within(wait, self.changes())
            .await
            .unwrap_or(Ok(Vec::new()))?;
        Ok(Read {
            value,
            revision: self.after,
        })
    }
}

async fn start(client: &Client, request: &Value) -> Result<Open, Failure> {
    count("watch");
    let body = request.to_string().into_bytes();
    let call = Call::post("/v3/watch", body).once().counted("store");
    let answer = client.pool.send(client.address, &call).await;
    let answer = answer.map_err(|failure| match failure {
        // Without a repeat, nothing was sent before.
        http::Failure::Unsent(error) => Failure::NotSent(error),
        http::Failure::Unknown(error) => Failure::NoAnswer(error),
    })?;
    let reader: Pin<Box<dyn AsyncBufRead + Send>> = Box::pin(answer.reader());
    Ok(reader.lines())
}
