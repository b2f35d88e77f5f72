//! Faults to inject in one part.

use std::sync::Mutex;
use std::time::Duration;

use event_listener::Event;
use serde::{Deserialize, Serialize};
use smol::Timer;

/// The faults of one part; all off by default. A counted fault is injected as
/// many times as its number says, and the number decreases each time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Accepts connections, but sends no answer and makes no progress.
    pub freeze: bool,
    /// Running watches of the store deliver nothing more, and stay open.
    pub mute_watches: bool,
    /// Waits before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Requests that take effect and whose answer is dropped.
    pub drop_reply: u32,
    /// Requests that are rejected with 503 before any effect.
    pub refuse: u32,
    /// Streams that end in the middle of the body.
    pub cut: u32,
    /// Streams that carry one frame of another request.
    pub cross: u32,
    /// Streams that repeat one frame.
    pub repeat: u32,
    /// Streams that leave one frame out.
    pub gap: u32,
}

/// A fault with a count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counted {
    /// [`Faults::drop_reply`].
    DropReply,
    /// [`Faults::refuse`].
    Refuse,
    /// [`Faults::cut`].
    Cut,
    /// [`Faults::cross`].
    Cross,
    /// [`Faults::repeat`].
    Repeat,
    /// [`Faults::gap`].
    Gap,
}

/// The faults of a running part, which can be changed at any time.
#[derive(Debug, Default)]
pub struct Switches {
    faults: Mutex<Faults>,
    changed: Event,
}

impl Switches {
    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
        self.changed.notify(usize::MAX);
    }

    /// The current faults.
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Takes one off the count of a fault; whether any was left, so that the
    /// caller injects it.
    pub fn consume(&self, fault: Counted) -> bool {
        let mut faults = self.lock();
        let left = match fault {
            Counted::DropReply => &mut faults.drop_reply,
            Counted::Refuse => &mut faults.refuse,
            Counted::Cut => &mut faults.cut,
            Counted::Cross => &mut faults.cross,
            Counted::Repeat => &mut faults.repeat,
            Counted::Gap => &mut faults.gap,
        };
        let hit = *left > 0;
        *left -= u32::from(hit);
        hit
    }

    /// Waits while the part is frozen.
    pub async fn wait_while_frozen(&self) {
        loop {
            let listener = self.changed.listen();
            if !self.lock().freeze {
                return;
            }
            listener.await;
        }
    }

    /// Waits before an answer: while the part is frozen, then for the delay.
    pub async fn pause(&self) {
        self.wait_while_frozen().await;
        let delay = self.lock().delay_ms;
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
            self.wait_while_frozen().await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(|e| e.into_inner())
    }
}
