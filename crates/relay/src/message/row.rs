//! Wire format of one server.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_core::era::{Era, Revision};
use tidepier_core::server::{Server, StartTime, State};
use tidepier_ids as ids;

use crate::revision_serde;

/// One server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Row {
    pub(super) id: ids::Server,
    pub(super) service: ids::Service,
    pub(super) address: SocketAddr,
    pub(super) hall: ids::Hall,
    pub(super) slots: u32,
    /// The release that the server runs, if its entry states one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) release: Option<String>,
    pub(super) draining: bool,
    /// Revision of the server's entry in the store.
    pub(super) revision: u64,
    /// Era of that revision.
    #[serde(default, skip_serializing_if = "revision_serde::is_default_era")]
    pub(super) era: u64,
    /// When the server started, in ms since 1970, if its entry states that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) born: Option<u64>,
    /// Remaining cold time in ms, as of the time at which the message was sent.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub(super) cold_ms: u32,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // As serde calls it.
fn is_zero(ms: &u32) -> bool {
    *ms == 0
}

impl Row {
    /// Creates the row for a server's entry in the store.
    pub fn new(server: &Server, revision: Revision) -> Self {
        Self {
            id: server.id.clone(),
            service: server.service.clone(),
            address: server.address,
            hall: server.hall.clone(),
            slots: server.slots,
            release: server.release.as_ref().map(ToString::to_string),
            draining: server.state == State::Draining,
            revision: revision.number(),
            era: revision.era().0,
            born: server.born.map(|born| born.0),
            cold_ms: as_ms(server.cold),
        }
    }

    /// Returns the row with another revision.
    pub fn with_revision(self, revision: Revision) -> Self {
        Self {
            revision: revision.number(),
            era: revision.era().0,
            ..self
        }
    }

    /// Whether this row does not contradict `known`, a row of the same server. Revisions
    /// and the remaining cold time may differ, and this row alone may say that the server
    /// is leaving: a leaving server never takes that back, so it applies regardless of
    /// which row is newer. If `known` says that the server is leaving, this row has to
    /// say so too.
    pub fn is_consistent_with(&self, known: &Self) -> bool {
        let same = Self {
            revision: self.revision,
            era: self.era,
            cold_ms: self.cold_ms,
            draining: self.draining,
            ..known.clone()
        };
        same == *self && (self.draining || !known.draining)
    }

    /// Returns the row with another remaining cold time.
    pub fn with_cold(mut self, left: Duration) -> Self {
        self.set_cold(left);
        self
    }

    /// Sets the remaining cold time.
    pub fn set_cold(&mut self, left: Duration) {
        self.cold_ms = as_ms(left);
    }

    /// Revision of the server's entry in the store.
    pub fn revision(&self) -> Revision {
        Revision::new(Era(self.era), self.revision)
    }

    /// The server.
    pub fn id(&self) -> &ids::Server {
        &self.id
    }
}

impl From<Row> for Server {
    fn from(row: Row) -> Self {
        Self {
            id: row.id,
            service: row.service,
            address: row.address,
            hall: row.hall,
            slots: row.slots,
            release: row.release.and_then(|text| text.parse().ok()),
            state: if row.draining {
                State::Draining
            } else {
                State::Ready
            },
            born: row.born.map(StartTime),
            cold: Duration::from_millis(row.cold_ms.into()),
        }
    }
}

/// Rounded up, so that a server never looks warmer than it is.
pub(super) fn as_ms(time: Duration) -> u32 {
    let ms = time.as_nanos().div_ceil(1_000_000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}
