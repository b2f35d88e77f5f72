//! The router process of an entry box.
//!
//! A [`Node`] is one running router. It accepts the clients' requests, obtains
//! for each a place on an engine from the keeper of the engine's pool, and
//! returns the complete answer. There are modules for each party that a router
//! communicates with: clients, peers, keepers, engines, the store.
//!
//! Every task of a node runs on its own executor, so that dropping the executor
//! ends the node like a killed process: its sockets close, and no peer is
//! notified.

mod admin;
mod apply;
mod at_most_once;
mod budget;
mod deadline;
mod dial;
mod dialect;
mod document;
mod engine;
mod fates;
mod follow;
mod heartbeat;
mod holdings;
mod job;
mod keeper;
mod links;
mod members;
mod node;
mod peers;
mod phase;
mod place;
mod pools;
mod port;
mod pressure;
mod probe;
mod seal;
mod start;
mod status;
mod stop;
mod stream;
mod trace;

pub use admin::set_metrics;
pub use apply::{Applied, Apply};
pub use node::Node;
pub use phase::Phase;
pub use status::{BoxStatus, PoolStatus, Status};
pub use trace::Span;
