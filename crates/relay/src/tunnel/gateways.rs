//! The boxes that may carry connections for this one.
//!
//! Nothing is known of a box until it is asked; its answer is the newest word there is on
//! what it reaches. A box that opened a tunnel is asked again, one that could not is left
//! out for a while. Boxes of the own hall and of the server's hall come first, as they add
//! no way between halls; boxes of other halls follow, as a whole hall may be cut off.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_ids as ids;

use crate::fleet::reach::Group;
use crate::message::tunnel::Lack;

/// Most boxes that are asked for one connection.
pub(crate) const ASKED_MAX: usize = 3;
/// Time for which a box that does not answer is left out.
const LOST_TIME: Duration = Duration::from_secs(3);
/// Time for which a box is left out that answered that it cannot carry connections.
const DENIED_TIME: Duration = Duration::from_secs(1);
/// Time for which a box counts as one that carries connections after it last opened one.
const PROVEN_TIME: Duration = Duration::from_secs(5);
/// Number of boxes that are compared by the tunnels that they carry.
const COMPARED: usize = 2;
/// Number of proven boxes from which no further ones are looked for, so that the tunnels of
/// one box do not all burden another one.
const PROVEN_MIN: usize = 3;
/// Share of the tunnels for which an unproven box is asked first until there are as many.
const EXPLORED_SHARE: f64 = 0.25;

/// Whether a request may pass through a box of a hall.
pub type MayPass<'a> = &'a dyn Fn(&ids::Hall) -> bool;

/// A box that may carry connections.
#[derive(Debug)]
pub struct Gateway {
    /// The box.
    pub name: ids::Box,
    /// Its hall.
    pub hall: ids::Hall,
    /// Address on which it serves requests of other boxes.
    pub address: SocketAddr,
    /// When it last opened a tunnel.
    opened: Cell<Option<Instant>>,
    /// When it last failed to, for a reason of its own, and until when it is left out.
    failed: Cell<Option<(Instant, Instant)>>,
    /// Groups of servers that it does not reach, and until when it is left out for them.
    unreached: RefCell<HashMap<Group, Instant>>,
    /// Tunnels that it carried when it last answered.
    carried: Cell<u32>,
}

impl Gateway {
    /// A box of which nothing is known.
    pub fn new(name: ids::Box, hall: ids::Hall, address: SocketAddr) -> Self {
        Self {
            name,
            hall,
            address,
            opened: Cell::new(None),
            failed: Cell::new(None),
            unreached: RefCell::default(),
            carried: Cell::new(0),
        }
    }

    /// Records that the box opened a tunnel, and how many it carries.
    pub fn record_opened(&self, carried: u32, now: Instant) {
        self.opened.set(Some(now));
        self.failed.set(None);
        self.carried.set(carried);
    }

    /// Records what kept the box from opening a tunnel to a server of a group.
    pub fn record_denied(&self, group: &Group, lack: Lack, now: Instant) {
        let until = now + DENIED_TIME;
        match lack {
            Lack::Server => {}
            Lack::Gateway => self.failed.set(Some((now, until))),
            Lack::Reach => {
                let mut unreached = self.unreached.borrow_mut();
                unreached.retain(|_, until| now < *until);
                unreached.insert(group.clone(), until);
            }
        }
    }

    /// Records that the box does not answer.
    pub fn record_lost(&self, now: Instant) {
        self.failed.set(Some((now, now + LOST_TIME)));
    }

    /// Records that the box did not answer while another one did.
    pub fn record_slow(&self, now: Instant) {
        self.failed.set(Some((now, now + DENIED_TIME)));
    }

    /// Whether the box may be asked for a server of a group.
    fn may_be_asked(&self, group: &Group, now: Instant) -> bool {
        let unreached = self.unreached.borrow();
        let is_left_out = unreached.get(group).is_some_and(|until| now < *until);
        !is_left_out && self.failed.get().is_none_or(|(_, until)| now >= until)
    }

    /// Whether the box has opened a tunnel lately, and none was denied since.
    fn is_proven(&self, now: Instant) -> bool {
        let opened = self.opened.get();
        let is_recent = opened.is_some_and(|at| now.saturating_duration_since(at) < PROVEN_TIME);
        is_recent && self.failed.get().is_none()
    }

