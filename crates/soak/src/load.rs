//! Clients of the soak: each sends one request after the other over a kept connection,
//! until it is told to stop.
//!
//! In addition, some idle connections are held at each box until the box closes them.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::{Task, Timer};
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::{names, Client};

use crate::fleet::Fleet;
use crate::ledger::{self, Fact, Request, TakeUp, Traffic};
use crate::misuse::Manner;
use crate::plan;
use crate::schedule::Schedule;

/// Bound on the clients of each box.
const CLIENTS_PER_BOX: usize = 6;
/// The same beside silences, rollouts and harms, where most of them wait for servers.
const STREAM_CLIENTS_PER_BOX: usize = 16;
/// Bound on the clients of all boxes together, but each box has at least one.
const CLIENTS_MAX: usize = 48;
/// Idle connections at each box.
const IDLE_CONNECTIONS: usize = 3;
/// Pause between two requests of a client, in ms.
const THINK_TIME_MS: Range<u64> = 30..140;
/// The same where servers stand still: so many clients send requests slowly that those that
/// wait do not keep the others from sending.
const SLOW_THINK_TIME_MS: Range<u64> = 300..900;
/// Bound on the clients of all boxes together there.
const SLOW_CLIENTS_MAX: usize = 480;
/// Pause after a connection attempt that failed.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time-out for reading surplus bytes on a connection without a request in flight.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(100);
/// Share of the streams that are about the hot subject, and the number of other subjects.
const HOT_SHARE: f64 = 0.6;
const SUBJECTS: u64 = 60;
/// Number of subjects of the sound streams beside ones that crash servers.
const SOUND_SUBJECTS: u64 = 20;
/// Attempts of a client to take a stream up, and the pauses before them, in ms.
const TAKE_UPS_MAX: u32 = 3;
const TAKE_UP_PAUSES_MS: [u64; 4] = [0, 0, 200, 1_000];
/// Such attempts beside rollouts, if they name the stream: they go on until boxes that were
/// killed serve again.
const ROLLOUT_TAKE_UPS_MAX: u32 = 16;
/// Share of them that name the first request, and of those at the box that is chosen for them.
const NAMED_SHARE: f64 = 0.6;
const CHOSEN_BOX_SHARE: f64 = 0.7;
/// Share of the requests that are streams beside silences and rollouts, beyond their share of
/// all kinds of requests.
const STREAM_SHARE: f64 = 0.5;
/// Share of the requests that are sent over a new connection.
const NEW_CONNECTION_SHARE: f64 = 0.1;

/// Running clients.
pub struct Load {
    stopped: Arc<AtomicBool>,
    clients: Vec<Task<()>>,
    _idle_connections: Vec<Task<()>>,
}

impl Load {
    /// Starts clients at all boxes.
    pub fn start(fleet: &Arc<Fleet>, schedule: &Schedule) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let next_number = Arc::new(AtomicU64::new(0));
        let (mut clients, mut idle_connections) = (Vec::new(), Vec::new());
        let (clients_max, think_time_ms) = match schedule.standstills {
            true => (SLOW_CLIENTS_MAX, SLOW_THINK_TIME_MS),
            false => (CLIENTS_MAX, THINK_TIME_MS),
        };
        let per_box_max = match schedule.rollouts || schedule.silences || schedule.harms {
            true => STREAM_CLIENTS_PER_BOX,
            false => CLIENTS_PER_BOX,
        };
        let per_box = (clients_max / fleet.box_count()).clamp(1, per_box_max);
        for box_index in 0..fleet.box_count() {
            for client in 0..per_box {
                let stream = (box_index * per_box + client) as u64;
                let mut rng = ChaCha8Rng::seed_from_u64(schedule.seed);
                rng.set_stream(stream + 1);
                let client_task = ClientTask {
                    fleet: fleet.clone(),
                    box_index,
                    next_number: next_number.clone(),
                    stopped: stopped.clone(),
                    rng,
                    hot_subject: schedule.hot_subject,
                    releases: schedule.releases,
                    prompts: schedule.prompts,
                    silences: schedule.silences,
                    rollouts: schedule.rollouts,
                    think_time_ms: think_time_ms.clone(),
                    client: None,
                };
                clients.push(smol::spawn(client_task.run()));
            }
            for _ in 0..IDLE_CONNECTIONS {
                idle_connections.push(smol::spawn(hold_idle_connection(fleet.clone(), box_index)));
            }
        }
        Self {
            stopped,
            clients,
            _idle_connections: idle_connections,
        }
    }

    /// Stops the clients, each after its current request.
    pub async fn finish(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.await;
        }
    }
}

/// Holds an idle connection until the box closes it, then opens another one.
async fn hold_idle_connection(fleet: Arc<Fleet>, box_index: usize) {
    loop {
        if let Ok(mut client) = Client::open(fleet.client_address(box_index)).await {
            while client.rests() {
                Timer::after(CONNECT_RETRY_PAUSE).await;
            }
        }
        Timer::after(CONNECT_RETRY_PAUSE).await;
    }
}

struct ClientTask {
    fleet: Arc<Fleet>,
    box_index: usize,
    next_number: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    rng: ChaCha8Rng,
    /// Whether streams have prompts, most of them about one subject.
    hot_subject: bool,
    /// Whether streams that break off are taken up.
    releases: bool,
    /// Whether the prompts of streams share a part with those that crash servers.
    prompts: bool,
    /// Whether most requests are streams.
    silences: bool,
    /// Whether most requests are streams that may be taken up.
    rollouts: bool,
    /// Pause between two requests, in ms.
    think_time_ms: Range<u64>,
    client: Option<Client>,
}

