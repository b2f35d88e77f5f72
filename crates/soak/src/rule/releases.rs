//! Checks that a client holds events of one release of each stream, and that streams that
//! clients take up go on.

use std::collections::{BTreeSet, HashMap};

use tidepier_relay_standin::server::release_of;

use super::{before, describe, Rule, Verdict};
use crate::bound;
use crate::evidence::Evidence;
use crate::ledger::{Request, Scope};

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

/// Streams that are taken up at boxes in touch may not be refused more often than not because
/// nobody knows their release.
fn judge_refusals(evidence: &Evidence, verdict: &mut Verdict) {
    let taken_up = evidence.requests.iter().filter(|request| {
        let ended = request.ended.filter(|_| request.takes_up.is_some());
        ended.is_some_and(|_| is_in_touch(evidence, request))
    });
    let taken_up: Vec<&Request> = taken_up.collect();
    let unknown = taken_up.iter().filter(|request| {
        let answer = request.answer.as_ref();
        answer.is_some_and(|it| it.status == 503 && it.body.ends_with(b"\"unknown_stream\"}"))
    });
    let unknown = unknown.count();
    let Some(last) = taken_up.last().and_then(|request| request.ended) else {
        return;
    };
    if taken_up.len() >= bound::TAKEN_UP_MIN && unknown * 2 > taken_up.len() {
        let text = format!("{unknown} of {} taken up are unknown", taken_up.len());
        verdict.add_violation(evidence, Rule::Releases, last, text);
    }
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
