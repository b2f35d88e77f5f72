//! A router that runs as a separate process, with its settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use eyre::{ensure, eyre};
use serde_json::Value;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::Client;

use crate::harness::Result;

/// A router process; it is killed when dropped.
pub(crate) struct Process {
    child: Child,
    pub(crate) file: PathBuf,
    pub(crate) front: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

impl Process {
    /// Starts a router with `log` as its log level. `name` is part of the name of its
    /// settings file.
    pub(crate) fn start(name: &str, log: &str, settings: &Value) -> Result<Self> {
        Self::start_with_output(name, log, settings, Stdio::inherit())
    }

    /// The same with its log written to `output`.
    pub(crate) fn start_with_output(
        name: &str,
        log: &str,
        settings: &Value,
        output: Stdio,
    ) -> Result<Self> {
        let front = settings["callers"].as_str();
        let front = front.ok_or_else(|| eyre!("no client address in the settings"))?;
        let file = format!("relay-{name}.json");
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&file, settings.to_string())?;
        let child = Command::new(env!("CARGO_BIN_EXE_tidepier-relay"))
            .args(["--log", log, "--settings"])
            .arg(&file)
            .stdout(output)
            .spawn()?;
        Ok(Self {
            child,
            file,
            front: front.parse()?,
        })
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) -> Result {
        self.child.kill()?;
        let status = self.child.wait()?;
        ensure!(!status.success(), "the process had exited by itself");
        Ok(())
    }

    pub(crate) fn signal(&self, name: &str) -> Result {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status()?;
        ensure!(sent.success(), "no signal sent");
        Ok(())
    }

    /// Its resident memory, in bytes.
    pub(crate) fn resident_bytes(&self) -> Result<usize> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next());
        let kib: usize = kib.ok_or_else(|| eyre!("no resident size"))?.parse()?;
        Ok(kib << 10)
    }

    /// The processor time that it has used so far.
    pub(crate) fn processor_time(&self) -> Result<Duration> {
        let path = format!("/proc/{}/schedstat", self.child.id());
        let times = fs::read_to_string(path)?;
        let running = times.split_whitespace().next();
        let ns: u64 = running.ok_or_else(|| eyre!("no times"))?.parse()?;
        Ok(Duration::from_nanos(ns))
    }

    /// The exit status, once the process has exited.
    pub(crate) fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// The status of the answer to a request; 0 if there was no answer.
    pub(crate) async fn call(&self, call: &Call) -> u16 {
        let answer = Client::once(self.front, call).await;
        answer.map_or(0, |answer| answer.status)
    }
}
