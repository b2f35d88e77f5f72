//! Identifiers, sizes and times shared by every tidepier crate.
//!
//! Every identifier is a newtype with `Display` and `FromStr`, so that a box
//! name can never be passed where an engine name is meant, and so that all
//! input is checked by one rule. Types are named through this module:
//! `ids::Box`, `ids::Engine`, `ids::Request`.

mod name;
mod number;

pub use name::{Account, Box, Engine, Hall, Invalid, Model, Region, Server, Service};
pub use number::{
    Chat, Digest, Generation, Incarnation, InvalidNumber, Offset, Prefix, Request, Slot, Tokens,
};
