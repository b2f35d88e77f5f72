//! Which boxes there are, from the store.
//!
//! Each box has an entry there that says where it is reached and how strong it
//! is. The entry is bound to a long lease, so that a box that is gone for good
//! is forgotten; a box that is back within the lease finds its entry and takes
//! the lease over, which costs no write.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::store::{Failure, Item, LeaseId, LeaseState, Store, Swap, Write};
use tidepier_ids as ids;
use tidepier_platform::store::Client;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use super::tree;
use crate::message::boxes;
use crate::notifier::Notifier;
use crate::relay::Relay;

/// Where the entries lie in the store.
const PREFIX: &str = "tidepier/boxes/";
/// Term of an entry's lease: the store's longest. A box is found dead by its
/// silence, not by its lease.
const LEASE_TIME: Duration = Duration::from_secs(600);
/// Time between two renewals: several fit into a term.
const RENEW_TIME: Duration = Duration::from_secs(180);
/// Time from one's own entry to the first whole list: boxes that start together
/// start within 300 ms of each other.
const FIRST_LIST_TIME: Duration = Duration::from_millis(450);
/// Time between two lists, once running. Stale ones serve, which cost the store
/// a tenth.
const LIST_TIME: Duration = Duration::from_secs(15);
/// Time over which the reader of one hall spreads its list after the store came back
/// from an older copy; in multiples of the halls.
const SPREAD_TIME: Duration = Duration::from_millis(100);
/// Longest time for one call.
const CALL_TIME: Duration = Duration::from_millis(1_200);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(700);

/// How a box is registered.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Member {
    /// The box.
    pub name: ids::Box,
    /// Its hall.
    pub hall: ids::Hall,
    /// Where other boxes ask it.
    pub address: SocketAddr,
    /// Bandwidth of its link in Mbit/s: what a reader needs most, since it
    /// sends whole configurations to its hall.
    pub link_mbps: u32,
}

/// The boxes, as far as they are known.
pub struct Registry {
    /// This box.
    pub me: Member,
    store: Rc<Client>,
    members: RefCell<Vec<Member>>,
    /// The same as others are told.
    told: RefCell<boxes::List>,
    /// When another box of the hall last told of the boxes, or that they are as known.
    heard: Cell<Option<Instant>>,
    /// Whether this box is in the list that others tell.
    present: Cell<bool>,
    /// Notified when it no longer is.
    missed: Notifier,
    /// Notified when the store may have lost entries.
    lost: Notifier,
    listed: Cell<bool>,
    /// Whether a call failed before the boxes were listed.
    failed: Cell<bool>,
    /// Notified when the list changed.
    pub changed: Notifier,
}

