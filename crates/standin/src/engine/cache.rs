//! The prefix cache: blocks of tokens, each identified by the hash of all text up
//! to its end. The least recently used block is evicted.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::oracle::TOKEN_BYTES;

/// Tokens of one block.
pub const BLOCK_TOKENS: u64 = 64;
/// Published changes that are kept for readers.
const CHANGES_MAX: usize = 4096;
/// One change in this many is never published, which leaves a gap in the numbers.
const GAP_INTERVAL: u64 = 50;

/// A change of the cache, as published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its number; there may be gaps between numbers.
    pub number: u64,
    /// The block's hash.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
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

    /// The hashes of the complete blocks of a text.
    pub fn block_hashes(text: &str) -> Vec<u64> {
        let size = (BLOCK_TOKENS * TOKEN_BYTES) as usize;
        let mut hash = 0;
        let whole = text.as_bytes().chunks_exact(size);
        whole
            .map(|block| {
                hash = xxh3_64_with_seed(block, hash);
                hash
            })
            .collect()
    }

    /// Number of tokens in the cached blocks at the start of `hashes`.
    pub fn hit(&self, hashes: &[u64]) -> u64 {
        let cached = hashes.iter().take_while(|hash| self.blocks.contains(hash));
        cached.count() as u64 * BLOCK_TOKENS
    }

    /// Stores the blocks of a text, the last block first, so that the end of the
    /// text is evicted before its start.
    pub fn store(&mut self, hashes: &[u64]) {
        for hash in hashes.iter().rev() {
            if self.blocks.get(hash).is_some() {
                continue;
            }
            if let Some((dropped, ())) = self.blocks.push(*hash, ()) {
                self.publish(dropped, false);
            }
            self.publish(*hash, true);
        }
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is cached.
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
        if self.number.is_multiple_of(GAP_INTERVAL) {
            return;
        }
        let change = Change {
            number: self.number,
            block,
            stored,
        };
        self.changes.push_back((Instant::now(), change));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
    }
}
