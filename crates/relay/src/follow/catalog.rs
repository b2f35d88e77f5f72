//! The operator entries: the catalog, the halls to be emptied and the rollout orders,
//! and the freshness check that confirms that what is known of them is the newest.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::store::{Current, Era, Event, Failure, Revision, Scope, Store, Swap, Write};
use tidepier_platform::store::ENTRIES_MAX;
use tidepier_platform::{catalog, key};

use super::mark::{self, Mark};
use super::retry::Delay;
use super::{Follower, CALL_TIMEOUT, FRESHNESS_CHECK_PART};
use crate::era_state::Entry;

/// Time limit of the conditional no-op write: a slow store answers within a quarter of
/// a second, and a read still has to fit into the bound on keys.
const SWAP_TIMEOUT: Duration = Duration::from_millis(600);
/// After a failure, one read in this many gets the time of a slow answer. The others
/// are given up sooner: a call that was sent while the store was down gets no answer,
/// and the store may be back right after it.
const LONG_LIMIT_EVERY: u32 = 3;
/// How long writes are avoided after one got no answer.
const UNANSWERED_MAX: Duration = Duration::from_secs(5);

/// A freshness check that is in flight.
struct Check {
    /// When it was sent.
    asked: Instant,
    /// The revision of the configuration's entry in the store as known then.
    revision: Revision,
    /// The era that the check writes into the mark.
    marked: Option<Era>,
}

impl Follower {
    /// Follows the catalog while this box reads the store; does not end.
    pub async fn follow_catalog(self: Rc<Self>) {
        let mut delay = Delay::default();
        loop {
            self.wait_until_readable().await;
            let asked = Instant::now();
            // A freshness check may have read it a moment ago.
            let read = match self.operator_read.recent(CALL_TIMEOUT) {
                Some(from) => Ok(from),
                None => self.read_operator(CALL_TIMEOUT).await,
            };
            match read {
                Ok(from) => {
                    delay.reset();
                    self.watch_catalog(from).await;
                }
                Err(failure) => self.record_read_failure("catalog", &failure, asked),
            }
            delay.wait().await;
        }
    }

    /// Reads all operator entries, which is one call. Where it is not known whether
    /// they are complete, first reads the mark that another box may have written when
    /// it found them so. If a read is already in progress, waits for its result instead.
    pub(super) async fn read_operator(&self, limit: Duration) -> Result<Revision, Failure> {
        while self.operator_read.is_in_progress() {
            if let Some(revision) = self.operator_read.wait().await {
                return Ok(revision);
            }
        }
        let guard = self.operator_read.begin();
        let read = self.read_operator_now(limit).await;
        guard.end(read.as_ref().ok().copied());
        read
    }

    pub(super) async fn read_operator_now(&self, limit: Duration) -> Result<Revision, Failure> {
        if self.relay.era_state.is_unsettled() {
            self.read_mark(limit).await;
        }
        let asked = Instant::now();
        let read = self.store.list(key::OPERATOR, false, limit).await?;
        self.observe_state(read.revision);
        self.record_store_answer();
        self.record_check(asked, Some(read.revision));
        let halls_known = self.apply_emptied_list(&self.emptied_list(&read.value, read.revision));
        self.apply_orders(&read.value, read.revision);
        let mut items = read.value.into_iter();
        let applied = match items.find(|item| item.key == key::CONFIG) {
            Some(item) => self.apply_entry(item.revision, item.value),
            None => self.record_no_entry(read.revision),
        };
        if applied {
            self.record_stored_state(read.revision);
        }
        if halls_known && applied {
            self.confirm(asked);
        }
        Ok(read.revision)
    }

    /// Records that the store has no configuration; always returns true: the known
    /// state is then that of the store.
    fn record_no_entry(&self, state: Revision) -> bool {
        if self.stored_entry.take().is_some() || self.in_force().is_some() {
            log::warn!(target: "belief", "event=no_catalog revision={state}");
        }
        true
    }

    /// Watches the catalog until the watch breaks or another box reads the store.
    async fn watch_catalog(&self, from: Revision) {
        let scope = Scope::Prefix(key::OPERATOR);
        let mut changes = self.changes(scope, from, "catalog_watch");
        while let Some(read) = changes.next().await {
            for event in read.value {
                self.apply_emptied_event(&event);
                self.apply_order_event(&event);
                match event {
                    Event::Put(item) if item.key == key::CONFIG => {
                        self.apply_entry(item.revision, item.value);
                    }
                    Event::Put(_) | Event::Delete { .. } => {}
                }
            }
            self.apply_emptied();
        }
    }

    /// Applies the configuration's entry of the store, and puts it in force if its
    /// version is higher. Returns whether this entry is now the one that the store is
    /// known to have: not if it is unreadable or older than the known one.
    fn apply_entry(&self, revision: Revision, bytes: Vec<u8>) -> bool {
        let known = self.revision();
        if revision <= known {
            return revision == known;
        }
        let Some(version) = self.adopt_document(bytes, revision) else {
            return false;
        };
        self.set_stored_entry(Entry { version, revision });
        self.record_change();
        true
    }

