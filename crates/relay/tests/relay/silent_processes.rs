//! Routers and servers that are processes of their own; servers are stopped and continued by
//! signals, before, at and after changes of the configuration.
//!
//! A request counts as cut if the router has sent it to a server and its connection ends before
//! its answer is complete.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use futures_lite::future;
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_relay_standin::client::{Answer, Call, End};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Events, Server, Settings};
use tidepier_relay_standin::site::{Route, Site};
use tidepier_relay_standin::Client;

use crate::box_harness;
use crate::harness::{ms, post, run, wait_until, Executor, Result, SERVICE};
use crate::process::Process;

/// Service of the streams.
const STREAMS: &str = "service-2";
/// Servers of each service.
const SERVERS: usize = 3;
const ROUTERS: usize = 2;
/// Port of the servers, each on an address of its own.
const SERVER_PORT: u16 = 20_706;
/// Variable that names the server that [`serve`] runs.
const SERVER_VARIABLE: &str = "TIDEPIER_TEST_SILENT_SERVER";
/// Time-out of the routes and deadline of the clients.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);
/// The retry budget: most of the requests that wait at once may not be sent again.
const RETRY_SHARE: f64 = 0.05;
const RETRY_EXTRA: u32 = 4;
/// Clients of each kind at each router.
const CLIENTS: usize = 4;
/// Size of the bodies of some requests, in bytes.
const BODY_BYTES: usize = 40_000;
/// Time for which clients send requests.
const LOAD_TIME: Duration = Duration::from_secs(14);
/// Idle times of client connections that configurations set, in ms.
const IDLE_MS: [u64; 2] = [400, 15_000];

/// A change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Idle,
    Timeout,
    Route,
    Several,
}

/// Servers that are stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Share {
    All,
    /// All but the first of each service.
    Some,
    /// All, and the first router.
    AllAndRouter,
}

/// When the configuration changes, and how. Times are from the start of the load.
const CHANGES: [(Duration, Change); 4] = [
    (ms(2_000), Change::Idle),
    (ms(5_000), Change::Timeout),
    (ms(8_000), Change::Route),
    (ms(11_500), Change::Several),
];
/// When servers are stopped, which and for how long: before, at and after the changes.
const STOPS: [(Duration, Share, Duration); 4] = [
    (ms(1_600), Share::All, ms(1_900)),
    (ms(5_000), Share::AllAndRouter, ms(1_500)),
    (ms(8_300), Share::Some, ms(3_000)),
    (ms(11_500), Share::All, ms(500)),
];

fn service_of(number: usize) -> &'static str {
    match number < SERVERS {
        true => SERVICE,
        false => STREAMS,
    }
}

fn server_settings(number: usize) -> Settings {
    let service = service_of(number);
    let events = Events {
        count: 20,
        pause: ms(50),
    };
    Settings {
        id: format!("i-{number}"),
        hall: format!("hall-{}", number % ROUTERS + 1),
        service: service.into(),
        slots: 64,
        queue: 64,
        work: ms(20),
        answer_bytes: 2_000,
        events: (service == STREAMS).then_some(events),
        ..Settings::default()
    }
}

/// Runs a server until its standard input is closed; not a test by itself.
#[test]
#[ignore = "the other tests start it as a process"]
fn serve() -> Result {
    let Ok(variable) = std::env::var(SERVER_VARIABLE) else {
        return Ok(());
    };
    let parts = variable.split_once(' ');
    let (number, address) = parts.ok_or_else(|| eyre!("no address"))?;
    let _server = Server::start_at(address.parse()?, server_settings(number.parse()?))?;
    std::io::copy(&mut std::io::stdin(), &mut std::io::sink())?;
    Ok(())
}

/// A server in a process of its own; it is killed when dropped.
struct ServerProcess(Child);

impl ServerProcess {
    fn start(site: &Site, number: usize) -> Result<Self> {
        let address = SocketAddr::new(box_harness::address().ip(), SERVER_PORT);
        let child = Command::new(std::env::current_exe()?)
            .args(["--exact", "silent_processes::serve", "--ignored"])
            .env(SERVER_VARIABLE, format!("{number} {address}"))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        site.announce_as(&server_settings(number), address, State::Ready, |_| {});
        Ok(Self(child))
    }

