//! Rollouts: moving the requests of a service to another release of its servers.
//!
//! The operator orders a rollout, and the release may be faulty: some of its answers fail
//! or are slow, at once or later, under load or on one route only. So the release first
//! gets a small share of the requests, on so few of its servers that each has as much load
//! as after the rollout. Its answers are compared with those of the other servers of the
//! service.
//!
//! * [`stage`]: how far an order has come, as the store keeps it for all boxes.
//! * [`evidence`]: statistics of the answers of both releases, over all boxes.
//! * [`judge`]: whether these show that the new release is faulty.
//! * [`plan`]: when the next step is taken.
//!
//! Invariants:
//!
//! * A box counts out the new release's share of its own requests instead of drawing lots,
//!   so that all boxes together keep within the share, whatever each of them knows.
//! * A box that cannot confirm that its view of an order is recent gives the new release
//!   nothing while there are servers of other releases.
//! * Older state never replaces newer state, whoever reports it.

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

/// Load of a server of the canary release, in multiples of its load after the rollout: a
/// little less, so that a momentary peak of the service does not overload it.
const LOAD_PART: f64 = 0.8;
/// Minimum number of servers of the canary release that get requests: fewer could all be
/// bad for reasons of their own.
const SERVERS_MIN: f64 = 6.0;

/// An order as boxes report it to each other.
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
    /// The stage and the number of its revision; possibly that of an earlier order.
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
    /// Confirmed age of the list, in ms.
    pub age_ms: Option<u64>,
}

impl List {
    /// Whether there is no order.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The era of the list's revisions.
    pub fn era(&self) -> Era {
        Era(self.era)
    }

    /// Sets the era of a list from a box that does not support eras.
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

/// An order in the local view.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// Revision of the operator's entry.
    pub revision: Revision,
    /// Whether the store has that entry; a restored store may lack it.
    pub stored: bool,
    /// How far the order has come.
    pub stage: Option<Stage>,
    /// Revision of the stage entry in the store, if it has one.
    pub stage_revision: Revision,
    /// Whether that entry holds the known stage.
    pub stage_stored: bool,
    /// The era in which the stage was learned.
    stage_era: Era,
    /// When the stage was learned, or the order if it has no stage.
    pub since: Instant,
}

impl Rollout {
    /// Time since the order, as far as this box knows.
    pub fn elapsed(&self, now: Instant) -> Duration {
        let previous = self.stage.map_or(Duration::ZERO, |stage| stage.elapsed());
        previous + now.saturating_duration_since(self.since)
    }

    /// The state of the order.
    pub fn state(&self) -> State {
        self.stage.map_or(State::InProgress, |stage| stage.state)
    }

    /// The share of the requests that the new release gets.
    pub fn share(&self) -> f64 {
        match self.state() {
            State::InProgress => self.stage.map_or(0.0, |stage| stage.share),
            State::Completed => 1.0,
            State::RolledBack => 0.0,
        }
    }

