//! The times and shares that the platform promises, and their defaults.

use serde::Deserialize;

use super::span::Millis;

/// Default of [`Bounds::leave_within`]. The platform's usual figure, as are
/// those that follow unless they say otherwise.
const LEAVE_WITHIN: Millis = Millis::new(2_000);
/// Default of [`Bounds::stop_within`].
const STOP_WITHIN: Millis = Millis::new(8_000);
/// Default of [`Bounds::apply_within`].
const APPLY_WITHIN: Millis = Millis::new(2_000);
/// Default of [`Bounds::revoke_within`].
const REVOKE_WITHIN: Millis = Millis::new(5_000);
/// Default of [`Bounds::revoke_when_blind`]: the safe side.
const REVOKE_WHEN_BLIND: bool = true;
/// Default of [`Bounds::retry_share`]. Half of the platform's usual figure:
/// without one, the safe side is to send less.
const RETRY_SHARE: f64 = 0.1;
/// Default of [`Bounds::retry_window`].
const RETRY_WINDOW: Millis = Millis::new(10_000);
/// Default of [`Bounds::retry_extra`], in requests: the safe side.
const RETRY_EXTRA: u32 = 0;
/// Default of [`Bounds::event_within`].
const EVENT_WITHIN: Millis = Millis::new(120);
/// Default of [`Bounds::crowd_factor`], in multiples of the mean.
const CROWD_FACTOR: f64 = 2.0;
/// Default of [`Bounds::recover_within`].
const RECOVER_WITHIN: Millis = Millis::new(12_000);
/// Default of [`Bounds::contact`].
const CONTACT: Millis = Millis::new(3_000);
/// Default of [`Bounds::address_rest`].
const ADDRESS_REST: Millis = Millis::new(2_000);
/// Default of [`Bounds::loss_slack`].
const LOSS_SLACK: Millis = Millis::new(200);
/// Default of [`Bounds::step_back_within`].
const STEP_BACK_WITHIN: Millis = Millis::new(250);
/// Default of [`Bounds::prompt_kept`].
const PROMPT_KEPT: Millis = Millis::new(10_000);

/// Promised times and shares.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// A server that leaves gets no request later than this.
    pub leave_within: Millis,
    /// Time from the request to stop until the process is killed.
    pub stop_within: Millis,
    /// A configuration is in force everywhere after this.
    pub apply_within: Millis,
    /// A revoked key opens nothing after this.
    pub revoke_within: Millis,
    /// Whether [`Bounds::revoke_within`] also holds for a box that does not
    /// reach the store.
    pub revoke_when_blind: bool,
    /// Repeats that a service may get per request of a window.
    pub retry_share: f64,
    /// The window over which repeats are counted.
    pub retry_window: Millis,
    /// Repeats that a service may get per window beyond its share.
    pub retry_extra: u32,
    /// An event of a stream is passed on within this.
    pub event_within: Millis,
    /// Most load of one server, in multiples of the mean of its service.
    pub crowd_factor: f64,
    /// After a loss of all boxes, requests are served again within this.
    pub recover_within: Millis,
    /// A box counts as in touch after so long without a disturbance.
    pub contact: Millis,
    /// An address rests for so long before another server may get it.
    pub address_rest: Millis,
    /// A request that was read this long ago may not be lost by a planned stop.
    pub loss_slack: Millis,
    /// After a configuration showed, no older one may show later than this.
    pub step_back_within: Millis,
    /// A prompt part counts as kept for so long after its last use.
    pub prompt_kept: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            leave_within: LEAVE_WITHIN,
            stop_within: STOP_WITHIN,
            apply_within: APPLY_WITHIN,
            revoke_within: REVOKE_WITHIN,
            revoke_when_blind: REVOKE_WHEN_BLIND,
            retry_share: RETRY_SHARE,
            retry_window: RETRY_WINDOW,
            retry_extra: RETRY_EXTRA,
            event_within: EVENT_WITHIN,
            crowd_factor: CROWD_FACTOR,
            recover_within: RECOVER_WITHIN,
            contact: CONTACT,
            address_rest: ADDRESS_REST,
            loss_slack: LOSS_SLACK,
            step_back_within: STEP_BACK_WITHIN,
            prompt_kept: PROMPT_KEPT,
        }
    }
}
