//! Servers of plain services that stand still: what this box observes of them, and what it
//! knows of other boxes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tidepier_admission::stall;
use tidepier_clock::Instant;

use super::lives::{Lives, HEARD_AGE_MAX};
use super::{Backend, Fleet, Key};
use crate::health;
use crate::notifier::Notifier;

/// What this box has to report at once, and when it has last heard of others.
#[derive(Default)]
pub struct Stalls {
    /// When servers last answered.
    pub lives: Lives,
    /// When this box last heard which servers stand still.
    heard: Cell<Option<Instant>>,
    /// Whether any did.
    is_any_told: Cell<bool>,
    /// Servers that have answered though they were thought to stand still, were not verified
    /// or were ejected, and when.
    returned: RefCell<BTreeMap<Key, Instant>>,
    /// Wakes the watch when there are any.
    pub answered: Notifier,
    /// Wakes the task that watches waits, if it has none to watch.
    pub sent: Notifier,
}

impl Stalls {
    /// When this box last heard which servers stand still, by what other boxes report.
    pub fn last_heard(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// Whether this box has heard recently which servers stand still.
    pub(super) fn has_heard(&self, now: Instant) -> bool {
        let heard = self.heard.get();
        heard.is_some_and(|at| now.saturating_duration_since(at) < HEARD_AGE_MAX)
    }

    /// Records that a server has answered of which the others should know at once.
    pub(super) fn record_return(&self, server: Key, now: Instant) {
        self.returned.borrow_mut().insert(server, now);
        self.answered.notify();
    }

    /// Records that this box knows which servers stand still, by what other boxes report.
    pub fn hear(&self, now: Instant) {
        self.heard.set(Some(now));
    }
}

/// What a box knows of a server beside its own requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Stall {
    /// Since when the server has not answered, as other boxes report, and when this one last
    /// heard that.
    told: Option<(Instant, Instant)>,
}

impl Stall {
    /// Whether other boxes report that the server stands still, and it has not answered this
    /// box since.
    pub(super) fn holds(&self, answered: Option<Instant>, now: Instant) -> bool {
        self.told.is_some_and(|(since, told)| {
            let is_recent = now.saturating_duration_since(told) < HEARD_AGE_MAX;
            is_recent && answered.is_none_or(|at| at <= since)
        })
    }

    /// Whether other boxes report it, true or not.
    pub(super) fn is_told(&self, now: Instant) -> bool {
        self.holds(None, now)
    }
}

impl Fleet {
    /// Waits of this box's requests that are longer than requests take at their servers.
    pub fn waits(&self, now: Instant) -> Vec<stall::Wait<Key>> {
        let servers = self.servers.borrow();
        let waits = servers.values().filter_map(|it| it.long_wait(now));
        let mut waits: Vec<_> = waits.collect();
        waits.sort_by_key(|wait| (std::cmp::Reverse(wait.time), wait.server));
        waits.truncate(stall::SERVERS_MAX);
        waits
    }

    /// Marks the waits that have become long as reported. Returns whether there are any.
    pub fn mark_long_waits(&self, now: Instant) -> bool {
        let servers = self.servers.borrow();
        let unreported = servers.values().filter(|it| it.mark_long_wait(now));
        unreported.count() > 0
    }

    /// When the next wait becomes long, if no answer comes before; `None` if none waits.
    pub fn next_long_wait(&self) -> Option<Instant> {
        let servers = self.servers.borrow();
        servers.values().filter_map(|it| it.long_wait_due()).min()
    }

    /// Leaves a time in which this box could not run out of the current waits.
    pub fn leave_out_of_waits(&self, time: Duration, now: Instant) {
        let servers = self.servers.borrow();
        servers
            .values()
            .for_each(|it| it.silence.leave_out(time, now));
    }

    /// Takes the answers of which the others should know at once.
    pub fn take_lives(&self, now: Instant) -> Vec<stall::Life<Key>> {
        let lives = self.stalls.returned.take().into_iter();
        let lives = lives.map(|(server, at)| stall::Life {
            server,
            age: now.saturating_duration_since(at),
        });
        lives.collect()
    }

    /// Records servers that have answered other boxes though they were avoided.
    pub fn record_returns(&self, lives: &[stall::Life<Key>], now: Instant) {
        let lives = &lives[..lives.len().min(stall::SERVERS_MAX)];
        let keys: Vec<Key> = lives.iter().map(|life| life.server).collect();
        for backend in self.with_keys(&keys) {
            let life = lives.iter().find(|life| life.server == backend.key);
            if let Some(at) = life.and_then(|life| now.checked_sub(life.age)) {
                backend.health.record_answering_elsewhere(at, now);
            }
        }
    }

    /// The servers with these keys.
    pub fn with_keys(&self, keys: &[Key]) -> Vec<Rc<Backend>> {
        if keys.is_empty() {
            return Vec::new();
        }
        let servers = self.servers.borrow();
        let chosen = servers.values().filter(|it| keys.contains(&it.key));
        chosen.cloned().collect()
    }

    /// Records which servers stand still, by what boxes report, and logs what is new.
    pub fn set_stalls(&self, stalls: &[stall::Stall<Key>], now: Instant) {
        // Most of the time there are none, and no server has to be looked at.
        if stalls.is_empty() && !self.stalls.is_any_told.get() {
            return;
        }
        self.stalls.is_any_told.set(!stalls.is_empty());
        let mut ended = Vec::new();
        for backend in self.servers.borrow().values() {
            let stall = stalls.iter().find(|it| it.server == backend.key);
            let since = stall.map(|it| now.checked_sub(it.time).unwrap_or(now));
            let told = since.map(|since| (since, now));
            let before = backend.stall.replace(Stall { told });
            match (before.told, stall) {
                (None, Some(stall)) => log_stall(backend, stall, now),
                (Some(_), None) => ended.push(backend.clone()),
                _ => {}
            }
            // The other boxes do not know of answers that they were not told of.
            let answered = backend.silence.last_answered();
            if let Some(at) = answered.filter(|at| since.is_some_and(|since| *at > since)) {
                self.stalls.record_return(backend.key, at);
            }
        }
        for backend in &ended {
            log::info!(
                target: "belief",
                "event=server_moves server={} service={}",
                backend.server.id,
                backend.server.service,
            );
            self.raise_latency(backend);
        }
        metrics::gauge!("tidepier_servers_stalled").set(stalls.len() as f64);
    }

    /// Forgets that a server was faster than the others before it stood still.
    fn raise_latency(&self, backend: &Rc<Backend>) {
        let serving = self.serving(&backend.server.service);
        let others = serving.iter().filter(|it| it.key != backend.key);
        let latencies = others.filter_map(|it| it.health.mean_latency_ms());
        if let Some(usual_ms) = health::median_ms(latencies) {
            backend.health.raise_latency(usual_ms);
        }
    }
}

fn log_stall(backend: &Backend, stall: &stall::Stall<Key>, now: Instant) {
    log::info!(
        target: "belief",
        "event=server_stalled server={} service={} ms={} waited_ms={}",
        backend.server.id,
        backend.server.service,
        stall.time.as_millis(),
        backend.silence.wait(now).map_or(0, |it| it.time.as_millis()),
    );
    metrics::counter!("tidepier_stalls_total").increment(1);
}
