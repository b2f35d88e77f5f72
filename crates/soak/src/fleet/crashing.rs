//! Requests that crash the servers that begin to run them and are sent again and again to
//! all boxes, and servers that replace the crashed ones.

use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::Run;
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::Client;

use super::servers::Backend;
use super::Fleet;
use crate::ledger::{Request, Traffic};
use crate::misuse::Manner;
use crate::plan;
use crate::proxy::Impairment;
use crate::sync::lock;

/// Time between two requests of the same content.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two checks for crashed servers.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the crash of a server until another one replaces it.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1_000);
/// Kinds of these requests; each such fault uses the next one.
const REQUEST_KINDS: [Traffic; 4] = [
    Traffic::Once,
    Traffic::Repeatable,
    Traffic::Single,
    Traffic::Resumable,
];

/// Kinds of requests with a part that crashes servers.
const PART_KINDS: [Traffic; 2] = [Traffic::Single, Traffic::Resumable];

impl Fleet {
    /// Sends a request that crashes servers to the boxes in turn for this long.
    pub(super) async fn send_crashing_request(
        &self,
        number: usize,
        lasts: Duration,
    ) -> eyre::Result<()> {
        let content = format!("guilty-{number}");
        lock(&self.crashing_contents).push(content.clone().into_bytes());
        for backend in self.backends() {
            backend.server.end_on(content.as_bytes());
        }
        let sent = async {
            self.send_repeatedly(&content, REQUEST_KINDS[number % REQUEST_KINDS.len()], lasts)
                .await;
            // Time for the last crashed servers to be replaced as well.
            Timer::after(REPLACEMENT_DELAY + SEND_INTERVAL).await;
            Ok(())
        };
        sent.or(self.replace_crashed()).await
    }

    /// Sends requests with a part in their prompts that crashes servers to the boxes in turn
    /// for this long.
    pub(super) async fn send_crashing_part(&self, part: u64, lasts: Duration) -> eyre::Result<()> {
        lock(&self.crashing_parts).push(part);
        for backend in self.backends() {
            backend.server.end_on_part(part);
        }
        let request = |number: usize| Request {
            id: format!("part-{part:x}-{number}"),
            crashing_part: Some(part),
            ..self.request(number, PART_KINDS[number % PART_KINDS.len()])
        };
        let sent = async {
            self.send_each(request, lasts).await;
            // Time for the last crashed servers to be replaced as well.
            Timer::after(REPLACEMENT_DELAY + SEND_INTERVAL).await;
            Ok(())
        };
        sent.or(self.replace_crashed()).await
    }

    async fn send_repeatedly(&self, content: &str, traffic: Traffic, lasts: Duration) {
        let request = |number: usize| Request {
            id: format!("{content}-{number}"),
            content: Some(content.into()),
            ..self.request(number, traffic)
        };
        self.send_each(request, lasts).await;
    }

    /// The request of this number, sent to the boxes in turn; its id is to be set.
    pub(super) fn request(&self, number: usize, traffic: Traffic) -> Request {
        Request {
            id: String::new(),
            traffic,
            content: None,
            crashing_part: None,
            takes_up: None,
            manner: Manner::Usual,
            box_index: number % self.box_count(),
            key: None,
            sent: Instant::now(),
            ended: None,
            answer: None,
        }
    }

    /// Sends one request after the other for this long.
    async fn send_each(&self, request: impl Fn(usize) -> Request, lasts: Duration) {
        let start = Instant::now();
        for number in 0.. {
            if start.elapsed() > lasts {
                return;
            }
            let request = request(number);
            let mut call = Call::new("POST", HOST, &request.target(), &request.id);
            call = call.body(request.body()).leaving(plan::CLIENT_TIMEOUT);
            if let Some(part) = request.crashing_part {
                call = call.with(names::PROMPT, &plan::prompt(&[part], number as u64));
            }
            let address = self.client_address(request.box_index);
            let number_in_ledger = self.ledger.record_sent(request);
            let answer = Client::once(address, &call).await;
            self.ledger.record_ended(number_in_ledger, answer.ok());
            Timer::after(SEND_INTERVAL).await;
        }
    }

    /// Replaces each server that crashed under such a request. Returns only with an error.
    async fn replace_crashed(&self) -> eyre::Result<()> {
        loop {
            Timer::after(POLL_INTERVAL).await;
            for backend in self.backends() {
                if !self.crashed_on_content(&backend) {
                    continue;
                }
                // First the open connections are reset, and in the next round the listener
                // is closed.
                if !backend.proxy.has(Impairment::Reset) {
                    backend.proxy.impair(Impairment::Reset);
                    continue;
                }
                backend.proxy.close();
                let crashed = backend.server.crashed();
                let is_due = crashed.is_some_and(|at| at.elapsed() > REPLACEMENT_DELAY);
                let id = backend.server.settings().id.clone();
                if is_due && lock(&self.replaced_servers).insert(id) {
                    self.withdraw(&backend.server);
                    self.add_server(&backend.server.settings().service)?;
                }
            }
        }
    }

    /// Whether a server crashed while it ran a request that crashes servers.
    fn crashed_on_content(&self, backend: &Backend) -> bool {
        if !backend.server.is_crashed() {
            return false;
        }
        let crashing_contents = lock(&self.crashing_contents).clone();
        let crashing_parts = lock(&self.crashing_parts).clone();
        let holds_part = |run: &Run| {
            let prompt = run.field(names::PROMPT).unwrap_or_default();
            let held = |part: &u64| format!("{part:x}:");
            let mut parts = crashing_parts.iter().map(held);
            parts.any(|part| prompt.split(',').any(|it| it.starts_with(&part)))
        };
        let runs = backend.server.runs();
        let mut under = runs.iter().filter(|run| run.is_open());
        under.any(|run| {
            let body = run.body.as_ref();
            body.is_some_and(|body| crashing_contents.contains(body)) || holds_part(run)
        })
    }
}
