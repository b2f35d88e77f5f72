//! Restores the store from an older backup, after which the operator and the servers write
//! their entries again.

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

/// Interval between two backups of the store.
const BACKUP_INTERVAL: Duration = Duration::from_millis(200);
/// Number of backups that are kept: they reach further back than any restore.
const BACKUPS_MAX: usize = 50;
/// Interval at which the operator and the servers check whether the store accepts writes.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Backups of the store, the oldest first.
pub(super) type Backups = VecDeque<(Instant, Copy)>;

impl Fleet {
    /// Makes backups of the store until the task is dropped.
    pub async fn keep_backups(self: Arc<Self>) {
        loop {
            if !self.store_unreachable.load(Ordering::SeqCst) {
                let mut backups = lock(&self.backups);
                backups.push_back((Instant::now(), self.site.store.copy()));
                if backups.len() > BACKUPS_MAX {
                    backups.pop_front();
                }
            }
            Timer::after(BACKUP_INTERVAL).await;
        }
    }

    /// Waits until no outage before a restore is in progress: then the store accepts writes
    /// of the operator and the servers.
    pub(super) async fn wait_until_writable(&self) {
        while self.store_unreachable.load(Ordering::SeqCst) {
            Timer::after(WRITE_RETRY_INTERVAL).await;
        }
    }

    /// Restores the store from a backup, after an outage if `how` has one. Returns when all
    /// entries are written again.
    pub(super) async fn restore_store(self: &Arc<Self>, how: Return, outage: Duration) {
        let now = Instant::now();
        let store = &self.site.store;
        // If an outage before another restore is in progress, this restore comes after it.
        self.wait_until_writable().await;
        let outage = match how.away {
            Some(_) => outage,
            None => Duration::ZERO,
        };
        if let Some(down) = how.away {
            self.store_unreachable.store(true, Ordering::SeqCst);
            store.faults(|faults| faults.down = Some(down));
            store.cut_watches();
            Timer::after(outage).await;
        }
        if let Some(copy) = self.backup_before(now, how.behind) {
            store.go_back(&copy);
        }
        if how.away.is_some() {
            store.faults(|faults| faults.down = None);
            self.store_unreachable.store(false, Ordering::SeqCst);
        }
        let mut writes: Vec<Task<()>> = Vec::new();
        for (number, backend) in self.backends().into_iter().enumerate() {
            // Spread over the time in the same way in each run of a seed.
            let pause = how.servers.mul_f64((number as f64 * 0.618).fract());
            writes.push(smol::spawn(
                self.clone().rewrite_server_entry(backend, pause),
            ));
        }
        Timer::after(how.operator).await;
        self.wait_until_writable().await;
        self.rewrite_operator_entries();
        for write in writes {
            write.await;
        }
    }

    /// The youngest backup that was at least this old, or else the oldest one.
    fn backup_before(&self, now: Instant, behind: Duration) -> Option<Copy> {
        let backups = lock(&self.backups);
        let old = |at: &Instant| now.saturating_duration_since(*at) >= behind;
        let older = backups.iter().rev().find(|(at, _)| old(at));
        older.or(backups.front()).map(|(_, copy)| copy.clone())
    }

    /// The operator writes its valid entries again, and cancels emptyings that only the
    /// backup contains.
    fn rewrite_operator_entries(&self) {
        self.site.rewrite_config();
        let requested = lock(&self.emptied).clone();
        let prefix = names::EMPTIED;
        let stored = self.site.store.keys(prefix).into_iter();
        let stored: BTreeSet<String> = stored
            .filter_map(|key| key.strip_prefix(prefix).map(str::to_owned))
            .collect();
        for hall in requested.difference(&stored) {
            self.site.empty_hall(hall);
        }
        for hall in stored.difference(&requested) {
            self.site.take_back(hall);
        }
    }

    /// A server writes its entry again, or the entry is removed if the server has left.
    async fn rewrite_server_entry(self: Arc<Self>, backend: Arc<Backend>, pause: Duration) {
        Timer::after(pause).await;
        self.wait_until_writable().await;
        let id = &backend.server.settings().id;
        if lock(&self.withdrawn_servers).contains(id) {
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
