//! A real router between stand-ins of its surroundings, over loopback.
//!
//! Each test has a store, servers, a router and a thread of its own, so that
//! they run side by side. What is asserted is what reached a socket; the time
//! limits of waits are generous, those of promises are the promises.

mod answers;
mod beliefs;
mod box_harness;
mod choice_harness;
mod choose;
mod cold;
mod crashes;
mod crashing;
mod crowd;
mod emptied;
mod ending;
mod entries;
mod eras;
mod fading;
mod harness;
mod impostors;
mod index;
mod keys;
mod leaving;
mod limits;
mod lives;
mod load;
mod locations;
mod logged;
mod losses;
mod peer_answers;
mod peers;
mod port;
mod process;
mod raw;
mod recalled;
mod record;
mod recover;
mod regions;
mod registry;
mod requests;
mod resting;
mod returned;
mod returns;
mod rollouts;
mod seeds;
mod sendings;
mod shared;
mod sim;
mod sizes;
mod slow;
mod spread;
mod standing;
mod stop;
mod strangers;
mod streams;
mod suspended;
mod trees;
