//! The platform's store: items, conditional writes, leases and watches, as PROTOCOL.md
//! describes them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Conn, Head};
use crate::json::{self, Value};
use crate::record::Record;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Until when it is down: it does not answer what arrives.
    silent_until: Option<Instant>,
    /// The calls that got no answer.
    unanswered: Vec<String>,
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.into(), item.clone());
        self.history.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.into(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !held.is_empty() {
            self.revision += 1;
        }
        held.iter().for_each(|key| self.remove(key));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key_file\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease_id\":{}}}",
        json::quote(key),
        json::to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Data>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the store's address");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            address,
            shared: Arc::default(),
            record: record.clone(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            expiring.change(Data::expire);
        });
        store
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.shared.0.lock().unwrap()
    }

    fn change<T>(&self, change: impl FnOnce(&mut Data) -> T) -> T {
        let result = change(&mut self.data());
        self.shared.1.notify_all();
        result
    }

    /// Writes a key as the operator or a server; returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(|data| {
            data.revision += 1;
            data.put(key, value.as_bytes().to_vec(), 0);
            data.revision
        })
    }

    /// The value of a key as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let data = self.data();
        let item = data.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    /// Removes a key as the operator or a server.
    pub fn remove(&self, key: &str) {
        self.change(|data| {
            data.revision += 1;
            data.remove(key);
        });
    }

    /// Is down for a time: calls that arrive get no answer, and their connections say
    /// nothing further. Returns the calls that got none.
    pub fn be_silent(&self, time: Duration) -> Vec<String> {
        self.data().silent_until = Some(Instant::now() + time);
        self.record.add("store: is down, and silent");
        thread::sleep(time);
        self.record.add("store: is back");
        std::mem::take(&mut self.data().unanswered)
    }

    /// Whether a call that arrives now gets no answer.
    fn is_silent(&self, head: &Head) -> bool {
        let mut data = self.data();
        let is_silent = data
            .silent_until
            .is_some_and(|until| Instant::now() < until);
        if is_silent {
            let call = format!("{} {}", head.method(), head.target());
            self.record.add(format!("store: does not answer {call}"));
            data.unanswered.push(call);
        }
        is_silent
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            if self.is_silent(&head) {
                while conn.fill().unwrap_or(false) {}
                return;
            }
            let (status, text) = self.reply(&head, &body);
            let fields = [("Content-Type", "application/json")];
            let bytes = http::answer(status, &fields, text.as_bytes());
            if conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn reply(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let path = path.strip_prefix("/-/").unwrap_or("");
        let (name, id) = path.split_once('/').unwrap_or((path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        let param = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(name, _)| *name == wanted);
            found.map(|(_, value)| decoded(value)).unwrap_or_default()
        };
        let body = json::parse(&String::from_utf8_lossy(body));
        match name {
            "kv-key" => {
                let data = self.data();
                let key = param("key_file");
                match data.items.get(&key) {
                    Some(item) => {
                        let item = item_json(&key, item);
                        let open = item.trim_end_matches('}');
                        (200, format!("{open},\"timestamp\":{}}}", data.revision))
                    }
                    None => (404, format!("{{\"timestamp\":{}}}", data.revision)),
                }
            }
            "kv-range" => {
                let data = self.data();
                let (prefix, from) = (param("path_prefix"), param("start_revision"));
                let found = data.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key >= from);
                let found: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                let entries = found.join(",");
                let revision = data.revision;
                (
                    200,
                    format!(
                        "{{\"entries\":[{entries}],\"has_more\":false,\"timestamp\":{revision}}}"
                    ),
                )
            }
            "kv-watch" => {
                let from = param("start_revision").parse().unwrap_or(0);
                let wait = param("wait_ms").parse().unwrap_or(0);
                self.watch(&param("path_prefix"), from, Duration::from_millis(wait))
            }
            "kv-txn" => self.change(|data| transaction(data, &body)),
            "kv-lease" => self.change(|data| {
                let ttl = body.get("ttl_ms").number().clamp(1_000, 600_000);
                data.last_lease += 1;
                let time = Duration::from_millis(ttl);
                let lease = data.last_lease;
                data.leases.insert(lease, (time, Instant::now() + time));
                (200, format!("{{\"lease_id\":{lease},\"ttl_ms\":{ttl}}}"))
            }),
            "kv-keep" => self.change(|data| match data.leases.get_mut(&id) {
                Some((time, until)) => {
                    *until = Instant::now() + *time;
                    (200, format!("{{\"ttl_ms\":{}}}", time.as_millis()))
                }
                None => (404, "{}".into()),
            }),
            "kv-lease-end" => self.change(|data| {
                data.end_lease(id);
                (200, "{}".into())
            }),
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, from: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut data = self.data();
        loop {
            let events = data.history.iter();
            let events = events.filter(|(at, key, _)| *at > from && key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(at, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        let key = json::quote(key);
                        format!("{{\"key_file\":{key},\"revision\":{at},\"deleted\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), data.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"timestamp\":{revision}}}"),
                );
            }
            data = self.shared.1.wait_timeout(data, until - now).unwrap().0;
        }
    }
}

fn transaction(data: &mut Data, body: &Value) -> (u16, String) {
    data.expire();
    let expected = body.get("expected_revision").list();
    let holds = expected.iter().all(|row| {
        let known = data.items.get(row.get("key_file").text());
        known.map_or(0, |item| item.revision) == row.get("revision").number()
    });
    if !holds {
        let entries = expected.iter().filter_map(|row| {
            let key = row.get("key_file").text();
            Some(item_json(key, data.items.get(key)?))
        });
        let entries: Vec<String> = entries.collect();
        return (412, format!("{{\"entries\":[{}]}}", entries.join(",")));
    }
    let (writes, removes) = (body.get("write").list(), body.get("remove").list());
    let leases = writes.iter().map(|row| row.get("lease_id").number());
    if leases
        .filter(|id| *id != 0)
        .any(|id| !data.leases.contains_key(&id))
    {
        return (404, "{}".into());
    }
    if !writes.is_empty() || !removes.is_empty() {
        data.revision += 1;
    }
    for row in writes {
        let value = json::from_base64(row.get("value").text());
        data.put(
            row.get("key_file").text(),
            value,
            row.get("lease_id").number(),
        );
    }
    for key in removes {
        data.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", data.revision))
}

fn decoded(text: &str) -> String {
    let mut out = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let code = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, code.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(code)) => {
                out.push(code);
                rest = &after[2..];
            }
            _ => {
                out.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
