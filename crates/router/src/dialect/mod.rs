//! The protocol of clients and engines: OpenAI-compatible, with additional
//! headers of tidepier.
//!
//! Paths, headers, bodies, chunks and events are read and written only in this
//! module. A request is converted to a [`Work`](tidepier_core::work::Work), and
//! the answer is read as [`Event`](tidepier_core::answer::Event)s. Placing,
//! queueing, claiming, retrying and resuming use only these two types.

pub(crate) mod answer;
mod chat;
pub(crate) mod clients;
mod engine;
pub(crate) mod headers;
mod incoming;
mod old;
mod request;
mod resume;
mod service;
