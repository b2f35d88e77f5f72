//! Obtains a place on an engine for a request, and releases it.
//!
//! * `hold`: a held place, which is released when dropped.
//! * `ask`: the request for a place to the keeper of one hall's pool.
//! * `handover`: reports the places that this box holds to new keepers.

mod ask;
mod handover;
mod hold;

use std::sync::Arc;

use tidepier_config::document::{Document, Engine, Policy, State};
use tidepier_core::work::Work;
use tidepier_errors::Fault;
use tidepier_ids as ids;
use tidepier_placement::{by_rendezvous, choose, Candidate};

use self::ask::{in_hall, no_engine, prefix};
use crate::deadline::Deadline;
use crate::node::Node;
use crate::trace::Hop;

pub(crate) use self::handover::{record_adoptions, start};
pub(crate) use self::hold::{release_unused, Place};

/// Finds a place for a request, hall by hall in the chat's rendezvous order.
///
/// # Errors
///
/// The refusal of the first hall that was asked; nothing has been sent to any
/// engine.
pub(crate) async fn find(node: &Arc<Node>, work: &Work) -> Result<Place, Fault> {
    let document = node.document()?;
    if document.returning.policy != Policy::Tidepier {
        return by_baseline(node, &document, work);
    }
    let load = &document.load;
    let multiple = if work.returning {
        load.multiple
    } else {
        load.aim
    };
    let halls =
        node.pressures
            .overloaded_last(&work.model, halls_in_order(&document, work), multiple);
    let mut first: Option<Fault> = None;
    for hall in halls {
        match in_hall(node, work, &hall).await {
            Ok(place) => return Ok(place),
            Err(fault) => {
                let note = format!("hall {hall}: {fault}");
                node.ring.record(node.name(), work.id, Hop::Keeper, note);
                first.get_or_insert(fault);
            }
        }
        if Deadline::at(work.deadline).passed() {
            break;
        }
    }
    Err(first.unwrap_or_else(|| no_engine("no hall with an active engine for the model")))
}

/// Halls with active engines of the model: first the hall of the preferred
/// engine, then the others in rendezvous order of the prompt's shared start.
fn halls_in_order(document: &Document, work: &Work) -> Vec<ids::Hall> {
    let active = |engine: &&Engine| engine.model == work.model && engine.state == State::Active;
    let mut halls: Vec<_> = document
        .engines
        .iter()
        .filter(active)
        .map(|e| e.hall.clone())
        .collect();
    halls.sort();
    halls.dedup();
    let mut halls = by_rendezvous(prefix(work).0, halls);
    let prefer = work.prefer.as_ref().and_then(|name| document.engine(name));
    if let Some(prefer) = prefer {
        if let Some(index) = halls.iter().position(|hall| *hall == prefer.hall) {
            let home = halls.remove(index);
            halls.insert(0, home);
        }
    }
    halls
}

/// Chooses an engine by a baseline policy, from the requests of this router
/// alone and without a keeper.
fn by_baseline(node: &Arc<Node>, document: &Document, work: &Work) -> Result<Place, Fault> {
    let among: Vec<_> = document
        .engines
        .iter()
        .filter(|engine| engine.model == work.model && engine.state == State::Active)
        .filter(|engine| !work.avoid.contains(&engine.name))
        .map(|engine| Candidate {
            engine: engine.name.clone(),
            open: node.holdings.open_baseline(&engine.name),
        })
        .collect();
    let chosen = choose(document.returning.policy, prefix(work), &among);
    let engine = chosen.ok_or_else(|| no_engine("no engine left to try"))?;
    node.holdings.begin_baseline(&engine);
    Ok(Place::new(node, None, engine))
}
