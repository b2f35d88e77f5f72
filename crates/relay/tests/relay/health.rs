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
use tidepier_relay::fleet::probes::Probes;
use tidepier_relay::fleet::used::Used;
use tidepier_relay::fleet::Hall;
use tidepier_relay::health::{Health, Outcome};

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
        repeatable: false,
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

/// Guards against a server that is ejected as it is sound again: requests of the time in which
/// it answered none were given up later.
#[test]
fn failures_of_requests_sent_before_an_answered_one_eject_no_server() -> Result {
    let (health, start) = (Health::default(), Instant::now());
    health.record_answering(start + Duration::from_secs(3));
    for number in 0..40 {
        let sent = start + ms(number * 50);
        let now = sent + Duration::from_secs(4);
        health.record(Outcome::Unresponsive, sent, now);
        ensure!(health.allows(now), "ejected by request {number}");
    }
    Ok(())
}

/// Guards against an ejection that each of the requests under way then made longer.
#[test]
fn failures_of_requests_sent_before_an_ejection_do_not_prolong_it() -> Result {
    let (health, start) = (Health::default(), Instant::now());
    for number in 0..40 {
        let sent = start + ms(number * 10);
        health.record(Outcome::Unresponsive, sent, sent + ms(600));
    }
    let later = start + ms(1_000);
    ensure!(health.allows(later), "ejected for longer than at first");
    Ok(())
}

/// Guards against a server that is avoided until a long answer has ended.
#[test]
fn a_server_that_begins_an_answer_gets_requests_until_the_next_failure() -> Result {
    let (health, start) = (Health::default(), Instant::now());
    for _ in 0..3 {
        health.record(Outcome::Errored, start, start);
    }
    let probe = start + ms(900);
    health.record_sent(probe);
    ensure!(!health.allows(probe + ms(10)), "a second probe at once");
    health.record_answering(probe);
    ensure!(health.allows(probe + ms(20)), "still avoided");
    let failed = probe + ms(200);
    health.record(Outcome::Errored, failed, failed);
    ensure!(!health.allows(failed + ms(10)), "not ejected again");
    Ok(())
}

/// Guards against failures that count the more the longer their requests waited.
#[test]
fn a_failure_counts_as_of_when_its_request_was_sent() -> Result {
    let start = Instant::now();
    let rate = |waited: Duration| {
        let health = Health::default();
        let now = start + waited;
        health.record(Outcome::Unresponsive, start, now);
        health.failure_rate(now)
    };
    let (soon, late) = (rate(ms(200)), rate(Duration::from_secs(6)));
    ensure!(
        late < soon / 3.0,
        "{late:.3} after 6 s, {soon:.3} after 0.2 s"
    );
    Ok(())
}

/// Guards against a hall that is avoided though its servers have answered since the request was
/// sent that was given up.
#[test]
fn a_hall_that_has_answered_since_is_not_unresponsive() -> Result {
    let (hall, sent) = (Hall::default(), Instant::now());
    hall.record_received(sent + ms(300));
    hall.record_unresponsive(sent);
    ensure!(!hall.is_unresponsive(sent + ms(2_000)), "avoided");
    let sent = sent + ms(400);
    hall.record_unresponsive(sent);
    ensure!(hall.is_unresponsive(sent + ms(1_000)), "a silent hall");
    Ok(())
}

/// Guards against a server that looks slow after it stood still: requests that had waited
/// there were answered late, after others.
#[test]
fn latencies_from_before_a_later_answer_do_not_count() -> Result {
    let (health, start) = (Health::default(), Instant::now());
    health.record_latency(ms(20), start);
    let later = start + Duration::from_secs(4);
    health.record_latency(ms(20), later);
    for waited in [1_500, 2_500, 3_500] {
        health.record_latency(ms(waited), later + ms(5));
    }
    let mean = health.mean_latency_ms();
    ensure!(mean.is_some_and(|mean| mean < 30.0), "{mean:?}");
    Ok(())
}

/// Guards against servers that are found sound only seconds after a harm where requests are
/// few, though most of these could be sent again.
#[test]
fn requests_that_may_be_sent_again_probe_more_often() -> Result {
    let (probes, service) = (Probes::default(), "service-1".parse()?);
    for (repeatable, expected) in [(false, 40), (true, 120)] {
        let taken = (0..1_000).filter(|_| probes.take(&service, repeatable));
        let taken = taken.count();
        ensure!(taken.abs_diff(expected) <= 1, "{repeatable}: {taken}");
    }
    Ok(())
}
