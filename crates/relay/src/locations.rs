//! Estimates which engines cache the parts of one prompt.
//!
//! What boxes have sent to which engine takes precedence. As long as nothing is known of a
//! subject, boxes agree without messages: they order its servers by rendezvous hash, so
//! that the first server caches the subject whichever box places the request. A server that
//! is chosen without caching the prompt's parts copies them from a server that does.

mod order;

use std::rc::Rc;

use tidepier_clock::Instant;
use tidepier_core::request::{Part, Prompt};
use tidepier_ids as ids;

use crate::fleet::{Backend, Fleet, Key};
use crate::traffic::index::Index;
use order::Order;

/// Probability that the server at a rank of a subject's order caches the subject when no
/// holder is known. The later ranks take what the first has no room for. If they had no
/// probability, each box would spread that overflow over servers of its own choice, and
/// each of these would prefill the subject again.
const CACHED_BY_RANK: [f64; 3] = [0.93, 0.5, 0.25];
/// The same when other servers are known to cache the subject: boxes that avoid a server
/// over the load bound then agree on the next one before they learn of each other's choice.
const CACHED_BESIDE_HOLDERS: [f64; 3] = [0.5, 0.5, 0.25];
/// The same for each of the servers between which a subject is divided: they have so many
/// requests about it that the first is soon over.
const CACHED_BY_SPREAD: f64 = 0.9;
/// Number of tokens below which copying a KV cache is not worth its set-up time.
const COPY_TOKENS_MIN: u32 = 200;

/// Between how many servers boxes divide requests that would all go to the same one.
#[derive(Debug, Clone, Copy)]
pub struct Widths {
    /// Servers that share the requests about the prompt's subject.
    pub subject: usize,
    /// Servers that share the first requests of the boxes about a subject, while boxes do
    /// not learn of each other's requests; otherwise 1.
    pub first: usize,
}

impl Default for Widths {
    /// Nothing is divided.
    fn default() -> Self {
        Self {
            subject: 1,
            first: 1,
        }
    }
}

/// An engine that is known to cache the first parts of a prompt.
struct Source {
    engine: Rc<Backend>,
    /// How many of the parts it caches.
    parts: usize,
}

/// Tokens of a prompt's shared parts that a server is expected not to cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Missing {
    /// Tokens that another engine is known to cache, so that they can be copied.
    pub copied: f64,
    /// Tokens that the server has to prefill.
    pub prefilled: f64,
    /// Tokens that the server may have to prefill in the worst case: it is not known to
    /// cache them.
    pub unconfirmed: u32,
}

impl Missing {
    /// All tokens that are expected to be missing.
    pub fn tokens(self) -> f64 {
        self.copied + self.prefilled
    }
}

/// Where the parts of one prompt are cached, in the local view.
pub struct Locations<'a> {
    prompt: &'a Prompt,
    /// Servers known to cache each shared part, the most recently used first.
    holders_by_part: Vec<Vec<Key>>,
    order: Order,
    /// The first servers of the subject's order, among those that take requests and that
    /// this box does not avoid. Boxes that avoid the same servers agree on the
    /// replacements. While first requests are divided, the one that this box prefers comes
    /// first.
    first: Vec<Key>,
    /// Whether the subject's requests are divided between more servers than overflow falls
    /// to.
    is_spread: bool,
    /// Whether the subject's share of the requests has just risen.
    is_rising: bool,
    /// Probability that each of those caches the subject if no holder is known.
    likelihood: [f64; 3],
    /// The engines that others may copy from, those with the most parts first.
    sources: Vec<Source>,
    /// Probability that a subject without a known holder was requested before, so that the
    /// engine that should cache it does.
    seen_before: f64,
}

impl<'a> Locations<'a> {
    /// Looks up where the parts of a prompt are cached. `candidate` tells whether the request
    /// may be sent to a server, or sent there again.
    pub fn new(
        fleet: &Fleet,
        service: &ids::Service,
        prompt: &'a Prompt,
        index: &Index,
        widths: Widths,
        candidate: &dyn Fn(&Backend) -> bool,
        now: Instant,
    ) -> Self {
        let holders = prompt.shared().iter().map(|part| index.holders(part, now));
        let holders_by_part: Vec<Vec<Key>> = holders.collect();
        let order = Order::new(fleet.known(service), prompt, now);
        let count = widths.subject.max(CACHED_BY_RANK.len());
        let mut first: Vec<Key> = order
            .serving()
            .filter(|backend| candidate(backend))
            .take(count.max(widths.first))
            .map(|backend| backend.key)
            .collect();
        let holders = holders_by_part.last();
        let has_holder = holders.is_some_and(|holders| order.has_healthy(holders));
        let shared = widths.first.min(first.len());
        if let Some(subject) = prompt.subject().filter(|_| shared > 1 && !has_holder) {
            first[..shared].rotate_left(index.preference(subject, shared));
        }
        first.truncate(count);
        let likelihood = match has_holder {
            true => CACHED_BESIDE_HOLDERS,
            false => CACHED_BY_RANK,
        };
        // What other boxes requested is not known to this one while it gets no reports.
        let seen_before = match widths.first > 1 {
            true => 1.0,
            false => index.coverage.seen_before(),
        };
        let sources = sources(&holders_by_part, &order);
        Self {
            prompt,
            holders_by_part,
            order,
            first,
            is_spread: widths.subject > CACHED_BY_RANK.len(),
            is_rising: false,
            likelihood,
            sources,
            seen_before,
        }
    }

