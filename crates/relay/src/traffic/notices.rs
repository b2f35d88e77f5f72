//! Messages that are sent at once: samples of requests to the hub of the hall, and the
//! rises of subjects that the hub detects in them.
//!
//! Both are best effort: what does not fit is dropped, and the periodic reports cover it
//! later.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use tidepier_admission::rise::{Detector, Rise, Sample};

use crate::notifier::Notifier;

/// Most samples that wait for being sent, and in one message.
pub const SAMPLES_MAX: usize = 16;
/// Most rises that wait for being sent to the members.
const RISES_MAX: usize = 16;

/// Samples and rises of one box.
#[derive(Default)]
pub struct Notices {
    /// The samples that this box got while it is the hub of its hall.
    pub detector: Detector,
    samples: RefCell<VecDeque<Sample>>,
    /// Wakes the task that sends the samples.
    pub sampled: Notifier,
    rises: RefCell<VecDeque<Rise>>,
    /// Number of rises so far.
    count: Cell<u64>,
    /// Wakes the tasks that send rises to the members.
    pub announced: Notifier,
}

impl Notices {
    /// Queues a sample for the hub.
    pub fn push_sample(&self, sample: Sample) {
        let mut samples = self.samples.borrow_mut();
        if samples.len() == SAMPLES_MAX {
            samples.pop_front();
        }
        samples.push_back(sample);
        drop(samples);
        self.sampled.notify();
    }

    /// Takes the queued samples.
    pub fn take_samples(&self) -> Vec<Sample> {
        self.samples.take().into()
    }

    /// Queues a rise for the members.
    pub fn announce(&self, rise: Rise) {
        let mut rises = self.rises.borrow_mut();
        if rises.len() == RISES_MAX {
            rises.pop_front();
        }
        rises.push_back(rise);
        self.count.set(self.count.get() + 1);
        drop(rises);
        self.announced.notify();
    }

    /// Number of rises that were announced so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// The rises after the first `count`, as far as they are kept.
    pub fn rises_after(&self, count: u64) -> Vec<Rise> {
        let new = self.count.get().saturating_sub(count) as usize;
        let rises = self.rises.borrow();
        let kept = rises.len().saturating_sub(new);
        rises.iter().skip(kept).copied().collect()
    }
}
