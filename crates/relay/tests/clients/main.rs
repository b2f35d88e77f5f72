//! What clients must not bring a router process to, whatever they send: an end, a hang,
//! more memory or descriptors than its settings give it, or requests of others that are not
//! answered.
//!
//! Each test starts a process of its own with lowered limits and a small crowd of clients.
//! The tests run one after the other.

mod bodies;
mod crowd;
mod harness;
mod heads;
mod ports;
