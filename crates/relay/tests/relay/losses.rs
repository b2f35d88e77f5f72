//! Servers that crash without notice.
//!
//! The load is that a third of all servers crash at once, and their entries remain for
//! some heartbeats. An ideal router, which knows which servers are running, refuses no
//! request as long as one server is left.

use std::time::Duration;

use eyre::ensure;
use tidepier_core::catalog::Cold;

use crate::harness::Result;
use crate::sim::{Outcome, Plan, Sim};

/// Time for which the entries of crashed servers remain.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);

/// 78 boxes before 90 servers, with the usual rate of requests of such a fleet. No
/// server is ever cold.
fn plan() -> Plan {
    Plan {
        boxes: vec![27, 28, 23],
        servers: vec![30, 30, 30],
        rate: 450.0,
        hot: 0.1,
        time: EXPIRY_TIME,
        max_wait: Duration::ZERO,
        cold: Cold {
            time: Duration::ZERO,
            per_s: 1_000.0,
        },
        bound: (1.0, 0.0),
    }
}

/// The outcome of losing the servers of each hall whose numbers are below `lost`.
fn losing(lost: u16, seed: u64) -> Result<Outcome> {
    let sim = Sim::new(plan(), seed)?;
    let ids: Vec<String> = (0..3)
        .flat_map(|hall| (0..lost).map(move |number| format!("i-{hall}-{number}")))
        .collect();
    sim.lose(|server| ids.iter().any(|id| id == server.id.as_str()))?;
    Ok(sim.play())
}

/// Each box finds out by itself which servers are running. When a request was refused
/// after five servers that were not, 2.5 in 1,000 were refused.
#[test]
fn a_third_of_the_servers_gone_costs_nobody_an_answer() -> Result {
    for seed in 0..3 {
        let outcome = losing(10, seed)?;
        let refused = outcome.refused_part();
        ensure!(refused < 0.001, "{refused:.4} refused");
        let vain = outcome.absent as f64 / outcome.asked as f64;
        ensure!(vain < 0.6, "{vain:.2} refused connections a request");
    }
    Ok(())
}

/// With two thirds gone few requests are refused, 1.2 in 1,000. When a request was
/// refused after five servers that were not running, 138 in 1,000 were.
#[test]
fn two_thirds_of_the_servers_gone_cost_few_an_answer() -> Result {
    for seed in 0..3 {
        let outcome = losing(20, seed)?;
        let refused = outcome.refused_part();
        ensure!(refused < 0.01, "{refused:.4} refused");
    }
    Ok(())
}