    fn signal(&self, name: &str) -> Result {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status()?;
        ensure!(sent.success(), "no signal sent");
        Ok(())
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A router in a process of its own, and the file of its log.
struct RouterProcess {
    process: Process,
    log: PathBuf,
}

impl RouterProcess {
    fn start(site: &Site, number: usize, test: &str) -> Result<Self> {
        let peer = box_harness::address();
        let (name, hall) = (format!("box-{number}"), format!("hall-{}", number + 1));
        let link = 5_000 - number as u32;
        let mut settings = box_harness::settings(site, &name, &hall, link, peer);
        let callers = SocketAddr::new(peer.ip(), box_harness::FRONT_PORT);
        settings["callers"] = callers.to_string().into();
        settings["readiness"] = serde_json::Value::Null;
        settings["bounds"]["retry_share"] = RETRY_SHARE.into();
        settings["bounds"]["retry_extra"] = RETRY_EXTRA.into();
        let name = format!("silent-{test}-{}-{number}", std::process::id());
        let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.log"));
        let output = Stdio::from(fs::File::create(&log)?);
        let process = Process::start_with_output(&name, "info", &settings, output)?;
        Ok(Self { process, log })
    }

    /// The ids of the requests that it has sent to a server.
    fn placed(&self) -> Result<HashSet<String>> {
        let log = fs::read_to_string(&self.log)?;
        let lines = log.lines().filter(|line| line.contains("event=placed"));
        let id = |line: &str| {
            let mut fields = line.split_whitespace();
            Some(
                fields
                    .find_map(|field| field.strip_prefix("id="))?
                    .to_owned(),
            )
        };
        Ok(lines.filter_map(id).collect())
    }
}

/// A request that a client sent.
#[derive(Debug)]
struct Sent {
    attempt: String,
    router: usize,
    /// Since the load began.
    at: Duration,
    answer: Answer,
}

impl Sent {
    fn is_incomplete(&self) -> bool {
        let is_open = self.answer.end == End::Open;
        self.answer.status == 0 || !(self.answer.complete || is_open)
    }

    /// Whether it was under way while a configuration was coming into force.
    fn is_beside_change(&self) -> bool {
        let end = self.at + self.answer.elapsed;
        CHANGES
            .iter()
            .any(|(at, _)| self.at < *at + ms(3_000) && end > *at)
    }
}

/// What a client sends over its connection.
#[derive(Debug, Clone, Copy)]
enum Load {
    Streams,
    FinalStreams,
    Bodies,
    Pipeline,
}

const KINDS: [Load; 4] = [
    Load::Streams,
    Load::FinalStreams,
    Load::Bodies,
    Load::Pipeline,
];

fn calls(kind: Load, name: &str) -> Vec<Call> {
    let deadline = ROUTE_TIMEOUT.as_millis().to_string();
    let call = |target: &str, suffix: &str| {
        let call = post(target, &format!("{name}{suffix}"));
        let call = call.with(names::DEADLINE, &deadline);
        call.leaving(ROUTE_TIMEOUT + ms(1_000))
    };
    let body = [b'x'; BODY_BYTES];
    match kind {
        Load::Streams => vec![call("/s/x", "")],
        Load::FinalStreams => vec![call("/u/x", "")],
        Load::Bodies => vec![call("/r/x", "-r").body(&body)],
        Load::Pipeline => {
            let targets = ["/r/x", "/o/x", "/s/x", "/o/x"];
            let numbered = targets.iter().enumerate();
            numbered
                .map(|(number, target)| call(target, &format!("-{number}")))
                .collect()
        }
    }
}

/// Sends requests over kept connections until the load ends.
async fn client(
    front: SocketAddr,
    router: usize,
    kind: Load,
    number: usize,
    start: Instant,
    sent: Rc<RefCell<Vec<Sent>>>,
) {
    let mut kept: Option<Client> = None;
    let mut count = 0;
    while start.elapsed() < LOAD_TIME {
        // Some requests come when an idle connection is about to be closed.
        Timer::after(ms(fastrand::u64(..IDLE_MS[0] + 50))).await;
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => match Client::open(front).await {
                Ok(conn) => conn,
                Err(_) => continue,
            },
        };
        count += 1;
        let calls = calls(kind, &format!("{kind:?}-{router}-{number}-{count}"));
        let at = start.elapsed();
        let answers = match &*calls {
            [call] => vec![conn.call(call).await],
            calls => conn.pipeline(calls).await,
        };
        let is_kept = answers.iter().all(|it| it.end == End::Open);
        for (call, answer) in calls.iter().zip(answers) {
            let attempt = call.fields.iter().find(|(name, _)| name == names::ATTEMPT);
            let attempt = attempt.map(|(_, value)| value.clone()).unwrap_or_default();
            sent.borrow_mut().push(Sent {
                attempt,
                router,
                at,
                answer,
            });
        }
        kept = is_kept.then_some(conn);
    }
}

/// The processes of a test.
struct Processes {
    site: Site,
    servers: Vec<ServerProcess>,
    routers: Vec<RouterProcess>,
}

impl Processes {
    async fn start(test: &str) -> Result<Self> {
        let site = Site::start()?;
        let route = |prefix: &str, kind, service, attempts| Route {
            attempts,
            timeout: ROUTE_TIMEOUT,
            ..Route::new(prefix, kind, service)
        };
        let stream = |resumable| Kind::Stream { resumable };
        site.declare(&[
            route("/r/", Kind::Repeatable, SERVICE, 2),
            route("/o/", Kind::AtMostOnce, SERVICE, 1),
            route("/s/", stream(true), STREAMS, 2),
            route("/u/", stream(false), STREAMS, 1),
        ]);
        let servers = (0..2 * SERVERS).map(|number| ServerProcess::start(&site, number));
        let servers = servers.collect::<Result<_>>()?;
        let routers = (0..ROUTERS).map(|number| RouterProcess::start(&site, number, test));
        let routers: Vec<RouterProcess> = routers.collect::<Result<_>>()?;
        for router in &routers {
            for target in ["/r/x", "/s/x"] {
                let call = post(target, "first").leaving(ms(1_900));
                wait_until("serving", async || {
                    Ok(router.process.call(&call).await == 200)
                })
                .await?;
            }
        }
        Ok(Self {
            site,
            servers,
            routers,
        })
    }

