//! A real router between stand-ins of its surroundings, over loopback.
//!
//! Each test has a store, servers, a router and a thread of its own, so that
//! they run side by side. What is asserted is what reached a socket; the time
//! limits of waits are generous, those of promises are the promises.

mod answers;
mod beliefs;
mod crowd;
mod hall;
mod house;
mod keys;
mod limits;
mod peers;
mod places;
mod raw;
mod sendings;
mod sizes;
mod stop;
mod streams;
mod told;
