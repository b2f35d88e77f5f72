//! A relay process, and what the kernel reports of it.
//!
//! Only processes that were started here are signalled, by their ids, and each is killed
//! when its owner drops it.

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
    /// When the process was started.
    pub started: Instant,
}

/// Resources that a process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Level {
    /// Resident memory, in kB.
    pub memory_kb: u64,
    /// The most resident memory that the process has held, in kB.
    pub memory_peak_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
}

/// What the settings of a box give its process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Limits {
    /// Describes how a process exceeds them; `None` if it does not.
    pub fn exceeded_by(&self, level: &Level) -> Option<String> {
        let is_within = level.memory_peak_kb as f64 * 1_024.0 <= self.memory_mb * 1e6
            && level.descriptors <= self.descriptors;
        (!is_within).then(|| format!("{level:?}, limits {self:?}"))
    }
}

impl Process {
    /// Starts a relay with a settings file; its log is appended to `log`.
    ///
    /// # Errors
    ///
    /// The program cannot be started or the log cannot be opened.
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
            started: Instant::now(),
        })
    }

    /// Sends the process a signal.
    ///
    /// # Errors
    ///
    /// The process has ended and was waited for.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid, signal)?)
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// The process cannot be waited for.
    pub fn exit_status(&mut self) -> io::Result<Option<std::process::ExitStatus>> {
        self.child.try_wait()
    }

    /// Reads the resources that the process holds now.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn level(&self) -> io::Result<Level> {
        let proc_folder = self.proc_folder();
        let status = fs::read_to_string(format!("{proc_folder}/status"))?;
        let number = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
            number
                .ok_or_else(|| io::Error::other(format!("no {name} in the status of the process")))
        };
        Ok(Level {
            memory_kb: number("VmRSS:")?,
            memory_peak_kb: number("VmHWM:")?,
            threads: number("Threads:")?,
            descriptors: fs::read_dir(format!("{proc_folder}/fd"))?.count() as u64,
        })
    }

    /// Total time that the process was runnable but had no processor.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn run_queue_wait(&self) -> io::Result<Duration> {
        let text = fs::read_to_string(format!("{}/schedstat", self.proc_folder()))?;
        let waited = text
            .split_whitespace()
            .nth(1)
            .and_then(|ns| ns.parse().ok());
        let waited = waited.ok_or_else(|| io::Error::other("no wait time in schedstat"))?;
        Ok(Duration::from_nanos(waited))
    }

    fn proc_folder(&self) -> String {
        format!("/proc/{}", self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
