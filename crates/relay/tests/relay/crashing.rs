//! Requests that end the servers that run them.
//!
//! Seen: servers ended one after the other, two dozen under one request, and each
//! took the requests of other callers with it. Its client sent it again at any box,
//! each time as a new attempt, and each box placed it on the next server. Cause: a
//! box knew a request by its attempt alone, so that nothing said that it had been
//! here, or at another box, and what its servers came to. Proved by the logs of the
//! boxes, where a request of one account about one subject was at each server that
//! ended, with one sending an attempt; and by the first test here.

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
use crate::ending::{asking, beside, fleet, insist, Servers, CONTACT, ENDS};
use crate::harness::{self, ensure_not_executed, ms, run, wait_until, Result};

/// Sendings after that which all boxes together are allowed.
const BORNE: usize = 3;
/// Body of the request that ends its servers.
const GUILTY: &[u8] = b"ends its server";

#[test]
fn a_request_that_ends_its_servers_is_sent_no_more() -> Result {
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &[GUILTY]).await?;
        let insisted = insist(&machines, "/o/x", GUILTY, ms(8_000));
        let answers = beside(&servers, &site, insisted).await?;
        let (ends, late) = (servers.ends(GUILTY).len(), servers.late(GUILTY));
        ensure!(ends >= ENDS, "the case did not arise: {ends} ended");
        let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
        ensure!(
            late <= BORNE,
            "{late} late sendings, {ends} ended, {statuses:?}"
        );
        Ok(())
    })
}

/// Checks that a request ended servers, and was sent no more than is borne since all
/// boxes know of it.
fn ended_few(servers: &Servers, body: &[u8]) -> Result {
    let (ends, late) = (servers.ends(body).len(), servers.late(body));
    let text = String::from_utf8_lossy(body);
    ensure!(ends >= ENDS, "{text}: the case did not arise: {ends} ended");
    ensure!(late <= BORNE, "{text}: {late} late sendings, {ends} ended");
    Ok(())
}

/// The same on a route of another kind.
fn on_route(target: &'static str) -> Result {
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &[GUILTY]).await?;
        let insisted = insist(&machines, target, GUILTY, ms(7_000));
        beside(&servers, &site, insisted).await?;
        ended_few(&servers, GUILTY)
    })
}

#[test]
fn a_repeatable_request_that_ends_its_servers_is_sent_no_more() -> Result {
    on_route("/r/x")
}

#[test]
fn a_stream_that_ends_its_servers_is_sent_no_more() -> Result {
    on_route("/u/x")
}

#[test]
fn a_resumable_stream_that_ends_its_servers_is_sent_no_more() -> Result {
    on_route("/s/x")
}

#[test]
fn several_requests_that_end_their_servers_are_sent_no_more() -> Result {
    const OTHERS: [&[u8]; 3] = [GUILTY, b"ends it too", b"and so does this"];
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &OTHERS).await?;
        let [first, second, third] = OTHERS;
        let insisted = futures_lite::future::try_zip(
            insist(&machines, "/o/x", first, ms(8_000)),
            futures_lite::future::try_zip(
                insist(&machines[1..], "/o/x", second, ms(8_000)),
                insist(&machines, "/u/x", third, ms(8_000)),
            ),
        );
        beside(&servers, &site, insisted).await?;
        OTHERS.iter().try_for_each(|body| ended_few(&servers, body))
    })
}

