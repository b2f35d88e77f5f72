//! Limits on the time that a future may take.
//!
//! Invariant: the work is polled before the timer, so that a
//! result that is there in time is never lost.

use std::future::Future;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::Timer;

/// The result of `work`, or `None` when `limit` has passed.
pub(crate) async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    async { Some(work.await) }.or(late).await
}

/// The result of `work`, or `None` when it is `deadline`.
pub(crate) async fn until<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(work.await) }.or(late).await
}
