//! Decides which engine serves a request: rendezvous order, the bound on an
//! engine's load, and the fair queue of requests that wait for a pool of
//! engines.
//!
//! A [`Pool`] holds the engines of one model in one hall. One box of that hall,
//! the pool's keeper, decides every placement in it. The bound on load is
//! therefore exact and needs no load reports: the keeper counts what it has
//! granted.
//!
//! Invariants, for the grants of one keeper:
//!
//! * An engine is granted a request only while its open grants, that one
//!   included, are at most `max(floor, ceil(multiple * mean))` and at most
//!   `slots`. The mean is taken over the pool's active engines and counts that
//!   request.
//! * An engine that is leaving or ejected is granted nothing.
//! * Within one priority, the waiting account with the fewest open grants
//!   relative to its share is served first.

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
