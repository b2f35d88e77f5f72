//! The router of an entry box, for clients that use the protocol of the users' platform.
//!
//! Clients send requests over HTTP/1.1, with opaque bodies; header fields describe the
//! request. Each request is checked against the operator's catalog ([`exchange`]) and
//! placed on a backend server ([`choose`]). The router then forwards it to that server
//! ([`attempt`]) and forwards the answer to the client (`exchange/stream`). Catalog and
//! servers come from the platform's store ([`follow`]).
//!
//! The process has one thread, whose tasks share [`relay::Relay`] and never block. All
//! names and formats of the platform's protocol are defined in the `tidepier-platform`
//! crate and unknown to this one.

pub mod answer_times;
pub mod attempt;
pub mod backlog;
pub mod budget;
pub mod choose;
pub mod client_connections;
pub mod cold;
pub mod content;
pub mod crash;
mod crash_probe;
pub mod dial;
pub mod emptied_halls;
pub mod era_state;
pub mod events;
pub mod exchange;
mod first_start;
pub mod fleet;
pub mod follow;
pub mod health;
mod health_check;
pub mod inbound;
pub mod locations;
pub mod log;
pub mod message;
pub mod metrics;
pub mod network;
pub mod notifier;
pub mod origin;
pub mod peer;
pub mod ready;
pub mod recall;
pub mod refusal;
pub mod relay;
mod release_recorder;
mod revision_serde;
pub mod rollout;
mod rollout_controller;
mod router;
pub mod server_history;
pub mod settings;
pub mod signal;
pub mod stalls;
pub mod stop;
mod timeout;
pub mod traffic;
pub mod tunnel;
pub mod view;

pub use router::{run, Router};
