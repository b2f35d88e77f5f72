//! A stream goes on at servers of the release that began it, within one answer and over
//! its client's attempts.

use std::collections::BTreeSet;
use std::time::Instant;

use eyre::{ensure, eyre};
use serde_json::{json, Value};
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, release_of, Fault, Server};
use tidepier_relay_standin::site::{Route, Site};

use crate::box_harness::{start_boxes_in, TestBox};
use crate::harness::{
    self, ms, post, run, stream_server_settings, wait_until, Executor, Harness, Result, SERVICE,
};

/// Events of each stream.
const EVENTS: u64 = 8;
/// Streams that a test breaks off.
const STREAMS: usize = 12;

/// A site with two accounts. `/t/` may go to three servers, `/c/` and `/k/` to one, so that
/// only their clients can take such a stream up; `/k/` requires a key.
pub(crate) fn site() -> Result<Site> {
    let site = harness::site()?;
    let resumable = Kind::Stream { resumable: true };
    let route = |prefix, attempts| Route {
        attempts,
        ..Route::new(prefix, resumable, SERVICE)
    };
    let keyed = Route {
        public: false,
        ..route("/k/", 1)
    };
    site.declare(&[route("/t/", 3), route("/c/", 1), keyed]);
    site.account("tenant-1", &["first"], 0);
    site.account("tenant-2", &["second"], 0);
    Ok(site)
}

pub(crate) fn settings(number: u32, hall: &str, release: &str) -> server::Settings {
    server::Settings {
        hall: hall.into(),
        release: Some(release.into()),
        ..stream_server_settings(number, EVENTS, ms(5))
    }
}

/// Three servers of each of two releases, in two halls.
fn start_servers(site: &Site) -> Result<Vec<Server>> {
    let start = |number: u32| {
        let hall = if number.is_multiple_of(3) {
            "hall-2"
        } else {
            "hall-1"
        };
        let release = if number < 3 { "v1" } else { "v2" };
        Ok(site.server(settings(number, hall, release))?)
    };
    (0..6).map(start).collect()
}

/// The releases that wrote what a client holds.
fn releases<'a>(answers: impl IntoIterator<Item = &'a Answer>) -> BTreeSet<String> {
    let events = answers.into_iter().flat_map(|answer| &answer.events);
    let releases = events.filter_map(|event| release_of(&event.text));
    releases.map(str::to_owned).collect()
}

/// Checks that a client holds all events of one stream, each once, from one release.
pub(crate) fn ensure_one_stream(answers: &[&Answer]) -> Result {
    let last = answers.last().ok_or_else(|| eyre!("no answer"))?;
    ensure!(last.status == 200 && last.complete, "{last:?}");
    let ids: Vec<u64> = answers.iter().flat_map(|answer| answer.ids()).collect();
    ensure!(ids.iter().copied().eq(1..=EVENTS), "{ids:?}");
    let releases = releases(answers.iter().copied());
    ensure!(releases.len() == 1, "written by {releases:?}");
    Ok(())
}

/// A call that takes up a stream that `first` began and of which `held` has the last event.
pub(crate) fn take_up(target: &str, attempt: &str, first: &str, held: &Answer) -> Call {
    let last = held.ids().last().copied().unwrap_or_default();
    post(target, attempt)
        .with(names::LAST_EVENT, &last.to_string())
        .with(names::RESUMES, first)
}

/// Begins a stream that breaks off half-way.
pub(crate) async fn begin(at: &TestBox, servers: &[Server], call: &Call) -> Result<Answer> {
    servers.iter().for_each(|it| it.fault(Fault::CutEvent, 1));
    let answer = at.call(call).await?;
    servers.iter().for_each(Server::heal);
    ensure!(!answer.complete, "the stream did not break off: {answer:?}");
    ensure!(!answer.ids().is_empty(), "no event: {answer:?}");
    Ok(answer)
}

pub(crate) fn deliveries(servers: &[Server]) -> usize {
    servers.iter().map(|server| server.runs().len()).sum()
}

async fn start(executor: &Executor) -> Result<(Site, Vec<Server>, Vec<TestBox>)> {
    let site = site()?;
    let servers = start_servers(&site)?;
    let boxes = start_boxes_in(executor, &site, &["hall-1", "hall-1", "hall-2"]).await?;
    wait_until("know all servers and boxes", async || {
        Ok(boxes.iter().all(|it| {
            it.router.relay().boxes() == 3 && servers.iter().all(|server| it.knows(server))
        }))
    })
    .await?;
    Ok((site, servers, boxes))
}

