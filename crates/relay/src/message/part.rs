//! Servers in the form that boxes of this form tell each other.
//!
//! A list of all is sent in parts, so that one that is lost costs a part and not the
//! list, and what is under way to one box stays small. What servers have in common is
//! told once a part: a row takes some 40 bytes, where one with names takes 130.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_core::era::{Era, Revision};
use tidepier_ids as ids;

use super::row::{as_ms, Row};
use crate::revision_serde;

/// Servers, as far as the other does not know them, or the next piece of all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    groups: Vec<Group>,
    /// Servers that do not fit into a group: at addresses of another kind, or with
    /// entries of a former era.
    others: Vec<Row>,
    /// Servers that are gone, each as of a revision of the part's era.
    gone: Vec<(ids::Server, u64)>,
    /// Servers that are gone as of a revision of a former era.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    gone_before: Vec<Gone>,
    /// Present in a list of all.
    pub piece: Option<Piece>,
    /// Revision of the store up to which the sender knows all; 0: it does not.
    #[serde(rename = "whole")]
    complete_revision: u64,
    /// The era of that revision and of the numbers of the other fields.
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    era: u64,
}

/// A server that is gone as of a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Gone {
    id: ids::Server,
    #[serde(flatten, with = "revision_serde")]
    revision: Revision,
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
    /// A part of one whose sender knows all up to a revision, with these servers.
    pub fn new(whole: Revision, rows: impl IntoIterator<Item = Row>) -> Self {
        let mut part = Self {
            complete_revision: whole.number(),
            era: whole.era().0,
            ..Self::default()
        };
        let mut places = HashMap::new();
        for row in rows {
            let ip = match row.address.ip() {
                IpAddr::V4(ip) if row.revision().era() == whole.era() => ip,
                _ => {
                    part.others.push(row);
                    continue;
                }
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
    pub fn with_gone(mut self, gone: impl IntoIterator<Item = (ids::Server, Revision)>) -> Self {
        for (id, revision) in gone {
            if revision.era() == Era(self.era) {
                self.gone.push((id, revision.number()));
            } else {
                self.gone_before.push(Gone { id, revision });
            }
        }
        self
    }

    /// Revision of the store up to which the sender knows all, if it does.
    pub fn complete_revision(&self) -> Revision {
        Revision::new(Era(self.era), self.complete_revision)
    }

    /// Servers that are gone, each as of a revision of the store.
    pub fn gone(&self) -> impl Iterator<Item = (&ids::Server, Revision)> {
        let era = Era(self.era);
        let gone = self.gone.iter();
        let gone = gone.map(move |(id, number)| (id, Revision::new(era, *number)));
        let before = self.gone_before.iter();
        gone.chain(before.map(|gone| (&gone.id, gone.revision)))
    }

    /// The same of a sender that knows no eras, as one of this era.
    pub(super) fn in_era(mut self, era: Era) -> Self {
        self.era = era.0;
        for row in &mut self.others {
            row.era = era.0;
        }
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
        let era = Era(self.era);
        let grouped = self.groups.iter().flat_map(move |group| {
            let rows = group.rows.iter();
            rows.map(move |short| group.row(short, era))
        });
        grouped.chain(self.others.iter().cloned())
    }
}

impl Group {
    fn row(&self, short: &Short, era: Era) -> Row {
        let Short(id, ip, port, number, born, cold_ms, draining) = short;
        Row {
            id: id.clone(),
            service: self.service.clone(),
            address: SocketAddr::from((Ipv4Addr::from_bits(*ip), *port)),
            hall: self.hall.clone(),
            slots: self.slots,
            release: self.release.clone(),
            draining: *draining,
            revision: *number,
            era: era.0,
            born: *born,
            cold_ms: *cold_ms,
        }
    }
}
