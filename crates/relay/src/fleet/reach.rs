//! Which servers this box reaches over its own network, and which only through other boxes.
//!
//! Health says how a server answers; this says whether the network between this box and
//! the servers of one service in one hall carries new connections. A box that is
//! partitioned from all of them fails in the same way at each, while one server that is
//! down fails alone. What tells the two apart for certain is another box that opens a
//! connection where this one cannot.
//!
//! Invariant: only connections that this box opens itself count as direct. What a server
//! sends on an older connection says nothing of a new one: a partition may let open
//! connections live.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_ids as ids;

use super::Key;

/// Distinct servers that have to fail in a row before the group counts as unreached. One
/// server alone may be down.
const FAILED_MIN: usize = 2;
/// Time between a failed direct connection and one through another box within which both
/// show the same state of the network.
const PROOF_TIME: Duration = Duration::from_secs(1);
/// Time for which other boxes are not asked for a server that they did not reach either.
const DENIED_TIME: Duration = Duration::from_secs(1);
/// Time for which connections are known to fail after direct ones timed out and no other
/// box could open one.
const HOPELESS_TIME: Duration = Duration::from_millis(500);

/// How opening a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Opening {
    /// The connection was established.
    Opened,
    /// The server's host, or something on the way, refused it.
    Refused,
    /// Nothing came back in time.
    TimedOut,
}

impl Opening {
    /// The outcome that a result of opening a connection shows.
    pub fn of<T>(result: &io::Result<T>) -> Self {
        match result {
            Ok(_) => Opening::Opened,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Opening::TimedOut,
            Err(_) => Opening::Refused,
        }
    }

    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Opening::Opened => "opened",
            Opening::Refused => "refused",
            Opening::TimedOut => "timed_out",
        }
    }
}

impl fmt::Display for Opening {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The servers of one service in one hall.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Group {
    /// The service.
    pub service: ids::Service,
    /// The hall.
    pub hall: ids::Hall,
}

/// What an outcome changed for the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The group is unreached from now on.
    Lost,
    /// The group, which was unreached for this time, is reached again.
    Restored(Duration),
    /// Nothing.
    None,
}

/// What is known of the way to one server. Kept until a direct connection succeeds.
#[derive(Debug, Clone, Copy, Default)]
struct Way {
    /// When direct connections began to fail.
    failing_since: Option<Instant>,
    /// When another box last opened a connection to it.
    detoured_at: Option<Instant>,
    /// When other boxes last could not reach it either.
    denied_at: Option<Instant>,
}

impl Way {
    /// Whether direct connections fail while other boxes open some.
    fn is_detoured(&self) -> bool {
        let ways = self.failing_since.zip(self.detoured_at);
        ways.is_some_and(|(since, at)| at + PROOF_TIME >= since)
    }
}

/// The reach of the servers of one service in one hall.
#[derive(Debug, Default)]
pub struct Reach {
    /// Servers that the group has.
    size: Cell<usize>,
    /// The ways to servers to which connections failed, or were carried by another box.
    ways: RefCell<HashMap<Key, Way>>,
    /// Servers to which connections failed since one to any server of the group was opened.
    failed: RefCell<Vec<Key>>,
    /// When a connection last failed, and how.
    last_failure: Cell<Option<(Instant, Opening)>>,
    unreached_since: Cell<Option<Instant>>,
    /// Whether another box has opened a connection to a server while the group is
    /// unreached.
    is_bypassed: Cell<bool>,
    /// When no other box could be found to open a connection.
    no_gateway_at: Cell<Option<Instant>>,
}

impl Reach {
    /// Adds a server to the group.
    pub(super) fn add(&self) {
        self.size.set(self.size.get() + 1);
    }

    /// Removes a server from the group.
    pub(super) fn remove(&self, server: Key) {
        self.size.set(self.size.get().saturating_sub(1));
        self.ways.borrow_mut().remove(&server);
        self.failed.borrow_mut().retain(|key| *key != server);
    }

