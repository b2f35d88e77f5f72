//! The moment, and its clock.

use std::cell::Cell;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

thread_local! {
    /// Time by which a test has suspended this thread.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Makes the clock of this thread go on as it does while the machine is suspended,
/// with every timer standing still: for tests.
pub fn suspend(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}

/// A moment, as the time since the machine was started, suspended or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The moment at which it is called.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos) + SUSPENDED.get())
    }

    /// Time since this moment; zero for one to come.
    pub fn elapsed(&self) -> Duration {
        Self::now().duration_since(*self)
    }

    /// Time from an earlier moment to this one; zero if that is later.
    pub fn duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The same.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.duration_since(earlier)
    }

    /// Time from an earlier moment to this one; `None` if that is later.
    pub fn checked_duration_since(&self, earlier: Self) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// A later moment, if there is one.
    pub fn checked_add(&self, time: Duration) -> Option<Self> {
        self.0.checked_add(time).map(Self)
    }

    /// An earlier moment, if there is one.
    pub fn checked_sub(&self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, time: Duration) {
        *self = *self + time;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.duration_since(earlier)
    }
}
