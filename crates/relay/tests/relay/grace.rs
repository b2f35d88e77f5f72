//! Requests that arrive, or are still in flight, late in a graceful shutdown.
//!
//! No test requires that a request is served by a given time: a request may be served, refused
//! or interrupted, but the answer has to agree with what the servers did.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::ensure;
use futures_lite::future;
use smol::{Task, Timer};
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Events, Fault, Server, Settings};
use tidepier_relay_standin::site::{Route, Site};
use tidepier_relay_standin::Client;

use crate::box_harness;
use crate::harness::{
    self, count_deliveries, ensure_not_executed, ensure_served_by, ms, post, run, server_settings,
    site, wait_until, Harness, Result,
};
use crate::process::Process;

/// Time from the stop signal until the platform kills a process: its usual value.
const STOP_WITHIN: Duration = Duration::from_secs(8);
/// The same for routers in the test's process.
const SHORT_STOP_WITHIN: Duration = Duration::from_secs(6);
/// When the last requests arrive after the stop signal, in ms.
const LAST_ARRIVAL_MS: u64 = 2_900;
/// Time-out of the routes, and deadline of the clients.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(15);
/// Requests after which the time that a route's answers take is known.
const KNOWN_AFTER: u32 = 4;
/// Servers of each service.
const SERVERS: u32 = 3;

/// The servers of a service, and what they take to answer.
struct Service {
    name: &'static str,
    servers: Vec<Server>,
}

impl Service {
    /// Starts the servers and declares a route `/KIND-NAME/` of each kind.
    fn start(site: &Site, name: &'static str, work: Duration) -> Result<Self> {
        Self::with_events(site, name, work, None)
    }

    fn with_events(
        site: &Site,
        name: &'static str,
        work: Duration,
        events: Option<Events>,
    ) -> Result<Self> {
        let server = |number| {
            let settings = Settings {
                id: format!("i-{name}-{number}"),
                service: name.into(),
                hall: "hall-1".into(),
                work,
                slots: 64,
                events,
                ..server_settings(number)
            };
            site.server(settings)
        };
        let servers: std::io::Result<_> = (0..SERVERS).map(server).collect();
        let servers = servers?;
        let route = |(prefix, kind): &(&str, Kind)| Route {
            timeout: ROUTE_TIMEOUT,
            ..Route::new(&format!("/{prefix}-{name}/"), *kind, name)
        };
        let stream = |resumable| Kind::Stream { resumable };
        let kinds = match events {
            None => [("o", Kind::AtMostOnce), ("r", Kind::Repeatable)],
            Some(_) => [("u", stream(false)), ("s", stream(true))],
        };
        let routes: Vec<Route> = kinds.iter().map(route).collect();
        site.declare(&routes);
        Ok(Self { name, servers })
    }

    fn call(&self, kind: &str, attempt: &str) -> Call {
        let target = format!("/{kind}-{}/x", self.name);
        let deadline = ROUTE_TIMEOUT.as_millis().to_string();
        let call = post(&target, attempt).with(names::DEADLINE, &deadline);
        call.leaving(STOP_WITHIN + ms(1_000))
    }

    fn servers(&self) -> Vec<&Server> {
        self.servers.iter().collect()
    }

    fn deliveries(&self, attempt: &str) -> usize {
        count_deliveries(&self.servers(), attempt)
    }

    /// Makes all requests fail in this way.
    fn fault(&self, fault: Fault) {
        for server in &self.servers {
            server.fault(fault, u32::MAX);
        }
    }

    /// Checks that a request got a final answer which agrees with what the servers did.
    fn ensure_final(&self, answer: &Answer, attempt: &str) -> Result {
        ensure!(answer.complete, "{attempt}: no complete answer, {answer:?}");
        let deliveries = self.deliveries(attempt);
        match answer.status {
            200 => ensure_served_by(answer, &self.servers(), attempt),
            502 | 504 => {
                ensure!(deliveries > 0, "{attempt}: not sent, {answer:?}");
                Ok(())
            }
            _ => {
                ensure_not_executed(answer)?;
                ensure!(deliveries == 0, "{attempt}: sent, yet {answer:?}");
                let closes = answer.field("Connection") == Some("close");
                ensure!(closes, "{attempt}: {answer:?}");
                Ok(())
            }
        }
    }

