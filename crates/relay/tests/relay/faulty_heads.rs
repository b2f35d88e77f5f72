//! Servers whose answers have a line that no answer has: as the status line, among the fields,
//! in an interim answer, or after the last chunk.

use eyre::ensure;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server::{Fault, Place, Server, Settings};
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::{names, Client};

use crate::cut_heads::{self, ensure_served_or_refused, stream_settings, EVENTS};
use crate::harness::{
    ensure_served_by, ms, post, run, server_settings, site, stream_body, Harness, Result,
};
use crate::partition_harness::{self, Partitioned};
use crate::raw::Raw;

/// Lines that no answer begins with.
const STATUS_LINES: [&str; 17] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.1 001 Own",
    "HTTP/1.1 099",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Own",
    "HTTP/1.1 999",
    "GET / HTTP/1.1",
    "POST /o/x HTTP/1.0",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/2.0 200 OK",
    "http/1.1 200 OK",
    "\r\nHTTP/1.1 200 OK",
];

/// Lines that are no field.
const FIELDS: [&str; 20] = [
    "X Odd: 1",
    "X-Odd : 1",
    " X-Odd: 1",
    "\tX-Odd: 1",
    "X\tOdd: 1",
    "X\x01Odd: 1",
    "X\0Odd: 1",
    "X\x7fOdd: 1",
    "X(Odd): 1",
    ": 1",
    "no colon",
    "X-Odd: \x01",
    "X-Odd: 1\r 2",
    "HTTP/1.1 200 OK",
    "Content-Length : 1",
    "Content Length: 1",
    "Content-Length\x01: 1",
    "Transfer-Encoding : gzip",
    "Transfer\x02Encoding: gzip",
    "\x1fConnection: close",
];

/// Time in which a client gets an answer, whatever a server sends.
const ANSWER_TIME: std::time::Duration = ms(1_000);

