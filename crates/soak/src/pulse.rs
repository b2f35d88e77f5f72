//! Whether the machine gave the soak and its processes the time they needed.
//!
//! Rules that are bound by time do not hold a process to it while it stood in
//! the queue for a processor. What counts is measured here and nowhere assumed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::fleet::Fleet;
use crate::ledger::Fact;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Lateness of a look, or time in the queue for a processor between two looks,
/// that counts as being held up: half of the shortest slack of a rule.
const HELD: Duration = Duration::from_millis(100);

/// Watches until it is dropped.
pub async fn watch(fleet: Arc<Fleet>) {
    let mut waited = vec![None; fleet.boxes()];
    loop {
        let due = Instant::now() + LOOK;
        Timer::at(due).await;
        let late = due.elapsed();
        if late > HELD {
            fleet.ledger.fact(Fact::HeldUp(None, late + LOOK));
        }
        for (place, before) in waited.iter_mut().enumerate() {
            let now = fleet.waited(place);
            if let (Some(now), Some(before)) = (now, *before) {
                // A new process begins at zero.
                let held = Duration::saturating_sub(now, before);
                if held > HELD {
                    let held = Fact::HeldUp(Some(place), held + late + LOOK);
                    fleet.ledger.fact(held);
                }
            }
            *before = now;
        }
    }
}
