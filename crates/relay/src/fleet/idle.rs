//! Connections to one server that rest between requests.

use std::cell::RefCell;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_h1::Conn;

/// Resting connections that are kept for one server.
const IDLE_MAX: usize = 24;
/// Rest after which a connection is not used again where the server does not
/// say how long it keeps one.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Taken off the time that a server says it keeps a connection, for the way of
/// a request to it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// A connection that rests.
struct Resting {
    conn: Conn,
    since: Instant,
    until: Instant,
}

/// The resting connections, the one used last at the end.
#[derive(Default)]
pub(super) struct Idle(RefCell<Vec<Resting>>);

impl Idle {
    /// Takes one that is still good and has not rested longer than `rest`;
    /// drops those that are used up.
    pub(super) fn take(&self, rest: Duration) -> Option<Conn> {
        let now = Instant::now();
        let mut idle = self.0.borrow_mut();
        while let Some(mut last) = idle.pop() {
            let usable = last.until > now && now - last.since < rest;
            if usable && last.conn.rests() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Keeps a connection if nothing is under way on it and there is room.
    /// `keep_alive` is how long the server says that it keeps it.
    pub(super) fn put(&self, mut conn: Conn, keep_alive: Option<Duration>) {
        if !conn.rests() {
            return;
        }
        let now = Instant::now();
        let kept = keep_alive.map(|time| time.saturating_sub(IDLE_MARGIN));
        let until = now + kept.unwrap_or(IDLE_TIME);
        let mut idle = self.0.borrow_mut();
        idle.retain(|other| other.until > now);
        if idle.len() < IDLE_MAX {
            idle.push(Resting {
                conn,
                since: now,
                until,
            });
        }
    }

    /// Closes all.
    pub(super) fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}
