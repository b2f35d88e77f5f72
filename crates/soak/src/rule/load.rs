//! How requests are spread over servers, and how many are repeats.

use std::time::{Duration, Instant};

use super::{before, Rule, Verdict};
use crate::bound;
use crate::evidence::{Evidence, Seen};
use crate::ledger::{Disturbance, Fact, Loads, Traffic};
use crate::plan::{PLAIN, STREAM};

/// Time without any disturbance after which it is calm.
const CALM: Duration = Duration::from_secs(1);
/// Fewest requests to crowded servers that break the rule.
const CROWDED: usize = 20;
/// Share of all requests that breaks it.
const CROWDED_SHARE: f64 = 0.03;
/// The name of a return of the store to a copy of itself.
const RETURN: &str = "store_return";

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    for service in [PLAIN, STREAM] {
        let mut seen: Vec<&Seen> = evidence
            .runs
            .values()
            .flatten()
            .filter(|seen| seen.server.service == service)
            .collect();
        seen.sort_by_key(|seen| seen.run.arrived);
        crowd(evidence, verdict, service, &seen);
        retries(evidence, verdict, service);
    }
}

fn crowd(evidence: &Evidence, verdict: &mut Verdict, service: &str, seen: &[&Seen]) {
    let loads: Vec<&Loads> = evidence
        .loads
        .iter()
        .filter(|loads| loads.service == service)
        .collect();
    for (last, end) in seen.iter().enumerate() {
        let begin = before(end.run.arrived, bound::CROWD_WINDOW);
        let first = seen.partition_point(|seen| seen.run.arrived < begin);
        let window = &seen[first..=last];
        if window.len() < CROWDED || !is_calm(evidence, begin, end.run.arrived) {
            continue;
        }
        let over = window
            .iter()
            .filter(|seen| is_crowded(&loads, seen))
            .count();
        if over >= CROWDED && over as f64 > CROWDED_SHARE * window.len() as f64 {
            let text = format!("{service}: {over} of {} in 5 s", window.len());
            verdict.broken(evidence, Rule::Crowd, end.run.arrived, text);
            return;
        }
    }
}

fn is_calm(evidence: &Evidence, from: Instant, to: Instant) -> bool {
    let quiet = before(from, CALM);
    let changed = evidence.facts.iter().any(|(at, fact)| {
        let meant = matches!(
            fact,
            Fact::Leaving(_) | Fact::Saying(_) | Fact::Configuring | Fact::Born(_)
        );
        meant && *at >= quiet && *at <= to
    });
    let held = evidence
        .facts
        .iter()
        .any(|(at, fact)| matches!(fact, Fact::HeldUp(..)) && *at >= quiet && *at <= to);
    let kept = a_hall_is_kept_empty(evidence, quiet, to);
    !changed && !held && !kept && !evidence.disturbed(quiet, to, |_| true)
}

/// Whether boxes may keep a hall empty within a time though it was taken back. An entry
/// that is not there tells nothing of its time: where it went as the store came back from
/// a copy, it may be missing from the copy alone, and what boxes knew holds for a while.
fn a_hall_is_kept_empty(evidence: &Evidence, from: Instant, to: Instant) -> bool {
    evidence.facts.iter().any(|(at, fact)| {
        let kept = *at <= to && *at + bound::REVOKE >= from;
        let returns = |found: &Disturbance| found.name == RETURN;
        matches!(fact, Fact::TakenBack(_)) && kept && evidence.disturbed(*at, *at, returns)
    })
}

/// Whether a server held far more than the mean when a request came.
fn is_crowded(loads: &[&Loads], seen: &Seen) -> bool {
    let next = loads.partition_point(|loads| loads.at < seen.run.arrived);
    let Some(known) = next.checked_sub(1).map(|last| loads[last]) else {
        return false;
    };
    let all: u32 = known.held.iter().map(|(_, held)| held).sum();
    let mean = f64::from(all) / known.held.len().max(1) as f64;
    let own = known.held.iter().find(|(id, _)| *id == seen.server.id);
    let most = bound::CROWD_FACTOR * mean + bound::CROWD_EXTRA;
    own.is_some_and(|(_, held)| f64::from(*held) > most)
}

/// Arrivals past the first of each request, against what the requests of the
/// window, or of one shortly before it, allow.
fn retries(evidence: &Evidence, verdict: &mut Verdict, service: &str) {
    let mut sent: Vec<Instant> = Vec::new();
    let mut repeats: Vec<Instant> = Vec::new();
    for attempt in &evidence.attempts {
        if service_of(attempt.traffic) == Some(service) {
            sent.push(attempt.sent);
            let again = evidence.seen(attempt).iter().skip(1);
            repeats.extend(again.map(|seen| seen.run.arrived));
        }
    }
    sent.sort();
    repeats.sort();
    let within = |all: &[Instant], to: Instant| {
        let from = before(to, bound::RETRY_WINDOW);
        all.partition_point(|at| *at <= to) - all.partition_point(|at| *at < from)
    };
    for end in &repeats {
        let earlier = [0.0, 0.5, 1.0].map(|part| before(*end, bound::RETRY_WINDOW.mul_f64(part)));
        let requests = earlier.map(|to| within(&sent, to));
        let most = requests.into_iter().max().unwrap_or(0) as f64;
        // A reload may have raised the number by four.
        let allowed = bound::RETRY_SHARE * most + (bound::RETRY_EXTRA + 4) as f64;
        let found = within(&repeats, *end);
        if found as f64 > allowed {
            let text = format!("{service}: {found} repeats of {most} requests");
            verdict.broken(evidence, Rule::Retries, *end, text);
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
