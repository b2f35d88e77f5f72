//! What can be wrong with a store.

use std::time::{Duration, Instant};

use super::data::{refusal, Reply};

/// How a store that is down behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Down {
    /// Calls are swallowed.
    Silent,
    /// Calls get 503.
    Busy,
    /// Connections are reset.
    Reset,
}

/// What is wrong with a store.
#[derive(Debug, Clone)]
pub struct Faults {
    /// It is down.
    pub down: Option<Down>,
    /// Calls get 429.
    pub refuse: bool,
    /// Calls get no answer, but for watches.
    pub mute: bool,
    /// Answers take this much longer.
    pub slow: Duration,
    /// Answers that are made leave this much later, with what they said by then.
    pub held: Duration,
    /// So many of the next writing calls are done and not answered.
    pub lost: u32,
    /// So many of the next writing calls get no answer and are done after the
    /// delay, if their conditions still hold.
    pub late: (u32, Duration),
    /// Watches learn of nothing before this moment.
    pub deaf_until: Option<Instant>,
    /// Most items on one page.
    pub page: usize,
    /// Shortest lease.
    pub lease_min: Duration,
    /// Largest value, in bytes.
    pub value_bytes: usize,
}

impl Default for Faults {
    /// None, and the limits of a real platform.
    fn default() -> Self {
        Self {
            down: None,
            refuse: false,
            mute: false,
            slow: Duration::ZERO,
            held: Duration::ZERO,
            lost: 0,
            late: (0, Duration::ZERO),
            deaf_until: None,
            page: 500,
            lease_min: Duration::from_millis(200),
            value_bytes: 1 << 20,
        }
    }
}

/// What becomes of a call.
pub(crate) enum Fate {
    Answer(Reply),
    /// The connection says nothing further.
    Silence,
    Reset,
}

impl Faults {
    /// What becomes of a call that waits while the store goes down.
    pub(crate) fn waiting_fate(&self) -> Option<Fate> {
        match self.down? {
            Down::Silent => Some(Fate::Silence),
            Down::Busy => Some(Fate::Answer(refusal(503, "down"))),
            Down::Reset => Some(Fate::Reset),
        }
    }

    /// What becomes of a call that arrives.
    pub(crate) fn fate(&self) -> Option<Fate> {
        let refused = || refusal(429, "too many calls");
        let fate = self.waiting_fate();
        fate.or_else(|| self.refuse.then(|| Fate::Answer(refused())))
    }
}
