//! Starts a router, shuts it down gracefully, and applies changed settings.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use futures_lite::FutureExt;
use smol::LocalExecutor;
use tidepier_clock::Instant;
use tidepier_h1::account::Account;
use tidepier_h1::Listener;
use tidepier_ids as ids;
use tidepier_platform::store::Client;

use crate::budget::{self, Budget};
use crate::client_connections;
use crate::content::Fingerprint;
use crate::crash;
use crate::crash_probe;
use crate::dial;
use crate::first_start;
use crate::fleet::watch;
use crate::follow::Follower;
use crate::metrics;
use crate::network::Network;
use crate::peer::registry::{Member, Registry};
use crate::peer::{origins, recovery, responder, seed, traffic, upstream};
use crate::ready;
use crate::recall;
use crate::relay::{Bounds, Relay};
use crate::release_recorder;
use crate::rollout_controller;
use crate::settings::{self, Settings};
use crate::signal::{Request, Requests};
use crate::stalls;
use crate::stop::Phase;
use crate::traffic::Progress;

/// Time from the stop signal until new connections are no longer accepted: the
/// balancer checks readiness every second and acts on the second failed check. It is
/// under 3 s because a request accepted after 3 s would still have to be finished.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_950);
/// Time before the platform kills the process at which requests without an answer get one
/// of this box.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Time before the platform kills the process at which it exits by itself. The clients that
/// were answered last have the difference to take their answers and close.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Margin within the bound on revoked keys, for the transit time of a request and
/// for late timers.
const REVOKE_MARGIN: Duration = Duration::from_millis(300);

/// Heartbeat intervals after which an unresponsive server has no store entry any more: the
/// three after which the platform removes the entry, and one for the removal to
/// reach this box.
const ENTRY_TTL_HEARTBEATS: u32 = 4;

/// Runs a router until the stop signal, and then its graceful shutdown.
///
/// # Errors
///
/// An address cannot be bound.
pub async fn run(settings: Settings, mut signals: Requests) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let router = Router::start(&settings, &executor)?;
    // Spawned as a task: the future passed to `Executor::run` is polled whenever any
    // task wakes, and checking for signals is a system call.
    let until_stopped = executor.spawn(async move {
        loop {
            match signals.next().await {
                Request::Stop => break,
                Request::Reload => reload(&router, &signals),
            }
        }
        router.stop().await;
    });
    executor.run(until_stopped).await;
    Ok(())
}

/// A router that runs on an executor given by the caller. Its tasks live as long
/// as the executor.
pub struct Router {
    relay: Rc<Relay>,
    client_address: SocketAddr,
    readiness_address: Option<SocketAddr>,
    metrics_address: Option<SocketAddr>,
    /// Time from the stop signal until the platform kills the process.
    stop_within: Cell<Duration>,
    /// Contents that the settings exempt from the block on crashing requests.
    pardoned: RefCell<BTreeSet<Fingerprint>>,
    /// Servers whose back-off the settings end.
    woken: RefCell<BTreeSet<ids::Server>>,
    /// The memory of the store's answers.
    store_memory: Rc<Account>,
}

impl Router {
    /// Binds the addresses in the settings and serves them while `executor` runs.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the process already has a metrics recorder.
    pub fn start(settings: &Settings, executor: &Rc<LocalExecutor<'static>>) -> eyre::Result<Self> {
        let relay = Rc::new(Relay::new(
            settings.hall.clone(),
            bounds(settings),
            Budget::new(budget_limits(settings)),
            Network {
                source: settings.source,
            },
        ));
        relay.set_descriptors(settings.limits.descriptors);
        relay.backlog.set_limit(settings.limits.answer_bytes());
        let event_bytes = settings.limits.event_bytes();
        relay.backlog.set_partial_limit(event_bytes);
        relay.inbound.set_limit(settings.limits.request_bytes());
        relay.set_regions(settings.regions.clone());
        let callers = Listener::bind(settings.callers).wrap_err("binding the client address")?;
        let mut router = Self {
            relay: relay.clone(),
            client_address: callers.address()?,
            readiness_address: None,
            metrics_address: None,
            stop_within: Cell::new(settings.bounds.stop_within.duration()),
            pardoned: RefCell::new(settings.pardoned.clone()),
            woken: RefCell::new(settings.woken.clone()),
            store_memory: Rc::new(Account::new(settings.limits.store_bytes())),
        };
        executor
            .spawn(client_connections::accept(
                relay.clone(),
                callers,
                executor.clone(),
            ))
            .detach();
        if let Some(address) = settings.readiness {
            let listener = Listener::bind(address).wrap_err("binding the readiness address")?;
            router.readiness_address = Some(listener.address()?);
            let relay = relay.clone();
            executor
                .spawn(async move { ready::serve(listener, || relay.is_ready()).await })
                .detach();
        }
        if let Some(address) = settings.metrics {
            let listener = Listener::bind(address).wrap_err("binding the metrics address")?;
            router.metrics_address = Some(listener.address()?);
            let registry = metrics::install()?;
            executor.spawn(metrics::serve(listener, registry)).detach();
        }
        let store = Client::sharing(settings.store.address, router.store_memory.clone());
        let store = Rc::new(store);
        relay.origins.ledger.set_store(store.clone());
        executor.spawn(origins::run_updates(relay.clone())).detach();
        let follower = Follower::new(relay.clone(), store.clone());
        executor.spawn(follower.clone().follow_catalog()).detach();
        executor
            .spawn(follower.clone().run_freshness_checks())
            .detach();
        executor.spawn(follower.clone().follow_servers()).detach();
        executor
            .spawn(follower.clone().drop_lapsed_servers())
            .detach();
        executor.spawn(follower.clone().report_emptying()).detach();
        executor
            .spawn(follower.clone().release_withheld_servers())
            .detach();
        executor
            .spawn(follower.clone().expire_held_entries())
            .detach();
        let inquiry = crash_probe::run(
            relay.crashes.clone(),
            relay.dialer.clone(),
            executor.clone(),
        );
        executor.spawn(inquiry).detach();
        executor
            .spawn(crash::run_expiry(relay.crashes.clone()))
            .detach();
        let probing =
            dial::probe_unreached(relay.fleet.clone(), relay.dialer.clone(), executor.clone());
        executor.spawn(probing).detach();
        executor.spawn(watch::run(relay.fleet.clone())).detach();
        executor
            .spawn(stalls::run(relay.clone(), executor.clone()))
            .detach();
        executor.spawn(tidepier_clock::watch()).detach();
        start_peers(&relay, follower, store, settings, executor)?;
        Ok(router)
    }

