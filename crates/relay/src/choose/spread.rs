//! Over how many servers requests are spread that would all prefer the same ones.
//!
//! Boxes do not see each other's latest choices. Each therefore keeps its own requests
//! within limits that hold for the sum over all boxes: requests about one subject are
//! divided at random between so many engines, and requests of one hall between its servers
//! and those of other halls, that the mean load of each stays below the operator's bound.

/// Part of the operator's bound up to which the mean load of a server may rise. The rest is
/// for chance.
const BOUND_PART: f64 = 0.65;
/// Requests that a server may have on average in addition: the bound allows some above the
/// multiple of the mean.
const ALLOWED_EXTRA: f64 = 0.5;

/// Share of the requests that a subject may have of which nothing can be known.
pub(super) const UNKNOWN_SHARE: f64 = 0.05;

/// The servers of a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Servers {
    /// Servers that take requests.
    pub(super) serving: usize,
    /// Those of them in the hall of this box.
    pub(super) near: usize,
    /// All servers that count in the mean load.
    pub(super) all: usize,
    /// The operator's bound on the load of one server, in multiples of the mean.
    pub(super) factor: f64,
}

impl Servers {
    /// Number of engines that share the requests about a subject, given its share of the
    /// service's requests. All engines share the other requests.
    pub(super) fn width(self, share: f64) -> usize {
        let serving = self.serving.max(1) as f64;
        // In multiples of the mean load of the serving engines.
        let allowed = BOUND_PART * self.factor * serving / self.all.max(1) as f64;
        let room = allowed - (1.0 - share);
        let needed = share * serving / room.max(f64::EPSILON);
        needed.ceil().min(serving) as usize
    }

    /// Share of this box's requests that may go to servers of its own hall, given the share
    /// of the service's requests that the hall's boxes get, and the mean load of all
    /// servers; the higher the mean, the less does [`ALLOWED_EXTRA`] matter.
    pub(super) fn near_share(self, hall_share: f64, mean: f64) -> f64 {
        if self.near == self.serving {
            return 1.0;
        }
        // In multiples of the mean load.
        let allowed = BOUND_PART * self.factor + ALLOWED_EXTRA / mean;
        let from_hall = hall_share * self.all as f64;
        (allowed * self.near as f64 / from_hall.max(f64::EPSILON)).min(1.0)
    }
}
