//! Prompt parts that crash the servers that begin to answer on them, whatever else the
//! requests hold.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use eyre::ensure;
use smol::Timer;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::names;

use crate::box_harness::TestBox;
use crate::crash_harness::{fleet, request, with_replacements, Servers, GRACE_PERIOD};
use crate::harness::{ms, run, Executor, Result};

/// The part that all requests share, and those that crash servers.
const COMMON: u64 = 0xc0;
const CRASHING: u64 = 0xbad;
const ALSO_CRASHING: u64 = 0xbad2;
/// Subjects of sound requests; some are rare.
const SUBJECTS: u64 = 12;
/// Crashes under a part after which its requests have to stop within the grace period.
const CRASHES: usize = 5;
/// Requests with such a part that may reach servers later, from all boxes together.
const LATE_MAX: usize = 3;
/// Pauses between two requests with such a part and between two sound ones.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
const SOUND_INTERVAL: Duration = Duration::from_millis(25);

/// A request whose prompt holds these shared parts and one of its own; no two are alike.
fn call(number: usize, parts: &[u64]) -> Call {
    let shared: Vec<String> = parts.iter().map(|part| format!("{part:x}:100")).collect();
    let attempt = format!("{}-{number}", shared.join("-"));
    let own = 0x1_0000 + number as u64;
    let prompt = format!("{},{own:x}:20", shared.join(","));
    request("/o/x", &attempt, attempt.as_bytes()).with(names::PROMPT, &prompt)
}

/// First tries of sound requests.
#[derive(Default)]
struct Tries {
    /// When each was sent, and whether it was served.
    all: RefCell<Vec<(Instant, bool)>>,
    /// How many were refused for a part.
    refused: Cell<usize>,
}

impl Tries {
    /// The share of those sent within a time span that was served, and how many there were.
    fn share(&self, from: Instant, to: Instant) -> (f64, usize) {
        let all = self.all.borrow();
        let these: Vec<bool> = all
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .map(|(_, served)| *served)
            .collect();
        let served = these.iter().filter(|served| **served).count();
        (served as f64 / these.len().max(1) as f64, these.len())
    }
}

/// Sends sound requests until the test ends, several at a time.
async fn send_sound(
    executor: &Executor,
    boxes: &[TestBox],
    tries: &std::rc::Rc<Tries>,
) -> Result<std::convert::Infallible> {
    for number in 0.. {
        let subject = 0x100 + (number as u64 * number as u64) % SUBJECTS;
        let call = call(number, &[COMMON, subject]);
        let address = boxes[number % boxes.len()].router.client_address();
        let tries = tries.clone();
        let sending = async move {
            let sent = Instant::now();
            let answer = tidepier_relay_standin::Client::once(address, &call).await;
            let (mut served, mut refused) = (false, false);
            if let Ok(answer) = answer {
                served = answer.status == 200 && answer.complete;
                refused = answer.body.ends_with(b"\"crashing_part\"}");
            }
            tries.all.borrow_mut().push((sent, served));
            tries
                .refused
                .set(tries.refused.get() + usize::from(refused));
        };
        executor.spawn(sending).detach();
        Timer::after(SOUND_INTERVAL).await;
    }
    unreachable!("there are more numbers than time")
}

/// Checks that a part crashed servers, and that few requests with it came after all boxes
/// have to know.
fn ensure_refused(servers: &Servers, part: u64) -> Result {
    let crashes = servers.all_crashes();
    ensure!(
        !crashes.is_empty(),
        "the case did not arise: no server crashed"
    );
    let arrivals = servers.arrivals_of_part(part);
    let Some(fifth) = crashes.get(CRASHES - 1) else {
        return Ok(());
    };
    let late = arrivals.iter().filter(|at| **at > *fifth + GRACE_PERIOD);
    let late = late.count();
    ensure!(
        late <= LATE_MAX,
        "{late} late requests with {part:x}, {} servers crashed",
        crashes.len()
    );
    Ok(())
}

