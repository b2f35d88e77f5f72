//! Backend servers as they advertise themselves.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use tidepier_ids as ids;

use crate::address;

/// Whether a server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes them.
    Ready,
    /// It is leaving: it finishes its requests and gets no new ones.
    Draining,
}

/// When a server's process started, in ms since 1970 by its own clock. It distinguishes
/// two incarnations of a server, but does not tell which is the later one, since clocks
/// may be set back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Longest name of a release, in bytes.
const RELEASE_BYTES_MAX: usize = 64;

/// The release of its software that a server runs, as named by whoever built it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Release(Arc<str>);

/// The text is not a valid name of a release; contains its length in bytes.
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

/// Most slots of one server: a request in a slot has a connection of its own, and there are
/// no more ports. Admission and rotation add up the slots of a service, so that a number
/// beyond would decide for all its servers.
const SLOTS_MAX: u32 = 65_535;

/// What is described is no server that could take requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Implausible {
    /// Nobody can be reached at its address.
    #[error(transparent)]
    Address(#[from] address::Unreachable),
    /// No server has so many slots.
    #[error("{0} slots; at most {SLOTS_MAX} are plausible")]
    Slots(u32),
}

/// One incarnation of a backend server: one run of its process, identified by the
/// server id and the start time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ids::Server,
    /// When its process started, where it reports that.
    pub born: Option<StartTime>,
    /// The service whose requests it runs.
    pub service: ids::Service,
    /// Where it listens. The address may later belong to a server of another service.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: ids::Hall,
    /// Requests that it works on at once.
    pub slots: u32,
    /// The release that it runs, where it reports that.
    pub release: Option<Release>,
    /// Whether it takes new requests.
    pub state: State,
    /// How much longer it is cold, as of its advertisement. While it is cold, it is
    /// slow, and fails under more requests than its service's
    /// [`Cold`](crate::catalog::Cold) states.
    pub cold: Duration,
}

impl Server {
    /// Checks what anyone may have written against what a server can have.
    ///
    /// # Errors
    ///
    /// See [`Implausible`].
    pub fn check(&self) -> Result<(), Implausible> {
        address::check(self.address)?;
        match self.slots {
            0..=SLOTS_MAX => Ok(()),
            slots => Err(Implausible::Slots(slots)),
        }
    }

    /// The name of its release for the log; `-` if it reports none.
    pub fn release_name(&self) -> &str {
        self.release.as_ref().map_or("-", Release::as_str)
    }
}
