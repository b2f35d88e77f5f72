//! What was done and seen in a run, in the order of its happening.
//!
//! Nothing here is a judgement. Rules read an `Evidence`, which is made of a copy of it.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tidepier_relay_standin::client::Answer;

use crate::sync::lock;

/// Body of requests that ask what no other asks.
pub const BODY: &[u8] = b"question";

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Traffic {
    /// May be repeated.
    Repeatable,
    /// Runs at most once.
    Once,
    /// A stream that may be resumed.
    Resumable,
    /// A stream that may not.
    Single,
    /// Needs a key; may be repeated.
    Keyed,
    /// Goes to the service of the newest configuration; may be repeated.
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

    /// The beginning of its paths.
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

    /// The path of a request that asks something.
    pub fn target(self, asks: &str) -> String {
        format!("{}{asks}", self.prefix())
    }

    /// Whether it may run at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Traffic::Once | Traffic::Single)
    }
}

/// One request of a client.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub traffic: Traffic,
    /// What it asks, where other attempts ask the same; else each asks its own.
    pub asks: Option<String>,
    /// The box it went to.
    pub place: usize,
    /// Its key.
    pub key: Option<String>,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer was over.
    pub ended: Option<Instant>,
    /// What came back, if its connection came up.
    pub answer: Option<Answer>,
}

impl Attempt {
    /// Its path.
    pub fn target(&self) -> String {
        self.traffic.target(self.asks.as_ref().unwrap_or(&self.id))
    }

    /// Its body.
    pub fn body(&self) -> &[u8] {
        self.asks.as_ref().map_or(BODY, |asks| asks.as_bytes())
    }

    /// Whether it was answered whole with a success.
    pub fn served(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && answer.complete)
    }
}

/// Whom a disturbance touches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// A box, its process or its links.
    Box(usize),
    /// The store as a whole.
    Store,
    /// A server or the ways to it.
    Server,
    /// All, by what the operator or a server says.
    Fleet,
}

/// Something that was done to the fleet.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Whom it touches.
    pub place: Place,
    /// Its name.
    pub name: String,
    /// Whether it is planned work, which may cost no request.
    pub planned: bool,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Option<Instant>,
}

/// Something that was acknowledged or happened at a moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    /// No configuration holds this key any more.
    KeyGone(String),
    /// The mark route leads to the service of this number.
    Marked(u32),
    /// A configuration is about to be written.
    Configuring,
    /// The server of this id leaves or is gone.
    Leaving(String),
    /// The server of this id says that it leaves, by its answers alone.
    Saying(String),
    /// Nothing more is to be sent to the servers of this hall.
    Emptied(String),
    /// The servers of this hall may be used again.
    TakenBack(String),
    /// A process of this box was started.
    Born(usize),
    /// A process ended without being told to.
    Died(usize, String),
    /// A box was held up by a lack of processor time, for so long.
    HeldUp(Option<usize>, Duration),
    /// A box sent an answer with this status where no request waited.
    Surplus(usize, u16),
    /// After the faults, this box had not served again in time.
    StillDown(usize),
    /// After the faults, a process held more than it may.
    Grown(usize, String),
}

/// Requests at the servers of a service at one moment.
#[derive(Debug, Clone)]
pub struct Loads {
    /// When.
    pub at: Instant,
    /// The service.
    pub service: String,
    /// Each server's id and requests.
    pub held: Vec<(String, u32)>,
}

/// Collects what is done and seen.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    attempts: Vec<Attempt>,
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

    /// Faults so far, by name.
    pub fn faults(&self) -> BTreeMap<String, u64> {
        lock(&self.inner).faults.clone()
    }

    /// Notes a request that is about to be sent; returns its number.
    pub fn sent(&self, attempt: Attempt) -> usize {
        let mut inner = lock(&self.inner);
        inner.attempts.push(attempt);
        inner.attempts.len() - 1
    }

    /// Notes the end of a request.
    pub fn ended(&self, number: usize, answer: Option<Answer>) {
        self.ended_at(Instant::now(), number, answer);
    }

    /// Notes the end of a request at a moment.
    pub fn ended_at(&self, at: Instant, number: usize, answer: Option<Answer>) {
        let attempt = &mut lock(&self.inner).attempts[number];
        attempt.ended = Some(at);
        attempt.answer = answer;
    }

    /// Notes the beginning of a disturbance; returns its number.
    pub fn begin(&self, place: Place, name: &str, planned: bool) -> usize {
        let mut inner = lock(&self.inner);
        inner.disturbances.push(Disturbance {
            place,
            name: name.into(),
            planned,
            from: Instant::now(),
            to: None,
        });
        inner.disturbances.len() - 1
    }

    /// Notes the end of a disturbance.
    pub fn end(&self, number: usize) {
        lock(&self.inner).disturbances[number].to = Some(Instant::now());
    }

    /// Notes something that has just happened.
    pub fn fact(&self, fact: Fact) {
        self.fact_at(Instant::now(), fact);
    }

    /// Notes something that happened at a moment.
    pub fn fact_at(&self, at: Instant, fact: Fact) {
        lock(&self.inner).facts.push((at, fact));
    }

    /// Whether a server is noted as leaving.
    pub fn is_leaving(&self, id: &str) -> bool {
        let inner = lock(&self.inner);
        let mut facts = inner.facts.iter();
        facts
            .any(|(_, fact)| matches!(fact, Fact::Leaving(left) | Fact::Saying(left) if left == id))
    }

    /// Whether a server's entry says that it leaves.
    pub fn is_announced_leaving(&self, id: &str) -> bool {
        let inner = lock(&self.inner);
        let mut facts = inner.facts.iter();
        facts.any(|(_, fact)| matches!(fact, Fact::Leaving(left) if left == id))
    }

    /// Notes the load of a service.
    pub fn loads(&self, loads: Loads) {
        lock(&self.inner).loads.push(loads);
    }

    /// Requests sent so far.
    pub fn count(&self) -> usize {
        lock(&self.inner).attempts.len()
    }

    /// Ends of the requests sent to a box since a moment, the last ones first.
    pub fn recent(&self, place: usize, since: Instant) -> Vec<bool> {
        let inner = lock(&self.inner);
        let ended = inner.attempts.iter().rev().filter(|attempt| {
            attempt.place == place && attempt.sent >= since && attempt.ended.is_some()
        });
        ended.map(Attempt::served).collect()
    }

    /// A copy of all of it.
    pub fn copy(&self) -> Copy {
        let inner = lock(&self.inner);
        Copy {
            attempts: inner.attempts.clone(),
            disturbances: inner.disturbances.clone(),
            facts: inner.facts.clone(),
            loads: inner.loads.clone(),
            read: Instant::now(),
        }
    }
}

/// What a ledger held at one moment.
#[derive(Debug)]
pub struct Copy {
    /// All requests, in the order of their sending.
    pub attempts: Vec<Attempt>,
    /// All disturbances, in the order of their beginning.
    pub disturbances: Vec<Disturbance>,
    /// All facts.
    pub facts: Vec<(Instant, Fact)>,
    /// The servers' loads over time.
    pub loads: Vec<Loads>,
    /// The moment.
    pub read: Instant,
}
