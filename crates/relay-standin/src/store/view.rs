//! A further address of a store, which shows values changed.
//!
//! What is written through it is kept as it came; conditions on revisions hold
//! as everywhere.

use std::net::SocketAddr;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde_json::Value;
use smol::Task;

use super::data::Reply;

/// Texts, each with what is shown in its place.
pub(super) type Texts = Vec<(String, String)>;

/// An address of a store; it closes when dropped.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A reply with the values of its items changed.
pub(super) fn show(mut reply: Reply, texts: &Texts) -> Reply {
    if !texts.is_empty() {
        show_within(&mut reply.fields, texts);
    }
    reply
}

fn show_within(part: &mut Value, texts: &Texts) {
    match part {
        Value::Array(parts) => parts.iter_mut().for_each(|part| show_within(part, texts)),
        Value::Object(fields) => {
            for (name, field) in fields {
                match field {
                    Value::String(value) if name == "value" => *value = shown(value, texts),
                    field => show_within(field, texts),
                }
            }
        }
        _ => {}
    }
}

/// A value, which is text in base64, with other texts. A value that is no text
/// stays as it is.
fn shown(value: &str, texts: &Texts) -> String {
    let bytes = STANDARD.decode(value).unwrap_or_default();
    let Ok(mut text) = String::from_utf8(bytes) else {
        return value.into();
    };
    for (from, to) in texts {
        text = text.replace(from, to);
    }
    STANDARD.encode(text)
}
