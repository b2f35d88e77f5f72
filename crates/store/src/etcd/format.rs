//! The JSON bodies of the gateway. Keys and values are in base64, 64-bit numbers
//! are text, and fields that are 0 or empty are left out.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::de::{self, Deserializer};
use serde::Deserialize;
use serde_json::{json, Value};
use tidepier_core::store::{Event, Failure, Item, LeaseId, Revision, Write};

/// A 64-bit number, written as text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Number(pub(super) u64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Number).map_err(de::Error::custom)
    }
}

impl Number {
    pub(super) fn revision(self) -> Revision {
        Revision::of(self.0)
    }

    pub(super) fn seconds(self) -> Duration {
        Duration::from_secs(self.0)
    }
}

#[derive(Deserialize, Default)]
pub(super) struct Header {
    #[serde(default)]
    pub(super) revision: Number,
}

#[derive(Deserialize)]
pub(super) struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: Number,
    #[serde(default)]
    lease: Number,
}

impl KeyValue {
    fn key(&self) -> Result<String, Failure> {
        String::from_utf8(bytes(&self.key)?).map_err(|error| malformed("key", &error))
    }

    pub(super) fn item(self) -> Result<Item, Failure> {
        Ok(Item {
            key: self.key()?,
            value: bytes(&self.value)?,
            revision: self.mod_revision.revision(),
            lease: (self.lease.0 != 0).then_some(LeaseId(self.lease.0)),
        })
    }
}

#[derive(Deserialize)]
pub(super) struct Range {
    #[serde(default)]
    pub(super) header: Header,
    #[serde(default)]
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
pub(super) struct Transaction {
    #[serde(default)]
    pub(super) header: Header,
    #[serde(default)]
    pub(super) succeeded: bool,
}

#[derive(Deserialize)]
pub(super) struct Granted {
    #[serde(rename = "ID")]
    pub(super) id: Number,
    #[serde(rename = "TTL", default)]
    pub(super) seconds: Number,
}

#[derive(Deserialize)]
pub(super) struct Renewal {
    pub(super) result: Renewed,
}

/// A renewed lease; 0 seconds mean that it has ended.
#[derive(Deserialize)]
pub(super) struct Renewed {
    #[serde(rename = "TTL", default)]
    pub(super) seconds: Number,
}

/// One line of a watch's answer.
#[derive(Deserialize)]
pub(super) struct Line {
    pub(super) result: Changes,
}

#[derive(Deserialize)]
pub(super) struct Changes {
    #[serde(default)]
    pub(super) header: Header,
    #[serde(default)]
    pub(super) events: Vec<Change>,
    /// If not 0, the store no longer has the changes up to this revision.
    #[serde(default)]
    pub(super) compact_revision: Number,
}

#[derive(Deserialize)]
pub(super) struct Change {
    #[serde(rename = "type", default)]
    kind: Kind,
    kv: KeyValue,
}

#[derive(Deserialize, Default, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
enum Kind {
    #[default]
    Put,
    Delete,
}

impl Change {
    pub(super) fn event(self) -> Result<Event, Failure> {
        match self.kind {
            Kind::Put => self.kv.item().map(Event::Put),
            Kind::Delete => Ok(Event::Delete {
                key: self.kv.key()?,
                revision: self.kv.mod_revision.revision(),
            }),
        }
    }
}

pub(super) fn encode(key: &str) -> String {
    STANDARD.encode(key)
}

/// The end of the range of keys that begin with `prefix`: the first key after
/// them.
pub(super) fn range_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    STANDARD.encode(end)
}

/// The condition that a key is still at a revision.
pub(super) fn unchanged(&(key, revision): &(&str, Revision)) -> Value {
    json!({
        "key": encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": revision.number().to_string(),
    })
}

pub(super) fn put(write: &Write<'_>) -> Value {
    let mut put = json!({ "key": encode(write.key), "value": STANDARD.encode(write.value) });
    if let Some(LeaseId(lease)) = write.lease {
        put["lease"] = json!(lease.to_string());
    }
    json!({ "request_put": put })
}

pub(super) fn delete(key: &&str) -> Value {
    json!({ "request_delete_range": { "key": encode(key) } })
}

fn bytes(text: &str) -> Result<Vec<u8>, Failure> {
    STANDARD
        .decode(text)
        .map_err(|error| malformed("base64", &error))
}

fn malformed(what: &str, error: &dyn std::error::Error) -> Failure {
    Failure::Malformed(format!("{what}: {error}"))
}
