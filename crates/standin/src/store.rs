//! The platform's key-value store: the part of the etcd v3 JSON gateway that tidepier
//! uses (range, txn, lease grant, keepalive and revoke, watch).

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use event_listener::Event;
use http_types::{Request, Response};
use serde::Serialize;
use serde_json::{json, Value};
use tidepier_errors::{Fault, Kind};
use tidepier_http::body;
use tidepier_http::http_types;
use tidepier_http::server::{Handler, Reply};

use crate::faults::{Counted, Switches};

/// Largest value that the platform's store accepts.
const VALUE_BYTES_MAX: usize = 1 << 20;
/// Bytes that are buffered for a watcher that reads slowly.
const WATCH_BUFFER_BYTES: usize = 4 << 20;

#[derive(Debug, Clone)]
struct Entry {
    value: Vec<u8>,
    created: i64,
    modified: i64,
    lease: i64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct Data {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    calls: BTreeMap<String, u64>,
    writes: u64,
}

/// The key-value store.
#[derive(Debug, Default)]
pub struct Store {
    data: Mutex<Data>,
    changed: Event,
    /// Faults to inject.
    pub switches: Switches,
}

/// Counts of calls.
#[derive(Debug, Clone, Serialize)]
pub struct Counts {
    /// Calls by path.
    pub calls: BTreeMap<String, u64>,
    /// Writes that took effect.
    pub writes: u64,
}

impl Store {
    /// An empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        let data = self.lock();
        Counts {
            calls: data.calls.clone(),
            writes: data.writes,
        }
    }

    /// The value of a key, for tests.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let data = self.lock();
        data.entries
            .get(key.as_bytes())
            .map(|entry| entry.value.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn apply(&self, path: &str, body: &Value) -> Result<Value, Fault> {
        let mut data = self.lock();
        data.expire(Instant::now());
        *data.calls.entry(path.to_string()).or_default() += 1;
        let before = data.revision;
        let result = match path {
            "/v3/kv/range" => data.range(body),
            "/v3/kv/txn" => data.txn(body),
            "/v3/lease/grant" => data.grant(body),
            "/v3/lease/keepalive" => data.keep_alive(body),
            "/v3/lease/revoke" => data.revoke(body),
            _ => Err(Fault::new(Kind::NotFound, path)),
        };
        if data.revision != before {
            self.changed.notify(usize::MAX);
        }
        result
    }

    async fn watch(self: Arc<Self>, body: Value, mut out: piper::Writer) {
        use futures_lite::AsyncWriteExt;
        let create = &body["create_request"];
        let Ok(key) = bytes(&create["key"]) else {
            return;
        };
        let mut next = number(&create["start_revision"]);
        let created = json!({ "result": { "header": {}, "created": true } });
        if out.write_all(line(&created).as_bytes()).await.is_err() {
            return;
        }
        loop {
            let listener = self.changed.listen();
            let found = {
                let data = self.lock();
                data.entries
                    .get(&key)
                    .filter(|entry| entry.modified >= next)
                    .cloned()
            };
            let Some(entry) = found else {
                listener.await;
                continue;
            };
            self.switches.pause().await;
            if self.switches.get().mute_watches {
                return futures_lite::future::pending().await;
            }
            next = entry.modified + 1;
            let event = json!({ "type": "PUT", "kv": entry_json(&key, &entry) });
            let result = json!({ "result": { "header": {}, "events": [event] } });
            if out.write_all(line(&result).as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn line(value: &Value) -> String {
    format!("{value}\n")
}

impl Data {
    fn expire(&mut self, now: Instant) {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.drop_lease(id);
        }
    }

    fn drop_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.lease != id);
        if self.entries.len() != before {
            self.revision += 1;
        }
    }

    fn range(&mut self, body: &Value) -> Result<Value, Fault> {
        let key = bytes(&body["key"])?;
        let kvs: Vec<Value> = match body["range_end"].as_str() {
            None => {
                let found = self.entries.get(&key);
                found
                    .map(|entry| entry_json(&key, entry))
                    .into_iter()
                    .collect()
            }
            Some(_) => {
                let end = bytes(&body["range_end"])?;
                let found = self.entries.range(key..end);
                found.map(|(key, entry)| entry_json(key, entry)).collect()
            }
        };
        Ok(json!({ "header": self.header(), "kvs": kvs }))
    }

    fn txn(&mut self, body: &Value) -> Result<Value, Fault> {
        let compares = body["compare"].as_array().cloned().unwrap_or_default();
        for compare in &compares {
            let key = bytes(&compare["key"])?;
            let entry = self.entries.get(&key);
            let (found, expected) = match compare["target"].as_str() {
                Some("CREATE") => (
                    entry.map_or(0, |e| e.created),
                    number(&compare["create_revision"]),
                ),
                _ => (
                    entry.map_or(0, |e| e.modified),
                    number(&compare["mod_revision"]),
                ),
            };
            if found != expected {
                return Ok(json!({ "header": self.header(), "succeeded": false }));
            }
        }
        let operations = body["success"].as_array().cloned().unwrap_or_default();
        if operations.is_empty() {
            return Ok(json!({ "header": self.header(), "succeeded": true }));
        }
        self.revision += 1;
        self.writes += 1;
        for operation in &operations {
            self.apply_operation(operation)?;
        }
        Ok(json!({ "header": self.header(), "succeeded": true }))
    }

    fn apply_operation(&mut self, operation: &Value) -> Result<(), Fault> {
        if let Some(put) = operation.get("request_put") {
            let key = bytes(&put["key"])?;
            let value = bytes(&put["value"])?;
            if value.len() > VALUE_BYTES_MAX {
                return Err(Fault::new(Kind::TooLarge, "a value over a megabyte"));
            }
            let lease = number(&put["lease"]);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return Err(Fault::new(Kind::NotFound, "the lease has lapsed"));
            }
            let created = self.entries.get(&key).map_or(self.revision, |e| e.created);
            let entry = Entry {
                value,
                created,
                modified: self.revision,
                lease,
            };
            self.entries.insert(key, entry);
        } else if let Some(delete) = operation.get("request_delete_range") {
            self.entries.remove(&bytes(&delete["key"])?);
        }
        Ok(())
    }

    fn grant(&mut self, body: &Value) -> Result<Value, Fault> {
        let ttl = Duration::from_secs(number(&body["TTL"]).max(1) as u64);
        self.next_lease += 1;
        let id = self.next_lease;
        let expires_at = Instant::now() + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        self.writes += 1;
        Ok(
            json!({ "header": self.header(), "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }),
        )
    }

    fn keep_alive(&mut self, body: &Value) -> Result<Value, Fault> {
        let id = number(&body["ID"]);
        let ttl = match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = Instant::now() + lease.ttl;
                lease.ttl.as_secs()
            }
            None => 0,
        };
        self.writes += 1;
        Ok(json!({ "result": { "ID": id.to_string(), "TTL": ttl.to_string() } }))
    }

    fn revoke(&mut self, body: &Value) -> Result<Value, Fault> {
        self.drop_lease(number(&body["ID"]));
        self.writes += 1;
        Ok(json!({ "header": self.header() }))
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }
}

fn entry_json(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&entry.value),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
    })
}

