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
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::{ensure, eyre};
use futures_lite::future;
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_relay_standin::server::{Server, Settings};
use tidepier_relay_standin::site::{Route, Site};

use crate::box_harness;
use crate::harness::{ms, post, run, wait_until, Executor, Result, SERVICE};
use crate::load_rule::{self, Excess};
use crate::process::Process;

/// Number of halls that routers and servers are divided between.
const HALLS: usize = 3;
/// Number of servers.
const SERVERS: usize = 3;
/// Port of the servers, each on an address of its own.
const SERVER_PORT: u16 = 20_705;
/// Time-out of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Routes beside the one that is used; with them a configuration has 13 KB.
const FURTHER_ROUTES: usize = 60;
/// Variables that name the server that [`serve`] runs.
const SERVER_VARIABLE: &str = "TIDEPIER_TEST_SERVER";

/// What is played.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Number of routers.
    routers: usize,
    /// Requests a second for each server.
    rate: f64,
    /// Time of the load.
    time: Duration,
    /// When one server is stopped, and for how long.
    stops: &'static [(Duration, Duration)],
    /// Interval between versions of the configuration that reach all routers; the first one
    /// comes as the server is first stopped.
    versions: Option<Duration>,
}

/// One stop of 4 s.
const ONE_STOP: Scenario = Scenario {
    routers: 30,
    rate: 50.0,
    time: ms(11_000),
    stops: &[(ms(5_000), ms(4_000))],
    versions: None,
};

/// Stops of different lengths.
const STOPS: [(Duration, Duration); 4] = [
    (ms(2_000), ms(500)),
    (ms(5_000), ms(1_500)),
    (ms(9_000), ms(6_000)),
    (ms(17_000), ms(1_000)),
];

impl Scenario {
    /// When the server goes on that is stopped at a time, in seconds.
    fn stopped_until(&self, at: f64) -> Option<f64> {
        let stops = self.stops.iter();
        let mut stops = stops.map(|(from, time)| (from.as_secs_f64(), time.as_secs_f64()));
        stops.find_map(|(from, time)| {
            let until = from + time;
            (from..until).contains(&at).then_some(until)
        })
    }
}

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

