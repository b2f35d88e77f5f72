//! The processes and stand-ins of a run, and the ways between them.
//!
//! Each box has an address of its own in 127.0.0.0/8. It sees the store through
//! a view of its own, in which every other box stands with the address of the
//! way from here to there.

mod guilty;
mod machine;
mod returns;
mod servers;
mod steps;

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
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
use tidepier_relay_standin::site::{Site, HOST};
use tidepier_relay_standin::store::View;
use tidepier_relay_standin::{names, Client};

use crate::bound;
use crate::ledger::{Fact, Ledger, Traffic};
use crate::plan::{self, MARK, PLAIN, STREAM};
use crate::process::Level;
use crate::schedule::Schedule;
use crate::sync::lock;
use crate::way::Way;
use machine::Machine;
use servers::Backend;

/// Ports of a box; none that the system gives out.
const PEER_PORT: u16 = 20_711;
const CALLERS_PORT: u16 = 20_712;
const READY_PORT: u16 = 20_713;
/// Servers of the two services at the start.
const SERVERS: usize = 3;
/// Keys that are valid at any time.
const KEYS: usize = 3;
/// Longest time until all boxes are ready at the start.
const START_TIME: Duration = Duration::from_secs(20);
/// Pause between two checks whether a box is ready.
const LOOK: Duration = Duration::from_millis(50);
/// Longest time of a question whether a box is ready.
const READY_TIME: Duration = Duration::from_millis(900);
/// Link of the first box, and how much weaker each further one's is, so that
/// it is known which box reads the store.
const LINK_MBPS: usize = 5_000;
const LINK_STEP: usize = 1_000;

/// The weakest link of any box.
const LINK_MIN: usize = 100;

/// The link of a box.
fn link_mbps(place: usize) -> usize {
    LINK_MBPS.saturating_sub(place * LINK_STEP).max(LINK_MIN)
}

/// A running fleet.
pub struct Fleet {
    /// What is done and seen.
    pub ledger: Ledger,
    site: Site,
    machines: Vec<Machine>,
    views: Mutex<Vec<View>>,
    peers: Vec<Vec<Way>>,
    backends: Mutex<Vec<Arc<Backend>>>,
    keys: Mutex<Vec<String>>,
    /// Bodies of requests that end their servers.
    guilty: Mutex<Vec<Vec<u8>>>,
    /// Servers that ended so and whose place another one has.
    replaced: Mutex<HashSet<String>>,
    marks: AtomicU32,
    named: AtomicU32,
    /// Whether the store takes nothing, not even of the operator.
    away: AtomicBool,
    copies: Mutex<returns::Copies>,
    /// Halls that the operator has asked to empty.
    emptied: Mutex<BTreeSet<String>>,
    /// Servers whose entries were removed.
    withdrawn: Mutex<HashSet<String>>,
}

