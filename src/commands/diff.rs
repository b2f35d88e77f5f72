//! `tidepier diff`: what applying a file would change.

use std::path::PathBuf;

use serde_json::Value;
use tidepier_config::{check, Document};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::Call;

use super::check::read;
use crate::client::{document_of, print_json, Client, Reach};

/// Shows what applying a document would change.
#[derive(Debug, clap::Args)]
pub struct Command {
    /// The document.
    file: PathBuf,
    #[command(flatten)]
    reach: Reach,
    /// Prints a JSON Patch.
    #[arg(long)]
    json: bool,
}

impl Command {
    /// Prints the differences.
    ///
    /// # Errors
    ///
    /// The file is not valid, or no box answers.
    pub fn execute(&self) -> eyre::Result<()> {
        let text = read(&self.file)?;
        check::parse::<Document>(&text)?;
        let new: Value = serde_json::from_str(&text)?;
        let current = current(&self.reach.open()?)?;
        let patch = changes(current.as_ref().map(document_of), &new)?;
        if self.json {
            return print_json(&patch);
        }
        match patch.0.is_empty() {
            true => println!("no changes"),
            false => print!("{}", lines(&patch)),
        }
        Ok(())
    }
}

/// The record in force; `None` if no document has been applied yet.
///
/// # Errors
///
/// No box answers.
pub fn current(client: &Client) -> Result<Option<Value>, Fault> {
    match client.call::<Value>(&Call::get("/document")) {
        Ok(record) => Ok(Some(record)),
        Err(fault) if fault.kind == Kind::NotReady => Ok(None),
        Err(fault) => Err(fault),
    }
}

/// The difference between two documents. Both are parsed as documents first, so
/// that a default value and a missing key count as equal.
///
/// # Errors
///
/// One of them is not a valid document.
pub fn changes(current: Option<&Value>, new: &Value) -> eyre::Result<json_patch::Patch> {
    let normal = |value: &Value| -> eyre::Result<Value> {
        let document: Document = serde_json::from_value(value.clone())?;
        Ok(serde_json::to_value(document)?)
    };
    let current = match current {
        Some(current) => normal(current)?,
        None => Value::Object(serde_json::Map::new()),
    };
    Ok(json_patch::diff(&current, &normal(new)?))
}

/// One line for each change.
pub fn lines(patch: &json_patch::Patch) -> String {
    use json_patch::PatchOperation as Operation;
    let line = |operation: &Operation| match operation {
        Operation::Add(add) => format!("+ {} {}\n", add.path, add.value),
        Operation::Remove(remove) => format!("- {}\n", remove.path),
        Operation::Replace(replace) => format!("~ {} {}\n", replace.path, replace.value),
        Operation::Move(moved) => format!("> {} from {}\n", moved.path, moved.from),
        Operation::Copy(copied) => format!("> {} as {}\n", copied.path, copied.from),
        Operation::Test(_) => String::new(),
    };
    patch.0.iter().map(line).collect()
}
