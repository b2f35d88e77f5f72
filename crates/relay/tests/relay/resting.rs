//! Servers that ask for rest when they turn a request away.
//!
//! Seen: a server asked a box for three seconds of rest and got ten requests of it in
//! that time, each of them turned away, while most servers of its service had room;
//! over a tenth of the callers were not served.

use std::time::{Duration, Instant};

use eyre::ensure;
use smol::Timer;
use tidepier_relay_standin::server::{Fault, Run, Server};

use crate::house::{ms, pair, run, House, Result};

/// Time after the first word from which the server gets no more than [`BORNE`].
const HEARD_TIME: Duration = Duration::from_millis(500);
/// Requests that may come in the time that a server asked for.
const BORNE: usize = 2;

/// Sends requests of all kinds in turn for so long, and counts those that were served.
pub(crate) async fn ask(house: &House, name: &str, time: Duration) -> Result<(usize, usize)> {
    let start = Instant::now();
    let (mut sent, mut served) = (0, 0);
    while start.elapsed() < time {
        let target = ["/r/x", "/o/x"][sent % 2];
        let answer = house.post(target, &format!("{name}-{sent}")).await?;
        sent += 1;
        served += usize::from(answer.status == 200);
        Timer::after(ms(10)).await;
    }
    Ok((sent, served))
}

/// Requests that reached a server between two times after it first turned one away.
pub(crate) fn reached(server: &Server, from: Duration, to: Duration) -> usize {
    let runs = server.runs();
    let Some(first) = runs.iter().find(|run| !run.ran()).map(|run| run.arrived) else {
        return 0;
    };
    let within = |run: &&Run| run.arrived > first + from && run.arrived < first + to;
    runs.iter().filter(within).count()
}

#[test]
fn a_server_that_asks_for_rest_has_it() -> Result {
    run(async |executor| {
        let (near, far, house) = pair(executor).await?;
        ask(&house, "before", ms(300)).await?;
        near.ask_rest(Some("2.5"));
        near.fault(Fault::Shed, u32::MAX);
        let (sent, served) = ask(&house, "after", ms(2_400)).await?;
        ensure!(
            near.runs().iter().any(|run| !run.ran()),
            "the case did not arise"
        );
        let late = reached(&near, HEARD_TIME, ms(2_500));
        ensure!(late <= BORNE, "{late} requests for a server that rests");
        // The other one has room for all, but for the one that the first turned away.
        ensure!(served + 1 >= sent, "{served} of {sent} served");
        ensure!(!far.runs().is_empty(), "the other one got none");
        Ok(())
    })
}
