//! Locks.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex; what a panicking holder left is as good as any.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
