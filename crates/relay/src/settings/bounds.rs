//! The time limits and ratios that the platform guarantees, and their defaults.

use serde::Deserialize;

use super::span::Millis;

/// Default of [`Bounds::stop_within`]. This and the following defaults are the
/// platform's usual values unless noted otherwise.
const STOP_WITHIN: Millis = Millis::new(8_000);
/// Default of [`Bounds::apply_within`].
const APPLY_WITHIN: Millis = Millis::new(2_000);
/// Default of [`Bounds::revoke_within`].
const REVOKE_WITHIN: Millis = Millis::new(5_000);
/// Default of [`Bounds::revoke_when_blind`]: the safe choice.
const REVOKE_WHEN_BLIND: bool = true;
/// Default of [`Bounds::empty_within`].
const EMPTY_WITHIN: Millis = Millis::new(5_000);
/// Default of [`Bounds::cold_overage`]: exactly the declared rate of a cold server.
const COLD_OVERAGE: f64 = 1.0;
/// Default of [`Bounds::cold_tolerance`], in requests a second: the safe choice.
const COLD_TOLERANCE: f64 = 0.0;
/// Default of [`Bounds::contact`].
const CONTACT: Millis = Millis::new(3_000);
/// Default of [`Bounds::heartbeat`].
const HEARTBEAT: Millis = Millis::new(1_200);
/// Default of [`Bounds::crowd_factor`], in multiples of the mean.
const CROWD_FACTOR: f64 = 2.0;
/// Default of [`Bounds::exposure_share`]. Half of the platform's usual value.
const EXPOSURE_SHARE: f64 = 0.05;
/// Default of [`Bounds::rollback_within`].
const ROLLBACK_WITHIN: Millis = Millis::new(5_000);
/// Default of [`Bounds::retry_share`]. Half of the platform's usual value: if the
/// platform gives none, fewer retries are the safe choice.
const RETRY_SHARE: f64 = 0.1;
/// Default of [`Bounds::retry_window`].
const RETRY_WINDOW: Millis = Millis::new(10_000);
/// Default of [`Bounds::retry_extra`], in requests: the safe choice.
const RETRY_EXTRA: f64 = 0.0;

/// Default of [`Bounds::client_timeout`]. Servers cut an answer that is not read for some
/// seconds; a client is cut earlier, so that the server is not taken for the cause.
const CLIENT_TIMEOUT: Millis = Millis::new(4_000);

/// The time limits and ratios that the platform guarantees.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time from the stop signal until the platform kills the process.
    pub stop_within: Millis,
    /// Time after which a written configuration is in force on every box.
    pub apply_within: Millis,
    /// Time after which a revoked key is no longer accepted.
    pub revoke_within: Millis,
    /// Whether [`Bounds::revoke_within`] also holds for a box that cannot reach the
    /// store.
    pub revoke_when_blind: bool,
    /// Time after the operator's order to empty a hall from which its servers get no
    /// more requests.
    pub empty_within: Millis,
    /// Rate of requests that a cold server may get, in multiples of the rate that its
    /// service declares for cold servers, ...
    pub cold_overage: f64,
    /// ... and the requests a second allowed in addition.
    pub cold_tolerance: f64,
    /// Time after the end of a store outage from which the store is authoritative
    /// again.
    pub contact: Millis,
    /// Interval between two heartbeats of a server to the store.
    pub heartbeat: Millis,
    /// Highest load of one server, in multiples of the mean of its service.
    pub crowd_factor: f64,
    /// Fraction of a service's requests that a new release may get until it has proven
    /// to be good.
    pub exposure_share: f64,
    /// Time from the detection of a faulty release until it gets no more requests.
    pub rollback_within: Millis,
    /// Retries that a service may get per request of a window.
    pub retry_share: f64,
    /// The window over which retries are counted.
    pub retry_window: Millis,
    /// Retries that a service may get per window in addition to its share.
    pub retry_extra: f64,
    /// Time after which a client that takes no bytes of its answer is cut; one that takes
    /// less than [`tidepier_h1::RECORD_BYTES`] in it may be. A change applies to
    /// connections that are opened after it.
    pub client_timeout: Millis,
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
            client_timeout: CLIENT_TIMEOUT,
        }
    }
}
