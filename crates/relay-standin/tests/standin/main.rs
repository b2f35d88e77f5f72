//! The stand-ins do what tests of the relay count on.

use std::time::Duration;

mod server;
mod site;
mod store;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
