//! The closed list of error kinds and the answer that each gives.
//!
//! Every refusal that a caller, operator or peer sees is one [`Kind`]; the
//! table in [`Kind::answer`] is the only place that maps a kind to an HTTP
//! status, to whether the request ran, and to an exit code. `docs/ERRORS.md`
//! is checked against this table by a test.
//!
//! Invariant: a kind whose answer says [`Ran::No`] is raised only where no
//! engine or service can have started the request.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request reached an engine or service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It provably did not run.
    No,
    /// It may have run.
    Unknown,
    /// It ran, at least in part.
    Yes,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        })
    }
}

/// The fixed part of the answer to one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether the answer tells when to come back.
    pub retry: bool,
    /// Exit code of a command that ends with this kind.
    pub exit: u8,
    /// What the kind means, one sentence.
    pub meaning: &'static str,
}

macro_rules! kinds {
    ($($kind:ident $name:literal $status:literal $ran:ident $retry:literal $exit:literal $meaning:literal;)*) => {
        /// A kind of error.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $(#[doc = $meaning] $kind,)*
        }

        impl Kind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Kind] = &[$(Kind::$kind,)*];

            /// The answer to this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Kind::$kind => Answer {
                        status: $status,
                        ran: Ran::$ran,
                        retry: $retry,
                        exit: $exit,
                        meaning: $meaning,
                    },)*
                }
            }

            /// The name used in answers, metrics and logs.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Kind::$kind => $name,)*
                }
            }
        }
    };
}

kinds! {
    BadRequest "bad_request" 400 No false 2 "The request is malformed.";
    Unauthorized "unauthorized" 401 No false 3 "The key is missing or unknown.";
    Forbidden "forbidden" 403 No false 3 "The account may not use this model or service.";
    NotFound "not_found" 404 No false 4 "No such path, model, service or response.";
    Method "method" 405 No false 2 "The path does not take this method.";
    TooLarge "too_large" 413 No false 2 "The head or body is over the limit.";
    KeyReused "key_reused" 422 No false 2 "The idempotency key was used with another request.";
    TooSlow "too_slow" 408 No false 2 "The caller did not send its request in time.";
    Quota "quota" 429 No true 5 "The account has its full share and its queue is full.";
    Busy "busy" 503 No true 5 "No engine can take the request before its deadline.";
    NoEngine "no_engine" 503 No true 5 "No live engine for the model can be reached.";
    NoClaim "no_claim" 503 No true 5 "The at-most-once claim could not be recorded.";
    Draining "draining" 503 No true 5 "The box is stopping and takes no new requests.";
    Crowded "crowded" 503 No true 5 "The box has no memory for the request.";
    NotReady "not_ready" 503 No true 5 "The box has no configuration yet.";
    Refused "refused" 502 No true 5 "The engine or service refused the request without running it.";
    Deadline "deadline" 504 Unknown true 6 "The deadline passed after the request was sent.";
    Lost "lost" 502 Unknown true 6 "The engine or service was lost after the request was sent.";
    Duplicate "duplicate" 409 Unknown false 6 "The key was claimed before and its answer is not to be had.";
    Broken "broken" 502 Yes true 6 "The answer broke off and could not be completed.";
    Gone "gone" 410 Unknown false 6 "The answer is no longer kept.";
    Conflict "conflict" 409 No false 7 "Another change was accepted first.";
    Invalid "invalid" 422 No false 2 "The document or settings are not valid.";
    Store "store" 503 Unknown true 8 "The store did not answer.";
    Peer "peer" 502 Unknown true 8 "The peer did not answer.";
    Internal "internal" 500 Unknown true 70 "A fault in tidepier.";
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        let found = Kind::ALL.iter().find(|kind| kind.name() == text);
        found.copied().ok_or_else(|| UnknownKind(text.into()))
    }
}

/// A text that names no kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownKind(String);

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not an error kind", self.0)
    }
}

impl std::error::Error for UnknownKind {}

/// One error with its context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The kind, which decides the answer.
    pub kind: Kind,
    /// What happened, for the reader. Never holds a secret.
    pub detail: String,
    /// When to come back, for kinds whose answer says so.
    pub retry_after: Option<Duration>,
}

impl Fault {
    /// A fault of `kind` with a detail for the reader.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Adds context in front of the detail.
    #[must_use]
    pub fn context(mut self, what: &str) -> Self {
        self.detail = format!("{what}: {}", self.detail);
        self
    }

    /// The `Retry-After` value in whole seconds, at least 1, for kinds that
    /// carry one.
    pub fn retry_seconds(&self) -> Option<u64> {
        if !self.kind.answer().retry {
            return None;
        }
        let wait = self.retry_after.unwrap_or(Duration::from_secs(1));
        Some(wait.as_millis().div_ceil(1000).max(1) as u64)
    }

    /// The JSON body of the answer.
    pub fn body(&self) -> Body {
        Body {
            error: Detail {
                kind: self.kind,
                message: self.detail.clone(),
                ran: self.kind.answer().ran,
                retry_after: self.retry_seconds(),
            },
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Fault {}

/// The JSON body of a refusal: `{"error": {...}}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Body {
    /// The refusal.
    pub error: Detail,
}

/// What a refusal tells its caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Detail {
    /// The kind.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// What happened.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Seconds after which to come back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}
