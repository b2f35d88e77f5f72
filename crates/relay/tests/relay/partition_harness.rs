//! Harness of boxes of which some are partitioned from all servers, while clients, the
//! store and the other boxes reach them.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::ensure;
use smol::{Task, Timer};
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server::{self, Events};
use tidepier_relay_standin::site::{Route, Site, HOST};
use tidepier_relay_standin::store::View;
use tidepier_relay_standin::{Client, Server};

use crate::box_harness::{self, address, start_boxes_in, Process, Proxy, TestBox, BOXES};
use crate::harness::{ms, server_settings, wait_until, Executor, Result};

/// Time after the beginning of a partition in which requests may fail, as the platform
/// states it.
pub(crate) const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Service of the routes with whole answers.
pub(crate) const PLAIN: &str = "plain";
/// Service of the routes with streams.
pub(crate) const STREAMS: &str = "streams";
/// Paths that are requested in turn: executed at most once, repeatable, a stream that
/// cannot be resumed, one that can.
const TARGETS: [&str; 4] = ["/o/x", "/r/x", "/u/x", "/s/x"];
/// Mean pause between two requests to one box.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Requests sent at once where idle connections must not suffice.
pub(crate) const BURST: u32 = 12;

/// Boxes and servers.
pub(crate) struct Partitioned {
    pub(crate) site: Site,
    pub(crate) servers: Vec<Server>,
    pub(crate) boxes: Vec<TestBox>,
    /// The view of the store of a box behind proxies.
    _view: Option<View>,
    executor: Executor,
}

/// First tries at one box.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Tries {
    pub(crate) sent: usize,
    pub(crate) served: usize,
}

impl Tries {
    /// Checks that no more than one try in 50 failed.
    pub(crate) fn ensure_served(&self) -> Result {
        let failed = self.sent - self.served;
        ensure!(
            failed * 50 <= self.sent,
            "{failed} of {} first tries failed",
            self.sent
        );
        Ok(())
    }
}

fn site() -> Result<Site> {
    let site = Site::start()?;
    let stream = |resumable| Kind::Stream { resumable };
    site.declare(&[
        Route::new("/o/", Kind::AtMostOnce, PLAIN),
        Route::new("/r/", Kind::Repeatable, PLAIN),
        Route::new("/u/", stream(false), STREAMS),
        Route::new("/s/", stream(true), STREAMS),
    ]);
    Ok(site)
}

/// Settings of server `number` of a service in a hall.
pub(crate) fn settings_of(service: &str, number: u32, hall: &str) -> server::Settings {
    let events = (service == STREAMS).then_some(Events {
        count: 5,
        pause: ms(5),
    });
    server::Settings {
        id: format!("{service}-{number}"),
        service: service.into(),
        hall: hall.into(),
        events,
        ..server_settings(number)
    }
}

/// A request to one of the routes.
pub(crate) fn call(target: &str, attempt: &str) -> Call {
    Call::new("POST", HOST, target, attempt).body(b"question")
}

fn start_servers() -> Result<(Site, Vec<Server>)> {
    let site = site()?;
    let mut servers = Vec::new();
    for number in 1..=3 {
        for service in [PLAIN, STREAMS] {
            let hall = format!("hall-{}", number % 2 + 1);
            servers.push(site.server(settings_of(service, number, &hall))?);
        }
    }
    Ok((site, servers))
}

impl Partitioned {
    /// Starts six servers and boxes in the given halls, and waits until the boxes know each
    /// other and all servers.
    pub(crate) async fn start(executor: &Executor, halls: &[&str]) -> Result<Self> {
        let (site, servers) = start_servers()?;
        let boxes = start_boxes_in(executor, &site, halls).await?;
        let fleet = Self {
            site,
            servers,
            boxes,
            _view: None,
            executor: executor.clone(),
        };
        fleet.wait_until_known().await?;
        Ok(fleet)
    }

    /// Starts two boxes in halls of their own. The connections of the first one to servers
    /// pass through the returned proxies.
    pub(crate) async fn start_with_proxies(executor: &Executor) -> Result<(Self, Vec<Proxy>)> {
        let (site, servers) = start_servers()?;
        let (mut proxies, mut replaced) = (Vec::new(), Vec::new());
        for server in &servers {
            let proxy = Proxy::open(executor, server.address()).await?;
            replaced.push((server.address().to_string(), proxy.address().to_string()));
            proxies.push(proxy);
        }
        let view = site.store.view(replaced)?;
        let boxes = vec![
            TestBox::with_view(executor, &site, "box-0", "hall-1", view.address()).await?,
            TestBox::start(executor, &site, "box-1", "hall-2", 1_000).await?,
        ];
        let fleet = Self {
            site,
            servers,
            boxes,
            _view: Some(view),
            executor: executor.clone(),
        };
        fleet.wait_until_known().await?;
        Ok((fleet, proxies))
    }

    /// Starts one box, and before it another one in a process of its own.
    pub(crate) async fn start_with_process(executor: &Executor) -> Result<(Self, Process)> {
        let (site, servers) = start_servers()?;
        let peer = address();
        let settings = box_harness::settings(&site, "box-1", "hall-2", 1_000, peer);
        let process = Process::start(settings, peer)?;
        let registered = format!("{BOXES}hall-2/box-1");
        wait_until("registered", async || {
            Ok(site.store.value(&registered).is_some())
        })
        .await?;
        let boxes = vec![TestBox::start(executor, &site, "box-0", "hall-1", 5_000).await?];
        let fleet = Self {
            site,
            servers,
            boxes,
            _view: None,
            executor: executor.clone(),
        };
        fleet.wait_until_counted(2).await?;
        Ok((fleet, process))
    }

