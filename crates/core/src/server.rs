//! Backend servers as they announce themselves.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use tidepier_ids as ids;

/// Whether a server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving: it finishes what it has and gets nothing new.
    Draining,
}

/// When a server's process started, in ms of its own clock since 1970. Two lives
/// of a server differ in it; which of them is the later one is not told by it,
/// since clocks may be set back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Longest name of a release, in bytes.
const RELEASE_BYTES_MAX: usize = 64;

/// The release of its software that a server runs, as whoever built it named it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Release(Arc<str>);

/// Why a text names no release.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a release has a name of 1 to {RELEASE_BYTES_MAX} bytes, found {0}")]
pub struct InvalidRelease(usize);

impl Release {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Release {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Release {
    type Err = InvalidRelease;

    fn from_str(text: &str) -> Result<Self, InvalidRelease> {
        match text.len() {
            1..=RELEASE_BYTES_MAX => Ok(Self(text.into())),
            length => Err(InvalidRelease(length)),
        }
    }
}

/// One life of a backend server: its id and its birth.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ids::Server,
    /// When it started, where it tells that.
    pub born: Option<StartTime>,
    /// The service whose requests it runs.
    pub service: ids::Service,
    /// Where it listens. May be given to a server of another service later.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: ids::Hall,
    /// Requests that it works on at once.
    pub slots: u32,
    /// The release that it runs, where it tells that.
    pub release: Option<Release>,
    /// Whether it takes new requests.
    pub state: State,
    /// How much longer it is cold, as of its announcement: slow, and overturned
    /// by more requests than its service's [`Cold`](crate::catalog::Cold).
    pub cold: Duration,
}
