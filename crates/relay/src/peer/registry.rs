//! Membership: the boxes that are registered in the store.
//!
//! Each box has an entry in the store with its address and its link bandwidth. The entry
//! is bound to a long lease, so that a box that is gone for good is removed; a box that
//! restarts within the lease finds its entry and takes the lease over, which needs no
//! write.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::lock::Mutex;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::store::{Failure, Item, LeaseId, LeaseState, Store, Swap, Write};
use tidepier_ids as ids;
use tidepier_platform::store::Client;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

pub use super::entry::Member;
use super::entry::{self, key, PREFIX};
use super::tree;
use crate::log::Limit;
use crate::message::boxes;
use crate::notifier::Notifier;
use crate::origin::keepers::{Keeper, Keepers};
use crate::relay::Relay;
use crate::timeout;
use crate::tunnel::gateways::Gateway;

/// TTL of an entry's lease: the longest that the store grants. A dead box is detected
/// because it does not answer, not by its lease.
const LEASE_TTL: Duration = Duration::from_secs(600);
/// Time between two renewals of the lease: several fit into the TTL.
const RENEW_INTERVAL: Duration = Duration::from_secs(180);
/// Time from writing this box's own entry to the first complete list: boxes that start
/// together start within 300 ms of each other.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(450);
/// Time between two lists of the entries once the box runs. Stale reads suffice, which
/// cost the store a tenth.
const LIST_INTERVAL: Duration = Duration::from_secs(15);
/// Time over which the readers of the halls spread their lists after the store was
/// restored from an older backup, per hall.
const SPREAD_PER_HALL: Duration = Duration::from_millis(100);
/// Shortest time between two questions to the store whether a box is registered: a stranger
/// cannot make this box call the store more often.
const VERIFY_INTERVAL: Duration = Duration::from_millis(100);
/// Time-out for the end of another such question: the box that asked waits little longer.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(200);
/// Most boxes that are remembered as registered until the next list shows them.
const VERIFIED_MAX: usize = 256;
/// Time-out of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause after a failed call, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Most lines a second about entries that cannot be read.
const INVALID_LINES_MAX: u32 = 10;

/// The boxes that are known here.
pub struct Registry {
    /// This box.
    pub me: Member,
    store: Rc<Client>,
    members: RefCell<Vec<Member>>,
    /// The list of boxes as it is sent to other boxes.
    published: RefCell<boxes::List>,
    /// When another box of the hall last sent the list of boxes, or confirmed the known
    /// one.
    last_confirmed: Cell<Option<Instant>>,
    /// Whether this box is registered, as far as the last list shows.
    is_registered: Cell<bool>,
    /// Notified when a list of another box lacks this box.
    registration_lost: Notifier,
    /// Notified when the store may have lost entries.
    reread_requested: Notifier,
    listed: Cell<bool>,
    /// Boxes that the store confirmed since the last list.
    verified: RefCell<Vec<Member>>,
    /// When the store was last asked whether a box is registered; locked while it is.
    verified_at: Mutex<Option<Instant>>,
    /// Whether a call failed before the boxes were listed.
    failed: Cell<bool>,
    /// Whether the store had no entry of this box when it started; `None` until it is
    /// registered.
    is_new: Cell<Option<bool>>,
    /// Whether a list has shown an entry of this box.
    has_own_entry: Cell<bool>,
    /// Notified when this box is registered for the first time.
    registered: Notifier,
    /// Notified when the list of boxes changes.
    pub changed: Notifier,
    /// Limits the lines about entries that cannot be read.
    invalid_lines: Limit,
}

impl Registry {
    /// Creates a registry that knows this box only.
    pub fn new(me: Member, store: Rc<Client>) -> Rc<Self> {
        Rc::new(Self {
            members: RefCell::new(vec![me.clone()]),
            published: RefCell::default(),
            last_confirmed: Cell::new(None),
            is_registered: Cell::new(true),
            registration_lost: Notifier::default(),
            reread_requested: Notifier::default(),
            me,
            store,
            listed: Cell::new(false),
            verified: RefCell::default(),
            verified_at: Mutex::new(None),
            failed: Cell::new(false),
            is_new: Cell::new(None),
            has_own_entry: Cell::new(false),
            registered: Notifier::default(),
            changed: Notifier::default(),
            invalid_lines: Limit::new("box_invalid", INVALID_LINES_MAX),
        })
    }

