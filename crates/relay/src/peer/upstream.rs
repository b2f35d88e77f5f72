//! Asking a box of this hall for what the store says.
//!
//! A question waits at the other box until something is new there, a few hundred ms at
//! the most, so that a change is known on every box soon, however many boxes it goes
//! over. A box that does not answer, or that cannot confirm that what it knows is
//! current, is passed over for a while.

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

/// Time that a question may wait for something new.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// Shortest time between two questions, in which changes gather.
const GAP_TIME: Duration = Duration::from_millis(40);
/// Time between two questions to a box that answers all of them at once, and between
/// two looks for somebody to ask.
const ASK_TIME: Duration = Duration::from_millis(400);
/// Longest time to connect: some hundred round trips within a hall. A box that
/// has just started waits so long for one before it that has not; until then it
/// knows nothing to serve by.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time until an answer begins, beyond that for which it may wait: short enough
/// for two boxes to be tried within the bounds.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for an answer that has begun to be whole, and for the next part of a
/// list to begin: as many boxes as a box has askers may be served before.
const WHOLE_TIME: Duration = Duration::from_millis(2_000);
/// Longest time for a whole configuration to follow an answer: one of 250 KB
/// takes 0.2 s over the weakest link, and a reader sends it to its whole hall.
const DOCUMENT_TIME: Duration = Duration::from_millis(1_500);
/// Time that a box is passed over after it failed.
pub(super) const PASS_OVER_TIME: Duration = Duration::from_secs(3);
/// The same for a box that answers but cannot confirm that what it knows is
/// current, while this box has just started: the others may have, too, and need
/// a moment.
pub(super) const UNSURE_TIME: Duration = Duration::from_millis(400);
/// How long a box counts as just started.
const START_TIME: Duration = Duration::from_secs(5);
/// How long a box that knows nothing yet stays with one that knows nothing either: a
/// reader needs about as long for a list of 20,000 servers. Without it nearly all boxes
/// of a fleet that starts read the store themselves, which it has no bandwidth for.
const START_PATIENCE: Duration = Duration::from_millis(1_200);
/// The same for the boxes that are to read the store where the first one does not.
const READER_PATIENCE: Duration = Duration::from_millis(400);

/// What is remembered of the boxes that were asked.
#[derive(Default)]
struct Memory {
    /// Boxes that failed, and until when they are passed over.
    passed_over: HashMap<ids::Box, Instant>,
    /// Where this box stands in the records of others, so that it is told no more than
    /// it lacks when it is back at one.
    places: HashMap<ids::Box, Position>,
}

/// Asks the boxes that come before this one in its hall; does not end.
pub async fn run(follower: Rc<Follower>, registry: Rc<Registry>) {
    let mut memory = Memory::default();
    let started = Instant::now();
    loop {
        if !registry.is_listed() {
            registry.changed.wait().await;
            continue;
        }
        let now = Instant::now();
        memory.passed_over.retain(|_, until| now < *until);
        let before = registry.predecessors();
        follower.set_boxes_before(before.len());
        // While the store is unreachable nobody knows what is current; the
        // first boxes are asked often, as one of them finds first that it is
        // back.
        let unreachable = follower.store_is_unreachable();
        let candidates = match unreachable {
            true => before
                .iter()
                .take(PROBING_BOXES as usize)
                .cloned()
                .collect(),
            false => registry.asked(),
        };
        memory
            .places
            .retain(|name, _| before.iter().any(|it| it.name == *name));
        let mut asked = candidates.iter();
        let first = asked.find(|member| !memory.passed_over.contains_key(&member.name));
        // Those further behind leave the store to the first boxes for a while.
        let waits = candidates.len() > PROBING_BOXES as usize
            && !follower.is_synced()
            && started.elapsed() < START_TIME;
        let Some(first) = first else {
            if !waits {
                follower.set_reads_store("nobody_before", true);
            }
            let changed = async { registry.changed.wait().await };
            changed.or(pause(ASK_TIME)).await;
            continue;
        };
        let patience = match waits {
            true => START_PATIENCE,
            false => READER_PATIENCE,
        };
        let mut way = Way {
            follower: &follower,
            registry: &registry,
            member: first,
            patience,
            place: memory.places.get(&first.name).copied().unwrap_or_default(),
            listing: None,
        };
        let Err(error) = way.follow().await;
        let place = way.place;
        log::info!(
            target: "peer",
            "event=reader_lost box={} why=\"{error}\"",
            first.name
        );
        memory.places.insert(first.name.clone(), place);
        let doubted = unreachable || follower.in_grace_period();
        let time = pass_over_time(&error, doubted, started);
        let until = Instant::now() + time;
        memory.passed_over.insert(first.name.clone(), until);
    }
}

