//! What the operator wrote: the catalog and the halls to be emptied, and the
//! proof that what is known of both is the newest.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::store::{Current, Era, Event, Failure, Revision, Scope, Store, Swap, Write};
use tidepier_platform::store::ENTRIES_MAX;
use tidepier_platform::{catalog, key};

use super::mark::{self, Mark};
use super::pause::Pause;
use super::{Follower, CALL_TIME, PROOF_PART};
use crate::era_state::Entry;

/// Longest time for a change of nothing: a slow store answers within a quarter
/// of a second, and a read still has to fit into the bound on keys.
const SWAP_TIME: Duration = Duration::from_millis(600);
/// After a failure, one read in so many has the time of a slow answer. The
/// others are given up sooner: a call that went to a store that is away gets no
/// answer, and the store may be back right after it.
const LONG_EVERY: u32 = 3;
/// How long writes are avoided after an answer to one was lost.
const UNANSWERED_TIME: Duration = Duration::from_secs(5);

/// A proof that was asked for.
struct Asking {
    /// When.
    asked: Instant,
    /// The revision at which the store was known to have the configuration.
    revision: Revision,
    /// The era that the mark was to name from then on.
    marked: Option<Era>,
}

impl Follower {
    /// Follows the catalog while this box reads the store; does not end.
    pub async fn catalog(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            self.ready_to_read().await;
            let asked = Instant::now();
            // A proof may just have read it.
            let read = match self.operator_read.recent(CALL_TIME) {
                Some(from) => Ok(from),
                None => self.read_operator(CALL_TIME).await,
            };
            match read {
                Ok(from) => {
                    pause.reset();
                    self.watch_catalog(from).await;
                }
                Err(failure) => self.read_failed("catalog", &failure, asked),
            }
            pause.rest().await;
        }
    }

    /// Reads all that the operator wrote, which is one call; where it is not known
    /// whether that is whole, after a look whether another box found it so.
    /// One that is asked for while another is under way waits for that one's answer.
    pub(super) async fn read_operator(&self, limit: Duration) -> Result<Revision, Failure> {
        while self.operator_read.is_under_way() {
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
        if self.relay.standing.is_open() {
            self.read_mark(limit).await;
        }
        let asked = Instant::now();
        let read = self.store.list(key::OPERATOR, false, limit).await?;
        self.hear_state(read.revision);
        self.answered();
        let halls_known = self.take_emptied(&self.emptied_list(&read.value, read.revision));
        self.take_orders(&read.value, read.revision);
        let mut items = read.value.into_iter();
        let taken = match items.find(|item| item.key == key::CONFIG) {
            Some(item) => self.take_entry(item.revision, item.value),
            None => self.no_entry(read.revision),
        };
        if taken {
            self.see_state(read.revision);
        }
        if halls_known && taken {
            self.confirm(asked);
        }
        Ok(read.revision)
    }

    /// Records that the store has no configuration; returns whether that is so.
    fn no_entry(&self, state: Revision) -> bool {
        if self.entry.take().is_some() || self.in_force().is_some() {
            log::warn!(target: "belief", "event=no_catalog revision={state}");
        }
        true
    }

    /// Watches the catalog until the watch breaks or another box reads.
    async fn watch_catalog(&self, from: Revision) {
        let scope = Scope::Prefix(key::OPERATOR);
        let mut changes = self.changes(scope, from, "catalog_watch");
        while let Some(read) = changes.next().await {
            for event in read.value {
                self.take_emptied_event(&event);
                self.take_order_event(&event);
                match event {
                    Event::Put(item) if item.key == key::CONFIG => {
                        self.take_entry(item.revision, item.value);
                    }
                    Event::Put(_) | Event::Delete { .. } => {}
                }
            }
            self.apply_emptied();
        }
    }

    /// Takes over the configuration's entry as the store has it, and puts it in force if
    /// its version is higher. Returns whether this entry is what the store is known to
    /// have: not if it cannot be read or is older than the known one.
    fn take_entry(&self, revision: Revision, bytes: Vec<u8>) -> bool {
        let known = self.revision();
        if revision <= known {
            return revision == known;
        }
        let Some(version) = self.take_document(bytes, revision) else {
            return false;
        };
        self.set_entry(Entry { version, revision });
        self.touch();
        true
    }

    /// Puts a configuration in force if its version is higher, whatever it is from.
    /// Returns its version, if it can be read.
    pub(super) fn take_document(&self, bytes: Vec<u8>, revision: Revision) -> Option<Version> {
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

    /// Asks at a steady pace whether the catalog in force is the newest, while
    /// this box reads the store; does not end.
    pub async fn run_freshness_checks(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            self.reading().await;
            let asked = Instant::now();
            match self.proof(pause.failures()).await {
                Ok(()) => {
                    pause.reset();
                    self.mark_reachable();
                    let pause = tidepier_clock::sleep(self.bound(PROOF_PART));
                    pause.or(self.asked_others.wait()).await;
                }
                Err(failure) => {
                    self.failure("proof", &failure);
                    self.call_failed(&failure, asked);
                    pause.rest_behind(self.boxes_before.get(), asked).await;
                }
            }
        }
    }

    /// Whether an answer to a write was lost lately. A whole read proves the
    /// same; it is larger, but not lost with the answers to writes.
    fn writes_unanswered(&self) -> bool {
        let unanswered = self.unanswered.get();
        unanswered.is_some_and(|at| at.elapsed() < UNANSWERED_TIME)
    }

    /// Asks for a proof after so many that failed.
    async fn proof(&self, failures: u32) -> Result<(), Failure> {
        let asked = Instant::now();
        let revision = self.revision();
        let same_era = Some(revision.era()) == self.relay.standing.era();
        if revision.is_none() || !same_era || self.writes_unanswered() {
            let limit = match failures % LONG_EVERY {
                0 => CALL_TIME,
                _ => SWAP_TIME,
            };
            return self.read_operator(limit).await.map(|_| ());
        }
        if self.relay.standing.is_open() {
            self.read_mark(SWAP_TIME).await;
        }
        // A change of nothing, under the condition that the entries are what is
        // known here: small, and answered by the store's newest state.
        let mut others = self.emptied_conditions();
        others.extend(self.rollout_conditions());
        let marked = self.unmarked_era();
        if marked.is_some() {
            others.push((mark::KEY.to_owned(), self.mark.get().revision));
        }
        let mut expected = vec![(key::CONFIG, revision)];
        expected.extend(others.iter().map(|(key, revision)| (&**key, *revision)));
        if expected.len() > ENTRIES_MAX {
            return self.read_operator(CALL_TIME).await.map(|_| ());
        }
        let value = marked.map(Mark::value);
        let marks = value.iter().map(|value| Write {
            key: mark::KEY,
            value,
            lease: None,
        });
        let marks: Vec<Write<'_>> = marks.collect();
        let swap = self.store.swap(&expected, &marks, &[], SWAP_TIME).await;
        if matches!(swap, Err(Failure::NoAnswer(_))) {
            self.unanswered.set(Some(Instant::now()));
        }
        let asking = Asking {
            asked,
            revision,
            marked,
        };
        self.take_proof(swap?, &asking).await
    }

    /// Takes over the answer to a proof.
    async fn take_proof(&self, swap: Swap, asking: &Asking) -> Result<(), Failure> {
        let asked = asking.asked;
        match swap {
            Swap::Done(state) => {
                if let Some(era) = asking.marked {
                    self.mark.set(Mark::written(era, state));
                }
                if self.revision() == asking.revision {
                    self.see_state(state);
                    self.confirm(asked);
                    self.relay.rollouts.confirm_at(asked);
                }
            }
            // What holds by chance in another era proves nothing, nor does what is told
            // without the state that it is of begin one.
            Swap::EraChanged => return self.read_operator(CALL_TIME).await.map(|_| ()),
            Swap::Conflict(Current::Items(items)) => {
                let era = self.relay.standing.era();
                let is_other = items.iter().any(|it| Some(it.revision.era()) != era);
                if is_other || !self.emptied_is(&items) || !self.orders_are(&items) {
                    return self.read_operator(CALL_TIME).await.map(|_| ());
                }
                if let Some(mark) = items.iter().find(|item| item.key == mark::KEY) {
                    self.take_mark(Some(mark));
                }
                self.take_named_stages(&items);
                self.relay.rollouts.confirm_at(asked);
                let entry = items.into_iter().find(|item| item.key == key::CONFIG);
                let taken = match entry {
                    Some(item) => self.take_entry(item.revision, item.value),
                    None => self.no_entry(asking.revision),
                };
                if taken {
                    self.confirm(asked);
                }
            }
            Swap::Conflict(Current::NotReported) | Swap::LeaseExpired => {}
        }
        Ok(())
    }
}
