//! A stand-in for the key-value store of the platform.
//!
//! Items are held in memory. A watch returns the changes *after* the revision that it
//! names; a page begins *at* the key that it names.

mod data;
mod faults;
mod view;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::{future, FutureExt};
use serde_json::{json, Value};
use smol::{Task, Timer};
use tidepier_h1::{Conn, Head};
use tidepier_platform::store::WAIT_MAX;

use crate::http;
use crate::names;
use data::{refusal, Data, Reply};
use faults::Disposition;
pub use faults::{Down, Faults};
pub use view::View;

/// Interval at which leases are checked for expiry; well below the shortest lease.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a waiting watch checks for faults of the store.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(25);

#[derive(Debug, Default)]
struct Inner {
    data: Mutex<Data>,
    faults: Mutex<Faults>,
    calls: Mutex<BTreeMap<String, u64>>,
    sent: AtomicU64,
    changed: Event,
    cut: Event,
}

/// A copy of the contents of a store at one moment.
#[derive(Debug, Clone)]
pub struct Copy(Data);

/// A running store.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    inner: Arc<Inner>,
    _tasks: [Task<()>; 2],
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn start() -> io::Result<Self> {
        let inner = Arc::new(Inner::default());
        let (serving, expiring) = (inner.clone(), inner.clone());
        let serve = move |conn| serving.clone().serve(conn, Arc::default());
        let (address, listening) = http::listen(http::any_port(), Arc::default(), serve)?;
        let expiry = smol::spawn(async move {
            loop {
                Timer::after(EXPIRY_INTERVAL).await;
                expiring.change(|data| data.expire(Instant::now()));
            }
        });
        Ok(Self {
            address,
            inner,
            _tasks: [listening, expiry],
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens another address of the store, which replaces some texts in the values that it
    /// returns: one box then sees other addresses for the others.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn view(&self, replacements: Vec<(String, String)>) -> io::Result<View> {
        let (inner, replacements) = (self.inner.clone(), Arc::new(replacements));
        let serve = move |conn| inner.clone().serve(conn, replacements.clone());
        let (address, task) = http::listen(http::any_port(), Arc::default(), serve)?;
        Ok(View::new(address, task))
    }

    /// Changes the faults of the store.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.inner.faults));
    }

    /// Writes a key as the operator; returns the revision.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        self.put_bytes(key, value.to_string().into_bytes())
    }

    /// Writes bytes that need not be JSON; returns the revision.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) -> u64 {
        self.inner.change(|data| {
            data.revision += 1;
            data.put(key, value, 0);
            data.revision
        })
    }

    /// Writes the configuration as the operator; returns the revision.
    pub fn put_config(&self, config: &Value) -> u64 {
        self.put(names::CONFIG, config)
    }

    /// Writes the entry of a server; returns the revision.
    pub fn put_server(&self, id: &str, entry: &Value) -> u64 {
        self.put(&format!("{}{id}", names::SERVERS), entry)
    }

    /// Removes a key as the operator; returns the revision.
    pub fn remove(&self, key: &str) -> u64 {
        self.inner.change(|data| {
            data.revision += 1;
            data.remove(key);
            data.revision
        })
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.inner.data).value(key)
    }

    /// The keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        lock(&self.inner.data).keys(prefix)
    }

    /// The current revision.
    pub fn revision(&self) -> u64 {
        lock(&self.inner.data).revision
    }

    /// Discards the history.
    pub fn compact(&self) {
        self.inner.change(Data::compact);
    }

    /// Copies the current contents.
    pub fn copy(&self) -> Copy {
        Copy(lock(&self.inner.data).clone())
    }

    /// Restores the store from a copy: later writes and leases are lost, and later
    /// revisions are assigned again. Waiting watches for changes after a revision that the
    /// copy does not have get 410.
    pub fn go_back(&self, copy: &Copy) {
        self.inner.change(|data| data.restore(&copy.0));
    }

    /// The current era.
    pub fn era(&self) -> u64 {
        lock(&self.inner.data).era
    }

    /// Resets the connections of waiting watches.
    pub fn cut_watches(&self) {
        self.inner.cut.notify(usize::MAX);
    }

    /// Makes watches return no changes for this long.
    pub fn deaf(&self, time: Duration) {
        self.faults(|faults| faults.deaf_until = Some(Instant::now() + time));
    }

    /// Number of calls with this name so far, such as `kv-txn`, including refused ones.
    pub fn calls(&self, name: &str) -> u64 {
        lock(&self.inner.calls).get(name).copied().unwrap_or(0)
    }

    /// Number of bytes of all answers so far.
    pub fn sent(&self) -> u64 {
        self.inner.sent.load(Ordering::Relaxed)
    }

    /// Number of calls so far, by name.
    pub fn all_calls(&self) -> BTreeMap<String, u64> {
        lock(&self.inner.calls).clone()
    }
}

impl Inner {
    fn change<T>(&self, change: impl FnOnce(&mut Data) -> T) -> T {
        let result = change(&mut lock(&self.data));
        self.changed.notify(usize::MAX);
        result
    }

