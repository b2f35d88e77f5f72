//! Which engine serves a request: rendezvous order, the bound on load, and the
//! fair queue before a pool of engines.
//!
//! A [`Pool`] holds the engines of one model in one hall. Its keeper, one box
//! of that hall, decides every placement in it, so that the bound is exact
//! and needs no load report: the keeper counts what it has granted.
//!
//! Invariants, for the grants of one keeper:
//!
//! * An engine is granted a request only while its open grants, that one
//!   included, are at most `max(floor, ceil(multiple * mean))`, the mean being
//!   over the pool's active engines and counting that one, and at most `slots`.
//! * A leaving or failed engine is granted nothing.
//! * Within one priority, a waiting account with fewer open grants for its
//!   share goes first.

mod ask;
mod baseline;
mod engine;
mod order;
mod pool;
mod queue;

pub use ask::{Ask, Ended, Grant, Ticket, Verdict};
pub use baseline::{choose, Candidate};
pub use engine::Engine;
pub use order::{by_rendezvous, rank};
pub use pool::Pool;
