//! The router of an entry box towards clients that speak the dialect of the
//! users' platform.
//!
//! Clients' requests come in over HTTP/1.1 with opaque bodies; headers say
//! what is asked. Each request is admitted by the operator's catalog
//! ([`exchange`]), placed on a backend server ([`choose`]), sent there
//! ([`attempt`]) and its answer passed on (`exchange/stream`). What the box knows
//! of catalog and servers comes from the platform's store ([`follow`]).
//!
//! A process has one thread; its tasks share [`relay::Relay`] and never block.
//! Names and formats of the wire are those of the `tidepier-platform` crate;
//! nothing here knows them.

pub mod attempt;
pub mod budget;
pub mod choose;
pub mod client_connections;
pub mod cold;
pub mod content;
pub mod crash;
pub mod emptied_halls;
pub mod era_state;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod follow;
pub mod health;
pub mod locations;
pub mod log;
pub mod message;
pub mod metrics;
pub mod notifier;
pub mod peer;
pub mod ready;
pub mod recall;
pub mod refusal;
pub mod relay;
mod revision_serde;
pub mod rollout;
mod rollout_controller;
mod router;
pub mod server_history;
pub mod settings;
pub mod signal;
pub mod stop;
mod timeout;
pub mod traffic;
pub mod view;

pub use router::{run, Router};
