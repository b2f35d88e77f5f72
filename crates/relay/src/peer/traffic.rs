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
use super::upstream::{ANSWER_TIMEOUT, CONNECT_TIMEOUT, SKIP_TIME, UNCONFIRMED_SKIP_TIME};
use crate::crash::table;
use crate::fleet::lives::{self, Life, Scope, Sent};
use crate::fleet::speeds::Speeds;
use crate::fleet::Key;
use crate::message::link::{self, Error};
use crate::message::stall;
use crate::message::traffic::{Answer, Lives, Report, Request, Requester};
use crate::message::{PeerRequest, VERSION};
use crate::relay::Relay;
use crate::traffic::log::{Batch, Peer, Position};
use crate::traffic::tally::{Baseline, Totals};
use tidepier_admission::demand::Summary;
use tidepier_admission::stall::Wait;

/// Time between two requests, and so the most that each of three hops adds to the age of
/// a report: from a box over two hubs to another box.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two checks whether there is a hub to ask.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Most counts in an answer to a box: 0.4 KB, and so 1 KB a second, at any number of
/// servers; the counts of all of 900 servers would be 18 KB (calculated). With 116
/// servers the median box transfers 41.9 instead of 43.7 kB a second, including the bytes
/// of its clients, and the busiest box 170 instead of 184.
const COUNTS_MAX: usize = 48;

/// Most subjects in one message of which recent requests are reported.
const SUBJECTS_MAX: usize = 64;

/// Most engines in one message of which speeds are reported: 0.6 KB (calculated, at 12
/// bytes each). They change slowly, so that most messages have few.
const SPEEDS_MAX: usize = 48;

/// Most request contents in an answer to a box: 1 KB, and so 2.6 KB a second while
/// hundreds of servers crash at once; none in normal operation (calculated, at 33 bytes
/// for a content with two crashes).
const CRASHES_MAX: RowsMax = RowsMax {
    contents: 32,
    // Up to 160 bytes each.
    parts: 12,
};
/// The same for an answer to a hub: 22 bytes for a content with one crash. If a third of
/// 900 servers crash at once with 8 requests each, there are 2,400 contents; a hub has
/// all of them within 4 s.
const HUB_CRASHES_MAX: RowsMax = RowsMax {
    contents: 256,
    parts: 256,
};

/// The state of one end of a connection: what was sent and received over it.
#[derive(Default)]
pub struct Session {
    /// When this side sent its last request, and how long the last answer took.
    requested: Option<Instant>,
    round_trip: Option<Duration>,
    sent: Baseline,
    received: Totals,
    speeds_sent: Speeds,
    lives_sent: LivesSent,
    /// Positions in the tables of crashes up to which the other side has got the entries.
    crashes_sent: Positions,
}

/// Answers of servers that the other side has got, by the boxes that they answered.
#[derive(Default)]
struct LivesSent {
    /// Of the hall of this box, or those that report to it.
    hall: Sent,
    elsewhere: Sent,
}

/// Positions in the tables of crashes.
#[derive(Default)]
struct Positions {
    contents: u64,
    parts: u64,
}

/// Most rows of the tables of crashes in one message.
#[derive(Clone, Copy)]
struct RowsMax {
    contents: usize,
    parts: usize,
}

/// New rows of the tables of crashes.
struct CrashRows {
    contents: Vec<table::Row>,
    parts: Vec<table::Row>,
}

impl Session {
    fn report(
        &mut self,
        sum: &Totals,
        max_counts: usize,
        placements: Batch,
        crashes: CrashRows,
    ) -> Report {
        Report {
            boxes: sum.boxes,
            counts: self.sent.changes(sum, max_counts),
            load: sum.load.bounded(),
            rows: placements.rows,
            omitted: placements.omitted,
            speeds: self.speeds_sent.update(&sum.speeds, SPEEDS_MAX),
            crashes: crashes.contents,
            part_crashes: crashes.parts,
            ..Report::default()
        }
    }

    /// Crashes recorded since the last message to the other side.
    fn crashes(&mut self, relay: &Relay, scope: table::Scope, max_rows: RowsMax) -> CrashRows {
        let (crashes, sent) = (&relay.crashes, &mut self.crashes_sent);
        let now = Instant::now();
        let (contents, position) =
            crashes
                .table
                .since(sent.contents, max_rows.contents, scope, now);
        sent.contents = position;
        let (parts, position) = crashes.parts.since(sent.parts, max_rows.parts, scope, now);
        sent.parts = position;
        CrashRows { contents, parts }
    }

    /// What this box and those that report to it have to report of servers that have
    /// answered since the last message. The ages include the time on the way, so that a
    /// message that takes long makes no answer look younger than it is.
    fn lives_to_report(&mut self, relay: &Relay, now: Instant) -> Option<Vec<Life>> {
        let way = self.round_trip.unwrap_or(ANSWER_TIMEOUT);
        let lives = &relay.fleet.stalls.lives;
        let lives = lives.updates(&mut self.lives_sent.hall, Scope::Reported, now);
        lives.map(|it| lives::aged(it, way))
    }

    /// The longest time for which an answer that has just come can have been under way, or
    /// `is_notice`, something that was sent without a request.
    fn way(&mut self, is_notice: bool, now: Instant) -> Duration {
        if !is_notice {
            let since = |requested| now.saturating_duration_since(requested);
            self.round_trip = self.requested.take().map(since);
        }
        self.round_trip.unwrap_or(ANSWER_TIMEOUT)
    }

