//! The fleet document: what operators declare for the whole fleet.
//!
//! The document is always applied as a whole. The platform's store keeps it in a
//! [`Record`], whose generation only grows.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tidepier_ids as ids;

use crate::check::{References, Report};
use crate::key::Hash;
use crate::settings::{check_address, Address, Millis};

/// The fleet document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The fleet's name, as in the settings of its boxes.
    pub fleet: ids::Account,
    /// The data halls.
    #[schemars(length(min = 1))]
    pub halls: Vec<ids::Hall>,
    /// The models.
    pub models: Vec<Model>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The bound on load and the queues before the engines.
    #[serde(default)]
    pub load: Load,
    /// Which engines returning chats go to.
    #[serde(default)]
    pub returning: Returning,
    /// Shares of the traffic that stay on old backends.
    #[serde(default)]
    pub old: Vec<Old>,
}

/// A model and what its engines must have loaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that clients use.
    pub name: ids::Model,
    /// The version of the weights.
    pub version: String,
    /// Adapters loaded beside the weights.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Whether an engine takes new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new requests.
    #[default]
    Active,
    /// It finishes its streams and takes no new requests.
    Leaving,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The engine's name.
    pub name: ids::Engine,
    /// Its data hall.
    pub hall: ids::Hall,
    /// The address where it serves requests.
    pub address: Address,
    /// The model it serves.
    pub model: ids::Model,
    /// Whether it takes new requests. Default active.
    #[serde(default)]
    pub state: State,
    /// Whether it refuses orders with an old fencing number. Default true.
    #[serde(default = "yes")]
    pub checks_fencing: bool,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name under `/services/`.
    pub name: ids::Service,
    /// Its servers.
    #[schemars(length(min = 1))]
    pub servers: Vec<Server>,
    /// Paths (below the service) whose POST requests must not be repeated, even if
    /// the client does not say so.
    #[serde(default)]
    pub not_repeatable: Vec<String>,
}

/// A server of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its data hall.
    pub hall: ids::Hall,
    /// The address where it serves requests.
    pub address: Address,
}

/// The priority of a request while it waits.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A person waits for the first token.
    Interactive,
    /// The usual priority.
    #[default]
    Normal,
    /// Requests that can wait.
    Batch,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name.
    pub name: ids::Account,
    /// SHA-256 hashes of its bearer keys; several while keys are rotated.
    #[schemars(length(min = 1))]
    pub key_sha256: Vec<Hash>,
    /// Models it may use.
    #[serde(default)]
    pub models: Vec<ids::Model>,
    /// Services it may use.
    #[serde(default)]
    pub services: Vec<ids::Service>,
    /// Its priority. Default normal.
    #[serde(default)]
    pub priority: Priority,
    /// Its weight when accounts of one priority compete. Default 1.
    #[serde(default = "one")]
    #[schemars(range(min = 1, max = 1000))]
    pub share: u32,
}

/// The bound on load and the queues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// No engine is given more than this multiple of the mean. Default 1.25.
    #[schemars(range(min = 1.0, max = 10.0))]
    pub multiple: f64,
    /// New chats go to engines below this multiple of the mean, which leaves room
    /// for chats that return to their engine. Default 1.1.
    #[schemars(range(min = 1.0, max = 10.0))]
    pub aim: f64,
    /// Requests that an engine may always be given, whatever the mean. Default 4.
    #[schemars(range(min = 1, max = 1000))]
    pub floor: u32,
    /// Requests that an engine runs at once. Default 32.
    #[schemars(range(min = 1, max = 10_000))]
    pub slots: u32,
    /// Requests of one account that may wait for one pool. Default 256.
    #[schemars(range(min = 0, max = 100_000))]
    pub queue: u32,
    /// Longest time that a request waits for a pool. Default 20000.
    pub wait_ms: Millis,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            multiple: 1.25,
            aim: 1.1,
            floor: 4,
            slots: 32,
            queue: 256,
            wait_ms: Millis(20_000),
        }
    }
}

/// How an engine is chosen for a chat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The engine that served the chat, else rendezvous order, within the bound.
    #[default]
    Tidepier,
    /// Baseline: any engine.
    Random,
    /// Baseline: the engine with the least load in the router's own view.
    LeastLoaded,
    /// Baseline: the hash of the chat, without a bound.
    Hash,
}

/// Rules for returning chats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Returning {
    /// How an engine is chosen. Default tidepier.
    pub policy: Policy,
    /// Bytes of a chat's first two messages that identify its prefix. Default 4096.
    #[schemars(range(min = 64, max = 1_048_576))]
    pub prefix_bytes: usize,
}

impl Default for Returning {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            prefix_bytes: 4096,
        }
    }
}

/// A share of the traffic that stays on an old backend.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Old {
    /// The model whose traffic is divided.
    pub model: ids::Model,
    /// Only this account's traffic; all accounts if left out.
    #[serde(default)]
    pub account: Option<ids::Account>,
    /// The share that goes to the old backend, in percent of chats.
    #[schemars(range(min = 0, max = 100))]
    pub percent: u8,
    /// The address where the old backend serves requests.
    pub address: Address,
}

