//! Distribution tree of a hall: which box gets its updates from which other box.
//!
//! If one box sends the list of all servers to its whole hall, the time grows with boxes
//! times servers: 200 boxes and 10,000 servers are 70 MB, which take 3 s on the strongest
//! link and 30 s on a weak one. Boxes therefore forward the list to as many others as
//! their links allow, and the list is known everywhere within a few such hops after the
//! first box has it.
//!
//! The tree follows from the list of boxes and needs no messages. Boxes whose lists
//! differ for a moment may ask a box that they would not ask later, which does no harm.
//!
//! Invariant: a box asks only boxes that precede it in the order of its hall, so that no
//! box gets its own data back.

/// Link bandwidth reserved for each downstream box, in Mbit/s: a list of 10,000 servers
/// is 0.4 MB, which take 0.3 s at this rate.
const MBPS_PER_DOWNSTREAM: u32 = 10;
/// Fewest downstream boxes of a box, so that a hall of boxes with weak links is served in
/// few hops.
const DOWNSTREAM_MIN: u32 = 2;
/// Most downstream boxes of a box.
const DOWNSTREAM_MAX: u32 = 64;
/// Number of boxes behind the first one in the order that are asked when neither it nor
/// the boxes on the path to it answer: one of them then reads the store.
const NEXT_READERS: usize = 2;

/// Positions of the upstream boxes of the box at position `me`, in order of preference;
/// it uses the first that answers. `links` are the bandwidths of the boxes of its hall in
/// their order, in Mbit/s.
pub fn upstream_candidates(links: &[u32], me: usize) -> Vec<usize> {
    let mut positions = Vec::new();
    let mut add = |position: usize| {
        if position < me && !positions.contains(&position) {
            positions.push(position);
        }
    };
    let mut at = me;
    while let Some(parent) = parent(links, at) {
        add(parent);
        at = parent;
    }
    (1..=NEXT_READERS).for_each(&mut add);
    // These differ between boxes, so that no box gets many additional downstream boxes.
    let mut at = me / 2;
    while at > 0 {
        add(at);
        at /= 2;
    }
    positions
}

/// Position of the preferred upstream box of the box at `place`; `None` for the first
/// box. Boxes are assigned downstream boxes in their order, each as many as its link
/// allows.
pub fn parent(links: &[u32], position: usize) -> Option<usize> {
    let mut assigned = 1;
    for (parent, link) in links.iter().enumerate().take(position) {
        assigned += downstream_count(*link);
        if position < assigned {
            return Some(parent);
        }
    }
    None
}

/// Number of downstream boxes of a box with this bandwidth.
fn downstream_count(link_mbps: u32) -> usize {
    let by_link = link_mbps / MBPS_PER_DOWNSTREAM;
    by_link.clamp(DOWNSTREAM_MIN, DOWNSTREAM_MAX) as usize
}
