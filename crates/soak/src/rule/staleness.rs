//! Checks that boxes act on the latest entries of the operator and the servers.

use std::time::Instant;

use super::{before, describe, Rule, Verdict};
use crate::bound;
use crate::evidence::{Delivery, Evidence};
use crate::ledger::{Disturbance, Fact, Request, Scope, Traffic};
use crate::plan::MARK_PREFIX;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    judge_keys(evidence, verdict);
    judge_versions(evidence, verdict);
    judge_leaving(evidence, verdict);
    judge_emptied(evidence, verdict);
}

/// Applies to every box at every time, also while it is cut off: a box that cannot confirm
/// a key has to refuse it.
fn judge_keys(evidence: &Evidence, verdict: &mut Verdict) {
    for (removed_at, fact) in &evidence.facts {
        let Fact::KeyGone(key) = fact else { continue };
        let late = evidence.requests.iter().filter(|request| {
            request.key.as_ref() == Some(key)
                && request.sent > *removed_at + bound::REVOCATION_TIMEOUT
        });
        for request in late.filter(|request| evidence.execution_count(request) > 0) {
            let after = request.sent - *removed_at;
            let text = format!("{key} ran {after:?} after its end: {}", describe(request));
            verdict.add_violation(evidence, Rule::Keys, request.sent, text);
        }
    }
}

/// The number of the configuration version that a delivery shows.
fn shown_version(delivery: &Delivery) -> Option<u32> {
    delivery
        .server
        .service
        .strip_prefix(MARK_PREFIX)?
        .parse()
        .ok()
}

fn judge_versions(evidence: &Evidence, verdict: &mut Verdict) {
    let marks = evidence
        .requests
        .iter()
        .filter(|request| request.traffic == Traffic::Mark);
    let uses: Vec<(&Request, &Delivery, u32)> = marks
        .flat_map(|request| {
            evidence
                .deliveries(request)
                .iter()
                .map(move |delivery| (request, delivery))
        })
        .filter_map(|(request, delivery)| Some((request, delivery, shown_version(delivery)?)))
        .collect();
    for (request, delivery, version) in &uses {
        if let Some(newer) = newer_before(evidence, &uses, request, *version) {
            let text = format!("version {version} after {newer}: {}", describe(request));
            verdict.add_violation(evidence, Rule::StepBack, delivery.run.arrived, text);
        }
        check_applied(evidence, verdict, request, delivery, *version);
    }
}

/// Returns a newer version that the same process of the box had used well before this
/// request was sent.
fn newer_before(
    evidence: &Evidence,
    uses: &[(&Request, &Delivery, u32)],
    request: &Request,
    version: u32,
) -> Option<u32> {
    let start = evidence.facts.iter().filter(|(at, fact)| {
        matches!(fact, Fact::Born(box_index) if *box_index == request.box_index)
            && *at <= request.sent
    });
    let start = start.map(|(at, _)| *at).max()?;
    let newer = uses.iter().filter(|(other, delivery, shown_version)| {
        other.box_index == request.box_index
            && other.sent >= start
            && *shown_version > version
            && delivery.run.arrived + bound::STEP_BACK_TIMEOUT < request.sent
    });
    newer.map(|(_, _, shown_version)| *shown_version).max()
}

fn check_applied(
    evidence: &Evidence,
    verdict: &mut Verdict,
    request: &Request,
    delivery: &Delivery,
    version: u32,
) {
    let due = evidence.facts.iter().find(|(at, fact)| {
        matches!(fact, Fact::Marked(marked) if *marked > version)
            && *at + bound::APPLY_TIMEOUT < request.sent
    });
    let Some((acknowledged_at, _)) = due else {
        return;
    };
    let arrived = delivery.run.arrived;
    if !is_connected(evidence, request, arrived) {
        return;
    }
    let span = [*acknowledged_at, arrived];
    if verdict.leaves_out(evidence, Rule::Apply, request, span) {
        return;
    }
    let after = request.sent - *acknowledged_at;
    let text = format!(
        "version {version} was over for {after:?}: {}",
        describe(request)
    );
    verdict.add_violation(evidence, Rule::Apply, arrived, text);
}

fn judge_leaving(evidence: &Evidence, verdict: &mut Verdict) {
    for (announced_at, fact) in &evidence.facts {
        let Fact::Leaving(id) = fact else { continue };
        let stable = before(*announced_at, bound::GRACE_PERIOD);
        if evidence.disturbed(stable, *announced_at, |found| found.scope == Scope::Store) {
            continue;
        }
        for request in &evidence.requests {
            for delivery in evidence.deliveries(request) {
                let arrived = delivery.run.arrived;
                if delivery.server.id == *id && arrived > *announced_at + bound::LEAVING_TIMEOUT {
                    check_late(
                        evidence,
                        verdict,
                        Rule::Leaving,
                        request,
                        [*announced_at, arrived],
                    );
                }
            }
        }
    }
}

fn judge_emptied(evidence: &Evidence, verdict: &mut Verdict) {
    for (emptied_at, fact) in &evidence.facts {
        let Fact::Emptied(hall) = fact else { continue };
        let mut later = evidence.facts.iter().filter(|(at, _)| at > emptied_at);
        let cancelled = later.find(|(_, fact)| *fact == Fact::TakenBack(hall.clone()));
        for request in &evidence.requests {
            for delivery in evidence.deliveries(request) {
                let arrived = delivery.run.arrived;
                let over = cancelled.is_some_and(|(cancelled, _)| arrived >= *cancelled);
                if delivery.server.hall == *hall
                    && arrived > *emptied_at + bound::EMPTYING_TIMEOUT
                    && !over
                {
                    check_late(
                        evidence,
                        verdict,
                        Rule::Emptied,
                        request,
                        [*emptied_at, arrived],
                    );
                }
            }
        }
    }
}

fn check_late(
    evidence: &Evidence,
    verdict: &mut Verdict,
    rule: Rule,
    request: &Request,
    span: [Instant; 2],
) {
    let [since, arrived] = span;
    let recent = before(arrived, bound::GRACE_PERIOD);
    // A request that was sent in time may wait in front of a server that stands still.
    let on_way = |found: &Disturbance| {
        found.is_on_way_of(request.box_index) || found.scope == Scope::Silence
    };
    let cut = evidence.disturbed(recent, arrived, on_way);
    if cut || !is_connected(evidence, request, arrived) {
        return;
    }
    if verdict.leaves_out(evidence, rule, request, span) {
        return;
    }
    let after = arrived - since;
    let text = format!("{after:?} after the word: {}", describe(request));
    verdict.add_violation(evidence, rule, arrived, text);
}

/// Whether the box of a request, and the store, had been undisturbed for the grace period
/// before the request was sent and until it reached a server.
pub(super) fn is_connected(evidence: &Evidence, request: &Request, arrived: Instant) -> bool {
    let from = before(request.sent, bound::GRACE_PERIOD);
    !evidence.disturbed(from, arrived, |found| {
        matches!(found.scope, Scope::Store) || found.scope == Scope::Box(request.box_index)
    })
}
