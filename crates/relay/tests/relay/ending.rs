//! A fleet whose servers end under some requests, and another one comes for each.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use eyre::eyre;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::server::{self, Server};
use tidepier_relay_standin::site::{Site, HOST};

use crate::box_harness::{site_with_keys, TestBox};
use crate::harness::{self, ms, wait_until, Executor, Result};
use crate::shared;

/// Servers that end under a request from which it counts as their end's cause.
pub(crate) const ENDS: usize = 3;
/// Time after the third end from which all boxes know.
pub(crate) const CONTACT: Duration = Duration::from_millis(3_000);
/// Time after which another server takes the place of one that ended.
const BACK_TIME: Duration = Duration::from_millis(700);
/// Servers at the start.
const SERVERS: u32 = 8;

/// Servers of which another one comes for each that ends.
pub(crate) struct Servers {
    all: RefCell<Vec<Server>>,
    started: Cell<u32>,
    ends_on: Vec<Vec<u8>>,
}

impl Servers {
    pub(crate) fn start(site: &Site, count: u32, ends_on: &[&[u8]]) -> Result<Self> {
        let servers = Self {
            all: RefCell::default(),
            started: Cell::new(0),
            ends_on: ends_on.iter().map(|body| body.to_vec()).collect(),
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
        for body in &self.ends_on {
            server.end_on(body);
        }
        self.all.borrow_mut().push(server);
        Ok(())
    }

    /// Replaces servers that ended; does not end.
    pub(crate) async fn replace(&self, site: &Site) -> Result<std::convert::Infallible> {
        let mut replaced = 0;
        loop {
            Timer::after(ms(20)).await;
            let over =
                |server: &&Server| server.crashed().is_some_and(|at| at.elapsed() > BACK_TIME);
            let due = {
                let all = self.all.borrow();
                all.iter().filter(over).for_each(|server| {
                    site.withdraw(server);
                });
                all.iter().filter(over).count()
            };
            for _ in replaced..due {
                self.add(site)?;
            }
            replaced = due;
        }
    }

    /// Ends so many servers that live, for no request's sake.
    pub(crate) fn end_some(&self, count: usize) {
        let all = self.all.borrow();
        let living = all.iter().filter(|server| !server.is_crashed());
        living.take(count).for_each(Server::crash);
    }

    /// From now on no request ends a server.
    pub(crate) fn mend(&self) {
        self.all.borrow().iter().for_each(Server::heal);
    }

    /// When requests with a body reached a server, in order.
    pub(crate) fn sendings(&self, body: &[u8]) -> Vec<std::time::Instant> {
        let all = self.all.borrow();
        let runs = all.iter().flat_map(Server::runs);
        let these = runs.filter(|run| run.body.as_deref() == Some(body));
        let mut sent: Vec<std::time::Instant> = these.map(|run| run.arrived).collect();
        sent.sort();
        sent
    }

    /// When servers ended that ran a request with a body, in order.
    pub(crate) fn ends(&self, body: &[u8]) -> Vec<std::time::Instant> {
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

    /// Sendings of a body that come later than all boxes know of its ends.
    pub(crate) fn late(&self, body: &[u8]) -> usize {
        let Some(third) = self.ends(body).get(ENDS - 1).copied() else {
            return 0;
        };
        let sent = self.sendings(body);
        sent.iter().filter(|at| **at > third + CONTACT).count()
    }
}

/// A request, whichever attempt.
pub(crate) fn asking(target: &str, attempt: &str, body: &[u8]) -> Call {
    Call::new("POST", HOST, target, attempt)
        .body(body)
        .leaving(ms(4_500))
}

/// Sends a request to the boxes in turn for so long, each time as a new attempt.
pub(crate) async fn insist(
    machines: &[TestBox],
    target: &str,
    body: &[u8],
    time: Duration,
) -> Result<Vec<Answer>> {
    let start = Instant::now();
    let mut answers = Vec::new();
    for (number, machine) in machines.iter().cycle().enumerate() {
        if start.elapsed() > time {
            break;
        }
        let attempt = format!("{target}{}-{number}", body.len());
        answers.push(machine.call(&asking(target, &attempt, body)).await?);
        Timer::after(ms(150)).await;
    }
    Ok(answers)
}

/// A site with eight servers that end on some bodies, and three boxes in two halls
/// that know them.
pub(crate) async fn fleet(
    executor: &Executor,
    ends_on: &[&[u8]],
) -> Result<(Site, Servers, Vec<TestBox>)> {
    let site = site_with_keys()?;
    let servers = Servers::start(&site, SERVERS, ends_on)?;
    let machines = shared::halls(executor, &site).await?;
    wait_until("known", async || {
        let known = |it: &TestBox| it.router.relay().fleet.len() == SERVERS as usize;
        Ok(machines.iter().all(known))
    })
    .await?;
    // Boxes that tell each other of a placement have found their hubs.
    shared::ask_about(&machines[1], 100).await?;
    shared::agreed(&machines, 100).await?;
    Ok((site, servers, machines))
}

/// Runs `test` while another server comes for each that ends.
pub(crate) async fn beside<T>(
    servers: &Servers,
    site: &Site,
    test: impl std::future::Future<Output = Result<T>>,
) -> Result<T> {
    let replaced = async {
        servers.replace(site).await?;
        Err(eyre!("no longer replaced"))
    };
    futures_lite::future::or(test, replaced).await
}