    /// Records how opening a direct connection to a server of the group ended.
    pub fn record(&self, server: Key, opening: Opening, now: Instant) -> Change {
        if opening == Opening::Opened {
            self.ways.borrow_mut().remove(&server);
            self.failed.borrow_mut().clear();
            self.no_gateway_at.set(None);
            self.is_bypassed.set(false);
            let since = self.unreached_since.take();
            return since.map_or(Change::None, |since| {
                Change::Restored(now.saturating_duration_since(since))
            });
        }
        self.last_failure.set(Some((now, opening)));
        let mut ways = self.ways.borrow_mut();
        let way = ways.entry(server).or_default();
        way.failing_since.get_or_insert(now);
        let is_detoured = way.is_detoured();
        let mut failed = self.failed.borrow_mut();
        if !failed.contains(&server) {
            failed.push(server);
        }
        if failed.len() < FAILED_MIN.min(self.size.get()) {
            return Change::None;
        }
        if is_detoured {
            self.is_bypassed.set(true);
        }
        if self.unreached_since.get().is_some() {
            return Change::None;
        }
        self.unreached_since.set(Some(now));
        Change::Lost
    }

    /// Records that another box opened a connection to a server. Returns whether that
    /// shows, for the first time since the group is unreached, that only this box does not
    /// reach it.
    pub fn record_detour(&self, server: Key, now: Instant) -> bool {
        let mut ways = self.ways.borrow_mut();
        let way = ways.entry(server).or_default();
        way.detoured_at = Some(now);
        way.denied_at = None;
        self.no_gateway_at.set(None);
        self.is_unreached() && !self.is_bypassed.replace(true)
    }

    /// Records that other boxes do not reach a server either.
    pub fn record_denied(&self, server: Key, now: Instant) {
        let mut ways = self.ways.borrow_mut();
        ways.entry(server).or_default().denied_at = Some(now);
    }

    /// Records that no other box could be found that opens connections.
    pub fn record_no_gateway(&self, now: Instant) {
        self.no_gateway_at.set(Some(now));
    }

    /// Whether connections to a server have to be carried by another box.
    pub fn is_detoured(&self, server: Key) -> bool {
        let is_bypassed = self.is_unreached() && self.is_bypassed.get();
        is_bypassed || self.way(server).is_some_and(|way| way.is_detoured())
    }

    /// Whether other boxes did not reach a server either, a short while ago.
    pub fn is_denied(&self, server: Key, now: Instant) -> bool {
        let denied_at = self.way(server).and_then(|way| way.denied_at);
        denied_at.is_some_and(|at| now.saturating_duration_since(at) < DENIED_TIME)
    }

    /// Whether a direct connection to a server that was idle since then may still work:
    /// none has failed since.
    pub fn is_trusted_since(&self, server: Key, since: Instant) -> bool {
        let failing_since = self.way(server).and_then(|way| way.failing_since);
        failing_since.is_none_or(|at| at < since)
    }

    /// Whether a connection to any server of the group is known to fail: nothing answered
    /// this box, and no other box could be found that opens one.
    pub fn is_hopeless(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < HOPELESS_TIME;
        let is_silent = |(at, opening)| is_recent(at) && opening == Opening::TimedOut;
        self.is_unreached()
            && self.last_failure.get().is_some_and(is_silent)
            && self.no_gateway_at.get().is_some_and(is_recent)
    }

    /// Whether no direct connection to any server of the group can be opened, as far as was
    /// tried.
    pub fn is_unreached(&self) -> bool {
        self.unreached_since.get().is_some()
    }

    /// Whether the group is unreached for another reason than that its servers are down:
    /// nothing answers this box, or another box reaches them.
    pub(super) fn is_silent(&self) -> bool {
        let last = self.last_failure.get();
        let timed_out = last.is_some_and(|(_, opening)| opening == Opening::TimedOut);
        self.is_unreached() && (timed_out || self.is_bypassed.get())
    }

    /// Whether some servers should be probed.
    pub(super) fn has_probes(&self) -> bool {
        self.is_silent() || self.ways.borrow().values().any(Way::is_detoured)
    }

    /// Whether direct connections to a server fail and a probe may show that they do not
    /// any longer: another box opens some, or nothing answers this box.
    pub(super) fn has_failing_way(&self, server: Key) -> bool {
        let way = self.way(server);
        let fails = way.is_some_and(|way| way.failing_since.is_some());
        fails && (self.is_silent() || way.is_some_and(|way| way.is_detoured()))
    }

    /// Number of servers to which connections failed since one was last opened to any.
    pub fn failed(&self) -> usize {
        self.failed.borrow().len()
    }

    /// Number of servers of the group.
    pub fn size(&self) -> usize {
        self.size.get()
    }

    fn way(&self, server: Key) -> Option<Way> {
        self.ways.borrow().get(&server).copied()
    }
}
