//! The times and shares that boxes are told and rules hold them to. They are
//! the platform's usual ones but for the two that say so.

use std::time::Duration;

use serde_json::{json, Value};

/// A server that leaves gets no request later than this.
pub const LEAVE: Duration = Duration::from_secs(2);
/// A server that asked for rest gets no more than [`RESTED`] requests later than this.
pub const REST_HEARD: Duration = Duration::from_millis(500);
/// Requests that it may get in the rest of that time.
pub const RESTED: usize = 2;
/// Time from SIGTERM until a process is killed.
pub const STOP: Duration = Duration::from_secs(8);
/// A configuration is in force everywhere after this.
pub const APPLY: Duration = Duration::from_secs(2);
/// An emptied hall gets nothing after this. Under the usual time, so that a run of
/// some ten seconds sees it pass.
pub const EMPTY: Duration = Duration::from_secs(2);
/// A key that was taken away opens nothing after this. A second under the usual
/// time, so that a run of some ten seconds sees it pass.
pub const REVOKE: Duration = Duration::from_secs(4);
/// A box is in touch after so long without a disturbance.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Servers that end under a request before all boxes have to know of it.
pub const ENDS: usize = 3;
/// Sendings of it that are borne later, by all boxes together.
pub const LATE_SENDINGS: usize = 3;
/// A request that was read this long ago may not be lost by planned work.
pub const LOSS_SLACK: Duration = Duration::from_millis(200);
/// After a version showed, no older one may show later than this.
pub const STEP_BACK: Duration = Duration::from_millis(250);
/// Repeats that a service may get for each request of a window.
pub const RETRY_SHARE: f64 = 0.2;
/// Repeats on top. A third of the usual number, as there is less traffic.
pub const RETRY_EXTRA: usize = 20;
/// The window that repeats are counted in.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Most requests at one server, in multiples of the mean of its service.
pub const CROWD_FACTOR: f64 = 2.0;
/// Requests that a server may hold on top of that.
pub const CROWD_EXTRA: f64 = 3.0;
/// The window in which crowding is counted.
pub const CROWD_WINDOW: Duration = Duration::from_secs(5);
/// After the last fault, requests are served again within this.
pub const RECOVER: Duration = Duration::from_secs(12);

/// The bounds in a box's settings.
pub fn settings() -> Value {
    let ms = |time: Duration| time.as_millis() as u64;
    json!({
        "leave_within": ms(LEAVE),
        "stop_within": ms(STOP),
        "apply_within": ms(APPLY),
        "empty_within": ms(EMPTY),
        "revoke_within": ms(REVOKE),
        "contact": ms(CONTACT),
        "loss_slack": ms(LOSS_SLACK),
        "step_back_within": ms(STEP_BACK),
        "retry_share": RETRY_SHARE,
        "retry_extra": RETRY_EXTRA,
        "retry_window": ms(RETRY_WINDOW),
        "crowd_factor": CROWD_FACTOR,
        "recover_within": ms(RECOVER),
    })
}
