//! One seed from its start to its verdict.
//!
//! A run ends at its first violation, or after: a calm beginning, the schedule,
//! the return of service, and a calm end without load.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io};

use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use smol::{Task, Timer};

use crate::evidence::Evidence;
use crate::fleet::Fleet;
use crate::ledger::Fact;
use crate::load::Load;
use crate::process::Level;
use crate::rule::{Rule, Verdict};
use crate::schedule::Schedule;
use crate::{bound, pulse, rule};

/// Calm before the first fault.
const WARM_UP: Duration = Duration::from_secs(2);
/// Calm after service is back: the window of the load's rule and a little.
const CLOSING: Duration = Duration::from_millis(6_500);
/// Time between two judgements.
const JUDGE: Duration = Duration::from_secs(1);
/// Time between two checks of a condition that is waited for.
const LOOK: Duration = Duration::from_millis(100);
/// Successes in a row after which a box serves again: more than one of each
/// kind of request.
const SERVED: usize = 12;
/// Time for a process to give back what it held, once the load is over: its
/// idle connections to servers end before.
const SETTLE: Duration = Duration::from_secs(8);
/// Memory that a process may hold beyond its beginning, in kB: buffers and
/// records of a fleet of this size, and what an allocator keeps.
const MEMORY_KB: u64 = 24 << 10;
/// Descriptors that a process may hold beyond its beginning: kept connections
/// to servers and boxes that came later.
const DESCRIPTORS: u64 = 48;
/// Boxes whose questions that covers.
const FEW_BOXES: usize = 4;

/// Longest time that a histogram holds, in ms: beyond a client's patience.
const TIME_MAX_MS: u64 = 10_000;

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// Faults that were carried out, by name.
    pub faults: BTreeMap<String, u64>,
    /// Requests that were sent.
    pub requests: u64,
    /// Times of served requests, in ms.
    pub times: Histogram<u64>,
    /// What the rules found.
    pub verdict: Verdict,
    /// How long it took.
    pub took: Duration,
}

/// Where a run finds its program and leaves its files.
#[derive(Debug, Clone)]
pub struct Place {
    /// The relay's program.
    pub relay: PathBuf,
    /// Folder for settings and logs; removed after a run without findings.
    pub folder: PathBuf,
    /// Whether halls of servers are emptied beside what the seed decides.
    pub emptied_halls: bool,
    /// Whether requests end their servers beside it.
    pub crashing_requests: bool,
    /// Whether machines are suspended beside it.
    pub suspensions: bool,
    /// Whether servers say in answers that they leave, or ask for rest, beside it.
    pub words: bool,
    /// Whether the store goes back to copies of itself beside it.
    pub returns: bool,
    /// How many boxes there are in place of what the seed decides.
    pub boxes: Option<usize>,
}

/// Runs one seed.
///
/// # Errors
///
/// The fleet could not be started or handled; this says nothing of its rules.
pub async fn seed(seed: u64, place: &Place) -> eyre::Result<Outcome> {
    let mut schedule = Schedule::new(seed);
    if place.emptied_halls {
        schedule = schedule.with_emptied_halls();
    }
    if place.crashing_requests {
        schedule = schedule.with_crashing_requests();
    }
    if place.suspensions {
        schedule = schedule.with_suspensions();
    }
    if place.words {
        schedule = schedule.with_words();
    }
    if place.returns {
        schedule = schedule.with_returns();
    }
    if let Some(boxes) = place.boxes {
        schedule = schedule.with_boxes(boxes);
    }
    let folder = place.folder.join(format!("seed-{seed}"));
    clear(&folder)?;
    fs::create_dir_all(&folder)?;
    fs::write(folder.join("schedule.txt"), format!("{schedule:#?}\n"))?;
    let begun = Instant::now();
    let fleet = Fleet::start(&schedule, &place.relay, &folder).await?;
    let judged = judge_often(fleet.clone(), begun);
    let played = async {
        play(&fleet, &schedule).await?;
        Ok(Verdict::new(&Evidence::gather(
            &fleet.ledger,
            begun,
            || fleet.seen(),
        )))
    };
    let verdict = played.or(judged).await?;
    let evidence = Evidence::gather(&fleet.ledger, begun, || fleet.seen());
    let outcome = Outcome {
        seed,
        faults: fleet.ledger.faults(),
        requests: evidence.attempts.len() as u64,
        times: times(&evidence)?,
        verdict,
        took: begun.elapsed(),
    };
    drop(fleet);
    if outcome.verdict.violations.is_empty() {
        clear(&folder)?;
    } else {
        keep(&folder, &evidence, &outcome.verdict)?;
    }
    Ok(outcome)
}

