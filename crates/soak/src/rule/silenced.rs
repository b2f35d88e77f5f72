//! Checks that silence of sound servers ends no answer before its time is over.

use tidepier_relay_standin::client::End;

use super::{before, describe, Rule, Verdict};
use crate::bound;
use crate::evidence::Evidence;
use crate::fault::STOP;
use crate::ledger::{Request, Scope};
use crate::misuse::Manner;
use crate::plan::TIMEOUT_MIN;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for request in &evidence.requests {
        let Some(ended) = request.ended.filter(|_| is_cut(evidence, request)) else {
            continue;
        };
        let is_silent = evidence.disturbed(request.sent, ended, |it| it.scope == Scope::Silence);
        // If no server got the request, only the time shows that the box had read it.
        let timed = evidence.deliveries(request).is_empty();
        let span = [request.sent, ended];
        if !is_silent || timed && verdict.leaves_out(evidence, Rule::Silenced, request, span) {
            continue;
        }
        verdict.add_violation(evidence, Rule::Silenced, ended, describe(request));
    }
}

/// Whether a box that nothing disturbed cut the answer to a request that it had read, while
/// there was time left and no server was faulty.
pub(crate) fn is_cut(evidence: &Evidence, request: &Request) -> bool {
    let (Some(answer), Some(ended)) = (&request.answer, request.ended) else {
        return false;
    };
    if request.manner != Manner::Usual {
        return false;
    }
    let is_broken = matches!(answer.end, End::Closed | End::Reset) && !answer.complete;
    let is_read = !evidence.deliveries(request).is_empty() || answer.elapsed > bound::LOSS_SLACK;
    let is_late = answer.elapsed + bound::LOSS_SLACK > TIMEOUT_MIN;
    if !is_broken || !is_read || is_late {
        return false;
    }
    let from = before(request.sent, bound::GRACE_PERIOD);
    !evidence.disturbed(from, ended, |found| {
        let here = found.scope == Scope::Box(request.box_index);
        let is_stop = here && found.name == STOP;
        is_stop || (here || found.is_on_way_of(request.box_index)) && !found.planned
    })
}
