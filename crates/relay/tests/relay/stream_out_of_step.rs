//! What clients get that take a stream up at a box that is out of step with the others while
//! servers of a new release join.

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::era::{Era, Revision};
use tidepier_core::server::State;
use tidepier_relay::message::follow::{Answer as Report, Row, Servers, Status};
use tidepier_relay_standin::client::Answer;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, release_of, Server};
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::View;

use crate::box_harness::{wait_until_ready, TestBox, APPLY_TIME};
use crate::choice_harness;
use crate::harness::{ms, post, run, wait_until, Executor, Result};
use crate::peer_answers;
use crate::stream_releases::{begin, deliveries, ensure_one_stream, settings, site, take_up};

/// Number of slots that only servers of the new release have.
const SLOTS: usize = 7;

/// A fleet that knows that nothing served before it, with servers of `v1` and four boxes. The
/// last one keeps no origins of streams that begin at the first one.
pub(crate) struct Fleet {
    pub(crate) site: Site,
    pub(crate) old: Vec<Server>,
    pub(crate) boxes: Vec<TestBox>,
    _view: View,
}

impl Fleet {
    /// `learns`: whether the last box learns of servers of the new release.
    pub(crate) async fn start(executor: &Executor, learns: bool) -> Result<Self> {
        let site = site()?;
        let old = vec![
            site.server(settings(1, "hall-1", "v1"))?,
            site.server(settings(2, "hall-1", "v1"))?,
        ];
        let seen = format!("\"service\":\"service-1\",\"slots\":{SLOTS}");
        let hidden = (seen.clone(), seen.replace("service-1", "service-9"));
        let view = site
            .store
            .view(if learns { vec![] } else { vec![hidden] })?;
        let boxes = vec![
            TestBox::start(executor, &site, "box-0", "hall-1", 5_000).await?,
            TestBox::start(executor, &site, "box-1", "hall-1", 4_000).await?,
            TestBox::start(executor, &site, "box-2", "hall-2", 3_000).await?,
            TestBox::with_view(executor, &site, "box-3", "hall-3", view.address()).await?,
        ];
        wait_until_ready(&boxes).await?;
        for it in &boxes {
            it.router.relay().fleet.releases.record_first_start();
        }
        wait_until("know each other", async || {
            Ok(boxes.iter().all(|it| it.router.relay().boxes() == 4))
        })
        .await?;
        // A box takes what it learns when it starts for old.
        Timer::after(ms(1_100)).await;
        Ok(Self {
            site,
            old,
            boxes,
            _view: view,
        })
    }

    /// Starts a server of the new release.
    pub(crate) fn join(&self, number: u32) -> Result<Server> {
        let settings = server::Settings {
            slots: SLOTS,
            ..settings(number, "hall-1", "v2")
        };
        Ok(self.site.server(settings)?)
    }

    /// Begins a stream at the new release, as no other server is left; then one of the old
    /// release joins again.
    pub(crate) async fn begin_at_new(&self) -> Result<(Answer, Server)> {
        let new = self.join(11)?;
        wait_until("known", async || Ok(self.boxes[0].sends_to(&new)?)).await?;
        self.old.iter().for_each(|server| {
            self.site.withdraw(server);
        });
        wait_until("gone", async || {
            Ok(!self.old.iter().any(|server| self.boxes[0].knows(server)))
        })
        .await?;
        let servers = [new];
        let begun = begin(&self.boxes[0], &servers, &post("/c/x", "first")).await?;
        self.site.announce(&self.old[0], State::Ready);
        wait_until("joined", async || {
            Ok(self.boxes.iter().all(|it| it.knows(&self.old[0])))
        })
        .await?;
        let [new] = servers;
        Ok((begun, new))
    }
}

/// Checks that no event of an answer is from another release than the stream's.
pub(crate) fn ensure_not_joined(begun: &Answer, rest: &Answer) -> Result {
    let events = begun.events.iter().chain(&rest.events);
    let mut releases: Vec<&str> = events.filter_map(|it| release_of(&it.text)).collect();
    releases.dedup();
    ensure!(
        releases.len() == 1,
        "status {}, written by {releases:?}",
        rest.status
    );
    Ok(())
}

/// Guards against a box that takes a service for one with one release, though the box that
/// keeps the stream knows better.
#[test]
fn what_a_keeper_knows_of_a_stream_counts_more_than_what_a_box_knows_of_its_service() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor, false).await?;
        let (begun, new) = fleet.begin_at_new().await?;
        let late = &fleet.boxes[3];
        ensure!(!late.sends_to(&new)?, "the case did not arise");
        let call = take_up("/c/x", "again", "first", &begun);
        ensure_not_joined(&begun, &late.call(&call).await?)
    })
}

/// Guards against the same for a client that names no attempt.
#[test]
fn a_stream_that_is_not_named_does_not_go_on_if_another_box_knows_a_second_release() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor, false).await?;
        let (begun, new) = fleet.begin_at_new().await?;
        let late = &fleet.boxes[3];
        ensure!(!late.sends_to(&new)?, "the case did not arise");
        let last = begun.ids().last().copied().unwrap_or_default();
        let call = post("/c/x", "again").with(names::LAST_EVENT, &last.to_string());
        ensure_not_joined(&begun, &late.call(&call).await?)
    })
}

