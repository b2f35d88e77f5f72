//! The question that everything asks that sends to a server.

use std::rc::Rc;

use tidepier_clock::Instant;

use super::advertisement::Ineligible;
use super::backend::Backend;

/// That a server takes something new. There is none without having asked, and what
/// sends takes one.
pub struct Permit(Rc<Backend>);

impl Permit {
    pub(super) fn new(backend: &Rc<Backend>, now: Instant) -> Result<Self, Ineligible> {
        backend.takes(now)?;
        Ok(Self(backend.clone()))
    }

    /// The server.
    pub fn backend(&self) -> &Rc<Backend> {
        &self.0
    }

    /// Asks again: what is about to be sent may have waited.
    ///
    /// # Errors
    ///
    /// The server takes nothing new any more.
    pub fn renewed(&self, now: Instant) -> Result<(), Ineligible> {
        self.0.takes(now)
    }
}
