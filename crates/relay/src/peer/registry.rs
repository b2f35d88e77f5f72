//! Which boxes there are, from the store.
//!
//! Each box has an entry there that says where it is reached and how strong it
//! is. The entry is bound to a long lease, so that a box that is gone for good
//! is forgotten; a box that is back within the lease finds its entry and takes
//! the lease over, which costs no write.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::store::{Failure, Kept, LeaseId, Store, Swap, Write};
use tidepier_ids as ids;
use tidepier_platform::store::Client;
use xxhash_rust::xxh3::xxh3_64;

use crate::notice::Notice;
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
    listed: Cell<bool>,
    /// Whether a call failed before the boxes were listed.
    failed: Cell<bool>,
    /// Notified when the list changed.
    pub changed: Notice,
}

impl Registry {
    /// A registry that knows this box alone.
    pub fn new(me: Member, store: Rc<Client>) -> Rc<Self> {
        Rc::new(Self {
            members: RefCell::new(vec![me.clone()]),
            me,
            store,
            listed: Cell::new(false),
            failed: Cell::new(false),
            changed: Notice::default(),
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
    pub fn before_me(&self) -> Vec<Member> {
        let mine = order(&self.me);
        let mut members = self.members_of(&self.me.hall);
        members.retain(|member| order(member) < mine);
        members
    }

    /// All other boxes.
    pub fn others(&self) -> Vec<Member> {
        let members = self.members.borrow();
        let others = members.iter().filter(|member| member.name != self.me.name);
        others.cloned().collect()
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
    pub async fn keep(self: Rc<Self>, relay: Rc<Relay>) {
        let mut lease = self.start(&relay).await;
        let mut renewed = Instant::now();
        loop {
            tidepier_clock::sleep(LIST_TIME).await;
            match self.list(&relay, true).await {
                Ok(Some(found)) => lease = found,
                Ok(None) => {
                    // The lease ran out, as when the store was down.
                    match self.register().await {
                        Ok(fresh) => lease = fresh,
                        Err(failure) => note(&failure, "register"),
                    }
                }
                Err(failure) => note(&failure, "list"),
            }
            if renewed.elapsed() >= RENEW_TIME {
                renewed = Instant::now();
                self.renew(lease).await;
            }
        }
    }

    async fn renew(&self, lease: LeaseId) {
        match self.store.keep(lease, CALL_TIME).await {
            Ok(Kept::For(_)) => {}
            Ok(Kept::Gone) => log::warn!(target: "belief", "event=lease_over"),
            Err(failure) => note(&failure, "keep"),
        }
    }

    async fn start(&self, relay: &Relay) -> LeaseId {
        loop {
            match self.list(relay, true).await {
                Ok(Some(lease)) => {
                    relay.roster.known(Instant::now());
                    return lease;
                }
                Ok(None) => {}
                Err(failure) => self.start_failed(&failure, "list"),
            }
            match self.register().await {
                Ok(lease) => {
                    relay.roster.unknown(Instant::now());
                    Timer::after(FIRST_LIST_TIME).await;
                    if let Err(failure) = self.list(relay, false).await {
                        note(&failure, "list");
                    }
                    return lease;
                }
                Err(failure) => self.start_failed(&failure, "register"),
            }
            Timer::after(PAUSE.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    fn start_failed(&self, failure: &Failure, call: &str) {
        self.failed.set(true);
        note(failure, call);
    }

    fn key(&self) -> String {
        format!("{PREFIX}{}", self.me.name)
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
            Swap::Conflict(_) | Swap::NoLease => {
                Err(Failure::Malformed("the lease ended at once".into()))
            }
        }
    }

    /// Reads the boxes; returns the lease of this box's own entry, if that is
    /// as it should be.
    async fn list(&self, relay: &Relay, stale: bool) -> Result<Option<LeaseId>, Failure> {
        let read = self.store.list(PREFIX, stale, CALL_TIME).await?;
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
        Ok(mine)
    }

    fn take(&self, relay: &Relay, mut members: Vec<Member>) {
        members.sort_by(|a, b| a.name.cmp(&b.name));
        relay.set_boxes(members.len());
        let boxes = members.iter().map(|member| (&member.name, &member.hall));
        relay.roster.list(&self.me.name, boxes, Instant::now());
        let first = !self.listed.replace(true);
        if first || *self.members.borrow() != members {
            log::info!(target: "belief", "event=boxes count={}", members.len());
            *self.members.borrow_mut() = members;
            self.changed.notify();
        }
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
