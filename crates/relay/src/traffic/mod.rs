//! What boxes tell each other of the requests that they place: where parts of
//! prompts were sent, and how many requests each has under way at each server.
//!
//! In each hall one box, the hub, is asked by the others several times a second
//! and asks the hubs of the other halls. What is told this way is up to a
//! second old, may be lost, and is bounded in bytes; it makes decisions better
//! and nothing depends on it.
//!
//! * [`index`]: which engines keep which parts; [`coverage`]: how much of that
//!   a box hears.
//! * [`log`]: placements to be told.
//! * [`tally`]: counts of requests under way.

pub mod coverage;
pub mod index;
pub mod log;
pub mod tally;

use std::cell::Cell;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::request::Prompt;

use crate::fleet::Key;
use index::Index;
use log::{Batch, Log, Peer, Placement, Position};
use tally::{Tally, Totals};

/// Most rows in one message: 1.5 KB, and so 3 KB a second where each box asks
/// each 0.4 s and all rows are used, which is twice what was measured.
pub const ROWS_MAX: usize = 64;

/// How much a box has learned since its start of what engines keep.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Progress {
    /// What it has placed itself, and what others told of theirs.
    #[default]
    Started,
    /// What the engines of its hall keep, too.
    Listed,
    /// All there is to know.
    Done,
}

/// What this box knows of the fleet's requests beyond its own.
#[derive(Default)]
pub struct Traffic {
    /// Which engines keep which parts.
    pub index: Index,
    log: Log,
    /// Place in the log up to which the hub of this hall was told.
    told: Cell<Position>,
    tally: Tally,
    joined: Cell<u64>,
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

    /// Takes over what a peer told.
    pub fn merge_report(
        &self,
        from: Peer,
        sum: Totals,
        rows: &[Placement],
        untold: u32,
        now: Instant,
    ) {
        self.tally.report(from.clone(), sum, now);
        self.index.coverage.record_message(rows.len(), untold);
        for row in rows {
            if self.index.record_remote(row.part, row.server, now) {
                self.log.push(*row, Some(from.clone()));
            }
        }
    }

    /// Forgets the counts of a peer that no longer reports.
    pub fn remove_peer(&self, from: &Peer) {
        self.tally.leave(from);
    }

    /// Requests under way at other boxes, without those of `but`.
    pub fn others(&self, but: Option<&Peer>, now: Instant) -> Totals {
        self.tally.others(but, now)
    }

    /// Requests under way at boxes that ask this one.
    pub fn members(&self, now: Instant) -> Totals {
        self.tally.members(now)
    }

    /// A number for a box that begins to ask.
    pub fn next_member_number(&self) -> u64 {
        self.joined.set(self.joined.get() + 1);
        self.joined.get()
    }

    /// Whether this box is the hub of its hall.
    pub fn is_hub(&self) -> bool {
        self.is_hub.get()
    }

    /// Records whether this box is the hub of its hall.
    pub fn set_hub(&self, is_hub: bool) {
        self.is_hub.set(is_hub);
    }

    /// How much of what engines keep was learned after the start.
    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Records how much of what engines keep was learned after the start.
    pub fn set_progress(&self, progress: Progress) {
        self.progress.set(progress);
    }

    /// New rows for a box that asks this one: all that it did not tell itself.
    pub fn rows_for_member(&self, member: &Peer, place: Position) -> Batch {
        let wanted = |from: Option<&Peer>| from != Some(member);
        self.log.since(place, ROWS_MAX, wanted)
    }

    /// Rows of this box and those that ask it that no hub of this hall has got
    /// yet.
    pub fn rows_for_hub(&self) -> Batch {
        self.rows_of_hall(self.told.get())
    }

    /// Records that the hub has got all rows before a place.
    pub fn set_hub_position(&self, place: Position) {
        self.told.set(place);
    }

    /// New rows of this box and those that ask it, for another hall.
    pub fn rows_of_hall(&self, place: Position) -> Batch {
        let wanted = |from: Option<&Peer>| from.is_none_or(Peer::is_member);
        self.log.since(place, ROWS_MAX, wanted)
    }
}
