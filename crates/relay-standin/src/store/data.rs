//! The contents of the store: items, leases and the history of changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde_json::{json, Value};
use tidepier_platform::store::ENTRIES_MAX;

use crate::names;

/// The first era of a store.
const FIRST_ERA: u64 = 1;
/// Largest key that the platform allows, in bytes.
const KEY_BYTES_MAX: usize = 200;
/// Longest lease that the platform allows.
const LEASE_MAX: Duration = Duration::from_secs(600);

/// An answer of the store.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) fields: Value,
    /// The era that its contents belong to; `None` if it says nothing about the contents of
    /// the store.
    pub(crate) era: Option<u64>,
}

#[derive(Debug, Clone)]
pub(crate) struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    /// `None`: the key was removed.
    item: Option<Item>,
}

#[derive(Debug, Clone)]
pub(crate) struct Data {
    /// The era of the store, which rises with each restore from a backup.
    pub(crate) era: u64,
    pub(crate) revision: u64,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    history: VecDeque<Change>,
}

impl Item {
    fn to_json(&self, key: &str) -> Value {
        json!({
            names::KEY: key,
            "value": STANDARD.encode(&self.value),
            names::REVISION: self.revision,
            "created": self.created,
            names::LEASE: self.lease,
        })
    }
}

impl Default for Data {
    fn default() -> Self {
        Self {
            era: FIRST_ERA,
            revision: 0,
            compacted: 0,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
        }
    }
}

impl Data {
    pub(crate) fn reply(&self, status: u16, fields: Value) -> Reply {
        let era = Some(self.era);
        Reply {
            status,
            fields,
            era,
        }
    }

