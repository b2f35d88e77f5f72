//! A stand-in for a backend server.
//!
//! Every request that reaches it is recorded as a [`Run`], also one that it refuses. The
//! bytes of an answer depend on the request alone ([`Run::text`]), so that a stream that is
//! continued at another server can be compared with one that was not.

mod admission;
mod answer;
mod connection;
mod odd;

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use event_listener::Event;
use smol::Task;
use tidepier_core::request::Part;

use crate::http;
use crate::partition::{Cut, Partitions};
use admission::Admission;

pub use odd::{Odd, Order};

/// The identity of a server and the time that its work takes.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its data hall.
    pub hall: String,
    /// Requests that it processes concurrently.
    pub slots: usize,
    /// Length of the queue; further requests get 503.
    pub queue: usize,
    /// Bound on its connections; further ones are reset.
    pub connections: usize,
    /// Path of its health check.
    pub health_path: String,
    /// Time per request, or until the first event.
    pub work: Duration,
    /// Additional time per token of the prompt that is not cached.
    pub prefill: Duration,
    /// Size of the bodies of its answers, in bytes; does not apply to streams.
    pub answer_bytes: usize,
    /// Set if it answers with events.
    pub events: Option<Events>,
    /// The release of its software, which its events name; `None`: they name none, and its
    /// entry names `v1`.
    pub release: Option<String>,
    /// Whether its answers report its load.
    pub reports_load: bool,
    /// Whether it stops a request whose connection closes.
    pub drops: bool,
}

/// The events of a stream.
#[derive(Debug, Clone, Copy)]
pub struct Events {
    /// Number of events.
    pub count: u64,
    /// Pause between two events.
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
            release: None,
            reports_load: true,
            drops: true,
        }
    }
}

/// A fault in the handling of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// 503 without execution.
    Shed,
    /// 429 without execution.
    Busy,
    /// Executed, then 500.
    Failure,
    /// Executed, but never answered.
    Hang,
    /// Read but not executed; the connection is reset.
    Reset,
    /// Executed completely; the connection is reset before the answer.
    LostAnswer,
    /// Executed; the answer is not valid HTTP.
    Garbage,
    /// A second answer follows directly after the answer.
    Extra,
    /// A second answer is sent when the next request arrives.
    LateExtra,
    /// The answer has no length and ends with its connection.
    Unframed,
    /// The answer is sent before the body is read.
    Early,
    /// The answer has no length and is sent before the body is read; the connection ends while
    /// the client is still sending.
    EarlyUnframed(EarlyEnd),
    /// The connection closes in the middle of an event, half-way through a stream.
    CutEvent,
    /// The connection closes half-way through the answer.
    BreakOff,
    /// The connection closes after the answer, as its head announces.
    Close,
    /// Executed; only the beginning of the answer's head is sent.
    CutHead {
        /// Bytes that are sent; at most all but the last one of the head.
        sent: u16,
        /// What happens to the connection then.
        end: CutEnd,
    },
    /// Executed; what is sent is no proper answer. Health checks, load reports and lists of
    /// cached parts get the same.
    Odd(Odd),
    /// Executed; the answer has one line that it should not have.
    Line {
        /// Where the line is.
        place: Place,
        /// The line, without its end.
        text: &'static str,
    },
}

/// The place of a line in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Before the answer, as a head of its own.
    Interim,
    /// In place of the first line.
    Status,
    /// After the first line.
    Field,
    /// After the last chunk of the body.
    Trailer,
}

/// What happens to a connection on which an answer was cut short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutEnd {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It stays open until the client closes it.
    Open,
}

/// What ends an early answer without a length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlyEnd {
    /// A part of it is sent, of a stream some whole events; after this pause the connection is
    /// reset.
    Reset(Duration),
    /// All of it is sent and the sending side is shut down. The connection is then closed with
    /// the body unread, which resets it.
    Shutdown,
}

/// When a second copy of an answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Directly after the answer.
    AtOnce,
    /// This long after the answer.
    After(Duration),
    /// When as many further requests have arrived on the connection.
    AtRequest(u32),
}

/// The state or outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It waits for a slot.
    Waiting,
    /// It was refused with this status, or with a reset (0).
    Refused(u16),
    /// It is being executed.
    Running,
    /// It was executed completely.
    Finished,
    /// Execution stopped part-way, by a fault or at the deadline.
    Stopped,
    /// Its connection closed before execution ended.
    Left,
}

