//! Process settings and the fleet document, checked whole.
//!
//! [`settings`] is what one process needs to start: its addresses, its hall
//! and its keys. [`document`] is what operators declare for the whole fleet
//! and what the platform's store keeps. Both are read through [`check`], which
//! reports every fault of a file at once.

pub mod check;
pub mod document;
pub mod key;
pub mod settings;

pub use check::{Fault, Faults};
pub use document::Document;
pub use settings::Settings;
