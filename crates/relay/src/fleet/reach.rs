//! Which servers this box reaches over its own network.
//!
//! Health says how a server answers; this says whether the network between this box and
//! the servers of one service in one hall carries new connections. A box that is
//! partitioned from all of them fails in the same way at each, while one server that is
//! down fails alone.
//!
//! Invariant: only connections that this box opens itself count. What a server sends on an
//! older connection says nothing of a new one: a partition may let open connections live.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::time::Duration;

use tidepier_clock::Instant;

use super::Key;

/// Distinct servers that have to fail in a row before the group counts as unreached. One
/// server alone may be down.
const FAILED_MIN: usize = 2;

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

/// The reach of the servers of one service in one hall.
#[derive(Debug, Default)]
pub struct Reach {
    /// Servers that the group has.
    size: Cell<usize>,
    /// Servers to which connections failed since one to any server of the group was opened,
    /// and when each last did.
    failed: RefCell<HashMap<Key, Instant>>,
    unreached_since: Cell<Option<Instant>>,
}

impl Reach {
    /// Adds a server to the group.
    pub(super) fn add(&self) {
        self.size.set(self.size.get() + 1);
    }

    /// Removes a server from the group.
    pub(super) fn remove(&self, server: Key) {
        self.size.set(self.size.get().saturating_sub(1));
        self.failed.borrow_mut().remove(&server);
    }

    /// Records how opening a connection to a server of the group ended.
    pub fn record(&self, server: Key, opening: Opening, now: Instant) -> Change {
        if opening == Opening::Opened {
            self.failed.borrow_mut().clear();
            let since = self.unreached_since.take();
            return since.map_or(Change::None, |since| {
                Change::Restored(now.saturating_duration_since(since))
            });
        }
        let mut failed = self.failed.borrow_mut();
        failed.insert(server, now);
        let is_unreached = failed.len() >= FAILED_MIN.min(self.size.get());
        if is_unreached && self.unreached_since.get().is_none() {
            self.unreached_since.set(Some(now));
            return Change::Lost;
        }
        Change::None
    }

    /// Whether no connection to any server of the group can be opened, as far as was tried.
    pub fn is_unreached(&self) -> bool {
        self.unreached_since.get().is_some()
    }

    /// Number of servers to which connections failed since one was last opened to any.
    pub fn failed(&self) -> usize {
        self.failed.borrow().len()
    }

    /// Number of servers of the group.
    pub fn size(&self) -> usize {
        self.size.get()
    }
}
