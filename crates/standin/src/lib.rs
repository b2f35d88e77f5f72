//! Stand-ins for everything outside tidepier: the platform's store, box list
//! and weight store, model engines, and plain services.
//!
//! For tests, the demo and measurement only. Each part listens on its own
//! port and can be given faults to inject ([`faults`]). All parts run in one
//! process, so that guarantees that span engines, such as the bound on load,
//! can be checked exactly at every admission ([`group`]).

pub mod admin;
pub mod boxes;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod group;
pub mod oracle;
pub mod part;
pub mod service;
pub mod settings;
pub mod store;
pub mod weights;

pub use fleet::Fleet;
pub use settings::Settings;