/// What its client gets: a refusal at once that promises what is so, and no time to
/// come back at which nothing is different. Others with the same path are served.
#[test]
fn a_refused_request_is_told_the_truth_at_once() -> Result {
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &[GUILTY]).await?;
        let test = async {
            insist(&machines, "/o/x", GUILTY, ms(1_500)).await?;
            Timer::after(CONTACT).await;
            for machine in &machines {
                let before = servers.sendings(GUILTY).len();
                let start = Instant::now();
                let attempt = format!("refused-{}", machine.name);
                let answer = machine.call(&asking("/o/x", &attempt, GUILTY)).await?;
                ensure_not_executed(&answer)?;
                ensure!(start.elapsed() < ms(250), "after {:?}", start.elapsed());
                let wait = answer.field(names::RETRY_AFTER).unwrap_or("0");
                let left = Duration::from_secs_f64(wait.parse()?);
                ensure!(
                    left > REFUSED_MIN / 2 && left <= 8 * REFUSED_MIN,
                    "{left:?}"
                );
                ensure!(servers.sendings(GUILTY).len() == before, "it was sent");
                let other = format!("other-{}", machine.name);
                let answer = machine.call(&asking("/o/x", &other, b"harmless")).await?;
                ensure!(answer.status == 200, "{answer:?}");
            }
            Ok(())
        };
        beside(&servers, &site, test).await
    })
}

/// A box that has just started, and one that stood still while the others learned.
#[test]
fn boxes_that_were_away_learn_what_is_refused() -> Result {
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &[GUILTY]).await?;
        let test = async {
            machines[1].freeze(true);
            insist(&machines[..1], "/o/x", GUILTY, ms(2_500)).await?;
            machines[1].freeze(false);
            let late = TestBox::start(&executor, &site, "box-9", "hall-2", 3_000).await?;
            box_harness::ready(std::slice::from_ref(&late)).await?;
            Timer::after(CONTACT).await;
            let before = servers.sendings(GUILTY).len();
            for machine in machines.iter().chain([&late]) {
                let attempt = format!("late-{}", machine.name);
                let answer = machine.call(&asking("/o/x", &attempt, GUILTY)).await?;
                ensure!(answer.status == 503, "{}: {answer:?}", machine.name);
            }
            let sent = servers.sendings(GUILTY).len() - before;
            ensure!(sent == 0, "sent {sent} times");
            ended_few(&servers, GUILTY)
        };
        beside(&servers, &site, test).await
    })
}

/// The box that the others of its hall ask stands still from the first end on.
#[test]
fn boxes_learn_what_is_refused_without_their_hub() -> Result {
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &[GUILTY]).await?;
        let test = async {
            insist(&machines[1..2], "/o/x", GUILTY, ms(100)).await?;
            machines[0].freeze(true);
            insist(&machines[1..], "/o/x", GUILTY, ms(8_000)).await
        };
        beside(&servers, &site, test).await?;
        ended_few(&servers, GUILTY)
    })
}

/// Ten requests run at a server that ends, one of which is the reason. The others go
/// on being served, on all boxes.
#[test]
fn requests_that_ran_beside_it_are_served() -> Result {
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &[GUILTY]).await?;
        let beside_it: Vec<String> = (0..10)
            .map(|number| format!("bystander {number}"))
            .collect();
        let test = async {
            let guilty = insist(&machines, "/o/x", GUILTY, ms(5_000));
            let others = async {
                let start = Instant::now();
                let mut refused = 0;
                for round in 0.. {
                    if start.elapsed() > ms(5_000) {
                        break;
                    }
                    for (number, body) in beside_it.iter().enumerate() {
                        let machine = &machines[(round + number) % machines.len()];
                        let attempt = format!("by-{round}-{number}");
                        let call = asking("/r/x", &attempt, body.as_bytes());
                        let answer = machine.call(&call).await?;
                        // One that runs at two servers that end is told so.
                        refused += usize::from(answer.status == 503);
                    }
                }
                Ok(refused)
            };
            futures_lite::future::try_zip(guilty, others).await
        };
        let (_, refused) = beside(&servers, &site, test).await?;
        ensure!(servers.ends(GUILTY).len() >= ENDS, "the case did not arise");
        ensure!(refused == 0, "{refused} refused");
        let held = machines.iter().map(|it| {
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

/// Whether a refusal is for longer than any but that of a content.
fn is_long(answer: &Answer) -> bool {
    let wait = answer.field(names::RETRY_AFTER);
    let wait = wait.and_then(|wait| wait.parse::<f64>().ok());
    wait.is_some_and(|wait| wait > 30.0)
}

/// Servers that end for reasons of their own, a third of them at once and one after
/// the other, take nothing from the same requests that come again and again.
#[test]
fn requests_are_served_though_servers_end_by_themselves() -> Result {
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &[]).await?;
        let test = async {
            let ending = async {
                for number in 0..12 {
                    Timer::after(ms(400)).await;
                    servers.end_some(if number % 4 == 0 { 3 } else { 1 });
                }
                Ok(())
            };
            let asked = async {
                let mut refused = Vec::new();
                for round in 0..60 {
                    for (number, machine) in machines.iter().enumerate() {
                        let attempt = format!("innocent-{round}-{number}");
                        let body = format!("the same again {}", round % 5);
                        let call = asking("/r/x", &attempt, body.as_bytes());
                        let answer = machine.call(&call).await?;
                        if is_long(&answer) {
                            refused.push(attempt);
                        }
                    }
                    Timer::after(ms(40)).await;
                }
                Ok(refused)
            };
            futures_lite::future::try_zip(ending, asked).await
        };
        let ((), refused) = beside(&servers, &site, test).await?;
        ensure!(refused.is_empty(), "refused: {refused:?}");
        Ok(())
    })
}

