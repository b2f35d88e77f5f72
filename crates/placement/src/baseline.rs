//! Baselines that a router decides by itself, without a keeper and without a
//! bound: what `tidepier` is measured against.

use rand::seq::IndexedRandom;
use tidepier_config::document::Policy;
use tidepier_ids as ids;

use crate::order::by_rendezvous;

/// An engine with the requests that this router has open on it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The engine.
    pub engine: ids::Engine,
    /// This router's own open requests.
    pub open: u32,
}

/// Chooses by a baseline; `None` without candidates, or for
/// [`Policy::Tidepier`], which is no baseline.
pub fn choose(policy: Policy, prefix: ids::Prefix, among: &[Candidate]) -> Option<ids::Engine> {
    match policy {
        Policy::Tidepier => None,
        Policy::Random => among
            .choose(&mut rand::rng())
            .map(|found| found.engine.clone()),
        Policy::LeastLoaded => least(among),
        Policy::Hash => {
            let names = among.iter().map(|candidate| candidate.engine.clone());
            by_rendezvous(prefix.0, names).into_iter().next()
        }
    }
}

/// One of those with the fewest; the first would get all of a quiet fleet.
fn least(among: &[Candidate]) -> Option<ids::Engine> {
    let fewest = among.iter().map(|candidate| candidate.open).min()?;
    let all: Vec<_> = among
        .iter()
        .filter(|candidate| candidate.open == fewest)
        .collect();
    all.choose(&mut rand::rng())
        .map(|found| found.engine.clone())
}
