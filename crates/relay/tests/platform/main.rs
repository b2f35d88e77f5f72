//! The adapter to the users' platform: heads, what lies in the store, and the
//! store's client. The tests stand with the adapter's user, which also has the
//! recorder that its counters are read from.

mod answer;
mod catalog;
mod common;
mod request;
mod store;
