//! The duty of a hall: a lease in the store with a fencing number.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tidepier_errors::{Fault, Kind};
use tidepier_ids as ids;
use tidepier_store::etcd::{Client, Lease, Outcome, Revision, Write};

/// Seconds of a lease.
pub(crate) const LEASE_SECONDS: u64 = 6;
/// Part of the lease that is not used: clocks of store and holder may run
/// apart, and an order takes time to arrive.
const MARGIN: Duration = Duration::from_secs(2);

/// What the store keeps of a duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    #[serde(rename = "box")]
    name: ids::Box,
    claim: ids::Request,
}

/// The duty of one hall.
pub struct Duty {
    store: Client,
    key: String,
    name: ids::Box,
}

/// A held duty.
#[derive(Debug, Clone)]
pub struct Hold {
    /// Orders carry this number.
    pub fencing: u64,
    /// When it was taken, by this process's clock.
    pub taken: Instant,
    lease: Lease,
    until: Instant,
}

impl Hold {
    /// Whether the duty may still be acted on. Asked directly before each
    /// order, as this process may have slept since it last looked.
    pub fn valid(&self) -> bool {
        Instant::now() < self.until
    }
}

impl Duty {
    /// The duty of `hall`.
    pub fn new(store: Client, fleet: &ids::Account, hall: &ids::Hall, name: ids::Box) -> Self {
        Self {
            store,
            key: format!("tidepier/{fleet}/duty/orders/{hall}"),
            name,
        }
    }

    /// Takes the duty if nobody holds it.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer.
    pub async fn take(&self) -> Result<Option<Hold>, Fault> {
        if self.store.get(&self.key).await?.is_some() {
            return Ok(None);
        }
        let begun = Instant::now();
        let lease = self.store.grant(LEASE_SECONDS).await?;
        let record = Record {
            name: self.name.clone(),
            claim: ids::Request::random(),
        };
        let value = serde_json::to_vec(&record)
            .map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
        let put = Write::Put {
            key: &self.key,
            value: &value,
            lease: Some(lease),
        };
        let fencing = match self
            .store
            .swap(&self.key, Revision::default(), &[put])
            .await
        {
            Outcome::Written(revision) => Some(revision),
            Outcome::Conflict | Outcome::Unknown(_) => self.mine(&record).await?,
        };
        Ok(fencing.map(|revision| Hold {
            fencing: revision.0 as u64,
            taken: Instant::now(),
            lease,
            until: begun + Duration::from_secs(LEASE_SECONDS) - MARGIN,
        }))
    }

    /// Whether a write whose reply was lost has taken effect.
    async fn mine(&self, record: &Record) -> Result<Option<Revision>, Fault> {
        let entry = self.store.get(&self.key).await?;
        let held = entry.filter(|entry| {
            serde_json::from_slice::<Record>(&entry.value).is_ok_and(|held| held == *record)
        });
        Ok(held.map(|entry| entry.revision))
    }

    /// Keeps the duty.
    ///
    /// # Errors
    ///
    /// [`Kind::Conflict`] when it has lapsed; [`Kind::Store`] when the store
    /// does not answer, and the duty may be acted on until its end.
    pub async fn keep(&self, hold: &mut Hold) -> Result<(), Fault> {
        let begun = Instant::now();
        let kept = self.store.keep(hold.lease).await?;
        hold.until = begun + Duration::from_secs(kept.seconds).saturating_sub(MARGIN);
        Ok(())
    }

    /// Gives the duty back.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer; the lease then lapses.
    pub async fn give_back(&self, hold: &Hold) -> Result<(), Fault> {
        self.store.revoke(hold.lease).await
    }
}
