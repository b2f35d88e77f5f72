//! Exchange of in-flight requests with other boxes.
//!
//! In each hall the boxes exchange reports with the first box in their order, the hub,
//! and the hub with the hubs of the other halls. This does not need the store and goes on
//! while the store is down. A box that does not answer is skipped for a while.

use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};
use tidepier_clock::Instant;
use tidepier_h1::Conn;
use tidepier_ids as ids;

use super::registry::{Member, Registry};
use super::session::{Session, HUB_CRASHES_MAX};
use super::upstream::{ANSWER_TIMEOUT, CONNECT_TIMEOUT, SKIP_TIME, UNCONFIRMED_SKIP_TIME};
use crate::crash::table;
use crate::fleet::lives;
use crate::fleet::Key;
use crate::message::link::{self, Error};
use crate::message::stall;
use crate::message::traffic::{Answer, Report, Request, Requester};
use crate::message::{PeerRequest, VERSION};
use crate::relay::Relay;
use crate::traffic::log::{Peer, Position};
use tidepier_admission::stall::Wait;

/// Time between two requests, and so the most that each of three hops adds to the age of
/// a report: from a box over two hubs to another box.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two checks whether there is a hub to ask.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Exchanges reports with the hub of this hall and, while this box is the hub, with the
/// hubs of the other halls; never returns.
pub async fn run(
    relay: Rc<Relay>,
    registry: Rc<Registry>,
    executor: Rc<LocalExecutor<'static>>,
) -> Infallible {
    let mut halls: HashMap<ids::Hall, smol::Task<Infallible>> = HashMap::new();
    let mut hub = Candidates::default();
    while !registry.is_listed() {
        registry.changed.wait().await;
    }
    loop {
        for hall in registry.other_halls() {
            let task = follow_other_hall(relay.clone(), registry.clone(), hall.clone());
            halls.entry(hall).or_insert_with(|| executor.spawn(task));
        }
        let predecessors = registry.predecessors();
        match hub.first(&predecessors) {
            Some(member) => {
                relay.traffic.set_hub(false);
                if let Err(error) = follow_hub(&relay, member, Requester::Box, Peer::Hub).await {
                    hub.skip(member, &error);
                }
            }
            None => {
                relay.traffic.set_hub(true);
                relay.update_hall_demand();
                let pause = async {
                    Timer::after(REPORT_INTERVAL).await;
                };
                pause.or(registry.changed.wait()).await;
            }
        }
    }
}

/// Requests the reports of another hall's hub while this box is the hub of its own hall.
async fn follow_other_hall(
    relay: Rc<Relay>,
    registry: Rc<Registry>,
    hall: ids::Hall,
) -> Infallible {
    let mut hub = Candidates::default();
    loop {
        let members = registry.members_of(&hall);
        match hub.first(&members) {
            Some(member) if relay.traffic.is_hub() => {
                let peer = Peer::Hall(hall.clone());
                if let Err(error) = follow_hub(&relay, member, Requester::Hub, peer).await {
                    hub.skip(member, &error);
                }
            }
            _ => {
                Timer::after(CHECK_INTERVAL).await;
            }
        }
    }
}

/// Boxes that may be the hub, in their order, without the skipped ones.
#[derive(Default)]
struct Candidates {
    skipped: HashMap<ids::Box, Instant>,
}

impl Candidates {
    fn first<'a>(&mut self, members: &'a [Member]) -> Option<&'a Member> {
        let now = Instant::now();
        self.skipped.retain(|_, until| now < *until);
        let skipped = &self.skipped;
        members
            .iter()
            .find(|member| !skipped.contains_key(&member.name))
    }

    fn skip(&mut self, member: &Member, error: &Error) {
        log::info!(
            target: "peer",
            "event=hub_lost box={} hall={} why=\"{error}\"",
            member.name,
            member.hall
        );
        let time = match error {
            Error::Unconfirmed => UNCONFIRMED_SKIP_TIME,
            _ => SKIP_TIME,
        };
        let until = Instant::now() + time;
        self.skipped.insert(member.name.clone(), until);
    }
}

