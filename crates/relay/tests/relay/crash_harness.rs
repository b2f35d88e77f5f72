//! A fleet whose servers crash under some requests, with a replacement for each that
//! crashed.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use eyre::eyre;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Server};
use tidepier_relay_standin::site::{Site, HOST};

use crate::box_harness::{site_with_keys, TestBox};
use crate::harness::{self, ms, wait_until, Executor, Result};
use crate::shared;

/// Crashes under a request from which it counts as their cause.
pub(crate) const CRASHES: usize = 3;
/// Time after the third crash from which all boxes know of it.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_millis(3_000);
/// Time after which another server replaces one that crashed.
const BACK_TIME: Duration = Duration::from_millis(700);
/// Servers at the start.
const SERVERS: u32 = 8;

/// Servers, each of which is replaced when it crashes.
pub(crate) struct Servers {
    all: RefCell<Vec<Server>>,
    started: Cell<u32>,
    crashes_on: Vec<Vec<u8>>,
    crashes_on_parts: RefCell<Vec<u64>>,
}

impl Servers {
    pub(crate) fn start(site: &Site, count: u32, crashes_on: &[&[u8]]) -> Result<Self> {
        let servers = Self {
            all: RefCell::default(),
            started: Cell::new(0),
            crashes_on: crashes_on.iter().map(|body| body.to_vec()).collect(),
            crashes_on_parts: RefCell::default(),
        };
        for _ in 0..count {
            servers.add(site)?;
        }
        Ok(servers)
    }

    fn add(&self, site: &Site) -> Result {
        let number = self.started.get() + 1;
        self.started.set(number);
        let server = site.server(server::Settings {
            hall: format!("hall-{}", number % 2 + 1),
            work: ms(40),
            ..harness::server_settings(number)
        })?;
        for body in &self.crashes_on {
            server.end_on(body);
        }
        for part in self.crashes_on_parts.borrow().iter() {
            server.end_on_part(*part);
        }
        self.all.borrow_mut().push(server);
        Ok(())
    }

    /// From now on each server crashes that begins to answer a request with this part.
    pub(crate) fn crash_on_part(&self, part: u64) {
        self.crashes_on_parts.borrow_mut().push(part);
        self.all.borrow().iter().for_each(|it| it.end_on_part(part));
    }

    /// Replaces servers that crashed; does not return.
    pub(crate) async fn replace(&self, site: &Site) -> Result<std::convert::Infallible> {
        let mut replaced = 0;
        loop {
            Timer::after(ms(20)).await;
            let is_due =
                |server: &&Server| server.crashed().is_some_and(|at| at.elapsed() > BACK_TIME);
            let due = {
                let all = self.all.borrow();
                all.iter().filter(is_due).for_each(|server| {
                    site.withdraw(server);
                });
                all.iter().filter(is_due).count()
            };
            for _ in replaced..due {
                self.add(site)?;
            }
            replaced = due;
        }
    }

    /// Crashes `count` live servers, whatever they run.
    pub(crate) fn crash_some(&self, count: usize) {
        let all = self.all.borrow();
        let living = all.iter().filter(|server| !server.is_crashed());
        living.take(count).for_each(Server::crash);
    }

    /// From now on no request crashes a server.
    pub(crate) fn mend(&self) {
        self.all.borrow().iter().for_each(Server::heal);
    }

    /// When requests with this body reached a server, in order.
    pub(crate) fn arrivals(&self, body: &[u8]) -> Vec<std::time::Instant> {
        let all = self.all.borrow();
        let runs = all.iter().flat_map(Server::runs);
        let these = runs.filter(|run| run.body.as_deref() == Some(body));
        let mut sent: Vec<std::time::Instant> = these.map(|run| run.arrived).collect();
        sent.sort();
        sent
    }

