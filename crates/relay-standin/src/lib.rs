//! Stand-ins of everything around a relay, for its tests: the platform's
//! store, backend servers and clients.
//!
//! All of them run inside the test's process on loopback ports that the system
//! picks. Each has switches for faults, which may be set at any time, and keeps
//! a record of what it saw, so that a test asserts on what reached a socket and
//! not on what the relay says of itself.
//!
//! Invariants:
//!
//! * Dropping a stand-in closes its port and its connections.
//! * A stand-in never repairs what a fault broke: a swallowed call stays
//!   unanswered on its connection.
//! * The wire's names are spelled in [`names`] alone, independently of the
//!   code under test, which plays the other side.

pub mod client;
mod front;
pub mod names;
pub mod server;
pub mod site;
pub mod store;

pub use client::Client;
pub use server::Server;
pub use site::Site;
pub use store::Store;
