//! Requests that may be executed at most once. A claim is recorded before the
//! request is sent, and it is sent once. Later arrivals with the same
//! idempotency key get the first answer, if it is still kept.

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

/// Largest answer that is kept, in bytes.
const ANSWER_BYTES_MAX: usize = 64 << 10;
/// Time that the page's keeper has to answer before this box records the claim
/// in the store itself.
const KEEPER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a peer has to report the fate of a request.
const FATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks of a request that still runs.
const FATE_INTERVAL: Duration = Duration::from_millis(100);

/// The client's terms for a request that may be executed at most once.
pub(crate) struct Options {
    /// The idempotency key. Without one, this arrival is sent once, but a
    /// repeated request is not recognised.
    pub(crate) idempotency: Option<String>,
}

/// One arrival of an at-most-once request.
pub(crate) struct Arrival<'a> {
    pub(crate) id: ids::Request,
    pub(crate) account: &'a ids::Account,
    pub(crate) deadline: Deadline,
    /// The model or service path that the request is for. Keys are separate for
    /// each target.
    pub(crate) target: &'a str,
    pub(crate) body: &'a [u8],
}

/// The result of [`enter`].
pub(crate) enum Outcome {
    /// The request may be sent once.
    Permit(Permit),
    /// The answer of an earlier arrival.
    Answered(Kept),
}

/// The right to send a request once. If it is dropped before the request is
/// sent, the claim is abandoned.
pub(crate) struct Permit {
    node: Arc<Node>,
    claim: ids::Request,
    state: Mutex<Fate>,
}

impl Permit {
    /// A permit whose claim is not recorded yet. Its fate is set from the start,
    /// as another arrival may request it as soon as the claim is in the store.
    fn new(node: &Arc<Node>) -> Self {
        let claim = ids::Request::random();
        node.fates.set(claim, Fate::Runs);
        Self {
            node: node.clone(),
            claim,
            state: Mutex::new(Fate::Abandoned),
        }
    }

    /// Records that the request is about to be sent; it may be executed from now
    /// on.
    pub(crate) fn mark_sent(&self) {
        self.set_fate(Fate::Unknown);
    }

    /// Records a refusal. One that proves that the request was not executed
    /// frees the key.
    pub(crate) fn record_refusal(self, fault: &Fault) {
        if fault.kind.answer().ran == Ran::No {
            self.set_fate(Fate::Abandoned);
        }
    }

    /// Keeps the answer for later arrivals, unless it is too large.
    pub(crate) fn keep_answer(self, status: u16, mime: &str, body: &[u8]) {
        if body.len() <= ANSWER_BYTES_MAX {
            self.set_fate(Fate::Done(Kept {
                status,
                mime: mime.to_string(),
                body: body.to_vec(),
            }));
        }
    }

    /// Ends the permit of a streamed answer, which is not kept.
    pub(crate) fn streamed(self) {}

    fn set_fate(&self, fate: Fate) {
        *self.state.lock().unwrap_or_else(|e| e.into_inner()) = fate;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let fate = self.state.lock().unwrap_or_else(|e| e.into_inner()).clone();
        self.node.fates.set(self.claim, fate);
    }
}

/// Claims an at-most-once request, or finds the answer of an earlier arrival.
///
/// # Errors
///
/// [`Kind::NoClaim`] when no claim could be recorded, [`Kind::Duplicate`] when
/// the answer of an earlier arrival is not available, [`Kind::KeyReused`] when
/// the key was used with another body.
pub(crate) async fn enter(
    node: &Arc<Node>,
    arrival: &Arrival<'_>,
    options: &Options,
) -> Result<Outcome, Fault> {
    let Some(idempotency) = &options.idempotency else {
        return Ok(Outcome::Permit(Permit::new(node)));
    };
    let key = Key::new(arrival.account, arrival.target, idempotency);
    let digest = ids::Digest::of(arrival.body);
    let mut over = None;
    loop {
        // Every exit but the one that returns the permit drops it, which
        // abandons the claim.
        let permit = Permit::new(node);
        let claim = claim(node, &key, permit.claim, digest, over);
        let claimed = arrival.deadline.bound(Kind::NoClaim, claim).await?;
        let holder = match claimed {
            Claimed::Yes => {
                let note = format!("claimed {key}");
                node.ring.record(node.name(), arrival.id, Hop::Store, note);
                return Ok(Outcome::Permit(permit));
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
            Fate::Done(kept) => return Ok(Outcome::Answered(kept)),
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

/// Records a claim through the page's keeper, or directly in the store if the
/// keeper does not answer.
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
    if let Some(claimed) = claim_through_keeper(node, key, &wish).await {
        return Ok(claimed);
    }
    Ok(record(node, node.name(), key, &wish).await)
}

/// Records a claim through the box that usually writes its page of claims. Any
/// box may write any page; a single writer only avoids lost compare-and-swaps.
async fn claim_through_keeper(node: &Arc<Node>, key: &Key, wish: &Wish) -> Option<Claimed> {
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
        let number = node.links.next_number();
        let answer = node.links.expect(&keeper, number);
        line.send(Frame::Claim(number, wish.clone()));
        let answered = answer.recv().await.ok();
        node.links.cancel(number);
        match answered? {
            // Only the keeper may be partitioned from the store: this box then
            // tries itself.
            Answer::Claimed(Claimed::Failed(_)) => None,
            Answer::Claimed(claimed) => Some(claimed),
            _ => None,
        }
    };
    within(KEEPER_TIMEOUT, asking).await.flatten()
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

/// Records a claim for a peer.
pub(crate) fn answer_claim(
    node: &Arc<Node>,
    number: u64,
    wish: &Wish,
    peer: &ids::Box,
    line: Line,
) {
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

/// The fate of the request that holds the claim; waits while it runs.
async fn fate(node: &Arc<Node>, holder: &Holder) -> Result<Fate, Fault> {
    loop {
        let fate = match holder.name == *node.name() {
            true => node.fates.get(holder.request),
            false => ask_fate(node, holder).await,
        };
        if fate != Fate::Runs {
            return Ok(fate);
        }
        Timer::after(FATE_INTERVAL).await;
    }
}

async fn ask_fate(node: &Arc<Node>, holder: &Holder) -> Fate {
    let asking = async {
        let line = dial::open(node, &holder.name).await?;
        let number = node.links.next_number();
        let answer = node.links.expect(&holder.name, number);
        line.send(Frame::FateOf(number, holder.request));
        let answered = answer.recv().await.ok();
        node.links.cancel(number);
        match answered? {
            Answer::Fate(fate) => Some(fate),
            _ => None,
        }
    };
    within(FATE_TIMEOUT, asking)
        .await
        .flatten()
        .unwrap_or(Fate::Unknown)
}

/// Reports the fate of a claim that this box has made to a peer.
pub(crate) fn answer_fate(node: &Arc<Node>, number: u64, claim: ids::Request, line: &Line) {
    line.send(Frame::Fate(number, node.fates.get(claim)));
}
