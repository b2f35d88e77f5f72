//! A small site: a store with a configuration, and servers with entries in it.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{json, Value};
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;

use crate::names;
use crate::server::{Server, Settings};
use crate::store::Store;

/// The host name of all routes.
pub const HOST: &str = "site.example";

/// A route to declare.
#[derive(Debug, Clone)]
pub struct Route {
    /// Prefix of its paths, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may be executed more than once.
    pub kind: Kind,
    /// Services and their weights.
    pub split: Vec<(String, u32)>,
    /// Bound on the servers that one request may be sent to.
    pub attempts: u32,
    /// Time-out of a request.
    pub timeout: Duration,
    /// Target latency.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// A public route to one service.
    pub fn new(prefix: &str, kind: Kind, service: &str) -> Self {
        Self {
            prefix: prefix.into(),
            kind,
            split: vec![(service.into(), 1)],
            attempts: 2,
            timeout: Duration::from_secs(4),
            objective: Duration::from_millis(500),
            priority: 1,
            public: true,
        }
    }

    fn to_json(&self) -> Value {
        let share =
            |(service, weight): &(String, u32)| json!({ "service": service, "weight": weight });
        let mut route = json!({
            "name": format!("r{}", self.prefix.replace('/', "-")),
            "host": HOST,
            "path_prefix": self.prefix,
            "type": match self.kind {
                Kind::Repeatable => "idempotent",
                Kind::AtMostOnce => "non_idempotent",
                Kind::Stream { .. } => "streaming",
            },
            "timeout_ms": self.timeout.as_millis() as u64,
            "target_latency_ms": self.objective.as_millis() as u64,
            "priority": self.priority,
            "max_attempts": self.attempts,
            "public": self.public,
        });
        match &*self.split {
            [(service, _)] => route["service"] = json!(service),
            split => route["traffic_split"] = split.iter().map(share).collect(),
        }
        if let Kind::Stream { resumable } = self.kind {
            route["session_affinity"] = json!(true);
            route["stream_resume"] = json!(resumable);
            route["target_itl_ms"] = json!(300);
        }
        route
    }
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The store.
    pub store: Store,
    config: Mutex<Value>,
}

