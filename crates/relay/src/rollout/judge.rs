//! Decides whether the answers of a new release show that it is faulty.
//!
//! The release is compared with the other servers of its service, on the same routes at the
//! same time, and not with a constant: a problem that both have is not its fault. A problem
//! of only a few servers is not the fault of the release either.

use std::fmt;

use tidepier_core::era::Revision;

use super::evidence::{Count, Row};

/// Distance between two shares of bad answers, in standard deviations, from which the
/// difference is not taken for chance: a good release is evaluated thousands of times, and
/// must never be found faulty.
const DEVIATIONS_MIN: f64 = 2.8;
/// A share of bad answers that exceeds the usual one by no more than this is tolerated.
const SHARE_MARGIN: f64 = 0.05;
/// Minimum number of bad answers for a fault.
const BAD_MIN: f64 = 3.5;
/// Minimum number of servers with bad answers for a fault, ...
const SERVERS_MIN: u32 = 3;
/// ... and their minimum share of the servers that answered.
const SERVERS_PART: f64 = 0.5;

/// Why a release is faulty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// What is wrong with its answers.
    pub kind: Kind,
    /// The route that shows it; `None` if all routes together do.
    pub route: Option<u32>,
    /// The release's share of such answers.
    pub share: f64,
    /// The share of the other releases.
    pub usual: f64,
}

/// What is wrong with answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// They are failures.
    Failed,
    /// They are slow.
    Slow,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Failed => "failed",
            Kind::Slow => "slow",
        };
        let Self { share, usual, .. } = self;
        write!(f, "{kind} {share:.3} of {usual:.3}")?;
        match self.route {
            Some(route) => write!(f, " route {route:08x}"),
            None => Ok(()),
        }
    }
}

/// Counts of both releases.
#[derive(Debug, Clone, Copy, Default)]
struct Comparison {
    target: Count,
    others: Count,
}

/// Number of answers of the new release in the evidence.
pub fn answers(rows: &[Row], order: Revision) -> f64 {
    let of = |row: &&Row| row.subject.order == order && row.subject.target;
    let counts = rows.iter().filter(of);
    counts.map(|row| f64::from(row.count.answers)).sum()
}

/// Returns why the new release of an order is faulty, or `None` if it is not.
pub fn judge(rows: &[Row], order: Revision) -> Option<Fault> {
    let mut all_routes = Comparison::default();
    let mut routes: Vec<(u32, Comparison)> = Vec::new();
    for row in rows.iter().filter(|row| row.subject.order == order) {
        let route = row.subject.route;
        let at = match routes.iter().position(|(known, _)| *known == route) {
            Some(at) => at,
            None => {
                routes.push((route, Comparison::default()));
                routes.len() - 1
            }
        };
        for comparison in [&mut all_routes, &mut routes[at].1] {
            match row.subject.target {
                true => comparison.target.add(&row.count),
                false => comparison.others.add(&row.count),
            }
        }
    }
    let single = routes
        .into_iter()
        .map(|(route, comparison)| (Some(route), comparison));
    let mut all = [(None, all_routes)].into_iter().chain(single);
    all.find_map(|(route, comparison)| fault(&comparison).map(|fault| Fault { route, ..fault }))
}

fn fault(comparison: &Comparison) -> Option<Fault> {
    let Comparison { target, others } = comparison;
    let bad = target.bad.count_ones();
    let spread = f64::from(bad) >= SERVERS_PART * f64::from(target.tried.count_ones());
    if bad < SERVERS_MIN || !spread {
        return None;
    }
    let kinds = [
        (Kind::Failed, target.failed, others.failed),
        (Kind::Slow, target.slow, others.slow),
    ];
    kinds.into_iter().find_map(|(kind, bad, usual)| {
        let (share, usual) = exceeds(
            [bad, target.answers].map(f64::from),
            [usual, others.answers].map(f64::from),
        )?;
        Some(Fault {
            kind,
            route: None,
            share,
            usual,
        })
    })
}

/// Returns both shares if that of the new release is larger beyond chance. Each argument
/// holds the bad answers and all answers.
fn exceeds(own: [f64; 2], usual: [f64; 2]) -> Option<(f64, f64)> {
    let [bad, answers] = own;
    if bad < BAD_MIN {
        return None;
    }
    let share = bad / answers;
    // Smoothing adds one answer, half of it bad, so that a few good answers do not count as
    // certainty.
    let known = (usual[0] + 0.5) / (usual[1] + 1.0);
    let variance = |share: f64, count: f64| share * (1.0 - share) / count.max(1.0);
    let smoothed = (bad + 0.5) / (answers + 1.0);
    let deviation = (variance(smoothed, answers) + variance(known, usual[1])).sqrt();
    (share > known + SHARE_MARGIN + DEVIATIONS_MIN * deviation).then_some((share, known))
}
