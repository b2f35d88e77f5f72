//! What a box learns of a server by requests alone, once it sends none there.
//!
//! Seen: three of four boxes sent all streams to one of three servers for as long as
//! they were watched, though the others had been well for ten seconds; and a server that
//! had turned a single request away got none of the next two hundred. Cause: the share
//! of failed requests and the time to an answer changed with requests only, and what
//! they cost kept all requests away while there were few. Proved by the logs of the
//! boxes, where the shares stood at 0.15 to 0.48, and by the tests here.

use std::time::Duration;

use eyre::ensure;
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_relay::choose::filter::Filter;
use tidepier_relay::choose::{self, Criteria};
use tidepier_relay::health::Outcome;

use crate::choice_harness::{id, ChoiceHarness, CONNECTIONS};
use crate::harness::{ms, Result};

/// Requests that are placed one after the other, with none under way.
const ASKED: usize = 300;
/// Least of them for each of three servers of which nothing bad is known lately: a
/// third of its equal share.
const SHARE: usize = ASKED / 9;

/// How many of some requests at a plain service a server gets.
fn placed(desk: &ChoiceHarness, server: &ids::Server, now: Instant) -> usize {
    let ask = Criteria {
        prompt: None,
        copy_ms: None,
        tried: &[],
        filter: Filter::default(),
        hall: &desk.hall,
        not_resumable: false,
        connections: CONNECTIONS,
        crowd_factor: 2.0,
    };
    let choices = (0..ASKED).filter_map(|_| {
        let choice = choose::choose(&desk.fleet, &desk.service, &ask, &desk.index, now);
        choice.filter(|choice| choice.backend.server.id == *server)
    });
    choices.count()
}

/// A box with three servers in its hall.
fn desk() -> Result<ChoiceHarness> {
    ChoiceHarness::new("hall-2", [1, 3, 5])
}

/// The same with servers 1 to 3, the second one in another hall.
fn halls() -> Result<ChoiceHarness> {
    ChoiceHarness::new("hall-2", [1, 2, 3])
}

fn fail(desk: &ChoiceHarness, number: u16, share: f64, at: Instant) -> Result {
    let backend = desk.backend(&id(&format!("i-{number}"))?)?;
    for number in 1..=40 {
        let failed = (f64::from(number) * share).fract() < share;
        backend.record(
            if failed {
                Outcome::Errored
            } else {
                Outcome::Succeeded
            },
            at,
        );
    }
    Ok(())
}

#[test]
fn failures_long_past_keep_no_request_away() -> Result {
    for share in [0.6, 1.0] {
        let desk = desk()?;
        let start = desk.start;
        fail(&desk, 1, share, start)?;
        fail(&desk, 3, 0.0, start)?;
        fail(&desk, 5, share, start)?;
        let got = |number: u16, after| -> Result<usize> {
            Ok(placed(&desk, &id(&format!("i-{number}"))?, start + after))
        };
        let sound = got(3, ms(10))?;
        ensure!(sound == ASKED, "share {share}: {sound} at the sound one");
        for number in [1, 5] {
            let later = got(number, Duration::from_secs(6))?;
            ensure!(later >= SHARE, "share {share}: {later} at {number}");
        }
    }
    Ok(())
}

#[test]
fn a_server_of_which_no_time_is_known_gets_its_share() -> Result {
    let desk = desk()?;
    for number in [1, 3] {
        desk.backend(&id(&format!("i-{number}"))?)?
            .health
            .record_latency(ms(5), desk.start);
    }
    let got = placed(&desk, &id("i-5")?, desk.start + ms(10));
    ensure!(got >= SHARE, "{got} of {ASKED}");
    Ok(())
}

/// A server that was slow for a while is avoided, and found out about again later.
#[test]
fn slowness_long_past_keeps_no_request_away() -> Result {
    let desk = desk()?;
    for (number, time) in [(1, 5), (3, 5), (5, 400)] {
        let backend = desk.backend(&id(&format!("i-{number}"))?)?;
        backend.health.record_latency(ms(time), desk.start);
    }
    let slow = id("i-5")?;
    let at_once = placed(&desk, &slow, desk.start + ms(10));
    ensure!(at_once == 0, "{at_once} at once");
    let soon = placed(&desk, &slow, desk.start + Duration::from_secs(5));
    ensure!(soon == 0, "{soon} while it may be slow still");
    let later = placed(&desk, &slow, desk.start + Duration::from_secs(90));
    ensure!(later >= SHARE, "{later} of {ASKED}");
    Ok(())
}

/// Both servers of the box's hall turn requests away without a word on for how long, one
/// elsewhere is idle.
#[test]
fn a_server_that_turns_requests_away_is_left_for_an_idle_one() -> Result {
    let desk = halls()?;
    let far = id("i-2")?;
    let start = desk.start;
    ensure!(placed(&desk, &far, start) == 0, "the case did not arise");
    for number in [1, 3] {
        let backend = desk.backend(&id(&format!("i-{number}"))?)?;
        backend.health.record_rejection(start);
    }
    let at_once = placed(&desk, &far, start + ms(20));
    ensure!(at_once == ASKED, "{at_once} of {ASKED} elsewhere");
    let later = placed(&desk, &far, start + Duration::from_secs(10));
    ensure!(later == 0, "{later} elsewhere for good");
    Ok(())
}
