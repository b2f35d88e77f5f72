//! Moving a service's requests to another release of its servers.
//!
//! The operator orders it, and the release may be bad: some of its answers are
//! failures or slow, at once or later, under load or on one route only. So it gets
//! a small share of the requests first, on so few of its servers that these have as
//! much to do as they will have; its answers are compared with those of the other
//! servers of the service.
//!
//! * [`stage`]: how far an order has come, as the store keeps it for all boxes.
//! * [`evidence`]: what answers of both releases showed, over all boxes.
//! * [`judge`]: whether that condemns the new release.
//! * [`plan`]: when the next step is taken.
//!
//! Invariants:
//!
//! * A box gives the new release its share of its own requests, by a count and not by
//!   chance, so that all boxes together keep within the share, whatever each knows.
//! * A box that cannot show that what it knows of an order is recent gives the new
//!   release nothing while there are others.
//! * What is older never replaces what is newer, whoever tells it.

pub mod evidence;
pub mod judge;
pub mod plan;
pub mod stage;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::era::{Era, Revision};
use tidepier_core::rollout::{Order, State};
use tidepier_core::server::{Release, Server};
use tidepier_ids as ids;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::era_state::Precedence;
use crate::notifier::Notifier;
use crate::revision_serde;
use evidence::Evidence;
use stage::Stage;

/// Requests of one server under the new release, in multiples of what it will have:
/// a little less, so that a service's load of the moment does not overload it.
const LOAD_PART: f64 = 0.8;
/// Fewest servers that are tried: fewer could all be bad by themselves.
const TRIED_MIN: f64 = 6.0;

/// An order as boxes tell it each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    service: ids::Service,
    target: String,
    within_ms: u64,
    /// Number of the revision of the operator's entry.
    order: u64,
    /// The era of that revision.
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    era: u64,
    /// How far it has come, as of a revision; of an earlier order, if of any.
    stage: Option<(Stage, u64)>,
    /// The era of that revision.
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    stage_era: u64,
}

impl Row {
    fn revision(&self) -> Revision {
        Revision::new(Era(self.era), self.order)
    }
}

/// All orders as of a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    rows: Vec<Row>,
    /// Number of the revision of the store up to which nothing else was ordered.
    seen: u64,
    /// The era of that revision.
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    era: u64,
    /// How long ago all this was provably the newest.
    pub age_ms: Option<u64>,
}

impl List {
    /// Whether there is no order.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The era of the store that it is of.
    pub fn era(&self) -> Era {
        Era(self.era)
    }

    /// The same of a box that knows no eras, as one of this era.
    pub fn in_era(mut self, era: Era) -> Self {
        self.era = era.0;
        for row in &mut self.rows {
            (row.era, row.stage_era) = (era.0, era.0);
        }
        self
    }

    fn seen(&self) -> Revision {
        Revision::new(Era(self.era), self.seen)
    }
}

/// An order that is known here.
#[derive(Debug, Clone)]
pub struct Known {
    /// The order.
    pub order: Order,
    /// Revision of the operator's entry.
    pub revision: Revision,
    /// Whether the store has that entry: one that went back may lack it.
    pub stored: bool,
    /// How far it has come.
    pub stage: Option<Stage>,
    /// Revision of the entry that the store has of that, if it has one.
    pub stage_revision: Revision,
    /// Whether that entry says how far it has come.
    pub stage_stored: bool,
    /// The era in which that was learned.
    stage_era: Era,
    /// When that was learned, or else the order.
    pub since: Instant,
}

impl Known {
    /// Time since the order, as far as is known.
    pub fn elapsed(&self, now: Instant) -> Duration {
        let before = self.stage.map_or(Duration::ZERO, |stage| stage.elapsed());
        before + now.saturating_duration_since(self.since)
    }

    /// How far it has come.
    pub fn state(&self) -> State {
        self.stage.map_or(State::InProgress, |stage| stage.state)
    }

    /// The part of the requests that the new release gets.
    pub fn share(&self) -> f64 {
        match self.state() {
            State::InProgress => self.stage.map_or(0.0, |stage| stage.share),
            State::Completed => 1.0,
            State::RolledBack => 0.0,
        }
    }