/// Sends sound requests alone for a while, then beside ones with crashing parts; checks
/// that the parts are refused and that sound requests go on.
fn parts_are_refused(crashing: &'static [&'static [u64]], bad: &'static [u64]) -> Result {
    run(async |executor| {
        let (site, servers, boxes) = fleet(&executor, &[]).await?;
        bad.iter().for_each(|part| servers.crash_on_part(*part));
        let tries = std::rc::Rc::new(Tries::default());
        let began = Cell::new(None);
        let scenario = async {
            Timer::after(ms(1_500)).await;
            began.set(Some(Instant::now()));
            let sends = crashing
                .iter()
                .map(|parts| executor.spawn(send_all(&boxes, parts)));
            for sending in sends.collect::<Vec<_>>() {
                sending.await?;
            }
            Ok(())
        };
        let sound = async { Err(send_sound(&executor, &boxes, &tries).await.unwrap_err()) };
        let all = futures_lite::future::or(scenario, sound);
        with_replacements(&servers, &site, all).await?;
        bad.iter()
            .try_for_each(|part| ensure_refused(&servers, *part))?;
        let began = began.get().unwrap_or_else(Instant::now);
        let last = servers.all_crashes();
        let last = last
            .get(CRASHES - 1)
            .or(last.last())
            .copied()
            .unwrap_or(began);
        let (before, sent) = tries.share(began - ms(1_500), began);
        let (after, later) = tries.share(last + 2 * GRACE_PERIOD, Instant::now() - ms(300));
        ensure!(
            sent >= 20 && later >= 20,
            "{sent} and {later} sound requests"
        );
        ensure!(
            after * 2.0 >= before,
            "{after} of the sound requests served, {before} before"
        );
        Ok(())
    })
}

/// Requests with these parts for as long as a test takes.
fn send_all(
    boxes: &[TestBox],
    parts: &'static [u64],
) -> impl std::future::Future<Output = Result> + 'static {
    let addresses: Vec<_> = boxes.iter().map(|it| it.router.client_address()).collect();
    async move {
        let start = Instant::now();
        for number in 0.. {
            if start.elapsed() > ms(12_000) {
                break;
            }
            let call = call(1_000_000 + number, parts);
            let address = addresses[number % addresses.len()];
            let answered = tidepier_relay_standin::Client::once(address, &call);
            let pause = async {
                Timer::after(CRASHING_INTERVAL).await;
                None
            };
            futures_lite::future::or(async { Some(answered.await.ok()) }, pause).await;
            Timer::after(CRASHING_INTERVAL).await;
        }
        Ok(())
    }
}

/// Guards against parts that are refused as servers crash for other reasons: some at once, as
/// in a rack that fails, then one after the other.
#[test]
fn parts_are_served_though_servers_crash_by_themselves() -> Result {
    run(async |executor| {
        let (site, servers, boxes) = fleet(&executor, &[]).await?;
        let tries = std::rc::Rc::new(Tries::default());
        let scenario = async {
            Timer::after(ms(1_000)).await;
            servers.crash_some(4);
            for _ in 0..12 {
                Timer::after(ms(500)).await;
                servers.crash_some(1);
            }
            Timer::after(ms(1_000)).await;
            Ok(())
        };
        let sound = async { Err(send_sound(&executor, &boxes, &tries).await.unwrap_err()) };
        let all = futures_lite::future::or(scenario, sound);
        with_replacements(&servers, &site, all).await?;
        ensure!(servers.all_crashes().len() >= 12, "the case did not arise");
        let (refused, sent) = (tries.refused.get(), tries.all.borrow().len());
        ensure!(refused == 0, "{refused} of {sent} refused for a part");
        Ok(())
    })
}

/// Guards against servers that crash one after the other under requests of which no two are
/// alike.
#[test]
fn a_part_that_crashes_servers_is_forwarded_no_more() -> Result {
    parts_are_refused(&[&[COMMON, CRASHING]], &[CRASHING])
}

/// Guards against a part that is found only where it is the last shared one.
#[test]
fn a_part_among_others_that_crashes_servers_is_forwarded_no_more() -> Result {
    parts_are_refused(&[&[COMMON, CRASHING, 0x101]], &[CRASHING])
}

/// Guards against two parts that hide each other.
#[test]
fn two_parts_that_crash_servers_are_forwarded_no_more() -> Result {
    parts_are_refused(
        &[&[COMMON, CRASHING], &[COMMON, ALSO_CRASHING]],
        &[CRASHING, ALSO_CRASHING],
    )
}
