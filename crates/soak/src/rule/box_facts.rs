//! Violations that are recorded facts of boxes and need no single request.

use super::{Rule, Verdict};
use crate::evidence::Evidence;
use crate::ledger::Fact;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for (at, fact) in &evidence.facts {
        let (rule, text) = match fact {
            Fact::Died(box_index, how) => (Rule::Ended, format!("box {box_index} ended: {how}")),
            Fact::Surplus(box_index, status) if (200..300).contains(status) => {
                let text = format!("box {box_index}: {status} where no request waited");
                (Rule::Answers, text)
            }
            Fact::StillDown(box_index) => {
                (Rule::Recovery, format!("box {box_index} does not serve"))
            }
            Fact::LargeRefused(box_index, what) => {
                let text = format!("box {box_index} does not serve a large request: {what}");
                (Rule::Recovery, text)
            }
            Fact::OverLimits(box_index, what) => (Rule::Limits, format!("box {box_index}: {what}")),
            Fact::Grown(box_index, what) => (Rule::Growth, format!("box {box_index}: {what}")),
            _ => continue,
        };
        verdict.add_violation(evidence, rule, *at, text);
    }
}