impl Site {
    /// Starts a store without a configuration. It records its era as known, as if boxes had
    /// used it before.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn start() -> io::Result<Self> {
        let config = json!({
            "version": 0, "routes": [], "services": [],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        });
        let store = Store::start()?;
        store.put(names::MARK, &json!({ "era": store.era() }));
        Ok(Self {
            store,
            config: Mutex::new(config),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Value> {
        self.config
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes the configuration and writes it with a higher version; returns the version.
    pub fn configure(&self, change: impl FnOnce(&mut Value)) -> u64 {
        let mut config = self.lock();
        change(&mut config);
        let version = config["version"].as_u64().unwrap_or(0) + 3;
        config["version"] = json!(version);
        self.store.put_config(&config);
        version
    }

    /// Writes the unchanged configuration again, for example after a restore lost it.
    pub fn rewrite_config(&self) {
        self.store.put_config(&self.lock());
    }

    /// Declares routes, and the services that they name, in one version; returns the
    /// version.
    pub fn declare(&self, routes: &[Route]) -> u64 {
        self.configure(|config| {
            for route in routes {
                for (service, _) in &route.split {
                    declare_service(&mut config["services"], service);
                }
                push(&mut config["routes"], route.to_json());
            }
        })
    }

    /// Directs the routes of a prefix to a service, which is declared if it is new; returns
    /// the version.
    pub fn direct(&self, prefix: &str, service: &str) -> u64 {
        self.configure(|config| {
            declare_service(&mut config["services"], service);
            let routes = config["routes"].as_array_mut().into_iter().flatten();
            for route in routes.filter(|route| route["path_prefix"] == prefix) {
                route["service"] = json!(service);
            }
        })
    }

    /// Removes the routes of a prefix; returns the version.
    pub fn drop_route(&self, prefix: &str) -> u64 {
        self.configure(|config| {
            if let Some(routes) = config["routes"].as_array_mut() {
                routes.retain(|route| route["path_prefix"] != prefix);
            }
        })
    }

    /// Declares an account with its keys, replacing one of that name; returns the version.
    pub fn account(&self, name: &str, keys: &[&str], priority: u8) -> u64 {
        self.configure(|config| {
            let accounts = &mut config["tenants"];
            if let Some(accounts) = accounts.as_array_mut() {
                accounts.retain(|account| account["name"] != name);
            }
            push(
                accounts,
                json!({ "name": name, "api_keys": keys, "priority": priority }),
            );
        })
    }

    /// Starts a server and writes its entry.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn server(&self, settings: Settings) -> io::Result<Server> {
        let server = Server::start(settings)?;
        self.announce(&server, State::Ready);
        Ok(server)
    }

    /// Writes a server's entry; returns the revision.
    pub fn announce(&self, server: &Server, state: State) -> u64 {
        self.announce_at(server, server.address(), state)
    }

    /// Writes a server's entry with another address, such as that of a proxy; returns the
    /// revision.
    pub fn announce_at(&self, server: &Server, address: SocketAddr, state: State) -> u64 {
        self.announce_with(server, address, state, |_| {})
    }

    /// Writes a server's entry with changes, such as those of a later incarnation; returns
    /// the revision.
    pub fn announce_with(
        &self,
        server: &Server,
        address: SocketAddr,
        state: State,
        change: impl FnOnce(&mut Value),
    ) -> u64 {
        self.announce_as(server.settings(), address, state, change)
    }

    /// The same for a server in another process.
    pub fn announce_as(
        &self,
        settings: &Settings,
        address: SocketAddr,
        state: State,
        change: impl FnOnce(&mut Value),
    ) -> u64 {
        let mut entry = json!({
            "service": settings.service,
            "address": address.to_string(),
            "zone": settings.hall,
            "version": settings.release.as_deref().unwrap_or("v1"),
            "slots": settings.slots,
            "state": match state {
                State::Ready => "ready",
                State::Draining => "draining",
            },
            "cold_remaining_ms": 0,
            "sequence": self.store.revision(),
        });
        change(&mut entry);
        self.store.put_server(&settings.id, &entry)
    }

    /// Removes a server's entry while the server goes on; returns the revision.
    pub fn withdraw(&self, server: &Server) -> u64 {
        let key = format!("{}{}", names::SERVERS, server.settings().id);
        self.store.remove(&key)
    }

    /// Empties a hall as the operator; returns the revision.
    pub fn empty_hall(&self, hall: &str) -> u64 {
        let key = format!("{}{hall}", names::EMPTIED);
        self.store.put(&key, &json!({}))
    }

    /// Cancels the emptying of a hall as the operator; returns the revision.
    pub fn take_back(&self, hall: &str) -> u64 {
        let key = format!("{}{hall}", names::EMPTIED);
        self.store.remove(&key)
    }

    /// The settings of a box, with the names of the platform. The three addresses are for
    /// clients, for readiness checks and for other boxes.
    pub fn settings(&self, name: &str, hall: &str, listen: [SocketAddr; 3]) -> Value {
        let [frontend, readiness, control] = listen.map(|address| address.to_string());
        json!({
            "node_name": name, "machine_class": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": hall, "region": "region-1",
            "zones": { hall: "region-1" },
            "listen": { "frontend": frontend, "readiness": readiness, "control_plane": control },
            "internal_ports": [], "seed_nodes": [], "bootstrap": true,
            "limits": { "cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 260, "max_fds": 1024 },
            "data_dir": null, "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 3000, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200,
                "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
                "revoke_fail_closed": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
                "retry_window_s": 10, "retry_extra": 58, "recovery_s": 12, "iteration_ms": 120,
                "retry_after_s": 10, "cap_factor": 2, "addr_reuse_s": 2,
            },
            "platform": {
                "address": self.store.address().to_string(), "form": "kv",
                "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                "max_value_bytes": 1048576, "min_ttl_ms": 1000,
            },
        })
    }
}

fn declare_service(services: &mut Value, name: &str) {
    let known = services
        .as_array()
        .is_some_and(|all| all.iter().any(|service| service["name"] == name));
    if !known {
        let service = json!({
            "name": name, "health_path": "/healthz", "max_connections": 100,
            "protocol": "h1", "tls": false,
        });
        push(services, service);
    }
}

/// Appends to a list; creates the list if there is none.
fn push(list: &mut Value, entry: Value) {
    match list {
        Value::Array(all) => all.push(entry),
        empty => *empty = json!([entry]),
    }
}
