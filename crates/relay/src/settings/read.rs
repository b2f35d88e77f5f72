//! Reads a settings file, with errors that name the line and the field.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use super::{OutOfRange, Settings};

/// Why settings could not be read.
#[derive(Debug)]
pub enum Error {
    /// The file cannot be read.
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is not valid JSON, lacks a field, or has a value of a wrong type.
    Json {
        /// The file.
        file: PathBuf,
        /// The field at which parsing failed.
        field: String,
        /// Why, and the line.
        source: serde_json::Error,
    },
    /// A value is out of range.
    Range {
        /// The file.
        file: PathBuf,
        /// The line of the field; 0 when it is not found.
        line: usize,
        /// The field and its value.
        source: OutOfRange,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File { file, source } => write!(f, "{}: {source}", file.display()),
            Error::Json {
                file,
                field,
                source,
            } => {
                let line = source.line();
                write!(f, "{}:{line}: at {field}: {source}", file.display())
            }
            Error::Range { file, line, source } => {
                let field = source.field;
                write!(f, "{}:{line}: at {field}: {source}", file.display())
            }
        }
    }
}

// `Display` already includes the cause, so `source` is not implemented: it would
// repeat the cause.
impl std::error::Error for Error {}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file cannot be read, is malformed, or has a value out of range.
pub fn read(file: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(file).map_err(|source| Error::File {
        file: file.into(),
        source,
    })?;
    let settings = serde_json::from_str::<Settings>(&text).map_err(|source| Error::Json {
        file: file.into(),
        field: field_before(&text, source.line(), source.column()),
        source,
    })?;
    settings.check().map_err(|source| Error::Range {
        file: file.into(),
        line: line_of(&text, source.field),
        source,
    })?;
    Ok(settings)
}

/// The last key at or before a position in the text. The parser's errors about values
/// do not name the key.
fn field_before(text: &str, line: usize, column: usize) -> String {
    let before = text.split_inclusive('\n').take(line.saturating_sub(1));
    let start: usize = before.map(str::len).sum();
    let end = (start + column).min(text.len());
    let head = text.get(..end).unwrap_or(text);
    let key = head.rmatch_indices("\":").find_map(|(colon, _)| {
        let opening = head[..colon].rfind('"')?;
        Some(&head[opening + 1..colon])
    });
    key.unwrap_or("the start").into()
}

/// The number of the line that contains a field; 0 if none does.
fn line_of(text: &str, field: &str) -> usize {
    let key = format!("\"{}\"", field.rsplit('.').next().unwrap_or(field));
    let at = text.lines().position(|line| line.contains(&key));
    at.map_or(0, |at| at + 1)
}
