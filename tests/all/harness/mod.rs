//! A whole fleet inside the test process: real routers, each with a thread of
//! its own, against the stand-ins, over loopback, with shortened timers.

pub mod network;
pub mod router;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tidepier_config::document::Policy;
use tidepier_config::settings::{Millis, Settings, Tuning};
use tidepier_errors::{Body, Fault, Kind};
use tidepier_http::client::{Call, Pool, Whole};
use tidepier_ids as ids;
use tidepier_load::caller::{self, Chat, Outcome};
use tidepier_load::fleet::{key_of, Fleet as Made, Size, User, OPERATOR_KEY};
use tidepier_router::{Applied, Apply, Status};
use tidepier_standin::oracle::Message;
use tidepier_standin::Fleet as Outside;
use tidepier_steward::Steward;

use network::Network;
use router::{Router, Worker};

/// Ports of one fleet.
const PORTS: u16 = 700;
/// First port used; all stay below the ports that the system hands out.
const FIRST_PORT: u16 = 9000;
/// Fleets that fit between the first port and those.
const FLEETS: u16 = 30;
/// Longest wait for something that is to happen. Generous, as nothing in a
/// test may depend on the machine's speed.
pub const PATIENCE: Duration = Duration::from_secs(60);

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Sizes of a test fleet.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub boxes: u16,
    pub halls: u16,
    pub engines: u16,
    /// Microseconds of an engine's step.
    pub step_us: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            boxes: 3,
            halls: 1,
            engines: 4,
            step_us: 1000,
        }
    }
}

/// A running fleet.
pub struct Fleet {
    pub made: Made,
    pub outside: Arc<Outside>,
    pub network: Arc<Network>,
    pub routers: Vec<Router>,
    pub pool: Pool,
}

/// Timers short enough for tests, in the same proportions as the defaults.
pub fn tuning() -> Tuning {
    Tuning {
        heartbeat_ms: Millis(100),
        suspect_ms: Millis(500),
        remove_ms: Millis(700),
        boxes_ms: Millis(300),
        probe_ms: Millis(1000),
        claim_pause_ms: Millis(5),
        store_ms: Millis(500),
        takeover_ms: Millis(300),
        linger_ms: Millis(1500),
        deadline_ms: Millis(60_000),
        grace_ms: Millis(200),
        stop_ms: Millis(20_000),
        ..Tuning::default()
    }
}

impl Fleet {
    /// Starts the stand-ins and all routers; nothing is applied yet.
    fn bare(plan: Plan, tuning: &Tuning) -> Self {
        for _ in 0..FLEETS {
            let number = NEXT.fetch_add(1, Ordering::SeqCst) % FLEETS;
            let made = make(plan, tuning, FIRST_PORT + number * PORTS);
            // Another process may use these ports; then the next ones serve.
            if !ports_are_free(&made) {
                continue;
            }
            if let Ok(outside) = Outside::start(&made.outside) {
                return Self::over(made, outside);
            }
        }
        panic!("no free ports");
    }

    fn over(made: Made, outside: Outside) -> Self {
        let network = Network::new(&made);
        let start = |settings: &Settings| Router::start(settings.clone(), &network);
        let routers = made.boxes.iter().map(start).collect();
        Self {
            made,
            outside: Arc::new(outside),
            network,
            routers,
            pool: Pool::new(),
        }
    }

    /// A fleet with its document in force on every box, ready to serve.
    pub fn start(plan: Plan) -> Self {
        Self::start_with(plan, tuning())
    }

    /// Like [`Fleet::start`], with timers of the caller's.
    pub fn start_with(plan: Plan, tuning: Tuning) -> Self {
        let fleet = Self::bare(plan, &tuning);
        fleet.apply(0).expect("the first document is applied");
        fleet.wait("in force and known to each other", || {
            let boxes = fleet.routers.len();
            fleet.routers.iter().all(|router| {
                let status = router.status();
                status.is_some_and(|s| s.generation.0 == 1 && s.boxes.len() == boxes)
            })
        });
        fleet.wait("able to serve", || fleet.chat(0, 0, 1).whole);
        fleet
    }

