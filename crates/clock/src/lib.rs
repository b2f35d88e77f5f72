//! Moments that also count the time for which the machine was suspended.
//!
//! A machine may stand still for seconds and go on as though nothing had happened. The
//! clock of [`std::time::Instant`] stands still with it, so that by that clock what a
//! process knew before looks as young afterwards: a proof, a lease, a count, a
//! silence. [`Instant`] is read from the clock that goes on (`CLOCK_BOOTTIME`), and has
//! the methods of its namesake. Every age and deadline is measured by it.
//!
//! Timers of the system stand still as well. While [`watch`] runs, [`sleep_until`],
//! [`sleep`] and [`Alarm`] end at most [`LOOK`] after the machine goes on.

mod instant;
mod sleep;

pub use instant::{suspend, Instant};
pub use sleep::{sleep, sleep_until, watch, Alarm, LOOK};
