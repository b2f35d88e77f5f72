//! Keeps this box's local view of the catalog and the servers up to date, either from
//! the platform's store or from the reader: the box of its hall that reads the store.
//!
//! While this box is the reader, three tasks run: one watches the catalog, one watches
//! the servers, and one periodically checks that the catalog in force is still the
//! newest (the freshness check). A watch that delivers no change does not show that:
//! its connection may be cut, or its events late. While another box is the reader,
//! these tasks wait.
//!
//! Invariants:
//!
//! * A freshness check confirms the operator entries as of a time before its request was
//!   sent, and the list of servers if that covers the state of the store that the check
//!   found ([`freshness`]).
//! * The view is passed on to other boxes with the age of its older part.
//! * After the store was restored from an older backup, earlier knowledge stays in
//!   force until the operator entries are complete and servers have had time to write
//!   their entries again (`eras`).
//! * A server is dropped as soon as its entry is deleted while the store is reliable;
//!   otherwise at the end of a grace period after the store's return, if the entry is
//!   still missing ([`availability`]).

pub mod availability;
mod boxes;
mod catalog;
mod change_log;
mod changes;
mod eras;
mod freshness;
mod halls;
mod listing;
mod mark;
mod retry;
mod rollouts;
mod servers;
mod shared;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::server::Server;
use tidepier_core::store::{Failure, Revision};
use tidepier_ids as ids;
use tidepier_platform::store::Client;

use self::availability::Availability;
use self::change_log::Batch;
use self::freshness::Freshness;
pub use self::listing::Progress;
use self::mark::Mark;
pub use self::retry::PROBING_BOXES;
use crate::emptied_halls::EmptiedHalls;
use crate::era_state::{Entry, Origin};
use crate::fleet;
use crate::log::Limit;
use crate::message::follow::Row;
use crate::notifier::Notifier;
use crate::relay::Relay;
use crate::server_history::History;

/// Time limit of one call: a slow store answers within a few hundred ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval between two freshness checks, as a fraction of the time in which a change
/// has to be in force on every box.
const FRESHNESS_CHECK_PART: f64 = 0.4;
/// Age of the last confirmation, as a fraction of the same time, from which this box
/// reads the store itself.
const STALE_PART: f64 = 0.75;
/// Interval at which the age of the last confirmation is checked.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Most lines a second about entries that cannot be read.
const INVALID_LINES_MAX: u32 = 10;

/// The local view of catalog and servers, and the state of its synchronization.
pub struct Follower {
    relay: Rc<Relay>,
    store: Rc<Client>,
    /// Notified when the store was restored from an older backup.
    era_changed: Notifier,
    /// Notified when something known from a stale era takes precedence over a backup
    /// entry.
    entries_held: Notifier,
    /// Notified after other boxes were asked for the operator entries that they
    /// remember.
    recall_done: Notifier,
    /// The store's entry in which boxes record the newest era with complete operator
    /// entries.
    mark: Cell<Mark>,
    /// Version and revision of the configuration's entry in the store.
    stored_entry: Cell<Option<Entry>>,
    /// The read of all operator entries, shared by the tasks that need it.
    operator_read: shared::Read,
    /// The newest state of the store that is known to contain `stored_entry`.
    stored_state: Cell<Revision>,
    /// The bytes of the configuration in force, sent to boxes that request it.
    document: RefCell<Rc<[u8]>>,
    /// The halls that the operator requested to be emptied.
    emptied: EmptiedHalls,
    /// Notified when `emptied` changed.
    emptied_changed: Notifier,
    /// Orders of the store that are unreadable.
    unreadable_orders: RefCell<BTreeMap<ids::Service, Revision>>,
    /// Number of the first service without an order in force that the next freshness
    /// check names.
    next_other_order: Cell<usize>,
    history: History,
    /// Withheld entries: backup entries that contradict what their servers advertised
    /// before the restore.
    withheld: RefCell<BTreeMap<ids::Server, Row>>,
    /// The latest time as of which the operator entries are known to be complete.
    operator_complete_at: Cell<Option<Instant>>,
    /// The latest time at which the local view covered everything in the store: the
    /// operator entries and the servers.
    synced_at: Cell<Option<Instant>>,
    /// Whether this box is the reader of its hall.
    reads_store: Cell<bool>,
    /// Notified when `reads_store` changed.
    role_changed: Notifier,
    /// How fresh the list of servers is.
    freshness: Freshness,
    /// Whether this box, as the reader, follows the servers without a gap.
    servers_known: Cell<bool>,
    /// Revision of the newest change of a server that this box itself read in the store.
    last_read_change: Cell<Revision>,
    /// Whether the box that this one follows last stated that it is in the grace period.
    upstream_in_grace_period: Cell<bool>,
    /// Whether the local view has been confirmed at least once.
    confirmed_once: Cell<bool>,
    /// Whether the store is reachable, and whether a missing entry means that it was
    /// deleted.
    availability: Availability,
    /// When a list or a watch was last answered.
    answered_at: Cell<Option<Instant>>,
    /// Whether the store counted as unreachable because calls got no answer, rather
    /// than because it refused them.
    lost_without_answer: Cell<bool>,
    /// When a write last got no answer.
    write_unanswered_at: Cell<Option<Instant>>,
    /// Boxes of this hall that rank before this one as readers.
    boxes_before: Cell<u32>,
    /// Notified when the store is reachable again.
    store_returned: Notifier,
    /// Number of changes that other boxes have to be notified of.
    change_count: Cell<u64>,
    /// Notified with each such change.
    changed: Notifier,
    /// Limits the lines about entries that cannot be read.
    invalid_lines: Limit,
}

