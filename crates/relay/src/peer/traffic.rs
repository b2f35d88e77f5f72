//! Telling other boxes of the requests under way here, and hearing of theirs.
//!
//! In each hall the boxes ask the first one in their order, the hub; the hub
//! asks those of the other halls. This does not need the store and goes on
//! while it is down. A box that does not answer is passed over for a while.

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
use super::upstream::{ANSWER_TIMEOUT, CONNECT_TIMEOUT, PASS_OVER_TIME, UNSURE_TIME};
use crate::crash::table;
use crate::message::link::{self, Error};
use crate::message::traffic::{Answer, Report, Request, Requester};
use crate::message::{PeerRequest, VERSION};
use crate::relay::Relay;
use crate::traffic::log::{Batch, Peer, Position};
use crate::traffic::tally::{Baseline, Totals};

/// Time between two questions: what is told is so old at most on each of three
/// hops, from a box over two hubs to another.
const ASK_TIME: Duration = Duration::from_millis(400);
/// Time between two looks whether boxes have come that are to be asked.
const LOOK_TIME: Duration = Duration::from_secs(1);

/// Most counts in an answer to a box: 0.4 KB, and so 1 KB a second, at any number
/// of servers, where all of 900 servers would be 18 KB (worked out). Before 116
/// servers a middle box has 41.9 instead of 43.7 kB a second, its callers' bytes
/// among them, and the busiest 170 instead of 184.
const COUNTS_MAX: usize = 48;

/// Most contents in an answer to a box: 1 KB, and so 2.6 KB a second while hundreds
/// of servers end at once; none in calm (worked out, of 33 bytes with two ends).
const CRASHES_MAX: usize = 32;
/// The same to a hub: 22 bytes each with one end. A third of 900 servers that end at
/// once, with 8 requests each, are 2,400 contents; a hub has them within 4 s.
const HUB_CRASHES_MAX: usize = 256;

/// One end of a connection: what was told over it, each way.
#[derive(Default)]
pub struct End {
    told: Baseline,
    heard: Totals,
    /// Place in the table of crashes up to which the other side was told.
    crashes_told: u64,
}

impl End {
    fn report(
        &mut self,
        sum: &Totals,
        most: usize,
        news: Batch,
        crashes: Vec<table::Row>,
    ) -> Report {
        Report {
            boxes: sum.boxes,
            counts: self.told.changes(sum, most),
            rows: news.rows,
            untold: news.omitted,
            crashes,
            ..Report::default()
        }
    }

    /// What the other side was not told yet of contents that servers ended under.
    fn crashes(&mut self, relay: &Relay, told: table::Scope, most: usize) -> Vec<table::Row> {
        let table = &relay.crashes.table;
        let (rows, place) = table.since(self.crashes_told, most, told, Instant::now());
        self.crashes_told = place;
        rows
    }

    fn hear(&mut self, relay: &Relay, from: Peer, report: &Report) {
        self.heard.apply(report.boxes, &report.counts);
        relay.crashes.merge_rows(&report.crashes, Instant::now());
        relay.merge_rollouts(&from, report);
        relay.merge_traffic(from, self.heard.clone(), &report.rows, report.untold);
    }

    /// Answers a question of the box with the number `member` here.
    pub fn answer(&mut self, relay: &Relay, member: u64, ask: Request) -> Answer {
        let member = Peer::Member(member);
        let now = Instant::now();
        let (sum, most, news) = match ask.asker {
            Requester::Box => {
                self.hear(relay, member.clone(), &ask.report);
                let sum = relay.in_flight_excluding(&member, now);
                (
                    sum,
                    COUNTS_MAX,
                    relay.traffic.rows_for_member(&member, ask.place),
                )
            }
            // A hub adds up what it is told.
            Requester::Hub => {
                let sum = relay.in_flight_in_subtree(now);
                (sum, usize::MAX, relay.traffic.rows_of_hall(ask.place))
            }
        };
        // One end alone concerns nobody but a hub, which puts together what its boxes
        // and other hubs saw.
        let crashes = match ask.asker {
            Requester::Box => self.crashes(relay, table::Scope::Repeated, CRASHES_MAX),
            Requester::Hub => self.crashes(relay, table::Scope::All, HUB_CRASHES_MAX),
        };
        Answer {
            version: VERSION,
            number: ask.number,
            is_hub: relay.traffic.is_hub(),
            place: news.place,
            report: Report {
                // Only hubs put together what boxes saw.
                trials: match ask.asker {
                    Requester::Box => Vec::new(),
                    Requester::Hub => relay.rollouts.evidence.of_hall(now),
                },
                rollouts: relay.rollouts_to_report(now),
                ..self.report(&sum, most, news, crashes)
            },
        }
    }
}

