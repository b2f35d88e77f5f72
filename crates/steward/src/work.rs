//! The steward: it takes the duty of its hall when it is free, and in rounds
//! orders the hall's engines into the state that the document declares.

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

use crate::duty::{Duty, Hold, LEASE_TTL};
use crate::orders::{self, Need, Order, ORDER_TIMEOUT};

/// Mean interval between checks whether the duty is free. With 350 boxes these
/// checks are 35 reads per second, of the 2000 that the store can answer.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between renewals of the lease by the holder of the duty; at most a
/// third of the lease's time.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between rounds, per engine of the hall, after a round that found no
/// engine lacking anything.
const ROUND_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(100);
/// Interval between reads of the document by the holder of the duty.
const DOCUMENT_READ_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between checks whether the steward is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A running steward.
pub struct Steward {
    settings: Settings,
    pool: Pool,
    store: Client,
    duty: Duty<Client>,
    stopping: AtomicBool,
}

/// An order that an engine needs.
struct Task<'d> {
    engine: &'d Engine,
    order: Order,
    need: Need,
}

/// The state of an engine compared with the document.
enum Observation<'d> {
    /// The engine has loaded what the document declares.
    AsDeclared,
    /// The engine lacks something.
    Lacking(Task<'d>),
    /// The engine does not answer, or may not be sent orders yet.
    Unknown,
}

impl Steward {
    /// A steward of the hall of `settings`.
    pub fn new(settings: Settings) -> Self {
        let pool = Pool::new();
        let platform = &settings.platform;
        let timeout = settings.tuning.store_ms.duration();
        let store = Client::new(pool.clone(), platform.store.0);
        let name = settings.name.clone();
        let duty = Duty::new(
            store.clone(),
            timeout,
            &settings.fleet,
            &settings.hall,
            name,
        );
        Self {
            settings,
            pool,
            store,
            duty,
            stopping: AtomicBool::new(false),
        }
    }

