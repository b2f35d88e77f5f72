//! Waiting for a moment.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use smol::Timer;

use crate::Instant;

/// Longest time between two looks at the clock while something waits: how late a wait
/// may end after the machine was suspended. One look in so long is far less work than
/// what is waited for.
pub const LOOK: Duration = Duration::from_millis(500);

/// Waits until a moment.
pub async fn sleep_until(at: Instant) {
    Alarm::new(at).await;
}

/// Waits for a time.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// Ends at a moment, which may be changed while it is waited for.
#[derive(Debug)]
pub struct Alarm {
    at: Instant,
    timer: Timer,
}

impl Alarm {
    /// An alarm for a moment.
    pub fn new(at: Instant) -> Self {
        Self {
            at,
            timer: Timer::after(until_look(at)),
        }
    }

    /// The moment it is set to.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Sets it to another moment.
    pub fn set_at(&mut self, at: Instant) {
        self.at = at;
        self.timer.set_after(until_look(at));
    }
}

fn until_look(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now()).min(LOOK)
}

impl Future for Alarm {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if Pin::new(&mut self.timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            if Instant::now() >= self.at {
                return Poll::Ready(());
            }
            let left = until_look(self.at);
            self.timer.set_after(left);
        }
    }
}
