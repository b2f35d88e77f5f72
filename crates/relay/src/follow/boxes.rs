//! What this box passes on to others of its hall, and takes over from them.
//!
//! Invariants:
//!
//! * What cannot be confirmed to be current is not passed on as current.
//! * Information as of an older revision never replaces newer.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::store::Revision;
use tidepier_ids as ids;

use super::listing::Listing;
use super::news::{self, News};
use super::Follower;
use crate::emptied;
use crate::message::follow::{self, Answer, Position, Row, Servers};
use crate::message::link::Error;
use crate::message::part::Part;
use crate::record::Place;

/// Age of a proof, as a part of the time in which a change has to be in force
/// everywhere, from which a box's answers to others no longer count as current.
const PASS_ON_PART: f64 = 0.6;

impl Follower {
    /// The revision in force here, and the entry if it is newer than `known`.
    pub fn document_after(&self, known: u64) -> (u64, Option<Rc<[u8]>>) {
        let revision = self.revision.get().0;
        let newer = revision > known;
        (revision, newer.then(|| self.document.borrow().clone()))
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
                    follow::Change::Is(row) => Some(row),
                    follow::Change::Gone(..) => None,
                });
                rows.for_each(fresh);
            }
            // The record makes none of these for boxes of an older form.
            Servers::Part(_) => {}
        }
        (servers, place)
    }

    /// What a box that asks for parts lacks of the servers, and its position after that.
    pub fn servers_part(&self, place: &Place) -> (Part, Position) {
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
    pub fn emptied(&self) -> emptied::List {
        self.emptied.list()
    }

    /// How long ago all that this box knows was provably the newest; `None`
    /// when it cannot confirm that.
    pub fn proven_age(&self, now: Instant) -> Option<Duration> {
        let whole = !self.reads_store.get() || self.servers_known.get();
        let age = self.relay.view.age_at(now)?;
        (whole && age < self.bound(PASS_ON_PART)).then_some(age)
    }

    /// How long ago the configuration in force here was provably the newest.
    pub fn known_age(&self, now: Instant) -> Option<Duration> {
        self.relay.view.age_at(now)
    }

    /// Whether this box has confirmed what it knows, at the store or at a box
    /// of its hall that vouches for it.
    pub fn is_informed(&self) -> bool {
        self.informed.get()
    }

    /// Takes over the servers and the emptied halls of an answer whose
    /// configuration is still to come, and leaves the rest of it to
    /// [`take_answer`](Self::take_answer). `listing` is what was got so far of a list
    /// of all servers; while there is one, the servers are not known.
    ///
    /// # Errors
    ///
    /// The other box cannot confirm that what it knows is current.
    pub fn hear_servers(
        &self,
        answer: &mut Answer,
        listing: &mut Option<Listing>,
    ) -> Result<(), Error> {
        answer.age_ms.ok_or(Error::Unsure)?;
        let emptied = answer.emptied.as_ref().ok_or(Error::Unsure)?;
        self.take_emptied(emptied);
        if let Servers::Part(part) = &answer.servers {
            self.take_part(part, listing);
        }
        if let Some(list) = &answer.rollouts {
            self.relay.rollouts.merge(list, Instant::now());
        }
        let none = Servers::Changes(Vec::new());
        self.take_rows(std::mem::replace(&mut answer.servers, none));
        Ok(())
    }

    /// Takes over what another box answered to a question that was sent at
    /// `asked`, with the configuration's entry that followed.
    ///
    /// # Errors
    ///
    /// The other box cannot confirm that what it knows is current.
    pub fn take_answer(
        &self,
        answer: Answer,
        document: Option<Vec<u8>>,
        asked: Instant,
    ) -> Result<(), Error> {
        let age = answer.age_ms.map(Duration::from_millis);
        let age = age.ok_or(Error::Unsure)?;
        let emptied = answer.emptied.ok_or(Error::Unsure)?;
        // The other box reads the store now: what this one thought of it is
        // over. It may become a reader again long after.
        self.mark_reachable();
        if let Some(document) = document {
            self.take_document(Revision(answer.revision), document);
        }
        let halls_known = self.take_emptied(&emptied);
        self.take_rollouts(answer.rollouts.as_ref(), asked);
        self.take_rows(answer.servers);
        if halls_known && self.revision.get() == Revision(answer.revision) {
            self.prove_from(asked, age);
        }
        Ok(())
    }

    /// Takes over what any box answered to a question that was sent at `asked`
    /// while this box has just started and does not reach the store. The other
    /// need not vouch that it is current: how old it is comes with it, and
    /// this box vouches to nobody for it.
    ///
    /// # Errors
    ///
    /// The other box knows nothing either, or sent no valid configuration.
    pub fn take_seed(
        &self,
        answer: Answer,
        document: Option<Vec<u8>>,
        asked: Instant,
    ) -> Result<(), Error> {
        if let Some(document) = document {
            self.take_document(Revision(answer.revision), document);
        }
        let known = self.revision.get();
        if known == Revision(0) || known != Revision(answer.revision) {
            return Err(Error::Unsure);
        }
        let emptied = answer.emptied.unwrap_or_default();
        let halls_known = self.take_emptied(&emptied);
        self.take_rollouts(answer.rollouts.as_ref(), asked);
        self.take_rows(answer.servers);
        // An entry that is absent when the store is back may have lapsed.
        self.mark_unreachable(asked);
        self.read_self("seeded", true);
        if let Some(age) = answer.known_ms.filter(|_| halls_known) {
            self.prove_from(asked, Duration::from_millis(age));
        }
        Ok(())
    }

    /// Records that the configuration was the newest at `age` before `asked`.
    fn prove_from(&self, asked: Instant, age: Duration) {
        if let Some(proven) = asked.checked_sub(age) {
            self.prove_at(proven);
        }
    }

    /// Takes over the configuration of an answer that is not the last one of a list.
    pub fn hear_document(&self, answer: &Answer, document: Option<Vec<u8>>) {
        if let Some(document) = document {
            self.take_document(Revision(answer.revision), document);
        }
    }

    fn take_part(&self, part: &Part, listing: &mut Option<Listing>) {
        let mut news = News::new();
        let Some(piece) = &part.piece else {
            self.take_changes(part, &mut news);
            self.record.confirm(part.whole);
            news.tell();
            return;
        };
        if piece.first {
            *listing = Some(Listing {
                seen: part.whole,
                ..Listing::default()
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
        for (id, seen) in &part.gone {
            self.reported_gone(id, *seen, news);
        }
        part.rows().for_each(|row| self.announced(row, news));
    }

    fn take_rows(&self, servers: Servers) {
        let mut news = News::new();
        match servers {
            Servers::Part(part) => {
                // Whoever takes a list in pieces does so by `take_part`.
                self.take_changes(&part, &mut news);
            }
            Servers::Changes(changes) => changes.into_iter().for_each(|change| match change {
                follow::Change::Is(row) => self.announced(row, &mut news),
                follow::Change::Gone(id, seen) => self.reported_gone(&id, seen, &mut news),
            }),
            Servers::All(rows, seen) => self.take_all(rows, seen, &mut news),
        }
        news.tell();
    }

    /// Takes over all servers that another box knows, as of the state `seen`.
    fn take_all(&self, rows: Vec<Row>, seen: u64, news: &mut News) {
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
    fn reported_gone(&self, id: &ids::Server, seen: u64, news: &mut News) {
        if !self.record.is_newer(id, seen) {
            self.drop_server(id, seen, news::Change::Gone, news);
        }
    }
}
