//! Checks what reached servers: that a client sent it, that it was executed no more often
//! than its kind and its answer allow, and that it reached few servers.

use std::collections::HashMap;

use tidepier_relay_standin::names;

use super::{describe, Rule, Verdict};
use crate::evidence::{Delivery, Evidence};

use crate::ledger::{Request, Traffic};
use crate::misuse::Manner;
use crate::plan::{self, ATTEMPTS_MAX};

/// Statuses that say that a request has not been executed and will not be.
const NOT_EXECUTED: [u16; 4] = [408, 421, 429, 503];
/// Number of requests per run that may be sent to more servers than their routes allow: the
/// default of the platform.
const SPREAD_MAX: usize = 3;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    let requests: HashMap<&str, &Request> = evidence
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    for (id, deliveries) in &evidence.deliveries {
        let Some(request) = requests.get(id.as_str()) else {
            let text = format!("no client sent {id}");
            verdict.add_violation(evidence, Rule::Unasked, deliveries[0].run.arrived, text);
            continue;
        };
        for delivery in deliveries {
            if let Some(wrong) = difference(delivery, request) {
                let text = format!("{wrong}: {}", describe(request));
                verdict.add_violation(evidence, Rule::Unasked, delivery.run.arrived, text);
            }
        }
    }
    for request in &evidence.requests {
        judge_executions(evidence, verdict, request);
    }
    let mut spread = evidence.requests.iter().filter(|request| {
        let deliveries = evidence.deliveries(request).iter();
        deliveries.filter(|delivery| delivery.run.ran()).count() > ATTEMPTS_MAX as usize
    });
    if let Some(request) = spread.nth(SPREAD_MAX) {
        verdict.add_violation(evidence, Rule::Spread, request.sent, describe(request));
    }
}

/// Checks that a request was executed as often as its kind and its answer allow.
fn judge_executions(evidence: &Evidence, verdict: &mut Verdict, request: &Request) {
    let executions = evidence.execution_count(request);
    if request.traffic.runs_once() && executions > 1 {
        let text = format!("ran {executions} times: {}", describe(request));
        verdict.add_violation(evidence, Rule::Once, request.sent, text);
    }
    let status = request.answer.as_ref().map_or(0, |answer| answer.status);
    if NOT_EXECUTED.contains(&status) && executions > 0 {
        let text = format!("ran {executions} times: {}", describe(request));
        verdict.add_violation(evidence, Rule::Promises, request.sent, text);
    }
}

/// Returns what differs between what a server received and what the client sent.
fn difference(delivery: &Delivery, request: &Request) -> Option<&'static str> {
    let run = &delivery.run;
    if matches!(request.manner, Manner::Misuse(misuse) if !misuse.is_whole()) {
        return Some("a request that was never whole");
    }
    if run.target != request.target() {
        return Some("another path");
    }
    if run
        .body
        .as_deref()
        .is_some_and(|body| body != request.body())
    {
        return Some("another body");
    }
    if run.field("Authorization").is_some() {
        return Some("the key itself");
    }
    let account = (request.traffic == Traffic::Keyed).then_some(plan::ACCOUNT);
    (run.field(names::ACCOUNT) != account).then_some("another account")
}
