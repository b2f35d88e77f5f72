//! A backend server.
//!
//! Every request that reaches it is kept as a [`Run`], also one that it
//! refuses. An answer's bytes follow from the request alone ([`Run::text`]), so
//! that a stream continued elsewhere can be compared with one that was not.

mod answer;
mod desk;
mod work;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use event_listener::Event;
use smol::Task;

use crate::front;
use desk::Desk;

/// What a server is and how long it works.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its data hall.
    pub hall: String,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that wait for a slot; more get 503.
    pub queue: usize,
    /// Connections that it takes; more are reset.
    pub connections: usize,
    /// Path of its health check.
    pub health_path: String,
    /// Work per request, or before the first event.
    pub work: Duration,
    /// Further work per token of the prompt that is not kept here.
    pub prefill: Duration,
    /// Size of its answers' bodies, in bytes; none for a stream.
    pub answer_bytes: usize,
    /// Present when it answers with events.
    pub events: Option<Events>,
    /// Whether it reports its load with its answers.
    pub tells_load: bool,
    /// Whether it drops a request whose connection closes.
    pub drops: bool,
}

/// The events of a stream.
#[derive(Debug, Clone, Copy)]
pub struct Events {
    /// How many.
    pub count: u64,
    /// Pause between two.
    pub pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: "i-1".into(),
            service: "service-1".into(),
            hall: "hall-1".into(),
            slots: 4,
            queue: 2,
            connections: usize::MAX,
            health_path: "/healthz".into(),
            work: Duration::from_millis(5),
            prefill: Duration::ZERO,
            answer_bytes: 64,
            events: None,
            tells_load: true,
            drops: true,
        }
    }
}

/// What goes wrong with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// 503 and not run.
    Shed,
    /// 429 and not run.
    Busy,
    /// Run, and failed with 500.
    Failure,
    /// Run, and never answered.
    Hang,
    /// Read, not run, and the connection reset.
    Reset,
    /// Run to its end, and the connection reset before the answer.
    LostAnswer,
    /// Run, and answered with bytes that are no answer.
    Garbage,
    /// A second answer follows the answer.
    Extra,
    /// A second answer comes when the next request is sent.
    LateExtra,
    /// The answer ends with its connection.
    Unframed,
    /// The answer comes before the body is read.
    Early,
    /// The connection closes within an event, half way through a stream.
    CutEvent,
    /// The connection closes half way through the answer.
    BreakOff,
    /// The answer's connection ends with it, as its head says.
    Close,
}

/// What has become of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It waits for a slot.
    Waiting,
    /// It was refused with this status, or with a reset (0).
    Refused(u16),
    /// It is worked on.
    Running,
    /// It ran to its end.
    Finished,
    /// Work stopped half way, by a fault or at the deadline.
    Stopped,
    /// Its connection closed before its end.
    Left,
}

/// One request that reached the server.
#[derive(Debug, Clone)]
pub struct Run {
    /// The client's id of the attempt.
    pub attempt: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// All fields of the head.
    pub fields: Vec<(String, String)>,
    /// When the head had arrived.
    pub arrived: Instant,
    /// The body, once it was read whole.
    pub body: Option<Vec<u8>>,
    /// The connection it came over, counted from 0.
    pub connection: usize,
    /// When the connection was seen to close during it.
    pub closed: Option<Instant>,
    /// What has become of it.
    pub outcome: Outcome,
    /// When it no longer counted towards the server's load.
    pub ended: Option<Instant>,
    /// The signature under its answer.
    pub seal: String,
    /// Tokens of the prompt that were not kept here.
    pub prefilled: u64,
    /// When each of its events was made.
    pub made: Vec<Instant>,
    /// When its answer was begun that said that the server leaves.
    pub said_leaving: Option<Instant>,
    /// The rest that it was turned away with, in seconds, and when.
    pub said_rest: Option<(String, Instant)>,
}

impl Run {
    /// The value of a field of the request, by its name in any case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(told, _)| told.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// Whether the server began work on it.
    pub fn ran(&self) -> bool {
        !matches!(self.outcome, Outcome::Waiting | Outcome::Refused(_))
    }

    /// Whether the server began work on it and did not end that: it still does, or it
    /// crashed meanwhile.
    pub fn is_open(&self) -> bool {
        self.ran() && self.ended.is_none()
    }

    /// Whether it waited or was worked on at a moment after its arrival.
    pub fn held_at(&self, at: Instant) -> bool {
        self.arrived < at && self.ended.is_none_or(|ended| ended > at)
    }

    /// The body of a whole answer of `length` bytes to it.
    pub fn text(&self, length: usize) -> Vec<u8> {
        let line = format!("{} {} {}\n", self.method, self.target, self.attempt);
        line.bytes().cycle().take(length).collect()
    }
}

/// The text of one event; the same at every server.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

