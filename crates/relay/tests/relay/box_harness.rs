//! Harness of several boxes at one store, and the faults that a test may inject into
//! each.

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

/// The bound on keys in these tests: as short as it can be so that a box still notices
/// in time that its reader is lost and takes over, on a machine with other load.
pub(crate) const REVOKE_TIME: Duration = Duration::from_millis(3_200);
/// The bound on changes.
pub(crate) const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// The bound on servers that leave.
pub(crate) const LEAVE_TIME: Duration = Duration::from_millis(2_000);
/// Longest time until boxes agree on a reader: a few requests, each failure of which
/// costs 3 s.
const SETTLE_TIME: Duration = Duration::from_millis(8_000);
/// More than the time between two freshness checks of a reader.
pub(crate) const FRESHNESS_CHECK_TIME: Duration = Duration::from_millis(850);
/// Port at which all boxes listen for each other, each on an address of its own. Not
/// among the ports that the system assigns.
const PEER_PORT: u16 = 20_701;
/// Port at which a box that is a separate process listens for clients.
pub(crate) const FRONT_PORT: u16 = 20_702;
/// The port that settings name for other boxes; nothing listens there.
const SEED_PORT: u16 = 20_703;
/// Key prefix of the entries of boxes in the store.
pub(crate) const BOXES: &str = "tidepier/boxes/";

/// An address of this machine that no other box uses.
pub(crate) fn address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(1);
    let number = TAKEN.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = number.to_be_bytes();
    let [.., process_high, process_low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, process_low % 200 + 20, process_high ^ high, low);
    SocketAddr::from((ip, PEER_PORT))
}

/// What a proxy does with the bytes that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Open,
    /// Connections are closed.
    Cut,
    /// Nothing is forwarded.
    Silent,
    /// What arrives is lost, and its connection carries nothing from then on.
    Lossy,
}

/// A proxy in front of an address, into which a test may inject faults; it ends when
/// dropped.
pub(crate) struct Proxy {
    address: SocketAddr,
    state: Rc<State>,
    listening: RefCell<Option<Task<()>>>,
}

struct State {
    target: SocketAddr,
    mode: Cell<Mode>,
    /// Delay of each piece of an answer.
    delay: Cell<Duration>,
    /// Bytes of requests that were forwarded.
    request_bytes: Cell<u64>,
    changed: Notifier,
    forwarders: RefCell<Vec<Task<()>>>,
}

impl Proxy {
    pub(crate) async fn open(executor: &Executor, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let state = Rc::new(State {
            target,
            mode: Cell::new(Mode::Open),
            delay: Cell::default(),
            request_bytes: Cell::default(),
            changed: Notifier::default(),
            forwarders: RefCell::default(),
        });
        let address = listener.local_addr()?;
        let (tasks, shared) = (executor.clone(), state.clone());
        let task = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if shared.mode.get() != Mode::Cut {
                    let forwarder = tasks.spawn(shared.clone().forward(stream));
                    shared.forwarders.borrow_mut().push(forwarder);
                }
            }
        });
        Ok(Self {
            address,
            state,
            listening: RefCell::new(Some(task)),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections for good; open ones live on.
    pub(crate) fn refuse(&self) {
        self.listening.borrow_mut().take();
    }

    /// Refuses new connections for good and closes open ones, as if nothing listened there.
    pub(crate) fn vanish(&self) {
        self.refuse();
        self.state.forwarders.borrow_mut().clear();
    }

    /// Closes all its connections, and any new ones.
    pub(crate) fn cut(&self) {
        self.set(Mode::Cut);
        self.state.forwarders.borrow_mut().clear();
    }

    /// Forwards nothing, and closes nothing.
    pub(crate) fn make_unresponsive(&self) {
        self.set(Mode::Silent);
    }

    /// Loses what arrives, after which its connection is silent for good.
    pub(crate) fn lose(&self) {
        self.set(Mode::Lossy);
    }

    /// Forwards everything again.
    pub(crate) fn restore_link(&self) {
        self.set(Mode::Open);
    }

    pub(crate) fn delay(&self, time: Duration) {
        self.state.delay.set(time);
    }

    /// Bytes of requests that were forwarded so far.
    pub(crate) fn request_bytes(&self) -> u64 {
        self.state.request_bytes.get()
    }

    fn set(&self, mode: Mode) {
        self.state.mode.set(mode);
        self.state.changed.notify();
    }
}

impl State {
    async fn forward(self: Rc<Self>, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target).await else {
            return;
        };
        let lost = Cell::new(false);
        let there = self.copy_bytes(near.clone(), far.clone(), true, &lost);
        let back = self.copy_bytes(far, near, false, &lost);
        future::or(there, back).await;
    }

    /// Forwards bytes until one side closes; none once some of the connection are `lost`.
    async fn copy_bytes(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        asks: bool,
        lost: &Cell<bool>,
    ) {
        let mut bytes = vec![0; 64 << 10];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            if lost.get() || self.mode.get() == Mode::Lossy {
                lost.set(true);
                continue;
            }
            while self.mode.get() == Mode::Silent {
                self.changed.wait().await;
            }
            if asks {
                self.request_bytes
                    .set(self.request_bytes.get() + count as u64);
            } else {
                Timer::after(self.delay.get()).await;
            }
            if to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }
}

