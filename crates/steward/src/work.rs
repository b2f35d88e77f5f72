//! The steward's rounds.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;
use tidepier_config::document::{Document, Engine, Record};
use tidepier_config::Settings;
use tidepier_core::store::Store;
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::Pool;
use tidepier_store::etcd::Client;
use tidepier_store::{fault, weights};

use crate::duty::{Duty, Hold, LEASE_TIME};
use crate::orders::{self, Need, Order, FLIGHT};

/// Time between looks whether the duty is free. With 350 boxes these are 35
/// reads a second of the store's two thousand.
const LOOK: Duration = Duration::from_secs(10);
/// Time between renewals by a holder; a third of the lease or less.
const RENEW: Duration = Duration::from_secs(1);
/// Time between rounds that found nothing lacking, for each engine of the hall.
const ROUND_EACH: Duration = Duration::from_millis(100);
/// Time between reads of the document by a holder.
const READ: Duration = Duration::from_secs(3);

/// Longest time until a stop is noticed.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// A running steward.
pub struct Steward {
    settings: Settings,
    pool: Pool,
    store: Client,
    duty: Duty<Client>,
    stopping: AtomicBool,
}

struct Wanted<'d> {
    engine: &'d Engine,
    order: Order,
    need: Need,
}

/// What a look at an engine found.
enum Look<'d> {
    /// It has what the document declares.
    Right,
    /// It lacks something.
    Lacks(Wanted<'d>),
    /// It does not answer, or may not be ordered yet.
    Unknown,
}

impl Steward {
    /// A steward of the hall of `settings`.
    pub fn new(settings: Settings) -> Self {
        let pool = Pool::new();
        let platform = &settings.platform;
        let limit = settings.tuning.store_ms.duration();
        let store = Client::new(pool.clone(), platform.store.0);
        let name = settings.name.clone();
        let duty = Duty::new(store.clone(), limit, &settings.fleet, &settings.hall, name);
        Self {
            settings,
            pool,
            store,
            duty,
            stopping: AtomicBool::new(false),
        }
    }

