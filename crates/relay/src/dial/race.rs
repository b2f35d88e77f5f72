//! Starts several attempts at the same thing, one after another, and takes the first that
//! succeeds.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use futures_lite::FutureExt;

/// An attempt.
pub(crate) type Attempt<'a, T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + 'a>>;

/// Runs attempts until one succeeds. The next one starts when the one before it fails, or
/// has not succeeded for `head_start`. Those that are left are dropped.
///
/// # Errors
///
/// All failed; their errors, in the order in which they failed.
pub(crate) async fn first_success<T, E>(
    attempts: Vec<Attempt<'_, T, E>>,
    head_start: Duration,
) -> Result<T, Vec<E>> {
    let mut waiting = attempts.into_iter();
    let mut running = Vec::new();
    let mut errors = Vec::new();
    loop {
        running.extend(waiting.next());
        if running.is_empty() {
            return Err(errors);
        }
        let next_is_due = async {
            match waiting.len() {
                0 => std::future::pending().await,
                _ => tidepier_clock::sleep(head_start).await,
            }
            None
        };
        match any(&mut running).or(next_is_due).await {
            Some(Ok(success)) => return Ok(success),
            Some(Err(error)) => errors.push(error),
            None => {}
        }
    }
}

/// The result of the attempt that ends first, which is removed.
async fn any<T, E>(running: &mut Vec<Attempt<'_, T, E>>) -> Option<Result<T, E>> {
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready(result) = running[index].as_mut().poll(context) {
                drop(running.swap_remove(index));
                return Poll::Ready(Some(result));
            }
        }
        Poll::Pending
    })
    .await
}