    /// Records that the same order has an entry of a newer era.
    fn set_rewritten(&mut self, revision: Revision) {
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

    /// Whether the store was restored to a backup without the known stage, so that this has
    /// to be rewritten.
    pub fn needs_rewrite(&self) -> bool {
        self.stored && self.stage.is_some() && !self.stage_stored
    }

    /// Whether a stage follows the known one. A stage of another era may be older.
    fn is_followed_by(&self, stage: &Stage, revision: Revision) -> bool {
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

/// Which servers of a service a request may go to while there is an order for it.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum Selector {
    /// All servers.
    #[default]
    Any,
    /// The servers of the new release that get requests so far.
    Target {
        /// The release.
        release: Release,
        /// The part of its servers that gets requests.
        part: f64,
        /// Number of the order; each order starts with other servers.
        order: u64,
    },
    /// The servers of all other releases.
    Others(Release),
}

impl Selector {
    /// Whether the new release is a canary: only a part of its servers gets requests.
    pub fn is_canary(&self) -> bool {
        matches!(self, Selector::Target { part, .. } if *part < 1.0)
    }

    /// Selects the servers of other releases instead.
    pub fn others(self) -> Self {
        match self {
            Selector::Target { release, .. } => Selector::Others(release),
            other => other,
        }
    }

    /// Whether a server is selected.
    pub fn admits(&self, server: &Server) -> bool {
        match self {
            Selector::Any => true,
            Selector::Others(target) => server.release.as_ref() != Some(target),
            Selector::Target {
                release,
                part,
                order,
            } => {
                let position = xxh3_64_with_seed(server.id.as_str().as_bytes(), *order);
                let position = position as f64 / u64::MAX as f64;
                server.release.as_ref() == Some(release) && position <= *part
            }
        }
    }
}

/// The orders in this box's local view.
#[derive(Default)]
pub struct Rollouts {
    known: RefCell<BTreeMap<ids::Service, Rollout>>,
    /// Services whose orders were cancelled, each with the revision of that.
    cancelled: RefCell<BTreeMap<ids::Service, Revision>>,
    seen: Cell<Revision>,
    /// Time as of which the local view is confirmed current.
    confirmed_at: Cell<Option<Instant>>,
    /// Unused part of the new release's share, by service.
    credit: RefCell<BTreeMap<ids::Service, f64>>,
    /// Statistics of the answers.
    pub evidence: Evidence,
    /// Notified when the local view changes.
    pub changed: Notifier,
}

impl Rollouts {
    /// Records an order with its revision, unless the known state takes precedence over it.
    pub fn order(
        &self,
        order: Order,
        revision: Revision,
        precedence: Option<Precedence>,
        now: Instant,
    ) {
        self.observe(revision);
        let is_kept = |known: Revision| {
            precedence.is_some_and(|precedence| precedence.outranks(known, revision))
        };
        let cancelled = self.cancelled.borrow().get(&order.service).copied();
        if cancelled.is_some_and(|cancelled| cancelled >= revision || is_kept(cancelled)) {
            return;
        }
        let mut all = self.known.borrow_mut();
        if let Some(known) = all.get_mut(&order.service) {
            if known.revision >= revision {
                known.stored |= known.revision == revision;
                return;
            }
            let previous = known.revision;
            if previous.era() < revision.era() && known.order == order {
                known.set_rewritten(revision);
                self.evidence.move_counts(previous, revision);
                drop(all);
                self.changed.notify();
                return;
            }
            if is_kept(previous) {
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
        // The stage entry of an earlier order is to be replaced by that of this one, so its
        // revision is kept.
        let previous = all.get(&order.service).map(|known| known.stage_revision);
        let previous = previous.filter(|previous| previous.era() == revision.era());
        let fresh = Rollout {
            revision,
            stored: true,
            stage: None,
            stage_revision: previous.unwrap_or_default(),
            stage_stored: false,
            stage_era: revision.era(),
            since: now,
            order,
        };
        all.insert(fresh.order.service.clone(), fresh);
        drop(all);
        self.changed.notify();
    }

    /// Records that the order of a service was cancelled.
    pub fn cancel(&self, service: &ids::Service, revision: Revision) {
        self.observe(revision);
        let mut known = self.known.borrow_mut();
        let previous = known.get(service);
        if previous.is_some_and(|previous| previous.revision < revision) {
            known.remove(service);
            self.cancelled
                .borrow_mut()
                .insert(service.clone(), revision);
            log::info!(target: "belief", "event=rollout_taken_back service={service}");
            drop(known);
            self.changed.notify();
        }
    }

    /// Records that a list of the store at a revision lacks the order of a service. This
    /// cancels the order, unless the known state takes precedence.
    pub fn missing(&self, service: &ids::Service, seen: Revision, precedence: Option<Precedence>) {
        let mut all = self.known.borrow_mut();
        let Some(known) = all.get_mut(service) else {
            return;
        };
        if precedence.is_some_and(|precedence| precedence.is_stale(known.revision)) {
            known.stored = false;
            return;
        }
        drop(all);
        self.cancel(service, seen);
    }

    /// Records that the store was restored from an older backup: which stage entries it has
    /// is unknown now.
    pub fn restored(&self) {
        for known in self.known.borrow_mut().values_mut() {
            known.stage_revision = Revision::default();
            known.stage_stored = false;
        }
    }

    /// Records that the store has no stage entry for a service.
    pub fn stage_missing(&self, service: &ids::Service) {
        if let Some(known) = self.known.borrow_mut().get_mut(service) {
            known.stage_revision = Revision::default();
            known.stage_stored = false;
        }
    }

    /// Records that the stage entry with this revision says nothing that can be read, so that
    /// the known or the next stage replaces it.
    pub fn stage_unreadable(&self, service: &ids::Service, revision: Revision) {
        let mut all = self.known.borrow_mut();
        let known = all.get_mut(service);
        let Some(known) = known.filter(|known| revision > known.stage_revision) else {
            return;
        };
        known.stage_revision = revision;
        known.stage_stored = false;
        drop(all);
        self.changed.notify();
    }

    /// Records the stage of a service's order. It is from an entry with this revision, or
    /// from another box that knows a stage that the store lacks.
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
        // An entry of an earlier order says nothing about this one. What is no share would
        // stay in the credit of the release, beyond the stage.
        if stage.order != known.revision.number() || !stage.has_share() {
            return;
        }
        if !known.is_followed_by(&stage, revision) {
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

    /// Merges the complete state of another box or of the store. Returns whether the local
    /// view equals it afterwards.
    pub fn merge(&self, list: &List, precedence: Option<Precedence>, now: Instant) -> bool {
        for known in self.all() {
            let service = &known.order.service;
            if !list.rows.iter().any(|row| row.service == *service) {
                self.missing(service, list.seen(), precedence);
            }
        }
        for row in &list.rows {
            self.merge_row(row, precedence, now);
        }
        self.observe(list.seen());
        let same = |known: &Rollout| list.rows.contains(&known.row());
        let known = self.known.borrow();
        known.len() == list.rows.len() && known.values().all(same)
    }

    fn merge_row(&self, row: &Row, precedence: Option<Precedence>, now: Instant) {
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
        self.order(order, row.revision(), precedence, now);
        if let Some((stage, number)) = row.stage {
            let revision = Revision::new(Era(row.stage_era), number);
            self.stage(&row.service, stage, revision, now);
        }
    }

    /// Merges the orders that another box knows from stale eras, with their stages. An
    /// order that it does not know is not cancelled.
    pub fn recall(&self, list: &List, now: Instant) {
        for row in &list.rows {
            let known = self.of(&row.service);
            if known.is_none_or(|known| known.revision.era() >= row.revision().era()) {
                self.merge_row(row, None, now);
            }
        }
    }

    /// Returns the complete state, for other boxes.
    pub fn list(&self, now: Instant) -> List {
        let age = self.age(now);
        List {
            rows: self.known.borrow().values().map(Rollout::row).collect(),
            seen: self.seen.get().number(),
            era: self.seen.get().era().0,
            // Rounded up, so that it is never less than the real age.
            age_ms: age.map(|age| age.as_millis() as u64 + 1),
        }
    }

    /// Returns all orders.
    pub fn all(&self) -> Vec<Rollout> {
        self.known.borrow().values().cloned().collect()
    }

    /// Returns the order of a service.
    pub fn of(&self, service: &ids::Service) -> Option<Rollout> {
        self.known.borrow().get(service).cloned()
    }

    /// The release of a service that was found faulty and gets no more requests.
    pub fn withdrawn(&self, service: &ids::Service) -> Option<Release> {
        let all = self.known.borrow();
        let known = all.get(service)?;
        (known.state() == State::RolledBack).then(|| known.order.target.clone())
    }

    fn observe(&self, revision: Revision) {
        self.seen.set(self.seen.get().max(revision));
    }

    /// Records that the local view is confirmed current as of `at`.
    pub fn confirm_at(&self, at: Instant) {
        if self.confirmed_at.get().is_none_or(|earlier| earlier < at) {
            self.confirmed_at.set(Some(at));
        }
    }

    /// Returns the confirmed age of the local view.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.get();
        confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Selects the servers for the next attempt of a request. `again`: the request is a
    /// retry, so that its client is waiting already; a canary release gets no retries.
    /// `servers` returns how many servers of a release take requests.
    pub fn release_selector(
        &self,
        service: &ids::Service,
        retry: bool,
        age_max: Duration,
        servers: impl Fn(&Release) -> usize,
        now: Instant,
    ) -> Selector {
        let all = self.known.borrow();
        let Some(known) = all.get(service) else {
            return Selector::Any;
        };
        let release = known.order.target.clone();
        if known.state() == State::Completed {
            return all_servers(release, known.revision.number());
        }
        let recent = self.age(now).is_some_and(|age| age < age_max);
        let share = if recent { known.share() } else { 0.0 };
        if share >= 1.0 {
            return all_servers(release, known.revision.number());
        }
        if retry || !self.take_credit(service, share) {
            return Selector::Others(release);
        }
        let count = servers(&release).max(1) as f64;
        let part = (share / LOAD_PART).max(SERVERS_MIN / count).min(1.0);
        Selector::Target {
            release,
            part,
            order: known.revision.number(),
        }
    }

    /// Whether one more request goes to the new release. Each box starts with random
    /// credit, so that boxes with few requests add up to the share as well.
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

fn all_servers(release: Release, order: u64) -> Selector {
    Selector::Target {
        release,
        part: 1.0,
        order,
    }
}
