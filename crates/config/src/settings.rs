//! The settings of one process of a box: its place, addresses, keys and
//! timers.
//!
//! A settings file is JSON. Every setting that has a default may be left out.
//! Flags and environment variables override the addresses, the box and the
//! hall; see `tidepier-router --help`.

use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use tidepier_ids as ids;

use crate::check::{References, Report};
use crate::key::{Hash, Secret};

/// An IP address and a port other than 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub SocketAddr);

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Debug for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A text that is no address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidAddress(String);

impl fmt::Display for InvalidAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "found {:?}; allowed: IP:PORT, port 1 to 65535", self.0)
    }
}

impl std::error::Error for InvalidAddress {}

impl FromStr for Address {
    type Err = InvalidAddress;

    fn from_str(text: &str) -> Result<Self, InvalidAddress> {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Ok(Self(address)),
            _ => Err(InvalidAddress(text.into())),
        }
    }
}

impl Serialize for Address {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl JsonSchema for Address {
    fn schema_name() -> Cow<'static, str> {
        "Address".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "description": "IP:PORT" })
    }
}

/// Longest time span in milliseconds: a day.
const MILLIS_MAX: u64 = 86_400_000;

/// A time span of 1 ms to a day, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, JsonSchema)]
#[serde(transparent)]
pub struct Millis(#[schemars(range(min = 1, max = 86_400_000))] pub u64);

impl<'de> Deserialize<'de> for Millis {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match u64::deserialize(deserializer)? {
            millis @ 1..=MILLIS_MAX => Ok(Self(millis)),
            other => Err(serde::de::Error::custom(format!(
                "found {other}; allowed: 1 to {MILLIS_MAX}"
            ))),
        }
    }
}

impl Millis {
    /// As a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// The settings of a router or steward process.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The fleet's name; links and the store's keys carry it.
    pub fleet: ids::Account,
    /// This box.
    #[serde(rename = "box")]
    pub name: ids::Box,
    /// The data hall of this box.
    pub hall: ids::Hall,
    /// Where clients connect.
    pub callers: Address,
    /// Where other boxes connect.
    pub peers: Address,
    /// Where operators, the balancer's health checks and metrics connect.
    pub admin: Address,
    /// The platform's services.
    pub platform: Platform,
    /// Keys of the links between boxes, one or more: the first is used, all are
    /// accepted.
    pub link_keys: Vec<Secret>,
    /// Keys that seal response ids, one or more: the first seals, all open.
    pub seal_keys: Vec<Secret>,
    /// Hashes of the bearer keys that operators may use.
    #[serde(default)]
    pub operator_keys: Vec<Hash>,
    /// Timers and sizes.
    #[serde(default)]
    pub tuning: Tuning,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The store's JSON gateway.
    pub store: Address,
    /// The list of live and leaving boxes.
    pub boxes: Address,
    /// The weight store.
    pub weights: Address,
}

