//! Requests a place on an engine from the keeper of one hall's pool.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::channel::Receiver;
use smol::Timer;
use tidepier_core::work::Work;
use tidepier_errors::{Fault, Kind};
use tidepier_http::server::within;
use tidepier_ids as ids;
use tidepier_placement::{Grant, Ticket, Verdict};
use tidepier_wire::frame::Ask;
use tidepier_wire::Frame;

use super::hold::Place;
use crate::deadline::Deadline;
use crate::holdings::Holding;
use crate::links::Answer;
use crate::node::Node;
use crate::trace::Hop;
use crate::{dial, keeper};

/// Time before the keeper is looked up and asked again after it could not answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to open a link to a keeper in another hall. A hall that is partitioned
/// from this box does not answer; each of its chats waits this long before it
/// is served elsewhere.
const REMOTE_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks the keeper of a hall's pool, again after link failures, until it grants
/// a place or refuses.
pub(super) async fn in_hall(
    node: &Arc<Node>,
    work: &Work,
    hall: &ids::Hall,
) -> Result<Place, Fault> {
    let is_remote = hall != node.hall();
    loop {
        let Some(keeper) = keeper::keeper_of(node, &work.model, hall) else {
            return Err(no_engine("no live box in the hall"));
        };
        match ask_keeper(node, work, hall, &keeper).await {
            Ok(place) => return Ok(place),
            Err(fault) if fault.kind != Kind::Peer => return Err(fault),
            // Another hall that does not answer may stay partitioned for a long
            // time, so the chat is served elsewhere instead of waiting.
            Err(fault) if is_remote && fault.retry_after.is_none() => {
                return Err(hall_unavailable(fault))
            }
            Err(_) if Deadline::at(work.deadline).left() <= RETRY_DELAY => {
                return Err(no_engine("the pool's keeper did not answer in time"));
            }
            Err(_) => drop(Timer::after(RETRY_DELAY).await),
        }
    }
}

/// Turns a link failure into a refusal, so that the next hall is tried.
fn hall_unavailable(fault: Fault) -> Fault {
    no_engine(&fault.detail)
}

/// A request that a keeper has not decided yet. When dropped before the answer
/// has arrived, it is withdrawn from the keeper.
struct Pending<'n> {
    node: &'n Arc<Node>,
    model: &'n ids::Model,
    keeper: &'n ids::Box,
    number: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.node.links.cancel(self.number) {
            return;
        }
        if self.keeper == self.node.name() {
            let ticket = Ticket {
                from: self.keeper.clone(),
                number: self.number,
            };
            keeper::withdraw(self.node, self.model, &ticket);
        } else {
            let frame = Frame::Withdraw(self.model.clone(), self.number);
            self.node.links.send(self.keeper, frame);
        }
    }
}

/// Asks one keeper and records the place that it grants in the holdings.
async fn ask_keeper(
    node: &Arc<Node>,
    work: &Work,
    hall: &ids::Hall,
    keeper: &ids::Box,
) -> Result<Place, Fault> {
    let number = node.links.next_number();
    let ask = new_ask(work, number);
    let answer = node.links.expect(keeper, number);
    let pending = Pending {
        node,
        model: &work.model,
        keeper,
        number,
    };
    let grant = if keeper == node.name() {
        decide_locally(node, work, &ask, &answer).await?
    } else {
        ask_peer(node, work, hall, keeper, ask, &answer).await?
    };
    drop(pending);
    let holding = Holding {
        model: work.model.clone(),
        hall: hall.clone(),
        account: work.account.clone(),
        engine: grant.engine.clone(),
        slot: grant.slot,
        keeper: keeper.clone(),
    };
    node.holdings.insert(number, holding);
    let note = format!(
        "keeper {keeper} of {}/{hall} granted {}",
        work.model, grant.engine
    );
    node.ring.record(node.name(), work.id, Hop::Keeper, note);
    Ok(Place::new(node, Some(number), grant.engine))
}

fn new_ask(work: &Work, number: u64) -> Ask {
    Ask {
        number,
        model: work.model.clone(),
        account: work.account.clone(),
        prefix: prefix(work),
        chat: chat(work),
        returning: work.returning,
        prefer: work.prefer.clone(),
        avoid: work.avoid.clone(),
        patience_ms: Deadline::at(work.deadline).left().as_millis() as u64,
    }
}

/// Decides in this process, as this box is the keeper of the pool.
async fn decide_locally(
    node: &Arc<Node>,
    work: &Work,
    ask: &Ask,
    answer: &Receiver<Answer>,
) -> Result<Grant, Fault> {
    let resolved = keeper::resolve(node, node.name(), ask);
    match keeper::decide(node, &work.model, resolved) {
        Verdict::Granted(grant) => {
            node.links.cancel(ask.number);
            let pressure = keeper::pressure(node, &grant.engine);
            node.record_pressure(&grant.engine, pressure);
            Ok(grant)
        }
        Verdict::Refused(fault) => {
            node.links.cancel(ask.number);
            Err(fault)
        }
        Verdict::Waits => wait_for_decision(answer, work).await,
    }
}

/// Asks the other box that is the keeper of the pool.
async fn ask_peer(
    node: &Arc<Node>,
    work: &Work,
    hall: &ids::Hall,
    keeper: &ids::Box,
    ask: Ask,
    answer: &Receiver<Answer>,
) -> Result<Grant, Fault> {
    let opening = dial::open(node, keeper);
    let line = match hall == node.hall() {
        true => opening.await,
        false => within(REMOTE_CONNECT_TIMEOUT, opening).await.flatten(),
    };
    let Some(line) = line else {
        node.links.cancel(ask.number);
        return Err(Fault::new(
            Kind::Peer,
            format!("keeper {keeper} cannot be reached"),
        ));
    };
    line.send(Frame::Ask(ask));
    wait_for_decision(answer, work).await
}

/// Waits for a keeper's decision until the request's deadline.
async fn wait_for_decision(answer: &Receiver<Answer>, work: &Work) -> Result<Grant, Fault> {
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

/// The hash of the prompt's shared start. The rendezvous order of halls and
/// engines follows from it.
pub(super) fn prefix(work: &Work) -> ids::Prefix {
    let part = work.prompt.subject();
    part.map_or_else(ids::Prefix::default, |part| ids::Prefix(part.id))
}

/// The hash of the chat. The id of the prompt's last part holds only these 32
/// bits, so the cast loses nothing.
fn chat(work: &Work) -> ids::Chat {
    let part = work.prompt.parts.last();
    part.map_or_else(ids::Chat::default, |part| ids::Chat(part.id as u32))
}

/// The refusal when no engine can take the request.
pub(super) fn no_engine(detail: &str) -> Fault {
    Fault::new(Kind::NoEngine, detail).after(Duration::from_secs(2))
}