/// Guards against streams that a box resumes at whichever server is cheapest.
#[test]
fn a_broken_stream_is_resumed_at_the_release_that_began_it() -> Result {
    run(async |executor| {
        let site = site()?;
        let servers = start_servers(&site)?;
        let harness = Harness::start_ready(executor, site).await?;
        for number in 0..STREAMS {
            for fault in [Fault::CutEvent, Fault::BreakOff] {
                let attempt = format!("{fault:?}-{number}");
                servers.iter().for_each(|it| it.fault(fault, 1));
                let answer = harness.post("/t/x", &attempt).await?;
                servers.iter().for_each(Server::heal);
                let releases = releases([&answer]);
                ensure!(releases.len() == 1, "{attempt}: written by {releases:?}");
                // The servers of the release may have broken it off three times.
                let runs: usize = servers.iter().map(|it| it.ran(&attempt)).sum();
                ensure!(
                    answer.complete || runs == 3,
                    "{attempt}: {runs} runs, {answer:?}"
                );
            }
        }
        Ok(())
    })
}

/// Guards against streams that go on at another release as their server crashed.
#[test]
fn a_stream_of_a_crashed_server_goes_on_at_its_release() -> Result {
    run(async |executor| {
        let site = site()?;
        let slow = |number, release| server::Settings {
            events: Some(server::Events {
                count: EVENTS,
                pause: ms(150),
            }),
            ..settings(number, "hall-1", release)
        };
        let crashing = site.server(slow(1, "v1"))?;
        let harness = Harness::start_ready(executor, site).await?;
        let crash = async {
            wait_until("begun", async || {
                Ok(crashing.runs().iter().any(|run| run.made.len() > 2))
            })
            .await?;
            // The others join while the stream runs, so that it begins at the first one.
            let others = [("v2", 2), ("v2", 3), ("v1", 4), ("v2", 5)];
            let others = others.map(|(release, number)| harness.site.server(slow(number, release)));
            let others: Vec<Server> = others.into_iter().collect::<std::io::Result<_>>()?;
            wait_until("known", async || {
                Ok(others.iter().all(|it| harness.knows(it)))
            })
            .await?;
            crashing.crash();
            Ok(others)
        };
        let call = post("/t/x", "crash");
        let (answer, others) = futures_lite::future::try_zip(harness.call(&call), crash).await?;
        ensure_one_stream(&[&answer])?;
        ensure!(others[2].ran("crash") == 1, "not resumed at its release");
        Ok(())
    })
}

/// Guards against clients whose stream goes on at another release at another box.
#[test]
fn a_client_takes_its_stream_up_at_the_release_that_began_it() -> Result {
    run(async |executor| {
        let (_site, servers, boxes) = start(&executor).await?;
        for number in 0..STREAMS {
            let first = format!("first-{number}");
            let begun = begin(&boxes[0], &servers, &post("/c/x", &first)).await?;
            if number % 6 == 5 {
                Timer::after(ms(1_000)).await;
            }
            let call = take_up("/c/x", &format!("again-{number}"), &first, &begun);
            let rest = boxes[number % 3].call(&call).await?;
            ensure_one_stream(&[&begun, &rest])?;
        }
        Ok(())
    })
}

/// Guards against a third attempt that goes on elsewhere than the first two.
#[test]
fn a_stream_that_breaks_off_twice_is_taken_up_at_its_release() -> Result {
    run(async |executor| {
        let (_site, servers, boxes) = start(&executor).await?;
        for number in 0..STREAMS {
            let [first, second, third] = ["1st", "2nd", "3rd"].map(|it| format!("{it}-{number}"));
            let begun = begin(&boxes[0], &servers, &post("/c/x", &first)).await?;
            let call = take_up("/c/x", &second, &first, &begun);
            let more = begin(&boxes[1], &servers, &call).await?;
            // The attempt that brought the first event, or the one that brought the latest.
            let named = if number % 2 == 0 { &first } else { &second };
            let call = take_up("/c/x", &third, named, &more);
            let rest = boxes[2].call(&call).await?;
            ensure_one_stream(&[&begun, &more, &rest])?;
        }
        Ok(())
    })
}

/// Guards against knowledge that is lost with the box that the stream began at.
#[test]
fn a_stream_is_taken_up_at_its_release_after_its_box_is_gone() -> Result {
    run(async |executor| {
        let (_site, servers, mut boxes) = start(&executor).await?;
        let mut streams = Vec::new();
        for number in 0..STREAMS {
            let first = format!("first-{number}");
            let begun = begin(&boxes[0], &servers, &post("/c/x", &first)).await?;
            streams.push((first, begun));
        }
        drop(boxes.remove(0));
        for (number, (first, begun)) in streams.iter().enumerate() {
            let call = take_up("/c/x", &format!("again-{number}"), first, begun);
            let rest = boxes[number % 2].call(&call).await?;
            ensure_one_stream(&[begun, &rest])?;
        }
        Ok(())
    })
}

