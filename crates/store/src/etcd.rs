//! The store, by the JSON gateway of the etcd v3 API: keys and values in
//! base64, 64-bit numbers as strings.
//!
//! A reply can be lost after a write has taken effect. [`Outcome`] keeps that
//! case apart, so that no caller can take silence for a refusal.

use std::net::SocketAddr;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Answer, Call, Failure, Pool};

/// Largest accepted answer in bytes: a value of a megabyte in base64, and a
/// range of such values.
const ANSWER_BYTES: u64 = 16 << 20;

/// A revision of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub i64);

/// The id of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease(pub i64);

/// A value and the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last write.
    pub revision: Revision,
}

/// How a compare-and-swap ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect.
    Written(Revision),
    /// Another write came first; the write did not take effect.
    Conflict,
    /// No answer: the write may or may not have taken effect.
    Unknown(Fault),
}

/// One write of a transaction.
#[derive(Debug, Clone)]
pub enum Write<'a> {
    /// Sets a key.
    Put {
        /// The key.
        key: &'a str,
        /// Its new value.
        value: &'a [u8],
        /// The lease that the key lives by, if any.
        lease: Option<Lease>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: &'a str,
    },
}

/// A client of the store.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
    limit: Duration,
}

#[derive(Deserialize)]
struct Header {
    #[serde(default)]
    revision: String,
}

