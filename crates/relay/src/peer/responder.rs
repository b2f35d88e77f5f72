//! Serves the requests of other boxes.
//!
//! Invariant: clients of this port can use only a bounded number of connections, each
//! with requests of bounded size, and every wait for them has a time-out.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};
use tidepier_clock::Instant;
use tidepier_h1::{Conn, Listener};

use crate::follow::Follower;
use crate::inbound::{Holding, Inbound};
use crate::message::follow::{Answer, Position, Request, Servers};
use crate::message::link::{self, Error};
use crate::message::traffic::{Answer as Notices, Requester};
use crate::message::{recall, PeerRequest, VERSION};
use crate::peer::gateway;
use crate::peer::origins;
use crate::peer::registry::Registry;
use crate::peer::session;
use crate::relay::Relay;
use crate::server_history::Cursor;
use crate::timeout;
use crate::traffic::log::Peer;
use crate::traffic::notices::SAMPLES_MAX;
use crate::traffic::Traffic;

/// A connection is closed if the other box does not acknowledge sent data for this time.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);
/// Most connections at once: two from each box of the largest hall that is tested (about
/// 330 boxes, of 1,000 boxes in 3 halls; designs are made for 350 boxes in 6 halls, 60
/// boxes a hall), and some from boxes that did not notice that their connection broke, or
/// that use this box as a seed.
pub const CONNECTIONS_MAX: usize = 768;
/// Longest time from the first byte of a request to its last: a request is a few KB, and
/// its sender gives up after a third of a second.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest request in bytes: the counts of 9,000 servers at about 30 bytes each, ten
/// times the fleet that designs are made for.
pub const REQUEST_BYTES_MAX: usize = 256 << 10;
/// Most bytes of requests that are being received, of all connections together: some of the
/// largest ones, or as many of the usual size as there are connections.
const REQUESTS_BYTES_MAX: usize = 8 << 20;
/// Idle time after which a box counts as gone: boxes send a request every 0.4 s, and a
/// box that froze for this long starts over anyway.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time to send an answer and a configuration: twice as long as the requesting
/// box waits for them.
const SEND_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time that a long-poll request is held.
const HOLD_MAX: Duration = Duration::from_secs(2);
/// Time for which further changes are collected into one answer.
const GATHER_DELAY: Duration = Duration::from_millis(5);
/// Pause after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves the requests of other boxes; never returns.
pub async fn serve(
    listener: Listener,
    follower: Rc<Follower>,
    registry: Rc<Registry>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let open = Rc::new(());
    let inbound = Rc::<Inbound>::default();
    inbound.set_limit(REQUESTS_BYTES_MAX);
    loop {
        match listener.accept(UNACKED_TIMEOUT).await {
            // One reference belongs to this function itself.
            Ok(_) if Rc::strong_count(&open) > CONNECTIONS_MAX => {
                log::warn!(target: "peer", "event=asker_refused why=crowded most={CONNECTIONS_MAX}");
            }
            Ok(conn) => {
                let (follower, registry) = (follower.clone(), registry.clone());
                let open_connection = open.clone();
                let holding = inbound.holding();
                let serving = async move {
                    let served =
                        serve_connection(conn, open_connection, holding, &follower, &registry);
                    if let Err(error) = served.await {
                        log::debug!(target: "peer", "event=asker_lost why=\"{error}\"");
                    }
                };
                executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!(target: "peer", "event=accept_failed why=\"{error}\"");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection, which counts as open while `open` exists.
async fn serve_connection(
    mut conn: Conn,
    open: Rc<()>,
    holding: Holding,
    follower: &Follower,
    registry: &Registry,
) -> Result<(), Error> {
    let relay = follower.relay();
    let connection = Connection {
        traffic: &relay.traffic,
        number: relay.traffic.next_member_number(),
    };
    let mut session = session::Session::default();
    // The count of changes that the last answer included.
    let mut last_sent = None;
    // What this box was told at once; `None` if it takes nothing of that.
    let mut told = None;
    loop {
        if let Some(told) = &mut told {
            send_notices(&mut conn, relay, &mut session, told).await?;
        }
        match receive(&mut conn, &holding).await? {
            PeerRequest::Samples(samples) => {
                let now = Instant::now();
                for sample in samples.into_iter().take(SAMPLES_MAX) {
                    relay.traffic.detect_rise(sample, now);
                }
            }
            PeerRequest::Stalls(report) => {
                let from = Peer::Member(connection.number);
                let (waits, lives) = (&report.waits, &report.lives);
                let (stalls, now) = (&relay.traffic.stalls, Instant::now());
                relay.record_returns(lives, now);
                if let Some(answers) = &report.answers {
                    relay.fleet.stalls.lives.record_reported(answers, now);
                }
                stalls.record(from, waits, lives, now);
            }
            PeerRequest::Follow(request) => {
                check_version(request.version)?;
                let held = hold_request(follower, &request, last_sent).await;
                last_sent = Some(follower.change_count());
                let (answer, document) = answer(follower, registry, &request, held);
                let send = async {
                    link::send(&conn, &answer).await?;
                    match document {
                        Some(document) => link::send_bytes(&conn, &document).await,
                        None => Ok(()),
                    }
                };
                link::within(SEND_TIMEOUT, send).await?;
            }
            PeerRequest::Traffic(request) => {
                check_version(request.version)?;
                let takes_notices = match request.requester {
                    Requester::Box => request.takes_rises,
                    Requester::Hub => request.takes_stalls,
                };
                if takes_notices && told.is_none() {
                    told = Some(Told::new(relay, request.requester));
                }
                let answer = session.answer(relay, connection.number, *request);
                link::within(SEND_TIMEOUT, link::send(&conn, &answer)).await?;
            }
            PeerRequest::Tunnel(request) => {
                check_version(request.version)?;
                // A tunnel counts against the limit on tunnels instead.
                drop(open);
                drop(connection);
                drop(holding);
                // Boxed, as the futures of all connections would hold it otherwise.
                return Box::pin(gateway::serve(conn, relay, registry, &request)).await;
            }
            PeerRequest::Origins(report) => {
                check_version(report.version)?;
                let now = Instant::now();
                let window = relay.origins.window();
                for record in report.records.into_iter().take(origins::RECORDS_MAX) {
                    relay.origins.table.insert(record, window, now);
                }
            }
            PeerRequest::Origin(request) => {
                check_version(request.version)?;
                let answer = origins::answer(relay, &request);
                link::within(SEND_TIMEOUT, link::send(&conn, &answer)).await?;
            }
            PeerRequest::Recall(request) => {
                check_version(request.version)?;
                let answer = cached_parts(&relay.traffic);
                link::within(SEND_TIMEOUT, link::send(&conn, &answer)).await?;
            }
        }
    }
}

/// What a box was told at once.
struct Told {
    requester: Requester,
    /// Number of rises before the next one for it.
    rises: u64,
    /// Number of changes of the servers that stand still.
    stalls: u64,
    /// Number of servers that have answered again.
    returns: u64,
}

impl Told {
    /// A box, or a hub, that gets an answer with the servers that stand still.
    fn new(relay: &Relay, requester: Requester) -> Self {
        Self {
            requester,
            rises: relay.traffic.notices.count(),
            stalls: relay.traffic.stalls.changes(),
            returns: relay.traffic.stalls.returns(),
        }
    }

    /// What is new since the last call.
    fn update(&mut self, relay: &Relay, session: &mut session::Session) -> Option<Notices> {
        let rises = relay.traffic.notices.rises_after(self.rises);
        self.rises = relay.traffic.notices.count();
        let changes = relay.traffic.stalls.changes();
        let has_changed = std::mem::replace(&mut self.stalls, changes) != changes;
        let returns = relay.traffic.stalls.returns();
        let has_returned = std::mem::replace(&mut self.returns, returns) != returns;
        let returned = match has_returned {
            true => relay.traffic.stalls.returned(Instant::now()),
            false => Vec::new(),
        };
        if self.requester == Requester::Hub {
            let stalls = has_changed.then(|| relay.traffic.stalls.detected());
            let is_any = stalls.is_some() || has_returned;
            return is_any.then(|| Notices::of_notices(Vec::new(), stalls, None, returned));
        }
        let stalls = has_changed.then(|| relay.traffic.stalls.all());
        if stalls.is_none() && rises.is_empty() && !has_returned {
            return None;
        }
        let lives = session.lives_to_tell(relay, Requester::Box, Instant::now());
        Some(Notices::of_notices(rises, stalls, lives, returned))
    }
}

/// Sends rises, stalls and lives to a box until it sends the first byte of its next request.
async fn send_notices(
    conn: &mut Conn,
    relay: &Relay,
    session: &mut session::Session,
    told: &mut Told,
) -> Result<(), Error> {
    loop {
        if let Some(answer) = told.update(relay, session) {
            link::within(SEND_TIMEOUT, link::send(conn, &answer)).await?;
            continue;
        }
        let request = async {
            link::within(IDLE_TIMEOUT, link::wait_for_first_byte(conn)).await?;
            Ok(true)
        };
        let announced = async {
            relay.traffic.notices.announced.wait().await;
            Ok(false)
        };
        if request.or(announced).await? {
            return Ok(());
        }
    }
}

fn check_version(version: u16) -> Result<(), Error> {
    if version != VERSION {
        return Err(Error::Malformed(format!("version {version}")));
    }
    Ok(())
}

/// Receives the next request. The connection may be idle for `IDLE_TIMEOUT` before it;
/// once it has begun, it has to arrive within `MESSAGE_TIMEOUT`.
async fn receive(conn: &mut Conn, holding: &Holding) -> Result<PeerRequest, Error> {
    link::within(IDLE_TIMEOUT, link::wait_for_first_byte(conn)).await?;
    link::within(
        MESSAGE_TIMEOUT,
        link::receive_held(conn, REQUEST_BYTES_MAX, holding),
    )
    .await
}

/// A connected box; its report is discarded when the connection ends.
struct Connection<'a> {
    traffic: &'a Traffic,
    number: u64,
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        self.traffic.remove_peer(&Peer::Member(self.number));
    }
}

/// The answer to a request for the cached prompt parts known here.
fn cached_parts(traffic: &Traffic) -> recall::Answer {
    recall::Answer {
        version: VERSION,
        progress: traffic.progress(),
        kept: traffic.index.export(Instant::now()),
    }
}

/// Holds a long-poll request until there is a change and this box can confirm that its
/// data is current; returns for how long it was held. `last_sent`: the count of changes
/// that the last answer included.
async fn hold_request(follower: &Follower, request: &Request, last_sent: Option<u64>) -> Duration {
    let Some(options) = &request.options else {
        return Duration::ZERO;
    };
    let start = Instant::now();
    let limit = Duration::from_millis(options.wait_ms.into()).min(HOLD_MAX);
    let change = async {
        let is_new = || last_sent != Some(follower.change_count());
        while !is_new() || !is_confirmed(follower, request) {
            follower.wait_for_change().await;
        }
        // Collects further changes that follow shortly.
        Timer::after(GATHER_DELAY).await;
    };
    if options.after.is_none() && limit > Duration::ZERO {
        timeout::within(limit, change).await;
    }
    start.elapsed()
}

/// Whether this box can confirm that its data is current. A requesting box that does not
/// know eras takes such a confirmation to mean that the configuration is the newest, so
/// it gets one only when that is certain.
fn is_confirmed(follower: &Follower, request: &Request) -> bool {
    let now = Instant::now();
    let knows_eras = request
        .options
        .as_ref()
        .is_some_and(|options| options.in_force.is_some());
    match knows_eras {
        true => follower.advertised_status(now).followed_ms.is_some(),
        false => follower.shareable_age(now).is_some(),
    }
}

/// The servers and position for a requesting box that gets nothing because this box
/// cannot confirm its data, or because it wants only the operator entries.
fn no_servers(request: &Request) -> (Servers, Position) {
    (Servers::Changes(Vec::new()), request.position)
}

/// The answer to a request that was held for `held`, and the configuration document that
/// follows it.
fn answer(
    follower: &Follower,
    registry: &Registry,
    request: &Request,
    held: Duration,
) -> (Answer, Option<Rc<[u8]>>) {
    let now = Instant::now();
    let is_confirmed = is_confirmed(follower, request);
    let operator_only = request
        .options
        .as_ref()
        .is_some_and(|options| options.operator_only);
    let document = match &request.options {
        // The requesting box would not apply any of it.
        Some(_) if !is_confirmed && !operator_only => None,
        _ => follower.document_for(request),
    };
    let (servers, position) = match &request.options {
        None => follower.servers_after(request.position),
        Some(_) if !is_confirmed || operator_only => no_servers(request),
        Some(options) => {
            let cursor = Cursor {
                position: request.position,
                after: options.after.clone(),
                complete_revision: options.complete_revision(),
            };
            let (part, position) = follower.servers_part(&cursor);
            (Servers::Part(part), position)
        }
    };
    let boxes = request.options.as_ref().filter(|_| is_confirmed);
    let boxes = boxes.and_then(|options| registry.list_for(options.boxes));
    let answer = Answer {
        version: VERSION,
        number: request.number,
        age_ms: follower.shareable_age(now).map(as_ms),
        known_ms: follower.confirmed_age(now).map(as_ms),
        revision: follower.revision().number(),
        status: Some(follower.advertised_status(now)),
        document_bytes: document.as_ref().map(|bytes| bytes.len() as u32),
        emptied: Some(follower.emptied()),
        rollouts: Some(follower.relay().rollouts.list(now)),
        servers,
        position,
        // Rounded down, so that a confirmation never looks newer than it is.
        held_ms: held.as_millis() as u64,
        boxes,
    };
    (answer, document)
}

/// Rounded up, so that a confirmation never looks newer than it is.
fn as_ms(age: Duration) -> u64 {
    age.as_millis() as u64 + 1
}
