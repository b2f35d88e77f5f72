//! The expected answer to every prompt. Each token is a function of model,
//! prompt and position, so that any engine can continue any answer and a test
//! can compute every answer in advance.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of text counted as one token.
pub const TOKEN_BYTES: u64 = 4;

const WORDS: [&str; 32] = [
    "linen", "towel", "pickup", "note", "hotel", "van", "sheet", "press", "fold", "route", "dock",
    "order", "count", "bag", "wash", "dry", "invoice", "floor", "desk", "guest", "package",
    "release", "patch", "review", "index", "range", "build", "module", "license", "publish",
    "mirror", "branch",
];

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// The text of a prompt as an engine sees it.
pub fn prompt(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content);
        text.push('\n');
    }
    text
}

/// The seed of the answer to a prompt.
pub fn seed(model: &str, prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes()))
}

/// The token at `offset`, with its trailing space.
pub fn token(seed: u64, offset: u64) -> String {
    let hash = xxh3_64_with_seed(&offset.to_be_bytes(), seed);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{} ", (hash >> 32) % 100)
}

/// The complete answer of `tokens` tokens.
pub fn answer(seed: u64, tokens: u64) -> String {
    (0..tokens).map(|offset| token(seed, offset)).collect()
}

/// Number of tokens in a text.
pub fn tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(TOKEN_BYTES)
}
