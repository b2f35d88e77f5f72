//! Answers of this box's own, from a closed list.
//!
//! Invariant: a kind whose status promises that the request has not run and
//! never will (503, 408) is used only where that is certain.

use std::fmt;
use std::time::Duration;

/// When to come back where nothing better is known: long enough for another
/// box or server to be tried, short against every objective.
const SOON: Duration = Duration::from_millis(150);
/// When to come back while no box is any better off: servers that were tried have
/// no process that would take a connection, or all leave, and a start takes a second
/// or more; or the operator allows none, or has to write again what the store lost, and
/// takes seconds for that. Under a third of every deadline, above which clients ignore
/// it.
const DOWN: Duration = Duration::from_millis(1_000);
/// When to come back while this box does not know the configuration: at once,
/// since a further try reaches another box.
const UNREADY: Duration = Duration::from_millis(20);

/// Why this box answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The head or the body's framing is malformed.
    Malformed,
    /// The head is over the limit.
    HeadTooLarge,
    /// The body is over the limit.
    BodyTooLarge,
    /// The head or the body did not arrive in time.
    Slow,
    /// No route takes the path.
    NoRoute,
    /// The API key is missing or unknown.
    NoAccount,
    /// No configuration is known yet.
    NotReady,
    /// The configuration known here may be too old to decide by.
    Stale,
    /// The same, as the store went back to an older copy and the operator has yet to write
    /// again what it lost.
    Behind,
    /// No server of the service is known or open.
    NoServer,
    /// All servers of the service say that they leave.
    Leaving,
    /// All servers that may be asked want nothing of this box for so much longer.
    BackingOff(Duration),
    /// The operator asked to empty the halls of all servers of the service.
    Emptied,
    /// No server is in a region that the request may not leave.
    NoRegion,
    /// The servers that may be asked are cold and bear no more of this box.
    Cold,
    /// Servers ended under requests of its content; it is refused for so much longer.
    Crashing(Duration),
    /// The servers tried refused connections: they are down.
    Down,
    /// The servers that may be asked are full.
    Full,
    /// Its time ran out before a server ran it.
    TimeOver,
    /// Its time ran out while a server may have been running it.
    Late,
    /// A server may have run it, and its answer is lost.
    Lost,
}

impl Kind {
    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Kind::Malformed => 400,
            Kind::NoAccount => 401,
            Kind::NoRoute => 404,
            Kind::Slow => 408,
            Kind::BodyTooLarge => 413,
            Kind::HeadTooLarge => 431,
            Kind::Lost => 502,
            Kind::NotReady
            | Kind::Stale
            | Kind::Behind
            | Kind::NoServer
            | Kind::Leaving
            | Kind::BackingOff(_)
            | Kind::Emptied
            | Kind::NoRegion
            | Kind::Cold
            | Kind::Crashing(_)
            | Kind::Down
            | Kind::Full
            | Kind::TimeOver => 503,
            Kind::Late => 504,
        }
    }

    /// When the client may come back.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // The truth: sooner, no box has another answer.
            Kind::Crashing(left) | Kind::BackingOff(left) => Some(left),
            Kind::NotReady | Kind::Stale => Some(UNREADY),
            Kind::Down | Kind::Leaving | Kind::Emptied | Kind::NoRegion | Kind::Behind => {
                Some(DOWN)
            }
            Kind::NoServer | Kind::Cold | Kind::Full | Kind::TimeOver => Some(SOON),
            _ => None,
        }
    }

    /// A short name for answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Malformed => "malformed",
            Kind::HeadTooLarge => "head_too_large",
            Kind::BodyTooLarge => "body_too_large",
            Kind::Slow => "slow",
            Kind::NoRoute => "no_route",
            Kind::NoAccount => "no_account",
            Kind::NotReady => "not_ready",
            Kind::Stale => "stale",
            Kind::Behind => "behind",
            Kind::NoServer => "no_server",
            Kind::Leaving => "leaving",
            Kind::BackingOff(_) => "resting",
            Kind::Emptied => "emptied",
            Kind::NoRegion => "no_region",
            Kind::Cold => "cold",
            Kind::Crashing(_) => "crashing",
            Kind::Down => "down",
            Kind::Full => "full",
            Kind::TimeOver => "time_over",
            Kind::Late => "late",
            Kind::Lost => "lost",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