    /// The same order has an entry of another era now.
    fn written_again(&mut self, revision: Revision) {
        log::info!(
            target: "belief",
            "event=rollout_written_again service={} order={revision} before={}",
            self.order.service,
            self.revision,
        );
        self.revision = revision;
        self.stored = true;
        if let Some(stage) = &mut self.stage {
            stage.order = revision.number();
        }
    }

    /// Whether the store went back behind how far it has come, so that it has to be
    /// written again.
    pub fn is_unwritten(&self) -> bool {
        self.stored && self.stage.is_some() && !self.stage_stored
    }

    /// Whether a stage follows the known one. One of another era may be older.
    fn advances(&self, stage: &Stage, revision: Revision) -> bool {
        let Some(known) = &self.stage else {
            return true;
        };
        let in_progress = known.state == State::InProgress;
        let same_era = revision.era() == self.stage_era;
        in_progress && (same_era || stage.elapsed_ms > known.elapsed_ms)
    }

    fn row(&self) -> Row {
        Row {
            service: self.order.service.clone(),
            target: self.order.target.to_string(),
            within_ms: u64::try_from(self.order.within.as_millis()).unwrap_or(u64::MAX),
            order: self.revision.number(),
            era: self.revision.era().0,
            stage: self
                .stage
                .map(|stage| (stage, self.stage_revision.number())),
            stage_era: self.stage_revision.era().0,
        }
    }
}

/// Which servers of a service a request may go to while an order holds for it.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum Selector {
    /// All.
    #[default]
    Any,
    /// Those of the new release that are tried so far.
    Target {
        /// The release.
        release: Release,
        /// The part of its servers that is tried.
        part: f64,
        /// Stands for the order: another one tries others first.
        order: u64,
    },
    /// Those of all other releases.
    Others(Release),
}

impl Selector {
    /// Whether it is a new release that is on trial.
    pub fn is_trial(&self) -> bool {
        matches!(self, Selector::Target { part, .. } if *part < 1.0)
    }

    /// The servers of other releases.
    pub fn others(self) -> Self {
        match self {
            Selector::Target { release, .. } => Selector::Others(release),
            other => other,
        }
    }

    /// Whether a server is among them.
    pub fn admits(&self, server: &Server) -> bool {
        match self {
            Selector::Any => true,
            Selector::Others(target) => server.release.as_ref() != Some(target),
            Selector::Target {
                release,
                part,
                order,
            } => {
                let place = xxh3_64_with_seed(server.id.as_str().as_bytes(), *order);
                let place = place as f64 / u64::MAX as f64;
                server.release.as_ref() == Some(release) && place <= *part
            }
        }
    }
}

/// The orders that this box knows of.
#[derive(Default)]
pub struct Rollouts {
    known: RefCell<BTreeMap<ids::Service, Known>>,
    /// Services whose orders were taken back, each as of a revision.
    back: RefCell<BTreeMap<ids::Service, Revision>>,
    seen: Cell<Revision>,
    /// When what is known was provably the newest.
    proven: Cell<Option<Instant>>,
    /// What is left over of the share of each service.
    credit: RefCell<BTreeMap<ids::Service, f64>>,
    /// What answers showed.
    pub evidence: Evidence,
    /// Notified when something else is known.
    pub changed: Notifier,
}

