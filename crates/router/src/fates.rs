//! The fates of the claims that this box has made, as long as they are kept.

use std::num::NonZeroUsize;
use std::sync::{Mutex, MutexGuard};

use lru::LruCache;
use tidepier_ids as ids;
use tidepier_wire::frame::Fate;

/// Most fates that one box keeps.
const FATES_MAX: usize = 4096;

/// The fates of the claims that this box has made. They are stored by the claims'
/// random ids, so that a fate is never mistaken for that of another claim of the
/// same key.
pub(crate) struct Fates(Mutex<LruCache<ids::Request, Fate>>);

impl Default for Fates {
    fn default() -> Self {
        let size = NonZeroUsize::new(FATES_MAX).unwrap_or(NonZeroUsize::MIN);
        Self(Mutex::new(LruCache::new(size)))
    }
}

impl Fates {
    /// Records the fate of a claim.
    pub(crate) fn set(&self, claim: ids::Request, fate: Fate) {
        self.lock().put(claim, fate);
    }

    /// The fate of a claim; unknown if it is not kept.
    pub(crate) fn get(&self, claim: ids::Request) -> Fate {
        self.lock().get(&claim).cloned().unwrap_or(Fate::Unknown)
    }

    fn lock(&self) -> MutexGuard<'_, LruCache<ids::Request, Fate>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
