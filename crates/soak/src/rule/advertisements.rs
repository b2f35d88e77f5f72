//! Checks that a box heeds what servers announce in the answers that it received: that they
//! leave, or request a back-off.
//!
//! Whether the box can reach the store does not matter, as it received the answer itself. A
//! box that was started or stopped running since then is excused. The back-off rule also
//! excuses all boxes while a link to a server is impaired.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{describe, Rule, Verdict};
use crate::bound;
use crate::evidence::{Delivery, Evidence};
use crate::ledger::{Fact, Request, Scope};

/// Deliveries from one box to one server, in the order of arrival.
type Received<'a> = Vec<(&'a Request, &'a Delivery)>;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    let mut received: BTreeMap<(&str, usize), Received<'_>> = BTreeMap::new();
    for request in &evidence.requests {
        for delivery in evidence.deliveries(request) {
            let key = (delivery.server.id.as_str(), request.box_index);
            received.entry(key).or_default().push((request, delivery));
        }
    }
    for received in received.values_mut() {
        received.sort_by_key(|(_, delivery)| delivery.run.arrived);
        judge_leaving(evidence, verdict, received);
        judge_backing_off(evidence, verdict, received);
    }
}

fn judge_leaving(evidence: &Evidence, verdict: &mut Verdict, received: &Received<'_>) {
    // The client got the answer, so the box has read the announcement in it.
    let passed_on = received.iter().filter(|(request, delivery)| {
        delivery.run.leaving_announced.is_some() && delivery.run.ran() && request.served()
    });
    let passed_on = passed_on.filter_map(|(request, _)| request.ended);
    let Some(received_at) = passed_on.min() else {
        return;
    };
    for (request, delivery) in received {
        let arrived = delivery.run.arrived;
        if request.sent <= received_at + bound::LEAVING_TIMEOUT
            || was_stopped(evidence, request.box_index, received_at, arrived)
            || verdict.leaves_out(evidence, Rule::Told, request, [received_at, arrived])
        {
            continue;
        }
        let text = format!(
            "{:?} after the word: {}",
            arrived - received_at,
            describe(request)
        );
        verdict.add_violation(evidence, Rule::Told, arrived, text);
    }
}

fn judge_backing_off(evidence: &Evidence, verdict: &mut Verdict, received: &Received<'_>) {
    for (_, asked) in received {
        let Some((backoff, at)) = &asked.run.backoff_requested else {
            continue;
        };
        let backoff = backoff.parse().ok().map(Duration::from_secs_f64);
        let until = *at + backoff.unwrap_or_default();
        let within = received.iter().filter(|(request, delivery)| {
            let arrived = delivery.run.arrived;
            arrived > *at + bound::BACKOFF_TIMEOUT
                && arrived < until
                && !was_stopped(evidence, request.box_index, *at, arrived)
                && !evidence.disturbed(*at, arrived, |found| {
                    let is_link = found.scope != Scope::Server || found.name.contains("way");
                    is_link && found.is_on_way_of(request.box_index)
                })
                && !verdict.leaves_out(evidence, Rule::Rested, request, [*at, arrived])
        });
        let within: Vec<_> = within.collect();
        if let Some((request, delivery)) = within.get(bound::BACKOFF_REQUESTS_MAX) {
            let count = within.len();
            let text = format!("{count} within {backoff:?}, such as {}", describe(request));
            verdict.add_violation(evidence, Rule::Rested, delivery.run.arrived, text);
            return;
        }
    }
}

/// Whether a box was started, or its process disturbed, within a time span.
fn was_stopped(evidence: &Evidence, box_index: usize, from: Instant, to: Instant) -> bool {
    let started =
        |(at, fact): &(Instant, Fact)| *fact == Fact::Born(box_index) && *at >= from && *at <= to;
    evidence.facts.iter().any(started)
        || evidence.disturbed(from, to, |found| {
            found.scope == Scope::Box(box_index) && found.name.starts_with("process")
        })
}
