//! What this box knows of catalog and servers, and where it learns it: from
//! the platform's store, or from the box of its hall that reads the store.
//!
//! While this box reads the store, three tasks run: one watches the catalog,
//! one watches the servers, and one asks at a steady pace whether the catalog
//! in force is still the newest. A watch that says nothing is no proof of that:
//! it may be cut off, or late. While another box reads, these tasks rest.
//!
//! Invariants:
//!
//! * A proof bears a time before its question was sent.
//! * After the store went back to an older copy, what was known stands until the
//!   operator's entries are whole and servers have had their time (`eras`).
//! * A server is dropped when its entry goes while the store can be relied on;
//!   else a while after the store is back, if the entry is still missing
//!   ([`doubt`]).

mod boxes;
mod catalog;
mod changes;
pub mod doubt;
mod eras;
mod halls;
mod listing;
mod mark;
mod news;
mod pause;
mod rollouts;
mod servers;
mod shared;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::server::Server;
use tidepier_core::store::{Failure, Revision};
use tidepier_ids as ids;
use tidepier_platform::store::Client;

use self::doubt::Doubt;
pub use self::listing::Progress;
use self::mark::Mark;
use self::news::News;
pub use self::pause::PROBING_BOXES;
use crate::emptied_halls::EmptiedHalls;
use crate::era_state::{Entry, Origin};
use crate::fleet;
use crate::message::follow::Row;
use crate::notifier::Notifier;
use crate::relay::Relay;
use crate::server_history::History;

/// Longest time for one call: a slow store answers within a few hundred ms.
const CALL_TIME: Duration = Duration::from_millis(1_200);
/// Time between two proofs, as a part of the time in which a change has to be
/// in force everywhere.
const PROOF_PART: f64 = 0.4;
/// Age of a proof, as a part of the same time, from which this box reads the
/// store itself.
const OLD_PART: f64 = 0.75;
/// Time between two checks of the age of the proof.
const AGE_LOOK: Duration = Duration::from_millis(150);

/// What this box knows, and where from.
pub struct Follower {
    relay: Rc<Relay>,
    store: Rc<Client>,
    /// Notified when the store went back to an older copy.
    era_changed: Notifier,
    /// Notified when something of a former era stands against what the store has.
    held: Notifier,
    /// Notified when other boxes were asked what they remember.
    asked_others: Notifier,
    /// Where boxes keep the era in which they are.
    mark: Cell<Mark>,
    /// The configuration as the store has it.
    entry: Cell<Option<Entry>>,
    /// The read of all that the operator wrote.
    operator_read: shared::Read,
    /// The newest state of the store that is known to have it.
    state: Cell<Revision>,
    /// The one in force, for boxes that ask.
    document: RefCell<Rc<[u8]>>,
    /// The halls that the operator asked to empty.
    emptied: EmptiedHalls,
    /// Notified when those changed.
    emptied_changed: Notifier,
    record: History,
    /// Servers whose entries may be older than what they said before the store went back.
    withheld: RefCell<BTreeMap<ids::Server, Row>>,
    /// Latest moment at which all that the store held was known here.
    followed: Cell<Option<Instant>>,
    /// Whether this box reads the store itself.
    reads_store: Cell<bool>,
    /// Notified when that changed.
    role_changed: Notifier,
    /// Whether the servers are followed without a gap.
    servers_known: Cell<bool>,
    /// Whether what this box knows was confirmed once.
    informed: Cell<bool>,
    /// Whether the store can be relied on.
    doubt: Doubt,
    /// When a list or a watch was last answered.
    answered: Cell<Option<Instant>>,
    /// Whether the store was lost as calls got no answer, and not as it refused them.
    lost_in_silence: Cell<bool>,
    /// When an answer to a write was last lost.
    unanswered: Cell<Option<Instant>>,
    /// Boxes of this hall that come before this one.
    boxes_before: Cell<u32>,
    /// Notified when the store is reachable again.
    store_returned: Notifier,
    /// Changes of anything that other boxes are told.
    change_count: Cell<u64>,
    /// Notified with each of them.
    news: Notifier,
}

impl Follower {
    /// A follower that knows nothing yet and reads nothing yet.
    pub fn new(relay: Rc<Relay>, store: Rc<Client>) -> Rc<Self> {
        Rc::new(Self {
            relay,
            store,
            era_changed: Notifier::default(),
            held: Notifier::default(),
            asked_others: Notifier::default(),
            mark: Cell::default(),
            entry: Cell::new(None),
            operator_read: shared::Read::default(),
            state: Cell::default(),
            document: RefCell::new(Rc::new([])),
            emptied: EmptiedHalls::default(),
            emptied_changed: Notifier::default(),
            record: History::default(),
            withheld: RefCell::default(),
            followed: Cell::new(None),
            reads_store: Cell::new(false),
            role_changed: Notifier::default(),
            servers_known: Cell::new(false),
            informed: Cell::new(false),
            doubt: Doubt::default(),
            answered: Cell::new(None),
            lost_in_silence: Cell::new(false),
            unanswered: Cell::new(None),
            boxes_before: Cell::new(0),
            store_returned: Notifier::default(),
            change_count: Cell::new(0),
            news: Notifier::default(),
        })
    }

