//! A relay as a process of its own, and what the kernel says of it.
//!
//! Only processes that were started here are signalled, by their ids, and each
//! is ended when its owner drops it.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// A running relay.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: Pid,
    /// When it was started.
    pub born: Instant,
}

/// What a process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Level {
    /// Resident memory, in kB.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
}

impl Process {
    /// Starts a relay on a settings file; its log is appended to `log`.
    ///
    /// # Errors
    ///
    /// The program or the log cannot be opened.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(["--log", "info", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        let pid = Pid::from_child(&child);
        Ok(Self {
            child,
            pid,
            born: Instant::now(),
        })
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// It has ended and was waited for.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid, signal)?)
    }

    /// Whether it has ended, and how.
    ///
    /// # Errors
    ///
    /// It cannot be waited for.
    pub fn ended(&mut self) -> io::Result<Option<std::process::ExitStatus>> {
        self.child.try_wait()
    }

    /// What it holds now.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn level(&self) -> io::Result<Level> {
        let folder = self.folder();
        let status = fs::read_to_string(format!("{folder}/status"))?;
        let number = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
            number.ok_or_else(|| io::Error::other(format!("no {name} in its status")))
        };
        Ok(Level {
            memory_kb: number("VmRSS:")?,
            threads: number("Threads:")?,
            descriptors: fs::read_dir(format!("{folder}/fd"))?.count() as u64,
        })
    }

    /// Time that it was ready to run and had no processor.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn waited(&self) -> io::Result<Duration> {
        let text = fs::read_to_string(format!("{}/schedstat", self.folder()))?;
        let waited = text
            .split_whitespace()
            .nth(1)
            .and_then(|ns| ns.parse().ok());
        let waited = waited.ok_or_else(|| io::Error::other("schedstat without a wait"))?;
        Ok(Duration::from_nanos(waited))
    }

    fn folder(&self) -> String {
        format!("/proc/{}", self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