/// Exchanges reports with one box until it fails, or until this box is no longer the one
/// that has to exchange reports with it.
async fn follow_hub(
    relay: &Relay,
    member: &Member,
    requester: Requester,
    peer: Peer,
) -> Result<(), Error> {
    let mut conn = link::open(relay.network, member.address, CONNECT_TIMEOUT).await?;
    let result = exchange_reports(relay, &mut conn, requester, &peer).await;
    relay.traffic.remove_peer(&peer);
    result
}

async fn exchange_reports(
    relay: &Relay,
    conn: &mut Conn,
    requester: Requester,
    peer: &Peer,
) -> Result<(), Error> {
    let mut session = Session::default();
    let mut position = Position::default();
    // Samples that waited for a hub are old, and would look like many at once.
    relay.traffic.notices.take_samples();
    relay.traffic.stalls.take_lives(Instant::now());
    for number in 1.. {
        let (report, reported) = match requester {
            Requester::Box => {
                let sum = relay.in_flight_in_subtree(Instant::now());
                let placements = relay.traffic.rows_for_hub();
                let reported = placements.position;
                let crashes = session.crashes(relay, table::Scope::All, HUB_CRASHES_MAX);
                let report = Report {
                    trials: relay.rollouts.evidence.of_hall(Instant::now()),
                    demand: sum.demand.clone(),
                    waits: waits(relay, Instant::now()),
                    lives: session.lives_to_report(relay, Instant::now()),
                    ..session.report(&sum, usize::MAX, placements, crashes)
                };
                (report, Some(reported))
            }
            Requester::Hub => (Report::default(), None),
        };
        let request = Request {
            version: VERSION,
            number,
            requester,
            position,
            report,
            takes_rises: matches!(requester, Requester::Box),
            takes_stalls: matches!(requester, Requester::Hub),
        };
        let answer = send_request(relay, conn, &mut session, request, peer).await?;
        if let Some(reported) = reported {
            relay.traffic.set_hub_position(reported);
        }
        position = answer.position;
        session.apply_report(relay, peer.clone(), &answer.report);
        match requester {
            Requester::Hub if !answer.is_hub => return Err(Error::Unconfirmed),
            Requester::Hub if !relay.traffic.is_hub() => break,
            _ => {}
        }
        match requester {
            Requester::Box if answer.takes_samples => {
                exchange_notices(relay, conn, &mut session, answer.takes_waits).await?;
            }
            Requester::Hub => receive_notices(relay, conn, &mut session, peer).await?,
            Requester::Box => {
                Timer::after(REPORT_INTERVAL).await;
            }
        }
    }
    Ok(())
}

/// Receives stalls from the hub of another hall until the next request is due.
async fn receive_notices(
    relay: &Relay,
    conn: &mut Conn,
    session: &mut Session,
    peer: &Peer,
) -> Result<(), Error> {
    let mut timer = Timer::after(REPORT_INTERVAL);
    while receives_before(&mut timer, conn).await? {
        receive_notice(relay, conn, session, peer).await?;
    }
    Ok(())
}

/// Waits until there is something to receive, or until a timer fires. Returns whether there
/// is.
async fn receives_before(timer: &mut Timer, conn: &mut Conn) -> Result<bool, Error> {
    let due = async {
        timer.await;
        Ok(false)
    };
    let received = async {
        link::wait_for_first_byte(conn).await?;
        Ok(true)
    };
    due.or(received).await
}

/// Receives an answer that was sent without a request.
async fn receive_notice(
    relay: &Relay,
    conn: &mut Conn,
    session: &mut Session,
    peer: &Peer,
) -> Result<(), Error> {
    let receive = receive_answer(relay, conn, session, peer);
    let answer = link::within(ANSWER_TIMEOUT, receive).await?;
    match answer.number {
        0 => Ok(()),
        number => Err(Error::Malformed(format!(
            "number {number} without a request"
        ))),
    }
}

