//! The times and shares that the platform promises, and their defaults.

use serde::Deserialize;

use super::span::Millis;

/// Default of [`Bounds::stop_within`]. The platform's usual figure, as are those
/// that follow unless they say otherwise.
const STOP_WITHIN: Millis = Millis::new(8_000);
/// Default of [`Bounds::apply_within`].
const APPLY_WITHIN: Millis = Millis::new(2_000);
/// Default of [`Bounds::revoke_within`].
const REVOKE_WITHIN: Millis = Millis::new(5_000);
/// Default of [`Bounds::revoke_when_blind`]: the safe side.
const REVOKE_WHEN_BLIND: bool = true;
/// Default of [`Bounds::empty_within`].
const EMPTY_WITHIN: Millis = Millis::new(5_000);
/// Default of [`Bounds::cold_overage`]: what a cold server is said to bear.
const COLD_OVERAGE: f64 = 1.0;
/// Default of [`Bounds::cold_tolerance`], in requests a second: the safe side.
const COLD_TOLERANCE: f64 = 0.0;
/// Default of [`Bounds::contact`].
const CONTACT: Millis = Millis::new(3_000);
/// Default of [`Bounds::heartbeat`].
const HEARTBEAT: Millis = Millis::new(1_200);
/// Default of [`Bounds::crowd_factor`], in multiples of the mean.
const CROWD_FACTOR: f64 = 2.0;
/// Default of [`Bounds::exposure_share`]. Half of the platform's usual figure.
const EXPOSURE_SHARE: f64 = 0.05;
/// Default of [`Bounds::rollback_within`].
const ROLLBACK_WITHIN: Millis = Millis::new(5_000);
/// Default of [`Bounds::retry_share`]. Half of the platform's usual figure:
/// without one, the safe side is to send less.
const RETRY_SHARE: f64 = 0.1;
/// Default of [`Bounds::retry_window`].
const RETRY_WINDOW: Millis = Millis::new(10_000);
/// Default of [`Bounds::retry_extra`], in requests: the safe side.
const RETRY_EXTRA: f64 = 0.0;

/// Promised times and shares.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time from the request to stop until the process is killed.
    pub stop_within: Millis,
    /// A configuration is in force everywhere after this.
    pub apply_within: Millis,
    /// A revoked key opens nothing after this.
    pub revoke_within: Millis,
    /// Whether [`Bounds::revoke_within`] also holds for a box that does not
    /// reach the store.
    pub revoke_when_blind: bool,
    /// The servers of a hall get nothing more so long after the operator asked
    /// to empty it.
    pub empty_within: Millis,
    /// Requests a second that a cold server may get, in multiples of what its
    /// service says it bears, ...
    pub cold_overage: f64,
    /// ... and beyond that.
    pub cold_tolerance: f64,
    /// Time after the end of the store's trouble from which its word counts.
    pub contact: Millis,
    /// Time between two words of a server to the store.
    pub heartbeat: Millis,
    /// Most load of one server, in multiples of the mean of its service.
    pub crowd_factor: f64,
    /// Part of a service's requests that a release may get while it is not known
    /// whether it is any good.
    pub exposure_share: f64,
    /// A release that is known to be bad gets nothing after this.
    pub rollback_within: Millis,
    /// Repeats that a service may get per request of a window.
    pub retry_share: f64,
    /// The window over which repeats are counted.
    pub retry_window: Millis,
    /// Repeats that a service may get per window beyond its share.
    pub retry_extra: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_within: STOP_WITHIN,
            apply_within: APPLY_WITHIN,
            revoke_within: REVOKE_WITHIN,
            revoke_when_blind: REVOKE_WHEN_BLIND,
            empty_within: EMPTY_WITHIN,
            cold_overage: COLD_OVERAGE,
            cold_tolerance: COLD_TOLERANCE,
            contact: CONTACT,
            heartbeat: HEARTBEAT,
            crowd_factor: CROWD_FACTOR,
            exposure_share: EXPOSURE_SHARE,
            rollback_within: ROLLBACK_WITHIN,
            retry_share: RETRY_SHARE,
            retry_window: RETRY_WINDOW,
            retry_extra: RETRY_EXTRA,
        }
    }
}
