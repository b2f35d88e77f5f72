//! Checks how requests are spread over servers, and how many are retries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{before, Rule, Verdict};
use crate::bound;
use crate::evidence::{Delivery, Evidence};
use crate::ledger::{Disturbance, Fact, Loads, Traffic};
use crate::plan::{PLAIN, STREAM};

/// Time without any disturbance before a window in which load is judged.
const CALM_MIN: Duration = Duration::from_secs(1);
/// Number of requests to crowded servers from which on the rule can be violated.
const CROWDED_MIN: usize = 20;
/// Share of all requests beyond which it is.
const CROWDED_SHARE: f64 = 0.03;
/// Name of the fault in which a server stands still. Nobody can tell it from a process that
/// gets no processor, so that it excuses nothing.
const STANDSTILL_FAULT: &str = "server_standstill";
/// Name of the fault that restores the store from an older backup.
const RESTORE_FAULT: &str = "store_return";

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for service in [PLAIN, STREAM] {
        let mut deliveries: Vec<&Delivery> = evidence
            .deliveries
            .values()
            .flatten()
            .filter(|delivery| delivery.server.service == service)
            .collect();
        deliveries.sort_by_key(|delivery| delivery.run.arrived);
        judge_crowding(evidence, verdict, service, &deliveries);
        judge_retries(evidence, verdict, service);
    }
}

fn judge_crowding(
    evidence: &Evidence,
    verdict: &mut Verdict,
    service: &str,
    deliveries: &[&Delivery],
) {
    let loads: Vec<&Loads> = evidence
        .loads
        .iter()
        .filter(|loads| loads.service == service)
        .collect();
    for (last, end) in deliveries.iter().enumerate() {
        let begin = before(end.run.arrived, bound::CROWD_WINDOW);
        let first = deliveries.partition_point(|delivery| delivery.run.arrived < begin);
        let window = &deliveries[first..=last];
        if window.len() < CROWDED_MIN || !is_calm(evidence, begin, end.run.arrived) {
            continue;
        }
        let over: Vec<Excess> = window
            .iter()
            .filter_map(|delivery| excess(&loads, window, delivery))
            .collect();
        if over.len() >= CROWDED_MIN && over.len() as f64 > CROWDED_SHARE * window.len() as f64 {
            let details = describe(&over, end.run.arrived);
            let text = format!(
                "{service}: {} of {} in 5 s{details}",
                over.len(),
                window.len()
            );
            verdict.add_violation(evidence, Rule::Crowd, end.run.arrived, text);
            return;
        }
    }
}

/// A request that reached a server above the bound.
struct Excess<'a> {
    server: &'a str,
    arrived: Instant,
    /// Requests that the server held.
    held: u32,
    /// Requests that each server held in the mean.
    mean: f64,
}

/// Each server that got such requests: how many, when first and last before `end`, and what
/// it held at the highest.
fn describe(over: &[Excess], end: Instant) -> String {
    let mut by_server: BTreeMap<&str, Vec<&Excess>> = BTreeMap::new();
    for excess in over {
        by_server.entry(excess.server).or_default().push(excess);
    }
    let describe = |(server, over): (_, Vec<&Excess>)| {
        let ago = |it: &Excess| end.saturating_duration_since(it.arrived).as_secs_f64();
        // In the order of their arrival.
        let (first, last) = (over.first()?, over.last()?);
        let highest = over.iter().max_by_key(|it| it.held)?;
        Some(format!(
            "; {} at {server}, {:.3} to {:.3} s before, held {}, mean {:.1}",
            over.len(),
            ago(first),
            ago(last),
            highest.held,
            highest.mean,
        ))
    };
    by_server.into_iter().filter_map(describe).collect()
}

fn is_calm(evidence: &Evidence, from: Instant, to: Instant) -> bool {
    let quiet = before(from, CALM_MIN);
    let changed = evidence.facts.iter().any(|(at, fact)| {
        let is_change = matches!(
            fact,
            Fact::Leaving(_) | Fact::Saying(_) | Fact::Configuring | Fact::Born(_)
        );
        is_change && *at >= quiet && *at <= to
    });
    let held = evidence
        .facts
        .iter()
        .any(|(at, fact)| matches!(fact, Fact::HeldUp(..)) && *at >= quiet && *at <= to);
    let may_be_empty = may_keep_hall_empty(evidence, quiet, to);
    let excuses = |found: &Disturbance| found.name != STANDSTILL_FAULT;
    !changed && !held && !may_be_empty && !evidence.disturbed(quiet, to, excuses)
}