/// The record of a request that reached the server.
#[derive(Debug, Clone)]
pub struct Run {
    /// The attempt id that the request names.
    pub attempt: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// All fields of the head.
    pub fields: Vec<(String, String)>,
    /// When the head was received.
    pub arrived: Instant,
    /// The body, once it was read completely.
    pub body: Option<Vec<u8>>,
    /// Number of the connection that it arrived on, counted from 0.
    pub connection: usize,
    /// When the connection was seen to close during the request.
    pub closed: Option<Instant>,
    /// Its state or outcome.
    pub outcome: Outcome,
    /// When it stopped counting towards the load of the server.
    pub ended: Option<Instant>,
    /// The signature in its answer.
    pub seal: String,
    /// What is odd about its answer.
    pub odd: Option<Odd>,
    /// Tokens of the prompt that were not cached.
    pub prefill_tokens: u64,
    /// When each of its events was generated.
    pub made: Vec<Instant>,
    /// When an answer to it began that announces that the server leaves.
    pub leaving_announced: Option<Instant>,
    /// The back-off that its rejection requests, in seconds, and when.
    pub backoff_requested: Option<(String, Instant)>,
}

impl Run {
    /// The value of a field of the request; the case of the name does not matter.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// Whether the server began to execute it.
    pub fn ran(&self) -> bool {
        !matches!(self.outcome, Outcome::Waiting | Outcome::Refused(_))
    }

    /// Whether the server began to execute it and that did not end: it still runs, or the
    /// server crashed meanwhile.
    pub fn is_open(&self) -> bool {
        self.ran() && self.ended.is_none()
    }

    /// Whether it was waiting or being executed at a moment after its arrival.
    pub fn held_at(&self, at: Instant) -> bool {
        self.arrived < at && self.ended.is_none_or(|ended| ended > at)
    }

    /// The body of a complete answer of `length` bytes.
    pub fn text(&self, length: usize) -> Vec<u8> {
        let line = format!("{} {} {}\n", self.method, self.target, self.attempt);
        line.bytes().cycle().take(length).collect()
    }
}

/// The text of an event, which is the same at every server whose events name no release.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// The text of an event that names the release that wrote it.
pub fn event_of(id: u64, release: Option<&str>) -> String {
    match release {
        Some(release) => format!("id: {id}\ndata: piece {id} of {release}\n\n"),
        None => event(id),
    }
}

/// The release that an event names.
pub fn release_of(event: &str) -> Option<&str> {
    let (_, release) = event.lines().find_map(|line| line.split_once(" of "))?;
    Some(release)
}

#[derive(Debug)]
struct State {
    fault: Option<(Fault, u32)>,
    /// When second copies of answers are sent, and of how many.
    repeat: Option<(Repeat, u32)>,
    dark: bool,
    slow: f64,
    idle_close: Option<Duration>,
    unhealthy: bool,
    /// Whether its answers announce that it leaves.
    leaving: bool,
    /// The back-off that its rejections request, in seconds.
    backoff: Option<String>,
    runs: Vec<Run>,
    cached_parts: HashMap<u64, u32>,
    /// A list of cached parts that replaces the true one.
    cache_list_override: Option<Vec<u8>>,
    /// Bodies of requests that crash the server.
    crash_bodies: Vec<Vec<u8>>,
    /// Prompt parts under which the server crashes.
    crash_parts: Vec<u64>,
    /// When it crashed.
    crashed: Option<Instant>,
    connections_opened: usize,
    connections_open: usize,
    probes: u64,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    admission: Arc<Admission>,
    state: Mutex<State>,
    dark_ended: Event,
    partitions: Arc<Partitions>,
    /// Accepts connections until it is dropped.
    listening: Mutex<Option<Task<()>>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether a request with this body and these prompt parts crashes the server.
    fn crashes_on(&self, body: &[u8], parts: &[Part]) -> bool {
        let state = self.lock();
        let mut parts = parts.iter();
        state.crash_bodies.iter().any(|ends| ends == body)
            || parts.any(|part| state.crash_parts.contains(&part.id))
    }

    fn listening(&self) -> MutexGuard<'_, Option<Task<()>>> {
        let listening = self.listening.lock();
        listening.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn crash(&self) {
        let listening = self.listening().take();
        self.partitions.close();
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
        self.shared.partitions.close();
    }
}

