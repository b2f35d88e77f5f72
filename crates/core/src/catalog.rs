//! The operator's configuration: routes, services, accounts and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tidepier_ids as ids;

/// The version of a catalog; it rises with every change, in uneven steps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One whole configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Its version.
    pub version: Version,
    /// Routes by host name. The list of a host is sorted by falling length of
    /// [`Route::prefix`], so that the first match is the longest.
    pub routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ids::Service, Service>,
    /// Limits on what a client may send.
    pub limits: Limits,
    /// Accounts by API key. `None`: the configuration has no accounts, and no
    /// route asks for a key.
    pub accounts: Option<HashMap<Box<str>, Arc<Account>>>,
}

impl Catalog {
    /// The route of a path at a host: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The account that holds an API key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.as_ref()?.get(key)
    }
}

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run any number of times.
    Repeatable,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a series of events. May run at most once unless the route
    /// is resumable.
    Stream {
        /// Whether a broken answer may be continued at another server after
        /// the last event passed on.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    pub fn repeatable(self) -> bool {
        match self {
            Kind::Repeatable => true,
            Kind::AtMostOnce => false,
            Kind::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// The operator's name for it.
    pub name: Box<str>,
    /// Beginning of the paths that it takes; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Time to the answer (streams: to the first event) that callers are
    /// promised.
    pub objective: Duration,
    /// Longest pause between events of a stream that callers are promised.
    pub pause: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests, by weight. Never empty.
    pub split: Vec<Share>,
    /// Most servers that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests give the parts of their prompts, so that those that
    /// share parts are better served by the same server.
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
    /// Its weight among the shares of the route; 0 takes nothing.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Path of its health check.
    pub health_path: Box<str>,
    /// Connections that one of its servers takes from all callers together.
    pub connections: u32,
    /// Present when its servers are cold after a start.
    pub cold: Option<Cold>,
    /// Present when its servers are model engines.
    pub engine: Option<Engine>,
}

/// What a server of a service bears while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// Time from its start, or from a later moment, in which it is.
    pub time: Duration,
    /// Requests a second from all boxes together; it fails under many more.
    pub per_s: f64,
}

/// What is known of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that an engine works on at once.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Time in ms to copy one token's memory from another engine; `None` where
    /// engines cannot.
    pub copy_ms_per_token: Option<f64>,
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time that a connection may rest between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// In force until a configuration is known.
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
    /// Rank; 0 is the most urgent. Goes before the rank of a route.
    pub priority: u8,
    /// The regions whose servers may run its requests; `None`: all.
    pub allowed_regions: Option<AllowedRegions>,
}
