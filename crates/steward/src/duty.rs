//! The duty to send orders to the engines of a hall: a key in the store that is
//! bound to a lease, with a fencing number.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::store::{Item, LeaseId, LeaseState, Revision, Store, Swap, Write};
use tidepier_errors::{Fault, Kind};
use tidepier_ids as ids;
use tidepier_store::fault;

/// Time after which a lease that is not renewed expires.
pub(crate) const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time before the lease's end from which the holder no longer acts: the clocks
/// of store and holder may run at different rates, and an order takes time to
/// arrive.
const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// The value of a duty's key in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    #[serde(rename = "box")]
    name: ids::Box,
    claim: ids::Request,
}

/// The duty of one hall.
pub struct Duty<S> {
    store: S,
    /// Time-out of a call to the store.
    timeout: Duration,
    key: String,
    name: ids::Box,
}

/// The duty as its holder has it.
#[derive(Debug, Clone)]
pub struct Hold {
    /// The number that the holder's orders carry, higher than that of every
    /// earlier holder.
    pub fencing: u64,
    /// When the duty was taken, by this process's clock.
    pub taken: Instant,
    lease: LeaseId,
    until: Instant,
}

impl Hold {
    /// Whether the holder may still act on the duty. It is checked directly before
    /// each order, as this process may have been suspended since the last check.
    pub fn valid(&self) -> bool {
        Instant::now() < self.until
    }
}

impl<S: Store> Duty<S> {
    /// The duty of `hall`. A call to `store` takes at most `timeout`.
    pub fn new(
        store: S,
        timeout: Duration,
        fleet: &ids::Account,
        hall: &ids::Hall,
        name: ids::Box,
    ) -> Self {
        Self {
            store,
            timeout,
            key: format!("tidepier/{fleet}/duty/orders/{hall}"),
            name,
        }
    }

    /// Takes the duty if no box holds it.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer.
    pub async fn take(&self) -> Result<Option<Hold>, Fault> {
        if self.read().await?.is_some() {
            return Ok(None);
        }
        let started = Instant::now();
        let granted = self.store.lease(LEASE_TTL, self.timeout).await;
        let lease = granted.map_err(fault)?.id;
        let record = Record {
            name: self.name.clone(),
            claim: ids::Request::random(),
        };
        let value = serde_json::to_vec(&record)
            .map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
        let put = Write {
            key: &self.key,
            value: &value,
            lease: Some(lease),
        };
        let absent = [(self.key.as_str(), Revision::default())];
        let swap = self.store.swap(&absent, &[put], &[], self.timeout).await;
        let fencing = match swap {
            Ok(Swap::Done(revision)) => Some(revision),
            Ok(Swap::Conflict(_) | Swap::LeaseExpired | Swap::EraChanged) | Err(_) => {
                self.revision_of_claim(&record).await?
            }
        };
        Ok(fencing.map(|revision| Hold {
            fencing: revision.number(),
            taken: Instant::now(),
            lease,
            until: started + LEASE_TTL - LEASE_MARGIN,
        }))
    }

    async fn read(&self) -> Result<Option<Item>, Fault> {
        let read = self.store.get(&self.key, self.timeout).await;
        Ok(read.map_err(fault)?.value)
    }

    /// The revision of this box's own claim if the store has it: the write whose
    /// answer was lost has then taken effect.
    async fn revision_of_claim(&self, record: &Record) -> Result<Option<Revision>, Fault> {
        let entry = self.read().await?;
        let held = entry.filter(|entry| {
            serde_json::from_slice::<Record>(&entry.value).is_ok_and(|held| held == *record)
        });
        Ok(held.map(|entry| entry.revision))
    }

    /// Renews the lease of the duty.
    ///
    /// # Errors
    ///
    /// [`Kind::Conflict`] when the lease has expired. [`Kind::Store`] when the store
    /// does not answer; the holder may then still act until the lease's end.
    pub async fn keep(&self, hold: &mut Hold) -> Result<(), Fault> {
        let started = Instant::now();
        match self.store.renew(hold.lease, self.timeout).await {
            Ok(LeaseState::For(time)) => {
                hold.until = started + time.saturating_sub(LEASE_MARGIN);
                Ok(())
            }
            Ok(LeaseState::Gone) => Err(Fault::new(Kind::Conflict, "the lease has expired")),
            Err(failure) => Err(fault(failure)),
        }
    }

    /// Gives the duty back by ending its lease.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer; the lease then expires.
    pub async fn give_back(&self, hold: &Hold) -> Result<(), Fault> {
        let ended = self.store.end(hold.lease, self.timeout).await;
        ended.map_err(fault)
    }
}
