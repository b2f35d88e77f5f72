//! How many requests there are about which subject, and in which hall, as one box knows it.

use std::time::Duration;

use eyre::ensure;
use tidepier_admission::demand::{Demand, Service, Subject, Summary};
use tidepier_clock::Instant;
use tidepier_ids as ids;

use crate::choice_harness::id;
use crate::harness::{Result, SERVICE};

const SUBJECT: u64 = 7;
/// Servers of a service with so many that no subject has the requests of one.
const FEW: usize = 4;
/// Reported units for one request.
const UNITS: u32 = 10;

/// A service's requests of other boxes, and how many of them are about [`SUBJECT`].
fn summary(service: &ids::Service, all: u32, about: u32) -> Summary {
    let service = Service::new(service);
    let subject = Subject::new(service, SUBJECT);
    Summary {
        services: [(service, all * UNITS)].into(),
        subjects: [(subject, about * UNITS)].into(),
    }
}

/// Records this many requests about other subjects.
fn record_others(demand: &Demand, service: &ids::Service, count: u64, now: Instant) {
    (0..count).for_each(|number| demand.record(service, Some(1_000 + number), now));
}

fn ensure_close(share: f64, expected: f64) -> Result {
    ensure!((share - expected).abs() < 0.01, "{share} of {expected}");
    Ok(())
}

#[test]
fn a_share_is_that_of_all_boxes() -> Result {
    let (demand, service, now) = (Demand::default(), id(SERVICE)?, Instant::now());
    demand.record(&service, Some(SUBJECT), now);
    record_others(&demand, &service, 99, now);
    ensure_close(demand.subject_share(&service, SUBJECT, FEW, now), 0.01)?;
    demand.set_others(summary(&service, 900, 199), now);
    ensure_close(demand.subject_share(&service, SUBJECT, FEW, now), 0.2)?;
    let reported = demand.summary(now);
    let total = reported.services.get(&Service::new(&service));
    ensure!(total == Some(&(100 * UNITS)), "{reported:?}");
    Ok(())
}

/// Guards against a share that is taken over from another service with the same prompts.
#[test]
fn services_with_the_same_subjects_are_counted_apart() -> Result {
    let (demand, now) = (Demand::default(), Instant::now());
    let (first, second) = (id(SERVICE)?, id("another")?);
    record_others(&demand, &first, 50, now);
    (0..50).for_each(|_| demand.record(&first, Some(SUBJECT), now));
    record_others(&demand, &second, 20, now);
    let share = |service| demand.subject_share(service, SUBJECT, FEW, now);
    ensure!(share(&first) > 0.5, "{}", share(&first));
    ensure!(share(&second) == 0.0, "{}", share(&second));
    Ok(())
}

/// Guards against boxes that wait for each other's reports while a subject rises.
#[test]
fn a_rise_shows_before_others_report_it() -> Result {
    let (demand, service, now) = (Demand::default(), id(SERVICE)?, Instant::now());
    demand.set_others(summary(&service, 2_000, 0), now);
    record_others(&demand, &service, 50, now);
    demand.record(&service, Some(SUBJECT), now);
    record_others(&demand, &service, 3, now);
    ensure_close(demand.subject_share(&service, SUBJECT, FEW, now), 0.25)
}

/// Guards against usual subjects of small fleets that are divided and copied.
#[test]
fn a_usual_subject_shows_no_rise() -> Result {
    let (demand, service, now) = (Demand::default(), id(SERVICE)?, Instant::now());
    demand.set_others(summary(&service, 200, 2), now);
    demand.record(&service, Some(SUBJECT), now);
    record_others(&demand, &service, 3, now);
    ensure_close(demand.subject_share(&service, SUBJECT, FEW, now), 0.015)
}

/// Guards against boxes that treat themselves as alone at each start, or for good.
#[test]
fn reports_lack_only_after_they_were_due_and_not_for_long() -> Result {
    let (demand, service, start) = (Demand::default(), id(SERVICE)?, Instant::now());
    let lacks = |after| demand.lacks_reports(&service, start + Duration::from_millis(after));
    ensure!(!lacks(2_000), "before the first request");
    demand.record(&service, None, start);
    ensure!(!lacks(900), "not due yet");
    ensure!(lacks(1_100) && lacks(4_900), "due and not there");
    ensure!(!lacks(5_100), "no longer just started");
    demand.set_others(summary(&service, 100, 0), start + Duration::from_secs(2));
    ensure!(!lacks(2_100), "reported");
    Ok(())
}

#[test]
fn a_halls_share_is_known_while_reports_arrive() -> Result {
    let (demand, service, now) = (Demand::default(), id(SERVICE)?, Instant::now());
    demand.set_others(summary(&service, 90, 0), now);
    ensure!(demand.hall_share(&service, now).is_none());
    demand.set_hall(summary(&service, 30, 0), now);
    ensure_close(demand.hall_share(&service, now).unwrap_or_default(), 0.33)?;
    let later = now + Duration::from_secs(2);
    ensure!(demand.hall_share(&service, later).is_none(), "old reports");
    Ok(())
}
