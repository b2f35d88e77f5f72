//! Reads a JSON file, checks it against the schema of its type and reports all
//! faults.
//!
//! The schema is generated from the type itself, so the two cannot differ.
//! References between parts of a file are checked on the parsed JSON and not on
//! the typed value, so that faults of references and of types are reported
//! together.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use jsonschema::error::{TypeKind, ValidationErrorKind};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Longest excerpt of a found value in a message, in characters.
const EXCERPT_CHARS_MAX: usize = 60;

/// One fault of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The field, as a JSON pointer; empty for the whole file.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = if self.field.is_empty() {
            "/"
        } else {
            &self.field
        };
        write!(
            f,
            "{field}: found {}; allowed: {}",
            self.found, self.allowed
        )
    }
}

/// All faults of a file; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A type whose files hold references that a schema cannot express.
pub trait References {
    /// Reports references to names that are not declared, duplicates and other
    /// faults that a schema cannot express. Parts that are missing or of a wrong
    /// type are skipped: the check against the schema reports those.
    fn references(value: &Value, report: &mut Report);
}

/// Collects faults.
#[derive(Debug, Default)]
pub struct Report(Vec<Fault>);

impl Report {
    /// Adds one fault.
    pub fn add(&mut self, field: String, found: impl fmt::Display, allowed: impl fmt::Display) {
        self.0.push(Fault {
            field,
            found: found.to_string(),
            allowed: allowed.to_string(),
        });
    }
}

/// Parses `text` as a `T` and checks it completely.
///
/// # Errors
///
/// All faults found. Of a text that is not JSON that is one fault, with its line
/// and column; otherwise all faults of types, references, and unknown or missing
/// fields.
pub fn parse<T>(text: &str) -> Result<T, Faults>
where
    T: DeserializeOwned + JsonSchema + References,
{
    let value: Value = serde_json::from_str(text).map_err(|error| syntax(&error))?;
    let mut report = Report::default();
    schema_faults::<T>(&value, &mut report);
    T::references(&value, &mut report);
    if !report.0.is_empty() {
        return Err(Faults(report.0));
    }
    serde_json::from_value(value).map_err(|error| {
        Faults(vec![Fault {
            field: String::new(),
            found: error.to_string(),
            allowed: "a file that matches its schema".into(),
        }])
    })
}

/// Like [`parse`], for a type whose `Deserialize` and [`References`] enforce every
/// rule of its schema. The schema is compiled only if there are faults to report:
/// compiling it takes 28 MB, too much for a process that is to stay small.
///
/// # Errors
///
/// As [`parse`].
pub fn parse_lean<T>(text: &str) -> Result<T, Faults>
where
    T: DeserializeOwned + JsonSchema + References,
{
    let mut report = Report::default();
    if let Ok(value) = serde_json::from_str::<Value>(text) {
        T::references(&value, &mut report);
    }
    match serde_json::from_str(text) {
        Ok(found) if report.0.is_empty() => Ok(found),
        _ => parse(text),
    }
}

/// Why a file could not be used.
#[derive(Debug)]
pub enum FileError {
    /// The file cannot be read.
    Unreadable(PathBuf, io::Error),
    /// The file has faults.
    Faulty(PathBuf, Faults),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::Unreadable(path, error) => write!(f, "reading {}: {error}", path.display()),
            FileError::Faulty(path, faults) => write!(f, "checking {}:\n{faults}", path.display()),
        }
    }
}

impl std::error::Error for FileError {}

/// Reads a file by [`parse_lean`].
///
/// # Errors
///
/// The file cannot be read or has faults.
pub fn read<T>(path: &Path) -> Result<T, FileError>
where
    T: DeserializeOwned + JsonSchema + References,
{
    let text = fs::read_to_string(path);
    let text = text.map_err(|error| FileError::Unreadable(path.into(), error))?;
    parse_lean(&text).map_err(|faults| FileError::Faulty(path.into(), faults))
}

/// The JSON schema of `T`.
pub fn schema<T: JsonSchema>() -> Value {
    schemars::schema_for!(T).to_value()
}

fn syntax(error: &serde_json::Error) -> Faults {
    Faults(vec![Fault {
        field: format!("line {} column {}", error.line(), error.column()),
        found: error.to_string(),
        allowed: "JSON".into(),
    }])
}

fn schema_faults<T: JsonSchema>(value: &Value, report: &mut Report) {
    let schema = schema::<T>();
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        Err(error) => {
            report.add(String::new(), error, "a schema that compiles");
            return;
        }
    };
    for error in validator.iter_errors(value) {
        let field = error.instance_path.to_string();
        report.add(field, found(&error), allowed(&error.kind));
    }
}

fn found(error: &jsonschema::ValidationError<'_>) -> String {
    match &error.kind {
        ValidationErrorKind::Required { property } => format!("no field {property}"),
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            format!("unknown field {}", unexpected.join(", "))
        }
        _ => excerpt(&error.instance.to_string()),
    }
}

fn allowed(kind: &ValidationErrorKind) -> String {
    match kind {
        ValidationErrorKind::Required { property } => format!("a value for {property}"),
        ValidationErrorKind::AdditionalProperties { .. } => "only known fields".into(),
        ValidationErrorKind::Type { kind } => match kind {
            TypeKind::Single(one) => one.to_string(),
            TypeKind::Multiple(_) => "another type".into(),
        },
        ValidationErrorKind::Minimum { limit } => format!("at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("at most {limit}"),
        ValidationErrorKind::MinItems { limit } => format!("at least {limit} entries"),
        ValidationErrorKind::Pattern { pattern } => format!("text that matches {pattern}"),
        ValidationErrorKind::Enum { options } => format!("one of {options}"),
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            one_of(context)
        }
        ValidationErrorKind::Constant { expected_value } => expected_value.to_string(),
        other => format!("a value that meets {other:?}")
            .chars()
            .take(200)
            .collect(),
    }
}

/// What the branches of a choice allow, for example the variants of an enum.
fn one_of(context: &[Vec<jsonschema::ValidationError<'_>>]) -> String {
    let firsts = context.iter().filter_map(|branch| branch.first());
    let words: Vec<_> = firsts.map(|error| allowed(&error.kind)).collect();
    format!("one of {}", words.join(", "))
}

fn excerpt(text: &str) -> String {
    if text.chars().count() <= EXCERPT_CHARS_MAX {
        return text.into();
    }
    let start: String = text.chars().take(EXCERPT_CHARS_MAX).collect();
    format!("{start}...")
}