    /// Sends requests of a kind, one after the other, until the router knows how long they
    /// take.
    async fn make_known(&self, harness: &Harness, kind: &str) -> Result {
        for number in 0..KNOWN_AFTER {
            let attempt = format!("known-{kind}-{}-{number}", self.name);
            let answer = harness.call(&self.call(kind, &attempt)).await?;
            ensure_served_by(&answer, &self.servers(), &attempt)?;
        }
        Ok(())
    }
}

/// Starts a router process that serves.
async fn start(site: &Site, name: &str, first: &Call) -> Result<Process> {
    let ip = box_harness::address().ip();
    let front = SocketAddr::new(ip, box_harness::FRONT_PORT);
    let mut settings = harness::settings(site);
    settings["callers"] = front.to_string().into();
    settings["readiness"] = serde_json::Value::Null;
    settings["bounds"]["stop_within"] = (STOP_WITHIN.as_millis() as u64).into();
    let name = format!("grace-{name}-{}", std::process::id());
    let process = Process::start(&name, "error", &settings)?;
    wait_until("serving", async || Ok(process.call(first).await == 200)).await?;
    Ok(process)
}

async fn start_in_memory(executor: harness::Executor, site: Site) -> Result<Harness> {
    Harness::start_with_settings(executor, site, |settings| {
        let within = SHORT_STOP_WITHIN.as_millis() as u64;
        settings["bounds"]["stop_within"] = within.into();
    })
    .await
}

/// Sends a call at a moment, on a connection of its own.
fn send(front: SocketAddr, at: Instant, call: Call) -> Task<Result<Answer>> {
    smol::spawn(async move {
        Timer::at(at).await;
        Ok(Client::once(front, &call).await?)
    })
}

/// Waits until a process has exited; it has to do so by itself and in time.
async fn ensure_exits(process: &mut Process, signalled: Instant) -> Result {
    let mut status = None;
    wait_until("ended", async || {
        status = process.exit_status()?;
        Ok(status.is_some())
    })
    .await?;
    ensure!(status.is_some_and(|status| status.success()), "{status:?}");
    let took = signalled.elapsed();
    ensure!(took < STOP_WITHIN, "ended after {took:?}");
    Ok(())
}

// Guards against requests that are passed on late in a shutdown and closed without an answer.
#[test]
fn requests_whose_bodies_end_late_get_a_final_answer() -> Result {
    run(async |_| {
        let site = site()?;
        let quick = Service::start(&site, "quick", ms(20))?;
        let slow = Service::start(&site, "slow", ms(4_000))?;
        let mut process = start(&site, "bodies", &quick.call("r", "first")).await?;
        let signalled = Instant::now();
        process.signal("-TERM")?;
        // When head and body are sent, in ms.
        let mut requests = Vec::new();
        for kind in ["o", "r"] {
            // The body is sent at once, and the work takes longer than the shutdown.
            requests.push((&slow, kind, 2_700, 2_700));
            for body in [4_900, 6_500, 7_300, 20_000] {
                requests.push((&slow, kind, 2_500, body));
                requests.push((&quick, kind, 2_500, body));
            }
        }
        requests.extend([(&slow, "o", LAST_ARRIVAL_MS, 4_900); 12]);
        let mut sent = Vec::new();
        for (number, (service, kind, head, body)) in requests.into_iter().enumerate() {
            let attempt = format!("{number}-{}-{kind}-{head}-{body}", service.name);
            let call = Call {
                pause: ms(body - head),
                ..service.call(kind, &attempt)
            };
            let answer = send(process.front, signalled + ms(head), call);
            sent.push((service, attempt, answer));
        }
        ensure_exits(&mut process, signalled).await?;
        for (service, attempt, answer) in sent {
            service.ensure_final(&answer.await?, &attempt)?;
        }
        Ok(())
    })
}

