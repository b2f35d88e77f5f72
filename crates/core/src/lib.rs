//! The neutral model that requests are decided on.
//!
//! An interface that callers, backend servers or the platform speak is decoded
//! once, at the edge of a process, into the types of this crate. Code that
//! places, limits, retries or refuses requests works on these types alone and
//! knows no header, field or key of any interface.
//!
//! * [`catalog`]: what the operator declared: routes, services, accounts.
//! * [`era`]: the eras of a store, and its revisions.
//! * [`rollout`]: the operator's order to move a service to another release.
//! * [`server`]: one backend server as it announces itself.
//! * [`request`]: one request of a client.
//! * [`work`]: one admitted request, as it is placed, queued and resumed.
//! * [`answer`]: what a backend server said about one request.
//! * [`store`]: a key-value store of the platform.

pub mod answer;
pub mod catalog;
pub mod era;
pub mod request;
pub mod rollout;
pub mod server;
pub mod store;
pub mod work;