    /// Asks [`Steward::run`] to end: it finishes its round and gives the duty
    /// back, so that another box can take it at once.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    fn stops(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Waits, for less if the steward stops.
    async fn pause(&self, wait: Duration) {
        let end = Instant::now() + wait;
        while !self.stops() && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            Timer::after(left.min(STOP_CHECK)).await;
        }
    }

    /// Works until stopped: takes the duty when it is free, and acts on it.
    pub async fn run(&self) {
        // Boxes that start together must not look together.
        let spread = rand::random_range(0.0..1.0);
        let mut wait = Duration::from_millis(500).mul_f64(spread);
        while !self.stops() {
            self.pause(wait).await;
            wait = LOOK.mul_f64(0.5 + rand::random_range(0.0..1.0));
            match self.duty.take().await {
                Ok(Some(hold)) => {
                    log::info!(
                        "duty taken hall={} fencing={}",
                        self.settings.hall,
                        hold.fencing
                    );
                    self.hold(hold).await;
                    log::info!("duty lost hall={}", self.settings.hall);
                }
                Ok(None) => {}
                Err(fault) => {
                    metrics::counter!("tidepier_duty_failures_total").increment(1);
                    log::debug!("{fault}");
                }
            }
        }
    }

    /// Acts until the duty is lost.
    async fn hold(&self, mut hold: Hold) {
        let mut document: Option<Document> = None;
        let mut read_at: Option<Instant> = None;
        let mut next_round = Instant::now();
        while hold.valid() {
            if self.stops() {
                if self.duty.give_back(&hold).await.is_err() {
                    log::info!("duty not given back; its lease lapses");
                }
                return;
            }
            if read_at.is_none_or(|at| at.elapsed() > READ) {
                if let Ok(found) = self.document().await {
                    if found != document {
                        next_round = Instant::now();
                    }
                    document = found;
                    read_at = Some(Instant::now());
                }
            }
            if let Some(document) = &document {
                if next_round <= Instant::now() {
                    let complete = self.round(document, &hold).await;
                    next_round = Instant::now() + self.between_rounds(document, complete);
                }
            }
            self.pause(RENEW).await;
            match self.duty.keep(&mut hold).await {
                Err(fault) if fault.kind == Kind::Conflict => return,
                // The lease still runs; its own end is checked.
                Ok(()) | Err(_) => {}
            }
        }
    }

    /// Rounds are more seldom in a large hall, so that their cost is not larger;
    /// sooner after one that left something to do.
    fn between_rounds(&self, document: &Document, complete: bool) -> Duration {
        let mine = |engine: &&Engine| engine.hall == self.settings.hall;
        let engines = document.engines.iter().filter(mine).count();
        let pause = ROUND_EACH * engines as u32;
        if complete {
            pause
        } else {
            pause / 4
        }
    }

    async fn document(&self) -> Result<Option<Document>, Fault> {
        let key = format!("tidepier/{}/document", self.settings.fleet);
        let limit = self.settings.tuning.store_ms.duration();
        let read = self.store.get(&key, limit).await.map_err(fault)?;
        let Some(entry) = read.value else {
            return Ok(None);
        };
        let record: Record = serde_json::from_slice(&entry.value)
            .map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
        Ok(Some(record.document))
    }

    /// Compares all engines of the hall with the document and orders what they
    /// lack, those that lack most first. Returns whether nothing was lacking.
    async fn round(&self, document: &Document, hold: &Hold) -> bool {
        let mut wanted = Vec::new();
        let mut unknown = false;
        let mine = |engine: &&Engine| engine.hall == self.settings.hall;
        for engine in document.engines.iter().filter(mine) {
            match self.look(document, engine, hold).await {
                Look::Right => {}
                Look::Lacks(order) => wanted.push(order),
                Look::Unknown => unknown = true,
            }
        }
        wanted.sort_by_key(|wanted| std::cmp::Reverse(wanted.need));
        let complete = wanted.is_empty() && !unknown;
        for wanted in wanted {
            if self.order(wanted, hold).await.is_err() {
                break;
            }
        }
        complete
    }

    async fn look<'d>(&self, document: &'d Document, engine: &'d Engine, hold: &Hold) -> Look<'d> {
        let Some(model) = document
            .models
            .iter()
            .find(|model| model.name == engine.model)
        else {
            return Look::Right;
        };
        // An order of the holder before may still be on its way, and this
        // engine would take it after ours.
        let settled = LEASE_TIME + FLIGHT;
        if !engine.checks_fencing && hold.taken.elapsed() < settled {
            return Look::Unknown;
        }
        let Ok(loaded) = orders::read(&self.pool, engine.address.0).await else {
            return Look::Unknown;
        };
        let need = loaded.need(model);
        if need == Need::Nothing {
            return Look::Right;
        }
        let order = Order {
            fencing: hold.fencing,
            model: model.name.to_string(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            permit: String::new(),
        };
        Look::Lacks(Wanted {
            engine,
            order,
            need,
        })
    }

    /// Sends one order with a permit of the weight store.
    ///
    /// # Errors
    ///
    /// The rest of the round has to wait: no permit, or the duty is lost.
    async fn order(&self, mut wanted: Wanted<'_>, hold: &Hold) -> Result<(), Fault> {
        let object = format!("{}/{}", wanted.order.model, wanted.order.version);
        let weights = self.settings.platform.weights.0;
        wanted.order.permit = weights::permit(&self.pool, weights, &object).await?.permit;
        if !hold.valid() {
            metrics::counter!("tidepier_orders_withheld_total").increment(1);
            return Err(Fault::new(Kind::Conflict, "the duty has ended"));
        }
        let name = &wanted.engine.name;
        match orders::send(&self.pool, wanted.engine, &wanted.order).await {
            Ok(()) => log::info!("ordered engine={name} object={object}"),
            Err(fault) => log::info!("order failed engine={name} error={fault}"),
        }
        metrics::counter!("tidepier_orders_total").increment(1);
        Ok(())
    }
}
