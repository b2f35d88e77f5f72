//! Waiting for a moment.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use event_listener::{Event, EventListener};
use smol::Timer;

use crate::Instant;

/// Time between two looks whether the machine was suspended: how late a wait may end
/// after that. Four looks a second cost nothing beside one request.
pub const LOOK: Duration = Duration::from_millis(250);
/// Difference between the two clocks' advances that is no suspension: they are read
/// one after the other.
const SLACK: Duration = Duration::from_millis(20);

/// Notified when the machine goes on after it was suspended.
static RESUMED: Event = Event::new();

/// Ends waits of this process in time that were begun before the machine was suspended;
/// does not end. Without it they end late by that time.
pub async fn watch() -> Infallible {
    let (mut counting, mut steady) = (Instant::now(), std::time::Instant::now());
    loop {
        Timer::after(LOOK).await;
        let advanced = counting.elapsed();
        counting = Instant::now();
        if advanced > steady.elapsed() + SLACK {
            RESUMED.notify(usize::MAX);
        }
        steady = std::time::Instant::now();
    }
}

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
    resumed: EventListener,
}

impl Alarm {
    /// An alarm for a moment.
    pub fn new(at: Instant) -> Self {
        Self {
            at,
            timer: Timer::after(until(at)),
            resumed: RESUMED.listen(),
        }
    }

    /// The moment it is set to.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Sets it to another moment.
    pub fn set_at(&mut self, at: Instant) {
        self.at = at;
        self.timer.set_after(until(at));
    }
}

fn until(at: Instant) -> Duration {
    at.saturating_duration_since(Instant::now())
}

impl Future for Alarm {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let rung = Pin::new(&mut self.timer).poll(context).is_ready();
            let resumed = Pin::new(&mut self.resumed).poll(context).is_ready();
            if !rung && !resumed {
                return Poll::Pending;
            }
            // A listener that has been notified must not be polled again, also not after
            // the alarm has ended and is set to another moment.
            if resumed {
                self.resumed = RESUMED.listen();
            }
            if Instant::now() >= self.at {
                return Poll::Ready(());
            }
            let left = until(self.at);
            self.timer.set_after(left);
        }
    }
}
