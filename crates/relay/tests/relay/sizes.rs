//! What a box does with a list of very many servers: each box takes whole lists
//! when it starts, and its one thread serves nothing meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{ensure, eyre};
use tidepier_clock::Instant;
use tidepier_core::era::Revision;
use tidepier_core::server::{Server, State};
use tidepier_relay::fleet::Fleet;
use tidepier_relay::message::follow::Row;
use tidepier_relay::server_history::History;

use crate::harness::{Result, SERVICE};

/// Servers of the shorter list.
const FEW: u16 = 500;
/// How many times as long the other list is.
const TIMES: u16 = 6;
/// Times as much work as the shorter list may cost at most: between the 6 of
/// work in proportion and the 36 of work in proportion to the square.
const WORK_MAX: f64 = 14.0;
/// Measurements, of which the least counts: others of the machine disturb it.
const MEASUREMENTS: usize = 3;

fn id<T: std::str::FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| eyre!("no id: {text}"))
}

fn server(number: u16, service: &str) -> Result<Server> {
    Ok(Server {
        id: id(&format!("i-{number}"))?,
        service: id(service)?,
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        hall: id("hall-1")?,
        slots: 16,
        release: None,
        state: State::Ready,
        born: None,
        cold: Duration::ZERO,
    })
}

/// Least time in which a box takes over a whole list.
fn taking(count: u16) -> Result<Duration> {
    let servers: Vec<Server> = (0..count)
        .map(|number| server(number, SERVICE))
        .collect::<Result<_>>()?;
    let service = id(SERVICE)?;
    let mut least = Duration::MAX;
    for _ in 0..MEASUREMENTS {
        let (fleet, record) = (Fleet::default(), History::default());
        let begin = Instant::now();
        for (revision, server) in (1..).map(Revision::of).zip(&servers) {
            let row = Row::new(server, revision);
            ensure!(!record.is_outdated(&row), "{revision} is not new");
            record.upsert(row);
            fleet.announce(server.clone(), Instant::now());
        }
        let served = fleet.serving(&service).len();
        least = least.min(begin.elapsed());
        ensure!(served == usize::from(count), "{served} serve");
    }
    Ok(least)
}

#[test]
fn a_list_of_many_servers_costs_work_in_proportion() -> Result {
    let few = taking(FEW)?;
    let many = taking(FEW * TIMES)?;
    let times = many.as_secs_f64() / few.as_secs_f64();
    ensure!(
        times < WORK_MAX,
        "{TIMES} times the servers take {times:.1} times as long: {few:?}, {many:?}"
    );
    Ok(())
}

#[test]
fn a_server_that_changes_its_service_leaves_the_old_one() -> Result {
    let fleet = Fleet::default();
    let (old, new) = (id("old")?, id("new")?);
    fleet.announce(server(1, "old")?, Instant::now());
    ensure!(fleet.serving(&old).len() == 1, "not announced");
    fleet.announce(server(1, "new")?, Instant::now());
    ensure!(fleet.serving(&new).len() == 1, "not moved");
    ensure!(fleet.serving(&old).is_empty(), "still at the old service");
    Ok(())
}