    /// Whether a tunnel that was unused since then may still be carried.
    fn is_trusted_since(&self, since: Instant) -> bool {
        self.failed.get().is_none_or(|(at, _)| at < since)
    }

    fn is_same(&self, other: &Gateway) -> bool {
        self.name == other.name && self.hall == other.hall && self.address == other.address
    }
}

/// The other boxes of the fleet.
#[derive(Debug, Default)]
pub struct Gateways(RefCell<Vec<Rc<Gateway>>>);

impl Gateways {
    /// Replaces the boxes. What is known of a box that stays is kept.
    pub fn set(&self, boxes: impl IntoIterator<Item = Gateway>) {
        let mut known = self.0.borrow_mut();
        let boxes = boxes.into_iter().map(|gateway| {
            let same = known.iter().find(|known| known.is_same(&gateway));
            same.cloned().unwrap_or_else(|| Rc::new(gateway))
        });
        let boxes: Vec<Rc<Gateway>> = boxes.collect();
        *known = boxes;
    }

    /// The boxes to ask for a connection to a server of a group, the first one first;
    /// `own_hall` is the hall of this box. Only boxes of halls that `may_pass` accepts.
    pub fn candidates(
        &self,
        own_hall: &ids::Hall,
        group: &Group,
        may_pass: MayPass<'_>,
        now: Instant,
    ) -> Vec<Rc<Gateway>> {
        let known = self.0.borrow();
        let mut askable: Vec<&Rc<Gateway>> = known
            .iter()
            .filter(|it| it.may_be_asked(group, now) && may_pass(&it.hall))
            .collect();
        fastrand::shuffle(&mut askable);
        let is_near = |it: &Gateway| it.hall == *own_hall || it.hall == group.hall;
        let proven = askable.iter().filter(|it| it.is_proven(now)).count();
        let explores = proven < PROVEN_MIN && fastrand::f64() < EXPLORED_SHARE;
        let rank = |it: &Gateway| (it.is_proven(now) == explores, !is_near(it));
        // The sort keeps the random order of equal ones.
        askable.sort_by_key(|it| rank(it));
        let compared = askable.iter().take(COMPARED);
        let ties = compared
            .take_while(|it| rank(it) == rank(askable[0]))
            .count();
        askable[..ties].sort_by_key(|it| it.carried.get());
        let mut chosen: Vec<Rc<Gateway>> =
            askable.iter().take(ASKED_MAX).copied().cloned().collect();
        spread_halls(&mut chosen, &askable);
        chosen
    }

    /// Whether a tunnel through the box at `address` that was unused since then may still
    /// be carried.
    pub fn is_trusted_since(&self, address: SocketAddr, since: Instant) -> bool {
        let gateway = self.at(address);
        gateway.is_some_and(|it| it.is_trusted_since(since))
    }

    /// The same, and whether the box is in a hall that `may_pass` accepts.
    pub(crate) fn may_carry(
        &self,
        address: SocketAddr,
        may_pass: MayPass<'_>,
        since: Instant,
    ) -> bool {
        let gateway = self.at(address);
        gateway.is_some_and(|it| it.is_trusted_since(since) && may_pass(&it.hall))
    }

    /// Records that the box at an address is gone.
    pub fn record_lost(&self, address: SocketAddr, now: Instant) {
        if let Some(gateway) = self.at(address) {
            gateway.record_lost(now);
        }
    }

    /// The box at an address.
    pub fn at(&self, address: SocketAddr) -> Option<Rc<Gateway>> {
        let known = self.0.borrow();
        known.iter().find(|it| it.address == address).cloned()
    }
}

/// Replaces the last of the chosen boxes by one of another hall, if all are of one hall:
/// that hall may be cut off as a whole.
fn spread_halls(chosen: &mut [Rc<Gateway>], askable: &[&Rc<Gateway>]) {
    let Some((last, others)) = chosen.split_last_mut() else {
        return;
    };
    let Some(first) = others.first() else {
        return;
    };
    let is_one_hall = others.iter().all(|it| it.hall == first.hall) && last.hall == first.hall;
    let elsewhere = askable.iter().find(|it| it.hall != first.hall);
    if let Some(elsewhere) = elsewhere.filter(|_| is_one_hall) {
        *last = (*elsewhere).clone();
    }
}