    /// Waits until something holds.
    pub fn wait(&self, what: &str, holds: impl Fn() -> bool) {
        self.wait_for(PATIENCE, what, holds);
    }

    /// Waits until something holds that would hold in any case after longer.
    pub fn wait_for(&self, limit: Duration, what: &str, holds: impl Fn() -> bool) {
        let begun = Instant::now();
        while !holds() {
            assert!(begun.elapsed() < limit, "gave up waiting: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Applies the made document through one router.
    pub fn apply(&self, router: usize) -> Result<ids::Generation, Fault> {
        self.apply_with(router, None, |_| {})
    }

    /// Applies the made document, changed, through one router.
    pub fn apply_with(
        &self,
        router: usize,
        expected: Option<u64>,
        change: impl FnOnce(&mut tidepier_config::Document),
    ) -> Result<ids::Generation, Fault> {
        let mut document = self.made.document.clone();
        change(&mut document);
        let wish = Apply {
            id: ids::Request::random(),
            expected: expected.map(ids::Generation),
            author: format!("router-{router}"),
            document: serde_json::to_value(&document).expect("a document"),
        };
        self.send_apply(router, &wish)
    }

    /// Sends a wish to apply.
    pub fn send_apply(&self, router: usize, wish: &Apply) -> Result<ids::Generation, Fault> {
        let body = serde_json::to_vec(wish).expect("a wish");
        let call = Call::post("/apply", body).header("authorization", bearer(OPERATOR_KEY));
        let admin = self.made.boxes[router].admin.0;
        let answer = self.call(admin, &call)?;
        let applied: Applied = parse(&answer)?;
        Ok(applied.generation)
    }

    /// Calls an address and waits for the whole answer.
    pub fn call(&self, address: SocketAddr, call: &Call) -> Result<Whole, Fault> {
        let sent = self.pool.whole(address, call, 1 << 20, PATIENCE);
        smol::block_on(sent).map_err(|error| Fault::new(Kind::Peer, error.to_string()))
    }

    /// All routers' addresses, in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.made.routers()
    }

    /// A chat of `tokens` tokens whose prompt follows from `number`.
    pub fn make_chat(&self, number: u64, tokens: u64) -> Chat {
        let account = &self.made.document.accounts[number as usize % 10].name;
        let content = format!(
            "Chat {number}: which van takes the bags of floor {}?",
            number % 7
        );
        Chat {
            key: key_of(account.as_str()),
            model: self.made.document.models[0].name.to_string(),
            messages: vec![Message {
                role: "user".into(),
                content,
            }],
            tokens,
        }
    }

    /// Sends one chat, first to `router`, and checks its answer.
    pub fn chat(&self, router: usize, number: u64, tokens: u64) -> Outcome {
        let chat = self.make_chat(number, tokens);
        smol::block_on(caller::ask(&self.pool, &self.addresses(), router, &chat))
    }

    /// Sends many chats at once, spread over the routers.
    pub fn chats(&self, numbers: std::ops::Range<u64>, tokens: u64) -> Vec<Outcome> {
        let addresses = self.addresses();
        let asked: Vec<_> = numbers
            .map(|number| {
                let chat = self.make_chat(number, tokens);
                let (pool, addresses) = (self.pool.clone(), addresses.clone());
                smol::spawn(
                    async move { caller::ask(&pool, &addresses, number as usize, &chat).await },
                )
            })
            .collect();
        smol::block_on(async {
            let mut outcomes = Vec::new();
            for one in asked {
                outcomes.push(one.await);
            }
            outcomes
        })
    }

    /// Posts a billing draft that must not run twice.
    pub fn draft(&self, router: usize, key: &str, id: &str) -> Result<Whole, Fault> {
        smol::block_on(draft(
            self.pool.clone(),
            self.addresses()[router],
            key.into(),
            id.into(),
        ))
    }

    /// How often a draft ran.
    pub fn runs(&self, id: &str) -> u64 {
        let service = self.outside.services.values().next().expect("a service");
        service.runs().get(id).copied().unwrap_or(0)
    }

    /// The engine of an index.
    pub fn engine(&self, index: usize) -> &tidepier_standin::fleet::EnginePart {
        let name = &self.made.document.engines[index].name;
        &self.outside.engines[name]
    }

    /// Whether every engine has loaded a version.
    pub fn loaded(&self, version: &str) -> bool {
        self.outside.engines.values().all(|part| {
            let orders = part.engine().orders.lock().unwrap();
            orders.loaded.version == version
        })
    }

    /// Orders with an old fencing number that engines took.
    pub fn stale_orders(&self) -> u64 {
        let engines = self.outside.engines.values();
        engines
            .map(|part| part.engine().orders.lock().unwrap().loaded.stale)
            .sum()
    }

    /// Starts a steward of a box.
    pub fn steward(&self, index: usize) -> Worker {
        let settings = self.made.boxes[index].clone();
        Worker::start(move |_| {
            let steward = Steward::new(settings);
            Box::pin(async move { steward.run().await })
        })
    }

    /// Generations in force, by router; 0 for one that is not up.
    pub fn generations(&self) -> Vec<u64> {
        let generation = |router: &Router| router.status().map_or(0, |s| s.generation.0);
        self.routers.iter().map(generation).collect()
    }
}

/// Whether all ports of the boxes can be bound.
fn ports_are_free(made: &Made) -> bool {
    let addresses = made
        .boxes
        .iter()
        .flat_map(|b| [b.callers, b.peers, b.admin]);
    let mut addresses = addresses.map(|address| address.0);
    addresses.all(|address| std::net::TcpListener::bind(address).is_ok())
}

/// Posts a draft.
pub async fn draft(
    pool: Pool,
    router: SocketAddr,
    key: String,
    id: String,
) -> Result<Whole, Fault> {
    let body = serde_json::json!({ "id": id }).to_string().into_bytes();
    let call = Call::post("/services/billing/drafts", body)
        .header("authorization", bearer(&key_of("drivers")))
        .header("idempotency-key", key)
        .header("tidepier-repeatable", "no")
        .header("tidepier-deadline-ms", "5000")
        .once();
    let sent = pool.whole(router, &call, 1 << 20, PATIENCE).await;
    sent.map_err(|error| Fault::new(Kind::Peer, error.to_string()))
}

/// An `Authorization` value.
pub fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Parses an answer, or takes the fault that it holds.
pub fn parse<T: serde::de::DeserializeOwned>(answer: &Whole) -> Result<T, Fault> {
    if answer.status >= 400 {
        return Err(fault_of(answer));
    }
    Ok(serde_json::from_slice(&answer.bytes).expect("an answer of its type"))
}

/// The fault in a refusal.
pub fn fault_of(answer: &Whole) -> Fault {
    let body: Body = serde_json::from_slice(&answer.bytes).expect("a refusal");
    Fault::new(body.error.kind, body.error.message)
}

fn make(plan: Plan, tuning: &Tuning, port: u16) -> Made {
    let size = Size {
        user: User::Safi,
        boxes: plan.boxes,
        engines: plan.engines,
        halls: plan.halls,
        accounts: 10,
        port,
        policy: Policy::Tidepier,
        cache_tokens: 200_000,
    };
    let mut made = Made::new(&size);
    made.outside.engine.step_us = plan.step_us;
    for settings in &mut made.boxes {
        settings.tuning = tuning.clone();
    }
    made
}

/// Reads a router's status.
pub fn status(address: SocketAddr) -> Option<Status> {
    let call = Call::get("/status").header("authorization", bearer(OPERATOR_KEY));
    let pool = Pool::new();
    let sent = pool.whole(address, &call, 1 << 20, Duration::from_millis(500));
    let answer = smol::block_on(sent).ok()?;
    serde_json::from_slice(&answer.bytes).ok()
}
