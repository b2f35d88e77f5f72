//! `tidepier-load decide`: the time that a keeper takes for a decision, called
//! directly.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_config::document::{Load, Priority};
use tidepier_ids as ids;
use tidepier_placement::{Ask, Ended, Pool, Ticket, Verdict};

/// Decisions in each measurement.
const DECISIONS: u32 = 20_000;

/// Measures a keeper's decisions.
#[derive(clap::Args)]
pub struct Command {}

/// Microseconds for one decision and the release of its place.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Line {
    /// By engines of the pool, with 10 accounts.
    pub engines_us: BTreeMap<u32, f64>,
    /// By accounts that hold places, with 11 engines.
    pub accounts_us: BTreeMap<u32, f64>,
}

impl Command {
    /// Measures and prints one JSON line.
    ///
    /// # Errors
    ///
    /// The line cannot be printed.
    pub fn execute(&self) -> eyre::Result<()> {
        let engines = [3, 11, 40, 150].map(|count| (count, decide(count, 10)));
        let accounts = [10, 50, 210].map(|count| (count, decide(11, count)));
        let line = Line {
            engines_us: engines.into_iter().collect(),
            accounts_us: accounts.into_iter().collect(),
        };
        println!("{}", serde_json::to_string(&line)?);
        Ok(())
    }
}

fn decide(engines: u32, accounts: u32) -> f64 {
    let now = Instant::now();
    let load = Load::default();
    let mut pool = Pool::new(load.clone(), now);
    let listed: Vec<_> = (0..engines)
        .map(|index| (name("engine", index), true))
        .collect();
    pool.configure(load, &listed);
    // Half of the pool's places are held, by all accounts in turn.
    let held = u64::from(engines) * 16;
    let mut open = std::collections::VecDeque::new();
    for number in 0..held {
        if let Verdict::Granted(grant) = pool.ask(ask(number, accounts), now) {
            open.push_back(grant.slot);
        }
    }
    let begun = Instant::now();
    for number in 0..u64::from(DECISIONS) {
        if let Verdict::Granted(grant) = pool.ask(ask(held + number, accounts), now) {
            open.push_back(grant.slot);
        }
        if let Some(slot) = open.pop_front() {
            pool.release(slot, Ended::Served, now);
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

fn name<T: std::str::FromStr>(kind: &str, index: u32) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{kind}-{index}")
        .parse()
        .expect("made names are valid")
}

fn ask(number: u64, accounts: u32) -> Ask {
    let spread = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    Ask {
        ticket: Ticket {
            from: name("box", (number % 58) as u32),
            number,
        },
        account: name("account", (number % u64::from(accounts)) as u32),
        share: 1,
        priority: Priority::Normal,
        prefix: ids::Prefix(spread),
        chat: ids::Chat(spread as u32),
        returning: number.is_multiple_of(2),
        prefer: None,
        avoid: Vec::new(),
        patience: Duration::from_secs(10),
    }
}
