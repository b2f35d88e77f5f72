//! `tidepier apply`: puts a document in force, whole.

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
use crate::desk::{document_of, Desk, Reach};

/// Times that a wish whose outcome is open is sent again.
const TRIES: u32 = 4;
/// Time between looks at the boxes.
const LOOK_AGAIN: Duration = Duration::from_millis(200);

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
    /// The faults of the file; [`Kind::Conflict`] after a lost race, with the
    /// difference to the winner's document; [`Kind::Store`] when the outcome
    /// stayed open; [`Kind::Deadline`] when it is not in force everywhere in
    /// time.
    pub fn execute(&self) -> eyre::Result<()> {
        let text = read(&self.file)?;
        check::parse::<Document>(&text)?;
        let document: Value = serde_json::from_str(&text)?;
        let desk = self.reach.open()?;
        let held = diff::held(&desk)?;
        let patch = diff::changes(held.as_ref().map(document_of), &document)?;
        if self.dry_run {
            print!("{}", diff::lines(&patch));
            println!("{} changes, nothing applied", patch.0.len());
            return Ok(());
        }
        check_halls(&desk, &document, &self.allow_empty_hall)?;
        let wish = Apply {
            id: ids::Request::random(),
            expected: Some(self.expect.unwrap_or_else(|| generation(held.as_ref()))),
            author: self.author.clone(),
            document,
        };
        let applied = match send(&desk, &wish) {
            Ok(applied) => applied,
            Err(fault) if fault.kind == Kind::Conflict => {
                return Err(lost_race(&desk, &wish, fault))
            }
            Err(fault) => return Err(fault.into()),
        };
        println!(
            "generation {} accepted, {} changes",
            applied.generation,
            patch.0.len()
        );
        match self.wait {
            Some(seconds) => wait(&desk, applied.generation, Duration::from_secs(seconds)),
            None => Ok(()),
        }
    }
}

fn generation(record: Option<&Value>) -> ids::Generation {
    let number = record.and_then(|record| record["generation"].as_u64());
    ids::Generation(number.unwrap_or(0))
}

/// Halls that no box has would serve nothing.
fn check_halls(desk: &Desk, document: &Value, empty: &[ids::Hall]) -> eyre::Result<()> {
    let statuses = desk.statuses()?;
    let boxed: Vec<_> = statuses
        .iter()
        .map(|status| status.hall.to_string())
        .collect();
    let halls = document["halls"].as_array().cloned().unwrap_or_default();
    for (index, hall) in halls.iter().filter_map(Value::as_str).enumerate() {
        let allowed = empty.iter().any(|empty| empty.as_str() == hall);
        if !allowed && !boxed.iter().any(|boxed| boxed == hall) {
            let detail = format!(
                "/halls/{index}: found {hall:?}, which no box has; allowed: one of {}, \
                 or say --allow-empty-hall {hall}",
                boxed.join(", ")
            );
            return Err(Fault::new(Kind::Invalid, detail).into());
        }
    }
    Ok(())
}

/// Sends a wish; one whose outcome is open is sent again under the same id,
/// which finds out.
fn send(desk: &Desk, wish: &Apply) -> Result<Applied, Fault> {
    let body = serde_json::to_vec(wish);
    let body = body.map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
    let call = Call::post("/apply", body);
    let mut last = Fault::new(Kind::Store, "not sent");
    for _ in 0..TRIES {
        match desk.call(&call) {
            Err(fault) if matches!(fault.kind, Kind::Store | Kind::Peer) => last = fault,
            done => return done,
        }
    }
    Err(last)
}

fn lost_race(desk: &Desk, wish: &Apply, fault: Fault) -> eyre::Report {
    if let Ok(Some(record)) = diff::held(desk) {
        eprintln!(
            "in force: generation {} by {}",
            record["generation"], record["author"]
        );
        if let Ok(patch) = diff::changes(Some(document_of(&record)), &wish.document) {
            eprint!("your document differs from it by:\n{}", diff::lines(&patch));
        }
    }
    fault.into()
}

fn wait(desk: &Desk, generation: ids::Generation, limit: Duration) -> eyre::Result<()> {
    let begun = Instant::now();
    loop {
        let statuses = desk.statuses()?;
        let behind: Vec<_> = statuses
            .iter()
            .filter(|status| status.generation < generation)
            .map(|status| status.name.to_string())
            .collect();
        if behind.is_empty() {
            let seconds = begun.elapsed().as_secs_f64();
            println!("in force on {} boxes after {seconds:.1} s", statuses.len());
            return Ok(());
        }
        if begun.elapsed() > limit {
            let detail = format!("not yet in force on {}", behind.join(", "));
            return Err(Fault::new(Kind::Deadline, detail).into());
        }
        std::thread::sleep(LOOK_AGAIN);
    }
}
