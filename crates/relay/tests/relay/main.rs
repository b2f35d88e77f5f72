//! A real router between stand-ins of its surroundings, over loopback.
//!
//! Each test has a store, servers, a router and a thread of its own, so that
//! they run side by side. What is asserted is what reached a socket; the time
//! limits of waits are generous, those of promises are the promises.

mod answers;
mod backoff;
mod box_harness;
mod choice_harness;
mod choose;
mod cold;
mod crash_harness;
mod crashes;
mod crashing;
mod crowd;
mod emptied_halls;
mod entries;
mod era_state;
mod eras;
mod fading;
mod harness;
mod impostors;
mod incarnations;
mod index;
mod invalid_entries;
mod keys;
mod leaving;
mod limits;
mod load;
mod local_view;
mod locations;
mod logged;
mod losses;
mod peer_answers;
mod peers;
mod port;
mod process;
mod raw;
mod recalled;
mod recover;
mod regions;
mod registry;
mod requests;
mod restore_cost;
mod restored_entries;
mod rollouts;
mod seeds;
mod sendings;
mod server_history;
mod shared;
mod sim;
mod sizes;
mod slow;
mod spread;
mod stop;
mod streams;
mod suspended;
mod trees;
