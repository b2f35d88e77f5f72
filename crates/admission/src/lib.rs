//! Decisions of a box under load, as functions of figures alone.
//!
//! Nothing here knows a socket, a process or a message of a platform: the relay passes in
//! what it measured and what other boxes reported, and acts on the result. All state is
//! kept in memory and can be lost at any time.
//!
//! * [`demand`]: recent requests by service, by subject and by hall.
//! * [`report`]: what boxes report to each other about the load on plain services.
//! * [`meter`]: counts what a box reports.
//! * [`capacity`]: the rate of requests that the servers of a service can sustain.
//! * [`share`]: which part of each account's requests is admitted.
//! * [`returns`]: when a refused caller may return, and whether it kept to that.
//! * [`admission`]: the decision on one request.
//! * [`rise`]: subjects whose share of the requests has just risen.
//! * [`stall`]: servers that hold requests and answer none.
//! * [`rate`]: rates of requests.
//! * [`verify`]: servers that are known to answer.
//! * [`balance`]: the choice between servers that differ in speed.
//! * [`speed`]: the speed of one engine, learned, combined with the slowdown it reports.

pub mod admission;
mod backlog;
pub mod balance;
pub mod capacity;
pub mod demand;
pub mod meter;
pub mod rate;
pub mod report;
pub mod returns;
pub mod rise;
pub mod share;
pub mod speed;
pub mod stall;
pub mod verify;
mod wait;
mod window;