    /// What the tasks of the router share.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Sets whether this box reads the store itself.
    pub fn set_reads_store(&self, why: &str, reads: bool) {
        if self.reads_store.replace(reads) == reads {
            return;
        }
        log::info!(
            target: "belief",
            "event=role reads={reads} why={why} age_ms={}",
            self.relay.view.age().map_or(-1, |age| age.as_millis() as i64)
        );
        metrics::gauge!("tidepier_reads_store").set(if reads { 1.0 } else { 0.0 });
        self.servers_known.set(false);
        self.role_changed.notify();
    }

    async fn reading(&self) {
        while !self.reads_store.get() {
            self.role_changed.wait().await;
        }
    }

    /// Reads the store itself when what is known grows old, whatever the reason;
    /// does not end.
    pub async fn watch_age(self: Rc<Self>) {
        loop {
            Timer::after(AGE_LOOK).await;
            let known = self.known_since();
            if !self.reads_store.get() && known.is_some_and(|age| age > self.bound(OLD_PART)) {
                self.set_reads_store("old_proof", true);
            }
        }
    }

    /// How long ago what is known here was the newest; while nothing can be proven, how
    /// long ago it was all that the store held.
    fn known_since(&self) -> Option<Duration> {
        let now = Instant::now();
        if self.relay.standing.is_settled() {
            self.relay.view.age_at(now)
        } else {
            self.followed_age(now)
        }
    }

    /// Records how many boxes of this hall come before this one: the further
    /// behind, the more seldom it calls an unreachable store.
    pub fn set_boxes_before(&self, behind: usize) {
        self.boxes_before
            .set(u32::try_from(behind).unwrap_or(u32::MAX));
    }

    /// Whether the store was found to be unreachable.
    pub fn store_is_unreachable(&self) -> bool {
        self.doubt.is_unreachable()
    }

    /// Whether the store was unreachable until so lately that what it lacks may come back.
    pub fn in_grace_period(&self) -> bool {
        !self.doubt.is_over(Instant::now())
    }

    /// Waits until this box reads the store and the store is reachable: then
    /// the proof alone calls it.
    async fn ready_to_read(&self) {
        loop {
            self.reading().await;
            if !self.doubt.is_unreachable() {
                return;
            }
            self.store_returned
                .wait()
                .or(self.role_changed.wait())
                .await;
        }
    }

    /// Records that what is known was the newest at `asked`.
    fn prove_at(&self, asked: Instant) {
        self.relay.view.confirm_at(asked);
        self.touch();
    }

    /// Has those be told that wait for something new.
    fn touch(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.news.notify();
    }

    /// How often something new became known.
    pub fn change_count(&self) -> u64 {
        self.change_count.get()
    }

    /// Waits for something new.
    pub async fn news(&self) {
        self.news.wait().await;
    }

    /// Whether this box may wait until the one that it asks can vouch again: what it
    /// knows is recent, so that it need not read the store itself.
    pub fn can_wait_for_peer(&self) -> bool {
        let age = self.known_since();
        !self.reads_store.get() && age.is_some_and(|age| age < self.bound(OLD_PART))
    }

    fn bound(&self, part: f64) -> Duration {
        self.relay.bounds().confirm_within.mul_f64(part)
    }

    /// Revision of the configuration's entry in the store, if there is one.
    pub fn revision(&self) -> Revision {
        self.entry
            .get()
            .map_or_else(Revision::default, |entry| entry.revision)
    }

    /// How long ago all that the store held was known here.
    fn followed_age(&self, now: Instant) -> Option<Duration> {
        let followed = self.followed.get();
        followed.map(|at| now.saturating_duration_since(at))
    }

    /// Records that all that the store held at a moment is known here.
    fn follow_since(&self, moment: Instant) {
        if self.followed.get().is_none_or(|earlier| earlier < moment) {
            self.followed.set(Some(moment));
            self.touch();
        }
    }

    /// How the servers changed.
    pub fn record(&self) -> &History {
        &self.record
    }

