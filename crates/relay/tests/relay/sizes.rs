//! Cost of applying a list of very many servers: each box applies complete lists when it
//! starts, and its only thread serves nothing meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{ensure, eyre};
use rustix::time::{clock_gettime, ClockId};
use tidepier_clock::Instant;
use tidepier_core::era::Revision;
use tidepier_core::server::{Server, State};
use tidepier_relay::fleet::Fleet;
use tidepier_relay::message::follow::Row;
use tidepier_relay::server_history::History;

use crate::harness::{Result, SERVICE};

/// Length of the shorter list.
const SERVERS: u16 = 500;
/// Length of the longer list, as a multiple of the shorter one.
const FACTOR: u16 = 6;
/// Most work for the longer list, as a multiple of the shorter one's: between 6, for
/// linear cost, and 36, for quadratic cost.
const WORK_FACTOR_MAX: f64 = 14.0;
/// Number of measurements. The shortest counts, since other load on the machine makes
/// some longer even in processor time.
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

/// Processor time that this thread has taken.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Shortest processor time in which a box applies a complete list.
fn time_to_apply(count: u16) -> Result<Duration> {
    let servers: Vec<Server> = (0..count)
        .map(|number| server(number, SERVICE))
        .collect::<Result<_>>()?;
    let service = id(SERVICE)?;
    let mut shortest = Duration::MAX;
    for _ in 0..MEASUREMENTS {
        let (fleet, record) = (Fleet::default(), History::default());
        let begin = processor_time();
        for (revision, server) in (1..).map(Revision::of).zip(&servers) {
            let row = Row::new(server, revision);
            ensure!(!record.is_outdated(&row), "{revision} is not new");
            record.upsert(row);
            fleet.announce(server.clone(), Instant::now());
        }
        let served = fleet.serving(&service).len();
        shortest = shortest.min(processor_time() - begin);
        ensure!(served == usize::from(count), "{served} serve");
    }
    Ok(shortest)
}

#[test]
fn the_cost_of_a_list_grows_linearly() -> Result {
    let few = time_to_apply(SERVERS)?;
    let many = time_to_apply(SERVERS * FACTOR)?;
    let times = many.as_secs_f64() / few.as_secs_f64();
    ensure!(
        times < WORK_FACTOR_MAX,
        "{FACTOR} times the servers take {times:.1} times as long: {few:?}, {many:?}"
    );
    Ok(())
}

#[test]
fn a_server_that_changes_its_service_is_removed_from_the_old_one() -> Result {
    let fleet = Fleet::default();
    let (old, new) = (id("old")?, id("new")?);
    fleet.announce(server(1, "old")?, Instant::now());
    ensure!(fleet.serving(&old).len() == 1, "not announced");
    fleet.announce(server(1, "new")?, Instant::now());
    ensure!(fleet.serving(&new).len() == 1, "not moved");
    ensure!(fleet.serving(&old).is_empty(), "still at the old service");
    Ok(())
}
