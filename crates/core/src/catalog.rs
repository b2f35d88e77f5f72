//! The operator's configuration: routes, services, accounts and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tidepier_ids as ids;

/// The version of a catalog. It increases with every change, not always by one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A complete configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Its version.
    pub version: Version,
    /// Routes by host name. The list of a host is sorted by decreasing length of
    /// [`Route::prefix`], so that the first match is the longest.
    pub routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ids::Service, Service>,
    /// Limits on what a client may send.
    pub limits: Limits,
    /// Accounts by API key. `None`: the configuration has no accounts, and no route
    /// requires a key.
    pub accounts: Option<HashMap<Box<str>, Arc<Account>>>,
}

impl Catalog {
    /// The route of a path at a host: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The account that an API key belongs to.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.as_ref()?.get(key)
    }
}

/// Whether the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run any number of times.
    Repeatable,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events. A request may run at most once unless the
    /// route is resumable.
    Stream {
        /// Whether an answer that broke off may be continued at another server, after
        /// the last event that was forwarded.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run already may be sent again.
    pub fn repeatable(self) -> bool {
        match self {
            Kind::Repeatable => true,
            Kind::AtMostOnce => false,
            Kind::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// The operator's name for it.
    pub name: Box<str>,
    /// Prefix of the paths that it serves; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Longest time for which a request is held until it is answered.
    pub timeout: Duration,
    /// Target for the time to the answer (for streams: to the first event) that clients
    /// are promised.
    pub objective: Duration,
    /// Longest gap between two events of a stream that clients are promised.
    pub pause: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the requests are split by weight. Never empty.
    pub split: Vec<Share>,
    /// Most servers that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests state the parts of their prompts, so that requests with common
    /// parts are preferably sent to the same server.
    pub affinity: bool,
    /// The regions whose servers may run its requests; `None`: all.
    pub allowed_regions: Option<AllowedRegions>,
}

/// Regions that requests may not leave.
pub type AllowedRegions = Arc<[ids::Region]>;

/// A service's share of a route.
#[derive(Debug, Clone)]
pub struct Share {
    /// The service.
    pub service: ids::Service,
    /// Its weight relative to the other shares of the route; with 0 it gets no
    /// requests.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Path of its health check.
    pub health_path: Box<str>,
    /// Connections that one of its servers accepts in total, from all boxes together.
    pub connections: u32,
    /// Present when its servers are cold after a start.
    pub cold: Option<Cold>,
    /// Present when its servers are model engines.
    pub engine: Option<Engine>,
}

/// What a server of a service sustains while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// How long it is cold, from its start or a later moment.
    pub time: Duration,
    /// Requests per second from all boxes together; it fails under many more.
    pub per_s: f64,
}

/// The properties of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that an engine works on at once.
    pub slots: u32,
    /// Size of the KV cache, which holds prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Time in ms to copy one token of the KV cache from another engine; `None` where
    /// engines cannot do that.
    pub copy_ms_per_token: Option<f64>,
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// The limits in force until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: ids::Account,
    /// Priority; 0 is the most urgent. It overrides the priority of a route.
    pub priority: u8,
    /// The regions whose servers may run its requests; `None`: all.
    pub allowed_regions: Option<AllowedRegions>,
}
