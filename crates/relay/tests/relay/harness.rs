//! A router with its surroundings, and what most tests ask of them.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use futures_lite::FutureExt;
use serde_json::{json, Value};
use smol::{LocalExecutor, Timer};
use tidepier_core::catalog::Kind;
use tidepier_relay::settings::Settings;
use tidepier_relay::Router;
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Server};
use tidepier_relay_standin::site::{Route, Site, HOST};
use tidepier_relay_standin::Client;

/// Ways of a test to fail.
pub(crate) type Result<T = ()> = eyre::Result<T>;
/// The executor of a test.
pub(crate) type Executor = Rc<LocalExecutor<'static>>;

/// Longest time of a test before it counts as hung.
const TEST_TIME: Duration = Duration::from_secs(30);
/// Longest wait for something that has no promised time.
const PATIENCE: Duration = Duration::from_secs(8);
/// Pause between two looks at what is waited for.
const STEP: Duration = Duration::from_millis(10);
/// The service of all routes.
pub(crate) const SERVICE: &str = "service-1";

/// Runs a test on one thread.
pub(crate) fn run<F: Future<Output = Result>>(test: impl FnOnce(Executor) -> F) -> Result {
    let executor = Rc::new(LocalExecutor::new());
    let hung = async {
        Timer::after(TEST_TIME).await;
        Err(eyre!("the test hung"))
    };
    smol::block_on(executor.run(test(executor.clone()).or(hung)))
}

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A site with the routes that most tests need: `/r/` repeatable, `/o/` once,
/// `/s/` a resumable and `/u/` another stream.
pub(crate) fn site() -> Result<Site> {
    let site = Site::start()?;
    let resumable = Kind::Stream { resumable: true };
    let single = Kind::Stream { resumable: false };
    site.declare(&[
        Route::new("/r/", Kind::Repeatable, SERVICE),
        Route::new("/o/", Kind::AtMostOnce, SERVICE),
        Route::new("/s/", resumable, SERVICE),
        Route::new("/u/", single, SERVICE),
    ]);
    Ok(site)
}

/// A server whose requests all end as usual. The first number is in the hall
/// of the router and gets its first request, the others are elsewhere.
pub(crate) fn server_settings(number: u32) -> server::Settings {
    server::Settings {
        id: format!("i-{number}"),
        hall: format!("hall-{number}"),
        slots: 16,
        queue: 16,
        ..server::Settings::default()
    }
}

/// The same for a server of streams.
pub(crate) fn stream_server_settings(number: u32, count: u64, pause: Duration) -> server::Settings {
    let events = Some(server::Events { count, pause });
    let usual = server_settings(number);
    server::Settings { events, ..usual }
}

/// A router and its site.
pub(crate) struct Harness {
    pub(crate) site: Site,
    pub(crate) router: Router,
}

/// The settings of a router at `site` that retries freely.
pub(crate) fn settings(site: &Site) -> Value {
    json!({
        "name": "box-1", "hall": "hall-1",
        "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
        "store": { "address": site.store.address().to_string() },
        "bounds": { "retry_share": 1.0, "retry_extra": 2_400 },
    })
}

impl Harness {
    /// Starts a router and waits until it is ready.
    pub(crate) async fn start_ready(executor: Executor, site: Site) -> Result<Self> {
        Self::start_with_settings(executor, site, |_| {}).await
    }

    /// The same with changed settings.
    pub(crate) async fn start_with_settings(
        executor: Executor,
        site: Site,
        change: impl FnOnce(&mut Value),
    ) -> Result<Self> {
        let house = Self::start_unready(executor, site, change)?;
        wait_until("ready", async || Ok(house.is_ready().await)).await?;
        Ok(house)
    }

    /// Starts a router.
    pub(crate) fn start_unready(
        executor: Executor,
        site: Site,
        change: impl FnOnce(&mut Value),
    ) -> Result<Self> {
        let mut told = settings(&site);
        change(&mut told);
        let settings: Settings = serde_json::from_value(told)?;
        settings.check()?;
        let router = Router::start(&settings, &executor)?;
        Ok(Self { site, router })
    }

    pub(crate) fn router_address(&self) -> SocketAddr {
        self.router.client_address()
    }

    /// Whether it knows a server, be it one that leaves.
    pub(crate) fn knows(&self, server: &Server) -> bool {
        knows(&self.router, server)
    }

