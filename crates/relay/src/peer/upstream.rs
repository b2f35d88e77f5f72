//! Client of the upstream box: gets the data of the store from another box of this hall.
//!
//! The requests are long polls: the upstream box holds each of them until there is a
//! change, for a few hundred ms at most, so that a change soon reaches every box, however
//! many hops away. A box that does not answer, or cannot confirm that its data is
//! current, is skipped for a while.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_h1::Conn;
use tidepier_ids as ids;

use crate::follow::{Follower, Progress, PROBING_BOXES};
use crate::message::follow::{Answer, Options, Position, Request};
use crate::message::link::{self, Error};
use crate::message::{PeerRequest, VERSION};
use crate::peer::registry::{Member, Registry};

/// Time for which the upstream box may hold a request.
const HOLD_MAX: Duration = Duration::from_millis(400);
/// Shortest time between two requests, in which changes accumulate.
const REQUEST_INTERVAL_MIN: Duration = Duration::from_millis(40);
/// Time between two requests to a box that answers to all of them at once, and between
/// two attempts to find an upstream box.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time-out to connect: about a hundred round trips within a hall. A starting box waits
/// this long for a preceding box that has not started yet, and cannot serve anything
/// until then.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time-out for the first bytes of an answer, not counting the time for which the request
/// may be held: short enough for two boxes to be tried within the bounds.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Time-out for the rest of an answer that has begun, and for the first bytes of the next
/// part of a list: the upstream box may serve all of its other downstream boxes before.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time-out for the configuration document that follows an answer: one of 250 KB takes
/// 0.2 s over the weakest link, and a reader sends it to its whole hall.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a box is skipped after it failed.
pub(super) const SKIP_TIME: Duration = Duration::from_secs(3);
/// The same for a box that answers but will soon be able to serve this one: it cannot
/// confirm that its data is current, while this box has just started, so that the other
/// boxes may have just started too; or its data is older than this box's.
pub(super) const UNCONFIRMED_SKIP_TIME: Duration = Duration::from_millis(400);
/// Time for which a box counts as just started.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// How long a box without data waits for an upstream box that cannot confirm any data
/// either: a reader needs about this long for a list of 20,000 servers. Without the wait
/// nearly all boxes of a starting fleet read the store themselves, for which it lacks the
/// bandwidth.
const STARTUP_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same for the boxes that take over reading the store when the first box does not.
const READER_CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// State that is kept for each upstream box.
#[derive(Default)]
struct History {
    /// Boxes that failed, and until when they are skipped.
    skipped: HashMap<ids::Box, Instant>,
    /// Position of this box in the change logs of other boxes, so that it gets only the
    /// missing changes when it returns to one of them.
    positions: HashMap<ids::Box, Position>,
}

/// Follows the boxes that precede this one in its hall; never returns.
pub async fn run(follower: Rc<Follower>, registry: Rc<Registry>) {
    let mut history = History::default();
    let started = Instant::now();
    loop {
        if !registry.is_listed() {
            registry.changed.wait().await;
            continue;
        }
        let now = Instant::now();
        history.skipped.retain(|_, until| now < *until);
        let predecessors = registry.predecessors();
        follower.set_boxes_before(predecessors.len());
        // While the store is unreachable, no box can confirm that its data is current.
        // The first boxes of the order are asked often, since one of them will be the
        // first to find that the store is back.
        let unreachable = follower.store_is_unreachable();
        let candidates = match unreachable {
            true => predecessors
                .iter()
                .take(PROBING_BOXES as usize)
                .cloned()
                .collect(),
            false => registry.upstream_candidates(),
        };
        history
            .positions
            .retain(|name, _| predecessors.iter().any(|it| it.name == *name));
        let mut in_order = candidates.iter();
        let upstream = in_order.find(|member| !history.skipped.contains_key(&member.name));
        // Boxes further back in the order leave the store to the first boxes for a while.
        let defers_to_others = candidates.len() > PROBING_BOXES as usize
            && !follower.is_synced()
            && started.elapsed() < STARTUP_TIME;
        let Some(upstream) = upstream else {
            if !defers_to_others {
                follower.set_reads_store("nobody_before", true);
            }
            let changed = async { registry.changed.wait().await };
            changed.or(pause(REQUEST_INTERVAL)).await;
            continue;
        };
        let confirm_timeout = match defers_to_others {
            true => STARTUP_CONFIRM_TIMEOUT,
            false => READER_CONFIRM_TIMEOUT,
        };
        let mut session = Session {
            follower: &follower,
            registry: &registry,
            member: upstream,
            confirm_timeout,
            position: history
                .positions
                .get(&upstream.name)
                .copied()
                .unwrap_or_default(),
            listing: None,
        };
        let Err(error) = session.follow().await;
        let position = session.position;
        log::info!(
            target: "peer",
            "event=reader_lost box={} why=\"{error}\"",
            upstream.name
        );
        history.positions.insert(upstream.name.clone(), position);
        let in_grace_period = unreachable || follower.in_grace_period();
        let skip = skip_time(&error, in_grace_period, started);
        let until = Instant::now() + skip;
        history.skipped.insert(upstream.name.clone(), until);
    }
}

/// Time for which a box that failed with `error` is skipped; this box started at
/// `started`. `in_grace_period`: the store is unreachable, or was until recently, so that
/// the other box will soon be able to confirm its data.
fn skip_time(error: &Error, in_grace_period: bool, started: Instant) -> Duration {
    match error {
        _ if in_grace_period => UNCONFIRMED_SKIP_TIME,
        Error::Unconfirmed if started.elapsed() < STARTUP_TIME => UNCONFIRMED_SKIP_TIME,
        // The other box will learn of the new era, or of the changes, as this box did.
        Error::StaleEra | Error::OlderList => UNCONFIRMED_SKIP_TIME,
        _ => SKIP_TIME,
    }
}