#[derive(Debug)]
struct State {
    fault: Option<(Fault, u32)>,
    dark: bool,
    slow: f64,
    idle_close: Option<Duration>,
    unwell: bool,
    /// Whether its answers say that it leaves.
    leaving: bool,
    /// What it asks for, in seconds, when it turns a request away.
    rest: Option<String>,
    runs: Vec<Run>,
    kept: HashMap<u64, u32>,
    /// A list of kept parts that takes the place of the true one.
    told_kept: Option<Vec<u8>>,
    /// Bodies of requests that end the server.
    ends_on: Vec<Vec<u8>>,
    /// When it crashed.
    crashed: Option<Instant>,
    opened: usize,
    open: usize,
    probes: u64,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    desk: Arc<Desk>,
    state: Mutex<State>,
    lit: Event,
    /// Takes connections until it is dropped.
    listening: Mutex<Option<Task<()>>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether a request with this body ends the server.
    fn ends_on(&self, body: &[u8]) -> bool {
        self.lock().ends_on.iter().any(|ends| ends == body)
    }

    fn listening(&self) -> MutexGuard<'_, Option<Task<()>>> {
        let listening = self.listening.lock();
        listening.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn crash(&self) {
        let listening = self.listening().take();
        if listening.is_some() {
            self.lock().crashed = Some(Instant::now());
        }
    }
}

/// A running backend server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.listening().take();
    }
}

impl Server {
    /// Starts a server at a free port.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        Self::start_at(front::anywhere(), settings)
    }

    /// Starts a server at an address, such as one that another had.
    ///
    /// # Errors
    ///
    /// The address could not be bound.
    pub fn start_at(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let desk = Desk::new(settings.slots, settings.queue);
        let state = State {
            fault: None,
            dark: false,
            slow: 1.0,
            idle_close: None,
            unwell: false,
            leaving: false,
            rest: None,
            runs: Vec::new(),
            kept: HashMap::new(),
            told_kept: None,
            ends_on: Vec::new(),
            crashed: None,
            opened: 0,
            open: 0,
            probes: 0,
        };
        let shared = Arc::new(Shared {
            settings,
            desk: Arc::new(desk),
            state: Mutex::new(state),
            lit: Event::new(),
            listening: Mutex::default(),
        });
        let serving = shared.clone();
        let serve = move |conn| work::serve(serving.clone(), conn);
        let (address, listening) = front::listen(address, serve)?;
        *shared.listening() = Some(listening);
        Ok(Self { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it is.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Crashes: its port and connections close.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Crashes when it has worked on a request with this body, before its answer.
    pub fn end_on(&self, body: &[u8]) {
        self.shared.lock().ends_on.push(body.to_vec());
    }

    /// When it crashed.
    pub fn crashed(&self) -> Option<Instant> {
        self.shared.lock().crashed
    }

    /// Whether it has crashed.
    pub fn is_crashed(&self) -> bool {
        self.shared.listening().is_none()
    }

    /// Lets the next `count` requests go wrong; `u32::MAX` is all of them.
    pub fn fault(&self, fault: Fault, count: u32) {
        self.shared.lock().fault = Some((fault, count));
    }

    /// Says in all answers that it leaves, or no longer.
    pub fn leave(&self, leaving: bool) {
        self.shared.lock().leaving = leaving;
    }

    /// Asks for rest with each 503, as a text of seconds, or no longer.
    pub fn ask_rest(&self, seconds: Option<&str>) {
        self.shared.lock().rest = seconds.map(str::to_owned);
    }

    /// Ends faults, darkness, slowness, early closing, bad health, the rest it asks for
    /// and what requests end. A server that leaves goes on saying so.
    pub fn heal(&self) {
        let mut state = self.shared.lock();
        state.fault = None;
        state.slow = 1.0;
        state.idle_close = None;
        state.unwell = false;
        state.rest = None;
        state.ends_on.clear();
        drop(state);
        self.dark(false);
    }

    /// Goes silent on all connections, or comes back.
    pub fn dark(&self, dark: bool) {
        self.shared.lock().dark = dark;
        self.shared.lit.notify(usize::MAX);
    }

    /// Makes work take so many times its usual time.
    pub fn slow(&self, factor: f64) {
        self.shared.lock().slow = factor;
    }

    /// Closes connections that have rested for so long.
    pub fn close_idle(&self, after: Option<Duration>) {
        self.shared.lock().idle_close = after;
    }

    /// Answers health checks with 503, or with 200 again.
    pub fn unwell(&self, unwell: bool) {
        self.shared.lock().unwell = unwell;
    }

    /// Answers with these bytes when asked which parts it keeps.
    pub fn tell_kept(&self, body: &[u8]) {
        self.shared.lock().told_kept = Some(body.to_vec());
    }

    /// Everything that reached it, in order, apart from health checks, reports
    /// and lists.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// How often the attempt was run here.
    pub fn ran(&self, attempt: &str) -> usize {
        let state = self.shared.lock();
        let runs = state.runs.iter().filter(|run| run.attempt == attempt);
        runs.filter(|run| run.ran()).count()
    }

    /// Requests that are worked on now.
    pub fn running(&self) -> u32 {
        self.shared.desk.load().running
    }

    /// Connections opened to it so far, and those open now.
    pub fn connections(&self) -> (usize, usize) {
        let state = self.shared.lock();
        (state.opened, state.open)
    }

    /// Health checks, reports and lists so far.
    pub fn probes(&self) -> u64 {
        self.shared.lock().probes
    }
}
