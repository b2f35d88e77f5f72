//! The rest that a server asks a box for, and how the box comes back.
//!
//! A server that turns a request away may ask the box for rest: it wants nothing from
//! that box for so long. It gets nothing, not even a probe. Load that this answers:
//! engines that turned all away for eight seconds got 129 requests in three of them,
//! and 89 callers nothing, while two thirds of the engines of their service had room.
//!
//! Where all servers of a service rest, callers are refused at once, with the time that
//! is left. They would all come back in the moment in which the first rest is over, so
//! that they are told times that are apart. 30 engines that all asked for 2 s got, in the
//! 100 ms with most, 219 instead of 1,361 requests of 6 boxes, 281 instead of 1,748 of 30
//! and 1,003 instead of 3,427 of 300 (usually 65, 84 and 300), and callers were refused 0.27
//! to 0.45 instead of 0.40 to 0.62 times each; they waited 125 ms longer in the mean. A box
//! that held them up to the end would send them all in that moment. Boxes that come back
//! one after the other, or with few requests at once, add nothing to that, or cost more
//! refusals than they spare (1.9 a request).

use std::time::Duration;

use tidepier_clock::Instant;

/// Longest rest that is kept as asked, a year: more is a mistake, and the operator's
/// word ends it as any other.
const LONGEST: Duration = Duration::from_secs(366 * 24 * 3_600);
/// Part of the time asked for over which callers come back that were refused while all
/// servers rested: what was refused in that time adds twice the usual to what comes, ...
const RETURN_PART: f64 = 0.5;
/// ... and the longest such time.
const RETURN_MAX: Duration = Duration::from_millis(3_000);
/// Ranks of routes that are told apart in that.
const RANKS: u8 = 3;

/// A rest that a server asked this box for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The time that the server asked for.
    pub asked: Duration,
    /// When this box sends there again.
    pub until: Instant,
}

impl Backoff {
    /// A rest that the server asked for at `now`.
    pub(super) fn new(asked: Duration, now: Instant) -> Self {
        let asked = asked.min(LONGEST);
        Self {
            asked,
            until: now + asked,
        }
    }

    /// Whether the server is to get nothing.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }

    /// When a caller is to come back that is refused at `now`: after the rest, callers
    /// one after the other, those of urgent routes first. `rank`: the route's; 0 goes
    /// first.
    pub fn retry_delay(&self, rank: u8, now: Instant) -> Duration {
        let spread = self.asked.mul_f64(RETURN_PART).min(RETURN_MAX);
        let part = f64::from(rank.min(RANKS - 1)) + fastrand::f64();
        self.until.saturating_duration_since(now) + spread.mul_f64(part / f64::from(RANKS))
    }
}
