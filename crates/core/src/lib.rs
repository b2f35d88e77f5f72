//! The neutral model on which all decisions on requests are made.
//!
//! The interfaces of clients, backend servers and the platform are decoded once, at the
//! edge of a process, into the types of this crate. Code that places, limits, retries
//! or refuses requests uses these types only, and knows no header, field or key of any
//! interface.
//!
//! * [`catalog`]: what the operator declared: routes, services, accounts.
//! * [`era`]: the eras of a store, and its revisions.
//! * [`rollout`]: the operator's order to move a service to another release.
//! * [`server`]: one backend server, as it advertises itself.
//! * [`request`]: one request of a client.
//! * [`work`]: one admitted request for a model engine, as it is placed, queued,
//!   retried and resumed.
//! * [`address`]: addresses that others state as their own.
//! * [`answer`]: a backend server's answer to one request.
//! * [`store`]: a key-value store of the platform.

pub mod address;
pub mod answer;
pub mod catalog;
pub mod era;
pub mod request;
pub mod rollout;
pub mod server;
pub mod store;
pub mod work;
