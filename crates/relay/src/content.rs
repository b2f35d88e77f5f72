//! Identifies what a request asks for, regardless of the client's attempt.
//!
//! Each attempt has an id of its own, so the id does not tell whether a request was seen
//! before. Its content does: the caller, the target and the body.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of the content of a request, used in logs and between boxes; or the id of a part of
/// prompts, where these are held in the same way. At 7,000 requests a
/// second, the probability that two different requests of one day have the same hash is 1
/// in 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

/// The content of a request.
#[derive(Debug, Clone, Copy)]
pub struct Parts<'a> {
    /// Method.
    pub method: &'a str,
    /// Host name, without a port, in lower case.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The caller: the account, or the key where there are no accounts.
    pub caller: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Hashes the content of a request.
    pub fn new(parts: &Parts<'_>) -> Self {
        let mut hash = Xxh3::new();
        for text in [parts.method, parts.host, parts.target, parts.caller] {
            // The length keeps two texts apart from their concatenation.
            hash.update(&(text.len() as u64).to_le_bytes());
            hash.update(text.as_bytes());
        }
        hash.update(parts.body);
        Self(hash.digest())
    }

    /// Stands for a part of prompts instead of a content; it shows the id of the part.
    pub fn of_part(part: u64) -> Self {
        Self(part)
    }

    /// The hash as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