fn bytes(value: &Value) -> Result<Vec<u8>, Fault> {
    let text = value.as_str().unwrap_or_default();
    let decoded = STANDARD.decode(text);
    decoded.map_err(|error| Fault::new(Kind::BadRequest, error.to_string()))
}

fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

/// HTTP handler of a [`Store`].
pub struct Door(pub Arc<Store>);

impl Handler for Door {
    async fn handle(&self, mut request: Request) -> Reply {
        let store = &self.0;
        let path = request.url().path().to_string();
        let read = body::read(&mut request, 4 << 20, Duration::from_secs(10)).await;
        let parsed = read.and_then(|bytes| {
            serde_json::from_slice::<Value>(&bytes)
                .map_err(|error| Fault::new(Kind::BadRequest, error.to_string()))
        });
        let body = match parsed {
            Ok(body) => body,
            Err(fault) => return Reply::fault(&fault),
        };
        store.switches.pause().await;
        if store.switches.consume(Counted::Refuse) {
            return Reply::text(503, "refused by switch".into());
        }
        if path == "/v3/watch" {
            *store.lock().calls.entry(path).or_default() += 1;
            return watching(store.clone(), body);
        }
        let result = store.apply(&path, &body);
        if store.switches.consume(Counted::DropReply) {
            // No answer is ever sent: the client ends the call by its own time-out.
            return futures_lite::future::pending().await;
        }
        match result {
            Ok(value) => Reply::json(200, &value),
            Err(fault) => Reply::fault(&fault),
        }
    }
}

fn watching(store: Arc<Store>, body: Value) -> Reply {
    let (reader, writer) = piper::pipe(WATCH_BUFFER_BYTES);
    let mut response = Response::new(200);
    let reader = futures_lite::io::BufReader::new(reader);
    response.set_body(http_types::Body::from_reader(reader, None));
    Reply {
        response,
        pump: Some(Box::pin(store.watch(body, writer))),
    }
}
