//! Detects that a subject's share of the requests has just risen.
//!
//! Boxes report their requests every 0.4 s, and a box learns of the others' after up to
//! 1.2 s. When many requests are about a subject from one moment to the next, each box sends
//! its first one to the same server before that. So boxes also send a sample of their
//! requests to the hub of their hall at once, and the hub tells them of a rise.
//!
//! Invariant: a subject with its usual share of the requests is no rise, except by chance.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;

use crate::demand::{Service, Subject, REPORTED_SHARE_MIN};

/// Time for which samples count.
const WINDOW: Duration = Duration::from_millis(200);
/// Most samples that are kept: several times those of [`WINDOW`].
const SAMPLES_MAX: usize = 256;
/// Number of samples below which the share of one subject among them is not estimated
/// higher.
const SAMPLES_MIN: f64 = 8.0;
/// Fewest samples about a subject that show a rise.
const ABOUT_MIN: u32 = 4;
/// Probability up to which that many samples about a subject are no chance. It is lower than
/// for a single box, as a hub looks at all requests of its hall.
const CHANCE_MAX: f64 = 1e-3;
/// A rise is announced again when the share exceeds the announced one by this factor.
const GROWTH_MIN: f64 = 1.5;
/// Time after which a rise is announced again if the reports do not show it yet.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Most announced rises that are remembered.
const ANNOUNCED_MAX: usize = 64;

/// A request about a subject, as sent to the hub.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The service.
    pub service: Service,
    /// The subject.
    pub subject: Subject,
}

/// A subject whose share of its service's requests has risen.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Rise {
    /// The subject.
    pub subject: Subject,
    /// Its share of the service's requests, from 0 to 1.
    pub share: f64,
}

/// An announced rise.
#[derive(Debug, Clone, Copy)]
struct Announced {
    share: f64,
    at: Instant,
}

/// The samples of the boxes of one hall.
#[derive(Debug, Default)]
pub struct Detector {
    samples: RefCell<VecDeque<(Instant, Sample)>>,
    announced: RefCell<HashMap<Subject, Announced>>,
}

impl Detector {
    /// Records a sample. Returns the rise that it shows and that should be announced;
    /// `usual` is the subject's share of the service's requests by the reports.
    pub fn record(&self, sample: Sample, usual: f64, now: Instant) -> Option<Rise> {
        self.push(sample, now);
        let share = self.risen_share(sample, usual)?;
        let mut announced = self.announced.borrow_mut();
        let age = |it: &Announced| now.saturating_duration_since(it.at);
        announced.retain(|_, it| age(it) < REPEAT_INTERVAL);
        let last = announced.get(&sample.subject).map_or(0.0, |it| it.share);
        let is_new = share >= GROWTH_MIN * last.max(usual);
        if !is_new || announced.len() >= ANNOUNCED_MAX {
            return None;
        }
        announced.insert(sample.subject, Announced { share, at: now });
        Some(Rise {
            subject: sample.subject,
            share,
        })
    }

    fn push(&self, sample: Sample, now: Instant) {
        let mut samples = self.samples.borrow_mut();
        let is_old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while samples.front().is_some_and(|(at, _)| is_old(*at)) || samples.len() >= SAMPLES_MAX {
            samples.pop_front();
        }
        samples.push_back((now, sample));
    }

    /// The subject's share of the service's samples since the first about it, if that is no
    /// chance.
    fn risen_share(&self, sample: Sample, usual: f64) -> Option<f64> {
        let samples = self.samples.borrow();
        let of_service = samples
            .iter()
            .map(|(_, it)| it)
            .filter(|it| it.service == sample.service);
        let since_first = of_service.skip_while(|it| it.subject != sample.subject);
        let (about, all) = since_first.fold((0, 0), |(about, all), it| {
            (about + u32::from(it.subject == sample.subject), all + 1)
        });
        if about < ABOUT_MIN {
            return None;
        }
        // The first one is given, and says nothing about how many follow.
        let (about, all) = (about - 1, f64::from(all - 1));
        let expected = all * usual.max(REPORTED_SHARE_MIN);
        if chance(about, expected) >= CHANCE_MAX {
            return None;
        }
        let about = f64::from(about);
        // One standard deviation above the mean: too few servers would be crowded.
        Some(((about + about.sqrt()) / all.max(SAMPLES_MIN)).min(1.0))
    }
}

/// Upper bound of the probability of at least `count` events where `expected` are expected.
fn chance(count: u32, expected: f64) -> f64 {
    (1..=count).fold(1.0, |chance, it| chance * expected / f64::from(it))
}
