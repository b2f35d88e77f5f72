//! A router with stand-ins for its environment, and the helpers that most tests use.

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

/// The result of a test.
pub(crate) type Result<T = ()> = eyre::Result<T>;
/// The executor of a test.
pub(crate) type Executor = Rc<LocalExecutor<'static>>;

/// Time after which a test counts as hung.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for a condition without a guaranteed time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The service of all routes.
pub(crate) const SERVICE: &str = "service-1";

/// Runs a test on one thread.
pub(crate) fn run<F: Future<Output = Result>>(test: impl FnOnce(Executor) -> F) -> Result {
    let executor = Rc::new(LocalExecutor::new());
    let hung = async {
        Timer::after(TEST_TIMEOUT).await;
        Err(eyre!("the test did not finish in time"))
    };
    smol::block_on(executor.run(test(executor.clone()).or(hung)))
}

pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A site with the routes that most tests need: `/r/` is repeatable, `/o/` is executed
/// at most once, `/s/` is a resumable stream, `/u/` a stream that is not resumable.
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

/// Settings of a healthy server. Number 1 is in the hall of the router, which therefore
/// sends its first request there; the others are in halls of their own.
pub(crate) fn server_settings(number: u32) -> server::Settings {
    server::Settings {
        id: format!("i-{number}"),
        hall: format!("hall-{number}"),
        slots: 16,
        queue: 16,
        ..server::Settings::default()
    }
}

/// The same for a server that answers with `count` events, `pause` apart.
pub(crate) fn stream_server_settings(number: u32, count: u64, pause: Duration) -> server::Settings {
    let events = Some(server::Events { count, pause });
    let usual = server_settings(number);
    server::Settings { events, ..usual }
}

/// A router and the stand-ins for its environment.
pub(crate) struct Harness {
    pub(crate) site: Site,
    pub(crate) router: Router,
}

/// Settings of a router at `site` with an ample retry budget.
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
        let harness = Self::start_unready(executor, site, change)?;
        wait_until("ready", async || Ok(harness.is_ready().await)).await?;
        Ok(harness)
    }

    /// Starts a router without waiting until it is ready.
    pub(crate) fn start_unready(
        executor: Executor,
        site: Site,
        change: impl FnOnce(&mut Value),
    ) -> Result<Self> {
        let mut changed = settings(&site);
        change(&mut changed);
        let settings: Settings = serde_json::from_value(changed)?;
        settings.check()?;
        let router = Router::start(&settings, &executor)?;
        Ok(Self { site, router })
    }

    pub(crate) fn router_address(&self) -> SocketAddr {
        self.router.client_address()
    }

    /// Whether the router knows a server, also a leaving one.
    pub(crate) fn knows(&self, server: &Server) -> bool {
        knows(&self.router, server)
    }

    /// Whether the readiness endpoint reports that the router is ready.
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

    /// Sends a `POST` request on a connection of its own.
    pub(crate) async fn post(&self, target: &str, attempt: &str) -> Result<Answer> {
        self.call(&post(target, attempt)).await
    }
}

/// Starts a server and a router, and waits until the router is ready.
pub(crate) async fn start_with_one_server(executor: Executor) -> Result<(Server, Harness)> {
    let site = site()?;
    let server = site.server(server_settings(1))?;
    let harness = Harness::start_ready(executor, site).await?;
    Ok((server, harness))
}

/// Starts a server in the hall of the router, another one in another hall, and the
/// router, and waits until the router is ready.
pub(crate) async fn start_with_two_servers(
    executor: Executor,
) -> Result<(Server, Server, Harness)> {
    let site = site()?;
    let near = site.server(server_settings(1))?;
    let far = site.server(server_settings(2))?;
    let harness = Harness::start_ready(executor, site).await?;
    Ok((near, far, harness))
}

/// Whether a router knows a server, also a leaving one.
pub(crate) fn knows(router: &Router, server: &Server) -> bool {
    let ids = router.relay().fleet.ids();
    ids.iter().any(|id| id.as_str() == server.settings().id)
}

/// Waits until nothing accepts connections at the address of a crashed server.
pub(crate) async fn wait_until_down(server: &Server) -> Result {
    wait_until("down", async || {
        Ok(Client::open(server.address()).await.is_err())
    })
    .await
}

/// A `POST` request with a small body.
pub(crate) fn post(target: &str, attempt: &str) -> Call {
    Call::new("POST", HOST, target, attempt).body(b"question")
}

/// Waits until a condition holds; `what` names it in the error.
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> Result<bool>) -> Result {
    let start = Instant::now();
    while !holds().await? {
        ensure!(
            start.elapsed() < WAIT_TIMEOUT,
            "condition not reached in time: {what}"
        );
        Timer::after(CHECK_INTERVAL).await;
    }
    Ok(())
}

/// Checks that an answer is complete, and exactly the one that one of the servers made
/// for the attempt.
pub(crate) fn ensure_served_by(answer: &Answer, servers: &[&Server], attempt: &str) -> Result {
    ensure!(answer.status == 200, "{attempt}: {answer:?}");
    ensure!(answer.complete, "{attempt}: the answer is truncated");
    ensure!(answer.field(names::ATTEMPT) == Some(attempt), "{answer:?}");
    let seal = answer
        .field(names::SEAL)
        .ok_or_else(|| eyre!("{attempt}: no signature"))?;
    let made = servers.iter().find_map(|server| {
        let runs = server.runs();
        let run = runs.into_iter().find(|run| run.seal == seal)?;
        Some((run, server.settings()))
    });
    let (run, settings) =
        made.ok_or_else(|| eyre!("{attempt}: no server has made this signature"))?;
    ensure!(
        run.attempt == attempt,
        "the signature belongs to attempt {}",
        run.attempt
    );
    let body: Vec<u8> = match settings.events {
        Some(events) => stream_body(1..=events.count),
        None if run.method == "HEAD" => Vec::new(),
        None => run.text(settings.answer_bytes),
    };
    ensure!(answer.body == body, "{attempt}: a wrong body");
    Ok(())
}

/// The body of a stream with the events of these ids.
pub(crate) fn stream_body(ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    ids.map(server::event).collect::<String>().into_bytes()
}

/// Checks that an answer is a refusal which promises that the request was not executed.
pub(crate) fn ensure_not_executed(answer: &Answer) -> Result {
    ensure!(answer.status == 503, "{answer:?}");
    let wait = answer.field(names::RETRY_AFTER);
    let wait = wait.ok_or_else(|| eyre!("no retry time"))?;
    ensure!(wait.parse::<f64>()? > 0.0, "retry time {wait}");
    Ok(())
}

/// How often the servers executed an attempt.
pub(crate) fn count_runs(servers: &[&Server], attempt: &str) -> usize {
    servers.iter().map(|server| server.ran(attempt)).sum()
}

/// How often an attempt reached the servers, including rejected deliveries.
pub(crate) fn count_deliveries(servers: &[&Server], attempt: &str) -> usize {
    let runs = servers.iter().flat_map(|server| server.runs());
    runs.filter(|run| run.attempt == attempt).count()
}
