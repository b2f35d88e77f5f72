//! Over how many servers requests are spread that would all prefer the same ones.
//!
//! Boxes do not see each other's latest choices. Each therefore keeps its own requests
//! within limits that hold for the sum over all boxes: requests about one subject are
//! divided at random between so many engines that the mean load of each stays below the
//! operator's bound.

/// Part of the operator's bound up to which the mean load of a server may rise. The rest is
/// for chance.
const BOUND_PART: f64 = 0.65;
/// The servers of a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Servers {
    /// Servers that take requests.
    pub(super) serving: usize,
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
}
