//! What reached servers: sent by a client, once, as promised, to few servers.

use std::collections::HashMap;

use tidepier_relay_standin::names;

use super::{told, Rule, Verdict};
use crate::evidence::{Evidence, Seen};

use crate::ledger::{Attempt, Traffic};
use crate::plan::{self, ATTEMPTS};

/// Statuses that say that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Requests that may go to more servers than their routes allow, in a run: the
/// platform's figure.
const SPREAD: usize = 3;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    let attempts: HashMap<&str, &Attempt> = evidence
        .attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    for (id, seen) in &evidence.runs {
        let Some(attempt) = attempts.get(id.as_str()) else {
            let text = format!("no client sent {id}");
            verdict.broken(evidence, Rule::Unasked, seen[0].run.arrived, text);
            continue;
        };
        for seen in seen {
            if let Some(wrong) = changed(seen, attempt) {
                let text = format!("{wrong}: {}", told(attempt));
                verdict.broken(evidence, Rule::Unasked, seen.run.arrived, text);
            }
        }
    }
    for attempt in &evidence.attempts {
        judge_runs(evidence, verdict, attempt);
    }
    let mut spread = evidence.attempts.iter().filter(|attempt| {
        let seen = evidence.seen(attempt).iter();
        seen.filter(|seen| seen.run.ran()).count() > ATTEMPTS as usize
    });
    if let Some(attempt) = spread.nth(SPREAD) {
        verdict.broken(evidence, Rule::Spread, attempt.sent, told(attempt));
    }
}

/// Whether a request ran as often as its kind and its answer allow.
fn judge_runs(evidence: &Evidence, verdict: &mut Verdict, attempt: &Attempt) {
    let ran = evidence.ran(attempt);
    if attempt.traffic.runs_once() && ran > 1 {
        let text = format!("ran {ran} times: {}", told(attempt));
        verdict.broken(evidence, Rule::Once, attempt.sent, text);
    }
    let status = attempt.answer.as_ref().map_or(0, |answer| answer.status);
    if PROMISES.contains(&status) && ran > 0 {
        let text = format!("ran {ran} times: {}", told(attempt));
        verdict.broken(evidence, Rule::Promises, attempt.sent, text);
    }
}

/// What a server got that the client did not send.
fn changed(seen: &Seen, attempt: &Attempt) -> Option<&'static str> {
    let run = &seen.run;
    if run.target != attempt.target() {
        return Some("another path");
    }
    if run
        .body
        .as_deref()
        .is_some_and(|body| body != attempt.body())
    {
        return Some("another body");
    }
    if run.field("Authorization").is_some() {
        return Some("the key itself");
    }
    let account = (attempt.traffic == Traffic::Keyed).then_some(plan::ACCOUNT);
    (run.field(names::ACCOUNT) != account).then_some("another account")
}