/// Number of routers started so far.
static STARTED: AtomicUsize = AtomicUsize::new(0);

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
        // Tests of one process run beside each other, each with a router of this number.
        let count = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("standstill-{}-{count}", std::process::id());
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
/// of time stays at the first server, if that was stopped, until it goes on.
fn stays(log: &str, scenario: &Scenario, begin: f64) -> Vec<Stay> {
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
                let is_unread = server == "i-0" && value(line, "why=") == Some("late");
                let until = scenario.stopped_until(at).filter(|_| is_unread);
                let to = until.unwrap_or(at);
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

/// Requests over the bound in the worst window since the first request.
fn worst_window(stays: &[Stay]) -> Excess {
    let mut arrivals: Vec<(Duration, bool)> = Vec::new();
    for stay in stays {
        let held = stays
            .iter()
            .filter(|it| it.from < stay.from && stay.from < it.to);
        let held: Vec<&Stay> = held.collect();
        let here = held.iter().filter(|it| it.server == stay.server).count();
        let is_over = load_rule::is_over(here, held.len(), SERVERS);
        arrivals.push((Duration::from_secs_f64(stay.from), is_over));
    }
    arrivals.sort();
    let start = arrivals.first().map_or(Duration::ZERO, |(at, _)| *at);
    Excess::worst(&arrivals, start)
}

/// Sends requests to all routers in turn, as many clients would.
async fn load(executor: &Executor, routers: &[RouterProcess], scenario: &Scenario) {
    let start = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0;
    while start.elapsed() < scenario.time {
        let router = &routers[fastrand::usize(..routers.len())];
        let (front, attempt) = (router.process.front, format!("a-{number}"));
        clients.push(executor.spawn(async move {
            let call = post("/p/x", &attempt).leaving(ms(2_500));
            // Whatever the answer is, the log of the router has it.
            let _ = tidepier_relay_standin::Client::once(front, &call).await;
        }));
        number += 1;
        let gap = -(1.0 - fastrand::f64()).ln() / (scenario.rate * SERVERS as f64);
        Timer::after(Duration::from_secs_f64(gap)).await;
    }
    for client in clients {
        client.await;
    }
}

/// The site of a test, with its servers and routers as processes.
struct Processes {
    site: Site,
    servers: Vec<ServerProcess>,
    routers: Vec<RouterProcess>,
}

impl Processes {
    /// Starts them and waits until every router has served a request.
    async fn start(boxes: usize) -> Result<Self> {
        let site = Site::start()?;
        let mut route = Route::new("/p/", Kind::AtMostOnce, SERVICE);
        (route.timeout, route.attempts) = (ROUTE_TIMEOUT, 1);
        route.objective = ms(150);
        let others = (0..FURTHER_ROUTES).map(|number| {
            let prefix = format!("/other-{number}/");
            Route::new(&prefix, Kind::AtMostOnce, SERVICE)
        });
        site.declare(&[vec![route], others.collect()].concat());
        let servers = (0..SERVERS).map(|number| ServerProcess::start(&site, number));
        let servers: Vec<ServerProcess> = servers.collect::<Result<_>>()?;
        let routers = (0..boxes).map(|number| RouterProcess::start(&site, number));
        let routers: Vec<RouterProcess> = routers.collect::<Result<_>>()?;
        for router in &routers {
            let call = post("/p/x", "first").leaving(ms(900));
            wait_until("serving", async || {
                Ok(router.process.call(&call).await == 200)
            })
            .await?;
        }
        Ok(Self {
            site,
            servers,
            routers,
        })
    }

    /// Stops and continues the first server, as a scenario says.
    async fn stop_server(&self, scenario: &Scenario) -> Result {
        let start = Instant::now();
        for (from, time) in scenario.stops {
            Timer::at(start + *from).await;
            self.servers[0].signal("-STOP")?;
            Timer::after(*time).await;
            self.servers[0].signal("-CONT")?;
        }
        Ok(())
    }

    /// Applies versions of the configuration, as a scenario says.
    async fn change(&self, scenario: &Scenario) -> Result {
        let Some(interval) = scenario.versions else {
            return Ok(());
        };
        let end = Instant::now() + scenario.time;
        let first = scenario.stops.first();
        Timer::after(first.map_or(interval, |(from, _)| *from)).await;
        let mut number = 0;
        while Instant::now() < end {
            self.apply_version(number);
            number += 1;
            Timer::after(interval).await;
        }
        Ok(())
    }

    /// Checks the users' rule by the logs of the routers, given when the load began.
    async fn check_load(&self, scenario: &Scenario, begin: f64) -> Result {
        // The log is written within 50 ms.
        Timer::after(ms(200)).await;
        let mut all = Vec::new();
        for router in &self.routers {
            let log = fs::read_to_string(&router.log)?;
            all.extend(stays(&log, scenario, begin));
        }
        // Those from before the load look like some of the day after.
        all.retain(|stay| stay.from < DAY / 2.0);
        let worst = worst_window(&all);
        let Excess {
            over,
            all: requests,
        } = worst;
        println!("{over} of {requests} in five seconds, {} in all", all.len());
        ensure!(
            !worst.is_broken(),
            "{over} of {requests} requests over the bound"
        );
        ensure!(all.len() > 1_000, "only {} requests", all.len());
        for router in &self.routers {
            fs::remove_file(&router.log)?;
        }
        Ok(())
    }

    /// The processor time that all routers have used.
    fn processor_time(&self) -> Result<Duration> {
        let times = self.routers.iter().map(|it| it.process.processor_time());
        times.sum()
    }

    /// Applies a version that changes the time-outs of all routes but the one that is used.
    fn apply_version(&self, number: u32) {
        self.site.configure(|config| {
            let routes = config["routes"].as_array_mut().into_iter().flatten();
            for route in routes.skip(1) {
                route["timeout_ms"] = (2_000 + number % 100).into();
            }
        });
    }
}

/// Plays a scenario and checks the users' rule.
fn play(scenario: &Scenario) -> Result {
    run(async |executor| {
        let processes = Processes::start(scenario.routers).await?;
        let begin = time_of_day()?;
        let loading = async {
            load(&executor, &processes.routers, scenario).await;
            Ok(())
        };
        let disturbing =
            future::try_zip(processes.stop_server(scenario), processes.change(scenario));
        future::try_zip(loading, disturbing).await?;
        processes.check_load(scenario, begin).await
    })
}

/// Guards against routers that each send a request to a server that stands still, as a
/// process does that gets no processor.
#[test]
fn a_stopped_server_process_is_not_crowded() -> Result {
    play(&ONE_STOP)
}

/// Guards against routers that take a server's processor, or send their requests at the same
/// moment, when a new version of the configuration reaches all of them at once.
#[test]
fn versions_that_reach_all_routers_at_once_crowd_no_server() -> Result {
    play(&Scenario {
        stops: &[],
        versions: Some(ms(500)),
        ..ONE_STOP
    })
}

/// The same for 78 routers, stops of 0.5 to 6 s, and versions that come in the same moment.
#[test]
#[ignore = "more processes than other tests should have beside them"]
fn many_routers_do_not_crowd_a_server_that_is_stopped_again_and_again() -> Result {
    play(&Scenario {
        routers: 78,
        rate: 65.0,
        time: ms(20_000),
        stops: &STOPS,
        versions: Some(ms(500)),
    })
}

/// Prints the processor time that a version takes in each router.
#[test]
#[ignore = "measures and checks nothing"]
fn processor_time_of_a_version() -> Result {
    run(async |_| {
        let processes = Processes::start(78).await?;
        Timer::after(ms(3_000)).await;
        for round in 0..2 {
            let before = processes.processor_time()?;
            Timer::after(ms(5_000)).await;
            let idle = processes.processor_time()? - before;
            let before = processes.processor_time()?;
            for number in 0..25 {
                processes.apply_version(round * 25 + number);
                Timer::after(ms(200)).await;
            }
            let used = processes.processor_time()? - before;
            let version = used.saturating_sub(idle) / 25;
            println!(
                "{version:?} for a version in 78 routers, {:?} in each; idle {:?} a second",
                version / 78,
                idle / 5,
            );
        }
        Ok(())
    })
}
