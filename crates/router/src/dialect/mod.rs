//! The OpenAI-compatible interface that callers and engines speak.
//!
//! Bodies, chunks and events are read and written here and nowhere else.

pub(crate) mod answer;
pub(crate) mod request;
