//! After an outage of the store of a third of a second, routers go on sending requests to a
//! server for many seconds after the store has taken that it is draining, and until it ends.

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standin::client::{Attempts, Client};
use review_standin::record::Record;
use review_standin::router::Deployment;
use review_standin::server::{Server, Settings};
use review_standin::store::Store;
use review_standin::{free, ip, is_control_run};

/// Bounds of the sheet.
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;
/// Times that a server joins, the store is down for a moment, and a server leaves.
const ROUNDS: usize = 4;
/// From a server's start until the store is down.
const BEFORE_OUTAGE: Duration = Duration::from_millis(230);
/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(350);
/// From the store's return until a server says that it is draining: more than the time after
/// which store and machines count as undisturbed again.
const CALM: Duration = Duration::from_millis(4_000);
/// How much longer than `drain_ms` a server serves on: a little.
const SERVES_ON: Duration = Duration::from_secs(2);
/// Servers at the start: one that joins is .14 of them, one that leaves .125.
const SERVERS: usize = 7;
/// Clients of each router.
const CLIENTS: usize = 8;

fn config() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"batch-log\",\"host\":\"site.example\",\
     \"path_prefix\":\"/batch/\",\"type\":\"non_idempotent\",\"timeout_ms\":4000,\
     \"target_latency_ms\":300,\"priority\":1,\"service\":\"ledger-app\",\"max_attempts\":1}],\
     \"services\":[{\"name\":\"ledger-app\",\"health_path\":\"/healthz\",\
     \"max_connections\":110}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"hotel\",\"api_keys\":[\"k-of-the-hotel\"]}]}"
        .into()
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let file = Path::new(&folder).join("record.txt");
    let record = Record::default();
    let is_control = is_control_run();
    let store = Store::start(free(ip(1)), &record);
    store.put("op/config", &config());
    let zones = ["industrial-area", "embakasi"];
    let server = |number: usize| {
        let settings = Settings {
            id: format!("i-ledger-{number}"),
            service: "ledger-app".into(),
            zone: zones[number % 2].into(),
            version: "v1".into(),
            slots: 6,
            queue: 12,
            work: Duration::from_millis(60),
            way: Duration::from_millis(1),
            extra_every: 0,
            bad_share: 0.0,
        };
        Server::start(ip(20 + number as u8), settings, &store, &record)
    };
    let mut servers: Vec<Arc<Server>> = (0..SERVERS).map(server).collect();
    let boxes = vec![
        (ip(11), zones[0].into()),
        (ip(12), zones[0].into()),
        (ip(13), zones[1].into()),
    ];
    let deployment = Deployment::new(store.address, boxes);
    let mut routers = deployment.start_all();
    if !routers.iter().all(|router| router.wait_until_ready()) {
        eprintln!("a router is not ready");
        drop(routers);
        deployment.clean_up();
        record.write(&file);
        exit(2);
    }
    record.add("the routers are ready");
    let attempts = Attempts::default();
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, router) in routers.iter().enumerate() {
        for number in 0..CLIENTS {
            let name = format!("r{}c{number}", index + 1);
            let mut client = Client::new(name, router.callers, &record, &attempts);
            let is_over = is_over.clone();
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(std::sync::atomic::Ordering::SeqCst) {
                    count += 1;
                    client.call("POST", "/batch/", &format!("batch {number} {count}"));
                    thread::sleep(Duration::from_millis(40));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let mut left = Vec::new();
    for round in 0..ROUNDS {
        servers.push(server(SERVERS + round));
        record.add(format!("server i-ledger-{} joins", SERVERS + round));
        thread::sleep(BEFORE_OUTAGE);
        let back = match is_control {
            true => Vec::new(),
            false => store.be_silent(OUTAGE),
        };
        let calls = back.len();
        let (back_at, calm_from) = (Instant::now(), record.now());
        thread::sleep(CALM);
        let leaving = servers.remove(0);
        let draining = leaving.drain();
        assert!(draining > calm_from + CONTACT && back_at.elapsed() >= CALM);
        record.add(format!("round {}: {calls} calls got no answer", round + 1));
        thread::sleep(Duration::from_secs_f64(DRAIN) + SERVES_ON);
        leaving.end();
        left.push((leaving, draining));
        thread::sleep(Duration::from_millis(500));
    }
    is_over.store(true, std::sync::atomic::Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let survived = routers.iter_mut().all(|router| router.runs());
    drop(routers);
    deployment.clean_up();
    let broken = judge(&left, &attempts, &record);
    record.write(&file);
    match (survived, broken) {
        (false, _) => exit(2),
        (true, true) => exit(1),
        (true, false) => exit(0),
    }
}

/// Whether DRAIN is broken.
fn judge(left: &[(Arc<Server>, f64)], attempts: &Attempts, record: &Record) -> bool {
    let attempts = attempts.lock().unwrap();
    let (mut late, mut cut) = (0, 0);
    for (server, draining) in left {
        let id = &server.settings.id;
        let arrivals = server.arrivals().into_iter();
        let after: Vec<_> = arrivals.filter(|(at, _)| *at > draining + DRAIN).collect();
        for (at, attempt) in after.iter().take(3) {
            record.add(format!(
                "DRAIN: {attempt} reached {id} {:.3} s after the store had taken that it is draining",
                at - draining
            ));
        }
        late += after.len();
        for run in server.runs().into_iter().filter(|run| !run.finished) {
            let answer = attempts.iter().find(|it| it.id == run.attempt);
            record.add(format!(
                "lost: {} was running at {id} from {:.4} s when it ended; its client got {}",
                run.attempt,
                run.began,
                answer.map_or(0, |it| it.status)
            ));
            cut += 1;
        }
    }
    let summary = format!(
        "{} attempts; {late} requests reached servers more than drain_ms after the store had \
         taken that they are draining; {cut} requests were cut off as these ended",
        attempts.len(),
    );
    println!("{summary}");
    record.add(summary);
    late > 0
}
