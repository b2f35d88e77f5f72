//! A watch of the store that ends when it is no longer needed.

use std::io;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_core::store::{Event, Failure, Read, Revision, Scope, Store, Watch as _};
use tidepier_platform::store;

use super::freshness::Call;
use super::Follower;
use crate::timeout;

/// Time that one call of a watch waits for a change. It is well below the store's own
/// limit, so that a hanging call is soon replaced.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Time that a call waits for a change which the store has already.
const POLL_WAIT: Duration = Duration::from_millis(20);

/// The changes of a watch, until it breaks or is no longer needed.
pub(super) struct Changes<'a> {
    follower: &'a Follower,
    watch: store::Watch,
    /// Its last call.
    call: Call,
    /// Name of the watch in logs and counters.
    name: &'static str,
}

impl Changes<'_> {
    /// The last call of the watch.
    pub(super) fn call(&self) -> Call {
        self.call
    }

    /// The next changes, or none of them if nothing changed for a while; `None` at the
    /// end of the watch, after which the items have to be read again.
    pub(super) async fn next(&mut self) -> Option<Read<Vec<Event>>> {
        self.next_within(WATCH_TIMEOUT).await
    }

    /// The same without waiting for changes; the store has to answer within `limit`.
    pub(super) async fn poll(&mut self, limit: Duration) -> Option<Read<Vec<Event>>> {
        let polled = timeout::within(limit, self.next_within(POLL_WAIT)).await;
        if polled.is_none() {
            let late = io::ErrorKind::TimedOut.into();
            self.follower
                .log_failure(self.name, &Failure::NoAnswer(late));
        }
        polled.flatten()
    }

    async fn next_within(&mut self, wait: Duration) -> Option<Read<Vec<Event>>> {
        self.call = self.follower.freshness.call();
        let read = async { Some(self.watch.next(wait).await) };
        let interrupted = async {
            self.follower.interrupted().await;
            None
        };
        match read.or(interrupted).await? {
            Ok(read) => {
                self.follower.record_store_answer();
                Some(read)
            }
            Err(failure) => {
                self.follower.log_failure(self.name, &failure);
                None
            }
        }
    }
}

impl Follower {
    /// Watches for changes after the revision `after`.
    pub(super) fn changes(
        &self,
        scope: Scope<'_>,
        after: Revision,
        name: &'static str,
    ) -> Changes<'_> {
        Changes {
            follower: self,
            watch: self.store.watch(scope, after),
            call: self.freshness.call(),
            name,
        }
    }

    /// Returns when a watch is no longer needed: another box reads the store, or the
    /// store is reachable again, in which case the watch may hang on a dead connection.
    async fn interrupted(&self) {
        let relieved = async {
            while self.reads_store.get() {
                self.role_changed.wait().await;
            }
        };
        relieved.or(self.store_returned.wait()).await;
    }
}
