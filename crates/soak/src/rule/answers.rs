//! Checks that answers are complete, come from their own server, and are no wrong refusals.

use tidepier_relay_standin::client::{Answer, End};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Odd, Order};

use super::{describe, Rule, Verdict};
use crate::bound;
use crate::evidence::{Delivery, Evidence};
use crate::ledger::{Fact, Request, Traffic};

/// Statuses that the stand-in servers give for failures of their own.
const FAILURES: [u16; 2] = [500, 504];
/// Statuses of final refusals.
const DENIALS: [u16; 7] = [400, 401, 403, 404, 405, 413, 431];

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for request in &evidence.requests {
        let (Some(answer), Some(ended)) = (&request.answer, request.ended) else {
            continue;
        };
        if let Some(wrong) = wrong(answer, request, evidence.deliveries(request)) {
            let text = format!("{wrong}: {}", describe(request));
            verdict.add_violation(evidence, Rule::Answers, ended, text);
        }
        let is_proper = request.manner.is_proper();
        if is_proper && DENIALS.contains(&answer.status) && is_allowed(evidence, request) {
            verdict.add_violation(evidence, Rule::Denied, ended, describe(request));
        }
    }
}

fn wrong(answer: &Answer, request: &Request, deliveries: &[Delivery]) -> Option<&'static str> {
    if answer.end == End::Malformed {
        return Some("bytes that are no answer");
    }
    if answer.status == 0 {
        return None;
    }
    let named = answer.field(names::ATTEMPT);
    if named.is_some_and(|named| named != request.id) {
        return Some("an answer to another request");
    }
    let success = (200..300).contains(&answer.status);
    let Some(seal) = answer.field(names::SEAL) else {
        return success.then_some("a success without a signature");
    };
    let Some(own) = deliveries.iter().find(|delivery| delivery.run.seal == seal) else {
        return Some("the signature of another request");
    };
    if !success {
        let given = FAILURES.contains(&answer.status);
        return (!given).then_some("a status that the server did not give");
    }
    if own.run.odd == Some(Odd::EndlessBody) && own.server.events.is_none() {
        return wrong_of_endless(answer, own);
    }
    let expected = expected(own, request);
    if answer.complete && answer.body != expected {
        return Some("complete, with another body");
    }
    let prefix = expected.starts_with(&answer.body);
    let swapped = deliveries
        .iter()
        .any(|it| it.run.odd == Some(Odd::Events(Order::Swapped)));
    if swapped && is_rising_part(&answer.body, &expected) {
        // The box cannot know that an event lacks before it comes.
        return None;
    }
    (!prefix).then_some("broken off, with another beginning")
}

/// What is wrong with what came of a body without end.
fn wrong_of_endless(answer: &Answer, own: &Delivery) -> Option<&'static str> {
    if answer.complete {
        return Some("complete, without its end");
    }
    let unit = own.run.text(own.server.answer_bytes);
    let is_part = unit.iter().cycle().zip(&answer.body).all(|(a, b)| a == b);
    (!is_part).then_some("broken off, with another beginning")
}

/// Whether a body consists of events of another one, in their order; the last may be cut short.
fn is_rising_part(body: &[u8], whole: &[u8]) -> bool {
    let (body, whole) = (
        String::from_utf8_lossy(body),
        String::from_utf8_lossy(whole),
    );
    let mut events = whole.split_inclusive("\n\n");
    let mut parts = body.split_inclusive("\n\n");
    parts.all(|part| {
        events.any(|event| event == part || !part.ends_with("\n\n") && event.starts_with(part))
    })
}

/// The complete body of a server's answer.
fn expected(delivery: &Delivery, request: &Request) -> Vec<u8> {
    let release = delivery.server.release.as_deref();
    let first = request.takes_up.as_ref().map_or(1, |it| it.after + 1);
    match delivery.server.events {
        Some(events) => (first..=events.count)
            .map(|id| server::event_of(id, release))
            .collect::<String>()
            .into_bytes(),
        None => delivery.run.text(delivery.server.answer_bytes),
    }
}

/// Whether all configurations that could be in force allow a request.
fn is_allowed(evidence: &Evidence, request: &Request) -> bool {
    if request.traffic != Traffic::Keyed {
        return true;
    }
    let ended = request.ended.unwrap_or(request.sent);
    let gone = evidence.facts.iter().any(|(at, fact)| {
        matches!(fact, Fact::KeyGone(key) if Some(key) == request.key.as_ref()) && *at <= ended
    });
    // A new key is added by the change that removes an old one.
    let settled = evidence.facts.iter().all(|(at, fact)| {
        !matches!(fact, Fact::Configuring)
            || *at > ended
            || *at + bound::APPLY_TIMEOUT < request.sent
    });
    !gone && settled
}
