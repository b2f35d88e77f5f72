//! Compact encoding of lists of servers.
//!
//! A full list is sent in parts, so that a connection failure costs one part instead of
//! the whole list, and the amount of data in transit to one box stays small. Fields that
//! servers have in common are sent once a part: a row takes about 40 bytes, instead of
//! 130 with all names.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_core::era::{Era, Revision};
use tidepier_ids as ids;

use super::row::{as_ms, Row};
use crate::revision_serde;

/// Servers that the receiver does not know yet, or the next piece of a full list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    groups: Vec<Group>,
    /// Servers that do not fit into a group because they have IPv6 addresses or entries
    /// of an earlier era.
    others: Vec<Row>,
    /// Removed servers, each as of a revision of the part's era.
    #[serde(rename = "gone")]
    removed: Vec<(ids::Server, u64)>,
    /// Removed servers, each as of a revision of an earlier era.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    gone_before: Vec<Gone>,
    /// Present if this part is a piece of a full list.
    pub piece: Option<Piece>,
    /// Number of the store revision as of which the sender's list of servers is complete;
    /// 0: it is not complete.
    #[serde(rename = "whole")]
    complete_revision: u64,
    /// Era of that revision and of the revision numbers in the other fields.
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    era: u64,
}

/// A server that was removed as of a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Gone {
    id: ids::Server,
    #[serde(flatten, with = "revision_serde")]
    revision: Revision,
}

/// The position of a piece in a full list of servers, which is sorted by their ids.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Whether this is the first piece.
    pub first: bool,
    /// The last server of the piece; `None`: this is the last piece.
    pub last: Option<ids::Server>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Group {
    service: ids::Service,
    hall: ids::Hall,
    slots: u32,
    release: Option<String>,
    rows: Vec<CompactRow>,
}

/// Id, IPv4 address, port, revision number, start time, remaining cold time in ms, and
/// whether the server is leaving.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CompactRow(ids::Server, u32, u16, u64, Option<u64>, u32, bool);

impl Part {
    /// Creates a part with these servers; the sender's list is complete as of the given
    /// revision.
    pub fn new(complete_revision: Revision, rows: impl IntoIterator<Item = Row>) -> Self {
        let mut part = Self {
            complete_revision: complete_revision.number(),
            era: complete_revision.era().0,
            ..Self::default()
        };
        let mut group_indexes = HashMap::new();
        for row in rows {
            let ip = match row.address.ip() {
                IpAddr::V4(ip) if row.revision().era() == complete_revision.era() => ip,
                _ => {
                    part.others.push(row);
                    continue;
                }
            };
            let common = (row.service, row.hall, row.slots, row.release);
            let at = *group_indexes.entry(common).or_insert_with_key(|common| {
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
            part.groups[at].rows.push(CompactRow(
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

    /// Adds removed servers, each as of a revision of the store.
    pub fn with_removed(mut self, gone: impl IntoIterator<Item = (ids::Server, Revision)>) -> Self {
        for (id, revision) in gone {
            if revision.era() == Era(self.era) {
                self.removed.push((id, revision.number()));
            } else {
                self.gone_before.push(Gone { id, revision });
            }
        }
        self
    }

    /// The store revision as of which the sender's list of servers is complete, if it is.
    pub fn complete_revision(&self) -> Revision {
        Revision::new(Era(self.era), self.complete_revision)
    }

    /// The removed servers, each as of a revision of the store.
    pub fn removed(&self) -> impl Iterator<Item = (&ids::Server, Revision)> {
        let era = Era(self.era);
        let gone = self.removed.iter();
        let gone = gone.map(move |(id, number)| (id, Revision::new(era, *number)));
        let before = self.gone_before.iter();
        gone.chain(before.map(|gone| (&gone.id, gone.revision)))
    }

    /// Assigns an era to all revisions from a sender that does not know eras.
    pub(super) fn in_era(mut self, era: Era) -> Self {
        self.era = era.0;
        for row in &mut self.others {
            row.era = era.0;
        }
        self
    }

    /// Marks the part as a piece of a full list.
    pub fn as_piece(mut self, piece: Piece) -> Self {
        self.piece = Some(piece);
        self
    }

    /// Sets the remaining cold time of each server, as of the time at which the message
    /// is sent.
    pub fn set_cold(&mut self, left: impl Fn(&ids::Server) -> Duration) {
        let rows = self.groups.iter_mut().flat_map(|group| &mut group.rows);
        rows.for_each(|CompactRow(id, _, _, _, _, cold_ms, _)| *cold_ms = as_ms(left(id)));
        let others = self.others.iter_mut();
        others.for_each(|row| row.set_cold(left(row.id())));
    }

    /// The servers of the part.
    pub fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        let era = Era(self.era);
        let grouped = self.groups.iter().flat_map(move |group| {
            let rows = group.rows.iter();
            rows.map(move |row| group.row(row, era))
        });
        grouped.chain(self.others.iter().cloned())
    }
}

impl Group {
    fn row(&self, row: &CompactRow, era: Era) -> Row {
        let CompactRow(id, ip, port, number, born, cold_ms, draining) = row;
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
