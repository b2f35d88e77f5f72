//! Time spans in settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Longest time span of a setting: a day.
const SPAN_MAX: Duration = Duration::from_secs(86_400);

/// A time span in whole milliseconds, of at most a day. Written `250ms`,
/// `1.5s`, or as a plain number of milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Millis(u64);

impl Millis {
    /// A span of `millis` milliseconds. Not checked: used only for defaults, which are
    /// within a day.
    pub(super) const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Converts to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A text that is not a valid time span.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSpan(String);

impl fmt::Display for InvalidSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "found {:?}; allowed: 0ms to 86400s, as 250ms or 1.5s",
            self.0
        )
    }
}

impl std::error::Error for InvalidSpan {}

impl FromStr for Millis {
    type Err = InvalidSpan;

    fn from_str(text: &str) -> Result<Self, InvalidSpan> {
        let (number, unit) = if let Some(number) = text.strip_suffix("ms") {
            (number, 1.0)
        } else if let Some(number) = text.strip_suffix('s') {
            (number, 1_000.0)
        } else {
            (text, 1.0)
        };
        let number = number.trim().parse::<f64>();
        let millis = number.map_err(|_| InvalidSpan(text.into()))? * unit;
        if (0.0..=SPAN_MAX.as_millis() as f64).contains(&millis) {
            Ok(Self(millis.round() as u64))
        } else {
            Err(InvalidSpan(text.into()))
        }
    }
}

impl<'de> Deserialize<'de> for Millis {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Written {
            Number(serde_json::Number),
            Text(String),
        }
        let text = match Written::deserialize(deserializer)? {
            Written::Number(number) => number.to_string(),
            Written::Text(text) => text,
        };
        text.parse().map_err(serde::de::Error::custom)
    }
}
