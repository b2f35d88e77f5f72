//! Numbers with a meaning: random identifiers, versions, positions, sizes.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Why a number was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidNumber {
    found: String,
}

impl fmt::Display for InvalidNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown: String = self.found.chars().take(40).collect();
        write!(f, "found {shown:?}, which is not a number of this kind")
    }
}

impl std::error::Error for InvalidNumber {}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidNumber;

            fn from_str(text: &str) -> Result<Self, InvalidNumber> {
                let found = || InvalidNumber { found: text.into() };
                text.parse().map(Self).map_err(|_| found())
            }
        }
    };
}

number!(
    /// The version of the fleet document; every accepted change adds one.
    Generation(u64)
);
number!(
    /// One life of a process: milliseconds since the Unix epoch at its start,
    /// so that a later life of the same box compares greater.
    Incarnation(u64)
);
number!(
    /// A position in an answer, counted in tokens from 0.
    Offset(u64)
);
number!(
    /// A count of tokens.
    Tokens(u64)
);
number!(
    /// One granted place on an engine, unique within its keeper's life. Short,
    /// as it crosses the network twice for each request.
    Slot(u32)
);

macro_rules! hex_number {
    ($(#[$doc:meta])* $name:ident($inner:ty, $width:literal)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl Serialize for $name {
            /// Text in JSON, a plain number in binary formats.
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    return serializer.collect_str(self);
                }
                self.0.serialize(serializer)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if !deserializer.is_human_readable() {
                    return <$inner>::deserialize(deserializer).map(Self);
                }
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = InvalidNumber;

            fn from_str(text: &str) -> Result<Self, InvalidNumber> {
                let found = || InvalidNumber { found: text.into() };
                let digits = text.len() == $width && text.bytes().all(|b| b.is_ascii_hexdigit());
                if !digits {
                    return Err(found());
                }
                <$inner>::from_str_radix(text, 16).map(Self).map_err(|_| found())
            }
        }
    };
}

hex_number!(
    /// One caller's request, random, 16 hexadecimal digits.
    Request(u64, 16)
);
hex_number!(
    /// The hash of the stable start of a chat, 16 hexadecimal digits.
    Prefix(u64, 16)
);
hex_number!(
    /// The hash that one chat keeps through all its turns, 8 hexadecimal
    /// digits. Two chats that share it only share a hint.
    Chat(u32, 8)
);
hex_number!(
    /// The hash of a document or table, to tell whether two copies agree.
    Digest(u64, 16)
);

impl Request {
    /// A new random id.
    pub fn random() -> Self {
        Self(rand::rng().random())
    }
}

impl Incarnation {
    /// The incarnation of a process that starts now.
    pub fn now() -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self(since.map_or(0, |d| d.as_millis() as u64))
    }
}

impl Generation {
    /// The generation after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3_64(bytes))
    }
}

impl Prefix {
    /// The hash of the first bytes of a chat.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3_64(bytes))
    }
}

impl Chat {
    /// The hash of the parts that identify a chat.
    pub fn of<'p>(parts: impl IntoIterator<Item = &'p [u8]>) -> Self {
        let hash = parts
            .into_iter()
            .fold(0, |hash, part| xxh3_64_with_seed(part, hash));
        Self(hash as u32)
    }
}
