//! The rules, judged by what clients and servers observed.
//!
//! A rule is a function of an [`Evidence`]. Judging the same evidence again gives the same
//! findings; judging later evidence of the same run gives at least the earlier ones.

mod advertisements;
mod answers;
mod box_facts;
mod crashing;
mod executions;
mod load;
mod planned;
mod reach;
pub(crate) mod releases;
pub(crate) mod silenced;
mod staleness;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use crate::evidence::Evidence;
use crate::ledger::Request;
use crate::misuse::Manner;

/// A rule. Its lower-case name appears in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// An answer is that of the server that signed it, and either complete or visibly cut
    /// off, with its parts in order.
    Answers,
    /// Valid requests are not refused with a final error.
    Denied,
    /// Servers get only what a client sent, for the account of its key.
    Unasked,
    /// Requests that may be executed once are executed at most once.
    Once,
    /// A request whose answer says that it was not executed was not executed.
    Promises,
    /// A request is sent to no more servers than its route allows.
    Spread,
    /// Planned work loses no request.
    Planned,
    /// Silence of sound servers ends no answer.
    Silenced,
    /// A removed key is not accepted after the bound.
    Keys,
    /// A process of a box never goes back to an older configuration.
    StepBack,
    /// A configuration is applied in time.
    Apply,
    /// A server whose entry announces that it leaves gets no requests after the bound.
    Leaving,
    /// A server that announces in an answer that it leaves gets no more requests from the
    /// box that received the answer.
    Told,
    /// A server that requested a back-off from a box gets it.
    Rested,
    /// An emptied hall gets no requests after the bound.
    Emptied,
    /// A request that crashed three servers reaches only a few more.
    Crashing,
    /// Without disturbances, no server is loaded far above the mean.
    Crowd,
    /// Retries stay within their share.
    Retries,
    /// A stream goes on at the release that began it, also when its client takes it up.
    Releases,
    /// Boxes that are partitioned from all servers serve their clients.
    Reach,
    /// After the last fault, each box serves requests again in time.
    Recovery,
    /// After the faults, memory, descriptors and threads return to their level before.
    Growth,
    /// No process ends without a signal from the soak.
    Ended,
    /// No process holds more memory or descriptors than its settings give it.
    Limits,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 24] = [
        Rule::Answers,
        Rule::Denied,
        Rule::Unasked,
        Rule::Once,
        Rule::Promises,
        Rule::Spread,
        Rule::Planned,
        Rule::Silenced,
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
        Rule::Releases,
        Rule::Reach,
        Rule::Recovery,
        Rule::Growth,
        Rule::Ended,
        Rule::Limits,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_lowercase())
    }
}

/// A violation of a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// When it happened, from the start of the run.
    pub at: Duration,
    /// What happened.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { rule, at, text } = self;
        write!(f, "{rule} at {:.3} s: {text}", at.as_secs_f64())
    }
}

/// The findings of all rules.
#[derive(Debug, Default)]
pub struct Verdict {
    /// The violations.
    pub violations: Vec<Violation>,
    /// Ids of the requests whose check was left out because a process was held up, by rule.
    pub left_out: BTreeMap<Rule, BTreeSet<String>>,
}

impl Verdict {
    /// Evaluates all rules.
    pub fn new(evidence: &Evidence) -> Self {
        let mut verdict = Self::default();
        answers::judge(evidence, &mut verdict);
        executions::judge(evidence, &mut verdict);
        planned::judge(evidence, &mut verdict);
        silenced::judge(evidence, &mut verdict);
        reach::judge(evidence, &mut verdict);
        releases::judge(evidence, &mut verdict);
        staleness::judge(evidence, &mut verdict);
        load::judge(evidence, &mut verdict);
        crashing::judge(evidence, &mut verdict);
        advertisements::judge(evidence, &mut verdict);
        box_facts::judge(evidence, &mut verdict);
        verdict
    }

    fn add_violation(&mut self, evidence: &Evidence, rule: Rule, at: Instant, text: String) {
        let at = at.saturating_duration_since(evidence.started);
        self.violations.push(Violation { rule, at, text });
    }

    /// Whether a check with a time bound is left out because the box or the soak was held
    /// up in a time span. Records it if so.
    fn leaves_out(
        &mut self,
        evidence: &Evidence,
        rule: Rule,
        request: &Request,
        [from, to]: [Instant; 2],
    ) -> bool {
        let held = evidence.held_up(request.box_index, from, to);
        if held {
            let ids = self.left_out.entry(rule).or_default();
            ids.insert(request.id.clone());
        }
        held
    }
}

/// The moment that lies `time` before `at`.
pub(crate) fn before(at: Instant, time: Duration) -> Instant {
    at.checked_sub(time).unwrap_or(at)
}

/// Describes a request and its answer for reports.
pub(crate) fn describe(request: &Request) -> String {
    let answer = match &request.answer {
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
    let Request {
        id,
        traffic,
        box_index,
        manner,
        ..
    } = request;
    let manner = match manner {
        Manner::Usual => String::new(),
        manner => format!(" {manner:?}"),
    };
    format!("{traffic:?} {id}{manner} at box {box_index} ({answer})")
}
