//! What this box passes on to others of its hall, and takes over from them.
//!
//! Invariants:
//!
//! * What cannot be confirmed to be current is not passed on as current.
//! * Information as of an older revision never replaces newer, and of a former era none
//!   is taken but for what was in force in it.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Version;
use tidepier_core::era::{Era, Revision};
use tidepier_ids as ids;

use super::listing::Progress;
use super::news::{self, News};
use super::Follower;
use crate::emptied_halls;
use crate::era_state::{Entry, Evidence};
use crate::message::follow::{self, Answer, Position, Request, Row, Servers, Status};
use crate::message::link::Error;
use crate::message::part::Part;
use crate::server_history::Cursor;

/// Age of a proof, as a part of the time in which a change has to be in force
/// everywhere, from which a box's answers to others no longer count as current.
const PASS_ON_PART: f64 = 0.6;

impl Follower {
    /// The configuration in force here, for a box that asks and has an older one.
    pub fn document_for(&self, ask: &Request) -> Option<Rc<[u8]>> {
        let in_force = self.in_force()?;
        let asked = ask.options.as_ref().and_then(|more| more.in_force);
        let newer = match asked {
            Some(version) => in_force > Version(version),
            None => self.revision().number() > ask.document,
        };
        newer.then(|| self.document.borrow().clone())
    }

    /// How far the store is known that this box's word is from.
    pub fn advertised_status(&self, now: Instant) -> Status {
        let whole = !self.reads_store.get() || self.servers_known.get();
        let age = self.followed_age(now);
        let age = age.filter(|age| whole && *age < self.bound(PASS_ON_PART));
        let stored = self.entry.get().map(|entry| entry.version);
        Status {
            era: self.relay.standing.era().unwrap_or_default().0,
            first: self.relay.standing.first(),
            settled: self.relay.standing.is_settled(),
            in_force: self.relay.view.version().0,
            stored: stored.unwrap_or_default().0,
            state: self.state.get().number(),
            followed_ms: age.map(as_ms),
        }
    }

