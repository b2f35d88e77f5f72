//! Counts of the outcomes of a run, and its summary.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tidepier_errors::Ran;

use crate::caller::Outcome;
use crate::outside::{Report, Seen};

/// Longest recorded time, in microseconds.
pub const HIGHEST_US: u64 = 600_000_000;
/// Troubles whose description is kept.
const TROUBLES_MAX: usize = 5;

/// Quantiles of a time in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th.
    pub p95: f64,
    /// 99th.
    pub p99: f64,
}

/// Ratio of the greatest to the mean load of the engines in one-second windows.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Skew {
    /// Over all engines of the model: the 99th of the windows.
    pub model_p99: f64,
    /// Over all engines of the model: the worst window.
    pub model_worst: f64,
    /// Over the engines of a hall: the 99th of the windows.
    pub hall_p99: f64,
    /// Admissions over the bound.
    pub bound_broken: u64,
    /// Greatest ratio of load to bound at an admission.
    pub bound_worst: f64,
    /// Admissions checked.
    pub admissions: u64,
}

/// A run, or a phase of it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Requests made.
    pub requests: u64,
    /// Answers that were complete and correct.
    pub whole: u64,
    /// Final refusals.
    pub refused: u64,
    /// Refusals which state that nothing was executed.
    pub refused_not_run: u64,
    /// Requests that got neither a complete, correct answer nor a refusal.
    pub lost: u64,
    /// Tokens that were wrong.
    pub wrong_tokens: u64,
    /// Attempts that callers made through another router.
    pub returns: u64,
    /// Requests a second.
    pub rate: f64,
    /// Milliseconds to the first token.
    pub first_ms: Quantiles,
    /// Milliseconds between tokens.
    pub between_ms: Quantiles,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Share of prompt tokens that were cached.
    pub reuse: f64,
    /// Share of prompt tokens that the best engine had cached.
    pub reuse_best: f64,
    /// Returning chats that another engine served than last time.
    pub moves: u64,
    /// Those of them whose last engine had been killed in the meantime.
    pub moves_needed: u64,
    /// Requests that the engines started.
    pub started: u64,
    /// Skew.
    pub skew: Skew,
    /// Descriptions of the first troubles.
    pub troubles: Vec<String>,
}

/// Counts outcomes.
pub struct Tally {
    summary: Summary,
    cached: u64,
    best: u64,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

/// Which engine served a chat, compared with the turn before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// A new chat, or the same engine as last time.
    Same,
    /// Another engine, although the last one was not killed.
    Moved,
    /// Another engine, as the last one was killed.
    Forced,
}

impl Tally {
    /// An empty tally.
    ///
    /// # Errors
    ///
    /// The histograms' bounds are invalid.
    pub fn new() -> eyre::Result<Self> {
        Ok(Self {
            summary: Summary::default(),
            cached: 0,
            best: 0,
            first: Histogram::new_with_max(HIGHEST_US, 3)?,
            between: Histogram::new_with_max(HIGHEST_US, 3)?,
        })
    }

    /// Counts one outcome.
    pub fn count(&mut self, outcome: &Outcome, placement: Placement) {
        let summary = &mut self.summary;
        summary.requests += 1;
        summary.whole += u64::from(outcome.whole);
        summary.wrong_tokens += outcome.wrong;
        summary.returns += u64::from(outcome.returns);
        match &outcome.refused {
            Some(refused) => {
                summary.refused += 1;
                summary.refused_not_run += u64::from(refused.ran == Ran::No);
            }
            None if !outcome.whole => summary.lost += 1,
            None => {}
        }
        if !outcome.whole && summary.troubles.len() < TROUBLES_MAX {
            let trouble = format!("{:?} {:?}", outcome.refused, outcome.trouble);
            summary.troubles.push(trouble);
        }
        summary.moves += u64::from(placement != Placement::Same);
        summary.moves_needed += u64::from(placement == Placement::Forced);
        summary.prompt_tokens += outcome.prompt;
        self.cached += outcome.cached;
        self.best += outcome.best;
        let micros = |time: Duration| time.as_micros() as u64;
        if let Some(time) = outcome.first {
            self.first.saturating_record(micros(time));
        }
        for time in &outcome.between {
            self.between.saturating_record(micros(*time));
        }
    }

    /// The summary of all that was counted.
    pub fn summary(&self, took: Duration) -> Summary {
        let prompt = self.summary.prompt_tokens.max(1) as f64;
        Summary {
            rate: self.summary.requests as f64 / took.as_secs_f64(),
            first_ms: quantiles(&self.first),
            between_ms: quantiles(&self.between),
            reuse: self.cached as f64 / prompt,
            reuse_best: self.best as f64 / prompt,
            ..self.summary.clone()
        }
    }
}

impl Skew {
    /// The skew in a report.
    pub fn of(report: &Report) -> Self {
        let windows = |seen: &[Seen]| -> Vec<f64> {
            seen.iter()
                .flat_map(|one| one.seen.windows.iter().copied())
                .collect()
        };
        let (model, halls) = (windows(&report.models), windows(&report.groups));
        let groups = report.groups.iter().map(|group| &group.seen);
        Self {
            model_p99: quantile(&model, 0.99),
            model_worst: quantile(&model, 1.0),
            hall_p99: quantile(&halls, 0.99),
            bound_broken: groups.clone().map(|seen| seen.broken).sum(),
            bound_worst: groups.clone().map(|seen| seen.worst).fold(0.0, f64::max),
            admissions: groups.map(|seen| seen.admissions).sum(),
        }
    }
}

/// The value at or below which a share of the values lies; 0 without values.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Quantiles of a histogram of microseconds, in milliseconds.
pub fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |share: f64| histogram.value_at_quantile(share) as f64 / 1000.0;
    Quantiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}