fn clear(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Judges while the run goes on; ends with the first violation.
async fn judge_often(fleet: Arc<Fleet>, begun: Instant) -> eyre::Result<Verdict> {
    loop {
        Timer::after(JUDGE).await;
        fleet.restart_ended()?;
        let evidence = Evidence::gather(&fleet.ledger, begun, || fleet.seen());
        let verdict = smol::unblock(move || Verdict::new(&evidence)).await;
        if !verdict.violations.is_empty() {
            return Ok(verdict);
        }
    }
}

async fn play(fleet: &Arc<Fleet>, schedule: &Schedule) -> eyre::Result<()> {
    let _watch = smol::spawn(pulse::watch(fleet.clone()));
    let _sample = smol::spawn(fleet.clone().sample());
    let _copies = smol::spawn(fleet.clone().keep_copies());
    let load = Load::start(fleet, schedule.seed);
    Timer::after(WARM_UP).await;
    let levels: Vec<_> = (0..fleet.boxes()).map(|place| fleet.level(place)).collect();
    let start = Instant::now();
    let mut steps: Vec<Task<eyre::Result<()>>> = Vec::new();
    for step in &schedule.steps {
        Timer::at(start + step.at).await;
        steps.push(smol::spawn(fleet.clone().carry_out(*step)));
    }
    for step in steps {
        step.await?;
    }
    return_of_service(fleet).await;
    Timer::after(CLOSING).await;
    load.finish().await;
    growth(fleet, &levels).await;
    Ok(())
}

/// Waits until each box serves again, or its time is over.
async fn return_of_service(fleet: &Fleet) {
    let mended = Instant::now();
    let mut waiting: Vec<usize> = (0..fleet.boxes()).collect();
    while !waiting.is_empty() {
        Timer::after(LOOK).await;
        waiting.retain(|place| {
            let recent = fleet.ledger.recent(*place, mended);
            let row = recent.iter().take_while(|served| **served).count();
            row < SERVED
        });
        if mended.elapsed() > bound::RECOVER {
            for place in waiting {
                fleet.ledger.fact(Fact::StillDown(place));
            }
            return;
        }
    }
}

/// Compares what processes hold with what they held before the faults.
async fn growth(fleet: &Fleet, before: &[Option<Level>]) {
    let start = Instant::now();
    loop {
        let places = before.iter().enumerate();
        let grown = places.filter_map(|(place, before)| {
            let what = grown((*before)?, fleet.level(place)?, fleet.boxes())?;
            Some((place, what))
        });
        let grown: Vec<(usize, String)> = grown.collect();
        if grown.is_empty() {
            return;
        }
        if start.elapsed() > SETTLE {
            for (place, what) in grown {
                fleet.ledger.fact(Fact::Grown(place, what));
            }
            return;
        }
        Timer::after(LOOK).await;
    }
}

/// How a process has grown beyond what it may hold; `None`: it has not. A box that the
/// others ask since the faults has two connections of each.
fn grown(before: Level, now: Level, boxes: usize) -> Option<String> {
    let asking = 2 * boxes.saturating_sub(FEW_BOXES) as u64;
    let within = now.memory_kb <= before.memory_kb + MEMORY_KB
        && now.descriptors <= before.descriptors + DESCRIPTORS + asking
        && now.threads <= before.threads;
    (!within).then(|| format!("{before:?} grew to {now:?}"))
}

/// Times of the served requests, in ms.
fn times(evidence: &Evidence) -> eyre::Result<Histogram<u64>> {
    let mut times = Histogram::new_with_max(TIME_MAX_MS, 2)?;
    let served = evidence.attempts.iter().filter(|attempt| attempt.served());
    for answer in served.filter_map(|attempt| attempt.answer.as_ref()) {
        times.saturating_record(answer.elapsed.as_millis() as u64);
    }
    Ok(times)
}

/// Leaves what a reader of a failure needs beside the boxes' logs.
fn keep(folder: &Path, evidence: &Evidence, verdict: &Verdict) -> io::Result<()> {
    let since = |at: Instant| at.saturating_duration_since(evidence.begun).as_secs_f64();
    let mut lines = timeline(evidence);
    lines.sort_by_key(|(at, _)| *at);
    let told = lines
        .into_iter()
        .map(|(at, line)| format!("{:9.3} {line}\n", since(at)));
    fs::write(folder.join("timeline.txt"), told.collect::<String>())?;
    let findings = verdict.violations.iter().map(|found| format!("{found}\n"));
    fs::write(folder.join("violations.txt"), findings.collect::<String>())
}

/// What was done and seen, with its moments, in no order.
fn timeline(evidence: &Evidence) -> Vec<(Instant, String)> {
    let mut lines: Vec<(Instant, String)> = Vec::new();
    for found in &evidence.disturbances {
        let place = found.place;
        lines.push((found.from, format!("begin {} {place:?}", found.name)));
        if let Some(to) = found.to {
            lines.push((to, format!("end {} {place:?}", found.name)));
        }
    }
    for (at, fact) in &evidence.facts {
        lines.push((*at, format!("{fact:?}")));
    }
    for attempt in &evidence.attempts {
        let text = rule::told(attempt);
        lines.push((attempt.sent, format!("sent {text}")));
        for seen in evidence.seen(attempt) {
            let (id, run) = (&seen.server.id, &seen.run);
            let text = format!("reached {id} {} {:?}", run.attempt, run.outcome);
            lines.push((run.arrived, text));
        }
    }
    lines
}

/// The number of violations by rule; all rules are named.
pub fn count<'a>(verdicts: impl Iterator<Item = &'a Verdict>) -> BTreeMap<String, u64> {
    let mut counts: BTreeMap<String, u64> =
        Rule::ALL.iter().map(|rule| (rule.to_string(), 0)).collect();
    for violation in verdicts.flat_map(|verdict| &verdict.violations) {
        *counts.entry(violation.rule.to_string()).or_insert(0) += 1;
    }
    counts
}