impl Follower {
    /// A follower with an empty view that does not read the store.
    pub fn new(relay: Rc<Relay>, store: Rc<Client>) -> Rc<Self> {
        Rc::new(Self {
            relay,
            store,
            era_changed: Notifier::default(),
            entries_held: Notifier::default(),
            recall_done: Notifier::default(),
            mark: Cell::default(),
            stored_entry: Cell::new(None),
            operator_read: shared::Read::default(),
            stored_state: Cell::default(),
            document: RefCell::new(Rc::new([])),
            emptied: EmptiedHalls::default(),
            emptied_changed: Notifier::default(),
            unreadable_orders: RefCell::default(),
            next_other_order: Cell::new(0),
            history: History::default(),
            withheld: RefCell::default(),
            operator_complete_at: Cell::new(None),
            synced_at: Cell::new(None),
            reads_store: Cell::new(false),
            role_changed: Notifier::default(),
            freshness: Freshness::default(),
            servers_known: Cell::new(false),
            last_read_change: Cell::default(),
            upstream_in_grace_period: Cell::new(false),
            confirmed_once: Cell::new(false),
            availability: Availability::default(),
            answered_at: Cell::new(None),
            lost_without_answer: Cell::new(false),
            write_unanswered_at: Cell::new(None),
            boxes_before: Cell::new(0),
            store_returned: Notifier::default(),
            change_count: Cell::new(0),
            changed: Notifier::default(),
            invalid_lines: Limit::new("entry_invalid", INVALID_LINES_MAX),
        })
    }

    /// The state that the tasks of the router share.
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

    async fn wait_until_reader(&self) {
        while !self.reads_store.get() {
            self.role_changed.wait().await;
        }
    }

    /// Makes this box read the store itself when the local view grows old for any
    /// reason; does not end.
    pub async fn watch_age(self: Rc<Self>) {
        loop {
            Timer::after(AGE_CHECK_INTERVAL).await;
            let known = self.view_age();
            if !self.reads_store.get() && known.is_some_and(|age| age > self.bound(STALE_PART)) {
                self.set_reads_store("old_proof", true);
            }
        }
    }

    /// Time since the local view was confirmed current and covered everything in the
    /// store. While nothing can be confirmed, because the operator entries may be
    /// incomplete, only the latter.
    fn view_age(&self) -> Option<Duration> {
        let now = Instant::now();
        let synced = self.synced_age(now);
        if self.relay.era_state.is_settled() {
            self.relay.view.age_at(now).max(synced)
        } else {
            synced
        }
    }

    /// Records how many boxes of this hall rank before this one: the more there are,
    /// the less often this box calls an unreachable store.
    pub fn set_boxes_before(&self, behind: usize) {
        self.boxes_before
            .set(u32::try_from(behind).unwrap_or(u32::MAX));
    }

    /// Whether the store was found to be unreachable.
    pub fn store_is_unreachable(&self) -> bool {
        self.availability.is_unreachable()
    }

    /// Whether the grace period after an outage still runs, in which missing entries
    /// may come back.
    pub fn in_grace_period(&self) -> bool {
        !self.availability.is_authoritative(Instant::now())
    }

    /// Waits until this box is the reader and the store is reachable. While the store is
    /// unreachable, only the freshness check calls it.
    async fn wait_until_readable(&self) {
        loop {
            self.wait_until_reader().await;
            if !self.availability.is_unreachable() {
                return;
            }
            self.store_returned
                .wait()
                .or(self.role_changed.wait())
                .await;
        }
    }

