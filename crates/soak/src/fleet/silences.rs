//! Several servers that stand still, or are harmed in other ways, together. The processes in
//! front of servers that stand still are stopped by signals.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use smol::{Task, Timer};

use super::servers::Backend;
use super::Fleet;
use crate::fault::{Harm, Services, Silence};
use crate::plan::{PLAIN, STREAM};
use crate::sync::lock;

impl Backend {
    /// Stops the process in front of the server; several stops may overlap.
    pub(super) fn stop(&self) -> io::Result<()> {
        let mut stops = lock(&self.stops);
        *stops += 1;
        self.signal_gate(Signal::STOP)
    }

    /// Ends a stop. The process continues after the last one.
    pub(super) fn resume(&self) -> io::Result<()> {
        let mut stops = lock(&self.stops);
        *stops = stops.saturating_sub(1);
        if *stops > 0 {
            return Ok(());
        }
        self.signal_gate(Signal::CONT)
    }

    fn signal_gate(&self, signal: Signal) -> io::Result<()> {
        let gate = self.gate.as_ref();
        let gate = gate.ok_or_else(|| io::Error::other("no process in front"))?;
        gate.signal(signal)
    }
}

impl Fleet {
    /// Has a share of the servers of some services stand still for this long.
    pub(super) async fn silence_servers(
        &self,
        silence: Silence,
        lasts: Duration,
    ) -> io::Result<()> {
        let mut backends = self.backends();
        backends.retain(|it| is_meant(silence.services, it) && !it.server.is_crashed());
        let count = (backends.len() * silence.percent).div_ceil(100);
        // The newest ones, as older ones may have left.
        let silent: Vec<Arc<Backend>> = backends.into_iter().rev().take(count).collect();
        silent.iter().try_for_each(|it| it.stop())?;
        Timer::after(lasts).await;
        silent.iter().try_for_each(|it| it.resume())
    }
}

impl Fleet {
    /// Gives a share of the servers of some services a fault for this long.
    pub(super) async fn harm_servers(
        self: &Arc<Self>,
        harm: Harm,
        lasts: Duration,
    ) -> io::Result<()> {
        let mut harmed = Vec::new();
        for service in [PLAIN, STREAM] {
            let mut backends = self.backends();
            backends.retain(|it| {
                let of_service = it.server.settings().service == service;
                of_service && is_meant(harm.services, it) && !it.server.is_crashed()
            });
            let count = backends.len() * harm.percent / 100;
            harmed.extend(backends.into_iter().rev().take(count));
        }
        let fault = |backend: Arc<Backend>| {
            let fleet = self.clone();
            smol::spawn(async move { fleet.fault_backend(&backend, harm.fault, lasts).await })
        };
        let faults: Vec<Task<io::Result<()>>> = harmed.into_iter().map(fault).collect();
        for fault in faults {
            fault.await?;
        }
        Ok(())
    }
}

fn is_meant(services: Services, backend: &Backend) -> bool {
    let is_stream = backend.server.settings().service == STREAM;
    match services {
        Services::Streams => is_stream,
        Services::Others => !is_stream,
        Services::All => true,
    }
}
