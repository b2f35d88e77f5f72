//! Memory of requests' bodies, over a whole process.
//!
//! Invariant: a body grows only while as much of the limit is free as it takes itself, so
//! that a crowd never takes all of it, and small bodies find room beside large ones. In calm, a
//! single body may exceed the limit.

use std::sync::atomic::{AtomicUsize, Ordering};

use tidepier_errors::{Fault, Kind};

/// Divisor of the limit that gives the most that others hold in calm.
const CALM_DIVISOR: usize = 4;

/// The memory of all bodies.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    held: AtomicUsize,
}

/// What one body takes; freed when dropped.
#[derive(Debug)]
pub struct Held<'a> {
    memory: &'a Memory,
    bytes: usize,
}

impl Memory {
    /// Memory for `limit` bytes of bodies.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: AtomicUsize::new(0),
        }
    }

    /// A body that takes nothing yet.
    pub fn held(&self) -> Held<'_> {
        Held {
            memory: self,
            bytes: 0,
        }
    }
}

impl Held<'_> {
    /// Extends it to `bytes`.
    ///
    /// # Errors
    ///
    /// [`Kind::Crowded`]: there is no room.
    pub(crate) fn extend_to(&mut self, bytes: usize) -> Result<(), Fault> {
        let Memory { limit, held } = self.memory;
        let own = self.bytes;
        let extended = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            let others = held - own;
            let fits = others.saturating_add(2 * bytes) <= *limit;
            (fits || others <= limit / CALM_DIVISOR).then_some(others + bytes)
        });
        let full = |_| Fault::new(Kind::Crowded, "no memory for more of the body");
        extended.map_err(full)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