/// A cut closes connections, and closes new ones at once. Nobody ended.
#[test]
fn a_cut_is_no_end() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = Server::start(server::Settings {
            work: ms(150),
            ..harness::server_settings(1)
        })?;
        let way = box_harness::Proxy::open(&executor, server.address()).await?;
        site.announce_at(&server, way.address(), State::Ready);
        let house = harness::Harness::start_ready(executor, site).await?;
        for number in 0..5 {
            let attempt = format!("cut-{number}");
            let call = asking("/o/x", &attempt, b"harmless");
            let cut = async {
                wait_until("running", async || Ok(server.running() == 1)).await?;
                way.cut();
                Timer::after(ms(600)).await;
                way.mend();
                Ok(())
            };
            let (answer, ()) = futures_lite::future::try_zip(house.call(&call), cut).await?;
            ensure!(answer.status == 502, "{answer:?}");
            // The box leaves the server out for a while after failures in a row.
            let mut number = 0;
            wait_until("served again", async || {
                number += 1;
                let call = asking("/o/y", &format!("{attempt}-{number}"), b"another");
                Ok(house.call(&call).await?.status == 200)
            })
            .await?;
        }
        let known = house.router.relay().crashes.table.len();
        ensure!(known == 0, "{known} contents are suspected");
        Ok(())
    })
}

/// The operator lets a content pass again, at one box; all others learn of it.
#[test]
fn the_operator_takes_a_refusal_back() -> Result {
    run(async |executor| {
        let (site, servers, machines) = fleet(&executor, &[GUILTY]).await?;
        let test = async {
            insist(&machines, "/o/x", GUILTY, ms(2_000)).await?;
            Timer::after(ms(1_500)).await;
            // It is mended meanwhile.
            servers.mend();
            let content = Fingerprint::new(&Parts {
                method: "POST",
                host: HOST,
                target: "/o/x",
                caller: "",
                body: GUILTY,
            });
            for machine in &machines {
                let answer = machine.call(&asking("/o/x", "before", GUILTY)).await?;
                ensure!(answer.status == 503, "{}: {answer:?}", machine.name);
            }
            machines[2].pardon(content)?;
            Timer::after(ms(2_500)).await;
            for machine in &machines {
                let attempt = format!("after-{}", machine.name);
                let answer = machine.call(&asking("/o/x", &attempt, GUILTY)).await?;
                ensure!(answer.status == 200, "{}: {answer:?}", machine.name);
            }
            Ok(())
        };
        beside(&servers, &site, test).await
    })
}
