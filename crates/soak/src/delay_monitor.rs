//! Measures whether the soak and its processes got the processor time that they needed.
//!
//! Rules with a time bound do not count the time in which a process was runnable but had no
//! processor. That time is measured here, never assumed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::fleet::Fleet;
use crate::ledger::Fact;

/// Time between two measurements.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Lateness of a measurement, or time that a process waited for a processor between two
/// measurements, from which on it counts as held up: half of the shortest slack of a rule.
const HELD_UP_MIN: Duration = Duration::from_millis(100);

/// Measures until the task is dropped, and records each delay in the ledger.
pub async fn watch(fleet: Arc<Fleet>) {
    let mut waited = vec![None; fleet.box_count()];
    loop {
        let due = Instant::now() + POLL_INTERVAL;
        Timer::at(due).await;
        let late = due.elapsed();
        if late > HELD_UP_MIN {
            fleet
                .ledger
                .record_fact(Fact::HeldUp(None, late + POLL_INTERVAL));
        }
        for (box_index, before) in waited.iter_mut().enumerate() {
            let now = fleet.run_queue_wait(box_index);
            if let (Some(now), Some(before)) = (now, *before) {
                // The counter of a restarted process begins at zero.
                let held = Duration::saturating_sub(now, before);
                if held > HELD_UP_MIN {
                    let held = Fact::HeldUp(Some(box_index), held + late + POLL_INTERVAL);
                    fleet.ledger.record_fact(held);
                }
            }
            *before = now;
        }
    }
}
