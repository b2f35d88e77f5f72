//! One page of claims: a head, which is changed by compare-and-swap and holds the
//! newest claims, and segments with older claims, which never change.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tidepier_core::store::{Failure, Item, Revision, Store, Swap, Write};
use tidepier_ids as ids;
use tidepier_store::fault;

use crate::entry::{Claimant, Entry, Key};

/// Most claims in a head before they are moved to a segment. A head of this size
/// takes about 32 KiB, so that a write stays far below the store's limit of a
/// megabyte.
const HEAD_CLAIMS_MAX: usize = 512;
/// Attempts to write the head, before a claim that meets conflicting or
/// unanswered writes each time is given up.
const ATTEMPTS_MAX: u32 = 8;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Segment {
    #[serde(rename = "n")]
    number: u64,
    /// Time of its newest claim, in seconds since the Unix epoch.
    #[serde(rename = "t")]
    newest: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Head {
    #[serde(rename = "e")]
    entries: Vec<Entry>,
    #[serde(rename = "s")]
    segments: Vec<Segment>,
    #[serde(rename = "n")]
    next: u64,
}

/// The outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant holds the key.
    Held,
    /// Another request holds the key, by this claim.
    Earlier(Entry),
    /// The claim could not be confirmed. It may have been recorded nevertheless.
    Failed(String),
}

/// A claim to be recorded.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) entry: Entry,
    /// The request of an earlier claim, which its holder has given up without
    /// sending the request. This claim replaces that one.
    pub(crate) supersedes: Option<ids::Request>,
}

/// A page, with what this box has read of it.
pub struct Page<S> {
    store: S,
    /// Time-out of a call to the store.
    timeout: Duration,
    key: String,
    retention: Duration,
    revision: Revision,
    head: Head,
    /// Whether head and segments are known as of `revision`.
    is_read: bool,
    /// The keys of each segment.
    segments: BTreeMap<u64, Vec<Key>>,
    /// The claims of all segments, by key.
    archived: HashMap<Key, Entry>,
}

impl<S: Store> Page<S> {
    /// The page at `key`; nothing is read yet. Claims are kept for `retention`,
    /// and a call to `store` takes at most `timeout`.
    pub fn new(store: S, timeout: Duration, key: String, retention: Duration) -> Self {
        Self {
            store,
            timeout,
            key,
            retention,
            revision: Revision::default(),
            head: Head::default(),
            is_read: false,
            segments: BTreeMap::new(),
            archived: HashMap::new(),
        }
    }

    /// Records `requests` in one write. The verdicts are in their order.
    pub(crate) async fn claim(&mut self, requests: &[Request]) -> Vec<Verdict> {
        let mut why = String::from("too many lost races");
        for _ in 0..ATTEMPTS_MAX {
            if !self.is_read {
                if let Err(error) = self.read().await {
                    why = error;
                    break;
                }
            }
            let (next, changed) = self.head_with(requests);
            if !changed {
                return self.verdicts(requests);
            }
            match self.write(next).await {
                Ok(Swap::Done(_)) => return self.verdicts(requests),
                // A page is bound to no lease.
                Ok(Swap::Conflict(_) | Swap::LeaseExpired | Swap::EraChanged) => {
                    metrics::counter!("tidepier_claim_conflicts_total").increment(1);
                    self.is_read = false;
                }
                Err(failure) => {
                    metrics::counter!("tidepier_claim_replies_lost_total").increment(1);
                    why = fault(failure).to_string();
                    self.is_read = false;
                }
            }
        }
        self.is_read = false;
        requests
            .iter()
            .map(|_| Verdict::Failed(why.clone()))
            .collect()
    }

    /// The claim on a request's key, on the page as last read or written.
    fn find(&self, request: &Request) -> Option<&Entry> {
        let key = &request.entry.key;
        let in_head = self
            .head
            .entries
            .iter()
            .rev()
            .find(|entry| entry.key == *key);
        in_head.or_else(|| self.archived.get(key))
    }

    /// Adds the claims of a segment to those known.
    fn add_segment(&mut self, number: u64, entries: Vec<Entry>) {
        let keys = entries.iter().map(|entry| entry.key.clone()).collect();
        self.segments.insert(number, keys);
        // Of a key whose claim was replaced, two segments may hold a claim; that
        // of the later segment counts.
        self.archived
            .extend(entries.into_iter().map(|entry| (entry.key.clone(), entry)));
    }

    /// Drops the known claims of all segments but those for which `stays` is true.
    fn retain_segments(&mut self, stays: impl Fn(u64) -> bool) {
        let dropped: Vec<u64> = self
            .segments
            .keys()
            .copied()
            .filter(|n| !stays(*n))
            .collect();
        for number in dropped {
            for key in self.segments.remove(&number).unwrap_or_default() {
                self.archived.remove(&key);
            }
        }
    }

