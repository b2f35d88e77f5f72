//! `tidepier status`: every box of the fleet.

use tidepier_router::Status;

use crate::client::{print_json, Reach};
use crate::table;

/// Shows each box: hall, phase, generation in force and its age, load, links
/// and the pools that it keeps.
#[derive(Debug, clap::Args)]
pub struct Command {
    #[command(flatten)]
    reach: Reach,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

impl Command {
    /// Prints the status.
    ///
    /// # Errors
    ///
    /// No box answers.
    pub fn execute(&self) -> eyre::Result<()> {
        let statuses = self.reach.open()?.statuses()?;
        if self.json {
            return print_json(&statuses);
        }
        let header = [
            "BOX",
            "HALL",
            "PHASE",
            "GENERATION",
            "AGE",
            "OPEN",
            "LINKS",
            "KEEPS",
        ];
        let rows: Vec<_> = statuses.iter().map(row).collect();
        print!("{}", table::render(&header, &rows));
        for missing in missing(&statuses) {
            println!("{missing} does not answer");
        }
        Ok(())
    }
}

fn row(status: &Status) -> Vec<String> {
    let age = status
        .generation_age_s
        .map_or("-".into(), |age| format!("{age}s"));
    let pools: Vec<_> = status
        .pools
        .iter()
        .map(|pool| format!("{}:{}/{}", pool.model, pool.open, pool.waiting))
        .collect();
    vec![
        status.name.to_string(),
        status.hall.to_string(),
        status.phase.clone(),
        status.generation.to_string(),
        age,
        status.open.to_string(),
        status.links.to_string(),
        pools.join(" "),
    ]
}

/// Boxes that did not answer although other boxes consider them alive.
fn missing(statuses: &[Status]) -> Vec<String> {
    let known = statuses.iter().flat_map(|status| &status.boxes);
    let unresponsive = known.filter(|known| {
        known.state != "dead" && !statuses.iter().any(|status| status.name == known.name)
    });
    let mut names: Vec<_> = unresponsive.map(|known| known.name.to_string()).collect();
    names.sort();
    names.dedup();
    names
}
