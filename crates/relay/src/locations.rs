//! Where the parts of one prompt are kept.
//!
//! What boxes have sent where goes first. Before anything is known of a
//! subject, boxes agree without talking: its servers are ordered by rendezvous
//! hash, so that the first one keeps it wherever it is asked for. A server that
//! is chosen without a prompt's parts copies them from one that keeps them.

mod order;

use std::rc::Rc;

use tidepier_clock::Instant;
use tidepier_core::request::{Part, Prompt};
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

/// An engine that is known to keep a prompt's first parts.
struct Source {
    engine: Rc<Backend>,
    /// So many of them.
    parts: usize,
}

/// Tokens of a prompt's shared parts that a server is expected to lack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lack {
    /// Those that another engine is known to keep, so that they are copied.
    pub copied: f64,
    /// Those that the server reads.
    pub read: f64,
    /// Those that it may have to read, by all that is known.
    pub unconfirmed: u32,
}

impl Lack {
    /// All of them.
    pub fn tokens(self) -> f64 {
        self.copied + self.read
    }
}

/// Where one prompt's parts are kept, as far as this box can tell.
pub struct Locations<'a> {
    prompt: &'a Prompt,
    /// Servers known to keep each shared part, the one used last first.
    by_part: Vec<Vec<Key>>,
    order: Order,
    /// The servers that come first for the subject, of those that take requests
    /// and that this box does not avoid: all boxes that avoid the same ones
    /// agree on who stands in for them.
    first: Vec<Key>,
    /// How likely each of those keeps the subject if nobody has told.
    likely: [f64; 3],
    /// The engines that others may copy from, those with the most parts first.
    sources: Vec<Source>,
    /// How likely a subject without a known keeper was asked for before, so that
    /// the engine that should keep it does.
    expected: f64,
}

impl<'a> Locations<'a> {
    /// Where the parts of a prompt at a service are kept; `candidate` says whether
    /// the request may go to a server, or go there again.
    pub fn new(
        fleet: &Fleet,
        service: &ids::Service,
        prompt: &'a Prompt,
        index: &Index,
        candidate: &dyn Fn(&Backend) -> bool,
        now: Instant,
    ) -> Self {
        let holders = prompt.shared().iter().map(|part| index.holders(part, now));
        let by_part: Vec<Vec<Key>> = holders.collect();
        let order = Order::new(fleet.known(service), prompt, now);
        let first: Vec<Key> = order
            .serving()
            .filter(|backend| candidate(backend))
            .take(KEPT_BY_RANK.len())
            .map(|backend| backend.key)
            .collect();
        let likely = match by_part.last() {
            Some(holders) if order.has_any(holders) => KEPT_UNTOLD,
            _ => KEPT_BY_RANK,
        };
        let sources = sources(&by_part, &order);
        Self {
            prompt,
            by_part,
            order,
            first,
            likely,
            sources,
            expected: index.coverage.seen_before(),
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

    /// Whether a server is known to keep any of the prompt's shared parts.
    pub fn keeps(&self, server: Key) -> bool {
        self.by_part.iter().any(|holders| holders.contains(&server))
    }

    /// Tokens of the prompt's shared parts that a server is expected to lack.
    pub fn missing_tokens(&self, server: Key) -> Lack {
        let likely = self.rank(server).map_or(0.0, |rank| self.likely[rank]);
        let proven = self.proven(server);
        let kept = self.known_source(server, proven);
        let kept = kept.map_or(proven, |source| source.parts);
        let shared = self.prompt.shared();
        let (copied, read) = (tokens(&shared[proven..kept]), tokens(&shared[kept..]));
        let expected = |tokens| (1.0 - likely) * f64::from(tokens);
        Lack {
            copied: expected(copied),
            read: expected(read),
            unconfirmed: copied + read,
        }
    }

    /// The engine that is known to keep the most parts, if those are more than
    /// the first `proven` ones and what follows these is worth a copy.
    fn known_source(&self, server: Key, proven: usize) -> Option<&Source> {
        if tokens(&self.prompt.shared()[proven..]) < COPY_TOKENS_MIN {
            return None;
        }
        let mut others = self.sources.iter();
        let source = others.find(|source| source.engine.key != server);
        source.filter(|source| source.parts > proven)
    }

    /// The engine that a server copies from what it does not keep; `None` when
    /// it is known to keep all, or that is too little to be copied.
    ///
    /// Where no engine is known to keep all parts, that may be the one that
    /// should have kept the subject so far: a box of a large fleet hears of few
    /// placements. What an engine turns out not to keep is not copied from it.
    /// By the engines' counts, 295 boxes before 240 of them had 12.5 instead of
    /// 22.4 million tokens read again in 41 s, and copied twice as much.
    pub fn copy_source(&self, server: Key) -> Option<&Rc<Backend>> {
        let shared = self.prompt.shared();
        let proven = self.proven(server);
        let lacking = tokens(&shared[proven..]);
        let known = self.known_source(server, proven);
        let copied = known.map_or(0, |source| tokens(&shared[proven..source.parts]));
        let known = known.map(|source| &source.engine);
        let by_order = self.expected * f64::from(lacking);
        if by_order <= f64::from(copied.max(COPY_TOKENS_MIN)) {
            return known;
        }
        self.order.keeper_before(server).or(known)
    }
}

/// Engines that others may copy from, those with the most parts first.
fn sources(by_part: &[Vec<Key>], order: &Order) -> Vec<Source> {
    let numbered = by_part.iter().enumerate().rev();
    let holders = numbered.flat_map(|(part, holders)| holders.iter().map(move |key| (part, key)));
    let usable = holders.filter_map(|(part, key)| {
        let engine = order.lender(*key)?.clone();
        let parts = part + 1;
        Some(Source { engine, parts })
    });
    usable.collect()
}

fn tokens(parts: &[Part]) -> u32 {
    parts.iter().map(|part| part.tokens).sum()
}
