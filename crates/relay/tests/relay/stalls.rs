//! Servers that stand still, and what boxes tell each other of them.

use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use smol::Task;
use tidepier_relay_standin::client::Answer;
use tidepier_relay_standin::server::{Fault, Server};
use tidepier_relay_standin::site::Site;

use crate::box_harness::{start_boxes, TestBox};
use crate::harness::{ms, post, run, server_settings, site, wait_until, Executor, Result};

/// Longest time until all boxes of a hall know that a server stands still, once two have
/// waited for it: the shortest long wait, and the messages between three boxes of a busy
/// machine.
const DETECTION_TIME: Duration = Duration::from_millis(700);
/// Longest time until a server that goes on gets requests again: the interval of health
/// checks, and as much for the same messages.
const RETURN_TIME: Duration = Duration::from_millis(1_200);

/// Longer than a box skips another one that did not answer.
const SKIP_TIME: Duration = Duration::from_millis(4_500);

/// A site with two servers, and some boxes of one hall.
struct Fleet {
    _site: Site,
    /// The server in the hall of the boxes, which they prefer, and one elsewhere.
    near: Server,
    far: Server,
    boxes: Vec<TestBox>,
}

impl Fleet {
    async fn start(executor: &Executor) -> Result<Self> {
        Self::with_boxes(executor, 3).await
    }

    async fn with_boxes(executor: &Executor, count: u32) -> Result<Self> {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        let boxes = start_boxes(executor, &site, count).await?;
        wait_until("all servers known", async || {
            Ok(boxes.iter().all(|it| it.knows(&near) && it.knows(&far)))
        })
        .await?;
        let fleet = Self {
            _site: site,
            near,
            far,
            boxes,
        };
        // Until the members have reported to their hub.
        for number in 0..30 {
            let sender = number % fleet.boxes.len();
            fleet.call(sender, &format!("first-{number}")).await?;
            smol::Timer::after(ms(50)).await;
        }
        Ok(fleet)
    }

    async fn call(&self, number: usize, attempt: &str) -> Result<Answer> {
        let answer = self.boxes[number].call(&post("/o/x", attempt)).await?;
        ensure!(answer.status == 200, "{attempt}: {answer:?}");
        Ok(answer)
    }

    /// Sends requests from a box until one waits at the near server.
    async fn wait_at_near(&self, executor: &Executor, number: usize) -> Result<Vec<Task<()>>> {
        let front = self.boxes[number].router.client_address();
        let mut clients = Vec::new();
        for count in 0..50 {
            let attempt = format!("waits-{number}-{count}");
            let call = post("/o/x", &attempt).leaving(ms(4_000));
            clients.push(executor.spawn(async move {
                // Nobody reads the answer.
                let _ = tidepier_relay_standin::Client::once(front, &call).await;
            }));
            smol::Timer::after(ms(20)).await;
            if self.backend(number)?.silence.waiting_since().is_some() {
                return Ok(clients);
            }
        }
        Err(eyre!("no request went to the near server"))
    }

    fn backend(&self, number: usize) -> Result<std::rc::Rc<tidepier_relay::fleet::Backend>> {
        let id = self.near.settings().id.parse()?;
        let known = self.boxes[number].router.relay().fleet.get(&id);
        known.ok_or_else(|| eyre!("{id} is not known"))
    }

    fn is_stalled(&self, number: usize) -> Result<bool> {
        let now = tidepier_clock::Instant::now();
        Ok(self.backend(number)?.is_stalled(now))
    }

    async fn wait_until_all(&self, are_stalled: bool, limit: Duration) -> Result {
        let start = Instant::now();
        loop {
            let stalled = (0..self.boxes.len()).map(|number| self.is_stalled(number));
            let stalled = stalled.collect::<Result<Vec<bool>>>()?;
            if stalled.iter().all(|it| *it == are_stalled) {
                return Ok(());
            }
            ensure!(start.elapsed() < limit, "{stalled:?} after {limit:?}");
            smol::Timer::after(ms(5)).await;
        }
    }
}

/// Guards against a box that sends its own request to find out what others of its hall have
/// found out.
#[test]
fn a_box_learns_from_others_that_a_server_stands_still() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor).await?;
        fleet.near.dark(true);
        let _first = fleet.wait_at_near(&executor, 0).await?;
        let _second = fleet.wait_at_near(&executor, 1).await?;
        fleet.wait_until_all(true, DETECTION_TIME).await?;
        let before = fleet.far.runs().len();
        for number in 0..10 {
            fleet.call(2, &format!("elsewhere-{number}")).await?;
        }
        let more = fleet.far.runs().len() - before;
        ensure!(more >= 10, "{more} of ten went to the other server");
        Ok(())
    })
}

