//! Requests to the process from outside while it runs: to stop, and to reload changed
//! settings.
//!
//! The settings file may change with or without a signal, so its modification time and
//! size are checked as well. Each change is reported once. If the file is written twice
//! within one tick of the file system's clock, the second write is noticed only if the
//! size differs; a signal covers that case.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use smol::Timer;

/// Interval between two checks of the settings file. Changes without a signal are rare;
/// one `stat` in two seconds costs nothing.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// What is requested of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// The process is to stop.
    Stop,
    /// The settings file changed, or a signal says so.
    Reload,
}

/// The source of these requests: signals and the settings file.
#[derive(Debug)]
pub struct Requests {
    signals: Signals,
    checks: Timer,
    file: PathBuf,
    seen: Option<FileState>,
}

/// What distinguishes one state of a file from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileState {
    modified: Option<SystemTime>,
    bytes: u64,
    inode: u64,
}

impl FileState {
    /// `None` if the file does not exist, for example while it is being replaced.
    fn of(file: &Path) -> Option<Self> {
        let found = fs::metadata(file).ok()?;
        Some(Self {
            modified: found.modified().ok(),
            bytes: found.len(),
            inode: found.ino(),
        })
    }
}

impl Requests {
    /// Installs handlers for the signals of the process and watches the settings file.
    ///
    /// Has to be called before the file is first read, so that no change is missed in
    /// between.
    ///
    /// # Errors
    ///
    /// The signal handlers cannot be installed.
    pub fn watch(file: &Path) -> io::Result<Self> {
        Ok(Self {
            signals: Signals::new([Signal::Term, Signal::Int, Signal::Hup])?,
            checks: Timer::interval(CHECK_INTERVAL),
            file: file.into(),
            seen: FileState::of(file),
        })
    }

    /// The settings file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Waits for the next request. Cancelling it loses none.
    pub async fn next(&mut self) -> Request {
        loop {
            let signal = next_signal(&mut self.signals);
            let check = async {
                self.checks.next().await;
                None
            };
            let signal = signal.or(check).await;
            match signal {
                Some(Signal::Hup) => {
                    self.seen = FileState::of(&self.file);
                    return Request::Reload;
                }
                Some(_) => return Request::Stop,
                None if self.has_changed() => return Request::Reload,
                None => {}
            }
        }
    }

    /// Whether the file differs from when it was last checked.
    fn has_changed(&mut self) -> bool {
        let Some(state) = FileState::of(&self.file) else {
            return false;
        };
        self.seen.replace(state) != Some(state)
    }
}

/// The next signal; pending for good once no more can come.
async fn next_signal(signals: &mut Signals) -> Option<Signal> {
    match signals.next().await {
        Some(Ok(signal)) => Some(signal),
        Some(Err(error)) => {
            ::log::error!(target: "process", "event=signal_failed why={error:?}");
            None
        }
        None => futures_lite::future::pending().await,
    }
}
