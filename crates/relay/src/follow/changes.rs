//! A watch of the store while it is of use.

use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_core::store::{Event, Read, Revision, Scope, Store, Watch as _};
use tidepier_platform::store;

use super::Follower;

/// Time that a watch waits for a change: well under the store's longest, so
/// that one that hangs unnoticed is soon asked anew.
const WATCH_TIME: Duration = Duration::from_secs(15);

/// Changes as they happen, until the watch breaks or is of no more use.
pub(super) struct Changes<'a> {
    follower: &'a Follower,
    watch: store::Watch,
    /// What is watched, for logs and counters.
    name: &'static str,
}

impl Changes<'_> {
    /// The next changes, none of them if nothing changed for a while; `None`
    /// at the end, after which the items have to be read again.
    pub(super) async fn next(&mut self) -> Option<Read<Vec<Event>>> {
        self.next_within(WATCH_TIME).await
    }

    /// The same where nothing is to be waited for longer than `wait`.
    pub(super) async fn next_within(&mut self, wait: Duration) -> Option<Read<Vec<Event>>> {
        let read = async { Some(self.watch.next(wait).await) };
        let interrupted = async {
            self.follower.interrupted().await;
            None
        };
        match read.or(interrupted).await? {
            Ok(read) => {
                self.follower.answered();
                Some(read)
            }
            Err(failure) => {
                self.follower.failure(self.name, &failure);
                None
            }
        }
    }
}

impl Follower {
    /// The changes after `after`.
    pub(super) fn changes(
        &self,
        scope: Scope<'_>,
        after: Revision,
        name: &'static str,
    ) -> Changes<'_> {
        Changes {
            follower: self,
            watch: self.store.watch(scope, after),
            name,
        }
    }

    /// Ends when a watch is of no more use: another box reads the store, or the
    /// store is reachable again, so that the watch may hang on a
    /// connection that nothing comes through any more.
    async fn interrupted(&self) {
        let relieved = async {
            while self.reads_store.get() {
                self.role_changed.wait().await;
            }
        };
        relieved.or(self.store_returned.wait()).await;
    }
}
