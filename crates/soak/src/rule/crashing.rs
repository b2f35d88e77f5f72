//! Requests that end their servers: what the boxes learned of them.

use std::collections::BTreeMap;
use std::time::Instant;

use super::beliefs::is_in_touch;
use super::{Rule, Verdict};
use crate::bound;
use crate::evidence::{Evidence, Seen};
use crate::ledger::Attempt;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    let mut contents: BTreeMap<&str, Vec<(&Attempt, &Seen)>> = BTreeMap::new();
    for attempt in &evidence.attempts {
        let Some(content) = &attempt.asks else {
            continue;
        };
        let seen = evidence.seen(attempt).iter().map(|seen| (attempt, seen));
        contents.entry(content).or_default().extend(seen);
    }
    for (content, seen) in contents {
        late(evidence, verdict, content, &seen);
    }
}

fn late(evidence: &Evidence, verdict: &mut Verdict, content: &str, seen: &[(&Attempt, &Seen)]) {
    let mut ends: Vec<Instant> = seen.iter().filter_map(|(_, seen)| end(seen)).collect();
    ends.sort();
    // Several attempts may run at a server that ends.
    ends.dedup();
    let Some(third) = ends.get(bound::ENDS - 1).copied() else {
        return;
    };
    let known = third + bound::CONTACT;
    let late = seen.iter().filter(|(attempt, seen)| {
        let arrived = seen.run.arrived;
        let counts = arrived > known && is_in_touch(evidence, attempt, arrived);
        counts && !verdict.leaves_out(evidence, Rule::Crashing, attempt, [third, arrived])
    });
    let late: Vec<Instant> = late.map(|(_, seen)| seen.run.arrived).collect();
    if let Some(at) = late.get(bound::LATE_SENDINGS) {
        let (late, ends) = (late.len(), ends.len());
        let text = format!("{content}: {late} late sendings, {ends} servers ended");
        verdict.broken(evidence, Rule::Crashing, *at, text);
    }
}

/// When the server ended while it ran this.
fn end(seen: &Seen) -> Option<Instant> {
    seen.crashed.filter(|_| seen.run.is_open())
}
