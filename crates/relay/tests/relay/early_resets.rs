//! Servers that answer before they have read the request, without a length, and whose
//! connection ends while the request is still being written.

use std::time::Duration;

use eyre::ensure;
use smol::Timer;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server::{EarlyEnd, Fault, Run, Server};
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::Client;

use crate::cut_heads::{self, ensure_served_or_refused, stream_settings, EVENTS};
use crate::harness::{
    ensure_served_by, ms, post, run, server_settings, stream_body, Executor, Result,
};
use crate::partition_harness::{Partitioned, PLAIN};

/// Bytes of a request: more than the buffers of a connection whose server does not read take.
const UPLOAD_BYTES: usize = 3 << 20;
/// Bytes of a request that a connection takes at once.
const SMALL_BYTES: usize = 8;
/// Early answers of each kind.
const ANSWERS: usize = 8;
/// Pause after a request that was not answered early.
const PAUSE: Duration = ms(20);

/// Resets with and without a pause after the part of the answer.
const RESETS: [Fault; 2] = [
    Fault::EarlyUnframed(EarlyEnd::Reset(Duration::ZERO)),
    Fault::EarlyUnframed(EarlyEnd::Reset(ms(2))),
];
/// An orderly end before the reset.
const SHUTDOWN: [Fault; 1] = [Fault::EarlyUnframed(EarlyEnd::Shutdown)];

fn upload(target: &str, attempt: &str, bytes: usize) -> Call {
    Call::new("POST", HOST, target, attempt).body(&vec![b'x'; bytes])
}

/// Whether the server answered a request before it had read it.
fn is_early(run: &Run) -> bool {
    run.ran() && run.body.is_none()
}

/// Whether a server answered this attempt before it had read it.
fn has_early(servers: &[&Server], attempt: &str) -> bool {
    let mut runs = servers.iter().flat_map(|server| server.runs());
    runs.any(|run| run.attempt == attempt && is_early(&run))
}

/// Checks that an answer is a server's whole one, or a refusal, or visibly incomplete.
fn ensure_not_cut_short(answer: &Answer, servers: &[&Server], attempt: &str) -> Result {
    let is_begun_stream = answer.status == 200 && answer.field("Content-Type").is_some();
    if is_begun_stream && !answer.complete {
        return Ok(());
    }
    ensure_served_or_refused(answer, servers, attempt)
}

/// What servers do, and how their answers are checked.
struct Play {
    faults: &'static [Fault],
    /// Size of the bodies of the requests.
    bytes: usize,
    check: fn(&Answer, &[&Server], &str) -> Result,
}

impl Play {
    /// Sends requests until enough were answered early; returns what was wrong. The others have
    /// to be served or refused: on a busy machine, another box may not be reached for a while.
    async fn run(
        &self,
        servers: &[&Server],
        targets: [&str; 2],
        mut send: impl AsyncFnMut(Call) -> Result<Answer>,
    ) -> Result<Vec<String>> {
        let mut wrong = Vec::new();
        for target in targets {
            for fault in self.faults {
                let (mut sent, mut early) = (0, 0);
                while early < ANSWERS {
                    servers.iter().for_each(|it| it.fault(*fault, 1));
                    let attempt = format!("{target}-{fault:?}-{sent}").replace(' ', "");
                    let answer = send(upload(target, &attempt, self.bytes)).await?;
                    servers.iter().for_each(|it| it.heal());
                    sent += 1;
                    let checked = if has_early(servers, &attempt) {
                        early += 1;
                        (self.check)(&answer, servers, &attempt)
                    } else {
                        Timer::after(PAUSE).await;
                        ensure_served_or_refused(&answer, servers, &attempt)
                    };
                    wrong.extend(checked.err().map(|error| error.to_string()));
                }
            }
        }
        Ok(wrong)
    }
}

fn ensure_none(wrong: &[String]) -> Result {
    ensure!(wrong.is_empty(), "{}: {}", wrong.len(), wrong.join("\n"));
    Ok(())
}

/// Plays early answers on connections of one box.
async fn play_direct(executor: Executor, play: Play) -> Result {
    let mut wrong = Vec::new();
    for (settings, targets) in [
        (server_settings as fn(u32) -> _, ["/o/x", "/r/x"]),
        (stream_settings, ["/u/x", "/s/x"]),
    ] {
        let (servers, harness) = cut_heads::start(executor.clone(), settings).await?;
        let known = [&servers[0], &servers[1]];
        let send = async |call: Call| harness.call(&call).await;
        wrong.extend(play.run(&known, targets, send).await?);
    }
    ensure_none(&wrong)
}

