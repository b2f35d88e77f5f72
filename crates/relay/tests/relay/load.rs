//! How several boxes, each deciding on its own, spread requests over model engines in
//! normal operation.
//!
//! The tests compare what each engine held when a request reached it with the mean of all
//! engines at that moment.

use std::time::{Duration, Instant};

use eyre::ensure;
use serde_json::json;
use smol::{Task, Timer};
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Run, Server, Settings};
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::Client;

use crate::box_harness::{self, TestBox};
use crate::harness::{ensure_served_by, ms, post, run, stream_server_settings, Executor, Result};
use crate::load_rule::{self, Excess};

/// Number of engines.
const ENGINES: u32 = 8;
/// Events of an engine's answer.
const EVENTS: u64 = 10;
/// Pause between two events: an answer takes 0.3 s, almost all of it after its prompt was
/// prefilled.
const PAUSE: Duration = Duration::from_millis(30);
/// Time to prefill a token: that of measured engines, 40 tokens a ms.
const READ: Duration = Duration::from_micros(25);
/// Interval between requests: 27 are in flight at once.
const GAP: Duration = Duration::from_millis(11);
/// Time for which requests are sent: the window of the users' rule.
const CALM: Duration = Duration::from_secs(5);
/// Out of this many requests, [`HOT`] are about the same subject.
const ROUND: usize = 10;
/// See [`ROUND`].
const HOT: usize = 3;
/// See [`ROUND`].
const VERY_HOT: usize = 4;
/// First parts of the hot prompts: an engine that does not cache them prefills for 0.2 s.
const HOT_PARTS: &str = "a1:2500,a2:5500";
/// Tokens of the prompt part that belongs to one request only.
const OWN_TOKENS: u32 = 100;
/// A site whose engines can copy prompts from each other as fast as measured ones: 0.007 ms
/// a token.
pub(crate) fn engines_site() -> Result<Site> {
    let site = box_harness::site_with_keys()?;
    site.configure(|config| {
        config["services"][0]["engine"] = json!({
            "slots": 64, "kv_capacity": 363_000, "kv_bytes": 327_680,
            "link_mbps": 370_000, "moves": true,
        });
    });
    Ok(site)
}

pub(crate) fn engine(number: u32) -> Settings {
    Settings {
        hall: format!("hall-{}", number % 2 + 1),
        slots: 64,
        queue: 64,
        prefill: READ,
        ..stream_server_settings(number, EVENTS, PAUSE)
    }
}

/// The call with this number, with `hot` calls of each round about one subject.
pub(crate) fn call(number: usize, hot: usize) -> Call {
    let own_part = format!("c{number:x}:{OWN_TOKENS}");
    let prompt = if number % ROUND < hot {
        format!("{HOT_PARTS},{own_part}")
    } else {
        format!("b{number:x}:600,{own_part}")
    };
    post("/u/x", &format!("{number}")).with(names::PROMPT, &prompt)
}

/// A request that reached an engine.
pub(crate) struct Arrival {
    run: Run,
    /// Requests that the engine held at that moment.
    held: usize,
    /// The mean of all engines at that moment.
    mean: f64,
}

impl Arrival {
    /// When it reached the engine.
    pub(crate) fn at(&self) -> Instant {
        self.run.arrived
    }

    pub(crate) fn exceeds(&self) -> bool {
        self.held as f64 > load_rule::bound(self.mean)
    }
}

pub(crate) fn arrivals(engines: &[Server]) -> Vec<Arrival> {
    let runs: Vec<Vec<Run>> = engines.iter().map(Server::runs).collect();
    let held = |runs: &[Run], at: Instant| runs.iter().filter(|run| run.held_at(at)).count();
    let mut arrivals = Vec::new();
    for engine_runs in &runs {
        for run in engine_runs {
            let all: usize = runs.iter().map(|runs| held(runs, run.arrived)).sum();
            arrivals.push(Arrival {
                run: run.clone(),
                held: held(engine_runs, run.arrived),
                mean: all as f64 / engines.len() as f64,
            });
        }
    }
    arrivals
}