/// Guards against a box that takes a release for old that joins when the box has just started.
#[test]
fn a_box_that_has_just_started_begins_no_stream_at_a_release_that_joins() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor, true).await?;
        let site = &fleet.site;
        let started = TestBox::start(&executor, site, "box-4", "hall-1", 2_000).await?;
        wait_until_ready(std::slice::from_ref(&started)).await?;
        wait_until("knows the old release", async || {
            Ok(fleet.old.iter().all(|it| started.knows(it)))
        })
        .await?;
        let new = fleet.join(11)?;
        wait_until("known", async || Ok(started.sends_to(&new)?)).await?;
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < ms(2_000) {
            number += 1;
            let call = post("/c/x", &format!("first-{number}"));
            started.call(&call).await?;
            ensure!(new.runs().is_empty(), "used after {:?}", start.elapsed());
        }
        Ok(())
    })
}

/// Guards against a box that stood still, and takes streams up by what it knew before.
#[test]
fn a_box_that_stood_still_takes_no_stream_up_at_another_release() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor, true).await?;
        let late = &fleet.boxes[3];
        late.freeze(true);
        let new = [fleet.join(11)?, fleet.join(12)?];
        // Longer than a new release gets no streams.
        Timer::after(ms(3_400)).await;
        fleet.old.iter().for_each(|server| {
            fleet.site.withdraw(server);
        });
        wait_until("gone", async || {
            Ok(!fleet.old.iter().any(|server| fleet.boxes[0].knows(server)))
        })
        .await?;
        let begun = begin(&fleet.boxes[0], &new, &post("/c/x", "first")).await?;
        let before = deliveries(&fleet.old);
        let named = take_up("/c/x", "again", "first", &begun);
        let last = begun.ids().last().copied().unwrap_or_default();
        let unnamed = post("/c/x", "unnamed").with(names::LAST_EVENT, &last.to_string());
        let resume = async {
            // The calls arrive while the box still stands still.
            Timer::after(ms(100)).await;
            late.freeze(false);
            Ok(())
        };
        let calls = futures_lite::future::try_zip(late.call(&named), late.call(&unnamed));
        let ((named, unnamed), ()) = futures_lite::future::try_zip(calls, resume).await?;
        ensure_not_joined(&begun, &named)?;
        ensure_not_joined(&begun, &unnamed)?;
        ensure!(deliveries(&fleet.old) == before, "something was sent");
        Ok(())
    })
}

/// Guards against a box that is cut off from the store, and takes streams up by what it knew
/// before.
#[test]
fn a_box_that_is_cut_off_from_the_store_takes_no_stream_up_at_another_release() -> Result {
    for other_boxes in [true, false] {
        run(async |executor| {
            let mut fleet = Fleet::start(&executor, true).await?;
            let late = fleet.boxes.remove(3);
            late.store.make_unresponsive();
            if !other_boxes {
                late.router.relay().origins.set_keepers(Default::default());
            }
            let new = [fleet.join(11)?];
            wait_until("known", async || Ok(fleet.boxes[0].sends_to(&new[0])?)).await?;
            Timer::after(ms(3_400)).await;
            let mut number = 0;
            // Streams begin at both releases.
            while number < 12 {
                number += 1;
                let first = format!("first-{number}");
                let all: Vec<&Server> = fleet.old.iter().chain(&new).collect();
                all.iter()
                    .for_each(|it| it.fault(server::Fault::CutEvent, 1));
                let begun = fleet.boxes[0].call(&post("/c/x", &first)).await?;
                all.iter().for_each(|it| it.heal());
                if begun.ids().is_empty() {
                    continue;
                }
                let call = take_up("/c/x", &format!("again-{number}"), &first, &begun);
                ensure_not_joined(&begun, &late.call(&call).await?)?;
            }
            Ok(())
        })?;
    }
    Ok(())
}

/// Guards against a box whose configuration is confirmed while its list of servers is old, and which
/// takes a service for one with a single release.
#[test]
fn a_box_with_an_old_list_of_servers_does_not_know_the_releases() -> Result {
    let entry = tidepier_core::server::Server {
        release: Some("v1".parse()?),
        ..choice_harness::server(1, State::Ready)?
    };
    let row = Row::new(&entry, Revision::new(Era(1), 3));
    for (list_age, is_known) in [(ms(10), true), (APPLY_TIME, false)] {
        let (relay, follower) = peer_answers::follower()?;
        relay.fleet.releases.record_first_start();
        let status = Status {
            era: 1,
            first: 1,
            settled: true,
            in_force: 7,
            stored: 7,
            state: 4,
            followed_ms: Some(list_age.as_millis() as u64),
            in_grace_period: false,
        };
        let answer = Report {
            status: Some(status),
            ..peer_answers::confirmed_answer(
                10,
                4,
                Servers::All(vec![row.clone()], Revision::new(Era(1), 4)),
            )
        };
        let asked = Instant::now();
        peer_answers::deliver(&follower, answer, Some(peer_answers::document(7)), asked)?;
        let now = Instant::now();
        ensure!(relay.view.is_fresh(ms(1_000)), "{:?}", relay.view.age());
        let sole = relay.sole_origin(&entry.service, now);
        ensure!(sole.is_some() == is_known, "{list_age:?}: {sole:?}");
    }
    Ok(())
}

/// Guards against streams that are held, or refused, as the other boxes do not answer.
#[test]
fn a_stream_of_the_only_release_goes_on_soon_though_no_other_box_answers() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor, true).await?;
        let begun = begin(&fleet.boxes[0], &fleet.old, &post("/c/x", "first")).await?;
        let [others @ .., last] = &*fleet.boxes else {
            return Err(eyre!("no boxes"));
        };
        others.iter().for_each(|it| it.freeze(true));
        let asked = Instant::now();
        let rest = last
            .call(&take_up("/c/x", "again", "first", &begun))
            .await?;
        ensure!(asked.elapsed() < ms(600), "after {:?}", asked.elapsed());
        ensure_one_stream(&[&begun, &rest])
    })
}
