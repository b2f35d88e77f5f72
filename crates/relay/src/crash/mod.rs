//! Requests that crash the servers that execute them, and the refusal of such requests.
//!
//! A request may crash each server that begins to execute it, and its client sends it
//! again, as a new attempt, to any box. Unless boxes remember its content, each attempt costs a
//! server, and each server the requests of other clients that it was executing: in the
//! incident that led to this, 25 servers and about 5 requests of others each.
//!
//! * [`suspects`]: requests whose connections broke, by server.
//! * [`table`]: the contents that servers crashed under, which boxes report to each
//!   other.
//!
//! Whether a server has crashed is found out by `crash_probe`.

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

/// Interval at which expired records are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// What one box knows of servers that crashed under requests.
#[derive(Default)]
pub struct Crashes {
    /// Requests that broke off at servers that may have crashed.
    pub suspects: Suspects,
    /// The crashes that this box and others have observed.
    pub table: Table,
}

impl Crashes {
    /// Records that a server crashed at `at` while it executed a request with this content.
    pub(crate) fn record_crash(&self, content: Fingerprint, server: Key, at: Instant) {
        log_changes(self.table.record_crash(content, server, at));
    }

    /// Records a complete successful answer: a request with this content does not crash
    /// servers.
    pub(crate) fn answered(&self, content: Fingerprint) {
        log_changes(self.table.answered(content, Instant::now()));
    }

    /// Allows a content again at the operator's request.
    pub(crate) fn pardon(&self, content: Fingerprint) {
        log::info!(target: "request", "event=content_pardoned content={content}");
        log_changes(self.table.clear(content, Instant::now()));
    }

    /// Merges rows that another box reported.
    pub(crate) fn merge_rows(&self, rows: &[Row], now: Instant) {
        log_changes(self.table.merge(rows, now));
    }
}

fn log_changes(changes: impl IntoIterator<Item = Change>) {
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

/// Removes expired records and sets the gauges of suspected and refused contents; does
/// not return.
pub(crate) async fn run_expiry(crashes: Rc<Crashes>) -> Infallible {
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        let now = Instant::now();
        let table = &crashes.table;
        table.remove_expired(now);
        metrics::gauge!("tidepier_contents_refused").set(table.count_refused(now) as f64);
        metrics::gauge!("tidepier_contents_suspected").set(table.len() as f64);
    }
}
