//! Requests that end the servers that begin to run them, sent again and again to all
//! boxes, and servers that take the place of those.

use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::Client;

use super::servers::Backend;
use super::Fleet;
use crate::ledger::{Attempt, Traffic};
use crate::plan;
use crate::sync::lock;
use crate::way::Harm;

/// Pause between two sendings.
const PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks for servers that ended.
const LOOK: Duration = Duration::from_millis(20);
/// Time after which another server takes the place of one that ended.
const BACK_TIME: Duration = Duration::from_millis(1_000);
/// The kinds that such requests are of, one after the other.
const KINDS: [Traffic; 4] = [
    Traffic::Once,
    Traffic::Repeatable,
    Traffic::Single,
    Traffic::Resumable,
];

impl Fleet {
    /// Sends a request that ends its servers to the boxes in turn for so long.
    pub(super) async fn insist(&self, number: usize, lasts: Duration) -> eyre::Result<()> {
        let content = format!("guilty-{number}");
        lock(&self.guilty).push(content.clone().into_bytes());
        for backend in self.backends() {
            backend.server.end_on(content.as_bytes());
        }
        let sent = async {
            self.send_often(&content, KINDS[number % KINDS.len()], lasts)
                .await;
            // The last ones that ended are replaced, too.
            Timer::after(BACK_TIME + PAUSE).await;
            Ok(())
        };
        sent.or(self.replace_ended()).await
    }

    async fn send_often(&self, content: &str, traffic: Traffic, lasts: Duration) {
        let start = Instant::now();
        for number in 0.. {
            if start.elapsed() > lasts {
                return;
            }
            let attempt = Attempt {
                id: format!("{content}-{number}"),
                traffic,
                asks: Some(content.into()),
                place: number % self.boxes(),
                key: None,
                sent: Instant::now(),
                ended: None,
                answer: None,
            };
            let call = Call::new("POST", HOST, &attempt.target(), &attempt.id);
            let call = call.body(attempt.body()).leaving(plan::LEAVE);
            let front = self.front(attempt.place);
            let noted = self.ledger.sent(attempt);
            let answer = Client::once(front, &call).await;
            self.ledger.ended(noted, answer.ok());
            Timer::after(PAUSE).await;
        }
    }

    /// Has another server take the place of each that ended under such a request;
    /// does not end well.
    async fn replace_ended(&self) -> eyre::Result<()> {
        loop {
            Timer::after(LOOK).await;
            for backend in self.backends() {
                if !self.ended_guilty(&backend) {
                    continue;
                }
                // Nobody listens there any more, and what was open is reset.
                if !backend.way.is(Harm::Reset) {
                    backend.way.harm(Harm::Reset);
                    continue;
                }
                backend.way.close();
                let over = backend.server.crashed();
                let over = over.is_some_and(|at| at.elapsed() > BACK_TIME);
                let id = backend.server.settings().id.clone();
                if over && lock(&self.replaced).insert(id) {
                    self.withdraw(&backend.server);
                    self.add_server(&backend.server.settings().service)?;
                }
            }
        }
    }

    /// Whether a server ended under a request that ends its servers.
    fn ended_guilty(&self, backend: &Backend) -> bool {
        if !backend.server.is_crashed() {
            return false;
        }
        let guilty = lock(&self.guilty).clone();
        let runs = backend.server.runs();
        let mut under = runs.iter().filter(|run| run.is_open());
        under.any(|run| run.body.as_ref().is_some_and(|body| guilty.contains(body)))
    }
}
