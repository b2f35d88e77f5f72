//! Rendezvous order (Thaler and Ravishankar 1998): every box computes the same
//! order of candidates for a key, and adding or removing a candidate moves only
//! that candidate's share of the keys.

use std::fmt::Display;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rank of `candidate` for `key`; the highest rank comes first.
pub fn rank(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// `candidates` in rendezvous order for `key`.
pub fn by_rendezvous<T: Display + Ord>(
    key: u64,
    candidates: impl IntoIterator<Item = T>,
) -> Vec<T> {
    let ranked = candidates.into_iter().map(|candidate| {
        let rank = rank(key, &candidate.to_string());
        (std::cmp::Reverse(rank), candidate)
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort();
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
