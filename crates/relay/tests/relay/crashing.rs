//! Requests that crash the servers that run them.
//!
//! Guards against the following failure: servers crashed one after the other, two dozen
//! under one request, and each took the requests of other clients with it. The client
//! sent the request again to any box, each time as a new attempt, and each box forwarded
//! it to the next server. The cause was that a box identified a request by its attempt
//! alone, so that nothing showed that the request had been at this or another box
//! before, and that its servers had crashed. The logs of the boxes show this: a request
//! of one account about one subject was at each server that crashed, forwarded once per
//! attempt. The first test here reproduces it.

use std::time::Duration;

use eyre::ensure;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::server::State;
use tidepier_relay::content::{Fingerprint, Parts};
use tidepier_relay::crash::table::REFUSED_MIN;
use tidepier_relay_standin::client::Answer;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Server};
use tidepier_relay_standin::site::HOST;

use crate::box_harness::{self, site_with_keys, TestBox};
use crate::crash_harness::{
    fleet, request, send_repeatedly, with_replacements, Servers, CRASHES, GRACE_PERIOD,
};
use crate::harness::{self, ensure_not_executed, ms, run, wait_until, Result};

/// Attempts that all boxes together may still forward after all of them know.
const LATE_MAX: usize = 3;
/// Body of the request that crashes its servers.
const CRASHING: &[u8] = b"ends its server";

#[test]
fn a_request_that_crashes_its_servers_is_forwarded_no_more() -> Result {
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &[CRASHING]).await?;
        let repeated = send_repeatedly(&test_boxes, "/o/x", CRASHING, ms(8_000));
        let answers = with_replacements(&servers, &site, repeated).await?;
        let (crashed, late) = (servers.crashes(CRASHING).len(), servers.late(CRASHING));
        ensure!(
            crashed >= CRASHES,
            "the case did not arise: {crashed} crashed"
        );
        let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
        ensure!(
            late <= LATE_MAX,
            "{late} late requests, {crashed} crashed, {statuses:?}"
        );
        Ok(())
    })
}

/// Checks that a request crashed servers, and was forwarded no more than [`LATE_MAX`]
/// times since all boxes know of it.
fn crashed_few(servers: &Servers, body: &[u8]) -> Result {
    let (crashed, late) = (servers.crashes(body).len(), servers.late(body));
    let text = String::from_utf8_lossy(body);
    ensure!(
        crashed >= CRASHES,
        "{text}: the case did not arise: {crashed} crashed"
    );
    ensure!(
        late <= LATE_MAX,
        "{text}: {late} late requests, {crashed} crashed"
    );
    Ok(())
}

/// The same on a route of another kind.
fn on_route(target: &'static str) -> Result {
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &[CRASHING]).await?;
        let repeated = send_repeatedly(&test_boxes, target, CRASHING, ms(7_000));
        with_replacements(&servers, &site, repeated).await?;
        crashed_few(&servers, CRASHING)
    })
}

#[test]
fn a_repeatable_request_that_crashes_its_servers_is_forwarded_no_more() -> Result {
    on_route("/r/x")
}

#[test]
fn a_stream_that_crashes_its_servers_is_forwarded_no_more() -> Result {
    on_route("/u/x")
}

#[test]
fn a_resumable_stream_that_crashes_its_servers_is_forwarded_no_more() -> Result {
    on_route("/s/x")
}

#[test]
fn several_requests_that_crash_their_servers_are_forwarded_no_more() -> Result {
    const OTHERS: [&[u8]; 3] = [CRASHING, b"ends it too", b"and so does this"];
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &OTHERS).await?;
        let [first, second, third] = OTHERS;
        let repeated = futures_lite::future::try_zip(
            send_repeatedly(&test_boxes, "/o/x", first, ms(8_000)),
            futures_lite::future::try_zip(
                send_repeatedly(&test_boxes[1..], "/o/x", second, ms(8_000)),
                send_repeatedly(&test_boxes, "/u/x", third, ms(8_000)),
            ),
        );
        with_replacements(&servers, &site, repeated).await?;
        OTHERS
            .iter()
            .try_for_each(|body| crashed_few(&servers, body))
    })
}

