//! Time limits on futures.
//!
//! Invariant: the work is polled before the timer, so that a result that is ready
//! in time is never lost.

use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_clock::{Alarm, Instant};

/// The result of `work`, or `None` when `limit` has passed.
pub(crate) async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        tidepier_clock::sleep(limit).await;
        None
    };
    async { Some(work.await) }.or(late).await
}

/// A deadline that moves on while work makes progress, for example with each event of
/// a stream. Setting a timer wakes the reactor, which costs as much as forwarding an
/// event; so the timer is set again only when it fires.
pub(crate) struct Deadline(Alarm);

impl Deadline {
    /// A limit whose timer first fires at `deadline`.
    pub(crate) fn new(deadline: Instant) -> Self {
        Self(Alarm::new(deadline))
    }

    /// The result of `work`, or `None` at `deadline`.
    pub(crate) async fn until<T>(
        &mut self,
        deadline: Instant,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        async { Some(work.await) }
            .or(async {
                self.expire(deadline).await;
                None
            })
            .await
    }

    /// Completes at `deadline`.
    async fn expire(&mut self, deadline: Instant) {
        // An alarm that has ended does not end again until it is set.
        if self.0.at() > deadline || self.0.at() <= Instant::now() {
            self.0.set_at(deadline);
        }
        loop {
            (&mut self.0).await;
            if Instant::now() >= deadline {
                return;
            }
            self.0.set_at(deadline);
        }
    }
}

/// The result of `work`, or `None` at `deadline`.
pub(crate) async fn until<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        tidepier_clock::sleep_until(deadline).await;
        None
    };
    async { Some(work.await) }.or(late).await
}