macro_rules! tuning {
    ($($(#[$doc:meta])* $field:ident: $type:ty = $default:expr,)*) => {
        /// Timers and sizes, each with its default.
        #[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
        #[serde(deny_unknown_fields, default)]
        pub struct Tuning {
            $($(#[$doc])* pub $field: $type,)*
        }

        impl Default for Tuning {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }
    };
}

tuning! {
    /// Time between heartbeats to one neighbour. Default 500.
    heartbeat_ms: Millis = Millis(500),
    /// Time without an answer after which a neighbour is suspected. Default 1500.
    suspect_ms: Millis = Millis(1500),
    /// Time from suspicion to removal. Default 2500: a box frozen for 2 s stays.
    remove_ms: Millis = Millis(2500),
    /// Neighbours that a box sends heartbeats to. Default 3.
    neighbours: usize = 3,
    /// Time between reads of the platform's box list by a box that knows no other
    /// box. Otherwise two boxes of a hall read it, less often in larger fleets.
    /// Default 2000.
    boxes_ms: Millis = Millis(2000),
    /// Time between reads of an engine's load report by the keeper of its pool. A
    /// new keeper reads ten times as often at first. Default 5000.
    probe_ms: Millis = Millis(5000),
    /// Time after which an unanswered call to the store is given up. Default 2000.
    store_ms: Millis = Millis(2000),
    /// Time a new keeper waits for reports of open slots. Default 1000.
    takeover_ms: Millis = Millis(1000),
    /// Time a client has to send its head, and to send each part of its body. Default 10000.
    header_ms: Millis = Millis(10_000),
    /// Time a client may leave its answer unread. Default 15000.
    stall_ms: Millis = Millis(15_000),
    /// Time a kept-alive connection may be idle. Default 60000.
    idle_ms: Millis = Millis(60_000),
    /// Largest request body in bytes. Default 4 MiB.
    body_bytes: u64 = 4 << 20,
    /// Bytes that the bodies of all requests may take until they are handled. In calm, a single
    /// one may exceed it. Default 28 MiB.
    bodies_bytes: u64 = 28 << 20,
    /// Largest number of open client connections. Default 4096.
    connections: usize = 4096,
    /// Deadline of a request that names none. Default 120000.
    deadline_ms: Millis = Millis(120_000),
    /// Time a stream whose client disconnected is kept for the client to resume it. Default 3000.
    linger_ms: Millis = Millis(3000),
    /// Time in which a stopping box still serves new requests: longer than the
    /// balancer takes to notice the stop. Default 3000.
    grace_ms: Millis = Millis(3000),
    /// Time a graceful shutdown waits for open streams. Default 60000.
    stop_ms: Millis = Millis(60_000),
    /// Shortest time between two writes of one page of claims: it bounds the
    /// store's writes at 16 pages over this time. Default 50.
    claim_pause_ms: Millis = Millis(50),
    /// Time that claims of requests that must not be repeated are kept. Default one day.
    claim_ms: Millis = Millis(86_400_000),
    /// Spans and decisions kept for `tidepier explain`. Default 4096.
    ring: usize = 4096,
}

impl References for Settings {
    fn references(value: &Value, report: &mut Report) {
        for field in ["callers", "peers", "admin"] {
            check_address(value, &format!("/{field}"), report);
        }
        for field in ["store", "boxes", "weights"] {
            check_address(value, &format!("/platform/{field}"), report);
        }
        for field in ["link_keys", "seal_keys"] {
            let keys = value.get(field).and_then(Value::as_array);
            if keys.is_some_and(Vec::is_empty) {
                report.add(format!("/{field}"), "[]", "at least 1 key");
            }
        }
        check_distinct(value, report);
        check_timers(value, report);
    }
}

pub(crate) fn check_address(value: &Value, pointer: &str, report: &mut Report) {
    let Some(text) = value.pointer(pointer).and_then(Value::as_str) else {
        return;
    };
    if text.parse::<Address>().is_err() {
        report.add(
            pointer.into(),
            format!("{text:?}"),
            "IP:PORT, port 1 to 65535",
        );
    }
}

fn check_distinct(value: &Value, report: &mut Report) {
    let listen = ["/callers", "/peers", "/admin"];
    for (index, field) in listen.iter().enumerate() {
        let here = value.pointer(field).and_then(Value::as_str);
        for earlier in &listen[..index] {
            if here.is_some() && here == value.pointer(earlier).and_then(Value::as_str) {
                report.add(
                    (*field).into(),
                    format!("the address of {earlier}"),
                    "an address of its own",
                );
            }
        }
    }
}

fn check_timers(value: &Value, report: &mut Report) {
    let defaults = Tuning::default();
    let read = |field: &str, default: Millis| {
        let found = value.pointer(field).and_then(Value::as_u64);
        found.unwrap_or(default.0)
    };
    let heartbeat = read("/tuning/heartbeat_ms", defaults.heartbeat_ms);
    let suspect = read("/tuning/suspect_ms", defaults.suspect_ms);
    if suspect < 2 * heartbeat {
        report.add(
            "/tuning/suspect_ms".into(),
            suspect,
            format!("at least twice heartbeat_ms, {}", 2 * heartbeat),
        );
    }
}