impl Rollouts {
    /// Records an order of a revision, unless what is known stands against it.
    pub fn order(&self, order: Order, revision: Revision, hold: Option<Precedence>, now: Instant) {
        self.see(revision);
        let stands = |known: Revision| hold.is_some_and(|hold| hold.keeps(known, revision));
        let back = self.back.borrow().get(&order.service).copied();
        if back.is_some_and(|back| back >= revision || stands(back)) {
            return;
        }
        let mut all = self.known.borrow_mut();
        if let Some(known) = all.get_mut(&order.service) {
            if known.revision >= revision {
                known.stored |= known.revision == revision;
                return;
            }
            let before = known.revision;
            if before.era() < revision.era() && known.order == order {
                known.written_again(revision);
                self.evidence.rename(before, revision);
                drop(all);
                self.changed.notify();
                return;
            }
            if stands(before) {
                return;
            }
        }
        log::info!(
            target: "belief",
            "event=rollout service={} target={} within_ms={} order={revision}",
            order.service,
            order.target,
            order.within.as_millis(),
        );
        // The entry of how far an earlier order came is in the way of this one's.
        let before = all.get(&order.service).map(|known| known.stage_revision);
        let before = before.filter(|before| before.era() == revision.era());
        let fresh = Known {
            revision,
            stored: true,
            stage: None,
            stage_revision: before.unwrap_or_default(),
            stage_stored: false,
            stage_era: revision.era(),
            since: now,
            order,
        };
        all.insert(fresh.order.service.clone(), fresh);
        drop(all);
        self.changed.notify();
    }

    /// Records that a service's order was taken back.
    pub fn cancel(&self, service: &ids::Service, revision: Revision) {
        self.see(revision);
        let mut known = self.known.borrow_mut();
        let before = known.get(service);
        if before.is_some_and(|before| before.revision < revision) {
            known.remove(service);
            self.back.borrow_mut().insert(service.clone(), revision);
            log::info!(target: "belief", "event=rollout_taken_back service={service}");
            drop(known);
            self.changed.notify();
        }
    }

    /// Records that a list of the store as of a revision lacks a service's order, which
    /// is thereby taken back, unless what is known stands against that.
    pub fn missing(&self, service: &ids::Service, seen: Revision, hold: Option<Precedence>) {
        let mut all = self.known.borrow_mut();
        let Some(known) = all.get_mut(service) else {
            return;
        };
        if hold.is_some_and(|hold| hold.is_former(known.revision)) {
            known.stored = false;
            return;
        }
        drop(all);
        self.cancel(service, seen);
    }

    /// Records that the store went back to an older copy: what it has of how far orders
    /// have come is not known.
    pub fn restored(&self) {
        for known in self.known.borrow_mut().values_mut() {
            known.stage_revision = Revision::default();
            known.stage_stored = false;
        }
    }

    /// Records that the store has no entry of how far a service's order has come.
    pub fn stage_missing(&self, service: &ids::Service) {
        if let Some(known) = self.known.borrow_mut().get_mut(service) {
            known.stage_revision = Revision::default();
            known.stage_stored = false;
        }
    }

    /// Records how far a service's order has come, as an entry of a revision tells, or as
    /// another box knows it that the store lacks.
    pub fn stage(&self, service: &ids::Service, stage: Stage, revision: Revision, now: Instant) {
        let mut all = self.known.borrow_mut();
        let Some(known) = all.get_mut(service) else {
            return;
        };
        let is_entry = !revision.is_none();
        if is_entry {
            if revision <= known.stage_revision {
                return;
            }
            known.stage_revision = revision;
            known.stage_stored = false;
        }
        // An entry of an earlier order says nothing of this one.
        if stage.order != known.revision.number() {
            return;
        }
        if !known.advances(&stage, revision) {
            if is_entry && known.stage == Some(stage) {
                known.stage_stored = true;
                known.stage_era = revision.era();
            }
            return;
        }
        known.stage = Some(stage);
        known.stage_era = revision.era();
        known.stage_stored = is_entry;
        known.since = now;
        log::info!(
            target: "belief",
            "event=rollout_stage service={service} target={} state={} share={:.3} elapsed_ms={} revision={revision}",
            known.order.target,
            stage.state,
            stage.share,
            stage.elapsed().as_millis(),
        );
        metrics::gauge!("tidepier_rollout_share", "service" => service.to_string())
            .set(known.share());
        drop(all);
        self.changed.notify();
    }

    /// Takes over the whole state that another box or the store tells. Returns whether
    /// what is known here is the same now.
    pub fn merge(&self, list: &List, hold: Option<Precedence>, now: Instant) -> bool {
        for known in self.all() {
            let service = &known.order.service;
            if !list.rows.iter().any(|row| row.service == *service) {
                self.missing(service, list.seen(), hold);
            }
        }
        for row in &list.rows {
            self.merge_row(row, hold, now);
        }
        self.see(list.seen());
        let same = |known: &Known| list.rows.contains(&known.row());
        let known = self.known.borrow();
        known.len() == list.rows.len() && known.values().all(same)
    }

