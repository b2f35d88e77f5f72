//! Decisions of a box under load, as functions of figures alone.
//!
//! Nothing here knows a socket, a process or a message of a platform: the relay passes in
//! what it measured and what other boxes reported, and acts on the result. All state is
//! kept in memory and can be lost at any time.
//!
//! * [`demand`]: recent requests by service, by subject and by hall.
//! * [`speed`]: the speed of one engine, learned, combined with the slowdown it reports.

pub mod demand;
pub mod speed;
