//! Which boxes keep the origin of a stream.
//!
//! Two boxes of the hall where the stream began keep it, and one of the next hall, so that it
//! survives its box, a hall, and a partition between halls. Any box works out from the
//! stream which boxes these may be. Of each hall only the first few boxes keep origins,
//! which bounds the connections.

use std::net::SocketAddr;

use tidepier_ids as ids;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Stream;

/// Boxes of a hall that keep origins.
pub const PER_HALL: usize = 8;
/// Boxes of its own hall that a box tells of a stream.
const TOLD_NEAR: usize = 2;
/// Boxes of the next hall that it tells.
const TOLD_NEXT: usize = 1;
/// Boxes of its own hall that a box asks: those told may not be the first, as the box that
/// told them was among these or one failed.
const ASKED_NEAR: usize = 4;
/// Boxes that it asks of each other hall.
const ASKED_FAR: usize = 2;

/// A box that may keep origins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keeper {
    /// Its name.
    pub name: ids::Box,
    /// Its address for other boxes.
    pub address: SocketAddr,
}

/// The boxes of each hall that may keep origins.
#[derive(Debug, Clone, Default)]
pub struct Keepers {
    /// This box.
    me: Option<ids::Box>,
    near: Vec<Keeper>,
    /// The other halls, the next one in the order of names first.
    far: Vec<Vec<Keeper>>,
}

impl Keepers {
    /// The keepers among the boxes of all halls, sorted by hall, each with its boxes in the
    /// order on which all boxes agree. `hall`: the hall of this box.
    pub fn new(me: &ids::Box, hall: &ids::Hall, halls: Vec<(ids::Hall, Vec<Keeper>)>) -> Self {
        let mut near = Vec::new();
        let (mut before, mut after) = (Vec::new(), Vec::new());
        for (name, mut boxes) in halls {
            boxes.truncate(PER_HALL);
            match name.cmp(hall) {
                std::cmp::Ordering::Less => before.push(boxes),
                std::cmp::Ordering::Equal => near = boxes,
                std::cmp::Ordering::Greater => after.push(boxes),
            }
        }
        after.append(&mut before);
        Self {
            me: Some(me.clone()),
            near,
            far: after,
        }
    }

    /// The boxes to tell of a stream that begins here, without those that `fail`.
    pub fn to_tell(&self, stream: Stream, fails: impl Fn(&Keeper) -> bool) -> Vec<&Keeper> {
        let near = self.ranked(&self.near, stream);
        let near = near.into_iter().filter(|it| !fails(it)).take(TOLD_NEAR);
        let next = self.far.first();
        let next = next.map_or_else(Vec::new, |boxes| self.ranked(boxes, stream));
        let next = next.into_iter().filter(|it| !fails(it)).take(TOLD_NEXT);
        near.chain(next).collect()
    }

    /// The boxes to ask for a stream that a client takes up here, the likeliest first.
    pub fn to_ask(&self, stream: Option<Stream>) -> Vec<&Keeper> {
        let stream = stream.unwrap_or_default();
        let near = self.ranked(&self.near, stream).into_iter().take(ASKED_NEAR);
        let far = self.far.iter().flat_map(|boxes| {
            let ranked = self.ranked(boxes, stream).into_iter();
            ranked.take(ASKED_FAR)
        });
        near.chain(far).collect()
    }

    /// The boxes of a hall but this one, in the order in which they keep a stream.
    fn ranked<'a>(&self, boxes: &'a [Keeper], stream: Stream) -> Vec<&'a Keeper> {
        let others = boxes.iter().filter(|it| Some(&it.name) != self.me.as_ref());
        let mut others: Vec<&Keeper> = others.collect();
        others.sort_by_key(|it| xxh3_64_with_seed(it.name.as_str().as_bytes(), stream.0));
        others
    }
}