impl Server {
    /// Starts a server at a free port.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        Self::start_at(http::any_port(), settings)
    }

    /// Starts a server at an address, such as that of an earlier one.
    ///
    /// # Errors
    ///
    /// The address could not be bound.
    pub fn start_at(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let admission = Admission::new(settings.slots, settings.queue);
        let state = State {
            fault: None,
            repeat: None,
            dark: false,
            slow: 1.0,
            idle_close: None,
            unhealthy: false,
            leaving: false,
            backoff: None,
            runs: Vec::new(),
            cached_parts: HashMap::new(),
            cache_list_override: None,
            crash_bodies: Vec::new(),
            crash_parts: Vec::new(),
            crashed: None,
            connections_opened: 0,
            connections_open: 0,
            probes: 0,
        };
        let shared = Arc::new(Shared {
            settings,
            admission: Arc::new(admission),
            state: Mutex::new(state),
            dark_ended: Event::new(),
            partitions: Arc::default(),
            listening: Mutex::default(),
        });
        let serving = shared.clone();
        let serve = move |conn| connection::serve(serving.clone(), conn);
        let (address, listening) = http::listen(address, shared.partitions.clone(), serve)?;
        *shared.listening() = Some(listening);
        Ok(Self { address, shared })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Crashes the server: its port and connections close.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Makes the server crash after it has executed a request with this body, before the
    /// answer.
    pub fn end_on(&self, body: &[u8]) {
        self.shared.lock().crash_bodies.push(body.to_vec());
    }

    /// Makes the server crash when it begins to answer a request with this part in its
    /// prompt.
    pub fn end_on_part(&self, part: u64) {
        self.shared.lock().crash_parts.push(part);
    }

    /// When it crashed.
    pub fn crashed(&self) -> Option<Instant> {
        self.shared.lock().crashed
    }

    /// Whether it has crashed.
    pub fn is_crashed(&self) -> bool {
        self.shared.listening().is_none()
    }

    /// Makes the next `count` requests fail in this way; `u32::MAX` stands for all of them.
    pub fn fault(&self, fault: Fault, count: u32) {
        self.shared.lock().fault = Some((fault, count));
    }

    /// Sends second copies of the next `count` answers, whatever these are, but not of
    /// streams; `u32::MAX` stands for all of them.
    pub fn repeat_answers(&self, repeat: Repeat, count: u32) {
        self.shared.lock().repeat = Some((repeat, count));
    }

    /// Sets whether all answers announce that the server leaves.
    pub fn leave(&self, leaving: bool) {
        self.shared.lock().leaving = leaving;
    }

    /// Sets the back-off that each 503 requests, as a text of seconds.
    pub fn ask_rest(&self, seconds: Option<&str>) {
        self.shared.lock().backoff = seconds.map(str::to_owned);
    }

    /// Ends faults, second copies, darkness, slowness, early closing, failing health checks, requested
    /// back-offs and crashes on requests. A server that announces that it leaves goes on
    /// doing so, and one that crashes under prompt parts still does.
    pub fn heal(&self) {
        let mut state = self.shared.lock();
        state.fault = None;
        state.repeat = None;
        state.slow = 1.0;
        state.idle_close = None;
        state.unhealthy = false;
        state.backoff = None;
        state.crash_bodies.clear();
        drop(state);
        self.dark(false);
    }

    /// Stops answering on all connections, or resumes.
    pub fn dark(&self, dark: bool) {
        self.shared.lock().dark = dark;
        self.shared.dark_ended.notify(usize::MAX);
    }

    /// Partitions the server from a sender.
    ///
    /// # Errors
    ///
    /// The filter of a socket cannot be set.
    pub fn partition(&self, sender: IpAddr, cut: Cut) -> io::Result<()> {
        self.shared.partitions.cut(sender, cut)
    }

    /// Ends the partition from a sender.
    ///
    /// # Errors
    ///
    /// The filter of a socket cannot be set.
    pub fn rejoin(&self, sender: IpAddr) -> io::Result<()> {
        self.shared.partitions.heal(sender)
    }

    /// Multiplies the time that work takes.
    pub fn slow(&self, factor: f64) {
        self.shared.lock().slow = factor;
    }

    /// Closes connections that have been idle for this long.
    pub fn close_idle(&self, after: Option<Duration>) {
        self.shared.lock().idle_close = after;
    }

    /// Sets whether health checks are answered with 503.
    pub fn unhealthy(&self, unhealthy: bool) {
        self.shared.lock().unhealthy = unhealthy;
    }

    /// Answers with these bytes when asked for its cached parts.
    pub fn tell_kept(&self, body: &[u8]) {
        self.shared.lock().cache_list_override = Some(body.to_vec());
    }

    /// All requests that reached it, in order, apart from health checks, load reports and
    /// lists of cached parts.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// How often a request with this attempt id was executed here.
    pub fn ran(&self, attempt: &str) -> usize {
        let state = self.shared.lock();
        let runs = state.runs.iter().filter(|run| run.attempt == attempt);
        runs.filter(|run| run.ran()).count()
    }

    /// Number of requests being executed now.
    pub fn running(&self) -> u32 {
        self.shared.admission.load().running
    }

    /// Number of connections opened so far, and of those open now.
    pub fn connections(&self) -> (usize, usize) {
        let state = self.shared.lock();
        (state.connections_opened, state.connections_open)
    }

    /// Number of health checks, load reports and lists of cached parts so far.
    pub fn probes(&self) -> u64 {
        self.shared.lock().probes
    }
}
