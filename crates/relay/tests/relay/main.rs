//! Tests of a real router with stand-ins for its environment, over loopback.
//!
//! Each test has its own store, servers, router and thread, so that tests run in
//! parallel. They assert what reached a socket. Time limits of waits are generous;
//! where the router guarantees a time, the limit is that time.

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
mod logged;
mod losses;
mod peer_answers;
mod peers;
mod places;
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
mod retries;
mod returned;
mod returns;
mod rollouts;
mod seeds;
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
