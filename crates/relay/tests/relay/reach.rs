//! Which servers a box reaches, as far as its own connections show.

use std::rc::Rc;

use eyre::ensure;
use tidepier_clock::Instant;
use tidepier_relay::fleet::reach::{Change, Opening};
use tidepier_relay::fleet::Backend;

use crate::choice_harness::{id, ChoiceHarness};
use crate::harness::{ms, Result};

/// A box and the servers of one hall.
fn group(numbers: &[u16]) -> Result<(ChoiceHarness, Vec<Rc<Backend>>)> {
    let harness = ChoiceHarness::new("hall-2", numbers.iter().copied())?;
    let servers = numbers
        .iter()
        .map(|number| harness.backend(&id(&format!("i-{number}"))?));
    let servers = servers.collect::<Result<_>>()?;
    Ok((harness, servers))
}

#[test]
fn one_failing_server_of_several_leaves_the_group_reached() -> Result {
    let (_harness, servers) = group(&[1, 3, 5])?;
    let (server, now) = (&servers[0], Instant::now());
    for time in [0, 150, 60_000] {
        let change = server
            .reach
            .record(server.key, Opening::TimedOut, now + ms(time));
        ensure!(change == Change::None, "{change:?}");
    }
    ensure!(!server.reach.is_unreached());
    Ok(())
}

#[test]
fn two_failing_servers_in_a_row_show_that_the_group_is_unreached() -> Result {
    let (_harness, servers) = group(&[1, 3, 5])?;
    let (reach, now) = (&servers[0].reach, Instant::now());
    reach.record(servers[0].key, Opening::Refused, now);
    let change = reach.record(servers[1].key, Opening::TimedOut, now);
    ensure!(change == Change::Lost, "{change:?}");
    // An opened connection to any of them refutes it.
    let change = reach.record(servers[1].key, Opening::Opened, now + ms(400));
    ensure!(change == Change::Restored(ms(400)), "{change:?}");
    let change = reach.record(servers[0].key, Opening::TimedOut, now + ms(500));
    ensure!(change == Change::None, "{change:?}");
    Ok(())
}

#[test]
fn the_only_server_of_a_group_shows_it_alone() -> Result {
    let (harness, servers) = group(&[1, 3])?;
    harness.fleet.remove(&servers[1].server.id);
    let change = servers[0]
        .reach
        .record(servers[0].key, Opening::TimedOut, Instant::now());
    ensure!(change == Change::Lost, "{change:?}");
    Ok(())
}

// Guards against requests that are refused as they are sent to servers that are known not to
// be reached, while others are.
#[test]
fn servers_that_nothing_reaches_are_avoided_for_a_while() -> Result {
    let (harness, servers) = group(&[1, 3, 2, 4])?;
    let now = Instant::now();
    for server in &servers[..2] {
        server.reach.record(server.key, Opening::TimedOut, now);
    }
    servers[0].reach.record_no_gateway(now);
    for _ in 0..100 {
        let chosen = harness.choose(None, &[])?.backend;
        ensure!(chosen.server.hall == servers[2].server.hall);
    }
    ensure!(!servers[0].is_healthy(now + ms(400)));
    ensure!(servers[0].is_healthy(now + ms(600)));
    Ok(())
}