    /// Records that the local view was the newest at `asked`.
    fn record_confirmation(&self, asked: Instant) {
        self.relay.view.confirm_at(asked);
        self.record_change();
    }

    /// Counts a change and notifies the tasks that wait for one.
    fn record_change(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.changed.notify();
    }

    /// Number of changes of the local view so far.
    pub fn change_count(&self) -> u64 {
        self.change_count.get()
    }

    /// Waits for the next change of the local view.
    pub async fn wait_for_change(&self) {
        self.changed.wait().await;
    }

    /// Whether this box may wait until the box that it follows can confirm its view
    /// again: the local view is recent enough that this box need not read the store
    /// itself.
    pub fn can_wait_for_peer(&self) -> bool {
        let age = self.view_age();
        !self.reads_store.get() && age.is_some_and(|age| age < self.bound(STALE_PART))
    }

    fn bound(&self, part: f64) -> Duration {
        self.relay.bounds().confirm_within.mul_f64(part)
    }

    /// Revision of the configuration's entry in the store; the default where it has
    /// none.
    pub fn revision(&self) -> Revision {
        self.stored_entry
            .get()
            .map_or_else(Revision::default, |entry| entry.revision)
    }

    /// Time since the local view covered everything in the store.
    fn synced_age(&self, now: Instant) -> Option<Duration> {
        let synced_at = self.synced_at.get();
        synced_at.map(|at| now.saturating_duration_since(at))
    }

    /// Records that the operator entries known here are those that the store held at
    /// `moment`.
    fn record_operator_complete(&self, moment: Instant) {
        let known = self.operator_complete_at.get();
        self.operator_complete_at.set(known.max(Some(moment)));
        self.update_synced();
    }

    /// Updates the time at which the local view covered everything in the store, after
    /// one of its parts has advanced.
    fn update_synced(&self) {
        if let Some(moment) = self.freshness.complete_at() {
            self.relay.fleet.releases.confirm_at(moment);
        }
        let parts = (
            self.operator_complete_at.get(),
            self.freshness.complete_at(),
        );
        let (Some(operator), Some(servers)) = parts else {
            return;
        };
        let moment = operator.min(servers);
        if self.synced_at.get().is_none_or(|earlier| earlier < moment) {
            self.synced_at.set(Some(moment));
            self.record_change();
        }
    }

    /// Records that a freshness check that was sent at `asked` was answered, and the state
    /// of the store if the answer stated it.
    fn record_check(&self, asked: Instant, state: Option<Revision>) {
        let complete = self.history.complete_revision();
        self.freshness.record_check(asked, state, complete);
        self.update_synced();
        let Some(age) = self.freshness.complete_at().map(|at| at.elapsed()) else {
            return;
        };
        metrics::gauge!("tidepier_servers_age_seconds").set(age.as_secs_f64());
        if let Some(state) = state.filter(|state| *state > complete) {
            log::info!(
                target: "belief",
                "event=servers_behind state={state} complete={complete} age_ms={}",
                age.as_millis()
            );
        }
    }

    /// The history of server changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Applies a server's entry.
    fn apply_row(&self, row: Row, batch: &mut Batch) {
        // The entry may come from a box that knows an older state of the store.
        if self.history.is_outdated(&row) {
            return;
        }
        let precedence = self.server_precedence();
        if precedence.is_some_and(|precedence| self.history.takes_precedence_over(&row, precedence))
        {
            batch.add_id(change_log::Change::Withheld, row.id());
            self.withheld.borrow_mut().insert(row.id().clone(), row);
            self.entries_held.notify();
            return;
        }
        self.withheld.borrow_mut().remove(row.id());
        let revision = row.revision();
        let fleet = &self.relay.fleet;
        let was_missing = fleet.get(row.id()).is_some_and(|it| it.is_missing());
        let server = Server::from(row.clone());
        let id = server.id.clone();
        // Boxes of former releases pass on what this one would not take from the store.
        if let Err(error) = server.check() {
            self.log_invalid("server", id.as_str(), &error);
            return;
        }
        let change = fleet.announce(server, batch.at);
        let is_change = was_missing || change != fleet::Change::None;
        let row = row.with_cold(Duration::ZERO);
        // A server rewrites its entry about every second while it is cold. When each
        // rewrite counted as a change, 300 boxes before 3,000 servers that had all just
        // started were sent the whole list of servers for each request.
        if is_change || !self.history.refresh(&row) {
            self.history.upsert(row);
            self.record_change();
        }
        let change = match change {
            fleet::Change::Joined => change_log::Change::Joined,
            fleet::Change::Restarted => change_log::Change::Restarted,
            fleet::Change::Leaving => change_log::Change::Leaving,
            fleet::Change::ColdForLonger | fleet::Change::None => return,
        };
        self.replace_at_address(&id, revision);
        if let Some(backend) = self.relay.fleet.get(&id) {
            batch.add(change, &backend.server, revision);
        }
    }

