//! The duty of a hall: a lease in the store with a fencing number.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::store::{Item, LeaseId, LeaseState, Revision, Store, Swap, Write};
use tidepier_errors::{Fault, Kind};
use tidepier_ids as ids;
use tidepier_store::fault;

/// Term of a lease.
pub(crate) const LEASE_TIME: Duration = Duration::from_secs(6);
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
pub struct Duty<S> {
    store: S,
    /// Longest time for a call to the store.
    limit: Duration,
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
    lease: LeaseId,
    until: Instant,
}

impl Hold {
    /// Whether the duty may still be acted on. Asked directly before each
    /// order, as this process may have slept since it last looked.
    pub fn valid(&self) -> bool {
        Instant::now() < self.until
    }
}

impl<S: Store> Duty<S> {
    /// The duty of `hall`. A call to `store` takes at most `limit`.
    pub fn new(
        store: S,
        limit: Duration,
        fleet: &ids::Account,
        hall: &ids::Hall,
        name: ids::Box,
    ) -> Self {
        Self {
            store,
            limit,
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
        if self.entry().await?.is_some() {
            return Ok(None);
        }
        let begun = Instant::now();
        let granted = self.store.lease(LEASE_TIME, self.limit).await;
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
        let swap = self.store.swap(&absent, &[put], &[], self.limit).await;
        let fencing = match swap {
            Ok(Swap::Done(revision)) => Some(revision),
            Ok(Swap::Conflict(_) | Swap::LeaseExpired | Swap::EraChanged) | Err(_) => {
                self.mine(&record).await?
            }
        };
        Ok(fencing.map(|revision| Hold {
            fencing: revision.number(),
            taken: Instant::now(),
            lease,
            until: begun + LEASE_TIME - MARGIN,
        }))
    }

    async fn entry(&self) -> Result<Option<Item>, Fault> {
        let read = self.store.get(&self.key, self.limit).await;
        Ok(read.map_err(fault)?.value)
    }

    /// Whether a write whose reply was lost has taken effect.
    async fn mine(&self, record: &Record) -> Result<Option<Revision>, Fault> {
        let entry = self.entry().await?;
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
        match self.store.renew(hold.lease, self.limit).await {
            Ok(LeaseState::For(time)) => {
                hold.until = begun + time.saturating_sub(MARGIN);
                Ok(())
            }
            Ok(LeaseState::Gone) => Err(Fault::new(Kind::Conflict, "the lease has lapsed")),
            Err(failure) => Err(fault(failure)),
        }
    }

    /// Gives the duty back.
    ///
    /// # Errors
    ///
    /// [`Kind::Store`] when the store does not answer; the lease then lapses.
    pub async fn give_back(&self, hold: &Hold) -> Result<(), Fault> {
        let ended = self.store.end(hold.lease, self.limit).await;
        ended.map_err(fault)
    }
}
