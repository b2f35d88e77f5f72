//! HTTP/1.1 at the edges of a process: guarded server connections, a pooled
//! client, event streams.
//!
//! Parsing and encoding are `async-h1`'s. This crate adds what a process that
//! faces callers and engines needs beside that: limits, deadlines, a clear
//! answer to a bad request, notice of a caller who has left, and proof that a
//! response body is whole.
//!
//! Invariants:
//!
//! * A body that ends before its declared length is an error, never a result.
//! * A connection goes back to its pool only after a whole response.
//! * Memory for one connection is bounded by the limits in [`server::Limits`], that for the
//!   bodies of all of them by [`memory::Memory`].

pub mod body;
pub mod client;
pub mod dial;
pub mod events;
pub mod memory;
mod metered;
pub mod server;

pub use http_types;
