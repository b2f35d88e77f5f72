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
use tidepier_core::rollout::{Order, State};
use tidepier_core::server::{Release, Server};
use tidepier_ids as ids;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::notice::Notice;
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
    /// Revision of the operator's entry.
    order: u64,
    /// How far it has come, as of a revision; of an earlier order, if of any.
    stage: Option<(Stage, u64)>,
}

/// All orders as of a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    rows: Vec<Row>,
    /// The revision of the store up to which nothing else was ordered.
    seen: u64,
    /// How long ago all this was provably the newest.
    pub age_ms: Option<u64>,
}

impl List {
    /// Whether there is no order.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// An order that is known here.
#[derive(Debug, Clone)]
pub struct Known {
    /// The order.
    pub order: Order,
    /// Revision of the operator's entry.
    pub revision: u64,
    /// How far it has come.
    pub stage: Option<Stage>,
    /// Revision of the entry that told that; 0: none is known.
    pub stage_revision: u64,
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

    fn row(&self) -> Row {
        Row {
            service: self.order.service.clone(),
            target: self.order.target.to_string(),
            within_ms: u64::try_from(self.order.within.as_millis()).unwrap_or(u64::MAX),
            order: self.revision,
            stage: self.stage.map(|stage| (stage, self.stage_revision)),
        }
    }
}

/// Which servers of a service a request may go to while an order holds for it.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum Aim {
    /// All.
    #[default]
    Any,
    /// Those of the new release that are tried so far.
    Target {
        /// The release.
        release: Release,
        /// The part of its servers that is tried.
        part: f64,
        /// The order: another one tries others first.
        order: u64,
    },
    /// Those of all other releases.
    Others(Release),
}

impl Aim {
    /// Whether it is a new release that is on trial.
    pub fn is_trial(&self) -> bool {
        matches!(self, Aim::Target { part, .. } if *part < 1.0)
    }

    /// The servers of other releases.
    pub fn others(self) -> Self {
        match self {
            Aim::Target { release, .. } => Aim::Others(release),
            other => other,
        }
    }

    /// Whether a server is among them.
    pub fn admits(&self, server: &Server) -> bool {
        match self {
            Aim::Any => true,
            Aim::Others(target) => server.release.as_ref() != Some(target),
            Aim::Target {
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
    back: RefCell<BTreeMap<ids::Service, u64>>,
    seen: Cell<u64>,
    /// When what is known was provably the newest.
    proven: Cell<Option<Instant>>,
    /// What is left over of the share of each service.
    credit: RefCell<BTreeMap<ids::Service, f64>>,
    /// What answers showed.
    pub evidence: Evidence,
    /// Notified when something else is known.
    pub changed: Notice,
}

impl Rollouts {
    /// Records an order of a revision.
    pub fn order(&self, order: Order, revision: u64, now: Instant) {
        self.see(revision);
        let back = self.back.borrow().get(&order.service).copied();
        if back.is_some_and(|back| back >= revision) {
            return;
        }
        let mut known = self.known.borrow_mut();
        let before = known.get(&order.service);
        if before.is_some_and(|before| before.revision >= revision) {
            return;
        }
        let stage_revision = before.map_or(0, |before| before.stage_revision);
        log::info!(
            target: "belief",
            "event=rollout service={} target={} within_ms={} order={revision}",
            order.service,
            order.target,
            order.within.as_millis(),
        );
        let fresh = Known {
            revision,
            stage: None,
            stage_revision,
            since: now,
            order,
        };
        known.insert(fresh.order.service.clone(), fresh);
        drop(known);
        self.changed.notify();
    }

    /// Records that a service's order was taken back.
    pub fn take_back(&self, service: &ids::Service, revision: u64) {
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

    /// Records how far a service's order has come, as an entry of a revision tells.
    pub fn stage(&self, service: &ids::Service, stage: Stage, revision: u64, now: Instant) {
        let mut all = self.known.borrow_mut();
        let Some(known) = all.get_mut(service) else {
            return;
        };
        if revision <= known.stage_revision {
            return;
        }
        known.stage_revision = revision;
        // An entry of an earlier order says nothing of this one.
        if stage.order != known.revision || known.state() != State::InProgress {
            return;
        }
        known.stage = Some(stage);
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
    pub fn merge(&self, list: &List, now: Instant) -> bool {
        for known in self.all() {
            let service = &known.order.service;
            if !list.rows.iter().any(|row| row.service == *service) {
                self.take_back(service, list.seen);
            }
        }
        for row in &list.rows {
            self.merge_row(row, now);
        }
        self.see(list.seen);
        let same = |known: &Known| list.rows.contains(&known.row());
        let known = self.known.borrow();
        known.len() == list.rows.len() && known.values().all(same)
    }

    fn merge_row(&self, row: &Row, now: Instant) {
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
        self.order(order, row.order, now);
        if let Some((stage, revision)) = row.stage {
            self.stage(&row.service, stage, revision, now);
        }
    }

    /// The whole state, for other boxes.
    pub fn list(&self, now: Instant) -> List {
        let age = self.age(now);
        List {
            rows: self.known.borrow().values().map(Known::row).collect(),
            seen: self.seen.get(),
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

    fn see(&self, revision: u64) {
        self.seen.set(self.seen.get().max(revision));
    }

    /// Records that what is known was the newest at `asked`.
    pub fn prove(&self, asked: Instant) {
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
    pub fn aim(
        &self,
        service: &ids::Service,
        again: bool,
        trust: Duration,
        servers: impl Fn(&Release) -> usize,
        now: Instant,
    ) -> Aim {
        let all = self.known.borrow();
        let Some(known) = all.get(service) else {
            return Aim::Any;
        };
        let release = known.order.target.clone();
        if known.state() == State::Completed {
            return whole(release, known.revision);
        }
        let recent = self.age(now).is_some_and(|age| age < trust);
        let share = if recent { known.share() } else { 0.0 };
        if share >= 1.0 {
            return whole(release, known.revision);
        }
        if again || !self.take_credit(service, share) {
            return Aim::Others(release);
        }
        let count = servers(&release).max(1) as f64;
        let part = (share / LOAD_PART).max(TRIED_MIN / count).min(1.0);
        Aim::Target {
            release,
            part,
            order: known.revision,
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

fn whole(release: Release, order: u64) -> Aim {
    Aim::Target {
        release,
        part: 1.0,
        order,
    }
}