    /// Whether the boxes have been listed.
    pub fn is_listed(&self) -> bool {
        self.listed.get()
    }

    /// Whether the store failed before the boxes were listed.
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Whether the store had no entry of this box when it started; waits until it is
    /// registered. A box that was killed leaves its entry for as long as its lease runs.
    pub async fn is_new(&self) -> bool {
        loop {
            if let Some(is_new) = self.is_new.get() {
                return is_new;
            }
            self.registered.wait().await;
        }
    }

    /// Boxes of this hall that precede this one in the order, the first of the order
    /// first.
    pub fn predecessors(&self) -> Vec<Member> {
        let own_key = priority_key(&self.me);
        let mut members = self.members_of(&self.me.hall);
        members.retain(|member| priority_key(member) < own_key);
        members
    }

    /// Upstream boxes of this one in order of preference; the first that answers is used.
    pub fn upstream_candidates(&self) -> Vec<Member> {
        let members = self.members_of(&self.me.hall);
        let links: Vec<u32> = members.iter().map(|member| member.link_mbps).collect();
        let me = members.iter().position(|it| it.name == self.me.name);
        let places = me.map_or_else(Vec::new, |me| tree::upstream_candidates(&links, me));
        places
            .into_iter()
            .map(|place| members[place].clone())
            .collect()
    }

    /// Digest of the list of boxes that is known here.
    pub fn digest(&self) -> boxes::Digest {
        self.published.borrow().digest
    }

    /// The list of boxes, unless the requesting box already knows it, as its digest
    /// shows.
    pub fn list_for(&self, known: boxes::Digest) -> Option<boxes::List> {
        let published = self.published.borrow();
        let differs = published.digest != boxes::Digest::default() && published.digest != known;
        differs.then(|| published.clone())
    }

    /// Applies a list of boxes that another box of this hall sent.
    pub fn apply_list(&self, relay: &Relay, list: &boxes::List) {
        let rows = list.halls.iter().flat_map(|(hall, rows)| {
            rows.iter().map(|row| Member {
                name: row.name.clone(),
                hall: hall.clone(),
                address: row.address,
                link_mbps: row.link_mbps,
            })
        });
        let mut members: Vec<Member> = rows.collect();
        let mine = members.iter().find(|member| member.name == self.me.name);
        let is_registered = mine == Some(&self.me);
        if self.is_registered.replace(is_registered) && !is_registered {
            self.registration_lost.notify();
        }
        // A list without this box may be older than what this box read itself: the entries
        // of its hall at the start, those of all halls later.
        let has_read_hall = !is_registered && self.listed.get();
        let has_read_all = has_read_hall && self.digest() != boxes::Digest::default();
        if has_read_hall {
            members.retain(|member| member.hall != self.me.hall);
            members.extend(self.members_of(&self.me.hall));
        }
        if !has_read_all {
            members.retain(|member| member.name != self.me.name);
            members.push(self.me.clone());
            self.take(relay, members);
        }
        // Downstream boxes get the same list.
        *self.published.borrow_mut() = list.clone();
    }

    /// Records that another box of this hall sent the list of boxes or confirmed the
    /// known one.
    pub fn record_confirmation(&self, now: Instant) {
        self.last_confirmed.set(Some(now));
    }

    /// Whether this box regularly gets the list from other boxes, so that it need not
    /// read it.
    fn is_kept_current(&self) -> bool {
        let last_confirmed = self.last_confirmed.get();
        let known = self.digest() != boxes::Digest::default();
        known && last_confirmed.is_some_and(|at| at.elapsed() < LIST_INTERVAL)
    }

    /// The halls of other boxes, without this box's own.
    pub fn other_halls(&self) -> BTreeSet<ids::Hall> {
        let members = self.members.borrow();
        let halls = members.iter().map(|member| &member.hall);
        halls
            .filter(|hall| **hall != self.me.hall)
            .cloned()
            .collect()
    }

