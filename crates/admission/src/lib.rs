//! Decisions of a box under load, as functions of figures alone.
//!
//! Nothing here knows a socket, a process or a message of a platform: the relay passes in
//! what it measured and what other boxes reported, and acts on the result. All state is
//! kept in memory and can be lost at any time.
//!
//! * [`demand`]: recent requests by service, by subject and by hall.
//! * [`rise`]: subjects whose share of the requests has just risen.

pub mod demand;
pub mod rise;
