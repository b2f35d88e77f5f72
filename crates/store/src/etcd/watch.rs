//! A watch: one answer that does not end, with a line of JSON for each set of
//! changes.

use std::pin::Pin;
use std::time::Duration;

use futures_lite::io::{AsyncBufReadExt, Lines};
use futures_lite::{AsyncBufRead, StreamExt};
use serde_json::{json, Value};
use tidepier_core::store::{self, Event, Failure, Read, Revision, Scope};
use tidepier_http::client::{self as http, Call};
use tidepier_http::server::within;

use super::format::{encode, range_end, Line};
use super::{count_call, Client};

type Stream = Lines<Pin<Box<dyn AsyncBufRead + Send>>>;

/// A running watch.
pub struct Watch {
    client: Client,
    /// The request that starts the watch, in the gateway's format.
    request: Value,
    /// The revision up to which the changes are known.
    after: Revision,
    /// The lines of the answer, once the request has been sent.
    stream: Option<Stream>,
}

impl Watch {
    pub(super) fn new(client: Client, scope: Scope<'_>, after: Revision) -> Self {
        let from = (after.number() + 1).to_string();
        let request = match scope {
            Scope::Key(key) => json!({ "key": encode(key), "start_revision": from }),
            Scope::Prefix(prefix) => json!({
                "key": encode(prefix),
                "range_end": range_end(prefix),
                "start_revision": from,
            }),
        };
        Self {
            client,
            request: json!({ "create_request": request }),
            after,
            stream: None,
        }
    }

    async fn lines(&mut self) -> Result<&mut Stream, Failure> {
        let lines = match self.stream.take() {
            Some(lines) => lines,
            None => start(&self.client, &self.request).await?,
        };
        Ok(self.stream.insert(lines))
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
            let known = newest.max(Some(changes.header.revision.revision()));
            self.after = known.map_or(self.after, |known| known.max(self.after));
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

async fn start(client: &Client, request: &Value) -> Result<Stream, Failure> {
    count_call("watch");
    let body = request.to_string().into_bytes();
    let call = Call::post("/v3/watch", body).once().counted("store");
    let answer = client.pool.send(client.address, &call).await;
    let answer = answer.map_err(|failure| match failure {
        // The call is sent once without a retry, so nothing was sent before.
        http::Failure::Unsent(error) => Failure::NotSent(error),
        http::Failure::Unknown(error) => Failure::NoAnswer(error),
    })?;
    let reader: Pin<Box<dyn AsyncBufRead + Send>> = Box::pin(answer.reader());
    Ok(reader.lines())
}
