//! The check that precedes everything that is sent to a server.

use std::rc::Rc;

use tidepier_clock::Instant;

use super::advertisement::Ineligible;
use super::backend::Backend;

/// Proof that a server was found to accept new requests.
/// [`Fleet::permit`](super::Fleet::permit) alone creates one, after that check, and
/// sending requires one.
pub struct Permit(Rc<Backend>);

impl Permit {
    pub(super) fn new(backend: &Rc<Backend>, now: Instant) -> Result<Self, Ineligible> {
        backend.check_eligible(now)?;
        Ok(Self(backend.clone()))
    }

    /// The server.
    pub fn backend(&self) -> &Rc<Backend> {
        &self.0
    }

    /// Repeats the check: the request may have waited since the first one.
    ///
    /// # Errors
    ///
    /// Returns the reason if the server no longer accepts new requests.
    pub fn recheck(&self, now: Instant) -> Result<(), Ineligible> {
        self.0.check_eligible(now)
    }
}
