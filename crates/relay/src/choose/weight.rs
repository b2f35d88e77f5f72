//! What counts how much in the choice of a model engine.
//!
//! All weights are in milliseconds that the request, or those beside it, are
//! held up. None depends on a deployment; what engines differ in is learned in
//! use (`health`, `fleet`) or declared by the operator.

use std::time::Duration;

/// Tokens that a model engine reads in a ms, when nothing better is known:
/// measured engines read 38 to 112. The slowest are reckoned with, since a
/// prompt that is read where it need not be harms those most.
pub(super) const READ_TOKENS_PER_MS: f64 = 40.0;
/// What reading a token of a shared part again costs beside the time of its
/// own request, in ms: an engine in use has some three others running, and each
/// is held up for the 0.025 ms that the token takes.
pub(super) const READ_AGAIN_MS: f64 = 0.07;
/// The same for copying a token's memory from another engine: it takes 0.007 ms
/// at both engines, and others that copy there wait for it.
pub(super) const COPY_MS: f64 = 0.02;
/// Cost of each request that runs at an engine, in ms: steps grow slower.
pub(super) const RUNNING_MS: f64 = 0.5;
/// Cost of each request past an engine's slots, in ms.
pub(super) const WAITING_MS: f64 = 40.0;
/// Cost of each request past [`BOUND_PART`] of the bound on the load of one
/// server, in ms: what a copied prompt costs is borne for two of them.
pub(super) const EXCESS_MS: f64 = 100.0;
/// The same past the bound itself: two of them outweigh reading the prompts of
/// a subject anew at another server.
pub(super) const BROKEN_MS: f64 = 400.0;
/// Part of the operator's factor at which a server counts as crowded: reported
/// loads are late.
pub(super) const BOUND_PART: f64 = 0.8;
/// Requests over the factor times the mean that are always borne: the users'
/// bound has three.
pub(super) const BOUND_EXTRA: f64 = 2.0;
/// An engine counts as slow when its answers begin later than this many times
/// the usual time, plus [`SLOW_EXTRA_MS`]: one long prompt is no slowness.
pub(super) const SLOW_FACTOR: f64 = 2.0;
/// See [`SLOW_FACTOR`].
pub(super) const SLOW_EXTRA_MS: f64 = 150.0;
/// Most that slowness costs, in ms.
pub(super) const SLOW_MOST_MS: f64 = 1_500.0;
/// Age after which counts of other boxes' requests are no longer used.
pub(super) const COUNT_AGE: Duration = Duration::from_millis(1_500);
/// Age after which a reported load is no longer used.
pub(super) const LOAD_AGE: Duration = Duration::from_secs(3);
