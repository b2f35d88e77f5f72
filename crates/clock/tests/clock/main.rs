//! Moments and waits, with a machine that is suspended in between.

use std::time::Duration;

use tidepier_clock::{sleep, sleep_until, suspend, watch, Alarm, Instant, LOOK};

/// Far more than any test takes.
const LONG: Duration = Duration::from_secs(3_600);

#[test]
fn a_suspension_counts_though_the_steady_clock_stands_still() {
    let (moment, steady) = (Instant::now(), std::time::Instant::now());
    suspend(LONG);
    assert!(moment.elapsed() >= LONG);
    assert!(steady.elapsed() < LONG);
}

#[test]
fn moments_are_compared_and_moved() {
    let (moment, second) = (Instant::now(), Duration::from_secs(1));
    let later = moment + second;
    assert_eq!(later - moment, second);
    assert_eq!(later.duration_since(moment), second);
    assert_eq!(moment.duration_since(later), Duration::ZERO);
    assert_eq!(moment.checked_duration_since(later), None);
    assert_eq!(later.checked_duration_since(moment), Some(second));
    assert_eq!(later - second, moment);
    assert_eq!(moment.checked_add(Duration::MAX), None);
    assert_eq!(moment.checked_sub(Duration::MAX), None);
    assert!(later > moment);
}

#[test]
fn a_wait_ends_when_its_time_is_over() {
    smol::block_on(async {
        let steady = std::time::Instant::now();
        sleep(Duration::from_millis(30)).await;
        let moment = Instant::now() + Duration::from_millis(30);
        sleep_until(moment).await;
        assert!(Instant::now() >= moment);
        assert!(steady.elapsed() < LONG);
    });
}

#[test]
fn a_wait_ends_soon_after_a_suspension_that_was_longer() {
    smol::block_on(async {
        let steady = std::time::Instant::now();
        let watched = async {
            watch().await;
        };
        let suspended = async {
            smol::Timer::after(Duration::from_millis(20)).await;
            suspend(LONG);
            std::future::pending().await
        };
        let other = smol::future::or(watched, suspended);
        smol::future::or(sleep(LONG), other).await;
        assert!(steady.elapsed() < LOOK + Duration::from_secs(5));
    });
}

#[test]
fn an_alarm_is_set_to_another_moment() {
    smol::block_on(async {
        let mut alarm = Alarm::new(Instant::now() + 100 * LONG);
        let sooner = Instant::now() + Duration::from_millis(20);
        alarm.set_at(sooner);
        assert_eq!(alarm.at(), sooner);
        alarm.await;
        assert!(Instant::now() >= sooner);
    });
}

/// A stream's time-out is set again when it fires while events still arrive. After a
/// suspension that panicked, which ended the whole process.
#[test]
fn an_alarm_that_a_suspension_ended_is_set_again() {
    smol::block_on(async {
        let watched = async {
            watch().await;
        };
        let suspended = async {
            smol::Timer::after(Duration::from_millis(20)).await;
            suspend(LONG);
            std::future::pending().await
        };
        let waits = async {
            let mut alarm = Alarm::new(Instant::now() + LONG);
            (&mut alarm).await;
            let again = Instant::now() + Duration::from_millis(20);
            alarm.set_at(again);
            (&mut alarm).await;
            assert!(Instant::now() >= again);
        };
        smol::future::or(waits, smol::future::or(watched, suspended)).await;
    });
}
