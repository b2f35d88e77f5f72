//! The interface that callers and engines speak: OpenAI-compatible, with headers
//! of tidepier's own.
//!
//! Paths, headers, bodies, chunks and events are read and written here and
//! nowhere else. What is asked becomes a [`Work`](tidepier_core::work::Work),
//! what comes back is read from [`Event`](tidepier_core::answer::Event)s; placing,
//! queueing, claiming, repeating and resuming know no more than that.

pub(crate) mod answer;
pub(crate) mod callers;
mod chat;
mod engine;
pub(crate) mod headers;
mod incoming;
mod old;
mod request;
mod resume;
mod service;