/// Asks the hub of this hall, and those of the others while this box is the
/// hub; does not end.
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
            let far = ask_hall(relay.clone(), registry.clone(), hall.clone());
            halls.entry(hall).or_insert_with(|| executor.spawn(far));
        }
        let before = registry.predecessors();
        match hub.first(&before) {
            Some(member) => {
                relay.traffic.set_hub(false);
                if let Err(error) = ask(&relay, member, Requester::Box, Peer::Hub).await {
                    hub.pass_over(member, &error);
                }
            }
            None => {
                relay.traffic.set_hub(true);
                let pause = async {
                    Timer::after(ASK_TIME).await;
                };
                pause.or(registry.changed.wait()).await;
            }
        }
    }
}

/// Asks the hub of another hall while this box is the hub of its own.
async fn ask_hall(relay: Rc<Relay>, registry: Rc<Registry>, hall: ids::Hall) -> Infallible {
    let mut hub = Candidates::default();
    loop {
        let members = registry.members_of(&hall);
        match hub.first(&members) {
            Some(member) if relay.traffic.is_hub() => {
                let peer = Peer::Hall(hall.clone());
                if let Err(error) = ask(&relay, member, Requester::Hub, peer).await {
                    hub.pass_over(member, &error);
                }
            }
            _ => {
                Timer::after(LOOK_TIME).await;
            }
        }
    }
}

/// Boxes that may be asked, in their order.
#[derive(Default)]
struct Candidates {
    passed_over: HashMap<ids::Box, Instant>,
}

impl Candidates {
    fn first<'a>(&mut self, members: &'a [Member]) -> Option<&'a Member> {
        let now = Instant::now();
        self.passed_over.retain(|_, until| now < *until);
        let passed_over = &self.passed_over;
        members
            .iter()
            .find(|member| !passed_over.contains_key(&member.name))
    }

    fn pass_over(&mut self, member: &Member, error: &Error) {
        log::info!(
            target: "peer",
            "event=hub_lost box={} hall={} why=\"{error}\"",
            member.name,
            member.hall
        );
        let time = match error {
            Error::Unconfirmed => UNSURE_TIME,
            _ => PASS_OVER_TIME,
        };
        let until = Instant::now() + time;
        self.passed_over.insert(member.name.clone(), until);
    }
}

/// Asks one box until this box is no longer the one to ask it.
async fn ask(relay: &Relay, member: &Member, asker: Requester, peer: Peer) -> Result<(), Error> {
    let mut conn = link::open(member.address, CONNECT_TIMEOUT).await?;
    let asked = ask_on(relay, &mut conn, asker, &peer).await;
    relay.traffic.remove_peer(&peer);
    asked
}

async fn ask_on(
    relay: &Relay,
    conn: &mut Conn,
    asker: Requester,
    peer: &Peer,
) -> Result<(), Error> {
    let mut end = End::default();
    let mut place = Position::default();
    for number in 1.. {
        let (report, told) = match asker {
            Requester::Box => {
                let sum = relay.in_flight_in_subtree(Instant::now());
                let news = relay.traffic.rows_for_hub();
                let told = news.place;
                let crashes = end.crashes(relay, table::Scope::All, HUB_CRASHES_MAX);
                let report = Report {
                    trials: relay.rollouts.evidence.of_hall(Instant::now()),
                    ..end.report(&sum, usize::MAX, news, crashes)
                };
                (report, Some(told))
            }
            Requester::Hub => (Report::default(), None),
        };
        let ask = Request {
            version: VERSION,
            number,
            asker,
            place,
            report,
        };
        let answer = exchange(conn, ask).await?;
        if let Some(told) = told {
            relay.traffic.set_hub_position(told);
        }
        place = answer.place;
        end.hear(relay, peer.clone(), &answer.report);
        match asker {
            Requester::Hub if !answer.is_hub => return Err(Error::Unconfirmed),
            Requester::Hub if !relay.traffic.is_hub() => break,
            _ => {}
        }
        Timer::after(ASK_TIME).await;
    }
    Ok(())
}

async fn exchange(conn: &mut Conn, ask: Request) -> Result<Answer, Error> {
    let number = ask.number;
    link::send(conn, &PeerRequest::Traffic(ask)).await?;
    let answer: Answer = link::within(ANSWER_TIMEOUT, link::receive(conn)).await?;
    if answer.version != VERSION || answer.number != number {
        let why = format!("version {}, number {}", answer.version, answer.number);
        return Err(Error::Malformed(why));
    }
    Ok(answer)
}
