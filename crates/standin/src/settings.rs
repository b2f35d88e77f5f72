//! Settings of the stand-ins.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tidepier_config::Document;
use tidepier_store::boxes::Entry;

use crate::engine::Spec;

/// Settings of the stand-in process. Engines and services are those of the
/// fleet document.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the box list.
    pub boxes: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
    /// Address of the admin port ([`crate::admin`]).
    pub admin: SocketAddr,
    /// The boxes on the list.
    pub list: Vec<Entry>,
    /// The fleet document: its engines and services are started.
    pub document: Document,
    /// Speed and sizes of every engine.
    #[serde(default)]
    pub engine: Spec,
    /// Time that a service's call takes, in milliseconds. Default 5.
    #[serde(default = "five")]
    pub service_ms: u64,
    /// Milliseconds between two permits of the weight store. Default 200.
    #[serde(default = "two_hundred")]
    pub permit_ms: u64,
}

fn five() -> u64 {
    5
}

fn two_hundred() -> u64 {
    200
}
