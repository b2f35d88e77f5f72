//! Detection of subjects whose share of the requests has just risen.

use std::time::Duration;

use eyre::ensure;
use tidepier_admission::demand::{Demand, Service, Subject};
use tidepier_admission::rise::{Detector, Rise, Sample};
use tidepier_clock::Instant;
use tidepier_ids as ids;

use crate::choice_harness::id;
use crate::harness::{Result, SERVICE};

const SUBJECT: u64 = 7;
/// Time between two samples: a hub gets up to 200 a second.
const INTERVAL: Duration = Duration::from_millis(5);

/// A hub that gets samples at the highest rate.
struct Hub {
    detector: Detector,
    service: Service,
    now: Instant,
    /// Number of the next subject with a single request.
    next: u64,
}

impl Hub {
    fn new() -> Result<Self> {
        let service: ids::Service = id(SERVICE)?;
        Ok(Self {
            detector: Detector::default(),
            service: Service::new(&service),
            now: Instant::now(),
            next: 1_000,
        })
    }

    fn sample(&mut self, part: u64, usual: f64) -> Option<Rise> {
        self.now += INTERVAL;
        let subject = Subject::new(self.service, part);
        let service = self.service;
        self.detector
            .record(Sample { service, subject }, usual, self.now)
    }

    /// Records samples of which every `nth` is about [`SUBJECT`]; returns the rises.
    fn samples(&mut self, count: u64, nth: u64, usual: f64) -> Vec<Rise> {
        let rises = (1..=count).filter_map(|number| {
            self.next += 1;
            match number.is_multiple_of(nth) {
                true => self.sample(SUBJECT, usual),
                false => self.sample(self.next, 0.0),
            }
        });
        rises.collect()
    }
}

#[test]
fn a_rise_is_detected_within_a_few_requests() -> Result {
    let mut hub = Hub::new()?;
    hub.samples(200, 201, 0.0);
    let rises = hub.samples(12, 2, 0.0);
    let Some(first) = rises.first() else {
        eyre::bail!("no rise after six of twelve requests");
    };
    ensure!(first.subject == Subject::new(hub.service, SUBJECT));
    ensure!((0.3..=1.0).contains(&first.share), "{first:?}");
    Ok(())
}

/// Guards against announcing what the reports show already.
#[test]
fn a_usual_share_is_no_rise() -> Result {
    for nth in [2, 5, 40] {
        let mut hub = Hub::new()?;
        let rises = hub.samples(2_000, nth, 1.0 / nth as f64);
        ensure!(rises.is_empty(), "one in {nth}: {rises:?}");
    }
    Ok(())
}

/// Guards against messages to all boxes of a hall with each request about a rising subject.
#[test]
fn a_rise_is_announced_again_only_as_it_grows_or_lasts() -> Result {
    let mut hub = Hub::new()?;
    // Two seconds.
    let rises = hub.samples(400, 2, 0.0);
    ensure!((2..=8).contains(&rises.len()), "{rises:?}");
    Ok(())
}

/// Guards against four requests in a minute that count as a rise.
#[test]
fn old_samples_do_not_count() -> Result {
    let mut hub = Hub::new()?;
    for _ in 0..20 {
        hub.now += Duration::from_millis(100);
        let rise = hub.sample(SUBJECT, 0.0);
        ensure!(rise.is_none(), "{rise:?}");
    }
    Ok(())
}

/// Guards against a rise that stays after the reports show the demand, and against shares
/// that are none.
#[test]
fn a_rise_is_known_for_a_while() -> Result {
    let (demand, service, now) = (Demand::default(), id(SERVICE)?, Instant::now());
    let subject = Subject::new(Service::new(&service), SUBJECT);
    let share = |at| demand.subject_share(&service, SUBJECT, 100, at);
    for share in [f64::NAN, f64::INFINITY, -1.0, 2.0] {
        demand.set_rise(Rise { subject, share }, now);
    }
    ensure!(share(now) == 0.0 && !demand.has_just_risen(&service, SUBJECT, now));
    let rise = Rise {
        subject,
        share: 0.4,
    };
    demand.set_rise(rise, now);
    let soon = now + Duration::from_secs(1);
    ensure!(share(soon) == 0.4 && demand.has_just_risen(&service, SUBJECT, soon));
    let later = now + Duration::from_secs(2);
    ensure!(share(later) == 0.0 && !demand.has_just_risen(&service, SUBJECT, later));
    Ok(())
}
