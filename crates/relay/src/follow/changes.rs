//! A watch of the store that ends when it is no longer needed.

use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_clock::Instant;
use tidepier_core::store::{Event, Read, Revision, Scope, Store, Watch as _};
use tidepier_platform::store;

use super::Follower;

/// Time that one call of a watch waits for a change. It is well below the store's own
/// limit, so that a hanging call is soon replaced.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);

/// The changes of a watch, until it breaks or is no longer needed.
pub(super) struct Changes<'a> {
    follower: &'a Follower,
    watch: store::Watch,
    /// When it was last called.
    asked: Instant,
    /// Name of the watch in logs and counters.
    name: &'static str,
}

impl Changes<'_> {
    /// When the watch was last called.
    pub(super) fn asked(&self) -> Instant {
        self.asked
    }

    /// The next changes, or none of them if nothing changed for a while; `None` at the
    /// end of the watch, after which the items have to be read again.
    pub(super) async fn next(&mut self) -> Option<Read<Vec<Event>>> {
        self.next_within(WATCH_TIMEOUT).await
    }

    /// The same, waiting for changes no longer than `wait`.
    pub(super) async fn next_within(&mut self, wait: Duration) -> Option<Read<Vec<Event>>> {
        self.asked = Instant::now();
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
            asked: Instant::now(),
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
