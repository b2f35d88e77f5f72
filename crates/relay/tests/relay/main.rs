//! Tests of a real router with stand-ins for its environment, over loopback.
//!
//! Each test has its own store, servers, router and thread, so that tests run in
//! parallel. They assert what reached a socket. Time limits of waits are generous;
//! where the router guarantees a time, the limit is that time.

mod answers;
mod backoff;
mod box_harness;
mod choice_harness;
mod choose;
mod cold;
mod crash_harness;
mod crashes;
mod crashing;
mod emptied_halls;
mod entries;
mod era_state;
mod eras;
mod faulty_readers;
mod harness;
mod health;
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
mod retries;
mod rollouts;
mod seeds;
mod server_history;
mod shared;
mod sim;
mod sizes;
mod slow;
mod spread;
mod stop;
mod streams;
mod suspended;
mod traffic_tally;
mod trees;
