//! Baseline policies, which `tidepier` is compared with. A router applies them
//! by itself, without a keeper and without a bound on load.

use rand::seq::IndexedRandom;
use tidepier_config::document::Policy;
use tidepier_ids as ids;

use crate::order::by_rendezvous;

/// An engine with the number of requests that this router has open on it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The engine.
    pub engine: ids::Engine,
    /// This router's own open requests.
    pub open: u32,
}

/// Chooses an engine by a baseline policy. `None` if there are no candidates,
/// or for [`Policy::Tidepier`], which is not a baseline.
pub fn choose(policy: Policy, prefix: ids::Prefix, among: &[Candidate]) -> Option<ids::Engine> {
    match policy {
        Policy::Tidepier => None,
        Policy::Random => among
            .choose(&mut rand::rng())
            .map(|found| found.engine.clone()),
        Policy::LeastLoaded => least_loaded(among),
        Policy::Hash => {
            let names = among.iter().map(|candidate| candidate.engine.clone());
            by_rendezvous(prefix.0, names).into_iter().next()
        }
    }
}

/// A random one of the candidates with the fewest open requests. Always taking
/// the first would send all requests of a lightly loaded fleet to one engine.
fn least_loaded(among: &[Candidate]) -> Option<ids::Engine> {
    let fewest = among.iter().map(|candidate| candidate.open).min()?;
    let all: Vec<_> = among
        .iter()
        .filter(|candidate| candidate.open == fewest)
        .collect();
    all.choose(&mut rand::rng())
        .map(|found| found.engine.clone())
}
