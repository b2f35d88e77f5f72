//! What was measured of processes from outside.

use super::{Rule, Verdict};
use crate::ledger::{Evidence, Fact};

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for (at, fact) in &evidence.facts {
        let (rule, text) = match fact {
            Fact::Died(place, how) => (Rule::Ended, format!("box {place} ended: {how}")),
            Fact::StillDown(place) => (Rule::Recovery, format!("box {place} does not serve")),
            Fact::Grown(place, what) => (Rule::Growth, format!("box {place}: {what}")),
            _ => continue,
        };
        verdict.broken(evidence, rule, *at, text);
    }
}
