//! Another address of a store, which replaces texts in the values that it returns.
//!
//! Values that are written through it are stored unchanged, and conditions on revisions
//! apply as usual.

use std::net::SocketAddr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde_json::Value;
use smol::Task;

use super::data::Reply;

/// Texts, each with its replacement.
pub(super) type Replacements = Vec<(String, String)>;

/// Another address of a store; dropping it closes the port.
#[derive(Debug)]
pub struct View {
    address: SocketAddr,
    _task: Task<()>,
}

impl View {
    pub(super) fn new(address: SocketAddr, task: Task<()>) -> Self {
        Self {
            address,
            _task: task,
        }
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Applies the replacements to the values of all items in a reply.
pub(super) fn replace_texts(mut reply: Reply, replacements: &Replacements) -> Reply {
    if !replacements.is_empty() {
        replace_within(&mut reply.fields, replacements);
    }
    reply
}

fn replace_within(part: &mut Value, replacements: &Replacements) {
    match part {
        Value::Array(parts) => parts
            .iter_mut()
            .for_each(|part| replace_within(part, replacements)),
        Value::Object(fields) => {
            for (name, field) in fields {
                match field {
                    Value::String(value) if name == "value" => {
                        *value = replace_in_value(value, replacements)
                    }
                    field => replace_within(field, replacements),
                }
            }
        }
        _ => {}
    }
}

/// Applies the replacements to a value, which is text in base64. A value that is not text
/// stays as it is.
fn replace_in_value(value: &str, replacements: &Replacements) -> String {
    let bytes = STANDARD.decode(value).unwrap_or_default();
    let Ok(mut text) = String::from_utf8(bytes) else {
        return value.into();
    };
    for (from, to) in replacements {
        text = text.replace(from, to);
    }
    STANDARD.encode(text)
}
