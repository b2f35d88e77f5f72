//! How much a cold server gets from all boxes together.
//!
//! A server that has just started bears a few requests a second and fails under
//! many more; the bound is on all boxes, also on those that cannot reach each
//! other. Load that breaks it: many servers back at once, or a server that comes
//! back as the first in the order of a subject that a third of the requests are
//! about.
//!
//! An equal share of every box is of no use: of 19 requests a second 78 boxes
//! may send a quarter each. A count that boxes pass on is up to a second old and
//! stops at a cut. So each cold server has a few *senders*: the boxes of its hall
//! that come first by rendezvous hash, with an equal share each, and nobody else
//! sends there while it is cold. No message is needed, and every box gets as
//! many servers as every other in the mean: if all servers are cold, each box
//! still has some.
//!
//! Invariants:
//!
//! * The shares of all senders are under the bound by one share or more, so that
//!   one more sender, by a list of boxes that differs, breaks nothing.
//! * Nobody is dropped from a list at once, and a box that is new to the others
//!   sends nothing before all of them have listed it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::Cold;
use tidepier_ids as ids;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Senders that a list of boxes that differs may add: one, and one more for each
/// so many senders.
const SPARE_EACH: usize = 12;
/// Time in which no more than a sender's share is sent: the second that the
/// bound is told for, and 50 ms by which ways to a server may differ.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Time for which a box that is no longer listed still counts: three lists.
/// Where all entries lapse together each box would otherwise see itself alone.
const KEPT_TIME: Duration = Duration::from_secs(45);
/// Time after which a box that is new is in the lists of all others: one list,
/// which may be some seconds old.
const KNOWN_TIME: Duration = Duration::from_secs(20);

/// The bound on one cold server of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Time in which a server is cold after its start.
    pub time: Duration,
    /// Requests a second from all boxes.
    pub per_s: f64,
}

/// What each sender of a server may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// How many senders there are.
    pub senders: usize,
    /// Requests a second of each.
    pub requests: usize,
}

impl Limit {
    /// The bound on the servers of a service: `overage` times what they bear, and
    /// `tolerance` requests a second more.
    pub fn new(cold: Cold, overage: f64, tolerance: f64) -> Self {
        Self {
            time: cold.time,
            per_s: cold.per_s * overage + tolerance,
        }
    }

    /// The shares where so many boxes can be senders: as many as get a request a
    /// second each. With fewer that get more, boxes differ more in how much they
    /// may send: with 8 that get two, 78 boxes before 90 cold servers refused 157
    /// in 1,000 of 1,125 requests a second, which is under what the servers bear.
    pub fn share(&self, boxes: usize) -> Share {
        let places = self.per_s as usize;
        let most = (1..=places)
            .rev()
            .find(|senders| with_spare(*senders) <= places);
        let senders = most.unwrap_or(1).min(boxes.max(1));
        let requests = places / with_spare(senders);
        Share { senders, requests }
    }
}

/// So many senders, and those that a list that differs may add.
fn with_spare(senders: usize) -> usize {
    senders + 1 + senders / SPARE_EACH
}

/// A box that may be a sender.
#[derive(Debug, Clone)]
struct Member {
    key: u64,
    hall: ids::Hall,
    listed: Instant,
}

/// The boxes, as far as they are known here.
#[derive(Debug, Default)]
pub struct Roster {
    me: Cell<u64>,
    members: RefCell<Vec<Member>>,
    /// From when this box sends to cold servers; `None`: not before that is known.
    from: Cell<Option<Instant>>,
}

impl Roster {
    /// Takes over a list of the boxes with their halls; `me` is this one.
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
            let is_recent = now.saturating_duration_since(member.listed) < KEPT_TIME;
            is_recent && !listed.contains_key(&member.key)
        });
        members.extend(listed.into_values());
    }

    /// Records that the other boxes list this one.
    pub fn set_listed(&self, now: Instant) {
        self.from.set(self.from.get().or(Some(now)));
    }

    /// Records that the other boxes do not list this one yet.
    pub fn set_unlisted(&self, now: Instant) {
        self.from.set(self.from.get().or(Some(now + KNOWN_TIME)));
    }

    /// Records that this box has no others beside it.
    pub fn set_single(&self, me: &ids::Box, hall: &ids::Hall, now: Instant) {
        self.set_members(me, [(me, hall)], now);
        self.set_listed(now);
    }

    /// This box's share in a cold server of a hall; `None`: it is no sender.
    /// Where the hall has no box, those of all halls are taken.
    pub fn share(
        &self,
        server: &ids::Server,
        hall: &ids::Hall,
        limit: Limit,
        now: Instant,
    ) -> Option<Share> {
        self.from.get().filter(|from| *from <= now)?;
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
        let mine = weight(me);
        let before = boxes.iter().filter(|key| weight(**key) > mine).count();
        (before < share.senders).then_some(share)
    }
}

fn key(name: &ids::Box) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// What this box sent lately to one server while it was cold.
#[derive(Debug, Default)]
pub struct Window(RefCell<VecDeque<Instant>>);

impl Window {
    /// When one more request is within `share`, from `now` on; `None`: never.
    pub fn next(&self, share: Share, now: Instant) -> Option<Instant> {
        let mut sent = self.0.borrow_mut();
        sent.retain(|at| now.saturating_duration_since(*at) < WINDOW);
        let last = share.requests.checked_sub(1)?;
        let before = sent.iter().rev().nth(last);
        Some(before.map_or(now, |at| (*at + WINDOW).max(now)))
    }

    /// Records a request that is to be sent `at` a moment, none before any other
    /// that was recorded.
    pub fn sent(&self, at: Instant) {
        self.0.borrow_mut().push_back(at);
    }

    /// Records that a request recorded `at` is sent only `now`, once there is a
    /// connection.
    pub fn reschedule(&self, at: Instant, now: Instant) {
        let mut sent = self.0.borrow_mut();
        if let Some(found) = sent.iter().position(|other| *other == at) {
            sent[found] = now;
            sent.make_contiguous().sort_unstable();
        }
    }
}
