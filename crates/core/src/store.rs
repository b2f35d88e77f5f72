//! A key-value store as processes use it: reads, watches, conditional writes, leases.
//!
//! There is one client for each kind of store, which implements [`Store`]. Code that
//! uses a store names only the types of this module, except where it creates the
//! client.
//!
//! Invariants:
//!
//! * A failed call says whether it may have been carried out: see [`Failure`]. A
//!   refusal because of the store's contents is not a failure: see [`Swap`] and
//!   [`LeaseState`].
//! * A client does not repeat a call after an answer, a refusal or the time limit. A
//!   client that may send a call twice before that states so in the documentation of
//!   its type.
//! * The items of one read are of the same era of the store, and a watch ends with its
//!   era.
//! * Waiting for changes does not block other calls.
//!
//! The futures of this trait are `Send` only if those of the client are. The trait
//! cannot require that without excluding single-threaded clients, so tasks that are
//! spawned on several threads name the concrete type of their client.

use std::io;
use std::time::Duration;

use crate::era::StaleEra;
pub use crate::era::{Era, Revision};

/// A lease: items that are bound to it are removed when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A value that was read, and the state of the store that it was read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read<T> {
    /// The value.
    pub value: T,
    /// The state; the default if the store's answer does not state it.
    pub revision: Revision,
}

/// One item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last change.
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
        /// The revision of the removal.
        revision: Revision,
    },
}

impl Event {
    /// The key of the changed item.
    pub fn key(&self) -> &str {
        match self {
            Event::Put(item) => &item.key,
            Event::Delete { key, .. } => key,
        }
    }

    /// The revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Event::Put(item) => item.revision,
            Event::Delete { revision, .. } => *revision,
        }
    }
}

/// The items to watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope<'a> {
    /// The item with this key.
    Key(&'a str),
    /// All items whose keys begin with this prefix.
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

/// Outcome of a [`Store::swap`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// All writes and removals were made, at this revision.
    Done(Revision),
    /// Nothing was changed: an item was not at the expected revision. If the client may
    /// send a call twice, the conflicting change may be the call's own.
    Conflict(Current),
    /// The store was restored from an older backup after the expected revisions were
    /// read. If they matched, they did so by coincidence; whatever was changed was
    /// changed under other conditions.
    EraChanged,
    /// Nothing was changed: a lease has ended.
    LeaseExpired,
}

/// The items whose revisions were expected, as they are after a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Current {
    /// The items; absent ones are not included.
    Items(Vec<Item>),
    /// The store's answer does not include them: they have to be read.
    NotReported,
}

/// A lease that was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// How long it runs from the time at which the call reached the store.
    pub ttl: Duration,
}

/// Outcome of renewing a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease runs for this long from the time at which the call reached the store.
    For(Duration),
    /// The lease has ended.
    Gone,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Refused because of too many calls; not carried out.
    #[error("the store refused the call: too many calls")]
    TooMany,
    /// Refused because the store is unavailable; not carried out.
    #[error("the store is unavailable")]
    Unavailable,
    /// The store no longer has the changes that were requested.
    #[error("the store no longer has the requested changes")]
    Compacted,
    /// The store was restored from an older backup: the changes that were requested are
    /// of another era.
    #[error("the store was restored from an older backup")]
    Restored,
    /// The answer is of a stale era: it must not be used.
    #[error(transparent)]
    StaleEra(#[from] StaleEra),
    /// Refused with another status; not carried out.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store was not reached; not carried out.
    #[error("the store was not reached: {0}")]
    NotSent(io::Error),
    /// No complete answer arrived in time, or one that does not tell the outcome; the
    /// call may have been carried out, or may be later.
    #[error("the store did not answer: {0}")]
    NoAnswer(io::Error),
    /// The answer is unreadable; the call may have been carried out.
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

/// A client of a store. `limit` is the time limit of a call.
#[expect(
    async_fn_in_trait,
    reason = "whether a future is `Send` is for the client: see the module"
)]
pub trait Store {
    /// A running watch.
    type Watch: Watch;

    /// Reads the current state of one item.
    ///
    /// # Errors
    ///
    /// See [`Failure`].
    async fn get(&self, key: &str, limit: Duration) -> Result<Read<Option<Item>>, Failure>;

    /// Reads all items whose keys begin with `prefix`. `stale` allows the store to
    /// answer from a state that is some seconds old.
    ///
    /// The items may be of different states of the store, but none is older than the
    /// revision: a watch from there misses no change.
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

    /// Creates a watch for changes after the revision `after`; makes no call yet.
    fn watch(&self, scope: Scope<'_>, after: Revision) -> Self::Watch;

    /// Writes and removes items if all of `expected` have these revisions, where the
    /// default revision stands for an absent item. Makes all changes or none.
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

    /// Requests a lease. It runs from the time at which the call reaches the store, so
    /// the caller has to count from before the call.
    ///
    /// # Errors
    ///
    /// See [`Failure`]; a lease that was granted nevertheless expires unused.
    async fn lease(&self, ttl: Duration, limit: Duration) -> Result<Lease, Failure>;

    /// Renews a lease. The caller has to count its time from before the call.
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
    /// Waits up to `wait` for the next changes; returns none of them when that time is
    /// over. The revision is the one up to which all changes are known.
    ///
    /// # Errors
    ///
    /// See [`Failure`]; [`Failure::Compacted`] if the store no longer has the changes.
    /// After a failure the items have to be read again.
    async fn next(&mut self, wait: Duration) -> Result<Read<Vec<Event>>, Failure>;
}
