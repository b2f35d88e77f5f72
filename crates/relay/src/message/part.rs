//! Servers in the form that boxes of this form tell each other.
//!
//! A list of all is sent in parts, so that one that is lost costs a part and not the
//! list, and what is under way to one box stays small. What servers have in common is
//! told once a part: a row takes some 40 bytes, where one with names takes 130.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_ids as ids;

use super::row::{as_ms, Row};

/// Servers, as far as the other does not know them, or the next piece of all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    groups: Vec<Group>,
    /// Servers that do not fit into a group: at addresses of another kind.
    others: Vec<Row>,
    /// Servers that are gone, each as of a revision of the store.
    pub gone: Vec<(ids::Server, u64)>,
    /// Present in a list of all.
    pub piece: Option<Piece>,
    /// Revision of the store up to which the sender knows all; 0: it does not.
    pub whole: u64,
}

/// A piece of a list of all servers, which are sorted by their ids.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Whether the list begins with it.
    pub first: bool,
    /// The last server of it; `None`: the list ends with this piece.
    pub last: Option<ids::Server>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Group {
    service: ids::Service,
    hall: ids::Hall,
    slots: u32,
    release: Option<String>,
    rows: Vec<Short>,
}

/// Id, address, port, revision, birth, rest of its cold in ms, and whether it leaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Short(ids::Server, u32, u16, u64, Option<u64>, u32, bool);

impl Part {
    /// A part with these servers.
    pub fn new(rows: impl IntoIterator<Item = Row>) -> Self {
        let mut part = Self::default();
        let mut places = HashMap::new();
        for row in rows {
            let IpAddr::V4(ip) = row.address.ip() else {
                part.others.push(row);
                continue;
            };
            let common = (row.service, row.hall, row.slots, row.release);
            let at = *places.entry(common).or_insert_with_key(|common| {
                let (service, hall, slots, release) = common.clone();
                part.groups.push(Group {
                    service,
                    hall,
                    slots,
                    release,
                    rows: Vec::new(),
                });
                part.groups.len() - 1
            });
            part.groups[at].rows.push(Short(
                row.id,
                ip.to_bits(),
                row.address.port(),
                row.revision,
                row.born,
                row.cold_ms,
                row.draining,
            ));
        }
        part
    }

    /// The same with servers that are gone, each as of a revision of the store.
    pub fn with_gone(mut self, gone: impl IntoIterator<Item = (ids::Server, u64)>) -> Self {
        self.gone = gone.into_iter().collect();
        self
    }

    /// The same as a piece of a list of all.
    pub fn as_piece(mut self, piece: Piece) -> Self {
        self.piece = Some(piece);
        self
    }

    /// Sets how much longer each server is cold, as of the message.
    pub fn set_cold(&mut self, left: impl Fn(&ids::Server) -> Duration) {
        let shorts = self.groups.iter_mut().flat_map(|group| &mut group.rows);
        shorts.for_each(|Short(id, _, _, _, _, cold_ms, _)| *cold_ms = as_ms(left(id)));
        let others = self.others.iter_mut();
        others.for_each(|row| row.set_cold(left(row.id())));
    }

    /// Its servers.
    pub fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        let grouped = self.groups.iter().flat_map(|group| {
            let rows = group.rows.iter();
            rows.map(|short| group.row(short))
        });
        grouped.chain(self.others.iter().cloned())
    }
}

impl Group {
    fn row(&self, short: &Short) -> Row {
        let Short(id, ip, port, revision, born, cold_ms, draining) = short;
        Row {
            id: id.clone(),
            service: self.service.clone(),
            address: SocketAddr::from((Ipv4Addr::from_bits(*ip), *port)),
            hall: self.hall.clone(),
            slots: self.slots,
            release: self.release.clone(),
            draining: *draining,
            revision: *revision,
            born: *born,
            cold_ms: *cold_ms,
        }
    }
}
