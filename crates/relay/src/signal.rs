//! What comes to the process from outside while it runs: the request to stop,
//! and changed settings.
//!
//! The settings may change with or without a signal, so the file's age and
//! size are checked as well. A change is reported once; one that is missed
//! because the file was written twice within a tick of its clock is found by
//! its size or not at all, and the signal covers that case.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use smol::Timer;

/// Time between two checks of the settings file. Changes without a signal are
/// rare; one `stat` in two seconds costs nothing.
const LOOK: Duration = Duration::from_secs(2);

/// What came from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// The process is to stop.
    Stop,
    /// The settings file has changed, or is said to have.
    Reload,
}

/// The changes that come to this process.
#[derive(Debug)]
pub struct Requests {
    signals: Signals,
    looks: Timer,
    file: PathBuf,
    seen: Option<Mark>,
}

/// What distinguishes one state of a file from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Mark {
    modified: Option<SystemTime>,
    bytes: u64,
    inode: u64,
}

impl Mark {
    /// `None` when the file is not there, as while it is being replaced.
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
    /// Takes over the signals of the process and watches the settings file.
    ///
    /// Wants to be called before the file is read, so that no change is lost
    /// in between.
    ///
    /// # Errors
    ///
    /// The signals cannot be taken over.
    pub fn watch(file: &Path) -> io::Result<Self> {
        Ok(Self {
            signals: Signals::new([Signal::Term, Signal::Int, Signal::Hup])?,
            looks: Timer::interval(LOOK),
            file: file.into(),
            seen: Mark::of(file),
        })
    }

    /// The settings file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Waits for the next change. Cancelling it loses nothing.
    pub async fn next(&mut self) -> Request {
        loop {
            let signal = next_signal(&mut self.signals);
            let look = async {
                self.looks.next().await;
                None
            };
            let signal = signal.or(look).await;
            match signal {
                Some(Signal::Hup) => {
                    self.seen = Mark::of(&self.file);
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
        let Some(mark) = Mark::of(&self.file) else {
            return false;
        };
        self.seen.replace(mark) != Some(mark)
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
