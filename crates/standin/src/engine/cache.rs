//! The prefix cache: blocks of tokens, each named by the hash of all text up
//! to its end, kept by least recent use.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::oracle::TOKEN_BYTES;

/// Tokens of one block.
pub const BLOCK_TOKENS: u64 = 64;
/// Changes kept for readers.
const CHANGES: usize = 4096;
/// Every so many changes one is never published.
const GAP_EVERY: u64 = 50;

/// A change of the cache, as published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its number; numbers may be missing.
    pub number: u64,
    /// The block.
    pub block: u64,
    /// Whether it was stored or dropped.
    pub stored: bool,
}

/// The cache of one engine.
#[derive(Debug)]
pub struct Cache {
    blocks: LruCache<u64, ()>,
    changes: VecDeque<(Instant, Change)>,
    number: u64,
    lag: Duration,
}

impl Cache {
    /// An empty cache of `tokens` tokens whose changes are published after `lag`.
    pub fn new(tokens: u64, lag: Duration) -> Self {
        let blocks = (tokens / BLOCK_TOKENS).max(1) as usize;
        Self {
            blocks: LruCache::new(NonZeroUsize::new(blocks).unwrap_or(NonZeroUsize::MIN)),
            changes: VecDeque::new(),
            number: 0,
            lag,
        }
    }

    /// The names of the whole blocks of a text.
    pub fn names(text: &str) -> Vec<u64> {
        let size = (BLOCK_TOKENS * TOKEN_BYTES) as usize;
        let mut name = 0;
        let whole = text.as_bytes().chunks_exact(size);
        whole
            .map(|block| {
                name = xxh3_64_with_seed(block, name);
                name
            })
            .collect()
    }

    /// Tokens at the start of `names` that are cached.
    pub fn hit(&self, names: &[u64]) -> u64 {
        let cached = names.iter().take_while(|name| self.blocks.contains(name));
        cached.count() as u64 * BLOCK_TOKENS
    }

    /// Stores blocks. The start of a text is used last, so that its end is
    /// dropped first.
    pub fn store(&mut self, names: &[u64]) {
        for name in names.iter().rev() {
            if self.blocks.get(name).is_some() {
                continue;
            }
            if let Some((dropped, ())) = self.blocks.push(*name, ()) {
                self.publish(dropped, false);
            }
            self.publish(*name, true);
        }
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Changes after `number` that are old enough to be published.
    pub fn changes(&self, number: u64) -> Vec<Change> {
        let now = Instant::now();
        let due = self
            .changes
            .iter()
            .filter(|(at, _)| now.saturating_duration_since(*at) >= self.lag);
        let new = due.filter(|(_, change)| change.number > number);
        new.map(|(_, change)| change.clone()).collect()
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.number += 1;
        if self.number.is_multiple_of(GAP_EVERY) {
            return;
        }
        let change = Change {
            number: self.number,
            block,
            stored,
        };
        self.changes.push_back((Instant::now(), change));
        if self.changes.len() > CHANGES {
            self.changes.pop_front();
        }
    }
}
