//! Names on the wire, as the peers of the relay use them.
//!
//! The names of head fields, keys, paths and query parameters come from
//! `tidepier-platform`, whose own tests spell them out, so that a misspelling fails there.
//! JSON fields, which that crate spells at the types that they are decoded into, are
//! spelled here a second time.

pub use tidepier_platform::key::{CONFIG, EMPTIED, OPERATOR, SERVERS};
pub use tidepier_platform::names::{
    ATTEMPT, CACHE_LIST_PATH as CACHE_LIST, DEADLINE, ERA, INSTANCE, LAST_EVENT, LEAVING, LOAD,
    NOT_EXECUTED, PRIORITY, PROMPT_PREFIX as PROMPT, READY_PATH as READY, REPORT_PATH as REPORT,
    RESUMES, RETRY_AFTER, SEAL, STORE_FROM as FROM, STORE_KEY as KEY, STORE_PREFIX as PREFIX,
    STORE_WAIT as WAIT, TARGET, TENANT as ACCOUNT,
};

/// Field by which a request tells a stand-in server how long its work takes, in milliseconds.
pub const WORK: &str = "X-Work-Ms";

/// Prefix of the paths of all store calls.
pub const CALLS_PREFIX: &str = "/-/";

/// Key under which boxes store the era in which they found the operator entries complete.
pub const MARK: &str = "tidepier/era";
/// Field with the revision of the store.
pub const STORE_REVISION: &str = "timestamp";
/// Field with the revision of the last change of an item.
pub const REVISION: &str = "revision";
/// Field with the conditions of a transaction.
pub const EXPECTED: &str = "expected_revision";
/// Field with the writes of a transaction.
pub const WRITE: &str = "write";
/// Field with the removals of a transaction.
pub const REMOVE: &str = "remove";
/// Field with the items.
pub const ENTRIES: &str = "entries";
/// Field that says whether there are further pages.
pub const MORE: &str = "has_more";
/// Field with the id of a lease.
pub const LEASE: &str = "lease_id";
/// Field with the duration of a lease, in milliseconds.
pub const TTL: &str = "ttl_ms";
