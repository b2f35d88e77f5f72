//! Servers that restart under the same id.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{ensure, eyre};
use tidepier_clock::Instant;
use tidepier_core::era::Revision;
use tidepier_core::server::{Server, StartTime, State};
use tidepier_relay::emptied_halls::List;
use tidepier_relay::fleet::{Change, Fleet};
use tidepier_relay::health::Outcome;
use tidepier_relay::message::follow::{Answer, Position, Row, Servers};
use tidepier_relay::message::VERSION;
use tidepier_relay_standin::server::Fault;

use crate::box_harness::start_boxes_with_reader;
use crate::choice_harness::{prompt, server, ChoiceHarness, LARGE};
use crate::harness::{
    count_runs, ensure_served_by, ms, post, run, server_settings, site, start_with_two_servers,
    wait_until, Result, SERVICE,
};
use crate::peer_answers::follower;

fn born(number: u16, birth: Option<u64>) -> Result<Server> {
    Ok(Server {
        born: birth.map(StartTime),
        ..server(number, State::Ready)?
    })
}

/// The cached prompts, the health and the announced cold time belong to the old
/// incarnation.
#[test]
fn a_new_incarnation_inherits_nothing_of_the_old_one() -> Result {
    let harness = ChoiceHarness::new("hall-1", [])?;
    let now = Instant::now();
    for number in 1..4 {
        harness.fleet.announce(born(number, Some(10))?, now);
    }
    let prompt = prompt(1, LARGE);
    let old = harness.send(&prompt)?;
    let id = old.server.id.clone();
    ensure!(
        harness.locations(&prompt).missing_tokens(old.key).tokens() == 0.0,
        "not recorded as cached"
    );
    old.record(Outcome::Unresponsive, now, now);
    let running = old.run(100);
    let again = Server {
        born: Some(StartTime(9)),
        cold: Duration::from_secs(3),
        ..old.server.clone()
    };
    // Clocks may be set back: a smaller start time is a new incarnation as well.
    ensure!(
        harness.fleet.announce(again.clone(), now) == Change::Restarted,
        "no new incarnation"
    );
    let new = harness.backend(&id)?;
    ensure!(!Rc::ptr_eq(&old, &new), "the same incarnation");
    ensure!(
        new.in_flight() == 0 && new.health.last_succeeded(),
        "counted for the new incarnation"
    );
    ensure!(
        !old.accepts_requests() && new.accepts_requests(),
        "the old incarnation accepts requests"
    );
    ensure!(new.cold_left(now) == Duration::from_secs(3), "warm");
    let lacks = harness.locations(&prompt).missing_tokens(new.key);
    ensure!(
        lacks.unconfirmed == LARGE,
        "still taken to have it cached: {lacks:?}"
    );
    drop(running);
    ensure!(
        harness.fleet.announce(again, now) == Change::None,
        "one more incarnation"
    );
    Ok(())
}

#[test]
fn an_entry_without_a_start_time_is_of_the_known_incarnation() -> Result {
    let fleet = Fleet::default();
    let now = Instant::now();
    for (first, second) in [(None, None), (None, Some(5)), (Some(5), None)] {
        let number = 1 + first.unwrap_or(0) as u16 + second.unwrap_or(0) as u16 * 2;
        fleet.announce(born(number, first)?, now);
        let id = server(number, State::Ready)?.id;
        let before = fleet.get(&id).ok_or_else(|| eyre!("unknown"))?;
        fleet.announce(born(number, second)?, now);
        let after = fleet.get(&id).ok_or_else(|| eyre!("gone"))?;
        ensure!(Rc::ptr_eq(&before, &after), "{first:?} then {second:?}");
        ensure!(
            after.born() == first.or(second).map(StartTime),
            "not learned"
        );
        let later = born(number, Some(6))?;
        if first.or(second).is_some() {
            ensure!(
                fleet.announce(later, now) == Change::Restarted,
                "no new incarnation"
            );
        }
    }
    Ok(())
}

fn row(birth: Option<u64>, revision: u64, state: State) -> Result<Row> {
    let server = Server {
        id: "i-1".parse()?,
        born: birth.map(StartTime),
        service: SERVICE.parse()?,
        address: SocketAddr::from(([127, 0, 0, 1], 4_000)),
        hall: "hall-1".parse()?,
        slots: 8,
        release: None,
        state,
        cold: Duration::ZERO,
    };
    Ok(Row::new(&server, Revision::of(revision)))
}

/// An answer of another box that knows these servers as of a revision.
fn answer_with(rows: Vec<Row>, seen: u64) -> Answer {
    Answer {
        version: VERSION,
        number: 1,
        age_ms: Some(0),
        known_ms: Some(0),
        revision: 0,
        status: None,
        document_bytes: None,
        emptied: Some(List::default()),
        rollouts: None,
        held_ms: 0,
        boxes: None,
        servers: Servers::All(rows, Revision::of(seen)),
        position: Position::default(),
    }
}