    fn verdicts(&self, requests: &[Request]) -> Vec<Verdict> {
        let verdict = |request: &Request| match self.find(request) {
            Some(found) if found.claimant.request == request.entry.claimant.request => {
                Verdict::Held
            }
            Some(found) => Verdict::Earlier(found.clone()),
            None => Verdict::Failed("the claim is not on its page".into()),
        };
        requests.iter().map(verdict).collect()
    }

    /// The head with claims added for those requests whose key is free or whose
    /// earlier claim they supersede, and whether there are any.
    fn head_with(&self, requests: &[Request]) -> (Head, bool) {
        let mut head = self.head.clone();
        let mut changed = false;
        for request in requests {
            let taken = head
                .entries
                .iter()
                .any(|entry| entry.key == request.entry.key);
            let found = self.find(request).map(|entry| entry.claimant.request);
            let replaced = found.is_some() && found == request.supersedes;
            if replaced {
                head.entries.retain(|entry| entry.key != request.entry.key);
            }
            if replaced || (found.is_none() && !taken) {
                head.entries.push(request.entry.clone());
                changed = true;
            }
        }
        (head, changed)
    }

    /// Writes the head. In the same write, a full head's claims move to a segment
    /// and expired segments are deleted.
    async fn write(&mut self, mut head: Head) -> Result<Swap, Failure> {
        let dropped = self.drop_expired(&mut head);
        let rolled = roll(&mut head);
        let value = encode(&head);
        let rolled_value = rolled.as_ref().map(|(_, entries)| encode(entries));
        let rolled_key = rolled.as_ref().map(|(number, _)| self.segment_key(*number));
        let dropped_keys: Vec<_> = dropped.iter().map(|n| self.segment_key(*n)).collect();
        let mut writes = vec![put(&self.key, &value)];
        if let (Some(key), Some(value)) = (&rolled_key, &rolled_value) {
            writes.push(put(key, value));
        }
        let remove: Vec<&str> = dropped_keys.iter().map(String::as_str).collect();
        let known = [(self.key.as_str(), self.revision)];
        let swap = self
            .store
            .swap(&known, &writes, &remove, self.timeout)
            .await;
        if let Ok(Swap::Done(revision)) = swap {
            self.revision = revision;
            self.head = head;
            self.retain_segments(|number| !dropped.contains(&number));
            if let Some((number, entries)) = rolled {
                self.add_segment(number, entries);
            }
        }
        swap
    }

    /// Removes the segments from `head` whose claims have all passed their
    /// retention time, and returns their numbers.
    fn drop_expired(&self, head: &mut Head) -> Vec<u64> {
        let oldest = now_seconds().saturating_sub(self.retention.as_secs());
        let (old, kept): (Vec<_>, Vec<_>) = head
            .segments
            .drain(..)
            .partition(|segment| segment.newest < oldest);
        head.segments = kept;
        old.into_iter().map(|segment| segment.number).collect()
    }

    /// Reads the head, and the segments that are not known yet.
    async fn read(&mut self) -> Result<(), String> {
        let found = self.get(&self.key).await?;
        let (head, revision) = match found {
            None => (Head::default(), Revision::default()),
            Some(entry) => (decode::<Head>(&entry.value)?, entry.revision),
        };
        for segment in &head.segments {
            if self.segments.contains_key(&segment.number) {
                continue;
            }
            let key = self.segment_key(segment.number);
            let found = self.get(&key).await?;
            let found = found.ok_or_else(|| format!("segment {key} is missing"))?;
            self.add_segment(segment.number, decode(&found.value)?);
        }
        let listed: HashSet<u64> = head.segments.iter().map(|segment| segment.number).collect();
        self.retain_segments(|number| listed.contains(&number));
        self.head = head;
        self.revision = revision;
        self.is_read = true;
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, String> {
        let read = self.store.get(key, self.timeout).await;
        let read = read.map_err(|failure| fault(failure).to_string())?;
        Ok(read.value)
    }

    fn segment_key(&self, number: u64) -> String {
        format!("{}/{number}", self.key)
    }
}

/// Moves a full head's claims to a new segment. Returns its number and claims.
fn roll(head: &mut Head) -> Option<(u64, Vec<Entry>)> {
    if head.entries.len() <= HEAD_CLAIMS_MAX {
        return None;
    }
    let entries = std::mem::take(&mut head.entries);
    let number = head.next;
    head.next += 1;
    let newest = entries.iter().map(|entry| entry.at).max().unwrap_or(0);
    head.segments.push(Segment { number, newest });
    Some((number, entries))
}

fn put<'a>(key: &'a str, value: &'a [u8]) -> Write<'a> {
    Write {
        key,
        value,
        lease: None,
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory cannot fail for these types.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    ciborium::from_reader(bytes).map_err(|error| format!("claim page: {error}"))
}

pub(crate) fn now_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

impl Claimant {
    /// A claimant with a new random request id.
    pub fn new(name: ids::Box, incarnation: ids::Incarnation) -> Self {
        Self {
            name,
            incarnation,
            request: ids::Request::random(),
        }
    }
}
