//! Several boxes at one store, and what a test may do to each of them.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use eyre::ensure;
use futures_lite::future;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use serde_json::Value;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Task, Timer};
use tidepier_clock::Instant;
use tidepier_core::catalog::Kind;
use tidepier_relay::content::Fingerprint;
use tidepier_relay::notifier::Notifier;
use tidepier_relay::peer::registry::Member;
use tidepier_relay::settings::Settings;
use tidepier_relay::Router;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::server::Server;
use tidepier_relay_standin::site::{Route, Site};
use tidepier_relay_standin::Client;

use crate::harness::{self, ms, post, wait_until, Executor, Result, SERVICE};
use crate::process;

/// The bound on keys in these tests: as short as lets a box notice a lost
/// reader and take over, on a machine that has other work.
pub(crate) const REVOKE_TIME: Duration = Duration::from_millis(3_200);
/// The bound on changes.
pub(crate) const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// The bound on servers that leave.
pub(crate) const LEAVE_TIME: Duration = Duration::from_millis(2_000);
/// Longest time until boxes have agreed on a reader: some questions, each
/// failure of which costs 3 s.
const SETTLE_TIME: Duration = Duration::from_millis(8_000);
/// More than the time between two proofs that a reader asks for.
pub(crate) const PROOF_TIME: Duration = Duration::from_millis(850);
/// Where all boxes listen for each other, each on an address of its own. Not a
/// port that the system gives out.
const PEER_PORT: u16 = 20_701;
/// Where a box that is a process listens for clients.
pub(crate) const FRONT_PORT: u16 = 20_702;
/// The port that settings name for other boxes; nobody listens there.
const SEED_PORT: u16 = 20_703;
/// Where boxes are registered in the store.
pub(crate) const BOXES: &str = "tidepier/boxes/";

/// An address of this machine that no other box has.
pub(crate) fn address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(1);
    let number = TAKEN.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = number.to_be_bytes();
    let process = std::process::id() % 200 + 20;
    let ip = Ipv4Addr::new(127, process as u8, high, low);
    SocketAddr::from((ip, PEER_PORT))
}

/// How a way treats what goes over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Open,
    /// Connections are closed.
    Cut,
    /// Nothing arrives.
    Silent,
}

/// A way to an address that a test can cut; it ends when dropped.
pub(crate) struct Proxy {
    address: SocketAddr,
    state: Rc<State>,
    _task: Task<()>,
}

struct State {
    target: SocketAddr,
    mode: Cell<Mode>,
    /// Time that each piece of an answer takes.
    delay: Cell<Duration>,
    /// Bytes that were asked over it.
    asked: Cell<u64>,
    changed: Notifier,
    pumps: RefCell<Vec<Task<()>>>,
}

impl Proxy {
    pub(crate) async fn open(executor: &Executor, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let state = Rc::new(State {
            target,
            mode: Cell::new(Mode::Open),
            delay: Cell::default(),
            asked: Cell::default(),
            changed: Notifier::default(),
            pumps: RefCell::default(),
        });
        let address = listener.local_addr()?;
        let (tasks, shared) = (executor.clone(), state.clone());
        let task = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if shared.mode.get() != Mode::Cut {
                    let pump = tasks.spawn(shared.clone().carry(stream));
                    shared.pumps.borrow_mut().push(pump);
                }
            }
        });
        Ok(Self {
            address,
            state,
            _task: task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections over it and those to come.
    pub(crate) fn cut(&self) {
        self.set(Mode::Cut);
        self.state.pumps.borrow_mut().clear();
    }

    /// Lets nothing through, and closes nothing.
    pub(crate) fn silence(&self) {
        self.set(Mode::Silent);
    }

    /// Lets all through again.
    pub(crate) fn mend(&self) {
        self.set(Mode::Open);
    }

    pub(crate) fn delay(&self, time: Duration) {
        self.state.delay.set(time);
    }

    /// Bytes that were asked over it so far.
    pub(crate) fn asked(&self) -> u64 {
        self.state.asked.get()
    }

    fn set(&self, mode: Mode) {
        self.state.mode.set(mode);
        self.state.changed.notify();
    }
}

impl State {
    async fn carry(self: Rc<Self>, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target).await else {
            return;
        };
        let there = self.pump(near.clone(), far.clone(), true);
        let back = self.pump(far, near, false);
        future::or(there, back).await;
    }

    /// Passes bytes on until a side closes.
    async fn pump(&self, mut from: TcpStream, mut to: TcpStream, asks: bool) {
        let mut bytes = vec![0; 64 << 10];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            while self.mode.get() == Mode::Silent {
                self.changed.wait().await;
            }
            if asks {
                self.asked.set(self.asked.get() + count as u64);
            } else {
                Timer::after(self.delay.get()).await;
            }
            if to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }
}

