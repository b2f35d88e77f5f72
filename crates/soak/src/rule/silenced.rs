//! Checks that silence of sound servers ends no answer before its time is over.

use super::{describe, Rule, Verdict};
use crate::count;
use crate::evidence::Evidence;
use crate::ledger::Scope;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for request in &evidence.requests {
        let Some(ended) = request.ended.filter(|_| count::is_cut(evidence, request)) else {
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