/// The document as the store keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The document's generation, which grows by one with every accepted change.
    pub generation: ids::Generation,
    /// The random id of the change, by which its sender recognises it in the store
    /// if the answer to its write was lost.
    pub apply: ids::Request,
    /// Who applied it.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The document.
    pub document: Document,
}

impl Document {
    /// The account whose key has this hash.
    pub fn account_by_key(&self, hash: &Hash) -> Option<&Account> {
        let holds = |account: &&Account| account.key_sha256.iter().any(|key| key.matches(hash));
        self.accounts.iter().find(holds)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name.as_str() == name)
    }

    /// The engine of this name.
    pub fn engine(&self, name: &ids::Engine) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.name == *name)
    }
}

impl References for Document {
    fn references(value: &Value, report: &mut Report) {
        let halls = texts(value, "halls");
        let models = names(value, "models");
        let services = names(value, "services");
        let accounts = names(value, "accounts");
        check_duplicates(&halls, "/halls", "", report);
        check_duplicates(&models, "/models", "/name", report);
        check_duplicates(&names(value, "engines"), "/engines", "/name", report);
        check_duplicates(&services, "/services", "/name", report);
        check_duplicates(&accounts, "/accounts", "/name", report);
        check_engines(value, &halls, &models, report);
        check_services(value, &halls, report);
        check_accounts(value, &models, &services, report);
        check_old(value, &models, &accounts, report);
    }
}

fn yes() -> bool {
    true
}

fn one() -> u32 {
    1
}

fn entries<'v>(value: &'v Value, list: &str) -> &'v [Value] {
    let found = value.get(list).and_then(Value::as_array);
    found.map_or(&[], Vec::as_slice)
}

fn names<'v>(value: &'v Value, list: &str) -> Vec<&'v str> {
    let name = |entry: &'v Value| entry.get("name").and_then(Value::as_str);
    entries(value, list).iter().filter_map(name).collect()
}

fn texts<'v>(value: &'v Value, list: &str) -> Vec<&'v str> {
    entries(value, list)
        .iter()
        .filter_map(Value::as_str)
        .collect()
}

fn check_duplicates(found: &[&str], list: &str, field: &str, report: &mut Report) {
    let mut seen = BTreeSet::new();
    for (index, name) in found.iter().enumerate() {
        if !seen.insert(*name) {
            let pointer = format!("{list}/{index}{field}");
            report.add(pointer, format!("{name:?} a second time"), "each name once");
        }
    }
}

fn check_reference(pointer: String, found: Option<&Value>, allowed: &[&str], report: &mut Report) {
    let Some(name) = found.and_then(Value::as_str) else {
        return;
    };
    if !allowed.contains(&name) {
        report.add(pointer, format!("{name:?}"), one_of(allowed));
    }
}

fn one_of(allowed: &[&str]) -> String {
    if allowed.is_empty() {
        return "nothing, as none is declared".into();
    }
    format!("one of {}", allowed.join(", "))
}

fn check_engines(value: &Value, halls: &[&str], models: &[&str], report: &mut Report) {
    let mut addresses = BTreeSet::new();
    for (index, engine) in entries(value, "engines").iter().enumerate() {
        let at = format!("/engines/{index}");
        check_reference(format!("{at}/hall"), engine.get("hall"), halls, report);
        check_reference(format!("{at}/model"), engine.get("model"), models, report);
        check_address(value, &format!("{at}/address"), report);
        let address = engine.get("address").and_then(Value::as_str);
        if address.is_some_and(|address| !addresses.insert(address)) {
            let found = format!("{address:?} a second time");
            report.add(format!("{at}/address"), found, "an address of its own");
        }
    }
}

fn check_services(value: &Value, halls: &[&str], report: &mut Report) {
    for (index, service) in entries(value, "services").iter().enumerate() {
        for (nth, server) in entries(service, "servers").iter().enumerate() {
            let at = format!("/services/{index}/servers/{nth}");
            check_reference(format!("{at}/hall"), server.get("hall"), halls, report);
            check_address(value, &format!("{at}/address"), report);
        }
    }
}

fn check_accounts(value: &Value, models: &[&str], services: &[&str], report: &mut Report) {
    for (index, account) in entries(value, "accounts").iter().enumerate() {
        for (nth, model) in entries(account, "models").iter().enumerate() {
            let pointer = format!("/accounts/{index}/models/{nth}");
            check_reference(pointer, Some(model), models, report);
        }
        for (nth, service) in entries(account, "services").iter().enumerate() {
            let pointer = format!("/accounts/{index}/services/{nth}");
            check_reference(pointer, Some(service), services, report);
        }
    }
}

fn check_old(value: &Value, models: &[&str], accounts: &[&str], report: &mut Report) {
    for (index, old) in entries(value, "old").iter().enumerate() {
        let at = format!("/old/{index}");
        check_reference(format!("{at}/model"), old.get("model"), models, report);
        check_reference(
            format!("{at}/account"),
            old.get("account"),
            accounts,
            report,
        );
        check_address(value, &format!("{at}/address"), report);
    }
}
