//! What servers advertised whose entries are gone.

use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::rc::Rc;

use lru::LruCache;
use tidepier_core::server::Server;
use tidepier_ids as ids;

use super::advertisement::Advertisement;
use super::backend::Backend;

/// Most servers that are kept; the least recently removed ones are dropped first. Over
/// half of the 900 servers of the largest planned fleet.
const DEPARTED_MAX: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// Servers without an entry that have advertised something about themselves.
pub(super) struct Departed(RefCell<LruCache<ids::Server, Rc<Backend>>>);

impl Default for Departed {
    fn default() -> Self {
        Self(RefCell::new(LruCache::new(DEPARTED_MAX)))
    }
}

impl Departed {
    /// Keeps a server whose entry is removed, if it advertised anything.
    pub(super) fn keep(&self, backend: &Rc<Backend>) {
        if !backend.advertisement.is_empty() {
            let id = backend.server.id.clone();
            self.0.borrow_mut().put(id, backend.clone());
        }
    }

    /// What a server advertised before that now announces itself: nothing, unless this
    /// incarnation had an entry before.
    pub(super) fn take_advertisement(&self, server: &Server) -> Rc<Advertisement> {
        let known = self.0.borrow_mut().pop(&server.id);
        let known = known.filter(|it| it.is_same_incarnation(server));
        known.map_or_else(Rc::default, |it| it.advertisement.clone())
    }
}