/// Guards against boxes that hear nothing of the others of their hall, as they report to the
/// hub over another box since the hub did not answer once.
#[test]
fn boxes_learn_of_it_also_over_another_one() -> Result {
    run(async |executor| {
        let fleet = Fleet::with_boxes(&executor, 4).await?;
        fleet.boxes[0].freeze(true);
        smol::Timer::after(ms(1_500)).await;
        fleet.boxes[0].freeze(false);
        smol::Timer::after(SKIP_TIME).await;
        let is_hub = |number: usize| fleet.boxes[number].router.relay().traffic.is_hub();
        ensure!(
            is_hub(0) && !is_hub(1),
            "the first box is not the hub again"
        );
        fleet.near.dark(true);
        // The second box reports to the first one, the others to the second one.
        let _first = fleet.wait_at_near(&executor, 2).await?;
        let _second = fleet.wait_at_near(&executor, 3).await?;
        fleet.wait_until_all(true, DETECTION_TIME).await?;
        fleet.near.dark(false);
        fleet.wait_until_all(false, RETURN_TIME).await
    })
}

/// Guards against a server that gets nothing after it has gone on, as nothing is sent that
/// would show it.
#[test]
fn a_server_that_goes_on_gets_requests_again() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor).await?;
        fleet.near.dark(true);
        let first = fleet.wait_at_near(&executor, 0).await?;
        let second = fleet.wait_at_near(&executor, 1).await?;
        fleet.wait_until_all(true, DETECTION_TIME).await?;
        // The clients leave, so that nothing waits there any more.
        drop((first, second));
        smol::Timer::after(ms(300)).await;
        fleet.near.dark(false);
        fleet.wait_until_all(false, RETURN_TIME).await?;
        let before = fleet.near.runs().len();
        for number in 0..60 {
            fleet.call(number % 3, &format!("again-{number}")).await?;
        }
        ensure!(fleet.near.runs().len() > before, "it got none");
        Ok(())
    })
}

/// Guards against health checks that are believed: a server may say that it is ill, or that it is
/// well, and be neither.
#[test]
fn what_a_health_check_says_does_not_matter() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor).await?;
        fleet.near.unhealthy(true);
        fleet.near.dark(true);
        let _first = fleet.wait_at_near(&executor, 0).await?;
        let _second = fleet.wait_at_near(&executor, 1).await?;
        fleet.wait_until_all(true, DETECTION_TIME).await?;
        fleet.near.dark(false);
        fleet.wait_until_all(false, RETURN_TIME).await
    })
}

/// Guards against requests that are refused while a server that stands still is the only one.
#[test]
fn the_only_server_gets_requests_though_it_stands_still() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor).await?;
        fleet.near.dark(true);
        let _first = fleet.wait_at_near(&executor, 0).await?;
        let _second = fleet.wait_at_near(&executor, 1).await?;
        fleet.wait_until_all(true, DETECTION_TIME).await?;
        fleet.far.fault(Fault::Shed, u32::MAX);
        let near = &fleet.near;
        let (answer, ()) = futures_lite::future::zip(fleet.call(2, "waits-for-it"), async {
            smol::Timer::after(ms(300)).await;
            near.dark(false);
        })
        .await;
        answer?;
        ensure!(near.ran("waits-for-it") == 1, "it ran elsewhere");
        Ok(())
    })
}

/// Guards against boxes that each send a server requests that has not answered anybody: no
/// message could stop them before they have.
#[test]
fn a_server_that_has_answered_nobody_is_asked_before_a_request() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        let far = site.server(server_settings(2))?;
        near.dark(true);
        let boxes = start_boxes(&executor, &site, 1).await?;
        wait_until("all servers known", async || {
            Ok(boxes[0].knows(&near) && boxes[0].knows(&far))
        })
        .await?;
        let id = near.settings().id.parse()?;
        let backend = boxes[0].router.relay().fleet.get(&id);
        let backend = backend.ok_or_else(|| eyre!("{id} is not known"))?;
        for number in 0..20 {
            let attempt = format!("first-{number}");
            let answer = boxes[0].call(&post("/o/x", &attempt)).await?;
            ensure!(answer.status == 200, "{answer:?}");
            ensure!(far.ran(&attempt) == 1, "{attempt} ran elsewhere");
            ensure!(
                backend.silence.waiting_since().is_none(),
                "{attempt} was sent"
            );
        }
        Ok(())
    })
}

/// Guards against a sound server that all boxes of a hall avoid, as two requests of two boxes
/// take long there.
#[test]
fn a_server_that_answers_a_health_check_is_not_announced() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor).await?;
        fleet.near.fault(Fault::Hang, 2);
        let _first = fleet.wait_at_near(&executor, 0).await?;
        let _second = fleet.wait_at_near(&executor, 1).await?;
        let start = Instant::now();
        while start.elapsed() < DETECTION_TIME {
            ensure!(!fleet.is_stalled(2)?, "after {:?}", start.elapsed());
            smol::Timer::after(ms(5)).await;
        }
        Ok(())
    })
}