/// Guards against streams that run to waste where no server of their release is left.
#[test]
fn without_a_server_of_its_release_a_stream_is_refused_at_once() -> Result {
    run(async |executor| {
        let (site, servers, boxes) = start(&executor).await?;
        let begun = begin(&boxes[0], &servers, &post("/c/x", "first")).await?;
        let began = releases([&begun]);
        for server in &servers {
            let release = server.settings().release.clone();
            if release.is_some_and(|release| began.contains(&release)) {
                site.announce(server, State::Draining);
            }
        }
        wait_until("leaving", async || {
            let mut sends = 0;
            for server in &servers {
                sends += usize::from(boxes[1].sends_to(server)?);
            }
            Ok(sends == 3)
        })
        .await?;
        let before = deliveries(&servers);
        let asked = Instant::now();
        let call = take_up("/c/x", "again", "first", &begun);
        let answer = boxes[1].call(&call).await?;
        ensure!(answer.status == 503, "{answer:?}");
        ensure!(asked.elapsed() < ms(500), "after {:?}", asked.elapsed());
        ensure!(deliveries(&servers) == before, "something was sent");
        Ok(())
    })
}

/// Guards against streams that go on though nobody knows which release began them, and
/// against answers that tell what other accounts' streams are.
#[test]
fn a_stream_of_unknown_origin_is_refused_while_two_releases_serve() -> Result {
    run(async |executor| {
        let (_site, servers, boxes) = start(&executor).await?;
        let call = post("/k/x", "first").key("first");
        let begun = begin(&boxes[0], &servers, &call).await?;
        let before = deliveries(&servers);
        let unnamed = post("/k/x", "again").with(names::LAST_EVENT, "4");
        let calls = [
            unnamed.key("first"),
            take_up("/k/x", "again", "never", &begun).key("first"),
            take_up("/k/x", "again", "first", &begun).key("second"),
        ];
        let mut heads = BTreeSet::new();
        for call in &calls {
            let answer = boxes[1].call(call).await?;
            ensure!(answer.status == 503, "{answer:?}");
            heads.insert(format!("{:?} {:?}", answer.fields, answer.body));
        }
        ensure!(heads.len() == 1, "{heads:?}");
        ensure!(deliveries(&servers) == before, "something was sent");
        let call = take_up("/k/x", "again", "first", &begun).key("first");
        ensure_one_stream(&[&begun, &boxes[1].call(&call).await?])
    })
}

/// Two servers of one release, and boxes in two halls. `knows_start`: whether the boxes know that
/// nothing served before them; otherwise the store has a complete record of the time before.
async fn start_one_release(
    executor: &Executor,
    knows_start: bool,
) -> Result<(Site, Vec<Server>, Vec<TestBox>)> {
    let site = site()?;
    let servers = [1, 2].map(|number| site.server(settings(number, "hall-1", "v1")));
    let servers = servers.into_iter().collect::<std::io::Result<_>>()?;
    if !knows_start {
        let entry = json!({"releases": ["v1"], "complete_in": site.store.era()});
        site.store.put("tidepier/releases/service-1", &entry);
    }
    let boxes = start_boxes_in(executor, &site, &["hall-1", "hall-2"]).await?;
    if knows_start {
        for it in &boxes {
            it.router.relay().fleet.releases.record_first_start();
        }
    }
    wait_until("know each other", async || {
        Ok(boxes.iter().all(|it| it.router.relay().boxes() == 2))
    })
    .await?;
    Ok((site, servers, boxes))
}

/// Number of streams whose origin a box knows.
pub(crate) fn known(at: &TestBox) -> usize {
    at.router.relay().origins.table.len()
}

/// Guards against messages for streams of which every box knows the release.
#[test]
fn nobody_is_told_of_streams_of_a_service_with_one_release() -> Result {
    run(async |executor| {
        let (_site, servers, boxes) = start_one_release(&executor, true).await?;
        for number in 0..STREAMS {
            let call = post("/c/x", &format!("first-{number}"));
            begin(&boxes[0], &servers, &call).await?;
        }
        Timer::after(ms(600)).await;
        ensure!((known(&boxes[0]), known(&boxes[1])) == (STREAMS, 0));
        Ok(())
    })
}

/// Guards against streams of unknown origin that began before a second release appeared.
#[test]
fn earlier_streams_are_told_of_when_a_second_release_appears() -> Result {
    run(async |executor| {
        let (site, mut servers, mut boxes) = start_one_release(&executor, true).await?;
        let begun = begin(&boxes[0], &servers, &post("/c/x", "first")).await?;
        servers.push(site.server(settings(3, "hall-2", "v2"))?);
        wait_until("told", async || Ok(known(&boxes[1]) == 1)).await?;
        drop(boxes.remove(0));
        let call = take_up("/c/x", "again", "first", &begun);
        ensure_one_stream(&[&begun, &boxes[0].call(&call).await?])
    })
}