async fn pause(time: Duration) {
    Timer::after(time).await;
}

/// A session with an upstream box, which lasts until the box fails.
struct Session<'a> {
    follower: &'a Follower,
    registry: &'a Registry,
    member: &'a Member,
    /// How long the upstream box may be unable to confirm its data.
    confirm_timeout: Duration,
    /// Position of this box in the upstream box's change log.
    position: Position,
    /// Received parts of a list of all servers.
    listing: Option<Progress>,
}

impl Session<'_> {
    async fn follow(&mut self) -> Result<std::convert::Infallible, Error> {
        let mut conn = link::open(
            self.follower.relay().network,
            self.member.address,
            CONNECT_TIMEOUT,
        )
        .await?;
        let mut number = 0;
        let mut confirmed_at = Instant::now();
        loop {
            number += 1;
            let sent_at = Instant::now();
            let mut answer = self.request_update(&mut conn, number).await?;
            if self.follower.keeps_own_watch(&answer) {
                return Err(Error::OlderList);
            }
            let applied = self
                .follower
                .apply_partial_answer(&mut answer, &mut self.listing);
            // The configuration document may take a second or more. It is received after
            // the changes of servers are applied, so that a server that is leaving gets
            // no requests meanwhile.
            let document = receive_document(&mut conn, &answer).await?;
            match applied {
                Ok(()) => confirmed_at = Instant::now(),
                // The upstream box may be about to find a reader, as this box would.
                Err(Error::Unconfirmed) if self.may_stay_unconfirmed(confirmed_at) => {
                    Timer::after(
                        REQUEST_INTERVAL_MIN
                            .max(REQUEST_INTERVAL.saturating_sub(sent_at.elapsed())),
                    )
                    .await;
                    continue;
                }
                Err(error) => return Err(error),
            }
            if let Some(boxes) = &answer.boxes {
                self.registry.apply_list(self.follower.relay(), boxes);
            }
            self.registry.record_confirmation(Instant::now());
            self.position = answer.position;
            if self.listing.is_some() {
                self.follower.apply_document(&answer, document);
                continue;
            }
            if number == 1 {
                log::info!(
                    target: "peer",
                    "event=reader box={} revision={} age_ms={:?}",
                    self.member.name,
                    answer.revision,
                    answer.age_ms
                );
            }
            // The data was current when the answer was sent, after the upstream box had
            // held the request.
            let current_as_of = sent_at + Duration::from_millis(answer.held_ms);
            self.follower
                .apply_answer(answer, document, current_as_of)?;
            self.follower.set_reads_store("reader", false);
            let pause = match sent_at.elapsed() {
                // The upstream box has an older protocol version and does not hold
                // requests.
                took if current_as_of == sent_at && took < REQUEST_INTERVAL_MIN => REQUEST_INTERVAL,
                _ => REQUEST_INTERVAL_MIN,
            };
            Timer::after(pause).await;
        }
    }

    /// Whether the upstream box may continue to be unable to confirm its data.
    fn may_stay_unconfirmed(&self, confirmed_at: Instant) -> bool {
        match self.follower.is_synced() {
            true => self.follower.can_wait_for_peer(),
            false => confirmed_at.elapsed() < self.confirm_timeout,
        }
    }

    async fn request_update(&self, conn: &mut Conn, number: u64) -> Result<Answer, Error> {
        let after = self.listing.as_ref().and_then(|list| list.after.clone());
        let complete_revision = self.follower.history().complete_revision();
        let wait = match self.listing {
            Some(_) => Duration::ZERO,
            None => HOLD_MAX.min(self.confirm_timeout),
        };
        let request = Request {
            version: VERSION,
            number,
            document: self.follower.revision().number(),
            position: self.position,
            options: Some(Options {
                after,
                complete_revision: complete_revision.number(),
                era: complete_revision.era().0,
                in_force: Some(self.follower.relay().view.version().0),
                operator_only: false,
                boxes: self.registry.digest(),
                wait_ms: wait.as_millis() as u32,
            }),
        };
        let begin_timeout = match self.listing {
            Some(_) => COMPLETION_TIMEOUT,
            None => ANSWER_TIMEOUT + wait,
        };
        send_request_within(conn, &request, begin_timeout).await
    }
}

/// Sends a request and receives the answer.
pub(super) async fn send_request(conn: &mut Conn, request: &Request) -> Result<Answer, Error> {
    send_request_within(conn, request, ANSWER_TIMEOUT).await
}

/// The same with `begin_timeout` as the time-out for the first bytes of the answer.
async fn send_request_within(
    conn: &mut Conn,
    request: &Request,
    begin_timeout: Duration,
) -> Result<Answer, Error> {
    link::send(conn, &PeerRequest::Follow(request.clone())).await?;
    link::within(begin_timeout, link::wait_for_length(conn)).await?;
    let answer: Answer = link::within(COMPLETION_TIMEOUT, link::receive(conn)).await?;
    if answer.version != VERSION || answer.number != request.number {
        let why = format!("version {}, number {}", answer.version, answer.number);
        return Err(Error::Malformed(why));
    }
    Ok(answer)
}

/// Receives the configuration document that follows an answer, if there is one.
pub(super) async fn receive_document(
    conn: &mut Conn,
    answer: &Answer,
) -> Result<Option<Vec<u8>>, Error> {
    let Some(count) = answer.document_bytes else {
        return Ok(None);
    };
    let bytes = link::receive_bytes(conn, count as usize);
    link::within(DOCUMENT_TIMEOUT, bytes).await.map(Some)
}