/// A site with a route that requires keys beside the usual ones, and two accounts.
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

/// Registers a box at an address of the test's choice; it ranks before all others.
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

/// The settings of a box with peers.
pub(crate) fn settings(site: &Site, name: &str, hall: &str, link: u32, peer: SocketAddr) -> Value {
    let mut values = harness::settings(site);
    values["name"] = name.into();
    values["hall"] = hall.into();
    values["source"] = peer.ip().to_string().into();
    values["callers"] = SocketAddr::new(peer.ip(), 0).to_string().into();
    values["peer_ports"] = vec![peer.port(); 2].into();
    values["limits"]["link_mbps"] = link.into();
    let bounds = &mut values["bounds"];
    bounds["revoke_within"] = (REVOKE_TIME.as_millis() as u64).into();
    bounds["apply_within"] = (APPLY_TIME.as_millis() as u64).into();
    bounds["leave_within"] = (LEAVE_TIME.as_millis() as u64).into();
    values
}

/// A call with a key.
pub(crate) fn with_key(key: &str, attempt: &str) -> Call {
    post("/k/x", attempt).key(key)
}

/// A box that runs on its own executor in the test's process.
pub(crate) struct TestBox {
    pub(crate) name: String,
    settings: Value,
    pub(crate) router: Router,
    /// The proxy in front of its store.
    pub(crate) store: Proxy,
    /// Where other boxes send it requests.
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
    /// Starts a box of a hall; the box with the strongest link becomes the reader.
    pub(crate) async fn start(
        executor: &Executor,
        site: &Site,
        name: &str,
        hall: &str,
        link: u32,
    ) -> Result<Self> {
        Self::seeded(executor, site, name, hall, link, &[]).await
    }

    /// The same with a view of the store at another address.
    pub(crate) async fn with_view(
        executor: &Executor,
        site: &Site,
        name: &str,
        hall: &str,
        view: SocketAddr,
    ) -> Result<Self> {
        Self::build(executor, site, name, hall, 1_000, &[], view).await
    }

    /// The same with seed boxes in its settings, at ports where nothing listens.
    pub(crate) async fn seeded(
        executor: &Executor,
        site: &Site,
        name: &str,
        hall: &str,
        link: u32,
        seeds: &[IpAddr],
    ) -> Result<Self> {
        let store = site.store.address();
        Self::build(executor, site, name, hall, link, seeds, store).await
    }

