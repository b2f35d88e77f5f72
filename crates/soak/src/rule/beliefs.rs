//! Whether boxes act on what the operator and the servers last said.

use std::time::Instant;

use super::{before, told, Rule, Verdict};
use crate::bound;
use crate::evidence::{Evidence, Seen};
use crate::ledger::{Attempt, Fact, Place, Traffic};
use crate::plan::MARK;

pub(super) fn judge(evidence: &Evidence, verdict: &mut Verdict) {
    keys(evidence, verdict);
    versions(evidence, verdict);
    leaving(evidence, verdict);
    emptied(evidence, verdict);
}

/// This holds for every box at every time; a box that is not sure has to
/// refuse.
fn keys(evidence: &Evidence, verdict: &mut Verdict) {
    for (gone, fact) in &evidence.facts {
        let Fact::KeyGone(key) = fact else { continue };
        let late = evidence.attempts.iter().filter(|attempt| {
            attempt.key.as_ref() == Some(key) && attempt.sent > *gone + bound::REVOKE
        });
        for attempt in late.filter(|attempt| evidence.ran(attempt) > 0) {
            let after = attempt.sent - *gone;
            let text = format!("{key} ran {after:?} after its end: {}", told(attempt));
            verdict.broken(evidence, Rule::Keys, attempt.sent, text);
        }
    }
}

/// The number of the version that a run shows.
fn shown(seen: &Seen) -> Option<u32> {
    seen.server.service.strip_prefix(MARK)?.parse().ok()
}

fn versions(evidence: &Evidence, verdict: &mut Verdict) {
    let marks = evidence
        .attempts
        .iter()
        .filter(|attempt| attempt.traffic == Traffic::Mark);
    let runs: Vec<(&Attempt, &Seen, u32)> = marks
        .flat_map(|attempt| {
            evidence
                .seen(attempt)
                .iter()
                .map(move |seen| (attempt, seen))
        })
        .filter_map(|(attempt, seen)| Some((attempt, seen, shown(seen)?)))
        .collect();
    for (attempt, seen, version) in &runs {
        if let Some(newer) = newer_before(evidence, &runs, attempt, *version) {
            let text = format!("version {version} after {newer}: {}", told(attempt));
            verdict.broken(evidence, Rule::StepBack, seen.run.arrived, text);
        }
        in_force(evidence, verdict, attempt, seen, *version);
    }
}

/// A newer version that the same life of the box had shown to a server well
/// before this request was sent.
fn newer_before(
    evidence: &Evidence,
    runs: &[(&Attempt, &Seen, u32)],
    attempt: &Attempt,
    version: u32,
) -> Option<u32> {
    let birth = evidence.facts.iter().filter(|(at, fact)| {
        matches!(fact, Fact::Born(place) if *place == attempt.place) && *at <= attempt.sent
    });
    let birth = birth.map(|(at, _)| *at).max()?;
    let newer = runs.iter().filter(|(other, seen, shown)| {
        other.place == attempt.place
            && other.sent >= birth
            && *shown > version
            && seen.run.arrived + bound::STEP_BACK < attempt.sent
    });
    newer.map(|(_, _, shown)| *shown).max()
}

fn in_force(
    evidence: &Evidence,
    verdict: &mut Verdict,
    attempt: &Attempt,
    seen: &Seen,
    version: u32,
) {
    let due = evidence.facts.iter().find(|(at, fact)| {
        matches!(fact, Fact::Marked(marked) if *marked > version)
            && *at + bound::APPLY < attempt.sent
    });
    let Some((acknowledged, _)) = due else { return };
    let arrived = seen.run.arrived;
    if !is_in_touch(evidence, attempt, arrived) {
        return;
    }
    let span = [*acknowledged, arrived];
    if verdict.leaves_out(evidence, Rule::Apply, attempt, span) {
        return;
    }
    let after = attempt.sent - *acknowledged;
    let text = format!(
        "version {version} was over for {after:?}: {}",
        told(attempt)
    );
    verdict.broken(evidence, Rule::Apply, arrived, text);
}

fn leaving(evidence: &Evidence, verdict: &mut Verdict) {
    for (left, fact) in &evidence.facts {
        let Fact::Leaving(id) = fact else { continue };
        let stable = before(*left, bound::CONTACT);
        if evidence.disturbed(stable, *left, |found| found.place == Place::Store) {
            continue;
        }
        for attempt in &evidence.attempts {
            for seen in evidence.seen(attempt) {
                let arrived = seen.run.arrived;
                if seen.server.id == *id && arrived > *left + bound::LEAVE {
                    late(evidence, verdict, Rule::Leaving, attempt, [*left, arrived]);
                }
            }
        }
    }
}

fn emptied(evidence: &Evidence, verdict: &mut Verdict) {
    for (asked, fact) in &evidence.facts {
        let Fact::Emptied(hall) = fact else { continue };
        let mut later = evidence.facts.iter().filter(|(at, _)| at > asked);
        let back = later.find(|(_, fact)| *fact == Fact::TakenBack(hall.clone()));
        for attempt in &evidence.attempts {
            for seen in evidence.seen(attempt) {
                let arrived = seen.run.arrived;
                let over = back.is_some_and(|(back, _)| arrived >= *back);
                if seen.server.hall == *hall && arrived > *asked + bound::EMPTY && !over {
                    late(evidence, verdict, Rule::Emptied, attempt, [*asked, arrived]);
                }
            }
        }
    }
}

fn late(
    evidence: &Evidence,
    verdict: &mut Verdict,
    rule: Rule,
    attempt: &Attempt,
    span: [Instant; 2],
) {
    let [told_at, arrived] = span;
    let recent = before(arrived, bound::CONTACT);
    let cut = evidence.disturbed(recent, arrived, |found| found.place == Place::Server);
    if cut || !is_in_touch(evidence, attempt, arrived) {
        return;
    }
    if verdict.leaves_out(evidence, rule, attempt, span) {
        return;
    }
    let after = arrived - told_at;
    let text = format!("{after:?} after the word: {}", told(attempt));
    verdict.broken(evidence, rule, arrived, text);
}

/// Whether the box of a request, and the store, had been undisturbed for long
/// enough, up to when it reached a server.
pub(super) fn is_in_touch(evidence: &Evidence, attempt: &Attempt, arrived: Instant) -> bool {
    let from = before(attempt.sent, bound::CONTACT);
    !evidence.disturbed(from, arrived, |found| {
        matches!(found.place, Place::Store) || found.place == Place::Box(attempt.place)
    })
}