    /// What another box is told of servers that have answered since the last message.
    pub fn lives_to_tell(
        &mut self,
        relay: &Relay,
        requester: Requester,
        now: Instant,
    ) -> Option<Lives> {
        let (lives, sent) = (&relay.fleet.stalls.lives, &mut self.lives_sent);
        let (hall, elsewhere) = match requester {
            Requester::Box => (
                lives.updates(&mut sent.hall, Scope::Hall, now),
                lives.updates(&mut sent.elsewhere, Scope::Elsewhere, now),
            ),
            // Another hall is not told what it tells itself.
            Requester::Hub => (
                lives.updates(&mut sent.hall, Scope::Reported, now),
                Some(Vec::new()),
            ),
        };
        Some(Lives {
            hall: hall?,
            elsewhere: elsewhere?,
        })
    }

    fn apply_report(&mut self, relay: &Relay, from: Peer, report: &Report) {
        self.received.apply(report.boxes, &report.counts);
        self.received.speeds.apply(&report.speeds);
        self.received.demand = report.demand.frequent(0.0, SUBJECTS_MAX);
        self.received.load = report.load.bounded();
        if !report.hall_demand.is_empty() {
            let demand = &relay.traffic.index.demand;
            demand.set_hall(report.hall_demand.clone(), Instant::now());
        }
        relay
            .crashes
            .merge_rows(&report.crashes, &report.part_crashes, Instant::now());
        relay.merge_rollouts(&from, report);
        relay.merge_traffic(from, self.received.clone(), &report.rows, report.omitted);
    }

    /// Answers a request of the box that is registered here as `member`.
    pub fn answer(&mut self, relay: &Relay, member: u64, request: Request) -> Answer {
        let member = Peer::Member(member);
        let now = Instant::now();
        let (sum, max_counts, placements) = match request.requester {
            Requester::Box => {
                self.apply_report(relay, member.clone(), &request.report);
                let waits = &request.report.waits;
                relay
                    .traffic
                    .stalls
                    .record_waits(member.clone(), waits, now);
                if let Some(lives) = &request.report.lives {
                    relay.fleet.stalls.lives.record_reported(lives, now);
                }
                let sum = relay.in_flight_excluding(&member, now);
                (
                    sum,
                    COUNTS_MAX,
                    relay.traffic.rows_for_member(&member, request.position),
                )
            }
            // A hub sums the reports of all halls itself, so it gets this hall's share
            // only.
            Requester::Hub => {
                let sum = relay.in_flight_in_subtree(now);
                (
                    sum,
                    usize::MAX,
                    relay.traffic.rows_of_hall(request.position),
                )
            }
        };
        let (demand, hall_demand) = match request.requester {
            Requester::Box => (
                relay.relevant_demand(&sum.demand),
                relay.traffic.index.demand.hall_summary(now),
            ),
            Requester::Hub => (sum.demand.frequent(0.0, SUBJECTS_MAX), Summary::default()),
        };
        // A content with a single crash matters to hubs only: they combine what their
        // boxes and other hubs saw.
        let crashes = match request.requester {
            Requester::Box => self.crashes(relay, table::Scope::Repeated, CRASHES_MAX),
            Requester::Hub => self.crashes(relay, table::Scope::All, HUB_CRASHES_MAX),
        };
        Answer {
            version: VERSION,
            number: request.number,
            is_hub: relay.traffic.is_hub(),
            position: placements.position,
            takes_samples: true,
            rises: Vec::new(),
            takes_waits: true,
            stalls: match request.requester {
                Requester::Box => Some(relay.traffic.stalls.all()),
                Requester::Hub => Some(relay.traffic.stalls.detected()),
            },
            lives: self.lives_to_tell(relay, request.requester, now),
            report: Report {
                // Only hubs combine the evidence of all boxes.
                trials: match request.requester {
                    Requester::Box => Vec::new(),
                    Requester::Hub => relay.rollouts.evidence.of_hall(now),
                },
                rollouts: relay.rollouts_to_report(now),
                demand,
                hall_demand,
                ..self.report(&sum, max_counts, placements, crashes)
            },
        }
    }
}

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
    loop {
        let due = async {
            (&mut timer).await;
            Ok(true)
        };
        let received = async {
            link::wait_for_first_byte(conn).await?;
            Ok(false)
        };
        if due.or(received).await? {
            return Ok(());
        }
        receive_notice(relay, conn, session, peer).await?;
    }
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
    /// What ends a wait.
    enum Event {
        Due,
        Sampled,
        Waited,
        Received,
    }
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
        let due = async {
            (&mut timer).await;
            Ok(Event::Due)
        };
        let sampled = async {
            notices.sampled.wait().await;
            Ok(Event::Sampled)
        };
        let waited = async {
            relay.traffic.stalls.pending.wait().await;
            Ok(Event::Waited)
        };
        let received = async {
            link::wait_for_first_byte(conn).await?;
            Ok(Event::Received)
        };
        match due.or(sampled).or(waited).or(received).await? {
            Event::Due => return Ok(()),
            Event::Sampled | Event::Waited => {}
            Event::Received => {
                receive_notice(relay, conn, session, &Peer::Hub).await?;
            }
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
    let answer: Answer = link::receive(conn).await?;
    let now = Instant::now();
    let way = session.way(answer.number == 0, now);
    for rise in &answer.rises {
        relay.traffic.index.demand.set_rise(*rise, now);
    }
    let (stalls, lives) = (&relay.fleet.stalls, &relay.fleet.stalls.lives);
    if let Some(told) = &answer.lives {
        let in_hall = lives::aged(told.hall.clone(), way);
        match peer {
            Peer::Hall(_) => lives.set_told_elsewhere(&in_hall, now),
            _ => {
                lives.set_told_of_hall(&in_hall, now);
                lives.set_told_elsewhere(&lives::aged(told.elsewhere.clone(), way), now);
            }
        }
    }
    if *peer == Peer::Hub && answer.number != 0 {
        lives.hear(answer.lives.is_some(), now);
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
    session.requested = Some(Instant::now());
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
