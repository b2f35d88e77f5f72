//! When servers of plain services last answered in time, as far as this box knows.
//!
//! Answers to this box and to those that report to it are reported on; what the hub of the
//! hall and, through it, the hubs of other halls tell is not, so that no answer comes back
//! to a box looking younger than it is.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_admission::verify;
use tidepier_clock::Instant;

use super::Key;

/// Age after which what this box has heard is ignored: several times the interval between
/// answers of the box that it reports to.
pub(crate) const HEARD_AGE_MAX: Duration = Duration::from_millis(1_500);

/// A server that has answered in time, and how long ago. In messages a pair, the age in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Key, u32)", into = "(Key, u32)")]
pub struct Life {
    /// The server.
    pub server: Key,
    /// How long ago it answered.
    pub age: Duration,
}

impl From<(Key, u32)> for Life {
    fn from((server, ms): (Key, u32)) -> Self {
        let age = Duration::from_millis(ms.into());
        Self { server, age }
    }
}

impl From<Life> for (Key, u32) {
    fn from(life: Life) -> Self {
        // Rounded up, so that no answer looks younger than it is.
        let ms = life.age.as_millis().saturating_add(1);
        (life.server, u32::try_from(ms).unwrap_or(u32::MAX))
    }
}

/// Answers that are longer ago by a `time`.
pub fn aged(mut lives: Vec<Life>, time: Duration) -> Vec<Life> {
    lives.iter_mut().for_each(|life| life.age += time);
    lives
}

/// Answers to which boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// This box and those that report to it.
    Reported,
    /// All boxes of this box's hall.
    Hall,
    /// Boxes of other halls.
    Elsewhere,
}

/// The last answers of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    /// To this box or to one that reports to it.
    reported: Option<Instant>,
    /// To a box of the hall, as told by the box that this one reports to.
    hall: Option<Instant>,
    /// To a box of another hall, as told.
    elsewhere: Option<Instant>,
}

impl Known {
    fn last(&self, scope: Scope) -> Option<Instant> {
        match scope {
            Scope::Reported => self.reported,
            Scope::Hall => self.reported.max(self.hall),
            Scope::Elsewhere => self.elsewhere,
        }
    }

    fn last_of_all(&self) -> Option<Instant> {
        self.last(Scope::Hall).max(self.last(Scope::Elsewhere))
    }
}

/// The last answers that were passed on over one connection.
#[derive(Debug, Default)]
pub struct Sent(HashMap<Key, Instant>);

/// What the box that this one reports to does about answers.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: Instant,
    /// Whether it passes on all that it knows. Boxes of former releases pass on nothing.
    is_complete: bool,
}

/// The last answers of all servers of plain services.
#[derive(Debug, Default)]
pub struct Lives {
    known: RefCell<HashMap<Key, Known>>,
    told: Cell<Option<Told>>,
}

impl Lives {
    /// Records that a server has answered this box, or one that reports to it.
    pub fn record(&self, server: Key, at: Instant) {
        let mut known = self.known.borrow_mut();
        let known = known.entry(server).or_default();
        known.reported = known.reported.max(Some(at));
    }

    /// Records what a box reports to this one.
    pub fn record_reported(&self, lives: &[Life], now: Instant) {
        self.record_all(lives, now, |known| &mut known.reported);
    }

    /// Records answers to boxes of this box's hall, as told.
    pub fn set_told_of_hall(&self, lives: &[Life], now: Instant) {
        self.record_all(lives, now, |known| &mut known.hall);
    }

    /// Records answers to boxes of other halls, as told.
    pub fn set_told_elsewhere(&self, lives: &[Life], now: Instant) {
        self.record_all(lives, now, |known| &mut known.elsewhere);
    }

    fn record_all(&self, lives: &[Life], now: Instant, of: fn(&mut Known) -> &mut Option<Instant>) {
        let mut known = self.known.borrow_mut();
        for life in lives.iter().take(verify::SERVERS_MAX) {
            if let Some(at) = now.checked_sub(life.age) {
                let last = of(known.entry(life.server).or_default());
                *last = (*last).max(Some(at));
            }
        }
    }

    /// Records that the box that this one reports to has told of others, and whether that
    /// is all that it knows of their answers.
    pub fn hear(&self, is_complete: bool, now: Instant) {
        self.told.set(Some(Told {
            at: now,
            is_complete,
        }));
    }

    /// Whether this box should go by the answers that it knows: unless it hears of the
    /// others without being told of theirs.
    pub fn is_used(&self, now: Instant) -> bool {
        let is_recent = |told: &Told| now.saturating_duration_since(told.at) < HEARD_AGE_MAX;
        let told = self.told.get().filter(is_recent);
        told.is_none_or(|told| told.is_complete)
    }

    /// When a server last answered a box of this box's hall.
    pub fn last_in_hall(&self, server: Key) -> Option<Instant> {
        let known = self.known.borrow();
        known.get(&server)?.last(Scope::Hall)
    }

    /// When a server last answered any box.
    pub fn last(&self, server: Key) -> Option<Instant> {
        self.known.borrow().get(&server)?.last_of_all()
    }

    /// The answers that were not `sent` yet; `None` if boxes have got answers of more
    /// servers than they report. Forgets those that are too old to matter.
    pub fn updates(&self, sent: &mut Sent, scope: Scope, now: Instant) -> Option<Vec<Life>> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_kept = |at: Option<Instant>| at.is_some_and(|at| age(at) < verify::LIFETIME_MAX);
        let mut known = self.known.borrow_mut();
        known.retain(|_, it| is_kept(it.last_of_all()));
        if known.len() > verify::SERVERS_MAX {
            return None;
        }
        sent.0.retain(|server, _| known.contains_key(server));
        let mut lives = Vec::new();
        for (server, known) in known.iter() {
            let Some(at) = known.last(scope) else {
                continue;
            };
            if sent.0.insert(*server, at).is_none_or(|before| before < at) {
                let age = age(at);
                lives.push(Life {
                    server: *server,
                    age,
                });
            }
        }
        Some(lives)
    }
}
