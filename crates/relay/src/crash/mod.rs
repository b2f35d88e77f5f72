//! Requests that crash the servers that execute them, and the refusal of such requests.
//!
//! A request may crash each server that begins to execute it, and its client sends it
//! again, as a new attempt, to any box. Unless boxes remember its content, each attempt costs a
//! server, and each server the requests of other clients that it was executing: in the
//! incident that led to this, 25 servers and about 5 requests of others each.
//!
//! The cause may also be a part of a prompt, whatever else the request holds, so that no two
//! such requests are alike. A part is refused once servers have crashed at several moments
//! under requests that hold it and no such request was answered meanwhile: sound requests
//! clear all their parts, of which they share all but the cause with the others. While there
//! are no such answers, the parts that come with the cause are refused only together with it.
//!
//! * [`suspects`]: requests whose connections broke, by server.
//! * [`table`]: the contents and the parts that servers crashed under, which boxes report
//!   to each other.
//! * [`trials`]: how a refused part gets a request again.
//!
//! Whether a server has crashed is found out by `crash_probe`.

pub mod suspects;
pub mod table;
pub mod trials;

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

use crate::content::Fingerprint;
use crate::fleet::Key;
use suspects::Suspects;
use table::{Change, Kind, Row, Table};
use trials::Trials;

/// Interval at which expired records are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// What one box knows of servers that crashed under requests.
pub struct Crashes {
    /// Requests that broke off at servers that may have crashed.
    pub suspects: Suspects,
    /// The crashes under contents that this box and others have observed.
    pub table: Table,
    /// The same under parts of prompts.
    pub parts: Table,
    trials: Trials,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            suspects: Suspects::default(),
            table: Table::default(),
            parts: Table::new(Kind::Part),
            trials: Trials::default(),
        }
    }
}

impl Crashes {
    /// Records that a server crashed at `at` while it executed a request with this content.
    pub(crate) fn record_crash(&self, content: Fingerprint, server: Key, at: Instant) {
        let change = self.table.record_crash(content, server, at);
        log_changes(Kind::Content, change);
    }

    /// Records that a server crashed at `at` while it executed requests with this part.
    pub(crate) fn record_part_crash(&self, part: u64, server: Key, at: Instant) {
        let part = Fingerprint::of_part(part);
        log_changes(Kind::Part, self.parts.record_crash(part, server, at));
    }

    /// Records a complete successful answer: a request with this content and these parts does
    /// not crash servers.
    pub(crate) fn answered(&self, content: Fingerprint, parts: impl Iterator<Item = u64>) {
        let now = Instant::now();
        log_changes(Kind::Content, self.table.answered(content, now));
        if !self.parts.is_empty() {
            let parts = parts.map(Fingerprint::of_part);
            log_changes(
                Kind::Part,
                parts.filter_map(|it| self.parts.answered(it, now)),
            );
        }
    }

    /// The first of these parts that keeps a request from being sent, and for how much longer. `content`: that of
    /// the request, which may be the one that tries a part again. `boxes`: the boxes that
    /// try parts.
    pub(crate) fn refused_part(
        &self,
        content: Fingerprint,
        parts: impl Iterator<Item = u64>,
        boxes: usize,
    ) -> Option<(u64, Duration)> {
        if self.parts.is_empty() {
            return None;
        }
        let now = Instant::now();
        let parts: Vec<Fingerprint> = parts.map(Fingerprint::of_part).collect();
        let on_trial = |part: &Fingerprint| {
            let time = self.parts.on_trial_for(*part, now)?;
            let left = self.trials.refused(*part, content, time, boxes, now)?;
            Some((*part, left))
        };
        let blocking = self.parts.blocking(&parts, now);
        let (part, left) = blocking.or_else(|| parts.iter().find_map(on_trial))?;
        Some((part.as_u64(), left))
    }

    /// Allows a content or a part again at the operator's request.
    pub(crate) fn pardon(&self, content: Fingerprint) {
        log::info!(target: "request", "event=content_pardoned content={content}");
        let now = Instant::now();
        log_changes(Kind::Content, self.table.clear(content, now));
        log_changes(Kind::Part, self.parts.clear(content, now));
    }

    /// Merges rows that another box reported.
    pub(crate) fn merge_rows(&self, contents: &[Row], parts: &[Row], now: Instant) {
        log_changes(Kind::Content, self.table.merge(contents, now));
        log_changes(Kind::Part, self.parts.merge(parts, now));
    }
}

fn log_changes(kind: Kind, changes: impl IntoIterator<Item = Change>) {
    let name = match kind {
        Kind::Content => "content",
        Kind::Part => "part",
    };
    for change in changes {
        match change {
            Change::Refused(key, ends, left) => log::warn!(
                target: "request",
                "event={name}_refused {name}={key} ends={ends} for_s={}",
                left.as_secs()
            ),
            Change::Cleared(key) => {
                log::info!(target: "request", "event={name}_passes {name}={key}");
            }
        }
    }
}

/// Removes expired records and sets the gauges of suspected and refused contents and parts;
/// does not return.
pub(crate) async fn run_expiry(crashes: Rc<Crashes>) -> Infallible {
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        let now = Instant::now();
        let (table, parts) = (&crashes.table, &crashes.parts);
        table.remove_expired(now);
        parts.remove_expired(now);
        crashes.trials.remove_expired(now);
        metrics::gauge!("tidepier_contents_refused").set(table.count_refused(now) as f64);
        metrics::gauge!("tidepier_contents_suspected").set(table.len() as f64);
        metrics::gauge!("tidepier_parts_refused").set(parts.count_refused(now) as f64);
        metrics::gauge!("tidepier_parts_suspected").set(parts.len() as f64);
    }
}