/// A fleet whose processes end when this is dropped.
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
    /// Starts everything and waits until all boxes are ready.
    ///
    /// # Errors
    ///
    /// A port or program cannot be used, or a box does not become ready.
    pub async fn start(schedule: &Schedule, relay: &Path, folder: &Path) -> eyre::Result<Running> {
        let site = Site::start()?;
        plan::declare(&site);
        let peers: Vec<SocketAddr> = (0..schedule.boxes)
            .map(|_| SocketAddr::from((plan::box_ip(), PEER_PORT)))
            .collect();
        let mut fleet = Self {
            ledger: Ledger::default(),
            site,
            machines: Vec::new(),
            views: Mutex::default(),
            peers: Vec::new(),
            backends: Mutex::default(),
            keys: Mutex::new(Vec::new()),
            guilty: Mutex::default(),
            replaced: Mutex::default(),
            marks: AtomicU32::new(0),
            named: AtomicU32::new(0),
            away: AtomicBool::new(false),
            copies: Mutex::default(),
            emptied: Mutex::default(),
            withdrawn: Mutex::default(),
        };
        for _ in 0..SERVERS {
            fleet.add_server(PLAIN)?;
            fleet.add_server(STREAM)?;
        }
        fleet.change_keys(0);
        fleet.mark()?;
        for (place, peer) in peers.iter().enumerate() {
            let settings = json!({
                "name": format!("box-{place}"),
                "hall": plan::hall(place, schedule.halls),
                "callers": SocketAddr::new(peer.ip(), CALLERS_PORT).to_string(),
                "readiness": SocketAddr::new(peer.ip(), READY_PORT).to_string(),
                "peer_ports": [PEER_PORT, PEER_PORT],
                "server_beat": "1200ms",
                "limits": { "link_mbps": link_mbps(place), "memory_mb": 260 },
                "bounds": bound::settings(),
            });
            let machine = fleet.machine(place, *peer, &peers, settings, relay, folder)?;
            fleet.machines.push(machine);
        }
        let fleet = Arc::new(fleet);
        let running = Running(fleet.clone());
        for place in 0..fleet.boxes() {
            fleet.start_box(place)?;
        }
        fleet.all_ready().await?;
        Ok(running)
    }

    /// The ways of a box to all others, its view of the store, and itself.
    fn machine(
        &mut self,
        place: usize,
        peer: SocketAddr,
        peers: &[SocketAddr],
        mut settings: serde_json::Value,
        relay: &Path,
        folder: &Path,
    ) -> eyre::Result<Machine> {
        let ways = peers.iter().map(|peer| Way::open(*peer));
        let ways = ways.collect::<std::io::Result<Vec<Way>>>()?;
        let others = peers.iter().zip(&ways).filter(|(other, _)| **other != peer);
        let quoted = |address: SocketAddr| format!("\"{address}\"");
        let texts = others.map(|(peer, way)| (quoted(*peer), quoted(way.address())));
        let view = self.site.store.view(texts.collect())?;
        let store = Way::open(view.address())?;
        lock(&self.views).push(view);
        self.peers.push(ways);
        settings["store"] = json!({ "address": store.address().to_string() });
        let files: [PathBuf; 3] = [
            relay.into(),
            folder.join(format!("box-{place}.json")),
            folder.join(format!("box-{place}.log")),
        ];
        let front = Way::open(SocketAddr::new(peer.ip(), CALLERS_PORT))?;
        let ready = SocketAddr::new(peer.ip(), READY_PORT);
        Ok(Machine::new(files, settings, store, front, ready))
    }

    /// Ends all processes for good. Tasks that hold the fleet may outlive this.
    pub fn finish(&self) {
        self.machines.iter().for_each(Machine::finish);
    }

    /// Number of boxes.
    pub fn boxes(&self) -> usize {
        self.machines.len()
    }

    /// Where clients of a box connect.
    pub fn front(&self, place: usize) -> SocketAddr {
        self.machines[place].front.address()
    }

    /// One of the keys that there are or were; those of today more often.
    pub fn some_key(&self, rng: &mut ChaCha8Rng) -> String {
        let keys = lock(&self.keys);
        let today = &keys[keys.len() - KEYS..];
        let some = [today, today, &keys].concat();
        some.choose(rng).cloned().unwrap_or_default()
    }

    /// Time that a box was ready to run and had no processor, if it runs.
    pub fn waited(&self, place: usize) -> Option<Duration> {
        self.machines[place].waited()
    }

    /// What the process of a box holds, if it runs.
    pub fn level(&self, place: usize) -> Option<Level> {
        self.machines[place].level()
    }

    /// Whether a box says that it is ready.
    pub async fn is_ready(&self, place: usize) -> bool {
        let call = Call::new("GET", HOST, names::READY, "ready").leaving(READY_TIME);
        let answer = Client::once(self.machines[place].ready, &call).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    async fn all_ready(&self) -> eyre::Result<()> {
        let start = Instant::now();
        for place in 0..self.boxes() {
            while !self.is_ready(place).await {
                ensure!(start.elapsed() < START_TIME, "box {place} never ready");
                Timer::after(LOOK).await;
            }
        }
        Ok(())
    }

    /// Starts the process of a box.
    pub(crate) fn start_box(&self, place: usize) -> eyre::Result<()> {
        self.machines[place].start()?;
        self.ledger.fact(Fact::Born(place));
        Ok(())
    }

    /// Records processes that ended without a signal, and starts them again.
    pub fn restart_ended(&self) -> eyre::Result<()> {
        for (place, machine) in self.machines.iter().enumerate() {
            if let Some(status) = machine.died()? {
                self.ledger.fact(Fact::Died(place, status.to_string()));
                self.start_box(place)?;
            }
        }
        Ok(())
    }

    /// Takes away so many of the oldest valid keys and adds as many.
    fn change_keys(&self, count: usize) {
        let mut keys = lock(&self.keys);
        let first = keys.len().saturating_sub(KEYS);
        let gone = keys[first..].iter().take(count).cloned();
        let gone: Vec<String> = gone.collect();
        while keys.len() < first + KEYS + count {
            let key = format!("key-{}", keys.len());
            keys.push(key);
        }
        let today: Vec<&str> = keys[first + count..].iter().map(String::as_str).collect();
        self.ledger.fact(Fact::Configuring);
        self.site.account(plan::ACCOUNT, &today, 0);
        for key in gone {
            self.ledger.fact(Fact::KeyGone(key));
        }
    }

    /// Sends the mark route to a new service.
    fn mark(&self) -> eyre::Result<()> {
        let number = self.marks.fetch_add(1, Ordering::Relaxed);
        let service = format!("{MARK}{number}");
        self.add_server(&service)?;
        self.ledger.fact(Fact::Configuring);
        self.site.direct(Traffic::Mark.prefix(), &service);
        self.ledger.fact(Fact::Marked(number));
        Ok(())
    }
}
