//! Checks that the values of settings are within range.

use std::fmt;
use std::time::Duration;

use super::{Millis, Ports, Settings};

/// A value out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutOfRange {
    /// The path of the field, such as `bounds.contact`.
    pub field: &'static str,
    /// The value found.
    pub found: String,
    /// The allowed range.
    pub allowed: &'static str,
}

impl fmt::Display for OutOfRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { found, allowed, .. } = self;
        write!(f, "found {found}; allowed: {allowed}")
    }
}

impl std::error::Error for OutOfRange {}

impl Settings {
    /// Checks the ranges that the types do not enforce.
    ///
    /// # Errors
    ///
    /// The first value out of range.
    pub fn check(&self) -> Result<(), OutOfRange> {
        let bounds = &self.bounds;
        let limits = &self.limits;
        span("bounds.stop_within", bounds.stop_within)?;
        span("bounds.apply_within", bounds.apply_within)?;
        span("bounds.revoke_within", bounds.revoke_within)?;
        span("bounds.empty_within", bounds.empty_within)?;
        span("bounds.contact", bounds.contact)?;
        span("bounds.retry_window", bounds.retry_window)?;
        span("bounds.client_timeout", bounds.client_timeout)?;
        positive("limits.link_mbps", limits.link_mbps)?;
        positive("limits.memory_mb", limits.memory_mb)?;
        share("limits.answers_share", limits.answers_share)?;
        share("limits.events_share", limits.events_share)?;
        share("limits.requests_share", limits.requests_share)?;
        share("limits.store_share", limits.store_share)?;
        positive("limits.descriptors", f64::from(limits.descriptors))?;
        positive("bounds.crowd_factor", bounds.crowd_factor)?;
        share("bounds.retry_share", bounds.retry_share)?;
        share("bounds.exposure_share", bounds.exposure_share)?;
        span("bounds.rollback_within", bounds.rollback_within)?;
        positive("bounds.cold_overage", bounds.cold_overage)?;
        not_negative("bounds.cold_tolerance", bounds.cold_tolerance)?;
        match self.peer_ports {
            Some(ports) => ports.check(),
            None => Ok(()),
        }
    }
}

impl Ports {
    fn check(self) -> Result<(), OutOfRange> {
        if 0 < self.first && self.first <= self.last {
            return Ok(());
        }
        Err(OutOfRange {
            field: "peer_ports",
            found: format!("{} to {}", self.first, self.last),
            allowed: "a first port of at least 1 and a last port that is not lower",
        })
    }
}

fn span(field: &'static str, found: Millis) -> Result<(), OutOfRange> {
    if found.duration() > Duration::ZERO {
        return Ok(());
    }
    Err(OutOfRange {
        field,
        found: found.to_string(),
        allowed: "more than 0ms",
    })
}

fn positive(field: &'static str, found: f64) -> Result<(), OutOfRange> {
    if found > 0.0 {
        return Ok(());
    }
    Err(OutOfRange {
        field,
        found: found.to_string(),
        allowed: "more than 0",
    })
}

fn not_negative(field: &'static str, found: f64) -> Result<(), OutOfRange> {
    if found >= 0.0 {
        return Ok(());
    }
    Err(OutOfRange {
        field,
        found: found.to_string(),
        allowed: "0 or more",
    })
}

fn share(field: &'static str, found: f64) -> Result<(), OutOfRange> {
    if (0.0..=1.0).contains(&found) {
        return Ok(());
    }
    Err(OutOfRange {
        field,
        found: found.to_string(),
        allowed: "0 to 1",
    })
}
