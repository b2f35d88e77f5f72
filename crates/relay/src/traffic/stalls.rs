//! Servers of plain services that stand still, by what boxes report to this one and what the
//! box that it reports to tells it.
//!
//! The boxes of a hall report to its hub, some of them over others. Each box that others
//! report to sums up their waits and its own, looks whether these show that a server
//! stands still, and tells the others of that and of what it is told itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tidepier_admission::stall::{Detector, Life, Stall, Wait, SERVERS_MAX};
use tidepier_clock::Instant;

use super::log::Peer;
use crate::fleet::lives::{Lives, HEARD_AGE_MAX};
use crate::fleet::Key;
use crate::notifier::Notifier;

/// Interval at which a server that stands still gets health checks.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two answers of one server of which boxes are told at once.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);

/// What a box told this one: since when which servers stand still, and when it told that.
#[derive(Debug)]
struct Told {
    since: BTreeMap<Key, Instant>,
    at: Instant,
}

/// A server that has answered again.
#[derive(Debug, Clone, Copy)]
struct Return {
    /// When it answered.
    answered: Instant,
    /// When that was sent to boxes.
    sent: Instant,
}

/// The health checks of a server that may stand still.
#[derive(Debug, Clone, Copy)]
struct Probe {
    /// When the next one may be sent; `None` while one is under way.
    next: Option<Instant>,
    /// Whether the last one was not answered in time.
    is_unanswered: bool,
}

/// What is known of servers that stand still.
#[derive(Default)]
pub struct Stalls {
    /// What boxes report to this one; it is `None` itself.
    detector: Detector<Key, Option<Peer>>,
    /// The servers that may stand still by these reports, as of the last look.
    suspected: RefCell<Vec<Stall<Key>>>,
    /// What the box that this one reports to tells, and what hubs of other halls do.
    told: RefCell<HashMap<Peer, Told>>,
    /// All of them, as of the last look.
    all: RefCell<Vec<Stall<Key>>>,
    /// Number of changes of these servers.
    changes: Cell<u64>,
    /// Servers that have answered again, of which boxes were notified.
    returned: RefCell<HashMap<Key, Return>>,
    /// How often there were any.
    returns: Cell<u64>,
    /// The health checks of these servers.
    probes: RefCell<HashMap<Key, Probe>>,
    /// Wakes the watch when there may be something new.
    pub changed: Notifier,
    /// Servers that have answered, to be passed on.
    lives: RefCell<BTreeMap<Key, Instant>>,
    /// Whether there is anything to pass on at once.
    is_pending: Cell<bool>,
    /// Wakes whoever passes reports on.
    pub pending: Notifier,
}

/// The servers of some stalls.
pub(crate) fn servers(stalls: &[Stall<Key>]) -> Vec<Key> {
    let mut servers: Vec<Key> = stalls.iter().map(|it| it.server).collect();
    servers.sort();
    servers
}

impl Stalls {
    /// The servers that stand still, as of the last look.
    pub fn all(&self) -> Vec<Stall<Key>> {
        self.all.borrow().clone()
    }

    /// The servers that may stand still by what boxes report to this one.
    pub fn suspected(&self) -> Vec<Key> {
        servers(&self.suspected.borrow())
    }

    /// Those of them that did not answer a health check of this box either.
    pub fn detected(&self) -> Vec<Stall<Key>> {
        let probes = self.probes.borrow();
        let is_unanswered =
            |it: &Stall<Key>| probes.get(&it.server).is_some_and(|it| it.is_unanswered);
        let suspected = self.suspected.borrow();
        suspected
            .iter()
            .filter(|it| is_unanswered(it))
            .copied()
            .collect()
    }

    /// Number of changes of these servers so far.
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Records answers of which boxes should know at once. Returns whether there are any of
    /// servers of which they were not told lately.
    pub fn record_returns(&self, lives: &[Life<Key>], now: Instant) -> bool {
        let mut returned = self.returned.borrow_mut();
        returned.retain(|_, it| now.saturating_duration_since(it.sent) < RETURN_INTERVAL);
        let known = returned.len();
        for life in lives.iter().take(SERVERS_MAX) {
            returned.entry(life.server).or_insert(Return {
                answered: now.checked_sub(life.age).unwrap_or(now),
                sent: now,
            });
        }
        let is_any_new = returned.len() > known;
        if is_any_new {
            self.returns.set(self.returns.get() + 1);
        }
        is_any_new
    }

    /// The servers that have answered again not long ago.
    pub fn returned(&self, now: Instant) -> Vec<Life<Key>> {
        let returned = self.returned.borrow();
        let lives = returned.iter().map(|(server, it)| Life {
            server: *server,
            age: now.saturating_duration_since(it.answered),
        });
        lives.collect()
    }

    /// How often there were any so far.
    pub fn returns(&self) -> u64 {
        self.returns.get()
    }

    /// Records what a box reports at once: all of its waits, and servers that have answered
    /// it.
    pub fn record(&self, from: Peer, waits: &[Wait<Key>], lives: &[Life<Key>], now: Instant) {
        self.record_waits(from, waits, now);
        self.record_lives(lives, now);
        self.set_pending();
        self.changed.notify();
    }

