//! Checks that a client holds events of one release of each stream, and that streams that
//! clients take up go on.

use std::collections::{BTreeSet, HashMap};

use tidepier_relay_standin::server::release_of;

use super::{before, describe, Rule, Verdict};
use crate::bound;
use crate::evidence::Evidence;
use crate::ledger::{Request, Scope};

/// Name of the fault that kills all boxes at once.
const KILL_FAULT: &str = "process_kill_all";

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    judge_mixes(evidence, verdict);
    judge_refusals(evidence, verdict);
}

fn judge_mixes(evidence: &Evidence, verdict: &mut Verdict) {
    let mut releases: HashMap<&str, BTreeSet<&str>> = HashMap::new();
    for request in &evidence.requests {
        let (Some(answer), Some(ended)) = (&request.answer, request.ended) else {
            continue;
        };
        let first = request
            .takes_up
            .as_ref()
            .map_or(&request.id, |it| &it.first);
        let known = releases.entry(first).or_default();
        let before = known.len();
        known.extend(answer.events.iter().filter_map(|it| release_of(&it.text)));
        if known.len() > before.max(1) {
            let text = format!("{known:?}: {}", describe(request));
            verdict.add_violation(evidence, Rule::Releases, ended, text);
        }
    }
}

/// Streams that are taken up by their name at boxes in touch may not be refused more often than
/// not because nobody knows their release. After a kill of all boxes nobody may know it.
fn judge_refusals(evidence: &Evidence, verdict: &mut Verdict) {
    let taken_up = evidence.requests.iter().filter(|request| {
        let is_named = request.takes_up.as_ref().is_some_and(|it| it.is_named);
        let ended = request.ended.filter(|_| is_named);
        ended.is_some_and(|_| is_in_touch(evidence, request) && !is_forgotten(evidence, request))
    });
    let taken_up: Vec<&Request> = taken_up.collect();
    let unknown = taken_up.iter().filter(|request| is_unknown(request));
    let unknown = unknown.count();
    let Some(last) = taken_up.last().and_then(|request| request.ended) else {
        return;
    };
    if taken_up.len() >= bound::TAKEN_UP_MIN && unknown * 2 > taken_up.len() {
        let text = format!("{unknown} of {} taken up are unknown", taken_up.len());
        verdict.add_violation(evidence, Rule::Releases, last, text);
    }
}

/// Whether a stream that is taken up was refused as nobody knows its release.
pub(crate) fn is_unknown(request: &Request) -> bool {
    let answer = request.answer.as_ref();
    answer.is_some_and(|it| it.status == 503 && it.body.ends_with(b"\"unknown_stream\"}"))
}

/// Whether all boxes were killed at once since the stream that a request takes up began.
fn is_forgotten(evidence: &Evidence, request: &Request) -> bool {
    let first = request.takes_up.as_ref().map(|it| &it.first);
    let first = evidence.requests.iter().find(|it| Some(&it.id) == first);
    let began = first.map_or(request.sent, |first| first.sent);
    evidence.disturbed(began, request.sent, |found| found.name == KILL_FAULT)
}

/// Whether neither the box nor the store was disturbed from the grace period before a
/// request until its end.
fn is_in_touch(evidence: &Evidence, request: &Request) -> bool {
    let from = before(request.sent, bound::GRACE_PERIOD);
    let ended = request.ended.unwrap_or(request.sent);
    let scopes = [Scope::Store, Scope::Box(request.box_index)];
    !evidence.disturbed(from, ended, |found| scopes.contains(&found.scope))
        && !evidence.held_up(request.box_index, from, ended)
}