/// The client is refused at once, with a true promise that the request was not run and
/// with a retry delay after which the outcome may differ. Other requests with the same
/// path are served.
#[test]
fn a_refused_request_gets_a_true_refusal_at_once() -> Result {
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &[CRASHING]).await?;
        let test = async {
            send_repeatedly(&test_boxes, "/o/x", CRASHING, ms(1_500)).await?;
            Timer::after(GRACE_PERIOD).await;
            for test_box in &test_boxes {
                let before = servers.arrivals(CRASHING).len();
                let start = Instant::now();
                let attempt = format!("refused-{}", test_box.name);
                let answer = test_box.call(&request("/o/x", &attempt, CRASHING)).await?;
                ensure_not_executed(&answer)?;
                ensure!(start.elapsed() < ms(250), "after {:?}", start.elapsed());
                let wait = answer.field(names::RETRY_AFTER).unwrap_or("0");
                let left = Duration::from_secs_f64(wait.parse()?);
                ensure!(
                    left > REFUSED_MIN / 2 && left <= 8 * REFUSED_MIN,
                    "{left:?}"
                );
                ensure!(servers.arrivals(CRASHING).len() == before, "it was sent");
                let other = format!("other-{}", test_box.name);
                let answer = test_box.call(&request("/o/x", &other, b"harmless")).await?;
                ensure!(answer.status == 200, "{answer:?}");
            }
            Ok(())
        };
        with_replacements(&servers, &site, test).await
    })
}

/// A box that has just started, and one that was suspended while the others learned of
/// the crashes.
#[test]
fn boxes_that_were_not_running_learn_what_is_refused() -> Result {
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &[CRASHING]).await?;
        let test = async {
            test_boxes[1].freeze(true);
            send_repeatedly(&test_boxes[..1], "/o/x", CRASHING, ms(2_500)).await?;
            test_boxes[1].freeze(false);
            let late = TestBox::start(&executor, &site, "box-9", "hall-2", 3_000).await?;
            box_harness::wait_until_ready(std::slice::from_ref(&late)).await?;
            Timer::after(GRACE_PERIOD).await;
            let before = servers.arrivals(CRASHING).len();
            for test_box in test_boxes.iter().chain([&late]) {
                let attempt = format!("late-{}", test_box.name);
                let answer = test_box.call(&request("/o/x", &attempt, CRASHING)).await?;
                ensure!(answer.status == 503, "{}: {answer:?}", test_box.name);
            }
            let sent = servers.arrivals(CRASHING).len() - before;
            ensure!(sent == 0, "sent {sent} times");
            crashed_few(&servers, CRASHING)
        };
        with_replacements(&servers, &site, test).await
    })
}

/// The hub of the hall is suspended from the first crash on.
#[test]
fn boxes_learn_what_is_refused_without_their_hub() -> Result {
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &[CRASHING]).await?;
        let test = async {
            send_repeatedly(&test_boxes[1..2], "/o/x", CRASHING, ms(100)).await?;
            test_boxes[0].freeze(true);
            send_repeatedly(&test_boxes[1..], "/o/x", CRASHING, ms(8_000)).await
        };
        with_replacements(&servers, &site, test).await?;
        crashed_few(&servers, CRASHING)
    })
}

/// Ten requests run at a server that crashes, and one of them is the cause. The others
/// are still served, on all boxes.
#[test]
fn requests_that_ran_beside_the_cause_are_served() -> Result {
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &[CRASHING]).await?;
        let beside_it: Vec<String> = (0..10)
            .map(|number| format!("bystander {number}"))
            .collect();
        let test = async {
            let guilty = send_repeatedly(&test_boxes, "/o/x", CRASHING, ms(5_000));
            let others = async {
                let start = Instant::now();
                let mut refused = 0;
                for round in 0.. {
                    if start.elapsed() > ms(5_000) {
                        break;
                    }
                    for (number, body) in beside_it.iter().enumerate() {
                        let test_box = &test_boxes[(round + number) % test_boxes.len()];
                        let attempt = format!("by-{round}-{number}");
                        let call = request("/r/x", &attempt, body.as_bytes());
                        let answer = test_box.call(&call).await?;
                        // A request that was in flight at two servers that crashed is
                        // answered with 503.
                        refused += usize::from(answer.status == 503);
                    }
                }
                Ok(refused)
            };
            futures_lite::future::try_zip(guilty, others).await
        };
        let (_, refused) = with_replacements(&servers, &site, test).await?;
        ensure!(
            servers.crashes(CRASHING).len() >= CRASHES,
            "the case did not arise"
        );
        ensure!(refused == 0, "{refused} refused");
        let held = test_boxes.iter().map(|it| {
            it.router
                .relay()
                .crashes
                .table
                .count_refused(Instant::now())
        });
        let held: Vec<usize> = held.collect();
        ensure!(held.iter().all(|count| *count <= 1), "{held:?} refused");
        Ok(())
    })
}