    /// Serves a connection; `replacements` are applied to the values that it returns.
    async fn serve(self: Arc<Self>, mut conn: Conn, replacements: Arc<view::Replacements>) {
        while let Ok(Some(head)) = conn.request_head(http::HEAD_BYTES_MAX).await {
            let Ok(body) = http::body(&mut conn, &head).await else {
                return;
            };
            let reply = match self.disposition(&head, &body).await {
                Disposition::Answer(reply) => view::replace_texts(reply, &replacements),
                Disposition::Silence => return stay_silent(&mut conn).await,
                Disposition::Reset => {
                    if let Err(error) = conn.writer().reset_on_close() {
                        log::debug!("already closed: {error}");
                    }
                    return;
                }
            };
            let era = reply
                .era
                .unwrap_or_else(|| lock(&self.data).era)
                .to_string();
            let fields = [("Content-Type", "application/json"), (names::ERA, &era)];
            let body = reply.fields.to_string();
            let bytes = http::answer(reply.status, &fields, body.as_bytes());
            let held = lock(&self.faults).held;
            Timer::after(held).await;
            self.sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            if conn.writer().write_all(&bytes).await.is_err() || head.closes() {
                return;
            }
        }
    }

    async fn disposition(self: &Arc<Self>, head: &Head, body: &[u8]) -> Disposition {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let path = path.strip_prefix(names::CALLS_PREFIX).unwrap_or("");
        let (name, id) = path.split_once('/').unwrap_or((path, ""));
        *lock(&self.calls).entry(name.into()).or_default() += 1;
        let faults = lock(&self.faults).clone();
        if let Some(disposition) = faults.disposition() {
            return disposition;
        }
        if faults.mute && name != "kv-watch" {
            return Disposition::Silence;
        }
        Timer::after(faults.slow).await;
        let body = match body {
            [] => Value::Null,
            body => match serde_json::from_slice(body) {
                Ok(body) => body,
                Err(_) => return Disposition::Answer(refusal(400, "no JSON")),
            },
        };
        let param = |wanted: &str| query_value(query, wanted);
        let (key, prefix) = (param(names::KEY), param(names::PREFIX));
        match (head.method(), name) {
            ("GET", "kv-key") => Disposition::Answer(lock(&self.data).item(&key)),
            ("GET", "kv-range") => {
                let from = param(names::FROM);
                Disposition::Answer(lock(&self.data).page(&prefix, &from, faults.page))
            }
            ("GET", "kv-watch") => {
                let (Ok(after), Ok(wait)) =
                    (param(names::FROM).parse(), param(names::WAIT).parse())
                else {
                    return Disposition::Answer(refusal(400, "a watch without its numbers"));
                };
                let wait = Duration::from_millis(wait).min(WAIT_MAX);
                self.watch(&prefix, after, wait).await
            }
            ("POST", "kv-txn" | "kv-lease" | "kv-keep") | ("DELETE", "kv-lease-end") => {
                self.write(name.to_owned(), id.parse().unwrap_or(0), body)
            }
            _ => Disposition::Answer(refusal(404, "no such call")),
        }
    }

    /// Executes a write call, or applies a fault to it.
    fn write(self: &Arc<Self>, name: String, id: u64, body: Value) -> Disposition {
        let (lost, late) = {
            let mut faults = lock(&self.faults);
            let lost = faults.lost > 0;
            let late = !lost && faults.late.0 > 0;
            faults.lost -= u32::from(lost);
            faults.late.0 -= u32::from(late);
            (lost, late.then_some(faults.late.1))
        };
        if let Some(delay) = late {
            let inner = self.clone();
            let done = async move {
                Timer::after(delay).await;
                inner.apply(&name, id, &body);
            };
            smol::spawn(done).detach();
            return Disposition::Silence;
        }
        let reply = self.apply(&name, id, &body);
        if lost {
            return Disposition::Silence;
        }
        Disposition::Answer(reply)
    }

    fn apply(&self, name: &str, id: u64, body: &Value) -> Reply {
        let (least, most) = {
            let faults = lock(&self.faults);
            (faults.lease_min, faults.value_bytes)
        };
        self.change(|data| {
            data.expire(Instant::now());
            match name {
                "kv-txn" => data.txn(body, most),
                "kv-lease" => data.grant_lease(body, least),
                "kv-keep" => data.renew_lease(id),
                _ if data.end_lease(id) => data.reply(200, json!({})),
                _ => refusal(404, "no such lease"),
            }
        })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Disposition {
        let until = Instant::now() + wait;
        let cut = self.cut.listen();
        let waiting = async {
            loop {
                let changed = self.changed.listen();
                let faults = lock(&self.faults).clone();
                if let Some(disposition) = faults.disposition_while_waiting() {
                    return disposition;
                }
                if faults.silent_watches {
                    return Disposition::Silence;
                }
                let now = Instant::now();
                if faults.deaf_until.is_none_or(|until| until <= now) {
                    let data = lock(&self.data);
                    let over = || (now >= until).then(|| data.events(Vec::new()));
                    if let Some(reply) = data.changes(prefix, after).or_else(over) {
                        return Disposition::Answer(reply);
                    }
                } else if now >= until {
                    let nothing = lock(&self.data).events_as_of(Vec::new(), after);
                    return Disposition::Answer(nothing);
                }
                let step = async {
                    Timer::after(WATCH_POLL_INTERVAL).await;
                };
                changed.or(step).await;
            }
        };
        let cut = async {
            cut.await;
            Disposition::Reset
        };
        waiting.or(cut).await
    }
}

/// Reads without answering until the peer closes the connection.
async fn stay_silent(conn: &mut Conn) {
    while conn.fill().await.is_ok_and(|read| read > 0) {
        future::yield_now().await;
    }
}

/// The decoded value of a query parameter; empty if it is missing.
fn query_value(query: &str, wanted: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(name, _)| *name == wanted);
    let mut bytes = Vec::new();
    let mut rest = found.map_or("", |(_, value)| value).as_bytes();
    while let [first, after @ ..] = rest {
        let code = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = code.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
