//! Starting a router, stopping it, and taking over changed settings.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use futures_lite::FutureExt;
use smol::LocalExecutor;
use tidepier_clock::Instant;
use tidepier_h1::Listener;
use tidepier_ids as ids;
use tidepier_platform::store::Client;

use crate::budget::{self, Budget};
use crate::client_connections;
use crate::content::Fingerprint;
use crate::crash;
use crate::fleet::watch;
use crate::follow::Follower;
use crate::metrics;
use crate::peer::registry::{Member, Registry};
use crate::peer::{recovery, responder, seed, traffic, upstream};
use crate::ready;
use crate::recall;
use crate::relay::{Bounds, Relay};
use crate::rollout_controller;
use crate::settings::{self, Settings};
use crate::signal::{Request, Requests};
use crate::stop::Phase;
use crate::traffic::Progress;

/// Time from the request to stop until new connections are no longer taken:
/// the balancer asks every second and acts on the second refusal. Under 3 s,
/// from which on a request that is taken has to be finished.
const NOTICE_TIME: Duration = Duration::from_millis(2_950);
/// Time before the process is killed at which it ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Part of the bound on revoked keys that is kept as a margin for the way
/// of a request and a late timer.
const REVOKE_MARGIN: Duration = Duration::from_millis(300);

/// Heartbeats of a server after which it has no entry any more: the platform's three,
/// and one for the way here.
const SILENCE_HEARTBEATS: u32 = 4;

/// Runs a router until it is asked to stop.
///
/// # Errors
///
/// An address cannot be bound.
pub async fn run(settings: Settings, mut changes: Requests) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let router = Router::start(&settings, &executor)?;
    // A task of its own: what is run here itself is polled whenever any task is
    // woken, and asking for signals is a call to the system.
    let until_stopped = executor.spawn(async move {
        loop {
            match changes.next().await {
                Request::Stop => break,
                Request::Reload => reload(&router, &changes),
            }
        }
        router.stop().await;
    });
    executor.run(until_stopped).await;
    Ok(())
}

/// A router that runs on an executor of its starter's. Its tasks live as long
/// as the executor.
pub struct Router {
    relay: Rc<Relay>,
    client_address: SocketAddr,
    readiness_address: Option<SocketAddr>,
    metrics_address: Option<SocketAddr>,
    /// Time from the request to stop until the process is killed.
    stop_within: Cell<Duration>,
    /// Contents that the settings let pass.
    pardoned: RefCell<BTreeSet<Fingerprint>>,
    /// Servers whose rests the settings end.
    woken: RefCell<BTreeSet<ids::Server>>,
}

impl Router {
    /// Binds the addresses of the settings and serves there while `executor`
    /// is run.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the process has metrics already.
    pub fn start(settings: &Settings, executor: &Rc<LocalExecutor<'static>>) -> eyre::Result<Self> {
        let relay = Rc::new(Relay::new(
            settings.hall.clone(),
            bounds(settings),
            Budget::new(terms(settings)),
        ));
        relay.set_descriptors(settings.limits.descriptors);
        relay.set_regions(settings.regions.clone());
        let callers = Listener::bind(settings.callers).wrap_err("binding the callers' address")?;
        let mut router = Self {
            relay: relay.clone(),
            client_address: callers.address()?,
            readiness_address: None,
            metrics_address: None,
            stop_within: Cell::new(settings.bounds.stop_within.duration()),
            pardoned: RefCell::new(settings.pardoned.clone()),
            woken: RefCell::new(settings.woken.clone()),
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
        let store = Rc::new(Client::new(settings.store.address));
        let follower = Follower::new(relay.clone(), store.clone());
        executor.spawn(follower.clone().catalog()).detach();
        executor
            .spawn(follower.clone().run_freshness_checks())
            .detach();
        executor.spawn(follower.clone().servers()).detach();
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
        let inquiry = crash::probe_suspects(relay.crashes.clone(), executor.clone());
        executor.spawn(inquiry).detach();
        executor
            .spawn(crash::run_expiry(relay.crashes.clone()))
            .detach();
        executor.spawn(watch::run(relay.fleet.clone())).detach();
        executor.spawn(tidepier_clock::watch()).detach();
        start_peers(&relay, follower, store, settings, executor)?;
        Ok(router)
    }

    /// Where clients connect; with the port that the system picked if the
    /// settings give none.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// Where the platform asks whether it is ready.
    pub fn readiness_address(&self) -> Option<SocketAddr> {
        self.readiness_address
    }

    /// Where it serves its metrics.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_address
    }

