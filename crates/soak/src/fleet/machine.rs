//! A box: its process, which may end and be started again, and its ways.

use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{fs, io};

use rustix::process::Signal;
use serde_json::Value;

use crate::lock;
use crate::process::{Level, Process, Steady};
use crate::way::Way;

pub(super) struct Machine {
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    settings: Mutex<Value>,
    /// What makes its steady clock stand still, where machines are suspended.
    steady: Option<Steady>,
    /// How often it is suspended at once, and since when.
    suspended: Mutex<Option<(u32, Instant)>>,
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
            steady: None,
            suspended: Mutex::default(),
            process: Mutex::default(),
            busy: AtomicBool::new(false),
            over: AtomicBool::new(false),
            store,
            front,
            ready,
        }
    }

    /// The same on a machine that may be suspended: `library` is preloaded into the
    /// process, and `file` tells it for how long the machine stood still.
    pub(super) fn suspendable(mut self, library: &Path, file: PathBuf) -> io::Result<Self> {
        fs::write(&file, 0i64.to_ne_bytes())?;
        self.steady = Some(Steady {
            library: library.into(),
            file,
        });
        Ok(self)
    }

    /// Whether the machine is suspended.
    pub(super) fn is_suspended(&self) -> bool {
        lock(&self.suspended).is_some()
    }

    /// Suspends the machine; once more where it is.
    pub(super) fn suspend(&self) -> io::Result<()> {
        let mut suspended = lock(&self.suspended);
        let (times, since) = suspended.unwrap_or((0, Instant::now()));
        *suspended = Some((times + 1, since));
        self.signal(Signal::STOP)
    }

    /// Ends a suspension, and lets the machine go on after the last one.
    pub(super) fn resume(&self) -> io::Result<()> {
        let mut suspended = lock(&self.suspended);
        let Some((times, since)) = *suspended else {
            return Ok(());
        };
        *suspended = (times > 1).then_some((times - 1, since));
        if suspended.is_some() {
            return Ok(());
        }
        self.stood_still(since.elapsed())?;
        self.signal(Signal::CONT)
    }

    /// Records that the machine stood still for so long.
    fn stood_still(&self, time: Duration) -> io::Result<()> {
        let Some(Steady { file, .. }) = &self.steady else {
            return Ok(());
        };
        let before = fs::read(file)?.try_into().map(i64::from_ne_bytes);
        let before = before.map_err(|_| io::Error::other("no count of nanoseconds"))?;
        let now = before + i64::try_from(time.as_nanos()).unwrap_or(i64::MAX);
        // In place: the process has the file mapped.
        let file = File::options().write(true).open(file)?;
        file.write_all_at(&now.to_ne_bytes(), 0)
    }

    /// Starts its process.
    pub(super) fn start(&self) -> io::Result<()> {
        let mut slot = lock(&self.process);
        if self.over.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.write()?;
        let steady = self.steady.as_ref();
        let process = Process::start(&self.program, &self.file, &self.log, steady)?;
        *slot = Some(process);
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