    /// Boxes of a hall in priority order.
    pub fn members_of(&self, hall: &ids::Hall) -> Vec<Member> {
        let members = self.members.borrow();
        let same_hall = members.iter().filter(|member| member.hall == *hall);
        let mut same_hall: Vec<Member> = same_hall.cloned().collect();
        same_hall.sort_by_key(priority_key);
        same_hall
    }

    /// Whether `name` is a box of `hall` that is registered at the address `ip`. The store
    /// is asked if the list of boxes does not show it: the box may have just joined.
    pub(super) async fn verify(&self, name: &ids::Box, hall: &ids::Hall, ip: IpAddr) -> bool {
        let is_sender = |it: &Member| it.name == *name && it.hall == *hall && it.address.ip() == ip;
        let is_known = || {
            let members = self.members.borrow();
            let verified = self.verified.borrow();
            members.iter().chain(verified.iter()).any(is_sender)
        };
        if is_known() {
            return true;
        }
        let turn = timeout::within(VERIFY_TIMEOUT, self.verified_at.lock());
        let Some(mut last) = turn.await else {
            return false;
        };
        // The box may have asked several times at once.
        if is_known() {
            return true;
        }
        if last.is_some_and(|at| at.elapsed() < VERIFY_INTERVAL) {
            return false;
        }
        *last = Some(Instant::now());
        let entry = match self.store.get(&key(hall, name), CALL_TIMEOUT).await {
            Ok(read) => read.value,
            Err(failure) => {
                log_failure(&failure, "get");
                None
            }
        };
        let member = entry.and_then(|item| entry::decode(&item).ok());
        let Some(member) = member.filter(is_sender) else {
            return false;
        };
        let mut verified = self.verified.borrow_mut();
        if verified.len() < VERIFIED_MAX {
            verified.push(member);
        }
        true
    }

    /// Registers this box, renews its lease and refreshes the list of boxes; never
    /// returns.
    pub async fn maintain(self: Rc<Self>, relay: Rc<Relay>) {
        let mut lease = self.register_first(&relay).await;
        self.registered.notify();
        let mut renewed = Instant::now();
        if self.predecessors().is_empty() {
            // The first box of a hall sends the list to the others, and gets it from
            // nobody.
            if let Err(failure) = self.list(&relay, ListScope::All, false).await {
                log_failure(&failure, "list");
            }
        }
        loop {
            let next = async {
                tidepier_clock::sleep(LIST_INTERVAL).await;
                false
            };
            let registration_lost = async {
                self.registration_lost.wait().await;
                false
            };
            let reread_requested = async {
                self.reread_requested.wait().await;
                true
            };
            if next.or(registration_lost).or(reread_requested).await {
                self.wait_for_turn().await;
                self.reread(&relay).await;
            }
            match self.check_registration(&relay).await {
                Ok(found) => lease = found.unwrap_or(lease),
                Err(failure) => log_failure(&failure, "list"),
            }
            if renewed.elapsed() >= RENEW_INTERVAL {
                renewed = Instant::now();
                self.renew(lease).await;
            }
        }
    }

    /// Requests that the entries be read again, since the store may have lost some.
    pub fn request_reread(&self) {
        self.reread_requested.notify();
    }

    /// Waits for a random time so that the readers of all halls do not call the store at
    /// once.
    async fn wait_for_turn(&self) {
        let halls = self.other_halls().len() as u32 + 1;
        Timer::after(SPREAD_PER_HALL.mul_f64(fastrand::f64() * f64::from(halls))).await;
    }

    /// Reads the entries if this box is the first of its hall: it sends the list to the
    /// others of its hall, and those that are missing in it register again.
    async fn reread(&self, relay: &Relay) {
        if !self.predecessors().is_empty() {
            return;
        }
        match self.list(relay, ListScope::All, false).await {
            Ok(lease) => self.is_registered.set(lease.is_some()),
            Err(failure) => log_failure(&failure, "list"),
        }
    }