// Guards against connections that are closed without an answer as a head is being read.
#[test]
fn a_head_that_is_not_complete_in_time_is_refused() -> Result {
    run(async |_| {
        let site = site()?;
        site.configure(|config| config["limits"]["header_timeout_ms"] = 20_000.into());
        let quick = Service::start(&site, "quick", ms(20))?;
        let mut process = start(&site, "heads", &quick.call("r", "first")).await?;
        let mut client = Client::open(process.front).await?;
        client.send(b"POST /o-quick/x HTTP/1.1\r\nHost: ").await?;
        Timer::after(ms(100)).await;
        let signalled = Instant::now();
        process.signal("-TERM")?;
        let answer = client.answer("POST", STOP_WITHIN + ms(1_000)).await;
        ensure_not_executed(&answer)?;
        ensure_exits(&mut process, signalled).await
    })
}

// Guards against requests whose work a shutdown interrupts and that get a promise.
#[test]
fn a_request_that_a_server_works_on_at_the_end_gets_no_promise() -> Result {
    run(async |executor| {
        let site = site()?;
        let service = Service::start(&site, "slow", ms(20_000))?;
        let harness = start_in_memory(executor, site).await?;
        let front = harness.router_address();
        let now = Instant::now();
        let sent = ["o", "r"].map(|kind| (kind, send(front, now, service.call(kind, kind))));
        wait_until("sent", async || {
            Ok(["o", "r"].iter().all(|kind| service.deliveries(kind) > 0))
        })
        .await?;
        harness.router.stop().await;
        for (kind, answer) in sent {
            let answer = answer.await?;
            ensure!(
                answer.complete && answer.status == 502,
                "{kind}: {answer:?}"
            );
        }
        Ok(())
    })
}

// Guards against streams without a length whose end at a shutdown makes them look complete.
#[test]
fn streams_that_a_shutdown_cuts_do_not_look_complete() -> Result {
    run(async |_| {
        let site = site()?;
        let plain = Service::start(&site, "quick", ms(20))?;
        let events = Events {
            count: 600,
            pause: ms(25),
        };
        let streams = Service::with_events(&site, "long", ms(20), Some(events))?;
        let mut process = start(&site, "streams", &plain.call("r", "first")).await?;
        let mut sent = Vec::new();
        for fault in [None, Some(Fault::Unframed)] {
            if let Some(fault) = fault {
                streams.fault(fault);
            }
            let now = Instant::now();
            for kind in ["u", "s"] {
                let attempt = format!("{kind}-{fault:?}");
                sent.push((
                    send(process.front, now, streams.call(kind, &attempt)),
                    attempt,
                ));
            }
            wait_until("sent", async || {
                Ok(sent.iter().all(|it| streams.deliveries(&it.1) > 0))
            })
            .await?;
        }
        let signalled = Instant::now();
        process.signal("-TERM")?;
        ensure_exits(&mut process, signalled).await?;
        for (answer, attempt) in sent {
            let answer = answer.await?;
            ensure!(answer.status == 200, "{attempt}: {answer:?}");
            ensure!(!answer.events.is_empty(), "{attempt}: no events");
            ensure!(!answer.complete, "{attempt}: looks complete");
        }
        Ok(())
    })
}

// Guards against bodies that are read on although no server could answer in time.
#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_before_its_body_ends() -> Result {
    run(async |executor| {
        let site = site()?;
        let service = Service::start(&site, "second", ms(1_000))?;
        let harness = start_in_memory(executor, site).await?;
        future::try_zip(
            service.make_known(&harness, "o"),
            service.make_known(&harness, "r"),
        )
        .await?;
        let front = harness.router_address();
        let start = Instant::now();
        // A second is left of the shutdown's time when the bodies end.
        let late = Call {
            pause: SHORT_STOP_WITHIN - ms(1_000),
            ..service.call("o", "late-o")
        };
        let early = Call {
            pause: ms(1_500),
            ..service.call("o", "early-o")
        };
        let sent = [
            send(front, start, late.clone()),
            send(
                front,
                start,
                Call {
                    target: "/r-second/x".into(),
                    ..late.with(names::ATTEMPT, "late-r")
                },
            ),
            send(front, start, early),
        ];
        Timer::after(ms(100)).await;
        harness.router.stop().await;
        let [once, repeatable, early] = sent;
        for (answer, attempt) in [(once, "late-o"), (repeatable, "late-r")] {
            let answer = answer.await?;
            service.ensure_final(&answer, attempt)?;
            ensure!(answer.status == 503, "{attempt}: {answer:?}");
            let before_body = answer.elapsed < SHORT_STOP_WITHIN - ms(1_000);
            ensure!(before_body, "{attempt}: after {:?}", answer.elapsed);
        }
        ensure_served_by(&early.await?, &service.servers(), "early-o")
    })
}

