//! The store of a fleet goes back to an older copy of itself, and what the operator and
//! the servers wrote since is written again.

use std::collections::{BTreeSet, VecDeque};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::{Task, Timer};
use tidepier_core::server::State;
use tidepier_relay_standin::names;
use tidepier_relay_standin::store::Copy;

use super::servers::Backend;
use super::Fleet;
use crate::fault::Return;
use crate::sync::lock;

/// Time between two copies of the store.
const COPY_TIME: Duration = Duration::from_millis(200);
/// Copies that are kept: beyond the oldest that is gone back to.
const COPIES: usize = 50;
/// Pause of the operator and the servers between two tries to write.
const TRY: Duration = Duration::from_millis(20);

/// Copies of the store, the oldest first.
pub(super) type Copies = VecDeque<(Instant, Copy)>;

impl Fleet {
    /// Keeps copies of the store until it is dropped.
    pub async fn keep_copies(self: Arc<Self>) {
        loop {
            if !self.away.load(Ordering::SeqCst) {
                let mut copies = lock(&self.copies);
                copies.push_back((Instant::now(), self.site.store.copy()));
                if copies.len() > COPIES {
                    copies.pop_front();
                }
            }
            Timer::after(COPY_TIME).await;
        }
    }

    /// Waits while the store takes nothing of the operator and the servers either.
    pub(super) async fn writable(&self) {
        while self.away.load(Ordering::SeqCst) {
            Timer::after(TRY).await;
        }
    }

    /// Has the store be away for a while and come back from a copy; returns when all is
    /// written again.
    pub(super) async fn go_back(self: &Arc<Self>, how: Return, away: Duration) {
        let now = Instant::now();
        let store = &self.site.store;
        // One that is away already goes back in its turn.
        self.writable().await;
        let away = match how.away {
            Some(_) => away,
            None => Duration::ZERO,
        };
        if let Some(down) = how.away {
            self.away.store(true, Ordering::SeqCst);
            store.faults(|faults| faults.down = Some(down));
            store.cut_watches();
            Timer::after(away).await;
        }
        if let Some(copy) = self.copy_before(now, how.behind) {
            store.go_back(&copy);
        }
        if how.away.is_some() {
            store.faults(|faults| faults.down = None);
            self.away.store(false, Ordering::SeqCst);
        }
        let mut writes: Vec<Task<()>> = Vec::new();
        for (number, backend) in self.backends().into_iter().enumerate() {
            // Spread over the time, the same in each run of a seed.
            let pause = how.servers.mul_f64((number as f64 * 0.618).fract());
            writes.push(smol::spawn(self.clone().write_again(backend, pause)));
        }
        Timer::after(how.operator).await;
        self.writable().await;
        self.write_operator();
        for write in writes {
            write.await;
        }
    }

    /// The copy that is about so old.
    fn copy_before(&self, now: Instant, behind: Duration) -> Option<Copy> {
        let copies = lock(&self.copies);
        let old = |at: &Instant| now.saturating_duration_since(*at) >= behind;
        let older = copies.iter().rev().find(|(at, _)| old(at));
        older.or(copies.front()).map(|(_, copy)| copy.clone())
    }

    /// The operator writes again what holds of its words.
    fn write_operator(&self) {
        self.site.write_again();
        let asked = lock(&self.emptied).clone();
        let prefix = names::EMPTIED;
        let stored = self.site.store.keys(prefix).into_iter();
        let stored: BTreeSet<String> = stored
            .filter_map(|key| key.strip_prefix(prefix).map(str::to_owned))
            .collect();
        for hall in asked.difference(&stored) {
            self.site.empty_hall(hall);
        }
        for hall in stored.difference(&asked) {
            self.site.take_back(hall);
        }
    }

    /// A server writes again, or its entry goes if it has left.
    async fn write_again(self: Arc<Self>, backend: Arc<Backend>, pause: Duration) {
        Timer::after(pause).await;
        self.writable().await;
        let id = &backend.server.settings().id;
        if lock(&self.withdrawn).contains(id) {
            self.site.withdraw(&backend.server);
        } else if !backend.server.is_crashed() {
            let state = match self.ledger.is_announced_leaving(id) {
                true => State::Draining,
                false => State::Ready,
            };
            self.announce(&backend, state);
        }
    }
}
