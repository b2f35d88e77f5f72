//! When a refused caller may return, and whether it kept to that.
//!
//! Handles clients that repeat at once, and callers that all return in one moment. A
//! caller returns through any box, with nothing that this fleet could mark. What it does
//! send is the time that it has left; so how long ago it first asked is known to every box
//! without a message, also after the box that refused it is gone.

use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use tidepier_clock::Instant;

use crate::rate::Rate;

/// Shortest delay: the age of what boxes know of each other's requests. Callers who return
/// sooner add to a crowd that the boxes have not noticed yet.
pub const DELAY_MIN: Duration = Duration::from_millis(400);
/// Part of the time left to a caller up to which it keeps to a delay; callers ignore
/// longer ones.
const LEFT_PART: f64 = 1.0 / 3.0;
/// Part of the capacity that goes to callers who return after the delay that they were
/// given, before any new ones. In a long crowd more than that return; if all of them came
/// first, every caller would be refused once before it is served, and none would be served
/// on time.
pub const RETURN_PART: f64 = 0.25;
/// Most callers that wait to return, in multiples of those that can be served within the
/// shortest delay.
const WAITING_MAX: f64 = 60.0;
/// Tolerance for the time that a request travels and waits to be read.
const TOLERANCE: Duration = Duration::from_millis(40);
/// Time for which the longest time-out of the clients of a route is remembered.
const TIMEOUT_TTL: Duration = Duration::from_secs(60);
/// Most routes whose clients' time-outs are remembered.
const ROUTES_MAX: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();

/// The longest time that clients of a route wait for an answer.
#[derive(Debug, Clone, Copy)]
struct Longest {
    timeout: Duration,
    at: Instant,
}

/// How long clients of each route wait for an answer.
#[derive(Debug)]
pub struct Timeouts {
    routes: RefCell<LruCache<Box<str>, Longest>>,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            routes: RefCell::new(LruCache::new(ROUTES_MAX)),
        }
    }
}

impl Timeouts {
    /// Records that a client of a route waits `left` from now on. Returns how long ago it
    /// began to wait, if it waits as long as the others.
    pub fn record(&self, route: &str, left: Duration, now: Instant) -> Duration {
        let mut routes = self.routes.borrow_mut();
        let new = Longest {
            timeout: left,
            at: now,
        };
        let longest = match routes.get_mut(route) {
            Some(longest) => longest,
            None => routes.get_or_insert_mut(route.into(), || new),
        };
        let expired = now.saturating_duration_since(longest.at) > TIMEOUT_TTL;
        if left >= longest.timeout || expired {
            *longest = new;
        }
        longest.timeout - left
    }
}

/// How often a caller that began to ask `elapsed` ago may have returned after the delay
/// that it was given. A caller that repeats its request sooner has the same number again.
pub fn round(elapsed: Duration) -> u32 {
    ((elapsed + TOLERANCE).as_millis() / DELAY_MIN.as_millis()) as u32
}

/// The delay after which a refused caller should return that has `left` time left: the
/// time until those that were refused before it are served. `admitted` is the fraction of
/// its class that is admitted, `refused` the rate of all refused requests, and `capacity`
/// what the servers can sustain. `spread` from 0 to 1 differs between callers, so that they do not
/// return in one moment.
pub fn delay(
    left: Duration,
    admitted: f64,
    refused: Rate,
    capacity: Rate,
    spread: f64,
) -> Duration {
    let room = (RETURN_PART * capacity.0).max(f64::EPSILON);
    // Callers that are refused within the shortest delay need this long to be served.
    let needed = DELAY_MIN.mul_f64((refused.0 / room).clamp(1.0, WAITING_MAX));
    let longest = DELAY_MIN + needed.mul_f64((1.0 - admitted).clamp(0.0, 1.0));
    let longest = longest.min(left.mul_f64(LEFT_PART));
    let shortest = DELAY_MIN.min(longest);
    shortest + (longest - shortest).mul_f64(spread)
}