    /// What its readiness address says.
    pub(crate) async fn is_ready(&self) -> bool {
        let Some(address) = self.router.readiness_address() else {
            return false;
        };
        let call = Call::new("GET", HOST, "/-/readyz", "ready").leaving(ms(900));
        let answer = Client::once(address, &call).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a call on a connection of its own.
    pub(crate) async fn call(&self, call: &Call) -> Result<Answer> {
        Ok(Client::once(self.router_address(), call).await?)
    }

    /// Sends a usual call.
    pub(crate) async fn post(&self, target: &str, attempt: &str) -> Result<Answer> {
        self.call(&post(target, attempt)).await
    }
}

/// A usual server and a router that is ready.
pub(crate) async fn start_with_one_server(executor: Executor) -> Result<(Server, Harness)> {
    let site = site()?;
    let server = site.server(server_settings(1))?;
    let house = Harness::start_ready(executor, site).await?;
    Ok((server, house))
}

/// A usual server in the hall of a router, another elsewhere, and the router,
/// which is ready.
pub(crate) async fn start_with_two_servers(
    executor: Executor,
) -> Result<(Server, Server, Harness)> {
    let site = site()?;
    let near = site.server(server_settings(1))?;
    let far = site.server(server_settings(2))?;
    let house = Harness::start_ready(executor, site).await?;
    Ok((near, far, house))
}

/// Whether a router knows a server, be it one that leaves.
pub(crate) fn knows(router: &Router, server: &Server) -> bool {
    let ids = router.relay().fleet.ids();
    ids.iter().any(|id| id.as_str() == server.settings().id)
}

/// Waits until nothing takes connections at the address of a crashed server.
pub(crate) async fn wait_until_down(server: &Server) -> Result {
    wait_until("down", async || {
        Ok(Client::open(server.address()).await.is_err())
    })
    .await
}

/// A usual call.
pub(crate) fn post(target: &str, attempt: &str) -> Call {
    Call::new("POST", HOST, target, attempt).body(b"question")
}

/// Waits until something holds.
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> Result<bool>) -> Result {
    let start = Instant::now();
    while !holds().await? {
        ensure!(start.elapsed() < PATIENCE, "never {what}");
        Timer::after(STEP).await;
    }
    Ok(())
}

/// Checks that an answer is the whole one that a server made for the attempt.
pub(crate) fn ensure_served_by(answer: &Answer, servers: &[&Server], attempt: &str) -> Result {
    ensure!(answer.status == 200, "{attempt}: {answer:?}");
    ensure!(answer.complete, "{attempt}: cut off");
    ensure!(answer.field(names::ATTEMPT) == Some(attempt), "{answer:?}");
    let seal = answer
        .field(names::SEAL)
        .ok_or_else(|| eyre!("{attempt}: no signature"))?;
    let made = servers.iter().find_map(|server| {
        let runs = server.runs();
        let run = runs.into_iter().find(|run| run.seal == seal)?;
        Some((run, server.settings()))
    });
    let (run, settings) = made.ok_or_else(|| eyre!("{attempt}: a foreign signature"))?;
    ensure!(run.attempt == attempt, "signed for {}", run.attempt);
    let body: Vec<u8> = match settings.events {
        Some(events) => stream_body(1..=events.count),
        None if run.method == "HEAD" => Vec::new(),
        None => run.text(settings.answer_bytes),
    };
    ensure!(answer.body == body, "{attempt}: a wrong body");
    Ok(())
}

/// The body of a stream of these events.
pub(crate) fn stream_body(ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    ids.map(server::event).collect::<String>().into_bytes()
}

/// Checks that an answer promises that the request has not run.
pub(crate) fn ensure_not_executed(answer: &Answer) -> Result {
    ensure!(answer.status == 503, "{answer:?}");
    let wait = answer.field(names::RETRY_AFTER);
    let wait = wait.ok_or_else(|| eyre!("no time to come back"))?;
    ensure!(wait.parse::<f64>()? > 0.0, "come back after {wait}");
    Ok(())
}

/// Runs of an attempt at some servers.
pub(crate) fn count_runs(servers: &[&Server], attempt: &str) -> usize {
    servers.iter().map(|server| server.ran(attempt)).sum()
}

/// Sendings of an attempt to some servers, refused ones included.
pub(crate) fn count_deliveries(servers: &[&Server], attempt: &str) -> usize {
    let runs = servers.iter().flat_map(|server| server.runs());
    runs.filter(|run| run.attempt == attempt).count()
}
