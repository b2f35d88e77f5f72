//! Requests that may run at most once: claimed before they are sent, sent
//! once, answered again from the first answer where it is still to be had.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::Timer;
use tidepier_claims::{Claimant, Key, Verdict, PAGES};
use tidepier_errors::{Fault, Kind, Ran};
use tidepier_http::server::within;
use tidepier_ids as ids;
use tidepier_placement::by_rendezvous;
use tidepier_wire::frame::{Claimed, Fate, Holder, Kept, Wish};
use tidepier_wire::Frame;

use crate::deadline::Deadline;
use crate::dial;
use crate::links::{Answer, Line};
use crate::node::Node;
use crate::trace::Hop;

/// Largest kept answer in bytes.
const ANSWER_BYTES: usize = 64 << 10;
/// Time that the page's keeper has to answer before this box writes itself.
const KEEPER_TIME: Duration = Duration::from_secs(1);
/// Time that a peer has to tell the fate of a request.
const FATE_TIME: Duration = Duration::from_secs(1);
/// Time between looks at a request that still runs.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// What a caller wants to run at most once.
pub(crate) struct Marked {
    /// The idempotency key; without one, only this arrival is sent once.
    pub(crate) idempotency: Option<String>,
}

/// One arrival of a marked request.
pub(crate) struct Arrival<'a> {
    pub(crate) id: ids::Request,
    pub(crate) account: &'a ids::Account,
    pub(crate) deadline: Deadline,
    /// What is asked for; the same key may be used for each target.
    pub(crate) target: &'a str,
    pub(crate) body: &'a [u8],
}

/// How a marked request goes on.
pub(crate) enum Entry {
    /// It may be sent, once.
    Permit(Permit),
    /// An earlier arrival's answer.
    Answered(Kept),
}

/// The right to send a request once. Dropped before it is sent, it is given up.
pub(crate) struct Permit {
    node: Arc<Node>,
    claim: ids::Request,
    state: Mutex<Fate>,
}

impl Permit {
    /// A permit that still has to be claimed. Its fate is known from the start:
    /// another arrival may ask for it as soon as the claim is in the store.
    fn new(node: &Arc<Node>) -> Self {
        let claim = ids::Request::random();
        node.fates.set(claim, Fate::Runs);
        Self {
            node: node.clone(),
            claim,
            state: Mutex::new(Fate::Abandoned),
        }
    }

    /// Notes that it is about to be sent.
    pub(crate) fn sending(&self) {
        self.settle(Fate::Unknown);
    }

    /// Notes a refusal; one that proves that nothing ran frees the key.
    pub(crate) fn refused(self, fault: &Fault) {
        if fault.kind.answer().ran == Ran::No {
            self.settle(Fate::Abandoned);
        }
    }

    /// Keeps the answer.
    pub(crate) fn done(self, status: u16, mime: &str, body: &[u8]) {
        if body.len() <= ANSWER_BYTES {
            self.settle(Fate::Done(Kept {
                status,
                mime: mime.to_string(),
                body: body.to_vec(),
            }));
        }
    }

    /// Notes that the answer was streamed, and so is not kept.
    pub(crate) fn streamed(self) {}

    fn settle(&self, fate: Fate) {
        *self.state.lock().unwrap_or_else(|e| e.into_inner()) = fate;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let fate = self.state.lock().unwrap_or_else(|e| e.into_inner()).clone();
        self.node.fates.set(self.claim, fate);
    }
}

/// Claims a marked request, or finds the answer of an earlier arrival.
///
/// # Errors
///
/// [`Kind::NoClaim`] when nothing could be recorded, [`Kind::Duplicate`] when
/// an earlier arrival's answer is not to be had, [`Kind::KeyReused`] when the
/// key belongs to another body.
pub(crate) async fn enter(
    node: &Arc<Node>,
    arrival: &Arrival<'_>,
    marked: &Marked,
) -> Result<Entry, Fault> {
    let Some(idempotency) = &marked.idempotency else {
        return Ok(Entry::Permit(Permit::new(node)));
    };
    let key = Key::new(arrival.account, arrival.target, idempotency);
    let digest = ids::Digest::of(arrival.body);
    let mut over = None;
    loop {
        // Dropped on every way out but one, which gives the claim up.
        let permit = Permit::new(node);
        let claim = claim(node, &key, permit.claim, digest, over);
        let claimed = arrival.deadline.bound(Kind::NoClaim, claim).await?;
        let holder = match claimed {
            Claimed::Yes => {
                let note = format!("claimed {key}");
                node.ring.note(node.name(), arrival.id, Hop::Store, note);
                return Ok(Entry::Permit(permit));
            }
            Claimed::Failed(why) => {
                let fault = Fault::new(Kind::NoClaim, why).after(Duration::from_secs(2));
                return Err(fault);
            }
            Claimed::Earlier(holder) => holder,
        };
        if holder.body != digest {
            let detail = "the idempotency key was used with another body";
            return Err(Fault::new(Kind::KeyReused, detail));
        }
        let waiting = fate(node, &holder);
        match arrival.deadline.bound(Kind::Duplicate, waiting).await? {
            Fate::Done(kept) => return Ok(Entry::Answered(kept)),
            Fate::Abandoned => over = Some(holder.request),
            Fate::Runs | Fate::Unknown => {
                metrics::counter!("tidepier_duplicates_unanswered_total").increment(1);
                let detail = format!(
                    "claimed before by {} and its answer is not kept",
                    holder.name
                );
                return Err(Fault::new(Kind::Duplicate, detail));
            }
        }
    }
}

