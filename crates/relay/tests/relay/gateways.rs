//! Which boxes are asked to carry connections, in memory and at sizes that no test with
//! real boxes has.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use eyre::ensure;
use tidepier_clock::Instant;
use tidepier_ids as ids;
use tidepier_relay::fleet::reach::Group;
use tidepier_relay::message::tunnel::Lack;
use tidepier_relay::tunnel::gateways::{Gateway, Gateways};

use crate::choice_harness::id;
use crate::harness::{ms, Result};

/// Tunnels that each box holds open.
const TUNNELS: usize = 16;
/// Most tunnels that a box with 4,100 descriptors carries.
const ROOM: u32 = 254;

/// Boxes of which the first ones are partitioned from all servers.
struct Fleet {
    halls: Vec<ids::Hall>,
    cut: usize,
    /// Tunnels that each box carries.
    carried: RefCell<Vec<u32>>,
    /// Boxes that were asked in vain.
    denied: RefCell<usize>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_340))
}

impl Fleet {
    /// Boxes in halls of these sizes.
    fn new(halls: &[usize], cut: usize) -> Result<Self> {
        let names = halls
            .iter()
            .zip(1..)
            .flat_map(|(size, number)| (0..*size).map(move |_| id(&format!("hall-{number}"))));
        let halls: Vec<ids::Hall> = names.collect::<Result<_>>()?;
        Ok(Self {
            carried: RefCell::new(vec![0; halls.len()]),
            denied: RefCell::default(),
            halls,
            cut,
        })
    }

    /// The boxes that box `me` may ask.
    fn gateways_of(&self, me: usize) -> Result<Gateways> {
        let gateways = Gateways::default();
        let others = (0..self.halls.len()).filter(|other| *other != me);
        let others = others.map(|other| {
            let name = id(&format!("box-{other}"))?;
            Ok(Gateway::new(
                name,
                self.halls[other].clone(),
                address(other),
            ))
        });
        gateways.set(others.collect::<Result<Vec<_>>>()?);
        Ok(gateways)
    }

    /// The servers of a hall.
    fn group_of(&self, number: usize) -> Group {
        Group {
            service: "service-1".parse().expect("a name"),
            hall: self.halls[number % self.halls.len()].clone(),
        }
    }

    /// Asks boxes in turn for a connection to a server in a hall; whether one opened it.
    fn open(&self, gateways: &Gateways, me: usize, group: &Group, now: Instant) -> bool {
        for gateway in gateways.candidates(&self.halls[me], group, &|_| true, now) {
            let number = (0..self.halls.len()).find(|it| address(*it) == gateway.address);
            let number = number.unwrap_or_default();
            let mut carried = self.carried.borrow_mut();
            if number < self.cut {
                gateway.record_denied(group, Lack::Reach, now);
            } else if carried[number] >= ROOM {
                gateway.record_denied(group, Lack::Gateway, now);
            } else {
                carried[number] += 1;
                gateway.record_opened(carried[number], now);
                return true;
            }
            *self.denied.borrow_mut() += 1;
        }
        false
    }
}

/// Has all cut boxes open their tunnels, some every 10 ms; returns how many could not be
/// opened, how many boxes were asked in vain, and the most that one box carries.
fn open_all(halls: &[usize], cut: usize) -> Result<(usize, usize, u32)> {
    let fleet = Fleet::new(halls, cut)?;
    let boxes = (0..cut).map(|me| Ok((me, fleet.gateways_of(me)?)));
    let boxes: Vec<(usize, Gateways)> = boxes.collect::<Result<_>>()?;
    let start = Instant::now();
    let mut failed = 0;
    for round in 0..TUNNELS {
        let now = start + ms(10 * round as u64);
        for (me, gateways) in &boxes {
            let group = fleet.group_of((me + round) * 7);
            failed += usize::from(!fleet.open(gateways, *me, &group, now));
        }
    }
    let most = fleet.carried.borrow().iter().copied().max();
    let denied = *fleet.denied.borrow();
    Ok((failed, denied, most.unwrap_or_default()))
}

// Guards against the boxes of a hall that is cut off falling on one other box.
#[test]
fn tunnels_of_many_boxes_spread_over_the_others() -> Result {
    for (halls, cut) in [
        (&[3, 2, 1][..], 3),
        (&[60, 4, 4], 60),
        (&[63, 40, 40], 63),
        (&[300, 200, 200, 100, 100, 100], 300),
        (&[400, 300, 300], 400),
    ] {
        fastrand::seed(7);
        let (failed, denied, most) = open_all(halls, cut)?;
        let others = halls.iter().sum::<usize>() - cut;
        println!("{halls:?}, {cut} cut: {failed} failed, {denied} denied, most {most}");
        let opened = cut * TUNNELS;
        ensure!(failed * 50 <= opened, "{failed} of {opened} failed");
        ensure!(most < ROOM, "{most} at one of {others} boxes");
    }
    Ok(())
}

// Guards against a box that goes on asking boxes that cannot help.
#[test]
fn a_box_that_cannot_carry_connections_is_left_out_for_a_while() -> Result {
    let fleet = Fleet::new(&[1, 2], 1)?;
    let gateways = fleet.gateways_of(0)?;
    let (own, now) = (&fleet.halls[0], Instant::now());
    let (group, other) = (fleet.group_of(1), fleet.group_of(0));
    let asked = |at: u64| gateways.candidates(own, &group, &|_| true, now + ms(at));
    let first: Vec<Rc<Gateway>> = asked(0);
    ensure!(first.len() == 2);
    first[0].record_denied(&group, Lack::Reach, now);
    // What lacks is the server's, not the box's.
    first[1].record_denied(&group, Lack::Server, now);
    ensure!(asked(10).iter().all(|it| Rc::ptr_eq(it, &first[1])));
    ensure!(gateways.candidates(own, &other, &|_| true, now).len() == 2);
    ensure!(asked(1_100).len() == 2);
    first[1].record_lost(now);
    ensure!(asked(1_100).iter().all(|it| Rc::ptr_eq(it, &first[0])));
    ensure!(!gateways.is_trusted_since(first[1].address, now));
    Ok(())
}

// Guards against requests that pass through a region that they may not enter.
#[test]
fn boxes_of_halls_that_a_request_may_not_pass_are_not_asked() -> Result {
    let fleet = Fleet::new(&[1, 2, 2], 1)?;
    let gateways = fleet.gateways_of(0)?;
    let (own, allowed, now) = (&fleet.halls[0], &fleet.halls[1], Instant::now());
    let may_pass = |hall: &ids::Hall| hall == allowed;
    let asked = gateways.candidates(own, &fleet.group_of(3), &may_pass, now);
    ensure!(asked.len() == 2 && asked.iter().all(|it| it.hall == *allowed));
    Ok(())
}
