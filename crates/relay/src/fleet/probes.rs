//! How many requests go to ejected servers as probes while the others are above the operator's
//! bound.

use std::cell::RefCell;
use std::collections::HashMap;

use tidepier_ids as ids;

/// Part of the requests that find no other server below the bound. Each probe may be lost.
const PART: f64 = 0.04;
/// The same of requests that are sent again if they fail.
const REPEATABLE_PART: f64 = 0.12;

/// The probes that a box has saved up, by service: a part of one for each such request, so that
/// their interval is steady.
#[derive(Debug, Default)]
pub struct Probes(RefCell<HashMap<ids::Service, f64>>);

impl Probes {
    /// Counts a request that finds no server below the bound, but for ejected ones. Returns
    /// whether it is a probe.
    pub fn take(&self, service: &ids::Service, repeatable: bool) -> bool {
        let mut saved = self.0.borrow_mut();
        // The boxes of a fleet do not probe at the same time.
        let saved = saved.entry(service.clone()).or_insert_with(fastrand::f64);
        *saved += if repeatable { REPEATABLE_PART } else { PART };
        let is_probe = *saved >= 1.0;
        if is_probe {
            *saved -= 1.0;
        }
        is_probe
    }
}