    /// Records all waits of a box.
    pub fn record_waits(&self, from: Peer, waits: &[Wait<Key>], now: Instant) {
        self.detector.report(&Some(from), waits, now);
    }

    /// Records all waits of this box.
    pub fn record_own_waits(&self, waits: &[Wait<Key>], now: Instant) {
        self.detector.report(&None, waits, now);
    }

    /// Records servers that have answered a box.
    pub fn record_lives(&self, lives: &[Life<Key>], now: Instant) {
        self.detector.answered(lives, now);
        let mut kept = self.lives.borrow_mut();
        for life in lives {
            let has_room = kept.len() < SERVERS_MAX || kept.contains_key(&life.server);
            if let Some(at) = now.checked_sub(life.age).filter(|_| has_room) {
                kept.insert(life.server, at);
            }
        }
    }

    /// Drops what a box has reported that is gone.
    pub fn remove(&self, from: &Peer, now: Instant) {
        self.told.borrow_mut().remove(from);
        self.detector.report(&Some(from.clone()), &[], now);
    }

    /// Records what a box tells that this one reports to, or the hub of another hall.
    pub fn set_told(&self, from: Peer, stalls: &[Stall<Key>], now: Instant) {
        let since = stalls.iter().map(|it| {
            let since = now.checked_sub(it.time).unwrap_or(now);
            (it.server, since)
        });
        let told = Told {
            since: since.collect(),
            at: now,
        };
        let before = self.told.borrow_mut().insert(from, told);
        if !stalls.is_empty() || before.is_some_and(|it| !it.since.is_empty()) {
            self.changed.notify();
        }
    }

    /// Looks which servers stand still, given their last answers. Returns whether that has
    /// changed.
    pub fn update(&self, lives: &Lives, now: Instant) -> bool {
        let last_answer = |server: &Key| lives.last_in_hall(*server);
        let suspected = self.detector.stalls(last_answer, now);
        self.probes.borrow_mut().retain(|server, probe| {
            probe.is_unanswered &= suspected.iter().any(|it| it.server == *server);
            probe.is_unanswered || probe.next.is_none_or(|next| next > now)
        });
        self.suspected.replace(suspected);
        let mut all = self.detected();
        let mut told = self.told.borrow_mut();
        told.retain(|_, it| now.saturating_duration_since(it.at) < HEARD_AGE_MAX);
        for (server, since) in told.values().flat_map(|it| &it.since) {
            let time = now.saturating_duration_since(*since);
            match all.iter_mut().find(|it| it.server == *server) {
                Some(known) => known.time = known.time.max(time),
                None => all.push(Stall {
                    server: *server,
                    time,
                }),
            }
        }
        let before = self.all.replace(all);
        let has_changed = servers(&before) != servers(&self.all.borrow());
        if has_changed {
            self.changes.set(self.changes.get() + 1);
        }
        has_changed
    }

    /// Whether boxes have waited for the same server, so that a stall may show without a
    /// further report.
    pub fn may_change(&self) -> bool {
        self.detector.is_shared()
    }

    /// All waits that boxes have reported to this one, and its own.
    pub fn waits(&self, now: Instant) -> Vec<Wait<Key>> {
        self.detector.waits(now)
    }

    /// Takes the servers that have answered.
    pub fn take_lives(&self, now: Instant) -> Vec<Life<Key>> {
        let lives = self.lives.take().into_iter();
        let lives = lives.map(|(server, at)| Life {
            server,
            age: now.saturating_duration_since(at),
        });
        lives.collect()
    }

    /// Records that there is something to pass on at once.
    pub fn set_pending(&self) {
        self.is_pending.set(true);
        self.pending.notify();
    }

    /// Whether there has been anything to pass on since the last call.
    pub fn take_pending(&self) -> bool {
        self.is_pending.take()
    }

    /// Begins a health check of a server, unless one is under way or was sent not long ago.
    pub fn begin_probe(&self, server: Key, now: Instant) -> bool {
        let mut probes = self.probes.borrow_mut();
        let last = probes.get(&server);
        let is_due = last.is_none_or(|it| it.next.is_some_and(|next| next <= now));
        if is_due {
            let is_unanswered = last.is_some_and(|it| it.is_unanswered);
            let probe = Probe {
                next: None,
                is_unanswered,
            };
            probes.insert(server, probe);
        }
        is_due
    }

    /// Records that a health check was not answered in time. An answer may still come.
    pub fn record_unanswered(&self, server: Key) {
        if let Some(probe) = self.probes.borrow_mut().get_mut(&server) {
            probe.is_unanswered = true;
        }
        self.changed.notify();
    }

    /// Records that a health check has ended that began at `began`, and whether the server
    /// has answered it in time.
    pub fn end_probe(&self, server: Key, began: Instant, is_answered: bool) {
        let probe = Probe {
            next: Some(began + PROBE_INTERVAL),
            is_unanswered: !is_answered,
        };
        self.probes.borrow_mut().insert(server, probe);
        self.changed.notify();
    }
}
