//! Exchange of the local view with other boxes of the hall: what this box answers them,
//! and how it applies their answers.
//!
//! Invariants:
//!
//! * State that cannot be confirmed to be current is not sent to other boxes as current.
//! * Information as of an older revision never replaces newer information, and nothing
//!   of a stale era is applied but the configuration that was in force in it.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision};
use tidepier_ids as ids;

use super::change_log::{self, Batch};
use super::listing::Progress;
use super::Follower;
use crate::emptied_halls;
use crate::era_state::{Entry, Evidence};
use crate::message::follow::{self, Answer, Position, Request, Row, Servers, Status};
use crate::message::link::Error;
use crate::message::part::Part;
use crate::server_history::Cursor;

/// Age of the last confirmation, as a fraction of the time in which a change has to be
/// in force on every box, from which answers to other boxes no longer count as current.
const PASS_ON_PART: f64 = 0.6;

impl Follower {
    /// The configuration in force here, for a box that requests it and has an older
    /// one.
    pub fn document_for(&self, request: &Request) -> Option<Rc<[u8]>> {
        let in_force = self.in_force()?;
        let asked = request
            .options
            .as_ref()
            .and_then(|options| options.in_force);
        let newer = match asked {
            Some(version) => in_force > Version(version),
            None => self.revision().number() > request.document,
        };
        newer.then(|| self.document.borrow().clone())
    }

    /// The era and state of the store that this box's answers are based on, as sent to
    /// other boxes.
    pub fn advertised_status(&self, now: Instant) -> Status {
        let complete = !self.reads_store.get() || self.servers_known.get();
        let age = self.synced_age(now);
        let age = age.filter(|age| complete && *age < self.bound(PASS_ON_PART));
        let stored = self.stored_entry.get().map(|entry| entry.version);
        Status {
            era: self.relay.era_state.era().unwrap_or_default().0,
            first: self.relay.era_state.first(),
            settled: self.relay.era_state.is_settled(),
            in_force: self.relay.view.version().0,
            stored: stored.unwrap_or_default().0,
            state: self.stored_state.get().number(),
            followed_ms: age.map(as_ms),
            in_grace_period: self.in_grace_period()
                || !self.reads_store.get() && self.upstream_in_grace_period.get(),
        }
    }

    /// The changes of servers after `position`, and the position after them.
    pub fn servers_after(&self, position: Position) -> (Servers, Position) {
        let (mut servers, position) = self.history.since(position);
        let now = Instant::now();
        let fresh = |row: &mut Row| {
            let backend = self.relay.fleet.get(row.id());
            row.set_cold(backend.map_or(Duration::ZERO, |it| it.cold_left(now)));
        };
        match &mut servers {
            Servers::All(rows, _) => rows.iter_mut().for_each(fresh),
            Servers::Changes(changes) => {
                let rows = changes.iter_mut().filter_map(|change| match change {
                    follow::Change::Upserted(row) => Some(row),
                    follow::Change::Removed(..) => None,
                });
                rows.for_each(fresh);
            }
            // The history makes no parts for boxes that run an older release.
            Servers::Part(_) => {}
        }
        (servers, position)
    }

    /// The changes of servers that a box lacks that requests lists in parts, and its
    /// position after them.
    pub fn servers_part(&self, cursor: &Cursor) -> (Part, Position) {
        let now = Instant::now();
        let cold = |id: &ids::Server| {
            let backend = self.relay.fleet.get(id);
            backend.map_or(Duration::ZERO, |it| it.cold_left(now))
        };
        let (mut part, position) = self.history.part(cursor);
        part.set_cold(cold);
        (part, position)
    }

    /// The halls that the operator requested to be emptied, as far as this box knows.
    pub fn emptied(&self) -> emptied_halls::List {
        self.emptied.list()
    }