    /// The address that clients connect to. If the settings give port 0, it has the
    /// port that the system assigned.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// The address of the readiness endpoint.
    pub fn readiness_address(&self) -> Option<SocketAddr> {
        self.readiness_address
    }

    /// The address of the metrics endpoint.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_address
    }

    /// The state that its tasks share.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Applies the settings that can change at run time.
    pub fn apply_settings(&self, settings: &Settings) {
        self.relay.set_bounds(bounds(settings));
        self.relay.set_regions(settings.regions.clone());
        self.relay.set_descriptors(settings.limits.descriptors);
        self.relay.backlog.set_limit(settings.limits.answer_bytes());
        let event_bytes = settings.limits.event_bytes();
        self.relay.backlog.set_partial_limit(event_bytes);
        self.relay
            .inbound
            .set_limit(settings.limits.request_bytes());
        let store_bytes = settings.limits.store_bytes();
        self.store_memory.set_limit(store_bytes);
        self.relay.budget.set_limits(budget_limits(settings));
        self.stop_within.set(settings.bounds.stop_within.duration());
        let before = self.pardoned.replace(settings.pardoned.clone());
        for content in settings.pardoned.difference(&before) {
            self.relay.crashes.pardon(*content);
        }
        let before = self.woken.replace(settings.woken.clone());
        for server in settings.woken.difference(&before) {
            if self.relay.fleet.cancel_backoff(server) {
                log::info!(target: "belief", "event=rest_over server={server} why=operator");
            }
        }
    }

    /// Shuts down gracefully; completes when that is finished.
    pub async fn stop(&self) {
        stop(&self.relay, self.stop_within.get()).await;
    }
}

