//! Tests of the adapter to the users' platform: message heads, entries of the store, and
//! the store's client. They are in this crate because it has the recorder from which the
//! adapter's counters are read.

mod answer;
mod catalog;
mod common;
mod request;
mod store;
