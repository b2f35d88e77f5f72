//! Whom a box sends heartbeats to.

use tidepier_ids as ids;

use crate::table::Table;

/// The neighbours of `me`: the next `count` boxes of its hall in ring order,
/// and the next box of another hall.
///
/// The ring orders boxes by the hash of their names, so that each box has
/// about as many boxes watching it as it watches.
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
    let near = others.iter().filter(|member| member.hall == me.hall);
    let far = others.iter().filter(|member| member.hall != me.hall);
    let chosen = near.take(count).chain(far.take(1));
    chosen.map(|member| member.name.clone()).collect()
}
