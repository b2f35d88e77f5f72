//! Rates of requests.

use std::fmt;

/// Requests a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.0)
    }
}
