//! Routers and servers that are processes of their own, one server of which is stopped and
//! continued by signals.
//!
//! The operator's bound on load is judged by the logs of the routers: a server holds a
//! request from its placement to its answer. What a stopped server has not read it holds
//! until it goes on, also if the client has got its answer by then.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_relay_standin::server::{Server, Settings};
use tidepier_relay_standin::site::{Route, Site};

use crate::box_harness;
use crate::harness::{ms, post, run, wait_until, Executor, Result, SERVICE};
use crate::process::Process;

/// Number of routers, and of halls that they and the servers are divided between.
const BOXES: usize = 30;
const HALLS: usize = 3;
/// Number of servers, and the requests a second for each of them.
const SERVERS: usize = 3;
const RATE: f64 = 50.0;
/// Port of the servers, each on an address of its own.
const SERVER_PORT: u16 = 20_705;
/// Time of the load, and the times at which one server is stopped and continued.
const LOAD_TIME: Duration = Duration::from_millis(11_000);
const STOPPED_FROM: Duration = Duration::from_millis(5_000);
const STOPPED_TO: Duration = Duration::from_millis(9_000);
/// Time-out of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// The users' rule: in this time, ...
const WINDOW: f64 = 5.0;
/// ... this many requests and this share of all, ...
const EXCEEDING_MIN: usize = 20;
const EXCEEDING_MAX: f64 = 0.03;
/// ... reach a server that holds more than this many times the mean and so many more.
const BOUND_FACTOR: f64 = 2.0;
const BOUND_EXTRA: f64 = 3.0;
/// Variables that name the server that [`serve`] runs.
const SERVER_VARIABLE: &str = "TIDEPIER_TEST_SERVER";

fn server_settings(number: usize) -> Settings {
    Settings {
        id: format!("i-{number}"),
        hall: format!("hall-{}", number % HALLS + 1),
        service: SERVICE.into(),
        slots: 6,
        queue: 24,
        work: ms(30),
        answer_bytes: 800,
        reports_load: false,
        ..Settings::default()
    }
}

/// Runs a server until its standard input is closed; not a test by itself.
#[test]
#[ignore = "the other test starts it as a process"]
fn serve() -> Result {
    let Ok(variable) = std::env::var(SERVER_VARIABLE) else {
        return Ok(());
    };
    let (number, address) = variable
        .split_once(' ')
        .ok_or_else(|| eyre!("no address"))?;
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
            .args(["--exact", "standstill_processes::serve", "--ignored"])
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
    fn start(site: &Site, number: usize) -> Result<Self> {
        let peer = box_harness::address();
        let (name, hall) = (
            format!("box-{number}"),
            format!("hall-{}", number % HALLS + 1),
        );
        let link = 5_000 - number as u32;
        let mut settings = box_harness::settings(site, &name, &hall, link, peer);
        let callers = SocketAddr::new(peer.ip(), box_harness::FRONT_PORT);
        settings["callers"] = callers.to_string().into();
        settings["readiness"] = serde_json::Value::Null;
        let name = format!("standstill-{}-{number}", std::process::id());
        let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.log"));
        let output = Stdio::from(fs::File::create(&log)?);
        let process = Process::start_with_output(&name, "info", &settings, output)?;
        Ok(Self { process, log })
    }
}

/// A request at a server, by the log of its router. Times are seconds since the load began.
#[derive(Debug)]
struct Stay {
    server: String,
    from: f64,
    to: f64,
}

/// Seconds of a day, and the time of day now.
const DAY: f64 = 86_400.0;

fn time_of_day() -> Result<f64> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
    Ok(since.as_secs_f64() % DAY)
}

/// The time of day of a log line, in seconds.
fn time_of(line: &str) -> Option<f64> {
    let time = line.split_whitespace().next()?;
    let time = time.rsplit('T').next()?.trim_end_matches('Z');
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}

fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let fields = line.split_whitespace();
    fields.filter_map(|field| field.strip_prefix(key)).next()
}

/// The stays in a log since the time of day at which the load began. A request that ran out
/// of time stays at the server that was stopped until that goes on.
fn stays(log: &str, stopped: &str, begin: f64) -> Vec<Stay> {
    let mut open: HashMap<&str, (&str, f64)> = HashMap::new();
    let mut stays = Vec::new();
    for line in log.lines() {
        let fields = value(line, "event=")
            .zip(value(line, "id="))
            .zip(time_of(line));
        let Some(((event, id), at)) = fields else {
            continue;
        };
        let at = (at - begin).rem_euclid(DAY);
        match event {
            "placed" => {
                let server = value(line, "server=").unwrap_or_default();
                open.insert(id, (server, at));
            }
            "answered" | "failed" => {
                let Some((server, from)) = open.remove(id) else {
                    continue;
                };
                let is_unread = server == stopped && value(line, "why=") == Some("late");
                let to = if is_unread {
                    at.max(STOPPED_TO.as_secs_f64())
                } else {
                    at
                };
                stays.push(Stay {
                    server: server.into(),
                    from,
                    to,
                });
            }
            _ => {}
        }
    }
    stays
}

