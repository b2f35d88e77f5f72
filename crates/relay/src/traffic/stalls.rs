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
use crate::fleet::Key;
use crate::notifier::Notifier;

/// Interval at which a server that stands still gets health checks.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Age after which what this box was told is ignored: several times the interval between
/// answers.
const TOLD_AGE_MAX: Duration = Duration::from_millis(1_500);

/// What this box was told: since when which servers stand still, and when it was told.
#[derive(Debug, Default)]
struct Told {
    since: BTreeMap<Key, Instant>,
    at: Option<Instant>,
}

/// What is known of servers that stand still.
#[derive(Default)]
pub struct Stalls {
    /// What boxes report to this one; it is `None` itself.
    detector: Detector<Key, Option<Peer>>,
    /// The servers that stand still by these reports, as of the last look.
    detected: RefCell<Vec<Stall<Key>>>,
    /// What the box that this one reports to tells.
    told: RefCell<Told>,
    /// All of them, as of the last look.
    all: RefCell<Vec<Stall<Key>>>,
    /// Number of changes of these servers.
    changes: Cell<u64>,
    /// When each server may get the next health check; `None` while one is under way.
    probes: RefCell<HashMap<Key, Option<Instant>>>,
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
fn servers(stalls: &[Stall<Key>]) -> Vec<Key> {
    let mut servers: Vec<Key> = stalls.iter().map(|it| it.server).collect();
    servers.sort();
    servers
}

impl Stalls {
    /// The servers that stand still, as of the last look.
    pub fn all(&self) -> Vec<Stall<Key>> {
        self.all.borrow().clone()
    }

    /// Those of them that do by what boxes report to this one.
    pub fn detected(&self) -> Vec<Key> {
        servers(&self.detected.borrow())
    }

    /// Number of changes of these servers so far.
    pub fn changes(&self) -> u64 {
        self.changes.get()
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
        self.detector.report(&Some(from.clone()), &[], now);
    }

    /// Records what the box tells that this one reports to.
    pub fn set_told(&self, stalls: &[Stall<Key>], now: Instant) {
        let since = stalls.iter().map(|it| {
            let since = now.checked_sub(it.time).unwrap_or(now);
            (it.server, since)
        });
        let told = Told {
            since: since.collect(),
            at: Some(now),
        };
        let before = self.told.replace(told);
        if !before.since.is_empty() || !stalls.is_empty() {
            self.changed.notify();
        }
    }

    /// Looks which servers stand still. Returns whether that has changed.
    pub fn update(&self, now: Instant) -> bool {
        let detected = self.detector.stalls(now);
        let mut all = detected.clone();
        self.detected.replace(detected);
        let told = self.told.borrow();
        let is_recent = |at| now.saturating_duration_since(at) < TOLD_AGE_MAX;
        let recent = told.since.iter().filter(|_| told.at.is_some_and(is_recent));
        for (server, since) in recent {
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
        let is_due = match probes.get(&server) {
            None => true,
            Some(next) => next.is_some_and(|next| next <= now),
        };
        if is_due {
            probes.insert(server, None);
        }
        is_due
    }

    /// Records that a health check has ended that began at `began`.
    pub fn end_probe(&self, server: Key, began: Instant, now: Instant) {
        let mut probes = self.probes.borrow_mut();
        probes.insert(server, Some(began + PROBE_INTERVAL));
        probes.retain(|_, next| next.is_none_or(|next| next > now));
        self.changed.notify();
    }
}