    /// Puts a configuration in force if its version is higher than the one in force,
    /// whatever its source. Returns its version, if it is readable.
    pub(super) fn adopt_document(&self, bytes: Vec<u8>, revision: Revision) -> Option<Version> {
        let before = self.relay.view.version();
        if before != Version::default() && *bytes == **self.document.borrow() {
            return Some(before);
        }
        let catalog = match catalog::decode(&bytes) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(
                    target: "belief",
                    "event=catalog_invalid revision={revision} why=\"{error}\""
                );
                return None;
            }
        };
        let version = catalog.version;
        let length = bytes.len();
        let adopted = self.relay.view.adopt(catalog);
        if adopted {
            *self.document.borrow_mut() = bytes.into();
        }
        log::info!(
            target: "belief",
            "event=catalog version={version} before={before} adopted={adopted} \
             revision={revision} bytes={length}",
        );
        Some(version)
    }

    /// Periodically checks that the catalog in force is the newest, while this box
    /// reads the store; does not end.
    pub async fn run_freshness_checks(self: Rc<Self>) {
        let mut delay = Delay::default();
        loop {
            self.wait_until_reader().await;
            let asked = Instant::now();
            match self.check_freshness(delay.failures()).await {
                Ok(()) => {
                    delay.reset();
                    self.mark_reachable();
                    let delay = tidepier_clock::sleep(self.bound(FRESHNESS_CHECK_PART));
                    delay.or(self.recall_done.wait()).await;
                }
                Err(failure) => {
                    self.log_failure("proof", &failure);
                    self.record_call_failure(&failure, asked);
                    delay.wait_by_rank(self.boxes_before.get(), asked).await;
                }
            }
        }
    }

    /// Whether a write got no answer lately. Reading all entries confirms the same; the
    /// answer is larger, but is not lost as answers to writes are.
    fn writes_unanswered(&self) -> bool {
        let unanswered = self.write_unanswered_at.get();
        unanswered.is_some_and(|at| at.elapsed() < UNANSWERED_MAX)
    }

    /// Makes a freshness check after `failures` that failed in a row.
    async fn check_freshness(&self, failures: u32) -> Result<(), Failure> {
        let asked = Instant::now();
        let revision = self.revision();
        let same_era = Some(revision.era()) == self.relay.era_state.era();
        if revision.is_none() || !same_era || self.writes_unanswered() {
            let limit = match failures % LONG_LIMIT_EVERY {
                0 => CALL_TIMEOUT,
                _ => SWAP_TIMEOUT,
            };
            return self.read_operator(limit).await.map(|_| ());
        }
        if self.relay.era_state.is_unsettled() {
            self.read_mark(SWAP_TIMEOUT).await;
        }
        // A no-op write under the condition that the entries have the revisions known
        // here: the request is small, and the store answers it from its newest state.
        let mut others = self.emptied_conditions();
        others.extend(self.rollout_conditions());
        let marked = self.unmarked_era();
        if marked.is_some() {
            others.push((mark::KEY.to_owned(), self.mark.get().revision));
        }
        let room = ENTRIES_MAX.saturating_sub(1 + others.len());
        others.extend(self.other_rollout_conditions(room));
        let mut expected = vec![(key::CONFIG, revision)];
        expected.extend(others.iter().map(|(key, revision)| (&**key, *revision)));
        if expected.len() > ENTRIES_MAX {
            return self.read_operator(CALL_TIMEOUT).await.map(|_| ());
        }
        let value = marked.map(Mark::value);
        let marks = value.iter().map(|value| Write {
            key: mark::KEY,
            value,
            lease: None,
        });
        let marks: Vec<Write<'_>> = marks.collect();
        let swap = self.store.swap(&expected, &marks, &[], SWAP_TIMEOUT).await;
        if matches!(swap, Err(Failure::NoAnswer(_))) {
            self.write_unanswered_at.set(Some(Instant::now()));
        }
        let check = Check {
            asked,
            revision,
            marked,
        };
        self.apply_check(swap?, &check).await
    }

    /// Applies the answer to a freshness check.
    async fn apply_check(&self, swap: Swap, check: &Check) -> Result<(), Failure> {
        let asked = check.asked;
        match swap {
            Swap::Done(state) => {
                self.record_check(asked, Some(state));
                if let Some(era) = check.marked {
                    self.mark.set(Mark::written(era, state));
                }
                if self.revision() == check.revision {
                    self.record_stored_state(state);
                    self.confirm(asked);
                    self.relay.rollouts.confirm_at(asked);
                }
            }
            // Conditions that hold by coincidence in another era confirm nothing. Nor
            // may an answer that does not state the store's revision make this box
            // enter a new era.
            Swap::EraChanged => return self.read_operator(CALL_TIMEOUT).await.map(|_| ()),
            Swap::Conflict(Current::Items(items)) => {
                let era = self.relay.era_state.era();
                let is_other = items.iter().any(|it| Some(it.revision.era()) != era);
                if is_other || !self.matches_emptied(&items) || !self.matches_orders(&items) {
                    return self.read_operator(CALL_TIMEOUT).await.map(|_| ());
                }
                if let Some(mark) = items.iter().find(|item| item.key == mark::KEY) {
                    self.apply_mark(Some(mark));
                }
                self.record_check(asked, None);
                self.apply_checked_stages(&items);
                self.relay.rollouts.confirm_at(asked);
                let entry = items.into_iter().find(|item| item.key == key::CONFIG);
                let applied = match entry {
                    Some(item) => self.apply_entry(item.revision, item.value),
                    None => self.record_no_entry(check.revision),
                };
                if applied {
                    self.confirm(asked);
                }
            }
            Swap::Conflict(Current::NotReported) | Swap::LeaseExpired => {}
        }
        Ok(())
    }
}
