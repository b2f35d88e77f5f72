//! A client for the admin ports of the boxes of a fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::WrapErr;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tidepier_errors::{Body, Fault, Kind};
use tidepier_http::client::{Call, Pool};
use tidepier_router::Status;

/// Largest answer in bytes.
const ANSWER_BYTES_MAX: u64 = 16 << 20;
/// Time-out of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How to reach a fleet.
#[derive(Debug, Clone, clap::Args)]
pub struct Reach {
    /// Operators' addresses of some boxes; the first that answers is used.
    #[arg(
        long = "at",
        env = "TIDEPIER_AT",
        value_delimiter = ',',
        required = true
    )]
    at: Vec<SocketAddr>,
    /// A file with the operator key; without it, `TIDEPIER_OPERATOR_KEY` is
    /// read. Keys are not taken on the command line, where others see them.
    #[arg(long, env = "TIDEPIER_OPERATOR_KEY_FILE")]
    key_file: Option<PathBuf>,
}

/// A client for the admin ports of a fleet's boxes.
pub struct Client {
    pool: Pool,
    at: Vec<SocketAddr>,
    key: String,
}

impl Reach {
    /// Reads the operator key and makes a client.
    ///
    /// # Errors
    ///
    /// The key cannot be read.
    pub fn open(&self) -> eyre::Result<Client> {
        let key = match &self.key_file {
            Some(path) => std::fs::read_to_string(path)
                .wrap_err_with(|| format!("reading {}", path.display()))?,
            None => std::env::var("TIDEPIER_OPERATOR_KEY").map_err(|_| {
                let hint = "set TIDEPIER_OPERATOR_KEY or give --key-file";
                Fault::new(Kind::Unauthorized, format!("no operator key: {hint}"))
            })?,
        };
        Ok(Client {
            pool: Pool::new(),
            at: self.at.clone(),
            key: key.trim().to_string(),
        })
    }
}

impl Client {
    /// Calls the first box that answers.
    ///
    /// # Errors
    ///
    /// The box's fault, or [`Kind::Peer`] when no box answers.
    pub fn call<T: DeserializeOwned>(&self, call: &Call) -> Result<T, Fault> {
        let mut last = Fault::new(Kind::Peer, "no box given");
        for at in &self.at {
            match self.call_at(*at, call) {
                Err(fault) if fault.kind == Kind::Peer => last = fault,
                done => return done,
            }
        }
        Err(last)
    }

    /// Calls one box.
    ///
    /// # Errors
    ///
    /// The box's fault, or [`Kind::Peer`] when it does not answer.
    pub fn call_at<T: DeserializeOwned>(&self, at: SocketAddr, call: &Call) -> Result<T, Fault> {
        let call = call
            .clone()
            .header("authorization", format!("Bearer {}", self.key));
        let answered = smol::block_on(self.pool.whole(at, &call, ANSWER_BYTES_MAX, CALL_TIMEOUT));
        let answer = answered.map_err(|error| Fault::new(Kind::Peer, format!("{at}: {error}")))?;
        if answer.status >= 400 {
            return Err(refusal(answer.status, &answer.bytes));
        }
        serde_json::from_slice(&answer.bytes)
            .map_err(|error| Fault::new(Kind::Peer, format!("{at}: {error}")))
    }

    /// The status of every box that any of the given boxes knows; boxes that
    /// do not answer are left out.
    ///
    /// # Errors
    ///
    /// No box answers at all.
    pub fn statuses(&self) -> Result<Vec<Status>, Fault> {
        let first: Status = self.call(&Call::get("/status"))?;
        let mut all = Vec::new();
        for known in &first.boxes {
            if known.name == first.name {
                continue;
            }
            if let Ok(status) = self.call_at(known.admin, &Call::get("/status")) {
                all.push(status);
            }
        }
        all.push(first);
        all.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(all)
    }
}

/// The fault that an error answer states.
fn refusal(status: u16, bytes: &[u8]) -> Fault {
    match serde_json::from_slice::<Body>(bytes) {
        Ok(body) => Fault::new(body.error.kind, body.error.message),
        Err(_) => Fault::new(Kind::Peer, format!("status {status}")),
    }
}

/// Prints a value as JSON.
///
/// # Errors
///
/// The value has no JSON form.
pub fn print_json(value: &impl serde::Serialize) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// The document in a record, in the form that the store keeps.
pub fn document_of(record: &Value) -> &Value {
    &record["document"]
}
