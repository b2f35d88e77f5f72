//! Records what was done and observed in a run, in order of time.
//!
//! The ledger judges nothing. Rules read an `Evidence`, which is made from a snapshot of
//! it.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tidepier_relay_standin::client::Answer;

use crate::misuse::{self, Manner};
use crate::sync::lock;

/// Body of requests that do not share their content with others.
pub const BODY: &[u8] = b"question";

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Traffic {
    /// May be executed more than once.
    Repeatable,
    /// May be executed at most once.
    Once,
    /// A stream that may be resumed.
    Resumable,
    /// A stream that may not be resumed.
    Single,
    /// Needs a key; may be executed more than once.
    Keyed,
    /// Is routed to the service of the newest configuration; may be executed more than
    /// once.
    Mark,
}

impl Traffic {
    /// All kinds.
    pub const ALL: [Traffic; 6] = [
        Traffic::Repeatable,
        Traffic::Once,
        Traffic::Resumable,
        Traffic::Single,
        Traffic::Keyed,
        Traffic::Mark,
    ];

    /// Prefix of the paths of this kind.
    pub fn prefix(self) -> &'static str {
        match self {
            Traffic::Repeatable => "/r/",
            Traffic::Once => "/o/",
            Traffic::Resumable => "/s/",
            Traffic::Single => "/u/",
            Traffic::Keyed => "/k/",
            Traffic::Mark => "/m/",
        }
    }

    /// The path of a request with this content.
    pub fn target(self, content: &str) -> String {
        format!("{}{content}", self.prefix())
    }

    /// Whether a request of this kind may be executed at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Traffic::Once | Traffic::Single)
    }
}

/// What a client says of a stream that it takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeUp {
    /// The id of the request that brought the first event.
    pub first: String,
    /// The last event that the client has.
    pub after: u64,
    /// Whether the request names the first one.
    pub is_named: bool,
}

/// A request that a client sent to a box.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub traffic: Traffic,
    /// Content that the request shares with others; `None` if its content is its own.
    pub content: Option<String>,
    /// Set if its prompt holds a part that crashes servers.
    pub crashing_part: Option<u64>,
    /// Set if it takes up a stream that broke off.
    pub takes_up: Option<TakeUp>,
    /// How the client sends it.
    pub manner: Manner,
    /// The box that it was sent to.
    pub box_index: usize,
    /// The key that it was sent with.
    pub key: Option<String>,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer ended.
    pub ended: Option<Instant>,
    /// The answer, if the connection was established.
    pub answer: Option<Answer>,
}

impl Request {
    /// The path of the request.
    pub fn target(&self) -> String {
        self.traffic
            .target(self.content.as_ref().unwrap_or(&self.id))
    }

    /// The body of the request.
    pub fn body(&self) -> &[u8] {
        if self.manner == Manner::Large {
            return misuse::large_body();
        }
        self.content
            .as_ref()
            .map_or(BODY, |content| content.as_bytes())
    }

    /// When the last byte of the request was sent, at the earliest.
    pub fn sent_whole(&self) -> Instant {
        self.sent + self.manner.sending_time()
    }

    /// Whether the client received a complete, successful answer.
    pub fn served(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && answer.complete)
    }
}

/// What a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// A box, its process or its links.
    Box(usize),
    /// The store as a whole.
    Store,
    /// A server or the links to it.
    Server,
    /// The links between a box and all servers.
    Servers(usize),
    /// Sound servers that stand still, which gives no reason to end an answer.
    Silence,
    /// All boxes, through what the operator or a server announces.
    Fleet,
}

/// Something that was done to the fleet.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// What it affects.
    pub scope: Scope,
    /// The name of the fault.
    pub name: String,
    /// Whether it is planned work, which may not lose any request.
    pub planned: bool,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Option<Instant>,
}

impl Disturbance {
    /// Whether it affects servers, or the links between a box and them.
    pub fn is_on_way_of(&self, box_index: usize) -> bool {
        self.scope == Scope::Server || self.scope == Scope::Servers(box_index)
    }
}

/// Something that was acknowledged or happened at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    /// The configuration without this key was acknowledged.
    KeyGone(String),
    /// The route of [`Traffic::Mark`] leads to the service of this number.
    Marked(u32),
    /// A configuration is about to be written.
    Configuring,
    /// The entry of the server of this id announces that it leaves, or was removed.
    Leaving(String),
    /// The server of this id announces that it leaves, but only in its answers.
    Saying(String),
    /// The operator emptied this hall.
    Emptied(String),
    /// The operator cancelled the emptying of this hall.
    TakenBack(String),
    /// The process of this box got SIGTERM.
    Stopping(usize),
    /// The process of this box was started.
    Born(usize),
    /// The process of this box ended without a signal from the soak, or did not stop as it
    /// should.
    Died(usize, String),
    /// A box, or with `None` the soak itself, lacked processor time for this long.
    HeldUp(Option<usize>, Duration),
    /// A box sent an answer with this status on a connection where no request was in
    /// flight.
    Surplus(usize, u16),
    /// This box did not serve requests again in time after the last fault.
    StillDown(usize),
    /// The process of this box held more resources after the faults than allowed.
    Grown(usize, String),
    /// The process of this box held more memory or descriptors than its settings give it.
    OverLimits(usize, String),
    /// This box did not serve a request with a large body when nothing else was sent.
    LargeRefused(usize, String),
}

