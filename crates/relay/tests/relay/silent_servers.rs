//! Requests and streams that wait at servers which are silent for seconds and sound otherwise.

use std::rc::Rc;
use std::time::Duration;

use eyre::{ensure, eyre};
use futures_lite::future;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::answer::Load;
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_relay::choose::filter::Filter;
use tidepier_relay::fleet::check::Check;
use tidepier_relay_standin::client::Answer;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Fault, Odd, Server};
use tidepier_relay_standin::site::{Route, Site};

use crate::choice_harness::{self, ChoiceHarness};
use crate::harness::{
    count_runs, ensure_served_by, ms, post, run, server_settings, stream_body,
    stream_server_settings, Executor, Harness, Result, SERVICE,
};

/// Time-out of the routes, and the deadline of their clients.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of events of a stream.
const EVENTS: u64 = 20;
/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(60);
/// Longest time after which a silent server is left for one that answers: the time that it
/// may be silent for, and one health check.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);
/// Longest time for which a request may be at two servers, as the first one notices that a
/// connection is closed.
const OVERLAP: Duration = Duration::from_millis(200);

/// A router, and servers in halls of their own.
struct Setting {
    harness: Harness,
    servers: Vec<Server>,
}

impl Setting {
    /// Routes `/r/` and `/s/` that allow some attempts, before servers that stream if `pause`
    /// is set. `change` changes the settings of the router.
    async fn start(
        executor: Executor,
        servers: u32,
        attempts: u32,
        pause: Option<Duration>,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Result<Self> {
        let site = Site::start()?;
        let resumable = Kind::Stream { resumable: true };
        let route = |prefix: &str, kind| Route {
            attempts,
            timeout: ROUTE_TIMEOUT,
            ..Route::new(prefix, kind, SERVICE)
        };
        site.declare(&[route("/r/", Kind::Repeatable), route("/s/", resumable)]);
        let servers = (1..=servers).map(|number| {
            let settings = match pause {
                Some(pause) => stream_server_settings(number, EVENTS, pause),
                None => server_settings(number),
            };
            site.server(settings)
        });
        let servers = servers.collect::<std::io::Result<_>>()?;
        let harness = Harness::start_with_settings(executor, site, change).await?;
        Ok(Self { harness, servers })
    }

    async fn call(&self, target: &str, attempt: &str) -> Result<Answer> {
        let deadline = ROUTE_TIMEOUT.as_millis().to_string();
        let call = post(target, attempt).with(names::DEADLINE, &deadline);
        self.harness
            .call(&call.leaving(ROUTE_TIMEOUT + ms(2_000)))
            .await
    }

    /// Silences all servers for some times, each after a time in which they go on.
    async fn silence_all(&self, silences: &[(Duration, Duration)]) -> Result {
        for (sound, silent) in silences {
            Timer::after(*sound).await;
            self.servers.iter().for_each(|server| server.dark(true));
            Timer::after(*silent).await;
            self.servers.iter().for_each(|server| server.dark(false));
        }
        Ok(())
    }

    fn ensure_whole(&self, answer: &Answer, attempt: &str) -> Result {
        let why = format!("{attempt}: {} after {:?}", answer.status, answer.elapsed);
        ensure!(answer.status == 200, "{why}");
        ensure!(answer.complete, "{why}, incomplete: {:?}", answer.ids());
        ensure!(
            answer.body == stream_body(1..=EVENTS),
            "{why}: {:?}",
            answer.ids()
        );
        Ok(())
    }
}

fn without_budget(settings: &mut serde_json::Value) {
    settings["bounds"]["retry_share"] = 0.0.into();
    settings["bounds"]["retry_extra"] = 0.into();
}

/// Guards against answers that end in the middle though their client still waits, as all
/// servers are silent for longer than the box waits for an event.
#[test]
fn streams_are_whole_though_all_servers_are_silent_for_a_while() -> Result {
    run(async |executor| {
        for (servers, attempts) in [(2, 2), (3, 2), (3, 3), (1, 2)] {
            let setting = Setting::start(executor.clone(), servers, attempts, Some(PAUSE), |_| {});
            let setting = setting.await?;
            let silences = [(ms(200), ms(1_700)), (ms(300), ms(1_900))];
            let attempt = format!("silent-{servers}-{attempts}");
            let (answer, ()) = future::try_zip(
                setting.call("/s/x", &attempt),
                setting.silence_all(&silences),
            )
            .await?;
            setting.ensure_whole(&answer, &attempt)?;
        }
        Ok(())
    })
}

/// Guards against the same at the last attempt, where the server that resumes the stream is
/// silent too.
#[test]
fn a_stream_is_whole_whose_last_server_is_silent_for_a_while() -> Result {
    run(async |executor| {
        let setting = Setting::start(executor, 2, 2, Some(ms(200)), |_| {}).await?;
        let disturb = async {
            Timer::after(ms(200)).await;
            setting.servers[0].dark(true);
            Timer::after(LEAVE_TIME).await;
            setting.servers[1].dark(true);
            Timer::after(ms(1_900)).await;
            setting.servers[1].dark(false);
            Ok(())
        };
        let (answer, ()) = future::try_zip(setting.call("/s/x", "last"), disturb).await?;
        setting.ensure_whole(&answer, "last")?;
        let runs = setting.servers[1].ran("last");
        ensure!(runs == 1, "the second server ran it {runs} times");
        setting.servers[0].dark(false);
        Ok(())
    })
}

/// Guards against a stream that is left alone at a silent server though another one answers, and
/// against one that is asked of two servers at once.
#[test]
fn a_stream_leaves_a_silent_server_for_one_that_answers() -> Result {
    run(async |executor| {
        let site = Site::start()?;
        let resumable = Kind::Stream { resumable: true };
        let route = Route::new("/s/", resumable, SERVICE);
        site.declare(&[Route {
            timeout: ROUTE_TIMEOUT,
            ..route
        }]);
        let near = site.server(stream_server_settings(1, EVENTS, ROUTE_TIMEOUT))?;
        let far = site.server(stream_server_settings(2, EVENTS, ms(10)))?;
        let harness = Harness::start_ready(executor, site).await?;
        let setting = Setting {
            harness,
            servers: vec![near, far],
        };
        let answer = setting.call("/s/x", "leaves").await?;
        setting.ensure_whole(&answer, "leaves")?;
        ensure!(answer.elapsed < LEAVE_TIME, "after {:?}", answer.elapsed);
        let run_at = |server: usize| {
            let runs = setting.servers[server].runs();
            let mut runs = runs.into_iter().filter(|run| run.attempt == "leaves");
            runs.next()
                .ok_or_else(|| eyre!("no run at server {server}"))
        };
        let (first, second) = (run_at(0)?, run_at(1)?);
        let closed = first
            .closed
            .ok_or_else(|| eyre!("the first one is not left"))?;
        let overlap = closed.saturating_duration_since(second.arrived);
        ensure!(overlap < OVERLAP, "at both servers for {overlap:?}");
        Ok(())
    })
}

/// Guards against a stream that leaves its server for one whose health check was answered with
/// bytes that are no answer.
#[test]
fn a_stream_stays_if_the_check_of_the_other_server_is_no_answer() -> Result {
    run(async |executor| {
        let odd = [
            Odd::Status("000"),
            Odd::Status("099"),
            Odd::RequestLine,
            Odd::FieldName("X Odd"),
            Odd::FieldName("X-Odd "),
            Odd::FieldName("X\x01Odd"),
        ];
        let plays = odd.map(|odd| executor.spawn(ensure_stays(executor.clone(), odd)));
        for play in plays {
            play.await?;
        }
        Ok(())
    })
}

/// Sends a stream to a silent server, beside one that answers health checks oddly.
async fn ensure_stays(executor: Executor, odd: Odd) -> Result {
    let site = Site::start()?;
    let route = Route::new("/s/", Kind::Stream { resumable: true }, SERVICE);
    site.declare(&[Route {
        timeout: ROUTE_TIMEOUT,
        ..route
    }]);
    let _silent = site.server(stream_server_settings(1, EVENTS, ROUTE_TIMEOUT))?;
    let far = site.server(stream_server_settings(2, EVENTS, ms(10)))?;
    // No request has the fault.
    far.fault(Fault::Odd(odd), 0);
    let harness = Harness::start_ready(executor, site).await?;
    let deadline = ROUTE_TIMEOUT.as_millis().to_string();
    let call = post("/s/x", "stays").with(names::DEADLINE, &deadline);
    let answer = harness.call(&call.leaving(2 * LEAVE_TIME)).await?;
    ensure!(far.probes() > 0, "{odd:?}: no check");
    ensure!(far.ran("stays") == 0, "{odd:?}: {:?}", answer.ids());
    Ok(())
}

/// Guards against streams that end in the middle though their server goes on, as they may not be
/// sent again: their route allows no other attempt, the retry budget is spent, or a server that
/// rejected them has used up the other attempt.
#[test]
fn a_stream_that_may_not_be_sent_again_stays_at_a_silent_server() -> Result {
    run(async |executor| {
        for (name, attempts, budget, rejects) in [
            ("one-attempt", 1, true, false),
            ("no-budget", 3, false, false),
            ("rejected", 2, true, true),
        ] {
            let change = |settings: &mut serde_json::Value| {
                if !budget {
                    without_budget(settings);
                }
            };
            let setting = Setting::start(executor.clone(), 2, attempts, Some(PAUSE), change);
            let setting = setting.await?;
            if rejects {
                setting.servers[0].fault(Fault::Shed, 1);
            }
            let silences = [(ms(300), ms(1_900)), (ms(200), ms(1_700))];
            let (answer, ()) =
                future::try_zip(setting.call("/s/x", name), setting.silence_all(&silences)).await?;
            setting.ensure_whole(&answer, name)?;
            let servers: Vec<&Server> = setting.servers.iter().collect();
            let runs = count_runs(&servers, name);
            ensure!(runs == 1, "{name}: it ran {runs} times");
        }
        Ok(())
    })
}

/// Guards against requests that are refused as lost though their client still waits and their
/// server goes on, as the retry budget is spent.
#[test]
fn a_request_stays_at_a_silent_server_if_it_may_not_be_sent_again() -> Result {
    run(async |executor| {
        let setting = Setting::start(executor, 2, 2, None, without_budget).await?;
        let silences = [(Duration::ZERO, ms(3_000))];
        let (answer, ()) = future::try_zip(
            setting.call("/r/x", "stays"),
            setting.silence_all(&silences),
        )
        .await?;
        let servers: Vec<&Server> = setting.servers.iter().collect();
        ensure_served_by(&answer, &servers, "stays")
    })
}

/// Guards against requests that spend their attempts on servers that are all silent, each of
/// which runs them in the end.
#[test]
fn a_request_is_sent_to_no_other_silent_server() -> Result {
    run(async |executor| {
        for (target, pause) in [("/r/x", None), ("/s/x", Some(PAUSE))] {
            let setting = Setting::start(executor.clone(), 3, 3, pause, |_| {}).await?;
            let silences = [(Duration::ZERO, ms(4_500))];
            let (answer, ()) = future::try_zip(
                setting.call(target, "waits"),
                setting.silence_all(&silences),
            )
            .await?;
            ensure!(
                answer.status == 200 && answer.complete,
                "{target}: {answer:?}"
            );
            let servers: Vec<&Server> = setting.servers.iter().collect();
            let runs = count_runs(&servers, "waits");
            ensure!(runs == 1, "{target}: it ran {runs} times");
        }
        Ok(())
    })
}

/// Guards against a resumed stream that is held past its deadline, as the time limit has expired
/// once, at the server before.
#[test]
fn a_resumed_stream_ends_at_its_deadline() -> Result {
    run(async |executor| {
        let setting = Setting::start(executor, 2, 2, Some(ms(200)), |_| {}).await?;
        let call = post("/s/x", "resumed").with(names::DEADLINE, "5000");
        let disturb = async {
            Timer::after(ms(300)).await;
            setting.servers[0].dark(true);
            Timer::after(LEAVE_TIME).await;
            setting.servers[1].dark(true);
            Ok(())
        };
        let (answer, ()) = future::try_zip(setting.harness.call(&call), disturb).await?;
        ensure!(setting.servers[1].ran("resumed") == 1, "it was not resumed");
        ensure!(!answer.complete, "{answer:?}");
        ensure!(answer.elapsed < ms(6_000), "after {:?}", answer.elapsed);
        Ok(())
    })
}

/// Guards against a request that stays at a silent server as an earlier one has just asked the
/// server that answers, and against checks that a silent server gets of each request.
#[test]
fn a_server_that_answers_checks_is_asked_again_and_a_silent_one_later() {
    let (check, start, interval) = (Check::default(), Instant::now(), ms(1_000));
    assert!(check.is_due(interval, start));
    check.begin(start);
    assert!(!check.is_due(interval, start + ms(999)));
    assert!(check.is_due(interval, start + ms(1_000)));
    check.record(true, start + ms(5));
    assert!(check.is_due(interval, start + ms(400)));
    check.begin(start + ms(400));
    assert!(!check.is_due(interval, start + ms(500)));
}

/// Guards against streams that stay at a dead server, as another one has found out before that a
/// server answers.
#[test]
fn all_streams_of_a_silent_server_leave_it_in_time() -> Result {
    run(async |executor| {
        let setting = Setting::start(executor.clone(), 2, 2, Some(PAUSE), |_| {}).await?;
        let setting = Rc::new(setting);
        let mut clients = Vec::new();
        for number in 0..6 {
            let (setting, attempt) = (setting.clone(), format!("leaves-{number}"));
            clients.push(executor.spawn(async move {
                let answer = setting.call("/s/x", &attempt).await?;
                setting.ensure_whole(&answer, &attempt)?;
                let limit = LEAVE_TIME + EVENTS as u32 * PAUSE;
                ensure!(answer.elapsed < limit, "{attempt}: {:?}", answer.elapsed);
                Result::Ok(())
            }));
            Timer::after(ms(150)).await;
        }
        setting.servers[0].dark(true);
        for client in clients {
            client.await?;
        }
        setting.servers[0].dark(false);
        Ok(())
    })
}

/// Guards against a stream that ends in the middle as the server that it leaves a silent one for
/// answers checks and rejects the stream.
#[test]
fn a_rejection_uses_up_no_attempt_of_a_stream_that_goes_on() -> Result {
    run(async |executor| {
        let setting = Setting::start(executor, 2, 2, Some(PAUSE), |_| {}).await?;
        let silence = async {
            Timer::after(ms(200)).await;
            let is_first = |server: &Server| !server.runs().is_empty();
            let (first, other) = match is_first(&setting.servers[0]) {
                true => (&setting.servers[0], &setting.servers[1]),
                false => (&setting.servers[1], &setting.servers[0]),
            };
            other.fault(Fault::Shed, 2);
            first.dark(true);
            Timer::after(ms(3_500)).await;
            first.dark(false);
            Ok(())
        };
        let (answer, ()) = future::try_zip(setting.call("/s/x", "rejected"), silence).await?;
        setting.ensure_whole(&answer, "rejected")
    })
}

/// Guards against requests that leave a silent server for one that answers and is full.
#[test]
fn a_silent_server_is_left_for_none_that_is_full() -> Result {
    let harness = ChoiceHarness::new("hall-1", [1])?;
    let id = choice_harness::server(1, State::Ready)?.id;
    let backend = harness.fleet.get(&id).ok_or_else(|| eyre!("no {id}"))?;
    let filter = Filter {
        answering_since: Some(harness.start),
        ..Filter::default()
    };
    let load = |running| Load {
        running,
        slots: backend.slots(),
        ..Load::default()
    };
    backend.record_received();
    let now = Instant::now();
    assert!(filter.admits(&backend, now));
    backend.record_load(load(backend.slots()), now);
    assert!(!filter.admits(&backend, now));
    backend.record_load(load(backend.slots() - 1), now);
    assert!(filter.admits(&backend, now));
    Ok(())
}
