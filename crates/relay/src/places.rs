//! Where the parts of one prompt are kept.
//!
//! What boxes have sent where goes first. Before anything is known of a
//! subject, boxes agree without talking: its servers are ordered by rendezvous
//! hash, so that the first one keeps it wherever it is asked for. A server that
//! is chosen without a prompt's parts copies them from one that keeps them.

mod order;

use std::rc::Rc;
use std::time::Instant;

use tidepier_core::request::Prompt;
use tidepier_ids as ids;

use crate::fleet::{Backend, Fleet, Key};
use crate::traffic::index::Index;
use order::Order;

/// How likely the server at a rank of a subject's order keeps the subject when
/// nobody has told that any server does. The later ranks take what the first
/// has no room for; without a figure of theirs each box would spread that over
/// servers of its own choice, and each of them would read the subject anew.
const KEPT_BY_RANK: [f64; 3] = [0.93, 0.5, 0.25];
/// The same when other servers are known to keep the subject: boxes that leave
/// a crowded server agree on the next one before they hear of each other.
const KEPT_UNTOLD: [f64; 3] = [0.5, 0.5, 0.25];
/// Tokens under which copying a prompt's memory is not worth its set-up.
const COPY_TOKENS_MIN: u32 = 200;

/// Where one prompt's parts are kept, as far as this box can tell.
pub struct Places<'a> {
    prompt: &'a Prompt,
    /// Servers known to keep each shared part, the one used last first.
    by_part: Vec<Vec<Key>>,
    /// The servers that come first for the subject, of those that take requests
    /// and that this box does not avoid: all boxes that avoid the same ones
    /// agree on who stands in for them.
    first: Vec<Key>,
    /// How likely each of those keeps the subject if nobody has told.
    likely: [f64; 3],
    /// The engines that others may copy the parts from, the best one first.
    sources: Vec<Rc<Backend>>,
}

impl<'a> Places<'a> {
    /// Where the parts of a prompt at a service are kept; `tried` names the
    /// servers that the request was sent to in vain.
    pub fn new(
        fleet: &Fleet,
        service: &ids::Service,
        prompt: &'a Prompt,
        index: &Index,
        tried: &[ids::Server],
        now: Instant,
    ) -> Self {
        let parts = prompt.shared();
        let tokens = prompt.shared_tokens();
        let holders = parts.iter().map(|part| index.holders(part, now));
        let by_part: Vec<Vec<Key>> = holders.collect();
        let order = Order::new(fleet.known(service), prompt, now);
        let first: Vec<Key> = order
            .serving()
            .filter(|backend| !tried.contains(&backend.server.id))
            .take(KEPT_BY_RANK.len())
            .map(|backend| backend.key)
            .collect();
        let likely = match by_part.last() {
            Some(holders) if order.has_any(holders) => KEPT_UNTOLD,
            _ => KEPT_BY_RANK,
        };
        let sources = match tokens < COPY_TOKENS_MIN {
            true => Vec::new(),
            false => order.sources(&by_part),
        };
        Self {
            prompt,
            by_part,
            first,
            likely,
            sources,
        }
    }

    /// A server's place among those that come first.
    pub fn rank(&self, server: Key) -> Option<usize> {
        self.first.iter().position(|first| *first == server)
    }

    /// Shared parts that a server is known to keep: all before the last one
    /// that was sent there.
    fn proven(&self, server: Key) -> usize {
        let sent = |holders: &Vec<Key>| holders.contains(&server);
        let last = self.by_part.iter().rposition(sent);
        last.map_or(0, |last| last + 1)
    }

    /// Tokens of the prompt's shared parts that a server is expected to lack.
    pub fn lacking(&self, server: Key) -> f64 {
        let likely = self.rank(server).map_or(0.0, |rank| self.likely[rank]);
        (1.0 - likely) * f64::from(self.unproven(server))
    }

    /// Tokens of the prompt's shared parts that a server may have to read, by
    /// all that is known.
    pub fn unproven(&self, server: Key) -> u32 {
        let unproven = self.prompt.shared().iter().skip(self.proven(server));
        unproven.map(|part| part.tokens).sum()
    }

    /// The engine that a server copies from what it does not keep; `None` when
    /// it is known to keep all, or that is too little to be copied.
    pub fn source(&self, server: Key) -> Option<&Rc<Backend>> {
        if self.proven(server) == self.by_part.len() {
            return None;
        }
        self.sources.iter().find(|source| source.key != server)
    }
}