    /// Whether this box keeps its own watch of the store rather than follow the sender of
    /// an answer, whose list of servers is older: the sender has not received a change
    /// that this box read, or is in the grace period after an outage, in which it acts on
    /// deletions up to 2.2 s late, where 2 s are allowed in all. A box without a watch that
    /// it can confirm follows the sender nevertheless, so that the boxes of a hall do not
    /// all turn to the store when their reader is just back.
    pub fn keeps_own_watch(&self, answer: &Answer) -> bool {
        let (Some(status), Servers::Part(part)) = (answer.status, &answer.servers) else {
            return false;
        };
        let own = self.advertised_status(Instant::now());
        let watches = self.reads_store.get() && own.followed_ms.is_some() && !own.in_grace_period;
        // An answer without a confirmation or of another era is handled as such.
        let comparable = status.followed_ms.is_some() && status.era == own.era;
        // A sender that follows a box of an older release states no complete list.
        let complete = part.complete_revision();
        let lacks_change = !complete.is_none() && complete < self.last_read_change.get();
        let is_older = status.in_grace_period || lacks_change;
        watches && comparable && is_older
    }

    /// Time since the whole local view was confirmed current; `None` when it cannot be
    /// confirmed to others.
    pub fn shareable_age(&self, now: Instant) -> Option<Duration> {
        let complete = !self.reads_store.get() || self.servers_known.get();
        let age = self.relay.view.age_at(now)?.max(self.synced_age(now)?);
        (complete && age < self.bound(PASS_ON_PART)).then_some(age)
    }

