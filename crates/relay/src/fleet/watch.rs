//! What an operator sees of servers that leave and rest, and the end of rests.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

use super::Fleet;

/// Time between two looks: short against the rests that servers ask for, seconds.
const LOOK_TIME: Duration = Duration::from_millis(500);

/// Tells by metrics how many servers leave and rest, and by the log when a
/// rest is over; does not end.
pub(crate) async fn run(fleet: Rc<Fleet>) -> Infallible {
    loop {
        Timer::after(LOOK_TIME).await;
        let now = Instant::now();
        for id in fleet.rested(now) {
            log::info!(target: "belief", "event=rest_over server={id} why=time");
        }
        let (leaving, resting) = fleet.withheld(now);
        metrics::gauge!("tidepier_servers_leaving").set(leaving as f64);
        metrics::gauge!("tidepier_servers_resting").set(resting as f64);
    }
}
