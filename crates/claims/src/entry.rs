//! A claim, its key and its holder.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tidepier_ids as ids;

/// Length of a key.
const KEY_BYTES: usize = 16;

/// The hash of an account, a target and an idempotency key.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(#[serde(with = "serde_bytes")] Vec<u8>);

impl Key {
    /// The key of a request: the same account, target and idempotency key
    /// give the same key on every box.
    pub fn new(account: &ids::Account, target: &str, idempotency: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [account.as_str(), target, idempotency] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part.as_bytes());
        }
        Self(hash.finalize()[..KEY_BYTES].to_vec())
    }

    /// A key from the bytes of a frame; `None` if their number is not that of a
    /// key.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        (bytes.len() == KEY_BYTES).then(|| Self(bytes.to_vec()))
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// The number of the page that holds this key, among `pages` pages.
    pub fn page(&self, pages: u32) -> u32 {
        let start = self.0.first_chunk::<4>().copied().unwrap_or_default();
        u32::from_be_bytes(start) % pages
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The holder of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// The box that may send the request.
    #[serde(rename = "b")]
    pub name: ids::Box,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The request's id, which is random and never used twice.
    #[serde(rename = "r")]
    pub request: ids::Request,
}

/// A claim as it is stored in a page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    #[serde(rename = "k")]
    pub key: Key,
    /// Its holder.
    #[serde(rename = "c")]
    pub claimant: Claimant,
    /// The digest of the request's body, to detect an idempotency key that is
    /// reused for another request.
    #[serde(rename = "d")]
    pub body: ids::Digest,
    /// When it was claimed, in seconds since the Unix epoch.
    #[serde(rename = "t")]
    pub at: u64,
}
