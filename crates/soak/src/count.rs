//! Counts of a run that no rule bounds: answers that boxes cut, and streams that clients took
//! up.

use std::iter::Sum;
use std::ops::Add;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::evidence::Evidence;
use crate::ledger::{Fact, Scope};
use crate::rule::releases::is_unknown;
use crate::rule::silenced::is_cut;

/// Time after a configuration in which cuts count as next to it.
const CONFIGURED_TIME: Duration = Duration::from_secs(3);
/// Steps in which times of a kind are added up.
const STEP: Duration = Duration::from_millis(20);

/// Cuts, and the time in which they were counted, for one kind of time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Count {
    /// Number of cuts.
    pub cuts: u64,
    /// Seconds of such times, added up over all boxes.
    pub box_seconds: f64,
}

impl Add for Count {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cuts: self.cuts + other.cuts,
            box_seconds: self.box_seconds + other.box_seconds,
        }
    }
}

/// Cuts of a run, next to a configuration and at other times, beside silent servers and not.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cuts {
    /// Next to a configuration.
    pub configured: Count,
    /// Next to a configuration, with silent servers.
    pub configured_silent: Count,
    /// At other times.
    pub other: Count,
    /// At other times, with silent servers.
    pub other_silent: Count,
}

impl Cuts {
    /// Counts the cuts of a run.
    pub fn new(evidence: &Evidence) -> Self {
        let mut cuts = Self::default();
        let born = evidence.facts.iter().filter_map(|(_, fact)| match fact {
            Fact::Born(box_index) => Some(box_index + 1),
            _ => None,
        });
        let boxes = born.max().unwrap_or(0);
        let end = evidence.requests.iter().filter_map(|it| it.ended).max();
        let mut at = evidence.started;
        while end.is_some_and(|end| at < end) {
            cuts.at(evidence, at, at).box_seconds += STEP.as_secs_f64() * boxes as f64;
            at += STEP;
        }
        for request in &evidence.requests {
            if let Some(ended) = request.ended.filter(|_| is_cut(evidence, request)) {
                cuts.at(evidence, request.sent, ended).cuts += 1;
            }
        }
        cuts
    }

    /// The count of a time span.
    fn at(&mut self, evidence: &Evidence, from: Instant, to: Instant) -> &mut Count {
        let is_configured = evidence.facts.iter().any(|(at, fact)| {
            matches!(fact, Fact::Configuring) && *at <= to && from <= *at + CONFIGURED_TIME
        });
        let is_silent = evidence.disturbed(from, to, |found| found.scope == Scope::Silence);
        match (is_configured, is_silent) {
            (true, false) => &mut self.configured,
            (true, true) => &mut self.configured_silent,
            (false, false) => &mut self.other,
            (false, true) => &mut self.other_silent,
        }
    }

    /// The counts for a report.
    pub fn to_json(&self) -> Value {
        let count = |count: Count| json!([count.cuts, count.box_seconds.round()]);
        json!({
            "configured": count(self.configured),
            "configured_silent": count(self.configured_silent),
            "other": count(self.other),
            "other_silent": count(self.other_silent),
        })
    }
}

impl Sum for Cuts {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |sum, it| Self {
            configured: sum.configured + it.configured,
            configured_silent: sum.configured_silent + it.configured_silent,
            other: sum.other + it.other,
            other_silent: sum.other_silent + it.other_silent,
        })
    }
}

/// Attempts to take streams up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TakeUps {
    /// Number of attempts.
    pub sent: u64,
    /// Those that were served to the end.
    pub served: u64,
    /// Those that were refused as nobody knew the release of the stream.
    pub unknown: u64,
}

impl TakeUps {
    /// Counts those of a run.
    pub fn new(evidence: &Evidence) -> Self {
        let requests = evidence.requests.iter();
        let taken_up = requests.filter(|it| it.takes_up.is_some());
        taken_up.fold(Self::default(), |count, it| Self {
            sent: count.sent + 1,
            served: count.served + u64::from(it.served()),
            unknown: count.unknown + u64::from(is_unknown(it)),
        })
    }

    /// The counts for a report.
    pub fn to_json(&self) -> Value {
        json!({ "sent": self.sent, "served": self.served, "unknown": self.unknown })
    }
}

impl Sum for TakeUps {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |sum, it| Self {
            sent: sum.sent + it.sent,
            served: sum.served + it.served,
            unknown: sum.unknown + it.unknown,
        })
    }
}
