//! Limits the requests that a cold server gets from all boxes together.
//!
//! A server that has just started can take a few requests a second and fails under many
//! more. The bound applies to the sum over all boxes, including boxes that cannot reach
//! each other. It is broken when many servers return at once, or when the returning server
//! ranks first for a subject that a third of all requests are about.
//!
//! Equal shares for all boxes do not work: of 19 requests a second, each of 78 boxes would
//! get a quarter of one. Counts that boxes pass on are up to a second old and do not reach
//! the boxes beyond a partition. So each cold server has a few *senders*, the first boxes
//! of its hall by rendezvous hash, with equal shares, and no other box sends to it while it
//! is cold. This needs no messages. On average every box is a sender for the same number of
//! servers, so if all servers are cold, each box still has some.
//!
//! Invariants:
//!
//! * The shares of all senders add up to less than the bound by at least one share, so that
//!   one additional sender, due to a differing list of boxes, does not break it.
//! * No box is dropped from a list at once, and a box that is new to the others sends
//!   nothing before all of them have listed it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Cold;
use tidepier_ids as ids;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of senders per additional sender that differing lists of boxes may cause, beyond
/// the first additional one.
const SENDERS_PER_SPARE: usize = 12;
/// Time in which no more than a sender's share is sent: the second that the bound refers
/// to, and 50 ms for differing delays on the way to a server.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Time for which a box that is no longer listed still counts: three lists. If all entries
/// expired together, each box would otherwise see only itself.
const MEMBER_TTL: Duration = Duration::from_secs(45);
/// Time after which a new box is in the lists of all other boxes: one list, which may be a
/// few seconds old.
const LISTING_TIME: Duration = Duration::from_secs(20);

/// The bound on each cold server of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Requests a second from all boxes.
    pub per_s: f64,
}

/// What each sender of a cold server may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of senders.
    pub senders: usize,
    /// Requests a second of each sender.
    pub requests: usize,
}

impl Limit {
    /// The bound for the servers of a service: `overage` times the rate that they can take,
    /// and `tolerance` requests a second more.
    pub fn new(cold: Cold, overage: f64, tolerance: f64) -> Self {
        Self {
            time: cold.time,
            per_s: cold.per_s * overage + tolerance,
        }
    }

    /// The shares if `boxes` boxes can be senders: as many senders as can have one request
    /// a second each. With fewer senders and larger shares, boxes differ more in how much
    /// they may send: with 8 senders of two requests each, 78 boxes before 90 cold servers
    /// refused 157 in 1,000 of 1,125 requests a second, although the servers could take
    /// more than that.
    pub fn share(&self, boxes: usize) -> Share {
        let slots = self.per_s as usize;
        let most = (1..=slots.min(boxes))
            .rev()
            .find(|senders| with_spares(*senders) <= slots);
        let senders = most.unwrap_or(1);
        let requests = slots / with_spares(senders);
        Share { senders, requests }
    }
}

/// The number of senders, plus the additional ones that differing lists may cause.
fn with_spares(senders: usize) -> usize {
    senders + 1 + senders / SENDERS_PER_SPARE
}

/// A box that can be a sender.
#[derive(Debug, Clone)]
struct Member {
    key: u64,
    hall: ids::Hall,
    listed: Instant,
}

/// The boxes that this box knows of.
#[derive(Debug, Default)]
pub struct Roster {
    me: Cell<u64>,
    members: RefCell<Vec<Member>>,
    /// From when this box sends to cold servers; `None`: not until that is known.
    sends_from: Cell<Option<Instant>>,
}

impl Roster {
    /// Merges a list of the boxes with their halls; `me` is this box.
    pub fn set_members<'a>(
        &self,
        me: &ids::Box,
        boxes: impl IntoIterator<Item = (&'a ids::Box, &'a ids::Hall)>,
        now: Instant,
    ) {
        self.me.set(key(me));
        let mut members = self.members.borrow_mut();
        let listed = boxes.into_iter().map(|(name, hall)| {
            let member = Member {
                key: key(name),
                hall: hall.clone(),
                listed: now,
            };
            (member.key, member)
        });
        let listed: HashMap<u64, Member> = listed.collect();
        members.retain(|member| {
            let is_recent = now.saturating_duration_since(member.listed) < MEMBER_TTL;
            is_recent && !listed.contains_key(&member.key)
        });
        members.extend(listed.into_values());
    }

    /// Records that the other boxes list this one.
    pub fn set_listed(&self, now: Instant) {
        self.sends_from.set(self.sends_from.get().or(Some(now)));
    }

    /// Records that the other boxes do not list this one yet.
    pub fn set_unlisted(&self, now: Instant) {
        self.sends_from
            .set(self.sends_from.get().or(Some(now + LISTING_TIME)));
    }

    /// Records that this box is the only one.
    pub fn set_single(&self, me: &ids::Box, hall: &ids::Hall, now: Instant) {
        self.set_members(me, [(me, hall)], now);
        self.set_listed(now);
    }

    /// This box's share of a cold server in a hall; `None` if it is not a sender. If the
    /// hall has no boxes, those of all halls are candidates.
    pub fn share(
        &self,
        server: &ids::Server,
        hall: &ids::Hall,
        limit: Limit,
        now: Instant,
    ) -> Option<Share> {
        self.sends_from.get().filter(|from| *from <= now)?;
        let members = self.members.borrow();
        let near = members.iter().filter(|member| member.hall == *hall);
        let near: Vec<u64> = near.map(|member| member.key).collect();
        let boxes = match &*near {
            [] => members.iter().map(|member| member.key).collect(),
            _ => near,
        };
        let me = self.me.get();
        if !boxes.contains(&me) {
            return None;
        }
        let share = limit.share(boxes.len());
        let weight = |key: u64| xxh3_64_with_seed(server.as_str().as_bytes(), key);
        let own_weight = weight(me);
        let before = boxes
            .iter()
            .filter(|key| weight(**key) > own_weight)
            .count();
        (before < share.senders).then_some(share)
    }
}

fn key(name: &ids::Box) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// The requests that this box recently sent to one server while it was cold.
#[derive(Debug, Default)]
pub struct Window(RefCell<VecDeque<Instant>>);

impl Window {
    /// The earliest time from `now` on at which one more request is within `share`; `None`:
    /// never.
    pub fn next(&self, share: Share, now: Instant) -> Option<Instant> {
        let mut sent = self.0.borrow_mut();
        sent.retain(|at| now.saturating_duration_since(*at) < WINDOW);
        let last = share.requests.checked_sub(1)?;
        let before = sent.iter().rev().nth(last);
        Some(before.map_or(now, |at| (*at + WINDOW).max(now)))
    }

    /// Records a request that is to be sent `at` a time that is not before any other
    /// recorded one.
    pub fn sent(&self, at: Instant) {
        self.0.borrow_mut().push_back(at);
    }

    /// Records that a request recorded for `at` is sent only `now`, when its connection is
    /// open.
    pub fn reschedule(&self, at: Instant, now: Instant) {
        let mut sent = self.0.borrow_mut();
        if let Some(found) = sent.iter().position(|other| *other == at) {
            sent[found] = now;
            sent.make_contiguous().sort_unstable();
        }
    }
}
