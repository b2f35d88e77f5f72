//! A client of the store through the JSON gateway of the etcd v3 API.
//!
//! A call that fails on a kept-alive connection is sent once more on a new one, so
//! a change may arrive twice. Of a conditional change, the second copy then gets
//! [`Swap::Conflict`], caused by the first. A lease that was granted twice expires
//! unused once.

mod format;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use tidepier_core::store::{
    Current, Failure, Item, Lease, LeaseId, LeaseState, Read, Revision, Scope, Store, Swap, Write,
};
use tidepier_http::client::{self, Call, Pool};

pub use self::watch::Watch;
use format::{Granted, KeyValue, Range, Renewal, Transaction};

/// Largest accepted answer in bytes, which leaves room for a range of values of a
/// megabyte each in base64.
const ANSWER_BYTES_MAX: u64 = 16 << 20;

/// A client of the store. Each call is counted by its name in the metric
/// `tidepier_store_calls_total`.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
}

impl Client {
    /// A client of the store at `address`.
    pub fn new(pool: Pool, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    async fn range(&self, body: &Value, timeout: Duration) -> Result<Read<Vec<Item>>, Failure> {
        let reply: Range = self.call("range", "/v3/kv/range", body, timeout).await?;
        let items = reply.kvs.into_iter().map(KeyValue::item);
        Ok(Read {
            value: items.collect::<Result<_, _>>()?,
            revision: reply.header.revision.revision(),
        })
    }

    async fn call<T: DeserializeOwned>(
        &self,
        name: &'static str,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<T, Failure> {
        count_call(name);
        let call = Call::post(path, body.to_string().into_bytes()).counted("store");
        let answer = self
            .pool
            .whole(self.address, &call, ANSWER_BYTES_MAX, timeout);
        let answer = answer.await.map_err(|failure| match failure {
            // `Unsent` does not show that nothing was sent: before the connection
            // that could not be opened, the call may have been sent on a kept-alive
            // one.
            client::Failure::Unsent(error) | client::Failure::Unknown(error) => {
                Failure::NoAnswer(error)
            }
        })?;
        match answer.status {
            200 => serde_json::from_slice(&answer.bytes)
                .map_err(|error| Failure::Malformed(error.to_string())),
            status => Err(failure_of(status)),
        }
    }
}

impl Store for Client {
    type Watch = Watch;

    async fn get(&self, key: &str, timeout: Duration) -> Result<Read<Option<Item>>, Failure> {
        let body = json!({ "key": format::encode(key) });
        let read = self.range(&body, timeout).await?;
        Ok(Read {
            value: read.value.into_iter().next(),
            revision: read.revision,
        })
    }

    async fn list(
        &self,
        prefix: &str,
        stale: bool,
        timeout: Duration,
    ) -> Result<Read<Vec<Item>>, Failure> {
        let mut body = json!({
            "key": format::encode(prefix),
            "range_end": format::range_end(prefix),
        });
        if stale {
            body["serializable"] = json!(true);
        }
        self.range(&body, timeout).await
    }

    fn watch(&self, scope: Scope<'_>, after: Revision) -> Watch {
        Watch::new(self.clone(), scope, after)
    }

    /// A conflict does not report the current items: every change would have to
    /// request them from the gateway as well.
    async fn swap(
        &self,
        expected: &[(&str, Revision)],
        write: &[Write<'_>],
        remove: &[&str],
        timeout: Duration,
    ) -> Result<Swap, Failure> {
        let compare: Vec<Value> = expected.iter().map(format::unchanged).collect();
        let puts = write.iter().map(format::put);
        let success: Vec<Value> = puts.chain(remove.iter().map(format::delete)).collect();
        let body = json!({ "compare": compare, "success": success });
        let leased = write.iter().any(|write| write.lease.is_some());
        let reply = self.call("txn", "/v3/kv/txn", &body, timeout).await;
        match reply {
            Ok(Transaction {
                succeeded: true,
                header,
            }) => Ok(Swap::Done(header.revision.revision())),
            Ok(_) => Ok(Swap::Conflict(Current::NotReported)),
            Err(Failure::Refused(404)) if leased => Ok(Swap::LeaseExpired),
            Err(failure) => Err(failure),
        }
    }

    /// The gateway counts in whole seconds; `ttl` is rounded up.
    async fn lease(&self, ttl: Duration, timeout: Duration) -> Result<Lease, Failure> {
        let seconds = ttl.as_millis().div_ceil(1_000);
        let body = json!({ "TTL": seconds.to_string() });
        let reply: Granted = self
            .call("lease_grant", "/v3/lease/grant", &body, timeout)
            .await?;
        Ok(Lease {
            id: LeaseId(reply.id.0),
            ttl: reply.seconds.seconds(),
        })
    }

    async fn renew(&self, id: LeaseId, timeout: Duration) -> Result<LeaseState, Failure> {
        let body = json!({ "ID": id.0.to_string() });
        let reply: Renewal = self
            .call("lease_keepalive", "/v3/lease/keepalive", &body, timeout)
            .await?;
        match reply.result.seconds {
            format::Number(0) => Ok(LeaseState::Gone),
            seconds => Ok(LeaseState::For(seconds.seconds())),
        }
    }

    async fn end(&self, id: LeaseId, timeout: Duration) -> Result<(), Failure> {
        let body = json!({ "ID": id.0.to_string() });
        let reply: Result<Value, Failure> = self
            .call("lease_revoke", "/v3/lease/revoke", &body, timeout)
            .await;
        match reply {
            // The gateway answers 404 if the lease has already ended.
            Ok(_) | Err(Failure::Refused(404)) => Ok(()),
            Err(failure) => Err(failure),
        }
    }
}

fn count_call(call: &'static str) {
    metrics::counter!("tidepier_store_calls_total", "call" => call).increment(1);
}

/// The failure that a status other than 200 means. The gateway answers 503 also
/// when a change took too long, and 500 for errors that it does not classify.
/// After these, the change may or may not have been made.
fn failure_of(status: u16) -> Failure {
    match status {
        429 => Failure::TooMany,
        400 | 401 | 403 | 404 | 405 | 413 | 501 => Failure::Refused(status),
        _ => {
            let why = format!("status {status}");
            Failure::NoAnswer(io::Error::other(why))
        }
    }
}
