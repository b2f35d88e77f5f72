//! What was noted of boxes apart from single requests.

use super::{Rule, Verdict};
use crate::evidence::Evidence;
use crate::ledger::Fact;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for (at, fact) in &evidence.facts {
        let (rule, text) = match fact {
            Fact::Died(place, how) => (Rule::Ended, format!("box {place} ended: {how}")),
            Fact::Surplus(place, status) if (200..300).contains(status) => {
                let text = format!("box {place}: {status} where no request waited");
                (Rule::Answers, text)
            }
            Fact::StillDown(place) => (Rule::Recovery, format!("box {place} does not serve")),
            Fact::Grown(place, what) => (Rule::Growth, format!("box {place}: {what}")),
            _ => continue,
        };
        verdict.broken(evidence, rule, *at, text);
    }
}
