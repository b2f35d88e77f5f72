//! Several servers that stand still, or are harmed in other ways, together. The processes in
//! front of servers that stand still are stopped by signals.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use smol::Timer;
use tidepier_relay_standin::server::Fault;

use super::servers::Backend;
use super::Fleet;
use crate::fault::{Harm, Services, Silence, Symptom};
use crate::plan::{PLAIN, STREAM};
use crate::sync::lock;

/// Factor by which the requests of slow servers take longer.
const SLOWDOWN_FACTOR: f64 = 10.0;

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
    /// Harms a share of the servers of some services for this long.
    pub(super) async fn harm_servers(&self, harm: Harm, lasts: Duration) -> io::Result<()> {
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
        for backend in &harmed {
            match harm.symptom {
                Symptom::Hang => backend.server.fault(Fault::Hang, u32::MAX),
                Symptom::Standstill => backend.stop()?,
                Symptom::Crash => backend.server.crash(),
                Symptom::Failure => backend.server.fault(Fault::Failure, u32::MAX),
                Symptom::Reset => backend.server.fault(Fault::Reset, u32::MAX),
                Symptom::Slow => backend.server.slow(SLOWDOWN_FACTOR),
            }
        }
        Timer::after(lasts).await;
        for backend in &harmed {
            match harm.symptom {
                Symptom::Standstill => backend.resume()?,
                Symptom::Crash => {
                    self.withdraw(&backend.server);
                    self.add_server(&backend.server.settings().service)?;
                }
                Symptom::Hang | Symptom::Failure | Symptom::Reset | Symptom::Slow => {
                    backend.server.heal();
                }
            }
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
