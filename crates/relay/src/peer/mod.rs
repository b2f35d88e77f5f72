//! Communication between boxes, which keeps the number of boxes that read the store low.
//!
//! Every box is registered in the store ([`registry`]). The boxes of a hall have a
//! priority order, on which all agree as long as they know the same boxes; the first box
//! that answers reads the store. Each other box sends long-poll requests to it, or to a
//! box that follows it in turn ([`tree`], [`upstream`]), and gets an answer when there is
//! a change ([`responder`]). A box without a reachable predecessor in the order reads the
//! store itself, and so does a box that has not got a recent confirmation that its data
//! is current. A reader that crashed, froze or was cut off therefore costs a short delay
//! and does not need an election.
//!
//! Independently of the store, boxes report to each other the requests that they have in
//! flight ([`traffic`], [`session`]).
//!
//! After the store was restored from an older backup, a box asks other boxes for the
//! state that was in force before ([`recovery`]).
//!
//! A box that starts while the store is unreachable asks the seed boxes of its settings
//! ([`seed`]).
//!
//! A box carries connections to servers for boxes that do not reach these themselves
//! ([`gateway`]).
//!
//! Boxes keep for each other which releases began streams ([`origins`]).
//!
//! Invariant: a confirmation that is sent to another box never looks newer than it is. The
//! receiving box dates it, on its own clock, to the time at which it sent the request,
//! less the age given in the answer.

mod entry;
pub mod gateway;
pub mod origins;
pub mod recovery;
pub mod registry;
pub mod responder;
pub mod seed;
pub mod session;
pub mod traffic;
pub mod tree;
pub mod upstream;
