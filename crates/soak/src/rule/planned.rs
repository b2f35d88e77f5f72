//! Checks that planned work loses no requests: a SIGTERM, changed settings, a changed
//! configuration.

use std::time::{Duration, Instant};

use tidepier_relay_standin::client::End;

use super::{before, describe, Rule, Verdict};
use crate::bound;
use crate::evidence::Evidence;
use crate::ledger::{Fact, Request, Scope};
use crate::misuse::Manner;
use crate::plan::{LATE_DEADLINE, TIMEOUT};

/// Time after planned work for which a lost request still counts as its effect.
const EFFECT_TIME: Duration = Duration::from_secs(1);
/// Share of the time-out of a request after which its loss is not held against planned
/// work.
const LATE_SHARE: f64 = 0.7;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for request in &evidence.requests {
        let (Some(answer), Some(ended)) = (&request.answer, request.ended) else {
            continue;
        };
        let broken = matches!(answer.end, End::Closed | End::Reset) && !answer.complete;
        let deliveries = evidence.deliveries(request);
        let sending_time = request.manner.sending_time();
        let read = !deliveries.is_empty() || answer.elapsed > sending_time + bound::LOSS_SLACK;
        let late = match request.manner {
            Manner::Late(_) => answer.elapsed + bound::LOSS_SLACK > LATE_DEADLINE,
            _ => answer.elapsed > TIMEOUT.mul_f64(LATE_SHARE),
        };
        if !broken || !read || late || !is_planned(evidence, request, ended) {
            continue;
        }
        let from = before(request.sent, bound::GRACE_PERIOD);
        let disturbed = evidence.disturbed(from, ended, |found| {
            let here = found.scope == Scope::Box(request.box_index);
            (here || found.is_on_way_of(request.box_index)) && !found.planned
        });
        if !request.manner.is_proper() || outlasts_stop(evidence, request, ended) {
            continue;
        }
        // If no server got the request, only the time shows that the box had read it.
        let timed = deliveries.is_empty();
        let span = [request.sent, ended];
        if disturbed || timed && verdict.leaves_out(evidence, Rule::Planned, request, span) {
            continue;
        }
        verdict.add_violation(evidence, Rule::Planned, ended, describe(request));
    }
}

/// Whether a server was still at work late in the time of a stop on a request that was whole
/// early in it.
fn outlasts_stop(evidence: &Evidence, request: &Request, ended: Instant) -> bool {
    let stops = evidence.facts.iter().filter(|(at, fact)| {
        matches!(fact, Fact::Stopping(stopped) if *stopped == request.box_index) && *at <= ended
    });
    let Some(stop) = stops.map(|(at, _)| *at).max() else {
        return false;
    };
    let late = stop + bound::STOP_TIMEOUT.mul_f64(bound::STOP_WORK_SHARE);
    let mut runs = evidence.deliveries(request).iter().map(|it| &it.run);
    request.sent_whole() <= stop + bound::STOP_SENDING_TIME
        && runs.any(|run| run.ran() && run.ended.is_none_or(|ended| ended >= late))
}

/// Whether planned work was in progress at the box of the request.
fn is_planned(evidence: &Evidence, request: &Request, ended: Instant) -> bool {
    let here = |found: &crate::ledger::Disturbance| {
        found.planned && found.scope == Scope::Box(request.box_index)
    };
    let recent = before(request.sent, EFFECT_TIME);
    let configured = evidence.facts.iter().any(|(at, fact)| {
        let within = *at <= ended && request.sent <= *at + bound::APPLY_TIMEOUT + EFFECT_TIME;
        matches!(fact, Fact::Configuring) && within
    });
    configured || evidence.disturbed(recent, ended, here)
}
