//! The releases that each service has had, in the store.
//!
//! A box that starts does not know which releases served before. Where no other box knows
//! it either, because all of them started together, only the store can tell.
//!
//! Invariants:
//!
//! * A complete entry of a service names every release to which boxes send streams. It
//!   names a release until no server of it has been there for as long as a stream may last,
//!   as observed by one box all that time.
//! * Only a box that has observed the service for that time makes an entry complete. It stays so
//!   within the era of the store in which that was done: a backup may lack later changes.
//! * No entry, or one that is not complete, says nothing of releases that it does not name.

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::era::{Era, Revision};
use tidepier_core::store::{Failure, Store, Swap, Write};
use tidepier_ids as ids;
use tidepier_platform::store::Client;

use super::Name;

/// Prefix of the keys of the entries.
const PREFIX: &str = "tidepier/releases/";
/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long what was read is used again.
const READ_TTL: Duration = Duration::from_secs(1);

/// The value of an entry.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Value {
    /// The names of the releases, `null` for servers that report none.
    releases: Vec<Option<Box<str>>>,
    /// The era of the store in which the entry is complete; absent if it never was, and in
    /// entries of former versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    complete_in: Option<u64>,
}

impl Value {
    fn new(names: &BTreeSet<Name>, complete_in: Option<Era>) -> Self {
        let name = |name: &Name| name.as_ref().map(|name| name.as_str().into());
        Self {
            releases: names.iter().map(name).collect(),
            complete_in: complete_in.map(|era| era.0),
        }
    }

    /// The names; one that is no valid name counts as a release of its own.
    fn names(&self) -> BTreeSet<Name> {
        let name = |name: &Option<Box<str>>| name.as_ref().and_then(|name| name.parse().ok());
        self.releases.iter().map(name).collect()
    }
}

/// The entry of a service as it was read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entry {
    /// The releases; empty if there is no entry.
    pub names: BTreeSet<Name>,
    /// Whether these are all releases of which streams may go on.
    pub is_complete: bool,
    revision: Revision,
    /// The era in which it was read.
    era: Era,
}

/// Reads and writes the entries.
#[derive(Default)]
pub struct Ledger {
    store: OnceCell<Rc<Client>>,
    read: RefCell<HashMap<ids::Service, (Instant, Entry)>>,
}

impl Ledger {
    /// Sets the store; without one nothing is read.
    pub fn set_store(&self, store: Rc<Client>) {
        // It is set once, when the box starts.
        let _ = self.store.set(store);
    }

    /// Whether there is no entry of any service, and the store was never restored: a backup
    /// may lack the entries.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn is_unused(&self) -> Result<bool, Failure> {
        let store = self.store.get().ok_or(Failure::Unavailable)?;
        let read = store.list(PREFIX, false, CALL_TIMEOUT).await?;
        Ok(read.value.is_empty() && read.revision.era() <= Era::FIRST)
    }

    /// The entry of a service, as of a second ago at most.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn recent(&self, service: &ids::Service) -> Result<Entry, Failure> {
        let recent = self.read.borrow().get(service).cloned();
        if let Some((at, entry)) = recent {
            if at.elapsed() < READ_TTL {
                return Ok(entry);
            }
        }
        let asked = Instant::now();
        let entry = self.read(service).await?;
        let mut read = self.read.borrow_mut();
        read.insert(service.clone(), (asked, entry.clone()));
        Ok(entry)
    }

    /// Reads the entry of a service. One that is unreadable names nothing and is not complete,
    /// so that it is replaced and permits nothing until then.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn read(&self, service: &ids::Service) -> Result<Entry, Failure> {
        let store = self.store.get().ok_or(Failure::Unavailable)?;
        let read = store.get(&key(service), CALL_TIMEOUT).await?;
        let era = read.revision.era();
        let Some(item) = read.value else {
            return Ok(Entry {
                era,
                ..Entry::default()
            });
        };
        let value = serde_json::from_slice(&item.value).unwrap_or_else(|error| {
            log::warn!(
                target: "belief",
                "event=releases_invalid service={service} revision={} why=\"{error}\"",
                item.revision
            );
            Value::default()
        });
        Ok(Entry {
            names: value.names(),
            is_complete: value.complete_in == Some(era.0),
            revision: item.revision,
            era,
        })
    }

    /// Replaces the entry that was read by one with these releases, which are all of them if
    /// it `is_complete`. Returns whether it was still the same.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn replace(
        &self,
        service: &ids::Service,
        before: &Entry,
        names: &BTreeSet<Name>,
        is_complete: bool,
    ) -> Result<bool, Failure> {
        let store = self.store.get().ok_or(Failure::Unavailable)?;
        let key = key(service);
        let value = serde_json::to_vec(&Value::new(names, is_complete.then_some(before.era)));
        let value = value.map_err(|error| Failure::Malformed(error.to_string()))?;
        let write = Write {
            key: &key,
            value: &value,
            lease: None,
        };
        let expected = [(key.as_str(), before.revision)];
        let swapped = store.swap(&expected, &[write], &[], CALL_TIMEOUT).await?;
        Ok(matches!(swapped, Swap::Done(_)))
    }
}

fn key(service: &ids::Service) -> String {
    format!("{PREFIX}{service}")
}