    /// Takes over a server's entry.
    fn announced(&self, row: Row, news: &mut News) {
        // Another box may know an older state of the store.
        if self.record.is_outdated(&row) {
            return;
        }
        let hold = self.hold_servers();
        if hold.is_some_and(|hold| self.record.stands_against(&row, hold)) {
            news.add_id(news::Change::Withheld, row.id());
            self.withheld.borrow_mut().insert(row.id().clone(), row);
            self.held.notify();
            return;
        }
        self.withheld.borrow_mut().remove(row.id());
        let revision = row.revision();
        let fleet = &self.relay.fleet;
        let was_missing = fleet.get(row.id()).is_some_and(|it| it.is_missing());
        let server = Server::from(row.clone());
        let id = server.id.clone();
        let change = fleet.announce(server, news.at);
        let is_news = was_missing || change != fleet::Change::None;
        let row = row.with_cold(Duration::ZERO);
        // A server writes its entry anew each second or so while it is cold. With 300
        // boxes before 3,000 servers that all had just started, each question got a
        // whole list of them.
        if is_news || !self.record.refresh(&row) {
            self.record.upsert(row);
            self.touch();
        }
        let change = match change {
            fleet::Change::Joined => news::Change::Joined,
            fleet::Change::Restarted => news::Change::Restarted,
            fleet::Change::Leaving => news::Change::Leaving,
            fleet::Change::ColdForLonger | fleet::Change::None => return,
        };
        self.supplant_at(&id, revision);
        if let Some(backend) = self.relay.fleet.get(&id) {
            news.add(change, &backend.server, revision);
        }
    }

    /// A server that was not there lately, and whose address a newer entry names,
    /// ended without a word; its own entry lapses a few heartbeats later. Until
    /// then each request to it would be answered by the other one, which it is not
    /// for: when all of 90 servers came back under new ids, 888 requests ended so
    /// within two seconds, and 483 do with this. An entry alone supplants nobody:
    /// it may be another writer's.
    fn supplant_at(&self, id: &ids::Server, revision: Revision) {
        if self.hold_servers().is_some() && self.relay.standing.origin(revision) == Origin::Backup {
            return;
        }
        let fleet = &self.relay.fleet;
        for other in fleet.sharing_address(id) {
            let was_absent = fleet.get(&other).is_some_and(|it| it.was_unreachable());
            if was_absent && !self.record.is_newer(&other, revision) {
                fleet.mark_replaced(&other);
            }
        }
    }

    /// Drops a server that is gone as of a revision.
    fn drop_server(&self, id: &ids::Server, seen: Revision, change: news::Change, news: &mut News) {
        let Some(backend) = self.relay.fleet.remove(id) else {
            return;
        };
        self.record.gone(id, seen);
        self.touch();
        news.add(change, &backend.server, seen);
    }

    /// Records that a read failed that was sent at `asked`. A watch that is cut
    /// says nothing of the store, and too many calls or an unreadable answer are
    /// no absence.
    fn read_failed(&self, what: &str, failure: &Failure, asked: Instant) {
        self.failure(what, failure);
        let absent = matches!(
            failure,
            Failure::NotSent(_) | Failure::NoAnswer(_) | Failure::Unavailable
        );
        if absent && self.reads_store.get() {
            self.call_failed(failure, asked);
        }
    }

    /// Records that a list or a watch was answered. Where the store was lost as calls
    /// got no answer, it is back.
    fn answered(&self) {
        self.answered.set(Some(Instant::now()));
        if self.doubt.is_unreachable() && self.lost_in_silence.get() {
            self.mark_reachable();
        }
    }

    /// Records that a call failed that was sent at `asked`. A store that answered a list
    /// or a watch meanwhile is there: the call was held up on its way, as by a large
    /// configuration that changes each second, and what the watches tell holds. Taken
    /// for lost, the store was not believed which entries had gone, and servers got
    /// requests for 3.6 s after; the time left for the fleet is 3 s.
    fn call_failed(&self, failure: &Failure, asked: Instant) {
        let silent = matches!(failure, Failure::NotSent(_) | Failure::NoAnswer(_));
        self.lost_in_silence.set(silent);
        let answered = self.answered.get().is_some_and(|at| at > asked);
        if !(silent && answered) {
            self.mark_unreachable(asked);
        }
    }

    fn mark_unreachable(&self, asked: Instant) {
        if self.doubt.lost(asked) {
            log::warn!(target: "belief", "event=store_lost");
        }
    }

    fn mark_reachable(&self) {
        self.informed.set(true);
        let contact = self.relay.bounds().grace_period;
        if self.doubt.back(Instant::now(), contact) {
            log::info!(target: "belief", "event=store_back");
            self.store_returned.notify();
        }
    }

    fn failure(&self, what: &str, failure: &Failure) {
        if !self.reads_store.get() {
            return;
        }
        metrics::counter!("tidepier_store_failures_total", "call" => what.to_owned(), "why" => failure.name()).increment(1);
        log::info!(
            target: "belief",
            "event=store_call_failed call={what} why={} detail=\"{failure}\"",
            failure.name()
        );
    }
}