// Guards against requests that a router sends again when no server could answer in time.
#[test]
fn a_request_is_not_sent_again_if_no_server_could_answer_in_time() -> Result {
    run(async |executor| {
        let site = site()?;
        let service = Service::start(&site, "second", ms(1_000))?;
        let harness = start_in_memory(executor, site).await?;
        service.make_known(&harness, "r").await?;
        for server in &service.servers {
            server.fault(Fault::LostAnswer, u32::MAX);
        }
        // Sent when a server can just answer in time, so that another one can not.
        let at = Instant::now() + SHORT_STOP_WITHIN - ms(2_400);
        let call = service.call("r", "again");
        let head = Call {
            pause: at - Instant::now(),
            ..call
        };
        let sent = send(harness.router_address(), Instant::now(), head);
        Timer::after(ms(50)).await;
        harness.router.stop().await;
        let answer = sent.await?;
        service.ensure_final(&answer, "again")?;
        ensure!(matches!(answer.status, 502 | 503), "{answer:?}");
        let deliveries = service.deliveries("again");
        ensure!(deliveries <= 1, "sent {deliveries} times");
        Ok(())
    })
}

// Guards against requests that leave a silent server although no other one could answer in time.
#[test]
fn a_silent_server_is_not_left_if_no_other_one_could_answer_in_time() -> Result {
    run(async |executor| {
        let site = site()?;
        let service = Service::start(&site, "second", ms(1_000))?;
        let harness = start_in_memory(executor, site).await?;
        service.make_known(&harness, "r").await?;
        for server in &service.servers {
            server.fault(Fault::Hang, 1);
        }
        let call = service.call("r", "silent");
        // It counts as silent after two seconds at most, when less than the usual time is left.
        let pause = SHORT_STOP_WITHIN - ms(3_000);
        let front = harness.router_address();
        let sent = send(front, Instant::now(), Call { pause, ..call });
        Timer::after(ms(50)).await;
        harness.router.stop().await;
        let answer = sent.await?;
        service.ensure_final(&answer, "silent")?;
        ensure!(matches!(answer.status, 502 | 503), "{answer:?}");
        let ended_sooner = answer.elapsed < SHORT_STOP_WITHIN - ms(700);
        ensure!(
            answer.status == 503 || !ended_sooner,
            "after {:?}",
            answer.elapsed
        );
        ensure!(service.deliveries("silent") <= 1, "sent again");
        Ok(())
    })
}

// Guards against streams that end as their server fails although another one could go on in time.
#[test]
fn a_stream_that_breaks_off_during_a_shutdown_is_resumed() -> Result {
    run(async |executor| {
        let site = site()?;
        let events = Events {
            count: 10,
            pause: ms(40),
        };
        let service = Service::with_events(&site, "short", ms(20), Some(events))?;
        let harness = start_in_memory(executor, site).await?;
        service.make_known(&harness, "s").await?;
        let failing = &service.servers[0];
        failing.fault(Fault::CutEvent, u32::MAX);
        let front = harness.router_address();
        let at = Instant::now() + ms(200);
        let attempts = (0..8).map(|number| format!("breaks-{number}"));
        let sent = attempts.map(|attempt| (send(front, at, service.call("s", &attempt)), attempt));
        let sent: Vec<_> = sent.collect();
        harness.router.stop().await;
        let mut broken = 0;
        for (answer, attempt) in sent {
            ensure_served_by(&answer.await?, &service.servers(), &attempt)?;
            broken += count_deliveries(&[failing], &attempt);
        }
        ensure!(broken > 0, "no stream broke off");
        Ok(())
    })
}
