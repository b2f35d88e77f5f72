//! `tidepier drain`: a planned stop of a box, or of an engine.

use std::time::{Duration, Instant};

use eyre::bail;
use serde_json::Value;
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::Call;
use tidepier_ids as ids;
use tidepier_router::{Applied, Apply, Status};

use crate::client::{document_of, Client, Reach};

/// Interval at which a stopping box is asked for its status.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Stops a box as planned, or makes an engine or a hall's engines leave.
#[derive(Debug, clap::Args)]
pub struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, clap::Subcommand)]
enum What {
    /// A box finishes its requests and takes no new ones.
    Box {
        /// The box.
        name: ids::Box,
        #[command(flatten)]
        reach: Reach,
        /// Waits until it has finished, for at most so many seconds.
        #[arg(long, num_args = 0..=1, default_missing_value = "60")]
        wait: Option<u64>,
    },
    /// An engine finishes its streams and takes no new work.
    Engine {
        /// The engine.
        name: ids::Engine,
        #[command(flatten)]
        reach: Reach,
    },
    /// All engines of a hall do.
    Hall {
        /// The hall.
        name: ids::Hall,
        #[command(flatten)]
        reach: Reach,
    },
}

impl Command {
    /// Stops the box, or has the engines leave.
    ///
    /// # Errors
    ///
    /// There is no such box, engine or hall, or no box answers.
    pub fn execute(&self) -> eyre::Result<()> {
        match &self.what {
            What::Box { name, reach, wait } => drain_box(&reach.open()?, name, *wait),
            What::Engine { name, reach } => {
                set_leaving(&reach.open()?, |engine| engine["name"] == name.as_str())
            }
            What::Hall { name, reach } => {
                set_leaving(&reach.open()?, |engine| engine["hall"] == name.as_str())
            }
        }
    }
}

fn drain_box(client: &Client, name: &ids::Box, wait: Option<u64>) -> eyre::Result<()> {
    let statuses = client.statuses()?;
    let known = statuses.iter().flat_map(|status| &status.boxes);
    let mut found = known.filter(|known| known.name == *name && known.state != "dead");
    let Some(found) = found.next() else {
        return Err(Fault::new(Kind::NotFound, format!("no box {name}")).into());
    };
    let admin = found.admin;
    let status: Status = client.call_at(admin, &Call::post("/drain", *b"{}"))?;
    println!("{name} is stopping with {} open requests", status.open);
    let Some(seconds) = wait else {
        return Ok(());
    };
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        std::thread::sleep(POLL_INTERVAL);
        match client.call_at::<Status>(admin, &Call::get("/status")) {
            Ok(status) if status.phase == "closed" && status.open == 0 => {
                println!("{name} has finished");
                return Ok(());
            }
            Ok(_) => {}
            Err(_) => {
                println!("{name} has ended");
                return Ok(());
            }
        }
    }
    bail!(Fault::new(
        Kind::Deadline,
        format!("{name} still has open requests")
    ))
}

/// Applies the document in force, with the state of the chosen engines set to
/// `leaving`.
fn set_leaving(client: &Client, chosen: impl Fn(&Value) -> bool) -> eyre::Result<()> {
    let record: Value = client.call(&Call::get("/document"))?;
    let mut document = document_of(&record).clone();
    let mut count = 0;
    if let Some(engines) = document["engines"].as_array_mut() {
        for engine in engines.iter_mut().filter(|engine| chosen(engine)) {
            engine["state"] = "leaving".into();
            count += 1;
        }
    }
    if count == 0 {
        return Err(Fault::new(Kind::NotFound, "no such engine").into());
    }
    let generation = record["generation"].as_u64().unwrap_or(0);
    let request = Apply {
        id: ids::Request::random(),
        expected: Some(ids::Generation(generation)),
        author: "drain".into(),
        document,
    };
    let call = Call::post("/apply", serde_json::to_vec(&request)?);
    let applied: Applied = client.call(&call)?;
    println!(
        "generation {} accepted: {count} engines leave",
        applied.generation
    );
    Ok(())
}
