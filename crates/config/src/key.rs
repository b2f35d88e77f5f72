//! Secrets and their hashes. A secret is never printed: its `Debug` prints a
//! placeholder, and it has no `Display`.

use std::borrow::Cow;
use std::fmt;

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a secret key in bytes.
pub const SECRET_BYTES: usize = 32;

/// A 32-byte secret, written as 64 hexadecimal digits.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// A secret from its bytes.
    pub fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// The bytes, to be used only in a cipher or a MAC.
    pub fn bytes(&self) -> &[u8; SECRET_BYTES] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The SHA-256 hash of a bearer key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hash([u8; 32]);

impl Hash {
    /// The hash of a bearer key as the client sends it.
    pub fn of(bearer: &str) -> Self {
        Self(Sha256::digest(bearer.as_bytes()).into())
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Hash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

macro_rules! hex_text {
    ($name:ident) => {
        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "pattern": "^[0-9a-f]{64}$" })
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&hex::encode(self.0))
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                let mut bytes = [0; 32];
                // The message does not contain the text, which may be a secret.
                hex::decode_to_slice(&text, &mut bytes)
                    .map_err(|_| serde::de::Error::custom("not 64 hexadecimal digits"))?;
                Ok(Self(bytes))
            }
        }
    };
}

hex_text!(Secret);
hex_text!(Hash);
