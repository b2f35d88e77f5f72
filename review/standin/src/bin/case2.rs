//! A stream without a length looks complete to its client though it was cut short, when the
//! router that forwards it is killed.
//!
//! With `STOP=1` routers get SIGTERM instead, and streams last ten seconds: a router that ends
//! by itself within its grace period ends such a stream in the same way. That is a trial: more of
//! the answers have no length than the pages' dose of `garble`.

use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standin::record::Record;
use review_standin::router::Deployment;
use review_standin::store::Store;
use review_standin::stream::{self, Got, Server, Settings};
use review_standin::{free, ip, is_control_run};

/// Routers, of which one is killed at a time.
const ROUTERS: usize = 9;
const KILLS: usize = 3;
/// Clients of each router.
const CLIENTS: usize = 4;
const EVENTS: u64 = 93;

fn config() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"pickup-note\",\"host\":\"site.example\",\
     \"path_prefix\":\"/note/\",\"type\":\"streaming\",\"timeout_ms\":15000,\
     \"target_latency_ms\":400,\"target_itl_ms\":300,\"priority\":2,\"service\":\"linen-llm\",\
     \"max_attempts\":1}],\
     \"services\":[{\"name\":\"linen-llm\",\"health_path\":\"/healthz\",\
     \"max_connections\":370}],\
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
    let stops = std::env::var("STOP").is_ok_and(|value| value == "1");
    let pause = Duration::from_millis(if stops { 110 } else { 22 });
    let unframed_every = if stops { 3 } else { 20 };
    let store = Store::start(free(ip(1)), &record);
    store.put("op/config", &config());
    let zones = ["industrial-area", "embakasi", "westlands"];
    let server = |number: usize, unframed_every| {
        let settings = Settings {
            id: format!("i-linen-{number}"),
            service: "linen-llm".into(),
            zone: zones[number % 3].into(),
            events: EVENTS,
            pause,
            unframed_every,
        };
        Server::start(ip(20 + number as u8), settings, &store, &record)
    };
    // One of two servers (share .5) sends one answer in 20 (x .05) without a length, in
    // episodes of five seconds.
    let servers = [server(0, unframed_every), server(1, 0)];
    let boxes = (0..ROUTERS).map(|number| (ip(11 + number as u8), zones[number % 3].to_owned()));
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
    if !is_control {
        record.add("from 0 s on, answers without a length in the first 5 s of every 8 s");
    }
    let got: Arc<Mutex<Vec<Got>>> = Arc::default();
    let addresses: Vec<_> = routers.iter().map(|router| router.callers).collect();
    let addresses = Arc::new(Mutex::new(addresses));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for index in 0..ROUTERS {
        for number in 0..CLIENTS {
            let (got, record) = (got.clone(), record.clone());
            let (addresses, is_over) = (addresses.clone(), is_over.clone());
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("r{index}c{number}-{count}");
                    let router = addresses.lock().unwrap()[index];
                    let answer = stream::read(router, &id, "/note/", "k-of-the-hotel");
                    record.add(format!(
                        "client: {id} got {}, {} events, {}, which {}",
                        answer.status,
                        answer.events,
                        if answer.is_framed {
                            "framed"
                        } else {
                            "without a length"
                        },
                        if answer.looks_complete {
                            "looks complete"
                        } else {
                            "is cut off"
                        },
                    ));
                    got.lock().unwrap().push(answer);
                    thread::sleep(Duration::from_millis(100));
                }
            }));
        }
    }
    let start = Instant::now();
    let mut kills = 0;
    let mut last = Instant::now();
    while kills < KILLS && start.elapsed() < Duration::from_secs(80) {
        thread::sleep(Duration::from_millis(20));
        if last.elapsed() < Duration::from_secs(4) {
            continue;
        }
        let Some(attempt) = servers[0].unframed().first().cloned() else {
            continue;
        };
        // In the midst of the stream.
        thread::sleep(Duration::from_millis(700));
        let index = attempt[1..]
            .split('c')
            .next()
            .and_then(|text| text.parse().ok());
        let index: usize = index.unwrap_or(0);
        kills += 1;
        last = Instant::now();
        if is_control {
            continue;
        }
        let signal = if stops { "SIGTERM" } else { "SIGKILL" };
        record.add(format!("{} gets {signal}", routers[index].name));
        match stops {
            true => routers[index].stop(Duration::from_secs(8)),
            false => routers[index].kill(),
        }
        // The platform starts it again after a short delay.
        thread::sleep(Duration::from_millis(500));
        routers[index] = deployment.start(index, false);
        addresses.lock().unwrap()[index] = routers[index].callers;
        record.add(format!("{} is started again", routers[index].name));
    }
    thread::sleep(pause * EVENTS as u32 + Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let survived = kills == KILLS && routers.iter_mut().all(|router| router.runs());
    drop(routers);
    deployment.clean_up();
    let broken = judge(&got, &record);
    record.write(&file);
    match (survived, broken) {
        (false, _) => exit(2),
        (true, true) => exit(1),
        (true, false) => exit(0),
    }
}

/// Whether MIXED is broken.
fn judge(got: &Mutex<Vec<Got>>, record: &Record) -> bool {
    let got = got.lock().unwrap();
    let short = got
        .iter()
        .filter(|it| it.status == 200 && it.looks_complete && it.events < EVENTS);
    let short: Vec<_> = short.collect();
    for answer in &short {
        record.add(format!(
            "MIXED: {} got a success with seal {} that looks complete after {} of {EVENTS} events",
            answer.id,
            answer.seal.as_deref().unwrap_or("-"),
            answer.events
        ));
    }
    let whole = got
        .iter()
        .filter(|it| it.looks_complete && it.events == EVENTS)
        .count();
    let cut = got.iter().filter(|it| !it.looks_complete).count();
    let summary = format!(
        "{} answers: {whole} whole, {cut} visibly cut off or none, {} cut short that look complete",
        got.len(),
        short.len()
    );
    println!("{summary}");
    record.add(summary);
    !short.is_empty()
}