fn faults(place: Place, texts: &[&'static str]) -> Vec<Fault> {
    let fault = |text: &&'static str| Fault::Line { place, text };
    texts.iter().map(fault).collect()
}

/// The faults of all fields, wherever they may be.
fn field_faults() -> Vec<Fault> {
    let mut all = faults(Place::Field, &FIELDS);
    all.extend(faults(Place::Trailer, &FIELDS));
    all.extend(faults(Place::Interim, &INTERIM));
    all
}

/// Interim answers with such lines.
const INTERIM: [&str; 3] = [
    "HTTP/1.1 100 Continue\r\nX Odd: 1",
    "HTTP/1.1 102 Processing\r\nX\x01Odd: 1",
    "HTTP/1.1 103 Early Hints\r\n: 1",
];

/// Sends requests on connections of which each carries a faulty answer and one without a fault;
/// returns what was wrong.
async fn play(
    servers: &[Server; 2],
    harness: &Harness,
    method: &str,
    targets: &[&str],
    faults: &[Fault],
) -> Result<Vec<String>> {
    let known = [&servers[0], &servers[1]];
    let mut wrong = Vec::new();
    for (target, (number, fault)) in targets
        .iter()
        .flat_map(|target| std::iter::repeat(target).zip(faults.iter().enumerate()))
    {
        let mut client = Client::open(harness.router_address()).await?;
        known.iter().for_each(|it| it.fault(*fault, 1));
        let attempt = format!("{target}-{number}");
        let answer = client
            .call(&Call::new(method, HOST, target, &attempt))
            .await;
        known.iter().for_each(|it| it.heal());
        let mut checked = ensure_in_time(&answer)
            .and_then(|()| ensure_served_or_refused(&answer, &known, &attempt));
        if answer.field("Connection") != Some("close") && checked.is_ok() {
            let attempt = format!("{attempt}-after");
            let answer = client.call(&post(target, &attempt)).await;
            checked = ensure_served_or_refused(&answer, &known, &attempt);
        }
        wrong.extend(checked.err().map(|error| format!("{fault:?}: {error}")));
    }
    Ok(wrong)
}

fn ensure_in_time(answer: &Answer) -> Result {
    ensure!(answer.elapsed < ANSWER_TIME, "late: {answer:?}");
    Ok(())
}

fn ensure_none(wrong: &[String]) -> Result {
    ensure!(wrong.is_empty(), "{}", wrong.join("\n"));
    Ok(())
}

/// Plays faults on whole answers and on streams.
fn play_direct(faults: &[Fault]) -> Result {
    run(async |executor| {
        let plays: [(fn(u32) -> Settings, _, _); 3] = [
            (server_settings, "POST", ["/r/x", "/o/x"]),
            (server_settings, "HEAD", ["/r/x", "/o/x"]),
            (stream_settings, "POST", ["/s/x", "/u/x"]),
        ];
        let mut wrong = Vec::new();
        for (settings, method, targets) in plays {
            let (servers, harness) = cut_heads::start(executor.clone(), settings).await?;
            wrong.extend(play(&servers, &harness, method, &targets, faults).await?);
        }
        ensure_none(&wrong)
    })
}

/// Plays faults of the server that is to resume a stream.
fn play_resumed(faults: &[Fault]) -> Result {
    run(async |executor| {
        let (servers, harness) = cut_heads::start(executor, stream_settings).await?;
        let (mut wrong, mut resumed) = (Vec::new(), 0);
        for (number, fault) in faults.iter().enumerate() {
            for (first, second) in [(0, 1), (1, 0)] {
                servers[first].fault(Fault::CutEvent, 1);
                servers[second].fault(*fault, 1);
                let attempt = format!("{number}-{first}");
                let answer = harness.post("/s/x", &attempt).await?;
                servers.iter().for_each(Server::heal);
                let is_whole = answer.body == stream_body(1..=EVENTS);
                if answer.status == 200 && answer.complete && !is_whole {
                    wrong.push(format!("{fault:?}: {answer:?}"));
                }
                resumed += servers.iter().filter(|it| it.ran(&attempt) > 0).count() / 2;
            }
        }
        ensure!(resumed > 0, "no stream was resumed");
        ensure_none(&wrong)
    })
}

/// Plays faults on connections that another box carries.
fn play_through_another_box(faults: &[Fault]) -> Result {
    run(async |executor| {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.cut(&[0], Cut::Silent)?;
        fleet.adapt(0).await?;
        let known = fleet.all_servers();
        let mut wrong = Vec::new();
        for (number, fault) in faults.iter().enumerate() {
            for target in ["/o/x", "/r/x", "/u/x", "/s/x"] {
                known.iter().for_each(|it| it.fault(*fault, 1));
                let attempt = format!("{target}-{number}");
                let call = partition_harness::call(target, &attempt);
                let answer = fleet.boxes[0].call(&call).await?;
                known.iter().for_each(|it| it.heal());
                let checked = ensure_served_or_refused(&answer, &known, &attempt);
                wrong.extend(checked.err().map(|error| format!("{fault:?}: {error}")));
            }
        }
        ensure_none(&wrong)
    })
}

/// Guards against an answer whose status is none (`000`), and one that begins with the first
/// line of a request, which reached clients as answers.
#[test]
fn an_answer_without_a_valid_status_is_not_forwarded() -> Result {
    play_direct(&faults(Place::Status, &STATUS_LINES))
}

/// Guards against the same of the server that resumes a stream.
#[test]
fn a_stream_is_not_resumed_by_an_answer_without_a_valid_status() -> Result {
    play_resumed(&faults(Place::Status, &STATUS_LINES))
}

/// Guards against the same where another box carries the connection.
#[test]
fn an_answer_without_a_valid_status_is_not_forwarded_through_another_box() -> Result {
    play_through_another_box(&faults(Place::Status, &STATUS_LINES))
}

/// Guards against a promise that a request was not executed that rests on bytes that are no
/// answer, and against one that begins with them on a connection of which another follows.
#[test]
fn what_an_answer_without_a_valid_status_says_is_not_believed() -> Result {
    run(async |executor| {
        let site = site()?;
        let _raw = Raw::start(&executor, &site, "i-raw", |request| {
            let attempt = &request.attempt;
            Some(format!(
                "HTTP/1.1 000 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\
                 Retry-After: 1\r\nContent-Length: 0\r\n\r\n"
            ))
        })?;
        let harness = Harness::start_ready(executor, site).await?;
        let answer = harness.post("/o/x", "attempt-1").await?;
        ensure!(answer.status == 502 && answer.complete, "{answer:?}");
        ensure!(answer.field(names::SEAL).is_none(), "{answer:?}");
        Ok(())
    })
}

/// Guards against an answer to another request whose status is none, after which the right one
/// was taken.
#[test]
fn a_surplus_answer_without_a_valid_status_ends_its_connection() -> Result {
    run(async |executor| {
        let site = site()?;
        let _raw = Raw::start(&executor, &site, "i-raw", |request| {
            let odd = "HTTP/1.1 000 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n";
            Some(odd.to_owned() + &crate::raw::answer(&request.attempt, true))
        })?;
        let sound = site.server(server_settings(2))?;
        let harness = Harness::start_ready(executor, site).await?;
        let answer = harness.post("/r/x", "attempt-1").await?;
        ensure_served_by(&answer, &[&sound], "attempt-1")
    })
}

/// Guards against a line with an odd name that is passed on, and against a body that is not
/// the server's after it.
#[test]
fn an_answer_with_an_odd_field_is_not_forwarded() -> Result {
    play_direct(&field_faults())
}

/// Guards against the same of the server that resumes a stream.
#[test]
fn a_stream_is_not_resumed_by_an_answer_with_an_odd_field() -> Result {
    play_resumed(&field_faults())
}

/// Guards against the same where another box carries the connection.
#[test]
fn an_answer_with_an_odd_field_is_not_forwarded_through_another_box() -> Result {
    play_through_another_box(&field_faults())
}
