//! At-most-once claims of not-repeatable requests, kept in pages of the
//! platform's store.
//!
//! A request is claimed before it is sent. Claims of many requests share a
//! page, and one compare-and-swap records all that wait, so that the store's
//! writes grow with the pages and not with the requests. Which box writes a
//! page is only a hint: two writers of one page are harmless.
//!
//! Invariants:
//!
//! * A key has at most one claimant at any time, decided by compare-and-swap on
//!   the page's head.
//! * A segment never changes once written; it is dropped as a whole when all
//!   of its claims are older than the time that claims are kept.
//! * A claim whose write was not answered is granted only if a later read
//!   shows it with the claimant's own request id.

mod entry;
mod page;
mod pages;

pub use entry::{Claimant, Entry, Key};
pub use page::{Page, Verdict};
pub use pages::{Pages, PAGES};
