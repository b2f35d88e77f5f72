//! Names on the wire, as the far side spells them.
//!
//! The stand-ins play the other side of the wire. Fields of heads, keys, paths
//! and query names are those of `tidepier-platform`, whose own tests spell them
//! out, so that a misspelling fails those. JSON fields, which that crate spells
//! at the types that they are decoded into, are spelled here a second time.

pub use tidepier_platform::key::{CONFIG, EMPTIED, OPERATOR, SERVERS};
pub use tidepier_platform::names::{
    ATTEMPT, CACHE_LIST_PATH as KEPT, DEADLINE, ERA, INSTANCE, LAST_EVENT, LEAVING, LOAD,
    NOT_EXECUTED, PRIORITY, PROMPT_PREFIX as PROMPT, READY_PATH as READY, REPORT_PATH as REPORT,
    RETRY_AFTER, SEAL, STORE_FROM as FROM, STORE_KEY as KEY, STORE_PREFIX as PREFIX,
    STORE_WAIT as WAIT, TARGET, TENANT as ACCOUNT,
};

/// Beginning of the paths of all of the store's calls.
pub const CALLS: &str = "/-/";

/// Where boxes keep the era of the store in which they found the operator's entries whole.
pub const MARK: &str = "tidepier/era";
/// Field of the store's revision.
pub const NOW: &str = "timestamp";
/// Field of an item's last change.
pub const REVISION: &str = "revision";
/// Field of a transaction's conditions.
pub const EXPECTED: &str = "expected_revision";
/// Field of a transaction's writes.
pub const WRITE: &str = "write";
/// Field of a transaction's removals.
pub const REMOVE: &str = "remove";
/// Field of items.
pub const ENTRIES: &str = "entries";
/// Field that announces further pages.
pub const MORE: &str = "has_more";
/// Field of a lease's id.
pub const LEASE: &str = "lease_id";
/// Field of a lease's time, in milliseconds.
pub const TTL: &str = "ttl_ms";
