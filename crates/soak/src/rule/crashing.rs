//! Checks that boxes learn which requests crash servers.

use std::collections::BTreeMap;
use std::time::Instant;

use super::staleness::is_connected;
use super::{Rule, Verdict};
use crate::bound;
use crate::evidence::{Delivery, Evidence};
use crate::ledger::Request;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    let mut contents: BTreeMap<&str, Vec<(&Request, &Delivery)>> = BTreeMap::new();
    for request in &evidence.requests {
        let Some(content) = &request.content else {
            continue;
        };
        let deliveries = evidence
            .deliveries(request)
            .iter()
            .map(|delivery| (request, delivery));
        contents.entry(content).or_default().extend(deliveries);
    }
    for (content, deliveries) in contents {
        judge_content(evidence, verdict, content, &deliveries);
    }
}

fn judge_content(
    evidence: &Evidence,
    verdict: &mut Verdict,
    content: &str,
    deliveries: &[(&Request, &Delivery)],
) {
    let mut crashes: Vec<Instant> = deliveries
        .iter()
        .filter_map(|(_, delivery)| crash_time(delivery))
        .collect();
    crashes.sort();
    // Several requests may run at a server that crashes.
    crashes.dedup();
    let Some(known_crash) = crashes.get(bound::CRASHES_MIN - 1).copied() else {
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
        let text = format!("{content}: {late} late sendings, {crashes} servers ended");
        verdict.add_violation(evidence, Rule::Crashing, *at, text);
    }
}

/// When the server crashed while it ran this request.
fn crash_time(delivery: &Delivery) -> Option<Instant> {
    delivery.crashed.filter(|_| delivery.run.is_open())
}
