//! Answering the boxes that ask this one.
//!
//! Invariant: what others do at this port costs no more than so many
//! connections, each with so many bytes, and none is waited for without limit.

use std::rc::Rc;
use std::time::Duration;

use smol::{LocalExecutor, Timer};
use tidepier_clock::Instant;
use tidepier_h1::{Conn, Listener};

use crate::follow::Follower;
use crate::message::follow::{Answer, Position, Request, Servers};
use crate::message::link::{self, Error};
use crate::message::{recall, PeerRequest, VERSION};
use crate::peer::registry::Registry;
use crate::peer::traffic;
use crate::server_history::Cursor;
use crate::timeout;
use crate::traffic::log::Peer;
use crate::traffic::Traffic;

/// An answer that a box does not take for so long ends the connection.
const UNACKED_TIME: Duration = Duration::from_secs(2);
/// Most connections at once: two of each box of the largest hall that is tried
/// (some 330, of 1,000 boxes in 3 halls; 60 of the 350 in 6 halls that designs
/// are made for), and some that did not notice that their connection broke, or
/// that start elsewhere.
pub const CONNECTIONS_MAX: usize = 768;
/// Longest time from a message's first byte to its last: a question is a few
/// KB, and its asker gives up after a third of a second.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest question in bytes: counts of 9,000 servers at some 30 bytes each, ten
/// times the fleet that designs are made for.
pub const REQUEST_BYTES_MAX: usize = 256 << 10;
/// Rest after which a box that asks nothing more counts as gone: they ask
/// every 0.4 s, and one that froze for so long starts anew anyway.
const REST_TIME: Duration = Duration::from_secs(15);
/// Longest time to send an answer and a configuration: twice as long as the box
/// that asked waits for it.
const ANSWER_TIME: Duration = Duration::from_secs(4);
/// Longest time that a question waits here for something new.
const HOLD_MAX: Duration = Duration::from_secs(2);
/// Time in which further changes are gathered into an answer.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves boxes that ask; does not end.
pub async fn serve(
    listener: Listener,
    follower: Rc<Follower>,
    registry: Rc<Registry>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let open = Rc::new(());
    loop {
        match listener.accept(UNACKED_TIME).await {
            // The list itself holds one count.
            Ok(_) if Rc::strong_count(&open) > CONNECTIONS_MAX => {
                log::warn!(target: "peer", "event=asker_refused why=crowded most={CONNECTIONS_MAX}");
            }
            Ok(conn) => {
                let (follower, registry) = (follower.clone(), registry.clone());
                let counted = open.clone();
                let talk = async move {
                    if let Err(error) = converse(conn, &follower, &registry).await {
                        log::debug!(target: "peer", "event=asker_lost why=\"{error}\"");
                    }
                    drop(counted);
                };
                executor.spawn(talk).detach();
            }
            Err(error) => {
                log::warn!(target: "peer", "event=accept_failed why=\"{error}\"");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(mut conn: Conn, follower: &Follower, registry: &Registry) -> Result<(), Error> {
    let relay = follower.relay();
    let member = Member {
        traffic: &relay.traffic,
        number: relay.traffic.next_member_number(),
    };
    let mut end = traffic::End::default();
    // What the other was told last, as a count of changes.
    let mut told = None;
    loop {
        match receive(&mut conn).await? {
            PeerRequest::Follow(ask) => {
                check(ask.version)?;
                let held = hold(follower, &ask, told).await;
                told = Some(follower.change_count());
                let (answer, document) = answer(follower, registry, &ask, held);
                let send = async {
                    link::send(&conn, &answer).await?;
                    match document {
                        Some(document) => link::send_bytes(&conn, &document).await,
                        None => Ok(()),
                    }
                };
                link::within(ANSWER_TIME, send).await?;
            }
            PeerRequest::Traffic(ask) => {
                check(ask.version)?;
                let answer = end.answer(relay, member.number, ask);
                link::within(ANSWER_TIME, link::send(&conn, &answer)).await?;
            }
            PeerRequest::Recall(ask) => {
                check(ask.version)?;
                let answer = recalled(&relay.traffic);
                link::within(ANSWER_TIME, link::send(&conn, &answer)).await?;
            }
        }
    }
}

fn check(version: u16) -> Result<(), Error> {
    if version != VERSION {
        return Err(Error::Malformed(format!("version {version}")));
    }
    Ok(())
}

/// The next question. One that has not begun may take as long as a box rests;
/// one that has begun has to come whole.
async fn receive(conn: &mut Conn) -> Result<PeerRequest, Error> {
    link::within(REST_TIME, link::begun(conn)).await?;
    link::within(MESSAGE_TIMEOUT, link::receive_most(conn, REQUEST_BYTES_MAX)).await
}

/// A box that asks; its report is forgotten when it no longer does.
struct Member<'a> {
    traffic: &'a Traffic,
    number: u64,
}

impl Drop for Member<'_> {
    fn drop(&mut self) {
        self.traffic.remove_peer(&Peer::Member(self.number));
    }
}

/// What is known here of what engines keep.
fn recalled(traffic: &Traffic) -> recall::Answer {
    recall::Answer {
        version: VERSION,
        progress: traffic.progress(),
        kept: traffic.index.export(Instant::now()),
    }
}

/// Lets a question wait until something is new, or until this box can vouch for what it
/// knows; returns for how long. `told`: what the other was told last.
async fn hold(follower: &Follower, ask: &Request, told: Option<u64>) -> Duration {
    let Some(more) = &ask.options else {
        return Duration::ZERO;
    };
    let start = Instant::now();
    let limit = Duration::from_millis(more.wait_ms.into()).min(HOLD_MAX);
    let news = async {
        let is_new = || told != Some(follower.change_count());
        while !is_new() || !vouches(follower, ask) {
            follower.news().await;
        }
        // Further changes come with the first one.
        Timer::after(GATHER_TIME).await;
    };
    if more.after.is_none() && limit > Duration::ZERO {
        timeout::within(limit, news).await;
    }
    start.elapsed()
}

/// Whether this box can vouch for what it knows. One that knows no eras takes that for a
/// proof that the configuration is the newest.
fn vouches(follower: &Follower, ask: &Request) -> bool {
    let now = Instant::now();
    let knows_eras = ask
        .options
        .as_ref()
        .is_some_and(|more| more.in_force.is_some());
    match knows_eras {
        true => follower.advertised_status(now).followed_ms.is_some(),
        false => follower.shareable_age(now).is_some(),
    }
}

/// What a box is told that has got nothing which this one can vouch for.
fn nothing(ask: &Request) -> (Servers, Position) {
    (Servers::Changes(Vec::new()), ask.position)
}

/// The answer to a question that waited for so long, and the configuration's entry that
/// follows it.
fn answer(
    follower: &Follower,
    registry: &Registry,
    ask: &Request,
    held: Duration,
) -> (Answer, Option<Rc<[u8]>>) {
    let now = Instant::now();
    let vouches = vouches(follower, ask);
    let operator_only = ask.options.as_ref().is_some_and(|more| more.operator_only);
    let document = match &ask.options {
        // Nothing of it would be taken.
        Some(_) if !vouches && !operator_only => None,
        _ => follower.document_for(ask),
    };
    let (servers, position) = match &ask.options {
        None => follower.servers_after(ask.position),
        Some(_) if !vouches || operator_only => nothing(ask),
        Some(more) => {
            let place = Cursor {
                position: ask.position,
                after: more.after.clone(),
                complete_revision: more.whole(),
            };
            let (part, position) = follower.servers_part(&place);
            (Servers::Part(part), position)
        }
    };
    let boxes = ask.options.as_ref().filter(|_| vouches);
    let boxes = boxes.and_then(|more| registry.list_for(more.boxes));
    let answer = Answer {
        version: VERSION,
        number: ask.number,
        age_ms: follower.shareable_age(now).map(as_ms),
        known_ms: follower.confirmed_age(now).map(as_ms),
        revision: follower.revision().number(),
        standing: Some(follower.advertised_status(now)),
        document_bytes: document.as_ref().map(|bytes| bytes.len() as u32),
        emptied: Some(follower.emptied()),
        rollouts: Some(follower.relay().rollouts.list(now)),
        servers,
        position,
        // Rounded down, so that a proof never looks younger.
        held_ms: held.as_millis() as u64,
        boxes,
    };
    (answer, document)
}

/// Rounded up, so that a proof never looks younger.
fn as_ms(age: Duration) -> u64 {
    age.as_millis() as u64 + 1
}