impl ClientTask {
    async fn run(mut self) {
        while !self.stopped.load(Ordering::Relaxed) {
            let think = Duration::from_millis(self.rng.random_range(self.think_time_ms.clone()));
            Timer::after(think).await;
            self.send_one().await;
        }
    }

    async fn send_one(&mut self) {
        let traffic = self.pick_traffic();
        let key = (traffic == Traffic::Keyed).then(|| self.fleet.pick_key(&mut self.rng));
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number}", self.box_index);
        let mut call = Call::new("POST", HOST, &traffic.target(&id), &id);
        call = call.body(ledger::BODY).leaving(plan::CLIENT_TIMEOUT);
        if let Some(key) = &key {
            call = call.key(key);
        }
        if self.hot_subject && matches!(traffic, Traffic::Resumable | Traffic::Single) {
            call = call.with(names::PROMPT, &self.prompt());
        }
        if self.prompts && matches!(traffic, Traffic::Resumable | Traffic::Single) {
            let subject = self.rng.random_range(1..=SOUND_SUBJECTS);
            call = call.with(names::PROMPT, &plan::prompt(&[subject], self.rng.random()));
        }
        if self.rng.random_bool(NEW_CONNECTION_SHARE) {
            self.client = None;
        }
        let Some(mut client) = self.connected().await else {
            Timer::after(CONNECT_RETRY_PAUSE).await;
            return;
        };
        let request = Request {
            id,
            traffic,
            content: None,
            crashing_part: None,
            takes_up: None,
            manner: Manner::Usual,
            box_index: self.box_index,
            key,
            sent: Instant::now(),
            ended: None,
            answer: None,
        };
        let first = request.id.clone();
        let number = self.fleet.ledger.record_sent(request);
        let answer = client.call(&call).await;
        if answer.is_reusable() {
            self.client = Some(client);
        }
        let held = answer.ids().last().copied();
        let broken = answer.status == 200 && !answer.complete;
        self.fleet.ledger.record_ended(number, Some(answer));
        if let Some(after) = held.filter(|_| self.releases && traffic == Traffic::Resumable) {
            if broken {
                self.take_up(&first, after).await;
            }
        }
    }

    fn pick_traffic(&mut self) -> Traffic {
        let streams: &[Traffic] = match (self.silences, self.rollouts) {
            (true, false) => &[Traffic::Resumable, Traffic::Single],
            (_, true) => &[Traffic::Resumable],
            (false, false) => &[],
        };
        let is_stream = !streams.is_empty() && self.rng.random_bool(STREAM_SHARE);
        let kinds = match is_stream {
            true => streams,
            false => &Traffic::ALL,
        };
        *kinds.choose(&mut self.rng).unwrap_or(&Traffic::Repeatable)
    }

    /// Takes a stream up at any box, at once or later, until it is complete or a few
    /// attempts have failed.
    async fn take_up(&mut self, first: &str, mut after: u64) {
        let is_named = !self.rollouts || self.rng.random_bool(NAMED_SHARE);
        let attempts_max = match self.rollouts && is_named {
            true => ROLLOUT_TAKE_UPS_MAX,
            false => TAKE_UPS_MAX,
        };
        for attempt in 1..=attempts_max {
            let pause = *TAKE_UP_PAUSES_MS.choose(&mut self.rng).unwrap_or(&0);
            Timer::after(Duration::from_millis(pause)).await;
            let mut box_index = self.rng.random_range(0..self.fleet.box_count());
            if let Some(chosen) = self.fleet.take_up_box() {
                if self.rng.random_bool(CHOSEN_BOX_SHARE) {
                    box_index = chosen;
                }
            }
            let id = format!("{first}-{attempt}");
            let call = Call::new("POST", HOST, &Traffic::Resumable.target(&id), &id);
            let call = call.body(ledger::BODY).leaving(plan::CLIENT_TIMEOUT);
            let mut call = call.with(names::LAST_EVENT, &after.to_string());
            if is_named {
                call = call.with(names::RESUMES, first);
            }
            let Ok(mut client) = Client::open(self.fleet.client_address(box_index)).await else {
                continue;
            };
            let number = self.fleet.ledger.record_sent(Request {
                id,
                traffic: Traffic::Resumable,
                content: None,
                crashing_part: None,
                takes_up: Some(TakeUp {
                    first: first.into(),
                    after,
                    is_named,
                }),
                manner: Manner::Usual,
                box_index,
                key: None,
                sent: Instant::now(),
                ended: None,
                answer: None,
            });
            let answer = client.call(&call).await;
            let is_over = answer.complete && answer.status == 200;
            after = answer.ids().last().copied().unwrap_or(after);
            self.fleet.ledger.record_ended(number, Some(answer));
            if is_over {
                return;
            }
        }
    }

    /// The parts of a stream's prompt: a subject that others share, and a question.
    fn prompt(&mut self) -> String {
        let subject = match self.rng.random_bool(HOT_SHARE) {
            true => 0,
            false => self.rng.random_range(1..=SUBJECTS),
        };
        let own: u64 = self.rng.random();
        plan::prompt_of(&[subject], own)
    }

    /// Returns the kept connection if it is still open, otherwise a new one.
    async fn connected(&mut self) -> Option<Client> {
        if let Some(mut client) = self.client.take() {
            if client.rests() {
                return Some(client);
            }
            // The box closed it, or sent bytes without a request in flight.
            let surplus = client.answer("POST", SURPLUS_TIMEOUT).await;
            if surplus.status != 0 {
                let fact = Fact::Surplus(self.box_index, surplus.status);
                self.fleet.ledger.record_fact(fact);
            }
        }
        Client::open(self.fleet.client_address(self.box_index))
            .await
            .ok()
    }
}
