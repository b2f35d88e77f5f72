//! Metrics of servers that are leaving, backing off or unreached, and the end of back-offs.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

use super::Fleet;

/// Interval between two checks, short against the back-offs that servers request, which
/// are seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Sets the gauges of servers that are leaving, backing off and unreached, and logs each
/// back-off that has ended; does not return.
pub(crate) async fn run(fleet: Rc<Fleet>) -> Infallible {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = Instant::now();
        for id in fleet.expire_backoffs(now) {
            log::info!(target: "belief", "event=rest_over server={id} why=time");
        }
        let (leaving, backing_off) = fleet.count_ineligible(now);
        metrics::gauge!("tidepier_servers_leaving").set(leaving as f64);
        metrics::gauge!("tidepier_servers_resting").set(backing_off as f64);
        metrics::gauge!("tidepier_servers_unreached").set(fleet.count_unreached() as f64);
    }
}
