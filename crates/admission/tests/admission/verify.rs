//! For how long an answer counts, and the rate that this depends on.

use std::collections::HashMap;
use std::time::Duration;

use tidepier_admission::demand::{Demand, Summary};
use tidepier_admission::rate::Rate;
use tidepier_admission::verify::{
    check_limit, check_limit_before_request, lifetime, LIFETIME_MAX, LIFETIME_MIN,
};
use tidepier_clock::Instant;
use tidepier_ids as ids;

/// Requests that a server may get after its last answer.
const REQUESTS_MAX: f64 = 18.0;

fn service() -> ids::Service {
    "ledger-app".parse().expect("a valid name")
}

/// A box's requests at a rate, for some seconds, and its others' summary at the end.
fn demand_at(rate: f64, seconds: f64, others: Option<Summary>) -> (Demand, Instant) {
    let (demand, start) = (Demand::default(), Instant::now());
    let count = (rate * seconds) as u32;
    for number in 0..count {
        let at = start + Duration::from_secs_f64(f64::from(number) / rate);
        demand.record(&service(), None, at);
    }
    let end = start + Duration::from_secs_f64(seconds);
    if let Some(others) = others {
        demand.set_others(others, end);
    }
    (demand, end)
}

/// What a number of boxes report that each get requests at a rate, for as long.
fn reported(boxes: u32, rate: f64, seconds: f64) -> Summary {
    let (demand, end) = demand_at(rate, seconds, None);
    let services = demand.services(end).services.into_iter();
    let all = services.map(|(service, units)| (service, units * boxes));
    Summary {
        services: all.collect(),
        subjects: HashMap::new(),
    }
}

/// Guards against a bound on what a silent server gets that grows with the rate or the
/// number of boxes.
#[test]
fn an_answer_counts_for_eighteen_requests_or_six_tenths_of_a_second() {
    for rate in [0.3, 1.0, 15.0, 30.0, 300.0, 5_000.0] {
        let time = lifetime(Rate(rate));
        let requests = time.as_secs_f64() * rate;
        let most = REQUESTS_MAX.max(LIFETIME_MIN.as_secs_f64() * rate);
        assert!(requests <= most + 1e-6, "{rate}: {requests}");
        assert!(time >= LIFETIME_MIN, "{rate}: {time:?}");
    }
}

/// Guards against a service without requests that is checked again and again, and a rate that is
/// no number.
#[test]
fn an_answer_counts_for_a_minute_at_most() {
    for rate in [0.0, 1e-9, f64::NAN, f64::INFINITY] {
        let time = lifetime(Rate(rate));
        assert!((LIFETIME_MIN..=LIFETIME_MAX).contains(&time), "{time:?}");
    }
}

/// Guards against boxes that take the rate for lower than it is, and so send a silent server more:
/// with reports, without any, and soon after a start.
#[test]
fn the_rate_of_all_boxes_is_not_taken_for_low() {
    let (boxes, own) = (100, 1.5);
    let all = own * f64::from(boxes);
    for (seconds, is_reported) in [(30.0, true), (30.0, false), (2.0, true), (2.0, false)] {
        let others = is_reported.then(|| reported(boxes - 1, own, seconds));
        let (demand, end) = demand_at(own, seconds, others);
        let rate = demand.rate(&service(), boxes as usize, end).0;
        assert!(
            (0.9 * all..3.0 * all).contains(&rate),
            "{rate} of {all} after {seconds} s, reported: {is_reported}"
        );
    }
}

/// Guards against a box with few requests that takes the others to have none either.
#[test]
fn a_box_without_reports_expects_others_to_get_requests() {
    let (demand, now) = (Demand::default(), Instant::now());
    let rate = demand.rate(&service(), 300, now).0;
    assert!(rate >= 300.0 / 5.0, "{rate}");
}

/// Guards against sound servers of a hall far away that no answer can reach in the time of a
/// check, so that they look as though they stood still.
#[test]
fn a_check_leaves_time_for_the_way() {
    let ms = Duration::from_millis;
    for round_trip in [ms(0), ms(1), ms(8), ms(40), ms(160), ms(300)] {
        for left in [ms(50), ms(200), ms(400), ms(1_100), ms(4_000)] {
            let most = left.mul_f64(0.4);
            let limit = check_limit_before_request(round_trip, left);
            let Some(limit) = limit else {
                assert!(check_limit(round_trip) > most, "none with {left:?} left");
                continue;
            };
            assert!(limit >= round_trip * 2 + ms(50), "{limit:?}, {left:?} left");
            assert!(limit <= most, "{limit:?}, {left:?} left");
        }
    }
    assert!(check_limit_before_request(ms(160), ms(1_100)).is_some());
}
