//! Metrics of servers that are leaving, backing off or unreached, the end of back-offs, and
//! times for which this process could not run.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

use super::Fleet;

/// Interval between two checks, short against the back-offs that servers request, which
/// are seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay of a timer from which on the process counts as held up.
const HELD_UP_MIN: Duration = Duration::from_millis(100);

/// Sets the gauges of servers that are leaving, backing off and unreached, and logs each
/// back-off that has ended; does not return.
pub(crate) async fn run(fleet: Rc<Fleet>) -> Infallible {
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        Timer::after(CHECK_INTERVAL).await;
        let now = Instant::now();
        let late = now.saturating_duration_since(due);
        if late > HELD_UP_MIN {
            log::warn!(target: "process", "event=held_up ms={}", late.as_millis());
            metrics::counter!("tidepier_held_up_total").increment(1);
        }
        for id in fleet.expire_backoffs(now) {
            log::info!(target: "belief", "event=rest_over server={id} why=time");
        }
        let (leaving, backing_off) = fleet.count_ineligible(now);
        metrics::gauge!("tidepier_servers_leaving").set(leaving as f64);
        metrics::gauge!("tidepier_servers_resting").set(backing_off as f64);
        metrics::gauge!("tidepier_servers_unreached").set(fleet.count_unreached() as f64);
    }
}