/// A site with a route for keys beside the usual ones, and two accounts.
pub(crate) fn site_with_keys() -> Result<Site> {
    let site = harness::site()?;
    let keyed = Route {
        public: false,
        ..Route::new("/k/", Kind::Repeatable, SERVICE)
    };
    site.declare(&[keyed]);
    site.account("tenant-1", &["stays"], 0);
    site.account("tenant-2", &["goes"], 1);
    Ok(site)
}

/// Registers a box at an address of a test's choice, before all others.
pub(crate) fn register(site: &Site, name: &str, hall: &str, address: SocketAddr) -> Result<Member> {
    let member = Member {
        name: name.parse()?,
        hall: hall.parse()?,
        address,
        link_mbps: 9_000,
    };
    let entry = serde_json::to_value(&member)?;
    site.store.put(&format!("{BOXES}{hall}/{name}"), &entry);
    Ok(member)
}

/// The settings of a box that talks to others.
pub(crate) fn settings(site: &Site, name: &str, hall: &str, link: u32, peer: SocketAddr) -> Value {
    let mut told = harness::settings(site);
    told["name"] = name.into();
    told["hall"] = hall.into();
    told["callers"] = SocketAddr::new(peer.ip(), 0).to_string().into();
    told["peer_ports"] = vec![peer.port(); 2].into();
    told["limits"]["link_mbps"] = link.into();
    let bounds = &mut told["bounds"];
    bounds["revoke_within"] = (REVOKE_TIME.as_millis() as u64).into();
    bounds["apply_within"] = (APPLY_TIME.as_millis() as u64).into();
    bounds["leave_within"] = (LEAVE_TIME.as_millis() as u64).into();
    told
}

/// A call with a key.
pub(crate) fn with_key(key: &str, attempt: &str) -> Call {
    post("/k/x", attempt).key(key)
}

/// A box that runs on an executor of its own.
pub(crate) struct TestBox {
    pub(crate) name: String,
    settings: Value,
    pub(crate) router: Router,
    /// Its way to the store.
    pub(crate) store: Proxy,
    /// Where other boxes ask it.
    pub(crate) peer: SocketAddr,
    frozen: Rc<Cell<bool>>,
    changed: Notifier,
    _driver: Task<()>,
}

async fn reach(frozen: &Cell<bool>, changed: &Notifier, wanted: bool) {
    while frozen.get() != wanted {
        changed.wait().await;
    }
}

impl TestBox {
    /// Starts a box of a hall; the strongest link reads the store.
    pub(crate) async fn start(
        executor: &Executor,
        site: &Site,
        name: &str,
        hall: &str,
        link: u32,
    ) -> Result<Self> {
        Self::seeded(executor, site, name, hall, link, &[]).await
    }

    /// The same with boxes named in its settings, at ports that nobody listens
    /// at.
    pub(crate) async fn seeded(
        executor: &Executor,
        site: &Site,
        name: &str,
        hall: &str,
        link: u32,
        seeds: &[IpAddr],
    ) -> Result<Self> {
        let peer = address();
        let store = Proxy::open(executor, site.store.address()).await?;
        let mut told = settings(site, name, hall, link, peer);
        told["store"]["address"] = store.address().to_string().into();
        let seeds = seeds.iter().map(|ip| SocketAddr::new(*ip, SEED_PORT));
        told["seeds"] = seeds.map(|seed| seed.to_string()).collect();
        let settings: Settings = serde_json::from_value(told.clone())?;
        settings.check()?;
        let own = Rc::new(LocalExecutor::new());
        let router = Router::start(&settings, &own)?;
        let frozen = Rc::new(Cell::new(false));
        let changed = Notifier::default();
        let (freezes, notice) = (frozen.clone(), changed.clone());
        let driver = executor.spawn(async move {
            loop {
                own.run(reach(&freezes, &notice, true)).await;
                reach(&freezes, &notice, false).await;
            }
        });
        Ok(Self {
            name: name.into(),
            settings: told,
            router,
            store,
            peer,
            frozen,
            changed,
            _driver: driver,
        })
    }

