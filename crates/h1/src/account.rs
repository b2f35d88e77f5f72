//! Memory that bytes of several senders share while they are incomplete.
//!
//! Invariant: the shares together stay within the limit, but for what was last added to
//! those that were refused more.

use std::cell::Cell;
use std::rc::Rc;

/// The memory, of which each sender's bytes take a [`Share`].
#[derive(Debug)]
pub struct Account {
    limit: Cell<usize>,
    taken: Cell<usize>,
}

impl Account {
    /// An account of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: Cell::new(limit),
            taken: Cell::default(),
        }
    }

    /// Sets the limit, in bytes.
    pub fn set_limit(&self, bytes: usize) {
        self.limit.set(bytes);
    }

    /// Bytes that all shares have.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// An empty share.
    pub fn share(self: &Rc<Self>) -> Share {
        Share {
            account: self.clone(),
            bytes: Cell::default(),
        }
    }
}

/// The bytes of one sender, counted until it is dropped.
#[derive(Debug)]
pub struct Share {
    account: Rc<Account>,
    bytes: Cell<usize>,
}

impl Share {
    /// Sets how many bytes there are. Returns whether they may be kept: one share may have as
    /// much as is left for all others. So the longest ones are refused first, and short ones
    /// have room beside any number of these.
    #[must_use]
    pub fn set(&self, bytes: usize) -> bool {
        let account = &self.account;
        let before = self.bytes.replace(bytes);
        account.taken.set(account.taken.get() - before + bytes);
        bytes <= account.limit.get().saturating_sub(account.taken.get())
    }

    /// Adds bytes; see [`Self::set`].
    #[must_use]
    pub fn add(&self, bytes: usize) -> bool {
        self.set(self.bytes.get() + bytes)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let _ = self.set(0);
    }
}
