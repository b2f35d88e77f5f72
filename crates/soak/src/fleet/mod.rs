//! The processes and stand-ins of a run, and the proxies between them.
//!
//! Each box has an address of its own in 127.0.0.0/8. It uses the store through a view of
//! its own, which replaces the address of every other box by that of the proxy from this
//! box to that one.

mod crashing;
mod late;
mod misuse;
mod relay_box;
mod restore;
mod rollouts;
mod servers;
mod silences;
mod steps;

use std::collections::{BTreeSet, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eyre::ensure;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use smol::Timer;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server::Events;
use tidepier_relay_standin::site::{Site, HOST};
use tidepier_relay_standin::store::View;
use tidepier_relay_standin::{names, Client};

use crate::bound;
use crate::ledger::{Fact, Ledger, Traffic};
use crate::plan::{self, MARK_PREFIX, PLAIN, STREAM};
use crate::process::{Level, Limits};
use crate::proxy::Proxy;
use crate::schedule::Schedule;
use crate::sync::lock;
use relay_box::RelayBox;
use rollouts::Releases;
use servers::Backend;

/// Ports of a box; outside of the range that the system assigns.
const PEER_PORT: u16 = 20_711;
const CLIENT_PORT: u16 = 20_712;
const READY_PORT: u16 = 20_713;
/// Number of further servers of streams with a hot subject.
const HOT_SUBJECT_SERVERS: usize = 9;
/// Number of further servers of streams with two releases.
const RELEASE_SERVERS: usize = 3;
/// Number of further servers of streams where parts of prompts crash them: some are always
/// up.
const CRASHING_PART_SERVERS: usize = 5;
/// Servers of each of the two services at the start.
const SERVERS_PER_SERVICE: usize = 3;
/// Number of keys that are valid at any time.
const VALID_KEYS: usize = 3;
/// Time-out for all boxes to become ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks whether a box is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time-out of one readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(900);
/// Link bandwidth of the first box, and the difference to each further one, so that it is
/// known which box becomes the reader of the store.
const LINK_MBPS: usize = 5_000;
const LINK_STEP_MBPS: usize = 1_000;

/// Lowest link bandwidth of any box.
const LINK_MIN_MBPS: usize = 100;

/// The link bandwidth of a box.
fn link_mbps(box_index: usize) -> usize {
    LINK_MBPS
        .saturating_sub(box_index * LINK_STEP_MBPS)
        .max(LINK_MIN_MBPS)
}

/// A running fleet.
pub struct Fleet {
    /// Records what is done and observed.
    pub ledger: Ledger,
    site: Site,
    boxes: Vec<RelayBox>,
    views: Mutex<Vec<View>>,
    peer_proxies: Vec<Vec<Proxy>>,
    backends: Mutex<Vec<Arc<Backend>>>,
    /// Boxes that are partitioned from all servers, by the address that they connect from.
    cuts: Mutex<Vec<(IpAddr, Cut)>>,
    keys: Mutex<Vec<String>>,
    /// Bodies of requests that crash servers.
    crashing_contents: Mutex<Vec<Vec<u8>>>,
    /// Parts of prompts that crash servers.
    crashing_parts: Mutex<Vec<u64>>,
    /// Servers that crashed under such a request and have been replaced.
    replaced_servers: Mutex<HashSet<String>>,
    next_mark: AtomicU32,
    next_server: AtomicU32,
    next_odd_entry: AtomicU32,
    next_misuse: AtomicU32,
    /// What the settings of each box give its process.
    limits: Limits,
    /// Whether an outage before a restore is in progress, in which the store accepts no
    /// writes, not even from the operator.
    store_unreachable: AtomicBool,
    backups: Mutex<restore::Backups>,
    /// Halls that the operator has emptied.
    emptied: Mutex<BTreeSet<String>>,
    /// The releases of the servers of streams.
    releases: Releases,
    /// The box at which most streams are taken up.
    take_up_box: Mutex<Option<usize>>,
    /// This program, if servers may stand still: all of them, or only plain ones.
    gate_program: Option<PathBuf>,
    gates_everywhere: bool,
    /// The time that a request takes, or the time until its first event.
    work_time: Duration,
    /// The events of the servers of streams.
    events: Events,
    /// Servers whose entries were removed.
    withdrawn_servers: Mutex<HashSet<String>>,
}

/// A fleet whose processes end when this value is dropped.
pub struct Running(Arc<Fleet>);

impl std::ops::Deref for Running {
    type Target = Arc<Fleet>;

    fn deref(&self) -> &Arc<Fleet> {
        &self.0
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.finish();
    }
}

impl Fleet {
    /// Starts all servers, proxies and boxes, and waits until all boxes are ready.
    ///
    /// # Errors
    ///
    /// A port or the program cannot be used, or a box does not become ready.
    pub async fn start(schedule: &Schedule, relay: &Path, folder: &Path) -> eyre::Result<Running> {
        let site = Site::start()?;
        plan::declare_routes(&site, schedule.copies, schedule.misbehaving);
        let peers: Vec<SocketAddr> = (0..schedule.boxes)
            .map(|_| SocketAddr::from((plan::box_ip(), PEER_PORT)))
            .collect();
        let mut fleet = Self {
            ledger: Ledger::default(),
            site,
            boxes: Vec::new(),
            views: Mutex::default(),
            peer_proxies: Vec::new(),
            backends: Mutex::default(),
            cuts: Mutex::default(),
            keys: Mutex::new(Vec::new()),
            crashing_contents: Mutex::default(),
            crashing_parts: Mutex::default(),
            replaced_servers: Mutex::default(),
            next_mark: AtomicU32::new(0),
            next_server: AtomicU32::new(0),
            next_odd_entry: AtomicU32::new(0),
            next_misuse: AtomicU32::new(0),
            limits: match schedule.misbehaving {
                true => bound::LOW_LIMITS,
                false => bound::LIMITS,
            },
            store_unreachable: AtomicBool::new(false),
            backups: Mutex::default(),
            emptied: Mutex::default(),
            releases: match (schedule.rollouts, schedule.releases) {
                (true, _) => Releases::Newest(AtomicU32::new(1)),
                (false, true) => Releases::Alternating,
                (false, false) => Releases::Unnamed,
            },
            take_up_box: Mutex::default(),
            gates_everywhere: schedule.silences || schedule.harms,
            work_time: match schedule.harms {
                true => servers::LONG_WORK_TIME,
                false => servers::WORK_TIME,
            },
            events: match schedule.long_streams {
                true => servers::LONG_EVENTS,
                false => servers::EVENTS,
            },
            gate_program: match schedule.standstills || schedule.silences || schedule.harms {
                true => Some(std::env::current_exe()?),
                false => None,
            },
            withdrawn_servers: Mutex::default(),
        };
        for _ in 0..SERVERS_PER_SERVICE {
            fleet.add_server(PLAIN)?;
            fleet.add_server(STREAM)?;
        }
        if schedule.releases {
            for _ in 0..RELEASE_SERVERS {
                fleet.add_server(STREAM)?;
            }
        }
        if schedule.prompts {
            for _ in 0..CRASHING_PART_SERVERS {
                fleet.add_server(STREAM)?;
            }
        }
        if schedule.hot_subject {
            for _ in 0..HOT_SUBJECT_SERVERS {
                fleet.add_server(STREAM)?;
            }
        }
        fleet.change_keys(0);
        fleet.add_mark()?;
        for (box_index, peer) in peers.iter().enumerate() {
            let settings = json!({
                "name": format!("box-{box_index}"),
                "hall": plan::hall_name(box_index, schedule.halls),
                "callers": SocketAddr::new(peer.ip(), CLIENT_PORT).to_string(),
                "readiness": SocketAddr::new(peer.ip(), READY_PORT).to_string(),
                "source": peer.ip().to_string(),
                "peer_ports": [PEER_PORT, PEER_PORT],
                "server_beat": "1200ms",
                "limits": {
                    "link_mbps": link_mbps(box_index),
                    "memory_mb": fleet.limits.memory_mb,
                    "descriptors": fleet.limits.descriptors,
                },
                "first_start": schedule.first_start,
                "bounds": bound::settings(),
            });
            let relay_box = fleet.new_box(box_index, *peer, &peers, settings, relay, folder)?;
            fleet.boxes.push(relay_box);
        }
        let fleet = Arc::new(fleet);
        let running = Running(fleet.clone());
        for box_index in 0..fleet.box_count() {
            fleet.start_box(box_index)?;
        }
        fleet.wait_until_ready().await?;
        Ok(running)
    }

    /// Creates a box, its proxies to all others and its view of the store.
    fn new_box(
        &mut self,
        box_index: usize,
        peer: SocketAddr,
        peers: &[SocketAddr],
        mut settings: serde_json::Value,
        relay: &Path,
        folder: &Path,
    ) -> eyre::Result<RelayBox> {
        let proxies = peers.iter().map(|peer| Proxy::open(*peer));
        let proxies = proxies.collect::<std::io::Result<Vec<Proxy>>>()?;
        let others = peers
            .iter()
            .zip(&proxies)
            .filter(|(other, _)| **other != peer);
        let quoted = |address: SocketAddr| format!("\"{address}\"");
        let texts = others.map(|(peer, proxy)| (quoted(*peer), quoted(proxy.address())));
        let view = self.site.store.view(texts.collect())?;
        let store = Proxy::open(view.address())?;
        lock(&self.views).push(view);
        self.peer_proxies.push(proxies);
        settings["store"] = json!({ "address": store.address().to_string() });
        let files: [PathBuf; 3] = [
            relay.into(),
            folder.join(format!("box-{box_index}.json")),
            folder.join(format!("box-{box_index}.log")),
        ];
        let front = Proxy::open(SocketAddr::new(peer.ip(), CLIENT_PORT))?;
        let ready = SocketAddr::new(peer.ip(), READY_PORT);
        Ok(RelayBox::new(
            files,
            settings,
            store,
            front,
            peer.ip(),
            ready,
        ))
    }

    /// Ends all processes for good. Tasks that hold the fleet may go on after this.
    pub fn finish(&self) {
        self.boxes.iter().for_each(RelayBox::finish);
    }

    /// Number of boxes.
    pub fn box_count(&self) -> usize {
        self.boxes.len()
    }

    /// The address that clients of a box connect to.
    pub fn client_address(&self, box_index: usize) -> SocketAddr {
        self.boxes[box_index].client_proxy.address()
    }

    /// Picks one of the current and former keys, a current one more often.
    pub fn pick_key(&self, rng: &mut ChaCha8Rng) -> String {
        let keys = lock(&self.keys);
        let valid = &keys[keys.len() - VALID_KEYS..];
        let candidates = [valid, valid, &keys].concat();
        candidates.choose(rng).cloned().unwrap_or_default()
    }

    /// Time that the process of a box was runnable but had no processor, if it runs.
    pub fn run_queue_wait(&self, box_index: usize) -> Option<Duration> {
        self.boxes[box_index].run_queue_wait()
    }

    /// The resources that the process of a box holds, if it runs.
    pub fn level(&self, box_index: usize) -> Option<Level> {
        self.boxes[box_index].level()
    }

    /// Whether a box reports that it is ready.
    pub async fn is_ready(&self, box_index: usize) -> bool {
        let call = Call::new("GET", HOST, names::READY, "ready").leaving(READY_TIMEOUT);
        let answer = Client::once(self.boxes[box_index].readiness_address, &call).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let start = Instant::now();
        for box_index in 0..self.box_count() {
            while !self.is_ready(box_index).await {
                ensure!(
                    start.elapsed() < START_TIMEOUT,
                    "box {box_index} did not become ready in time"
                );
                Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Starts the process of a box and records it.
    pub(crate) fn start_box(&self, box_index: usize) -> eyre::Result<()> {
        self.boxes[box_index].start()?;
        self.ledger.record_fact(Fact::Born(box_index));
        Ok(())
    }

    /// Records processes that ended without a signal from the soak, and starts them again.
    pub fn restart_ended(&self) -> eyre::Result<()> {
        for (box_index, relay_box) in self.boxes.iter().enumerate() {
            if let Some(status) = relay_box.unexpected_exit()? {
                self.ledger
                    .record_fact(Fact::Died(box_index, status.to_string()));
                self.start_box(box_index)?;
            }
        }
        Ok(())
    }

    /// Removes this many of the oldest valid keys and adds as many new ones.
    fn change_keys(&self, count: usize) {
        let mut keys = lock(&self.keys);
        let first = keys.len().saturating_sub(VALID_KEYS);
        let gone = keys[first..].iter().take(count).cloned();
        let gone: Vec<String> = gone.collect();
        while keys.len() < first + VALID_KEYS + count {
            let key = format!("key-{}", keys.len());
            keys.push(key);
        }
        let valid: Vec<&str> = keys[first + count..].iter().map(String::as_str).collect();
        self.ledger.record_fact(Fact::Configuring);
        self.site.account(plan::ACCOUNT, &valid, 0);
        for key in gone {
            self.ledger.record_fact(Fact::KeyGone(key));
        }
    }

    /// Directs the route of [`Traffic::Mark`] to a new service, which shows the version.
    fn add_mark(&self) -> eyre::Result<()> {
        let number = self.next_mark.fetch_add(1, Ordering::Relaxed);
        let service = format!("{MARK_PREFIX}{number}");
        self.add_server(&service)?;
        self.ledger.record_fact(Fact::Configuring);
        self.site.direct(Traffic::Mark.prefix(), &service);
        self.ledger.record_fact(Fact::Marked(number));
        Ok(())
    }
}
