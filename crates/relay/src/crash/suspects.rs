//! Requests of this box that broke off, until it is known whether their server crashed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tidepier_clock::Instant;

use crate::content::Fingerprint;
use crate::fleet::{Backend, Key};
use crate::notifier::Notifier;

/// A request that broke off at a server.
pub struct Request {
    /// Its content.
    pub content: Fingerprint,
    /// The ids of the parts of its prompt that other prompts share.
    pub parts: Vec<u64>,
}

/// The requests that broke off at one server.
pub struct Suspect {
    /// The server.
    pub backend: Rc<Backend>,
    /// The requests.
    pub requests: Vec<Request>,
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
    pub fn add(&self, backend: &Rc<Backend>, request: Request) {
        let mut by_server = self.by_server.borrow_mut();
        let suspect = by_server.entry(backend.key).or_insert_with(|| {
            self.unprobed.borrow_mut().push(backend.clone());
            self.changed.notify();
            Suspect {
                backend: backend.clone(),
                requests: Vec::new(),
                since: Instant::now(),
            }
        });
        suspect.requests.push(request);
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