/// Whether boxes may keep a hall empty within a time span although the operator cancelled
/// its emptying. A missing entry has no revision: if it was removed while the store was
/// being restored from a backup, boxes cannot tell whether it is missing from the backup
/// alone, so what they knew before keeps precedence for a while.
fn may_keep_hall_empty(evidence: &Evidence, from: Instant, to: Instant) -> bool {
    evidence.facts.iter().any(|(at, fact)| {
        let may_be_empty = *at <= to && *at + bound::REVOCATION_TIMEOUT >= from;
        let is_restore = |found: &Disturbance| found.name == RESTORE_FAULT;
        matches!(fact, Fact::TakenBack(_))
            && may_be_empty
            && evidence.disturbed(*at, *at, is_restore)
    })
}

/// What a server held beyond the bound when this request arrived, if it did. Those of the
/// window that reached it since the loads were sampled count as well.
fn excess<'a>(
    loads: &[&Loads],
    window: &[&Delivery],
    delivery: &'a Delivery,
) -> Option<Excess<'a>> {
    let next = loads.partition_point(|loads| loads.at < delivery.run.arrived);
    let known = loads[next.checked_sub(1)?];
    let sampled = known
        .in_flight
        .iter()
        .find(|(id, _)| *id == delivery.server.id);
    let (_, sampled) = sampled?;
    let at = delivery.run.arrived;
    let here = window
        .iter()
        .filter(|it| it.server.id == delivery.server.id);
    let held = here.filter(|it| it.run.held_at(at)).count() as u32;
    let own = held.max(*sampled);
    let all: u32 = known.in_flight.iter().map(|(_, held)| held).sum();
    let all = all + (own - sampled);
    let mean = f64::from(all) / known.in_flight.len().max(1) as f64;
    let is_over = f64::from(own) > bound::CROWD_FACTOR * mean + bound::CROWD_EXTRA;
    is_over.then_some(Excess {
        server: &delivery.server.id,
        arrived: at,
        held: own,
        mean,
    })
}

/// Compares the retries of a window (deliveries after the first one of each request) with
/// what the requests of that window, or of one shortly before, allow.
fn judge_retries(evidence: &Evidence, verdict: &mut Verdict, service: &str) {
    let mut sent: Vec<Instant> = Vec::new();
    let mut retries: Vec<Instant> = Vec::new();
    for request in &evidence.requests {
        if service_of(request.traffic) == Some(service) {
            sent.push(request.sent);
            let again = evidence.deliveries(request).iter().skip(1);
            retries.extend(again.map(|delivery| delivery.run.arrived));
        }
    }
    sent.sort();
    retries.sort();
    let within = |all: &[Instant], to: Instant| {
        let from = before(to, bound::RETRY_WINDOW);
        all.partition_point(|at| *at <= to) - all.partition_point(|at| *at < from)
    };
    for end in &retries {
        let earlier = [0.0, 0.5, 1.0].map(|part| before(*end, bound::RETRY_WINDOW.mul_f64(part)));
        let requests = earlier.map(|to| within(&sent, to));
        let most = requests.into_iter().max().unwrap_or(0) as f64;
        // A reload of settings may have raised the bound by up to four.
        let allowed = bound::RETRY_SHARE * most + (bound::RETRY_EXTRA + 4) as f64;
        let found = within(&retries, *end);
        if found as f64 > allowed {
            let text = format!("{service}: {found} repeats of {most} requests");
            verdict.add_violation(evidence, Rule::Retries, *end, text);
            return;
        }
    }
}

fn service_of(traffic: Traffic) -> Option<&'static str> {
    match traffic {
        Traffic::Repeatable | Traffic::Once | Traffic::Keyed => Some(PLAIN),
        Traffic::Resumable | Traffic::Single => Some(STREAM),
        Traffic::Mark => None,
    }
}
