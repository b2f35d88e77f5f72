//! What boxes of one hall exchange, so that few of them read the store.
//!
//! Every box is registered in the store ([`registry`]). In each hall the boxes
//! have an order that all agree on while they know the same boxes; the first
//! that answers reads the store. The others ask it, or boxes that do so in turn
//! ([`tree`], [`upstream`]), and are answered when there is something new ([`responder`]). A
//! box that finds nobody before it in the order reads the store itself, and so
//! does one whose proof grows old: a dead, frozen or cut off reader costs a moment
//! and no agreement.
//!
//! Beside that, and without the store, they tell each other of the requests
//! that they place ([`traffic`]).
//!
//! A box whose store went back to an older copy asks others what was in force before
//! ([`recovery`]).
//!
//! A box that starts while it does not reach the store asks any others that
//! its settings name ([`seed`]).
//!
//! Invariant: a proof passed on never looks younger than it is. It is dated
//! from when the question was sent, less the age given in the answer, on the
//! clock of the box that asks.

pub mod recovery;
pub mod registry;
pub mod responder;
pub mod seed;
pub mod traffic;
pub mod tree;
pub mod upstream;
