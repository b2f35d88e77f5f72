//! Servers that stop in the middle of an answer's head.

use eyre::ensure;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server::{CutEnd, Fault, Server, Settings};
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::{names, Client};

use crate::harness::{
    ensure_served_by, ms, post, run, server_settings, site, stream_body, stream_server_settings,
    Executor, Harness, Result,
};
use crate::partition_harness::{self, Partitioned};

/// Lengths at which heads are cut: before and inside the first line, between and inside
/// fields, and before the last line ends.
const LENGTHS: [u16; 10] = [0, 1, 8, 12, 15, 17, 30, 60, 100, u16::MAX];
const ENDS: [CutEnd; 2] = [CutEnd::Close, CutEnd::Reset];
/// Events of a stream.
pub(crate) const EVENTS: u64 = 4;

fn cuts() -> impl Iterator<Item = Fault> {
    let of = |end| LENGTHS.map(|sent| Fault::CutHead { sent, end });
    ENDS.into_iter().flat_map(of)
}

/// Checks that an answer is the one that a server made, or a complete refusal.
pub(crate) fn ensure_served_or_refused(
    answer: &Answer,
    servers: &[&Server],
    attempt: &str,
) -> Result {
    if (200..300).contains(&answer.status) {
        return ensure_served_by(answer, servers, attempt);
    }
    ensure!(
        matches!(answer.status, 502..=504) && answer.complete,
        "{attempt}: {answer:?}"
    );
    ensure!(answer.field(names::SEAL).is_none(), "{answer:?}");
    Ok(())
}

/// Sends requests on one connection. Every second one reaches a server that cuts the head of
/// its answer.
async fn run_with_cuts(
    servers: [Server; 2],
    harness: Harness,
    method: &str,
    targets: &[&str],
) -> Result {
    let known = [&servers[0], &servers[1]];
    let mut client = Client::open(harness.router_address()).await?;
    for target in targets {
        let mut cut = 0;
        for (number, fault) in cuts().enumerate() {
            known.iter().for_each(|it| it.fault(fault, 1));
            let attempt = format!("{target}-{number}");
            let call = Call::new(method, HOST, target, &attempt);
            let answer = client.call(&call).await;
            ensure_served_or_refused(&answer, &known, &attempt)?;
            cut += usize::from(answer.status != 200);
            known.iter().for_each(|it| it.heal());
            if answer.field("Connection") == Some("close") {
                client = Client::open(harness.router_address()).await?;
            }
            // The connections of the client and of the servers carry the right answers.
            let attempt = format!("{attempt}-after");
            let answer = client.call(&post(target, &attempt)).await;
            ensure_served_or_refused(&answer, &known, &attempt)?;
        }
        ensure!(cut > 0, "{target}: no head was cut");
    }
    Ok(())
}

pub(crate) async fn start(
    executor: Executor,
    settings: impl Fn(u32) -> Settings,
) -> Result<([Server; 2], Harness)> {
    let site = site()?;
    let servers = [site.server(settings(1))?, site.server(settings(2))?];
    Ok((servers, Harness::start_ready(executor, site).await?))
}

pub(crate) fn stream_settings(number: u32) -> Settings {
    stream_server_settings(number, EVENTS, ms(2))
}

/// Guards against a 200 with an empty or short body whose server stopped in the middle of
/// the head.
#[test]
fn an_answer_whose_head_is_cut_is_not_forwarded() -> Result {
    run(async |executor| {
        let (servers, harness) = start(executor, server_settings).await?;
        run_with_cuts(servers, harness, "POST", &["/r/x", "/o/x"]).await
    })
}

/// Guards against the same for requests whose answers have no body.
#[test]
fn an_answer_to_head_is_not_forwarded_if_it_is_cut() -> Result {
    run(async |executor| {
        let (servers, harness) = start(executor, server_settings).await?;
        run_with_cuts(servers, harness, "HEAD", &["/o/x"]).await
    })
}

/// Guards against an empty stream that looks complete whose server stopped in the middle of
/// the head.
#[test]
fn a_stream_whose_head_is_cut_is_not_forwarded() -> Result {
    run(async |executor| {
        let (servers, harness) = start(executor, stream_settings).await?;
        run_with_cuts(servers, harness, "POST", &["/s/x", "/u/x"]).await
    })
}

/// Guards against a stream that ends early, and looks complete, as the server that was to
/// resume it stopped in the middle of the head.
#[test]
fn a_stream_is_not_ended_by_a_cut_head_of_the_server_that_resumes_it() -> Result {
    run(async |executor| {
        let (servers, harness) = start(executor, stream_settings).await?;
        let mut resumed = 0;
        for (number, fault) in cuts().enumerate() {
            for (first, second) in [(0, 1), (1, 0)] {
                servers[first].fault(Fault::CutEvent, 1);
                servers[second].fault(fault, 1);
                let attempt = format!("{number}-{first}");
                let answer = harness.post("/s/x", &attempt).await?;
                servers.iter().for_each(Server::heal);
                if answer.status == 200 && answer.complete {
                    let whole = stream_body(1..=EVENTS);
                    ensure!(answer.body == whole, "{attempt}: {answer:?}");
                }
                resumed += servers.iter().filter(|it| it.ran(&attempt) > 0).count() / 2;
            }
        }
        ensure!(resumed > 0, "no stream was resumed");
        Ok(())
    })
}

/// Guards against a client that waits without end, or gets a 200, as a head is not completed.
#[test]
fn a_head_that_is_never_completed_is_refused_at_the_deadline() -> Result {
    run(async |executor| {
        let (servers, harness) = start(executor, server_settings).await?;
        let known = [&servers[0], &servers[1]];
        for sent in LENGTHS {
            let end = CutEnd::Open;
            known
                .iter()
                .for_each(|it| it.fault(Fault::CutHead { sent, end }, 1));
            let attempt = format!("open-{sent}");
            let call = post("/o/x", &attempt).with(names::DEADLINE, "300");
            let answer = harness.call(&call).await?;
            known.iter().for_each(|it| it.heal());
            ensure!(answer.elapsed < ms(1_000), "{attempt}: {answer:?}");
            ensure_served_or_refused(&answer, &known, &attempt)?;
        }
        Ok(())
    })
}

/// Guards against the same where another box carries the connection: its end has to arrive
/// as what it was.
#[test]
fn an_answer_whose_head_is_cut_is_not_forwarded_through_another_box() -> Result {
    run(async |executor| {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        let known = fleet.all_servers();
        let mut cut = 0;
        for (number, fault) in cuts().enumerate() {
            for target in ["/o/x", "/r/x", "/u/x", "/s/x"] {
                known.iter().for_each(|it| it.fault(fault, 1));
                let attempt = format!("{target}-{number}");
                let call = partition_harness::call(target, &attempt);
                let answer = fleet.boxes[0].call(&call).await?;
                known.iter().for_each(|it| it.heal());
                ensure_served_or_refused(&answer, &known, &attempt)?;
                cut += usize::from(answer.status != 200);
            }
        }
        ensure!(cut > 0, "no head was cut");
        Ok(())
    })
}
