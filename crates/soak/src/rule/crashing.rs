//! Checks that boxes learn which requests, and which parts of prompts, crash servers.

use std::collections::BTreeMap;
use std::time::Instant;

use super::staleness::is_connected;
use super::{Rule, Verdict};
use crate::bound;
use crate::evidence::{Delivery, Evidence};
use crate::ledger::Request;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    let mut keys: BTreeMap<String, (usize, Vec<(&Request, &Delivery)>)> = BTreeMap::new();
    for request in &evidence.requests {
        let (key, crashes_min) = match (&request.content, request.crashing_part) {
            (Some(content), _) => (content.clone(), bound::CRASHES_MIN),
            (None, Some(part)) => (format!("part {part:x}"), bound::PART_CRASHES_MIN),
            (None, None) => continue,
        };
        let deliveries = evidence
            .deliveries(request)
            .iter()
            .map(|delivery| (request, delivery));
        let of_key = keys.entry(key).or_insert((crashes_min, Vec::new()));
        of_key.1.extend(deliveries);
    }
    for (key, (crashes_min, deliveries)) in keys {
        judge_key(evidence, verdict, &key, crashes_min, &deliveries);
    }
}

/// Judges the requests with one content or part, which has to be known as the cause after this
/// many crashes.
fn judge_key(
    evidence: &Evidence,
    verdict: &mut Verdict,
    key: &str,
    crashes_min: usize,
    deliveries: &[(&Request, &Delivery)],
) {
    let mut crashes: Vec<Instant> = deliveries
        .iter()
        .filter_map(|(_, delivery)| crash_time(delivery))
        .collect();
    crashes.sort();
    // Several requests may run at a server that crashes.
    crashes.dedup();
    let Some(known_crash) = crashes.get(crashes_min - 1).copied() else {
        return;
    };
    let deadline = known_crash + bound::GRACE_PERIOD;
    let late = deliveries.iter().filter(|(request, delivery)| {
        let arrived = delivery.run.arrived;
        let counts = arrived > deadline && is_connected(evidence, request, arrived);
        counts && !verdict.leaves_out(evidence, Rule::Crashing, request, [known_crash, arrived])
    });
    let late: Vec<Instant> = late.map(|(_, delivery)| delivery.run.arrived).collect();
    if let Some(at) = late.get(bound::LATE_DELIVERIES_MAX) {
        let (late, crashes) = (late.len(), crashes.len());
        let text = format!("{key}: {late} late sendings, {crashes} servers ended");
        verdict.add_violation(evidence, Rule::Crashing, *at, text);
    }
}

/// When the server crashed while it ran this request.
fn crash_time(delivery: &Delivery) -> Option<Instant> {
    delivery.crashed.filter(|_| delivery.run.is_open())
}