    fn merge_row(&self, row: &Row, hold: Option<Precedence>, now: Instant) {
        let target = match row.target.parse() {
            Ok(target) => target,
            Err(error) => {
                log::error!(target: "belief", "event=rollout_invalid service={} why=\"{error}\"", row.service);
                return;
            }
        };
        let order = Order {
            service: row.service.clone(),
            target,
            within: Duration::from_millis(row.within_ms),
        };
        self.order(order, row.revision(), hold, now);
        if let Some((stage, number)) = row.stage {
            let revision = Revision::new(Era(row.stage_era), number);
            self.stage(&row.service, stage, revision, now);
        }
    }

    /// Takes over orders that another box knows of former eras, and how far they came;
    /// what it does not know is taken back by nobody.
    pub fn recall(&self, list: &List, now: Instant) {
        for row in &list.rows {
            let known = self.of(&row.service);
            if known.is_none_or(|known| known.revision.era() >= row.revision().era()) {
                self.merge_row(row, None, now);
            }
        }
    }

    /// The whole state, for other boxes.
    pub fn list(&self, now: Instant) -> List {
        let age = self.age(now);
        List {
            rows: self.known.borrow().values().map(Known::row).collect(),
            seen: self.seen.get().number(),
            era: self.seen.get().era().0,
            // Rounded up, so that it never looks younger.
            age_ms: age.map(|age| age.as_millis() as u64 + 1),
        }
    }

    /// All orders.
    pub fn all(&self) -> Vec<Known> {
        self.known.borrow().values().cloned().collect()
    }

    /// The order for a service.
    pub fn of(&self, service: &ids::Service) -> Option<Known> {
        self.known.borrow().get(service).cloned()
    }

    fn see(&self, revision: Revision) {
        self.seen.set(self.seen.get().max(revision));
    }

    /// Records that what is known was the newest at `asked`.
    pub fn confirm_at(&self, asked: Instant) {
        if self.proven.get().is_none_or(|earlier| earlier < asked) {
            self.proven.set(Some(asked));
        }
    }

    /// How long ago what is known was provably the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let proven = self.proven.get();
        proven.map(|at| now.saturating_duration_since(at))
    }

    /// Where the next sending of a request goes. `again`: it was sent before, so that
    /// its caller waits already; a release that is on trial gets no such request.
    /// `servers`: how many servers of a release take requests.
    pub fn release_selector(
        &self,
        service: &ids::Service,
        again: bool,
        trust: Duration,
        servers: impl Fn(&Release) -> usize,
        now: Instant,
    ) -> Selector {
        let all = self.known.borrow();
        let Some(known) = all.get(service) else {
            return Selector::Any;
        };
        let release = known.order.target.clone();
        if known.state() == State::Completed {
            return whole(release, known.revision.number());
        }
        let recent = self.age(now).is_some_and(|age| age < trust);
        let share = if recent { known.share() } else { 0.0 };
        if share >= 1.0 {
            return whole(release, known.revision.number());
        }
        if again || !self.take_credit(service, share) {
            return Selector::Others(release);
        }
        let count = servers(&release).max(1) as f64;
        let part = (share / LOAD_PART).max(TRIED_MIN / count).min(1.0);
        Selector::Target {
            release,
            part,
            order: known.revision.number(),
        }
    }

    /// Whether one more request is the new release's. Boxes begin at different places,
    /// so that those with few requests add up to the share as well.
    fn take_credit(&self, service: &ids::Service, share: f64) -> bool {
        let mut all = self.credit.borrow_mut();
        let credit = all.entry(service.clone()).or_insert_with(fastrand::f64);
        *credit += share;
        let due = share > 0.0 && *credit >= 1.0;
        if due {
            *credit -= 1.0;
        }
        due
    }
}

fn whole(release: Release, order: u64) -> Selector {
    Selector::Target {
        release,
        part: 1.0,
        order,
    }
}