/// Requests over the bound, and all, in the worst window of those in which the rule may be
/// broken.
fn worst_window(stays: &[Stay]) -> (usize, usize) {
    let mut arrivals: Vec<(f64, bool)> = Vec::new();
    for stay in stays {
        let held = stays
            .iter()
            .filter(|it| it.from < stay.from && stay.from < it.to);
        let held: Vec<&Stay> = held.collect();
        let here = held.iter().filter(|it| it.server == stay.server).count();
        let mean = held.len() as f64 / SERVERS as f64;
        arrivals.push((stay.from, here as f64 > BOUND_FACTOR * mean + BOUND_EXTRA));
    }
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    let start = arrivals.first().map_or(0.0, |(at, _)| *at);
    let windows = arrivals.iter().enumerate();
    let whole = windows.filter(|(_, (end, _))| end - start >= WINDOW);
    let counts = whole.map(|(last, (end, _))| {
        let first = arrivals.partition_point(|(at, _)| *at < end - WINDOW);
        let window = &arrivals[first..=last];
        (
            window.iter().filter(|(_, over)| *over).count(),
            window.len(),
        )
    });
    counts.max().unwrap_or_default()
}

/// Sends requests to all routers in turn, as many clients would.
async fn load(executor: &Executor, routers: &[RouterProcess]) {
    let start = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0;
    while start.elapsed() < LOAD_TIME {
        let router = &routers[fastrand::usize(..routers.len())];
        let (front, attempt) = (router.process.front, format!("a-{number}"));
        clients.push(executor.spawn(async move {
            let call = post("/p/x", &attempt).leaving(ms(2_500));
            // Whatever the answer is, the log of the router has it.
            let _ = tidepier_relay_standin::Client::once(front, &call).await;
        }));
        number += 1;
        let gap = -(1.0 - fastrand::f64()).ln() / (RATE * SERVERS as f64);
        Timer::after(Duration::from_secs_f64(gap)).await;
    }
    for client in clients {
        client.await;
    }
}

/// Guards against routers that each send a request to a server that stands still, as a
/// process does that gets no processor.
#[test]
fn a_stopped_server_process_is_not_crowded() -> Result {
    run(async |executor| {
        let site = Site::start()?;
        let mut route = Route::new("/p/", Kind::AtMostOnce, SERVICE);
        (route.timeout, route.attempts) = (ROUTE_TIMEOUT, 1);
        route.objective = ms(150);
        site.declare(&[route]);
        let servers = (0..SERVERS).map(|number| ServerProcess::start(&site, number));
        let servers: Vec<ServerProcess> = servers.collect::<Result<_>>()?;
        let routers = (0..BOXES).map(|number| RouterProcess::start(&site, number));
        let routers: Vec<RouterProcess> = routers.collect::<Result<_>>()?;
        for router in &routers {
            let call = post("/p/x", "first").leaving(ms(900));
            wait_until("serving", async || {
                Ok(router.process.call(&call).await == 200)
            })
            .await?;
        }
        let begin = time_of_day()?;
        let stopping = executor.spawn(async move {
            Timer::after(STOPPED_FROM).await;
            servers[0].signal("-STOP")?;
            Timer::after(STOPPED_TO - STOPPED_FROM).await;
            servers[0].signal("-CONT")?;
            Ok::<_, eyre::Report>(servers)
        });
        load(&executor, &routers).await;
        let _servers = stopping.await?;
        // The log is written within 50 ms.
        Timer::after(ms(200)).await;
        let mut all = Vec::new();
        for router in &routers {
            let log = fs::read_to_string(&router.log)?;
            all.extend(stays(&log, "i-0", begin));
        }
        // Those from before the load look like some of the day after.
        all.retain(|stay| stay.from < DAY / 2.0);
        let (over, requests) = worst_window(&all);
        println!("{over} of {requests} in five seconds, {} in all", all.len());
        let share = over as f64 / requests.max(1) as f64;
        ensure!(
            over < EXCEEDING_MIN || share <= EXCEEDING_MAX,
            "{over} of {requests} requests over the bound"
        );
        ensure!(all.len() > 1_000, "only {} requests", all.len());
        for router in &routers {
            fs::remove_file(&router.log)?;
        }
        Ok(())
    })
}
