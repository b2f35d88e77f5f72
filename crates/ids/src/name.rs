//! Names that operators choose: 1 to 64 characters of `a-z`, `0-9`, `.`, `_`
//! and `-`, starting with a letter or digit.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest accepted name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// The same rule as [`is_valid`], for JSON schemas.
const NAME_PATTERN: &str = "^[a-z0-9][a-z0-9._-]{0,63}$";

/// Why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    found: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown: String = self.found.chars().take(NAME_BYTES_MAX).collect();
        write!(
            f,
            "found {shown:?}; allowed are 1 to {NAME_BYTES_MAX} characters of a-z, 0-9, '.', '_' \
             and '-', starting with a letter or digit"
        )
    }
}

impl std::error::Error for Invalid {}

fn is_valid(text: &str) -> bool {
    let first_ok = text
        .chars()
        .next()
        .is_some_and(|c| c.is_ascii_lowercase() || c.is_ascii_digit());
    first_ok
        && text.len() <= NAME_BYTES_MAX
        && text
            .chars()
            .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c))
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Invalid;

            fn from_str(text: &str) -> Result<Self, Invalid> {
                if is_valid(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(Invalid { found: text.into() })
                }
            }
        }

        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "pattern": NAME_PATTERN })
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name!(
    /// A client account.
    Account
);
name!(
    /// An entry box: a machine that runs a router and a steward.
    Box
);
name!(
    /// A model engine on a backend server.
    Engine
);
name!(
    /// A data hall.
    Hall
);
name!(
    /// A language model.
    Model
);
name!(
    /// A region: data halls near each other.
    Region
);
name!(
    /// A plain service.
    Service
);
name!(
    /// A backend server. It may start again under the same name.
    Server
);
