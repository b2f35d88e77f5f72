//! Encrypted response ids. They hold the engine and the account of an answer, and
//! only this fleet can read them.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use chacha20poly1305::aead::{Aead, KeyInit};
use chacha20poly1305::{Key, XChaCha20Poly1305, XNonce};
use rand::RngCore;
use serde::{Deserialize, Serialize};
use tidepier_config::key::Secret;
use tidepier_ids as ids;

/// The prefix of every response id.
const PREFIX: &str = "resp_";
/// Bytes of a nonce.
const NONCE_BYTES: usize = 24;
/// Longest response id that is decoded, in bytes.
const ID_BYTES_MAX: usize = 1024;

/// The content of a response id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ticket {
    #[serde(rename = "a")]
    pub(crate) account: ids::Account,
    #[serde(rename = "e")]
    pub(crate) engine: ids::Engine,
    #[serde(rename = "r")]
    pub(crate) request: ids::Request,
    #[serde(rename = "m")]
    pub(crate) model: ids::Model,
}

/// Seals and opens response ids.
pub(crate) struct Sealer {
    ciphers: Vec<XChaCha20Poly1305>,
}

impl Sealer {
    /// A sealer that seals with the first key and opens with all of them.
    pub(crate) fn new(keys: &[Secret]) -> Self {
        let cipher = |key: &Secret| XChaCha20Poly1305::new(Key::from_slice(key.bytes()));
        Self {
            ciphers: keys.iter().map(cipher).collect(),
        }
    }

    /// The response id of a ticket; empty if there is no key.
    pub(crate) fn seal(&self, ticket: &Ticket) -> String {
        let mut plain = Vec::new();
        // Writing to memory cannot fail for this type.
        let _ = ciborium::into_writer(ticket, &mut plain);
        let mut bytes = vec![0; NONCE_BYTES];
        rand::rng().fill_bytes(&mut bytes);
        let Some(cipher) = self.ciphers.first() else {
            return String::new();
        };
        let Ok(sealed) = cipher.encrypt(XNonce::from_slice(&bytes), plain.as_slice()) else {
            return String::new();
        };
        bytes.extend(sealed);
        format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
    }

    /// The ticket of a response id; `None` if this fleet did not create the id.
    pub(crate) fn open(&self, text: &str) -> Option<Ticket> {
        if text.len() > ID_BYTES_MAX {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(text.strip_prefix(PREFIX)?).ok()?;
        let (nonce, sealed) = bytes.split_at_checked(NONCE_BYTES)?;
        let nonce = XNonce::from_slice(nonce);
        let mut opened = self
            .ciphers
            .iter()
            .filter_map(|cipher| cipher.decrypt(nonce, sealed).ok());
        ciborium::from_reader(opened.next()?.as_slice()).ok()
    }
}
