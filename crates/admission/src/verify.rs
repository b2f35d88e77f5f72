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
/// Most servers of which boxes report answers to each other. Among more than half as many,
/// the share of one of them is too small to matter to the users' rule on load.
pub const SERVERS_MAX: usize = 64;

/// Time for which an answer counts of a server at which requests of all boxes arrive at a
/// rate, `way` longer than in the hall of this box.
pub fn lifetime(rate: Rate, way: Duration) -> Duration {
    let lifetime = Duration::try_from_secs_f64(REQUESTS_MAX / rate.0);
    let lifetime = lifetime.unwrap_or(LIFETIME_MAX);
    lifetime.clamp(LIFETIME_MIN, LIFETIME_MAX) + way
}
