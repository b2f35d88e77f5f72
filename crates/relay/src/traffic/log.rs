//! The placements that other boxes should know of, the newest ones.
//!
//! Each reader of the log has a place in it and gets what came after that. A
//! reader that is far behind gets the newest rows only: a placement that is not
//! told costs a copy or a reading, and its next use is told again.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

use crate::fleet::Key;

/// Rows kept. At 80 rows a second, of the last six seconds.
const ROWS: usize = 512;

/// A part of a prompt that was sent to a server.
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

/// A place in a log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// One life of the log; 0 is no log's.
    life: u64,
    /// Rows before this place.
    rows: u64,
}

/// What is new to a reader of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The newest rows.
    pub rows: Vec<Placement>,
    /// Rows that were left out for want of room.
    pub omitted: u32,
    /// The reader's place after all of them.
    pub place: Position,
}

/// Who told of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Peer {
    /// A box that asks this one, by its number here.
    Member(u64),
    /// The box of this hall that this one asks.
    Hub,
    /// The hub of another hall.
    Hall(ids::Hall),
}

impl Peer {
    /// Whether it asks this box.
    pub fn is_member(&self) -> bool {
        matches!(self, Self::Member(_))
    }
}

/// The log of one process.
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
    /// Appends a row; `from` is who told it, `None` this box.
    pub fn push(&self, row: Placement, from: Option<Peer>) {
        let mut rows = self.rows.borrow_mut();
        if rows.len() == ROWS {
            rows.pop_front();
        }
        rows.push_back((row, from));
        self.count.set(self.count.get() + 1);
    }

    /// The place after all rows.
    fn end(&self) -> Position {
        Position {
            life: self.life,
            rows: self.count.get(),
        }
    }

    /// The newest rows after `place` from those that are `wanted`, at most
    /// `most`. Rows that are left out are counted.
    pub fn since(
        &self,
        place: Position,
        most: usize,
        wanted: impl Fn(Option<&Peer>) -> bool,
    ) -> Batch {
        let rows = self.rows.borrow();
        let after = match place.life == self.life {
            true => self.count.get().saturating_sub(place.rows),
            // A reader that is new here: what is kept may all be news to it.
            false => rows.len() as u64,
        };
        let missed = after.saturating_sub(rows.len() as u64);
        let news = rows.iter().rev().take(after as usize);
        let wanted = news.filter(|(_, from)| wanted(from.as_ref()));
        let mut newest: Vec<Placement> = wanted.map(|(row, _)| *row).collect();
        let left_out = missed + newest.len().saturating_sub(most) as u64;
        if left_out > 0 {
            metrics::counter!("tidepier_placements_untold_total").increment(left_out);
        }
        newest.truncate(most);
        newest.reverse();
        Batch {
            rows: newest,
            omitted: u32::try_from(left_out).unwrap_or(u32::MAX),
            place: self.end(),
        }
    }
}
