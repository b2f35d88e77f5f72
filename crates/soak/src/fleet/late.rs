//! Planned stops with requests that are whole only late in the grace period.

use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use smol::{Task, Timer};
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::{names, Client};

use super::steps::StopClock;
use super::Fleet;
use crate::ledger::{Fact, Request, Traffic};
use crate::misuse::Manner;
use crate::{bound, plan};

/// Interval between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of clients that send such requests.
const CLIENTS: usize = 24;
/// Time that they have for opening connections before the stop.
const LEAD: Duration = Duration::from_millis(200);
/// Time from the stop until they send a head, in ms: as long as boxes accept requests.
const HEAD_MS: Range<u64> = 0..2_900;
/// Time from the head until the body, in ms.
const BODY_MS: Range<u64> = 300..5_500;
/// How long servers work on the requests, in ms.
const WORK_MS: [u64; 6] = [20, 100, 1_000, 2_000, 3_000, 4_000];
/// Their kinds.
const KINDS: [Traffic; 5] = [
    Traffic::Once,
    Traffic::Once,
    Traffic::Repeatable,
    Traffic::Single,
    Traffic::Resumable,
];

/// A request that is sent beside a stop; times are from the signal on.
#[derive(Debug, Clone, Copy)]
struct Late {
    traffic: Traffic,
    head: Duration,
    /// Time from the head until the body.
    body: Duration,
    work_ms: u64,
    /// Whether its connection is opened before the stop.
    is_opened_before: bool,
}

impl Late {
    fn new(rng: &mut ChaCha8Rng) -> Self {
        Self {
            traffic: *KINDS.choose(rng).unwrap_or(&Traffic::Once),
            head: Duration::from_millis(rng.random_range(HEAD_MS)),
            body: Duration::from_millis(rng.random_range(BODY_MS)),
            work_ms: *WORK_MS.choose(rng).unwrap_or(&0),
            is_opened_before: rng.random_bool(0.5),
        }
    }
}

impl Fleet {
    /// Stops a box by SIGTERM and starts it again after a pause, beside requests whose bodies
    /// come late. The seed determines them.
    pub(super) async fn stop_late(
        self: &Arc<Self>,
        box_index: usize,
        seed: u64,
        pause: Duration,
    ) -> eyre::Result<()> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let stop = Instant::now() + LEAD;
        let clients = (0..CLIENTS).map(|number| {
            let late = Late::new(&mut rng);
            let id = format!("late-{seed:x}-{number}");
            let fleet = self.clone();
            smol::spawn(async move { fleet.send_late(box_index, id, late, stop).await })
        });
        let clients: Vec<Task<()>> = clients.collect();
        Timer::at(stop).await;
        self.restart(box_index, Signal::TERM, pause, StopClock::Running)
            .await?;
        for client in clients {
            client.await;
        }
        Ok(())
    }

    /// Waits until the process of a box has exited; kills it if it has run for too long.
    pub(super) async fn wait_for_late_exit(&self, box_index: usize) -> eyre::Result<()> {
        let relay_box = &self.boxes[box_index];
        let waited_before = relay_box.run_queue_wait().unwrap_or_default();
        let mut waited = Duration::ZERO;
        let mut ran = Duration::ZERO;
        let mut killed = false;
        while !relay_box.has_exited()? {
            if !killed && ran.saturating_sub(waited) > bound::STOP_TIMEOUT {
                killed = true;
                self.ledger
                    .record_fact(Fact::Died(box_index, "only by SIGKILL".into()));
                relay_box.signal(Signal::KILL)?;
            }
            let poll = Instant::now();
            Timer::after(POLL_INTERVAL).await;
            if !relay_box.is_stopped() {
                ran += poll.elapsed();
            }
            if let Some(total) = relay_box.run_queue_wait() {
                waited = total.saturating_sub(waited_before);
            }
        }
        Ok(())
    }

    async fn send_late(&self, box_index: usize, id: String, late: Late, stop: Instant) {
        let address = self.client_address(box_index);
        if !late.is_opened_before {
            Timer::at(stop + late.head).await;
        }
        let Ok(mut client) = Client::open(address).await else {
            return;
        };
        Timer::at(stop + late.head).await;
        let deadline = plan::LATE_DEADLINE.as_millis().to_string();
        let mut call = Call::new("POST", HOST, &late.traffic.target(&id), &id)
            .body(crate::ledger::BODY)
            .with(names::DEADLINE, &deadline)
            .with(names::WORK, &late.work_ms.to_string())
            .leaving(plan::LATE_CLIENT_TIMEOUT);
        call.pause = late.body;
        let number = self.ledger.record_sent(Request {
            id,
            manner: Manner::Late(late.body),
            ..self.request(box_index, late.traffic)
        });
        let sent = Instant::now();
        let answer = client.call(&call).await;
        // The call also pauses after the body, which may last longer than the answer.
        self.ledger
            .record_ended_at(sent + answer.elapsed, number, Some(answer));
    }
}
