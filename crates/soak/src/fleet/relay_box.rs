//! A box: its process, which may end and be started again, and its proxies.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use std::{fs, io};

use rustix::process::Signal;
use serde_json::Value;

use crate::process::{Level, Process};
use crate::proxy::Proxy;
use crate::sync::lock;

pub(super) struct RelayBox {
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    settings: Mutex<Value>,
    /// Whether the process is stopped by SIGSTOP for less time than by a suspension.
    frozen: AtomicBool,
    /// Number of suspensions in progress.
    suspensions: Mutex<u32>,
    process: Mutex<Option<Process>>,
    /// Whether the process is being ended by the soak or started again.
    restarting: AtomicBool,
    /// Whether the run has ended, so that no further process may be started.
    finished: AtomicBool,
    /// The proxy from the box to the store.
    pub(super) store_proxy: Proxy,
    /// The proxy from clients to the box.
    pub(super) client_proxy: Proxy,
    /// The address that the box connects from.
    pub(super) source: IpAddr,
    /// Whether this process was found to hold more than its settings give it.
    is_over_limits: AtomicBool,
    /// The address of the readiness check.
    pub(super) readiness_address: SocketAddr,
}

impl RelayBox {
    pub(super) fn new(
        [program, file, log]: [PathBuf; 3],
        settings: Value,
        store_proxy: Proxy,
        client_proxy: Proxy,
        source: IpAddr,
        readiness_address: SocketAddr,
    ) -> Self {
        Self {
            program,
            file,
            log,
            settings: Mutex::new(settings),
            frozen: AtomicBool::new(false),
            suspensions: Mutex::default(),
            process: Mutex::default(),
            restarting: AtomicBool::new(false),
            finished: AtomicBool::new(false),
            store_proxy,
            client_proxy,
            source,
            readiness_address,
            is_over_limits: AtomicBool::new(false),
        }
    }

    /// Stops the process.
    pub(super) fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        self.frozen.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Lets the process go on, except while the box is suspended.
    pub(super) fn thaw(&self) -> io::Result<()> {
        self.frozen.store(false, Ordering::Relaxed);
        if self.is_suspended() {
            return Ok(());
        }
        self.signal(Signal::CONT)
    }

    /// Whether the process is stopped by SIGSTOP.
    pub(super) fn is_stopped(&self) -> bool {
        self.is_suspended() || self.frozen.load(Ordering::Relaxed)
    }

    /// Whether the box is suspended.
    pub(super) fn is_suspended(&self) -> bool {
        *lock(&self.suspensions) > 0
    }

    /// Begins a suspension of the box; several may overlap.
    pub(super) fn suspend(&self) -> io::Result<()> {
        let mut suspensions = lock(&self.suspensions);
        *suspensions += 1;
        self.signal(Signal::STOP)
    }

    /// Ends a suspension. The process continues after the last one.
    pub(super) fn resume(&self) -> io::Result<()> {
        let mut suspensions = lock(&self.suspensions);
        *suspensions = suspensions.saturating_sub(1);
        if *suspensions > 0 {
            return Ok(());
        }
        self.signal(Signal::CONT)
    }

    /// Starts the process.
    pub(super) fn start(&self) -> io::Result<()> {
        let mut slot = lock(&self.process);
        if self.finished.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.write_settings()?;
        let process = Process::start(&self.program, &self.file, &self.log)?;
        *slot = Some(process);
        self.frozen.store(false, Ordering::Relaxed);
        self.is_over_limits.store(false, Ordering::Relaxed);
        // Under the lock of the process, so that a signal goes either to this process or to
        // none.
        self.release_restart();
        Ok(())
    }

    /// Ends the process for good.
    pub(super) fn finish(&self) {
        self.finished.store(true, Ordering::Relaxed);
        // Dropping it kills the process and waits for it.
        lock(&self.process).take();
    }

    /// Changes the settings and writes them to the file.
    pub(super) fn change_settings(&self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut lock(&self.settings));
        self.write_settings()
    }

    /// Replaces the settings file atomically.
    fn write_settings(&self) -> io::Result<()> {
        // Held until the file is in place: two tasks may write it at the same time.
        let settings = lock(&self.settings);
        let new_file = self.file.with_extension("new");
        fs::write(&new_file, settings.to_string())?;
        fs::rename(&new_file, &self.file)
    }

    /// Claims the right to end and restart the process; `false` if another task has it.
    pub(super) fn claim_restart(&self) -> bool {
        !self.restarting.swap(true, Ordering::Relaxed)
    }

    /// Sends another signal to the process that is being ended, if it still runs. The
    /// process that replaces it does not get the signal.
    pub(super) fn signal_again(&self, signal: Signal) -> io::Result<()> {
        match &*lock(&self.process) {
            Some(process) if self.restarting.load(Ordering::Relaxed) => process.signal(signal),
            _ => Ok(()),
        }
    }

    pub(super) fn release_restart(&self) {
        self.restarting.store(false, Ordering::Relaxed);
    }

    pub(super) fn signal(&self, signal: Signal) -> io::Result<()> {
        match &*lock(&self.process) {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    /// Whether the process has exited; releases it then.
    pub(super) fn has_exited(&self) -> io::Result<bool> {
        let mut process = lock(&self.process);
        if let Some(running) = process.as_mut() {
            if running.exit_status()?.is_none() {
                return Ok(false);
            }
        }
        *process = None;
        Ok(true)
    }

    /// The exit status if the process ended without a signal from the soak.
    pub(super) fn unexpected_exit(&self) -> io::Result<Option<ExitStatus>> {
        if self.restarting.load(Ordering::Relaxed) {
            return Ok(None);
        }
        match lock(&self.process).as_mut() {
            Some(process) => process.exit_status(),
            None => Ok(None),
        }
    }

    /// Claims the right to record that the process holds more than its settings give it;
    /// `false` if that was recorded.
    pub(super) fn claim_excess(&self) -> bool {
        !self.is_over_limits.swap(true, Ordering::Relaxed)
    }

    pub(super) fn run_queue_wait(&self) -> Option<Duration> {
        lock(&self.process).as_ref()?.run_queue_wait().ok()
    }

    pub(super) fn level(&self) -> Option<Level> {
        lock(&self.process).as_ref()?.level().ok()
    }
}