#[derive(Deserialize)]
struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Deserialize)]
struct RangeReply {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct TxnReply {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct LeaseReply {
    #[serde(rename = "ID", default)]
    id: String,
}

#[derive(Deserialize)]
struct KeepReply {
    result: KeepResult,
}

#[derive(Deserialize)]
struct KeepResult {
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Deserialize)]
struct WatchLine {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
struct WatchEvent {
    kv: KeyValue,
}

/// A lease kept alive: its remaining time, counted from before the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Kept {
    /// Seconds that the store promised.
    pub seconds: u64,
}

impl Client {
    /// A client of the store at `address`; each call is given up after `limit`.
    pub fn new(pool: Pool, address: SocketAddr, limit: Duration) -> Self {
        Self {
            pool,
            address,
            limit,
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Fault> {
        let reply: RangeReply = self
            .call("range", "/v3/kv/range", &json!({ "key": encode(key) }))
            .await
            .map_err(fault)?;
        let entry = reply.kvs.into_iter().next();
        entry.map(decode_entry).transpose()
    }

    /// Reads every key that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Fault> {
        let mut end = prefix.as_bytes().to_vec();
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        let body = json!({ "key": encode(prefix), "range_end": STANDARD.encode(end) });
        let reply: RangeReply = self
            .call("range", "/v3/kv/range", &body)
            .await
            .map_err(fault)?;
        reply.kvs.into_iter().map(decode_entry).collect()
    }

    /// Writes `writes` together if `key` was last written at `expected`;
    /// revision 0 expects that the key does not exist.
    pub async fn swap(&self, key: &str, expected: Revision, writes: &[Write<'_>]) -> Outcome {
        let compare = json!({
            "key": encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": expected.0.to_string(),
        });
        let success: Vec<Value> = writes.iter().map(operation).collect();
        let body = json!({ "compare": [compare], "success": success });
        match self.call::<TxnReply>("txn", "/v3/kv/txn", &body).await {
            Ok(reply) if reply.succeeded => {
                Outcome::Written(Revision(number(&reply.header.revision)))
            }
            Ok(_) => Outcome::Conflict,
            Err(failure) => Outcome::Unknown(fault(failure)),
        }
    }

    /// Grants a lease of `seconds`.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer; a lease granted all the
    /// same lapses unused.
    pub async fn grant(&self, seconds: u64) -> Result<Lease, Fault> {
        let body = json!({ "TTL": seconds.to_string() });
        let reply: LeaseReply = self
            .call("lease_grant", "/v3/lease/grant", &body)
            .await
            .map_err(fault)?;
        Ok(Lease(number(&reply.id)))
    }

    /// Keeps a lease alive.
    ///
    /// # Errors
    ///
    /// [`Kind::Conflict`] when the lease has lapsed; [`Kind::Store`] when the
    /// store does not answer.
    pub async fn keep(&self, lease: Lease) -> Result<Kept, Fault> {
        let body = json!({ "ID": lease.0.to_string() });
        let reply: KeepReply = self
            .call("lease_keepalive", "/v3/lease/keepalive", &body)
            .await
            .map_err(fault)?;
        match number(&reply.result.ttl) {
            1.. => Ok(Kept {
                seconds: number(&reply.result.ttl) as u64,
            }),
            _ => Err(Fault::new(Kind::Conflict, "the lease has lapsed")),
        }
    }

    /// Gives a lease back.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer.
    pub async fn revoke(&self, lease: Lease) -> Result<(), Fault> {
        let body = json!({ "ID": lease.0.to_string() });
        let reply: Result<Value, Failure> =
            self.call("lease_revoke", "/v3/lease/revoke", &body).await;
        reply.map(|_| ()).map_err(fault)
    }

    /// Watches one key from after `revision`.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer.
    pub async fn watch(&self, key: &str, revision: Revision) -> Result<Watch, Fault> {
        count("watch");
        let create = json!({
            "create_request": {
                "key": encode(key),
                "start_revision": (revision.0 + 1).to_string(),
            }
        });
        let call = Call::post("/v3/watch", create.to_string().into_bytes())
            .once()
            .counted("store");
        let answer = self.pool.send(self.address, &call).await.map_err(fault)?;
        Ok(Watch::new(answer))
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        name: &'static str,
        path: &str,
        body: &Value,
    ) -> Result<T, Failure> {
        count(name);
        let call = Call::post(path, body.to_string().into_bytes()).counted("store");
        let answer = self
            .pool
            .whole(self.address, &call, ANSWER_BYTES, self.limit)
            .await?;
        if answer.status != 200 {
            let detail = format!("the store answered {}", answer.status);
            return Err(Failure::Unknown(std::io::Error::other(detail)));
        }
        serde_json::from_slice(&answer.bytes)
            .map_err(|error| Failure::Unknown(std::io::Error::other(error)))
    }
}

/// A running watch.
pub struct Watch {
    lines: futures_lite::io::Lines<std::pin::Pin<Box<dyn futures_lite::AsyncBufRead + Send>>>,
}

impl Watch {
    fn new(answer: Answer) -> Self {
        use futures_lite::AsyncBufReadExt;
        let reader: std::pin::Pin<Box<dyn futures_lite::AsyncBufRead + Send>> =
            Box::pin(answer.reader());
        Self {
            lines: reader.lines(),
        }
    }

    /// The next written value; waits without limit.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the watch broke off. Writes may then have been
    /// missed: the key has to be read again.
    pub async fn next(&mut self) -> Result<Entry, Fault> {
        use futures_lite::StreamExt;
        loop {
            let line = match self.lines.next().await {
                Some(Ok(line)) => line,
                Some(Err(error)) => return Err(Fault::new(Kind::Store, format!("watch: {error}"))),
                None => return Err(Fault::new(Kind::Store, "the watch ended")),
            };
            if line.trim().is_empty() {
                continue;
            }
            let parsed: WatchLine = serde_json::from_str(&line)
                .map_err(|error| Fault::new(Kind::Store, format!("watch: {error}")))?;
            if let Some(event) = parsed.result.events.into_iter().last() {
                return decode_entry(event.kv);
            }
        }
    }
}

fn count(call: &'static str) {
    metrics::counter!("tidepier_store_calls_total", "call" => call).increment(1);
}

fn fault(failure: Failure) -> Fault {
    Fault::new(Kind::Store, failure.to_string())
}

fn encode(key: &str) -> String {
    STANDARD.encode(key.as_bytes())
}

fn number(text: &str) -> i64 {
    text.parse().unwrap_or(0)
}

fn operation(write: &Write<'_>) -> Value {
    match write {
        Write::Put { key, value, lease } => {
            let mut put = json!({ "key": encode(key), "value": STANDARD.encode(value) });
            if let Some(lease) = lease {
                put["lease"] = json!(lease.0.to_string());
            }
            json!({ "request_put": put })
        }
        Write::Delete { key } => {
            json!({ "request_delete_range": { "key": encode(key) } })
        }
    }
}

fn decode_entry(found: KeyValue) -> Result<Entry, Fault> {
    let bytes = |text: &str| {
        let decoded = STANDARD.decode(text);
        decoded.map_err(|error| Fault::new(Kind::Store, format!("store value: {error}")))
    };
    let key = String::from_utf8(bytes(&found.key)?)
        .map_err(|error| Fault::new(Kind::Store, format!("store key: {error}")))?;
    Ok(Entry {
        key,
        value: bytes(&found.value)?,
        revision: Revision(number(&found.mod_revision)),
    })
}
