//! When refused callers should return, and how those that do are distinguished from others.

use std::time::Duration;

use tidepier_admission::rate::Rate;
use tidepier_admission::returns::{delay, round, Timeouts, DELAY_MIN};
use tidepier_clock::Instant;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against delays that clients ignore as they exceed a third of the time left, and
/// against callers who return before the boxes know of the crowd. Odd rates, a box without
/// a known capacity and a caller without time left must not panic.
#[test]
fn a_delay_is_within_a_third_of_the_time_left() {
    let rates = [0.0, 1e-9, 20.0, 1e9, f64::INFINITY];
    for left in [0, 1, 300, 1_199, 1_200, 5_000, 600_000].map(ms) {
        for (refused, capacity) in rates.iter().flat_map(|a| rates.map(|b| (*a, b))) {
            // The quotient of two infinite rates has no value.
            if refused.is_infinite() {
                continue;
            }
            for (admitted, spread) in [(0.0, 0.0), (0.0, 1.0), (0.5, 0.5), (1.0, 0.999)] {
                let (refused, capacity) = (Rate(refused), Rate(capacity));
                let found = delay(left, admitted, refused, capacity, spread);
                assert!(found <= left / 3 + ms(1), "{found:?} of {left:?}");
                let least = DELAY_MIN.min(left / 3);
                assert!(found + ms(1) >= least, "{found:?} of {left:?}");
            }
        }
    }
}

/// Guards against a caller that gains another draw by a repetition before its delay is
/// over, also if the time that it sends has lost some milliseconds on the way.
#[test]
fn repetitions_at_once_have_the_same_round() {
    for elapsed in [0, 1, 40, 100, 300] {
        assert_eq!(round(ms(elapsed)), 0, "{elapsed} ms");
    }
    assert_eq!(round(DELAY_MIN), 1);
    assert_eq!(round(DELAY_MIN - ms(30)), 1, "early by the way to the box");
    assert!(round(ms(2_000)) > round(ms(1_000)));
}

/// Guards against a panic and a jump of the elapsed time if a client waits for less time
/// than others, and against a long time-out that is remembered for good.
#[test]
fn a_client_with_a_shorter_timeout_is_measured_against_the_longest() {
    let timeouts = Timeouts::default();
    let start = Instant::now();
    assert_eq!(timeouts.record("a", ms(3_000), start), Duration::ZERO);
    assert_eq!(timeouts.record("a", ms(5_000), start), Duration::ZERO);
    assert_eq!(timeouts.record("a", ms(3_000), start), ms(2_000));
    assert_eq!(timeouts.record("a", ms(2_900), start), ms(2_100));
    assert_eq!(timeouts.record("b", ms(3_000), start), Duration::ZERO);
    let later = start + Duration::from_secs(61);
    assert_eq!(timeouts.record("a", ms(3_000), later), Duration::ZERO);
    assert_eq!(timeouts.record("a", ms(2_000), later), ms(1_000));
}