    /// The servers that a box at `place` does not know, and the place after it.
    pub fn servers_after(&self, place: Position) -> (Servers, Position) {
        let (mut servers, place) = self.record.since(place);
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
            // The record makes none of these for boxes of an older form.
            Servers::Part(_) => {}
        }
        (servers, place)
    }

    /// What a box that asks for parts lacks of the servers, and its position after that.
    pub fn servers_part(&self, place: &Cursor) -> (Part, Position) {
        let now = Instant::now();
        let cold = |id: &ids::Server| {
            let backend = self.relay.fleet.get(id);
            backend.map_or(Duration::ZERO, |it| it.cold_left(now))
        };
        let (mut part, position) = self.record.part(place);
        part.set_cold(cold);
        (part, position)
    }

    /// The halls that the operator asked to empty, as far as this box knows.
    pub fn emptied(&self) -> emptied_halls::List {
        self.emptied.list()
    }

    /// How long ago all that this box knows was provably the newest; `None`
    /// when it cannot confirm that.
    pub fn shareable_age(&self, now: Instant) -> Option<Duration> {
        let whole = !self.reads_store.get() || self.servers_known.get();
        let age = self.relay.view.age_at(now)?;
        (whole && age < self.bound(PASS_ON_PART)).then_some(age)
    }

    /// How long ago the configuration in force here was provably the newest.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.relay.view.age_at(now)
    }

    /// Whether this box has confirmed what it knows, at the store or at a box
    /// of its hall that vouches for it.
    pub fn is_synced(&self) -> bool {
        self.informed.get()
    }

    /// Takes over the servers and the emptied halls of an answer whose
    /// configuration is still to come, and leaves the rest of it to
    /// [`apply_answer`](Self::apply_answer). `listing` is what was got so far of a list
    /// of all servers; while there is one, the servers are not known.
    ///
    /// # Errors
    ///
    /// The other box cannot confirm that what it knows is current, or follows a former
    /// era of the store.
    pub fn apply_partial_answer(
        &self,
        answer: &mut Answer,
        listing: &mut Option<Progress>,
    ) -> Result<(), Error> {
        followed(answer).ok_or(Error::Unconfirmed)?;
        let era = self.hear_era(answer)?;
        if answer.standing.is_none() {
            *answer = answer.clone().in_era(era);
        }
        let emptied = answer.emptied.as_ref().ok_or(Error::Unconfirmed)?;
        self.take_emptied(emptied);
        if let Servers::Part(part) = &answer.servers {
            self.take_part(part, listing);
        }
        if let Some(list) = &answer.rollouts {
            let rollouts = &self.relay.rollouts;
            rollouts.merge(list, self.hold(), Instant::now());
        }
        let none = Servers::Changes(Vec::new());
        self.take_rows(std::mem::replace(&mut answer.servers, none), era);
        Ok(())
    }

    /// The era that an answer is of; one that tells none is of the only one that this box
    /// has known.
    ///
    /// # Errors
    ///
    /// That is a former one.
    fn hear_era(&self, answer: &Answer) -> Result<Era, Error> {
        let known = self.relay.standing.era();
        let Some(told) = answer.standing else {
            let changed = self.relay.standing.has_changed();
            return if changed {
                Err(Error::StaleEra)
            } else {
                Ok(known.unwrap_or_default())
            };
        };
        if known.is_some_and(|known| Era(told.era) < known) {
            return Err(Error::StaleEra);
        }
        // One that has not heard of any state tells none.
        if told.first > 0 {
            self.hear_state(told.first());
        }
        Ok(Era(told.era))
    }

    /// Takes over what another box answered to a question that was sent at
    /// `asked`, with the configuration's entry that followed.
    ///
    /// # Errors
    ///
    /// The other box cannot confirm that what it knows is current, or follows a former
    /// era of the store.
    pub fn apply_answer(
        &self,
        answer: Answer,
        document: Option<Vec<u8>>,
        asked: Instant,
    ) -> Result<(), Error> {
        let age = followed(&answer).ok_or(Error::Unconfirmed)?;
        let era = self.hear_era(&answer)?;
        let answer = match answer.standing {
            Some(_) => answer,
            None => answer.in_era(era),
        };
        let emptied = answer.emptied.as_ref().ok_or(Error::Unconfirmed)?;
        // The other box reads the store now: what this one thought of it is
        // over. It may become a reader again long after.
        self.mark_reachable();
        let known = self.take_told(&answer, document, era);
        let halls_known = self.take_emptied(emptied);
        self.take_rollouts(answer.rollouts.as_ref(), asked);
        self.take_rows(answer.servers, era);
        if halls_known && known {
            self.follow_since(asked.checked_sub(age).unwrap_or(asked));
        }
        if answer.standing.is_some_and(|standing| standing.settled) {
            self.settle(Evidence::Report);
        }
        let proven = match answer.standing {
            Some(_) => answer.known_ms.map(Duration::from_millis),
            None => Some(age),
        };
        if let Some(proven) = proven.filter(|_| halls_known && known) {
            self.prove_from(asked, proven);
        }
        Ok(())
    }

    /// Takes over the configuration that another box told, and what it knows of the
    /// store's entry. Returns whether what is in force here is not older than what is in
    /// force there.
    fn take_told(&self, answer: &Answer, document: Option<Vec<u8>>, era: Era) -> bool {
        let revision = Revision::new(era, answer.revision);
        let read = document.map(|bytes| self.take_document(bytes, revision));
        let Some(told) = answer.standing else {
            // One of an older form tells the store's entry alone.
            let version = match read {
                Some(version) => version.filter(|_| revision > self.revision()),
                None => None,
            };
            if let Some(version) = version {
                self.set_entry(Entry { version, revision });
            }
            return !revision.is_none() && self.revision() == revision
                || revision.is_none() && self.entry.get().is_none();
        };
        if revision > self.revision() {
            let version = Version(told.stored);
            self.set_entry(Entry { version, revision });
        }
        if revision == self.revision() {
            self.see_state(Revision::new(era, told.state));
        }
        self.relay.view.version() >= told.in_force()
    }

    /// Takes over what any box answered to a question that was sent at `asked`
    /// while this box has just started and does not reach the store. The other
    /// need not vouch that it is current: how old it is comes with it, and
    /// this box vouches to nobody for it.
    ///
    /// # Errors
    ///
    /// The other box knows nothing either, sent no valid configuration, or follows a
    /// former era of the store.
    pub fn apply_seed(
        &self,
        answer: Answer,
        document: Option<Vec<u8>>,
        asked: Instant,
    ) -> Result<(), Error> {
        let era = self.hear_era(&answer)?;
        let answer = match answer.standing {
            Some(_) => answer,
            None => answer.in_era(era),
        };
        let known = self.take_told(&answer, document, era);
        if !known || self.in_force().is_none() {
            return Err(Error::Unconfirmed);
        }
        let emptied = answer.emptied.unwrap_or_default();
        let halls_known = self.take_emptied(&emptied);
        self.take_rollouts(answer.rollouts.as_ref(), asked);
        self.take_rows(answer.servers, era);
        // An entry that is absent when the store is back may have lapsed.
        self.mark_unreachable(asked);
        self.set_reads_store("seeded", true);
        if let Some(age) = answer.known_ms.filter(|_| halls_known) {
            self.prove_from(asked, Duration::from_millis(age));
        }
        Ok(())
    }

    /// Takes over what any box knows of what the operator wrote, while this one cannot
    /// tell whether the store has all of it: a higher version, halls to be emptied,
    /// orders, and whether the operator's entries are whole in this era.
    pub fn apply_recalled(&self, answer: &Answer, document: Option<Vec<u8>>, asked: Instant) {
        let Some(told) = answer.standing else {
            return;
        };
        let revision = Revision::new(Era(told.era), answer.revision);
        if let Some(document) = document {
            self.take_document(document, revision);
        }
        if let Some(list) = &answer.emptied {
            let era = self.relay.standing.era().unwrap_or_default();
            for row in &list.rows {
                self.emptied.recall(row, era);
            }
            self.apply_emptied();
            self.held.notify();
        }
        if let Some(list) = &answer.rollouts {
            self.relay.rollouts.recall(list, Instant::now());
        }
        let same_era = Some(Era(told.era)) == self.relay.standing.era();
        let knows = self.relay.view.version() >= told.in_force();
        let proven = answer.known_ms.map(Duration::from_millis);
        let recent = proven.filter(|age| *age < self.bound(PASS_ON_PART));
        if let Some(age) = recent.filter(|_| told.settled && same_era && knows) {
            self.settle(Evidence::Report);
            self.prove_from(asked, age);
        }
    }

    /// Records that the configuration was the newest at `age` before `asked`.
    fn prove_from(&self, asked: Instant, age: Duration) {
        if let Some(proven) = asked.checked_sub(age) {
            self.prove_at(proven);
        }
    }

    /// Takes over the configuration of an answer that is not the last one of a list.
    pub fn apply_document(&self, answer: &Answer, document: Option<Vec<u8>>) {
        if let Some(document) = document {
            self.take_document(document, Revision::of(answer.revision));
        }
    }

    fn take_part(&self, part: &Part, listing: &mut Option<Progress>) {
        let mut news = News::new();
        let Some(piece) = &part.piece else {
            self.take_changes(part, &mut news);
            self.record.confirm(part.complete_revision());
            news.tell();
            return;
        };
        if piece.first {
            *listing = Some(Progress {
                seen: part.complete_revision(),
                ..Progress::default()
            });
        }
        // One that does not begin with its first piece is of another question.
        let Some(list) = listing.as_mut() else {
            return;
        };
        list.present.extend(part.rows().map(|row| row.id().clone()));
        list.after.clone_from(&piece.last);
        self.take_changes(part, &mut news);
        if piece.last.is_none() {
            for id in self.relay.fleet.ids() {
                if !list.present.contains(&id) {
                    self.reported_gone(&id, list.seen, &mut news);
                }
            }
            self.record.confirm(list.seen);
            *listing = None;
        }
        news.tell();
    }

    fn take_changes(&self, part: &Part, news: &mut News) {
        for (id, seen) in part.gone() {
            self.reported_gone(id, seen, news);
        }
        part.rows().for_each(|row| self.announced(row, news));
    }

    fn take_rows(&self, servers: Servers, era: Era) {
        let mut news = News::new();
        let of_era = |seen: Revision| Revision::new(era, seen.number());
        match servers {
            Servers::Part(part) => {
                // Whoever takes a list in pieces does so by `take_part`.
                self.take_changes(&part, &mut news);
            }
            Servers::Changes(changes) => changes.into_iter().for_each(|change| match change {
                follow::Change::Upserted(row) => self.announced(row, &mut news),
                follow::Change::Removed(id, seen) => {
                    self.reported_gone(&id, of_era(seen), &mut news)
                }
            }),
            Servers::All(rows, seen) => self.take_all(rows, of_era(seen), &mut news),
        }
        news.tell();
    }

    /// Takes over all servers that another box knows, as of the state `seen`.
    fn take_all(&self, rows: Vec<Row>, seen: Revision, news: &mut News) {
        let present: HashSet<&ids::Server> = rows.iter().map(Row::id).collect();
        for id in self.relay.fleet.ids() {
            if !present.contains(&id) {
                self.reported_gone(&id, seen, news);
            }
        }
        for row in rows {
            self.announced(row, news);
        }
    }

    /// Drops a server that another box says is gone, unless that box knows an
    /// older state of the store.
    fn reported_gone(&self, id: &ids::Server, seen: Revision, news: &mut News) {
        if !self.record.is_newer(id, seen) {
            self.drop_server(id, seen, news::Change::Gone, news);
        }
    }
}

/// How long ago the sender of an answer knew all that the store held; `None`: it cannot
/// tell.
fn followed(answer: &Answer) -> Option<Duration> {
    let age = match &answer.standing {
        Some(standing) => standing.followed_ms,
        None => answer.age_ms,
    };
    age.map(Duration::from_millis)
}

/// Rounded up, so that what is known never looks younger.
fn as_ms(age: Duration) -> u64 {
    age.as_millis() as u64 + 1
}
