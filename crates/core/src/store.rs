//! A key-value store as processes use it: reads, watches, changes under
//! conditions, leases.
//!
//! There is one client of each kind of store, which implements [`Store`].
//! Whoever uses a store names the types of this module only, but for the place
//! at which the client is made.
//!
//! Invariants:
//!
//! * A call that failed says whether it may have been done: see [`Failure`].
//!   What the store refused because of its contents is no failure: see
//!   [`Swap`] and [`LeaseState`].
//! * Nothing is repeated after an answer, a refusal or the end of the time. A
//!   client that may send a call twice before that says so at its type.
//! * What is read together is of one era of the store, and a watch goes on in its era
//!   alone.
//! * Waiting for changes holds up no other call.
//!
//! Futures of a client are only `Send` where the client's are, and the trait
//! cannot ask for that without taking it from those of one thread. So tasks
//! that are spawned over several threads hold a client by its own type.

use std::io;
use std::time::Duration;

use crate::era::StaleEra;
pub use crate::era::{Era, Revision};

/// A lease: items that are bound to it go when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// What was read, and the state of the store it was read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read<T> {
    /// What was read.
    pub value: T,
    /// The state; the default where the store's answer does not state it.
    pub revision: Revision,
}

/// One item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Its last change.
    pub revision: Revision,
    /// The lease it is bound to.
    pub lease: Option<LeaseId>,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An item was written.
    Put(Item),
    /// An item was removed.
    Delete {
        /// Its key.
        key: String,
        /// The removal.
        revision: Revision,
    },
}

impl Event {
    /// The key of the item that was changed.
    pub fn key(&self) -> &str {
        match self {
            Event::Put(item) => &item.key,
            Event::Delete { key, .. } => key,
        }
    }

    /// The change's revision.
    pub fn revision(&self) -> Revision {
        match self {
            Event::Put(item) => item.revision,
            Event::Delete { revision, .. } => *revision,
        }
    }
}

/// Items that are watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope<'a> {
    /// The one of this key.
    Key(&'a str),
    /// All whose keys begin so.
    Prefix(&'a str),
}

/// An item to be written.
#[derive(Debug, Clone, Copy)]
pub struct Write<'a> {
    /// Its key.
    pub key: &'a str,
    /// Its value.
    pub value: &'a [u8],
    /// The lease to bind it to.
    pub lease: Option<LeaseId>,
}

/// What became of a [`Store::swap`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// Everything was done, in this change.
    Done(Revision),
    /// Nothing was done: an item was not as expected. Of a client that may send
    /// a call twice, the change that came first may be its own.
    Conflict(Current),
    /// The store went back to an older copy since the conditions were learned. They held
    /// by chance, if they did, and whatever was done was done under other conditions.
    EraChanged,
    /// Nothing was done: a lease is over.
    LeaseExpired,
}

/// Items whose revisions were expected, as they are after a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Current {
    /// These; an absent one is not among them.
    Items(Vec<Item>),
    /// The store's answer does not say: they have to be read.
    NotReported,
}

/// A lease that was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// How long it runs, from when the call reached the store.
    pub ttl: Duration,
}

/// What became of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease runs so long from when the call reached the store.
    For(Duration),
    /// The lease is over.
    Gone,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Refused for too many calls; not done.
    #[error("the store refuses: too many calls")]
    TooMany,
    /// Refused; not done.
    #[error("the store is unavailable")]
    Unavailable,
    /// The changes that were asked for are no longer known.
    #[error("the store no longer knows these changes")]
    Compacted,
    /// The store went back to an older copy: what was asked for is of another era.
    #[error("the store went back to an older copy meanwhile")]
    Restored,
    /// The answer is of a former era: it is over, and what it tells of no use.
    #[error(transparent)]
    StaleEra(#[from] StaleEra),
    /// Refused with another status; not done.
    #[error("the store refuses with status {0}")]
    Refused(u16),
    /// The store was not reached; not done.
    #[error("the store was not reached: {0}")]
    NotSent(io::Error),
    /// No whole answer came in time, or one that leaves it open; the call may
    /// have been done, or be done later.
    #[error("the store did not answer: {0}")]
    NoAnswer(io::Error),
    /// The answer cannot be read; the call may have been done.
    #[error("the store's answer is unreadable: {0}")]
    Malformed(String),
}

impl Failure {
    /// A short name for counters.
    pub fn name(&self) -> &'static str {
        match self {
            Failure::TooMany => "too_many",
            Failure::Unavailable => "unavailable",
            Failure::Compacted => "compacted",
            Failure::Restored => "restored",
            Failure::StaleEra(_) => "former_era",
            Failure::Refused(_) => "refused",
            Failure::NotSent(_) => "not_sent",
            Failure::NoAnswer(_) => "no_answer",
            Failure::Malformed(_) => "malformed",
        }
    }
}

/// A client of a store. `limit` is the longest time for a call.
#[expect(
    async_fn_in_trait,
    reason = "whether a future is `Send` is for the client: see the module"
)]
pub trait Store {
    /// A running watch.
    type Watch: Watch;

    /// Reads one item, as it is now.
    ///
    /// # Errors
    ///
    /// See [`Failure`].
    async fn get(&self, key: &str, limit: Duration) -> Result<Read<Option<Item>>, Failure>;

    /// Reads all items whose keys begin with `prefix`. `stale` allows the store
    /// to answer from a state some seconds old.
    ///
    /// The items may be of different states of the store, none older than the
    /// revision: a watch after it misses nothing.
    ///
    /// # Errors
    ///
    /// See [`Failure`].
    async fn list(
        &self,
        prefix: &str,
        stale: bool,
        limit: Duration,
    ) -> Result<Read<Vec<Item>>, Failure>;

    /// A watch for changes after `after`; calls nothing yet.
    fn watch(&self, scope: Scope<'_>, after: Revision) -> Self::Watch;

    /// Writes and removes items if all of `expected` have these revisions; the default
    /// stands for an absent item. Does everything or nothing.
    ///
    /// # Errors
    ///
    /// See [`Failure`].
    async fn swap(
        &self,
        expected: &[(&str, Revision)],
        write: &[Write<'_>],
        remove: &[&str],
        limit: Duration,
    ) -> Result<Swap, Failure>;

    /// Asks for a lease. It runs from when the call reaches the store, so
    /// count from before the call.
    ///
    /// # Errors
    ///
    /// See [`Failure`]; a lease that was granted all the same lapses unused.
    async fn lease(&self, ttl: Duration, limit: Duration) -> Result<Lease, Failure>;

    /// Renews a lease. Count from before the call.
    ///
    /// # Errors
    ///
    /// See [`Failure`].
    async fn renew(&self, id: LeaseId, limit: Duration) -> Result<LeaseState, Failure>;

    /// Ends a lease, and removes the items bound to it.
    ///
    /// # Errors
    ///
    /// See [`Failure`].
    async fn end(&self, id: LeaseId, limit: Duration) -> Result<(), Failure>;
}

/// A running watch.
#[expect(
    async_fn_in_trait,
    reason = "whether a future is `Send` is for the client: see the module"
)]
pub trait Watch {
    /// Waits up to `wait` for the next changes; there are none if it passes.
    /// The revision is that up to which changes are known.
    ///
    /// # Errors
    ///
    /// See [`Failure`]; [`Failure::Compacted`] when the changes are no longer
    /// known. After a failure the items have to be read again.
    async fn next(&mut self, wait: Duration) -> Result<Read<Vec<Event>>, Failure>;
}
