//! What servers said whose entries are gone.

use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::rc::Rc;

use lru::LruCache;
use tidepier_core::server::Server;
use tidepier_ids as ids;

use super::advertisement::Advertisement;
use super::backend::Backend;

/// Servers that are kept, those that went last: over half of the 900 of the largest
/// fleet that is planned for.
const PARTED_MAX: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// Servers without an entry that have said something of themselves.
pub(super) struct Parted(RefCell<LruCache<ids::Server, Rc<Backend>>>);

impl Default for Parted {
    fn default() -> Self {
        Self(RefCell::new(LruCache::new(PARTED_MAX)))
    }
}

impl Parted {
    /// Keeps a server whose entry goes, if it said anything.
    pub(super) fn keep(&self, backend: &Rc<Backend>) {
        if !backend.word.is_silent() {
            let id = backend.server.id.clone();
            self.0.borrow_mut().put(id, backend.clone());
        }
    }

    /// What a server has said that announces itself: nothing, unless it is a life that
    /// had an entry before.
    pub(super) fn word_of(&self, server: &Server) -> Rc<Advertisement> {
        let known = self.0.borrow_mut().pop(&server.id);
        let known = known.filter(|it| it.is_life_of(server));
        known.map_or_else(Rc::default, |it| it.word.clone())
    }
}