    /// Refreshes the list unless other boxes send it, and registers this box again if its
    /// entry is missing because its lease expired, for example while the store was down.
    /// Returns the lease of the box's entry if it differs from the known one.
    async fn check_registration(&self, relay: &Relay) -> Result<Option<LeaseId>, Failure> {
        if !self.is_kept_current() {
            let lease = self.list(relay, ListScope::All, true).await?;
            self.is_registered.set(lease.is_some());
            if lease.is_some() {
                return Ok(lease);
            }
        }
        if self.is_registered.get() {
            return Ok(None);
        }
        // The list may be older than this box's registration.
        let entry = self.store.get(&self.key(), CALL_TIMEOUT).await?.value;
        let entry = entry.filter(|item| self.is_mine(item));
        let lease = match entry.and_then(|item| item.lease) {
            Some(lease) => lease,
            None => self.register().await?,
        };
        self.is_registered.set(true);
        Ok(Some(lease))
    }

    fn is_mine(&self, item: &Item) -> bool {
        entry::decode(item).is_ok_and(|member| member == self.me)
    }

    fn log_invalid(&self, key: &str, why: &entry::Invalid) {
        metrics::counter!("tidepier_entries_invalid_total", "kind" => "box").increment(1);
        if self.invalid_lines.allows(Instant::now()) {
            log::error!(target: "belief", "event=box_invalid key={key:?} why=\"{why}\"");
        }
    }

    async fn renew(&self, lease: LeaseId) {
        match self.store.renew(lease, CALL_TIMEOUT).await {
            Ok(LeaseState::For(_)) => {}
            Ok(LeaseState::Gone) => log::warn!(target: "belief", "event=lease_over"),
            Err(failure) => log_failure(&failure, "keep"),
        }
    }

    async fn register_first(&self, relay: &Relay) -> LeaseId {
        loop {
            let listed = self.list(relay, ListScope::Hall, true).await;
            // What the store has not shown does not make this box new.
            let is_new = listed.is_ok() && !self.has_own_entry.get() && !self.has_failed();
            self.is_new.set(Some(is_new));
            match listed {
                Ok(Some(lease)) => {
                    relay.roster.set_listed(Instant::now());
                    return lease;
                }
                Ok(None) => {}
                Err(failure) => self.first_call_failed(&failure, "list"),
            }
            match self.register().await {
                Ok(lease) => {
                    relay.roster.set_unlisted(Instant::now());
                    Timer::after(FIRST_LIST_DELAY).await;
                    while let Err(failure) = self.list(relay, ListScope::Hall, false).await {
                        log_failure(&failure, "list");
                        wait_for_retry().await;
                    }
                    return lease;
                }
                Err(failure) => self.first_call_failed(&failure, "register"),
            }
            wait_for_retry().await;
        }
    }

    fn first_call_failed(&self, failure: &Failure, call: &str) {
        self.failed.set(true);
        log_failure(failure, call);
    }

    /// The entries of a hall share a prefix: a starting box needs only those of its own
    /// hall, and if each box listed all entries, the cost would grow with the square of
    /// the boxes.
    fn key(&self) -> String {
        key(&self.me.hall, &self.me.name)
    }

    async fn register(&self) -> Result<LeaseId, Failure> {
        let lease = self.store.lease(LEASE_TTL, CALL_TIMEOUT).await?.id;
        let value = serde_json::to_vec(&self.me);
        let value = value.map_err(|error| Failure::Malformed(error.to_string()))?;
        let key = self.key();
        let write = Write {
            key: &key,
            value: &value,
            lease: Some(lease),
        };
        match self.store.swap(&[], &[write], &[], CALL_TIMEOUT).await? {
            Swap::Done(revision) => {
                log::info!(target: "belief", "event=registered revision={revision}");
                Ok(lease)
            }
            Swap::Conflict(_) | Swap::LeaseExpired | Swap::EraChanged => {
                Err(Failure::Malformed("the lease ended at once".into()))
            }
        }
    }