/// Records a claim through the page's keeper, or else directly.
async fn claim(
    node: &Arc<Node>,
    key: &Key,
    request: ids::Request,
    body: ids::Digest,
    over: Option<ids::Request>,
) -> Result<Claimed, Fault> {
    let wish = Wish {
        key: key.bytes().to_vec(),
        incarnation: node.incarnation(),
        request,
        body,
        over,
    };
    if let Some(claimed) = through_keeper(node, key, &wish).await {
        return Ok(claimed);
    }
    Ok(record(node, node.name(), key, &wish).await)
}

/// Which box writes a page is a hint: it only saves lost races.
async fn through_keeper(node: &Arc<Node>, key: &Key, wish: &Wish) -> Option<Claimed> {
    let page = key.page(PAGES);
    let keeper = {
        let table = node.table();
        let names = table.present().map(|member| member.name.clone());
        let hash = ids::Digest::of(format!("claims/{page}").as_bytes()).0;
        by_rendezvous(hash, names).into_iter().next()?
    };
    if keeper == *node.name() {
        return None;
    }
    let asking = async {
        let line = dial::open(node, &keeper).await?;
        let number = node.links.number();
        let answer = node.links.expect(&keeper, number);
        line.send(Frame::Claim(number, wish.clone()));
        let answered = answer.recv().await.ok();
        node.links.forget(number);
        match answered? {
            // A keeper that cannot reach the store may be cut off alone.
            Answer::Claimed(Claimed::Failed(_)) => None,
            Answer::Claimed(claimed) => Some(claimed),
            _ => None,
        }
    };
    within(KEEPER_TIME, asking).await.flatten()
}

async fn record(node: &Arc<Node>, claimant: &ids::Box, key: &Key, wish: &Wish) -> Claimed {
    let claimant = Claimant {
        name: claimant.clone(),
        incarnation: wish.incarnation,
        request: wish.request,
    };
    match node.claims.claim(key, claimant, wish.body, wish.over).await {
        Verdict::Held => Claimed::Yes,
        Verdict::Earlier(entry) => Claimed::Earlier(Holder {
            name: entry.claimant.name,
            incarnation: entry.claimant.incarnation,
            request: entry.claimant.request,
            body: entry.body,
        }),
        Verdict::Failed(why) => Claimed::Failed(why),
    }
}

/// A peer asks this box to record a claim.
pub(crate) fn claim_asked(node: &Arc<Node>, number: u64, wish: &Wish, peer: &ids::Box, line: Line) {
    let Some(key) = Key::from_bytes(&wish.key) else {
        line.send(Frame::Claimed(number, Claimed::Failed("not a key".into())));
        return;
    };
    let node = node.clone();
    let wish = wish.clone();
    let peer = peer.clone();
    node.clone().spawn(async move {
        let claimed = record(&node, &peer, &key, &wish).await;
        line.send(Frame::Claimed(number, claimed));
    });
}

/// What became of the claim's holder; waits while it runs.
async fn fate(node: &Arc<Node>, holder: &Holder) -> Result<Fate, Fault> {
    loop {
        let fate = match holder.name == *node.name() {
            true => node.fates.get(holder.request),
            false => fate_there(node, holder).await,
        };
        if fate != Fate::Runs {
            return Ok(fate);
        }
        Timer::after(LOOK_AGAIN).await;
    }
}

async fn fate_there(node: &Arc<Node>, holder: &Holder) -> Fate {
    let asking = async {
        let line = dial::open(node, &holder.name).await?;
        let number = node.links.number();
        let answer = node.links.expect(&holder.name, number);
        line.send(Frame::FateOf(number, holder.request));
        let answered = answer.recv().await.ok();
        node.links.forget(number);
        match answered? {
            Answer::Fate(fate) => Some(fate),
            _ => None,
        }
    };
    within(FATE_TIME, asking)
        .await
        .flatten()
        .unwrap_or(Fate::Unknown)
}

/// A peer asks for the fate of a claim that this box has made.
pub(crate) fn fate_asked(node: &Arc<Node>, number: u64, claim: ids::Request, line: &Line) {
    line.send(Frame::Fate(number, node.fates.get(claim)));
}
