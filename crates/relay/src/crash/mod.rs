//! Servers that end under the requests that they run, and requests that are refused
//! for it.
//!
//! A request may end each server that begins to run it, and its client sends it
//! again, as a new attempt, to any box. Without a memory of its content each attempt
//! costs a server, and each server the requests of the other callers there: in the
//! incident that showed it 25 servers, and about 5 requests of others each.
//!
//! * [`suspects`]: requests whose sending broke off, by server.
//! * `inquiry`: finds out whether such a server ended.
//! * [`table`]: which contents servers ended under; boxes tell each other.

mod inquiry;
pub mod suspects;
pub mod table;

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

use crate::content::Fingerprint;
use crate::fleet::Key;
use suspects::Suspects;
use table::{Change, Row, Table};

pub(crate) use inquiry::run as probe_suspects;

/// Time between two looks at what is no longer needed.
const LOOK_TIME: Duration = Duration::from_secs(5);

/// What one box knows of servers that ended under requests.
#[derive(Default)]
pub struct Crashes {
    /// Requests that broke off at servers that may have ended.
    pub suspects: Suspects,
    /// What this box and others saw.
    pub table: Table,
}

impl Crashes {
    /// Records that a server ended under a content at `at`.
    fn ended(&self, content: Fingerprint, server: Key, at: Instant) {
        tell(self.table.ended(content, server, at));
    }

    /// Records a whole success: such a request ends no server.
    pub(crate) fn answered(&self, content: Fingerprint) {
        tell(self.table.answered(content, Instant::now()));
    }

    /// Lets a content pass, by the operator's word.
    pub(crate) fn pardon(&self, content: Fingerprint) {
        log::info!(target: "request", "event=content_pardoned content={content}");
        tell(self.table.clear(content, Instant::now()));
    }

    /// Takes over what another box told.
    pub(crate) fn merge_rows(&self, rows: &[Row], now: Instant) {
        tell(self.table.take(rows, now));
    }
}

fn tell(changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        match change {
            Change::Refused(content, ends, left) => log::warn!(
                target: "request",
                "event=content_refused content={content} ends={ends} for_s={}",
                left.as_secs()
            ),
            Change::Cleared(content) => {
                log::info!(target: "request", "event=content_passes content={content}");
            }
        }
    }
}

/// Forgets what is no longer needed, and tells by metrics what is refused; does not
/// end.
pub(crate) async fn run_expiry(crashes: Rc<Crashes>) -> Infallible {
    loop {
        Timer::after(LOOK_TIME).await;
        let now = Instant::now();
        let table = &crashes.table;
        table.forget(now);
        metrics::gauge!("tidepier_contents_refused").set(table.count_refused(now) as f64);
        metrics::gauge!("tidepier_contents_suspected").set(table.len() as f64);
    }
}
