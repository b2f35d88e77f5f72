//! Tests that the stand-ins behave as tests of the relay expect.

use std::time::Duration;

mod odd;
mod server;
mod site;
mod store;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
