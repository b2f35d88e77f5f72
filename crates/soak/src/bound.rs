//! Bounds that boxes get in their settings and that rules check. They are the default
//! values of the platform, except where a comment says otherwise.

use std::time::Duration;

use serde_json::{json, Value};

use crate::process::Limits;

/// A leaving server gets no request later than this after its announcement.
pub const LEAVING_TIMEOUT: Duration = Duration::from_secs(2);
/// A server that requested a back-off gets at most [`BACKOFF_REQUESTS_MAX`] requests later
/// than this.
pub const BACKOFF_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests that a server may get during the rest of its back-off.
pub const BACKOFF_REQUESTS_MAX: usize = 2;
/// Time from SIGTERM until the soak kills a process.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time until all boxes apply a new configuration.
pub const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// An emptied hall gets no requests later than this. Shorter than the default, so that it
/// elapses within a run of about ten seconds.
pub const EMPTYING_TIMEOUT: Duration = Duration::from_secs(2);
/// A removed key is not accepted later than this. One second less than the default, so that
/// it elapses within a run of about ten seconds.
pub const REVOCATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a disturbance after which a box counts as connected to the store and to the
/// other boxes.
pub const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Crashes under the same request content after which all boxes have to know of it.
pub const CRASHES_MIN: usize = 3;
/// The same under requests with one part in their prompts.
pub const PART_CRASHES_MIN: usize = 5;
/// Deliveries of that content to servers that are tolerated afterwards, over all boxes.
pub const LATE_DELIVERIES_MAX: usize = 3;
/// A planned change may not lose a request that a box read at least this long before.
pub const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Once a box has used a version, it may not use an older one later than this.
pub const STEP_BACK_TIMEOUT: Duration = Duration::from_millis(250);
/// Retries that a service may get for each request of a window.
pub const RETRY_SHARE: f64 = 0.2;
/// Retries allowed in addition. A third of the default, as the soak sends less traffic.
pub const RETRY_EXTRA: usize = 20;
/// Window in which retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Bound on the requests at one server, as a multiple of the mean of its service.
pub const CROWD_FACTOR: f64 = 2.0;
/// Requests that a server may hold beyond that multiple.
pub const CROWD_EXTRA: f64 = 3.0;
/// Window in which requests to crowded servers are counted.
pub const CROWD_WINDOW: Duration = Duration::from_secs(5);
/// Streams that are taken up from which their refusals are judged.
pub const TAKEN_UP_MIN: usize = 12;
/// Boxes that are partitioned from all servers serve at least this share of what the others
/// do, ...
pub const PARTITIONED_SHARE: f64 = 2.0 / 3.0;
/// ... if more than this many requests fail there, ...
pub const PARTITIONED_FAILED: usize = 10;
/// ... and one of this many of all requests there in addition.
pub const PARTITIONED_FAILED_PART: usize = 50;
/// Time after the last fault within which each box has to serve requests again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// What the settings of boxes give their processes.
pub const LIMITS: Limits = Limits {
    memory_mb: 260.0,
    descriptors: 1_024,
};
/// The same where clients and servers misbehave: so little that a crowd of clients can exceed it.
pub const LOW_LIMITS: Limits = Limits {
    memory_mb: 64.0,
    descriptors: 512,
};
/// A request that was whole this long after SIGTERM is served or refused.
pub const STOP_SENDING_TIME: Duration = Duration::from_secs(3);
/// Part of the time of a stop from which on a server that is still at work on a request that
/// was sent before that excuses its end.
pub const STOP_WORK_SHARE: f64 = 5.0 / 6.0;

/// The bounds as a section of the settings of a box.
pub fn settings() -> Value {
    let ms = |time: Duration| time.as_millis() as u64;
    json!({
        "leave_within": ms(LEAVING_TIMEOUT),
        "stop_within": ms(STOP_TIMEOUT),
        "apply_within": ms(APPLY_TIMEOUT),
        "empty_within": ms(EMPTYING_TIMEOUT),
        "revoke_within": ms(REVOCATION_TIMEOUT),
        "contact": ms(GRACE_PERIOD),
        "loss_slack": ms(LOSS_SLACK),
        "step_back_within": ms(STEP_BACK_TIMEOUT),
        "retry_share": RETRY_SHARE,
        "retry_extra": RETRY_EXTRA,
        "retry_window": ms(RETRY_WINDOW),
        "crowd_factor": CROWD_FACTOR,
        "recover_within": ms(RECOVERY_TIMEOUT),
    })
}
