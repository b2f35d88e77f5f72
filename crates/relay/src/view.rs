//! The operator's catalog as this box knows it, and the age of that knowledge.
//!
//! Invariants:
//!
//! * The version never decreases while the process runs, in whatever order answers of
//!   the store arrive.
//! * [`View::age`] is the time since a moment at which the catalog in force here was
//!   confirmed to be the newest one. That moment is taken from the monotonic clock
//!   before the request to the store is sent.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::{Catalog, Version};

/// The catalog in force on this box.
#[derive(Default)]
pub struct View {
    catalog: RefCell<Option<Arc<Catalog>>>,
    confirmed_at: Cell<Option<Instant>>,
}

impl View {
    /// The catalog in force, if one is known.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The version in force; 0 while none is known.
    pub fn version(&self) -> Version {
        let catalog = self.catalog.borrow();
        catalog
            .as_ref()
            .map(|catalog| catalog.version)
            .unwrap_or_default()
    }

    /// Puts a catalog in force if it is newer than the one in force; returns whether it
    /// was.
    pub fn adopt(&self, catalog: Catalog) -> bool {
        let known = self.catalog.borrow().is_some();
        if known && catalog.version <= self.version() {
            return false;
        }
        *self.catalog.borrow_mut() = Some(Arc::new(catalog));
        true
    }

    /// Records that the catalog in force was the newest one at `asked`.
    pub fn confirm_at(&self, asked: Instant) {
        if self
            .confirmed_at
            .get()
            .is_none_or(|earlier| earlier < asked)
        {
            self.confirmed_at.set(Some(asked));
        }
    }

    /// Time since the catalog in force was last confirmed to be the newest one; `None`
    /// if it never was.
    pub fn age(&self) -> Option<Duration> {
        self.age_at(Instant::now())
    }

    /// The same at `now`.
    pub fn age_at(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .get()
            .map(|at| now.saturating_duration_since(at))
    }

    /// Whether the catalog in force was confirmed to be the newest one less than `max_age`
    /// ago.
    pub fn is_fresh(&self, max_age: Duration) -> bool {
        self.age().is_some_and(|age| age < max_age)
    }
}