/// Guards against streams at a release of which other boxes have not heard.
#[test]
fn a_new_release_gets_no_streams_until_all_boxes_know_it() -> Result {
    run(async |executor| {
        let (site, servers, boxes) = start_one_release(&executor, true).await?;
        // A box takes what it learns in its first second for old.
        Timer::after(ms(1_100)).await;
        let new = site.server(settings(3, "hall-1", "v2"))?;
        wait_until("known", async || Ok(boxes[0].sends_to(&new)?)).await?;
        let start = Instant::now();
        while start.elapsed() < ms(1_500) {
            let attempt = format!("{:?}", start.elapsed());
            boxes[0].call(&post("/c/x", &attempt)).await?;
        }
        ensure!(new.runs().is_empty(), "{} streams", new.runs().len());
        // Nothing else is left.
        servers.iter().for_each(Server::crash);
        wait_until("used", async || {
            boxes[0].call(&post("/t/x", "last")).await?;
            Ok(!new.runs().is_empty())
        })
        .await
    })
}

/// Guards against refusals after all boxes have started anew.
#[test]
fn boxes_that_all_start_anew_learn_the_releases_from_the_store() -> Result {
    run(async |executor| {
        let (site, mut servers, boxes) = start_one_release(&executor, false).await?;
        let begun = begin(&boxes[0], &servers, &post("/c/x", "first")).await?;
        // The number of releases that the store names.
        let recorded = || {
            let entry = site.store.value("tidepier/releases/service-1")?;
            let entry: Value = serde_json::from_slice(&entry).ok()?;
            Some(entry["releases"].as_array()?.len())
        };
        wait_until("recorded", async || Ok(recorded() == Some(1))).await?;
        drop(boxes);
        let boxes = start_boxes_in(&executor, &site, &["hall-1"]).await?;
        let call = take_up("/c/x", "again", "first", &begun);
        ensure_one_stream(&[&begun, &boxes[0].call(&call).await?])?;
        // A release that was there before may have begun the stream.
        servers.push(site.server(settings(3, "hall-1", "v2"))?);
        wait_until("recorded", async || Ok(recorded() == Some(2))).await?;
        site.withdraw(&servers[2]);
        drop(boxes);
        let boxes = start_boxes_in(&executor, &site, &["hall-1"]).await?;
        let call = take_up("/c/x", "later", "first", &begun);
        let answer = boxes[0].call(&call).await?;
        ensure!(answer.status == 503, "{answer:?}");
        Ok(())
    })
}

/// Guards against a box of a former release, which closes the connection, as a keeper.
#[test]
fn streams_are_taken_up_beside_boxes_that_keep_nothing() -> Result {
    run(async |executor| {
        let site = site()?;
        let servers = start_servers(&site)?;
        // It ranks before all others, and nothing listens there.
        let absent = crate::box_harness::address();
        crate::box_harness::register(&site, "former", "hall-1", absent)?;
        let boxes = start_boxes_in(&executor, &site, &["hall-1", "hall-1", "hall-1"]).await?;
        wait_until("know each other", async || {
            Ok(boxes.iter().all(|it| it.router.relay().boxes() == 4))
        })
        .await?;
        // What was told to it is lost.
        begin(&boxes[0], &servers, &post("/c/x", "lost")).await?;
        Timer::after(ms(200)).await;
        for number in 0..STREAMS {
            let first = format!("first-{number}");
            let begun = begin(&boxes[0], &servers, &post("/c/x", &first)).await?;
            let call = take_up("/c/x", &format!("again-{number}"), &first, &begun);
            ensure_one_stream(&[&begun, &boxes[1 + number % 2].call(&call).await?])?;
        }
        Ok(())
    })
}

/// Guards against streams that are refused though their service has only one release.
#[test]
fn streams_of_a_service_with_one_release_are_taken_up_anywhere() -> Result {
    run(async |executor| {
        let (_site, servers, boxes) = start_one_release(&executor, false).await?;
        for (number, at) in boxes.iter().enumerate() {
            let begun = begin(&boxes[0], &servers, &post("/c/x", "first")).await?;
            let unnamed = post("/c/x", &format!("unnamed-{number}"));
            let unnamed = unnamed.with(names::LAST_EVENT, "4");
            let unknown = take_up("/c/x", &format!("unknown-{number}"), "never", &begun);
            for call in [unnamed, unknown] {
                ensure_one_stream(&[&begun, &at.call(&call).await?])?;
            }
        }
        Ok(())
    })
}
