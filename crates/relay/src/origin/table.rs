//! The origins of streams that this box began, or keeps for other boxes.
//!
//! Invariant: memory is bounded, whatever clients and other boxes send.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tidepier_clock::Instant;

use super::{Origin, Record, Stream};

/// Most streams, which take 8.5 MB.
pub const STREAMS_MAX: usize = 65_536;

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// `None` if different origins were reported, so that neither counts.
    origin: Option<Origin>,
    until: Instant,
}

/// Origins by stream.
#[derive(Debug, Default)]
pub struct Table {
    entries: RefCell<HashMap<Stream, Entry>>,
    /// The streams by the time at which they expire.
    order: RefCell<BTreeSet<(Instant, Stream)>>,
}

impl Table {
    /// Adds the origin of a stream, for `time`. If the table is full, the stream that
    /// expires first is dropped.
    pub fn insert(&self, record: Record, time: Duration, now: Instant) {
        let Record { stream, origin } = record;
        let until = now + time;
        let mut entries = self.entries.borrow_mut();
        let mut order = self.order.borrow_mut();
        let known = entries.get(&stream).copied();
        let origin = match known {
            Some(known) if known.origin != Some(origin) => None,
            _ => Some(origin),
        };
        if let Some(known) = known {
            order.remove(&(known.until, stream));
        }
        entries.insert(stream, Entry { origin, until });
        order.insert((until, stream));
        if entries.len() > STREAMS_MAX {
            if let Some((_, first)) = order.pop_first() {
                entries.remove(&first);
            }
        }
    }

    /// The origin of a stream, if it is known.
    pub fn get(&self, stream: Stream, now: Instant) -> Option<Origin> {
        let entries = self.entries.borrow();
        let entry = entries.get(&stream).filter(|entry| entry.until > now);
        entry.and_then(|entry| entry.origin)
    }

    /// Removes expired streams.
    pub fn remove_expired(&self, now: Instant) {
        let mut entries = self.entries.borrow_mut();
        let mut order = self.order.borrow_mut();
        while let Some((until, stream)) = order.first().copied() {
            if until > now {
                break;
            }
            order.pop_first();
            entries.remove(&stream);
        }
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }
}
