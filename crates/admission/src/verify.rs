//! For how long a server of a plain service counts as answering after an answer is known.
//!
//! A server that stands still keeps the requests that reach it. Until a message says that it
//! does, each box would go on sending, so that the sum would grow with the number of boxes
//! and with the time that messages take. Therefore the known answers of a server are what
//! lets boxes send to it: one with a recent answer is *verified*, and any other gets a
//! request only after it has answered a health check.
//!
//! Invariant: after its last answer, a server gets at most [`REQUESTS_MAX`] requests, or
//! those of [`LIFETIME_MIN`], of boxes that hold it for verified, at any number of boxes,
//! whether messages come late or not at all.

use std::time::Duration;

use crate::rate::Rate;

/// Requests of all boxes that a server may get after its last known answer: fewer than two
/// of three idle servers may have above the users' bound before the rule on load is broken.
const REQUESTS_MAX: f64 = 18.0;
/// Shortest time for which an answer counts. Boxes report answers every 0.4 s.
pub const LIFETIME_MIN: Duration = Duration::from_millis(600);
/// Longest time for which an answer counts.
pub const LIFETIME_MAX: Duration = Duration::from_secs(60);
/// Time in which a server answers a health check unless it stands still, beside the way.
const CHECK_TIME: Duration = Duration::from_millis(50);
/// Longest part of the time that is left to a request for a health check before it.
const CHECK_DEADLINE_PART: f64 = 0.4;
/// Most health checks before one attempt of a request.
pub const CHECKS_MAX: u32 = 2;
/// Shortest interval between health checks of one box while requests wait at another server.
const CHECK_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Mean time between such checks of all boxes.
const CHECK_SPACING: Duration = Duration::from_millis(5);
/// Most servers of which boxes report answers to each other. Among more than half as many,
/// the share of one of them is too small to matter to the users' rule on load.
pub const SERVERS_MAX: usize = 64;

/// Time for which an answer counts of a server at which requests of all boxes arrive at a
/// rate.
pub fn lifetime(rate: Rate) -> Duration {
    let lifetime = Duration::try_from_secs_f64(REQUESTS_MAX / rate.0);
    let lifetime = lifetime.unwrap_or(LIFETIME_MAX);
    lifetime.clamp(LIFETIME_MIN, LIFETIME_MAX)
}

/// Interval between health checks that one of `boxes` boxes sends a server while requests wait
/// at another one: all boxes may have such requests at once.
pub fn check_interval(boxes: usize) -> Duration {
    let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
    CHECK_INTERVAL_MIN.max(CHECK_SPACING.saturating_mul(boxes))
}

/// Time in which a server answers a health check over a new connection unless it stands
/// still. `round_trip`: to its hall, if that is another one.
pub fn check_limit(round_trip: Duration) -> Duration {
    // Once to open a connection, and once more.
    CHECK_TIME + round_trip * 2
}

/// The same for a health check before a request to which some time is `left`; `None` if that
/// is too little to wait for an answer.
pub fn check_limit_before_request(round_trip: Duration, left: Duration) -> Option<Duration> {
    let limit = check_limit(round_trip);
    (limit <= left.mul_f64(CHECK_DEADLINE_PART)).then_some(limit)
}
