//! Exchange of request data between boxes: which prompt parts were sent to which server,
//! and how many requests of each box are in flight at each server.
//!
//! In each hall one box is the hub. The other boxes of the hall, its members, send it
//! requests several times a second, and it sends requests to the hubs of the other halls.
//! The exchanged data is up to a second old, may be lost, and is bounded in bytes. It
//! improves placement decisions, and nothing depends on it.
//!
//! * [`index`]: which engines cache which parts; [`coverage`]: how much of that a box
//!   learns of.
//! * [`demand`](tidepier_admission::demand): how many requests there are about which
//!   subject, and in which hall.
//! * [`log`]: placements to be reported.
//! * [`notices`]: samples of requests, and rises of subjects, which are sent at once.
//! * [`stalls`]: servers that stand still.
//! * [`tally`]: counts of requests in flight.

pub mod coverage;
pub mod index;
pub mod log;
pub mod notices;
pub mod stalls;
pub mod tally;

use std::cell::Cell;

use serde::{Deserialize, Serialize};
use tidepier_admission::demand::Summary;
use tidepier_admission::rise::Sample;
use tidepier_clock::Instant;
use tidepier_core::request::Prompt;

use crate::fleet::Key;
use index::Index;
use log::{Batch, Log, Peer, Placement, Position};
use notices::Notices;
use tally::{Tally, Totals};

/// Maximum number of rows in one message. This is 1.5 KB, and so 3 KB a second if each box
/// sends a request every 0.4 s and all rows are used, which is twice the measured rate.
pub const ROWS_MAX: usize = 64;

/// How much a box has learned since its start of what the engines cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Progress {
    /// Its own placements, and those that other boxes reported since.
    #[default]
    Started,
    /// Also the lists of the engines of its hall.
    Listed,
    /// Everything that can be learned.
    Done,
}

/// What this box knows of the other boxes' requests.
#[derive(Default)]
pub struct Traffic {
    /// Which engines cache which parts.
    pub index: Index,
    /// Messages that are sent at once.
    pub notices: Notices,
    /// Servers that stand still.
    pub stalls: stalls::Stalls,
    log: Log,
    /// Log position up to which the hub of this hall has all rows.
    hub_position: Cell<Position>,
    tally: Tally,
    last_member_number: Cell<u64>,
    is_hub: Cell<bool>,
    progress: Cell<Progress>,
}

impl Traffic {
    /// Records that this box sent a prompt to a server.
    pub fn sent(&self, prompt: &Prompt, server: Key, now: Instant) {
        if !self.index.record_local(prompt, server, now) {
            return;
        }
        if let Some(subject) = prompt.subject() {
            let part = subject.id;
            self.log.push(Placement { part, server }, None);
        }
    }

    /// Passes a sample of this box's requests on to the hub of the hall.
    pub fn sampled(&self, sample: Sample, now: Instant) {
        match self.is_hub() {
            true => self.detect_rise(sample, now),
            false => self.notices.push_sample(sample),
        }
    }

    /// While this box is the hub of its hall: announces a rise that a sample shows.
    pub fn detect_rise(&self, sample: Sample, now: Instant) {
        let demand = &self.index.demand;
        let usual = demand.reported_share(&sample, now);
        if let Some(rise) = self.notices.detector.record(sample, usual, now) {
            demand.set_rise(rise, now);
            self.notices.announce(rise);
        }
    }

    /// Merges the report of a peer.
    pub fn merge_report(
        &self,
        from: Peer,
        sum: Totals,
        rows: &[Placement],
        omitted: u32,
        now: Instant,
    ) {
        self.tally.report(from.clone(), sum, now);
        self.index.coverage.record_message(rows.len(), omitted);
        for row in rows {
            if self.index.record_remote(row.part, row.server, now) {
                self.log.push(*row, Some(from.clone()));
            }
        }
    }

    /// Drops the counts of a peer that no longer reports.
    pub fn remove_peer(&self, from: &Peer) {
        self.tally.leave(from);
        self.stalls.remove(from, Instant::now());
    }

    /// Requests in flight from other boxes, without those of the peer `but`.
    pub fn others(&self, but: Option<&Peer>, now: Instant) -> Totals {
        self.tally.others(but, now)
    }

    /// Requests in flight from the members, which send requests to this box.
    pub fn members(&self, now: Instant) -> Totals {
        self.tally.members(now)
    }

    /// Recent requests of the members, by service.
    pub fn members_demand(&self, now: Instant) -> Summary {
        self.tally.members_demand(now)
    }

    /// Returns a new number for a box that starts to send requests to this one.
    pub fn next_member_number(&self) -> u64 {
        self.last_member_number
            .set(self.last_member_number.get() + 1);
        self.last_member_number.get()
    }

    /// Whether this box is the hub of its hall.
    pub fn is_hub(&self) -> bool {
        self.is_hub.get()
    }

    /// Records whether this box is the hub of its hall.
    pub fn set_hub(&self, is_hub: bool) {
        self.is_hub.set(is_hub);
    }

    /// How much was learned since the start of what the engines cache.
    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Records how much was learned since the start of what the engines cache.
    pub fn set_progress(&self, progress: Progress) {
        self.progress.set(progress);
    }

    /// New rows for a member: all but those that it reported itself.
    pub fn rows_for_member(&self, member: &Peer, position: Position) -> Batch {
        let wanted = |from: Option<&Peer>| from != Some(member);
        self.log.since(position, ROWS_MAX, wanted)
    }

    /// Rows of this box and of its members that no hub of this hall has got yet.
    pub fn rows_for_hub(&self) -> Batch {
        self.rows_of_hall(self.hub_position.get())
    }

    /// Records that the hub has all rows up to a position.
    pub fn set_hub_position(&self, position: Position) {
        self.hub_position.set(position);
    }

    /// New rows of this box and of its members, for another hall.
    pub fn rows_of_hall(&self, position: Position) -> Batch {
        let wanted = |from: Option<&Peer>| from.is_none_or(Peer::is_member);
        self.log.since(position, ROWS_MAX, wanted)
    }
}