    /// Makes [`Steward::run`] end: it finishes its round and gives the duty back, so
    /// that another box can take it at once.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Waits for `duration`, or less if the steward is to stop.
    async fn wait(&self, duration: Duration) {
        let end = Instant::now() + duration;
        while !self.is_stopping() && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            Timer::after(left.min(STOP_CHECK_INTERVAL)).await;
        }
    }

    /// Runs until stopped: takes the duty when it is free, and acts on it.
    pub async fn run(&self) {
        // Boxes that start together should not read the store at the same time.
        let spread = rand::random_range(0.0..1.0);
        let mut wait = Duration::from_millis(500).mul_f64(spread);
        while !self.is_stopping() {
            self.wait(wait).await;
            wait = DUTY_CHECK_INTERVAL.mul_f64(0.5 + rand::random_range(0.0..1.0));
            match self.duty.take().await {
                Ok(Some(hold)) => {
                    log::info!(
                        "duty taken hall={} fencing={}",
                        self.settings.hall,
                        hold.fencing
                    );
                    self.act(hold).await;
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

    /// Renews the lease and makes rounds until the duty is lost or the steward is
    /// to stop.
    async fn act(&self, mut hold: Hold) {
        let mut document: Option<Document> = None;
        let mut read_at: Option<Instant> = None;
        let mut next_round = Instant::now();
        while hold.valid() {
            if self.is_stopping() {
                if self.duty.give_back(&hold).await.is_err() {
                    log::info!("duty not given back; it is free when its lease expires");
                }
                return;
            }
            if read_at.is_none_or(|at| at.elapsed() > DOCUMENT_READ_INTERVAL) {
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
                    next_round = Instant::now() + self.round_interval(document, complete);
                }
            }
            self.wait(RENEWAL_INTERVAL).await;
            match self.duty.keep(&mut hold).await {
                Err(fault) if fault.kind == Kind::Conflict => return,
                // If the renewal failed, the lease is still valid until its end, which
                // the loop checks.
                Ok(()) | Err(_) => {}
            }
        }
    }

    /// The interval until the next round. It grows with the number of engines, so
    /// that the rounds of a large hall cost no more, and is a quarter of that after
    /// a round that left something to do.
    fn round_interval(&self, document: &Document, complete: bool) -> Duration {
        let of_hall = |engine: &&Engine| engine.hall == self.settings.hall;
        let engines = document.engines.iter().filter(of_hall).count();
        let interval = ROUND_INTERVAL_PER_ENGINE * engines as u32;
        if complete {
            interval
        } else {
            interval / 4
        }
    }

    async fn document(&self) -> Result<Option<Document>, Fault> {
        let key = format!("tidepier/{}/document", self.settings.fleet);
        let timeout = self.settings.tuning.store_ms.duration();
        let read = self.store.get(&key, timeout).await.map_err(fault)?;
        let Some(entry) = read.value else {
            return Ok(None);
        };
        let record: Record = serde_json::from_slice(&entry.value)
            .map_err(|error| Fault::new(Kind::Internal, error.to_string()))?;
        Ok(Some(record.document))
    }

    /// Compares all engines of the hall with the document and orders what they
    /// lack, beginning with those that lack most. Returns whether all engines were
    /// observed and lacked nothing.
    async fn round(&self, document: &Document, hold: &Hold) -> bool {
        let mut tasks = Vec::new();
        let mut unknown = false;
        let of_hall = |engine: &&Engine| engine.hall == self.settings.hall;
        for engine in document.engines.iter().filter(of_hall) {
            match self.observe(document, engine, hold).await {
                Observation::AsDeclared => {}
                Observation::Lacking(task) => tasks.push(task),
                Observation::Unknown => unknown = true,
            }
        }
        tasks.sort_by_key(|task| std::cmp::Reverse(task.need));
        let complete = tasks.is_empty() && !unknown;
        for task in tasks {
            if self.order(task, hold).await.is_err() {
                break;
            }
        }
        complete
    }

    async fn observe<'d>(
        &self,
        document: &'d Document,
        engine: &'d Engine,
        hold: &Hold,
    ) -> Observation<'d> {
        let Some(model) = document
            .models
            .iter()
            .find(|model| model.name == engine.model)
        else {
            return Observation::AsDeclared;
        };
        // An order of the previous holder may still be on its way, and an engine
        // that does not check fencing numbers would carry it out after ours.
        let settled = LEASE_TTL + ORDER_TIMEOUT;
        if !engine.checks_fencing && hold.taken.elapsed() < settled {
            return Observation::Unknown;
        }
        let Ok(loaded) = orders::read(&self.pool, engine.address.0).await else {
            return Observation::Unknown;
        };
        let need = loaded.need(model);
        if need == Need::Nothing {
            return Observation::AsDeclared;
        }
        let order = Order {
            fencing: hold.fencing,
            model: model.name.to_string(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            permit: String::new(),
        };
        Observation::Lacking(Task {
            engine,
            order,
            need,
        })
    }

    /// Gets a permit from the weight store and sends the order with it.
    ///
    /// # Errors
    ///
    /// There is no permit or the duty is lost; the rest of the round has to wait.
    async fn order(&self, mut task: Task<'_>, hold: &Hold) -> Result<(), Fault> {
        let object = format!("{}/{}", task.order.model, task.order.version);
        let weights = self.settings.platform.weights.0;
        task.order.permit = weights::permit(&self.pool, weights, &object).await?.permit;
        if !hold.valid() {
            metrics::counter!("tidepier_orders_withheld_total").increment(1);
            return Err(Fault::new(Kind::Conflict, "the duty has ended"));
        }
        let name = &task.engine.name;
        match orders::send(&self.pool, task.engine, &task.order).await {
            Ok(()) => log::info!("ordered engine={name} object={object}"),
            Err(fault) => log::info!("order failed engine={name} error={fault}"),
        }
        metrics::counter!("tidepier_orders_total").increment(1);
        Ok(())
    }
}
