//! Connections to servers that another box carries.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_h1::Conn;
use tidepier_relay::message::link;
use tidepier_relay::message::tunnel::{Answer, Outcome, Request};
use tidepier_relay::message::{PeerRequest, VERSION};
use tidepier_relay_standin::names;
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server::{Fault, Outcome as RunOutcome};
use tidepier_relay_standin::site::Route;
use tidepier_relay_standin::Client;

use crate::box_harness::{address, register};
use crate::harness::{
    count_runs, ensure_not_executed, ensure_served_by, ms, run, wait_until, Result,
};
use crate::partition_harness::{call, Partitioned, PLAIN};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Asks a box for a tunnel as the box `name` at the address `source`.
async fn ask(
    fleet: &Partitioned,
    gateway: usize,
    source: IpAddr,
    name: &str,
    server: &str,
) -> Result<(Conn, Answer)> {
    let peer = fleet.boxes[gateway].peer;
    let mut conn = Conn::open_from(Some(source), peer, TIMEOUT, TIMEOUT).await?;
    let request = Request {
        version: VERSION,
        sender: name.parse()?,
        hall: "hall-1".parse()?,
        server: server.parse()?,
    };
    link::send(&conn, &PeerRequest::Tunnel(request)).await?;
    let answer = link::receive(&mut conn).await?;
    Ok((conn, answer))
}

// Guards against strangers that reach servers through the port for other boxes.
#[test]
fn only_a_registered_box_at_its_own_address_gets_a_tunnel() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        let stranger = address().ip();
        for (source, name) in [(stranger, "box-0"), (fleet.source(0), "box-7")] {
            let (_, answer) = ask(&fleet, 1, source, name, "plain-1").await?;
            ensure!(answer.outcome == Outcome::Stranger, "{name}: {answer:?}");
        }
        let (_, answer) = ask(&fleet, 1, fleet.source(0), "box-0", "plain-1").await?;
        ensure!(answer.outcome == Outcome::Opened, "{answer:?}");
        Ok(())
    })
}

// Guards against a box that cannot use others for as long as these have not read the list
// of boxes again since it joined.
#[test]
fn a_box_that_has_just_joined_gets_a_tunnel() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        let peer = address();
        register(&fleet.site, "box-9", "hall-1", peer)?;
        let (_, answer) = ask(&fleet, 1, peer.ip(), "box-9", "plain-1").await?;
        ensure!(answer.outcome == Outcome::Opened, "{answer:?}");
        Ok(())
    })
}

// Guards against tunnels to servers that are unknown or leaving, and against tunnels from
// box to box.
#[test]
fn a_gateway_opens_connections_to_servers_that_it_would_use_itself() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2", "hall-1"]).await?;
        let source = fleet.source(0);
        let (_, answer) = ask(&fleet, 1, source, "box-0", "nowhere").await?;
        ensure!(answer.outcome == Outcome::Ineligible, "{answer:?}");
        fleet.site.announce(&fleet.servers[0], State::Draining);
        let id = &fleet.servers[0].settings().id;
        let knows = async || Ok(!fleet.boxes[1].may_send_to(&fleet.servers[0])?);
        wait_until("leaving", knows).await?;
        let (_, answer) = ask(&fleet, 1, source, "box-0", id).await?;
        ensure!(answer.outcome == Outcome::Ineligible, "{answer:?}");
        // A box that reaches no server itself does not ask a third one.
        fleet.cut(&[1], Cut::Silent)?;
        fleet.adapt(1).await?;
        let (_, answer) = ask(&fleet, 1, source, "box-0", "plain-2").await?;
        ensure!(answer.outcome != Outcome::Opened, "{answer:?}");
        Ok(())
    })
}

// Guards against an answer that looks complete as the box that carried it is gone.
#[test]
fn an_answer_that_ends_with_its_connection_is_complete_if_its_server_ended_it() -> Result {
    run(|executor| async move {
        let mut fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        let streams = || {
            fleet
                .servers
                .iter()
                .filter(|it| it.settings().events.is_some())
        };
        streams().for_each(|server| server.fault(Fault::Unframed, u32::MAX));
        let answer = fleet.boxes[0].call(&call("/u/x", "whole")).await?;
        ensure_served_by(&answer, &fleet.all_servers(), "whole")?;
        streams().for_each(|server| server.slow(40.0));
        let address = fleet.boxes[0].router.client_address();
        let broken =
            executor.spawn(async move { Client::once(address, &call("/u/x", "cut")).await });
        wait_until("begun", async || {
            Ok(fleet.servers.iter().any(|it| {
                it.runs()
                    .iter()
                    .any(|run| run.attempt == "cut" && run.made.len() > 1)
            }))
        })
        .await?;
        drop(fleet.boxes.pop());
        let answer = broken.await?;
        ensure!(!answer.complete, "{answer:?}");
        Ok(())
    })
}