    /// The same with the settings of a fleet that starts for the first time.
    pub(crate) async fn start_first(
        executor: &Executor,
        site: &Site,
        name: &str,
        hall: &str,
        link: u32,
    ) -> Result<Self> {
        let peer = address();
        let mut values = settings(site, name, hall, link, peer);
        values["first_start"] = true.into();
        Self::run(executor, name, peer, values, site.store.address()).await
    }

    async fn build(
        executor: &Executor,
        site: &Site,
        name: &str,
        hall: &str,
        link: u32,
        seeds: &[IpAddr],
        store: SocketAddr,
    ) -> Result<Self> {
        let peer = address();
        let mut values = settings(site, name, hall, link, peer);
        let seeds = seeds.iter().map(|ip| SocketAddr::new(*ip, SEED_PORT));
        values["seeds"] = seeds.map(|seed| seed.to_string()).collect();
        Self::run(executor, name, peer, values, store).await
    }

    /// Starts a box with these settings, and a proxy in front of its store.
    async fn run(
        executor: &Executor,
        name: &str,
        peer: SocketAddr,
        mut values: Value,
        store: SocketAddr,
    ) -> Result<Self> {
        let store = Proxy::open(executor, store).await?;
        values["store"]["address"] = store.address().to_string().into();
        let settings: Settings = serde_json::from_value(values.clone())?;
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
            settings: values,
            router,
            store,
            peer,
            frozen,
            changed,
            _driver: driver,
        })
    }

    /// Pauses or resumes all its tasks.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.frozen.set(frozen);
        self.changed.notify();
    }

    /// Pardons a content, as a reload of its settings would.
    pub(crate) fn pardon(&self, content: Fingerprint) -> Result {
        let mut values = self.settings.clone();
        values["pardoned"] = vec![content.to_string()].into();
        self.router.apply_settings(&serde_json::from_value(values)?);
        Ok(())
    }

    pub(crate) async fn call(&self, call: &Call) -> Result<Answer> {
        Ok(Client::once(self.router.client_address(), call).await?)
    }

    /// When the catalog in force there was last confirmed current.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        let now = Instant::now();
        now.checked_sub(self.router.relay().view.age_at(now)?)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.router.relay().is_ready()
    }

    /// Whether it knows a server, including one that is leaving.
    pub(crate) fn knows(&self, server: &Server) -> bool {
        harness::knows(&self.router, server)
    }

    /// Whether a server takes requests of this box, whatever its service.
    pub(crate) fn may_send_to(&self, server: &Server) -> Result<bool> {
        let known = self
            .router
            .relay()
            .fleet
            .get(&server.settings().id.parse()?);
        Ok(known.is_some_and(|backend| backend.accepts_requests()))
    }

    /// Whether it sends requests to a server.
    pub(crate) fn sends_to(&self, server: &Server) -> Result<bool> {
        let serving = self.router.relay().fleet.serving(&SERVICE.parse()?);
        let mut ids = serving.iter().map(|backend| backend.server.id.as_str());
        Ok(ids.any(|id| id == server.settings().id))
    }
}

/// Starts boxes of `hall-1` and waits until they are ready and the first one is their
/// reader.
pub(crate) async fn start_boxes_with_reader(
    executor: &Executor,
    site: &Site,
    count: u32,
) -> Result<Vec<TestBox>> {
    let test_boxes = start_boxes(executor, site, count).await?;
    wait_for_readers(&test_boxes, &[0]).await?;
    Ok(test_boxes)
}

/// Starts boxes of `hall-1` and waits until they are ready.
pub(crate) async fn start_boxes(
    executor: &Executor,
    site: &Site,
    count: u32,
) -> Result<Vec<TestBox>> {
    start_boxes_in(executor, site, &vec!["hall-1"; count as usize]).await
}

/// Starts a box in each of these halls and waits until they are ready.
pub(crate) async fn start_boxes_in(
    executor: &Executor,
    site: &Site,
    halls: &[&str],
) -> Result<Vec<TestBox>> {
    start_each(halls, async |name, hall, link| {
        TestBox::start(executor, site, name, hall, link).await
    })
    .await
}