    pub(crate) fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.items.get(key).map(|item| item.value.clone())
    }

    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Takes the contents of `backup`, in the next era.
    pub(crate) fn restore(&mut self, backup: &Self) {
        let era = self.era + 1;
        *self = Self {
            era,
            ..backup.clone()
        };
    }

    pub(crate) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Ends expired leases and removes their keys; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            self.end_lease(*id);
        }
        !expired.is_empty()
    }

    /// Ends a lease and removes its keys; returns whether it existed.
    pub(crate) fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !held.is_empty() {
            self.revision += 1;
        }
        for key in held {
            self.remove(&key);
        }
        true
    }

    pub(crate) fn grant_lease(&mut self, body: &Value, least: Duration) -> Reply {
        let Some(asked) = body[names::TTL].as_u64() else {
            return refusal(400, "no time for the lease");
        };
        let ttl = Duration::from_millis(asked).clamp(least, LEASE_MAX);
        self.last_lease += 1;
        let until = Instant::now() + ttl;
        self.leases.insert(self.last_lease, Lease { ttl, until });
        let fields = json!({ names::LEASE: self.last_lease, names::TTL: ttl.as_millis() as u64 });
        self.reply(200, fields)
    }

    pub(crate) fn renew_lease(&mut self, id: u64) -> Reply {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.until = Instant::now() + lease.ttl;
                let ttl_ms = lease.ttl.as_millis() as u64;
                self.reply(200, json!({ names::TTL: ttl_ms }))
            }
            None => refusal(404, "no such lease"),
        }
    }

    pub(crate) fn item(&self, key: &str) -> Reply {
        match self.items.get(key) {
            Some(item) => {
                let mut fields = item.to_json(key);
                fields[names::STORE_REVISION] = self.revision.into();
                self.reply(200, fields)
            }
            None => self.reply(404, json!({ names::STORE_REVISION: self.revision })),
        }
    }

    /// One page of the items under `prefix`, starting at the key `from`.
    pub(crate) fn page(&self, prefix: &str, from: &str, most: usize) -> Reply {
        let start = if from > prefix { from } else { prefix };
        let found = self.items.range(start.to_owned()..);
        let mut found = found.take_while(|(key, _)| key.starts_with(prefix));
        let page = found.by_ref().take(most);
        let entries: Vec<Value> = page.map(|(key, item)| item.to_json(key)).collect();
        let more = found.next().is_some();
        let fields = json!({ names::ENTRIES: entries, names::MORE: more, names::STORE_REVISION: self.revision });
        self.reply(200, fields)
    }

    /// Changes under `prefix` after the revision `after`; `None` if there are none yet.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Option<Reply> {
        if after < self.compacted || after > self.revision {
            return Some(self.reply(410, json!({ "error": "this history is gone" })));
        }
        let new = self.history.iter().filter(|change| change.revision > after);
        let new = new.filter(|change| change.key.starts_with(prefix));
        let events: Vec<Value> = new.map(Change::to_json).collect();
        (!events.is_empty()).then(|| self.events(events))
    }

    pub(crate) fn events(&self, events: Vec<Value>) -> Reply {
        self.events_as_of(events, self.revision)
    }

    pub(crate) fn events_as_of(&self, events: Vec<Value>, revision: u64) -> Reply {
        self.reply(
            200,
            json!({ "events": events, names::STORE_REVISION: revision }),
        )
    }

    pub(crate) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map(|item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            lease,
        };
        self.items.insert(key.into(), item.clone());
        self.record_change(key, Some(item));
    }

    pub(crate) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record_change(key, None);
        }
    }

    fn record_change(&mut self, key: &str, item: Option<Item>) {
        self.history.push_back(Change {
            key: key.into(),
            revision: self.revision,
            item,
        });
    }

    pub(crate) fn txn(&mut self, body: &Value, most_bytes: usize) -> Reply {
        let empty = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&empty);
        let (expected, write, remove) = (
            rows(names::EXPECTED),
            rows(names::WRITE),
            rows(names::REMOVE),
        );
        if expected.len() + write.len() + remove.len() > ENTRIES_MAX {
            return refusal(400, "too many rows");
        }
        let mut puts = Vec::new();
        for row in write {
            let key = row[names::KEY].as_str().unwrap_or_default();
            let value = STANDARD.decode(row["value"].as_str().unwrap_or("-"));
            let Some(value) = value.ok().filter(|value| value.len() <= most_bytes) else {
                return refusal(400, "a value is too large or no base64");
            };
            puts.push((key, value, row[names::LEASE].as_u64().unwrap_or(0)));
        }
        let removed = remove.iter().map(|key| key.as_str().unwrap_or_default());
        let removed: Vec<&str> = removed.collect();
        let keys = puts.iter().map(|put| put.0).chain(removed.iter().copied());
        if let Some(refused) = keys.into_iter().find_map(refuse_key) {
            return refused;
        }
        if !expected.iter().all(|row| self.condition_holds(row)) {
            return self.reply(412, json!({ names::ENTRIES: self.current_items(expected) }));
        }
        let leases = puts.iter().map(|put| put.2).filter(|lease| *lease != 0);
        if leases.into_iter().any(|id| !self.leases.contains_key(&id)) {
            return refusal(404, "no such lease");
        }
        if !puts.is_empty() || removed.iter().any(|key| self.items.contains_key(*key)) {
            self.revision += 1;
        }
        for (key, value, lease) in puts {
            self.put(key, value, lease);
        }
        for key in removed {
            self.remove(key);
        }
        self.reply(200, json!({ names::REVISION: self.revision }))
    }

    fn condition_holds(&self, row: &Value) -> bool {
        let key = row[names::KEY].as_str().unwrap_or_default();
        let now = self.items.get(key).map_or(0, |item| item.revision);
        row[names::REVISION].as_u64() == Some(now)
    }

    /// The current items of the keys in the conditions; missing keys are left out.
    fn current_items(&self, expected: &[Value]) -> Vec<Value> {
        let keys = expected.iter().filter_map(|row| row[names::KEY].as_str());
        let items = keys.filter_map(|key| Some(self.items.get(key)?.to_json(key)));
        items.collect()
    }
}

impl Change {
    fn to_json(&self) -> Value {
        match &self.item {
            Some(item) => item.to_json(&self.key),
            None => {
                json!({ names::KEY: self.key, names::REVISION: self.revision, "deleted": true })
            }
        }
    }
}

/// A refusal if the system may not write this key.
fn refuse_key(key: &str) -> Option<Reply> {
    if key.starts_with(names::OPERATOR) || key.starts_with(names::SERVERS) {
        return Some(refusal(403, "not for the system to write"));
    }
    (key.is_empty() || key.len() > KEY_BYTES_MAX).then(|| refusal(400, "a key's length"))
}

pub(crate) fn refusal(status: u16, why: &str) -> Reply {
    let fields = json!({ "error": why });
    let era = None;
    Reply {
        status,
        fields,
        era,
    }
}
