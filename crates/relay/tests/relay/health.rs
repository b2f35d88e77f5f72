//! What a box learns about a server, by requests alone, after it has stopped sending any
//! there.
//!
//! These tests guard against a server that is avoided forever. For as long as they were
//! watched, three of four boxes sent all streams to one of three servers, although the
//! others had been healthy for ten seconds. A server that had rejected a single request got
//! none of the next two hundred. The cause: the failure rate and the response time changed
//! only with requests, and their cost kept all requests away while the load was low. The
//! logs of the boxes confirmed it with failure rates that stayed at 0.15 to 0.48, and so do
//! the tests here.

use std::time::Duration;

use eyre::ensure;
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_relay::choose::filter::Filter;
use tidepier_relay::choose::{self, Criteria};
use tidepier_relay::fleet::used::Used;
use tidepier_relay::health::Outcome;

use crate::choice_harness::{id, ChoiceHarness, CONNECTIONS};
use crate::harness::{ms, Result};

/// Requests that are placed one after another, with none in flight.
const ASKED: usize = 300;
/// Minimum number of them for each of three servers without recent problems: a third of its
/// equal share.
const SHARE: usize = ASKED / 9;

/// How many of these requests to a plain service a server gets.
fn placed(harness: &ChoiceHarness, server: &ids::Server, now: Instant) -> usize {
    let criteria = Criteria {
        prompt: None,
        copy_ms: None,
        tried: &[],
        used: &Used::default(),
        filter: Filter::default(),
        hall: &harness.hall,
        not_resumable: false,
        connections: CONNECTIONS,
        crowd_factor: 2.0,
        boxes: 1,
    };
    let choices = (0..ASKED).filter_map(|_| {
        let choice = choose::choose(
            &harness.fleet,
            &harness.service,
            &criteria,
            &harness.index,
            now,
        );
        choice.filter(|choice| choice.backend.server.id == *server)
    });
    choices.count()
}

/// A box with three servers in its hall.
fn harness() -> Result<ChoiceHarness> {
    ChoiceHarness::new("hall-2", [1, 3, 5])
}

/// The same with servers 1 to 3, the second one in another hall.
fn two_hall_harness() -> Result<ChoiceHarness> {
    ChoiceHarness::new("hall-2", [1, 2, 3])
}

fn fail(harness: &ChoiceHarness, number: u16, share: f64, at: Instant) -> Result {
    let backend = harness.backend(&id(&format!("i-{number}"))?)?;
    for number in 1..=40 {
        let failed = (f64::from(number) * share).fract() < share;
        backend.record(
            if failed {
                Outcome::Errored
            } else {
                Outcome::Succeeded
            },
            at,
            at,
        );
    }
    Ok(())
}

#[test]
fn old_failures_keep_no_request_away() -> Result {
    for share in [0.6, 1.0] {
        let harness = harness()?;
        let start = harness.start;
        fail(&harness, 1, share, start)?;
        fail(&harness, 3, 0.0, start)?;
        fail(&harness, 5, share, start)?;
        let got = |number: u16, after| -> Result<usize> {
            Ok(placed(
                &harness,
                &id(&format!("i-{number}"))?,
                start + after,
            ))
        };
        let sound = got(3, ms(10))?;
        ensure!(sound == ASKED, "share {share}: {sound} at the healthy one");
        for number in [1, 5] {
            let later = got(number, Duration::from_secs(6))?;
            ensure!(later >= SHARE, "share {share}: {later} at {number}");
        }
    }
    Ok(())
}

#[test]
fn a_server_without_a_known_latency_gets_its_share() -> Result {
    let harness = harness()?;
    for number in [1, 3] {
        harness
            .backend(&id(&format!("i-{number}"))?)?
            .health
            .record_latency(ms(5), harness.start);
    }
    let got = placed(&harness, &id("i-5")?, harness.start + ms(10));
    ensure!(got >= SHARE, "{got} of {ASKED}");
    Ok(())
}

/// A server that was slow for a while is avoided, and tried again later.
#[test]
fn old_slowness_keeps_no_request_away() -> Result {
    let harness = harness()?;
    for (number, time) in [(1, 5), (3, 5), (5, 400)] {
        let backend = harness.backend(&id(&format!("i-{number}"))?)?;
        backend.health.record_latency(ms(time), harness.start);
    }
    let slow = id("i-5")?;
    let at_once = placed(&harness, &slow, harness.start + ms(10));
    ensure!(at_once == 0, "{at_once} at once");
    let soon = placed(&harness, &slow, harness.start + Duration::from_secs(5));
    ensure!(soon == 0, "{soon} while it may be slow still");
    let later = placed(&harness, &slow, harness.start + Duration::from_secs(90));
    ensure!(later >= SHARE, "{later} of {ASKED}");
    Ok(())
}

/// Both servers of the box's hall reject requests without requesting a back-off; a server
/// in another hall is idle.
///
#[test]
fn an_idle_server_is_preferred_to_one_that_rejects_requests() -> Result {
    let harness = two_hall_harness()?;
    let far = id("i-2")?;
    let start = harness.start;
    ensure!(placed(&harness, &far, start) == 0, "the case did not arise");
    for number in [1, 3] {
        let backend = harness.backend(&id(&format!("i-{number}"))?)?;
        backend.health.record_rejection(start);
    }
    let at_once = placed(&harness, &far, start + ms(20));
    ensure!(at_once == ASKED, "{at_once} of {ASKED} elsewhere");
    let later = placed(&harness, &far, start + Duration::from_secs(10));
    ensure!(later == 0, "{later} elsewhere for good");
    Ok(())
}
