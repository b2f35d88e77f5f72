//! Switches for faults of one part.

use std::sync::Mutex;
use std::time::Duration;

use event_listener::Event;
use serde::{Deserialize, Serialize};
use smol::Timer;

/// The faults of one part; all off by default. Counted faults go off by one
/// each time they strike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Accepts connections and answers nothing, nor makes progress.
    pub freeze: bool,
    /// Waits before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Calls that take effect and whose reply is dropped.
    pub drop_reply: u32,
    /// Calls that are refused with 503 before any effect.
    pub refuse: u32,
    /// Streams that end in mid-body.
    pub cut: u32,
    /// Streams that carry one frame of another request.
    pub cross: u32,
    /// Streams that repeat one frame.
    pub repeat: u32,
    /// Streams that leave one frame out.
    pub gap: u32,
}

/// A counted fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strike {
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

/// The live switches of a part.
#[derive(Debug, Default)]
pub struct Switches {
    faults: Mutex<Faults>,
    changed: Event,
}

impl Switches {
    /// Sets all switches.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
        self.changed.notify(usize::MAX);
    }

    /// The present state.
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Uses up one counted fault, if any is left.
    pub fn strikes(&self, strike: Strike) -> bool {
        let mut faults = self.lock();
        let left = match strike {
            Strike::DropReply => &mut faults.drop_reply,
            Strike::Refuse => &mut faults.refuse,
            Strike::Cut => &mut faults.cut,
            Strike::Cross => &mut faults.cross,
            Strike::Repeat => &mut faults.repeat,
            Strike::Gap => &mut faults.gap,
        };
        let hit = *left > 0;
        *left -= u32::from(hit);
        hit
    }

    /// Waits while the part is frozen.
    pub async fn thawed(&self) {
        loop {
            let listener = self.changed.listen();
            if !self.lock().freeze {
                return;
            }
            listener.await;
        }
    }

    /// Waits as the switches say before an answer.
    pub async fn pause(&self) {
        self.thawed().await;
        let delay = self.lock().delay_ms;
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
            self.thawed().await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(|e| e.into_inner())
    }
}
