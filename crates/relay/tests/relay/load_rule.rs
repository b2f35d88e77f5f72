//! The users' rule on the load of servers, in calm.

use std::time::Duration;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// The operator's bound on a server's load: this many times the mean, ...
pub(crate) const BOUND_FACTOR: f64 = 2.0;
/// ... plus this many requests.
const BOUND_EXTRA: f64 = 3.0;
/// Fewest requests over the bound in a window that break the rule.
const EXCEEDING_MIN: usize = 20;
/// Highest share of the requests of a window that may be over the bound.
pub(crate) const EXCEEDING_MAX: f64 = 0.03;

/// Most requests that a server may hold, given the mean.
pub(crate) fn bound(mean: f64) -> f64 {
    BOUND_FACTOR * mean + BOUND_EXTRA
}

/// Whether a server that holds `held` of all requests that a number of servers hold is over
/// the bound.
pub(crate) fn is_over(held: usize, all: usize, servers: usize) -> bool {
    held as f64 > bound(all as f64 / servers as f64)
}

/// Requests over the bound, and all requests, of one window.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Excess {
    pub(crate) over: usize,
    pub(crate) all: usize,
}

impl Excess {
    /// Share of the requests that are over the bound.
    pub(crate) fn share(self) -> f64 {
        self.over as f64 / self.all.max(1) as f64
    }

    /// Whether the rule is broken.
    pub(crate) fn is_broken(self) -> bool {
        self.over >= EXCEEDING_MIN && self.share() > EXCEEDING_MAX
    }

    /// Of the window with the greatest share among those with the fewest requests over the
    /// bound that break the rule; else of the one with the most. `arrivals`: when each request
    /// reached its server, in this order, and whether that was over the bound; windows begin
    /// at `from` or later.
    pub(crate) fn worst(arrivals: &[(Duration, bool)], from: Duration) -> Self {
        let ends = arrivals.iter().enumerate();
        let whole = ends.filter(|(_, (end, _))| *end >= from + WINDOW);
        let windows = whole.map(|(last, (end, _))| {
            let begin = *end - WINDOW;
            let first = arrivals.partition_point(|(at, _)| *at < begin);
            let window = &arrivals[first..=last];
            Self {
                over: window.iter().filter(|(_, over)| *over).count(),
                all: window.len(),
            }
        });
        let rank = |it: &Self| (it.over.min(EXCEEDING_MIN), it.share());
        let worst = windows.max_by(|a, b| rank(a).partial_cmp(&rank(b)).expect("no NaN"));
        worst.unwrap_or_default()
    }
}
