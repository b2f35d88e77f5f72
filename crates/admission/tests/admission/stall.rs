//! Which servers stand still, by what boxes report.

use std::time::Duration;

use tidepier_admission::stall::{limit, Detector, Life, Stall, Wait};
use tidepier_clock::Instant;

const LIMIT: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A wait at server 1 that goes on.
fn wait(time: u64) -> Wait<u8> {
    Wait {
        server: 1,
        boxes: 1,
        time: ms(time),
        ended: None,
        limit: LIMIT,
    }
}

/// An answer of server 1.
fn life(age: u64) -> Life<u8> {
    Life {
        server: 1,
        age: ms(age),
    }
}

/// For how long server 1 has stood still, in ms.
fn stalled(detector: &Detector<u8, u8>, now: Instant) -> Option<u128> {
    let stalls = detector.stalls(|_| None, now);
    stalls.first().map(|Stall { time, .. }| time.as_millis())
}

#[test]
fn a_wait_is_long_at_five_times_the_usual_time() {
    assert_eq!(limit(ms(30)), ms(200));
    assert_eq!(limit(ms(100)), ms(500));
}

/// Guards against a box that has lost its way to a server, or waits for a long request, and keeps
/// the others from that server.
#[test]
fn the_waits_of_one_box_show_nothing() {
    let (detector, start) = (Detector::default(), Instant::now());
    for time in [200, 600, 1_000] {
        detector.report(&1, &[wait(time)], start + ms(time));
        assert_eq!(stalled(&detector, start + ms(time)), None);
    }
}

#[test]
fn long_waits_of_two_boxes_show_a_stall() {
    let (detector, start) = (Detector::default(), Instant::now());
    detector.report(&1, &[wait(300)], start);
    detector.report(&2, &[wait(150)], start);
    assert_eq!(stalled(&detector, start), None, "one is short");
    assert_eq!(stalled(&detector, start + ms(50)), Some(200));
    detector.report(&2, &[], start + ms(60));
    assert_eq!(stalled(&detector, start + ms(60)), None, "it waits no more");
}

/// Guards against a server that is avoided although it answers other boxes.
#[test]
fn a_server_counts_as_silent_since_its_last_answer() {
    let (detector, start) = (Detector::default(), Instant::now());
    for reporter in [1, 2] {
        detector.report(&reporter, &[wait(500)], start);
    }
    detector.answered(&[life(100)], start);
    assert_eq!(stalled(&detector, start), None);
    assert_eq!(stalled(&detector, start + ms(100)), Some(200));
}

/// Guards against a server that is avoided for the waits of before it went on.
#[test]
fn waits_that_ended_before_an_answer_count_no_more() {
    let (detector, start) = (Detector::default(), Instant::now());
    for reporter in [1, 2] {
        let ended = Wait {
            ended: Some(ms(400)),
            ..wait(1_100)
        };
        detector.report(&reporter, &[ended], start);
    }
    assert_eq!(stalled(&detector, start), Some(1_500));
    detector.answered(&[life(0)], start);
    assert_eq!(stalled(&detector, start + ms(1_000)), None);
}

/// Guards against a server that loses some answers and is announced again and again.
#[test]
fn a_stall_that_was_wrong_takes_longer_waits_next_time() {
    let (detector, start) = (Detector::default(), Instant::now());
    let report = |at: Instant, time: u64| {
        for reporter in [1, 2] {
            detector.report(&reporter, &[wait(time)], at);
        }
    };
    report(start, 200);
    assert_eq!(stalled(&detector, start), Some(200));
    // It had answered before it was announced.
    detector.answered(&[life(50)], start + ms(20));
    report(start + ms(200), 400);
    assert_eq!(stalled(&detector, start + ms(200)), None);
    report(start + ms(400), 600);
    assert_eq!(stalled(&detector, start + ms(400)), Some(430));
    // It goes on later: that was no error.
    detector.answered(&[life(0)], start + ms(650));
    report(start + ms(12_000), 200);
    assert_eq!(
        stalled(&detector, start + ms(12_000)),
        Some(200),
        "it is over"
    );
}

/// Guards against boxes that report over another one and count as one box.
#[test]
fn waits_of_several_boxes_are_summed_up() {
    let (between, hub) = (Detector::default(), Detector::default());
    let start = Instant::now();
    assert_eq!(between.waits(start), []);
    between.report(&1, &[wait(700)], start);
    hub.report(&9, &between.waits(start), start);
    assert_eq!(stalled(&hub, start), None, "one box");
    between.report(&2, &[wait(300)], start);
    let ended = Wait {
        ended: Some(ms(50)),
        ..wait(250)
    };
    between.report(&3, &[ended], start);
    let sum = between.waits(start);
    let expected = Wait {
        boxes: 3,
        ..wait(300)
    };
    assert_eq!(sum, [expected]);
    hub.report(&9, &sum, start);
    assert_eq!(stalled(&hub, start), Some(300));
    assert_eq!(stalled(&between, start), Some(300));
}

/// Guards against what a box reported last that is gone.
#[test]
fn reports_expire() {
    let (detector, start) = (Detector::default(), Instant::now());
    for reporter in [1, 2] {
        detector.report(&reporter, &[wait(300)], start);
    }
    assert!(detector.is_shared());
    assert_eq!(stalled(&detector, start + ms(1_499)), Some(1_799));
    assert_eq!(stalled(&detector, start + ms(1_500)), None);
    assert!(!detector.is_shared());
}

/// Guards against figures of a faulty box that overflow.
#[test]
fn figures_beyond_all_bounds_are_ignored() {
    let (detector, start) = (Detector::default(), Instant::now());
    for reporter in [1, 2] {
        let longest = Wait {
            server: 1,
            boxes: u32::MAX,
            time: Duration::MAX,
            ended: Some(Duration::MAX),
            limit: Duration::MAX,
        };
        detector.report(&reporter, &[longest; 100], start);
        let no_limit = Wait {
            limit: Duration::ZERO,
            ..wait(100)
        };
        detector.report(&reporter, &[no_limit], start);
    }
    detector.answered(
        &[Life {
            server: 1,
            age: Duration::MAX,
        }],
        start,
    );
    assert_eq!(stalled(&detector, start), None);
}