/// Sends requests at a steady rate, to each box in turn.
async fn sent(executor: &Executor, boxes: &[TestBox], hot: usize) -> Result<Vec<Answer>> {
    let mut calls: Vec<Task<std::io::Result<Answer>>> = Vec::new();
    let start = Instant::now();
    let mut at = start;
    while at < start + CALM {
        let number = calls.len();
        let front = boxes[number % boxes.len()].router.client_address();
        let call = call(number, hot);
        calls.push(executor.spawn(async move { Client::once(front, &call).await }));
        at += GAP;
        Timer::at(at).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await?);
    }
    Ok(answers)
}

/// Sends requests to the engines of a site, and checks the bound.
fn spread(site: impl FnOnce() -> Result<Site>, hot: usize) -> Result {
    run(async |executor| {
        let site = site()?;
        let engines: std::io::Result<Vec<Server>> =
            (1..=ENGINES).map(|n| site.server(engine(n))).collect();
        let engines = engines?;
        let mut boxes = Vec::new();
        for (name, hall) in [
            ("box-0", "hall-1"),
            ("box-1", "hall-1"),
            ("box-2", "hall-2"),
        ] {
            boxes.push(TestBox::start(&executor, &site, name, hall, 1_000).await?);
        }
        box_harness::wait_until_ready(&boxes).await?;
        let start = Instant::now();
        let answers = sent(&executor, &boxes, hot).await?;
        let known: Vec<&Server> = engines.iter().collect();
        for (number, answer) in answers.iter().enumerate() {
            ensure_served_by(answer, &known, &format!("{number}"))?;
        }
        let arrivals = arrivals(&engines);
        let exceeding: Vec<&Arrival> = arrivals.iter().filter(|it| it.exceeds()).collect();
        let details: Vec<String> = exceeding
            .iter()
            .map(|it| {
                let at = it.run.arrived.duration_since(start);
                format!("{} of {:.1} at {at:.1?}", it.held, it.mean)
            })
            .collect();
        let excess = Excess {
            over: exceeding.len(),
            all: arrivals.len(),
        };
        ensure!(
            !excess.is_broken(),
            "{} of {}: {details:?}",
            details.len(),
            arrivals.len()
        );
        Ok(())
    })
}

#[test]
fn no_engine_gets_far_more_requests_than_the_others() -> Result {
    spread(engines_site, HOT)
}

#[test]
fn a_very_hot_subject_is_spread_over_engines_that_copy_it() -> Result {
    spread(engines_site, VERY_HOT)
}

#[test]
fn a_very_hot_subject_is_spread_over_engines_that_prefill_it() -> Result {
    spread(box_harness::site_with_keys, VERY_HOT)
}

#[test]
fn what_an_engine_holds_is_counted_from_its_runs() -> Result {
    run(async |executor| {
        let site = engines_site()?;
        let engines = [site.server(engine(1))?, site.server(engine(2))?];
        let test_box = TestBox::start(&executor, &site, "box-0", "hall-1", 1_000).await?;
        box_harness::wait_until_ready(std::slice::from_ref(&test_box)).await?;
        for (number, engine) in engines.iter().enumerate() {
            // Two requests at once and one after them, without the router.
            let front = engine.address();
            let call = post("/u/x", &format!("{number}"));
            let both = futures_lite::future::zip(Client::once(front, &call), async {
                Timer::after(ms(100)).await;
                Client::once(front, &call).await
            })
            .await;
            both.0?;
            both.1?;
            Client::once(front, &call).await?;
        }
        let held: Vec<usize> = arrivals(&engines).iter().map(|it| it.held).collect();
        ensure!(held == [0, 1, 0, 0, 1, 0], "{held:?}");
        Ok(())
    })
}
