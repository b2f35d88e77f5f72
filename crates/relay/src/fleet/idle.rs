//! Idle connections to one server.

use std::cell::RefCell;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_h1::Conn;

use super::used::Used;

/// Most idle connections that are kept for one server.
const IDLE_MAX: usize = 24;
/// Idle time after which a connection is not reused where the server does not say how
/// long it keeps one open.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Subtracted from the time for which the server says that it keeps a connection open,
/// so that a request still arrives in that time.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// An idle connection.
struct IdleConn {
    conn: Conn,
    since: Instant,
    until: Instant,
}

/// The idle connections, the most recently used one last.
#[derive(Default)]
pub(super) struct Idle(RefCell<Vec<IdleConn>>);

impl Idle {
    /// Takes a connection that is still usable and has been idle for less than
    /// `max_idle`, and that `is_trusted` accepts, given since when it has been idle; drops
    /// those that are not. Leaves those that `used` contains to other requests.
    pub(super) fn take(
        &self,
        max_idle: Duration,
        used: &Used,
        is_trusted: impl Fn(&Conn, Instant) -> bool,
    ) -> Option<Conn> {
        let now = Instant::now();
        let mut idle = self.0.borrow_mut();
        let mut left = Vec::new();
        let found = loop {
            let Some(mut last) = idle.pop() else {
                break None;
            };
            if used.contains(&last.conn) {
                left.push(last);
                continue;
            }
            let usable = last.until > now && now - last.since < max_idle;
            if usable && is_trusted(&last.conn, last.since) && last.conn.rests() {
                break Some(last.conn);
            }
        };
        idle.extend(left.into_iter().rev());
        found
    }

    /// Number of connections.
    pub(super) fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether there is a connection that `used` does not contain.
    pub(super) fn has_other(&self, used: &Used) -> bool {
        let idle = self.0.borrow();
        idle.iter().any(|idle| !used.contains(&idle.conn))
    }

    /// Keeps a connection if no request is in flight on it and there is room.
    /// `keep_alive` is how long the server says that it keeps the connection open.
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
            idle.push(IdleConn {
                conn,
                since: now,
                until,
            });
        }
    }

    /// Closes all of them.
    pub(super) fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}
