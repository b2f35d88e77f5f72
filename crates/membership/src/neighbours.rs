//! Chooses the boxes that a box sends heartbeats to.

use tidepier_ids as ids;

use crate::table::Table;

/// The neighbours of `me`: the next `count` boxes of its hall in ring order,
/// and the next box of another hall.
///
/// The ring orders boxes by the hash of their names, so that about as many boxes
/// watch a box as it watches itself.
pub fn neighbours(table: &Table, count: usize) -> Vec<ids::Box> {
    let me = table.me();
    let mut ring: Vec<_> = table.present().collect();
    ring.sort_by_key(|member| {
        (
            ids::Digest::of(member.name.as_str().as_bytes()),
            member.name.clone(),
        )
    });
    let mine = ring.iter().position(|member| member.name == me.name);
    let start = mine.map_or(0, |index| index + 1);
    let after = ring.iter().cycle().skip(start).take(ring.len());
    let others: Vec<_> = after.filter(|member| member.name != me.name).collect();
    let same_hall = others.iter().filter(|member| member.hall == me.hall);
    let other_halls = others.iter().filter(|member| member.hall != me.hall);
    let chosen = same_hall.take(count).chain(other_halls.take(1));
    chosen.map(|member| member.name.clone()).collect()
}
