//! The store, by the JSON gateway of the etcd v3 API.
//!
//! A call on a kept connection that fails is sent once more on a new one, so
//! a change that was asked for once may arrive twice: under a condition the
//! second meets the first as [`Swap::Conflict`], and a second lease lapses
//! unused.

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

/// Largest accepted answer in bytes: a value of a megabyte in base64, and a
/// range of such values.
const ANSWER_BYTES: u64 = 16 << 20;

/// A client of the store. Each call counts in the metric
/// `tidepier_store_calls_total` by its kind.
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

    async fn range(&self, body: &Value, limit: Duration) -> Result<Read<Vec<Item>>, Failure> {
        let reply: Range = self.call("range", "/v3/kv/range", body, limit).await?;
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
        limit: Duration,
    ) -> Result<T, Failure> {
        count(name);
        let call = Call::post(path, body.to_string().into_bytes()).counted("store");
        let answer = self.pool.whole(self.address, &call, ANSWER_BYTES, limit);
        let answer = answer.await.map_err(|failure| match failure {
            // A kept connection may have been tried before the one that could
            // not be opened, so this does not show that nothing was sent.
            client::Failure::Unsent(error) | client::Failure::Unknown(error) => {
                Failure::NoAnswer(error)
            }
        })?;
        match answer.status {
            200 => serde_json::from_slice(&answer.bytes)
                .map_err(|error| Failure::Malformed(error.to_string())),
            status => Err(refusal(status)),
        }
    }
}

impl Store for Client {
    type Watch = Watch;

    async fn get(&self, key: &str, limit: Duration) -> Result<Read<Option<Item>>, Failure> {
        let body = json!({ "key": format::encode(key) });
        let read = self.range(&body, limit).await?;
        Ok(Read {
            value: read.value.into_iter().next(),
            revision: read.revision,
        })
    }

    async fn list(
        &self,
        prefix: &str,
        stale: bool,
        limit: Duration,
    ) -> Result<Read<Vec<Item>>, Failure> {
        let mut body = json!({
            "key": format::encode(prefix),
            "range_end": format::end_of(prefix),
        });
        if stale {
            body["serializable"] = json!(true);
        }
        self.range(&body, limit).await
    }

    fn watch(&self, scope: Scope<'_>, after: Revision) -> Watch {
        Watch::new(self.clone(), scope, after)
    }

    /// A conflict does not tell the items: the gateway would have to be asked
    /// for them together with every change.
    async fn swap(
        &self,
        expected: &[(&str, Revision)],
        write: &[Write<'_>],
        remove: &[&str],
        limit: Duration,
    ) -> Result<Swap, Failure> {
        let compare: Vec<Value> = expected.iter().map(format::unchanged).collect();
        let puts = write.iter().map(format::put);
        let success: Vec<Value> = puts.chain(remove.iter().map(format::delete)).collect();
        let body = json!({ "compare": compare, "success": success });
        let leased = write.iter().any(|write| write.lease.is_some());
        let reply = self.call("txn", "/v3/kv/txn", &body, limit).await;
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
    async fn lease(&self, ttl: Duration, limit: Duration) -> Result<Lease, Failure> {
        let seconds = ttl.as_millis().div_ceil(1_000);
        let body = json!({ "TTL": seconds.to_string() });
        let reply: Granted = self
            .call("lease_grant", "/v3/lease/grant", &body, limit)
            .await?;
        Ok(Lease {
            id: LeaseId(reply.id.0),
            ttl: reply.seconds.seconds(),
        })
    }

    async fn renew(&self, id: LeaseId, limit: Duration) -> Result<LeaseState, Failure> {
        let body = json!({ "ID": id.0.to_string() });
        let reply: Renewal = self
            .call("lease_keepalive", "/v3/lease/keepalive", &body, limit)
            .await?;
        match reply.result.seconds {
            format::Number(0) => Ok(LeaseState::Gone),
            seconds => Ok(LeaseState::For(seconds.seconds())),
        }
    }

    async fn end(&self, id: LeaseId, limit: Duration) -> Result<(), Failure> {
        let body = json!({ "ID": id.0.to_string() });
        let reply: Result<Value, Failure> = self
            .call("lease_revoke", "/v3/lease/revoke", &body, limit)
            .await;
        match reply {
            // A lease that is over already has ended as well.
            Ok(_) | Err(Failure::Refused(404)) => Ok(()),
            Err(failure) => Err(failure),
        }
    }
}

fn count(call: &'static str) {
    metrics::counter!("tidepier_store_calls_total", "call" => call).increment(1);
}

/// What a status other than 200 means. The gateway answers 503 also when a
/// change took too long, and 500 for what it cannot name: these leave open
/// whether it was done.
fn refusal(status: u16) -> Failure {
    match status {
        429 => Failure::TooMany,
        400 | 401 | 403 | 404 | 405 | 413 | 501 => Failure::Refused(status),
        _ => {
            let why = format!("status {status}");
            Failure::NoAnswer(io::Error::other(why))
        }
    }
}
