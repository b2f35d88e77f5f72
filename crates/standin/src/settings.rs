//! Settings of the stand-ins.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tidepier_config::Document;
use tidepier_store::boxes::Entry;

use crate::engine::Spec;

/// What to stand in for. Engines and services are those of the document.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where the store serves.
    pub store: SocketAddr,
    /// Where the box list serves.
    pub boxes: SocketAddr,
    /// Where the weight store serves.
    pub weights: SocketAddr,
    /// Where switches and counts are served.
    pub admin: SocketAddr,
    /// The boxes on the list.
    pub list: Vec<Entry>,
    /// The fleet document: its engines and services are started.
    pub document: Document,
    /// The make of all engines.
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