// Guards against an answer without a length that looks complete as the box that carries it
// closes a connection over which nothing has come for long.
#[test]
fn a_tunnel_that_is_closed_unused_states_no_end() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        let (mut conn, answer) = ask(&fleet, 1, fleet.source(0), "box-0", "plain-1").await?;
        ensure!(answer.outcome == Outcome::Opened, "{answer:?}");
        conn.carry(fleet.boxes[1].peer)?;
        let ended = conn.fill().await;
        ensure!(ended.is_err(), "ended as by the server: {ended:?}");
        Ok(())
    })
}

// Guards against requests that run on behind a tunnel after their client has left.
#[test]
fn a_client_that_leaves_ends_its_request_behind_a_tunnel() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        fleet.servers.iter().for_each(|server| server.slow(200.0));
        for target in ["/u/x", "/o/x"] {
            let leaving = call(target, target).leaving(ms(400));
            fleet.boxes[0].call(&leaving).await?;
            let left = Instant::now();
            let runs = || fleet.servers.iter().flat_map(|server| server.runs());
            let has_left = async || {
                Ok(runs().any(|run| run.attempt == target && run.outcome == RunOutcome::Left))
            };
            wait_until("left", has_left).await?;
            ensure!(left.elapsed() < ms(500), "{target}: {:?}", left.elapsed());
        }
        Ok(())
    })
}

// Guards against a request that runs twice, or runs though it was refused, when the box
// that carries it dies.
#[test]
fn requests_run_at_most_once_though_their_gateway_dies() -> Result {
    run(|executor| async move {
        let mut fleet = Partitioned::start(&executor, &["hall-1", "hall-2", "hall-2"]).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        let address = fleet.boxes[0].router.client_address();
        let mut calls = Vec::new();
        for number in 0..60 {
            let name = format!("once-{number}");
            calls.push(executor.spawn(async move {
                let answer = Client::once(address, &call("/o/x", &name)).await;
                (name, answer)
            }));
            Timer::after(ms(10)).await;
            if number == 30 {
                drop(fleet.boxes.remove(1));
            }
        }
        let (servers, mut served) = (fleet.all_servers(), 0);
        for task in calls {
            let (name, answer) = task.await;
            let (answer, runs) = (answer?, count_runs(&servers, &name));
            match answer.status {
                200 => ensure_served_by(&answer, &servers, &name)?,
                503 => ensure!(runs == 0, "{name} ran"),
                _ => {}
            }
            served += usize::from(answer.status == 200);
            ensure!(runs <= 1, "{name} ran {runs} times");
        }
        ensure!(served >= 50, "{served} of 60 served");
        Ok(())
    })
}

// Guards against callers that wait for nothing while no box reaches a server.
#[test]
fn boxes_that_reach_no_server_refuse_at_once() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.cut(&[0, 1], Cut::Silent)?;
        fleet.send("adapting", ms(1_500), 1).await?;
        let mut at_once = 0;
        for number in 0..40 {
            let name = format!("refused-{number}");
            let answer = fleet.boxes[0].call(&call("/o/x", &name)).await?;
            ensure_not_executed(&answer)?;
            at_once += usize::from(answer.elapsed < ms(50));
            Timer::after(ms(20)).await;
        }
        ensure!(at_once >= 30, "{at_once} of 40 refused at once");
        fleet.heal(&[0, 1])?;
        wait_until("served", async || {
            let answer = fleet.boxes[0].call(&call("/r/x", "healed")).await?;
            Ok(answer.status == 200)
        })
        .await
    })
}