/// Plays early answers on connections that another box carries.
async fn play_through_another_box(executor: Executor, play: Play) -> Result {
    let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
    fleet.cut(&[0], Cut::Silent)?;
    fleet.adapt(0).await?;
    let known = fleet.all_servers().into_iter();
    let (plain, streams): (Vec<_>, Vec<_>) = known.partition(|it| it.settings().service == PLAIN);
    let mut wrong = Vec::new();
    for (known, targets) in [(plain, ["/o/x", "/r/x"]), (streams, ["/u/x", "/s/x"])] {
        let send = async |call: Call| fleet.boxes[0].call(&call).await;
        wrong.extend(play.run(&known, targets, send).await?);
    }
    ensure_none(&wrong)
}

/// Resets before the end of the answer.
fn resets(bytes: usize) -> Play {
    Play {
        faults: &RESETS,
        bytes,
        check: ensure_not_cut_short,
    }
}

/// Resets after the end of the answer.
fn shutdowns() -> Play {
    Play {
        faults: &SHUTDOWN,
        bytes: UPLOAD_BYTES,
        check: ensure_served_by,
    }
}

/// Guards against a part of an answer that clients get as all of it since the write of the
/// request was told of the reset.
#[test]
fn an_answer_that_is_reset_during_the_upload_is_not_complete() -> Result {
    run(async |executor| play_direct(executor, resets(UPLOAD_BYTES)).await)
}

/// Guards against the same where another box carries the connection and writes the request.
#[test]
fn an_answer_that_is_reset_during_the_upload_is_not_complete_through_another_box() -> Result {
    run(async |executor| play_through_another_box(executor, resets(UPLOAD_BYTES)).await)
}

/// Guards against the same of requests that are written before the answer begins.
#[test]
fn an_answer_that_is_reset_after_a_small_request_is_not_complete() -> Result {
    run(async |executor| play_direct(executor, resets(SMALL_BYTES)).await)
}

/// Guards against the same through another box.
#[test]
fn an_answer_that_is_reset_after_a_small_request_is_not_complete_through_another_box() -> Result {
    run(async |executor| play_through_another_box(executor, resets(SMALL_BYTES)).await)
}

/// Guards against an answer that is refused though its server has ended it in order, and
/// reset the connection only as it reads no more of the request.
#[test]
fn an_early_answer_that_ends_in_order_is_complete() -> Result {
    run(async |executor| play_direct(executor, shutdowns()).await)
}

/// Guards against the same through another box.
#[test]
fn an_early_answer_that_ends_in_order_is_complete_through_another_box() -> Result {
    run(async |executor| play_through_another_box(executor, shutdowns()).await)
}

/// Guards against a part of an answer that clients get as all of it where client and server
/// keep their connections.
#[test]
fn an_answer_that_is_reset_on_a_kept_connection_is_not_complete() -> Result {
    run(async |executor| {
        let (servers, harness) = cut_heads::start(executor, server_settings).await?;
        let known = [&servers[0], &servers[1]];
        let mut client = Client::open(harness.router_address()).await?;
        let mut wrong = Vec::new();
        for number in 0..ANSWERS {
            let before = format!("before-{number}");
            let answer = client.call(&post("/o/x", &before)).await;
            ensure_served_by(&answer, &known, &before)?;
            known.iter().for_each(|it| it.fault(RESETS[0], 1));
            let attempt = format!("kept-{number}");
            let answer = client.call(&upload("/o/x", &attempt, UPLOAD_BYTES)).await;
            known.iter().for_each(|it| it.heal());
            let checked = ensure_not_cut_short(&answer, &known, &attempt);
            wrong.extend(checked.err().map(|error| error.to_string()));
            if !answer.is_reusable() {
                client = Client::open(harness.router_address()).await?;
            }
        }
        let is_kept = |pair: &[Run]| pair[0].connection == pair[1].connection && is_early(&pair[1]);
        let has_kept = |server: &&Server| server.runs().windows(2).any(is_kept);
        ensure!(known.iter().any(has_kept), "no kept connection was reset");
        ensure_none(&wrong)
    })
}

/// Guards against a stream that looks complete since the answer that resumed it was reset
/// during the upload.
#[test]
fn a_stream_is_not_ended_by_a_reset_of_the_answer_that_resumes_it() -> Result {
    run(async |executor| {
        let (servers, harness) = cut_heads::start(executor, stream_settings).await?;
        let (mut wrong, mut resumed) = (Vec::new(), 0);
        for (number, fault) in RESETS.into_iter().enumerate() {
            for (first, second) in [(0, 1), (1, 0)] {
                servers[first].fault(Fault::CutEvent, 1);
                servers[second].fault(fault, 1);
                let attempt = format!("{number}-{first}");
                let answer = harness
                    .call(&upload("/s/x", &attempt, UPLOAD_BYTES))
                    .await?;
                servers.iter().for_each(Server::heal);
                let is_whole = answer.body == stream_body(1..=EVENTS);
                if answer.status == 200 && answer.complete && !is_whole {
                    wrong.push(format!("{attempt}: {answer:?}"));
                }
                resumed += servers.iter().filter(|it| it.ran(&attempt) > 0).count() / 2;
            }
        }
        ensure!(resumed > 0, "no stream was resumed");
        ensure_none(&wrong)
    })
}