/// Whether a refusal has a retry delay that only the refusal of a content has.
fn is_for_content(answer: &Answer) -> bool {
    let wait = answer.field(names::RETRY_AFTER);
    let wait = wait.and_then(|wait| wait.parse::<f64>().ok());
    wait.is_some_and(|wait| wait > 30.0)
}

/// Servers that crash for reasons of their own, a third of them at once and one after
/// the other, do not get a request refused that is sent again and again.
#[test]
fn requests_are_served_though_servers_crash_by_themselves() -> Result {
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &[]).await?;
        let test = async {
            let ending = async {
                for number in 0..12 {
                    Timer::after(ms(400)).await;
                    servers.crash_some(if number % 4 == 0 { 3 } else { 1 });
                }
                Ok(())
            };
            let asked = async {
                let mut refused = Vec::new();
                for round in 0..60 {
                    for (number, test_box) in test_boxes.iter().enumerate() {
                        let attempt = format!("innocent-{round}-{number}");
                        let body = format!("the same again {}", round % 5);
                        let call = request("/r/x", &attempt, body.as_bytes());
                        let answer = test_box.call(&call).await?;
                        if is_for_content(&answer) {
                            refused.push(attempt);
                        }
                    }
                    Timer::after(ms(40)).await;
                }
                Ok(refused)
            };
            futures_lite::future::try_zip(ending, asked).await
        };
        let ((), refused) = with_replacements(&servers, &site, test).await?;
        ensure!(refused.is_empty(), "refused: {refused:?}");
        Ok(())
    })
}

/// A network cut closes connections, and new ones at once. No server crashed.
#[test]
fn a_network_cut_is_no_crash() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = Server::start(server::Settings {
            work: ms(150),
            ..harness::server_settings(1)
        })?;
        let way = box_harness::Proxy::open(&executor, server.address()).await?;
        site.announce_at(&server, way.address(), State::Ready);
        let harness = harness::Harness::start_ready(executor, site).await?;
        for number in 0..5 {
            let attempt = format!("cut-{number}");
            let call = request("/o/x", &attempt, b"harmless");
            let cut = async {
                wait_until("running", async || Ok(server.running() == 1)).await?;
                way.cut();
                Timer::after(ms(600)).await;
                way.restore_link();
                Ok(())
            };
            let (answer, ()) = futures_lite::future::try_zip(harness.call(&call), cut).await?;
            ensure!(answer.status == 502, "{answer:?}");
            // The box ejects the server for a while after failures in a row.
            let mut number = 0;
            wait_until("served again", async || {
                number += 1;
                let call = request("/o/y", &format!("{attempt}-{number}"), b"another");
                Ok(harness.call(&call).await?.status == 200)
            })
            .await?;
        }
        let known = harness.router.relay().crashes.table.len();
        ensure!(known == 0, "{known} contents are suspected");
        Ok(())
    })
}

/// The operator allows a content again at one box; all others learn of it.
#[test]
fn the_operator_cancels_a_refusal() -> Result {
    run(async |executor| {
        let (site, servers, test_boxes) = fleet(&executor, &[CRASHING]).await?;
        let test = async {
            send_repeatedly(&test_boxes, "/o/x", CRASHING, ms(2_000)).await?;
            Timer::after(ms(1_500)).await;
            // Servers no longer crash under it from now on.
            servers.mend();
            let content = Fingerprint::new(&Parts {
                method: "POST",
                host: HOST,
                target: "/o/x",
                caller: "",
                body: CRASHING,
            });
            for test_box in &test_boxes {
                let answer = test_box.call(&request("/o/x", "before", CRASHING)).await?;
                ensure!(answer.status == 503, "{}: {answer:?}", test_box.name);
            }
            test_boxes[2].pardon(content)?;
            Timer::after(ms(2_500)).await;
            for test_box in &test_boxes {
                let attempt = format!("after-{}", test_box.name);
                let answer = test_box.call(&request("/o/x", &attempt, CRASHING)).await?;
                ensure!(answer.status == 200, "{}: {answer:?}", test_box.name);
            }
            Ok(())
        };
        with_replacements(&servers, &site, test).await
    })
}