    /// Waits until the boxes know each other and all servers.
    async fn wait_until_known(&self) -> Result {
        self.wait_until_counted(self.boxes.len()).await
    }

    /// Waits until the boxes know all servers, and how many boxes there are.
    async fn wait_until_counted(&self, boxes: usize) -> Result {
        let all_known = |it: &TestBox| {
            let is_counted = it.router.relay().boxes() == boxes;
            it.is_ready() && is_counted && self.servers.iter().all(|server| it.knows(server))
        };
        wait_until("known", async || Ok(self.boxes.iter().all(all_known))).await
    }

    /// The address that a box connects from.
    pub(crate) fn source(&self, number: usize) -> IpAddr {
        self.boxes[number].peer.ip()
    }

    /// Partitions boxes from all servers.
    pub(crate) fn cut(&self, boxes: &[usize], cut: Cut) -> Result {
        for number in boxes {
            for server in &self.servers {
                server.partition(self.source(*number), cut)?;
            }
        }
        Ok(())
    }

    /// Ends the partition of boxes.
    pub(crate) fn heal(&self, boxes: &[usize]) -> Result {
        for number in boxes {
            for server in &self.servers {
                server.rejoin(self.source(*number))?;
            }
        }
        Ok(())
    }

    /// Sends requests to a box that is partitioned until it serves all of them through other
    /// boxes.
    pub(crate) async fn adapt(&self, number: usize) -> Result {
        let (relay, start) = (self.boxes[number].router.relay(), Instant::now());
        loop {
            let mut served = 0;
            for target in TARGETS {
                let name = format!("adapt-{target}-{:?}", start.elapsed());
                let answer = self.boxes[number].call(&call(target, &name)).await?;
                served += usize::from(is_served(&answer));
            }
            let known = self.servers.iter();
            let known = known.filter_map(|it| relay.fleet.get(&it.settings().id.parse().ok()?));
            if served == TARGETS.len() && known.filter(|it| it.is_detoured()).count() > 1 {
                return Ok(());
            }
            ensure!(start.elapsed() < CONTACT_TIME, "{served} served");
        }
    }

    /// All servers, as the checks of answers expect them.
    pub(crate) fn all_servers(&self) -> Vec<&Server> {
        self.servers.iter().collect()
    }

    /// Sends requests to all boxes for a while, `at_once` at a time and each on a connection
    /// of its own, and counts which of them were served.
    pub(crate) async fn send(
        &self,
        name: &str,
        time: Duration,
        at_once: u32,
    ) -> Result<Vec<Tries>> {
        let boxes = 0..self.boxes.len();
        let clients = boxes.map(|number| self.send_to(number, name, time, at_once));
        let clients: Vec<_> = clients.collect();
        let mut tries = Vec::new();
        for client in clients {
            tries.push(client.await);
        }
        Ok(tries)
    }

    /// The same for one box.
    pub(crate) fn send_to(
        &self,
        number: usize,
        name: &str,
        time: Duration,
        at_once: u32,
    ) -> Task<Tries> {
        let address = self.boxes[number].router.client_address();
        let (executor, name) = (self.executor.clone(), format!("{name}-{number}"));
        self.executor.spawn(async move {
            let start = Instant::now();
            let mut tries = Vec::new();
            while start.elapsed() < time {
                for _ in 0..at_once {
                    let target = TARGETS[tries.len() % TARGETS.len()];
                    let call = call(target, &format!("{name}-{}", tries.len()));
                    let answer = async move { Client::once(address, &call).await };
                    tries.push(executor.spawn(answer));
                }
                Timer::after(REQUEST_INTERVAL * at_once).await;
            }
            let mut served = 0;
            let sent = tries.len();
            for answer in tries {
                served += usize::from(answer.await.is_ok_and(|answer| is_served(&answer)));
            }
            Tries { sent, served }
        })
    }
}

fn is_served(answer: &Answer) -> bool {
    answer.status == 200 && answer.complete
}

/// Sends requests before a partition and, if `busy`, in the time after its beginning in
/// which they may fail, and counts the first tries at each box from then on. These come in
/// bursts if the box was not busy, so that its idle connections do not suffice.
pub(crate) async fn tries_while_cut(
    executor: &Executor,
    halls: &[&str],
    boxes: &[usize],
    cut: Cut,
    busy: bool,
) -> Result<(Rc<Partitioned>, Vec<Tries>)> {
    let fleet = Rc::new(Partitioned::start(executor, halls).await?);
    fleet.send("before", ms(400), 1).await?;
    fleet.cut(boxes, cut)?;
    let during = fleet.clone();
    let adapting = executor.spawn(async move {
        match busy {
            true => during.send("during", CONTACT_TIME, 1).await.map(drop),
            false => Ok(()),
        }
    });
    Timer::after(CONTACT_TIME).await;
    let at_once = if busy { 1 } else { BURST };
    let tries = fleet.send("after", ms(1_500), at_once).await?;
    adapting.await?;
    Ok((fleet, tries))
}
