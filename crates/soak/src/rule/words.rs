//! What servers say of themselves in answers: whether the box that heard it heeds it.
//!
//! In touch or not: the word came to the box itself. A box that was started, or stood
//! still, since then is excused, and one that was cut off from a server is as to rest.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{told, Rule, Verdict};
use crate::bound;
use crate::evidence::{Evidence, Seen};
use crate::ledger::{Attempt, Fact, Place};

/// What reached one server from one box, in the order of arrival.
type Reached<'a> = Vec<(&'a Attempt, &'a Seen)>;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    let mut reached: BTreeMap<(&str, usize), Reached<'_>> = BTreeMap::new();
    for attempt in &evidence.attempts {
        for seen in evidence.seen(attempt) {
            let key = (seen.server.id.as_str(), attempt.place);
            reached.entry(key).or_default().push((attempt, seen));
        }
    }
    for reached in reached.values_mut() {
        reached.sort_by_key(|(_, seen)| seen.run.arrived);
        leaving(evidence, verdict, reached);
        resting(evidence, verdict, reached);
    }
}

fn leaving(evidence: &Evidence, verdict: &mut Verdict, reached: &Reached<'_>) {
    // Passed on: its client has the answer that said so.
    let passed_on = reached.iter().filter(|(attempt, seen)| {
        seen.run.said_leaving.is_some() && seen.run.ran() && attempt.served()
    });
    let passed_on = passed_on.filter_map(|(attempt, _)| attempt.ended);
    let Some(heard) = passed_on.min() else {
        return;
    };
    for (attempt, seen) in reached {
        let arrived = seen.run.arrived;
        if attempt.sent <= heard + bound::LEAVE
            || stood_still(evidence, attempt.place, heard, arrived)
            || verdict.leaves_out(evidence, Rule::Told, attempt, [heard, arrived])
        {
            continue;
        }
        let text = format!("{:?} after the word: {}", arrived - heard, told(attempt));
        verdict.broken(evidence, Rule::Told, arrived, text);
    }
}

fn resting(evidence: &Evidence, verdict: &mut Verdict, reached: &Reached<'_>) {
    for (_, asked) in reached {
        let Some((rest, at)) = &asked.run.said_rest else {
            continue;
        };
        let rest = rest.parse().ok().map(Duration::from_secs_f64);
        let until = *at + rest.unwrap_or_default();
        let within = reached.iter().filter(|(attempt, seen)| {
            let arrived = seen.run.arrived;
            arrived > *at + bound::REST_HEARD
                && arrived < until
                && !stood_still(evidence, attempt.place, *at, arrived)
                && !evidence.disturbed(*at, arrived, |found| {
                    found.place == Place::Server && found.name.contains("way")
                })
                && !verdict.leaves_out(evidence, Rule::Rested, attempt, [*at, arrived])
        });
        let within: Vec<_> = within.collect();
        if let Some((attempt, seen)) = within.get(bound::RESTED) {
            let count = within.len();
            let text = format!("{count} within {rest:?}, such as {}", told(attempt));
            verdict.broken(evidence, Rule::Rested, seen.run.arrived, text);
            return;
        }
    }
}

/// Whether a box was started, or its process or links disturbed, within a time.
fn stood_still(evidence: &Evidence, place: usize, from: Instant, to: Instant) -> bool {
    let born =
        |(at, fact): &(Instant, Fact)| *fact == Fact::Born(place) && *at >= from && *at <= to;
    evidence.facts.iter().any(born)
        || evidence.disturbed(from, to, |found| {
            found.place == Place::Box(place) && found.name.starts_with("process")
        })
}