/// Sends samples to the hub, and waits if it `takes_waits`, and receives rises and stalls,
/// until the next report is due.
async fn exchange_notices(
    relay: &Relay,
    conn: &mut Conn,
    session: &mut Session,
    takes_waits: bool,
) -> Result<(), Error> {
    let notices = &relay.traffic.notices;
    let mut timer = Timer::after(REPORT_INTERVAL);
    loop {
        let samples = notices.take_samples();
        if !samples.is_empty() {
            let samples = PeerRequest::Samples(samples);
            link::within(ANSWER_TIMEOUT, link::send(conn, &samples)).await?;
        }
        if relay.traffic.stalls.take_pending() && takes_waits {
            let now = Instant::now();
            let report = PeerRequest::Stalls(stall::Report {
                waits: waits(relay, now),
                lives: relay.traffic.stalls.take_lives(now),
                answers: session.lives_to_report(relay, now),
            });
            link::within(ANSWER_TIMEOUT, link::send(conn, &report)).await?;
        }
        let received = async { receives_before(&mut timer, conn).await.map(Some) };
        let pending = async {
            notices
                .sampled
                .wait()
                .or(relay.traffic.stalls.pending.wait())
                .await;
            Ok(None)
        };
        match received.or(pending).await? {
            Some(true) => receive_notice(relay, conn, session, &Peer::Hub).await?,
            Some(false) => return Ok(()),
            None => {}
        }
    }
}

/// The long waits of this box and of those that report to it.
fn waits(relay: &Relay, now: Instant) -> Vec<Wait<Key>> {
    let stalls = &relay.traffic.stalls;
    stalls.record_own_waits(&relay.fleet.waits(now), now);
    stalls.waits(now)
}

/// Receives an answer, and records the rises, stalls and lives in it.
async fn receive_answer(
    relay: &Relay,
    conn: &mut Conn,
    session: &mut Session,
    peer: &Peer,
) -> Result<Answer, Error> {
    let mut answer: Answer = link::receive(conn).await?;
    let now = Instant::now();
    let way = session.way(answer.number == 0, now);
    for rise in &answer.rises {
        relay.traffic.index.demand.set_rise(*rise, now);
    }
    if !answer.returned.is_empty() {
        relay.record_returns(&answer.returned, now);
    }
    let (stalls, lives) = (&relay.fleet.stalls, &relay.fleet.stalls.lives);
    let told = answer.lives.take();
    if *peer == Peer::Hub && answer.number != 0 {
        lives.hear(told.is_some(), now);
    }
    if let Some(told) = told {
        let in_hall = lives::aged(told.hall, way);
        match peer {
            Peer::Hall(_) => lives.set_told_elsewhere(&in_hall, now),
            _ => {
                lives.set_told_of_hall(&in_hall, now);
                lives.set_told_elsewhere(&lives::aged(told.elsewhere, way), now);
            }
        }
    }
    if let Some(told) = &answer.stalls {
        if *peer == Peer::Hub {
            stalls.hear(now);
        }
        relay.traffic.stalls.set_told(peer.clone(), told, now);
    }
    Ok(answer)
}

async fn send_request(
    relay: &Relay,
    conn: &mut Conn,
    session: &mut Session,
    request: Request,
    peer: &Peer,
) -> Result<Answer, Error> {
    let number = request.number;
    session.begin_request(Instant::now());
    link::send(conn, &PeerRequest::Traffic(Box::new(request))).await?;
    let answer = async {
        loop {
            let answer = receive_answer(relay, conn, session, peer).await?;
            // Notices may be under way when a request is sent.
            if answer.number != 0 {
                return Ok(answer);
            }
        }
    };
    let answer = link::within(ANSWER_TIMEOUT, answer).await?;
    if answer.version != VERSION || answer.number != number {
        let why = format!("version {}, number {}", answer.version, answer.number);
        return Err(Error::Malformed(why));
    }
    Ok(answer)
}
