//! What the operator wrote: the catalog and the halls to be emptied, and the
//! proof that what is known of both is the newest.

use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::store::{Current, Event, Failure, Item, Revision, Scope, Store, Swap};
use tidepier_platform::store::ENTRIES_MAX;
use tidepier_platform::{catalog, key};

use super::pause::Pause;
use super::{Follower, CALL_TIME, PROOF_PART};

/// Longest time for a change of nothing: a slow store answers within a quarter
/// of a second, and a read still has to fit into the bound on keys.
const SWAP_TIME: Duration = Duration::from_millis(600);
/// After a failure, one read in so many has the time of a slow answer. The
/// others are given up sooner: a call that went to a store that is away gets no
/// answer, and the store may be back right after it.
const LONG_EVERY: u32 = 3;
/// How long writes are avoided after an answer to one was lost.
const UNANSWERED_TIME: Duration = Duration::from_secs(5);

impl Follower {
    /// Follows the catalog while this box reads the store; does not end.
    pub async fn catalog(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            self.ready_to_read().await;
            let asked = Instant::now();
            match self.read_operator(CALL_TIME).await {
                Ok(from) => {
                    pause.reset();
                    self.watch_catalog(from).await;
                }
                Err(failure) => self.read_failed("catalog", &failure, asked),
            }
            pause.rest().await;
        }
    }

    /// Reads all that the operator wrote, which is one call.
    async fn read_operator(&self, limit: Duration) -> Result<Revision, Failure> {
        let asked = Instant::now();
        let read = self.store.list(key::OPERATOR, false, limit).await?;
        self.answered();
        let halls_known = self.take_emptied(&self.emptied_list(&read.value, read.revision));
        self.take_orders(&read.value, read.revision);
        let mut items = read.value.into_iter();
        match items.find(|item| item.key == key::CONFIG) {
            Some(item) => self.take_item(item, halls_known.then_some(asked)),
            // That there is none yet is known as surely as a catalog would be.
            None if self.revision.get() == Revision(0) => self.prove_at(asked),
            None => log::warn!(target: "belief", "event=no_catalog revision={}", read.revision),
        }
        Ok(read.revision)
    }

    /// Watches the catalog until the watch breaks or another box reads.
    async fn watch_catalog(&self, from: Revision) {
        let scope = Scope::Prefix(key::OPERATOR);
        let mut changes = self.changes(scope, from, "catalog_watch");
        while let Some(read) = changes.next().await {
            for event in read.value {
                self.take_emptied_event(&event);
                self.take_order_event(&event);
                if let Event::Put(item) = event {
                    self.take_item(item, None);
                }
            }
            self.apply_emptied();
        }
    }

    /// Puts an entry of the catalog in force if it is newer. `asked` is when
    /// the question was sent to which the entry is the newest answer.
    fn take_item(&self, item: Item, asked: Option<Instant>) {
        if item.key != key::CONFIG {
            return;
        }
        let revision = item.revision;
        self.take_document(revision, item.value);
        if let Some(asked) = asked {
            if self.revision.get() == revision {
                self.prove_at(asked);
            }
        }
    }

    pub(super) fn take_document(&self, revision: Revision, bytes: Vec<u8>) {
        let known = self.revision.get();
        if revision <= known {
            if revision < known {
                self.note_left_out(revision, &bytes);
            }
            return;
        }
        let catalog = match catalog::decode(&bytes) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(
                    target: "belief",
                    "event=catalog_invalid revision={revision} why=\"{error}\""
                );
                return;
            }
        };
        let version = catalog.version;
        let before = self.relay.view.version();
        let adopted = self.relay.view.adopt(catalog);
        self.revision.set(revision);
        let length = bytes.len();
        *self.document.borrow_mut() = bytes.into();
        self.touch();
        log::info!(
            target: "belief",
            "event=catalog version={version} before={before} adopted={adopted} \
             revision={revision} bytes={}",
            length,
        );
    }

    /// Logs a document that is left out as its revision is lower than the known one's.
    fn note_left_out(&self, revision: Revision, bytes: &[u8]) {
        let told = match catalog::decode(bytes) {
            Ok(catalog) => catalog.version.to_string(),
            Err(error) => format!("invalid why=\"{error}\""),
        };
        log::warn!(
            target: "belief",
            "event=catalog_left_out version={told} in_force={} revision={revision} known={}",
            self.relay.view.version(),
            self.revision.get()
        );
    }

    /// Asks at a steady pace whether the catalog in force is the newest, while
    /// this box reads the store; does not end.
    pub async fn prove(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            self.reading().await;
            let asked = Instant::now();
            match self.proof(pause.failures()).await {
                Ok(()) => {
                    pause.reset();
                    self.mark_reachable();
                    tidepier_clock::sleep(self.bound(PROOF_PART)).await;
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
        let revision = self.revision.get();
        if revision == Revision(0) || self.writes_unanswered() {
            let limit = match failures % LONG_EVERY {
                0 => CALL_TIME,
                _ => SWAP_TIME,
            };
            return self.read_operator(limit).await.map(|_| ());
        }
        // A change of nothing, under the condition that the entries are what is
        // known here: small, and answered by the store's newest state.
        let mut others = self.emptied_conditions();
        others.extend(self.rollout_conditions());
        let mut expected = vec![(key::CONFIG, revision)];
        expected.extend(others.iter().map(|(key, revision)| (&**key, *revision)));
        if expected.len() > ENTRIES_MAX {
            return self.read_operator(CALL_TIME).await.map(|_| ());
        }
        let swap = self.store.swap(&expected, &[], &[], SWAP_TIME).await;
        if matches!(swap, Err(Failure::NoAnswer(_))) {
            self.unanswered.set(Some(Instant::now()));
        }
        match swap? {
            Swap::Done(_) => {
                if self.revision.get() == revision {
                    self.prove_at(asked);
                    self.relay.rollouts.prove(asked);
                }
            }
            Swap::Conflict(Current::Items(items)) => {
                if !self.emptied_is(&items) || !self.orders_are(&items) {
                    return self.read_operator(CALL_TIME).await.map(|_| ());
                }
                self.take_stages(&items);
                self.relay.rollouts.prove(asked);
                for item in items {
                    self.take_item(item, Some(asked));
                }
            }
            Swap::Conflict(Current::Untold) | Swap::NoLease => {}
        }
        Ok(())
    }
}