/// A slower box reports the old incarnation, that it is leaving, or that it is gone.
#[test]
fn a_late_report_of_the_old_incarnation_does_not_affect_the_new_one() -> Result {
    let (relay, follower) = follower()?;
    let id = "i-1".parse()?;
    let incarnation = || -> Result<_> {
        let known = relay.fleet.get(&id).ok_or_else(|| eyre!("unknown"))?;
        Ok((known.born(), known.accepts_requests()))
    };
    let apply = |answer| follower.apply_answer(answer, None, Instant::now());
    apply(answer_with(vec![row(Some(7), 10, State::Ready)?], 10))?;
    apply(answer_with(vec![row(Some(9), 20, State::Ready)?], 20))?;
    ensure!(incarnation()? == (Some(StartTime(9)), true), "not applied");
    apply(answer_with(vec![row(Some(7), 10, State::Ready)?], 12))?;
    apply(answer_with(vec![row(Some(7), 15, State::Draining)?], 15))?;
    apply(answer_with(vec![], 18))?;
    ensure!(
        incarnation()? == (Some(StartTime(9)), true),
        "the old incarnation is back"
    );
    Ok(())
}

/// A box that uses the older message format reports no start times, cold servers or
/// halls.
#[test]
fn messages_of_the_older_format_are_understood() -> Result {
    #[derive(serde::Serialize)]
    struct Older {
        id: &'static str,
        service: &'static str,
        address: SocketAddr,
        hall: &'static str,
        slots: u32,
        draining: bool,
        revision: u64,
    }
    let older = Older {
        id: "i-1",
        service: SERVICE,
        address: SocketAddr::from(([127, 0, 0, 1], 4_000)),
        hall: "hall-1",
        slots: 8,
        draining: false,
        revision: 10,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&older, &mut bytes)?;
    let read: Row = ciborium::from_reader(&*bytes)?;
    ensure!(read == row(None, 10, State::Ready)?, "{read:?}");
    let mut newer = Vec::new();
    ciborium::into_writer(&read, &mut newer)?;
    ensure!(
        newer == bytes,
        "a server without start time that is not cold costs bytes"
    );
    // That box does not know which halls are to be empty, so its answer does not confirm
    // that the local view is current.
    let (relay, follower) = follower()?;
    let answer = Answer {
        emptied: None,
        ..answer_with(vec![], 1)
    };
    let taken = follower.apply_answer(answer, None, Instant::now());
    ensure!(
        taken.is_err() && relay.view.age().is_none(),
        "the answer was applied"
    );
    Ok(())
}

#[test]
fn boxes_report_incarnations_and_cold_times() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let id = server.settings().id.parse()?;
        site.announce_with(&server, server.address(), State::Ready, |entry| {
            entry["born"] = 1_760_000_000_000_u64.into();
            entry["cold_remaining_ms"] = 60_000.into();
        });
        for test_box in &test_boxes {
            let fleet = &test_box.router.relay().fleet;
            wait_until("told", async || {
                let known = fleet.get(&id);
                Ok(known.is_some_and(|it| it.cold_left(Instant::now()) > ms(55_000)))
            })
            .await?;
        }
        site.announce_with(&server, server.address(), State::Ready, |entry| {
            entry["born"] = 1_760_000_000_777_u64.into();
        });
        for test_box in &test_boxes {
            let fleet = &test_box.router.relay().fleet;
            wait_until("restarted", async || {
                let known = fleet.get(&id).ok_or_else(|| eyre!("gone"))?;
                let warm = known.cold_left(Instant::now()).is_zero();
                Ok(known.born() == Some(StartTime(1_760_000_000_777)) && warm)
            })
            .await?;
            ensure_served_by(
                &test_box.call(&post("/r/x", &test_box.name)).await?,
                &[&server],
                &test_box.name,
            )?;
        }
        Ok(())
    })
}

/// A request that may run only once and is in flight at a server of which a new
/// incarnation becomes known is not sent again.
#[test]
fn a_new_incarnation_does_not_repeat_a_request_that_may_run_once() -> Result {
    run(async |executor| {
        let (near, far, harness) = start_with_two_servers(executor.clone()).await?;
        let entry = |birth: u64| {
            harness
                .site
                .announce_with(&near, near.address(), State::Ready, |entry| {
                    entry["born"] = birth.into();
                })
        };
        entry(1);
        let id = near.settings().id.parse()?;
        let fleet = &harness.router.relay().fleet;
        near.fault(Fault::Hang, u32::MAX);
        let front = harness.router_address();
        let call = post("/o/x", "once").leaving(ms(1_500));
        let sent =
            executor.spawn(async move { tidepier_relay_standin::Client::once(front, &call).await });
        wait_until("sent", async || Ok(near.running() == 1)).await?;
        entry(2);
        wait_until("restarted", async || {
            Ok(fleet
                .get(&id)
                .is_some_and(|it| it.born() == Some(StartTime(2))))
        })
        .await?;
        near.crash();
        let answer = sent.await?;
        ensure!(answer.status != 200, "{answer:?}");
        ensure!(count_runs(&[&near, &far], "once") == 1, "run again");
        Ok(())
    })
}