impl Registry {
    /// A registry that knows this box alone.
    pub fn new(me: Member, store: Rc<Client>) -> Rc<Self> {
        Rc::new(Self {
            members: RefCell::new(vec![me.clone()]),
            told: RefCell::default(),
            heard: Cell::new(None),
            present: Cell::new(true),
            missed: Notifier::default(),
            lost: Notifier::default(),
            me,
            store,
            listed: Cell::new(false),
            failed: Cell::new(false),
            changed: Notifier::default(),
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

    /// Boxes of this hall that come before this one, the first one first.
    pub fn predecessors(&self) -> Vec<Member> {
        let mine = order(&self.me);
        let mut members = self.members_of(&self.me.hall);
        members.retain(|member| order(member) < mine);
        members
    }

    /// The boxes of this hall that this one asks, the first one that answers.
    pub fn asked(&self) -> Vec<Member> {
        let order = self.members_of(&self.me.hall);
        let links: Vec<u32> = order.iter().map(|member| member.link_mbps).collect();
        let me = order.iter().position(|it| it.name == self.me.name);
        let places = me.map_or_else(Vec::new, |me| tree::upstream_candidates(&links, me));
        places
            .into_iter()
            .map(|place| order[place].clone())
            .collect()
    }

    /// What stands for the list that is known here.
    pub fn digest(&self) -> boxes::Digest {
        self.told.borrow().digest
    }

    /// The list, for a box that knows another one.
    pub fn list_for(&self, known: boxes::Digest) -> Option<boxes::List> {
        let told = self.told.borrow();
        let differs = told.digest != boxes::Digest::default() && told.digest != known;
        differs.then(|| told.clone())
    }

    /// Takes over the boxes as another box of this hall tells them.
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
        let present = mine == Some(&self.me);
        if self.present.replace(present) && !present {
            self.missed.notify();
        }
        // A list from before this box was registered is older than what it read itself.
        if present || !self.listed.get() {
            members.retain(|member| member.name != self.me.name);
            members.push(self.me.clone());
            self.take(relay, members);
        }
        // Whoever asks this box is told what this one was told.
        *self.told.borrow_mut() = list.clone();
    }

    /// Records that another box of this hall told of the boxes, or that they are as
    /// known.
    pub fn heard(&self, now: Instant) {
        self.heard.set(Some(now));
    }

    /// Whether others tell this box of the boxes, so that it need not read them.
    fn is_told(&self) -> bool {
        let heard = self.heard.get();
        let known = self.digest() != boxes::Digest::default();
        known && heard.is_some_and(|at| at.elapsed() < LIST_TIME)
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

    /// Boxes of a hall in their order.
    pub fn members_of(&self, hall: &ids::Hall) -> Vec<Member> {
        let members = self.members.borrow();
        let same_hall = members.iter().filter(|member| member.hall == *hall);
        let mut same_hall: Vec<Member> = same_hall.cloned().collect();
        same_hall.sort_by_key(order);
        same_hall
    }

    /// Registers this box and keeps the list; does not end.
    pub async fn maintain(self: Rc<Self>, relay: Rc<Relay>) {
        let mut lease = self.start(&relay).await;
        let mut renewed = Instant::now();
        if self.predecessors().is_empty() {
            // It tells the others, and nobody tells it.
            if let Err(failure) = self.list(&relay, Whose::All, false).await {
                note(&failure, "list");
            }
        }
        loop {
            let next = async {
                tidepier_clock::sleep(LIST_TIME).await;
                false
            };
            let missed = async {
                self.missed.wait().await;
                false
            };
            let lost = async {
                self.lost.wait().await;
                true
            };
            if next.or(missed).or(lost).await {
                self.spread().await;
                self.reread(&relay).await;
            }
            match self.look(&relay).await {
                Ok(found) => lease = found.unwrap_or(lease),
                Err(failure) => note(&failure, "list"),
            }
            if renewed.elapsed() >= RENEW_TIME {
                renewed = Instant::now();
                self.renew(lease).await;
            }
        }
    }

    /// Has the boxes be read again, as the store may have lost entries.
    pub fn request_reread(&self) {
        self.lost.notify();
    }

    /// Waits so that the readers of all halls do not call at once.
    async fn spread(&self) {
        let halls = self.other_halls().len() as u32 + 1;
        Timer::after(SPREAD_TIME.mul_f64(fastrand::f64() * f64::from(halls))).await;
    }

    /// Reads the boxes if nobody tells them to this one: it tells the others of its hall,
    /// and those that are missing there register again.
    async fn reread(&self, relay: &Relay) {
        if !self.predecessors().is_empty() {
            return;
        }
        match self.list(relay, Whose::All, false).await {
            Ok(lease) => self.present.set(lease.is_some()),
            Err(failure) => note(&failure, "list"),
        }
    }

    /// Looks whether the boxes changed and this one is among them, and registers it again
    /// if not: the lease ran out, as when the store was down. Returns the lease of its
    /// entry if that is another one.
    async fn look(&self, relay: &Relay) -> Result<Option<LeaseId>, Failure> {
        if !self.is_told() {
            let lease = self.list(relay, Whose::All, true).await?;
            self.present.set(lease.is_some());
            if lease.is_some() {
                return Ok(lease);
            }
        }
        if self.present.get() {
            return Ok(None);
        }
        // The list may be from before this box was registered.
        let entry = self.store.get(&self.key(), CALL_TIME).await?.value;
        let entry = entry.filter(|item| self.is_mine(item));
        let lease = match entry.and_then(|item| item.lease) {
            Some(lease) => lease,
            None => self.register().await?,
        };
        self.present.set(true);
        Ok(Some(lease))
    }

    fn is_mine(&self, item: &Item) -> bool {
        let member = serde_json::from_slice::<Member>(&item.value);
        member.is_ok_and(|member| member == self.me)
    }

    async fn renew(&self, lease: LeaseId) {
        match self.store.renew(lease, CALL_TIME).await {
            Ok(LeaseState::For(_)) => {}
            Ok(LeaseState::Gone) => log::warn!(target: "belief", "event=lease_over"),
            Err(failure) => note(&failure, "keep"),
        }
    }

    async fn start(&self, relay: &Relay) -> LeaseId {
        loop {
            match self.list(relay, Whose::Hall, true).await {
                Ok(Some(lease)) => {
                    relay.roster.set_listed(Instant::now());
                    return lease;
                }
                Ok(None) => {}
                Err(failure) => self.start_failed(&failure, "list"),
            }
            match self.register().await {
                Ok(lease) => {
                    relay.roster.set_unlisted(Instant::now());
                    Timer::after(FIRST_LIST_TIME).await;
                    while let Err(failure) = self.list(relay, Whose::Hall, false).await {
                        note(&failure, "list");
                        rest().await;
                    }
                    return lease;
                }
                Err(failure) => self.start_failed(&failure, "register"),
            }
            rest().await;
        }
    }

    fn start_failed(&self, failure: &Failure, call: &str) {
        self.failed.set(true);
        note(failure, call);
    }

    /// Entries of a hall lie together: a box that starts needs those of its own hall
    /// only, and a list of all for each of them would grow by the square.
    fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.me.hall, self.me.name)
    }

    async fn register(&self) -> Result<LeaseId, Failure> {
        let lease = self.store.lease(LEASE_TIME, CALL_TIME).await?.id;
        let value = serde_json::to_vec(&self.me);
        let value = value.map_err(|error| Failure::Malformed(error.to_string()))?;
        let key = self.key();
        let write = Write {
            key: &key,
            value: &value,
            lease: Some(lease),
        };
        match self.store.swap(&[], &[write], &[], CALL_TIME).await? {
            Swap::Done(revision) => {
                log::info!(target: "belief", "event=registered revision={revision}");
                Ok(lease)
            }
            Swap::Conflict(_) | Swap::LeaseExpired | Swap::EraChanged => {
                Err(Failure::Malformed("the lease ended at once".into()))
            }
        }
    }

    /// Reads the boxes; returns the lease of this box's own entry, if that is
    /// as it should be.
    async fn list(
        &self,
        relay: &Relay,
        whose: Whose,
        stale: bool,
    ) -> Result<Option<LeaseId>, Failure> {
        let prefix = match whose {
            Whose::Hall => format!("{PREFIX}{}/", self.me.hall),
            Whose::All => PREFIX.to_owned(),
        };
        let read = self.store.list(&prefix, stale, CALL_TIME).await?;
        let mut mine = None;
        let mut members = vec![self.me.clone()];
        for item in &read.value {
            match serde_json::from_slice::<Member>(&item.value) {
                Ok(member) if member == self.me => mine = item.lease,
                Ok(member) if member.name == self.me.name => {}
                Ok(member) => members.push(member),
                Err(error) => log::error!(
                    target: "belief",
                    "event=box_invalid key={} why=\"{error}\"",
                    item.key
                ),
            }
        }
        // A stale list may be from before anybody registered.
        if stale && mine.is_none() && !self.listed.get() {
            return Ok(None);
        }
        self.take(relay, members);
        if whose == Whose::All {
            *self.told.borrow_mut() = list(&self.members.borrow());
        }
        Ok(mine)
    }

    fn take(&self, relay: &Relay, mut members: Vec<Member>) {
        members.sort_by(|a, b| a.name.cmp(&b.name));
        relay.set_boxes(members.len());
        let boxes = members.iter().map(|member| (&member.name, &member.hall));
        relay
            .roster
            .set_members(&self.me.name, boxes, Instant::now());
        let first = !self.listed.replace(true);
        if first || *self.members.borrow() != members {
            log::info!(target: "belief", "event=boxes count={}", members.len());
            *self.members.borrow_mut() = members;
            self.changed.notify();
        }
    }
}

/// Whose entries are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Whose {
    /// Those of this box's hall.
    Hall,
    /// All.
    All,
}

async fn rest() {
    Timer::after(PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}

/// Boxes, which are sorted by their names, as others are told.
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
        // 0 stands for no list.
        digest: boxes::Digest(hash.digest().max(1)),
        halls: halls.into_iter().collect(),
    }
}

/// The order of the boxes of a hall: the strongest link first.
fn order(member: &Member) -> (Reverse<u32>, u64) {
    (
        Reverse(member.link_mbps),
        xxh3_64(member.name.as_str().as_bytes()),
    )
}

fn note(failure: &Failure, call: &str) {
    log::info!(
        target: "belief",
        "event=store_call_failed call=boxes_{call} why={} detail=\"{failure}\"",
        failure.name()
    );
}
