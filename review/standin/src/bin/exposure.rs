//! A bad version of a service is not rolled back, and gets all requests, if the service has
//! two servers of each version.

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use review_standin::client::{Attempts, Client};
use review_standin::record::Record;
use review_standin::router::Deployment;
use review_standin::server::{Server, Settings};
use review_standin::store::Store;
use review_standin::{free, ip, is_control_run};

/// Bounds of the sheet.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_TOLERANCE: f64 = 50.0;
const ROLLBACK: f64 = 5.0;
/// Time that the order gives.
const DURATION: f64 = 24.0;
const QUIET_TIME: Duration = Duration::from_secs(4);
const CLIENTS: usize = 10;
/// Servers of each version.
const SERVERS: u8 = 2;

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"site.example\",\"path_prefix\":\"{prefix}\",\
             \"type\":\"{kind}\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"subs-desk\",\"max_attempts\":{attempts}}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"subs-desk\",\
         \"health_path\":\"/healthz\",\"max_connections\":470}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hotel\",\"api_keys\":[\"k-of-the-hotel\"]}}]}}",
        route("renew-charge", "/renew/", "non_idempotent", 1),
        route("account-lookup", "/account/", "idempotent", 2),
    )
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let file = Path::new(&folder).join("record.txt");
    let record = Record::default();
    let is_control = is_control_run();
    let store = Store::start(free(ip(1)), &record);
    store.put("op/config", &config());
    let zones = ["pnw-olympia", "pnw-salem", "pnw-spokane"];
    let start_servers = |version: &str, bad_share: f64| {
        let servers = (0..SERVERS).map(|number| {
            let settings = Settings {
                id: format!("i-subs-{version}-{}", number + 1),
                service: "subs-desk".into(),
                zone: zones[usize::from(number)].into(),
                version: version.into(),
                slots: 6,
                queue: 24,
                work: Duration::from_millis(60),
                way: Duration::from_millis(1),
                extra_every: 0,
                bad_share,
            };
            Server::start(ip(20 + number), settings, &store, &record)
        });
        servers.collect::<Vec<_>>()
    };
    let old = start_servers("v1", 0.0);
    let boxes = zones.iter().enumerate();
    let boxes = boxes.map(|(index, zone)| (ip(11 + index as u8), (*zone).to_owned()));
    let deployment = Deployment::new(store.address, boxes.collect());
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
    let start = Instant::now();
    let total = QUIET_TIME + Duration::from_secs_f64(DURATION + 4.0);
    let mut clients = Vec::new();
    for (index, router) in routers.iter().enumerate() {
        for number in 0..CLIENTS {
            let name = format!("r{}c{number}", index + 1);
            let mut client = Client::new(name, router.callers, &record, &attempts);
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while start.elapsed() < total {
                    count += 1;
                    match number % 5 {
                        0 => client.call("GET", &format!("/account/{count}"), ""),
                        _ => client.call("POST", "/renew/", &format!("{number} {count}")),
                    }
                    thread::sleep(Duration::from_millis(150));
                }
            }));
        }
    }
    thread::sleep(QUIET_TIME);
    // The servers of the new version are started alongside the old ones.
    let new = start_servers("v2", if is_control { 0.0 } else { 0.5 });
    thread::sleep(Duration::from_secs(1));
    let order = format!(
        "{{\"service\":\"subs-desk\",\"target_version\":\"v2\",\"duration_s\":{DURATION}}}"
    );
    store.put("op/rollout/subs-desk", &order);
    let ordered = record.now();
    record.add("operator: orders subs-desk to be moved to v2");
    // The old servers stop at once when the state is `completed`.
    let mut state = String::new();
    while record.now() < ordered + DURATION + 2.0 {
        let now = store.value("status/rollout/subs-desk").unwrap_or_default();
        if now != state {
            record.add(format!("operator: reads status/rollout/subs-desk: {now}"));
            state = now;
            if state.contains("completed") {
                old.iter().for_each(|server| server.end());
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    for client in clients {
        let _ = client.join();
    }
    let survived = routers.iter_mut().all(|router| router.runs());
    drop(routers);
    deployment.clean_up();
    let broken = judge(&old, &new, ordered, is_control, &state, &attempts, &record);
    record.write(&file);
    match (survived, broken) {
        (false, _) => exit(2),
        (true, true) => exit(1),
        (true, false) => exit(0),
    }
}

/// Whether EXPOSURE is broken.
fn judge(
    old: &[std::sync::Arc<Server>],
    new: &[std::sync::Arc<Server>],
    ordered: f64,
    is_control: bool,
    state: &str,
    attempts: &Attempts,
    record: &Record,
) -> bool {
    let until = ordered + DURATION;
    let within = |server: &std::sync::Arc<Server>| {
        let arrivals = server.arrivals().into_iter();
        arrivals
            .filter(|(at, _)| (ordered..until).contains(at))
            .count()
    };
    let to_new: usize = new.iter().map(within).sum();
    let to_old: usize = old.iter().map(within).sum();
    let most = EXPOSURE_SHARE * (to_new + to_old) as f64 + EXPOSURE_TOLERANCE;
    let mut bad: Vec<f64> = new.iter().flat_map(|server| server.bad_answers()).collect();
    bad.sort_by(f64::total_cmp);
    let fiftieth = bad.get(49).copied();
    let attempts = attempts.lock().unwrap();
    let late = fiftieth.map_or(0, |at| {
        let arrived: Vec<String> = new
            .iter()
            .flat_map(|server| server.arrivals())
            .map(|(_, id)| id)
            .collect();
        let sent = attempts.iter().filter(|it| it.sent > at + ROLLBACK);
        sent.filter(|it| arrived.contains(&it.id)).count()
    });
    let failed = attempts
        .iter()
        .filter(|it| it.status >= 500 || it.status == 0);
    let summary =
        format!(
        "between the order and its deadline {to_new} of {} requests reached v2, {most:.0} may; {} \
         bad answers, the 50th at {}; {late} requests sent more than rollback_ms after it \
         reached v2; {} of {} attempts got a failure; the state is {state}",
        to_new + to_old,
        bad.len(),
        fiftieth.map_or("-".into(), |at| format!("{:.2} s after the order", at - ordered)),
        failed.count(),
        attempts.len(),
    );
    println!("{summary}");
    record.add(summary);
    // A good version may have all requests.
    !is_control && (to_new as f64 > most || late > 0)
}
