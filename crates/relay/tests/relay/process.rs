//! A router that is a process of its own, with its settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};

use eyre::{ensure, eyre};
use serde_json::Value;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::Client;

use crate::harness::Result;

/// A router process; it ends when dropped.
pub(crate) struct Process {
    child: Child,
    pub(crate) file: PathBuf,
    pub(crate) front: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

impl Process {
    /// Starts a router that logs so much. `name` is that of its settings file.
    pub(crate) fn start(name: &str, log: &str, settings: &Value) -> Result<Self> {
        let front = settings["callers"].as_str();
        let front = front.ok_or_else(|| eyre!("no address for clients"))?;
        let file = format!("relay-{name}.json");
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&file, settings.to_string())?;
        let child = Command::new(env!("CARGO_BIN_EXE_tidepier-relay"))
            .args(["--log", log, "--settings"])
            .arg(&file)
            .spawn()?;
        Ok(Self {
            child,
            file,
            front: front.parse()?,
        })
    }

    /// Ends it at once, without a chance to do anything about that.
    pub(crate) fn kill(&mut self) -> Result {
        self.child.kill()?;
        let status = self.child.wait()?;
        ensure!(!status.success(), "it ended by itself");
        Ok(())
    }

    pub(crate) fn signal(&self, name: &str) -> Result {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status()?;
        ensure!(sent.success(), "no signal sent");
        Ok(())
    }

    /// How it ended, once it has.
    pub(crate) fn ended(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// The status of the answer to a call; 0 without one.
    pub(crate) async fn call(&self, call: &Call) -> u16 {
        let answer = Client::once(self.front, call).await;
        answer.map_or(0, |answer| answer.status)
    }
}
