//! Requests of this box whose sending broke off, until it is known whether their
//! server ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tidepier_clock::Instant;

use crate::content::Fingerprint;
use crate::fleet::{Backend, Key};
use crate::notifier::Notifier;

/// The requests that broke off at one server.
pub struct Suspect {
    /// The server.
    pub backend: Rc<Backend>,
    /// What was asked there; the same content once for each of its requests.
    pub contents: Vec<Fingerprint>,
    /// When the first one broke off.
    pub since: Instant,
}

/// The servers that are to be looked at.
#[derive(Default)]
pub struct Suspects {
    open: RefCell<HashMap<Key, Suspect>>,
    /// Those at which nobody looks yet.
    fresh: RefCell<Vec<Rc<Backend>>>,
    /// Notified when there is one.
    pub changed: Notifier,
}

impl Suspects {
    /// Records that a request broke off at a server.
    pub fn add(&self, backend: &Rc<Backend>, content: Fingerprint) {
        let mut open = self.open.borrow_mut();
        let suspect = open.entry(backend.key).or_insert_with(|| {
            self.fresh.borrow_mut().push(backend.clone());
            self.changed.notify();
            Suspect {
                backend: backend.clone(),
                contents: Vec::new(),
                since: Instant::now(),
            }
        });
        suspect.contents.push(content);
    }

    /// Takes the servers at which nobody looks yet.
    pub fn fresh(&self) -> Vec<Rc<Backend>> {
        self.fresh.take()
    }

    /// Takes the requests that broke off at a server; from now on it is fresh again
    /// when another one does.
    pub fn take(&self, server: Key) -> Option<Suspect> {
        self.open.borrow_mut().remove(&server)
    }
}