    /// Reads the entries; returns the lease of this box's own entry if the entry is as
    /// expected.
    async fn list(
        &self,
        relay: &Relay,
        whose: ListScope,
        stale: bool,
    ) -> Result<Option<LeaseId>, Failure> {
        let prefix = match whose {
            ListScope::Hall => format!("{PREFIX}{}/", self.me.hall),
            ListScope::All => PREFIX.to_owned(),
        };
        let read = self.store.list(&prefix, stale, CALL_TIMEOUT).await?;
        let mut mine = None;
        let mut members = vec![self.me.clone()];
        for item in &read.value {
            match entry::decode(item) {
                Ok(member) if member.name == self.me.name => {
                    self.has_own_entry.set(true);
                    mine = item.lease.filter(|_| member == self.me).or(mine);
                }
                Ok(member) => members.push(member),
                Err(error) => self.log_invalid(&item.key, &error),
            }
        }
        // A stale list may be from before any box registered.
        if stale && mine.is_none() && !self.listed.get() {
            return Ok(None);
        }
        self.take(relay, members);
        if whose == ListScope::All {
            *self.published.borrow_mut() = list(&self.members.borrow());
        }
        Ok(mine)
    }

    fn take(&self, relay: &Relay, mut members: Vec<Member>) {
        members.sort_by(|a, b| a.name.cmp(&b.name));
        relay.set_boxes(members.len());
        let others = members.iter().filter(|member| member.name != self.me.name);
        relay.dialer.gateways.set(others.map(|member| {
            let Member {
                name,
                hall,
                address,
                ..
            } = member.clone();
            Gateway::new(name, hall, address)
        }));
        relay
            .origins
            .set_keepers(keepers(&self.me, members.clone()));
        let boxes = members.iter().map(|member| (&member.name, &member.hall));
        relay
            .roster
            .set_members(&self.me.name, boxes, Instant::now());
        self.verified.borrow_mut().clear();
        let first = !self.listed.replace(true);
        if first || *self.members.borrow() != members {
            log::info!(target: "belief", "event=boxes count={}", members.len());
            *self.members.borrow_mut() = members;
            self.changed.notify();
        }
    }
}

/// The entries that a list covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListScope {
    /// Entries of this box's hall.
    Hall,
    /// Entries of all halls.
    All,
}

async fn wait_for_retry() {
    Timer::after(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
}

/// The boxes that keep origins of streams.
fn keepers(me: &Member, mut members: Vec<Member>) -> Keepers {
    members.sort_by_cached_key(|it| (it.hall.clone(), priority_key(it)));
    let halls = members.chunk_by(|a, b| a.hall == b.hall).map(|boxes| {
        let keeper = |it: &Member| Keeper {
            name: it.name.clone(),
            address: it.address,
        };
        (boxes[0].hall.clone(), boxes.iter().map(keeper).collect())
    });
    Keepers::new(&me.name, &me.hall, halls.collect())
}

/// The list of boxes as it is sent to others; `members` are sorted by name.
fn list(members: &[Member]) -> boxes::List {
    let mut halls: BTreeMap<ids::Hall, Vec<boxes::Row>> = BTreeMap::new();
    let mut hash = Xxh3::new();
    for member in members {
        let Member {
            name,
            hall,
            address,
            link_mbps,
        } = member.clone();
        hash.update(format!("{name} {hall} {address} {link_mbps}\n").as_bytes());
        let row = boxes::Row {
            name,
            address,
            link_mbps,
        };
        halls.entry(hall).or_default().push(row);
    }
    boxes::List {
        // 0 means that there is no list.
        digest: boxes::Digest(hash.digest().max(1)),
        halls: halls.into_iter().collect(),
    }
}

/// Sort key of the priority order of a hall's boxes: the box with the strongest link
/// first.
fn priority_key(member: &Member) -> (Reverse<u32>, u64) {
    (
        Reverse(member.link_mbps),
        xxh3_64(member.name.as_str().as_bytes()),
    )
}

fn log_failure(failure: &Failure, call: &str) {
    log::info!(
        target: "belief",
        "event=store_call_failed call=boxes_{call} why={} detail=\"{failure}\"",
        failure.name()
    );
}
