//! Rollouts of new releases at the servers of streams, and what puts boxes out of step
//! meanwhile.

use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use smol::{Task, Timer};
use tidepier_core::server::State;

use super::servers::Backend;
use super::steps::StopClock;
use super::Fleet;
use crate::fault::Rollout;
use crate::ledger::Fact;
use crate::plan::STREAM;
use crate::proxy::{Impairment, Proxy};
use crate::sync::lock;

/// The releases of the servers of streams.
#[derive(Debug)]
pub(super) enum Releases {
    /// They name none.
    Unnamed,
    /// Each further server runs the other one of two.
    Alternating,
    /// Each further server runs the newest one, which has this number.
    Newest(AtomicU32),
}

impl Fleet {
    /// The release of the next server of a service.
    pub(super) fn next_release(&self, service: &str) -> Option<String> {
        if service != STREAM {
            return None;
        }
        let number = match &self.releases {
            Releases::Unnamed => return None,
            Releases::Alternating => 1 + self.stream_servers().len() as u32 % 2,
            Releases::Newest(number) => number.load(Ordering::Relaxed),
        };
        Some(format!("v{number}"))
    }

    /// All servers of streams that were ever started.
    fn stream_servers(&self) -> Vec<Arc<Backend>> {
        let mut backends = self.backends();
        backends.retain(|it| it.server.settings().service == STREAM);
        backends
    }

    /// Carries out a step of a rollout. Servers that are replaced leave for as long as it
    /// lasts.
    pub(super) async fn roll_out(&self, rollout: Rollout, lasts: Duration) -> io::Result<()> {
        match rollout {
            Rollout::Join(count) => {
                if let Releases::Newest(number) = &self.releases {
                    number.fetch_add(1, Ordering::Relaxed);
                }
                (0..count).try_for_each(|_| self.add_server(STREAM))
            }
            Rollout::Rest => self.replace_older(lasts).await,
        }
    }

    async fn replace_older(&self, lasts: Duration) -> io::Result<()> {
        let newest = self.next_release(STREAM);
        let mut older = self.stream_servers();
        older.retain(|it| {
            let settings = it.server.settings();
            let is_older = settings.release != newest;
            is_older && !it.server.is_crashed() && !self.ledger.is_leaving(&settings.id)
        });
        for backend in &older {
            self.add_server(STREAM)?;
            self.announce(backend, State::Draining);
            let id = backend.server.settings().id.clone();
            self.ledger.record_fact(Fact::Leaving(id));
        }
        Timer::after(lasts).await;
        for backend in &older {
            self.withdraw(&backend.server);
            backend.server.crash();
        }
        Ok(())
    }

    /// Kills all boxes at once, and starts them again after a pause, within `spread` of each
    /// other.
    pub(super) async fn kill_all(
        self: &Arc<Self>,
        pause: Duration,
        spread: Duration,
    ) -> eyre::Result<()> {
        let restarts = (0..self.box_count()).map(|box_index| {
            // Spread in the same way in each run of a seed.
            let share = (box_index as f64 * 0.618).fract();
            let pause = pause + spread.mul_f64(share);
            let fleet = self.clone();
            smol::spawn(async move {
                fleet
                    .restart(box_index, Signal::KILL, pause, StopClock::Real)
                    .await
            })
        });
        let restarts: Vec<Task<eyre::Result<()>>> = restarts.collect();
        for restart in restarts {
            restart.await?;
        }
        Ok(())
    }

    /// Blocks the links between a box and all other boxes.
    pub(super) async fn cut_off(&self, box_index: usize, lasts: Duration) {
        let others = (0..self.box_count()).filter(|it| *it != box_index);
        let links = others.flat_map(|other| {
            let there = &self.peer_proxies[box_index][other];
            [there, &self.peer_proxies[other][box_index]]
        });
        let links: Vec<&Proxy> = links.collect();
        links.iter().for_each(|it| it.impair(Impairment::Silence));
        Timer::after(lasts).await;
        links.iter().for_each(|it| it.clear(Impairment::Silence));
    }

    /// Resets the connections of the clients of all boxes but one, at which most streams are
    /// taken up from then on.
    pub(super) async fn break_clients(&self, kept: usize, lasts: Duration) {
        *lock(&self.take_up_box) = Some(kept);
        let others = self.boxes.iter().enumerate();
        let others = others.filter(|(box_index, _)| *box_index != kept);
        let links: Vec<&Proxy> = others.map(|(_, it)| &it.client_proxy).collect();
        links.iter().for_each(|it| it.impair(Impairment::Reset));
        Timer::after(lasts).await;
        links.iter().for_each(|it| it.clear(Impairment::Reset));
    }

    /// The box at which most streams are taken up.
    pub fn take_up_box(&self) -> Option<usize> {
        *lock(&self.take_up_box)
    }
}
