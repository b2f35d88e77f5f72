//! Which box of its hall a box asks.
//!
//! One box that sends a list of all servers to its whole hall takes a time that grows
//! with boxes times servers: 200 boxes before 10,000 servers are 70 MB, 3 s of the
//! strongest link and 30 s of a weak one. So boxes pass on to as many others as their
//! links bear, and the list is known everywhere a few such times after the first box
//! has it.
//!
//! Who asks whom follows from the list of boxes: nobody is told, and boxes whose lists
//! differ for a moment ask a box that they would not ask later, which does no harm.
//!
//! Invariant: a box asks only boxes that come before it in the order of its hall, so
//! that nobody hears its own word.

/// Bandwidth that each asker of a box takes of its link, in Mbit/s: a list of 10,000
/// servers is 0.4 MB, 0.3 s at this.
const MBPS_EACH: u32 = 10;
/// Fewest askers of a box, so that a hall of weak boxes is served in few steps.
const ASKERS_MIN: u32 = 2;
/// Most askers of a box.
const ASKERS_MAX: u32 = 64;
/// Boxes at the beginning of the order that are asked when those on the way to the
/// first one do not answer: one of them reads the store then.
const NEXT_READERS: usize = 2;

/// The places of the boxes that a box asks, the first one that answers. `links` are
/// those of the boxes of its hall in their order, in Mbit/s, and `me` is its own place.
pub fn upstream_candidates(links: &[u32], me: usize) -> Vec<usize> {
    let mut places = Vec::new();
    let mut add = |place: usize| {
        if place < me && !places.contains(&place) {
            places.push(place);
        }
    };
    let mut at = me;
    while let Some(parent) = parent(links, at) {
        add(parent);
        at = parent;
    }
    (1..=NEXT_READERS).for_each(&mut add);
    // Different ones for different boxes, so that no box has to bear many.
    let mut at = me / 2;
    while at > 0 {
        add(at);
        at /= 2;
    }
    places
}

/// The place of the box that the one at a place asks first; `None` for the first one.
/// Boxes take askers in their order, each as many as its link bears.
pub fn parent(links: &[u32], place: usize) -> Option<usize> {
    let mut taken = 1;
    for (parent, link) in links.iter().enumerate().take(place) {
        taken += askers(*link);
        if place < taken {
            return Some(parent);
        }
    }
    None
}

/// How many boxes ask a box with such a link.
fn askers(link_mbps: u32) -> usize {
    let most = link_mbps / MBPS_EACH;
    most.clamp(ASKERS_MIN, ASKERS_MAX) as usize
}