/// Requests in flight at the servers of a service at one moment.
#[derive(Debug, Clone)]
pub struct Loads {
    /// When.
    pub at: Instant,
    /// The service.
    pub service: String,
    /// The id of each server and its requests in flight.
    pub in_flight: Vec<(String, u32)>,
}

/// Collects what is done and observed.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    requests: Vec<Request>,
    disturbances: Vec<Disturbance>,
    facts: Vec<(Instant, Fact)>,
    loads: Vec<Loads>,
    faults: BTreeMap<String, u64>,
}

impl Ledger {
    /// Counts a fault that is about to begin.
    pub fn count_fault(&self, name: &str) {
        *lock(&self.inner).faults.entry(name.into()).or_insert(0) += 1;
    }

    /// Number of faults so far, by name.
    pub fn faults(&self) -> BTreeMap<String, u64> {
        lock(&self.inner).faults.clone()
    }

    /// Records a request that is about to be sent; returns its number.
    pub fn record_sent(&self, request: Request) -> usize {
        let mut inner = lock(&self.inner);
        inner.requests.push(request);
        inner.requests.len() - 1
    }

    /// Records the end of a request.
    pub fn record_ended(&self, number: usize, answer: Option<Answer>) {
        self.record_ended_at(Instant::now(), number, answer);
    }

    /// Records the end of a request at a moment.
    pub fn record_ended_at(&self, at: Instant, number: usize, answer: Option<Answer>) {
        let request = &mut lock(&self.inner).requests[number];
        request.ended = Some(at);
        request.answer = answer;
    }

    /// Records the beginning of a disturbance; returns its number.
    pub fn begin_disturbance(&self, scope: Scope, name: &str, planned: bool) -> usize {
        let mut inner = lock(&self.inner);
        inner.disturbances.push(Disturbance {
            scope,
            name: name.into(),
            planned,
            from: Instant::now(),
            to: None,
        });
        inner.disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end_disturbance(&self, number: usize) {
        lock(&self.inner).disturbances[number].to = Some(Instant::now());
    }

    /// Records something that has just happened.
    pub fn record_fact(&self, fact: Fact) {
        self.record_fact_at(Instant::now(), fact);
    }

    /// Records something that happened at a moment.
    pub fn record_fact_at(&self, at: Instant, fact: Fact) {
        lock(&self.inner).facts.push((at, fact));
    }

    /// Whether a server announced in its entry or its answers that it leaves.
    pub fn is_leaving(&self, id: &str) -> bool {
        let inner = lock(&self.inner);
        let mut facts = inner.facts.iter();
        facts
            .any(|(_, fact)| matches!(fact, Fact::Leaving(left) | Fact::Saying(left) if left == id))
    }

    /// Whether the entry of a server announces that it leaves.
    pub fn is_announced_leaving(&self, id: &str) -> bool {
        let inner = lock(&self.inner);
        let mut facts = inner.facts.iter();
        facts.any(|(_, fact)| matches!(fact, Fact::Leaving(left) if left == id))
    }

    /// Records the load of a service.
    pub fn record_loads(&self, loads: Loads) {
        lock(&self.inner).loads.push(loads);
    }

    /// Number of requests sent so far.
    pub fn count(&self) -> usize {
        lock(&self.inner).requests.len()
    }

    /// Results of the requests that were sent to a box since a moment and have ended, the
    /// newest first; `true` for success.
    pub fn recent_results(&self, box_index: usize, since: Instant) -> Vec<bool> {
        let inner = lock(&self.inner);
        let ended = inner.requests.iter().rev().filter(|request| {
            request.manner == Manner::Usual
                && request.box_index == box_index
                && request.sent >= since
                && request.ended.is_some()
        });
        ended.map(Request::served).collect()
    }

    /// Takes a copy of the whole ledger.
    pub fn snapshot(&self) -> Snapshot {
        let inner = lock(&self.inner);
        Snapshot {
            requests: inner.requests.clone(),
            disturbances: inner.disturbances.clone(),
            facts: inner.facts.clone(),
            loads: inner.loads.clone(),
            taken: Instant::now(),
        }
    }
}

/// The contents of a ledger at one moment.
#[derive(Debug)]
pub struct Snapshot {
    /// All requests, in the order in which they were sent.
    pub requests: Vec<Request>,
    /// All disturbances, in the order in which they began.
    pub disturbances: Vec<Disturbance>,
    /// All facts.
    pub facts: Vec<(Instant, Fact)>,
    /// The servers' loads over time.
    pub loads: Vec<Loads>,
    /// When the snapshot was taken.
    pub taken: Instant,
}
