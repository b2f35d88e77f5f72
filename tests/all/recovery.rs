//! Measures what each fault costs and how long its effects last, with the default
//! timers of a fleet. This is not a test: `scripts/measure recovery` runs it and
//! prints its line.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use smol::{Task, Timer};
use tidepier_config::settings::Tuning;
use tidepier_errors::Ran;
use tidepier_http::client::Pool;
use tidepier_load::caller::{self, Outcome};

use crate::harness::network::PLATFORM;
use crate::harness::{Fleet, Plan};

/// Requests per second during a fault.
const RATE: u64 = 40;
/// Tokens of each answer, which take half a second.
const TOKENS: u64 = 90;
/// Longest time to the first token that counts as full service.
const FULL: Duration = Duration::from_millis(1100);
/// Time of traffic before and after a fault.
const AROUND: Duration = Duration::from_secs(3);

struct Seen {
    began: Instant,
    outcome: Outcome,
}

/// Chats at a constant rate, and drafts that must not be repeated beside them.
struct Traffic {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
    drafts: Arc<Mutex<Vec<(String, bool)>>>,
    task: Task<()>,
}

impl Traffic {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let drafts: Arc<Mutex<Vec<(String, bool)>>> = Arc::default();
        let addresses = fleet.addresses();
        let chats: Vec<_> = (0..2000)
            .map(|number| fleet.make_chat(number, TOKENS))
            .collect();
        let (stopped, recorded, posted) = (stop.clone(), seen.clone(), drafts.clone());
        let task = smol::spawn(async move {
            let mut tasks = Vec::new();
            for (number, chat) in chats.into_iter().enumerate() {
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let (addresses, recorded) = (addresses.clone(), recorded.clone());
                let posted = posted.clone();
                tasks.push(smol::spawn(async move {
                    let began = Instant::now();
                    let pool = Pool::new();
                    let outcome = caller::ask(&pool, &addresses, number, &chat).await;
                    recorded.lock().unwrap().push(Seen { began, outcome });
                    if number % 4 == 0 {
                        let id = format!("draft-{number}");
                        let router = addresses[number % addresses.len()];
                        let sent =
                            crate::harness::draft(pool, router, id.clone(), id.clone()).await;
                        let not_run = sent.is_ok_and(|answer| {
                            answer.status >= 400
                                && crate::harness::fault_of(&answer).kind.answer().ran == Ran::No
                        });
                        posted.lock().unwrap().push((id, not_run));
                    }
                }));
                Timer::after(Duration::from_millis(1000 / RATE)).await;
            }
            for task in tasks {
                task.await;
            }
        });
        Self {
            stop,
            seen,
            drafts,
            task,
        }
    }

    /// Ends the traffic and summarises the effects of a fault that began at
    /// `struck`.
    fn row(self, fleet: &Fleet, name: &str, struck: Instant) -> Value {
        self.stop.store(true, Ordering::SeqCst);
        smol::block_on(self.task);
        let seen = self.seen.lock().unwrap();
        let drafts = self.drafts.lock().unwrap();
        let full = |seen: &&Seen| {
            let quick = seen.outcome.first.is_some_and(|first| first < FULL);
            seen.outcome.whole && quick
        };
        let late = seen
            .iter()
            .filter(|seen| seen.began >= struck && !full(seen));
        let last = late
            .map(|seen| seen.began - struck)
            .max()
            .unwrap_or_default();
        let final_answer = |s: &&Seen| s.outcome.whole || s.outcome.refused.is_some();
        let lost = seen.iter().filter(|seen| !final_answer(seen)).count();
        let refused = seen
            .iter()
            .filter(|seen| seen.outcome.refused.is_some())
            .count();
        let wrong: u64 = seen.iter().map(|seen| seen.outcome.wrong).sum();
        let doubled = drafts.iter().filter(|(id, _)| fleet.runs(id) > 1).count();
        let false_not_run = drafts
            .iter()
            .filter(|(id, not)| *not && fleet.runs(id) > 0)
            .count();
        json!({
            "fault": name,
            "requests": seen.len(),
            "lost": lost,
            "refused": refused,
            "doubled": doubled as u64 + wrong,
            "wrong_not_run": false_not_run,
            "seconds_to_full_service": (last.as_secs_f64() * 10.0).round() / 10.0,
        })
    }
}

