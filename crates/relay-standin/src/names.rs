//! Names on the wire, as the far side spells them.
//!
//! The stand-ins play the other side of the wire. Keys and paths that
//! `tidepier-platform` makes public are taken from there; the other names it
//! keeps to itself, and they are spelled here a second time, so that a
//! misspelling on either side fails a test.

pub use tidepier_platform::call::REPORT;
pub use tidepier_platform::key::{CONFIG, OPERATOR, SERVERS};

/// Client's id of an attempt; carried back by answers.
pub const ATTEMPT: &str = "Attempt-Id";
/// Milliseconds that the sender still waits.
pub const DEADLINE: &str = "Deadline-Ms";
/// The one server that may run a request.
pub const TARGET: &str = "Target-Instance";
/// The id of the server that answers.
pub const INSTANCE: &str = "Instance-Id";
/// A server's signature under its answer.
pub const SEAL: &str = "Response-Seal";
/// Running, waiting and slots of a server.
pub const LOAD: &str = "Server-Load";
/// The request did not run and never will.
pub const NOT_RUN: &str = "Not-Executed";
/// Last event that a resuming client has.
pub const LAST_EVENT: &str = "Last-Event-Id";
/// Parts of a prompt.
pub const PROMPT: &str = "Prompt-Prefix";
/// Urgency set by the system.
pub const PRIORITY: &str = "Request-Priority";
/// Seconds after which to try again.
pub const RETRY_AFTER: &str = "Retry-After";

/// Beginning of the paths of all of the store's calls.
pub const CALLS: &str = "/-/";

/// Field and query name of a key.
pub const KEY: &str = "key_file";
/// Query name of a beginning of keys.
pub const PREFIX: &str = "path_prefix";
/// Query name of where to go on: a key for pages, a revision for watches.
pub const FROM: &str = "start_revision";
/// Query name of a watch's patience, in milliseconds.
pub const WAIT: &str = "wait_ms";
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
