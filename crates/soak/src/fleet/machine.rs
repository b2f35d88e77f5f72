//! A box: its process, which may end and be started again, and its ways.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use std::{fs, io};

use rustix::process::Signal;
use serde_json::Value;

use crate::process::{Level, Process};
use crate::sync::lock;
use crate::way::Way;

pub(super) struct Machine {
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    settings: Mutex<Value>,
    /// How often it is suspended at once.
    suspended: Mutex<u32>,
    process: Mutex<Option<Process>>,
    /// Its process is to end, or is being started again.
    busy: AtomicBool,
    /// The run is over: no further process.
    over: AtomicBool,
    /// From the box to the store.
    pub(super) store: Way,
    /// From clients to the box.
    pub(super) front: Way,
    /// Where it tells whether it is ready.
    pub(super) ready: SocketAddr,
}

impl Machine {
    pub(super) fn new(
        [program, file, log]: [PathBuf; 3],
        settings: Value,
        store: Way,
        front: Way,
        ready: SocketAddr,
    ) -> Self {
        Self {
            program,
            file,
            log,
            settings: Mutex::new(settings),
            suspended: Mutex::default(),
            process: Mutex::default(),
            busy: AtomicBool::new(false),
            over: AtomicBool::new(false),
            store,
            front,
            ready,
        }
    }

    /// Whether the machine is suspended.
    pub(super) fn is_suspended(&self) -> bool {
        *lock(&self.suspended) > 0
    }

    /// Suspends the machine; once more where it is.
    pub(super) fn suspend(&self) -> io::Result<()> {
        let mut suspended = lock(&self.suspended);
        *suspended += 1;
        self.signal(Signal::STOP)
    }

    /// Ends a suspension, and lets the machine go on after the last one.
    pub(super) fn resume(&self) -> io::Result<()> {
        let mut suspended = lock(&self.suspended);
        *suspended = suspended.saturating_sub(1);
        if *suspended > 0 {
            return Ok(());
        }
        self.signal(Signal::CONT)
    }

    /// Starts its process.
    pub(super) fn start(&self) -> io::Result<()> {
        let mut slot = lock(&self.process);
        if self.over.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.write()?;
        let process = Process::start(&self.program, &self.file, &self.log)?;
        *slot = Some(process);
        // In the same breath: a signal is for this process now, or for none.
        self.release();
        Ok(())
    }

    /// Ends its process for good.
    pub(super) fn finish(&self) {
        self.over.store(true, Ordering::Relaxed);
        // Dropped, it is killed and waited for.
        lock(&self.process).take();
    }

    /// Writes its settings, with a change.
    pub(super) fn change(&self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut lock(&self.settings));
        self.write()
    }

    /// Replaces the settings file as a whole.
    fn write(&self) -> io::Result<()> {
        let fresh = self.file.with_extension("new");
        fs::write(&fresh, lock(&self.settings).to_string())?;
        fs::rename(&fresh, &self.file)
    }

    /// Claims the right to end the process; `false` while another has it.
    pub(super) fn claim(&self) -> bool {
        !self.busy.swap(true, Ordering::Relaxed)
    }

    /// Sends another signal to the process that is to end, if it still runs: the one
    /// that is started in its place gets none.
    pub(super) fn signal_again(&self, signal: Signal) -> io::Result<()> {
        match &*lock(&self.process) {
            Some(process) if self.busy.load(Ordering::Relaxed) => process.signal(signal),
            _ => Ok(()),
        }
    }

    pub(super) fn release(&self) {
        self.busy.store(false, Ordering::Relaxed);
    }

    pub(super) fn signal(&self, signal: Signal) -> io::Result<()> {
        match &*lock(&self.process) {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    /// Whether the process is gone; forgets it then.
    pub(super) fn is_gone(&self) -> io::Result<bool> {
        let mut process = lock(&self.process);
        if let Some(running) = process.as_mut() {
            if running.ended()?.is_none() {
                return Ok(false);
            }
        }
        *process = None;
        Ok(true)
    }

    /// How the process ended, if nobody told it to.
    pub(super) fn died(&self) -> io::Result<Option<ExitStatus>> {
        if self.busy.load(Ordering::Relaxed) {
            return Ok(None);
        }
        match lock(&self.process).as_mut() {
            Some(process) => process.ended(),
            None => Ok(None),
        }
    }

    pub(super) fn waited(&self) -> Option<Duration> {
        lock(&self.process).as_ref()?.waited().ok()
    }

    pub(super) fn level(&self) -> Option<Level> {
        lock(&self.process).as_ref()?.level().ok()
    }
}
