//! Servers that end under the requests that they run.
//!
//! * [`suspects`]: requests whose sending broke off, by server.
//! * `inquiry`: finds out whether such a server ended.

mod inquiry;
pub mod suspects;

pub(crate) use inquiry::run;
