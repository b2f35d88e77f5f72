//! Process settings and the fleet document, and the checks of both.
//!
//! [`settings`] holds what one process needs to start: its addresses, its hall and
//! its keys. [`document`] holds what operators declare for the whole fleet, which
//! the platform's store keeps. Both are read through [`check`], which reports all
//! faults of a file at once.

pub mod check;
pub mod document;
pub mod key;
pub mod settings;

pub use check::{Fault, Faults};
pub use document::Document;
pub use settings::Settings;
