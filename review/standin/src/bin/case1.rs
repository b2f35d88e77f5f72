//! A request that may run once is run twice, or refused although it runs, when its server
//! rejected it and a second copy of that answer comes in the place of the next one.

use std::collections::BTreeMap;
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

const LOAD_TIME: Duration = Duration::from_secs(72);
/// Three more than the server has places.
const CLIENTS: usize = 13;

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"site.example\",\"path_prefix\":\"{prefix}\",\
             \"type\":\"{kind}\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":3}}"
        )
    };
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":110}}")
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hotel\",\"api_keys\":[\"k-of-the-hotel\"]}}]}}",
        route(
            "reserve-goods",
            "/reserve/",
            "non_idempotent",
            "bestellkasse"
        ),
        route("order-status", "/status/", "idempotent", "sprachdienst"),
        service("bestellkasse"),
        service("sprachdienst"),
    )
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Record::default();
    let is_control = is_control_run();
    let store = Store::start(free(ip(1)), &record);
    store.put("op/config", &config());
    let server = |id: &str, service: &str, extra_every| {
        let settings = Settings {
            id: id.into(),
            service: service.into(),
            zone: "rz-nord".into(),
            version: "v1".into(),
            slots: 6,
            queue: 4,
            work: Duration::from_millis(60),
            way: Duration::from_micros(4_500),
            extra_every,
            bad_share: 0.0,
        };
        Server::start(ip(20), settings, &store, &record)
    };
    // One of the two servers (share .5) sends a second copy of one answer in 34 (x under .03),
    // in episodes of five seconds.
    let ledger = server("i-kasse-1", "bestellkasse", if is_control { 0 } else { 34 });
    let invoice = server("i-sprache-1", "sprachdienst", 0);
    let deployment = Deployment::new(store.address, vec![(ip(11), "rz-nord".into())]);
    let mut router = deployment.start(0, true);
    if !router.wait_until_ready() {
        eprintln!("the router is not ready");
        drop(router);
        deployment.clean_up();
        record.write(&Path::new(&folder).join("record.txt"));
        exit(2);
    }
    record.add("the router is ready");
    if !is_control {
        record.add("from 0 s on, second copies of answers in the first 5 s of every 8 s");
    }
    let attempts = Attempts::default();
    let start = Instant::now();
    let clients = (0..CLIENTS).map(|number| {
        let mut client = Client::new(format!("c{number}"), router.callers, &record, &attempts);
        thread::spawn(move || {
            // They do not begin in the same moment.
            thread::sleep(Duration::from_millis(7 * number as u64));
            let mut count = 0;
            while start.elapsed() < LOAD_TIME {
                count += 1;
                match number {
                    0 => client.call("GET", &format!("/status/{count}"), ""),
                    _ => client.call("POST", "/reserve/", &format!("goods {number} {count}")),
                }
                thread::sleep(Duration::from_millis(3));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        let _ = client.join();
    }
    // Whatever still runs now has time to end.
    thread::sleep(Duration::from_secs(2));
    let survived = router.runs();
    drop(router);
    deployment.clean_up();
    let broken = judge(&ledger, &attempts, &record);
    let _ = Arc::strong_count(&invoice);
    record.write(&Path::new(&folder).join("record.txt"));
    match (survived, broken) {
        (false, _) => exit(2),
        (true, true) => exit(1),
        (true, false) => exit(0),
    }
}

/// Whether TWICE is broken. REFUSED, which the same fault breaks, is counted besides.
fn judge(ledger: &Server, attempts: &Attempts, record: &Record) -> bool {
    let mut runs: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for run in ledger.runs() {
        runs.entry(run.attempt).or_default().push(run.began);
    }
    let attempts = attempts.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, began)| began.len() > 1).collect();
    for (id, began) in &twice {
        let answer = attempts.iter().find(|it| it.id == **id);
        let status = answer.map_or(0, |it| it.status);
        let times: Vec<String> = began.iter().map(|at| format!("{at:.4}")).collect();
        record.add(format!(
            "TWICE: {id} was run {} times (at {} s); its client got {status}",
            began.len(),
            times.join(" s and ")
        ));
    }
    let refused = attempts.iter().filter(|it| it.promises());
    let refused: Vec<_> = refused.filter(|it| runs.contains_key(&it.id)).collect();
    for attempt in &refused {
        record.add(format!(
            "REFUSED: {} was answered {} at {:.4} s and was run at {:.4} s",
            attempt.id, attempt.status, attempt.ended, runs[&attempt.id][0]
        ));
    }
    let (answers, extras) = ledger.counts();
    let summary = format!(
        "{} attempts, {} runs at the server, {answers} answers of the server, {extras} second \
         copies; TWICE {} times, REFUSED {} times",
        attempts.len(),
        runs.values().map(Vec::len).sum::<usize>(),
        twice.len(),
        refused.len(),
    );
    println!("{summary}");
    record.add(summary);
    !twice.is_empty()
}