    async fn stop_servers(&self, start: Instant) -> Result {
        for (at, share, time) in STOPS {
            Timer::at(start + at).await;
            self.signal(share, "-STOP")?;
            Timer::after(time).await;
            self.signal(share, "-CONT")?;
        }
        Ok(())
    }

    fn signal(&self, share: Share, name: &str) -> Result {
        for (number, server) in self.servers.iter().enumerate() {
            if share != Share::Some || number % SERVERS != 0 {
                server.signal(name)?;
            }
        }
        match share {
            Share::AllAndRouter => self.routers[0].process.signal(name),
            Share::All | Share::Some => Ok(()),
        }
    }

    async fn change(&self, start: Instant) -> Result {
        for (number, (at, change)) in CHANGES.into_iter().enumerate() {
            Timer::at(start + at).await;
            let idle = matches!(change, Change::Idle | Change::Several);
            let timeout = matches!(change, Change::Timeout | Change::Several);
            self.site.configure(|config| {
                if idle {
                    config["limits"]["idle_timeout_ms"] = IDLE_MS[number % 2].into();
                }
                if timeout {
                    let routes = config["routes"].as_array_mut().into_iter().flatten();
                    let time = ROUTE_TIMEOUT.as_millis() as u64 - 500;
                    routes.for_each(|route| route["timeout_ms"] = time.into());
                }
            });
            if matches!(change, Change::Route | Change::Several) {
                let prefix = format!("/new-{number}/");
                self.site
                    .declare(&[Route::new(&prefix, Kind::Repeatable, SERVICE)]);
            }
        }
        Ok(())
    }

    /// The requests that were cut: sent to a server and not answered whole.
    async fn cuts<'a>(&self, sent: &'a [Sent]) -> Result<Vec<&'a Sent>> {
        // The log is written within 50 ms.
        Timer::after(ms(200)).await;
        let placed = self.routers.iter().map(RouterProcess::placed);
        let placed: Vec<HashSet<String>> = placed.collect::<Result<_>>()?;
        let incomplete = sent.iter().filter(|it| it.is_incomplete());
        let cuts = incomplete.filter(|it| placed[it.router].contains(&it.attempt));
        Ok(cuts.collect())
    }
}

/// Loads the routers while servers are stopped, with and without changes of the configuration;
/// checks that no request is cut.
async fn play(executor: Executor, test: &str, changes: bool) -> Result {
    let processes = Processes::start(test).await?;
    let sent = Rc::new(RefCell::new(Vec::new()));
    let start = Instant::now();
    let mut clients = Vec::new();
    for (router, process) in processes.routers.iter().enumerate() {
        for kind in KINDS {
            for number in 0..CLIENTS {
                let front = process.process.front;
                let load = client(front, router, kind, number, start, sent.clone());
                clients.push(executor.spawn(load));
            }
        }
    }
    let change = async {
        match changes {
            true => processes.change(start).await,
            false => Ok(()),
        }
    };
    future::try_zip(processes.stop_servers(start), change).await?;
    for client in clients {
        client.await;
    }
    let sent = sent.take();
    let cuts = processes.cuts(&sent).await?;
    let served = sent.iter().filter(|it| it.answer.status == 200).count();
    let beside = cuts.iter().filter(|it| it.is_beside_change()).count();
    println!(
        "{test}: {} requests, {served} served, {} cut, {beside} of them in the times of changes",
        sent.len(),
        cuts.len(),
    );
    for cut in cuts.iter().take(20) {
        let (status, ids) = (cut.answer.status, cut.answer.ids());
        println!(
            "  {} at {:?} after {:?}: {status} {ids:?}",
            cut.attempt, cut.at, cut.answer.elapsed
        );
    }
    ensure!(
        cuts.is_empty(),
        "{} of {} requests were cut",
        cuts.len(),
        sent.len()
    );
    ensure!(sent.len() > 300, "only {} requests", sent.len());
    for router in &processes.routers {
        fs::remove_file(&router.log)?;
    }
    Ok(())
}

/// Guards against answers that end in the middle as server processes stand still while the
/// configuration changes.
#[test]
fn no_request_is_cut_as_servers_stop_beside_changes() -> Result {
    run(async |executor| play(executor, "changes", true).await)
}

/// Guards against the same without a change.
#[test]
fn no_request_is_cut_as_servers_stop() -> Result {
    run(async |executor| play(executor, "calm", false).await)
}
