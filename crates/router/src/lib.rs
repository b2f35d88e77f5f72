//! The router process of an entry box.
//!
//! A [`Node`] is one running router: it takes callers' requests, finds each a
//! place on an engine through the keeper of the engine's pool, and carries the
//! answer back whole. Modules follow the things a router deals with: callers,
//! peers, keepers, engines, the store.
//!
//! Every task of a node runs on its own executor, so that dropping the
//! executor ends the node as a killed process ends: sockets close, nothing is
//! said.

mod admin;
mod apply;
mod beats;
mod budget;
mod deadline;
mod dial;
mod dialect;
mod document;
mod door;
mod engine;
mod fates;
mod follow;
mod held;
mod job;
mod keeper;
mod links;
mod members;
mod node;
mod once;
mod peers;
mod phase;
mod place;
mod pools;
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