// Guards against detours that outlast the partition.
#[test]
fn a_box_uses_its_own_connections_again_after_a_partition() -> Result {
    run(|executor| async move {
        let mut fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        fleet.heal(&[0])?;
        let relay = fleet.boxes[0].router.relay();
        let known: Vec<_> = relay
            .fleet
            .ids()
            .iter()
            .filter_map(|id| relay.fleet.get(id))
            .collect();
        wait_until("direct", async || {
            Ok(known.iter().all(|backend| !backend.is_detoured()))
        })
        .await?;
        drop(fleet.boxes.pop());
        let tries = fleet.send("direct", ms(500), 1).await?;
        tries[0].ensure_served()
    })
}

// Guards against streams that break off as the box that carries them shuts down.
#[test]
fn a_gateway_that_shuts_down_finishes_what_it_carries() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        // The work and five pauses of 5 ms take 3.6 s, longer than a box without requests
        // takes to shut down.
        fleet.servers.iter().for_each(|server| server.slow(120.0));
        let address = fleet.boxes[0].router.client_address();
        let call = call("/u/x", "stopping");
        let stream = executor.spawn(async move { Client::once(address, &call).await });
        Timer::after(ms(200)).await;
        fleet.boxes[1].router.stop().await;
        ensure!(stream.is_finished(), "stopped before the stream ended");
        let answer = stream.await?;
        ensure_served_by(&answer, &fleet.all_servers(), "stopping")
    })
}

// Guards against requests without an answer as the box that carries them exits.
#[test]
fn a_request_is_answered_though_its_gateway_exits_before_its_server_answers() -> Result {
    run(|executor| async move {
        let (fleet, mut gateway) = Partitioned::start_with_process(&executor).await?;
        let time = ms(20_000);
        let version = fleet.site.declare(&[Route {
            timeout: time,
            ..Route::new("/long/", Kind::AtMostOnce, PLAIN)
        }]);
        let relay = fleet.boxes[0].router.relay();
        // A request now would leave an idle connection to a server.
        wait_until("known", async || Ok(relay.view.version().0 == version)).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        // The work takes 20 s.
        fleet.servers.iter().for_each(|server| server.slow(4_000.0));
        let deadline = time.as_millis().to_string();
        let call = call("/long/x", "stopping").with(names::DEADLINE, &deadline);
        let (address, call) = (fleet.boxes[0].router.client_address(), call.leaving(time));
        let sent = executor.spawn(async move { Client::once(address, &call).await });
        let runs = || count_runs(&fleet.all_servers(), "stopping");
        wait_until("sent", async || Ok(runs() == 1)).await?;
        gateway.stop().await?;
        let answer = sent.await?;
        ensure!(answer.complete && answer.status == 502, "{answer:?}");
        ensure!(runs() == 1, "run again");
        Ok(())
    })
}

// Guards against bodies that a tunnel alters, and against one that holds all of them.
#[test]
fn large_bodies_pass_a_tunnel() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        let body: Vec<u8> = (0..700_000u32).map(|at| (at % 251) as u8).collect();
        let sent = call("/o/x", "large").body(&body);
        let answer = fleet.boxes[0].call(&sent).await?;
        ensure_served_by(&answer, &fleet.all_servers(), "large")?;
        let mut runs = fleet.servers.iter().flat_map(|server| server.runs());
        let run = runs
            .find(|run| run.attempt == "large")
            .ok_or_else(|| eyre!("not run"))?;
        ensure!(run.body.as_deref() == Some(&body[..]), "a wrong body");
        Ok(())
    })
}

// Guards against a box that crowds the one server that it reaches itself.
#[test]
fn a_box_that_reaches_one_server_uses_the_others_through_other_boxes() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        for server in fleet.servers.iter().skip(2) {
            server.partition(fleet.source(0), Cut::Silent)?;
        }
        fleet.send_to(0, "adapting", ms(2_000), 1).await;
        let counts = || -> Vec<usize> { fleet.servers.iter().map(|it| it.runs().len()).collect() };
        let before = counts();
        let tries = fleet.send_to(0, "after", ms(1_500), 4).await;
        tries.ensure_served()?;
        // Half of the requests go to each service of three servers.
        let mean = tries.sent as f64 / 6.0;
        for (server, (after, before)) in fleet.servers.iter().zip(counts().iter().zip(before)) {
            let got = after - before;
            let id = &server.settings().id;
            ensure!(
                got as f64 <= 2.0 * mean + 3.0,
                "{id} got {got}, the mean is {mean}"
            );
        }
        Ok(())
    })
}