    /// Marks servers as replaced that were unreachable lately and whose address a newer
    /// entry of another server names. Such a server ended without announcing it, and
    /// its own entry expires only a few heartbeats later. Until then the other server
    /// would get its requests, and answer them though they are not meant for it. When
    /// all of 90 servers came back under new ids, 888 requests ended in this way within
    /// two seconds, and 483 do with this rule. An entry alone replaces no server, since
    /// another writer may have made it.
    fn replace_at_address(&self, id: &ids::Server, revision: Revision) {
        if self.server_precedence().is_some()
            && self.relay.era_state.origin(revision) == Origin::Backup
        {
            return;
        }
        let fleet = &self.relay.fleet;
        for other in fleet.sharing_address(id) {
            let was_unreachable = fleet.get(&other).is_some_and(|it| it.was_unreachable());
            if was_unreachable && !self.history.knows_newer(&other, revision) {
                fleet.mark_replaced(&other);
            }
        }
    }

    /// Drops a server that was gone as of a revision.
    fn drop_server(
        &self,
        id: &ids::Server,
        seen: Revision,
        change: change_log::Change,
        batch: &mut Batch,
    ) {
        let Some(backend) = self.relay.fleet.remove(id) else {
            return;
        };
        self.history.remove(id, seen);
        self.record_change();
        batch.add(change, &backend.server, seen);
    }

    /// Records that a read that was sent at `asked` failed. A cut watch does not show
    /// that the store is unreachable; nor does a refusal for too many calls, or an
    /// unreadable answer.
    fn record_read_failure(&self, what: &str, failure: &Failure, asked: Instant) {
        self.log_failure(what, failure);
        let absent = matches!(
            failure,
            Failure::NotSent(_) | Failure::NoAnswer(_) | Failure::Unavailable
        );
        if absent && self.reads_store.get() {
            self.record_call_failure(failure, asked);
        }
    }

    /// Records that a list or a watch was answered. A store that counted as unreachable
    /// because calls got no answer is reachable again.
    fn record_store_answer(&self) {
        self.answered_at.set(Some(Instant::now()));
        if self.availability.is_unreachable() && self.lost_without_answer.get() {
            self.mark_reachable();
        }
    }

    /// Records that a call that was sent at `asked` failed. If the store answered a
    /// list or a watch since then, it counts as reachable: the call was delayed, for
    /// example behind a large configuration that changes every second, and the events
    /// of the watches are valid. When such a store counted as unreachable, deletions of
    /// entries were not acted upon, and servers got requests for another 3.6 s; the
    /// fleet has 3 s in which to stop sending them.
    fn record_call_failure(&self, failure: &Failure, asked: Instant) {
        let silent = matches!(failure, Failure::NotSent(_) | Failure::NoAnswer(_));
        self.lost_without_answer.set(silent);
        let answered = self.answered_at.get().is_some_and(|at| at > asked);
        if !(silent && answered) {
            self.mark_unreachable(asked);
        }
    }

    fn mark_unreachable(&self, asked: Instant) {
        if self.availability.record_failure(asked) {
            log::warn!(target: "belief", "event=store_lost");
        }
    }

    fn mark_reachable(&self) {
        self.confirmed_once.set(true);
        let grace_period = self.relay.bounds().grace_period;
        if self
            .availability
            .record_recovery(Instant::now(), grace_period)
        {
            log::info!(target: "belief", "event=store_back");
            self.store_returned.notify();
        }
    }

    /// Logs and counts an entry that counts as absent. Lines are limited, as it may be read
    /// again with each list and each change.
    fn log_invalid(&self, kind: &'static str, key: &str, why: &dyn fmt::Display) {
        metrics::counter!("tidepier_entries_invalid_total", "kind" => kind).increment(1);
        if self.invalid_lines.allows(Instant::now()) {
            log::error!(target: "belief", "event={kind}_invalid id={key} why=\"{why}\"");
        }
    }

    fn log_failure(&self, what: &str, failure: &Failure) {
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