/// The same with the settings of a fleet that starts for the first time.
pub(crate) async fn start_first_boxes_in(
    executor: &Executor,
    site: &Site,
    halls: &[&str],
) -> Result<Vec<TestBox>> {
    start_each(halls, async |name, hall, link| {
        TestBox::start_first(executor, site, name, hall, link).await
    })
    .await
}

/// Starts a box in each of these halls, the first ones with the largest links, and waits until
/// they are ready.
async fn start_each(
    halls: &[&str],
    start: impl AsyncFn(&str, &str, u32) -> Result<TestBox>,
) -> Result<Vec<TestBox>> {
    let mut test_boxes = Vec::new();
    for (number, hall) in (0..).zip(halls) {
        let (name, link) = (format!("box-{number}"), 5_000 - 1_000 * number);
        test_boxes.push(start(&name, hall, link).await?);
    }
    wait_until_ready(&test_boxes).await?;
    Ok(test_boxes)
}

pub(crate) async fn wait_until_ready(test_boxes: &[TestBox]) -> Result {
    wait_until("ready", async || {
        Ok(test_boxes.iter().all(TestBox::is_ready))
    })
    .await
}

/// The boxes that send any request to the store within `time`.
pub(crate) async fn boxes_reading_store(test_boxes: &[TestBox], time: Duration) -> Vec<usize> {
    let before: Vec<u64> = test_boxes
        .iter()
        .map(|test_box| test_box.store.request_bytes())
        .collect();
    Timer::after(time).await;
    let asked = test_boxes.iter().zip(before).enumerate();
    let asked = asked.filter(|(_, (test_box, before))| test_box.store.request_bytes() > *before);
    asked.map(|(at, _)| at).collect()
}

/// Waits until exactly these boxes send requests to the store. A box that requested
/// from another one before that had a confirmed view skips it for 3 s.
pub(crate) async fn wait_for_readers(test_boxes: &[TestBox], expected: &[usize]) -> Result {
    let start = Instant::now();
    loop {
        let found = boxes_reading_store(test_boxes, FRESHNESS_CHECK_TIME).await;
        if found == expected {
            return Ok(());
        }
        ensure!(start.elapsed() < SETTLE_TIME, "read by {found:?}");
    }
}

/// Checks for a while that boxes serve requests with a key.
pub(crate) async fn ensure_served<'a>(
    test_boxes: impl IntoIterator<Item = &'a TestBox> + Clone,
    servers: &[&Server],
    time: Duration,
) -> Result {
    let start = Instant::now();
    while start.elapsed() < time {
        for test_box in test_boxes.clone() {
            let attempt = format!("{}-{:?}", test_box.name, start.elapsed());
            let answer = test_box.call(&with_key("stays", &attempt)).await?;
            harness::ensure_served_by(&answer, servers, &attempt)?;
        }
        Timer::after(ms(30)).await;
    }
    Ok(())
}

/// A box that runs as a separate process.
pub(crate) struct Process(process::Process);

impl Process {
    pub(crate) fn start(mut settings: Value, peer: SocketAddr) -> Result<Self> {
        settings["callers"] = SocketAddr::new(peer.ip(), FRONT_PORT).to_string().into();
        settings["readiness"] = Value::Null;
        let name = peer.ip().to_string();
        Ok(Self(process::Process::start(&name, "error", &settings)?))
    }

    /// Kills it, so that it cannot shut down gracefully.
    pub(crate) fn kill(&mut self) -> Result {
        self.0.kill()
    }

    /// Shuts it down gracefully and waits until it has exited.
    pub(crate) async fn stop(&mut self) -> Result {
        self.0.signal("-TERM")?;
        while self.0.exit_status()?.is_none() {
            Timer::after(ms(10)).await;
        }
        Ok(())
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