/// Starts the tasks that communicate with the other boxes. A box without peer
/// ports has no peers and reads the store itself.
fn start_peers(
    relay: &Rc<Relay>,
    follower: Rc<Follower>,
    store: Rc<Client>,
    settings: &Settings,
    executor: &Rc<LocalExecutor<'static>>,
) -> eyre::Result<()> {
    let Some(ports) = settings.peer_ports else {
        let controller = rollout_controller::run(follower.clone(), store, None);
        executor.spawn(controller).detach();
        follower.set_reads_store("alone", true);
        let recovering = recovery::run(follower, None, Vec::new(), executor.clone());
        executor.spawn(recovering).detach();
        let ledger = release_recorder::run(relay.clone(), true);
        executor.spawn(ledger).detach();
        let now = Instant::now();
        relay.roster.set_single(&settings.name, &settings.hall, now);
        return Ok(());
    };
    let address = SocketAddr::new(settings.callers.ip(), ports.first);
    let listener = Listener::bind(address).wrap_err("binding the peer address")?;
    let me = Member {
        name: settings.name.clone(),
        hall: settings.hall.clone(),
        address,
        link_mbps: settings.limits.link_mbps as u32,
    };
    if settings.first_start {
        // All boxes start now and register at once, so that their lists of each
        // other are complete from the beginning.
        relay.roster.set_listed(Instant::now());
        relay.era_state.record_first_start();
        // No engine has anything in its KV cache yet, so there is no index to rebuild.
        relay.traffic.set_progress(Progress::Done);
    }
    relay
        .dialer
        .identify(settings.name.clone(), settings.hall.clone());
    let registry = Registry::new(me, store.clone());
    let controller = rollout_controller::run(follower.clone(), store, Some(registry.clone()));
    executor.spawn(controller).detach();
    executor
        .spawn(registry.clone().maintain(relay.clone()))
        .detach();
    executor.spawn(follower.clone().watch_age()).detach();
    executor
        .spawn(responder::serve(
            listener,
            follower.clone(),
            registry.clone(),
            executor.clone(),
        ))
        .detach();
    let seeds = seeds(settings, ports.first);
    let recovering = recovery::run(
        follower.clone(),
        Some(registry.clone()),
        seeds.clone(),
        executor.clone(),
    );
    executor.spawn(recovering).detach();
    executor
        .spawn(seed::run(follower.clone(), registry.clone(), seeds))
        .detach();
    let rereading = {
        let (follower, registry) = (follower.clone(), registry.clone());
        async move {
            loop {
                follower.wait_for_restore().await;
                registry.request_reread();
            }
        }
    };
    executor.spawn(rereading).detach();
    executor
        .spawn(origins::run(relay.clone(), executor.clone()))
        .detach();
    let ledger = {
        let (relay, may_be_first) = (relay.clone(), settings.first_start);
        let registry = registry.clone();
        async move {
            if may_be_first {
                first_start::confirm(&relay, &registry).await;
            }
            release_recorder::run(relay, false).await
        }
    };
    executor.spawn(ledger).detach();
    executor
        .spawn(traffic::run(
            relay.clone(),
            registry.clone(),
            executor.clone(),
        ))
        .detach();
    executor
        .spawn(recall::run(
            relay.clone(),
            registry.clone(),
            executor.clone(),
        ))
        .detach();
    executor.spawn(upstream::run(follower, registry)).detach();
    Ok(())
}

/// The peer addresses of the seed boxes: every box listens on the same peer port
/// as this one. Only the IPs of the configured addresses are used.
fn seeds(settings: &Settings, port: u16) -> Vec<SocketAddr> {
    let ips = settings.seeds.iter().map(SocketAddr::ip);
    let others = ips.filter(|ip| *ip != settings.callers.ip());
    others.map(|ip| SocketAddr::new(ip, port)).collect()
}

fn bounds(settings: &Settings) -> Bounds {
    let bounds = &settings.bounds;
    let revoke = bounds.revoke_within.duration();
    Bounds {
        catalog_max_age: bounds.apply_within.duration(),
        confirm_within: bounds.apply_within.min(bounds.empty_within).duration(),
        key_max_age: bounds
            .revoke_when_blind
            .then(|| revoke.saturating_sub(REVOKE_MARGIN)),
        grace_period: bounds.contact.duration(),
        rewrite_within: revoke,
        entry_ttl: bounds.heartbeat.duration() * ENTRY_TTL_HEARTBEATS,
        cold_overage: bounds.cold_overage,
        cold_tolerance: bounds.cold_tolerance,
        crowd_factor: bounds.crowd_factor,
        exposure: bounds.exposure_share,
        rollback: bounds.rollback_within.duration(),
        client_timeout: bounds.client_timeout.duration(),
    }
}

fn budget_limits(settings: &Settings) -> budget::Limits {
    let bounds = &settings.bounds;
    budget::Limits {
        ratio: bounds.retry_share,
        extra: bounds.retry_extra,
        window: bounds.retry_window.duration(),
    }
}

async fn stop(relay: &Relay, within: Duration) {
    log::info!(
        target: "process",
        "event=stopping connections={} requests={}",
        relay.stop.connections(),
        relay.stop.requests()
    );
    relay
        .stop
        .begin(Instant::now() + within.saturating_sub(ANSWER_MARGIN));
    let limit = within.saturating_sub(STOP_MARGIN);
    let over = async {
        // This clock also advances while the box is suspended, as the
        // platform's time limit does.
        tidepier_clock::sleep(limit).await;
        log::warn!(
            target: "process",
            "event=stop_time_over requests={}",
            relay.stop.requests()
        );
    };
    let finished = async {
        tidepier_clock::sleep(BALANCER_NOTICE_TIME).await;
        relay.stop.advance(Phase::Closing);
        while relay.stop.requests() > 0 {
            relay.stop.changed.wait().await;
        }
    };
    finished.or(over).await;
}

/// Reads the settings file again and applies what can change at run time.
fn reload(router: &Router, signals: &Requests) {
    match settings::read(signals.file()) {
        Ok(settings) => {
            router.apply_settings(&settings);
            log::info!(target: "process", "event=reloaded file={}", signals.file().display());
        }
        Err(error) => {
            log::error!(target: "process", "event=reload_failed why=\"{error}\"");
        }
    }
}
