//! A mutex lock that ignores poisoning.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, also after a holder panicked: the data is still usable then.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
