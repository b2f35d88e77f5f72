//! The log of the newest placements, for other boxes.
//!
//! Each reader has a position in the log and gets the rows after it. A reader that is far
//! behind gets the newest rows only: a placement that is omitted costs one copy or prefill,
//! and its next use is reported again.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

use crate::fleet::Key;

/// Maximum number of rows in the log: those of the last six seconds at 80 rows a second.
const LOG_ROWS_MAX: usize = 512;

/// A prompt part that was sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Key)", into = "(u64, Key)")]
pub struct Placement {
    /// The last shared part of the prompt.
    pub part: u64,
    /// The server.
    pub server: Key,
}

impl From<(u64, Key)> for Placement {
    fn from((part, server): (u64, Key)) -> Self {
        Self { part, server }
    }
}

impl From<Placement> for (u64, Key) {
    fn from(row: Placement) -> Self {
        (row.part, row.server)
    }
}

/// A position in a log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Random id of the log, new with each start of its process; 0 is never used.
    life: u64,
    /// Number of rows before this position.
    rows: u64,
}

/// The rows that a reader has not got yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The newest rows.
    pub rows: Vec<Placement>,
    /// Number of rows omitted for want of room.
    pub omitted: u32,
    /// The reader's position after all of these rows.
    pub position: Position,
}

/// Where a row or a report came from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Peer {
    /// A box that sends requests to this one, by the number that it got here.
    Member(u64),
    /// The hub of this hall, to which this box sends requests.
    Hub,
    /// The hub of another hall.
    Hall(ids::Hall),
}

impl Peer {
    /// Whether this peer sends requests to this box.
    pub fn is_member(&self) -> bool {
        matches!(self, Self::Member(_))
    }
}

/// The placement log of one process.
pub struct Log {
    life: u64,
    count: Cell<u64>,
    rows: RefCell<VecDeque<(Placement, Option<Peer>)>>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            life: fastrand::u64(1..),
            count: Cell::new(0),
            rows: RefCell::default(),
        }
    }
}

impl Log {
    /// Appends a row; `from` is the peer that reported it, `None` for this box.
    pub fn push(&self, row: Placement, from: Option<Peer>) {
        let mut rows = self.rows.borrow_mut();
        if rows.len() == LOG_ROWS_MAX {
            rows.pop_front();
        }
        rows.push_back((row, from));
        self.count.set(self.count.get() + 1);
    }

    /// The position after all rows.
    fn end(&self) -> Position {
        Position {
            life: self.life,
            rows: self.count.get(),
        }
    }

    /// Returns the newest rows after `position` that are `wanted`, at most `most` of them.
    /// Counts the omitted ones.
    pub fn since(
        &self,
        position: Position,
        most: usize,
        wanted: impl Fn(Option<&Peer>) -> bool,
    ) -> Batch {
        let rows = self.rows.borrow();
        let after = match position.life == self.life {
            true => self.count.get().saturating_sub(position.rows),
            // The position is of another log: all stored rows may be new to this reader.
            false => rows.len() as u64,
        };
        let dropped = after.saturating_sub(rows.len() as u64);
        let unread = rows.iter().rev().take(after as usize);
        let wanted = unread.filter(|(_, from)| wanted(from.as_ref()));
        let mut newest: Vec<Placement> = wanted.map(|(row, _)| *row).collect();
        let left_out = dropped + newest.len().saturating_sub(most) as u64;
        if left_out > 0 {
            metrics::counter!("tidepier_placements_untold_total").increment(left_out);
        }
        newest.truncate(most);
        newest.reverse();
        Batch {
            rows: newest,
            omitted: u32::try_from(left_out).unwrap_or(u32::MAX),
            position: self.end(),
        }
    }
}
