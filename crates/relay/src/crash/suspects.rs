//! Requests of this box that broke off, until it is known whether their server crashed.

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
    /// The contents of the requests, with one element for each request.
    pub contents: Vec<Fingerprint>,
    /// When the first one broke off.
    pub since: Instant,
}

/// The servers that are to be probed.
#[derive(Default)]
pub struct Suspects {
    by_server: RefCell<HashMap<Key, Suspect>>,
    /// Suspects whose probe has not started.
    unprobed: RefCell<Vec<Rc<Backend>>>,
    /// Notified when such a suspect is added.
    pub changed: Notifier,
}

impl Suspects {
    /// Records that a request broke off at a server.
    pub fn add(&self, backend: &Rc<Backend>, content: Fingerprint) {
        let mut by_server = self.by_server.borrow_mut();
        let suspect = by_server.entry(backend.key).or_insert_with(|| {
            self.unprobed.borrow_mut().push(backend.clone());
            self.changed.notify();
            Suspect {
                backend: backend.clone(),
                contents: Vec::new(),
                since: Instant::now(),
            }
        });
        suspect.contents.push(content);
    }

    /// Takes the suspects whose probe has not started.
    pub fn take_unprobed(&self) -> Vec<Rc<Backend>> {
        self.unprobed.take()
    }

    /// Takes the requests that broke off at a server. The next one that breaks off there
    /// starts another probe.
    pub fn take(&self, server: Key) -> Option<Suspect> {
        self.by_server.borrow_mut().remove(&server)
    }
}
