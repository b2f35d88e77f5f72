//! What has to hold, judged by what clients and servers saw.
//!
//! A rule is a function of an [`Evidence`]. Judging the same evidence again
//! finds the same; a later one finds at least what was found before.

mod answers;
mod beliefs;
mod boxes;
mod crashing;
mod load;
mod planned;
mod runs;
mod words;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use crate::evidence::Evidence;
use crate::ledger::Attempt;

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// An answer is its own server's, whole or visibly broken off, in order.
    Answers,
    /// Proper requests are not refused for good.
    Denied,
    /// Servers get what a client sent, for the account of its key.
    Unasked,
    /// What may run once runs once.
    Once,
    /// "Not run" is true.
    Promises,
    /// A request goes to no more servers than its route allows.
    Spread,
    /// Planned work costs no request.
    Planned,
    /// A key that was taken away opens nothing after its bound.
    Keys,
    /// A box never goes back to an older configuration in one life.
    StepBack,
    /// A configuration is in force in time.
    Apply,
    /// A server that leaves gets nothing new after its bound.
    Leaving,
    /// A server that says in an answer that it leaves gets nothing more from that box.
    Told,
    /// A server that asked a box for rest has it.
    Rested,
    /// A hall that is to be empty gets nothing new after its bound.
    Emptied,
    /// A request that ended three servers reaches no more than a few.
    Crashing,
    /// In calm, no server is loaded far above the others.
    Crowd,
    /// Repeats stay within their share.
    Retries,
    /// After the last fault each box serves again in time.
    Recovery,
    /// After the faults, memory, descriptors and threads are back at a level.
    Growth,
    /// No process ends by itself.
    Ended,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 20] = [
        Rule::Answers,
        Rule::Denied,
        Rule::Unasked,
        Rule::Once,
        Rule::Promises,
        Rule::Spread,
        Rule::Planned,
        Rule::Keys,
        Rule::StepBack,
        Rule::Apply,
        Rule::Leaving,
        Rule::Told,
        Rule::Rested,
        Rule::Emptied,
        Rule::Crashing,
        Rule::Crowd,
        Rule::Retries,
        Rule::Recovery,
        Rule::Growth,
        Rule::Ended,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_lowercase())
    }
}

/// A rule that was broken.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, from the beginning of the run.
    pub at: Duration,
    /// How.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { rule, at, text } = self;
        write!(f, "{rule} at {:.3} s: {text}", at.as_secs_f64())
    }
}

/// What judging has found.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Checks that were left out because a process was held up, by rule.
    pub left_out: BTreeMap<Rule, BTreeSet<String>>,
}

impl Verdict {
    /// Judges by all rules.
    pub fn new(evidence: &Evidence) -> Self {
        let mut verdict = Self::default();
        answers::judge(evidence, &mut verdict);
        runs::judge(evidence, &mut verdict);
        planned::judge(evidence, &mut verdict);
        beliefs::judge(evidence, &mut verdict);
        load::judge(evidence, &mut verdict);
        crashing::judge(evidence, &mut verdict);
        words::judge(evidence, &mut verdict);
        boxes::judge(evidence, &mut verdict);
        verdict
    }

    fn broken(&mut self, evidence: &Evidence, rule: Rule, at: Instant, text: String) {
        let at = at.saturating_duration_since(evidence.begun);
        self.violations.push(Violation { rule, at, text });
    }

    /// Whether a check bound by time is left out, as its box or the soak was
    /// held up between two moments.
    fn leaves_out(
        &mut self,
        evidence: &Evidence,
        rule: Rule,
        attempt: &Attempt,
        [from, to]: [Instant; 2],
    ) -> bool {
        let held = evidence.held_up(attempt.place, from, to);
        if held {
            let ids = self.left_out.entry(rule).or_default();
            ids.insert(attempt.id.clone());
        }
        held
    }
}

/// A moment earlier by a time.
fn before(at: Instant, time: Duration) -> Instant {
    at.checked_sub(time).unwrap_or(at)
}

/// What a reader of a violation needs of a request.
pub(crate) fn told(attempt: &Attempt) -> String {
    let answer = match &attempt.answer {
        Some(answer) => format!(
            "{} {:?} after {:?}, {} bytes, whole: {}",
            answer.status,
            answer.end,
            answer.elapsed,
            answer.body.len(),
            answer.complete
        ),
        None => "open".into(),
    };
    let Attempt {
        id, traffic, place, ..
    } = attempt;
    format!("{traffic:?} {id} at box {place} ({answer})")
}
