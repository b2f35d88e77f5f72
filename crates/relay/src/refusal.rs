//! Refusals: answers that the box gives itself, from a closed list.
//!
//! Invariant: a kind whose status promises that the request has not run and never will
//! (503, 408) is used only where that is certain.

use std::fmt;
use std::time::Duration;

/// Retry delay where nothing better is known: long enough for another box or server to
/// be tried, and short compared with every objective.
const DEFAULT_DELAY: Duration = Duration::from_millis(150);
/// Retry delay while no other box can serve the request either. This holds if no process
/// listens at the servers that were tried, or all servers are leaving, because starting
/// a server takes a second or more. It also holds if the operator allows no server, or
/// has yet to rewrite what the store lost, which takes seconds. The delay is under a
/// third of every deadline; clients ignore longer ones.
const UNAVAILABLE_DELAY: Duration = Duration::from_millis(1_000);
/// Retry delay while this box does not know the configuration, or shuts down: nearly none,
/// since a further attempt reaches another box.
const NOT_READY_DELAY: Duration = Duration::from_millis(20);

/// Why this box refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The head or the framing of the body is malformed.
    Malformed,
    /// The head is over the limit.
    HeadTooLarge,
    /// The body is over the limit.
    BodyTooLarge,
    /// The head or the body did not arrive in time.
    Slow,
    /// The box has no memory for the request.
    Crowded,
    /// No route matches the path.
    NoRoute,
    /// The API key is missing or unknown.
    NoAccount,
    /// No configuration is known yet.
    NotReady,
    /// The configuration known here may be too old to decide by.
    Stale,
    /// The same, because the store was restored from an older backup and the operator has
    /// yet to rewrite what it lost.
    StoreBehind,
    /// No server of the service is known, or none can take a request.
    NoServer,
    /// All servers of the service are leaving.
    Leaving,
    /// All servers that could serve the request requested a back-off of this box; the
    /// duration is the retry delay.
    BackingOff(Duration),
    /// The operator requested to empty the halls of all servers of the service.
    Emptied,
    /// No server is in a region that the request may not leave.
    NoRegion,
    /// It is not known which release began the stream that is to be taken up.
    UnknownStream,
    /// No server of the release that began the stream takes requests.
    ReleaseGone,
    /// The servers that could serve the request are cold and admit no more of this box.
    Cold,
    /// Servers crashed under requests with the same content, which is refused for this
    /// much longer.
    Crashing(Duration),
    /// Servers crashed under requests with the same part in their prompts, which is refused
    /// for this much longer.
    CrashingPart(Duration),
    /// The servers that were tried refused connections: they are down.
    ServersDown,
    /// The servers that could serve the request are full.
    Full,
    /// More is asked for than the servers of the service can sustain; the duration is the retry
    /// delay.
    Overloaded(Duration),
    /// The request's time ran out before a server executed it.
    Expired,
    /// The box shuts down, and no server was to answer the request in time.
    Stopping,
    /// The request's time ran out while a server may have been executing it.
    Late,
    /// A server may have executed the request, and its answer is lost.
    Lost,
    /// The same, because the box shuts down.
    Interrupted,
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
            Kind::Lost | Kind::Interrupted => 502,
            Kind::Crowded
            | Kind::NotReady
            | Kind::Stale
            | Kind::StoreBehind
            | Kind::NoServer
            | Kind::Leaving
            | Kind::BackingOff(_)
            | Kind::Emptied
            | Kind::NoRegion
            | Kind::UnknownStream
            | Kind::ReleaseGone
            | Kind::Cold
            | Kind::Crashing(_)
            | Kind::CrashingPart(_)
            | Kind::ServersDown
            | Kind::Full
            | Kind::Overloaded(_)
            | Kind::Expired
            | Kind::Stopping => 503,
            Kind::Late => 504,
        }
    }

    /// The delay after which the client should retry.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // The actual time that is left: before, no box has another answer.
            Kind::Crashing(left) | Kind::CrashingPart(left) | Kind::BackingOff(left) => Some(left),
            Kind::Overloaded(delay) => Some(delay),
            Kind::NotReady | Kind::Stale | Kind::Stopping => Some(NOT_READY_DELAY),
            Kind::ServersDown
            | Kind::Leaving
            | Kind::Emptied
            | Kind::NoRegion
            | Kind::StoreBehind => Some(UNAVAILABLE_DELAY),
            Kind::Crowded | Kind::NoServer | Kind::Cold | Kind::Full | Kind::Expired => {
                Some(DEFAULT_DELAY)
            }
            _ => None,
        }
    }

    /// The short name for answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Malformed => "malformed",
            Kind::HeadTooLarge => "head_too_large",
            Kind::BodyTooLarge => "body_too_large",
            Kind::Slow => "slow",
            Kind::Crowded => "crowded",
            Kind::NoRoute => "no_route",
            Kind::NoAccount => "no_account",
            Kind::NotReady => "not_ready",
            Kind::Stale => "stale",
            Kind::StoreBehind => "behind",
            Kind::NoServer => "no_server",
            Kind::Leaving => "leaving",
            Kind::BackingOff(_) => "resting",
            Kind::Emptied => "emptied",
            Kind::NoRegion => "no_region",
            Kind::UnknownStream => "unknown_stream",
            Kind::ReleaseGone => "release_gone",
            Kind::Cold => "cold",
            Kind::Crashing(_) => "crashing",
            Kind::CrashingPart(_) => "crashing_part",
            Kind::ServersDown => "down",
            Kind::Full => "full",
            Kind::Overloaded(_) => "overloaded",
            Kind::Expired => "time_over",
            Kind::Stopping => "stopping",
            Kind::Late => "late",
            Kind::Lost => "lost",
            Kind::Interrupted => "interrupted",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