    /// Runs none of its tasks until it is thawed.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.frozen.set(frozen);
        self.changed.notify();
    }

    /// Lets a content pass, as a reload of its settings would.
    pub(crate) fn pardon(&self, content: Fingerprint) -> Result {
        let mut told = self.settings.clone();
        told["pardoned"] = vec![content.to_string()].into();
        self.router.apply_settings(&serde_json::from_value(told)?);
        Ok(())
    }

    pub(crate) async fn call(&self, call: &Call) -> Result<Answer> {
        Ok(Client::once(self.router.client_address(), call).await?)
    }

    /// When the catalog in force there was provably the newest.
    pub(crate) fn proven(&self) -> Option<Instant> {
        let now = Instant::now();
        now.checked_sub(self.router.relay().view.age_at(now)?)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.router.relay().is_ready()
    }

    /// Whether it knows a server, be it one that leaves.
    pub(crate) fn knows(&self, server: &Server) -> bool {
        harness::knows(&self.router, server)
    }

    /// Whether it sends requests to a server.
    pub(crate) fn sends_to(&self, server: &Server) -> Result<bool> {
        let serving = self.router.relay().fleet.serving(&SERVICE.parse()?);
        let mut ids = serving.iter().map(|backend| backend.server.id.as_str());
        Ok(ids.any(|id| id == server.settings().id))
    }
}

/// Boxes of `hall-1` that started together and are ready, the first one of
/// which reads the store for all.
pub(crate) async fn started(executor: &Executor, site: &Site, count: u32) -> Result<Vec<TestBox>> {
    let machines = start_boxes(executor, site, count).await?;
    settled(&machines, &[0]).await?;
    Ok(machines)
}

/// Boxes of `hall-1` that started together and are ready.
pub(crate) async fn start_boxes(
    executor: &Executor,
    site: &Site,
    count: u32,
) -> Result<Vec<TestBox>> {
    let mut machines = Vec::new();
    for number in 0..count {
        let (name, link) = (format!("box-{number}"), 5_000 - 1_000 * number);
        machines.push(TestBox::start(executor, site, &name, "hall-1", link).await?);
    }
    ready(&machines).await?;
    Ok(machines)
}

pub(crate) async fn ready(machines: &[TestBox]) -> Result {
    wait_until("ready", async || Ok(machines.iter().all(TestBox::is_ready))).await
}

/// The boxes that ask the store for anything within a time.
pub(crate) async fn readers(machines: &[TestBox], time: Duration) -> Vec<usize> {
    let before: Vec<u64> = machines
        .iter()
        .map(|machine| machine.store.asked())
        .collect();
    Timer::after(time).await;
    let asked = machines.iter().zip(before).enumerate();
    let asked = asked.filter(|(_, (machine, before))| machine.store.asked() > *before);
    asked.map(|(at, _)| at).collect()
}

/// Waits until only these of the boxes ask the store; a box that asked another
/// before that one could vouch passes it over for 3 s.
pub(crate) async fn settled(machines: &[TestBox], expected: &[usize]) -> Result {
    let start = Instant::now();
    loop {
        let found = readers(machines, PROOF_TIME).await;
        if found == expected {
            return Ok(());
        }
        ensure!(start.elapsed() < SETTLE_TIME, "read by {found:?}");
    }
}

/// Checks for a while that boxes serve requests with a key.
pub(crate) async fn served<'a>(
    machines: impl IntoIterator<Item = &'a TestBox> + Clone,
    servers: &[&Server],
    time: Duration,
) -> Result {
    let start = Instant::now();
    while start.elapsed() < time {
        for machine in machines.clone() {
            let attempt = format!("{}-{:?}", machine.name, start.elapsed());
            let answer = machine.call(&with_key("stays", &attempt)).await?;
            harness::ensure_served_by(&answer, servers, &attempt)?;
        }
        Timer::after(ms(30)).await;
    }
    Ok(())
}

/// A box that is a process of its own.
pub(crate) struct Process(process::Process);

impl Process {
    pub(crate) fn start(mut settings: Value, peer: SocketAddr) -> Result<Self> {
        settings["callers"] = SocketAddr::new(peer.ip(), FRONT_PORT).to_string().into();
        settings["readiness"] = Value::Null;
        let name = peer.ip().to_string();
        Ok(Self(process::Process::start(&name, "error", &settings)?))
    }

    /// Ends it at once, without a chance to do anything about that.
    pub(crate) fn kill(&mut self) -> Result {
        self.0.kill()
    }

    /// Where clients connect.
    pub(crate) fn front(&self) -> SocketAddr {
        self.0.front
    }

    pub(crate) async fn serves(&self) -> bool {
        let call = with_key("stays", "process").leaving(ms(900));
        self.0.call(&call).await == 200
    }
}
