//! Whether answers are whole, of their own server, and no wrong refusals.

use tidepier_relay_standin::client::{Answer, End};
use tidepier_relay_standin::{names, server};

use super::{told, Rule, Verdict};
use crate::bound;
use crate::evidence::{Evidence, Seen};
use crate::ledger::{Attempt, Fact, Traffic};

/// Statuses of a server's own failures.
const FAILURES: [u16; 2] = [500, 504];
/// Refusals for good.
const DENIALS: [u16; 7] = [400, 401, 403, 404, 405, 413, 431];

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for attempt in &evidence.attempts {
        let (Some(answer), Some(ended)) = (&attempt.answer, attempt.ended) else {
            continue;
        };
        if let Some(wrong) = wrong(answer, attempt, evidence.seen(attempt)) {
            let text = format!("{wrong}: {}", told(attempt));
            verdict.broken(evidence, Rule::Answers, ended, text);
        }
        if DENIALS.contains(&answer.status) && is_allowed(evidence, attempt) {
            verdict.broken(evidence, Rule::Denied, ended, told(attempt));
        }
    }
}

fn wrong(answer: &Answer, attempt: &Attempt, seen: &[Seen]) -> Option<&'static str> {
    if answer.end == End::Malformed {
        return Some("bytes that are no answer");
    }
    if answer.status == 0 {
        return None;
    }
    let named = answer.field(names::ATTEMPT);
    if named.is_some_and(|named| named != attempt.id) {
        return Some("an answer to another request");
    }
    let success = (200..300).contains(&answer.status);
    let Some(seal) = answer.field(names::SEAL) else {
        return success.then_some("a success without a signature");
    };
    let Some(own) = seen.iter().find(|seen| seen.run.seal == seal) else {
        return Some("the signature of another request");
    };
    if !success {
        let given = FAILURES.contains(&answer.status);
        return (!given).then_some("a status that the server did not give");
    }
    let expected = expected(own);
    if answer.complete && answer.body != expected {
        return Some("complete, with another body");
    }
    let prefix = expected.starts_with(&answer.body);
    (!prefix).then_some("broken off, with another beginning")
}

/// The whole body of a server's answer.
fn expected(seen: &Seen) -> Vec<u8> {
    match seen.server.events {
        Some(events) => (1..=events.count)
            .map(server::event)
            .collect::<String>()
            .into_bytes(),
        None => seen.run.text(seen.server.answer_bytes),
    }
}

/// Whether each configuration that could be in force allows a request.
fn is_allowed(evidence: &Evidence, attempt: &Attempt) -> bool {
    if attempt.traffic != Traffic::Keyed {
        return true;
    }
    let ended = attempt.ended.unwrap_or(attempt.sent);
    let gone = evidence.facts.iter().any(|(at, fact)| {
        matches!(fact, Fact::KeyGone(key) if Some(key) == attempt.key.as_ref()) && *at <= ended
    });
    // A new key comes with the change that takes an old one away.
    let settled = evidence.facts.iter().all(|(at, fact)| {
        !matches!(fact, Fact::Configuring) || *at > ended || *at + bound::APPLY < attempt.sent
    });
    !gone && settled
}