/// How long a box is passed over that failed with `error`, at a box that
/// started at `started`; `doubted`: the store is away, or was until lately, so that the
/// other will soon vouch for what it knows.
fn pass_over_time(error: &Error, doubted: bool, started: Instant) -> Duration {
    match error {
        _ if doubted => UNSURE_TIME,
        Error::Unconfirmed if started.elapsed() < START_TIME => UNSURE_TIME,
        // It will hear of the new one as this box did.
        Error::StaleEra => UNSURE_TIME,
        _ => PASS_OVER_TIME,
    }
}

async fn pause(time: Duration) {
    Timer::after(time).await;
}

/// The way to one box that is asked until it fails.
struct Way<'a> {
    follower: &'a Follower,
    registry: &'a Registry,
    member: &'a Member,
    /// How long the other may be unable to confirm what it knows.
    patience: Duration,
    /// Where this box stands in the other's record.
    place: Position,
    /// What this box has got of a list of all servers.
    listing: Option<Progress>,
}

impl Way<'_> {
    async fn follow(&mut self) -> Result<std::convert::Infallible, Error> {
        let mut conn = link::open(self.member.address, CONNECT_TIMEOUT).await?;
        let mut number = 0;
        let mut sure = Instant::now();
        loop {
            number += 1;
            let asked = Instant::now();
            let mut answer = self.ask(&mut conn, number).await?;
            let heard = self
                .follower
                .apply_partial_answer(&mut answer, &mut self.listing);
            // The configuration that follows may take a second or more, and with it
            // a server that leaves would get requests past its time: so it comes after.
            let document = document(&mut conn, &answer).await?;
            match heard {
                Ok(()) => sure = Instant::now(),
                // The other may be about to hear of a reader, as this box would.
                Err(Error::Unconfirmed) if self.may_wait(sure) => {
                    Timer::after(GAP_TIME.max(ASK_TIME.saturating_sub(asked.elapsed()))).await;
                    continue;
                }
                Err(error) => return Err(error),
            }
            if let Some(boxes) = &answer.boxes {
                self.registry.apply_list(self.follower.relay(), boxes);
            }
            self.registry.heard(Instant::now());
            self.place = answer.position;
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
            // It was true when the answer left, after it had waited there.
            let told = asked + Duration::from_millis(answer.held_ms);
            self.follower.apply_answer(answer, document, told)?;
            self.follower.set_reads_store("reader", false);
            let pause = match asked.elapsed() {
                // The other is of an older form and lets nothing wait.
                took if told == asked && took < GAP_TIME => ASK_TIME,
                _ => GAP_TIME,
            };
            Timer::after(pause).await;
        }
    }

    /// Whether the other may go on being unable to confirm what it knows.
    fn may_wait(&self, sure: Instant) -> bool {
        match self.follower.is_synced() {
            true => self.follower.can_wait_for_peer(),
            false => sure.elapsed() < self.patience,
        }
    }

    async fn ask(&self, conn: &mut Conn, number: u64) -> Result<Answer, Error> {
        let after = self.listing.as_ref().and_then(|list| list.after.clone());
        let whole = self.follower.record().complete_revision();
        let wait = match self.listing {
            Some(_) => Duration::ZERO,
            None => HOLD_TIME.min(self.patience),
        };
        let ask = Request {
            version: VERSION,
            number,
            document: self.follower.revision().number(),
            position: self.place,
            options: Some(Options {
                after,
                whole: whole.number(),
                era: whole.era().0,
                in_force: Some(self.follower.relay().view.version().0),
                operator_only: false,
                boxes: self.registry.digest(),
                wait_ms: wait.as_millis() as u32,
            }),
        };
        let begin = match self.listing {
            Some(_) => WHOLE_TIME,
            None => ANSWER_TIMEOUT + wait,
        };
        ask_within(conn, &ask, begin).await
    }
}

/// Asks, and waits for the answer.
pub(super) async fn ask_for(conn: &mut Conn, ask: &Request) -> Result<Answer, Error> {
    ask_within(conn, ask, ANSWER_TIMEOUT).await
}

/// The same where the answer may take so long to begin.
async fn ask_within(conn: &mut Conn, ask: &Request, begin: Duration) -> Result<Answer, Error> {
    link::send(conn, &PeerRequest::Follow(ask.clone())).await?;
    link::within(begin, link::wait_for_length(conn)).await?;
    let answer: Answer = link::within(WHOLE_TIME, link::receive(conn)).await?;
    if answer.version != VERSION || answer.number != ask.number {
        let why = format!("version {}, number {}", answer.version, answer.number);
        return Err(Error::Malformed(why));
    }
    Ok(answer)
}

/// The configuration's entry that follows an answer, if one does.
pub(super) async fn document(conn: &mut Conn, answer: &Answer) -> Result<Option<Vec<u8>>, Error> {
    let Some(count) = answer.document_bytes else {
        return Ok(None);
    };
    let bytes = link::receive_bytes(conn, count as usize);
    link::within(DOCUMENT_TIME, bytes).await.map(Some)
}