    /// When servers crashed, in order.
    pub(crate) fn all_crashes(&self) -> Vec<std::time::Instant> {
        let all = self.all.borrow();
        let mut crashed: Vec<_> = all.iter().filter_map(Server::crashed).collect();
        crashed.sort();
        crashed
    }

    /// When requests with this part in their prompts reached a server, in order.
    pub(crate) fn arrivals_of_part(&self, part: u64) -> Vec<std::time::Instant> {
        let all = self.all.borrow();
        let runs = all.iter().flat_map(Server::runs);
        let held = format!("{part:x}:");
        let these = runs.filter(|run| {
            let parts = run.field(names::PROMPT).unwrap_or_default();
            parts.split(',').any(|it| it.trim().starts_with(&held))
        });
        let mut sent: Vec<_> = these.map(|run| run.arrived).collect();
        sent.sort();
        sent
    }

    /// When servers crashed that were executing a request with this body, in order.
    pub(crate) fn crashes(&self, body: &[u8]) -> Vec<std::time::Instant> {
        let all = self.all.borrow();
        let under = |server: &&Server| {
            let runs = server.runs();
            let mut under = runs.iter().filter(|run| run.is_open());
            under.any(|run| run.body.as_deref() == Some(body))
        };
        let ended = all.iter().filter(under).filter_map(Server::crashed);
        let mut ended: Vec<std::time::Instant> = ended.collect();
        ended.sort();
        ended
    }

    /// Number of requests with this body that reached a server after all boxes have to
    /// know of its crashes.
    pub(crate) fn late(&self, body: &[u8]) -> usize {
        let Some(third) = self.crashes(body).get(CRASHES - 1).copied() else {
            return 0;
        };
        let sent = self.arrivals(body);
        sent.iter().filter(|at| **at > third + GRACE_PERIOD).count()
    }
}

/// A request of a client that closes its connection after 4.5 s.
pub(crate) fn request(target: &str, attempt: &str, body: &[u8]) -> Call {
    Call::new("POST", HOST, target, attempt)
        .body(body)
        .leaving(ms(4_500))
}

/// Sends a request to the boxes in turn for `time`, each time as a new attempt.
pub(crate) async fn send_repeatedly(
    test_boxes: &[TestBox],
    target: &str,
    body: &[u8],
    time: Duration,
) -> Result<Vec<Answer>> {
    let start = Instant::now();
    let mut answers = Vec::new();
    for (number, test_box) in test_boxes.iter().cycle().enumerate() {
        if start.elapsed() > time {
            break;
        }
        let attempt = format!("{target}{}-{number}", body.len());
        answers.push(test_box.call(&request(target, &attempt, body)).await?);
        Timer::after(ms(150)).await;
    }
    Ok(answers)
}

/// A site with eight servers that crash under some bodies, and three boxes in two halls
/// that know them.
pub(crate) async fn fleet(
    executor: &Executor,
    crashes_on: &[&[u8]],
) -> Result<(Site, Servers, Vec<TestBox>)> {
    let site = site_with_keys()?;
    let servers = Servers::start(&site, SERVERS, crashes_on)?;
    let test_boxes = shared::halls(executor, &site).await?;
    wait_until("known", async || {
        let known = |it: &TestBox| it.router.relay().fleet.len() == SERVERS as usize;
        Ok(test_boxes.iter().all(known))
    })
    .await?;
    // Boxes that report a placement to each other have found their hubs.
    shared::ask_about(&test_boxes[1], 100).await?;
    shared::agreed(&test_boxes, 100).await?;
    Ok((site, servers, test_boxes))
}

/// Runs `test` while servers that crash are replaced.
pub(crate) async fn with_replacements<T>(
    servers: &Servers,
    site: &Site,
    test: impl std::future::Future<Output = Result<T>>,
) -> Result<T> {
    let replaced = async {
        servers.replace(site).await?;
        Err(eyre!("servers are no longer replaced"))
    };
    futures_lite::future::or(test, replaced).await
}