    /// The servers between which the requests about the subject are divided at random, if
    /// they are more than overflow falls to. The first of a rising subject is not one of
    /// them: it has got a request of most boxes that no count shows yet.
    pub fn divided_between(&self) -> Option<&[Key]> {
        let left_out = usize::from(self.is_rising);
        self.is_spread.then(|| &self.first[left_out..])
    }

    /// Records that the subject's share of the requests has just risen.
    pub fn set_rising(&mut self) {
        self.is_rising = self.is_spread && self.first.len() > 1;
    }

    /// Whether the subject's requests are divided, and its share of the requests has just
    /// risen.
    pub fn is_rising(&self) -> bool {
        self.is_rising
    }

    /// A server's rank among the first of the order.
    pub fn rank(&self, server: Key) -> Option<usize> {
        self.first.iter().position(|first| *first == server)
    }

    /// Number of shared parts that a server is known to cache: all up to the last one that
    /// was sent there.
    fn cached_parts(&self, server: Key) -> usize {
        let sent = |holders: &Vec<Key>| holders.contains(&server);
        let last = self.holders_by_part.iter().rposition(sent);
        last.map_or(0, |last| last + 1)
    }

    /// Whether a server is known to cache any of the prompt's shared parts.
    pub fn caches_any(&self, server: Key) -> bool {
        self.holders_by_part
            .iter()
            .any(|holders| holders.contains(&server))
    }

    /// Tokens of the prompt's shared parts that a server is expected not to cache.
    pub fn missing_tokens(&self, server: Key) -> Missing {
        let likelihood = match self.rank(server) {
            None => 0.0,
            Some(_) if self.is_spread => CACHED_BY_SPREAD,
            Some(rank) => self.likelihood[rank],
        };
        let cached_parts = self.cached_parts(server);
        let source_parts = self.largest_source(server, cached_parts);
        let source_parts = source_parts.map_or(cached_parts, |source| source.parts);
        let shared = self.prompt.shared();
        let (copied, prefilled) = (
            tokens(&shared[cached_parts..source_parts]),
            tokens(&shared[source_parts..]),
        );
        let expected = |tokens| (1.0 - likelihood) * f64::from(tokens);
        Missing {
            copied: expected(copied),
            prefilled: expected(prefilled),
            unconfirmed: copied + prefilled,
        }
    }

    /// The engine that is known to cache the most parts, if it has more than the first
    /// `cached_parts` ones and the remaining tokens are worth a copy.
    fn largest_source(&self, server: Key, cached_parts: usize) -> Option<&Source> {
        if tokens(&self.prompt.shared()[cached_parts..]) < COPY_TOKENS_MIN {
            return None;
        }
        let mut others = self.sources.iter();
        let source = others.find(|source| source.engine.key != server);
        source.filter(|source| source.parts > cached_parts)
    }

    /// The engine from which a server should copy the parts that it does not cache; `None`
    /// if it is known to cache all parts, or if the rest is too small to copy.
    ///
    /// Where no engine is known to cache all parts, this may be the engine that should have
    /// cached the subject so far, as a box of a large fleet learns of only a few placements.
    /// Parts that this engine turns out not to cache are not copied. By the engines'
    /// counts, this reduced the tokens that 295 boxes before 240 engines caused to be
    /// prefilled again from 22.4 to 12.5 million in 41 s, and doubled the copied ones.
    pub fn copy_source(&self, server: Key) -> Option<&Rc<Backend>> {
        let shared = self.prompt.shared();
        let cached_parts = self.cached_parts(server);
        let lacking = tokens(&shared[cached_parts..]);
        let known = self.largest_source(server, cached_parts);
        let copied = known.map_or(0, |source| tokens(&shared[cached_parts..source.parts]));
        let known = known.map(|source| &source.engine);
        // The first of the order has got the first requests about a rising subject.
        let seen_before = match self.is_rising {
            true => 1.0,
            false => self.seen_before,
        };
        let by_order = seen_before * f64::from(lacking);
        if by_order <= f64::from(copied.max(COPY_TOKENS_MIN)) {
            return known;
        }
        self.order.previous_holder(server).or(known)
    }
}

/// Returns the engines that others may copy from, those with the most parts first.
fn sources(holders_by_part: &[Vec<Key>], order: &Order) -> Vec<Source> {
    let numbered = holders_by_part.iter().enumerate().rev();
    let holders = numbered.flat_map(|(part, holders)| holders.iter().map(move |key| (part, key)));
    let usable = holders.filter_map(|(part, key)| {
        let engine = order.usable_source(*key)?.clone();
        let parts = part + 1;
        Some(Source { engine, parts })
    });
    usable.collect()
}

fn tokens(parts: &[Part]) -> u32 {
    parts.iter().map(|part| part.tokens).sum()
}