    /// What its tasks share.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Takes over what can change while running.
    pub fn apply_settings(&self, settings: &Settings) {
        self.relay.set_bounds(bounds(settings));
        self.relay.set_regions(settings.regions.clone());
        self.relay.set_descriptors(settings.limits.descriptors);
        self.relay.budget.set_limits(terms(settings));
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

    /// Begins the planned stop; ends when it is over.
    pub async fn stop(&self) {
        stop(&self.relay, self.stop_within.get()).await;
    }
}

/// Joins the other boxes; a box without an address for them reads the store
/// itself.
fn start_peers(
    relay: &Rc<Relay>,
    follower: Rc<Follower>,
    store: Rc<Client>,
    settings: &Settings,
    executor: &Rc<LocalExecutor<'static>>,
) -> eyre::Result<()> {
    let Some(ports) = settings.peer_ports else {
        let alone = rollout_controller::run(follower.clone(), store, None);
        executor.spawn(alone).detach();
        follower.set_reads_store("alone", true);
        let asking = recovery::run(follower, None, Vec::new(), executor.clone());
        executor.spawn(asking).detach();
        let now = Instant::now();
        relay.roster.set_single(&settings.name, &settings.hall, now);
        return Ok(());
    };
    let address = SocketAddr::new(settings.callers.ip(), ports.first);
    let listener = Listener::bind(address).wrap_err("binding the boxes' address")?;
    let me = Member {
        name: settings.name.clone(),
        hall: settings.hall.clone(),
        address,
        link_mbps: settings.limits.link_mbps as u32,
    };
    if settings.first_start {
        // All boxes start now, and list each other at once.
        relay.roster.set_listed(Instant::now());
        relay.standing.record_first_start();
        // No engine keeps anything yet.
        relay.traffic.set_progress(Progress::Done);
    }
    let registry = Registry::new(me, store.clone());
    let conducting = rollout_controller::run(follower.clone(), store, Some(registry.clone()));
    executor.spawn(conducting).detach();
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
    let asking = recovery::run(
        follower.clone(),
        Some(registry.clone()),
        seeds.clone(),
        executor.clone(),
    );
    executor.spawn(asking).detach();
    executor
        .spawn(seed::run(follower.clone(), registry.clone(), seeds))
        .detach();
    let restored = {
        let (follower, registry) = (follower.clone(), registry.clone());
        async move {
            loop {
                follower.wait_for_restore().await;
                registry.request_reread();
            }
        }
    };
    executor.spawn(restored).detach();
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

/// Where the boxes that the settings name are asked: each listens there on the
/// port that this one listens on.
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
        entry_ttl: bounds.heartbeat.duration() * SILENCE_HEARTBEATS,
        cold_overage: bounds.cold_overage,
        cold_tolerance: bounds.cold_tolerance,
        crowd_factor: bounds.crowd_factor,
        exposure: bounds.exposure_share,
        rollback: bounds.rollback_within.duration(),
    }
}

fn terms(settings: &Settings) -> budget::Limits {
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
    relay.stop.advance(Phase::Leaving);
    let limit = within.saturating_sub(STOP_MARGIN);
    let over = async {
        // The platform's patience goes on while the machine is suspended.
        tidepier_clock::sleep(limit).await;
        log::warn!(
            target: "process",
            "event=stop_time_over requests={}",
            relay.stop.requests()
        );
    };
    let finished = async {
        tidepier_clock::sleep(NOTICE_TIME).await;
        relay.stop.advance(Phase::Closing);
        while relay.stop.requests() > 0 {
            relay.stop.changed.wait().await;
        }
    };
    finished.or(over).await;
}

/// Reads the settings again and takes over what can change while running.
fn reload(router: &Router, changes: &Requests) {
    match settings::read(changes.file()) {
        Ok(settings) => {
            router.apply_settings(&settings);
            log::info!(target: "process", "event=reloaded file={}", changes.file().display());
        }
        Err(error) => {
            log::error!(target: "process", "event=reload_failed why=\"{error}\"");
        }
    }
}
