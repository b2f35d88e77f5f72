//! What a box knows of the servers of a plain service, in memory.

use eyre::ensure;
use tidepier_clock::Instant;
use tidepier_relay::choose::filter::Filter;
use tidepier_relay::choose::rotation::Servers;
use tidepier_relay::choose::Criteria;
use tidepier_relay::fleet::used::Used;

use crate::choice_harness::{ChoiceHarness, CONNECTIONS};
use crate::harness::Result;

/// Guards against an overflow by the counts of a faulty box, which would stop this box or
/// make full servers look idle.
#[test]
fn the_largest_counts_of_requests_do_not_overflow() -> Result {
    let harness = ChoiceHarness::new("hall-1", 1..=3)?;
    let now = Instant::now();
    let keys = harness.fleet.known(&harness.service);
    let counts = keys.iter().map(|it| (it.key, u32::MAX)).collect();
    harness.fleet.set_peer_in_flight(&counts, 2, now);
    let criteria = Criteria {
        prompt: None,
        copy_ms: None,
        tried: &[],
        used: &Used::default(),
        filter: Filter::default(),
        hall: &harness.hall,
        not_resumable: false,
        repeatable: false,
        connections: CONNECTIONS,
        crowd_factor: 2.0,
        boxes: 1,
    };
    let servers = Servers::of(&harness.fleet, &harness.service, &criteria, now);
    ensure!(servers.slots == 48.0, "{servers:?}");
    let all = 3.0 * f64::from(u32::MAX);
    ensure!(servers.in_flight == Some(all), "{servers:?}");
    ensure!(servers.are_under_pressure());
    Ok(())
}
