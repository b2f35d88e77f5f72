//! Checks that boxes which are partitioned from all servers serve their clients through the
//! other boxes.

use std::time::Instant;

use super::{before, Rule, Verdict};
use crate::bound;
use crate::evidence::Evidence;
use crate::ledger::{Disturbance, Request, Scope};

/// Requests at the partitioned boxes that were served, and all of them.
#[derive(Default)]
struct Count {
    served: usize,
    sent: usize,
}

impl Count {
    fn add(&mut self, request: &Request) {
        self.sent += 1;
        self.served += usize::from(request.served());
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    let partitions = evidence.disturbances.iter();
    for partition in partitions.filter(|it| matches!(it.scope, Scope::Servers(_))) {
        let from = partition.from + bound::GRACE_PERIOD;
        let last = evidence.requests.last().map(|request| request.sent);
        let Some(to) = partition.to.or(last).filter(|to| *to > from) else {
            continue;
        };
        judge_span(evidence, verdict, partition.scope, from, to);
    }
}

/// Compares the requests at a partitioned box that were sent within a time span with those
/// at boxes that reach all servers.
fn judge_span(
    evidence: &Evidence,
    verdict: &mut Verdict,
    scope: Scope,
    from: Instant,
    to: Instant,
) {
    let (mut here, mut elsewhere) = (Count::default(), Count::default());
    for request in &evidence.requests {
        let ended = request.ended.filter(|ended| *ended < to);
        let Some(ended) = ended.filter(|_| request.sent >= from) else {
            continue;
        };
        if !request.manner.is_proper() || !is_undisturbed(evidence, request, ended) {
            continue;
        }
        if scope == Scope::Servers(request.box_index) {
            here.add(request);
        } else if !is_partitioned(evidence, request, ended) {
            elsewhere.add(request);
        }
    }
    let failed = here.sent - here.served;
    let is_broken = elsewhere.sent > 0
        && here.share() < bound::PARTITIONED_SHARE * elsewhere.share()
        && failed > bound::PARTITIONED_FAILED + here.sent / bound::PARTITIONED_FAILED_PART;
    if is_broken {
        let text = format!(
            "{scope:?}: {} of {} requests served, {} of {} at other boxes",
            here.served, here.sent, elsewhere.served, elsewhere.sent
        );
        verdict.add_violation(evidence, Rule::Reach, to, text);
    }
}

fn is_partitioned(evidence: &Evidence, request: &Request, ended: Instant) -> bool {
    let from = before(request.sent, bound::GRACE_PERIOD);
    let scope = Scope::Servers(request.box_index);
    evidence.disturbed(from, ended, |found| found.scope == scope)
}

/// Whether nothing but partitions was disturbed from the grace period before a request
/// until its end. Another box that is disturbed may carry its connection.
fn is_undisturbed(evidence: &Evidence, request: &Request, ended: Instant) -> bool {
    let from = before(request.sent, bound::GRACE_PERIOD);
    let is_other = |found: &Disturbance| !matches!(found.scope, Scope::Servers(_) | Scope::Fleet);
    !evidence.disturbed(from, ended, is_other) && !evidence.held_up(request.box_index, from, ended)
}
