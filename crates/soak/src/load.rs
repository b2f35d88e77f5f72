//! Clients of the soak: each keeps a connection, sends one request after the
//! other over it, and goes on until it is told to end.
//!
//! Besides, some connections rest at each box until the box closes them.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::{Task, Timer};
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::Client;

use crate::fleet::Fleet;
use crate::ledger::{self, Attempt, Fact, Traffic};
use crate::plan;

/// Clients at each box, ...
const CLIENTS: usize = 6;
/// ... and of all boxes together at the most, but for one at each.
const CLIENTS_MAX: usize = 48;
/// Connections that rest at each box.
const RESTING: usize = 3;
/// Pause between two requests of a client, in ms.
const THINK_MS: std::ops::Range<u64> = 30..140;
/// Pause after a connection that did not come up.
const PAUSE: Duration = Duration::from_millis(150);
/// Time to read what came on a connection where no request waits.
const SURPLUS_TIME: Duration = Duration::from_millis(100);
/// Of how many requests one goes over a new connection.
const FRESH: f64 = 0.1;
/// Running clients.
pub struct Load {
    over: Arc<AtomicBool>,
    clients: Vec<Task<()>>,
    _resting: Vec<Task<()>>,
}

impl Load {
    /// Starts clients at all boxes.
    pub fn start(fleet: &Arc<Fleet>, seed: u64) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let numbers = Arc::new(AtomicU64::new(0));
        let (mut clients, mut resting) = (Vec::new(), Vec::new());
        let each = (CLIENTS_MAX / fleet.boxes()).clamp(1, CLIENTS);
        for place in 0..fleet.boxes() {
            for client in 0..each {
                let stream = (place * each + client) as u64;
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                rng.set_stream(stream + 1);
                let one = Sender {
                    fleet: fleet.clone(),
                    place,
                    numbers: numbers.clone(),
                    over: over.clone(),
                    rng,
                    client: None,
                };
                clients.push(smol::spawn(one.run()));
            }
            for _ in 0..RESTING {
                resting.push(smol::spawn(rest(fleet.clone(), place)));
            }
        }
        Self {
            over,
            clients,
            _resting: resting,
        }
    }

    /// Ends the clients, each after its request.
    pub async fn finish(self) {
        self.over.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.await;
        }
    }
}

/// Keeps a connection open for as long as the box does.
async fn rest(fleet: Arc<Fleet>, place: usize) {
    loop {
        if let Ok(mut client) = Client::open(fleet.front(place)).await {
            while client.rests() {
                Timer::after(PAUSE).await;
            }
        }
        Timer::after(PAUSE).await;
    }
}

struct Sender {
    fleet: Arc<Fleet>,
    place: usize,
    numbers: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    rng: ChaCha8Rng,
    client: Option<Client>,
}

impl Sender {
    async fn run(mut self) {
        while !self.over.load(Ordering::Relaxed) {
            let think = Duration::from_millis(self.rng.random_range(THINK_MS));
            Timer::after(think).await;
            self.send_one().await;
        }
    }

    async fn send_one(&mut self) {
        let traffic = *Traffic::ALL
            .choose(&mut self.rng)
            .unwrap_or(&Traffic::Repeatable);
        let key = (traffic == Traffic::Keyed).then(|| self.fleet.some_key(&mut self.rng));
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number}", self.place);
        let mut call = Call::new("POST", HOST, &traffic.target(&id), &id);
        call = call.body(ledger::BODY).leaving(plan::LEAVE);
        if let Some(key) = &key {
            call = call.key(key);
        }
        if self.rng.random_bool(FRESH) {
            self.client = None;
        }
        let Some(mut client) = self.connected().await else {
            Timer::after(PAUSE).await;
            return;
        };
        let attempt = Attempt {
            id,
            traffic,
            asks: None,
            place: self.place,
            key,
            sent: Instant::now(),
            ended: None,
            answer: None,
        };
        let number = self.fleet.ledger.sent(attempt);
        let answer = client.call(&call).await;
        if keeps(&answer) {
            self.client = Some(client);
        }
        self.fleet.ledger.ended(number, Some(answer));
    }

    /// The kept connection, if it is still open, or a new one.
    async fn connected(&mut self) -> Option<Client> {
        if let Some(mut client) = self.client.take() {
            if client.rests() {
                return Some(client);
            }
            // It was closed, or something came that nobody waits for.
            let surplus = client.answer("POST", SURPLUS_TIME).await;
            if surplus.status != 0 {
                let fact = Fact::Surplus(self.place, surplus.status);
                self.fleet.ledger.fact(fact);
            }
        }
        Client::open(self.fleet.front(self.place)).await.ok()
    }
}

/// Whether the connection of an answer can take another request.
fn keeps(answer: &Answer) -> bool {
    let close = answer.field("Connection");
    answer.complete && close.is_none_or(|told| !told.eq_ignore_ascii_case("close"))
}
