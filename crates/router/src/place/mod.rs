//! Getting a place on an engine, and giving it back.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_config::document::{Document, Engine, Policy, State};
use tidepier_core::work::Work;
use tidepier_errors::{Fault, Kind};
use tidepier_http::server::within;
use tidepier_ids as ids;
use tidepier_placement::{by_rendezvous, choose, Candidate, Ended, Grant, Verdict};
use tidepier_wire::frame::{self, Adoption, Ask};
use tidepier_wire::Frame;

use crate::deadline::Deadline;
use crate::held::Holding;
use crate::links::Answer;
use crate::node::Node;
use crate::trace::Hop;
use crate::{dial, keeper};

/// Pause before a keeper that could not answer is looked for again.
const AGAIN: Duration = Duration::from_millis(50);
/// Time to open a link to a keeper in another hall. A hall that is cut off
/// answers nothing, and each of its chats is then served elsewhere after this.
const AWAY_OPEN: Duration = Duration::from_millis(250);
/// Time between looks whether held places have a new keeper.
const REHOME: Duration = Duration::from_millis(500);

/// A held place; given back when dropped.
pub(crate) struct Place {
    node: Arc<Node>,
    /// This box's number for it; `None` for one taken by a baseline, which no
    /// keeper knows of.
    number: Option<u64>,
    /// The engine.
    pub(crate) engine: ids::Engine,
    ended: Ended,
}

impl Place {
    /// Notes that the engine could not be reached or broke off.
    pub(crate) fn failed(&mut self) {
        self.ended = Ended::Failed;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            self.node.held.ended(&self.engine);
            return;
        };
        let Some(holding) = self.node.held.remove(number) else {
            return;
        };
        release(&self.node, &holding.keeper, holding.slot, self.ended);
    }
}

fn release(node: &Arc<Node>, keeper: &ids::Box, slot: ids::Slot, ended: Ended) {
    if keeper == node.name() {
        keeper::released(node, slot, ended);
    } else {
        node.links.send(keeper, Frame::Release(slot, ended));
    }
}

/// Gives back a place that came after its request had ended.
pub(crate) fn unwanted(node: &Arc<Node>, keeper: &ids::Box, grant: &Grant) {
    release(node, keeper, grant.slot, Ended::Served);
}

/// Finds a place for a request, hall by hall in the chat's rendezvous order.
///
/// # Errors
///
/// The refusal of the first hall that can be reached and is full; nothing has
/// been sent to any engine.
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
    let halls = node
        .pressures
        .spread(&work.model, halls(&document, work), multiple);
    let mut first: Option<Fault> = None;
    for hall in halls {
        match in_hall(node, work, &hall).await {
            Ok(place) => return Ok(place),
            Err(fault) => {
                let note = format!("hall {hall}: {fault}");
                node.ring.note(node.name(), work.id, Hop::Keeper, note);
                first.get_or_insert(fault);
            }
        }
        if Deadline::at(work.deadline).passed() {
            break;
        }
    }
    Err(first.unwrap_or_else(|| no_engine("no hall with an active engine for the model")))
}

/// The hash of the shared start of the prompt, which chooses its engines.
fn prefix(work: &Work) -> ids::Prefix {
    let part = work.prompt.subject();
    part.map_or_else(ids::Prefix::default, |part| ids::Prefix(part.id))
}

/// The hash of the session; its part's id holds no more than that.
fn chat(work: &Work) -> ids::Chat {
    let part = work.prompt.parts.last();
    part.map_or_else(ids::Chat::default, |part| ids::Chat(part.id as u32))
}

fn no_engine(detail: &str) -> Fault {
    Fault::new(Kind::NoEngine, detail).after(Duration::from_secs(2))
}

/// Halls with active engines of the model: first that of the preferred engine,
/// then in rendezvous order of the chat.
fn halls(document: &Document, work: &Work) -> Vec<ids::Hall> {
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

/// Takes a place by a baseline: this router decides by itself.
fn by_baseline(node: &Arc<Node>, document: &Document, work: &Work) -> Result<Place, Fault> {
    let among: Vec<_> = document
        .engines
        .iter()
        .filter(|engine| engine.model == work.model && engine.state == State::Active)
        .filter(|engine| !work.avoid.contains(&engine.name))
        .map(|engine| Candidate {
            engine: engine.name.clone(),
            open: node.held.open(&engine.name),
        })
        .collect();
    let chosen = choose(document.returning.policy, prefix(work), &among);
    let engine = chosen.ok_or_else(|| no_engine("no engine left to try"))?;
    node.held.begun(&engine);
    Ok(Place {
        node: node.clone(),
        number: None,
        engine,
        ended: Ended::Served,
    })
}

/// Asks the keeper of a hall's pool until it decides.
async fn in_hall(node: &Arc<Node>, work: &Work, hall: &ids::Hall) -> Result<Place, Fault> {
    let away = hall != node.hall();
    loop {
        let Some(keeper) = keeper::keeper_of(node, &work.model, hall) else {
            return Err(no_engine("no live box in the hall"));
        };
        match ask(node, work, hall, &keeper).await {
            Ok(place) => return Ok(place),
            Err(fault) if fault.kind != Kind::Peer => return Err(fault),
            // Another hall that does not answer may be cut off for long;
            // the chat is better served elsewhere.
            Err(fault) if away && fault.retry_after.is_none() => return Err(fault_away(fault)),
            Err(_) if Deadline::at(work.deadline).left() <= AGAIN => {
                return Err(no_engine("the pool's keeper did not answer in time"));
            }
            Err(_) => drop(Timer::after(AGAIN).await),
        }
    }
}

fn fault_away(fault: Fault) -> Fault {
    no_engine(&fault.detail)
}

/// Waits for a keeper's decision and withdraws the request when dropped.
struct Wait<'n> {
    node: &'n Arc<Node>,
    model: &'n ids::Model,
    keeper: &'n ids::Box,
    number: u64,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if !self.node.links.forget(self.number) {
            return;
        }
        if self.keeper == self.node.name() {
            let ticket = tidepier_placement::Ticket {
                from: self.keeper.clone(),
                number: self.number,
            };
            keeper::withdrawn(self.node, self.model, &ticket);
        } else {
            let frame = Frame::Withdraw(self.model.clone(), self.number);
            self.node.links.send(self.keeper, frame);
        }
    }
}