fn fleet(halls: u16) -> Fleet {
    Fleet::start_with(
        Plan {
            boxes: 2 * halls.max(2),
            halls,
            engines: 3 * halls.max(2),
            step_us: 5500,
        },
        Tuning::default(),
    )
}

fn rows() -> Vec<Value> {
    let pause = |time: Duration| std::thread::sleep(time);
    let mut rows = Vec::new();
    let only = std::env::var("TIDEPIER_FAULT").ok();
    let mut run = |name: &str, halls: u16, fault: &mut dyn FnMut(&mut Fleet)| {
        if only.as_ref().is_some_and(|only| only != name) {
            return;
        }
        let mut fleet = fleet(halls);
        let traffic = Traffic::start(&fleet);
        pause(AROUND);
        let struck = Instant::now();
        fault(&mut fleet);
        pause(AROUND);
        let row = traffic.row(&fleet, name, struck);
        println!("{row}");
        rows.push(row);
    };
    run("router killed", 1, &mut |fleet| fleet.routers[0].kill());
    run("router stopped as planned", 1, &mut |fleet| {
        fleet.routers[0].finish();
    });
    run("engine killed", 1, &mut |fleet| fleet.engine(0).kill());
    run("engine flapping", 1, &mut |fleet| {
        for _ in 0..4 {
            fleet.engine(0).kill();
            pause(Duration::from_millis(700));
            fleet.engine(0).start().unwrap();
            pause(Duration::from_millis(700));
        }
    });
    run("store down 60 s", 1, &mut |fleet| {
        fleet.outside.store.kill();
        pause(Duration::from_secs(60));
        fleet.outside.store.start().unwrap();
    });
    run("hall cut from platform", 2, &mut |fleet| {
        let hall = fleet.made.document.halls[1].to_string();
        fleet.network.cut(&hall, PLATFORM);
        pause(Duration::from_secs(5));
        fleet.network.join(&hall, PLATFORM);
    });
    run("hall cut from hall", 2, &mut |fleet| {
        let halls: Vec<_> = fleet
            .made
            .document
            .halls
            .iter()
            .map(|h| h.to_string())
            .collect();
        fleet.network.cut(&halls[0], &halls[1]);
        pause(Duration::from_secs(8));
        fleet.network.join(&halls[0], &halls[1]);
    });
    rows
}

/// The longest time in seconds from the acceptance of a configuration until the
/// last box has it in force.
///
/// The fleet has twelve boxes in three halls: two of each hall watch the store,
/// the others learn of a change from peers.
fn configuration() -> f64 {
    let plan = Plan {
        boxes: 12,
        halls: 3,
        engines: 6,
        step_us: 5500,
    };
    let fleet = Fleet::start_with(plan, Tuning::default());
    let mut worst = Duration::ZERO;
    for generation in 2..12 {
        let began = Instant::now();
        fleet
            .apply(generation as usize % fleet.routers.len())
            .unwrap();
        fleet.wait("in force", || {
            fleet.generations().iter().all(|found| *found == generation)
        });
        worst = worst.max(began.elapsed());
    }
    worst.as_secs_f64()
}

#[test]
#[ignore = "a measure: scripts/measure recovery"]
fn recovery() {
    let mut rows = rows();
    rows.push(steward_frozen());
    let seconds = configuration();
    let line = json!({ "measure": "recovery", "faults": rows, "config_seconds_max": seconds });
    println!("{line}");
}

/// A steward is frozen for longer than its lease, while another one takes over.
fn steward_frozen() -> Value {
    let fleet = fleet(1);
    let first = fleet.steward(0);
    let version = fleet.made.document.models[0].version.clone();
    fleet.wait("the first steward's orders", || fleet.loaded(&version));
    first.freeze();
    let struck = Instant::now();
    fleet
        .apply_with(1, None, |document| {
            document.models[0].version = "next".into()
        })
        .unwrap();
    let second = fleet.steward(1);
    fleet.wait("the second steward's orders", || fleet.loaded("next"));
    let seconds = struck.elapsed().as_secs_f64();
    first.thaw();
    std::thread::sleep(Duration::from_secs(4));
    let stale = fleet.stale_orders();
    let right = fleet.loaded("next");
    drop((first, second));
    json!({
        "fault": "steward frozen past its lease",
        "lost": 0,
        "doubled": stale,
        "wrong_not_run": 0,
        "still_right": right,
        "seconds_to_full_service": (seconds * 10.0).round() / 10.0,
    })
}
