//! The faults of a store.

use std::time::{Duration, Instant};

use super::data::{refusal, Reply};

/// How a store that is down behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Down {
    /// Calls get no answer, and their connections stay open.
    Silent,
    /// Calls get 503.
    Busy,
    /// Connections are reset.
    Reset,
}

/// The faults that are set, and the limits of the store.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Whether it is down, and how.
    pub down: Option<Down>,
    /// Calls get 429.
    pub refuse: bool,
    /// Calls get no answer, except watches.
    pub mute: bool,
    /// Watches get no answer, whether they wait already or not.
    pub silent_watches: bool,
    /// Calls are delayed by this before they are executed.
    pub slow: Duration,
    /// Answers are sent this much later than they were made, with the contents of then.
    pub held: Duration,
    /// Number of next write calls that are executed but not answered.
    pub lost: u32,
    /// Number of next write calls that get no answer and are executed after the delay, if
    /// their conditions still hold.
    pub late: (u32, Duration),
    /// Watches return no changes before this moment.
    pub deaf_until: Option<Instant>,
    /// Bound on the items of one page.
    pub page: usize,
    /// Shortest lease.
    pub lease_min: Duration,
    /// Largest value, in bytes.
    pub value_bytes: usize,
}

impl Default for Faults {
    /// No faults, and the limits of a real platform.
    fn default() -> Self {
        Self {
            down: None,
            refuse: false,
            mute: false,
            silent_watches: false,
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

/// How a call ends.
pub(crate) enum Disposition {
    Answer(Reply),
    /// The connection stays open without any answer.
    Silence,
    Reset,
}

impl Faults {
    /// How a call that is waiting ends if the store goes down.
    pub(crate) fn disposition_while_waiting(&self) -> Option<Disposition> {
        match self.down? {
            Down::Silent => Some(Disposition::Silence),
            Down::Busy => Some(Disposition::Answer(refusal(503, "down"))),
            Down::Reset => Some(Disposition::Reset),
        }
    }

    /// How a call that arrives ends if a fault decides that.
    pub(crate) fn disposition(&self) -> Option<Disposition> {
        let rejected = || refusal(429, "too many calls");
        let disposition = self.disposition_while_waiting();
        disposition.or_else(|| self.refuse.then(|| Disposition::Answer(rejected())))
    }
}
