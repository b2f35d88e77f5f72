//! Whether the answers of a new release condemn it.
//!
//! It is compared with the other servers of its service, on the same routes in the
//! same time, and not with a constant: trouble that both have is no fault of it. What
//! a few servers do is no fault of the release either.

use std::fmt;

use tidepier_core::era::Revision;

use super::evidence::{Count, Row};

/// How far apart two shares of bad answers are before chance is ruled out, in standard
/// deviations: of thousands of looks at a good release, none may condemn it.
const CERTAINTY: f64 = 2.8;
/// A share of bad answers that is so much larger is no difference that anybody minds.
const MARGIN: f64 = 0.05;
/// Fewest bad answers that condemn.
const BAD_MIN: f64 = 3.5;
/// Fewest servers that have to be bad, ...
const SERVERS_MIN: u32 = 3;
/// ... and the part of those tried.
const SERVERS_PART: f64 = 0.5;

/// What condemns a release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// What its answers are.
    pub kind: Kind,
    /// The route that shows it; `None`: all together do.
    pub route: Option<u32>,
    /// Its share of such answers.
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

/// What both releases showed.
#[derive(Debug, Clone, Copy, Default)]
struct Pair {
    target: Count,
    others: Count,
}

/// The answers of the new release that the evidence holds.
pub fn answers(rows: &[Row], order: Revision) -> f64 {
    let of = |row: &&Row| row.subject.order == order && row.subject.target;
    let counts = rows.iter().filter(of);
    counts.map(|row| f64::from(row.count.answers)).sum()
}

/// What condemns the new release of an order, if anything does.
pub fn judge(rows: &[Row], order: Revision) -> Option<Fault> {
    let mut whole = Pair::default();
    let mut routes: Vec<(u32, Pair)> = Vec::new();
    for row in rows.iter().filter(|row| row.subject.order == order) {
        let route = row.subject.route;
        let at = match routes.iter().position(|(known, _)| *known == route) {
            Some(at) => at,
            None => {
                routes.push((route, Pair::default()));
                routes.len() - 1
            }
        };
        for pair in [&mut whole, &mut routes[at].1] {
            match row.subject.target {
                true => pair.target.add(&row.count),
                false => pair.others.add(&row.count),
            }
        }
    }
    let single = routes.into_iter().map(|(route, pair)| (Some(route), pair));
    let mut all = [(None, whole)].into_iter().chain(single);
    all.find_map(|(route, pair)| fault(&pair).map(|fault| Fault { route, ..fault }))
}

fn fault(pair: &Pair) -> Option<Fault> {
    let Pair { target, others } = pair;
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

/// Both shares, if that of the first is larger beyond chance. Each side is so many of
/// so many.
fn exceeds(own: [f64; 2], usual: [f64; 2]) -> Option<(f64, f64)> {
    let [bad, answers] = own;
    if bad < BAD_MIN {
        return None;
    }
    let share = bad / answers;
    // One more of either kind, so that a few good answers do not stand for certainty.
    let known = (usual[0] + 0.5) / (usual[1] + 1.0);
    let variance = |share: f64, count: f64| share * (1.0 - share) / count.max(1.0);
    let smoothed = (bad + 0.5) / (answers + 1.0);
    let deviation = (variance(smoothed, answers) + variance(known, usual[1])).sqrt();
    (share > known + MARGIN + CERTAINTY * deviation).then_some((share, known))
}
