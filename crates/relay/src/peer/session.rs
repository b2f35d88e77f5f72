//! What was sent and received over one connection of the exchange of reports.
//!
//! Reports carry changes only, so that each end keeps what the other side has got.

use std::time::Duration;

use tidepier_admission::demand::Summary;
use tidepier_clock::Instant;

use super::upstream::ANSWER_TIMEOUT;
use crate::crash::table;
use crate::fleet::lives::{self, Life, Scope, Sent};
use crate::fleet::speeds::Speeds;
use crate::message::traffic::{Answer, Lives, Report, Request, Requester};
use crate::message::VERSION;
use crate::relay::Relay;
use crate::traffic::log::{Batch, Peer};
use crate::traffic::tally::{Baseline, Totals};

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
pub(super) const HUB_CRASHES_MAX: RowsMax = RowsMax {
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
pub(super) struct RowsMax {
    contents: usize,
    parts: usize,
}

/// New rows of the tables of crashes.
pub(super) struct CrashRows {
    contents: Vec<table::Row>,
    parts: Vec<table::Row>,
}

impl Session {
    pub(super) fn report(
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
    pub(super) fn crashes(
        &mut self,
        relay: &Relay,
        scope: table::Scope,
        max_rows: RowsMax,
    ) -> CrashRows {
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
    pub(super) fn lives_to_report(&mut self, relay: &Relay, now: Instant) -> Option<Vec<Life>> {
        let way = self.round_trip.unwrap_or(ANSWER_TIMEOUT);
        let lives = &relay.fleet.stalls.lives;
        let lives = lives.updates(&mut self.lives_sent.hall, Scope::Reported, now);
        lives.map(|it| lives::aged(it, way))
    }

    /// Records that this side sends a request.
    pub(super) fn begin_request(&mut self, now: Instant) {
        self.requested = Some(now);
    }

    /// The longest time for which an answer that has just come can have been under way, or
    /// `is_notice`, something that was sent without a request.
    pub(super) fn way(&mut self, is_notice: bool, now: Instant) -> Duration {
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

    pub(super) fn apply_report(&mut self, relay: &Relay, from: Peer, report: &Report) {
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
            returned: Vec::new(),
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