async fn ask(
    node: &Arc<Node>,
    work: &Work,
    hall: &ids::Hall,
    keeper: &ids::Box,
) -> Result<Place, Fault> {
    let number = node.links.number();
    let ask = Ask {
        number,
        model: work.model.clone(),
        account: work.account.clone(),
        prefix: prefix(work),
        chat: chat(work),
        returning: work.returning,
        prefer: work.prefer.clone(),
        avoid: work.avoid.clone(),
        patience_ms: Deadline::at(work.deadline).left().as_millis() as u64,
    };
    let answer = node.links.expect(keeper, number);
    let wait = Wait {
        node,
        model: &work.model,
        keeper,
        number,
    };
    let grant = if keeper == node.name() {
        let complete = keeper::complete(node, keeper, &ask);
        match keeper::decide(node, &work.model, complete) {
            Verdict::Granted(grant) => {
                node.links.forget(number);
                let pressure = keeper::pressure(node, &grant.engine);
                node.pressed(&grant.engine, pressure);
                grant
            }
            Verdict::Refused(fault) => {
                node.links.forget(number);
                return Err(fault);
            }
            Verdict::Waits => waited(&answer, work).await?,
        }
    } else {
        let opening = dial::open(node, keeper);
        let line = match hall == node.hall() {
            true => opening.await,
            false => within(AWAY_OPEN, opening).await.flatten(),
        };
        let Some(line) = line else {
            node.links.forget(number);
            return Err(Fault::new(
                Kind::Peer,
                format!("keeper {keeper} cannot be reached"),
            ));
        };
        line.send(Frame::Ask(ask));
        waited(&answer, work).await?
    };
    drop(wait);
    let holding = Holding {
        model: work.model.clone(),
        hall: hall.clone(),
        account: work.account.clone(),
        engine: grant.engine.clone(),
        slot: grant.slot,
        keeper: keeper.clone(),
    };
    node.held.insert(number, holding);
    let note = format!(
        "keeper {keeper} of {}/{hall} granted {}",
        work.model, grant.engine
    );
    node.ring.note(node.name(), work.id, Hop::Keeper, note);
    Ok(Place {
        node: node.clone(),
        number: Some(number),
        engine: grant.engine,
        ended: Ended::Served,
    })
}

async fn waited(answer: &smol::channel::Receiver<Answer>, work: &Work) -> Result<Grant, Fault> {
    let answered = async { answer.recv().await.ok() };
    let late = async {
        Timer::after(Deadline::at(work.deadline).left()).await;
        Some(Answer::Place(Err(Fault::new(
            Kind::Busy,
            "no place before the deadline",
        ))))
    };
    match answered.or(late).await {
        Some(Answer::Place(result)) => result,
        _ => Err(Fault::new(Kind::Peer, "the link to the keeper ended")),
    }
}

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(rehome(node.clone()));
}

/// Tells new keepers of the places that this box holds.
async fn rehome(node: Arc<Node>) {
    loop {
        let changed = node.table_changed.listen();
        let again = async {
            Timer::after(REHOME).await;
        };
        changed.or(again).await;
        for (keeper, holdings) in moved(&node) {
            if keeper == *node.name() {
                let slots = keeper::adopted(&node, &keeper, &holdings);
                adopted(&node, &keeper, &slots);
            } else if let Some(line) = dial::open(&node, &keeper).await {
                line.send(Frame::Holds(holdings));
            }
        }
    }
}

/// Held places whose keeper has changed, by the new keeper.
fn moved(node: &Node) -> Vec<(ids::Box, Vec<frame::Holding>)> {
    let mut by_keeper: Vec<(ids::Box, Vec<frame::Holding>)> = Vec::new();
    for (number, holding) in node.held.all() {
        let Some(keeper) = keeper::keeper_of(node, &holding.model, &holding.hall) else {
            continue;
        };
        if keeper == holding.keeper {
            continue;
        }
        let told = frame::Holding {
            model: holding.model,
            account: holding.account,
            engine: holding.engine,
            number,
        };
        match by_keeper.iter_mut().find(|(name, _)| *name == keeper) {
            Some((_, list)) => list.push(told),
            None => by_keeper.push((keeper, vec![told])),
        }
    }
    by_keeper
}

/// A new keeper has adopted places. Those that ended meanwhile go back.
pub(crate) fn adopted(node: &Arc<Node>, keeper: &ids::Box, slots: &[Adoption]) {
    for adoption in slots {
        if node.held.rename(adoption.number, keeper, adoption.slot) {
            continue;
        }
        // The place ended while the new keeper adopted it.
        release(node, keeper, adoption.slot, Ended::Served);
    }
}
