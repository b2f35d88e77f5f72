//! `tidepier apply`: replaces the document in force.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::Value;
use tidepier_config::{check, Document};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::Call;
use tidepier_ids as ids;
use tidepier_router::{Applied, Apply};

use super::check::read;
use super::diff;
use crate::client::{document_of, Client, Reach};

/// Attempts to send a request whose outcome is unknown.
const ATTEMPTS_MAX: u32 = 4;
/// Interval at which the boxes are asked for their status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Applies a document whole, if nothing else was applied meanwhile.
#[derive(Debug, clap::Args)]
pub struct Command {
    /// The document.
    file: PathBuf,
    #[command(flatten)]
    reach: Reach,
    /// The generation that the document was made from; the one in force if
    /// left out.
    #[arg(long)]
    expect: Option<ids::Generation>,
    /// Who applies it.
    #[arg(long, env = "USER", default_value = "operator")]
    author: String,
    /// Accepts a hall that no box has, such as one whose boxes are to follow.
    #[arg(long)]
    allow_empty_hall: Vec<ids::Hall>,
    /// Shows what would change and applies nothing.
    #[arg(long)]
    dry_run: bool,
    /// Waits until it is in force on every box, for at most so many seconds.
    #[arg(long, num_args = 0..=1, default_missing_value = "30")]
    wait: Option<u64>,
}

impl Command {
    /// Applies the document.
    ///
    /// # Errors
    ///
    /// The faults of the file; [`Kind::Conflict`] when another document was
    /// applied meanwhile, after the difference to that document has been
    /// printed; [`Kind::Store`] when the outcome remained unknown; [`Kind::Deadline`] when it is not in force everywhere in
    /// time.
    pub fn execute(&self) -> eyre::Result<()> {
        let text = read(&self.file)?;
        check::parse::<Document>(&text)?;
        let document: Value = serde_json::from_str(&text)?;
        let client = self.reach.open()?;
        let current = diff::current(&client)?;
        let patch = diff::changes(current.as_ref().map(document_of), &document)?;
        if self.dry_run {
            print!("{}", diff::lines(&patch));
            println!("{} changes, nothing applied", patch.0.len());
            return Ok(());
        }
        check_halls(&client, &document, &self.allow_empty_hall)?;
        let request = Apply {
            id: ids::Request::random(),
            expected: Some(self.expect.unwrap_or_else(|| generation(current.as_ref()))),
            author: self.author.clone(),
            document,
        };
        let applied = match send(&client, &request) {
            Ok(applied) => applied,
            Err(fault) if fault.kind == Kind::Conflict => {
                return Err(conflict_report(&client, &request, fault))
            }
            Err(fault) => return Err(fault.into()),
        };
        println!(
            "generation {} accepted, {} changes",
            applied.generation,
            patch.0.len()
        );
        match self.wait {
            Some(seconds) => wait(&client, applied.generation, Duration::from_secs(seconds)),
            None => Ok(()),
        }
    }
}

fn generation(record: Option<&Value>) -> ids::Generation {
    let number = record.and_then(|record| record["generation"].as_u64());
    ids::Generation(number.unwrap_or(0))
}

/// Refuses a document with a hall that no box belongs to, unless `empty` lists
/// the hall: its engines would get no requests.
fn check_halls(client: &Client, document: &Value, empty: &[ids::Hall]) -> eyre::Result<()> {
    let statuses = client.statuses()?;
    let with_boxes: Vec<_> = statuses
        .iter()
        .map(|status| status.hall.to_string())
        .collect();
    let halls = document["halls"].as_array().cloned().unwrap_or_default();
    for (index, hall) in halls.iter().filter_map(Value::as_str).enumerate() {
        let allowed = empty.iter().any(|empty| empty.as_str() == hall);
        if !allowed && !with_boxes.iter().any(|with_boxes| with_boxes == hall) {
            let detail = format!(
                "/halls/{index}: found {hall:?}, which no box has; allowed: one of {}, \
                 or say --allow-empty-hall {hall}",
                with_boxes.join(", ")
            );
            return Err(Fault::new(Kind::Invalid, detail).into());
        }
    }
    Ok(())
}

/// Sends a request. While its outcome is unknown, it is sent again under the same
/// id, by which the box recognises a request that was applied already.
fn send(client: &Client, request: &Apply) -> Result<Applied, Fault> {
    let body = serde_json::to_vec(request);
    let body = body.map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
    let call = Call::post("/apply", body);
    let mut last = Fault::new(Kind::Store, "not sent");
    for _ in 0..ATTEMPTS_MAX {
        match client.call(&call) {
            Err(fault) if matches!(fault.kind, Kind::Store | Kind::Peer) => last = fault,
            done => return done,
        }
    }
    Err(last)
}

fn conflict_report(client: &Client, request: &Apply, fault: Fault) -> eyre::Report {
    if let Ok(Some(record)) = diff::current(client) {
        eprintln!(
            "in force: generation {} by {}",
            record["generation"], record["author"]
        );
        if let Ok(patch) = diff::changes(Some(document_of(&record)), &request.document) {
            eprint!("your document differs from it by:\n{}", diff::lines(&patch));
        }
    }
    fault.into()
}

fn wait(client: &Client, generation: ids::Generation, limit: Duration) -> eyre::Result<()> {
    let started = Instant::now();
    loop {
        let statuses = client.statuses()?;
        let behind: Vec<_> = statuses
            .iter()
            .filter(|status| status.generation < generation)
            .map(|status| status.name.to_string())
            .collect();
        if behind.is_empty() {
            let seconds = started.elapsed().as_secs_f64();
            println!("in force on {} boxes after {seconds:.1} s", statuses.len());
            return Ok(());
        }
        if started.elapsed() > limit {
            let detail = format!("not yet in force on {}", behind.join(", "));
            return Err(Fault::new(Kind::Deadline, detail).into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
