//! Weights of the cost estimate for model engines.
//!
//! All weights are in milliseconds of delay to the request itself or to the requests beside
//! it. None depends on a deployment: how engines differ is measured at run time (`health`,
//! `fleet`) or declared by the operator.

use std::time::Duration;

/// Cost of prefilling a token of a shared part again, beside the time of the request
/// itself, in ms: a busy engine has about three other requests running, and each is delayed
/// by the 0.025 ms that the token takes.
pub(super) const PREFILL_DELAY_MS: f64 = 0.07;
/// The same for copying the KV cache of a token from another engine: it takes 0.007 ms at
/// both engines, and other copies wait meanwhile.
pub(super) const COPY_DELAY_MS: f64 = 0.02;
/// Cost of each request that runs at an engine, in ms: each decoding step takes longer.
pub(super) const RUNNING_MS: f64 = 0.5;
/// Cost of each request beyond an engine's slots, in ms.
pub(super) const WAITING_MS: f64 = 40.0;
/// Cost of each request above [`SOFT_BOUND_PART`] of the bound on the load of one server, in ms.
/// Two such requests are worth the cost of copying a prompt elsewhere.
pub(super) const SOFT_BOUND_MS: f64 = 100.0;
/// The same above the bound itself: two such requests outweigh prefilling the prompts of a
/// subject again at another server.
pub(super) const HARD_BOUND_MS: f64 = 400.0;
/// Part of the operator's factor from which more load costs extra, because reported loads
/// lag behind.
pub(super) const SOFT_BOUND_PART: f64 = 0.8;
/// Requests above the factor times the mean that are always allowed: the users' bound
/// allows three.
pub(super) const BOUND_EXTRA: f64 = 2.0;
/// An engine counts as slow when its time to first token exceeds this many times the usual
/// one plus [`SLOW_EXTRA_MS`]: one long prompt must not count as slowness.
pub(super) const SLOW_FACTOR: f64 = 2.0;
/// See [`SLOW_FACTOR`].
pub(super) const SLOW_EXTRA_MS: f64 = 150.0;
/// Maximum cost of slowness, in ms.
pub(super) const SLOW_MS_MAX: f64 = 1_500.0;
/// Age after which other boxes' request counts are ignored.
pub(super) const COUNT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Age after which a reported load is ignored.
///
pub(super) const LOAD_AGE_MAX: Duration = Duration::from_secs(3);
