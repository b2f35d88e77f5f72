//! Whether planned work costs requests: a SIGTERM, changed settings, a changed
//! configuration.

use std::time::{Duration, Instant};

use tidepier_relay_standin::client::End;

use super::{before, told, Rule, Verdict};
use crate::bound;
use crate::evidence::Evidence;
use crate::ledger::{Attempt, Fact, Place};
use crate::plan::TIMEOUT;

/// Time after the work that still counts as it.
const AFTER: Duration = Duration::from_secs(1);
/// Share of its time after which a request may be lost.
const LATE: f64 = 0.7;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for attempt in &evidence.attempts {
        let (Some(answer), Some(ended)) = (&attempt.answer, attempt.ended) else {
            continue;
        };
        let broken = matches!(answer.end, End::Closed | End::Reset) && !answer.complete;
        let seen = evidence.seen(attempt);
        let read = !seen.is_empty() || answer.elapsed > bound::LOSS_SLACK;
        let late = answer.elapsed > TIMEOUT.mul_f64(LATE);
        if !broken || !read || late || !is_planned(evidence, attempt, ended) {
            continue;
        }
        let from = before(attempt.sent, bound::CONTACT);
        let disturbed = evidence.disturbed(from, ended, |found| {
            let here = found.place == Place::Box(attempt.place) || found.place == Place::Server;
            here && !found.planned
        });
        // Without a server, only time tells that the request had been read.
        let timed = seen.is_empty();
        let span = [attempt.sent, ended];
        if disturbed || timed && verdict.leaves_out(evidence, Rule::Planned, attempt, span) {
            continue;
        }
        verdict.broken(evidence, Rule::Planned, ended, told(attempt));
    }
}

/// Whether planned work was under way at its box.
fn is_planned(evidence: &Evidence, attempt: &Attempt, ended: Instant) -> bool {
    let here = |found: &crate::ledger::Disturbance| {
        found.planned && found.place == Place::Box(attempt.place)
    };
    let recent = before(attempt.sent, AFTER);
    let configured = evidence.facts.iter().any(|(at, fact)| {
        let within = *at <= ended && attempt.sent <= *at + bound::APPLY + AFTER;
        matches!(fact, Fact::Configuring) && within
    });
    configured || evidence.disturbed(recent, ended, here)
}