    /// Time since the configuration in force here was confirmed to be the newest.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.relay.view.age_at(now)
    }

    /// Whether the local view was ever confirmed, at the store or by a box of the hall
    /// with a confirmed view.
    pub fn is_synced(&self) -> bool {
        self.confirmed_once.get()
    }

    /// Applies the servers and the emptied halls of an answer whose configuration has
    /// not arrived yet; [`apply_answer`](Self::apply_answer) applies the rest.
    /// `listing` is the part of a full list of servers that was received so far; while
    /// there is one, the set of servers is incomplete.
    ///
    /// # Errors
    ///
    /// The other box cannot confirm that its view is current, or follows a stale era of
    /// the store.
    pub fn apply_partial_answer(
        &self,
        answer: &mut Answer,
        listing: &mut Option<Progress>,
    ) -> Result<(), Error> {
        sender_synced_age(answer).ok_or(Error::Unconfirmed)?;
        let era = self.answer_era(answer)?;
        if answer.status.is_none() {
            *answer = answer.clone().in_era(era);
        }
        let emptied = answer.emptied.as_ref().ok_or(Error::Unconfirmed)?;
        self.apply_emptied_list(emptied);
        if let Servers::Part(part) = &answer.servers {
            self.apply_piece(part, listing);
        }
        if let Some(list) = &answer.rollouts {
            let rollouts = &self.relay.rollouts;
            rollouts.merge(list, self.rollout_precedence(), Instant::now());
        }
        let none = Servers::Changes(Vec::new());
        self.apply_servers(std::mem::replace(&mut answer.servers, none), era);
        Ok(())
    }

    /// The era that an answer belongs to. An answer without one belongs to the only era
    /// that this box has known.
    ///
    /// # Errors
    ///
    /// That era is over.
    fn answer_era(&self, answer: &Answer) -> Result<Era, Error> {
        let known = self.relay.era_state.era();
        let Some(status) = answer.status else {
            let changed = self.relay.era_state.has_changed();
            return if changed {
                Err(Error::StaleEra)
            } else {
                Ok(known.unwrap_or_default())
            };
        };
        if known.is_some_and(|known| Era(status.era) < known) {
            return Err(Error::StaleEra);
        }
        // A box that has not observed any state of the store sends none.
        if status.first > 0 {
            self.observe_state(status.first());
        }
        Ok(Era(status.era))
    }

    /// Applies another box's answer to a request that was sent at `asked`, and the
    /// configuration's entry that followed the answer.
    ///
    /// # Errors
    ///
    /// The other box cannot confirm that its view is current, or follows a stale era of
    /// the store.
    pub fn apply_answer(
        &self,
        answer: Answer,
        document: Option<Vec<u8>>,
        asked: Instant,
    ) -> Result<(), Error> {
        let age = sender_synced_age(&answer).ok_or(Error::Unconfirmed)?;
        let era = self.answer_era(&answer)?;
        let answer = match answer.status {
            Some(_) => answer,
            None => answer.in_era(era),
        };
        let emptied = answer.emptied.as_ref().ok_or(Error::Unconfirmed)?;
        let in_grace_period = answer.status.is_some_and(|status| status.in_grace_period);
        self.upstream_in_grace_period.set(in_grace_period);
        // The other box reads the store, so it is reachable again as far as this box
        // knows. This box may become a reader again much later.
        self.mark_reachable();
        let known = self.apply_configuration(&answer, document, era);
        let halls_known = self.apply_emptied_list(emptied);
        self.apply_rollouts(answer.rollouts.as_ref(), asked);
        self.apply_servers(answer.servers, era);
        let current_as_of = asked.checked_sub(age).unwrap_or(asked);
        self.freshness.record_report(current_as_of);
        self.update_synced();
        if halls_known && known {
            self.record_operator_complete(current_as_of);
        }
        if answer.status.is_some_and(|status| status.settled) {
            self.settle(Evidence::Report);
        }
        let confirmed = match answer.status {
            Some(_) => answer.known_ms.map(Duration::from_millis),
            None => Some(age),
        };
        if let Some(confirmed) = confirmed.filter(|_| halls_known && known) {
            self.record_confirmation_before(asked, confirmed);
        }
        Ok(())
    }

    /// Applies the configuration that another box sent, and the revision of the store's
    /// entry that it knows. Returns whether the configuration in force here is not
    /// older than the one in force there.
    fn apply_configuration(&self, answer: &Answer, document: Option<Vec<u8>>, era: Era) -> bool {
        let revision = Revision::new(era, answer.revision);
        let read = document.map(|bytes| self.adopt_document(bytes, revision));
        let Some(status) = answer.status else {
            // A box that runs an older release sends only the store's entry.
            let version = match read {
                Some(version) => version.filter(|_| revision > self.revision()),
                None => None,
            };
            if let Some(version) = version {
                self.set_stored_entry(Entry { version, revision });
            }
            return !revision.is_none() && self.revision() == revision
                || revision.is_none() && self.stored_entry.get().is_none();
        };
        if revision > self.revision() {
            let version = Version(status.stored);
            self.set_stored_entry(Entry { version, revision });
        }
        if revision == self.revision() {
            self.record_stored_state(Revision::new(era, status.state));
        }
        self.relay.view.version() >= status.in_force()
    }

    /// Applies any box's answer to a request that was sent at `asked`, while this box
    /// has just started and does not reach the store. The other box need not have a
    /// confirmed view: the answer contains its age, and this box confirms it to no
    /// other.
    ///
    /// # Errors
    ///
    /// The other box has no configuration either, sent an invalid one, or follows a
    /// stale era of the store.
    pub fn apply_seed(
        &self,
        answer: Answer,
        document: Option<Vec<u8>>,
        asked: Instant,
    ) -> Result<(), Error> {
        let era = self.answer_era(&answer)?;
        let answer = match answer.status {
            Some(_) => answer,
            None => answer.in_era(era),
        };
        let known = self.apply_configuration(&answer, document, era);
        if !known || self.in_force().is_none() {
            return Err(Error::Unconfirmed);
        }
        let emptied = answer.emptied.unwrap_or_default();
        let halls_known = self.apply_emptied_list(&emptied);
        self.apply_rollouts(answer.rollouts.as_ref(), asked);
        self.apply_servers(answer.servers, era);
        // An entry that is missing when the store is back may have expired during the
        // outage.
        self.mark_unreachable(asked);
        self.set_reads_store("seeded", true);
        if let Some(age) = answer.known_ms.filter(|_| halls_known) {
            self.record_confirmation_before(asked, Duration::from_millis(age));
        }
        Ok(())
    }

    /// Applies the operator entries that another box remembers, while this box cannot
    /// tell whether the store has all of them: a higher version of the configuration,
    /// halls to be emptied, rollout orders, and whether the operator entries are
    /// complete in this era.
    pub fn apply_recalled(&self, answer: &Answer, document: Option<Vec<u8>>, asked: Instant) {
        let Some(status) = answer.status else {
            return;
        };
        let revision = Revision::new(Era(status.era), answer.revision);
        if let Some(document) = document {
            self.adopt_document(document, revision);
        }
        if let Some(list) = &answer.emptied {
            let era = self.relay.era_state.era().unwrap_or_default();
            for row in &list.rows {
                self.emptied.apply_stale(row, era);
            }
            self.apply_emptied();
            self.entries_held.notify();
        }
        if let Some(list) = &answer.rollouts {
            self.relay.rollouts.recall(list, Instant::now());
        }
        let same_era = Some(Era(status.era)) == self.relay.era_state.era();
        let knows = self.relay.view.version() >= status.in_force();
        let confirmed = answer.known_ms.map(Duration::from_millis);
        let recent = confirmed.filter(|age| *age < self.bound(PASS_ON_PART));
        if let Some(age) = recent.filter(|_| status.settled && same_era && knows) {
            self.settle(Evidence::Report);
            self.record_confirmation_before(asked, age);
        }
    }

    /// Records that the configuration was the newest at `age` before `asked`.
    fn record_confirmation_before(&self, asked: Instant, age: Duration) {
        if let Some(confirmed) = asked.checked_sub(age) {
            self.record_confirmation(confirmed);
        }
    }

    /// Applies the configuration of an answer that is not the last one of a list.
    pub fn apply_document(&self, answer: &Answer, document: Option<Vec<u8>>) {
        if let Some(document) = document {
            self.adopt_document(document, Revision::of(answer.revision));
        }
    }

    fn apply_piece(&self, part: &Part, listing: &mut Option<Progress>) {
        let mut batch = Batch::new();
        let Some(piece) = &part.piece else {
            self.apply_changes(part, &mut batch);
            self.history.confirm(part.complete_revision());
            batch.write();
            return;
        };
        if piece.first {
            *listing = Some(Progress {
                seen: part.complete_revision(),
                ..Progress::default()
            });
        }
        // A list that does not begin with its first piece answers another request.
        let Some(list) = listing.as_mut() else {
            return;
        };
        list.present.extend(part.rows().map(|row| row.id().clone()));
        list.after.clone_from(&piece.last);
        self.apply_changes(part, &mut batch);
        if piece.last.is_none() {
            for id in self.relay.fleet.ids() {
                if !list.present.contains(&id) {
                    self.remove_reported(&id, list.seen, &mut batch);
                }
            }
            self.history.confirm(list.seen);
            *listing = None;
        }
        batch.write();
    }

    fn apply_changes(&self, part: &Part, batch: &mut Batch) {
        for (id, seen) in part.removed() {
            self.remove_reported(id, seen, batch);
        }
        part.rows().for_each(|row| self.apply_row(row, batch));
    }

    fn apply_servers(&self, servers: Servers, era: Era) {
        let mut batch = Batch::new();
        let of_era = |seen: Revision| Revision::new(era, seen.number());
        match servers {
            Servers::Part(part) => {
                // Lists in pieces are applied by `apply_piece`.
                self.apply_changes(&part, &mut batch);
            }
            Servers::Changes(changes) => changes.into_iter().for_each(|change| match change {
                follow::Change::Upserted(row) => self.apply_row(row, &mut batch),
                follow::Change::Removed(id, seen) => {
                    self.remove_reported(&id, of_era(seen), &mut batch)
                }
            }),
            Servers::All(rows, seen) => self.apply_full_list(rows, of_era(seen), &mut batch),
        }
        batch.write();
    }

    /// Applies the list of all servers that another box knows, as of the state `seen`.
    fn apply_full_list(&self, rows: Vec<Row>, seen: Revision, batch: &mut Batch) {
        let present: HashSet<&ids::Server> = rows.iter().map(Row::id).collect();
        for id in self.relay.fleet.ids() {
            if !present.contains(&id) {
                self.remove_reported(&id, seen, batch);
            }
        }
        for row in rows {
            self.apply_row(row, batch);
        }
    }

    /// Drops a server that another box reports as gone, unless that box knows an older
    /// state of the store.
    fn remove_reported(&self, id: &ids::Server, seen: Revision, batch: &mut Batch) {
        if !self.history.knows_newer(id, seen) {
            self.drop_server(id, seen, change_log::Change::Gone, batch);
        }
    }
}

/// Time since the sender of an answer knew everything in the store; `None` if it cannot
/// tell.
fn sender_synced_age(answer: &Answer) -> Option<Duration> {
    let age = match &answer.status {
        Some(status) => status.followed_ms,
        None => answer.age_ms,
    };
    age.map(Duration::from_millis)
}

/// Rounded up, so that the view never looks younger than it is.
fn as_ms(age: Duration) -> u64 {
    age.as_millis() as u64 + 1
}
