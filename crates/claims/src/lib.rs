//! Claims that keep a request which must not be repeated from being sent more
//! than once. They are kept in pages of the platform's store.
//!
//! A box claims such a request before it sends it. Claims of many requests share
//! a page, and one compare-and-swap records all claims that wait, so that the
//! number of writes grows with the pages and not with the requests. Usually one
//! box writes a page, which avoids conflicts, but correctness does not depend on
//! it: several writers of one page do no harm.
//!
//! Invariants:
//!
//! * A key has at most one claimant at any time, decided by compare-and-swap on
//!   the page's head.
//! * A segment never changes once written. It is deleted as a whole when all of
//!   its claims are older than the retention time.
//! * If a claim's write was not answered, the claim is granted only if a later
//!   read shows it with the claimant's own request id.

mod entry;
mod page;
mod pages;

pub use entry::{Claimant, Entry, Key};
pub use page::{Page, Verdict};
pub use pages::{Pages, PAGES};
