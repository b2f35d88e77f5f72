//! The question to the keeper of one hall's pool, and its answer.

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

/// Asks the keeper of a hall's pool until it decides.
pub(super) async fn in_hall(
    node: &Arc<Node>,
    work: &Work,
    hall: &ids::Hall,
) -> Result<Place, Fault> {
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
            let ticket = Ticket {
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

/// Asks one keeper and holds the place that it grants.
async fn ask(
    node: &Arc<Node>,
    work: &Work,
    hall: &ids::Hall,
    keeper: &ids::Box,
) -> Result<Place, Fault> {
    let number = node.links.number();
    let question = question(work, number);
    let answer = node.links.expect(keeper, number);
    let wait = Wait {
        node,
        model: &work.model,
        keeper,
        number,
    };
    let grant = if keeper == node.name() {
        ask_self(node, work, &question, &answer).await?
    } else {
        ask_box(node, work, hall, keeper, question, &answer).await?
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
    Ok(Place::new(node, Some(number), grant.engine))
}

fn question(work: &Work, number: u64) -> Ask {
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

/// Decides at this box, which keeps the pool itself.
async fn ask_self(
    node: &Arc<Node>,
    work: &Work,
    question: &Ask,
    answer: &Receiver<Answer>,
) -> Result<Grant, Fault> {
    let complete = keeper::complete(node, node.name(), question);
    match keeper::decide(node, &work.model, complete) {
        Verdict::Granted(grant) => {
            node.links.forget(question.number);
            let pressure = keeper::pressure(node, &grant.engine);
            node.pressed(&grant.engine, pressure);
            Ok(grant)
        }
        Verdict::Refused(fault) => {
            node.links.forget(question.number);
            Err(fault)
        }
        Verdict::Waits => waited(answer, work).await,
    }
}

/// Asks the box that keeps the pool.
async fn ask_box(
    node: &Arc<Node>,
    work: &Work,
    hall: &ids::Hall,
    keeper: &ids::Box,
    question: Ask,
    answer: &Receiver<Answer>,
) -> Result<Grant, Fault> {
    let opening = dial::open(node, keeper);
    let line = match hall == node.hall() {
        true => opening.await,
        false => within(AWAY_OPEN, opening).await.flatten(),
    };
    let Some(line) = line else {
        node.links.forget(question.number);
        return Err(Fault::new(
            Kind::Peer,
            format!("keeper {keeper} cannot be reached"),
        ));
    };
    line.send(Frame::Ask(question));
    waited(answer, work).await
}

/// Waits for a keeper's decision until the request's deadline.
async fn waited(answer: &Receiver<Answer>, work: &Work) -> Result<Grant, Fault> {
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

/// The hash of the shared start of the prompt, which chooses its engines.
pub(super) fn prefix(work: &Work) -> ids::Prefix {
    let part = work.prompt.subject();
    part.map_or_else(ids::Prefix::default, |part| ids::Prefix(part.id))
}

/// The hash of the session; its part's id holds no more than that.
fn chat(work: &Work) -> ids::Chat {
    let part = work.prompt.parts.last();
    part.map_or_else(ids::Chat::default, |part| ids::Chat(part.id as u32))
}

/// The refusal where no engine can take the request.
pub(super) fn no_engine(detail: &str) -> Fault {
    Fault::new(Kind::NoEngine, detail).after(Duration::from_secs(2))
}
