//! One page: a head that is compared and swapped, and segments that never
//! change.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tidepier_core::store::{Failure, Item, Revision, Store, Swap, Write};
use tidepier_ids as ids;
use tidepier_store::fault;

use crate::entry::{Claimant, Entry, Key};

/// Claims in a head before they are moved to a segment. A head of this size is
/// about 32 KiB, so that a write stays small beside the store's megabyte.
const HEAD_CLAIMS: usize = 512;
/// Lost races for a head before a claim is given up.
const TRIES: u32 = 8;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Segment {
    #[serde(rename = "n")]
    number: u64,
    /// Time of its newest claim, seconds since the Unix epoch.
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

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant holds the key.
    Held,
    /// Another request holds it.
    Earlier(Entry),
    /// It could not be recorded. It may be on the page all the same.
    Failed(String),
}

/// A claim to be recorded.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    pub(crate) entry: Entry,
    /// A claim that its holder has given up without sending; replaced.
    pub(crate) over: Option<ids::Request>,
}

/// A page as one box knows it.
pub struct Page<S> {
    store: S,
    /// Longest time for a call to the store.
    limit: Duration,
    key: String,
    kept: Duration,
    revision: Revision,
    head: Head,
    known: bool,
    /// The keys of each segment.
    segments: BTreeMap<u64, Vec<Key>>,
    /// The claims of all segments, by key.
    old: HashMap<Key, Entry>,
}

impl<S: Store> Page<S> {
    /// The page at `key`; nothing is read yet. Claims are kept for `kept`, and
    /// a call to `store` takes at most `limit`.
    pub fn new(store: S, limit: Duration, key: String, kept: Duration) -> Self {
        Self {
            store,
            limit,
            key,
            kept,
            revision: Revision::default(),
            head: Head::default(),
            known: false,
            segments: BTreeMap::new(),
            old: HashMap::new(),
        }
    }

    /// Records `wishes` together; the verdicts are in their order.
    pub(crate) async fn claim(&mut self, wishes: &[Wish]) -> Vec<Verdict> {
        let mut why = String::from("too many lost races");
        for _ in 0..TRIES {
            if !self.known {
                if let Err(error) = self.read().await {
                    why = error;
                    break;
                }
            }
            let (next, fresh) = self.with(wishes);
            if !fresh {
                return self.verdicts(wishes);
            }
            match self.write(next).await {
                Ok(Swap::Done(_)) => return self.verdicts(wishes),
                // A page is bound to no lease.
                Ok(Swap::Conflict(_) | Swap::LeaseExpired | Swap::EraChanged) => {
                    metrics::counter!("tidepier_claim_conflicts_total").increment(1);
                    self.known = false;
                }
                Err(failure) => {
                    metrics::counter!("tidepier_claim_replies_lost_total").increment(1);
                    why = fault(failure).to_string();
                    self.known = false;
                }
            }
        }
        self.known = false;
        wishes
            .iter()
            .map(|_| Verdict::Failed(why.clone()))
            .collect()
    }

    /// The claimant of a key on the page as last read.
    fn find(&self, wish: &Wish) -> Option<&Entry> {
        let key = &wish.entry.key;
        let in_head = self
            .head
            .entries
            .iter()
            .rev()
            .find(|entry| entry.key == *key);
        in_head.or_else(|| self.old.get(key))
    }

    fn learn(&mut self, number: u64, entries: Vec<Entry>) {
        let keys = entries.iter().map(|entry| entry.key.clone()).collect();
        self.segments.insert(number, keys);
        // A claim that was replaced stands in two segments; the later one counts.
        self.old
            .extend(entries.into_iter().map(|entry| (entry.key.clone(), entry)));
    }

    /// Forgets all segments but those that `stays` holds for.
    fn forget(&mut self, stays: impl Fn(u64) -> bool) {
        let gone: Vec<u64> = self
            .segments
            .keys()
            .copied()
            .filter(|n| !stays(*n))
            .collect();
        for number in gone {
            for key in self.segments.remove(&number).unwrap_or_default() {
                self.old.remove(&key);
            }
        }
    }

    fn verdicts(&self, wishes: &[Wish]) -> Vec<Verdict> {
        let verdict = |wish: &Wish| match self.find(wish) {
            Some(found) if found.claimant.request == wish.entry.claimant.request => Verdict::Held,
            Some(found) => Verdict::Earlier(found.clone()),
            None => Verdict::Failed("the claim is not on its page".into()),
        };
        wishes.iter().map(verdict).collect()
    }

    /// The head with the wishes that are free, and whether there were any.
    fn with(&self, wishes: &[Wish]) -> (Head, bool) {
        let mut head = self.head.clone();
        let mut fresh = false;
        for wish in wishes {
            let taken = head.entries.iter().any(|entry| entry.key == wish.entry.key);
            let found = self.find(wish).map(|entry| entry.claimant.request);
            let replaced = found.is_some() && found == wish.over;
            if replaced {
                head.entries.retain(|entry| entry.key != wish.entry.key);
            }
            if replaced || (found.is_none() && !taken) {
                head.entries.push(wish.entry.clone());
                fresh = true;
            }
        }
        (head, fresh)
    }

    async fn write(&mut self, mut head: Head) -> Result<Swap, Failure> {
        let dropped = self.drop_old(&mut head);
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
        let swap = self.store.swap(&known, &writes, &remove, self.limit).await;
        if let Ok(Swap::Done(revision)) = swap {
            self.revision = revision;
            self.head = head;
            self.forget(|number| !dropped.contains(&number));
            if let Some((number, entries)) = rolled {
                self.learn(number, entries);
            }
        }
        swap
    }

    fn drop_old(&self, head: &mut Head) -> Vec<u64> {
        let oldest = now_seconds().saturating_sub(self.kept.as_secs());
        let (old, kept): (Vec<_>, Vec<_>) = head
            .segments
            .drain(..)
            .partition(|segment| segment.newest < oldest);
        head.segments = kept;
        old.into_iter().map(|segment| segment.number).collect()
    }

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
            self.learn(segment.number, decode(&found.value)?);
        }
        let listed: HashSet<u64> = head.segments.iter().map(|segment| segment.number).collect();
        self.forget(|number| listed.contains(&number));
        self.head = head;
        self.revision = revision;
        self.known = true;
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, String> {
        let read = self.store.get(key, self.limit).await;
        let read = read.map_err(|failure| fault(failure).to_string())?;
        Ok(read.value)
    }

    fn segment_key(&self, number: u64) -> String {
        format!("{}/{number}", self.key)
    }
}

/// Moves a full head's claims to a segment of their own.
fn roll(head: &mut Head) -> Option<(u64, Vec<Entry>)> {
    if head.entries.len() <= HEAD_CLAIMS {
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

/// A claimant for tests of pages.
impl Claimant {
    /// A new claimant of a random request.
    pub fn new(name: ids::Box, incarnation: ids::Incarnation) -> Self {
        Self {
            name,
            incarnation,
            request: ids::Request::random(),
        }
    }
}
