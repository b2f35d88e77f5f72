//! Runs one seed from start to verdict.
//!
//! A run ends at its first violation. Otherwise it consists of a calm beginning, the
//! schedule, the wait until all boxes serve again, and a calm end without load.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io};

use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use smol::{Task, Timer};
use tidepier_relay_standin::server::Odd;

use crate::count::{Cuts, TakeUps};
use crate::evidence::Evidence;
use crate::fleet::Fleet;
use crate::ledger::Fact;
use crate::load::Load;
use crate::process::Level;
use crate::rule::{Rule, Verdict};
use crate::schedule::Schedule;
use crate::{bound, delay_monitor, rule};

/// Time without faults before the schedule.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time without faults after all boxes serve again: the window of the load rule and a
/// margin.
const FINAL_CALM: Duration = Duration::from_millis(6_500);
/// Time between two evaluations of the rules.
const JUDGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive successes after which a box counts as serving again: more than one of each
/// kind of request.
const SUCCESSES_MIN: usize = 12;
/// Time for a process to release resources after the load has stopped: longer than its idle
/// connections to servers are kept.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Bound on the growth of the memory of a process, in kB: buffers and records for a fleet
/// of this size, and what the allocator retains.
const MEMORY_GROWTH_MAX_KB: u64 = 24 << 10;
/// Bound on the growth of the descriptors of a process: kept connections to servers and
/// boxes that were added later.
const DESCRIPTOR_GROWTH_MAX: u64 = 48;
/// Number of boxes whose peer connections this bound covers.
const COVERED_BOXES: usize = 4;

/// Boxes that get a large request at the end, at most: those that faults affect.
const LARGE_REQUEST_BOXES: usize = 4;
/// Largest latency that the histogram holds, in ms: more than the time-out of a client.
const LATENCY_MAX_MS: u64 = 10_000;

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The seed of the run.
    pub seed: u64,
    /// Number of faults that were carried out, by name.
    pub faults: BTreeMap<String, u64>,
    /// Number of requests sent.
    pub requests: u64,
    /// Latencies of the requests that were served, in ms.
    pub latencies: Histogram<u64>,
    /// Answers that boxes cut.
    pub cuts: Cuts,
    /// Streams that clients took up.
    pub take_ups: TakeUps,
    /// The findings of the rules.
    pub verdict: Verdict,
    /// Duration of the run.
    pub duration: Duration,
}

/// The program, the folder and the additional faults of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the relay program.
    pub relay: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Whether halls of servers are emptied in addition to the faults of the seed.
    pub emptied_halls: bool,
    /// Whether requests crash servers in addition.
    pub crashing_requests: bool,
    /// Whether parts of prompts crash servers in addition.
    pub crashing_parts: bool,
    /// Whether boxes are suspended in addition.
    pub suspensions: bool,
    /// Whether servers announce in answers that they leave, or request back-offs, in
    /// addition.
    pub words: bool,
    /// Whether the store is restored from backups in addition.
    pub returns: bool,
    /// Whether some boxes are partitioned from all servers in addition.
    pub partitions: bool,
    /// Whether the store has short outages in addition, after which servers leave.
    pub short_outages: bool,
    /// Whether servers send second copies of their answers in addition.
    pub copies: bool,
    /// Whether the servers of streams run two releases, and clients take streams up.
    pub releases: bool,
    /// Whether most streams are about one subject, before more boxes and servers.
    pub hot_subject: bool,
    /// Whether plain servers stand still in addition, before more boxes.
    pub standstills: bool,
    /// Whether servers stand still beside changes of the configuration in addition.
    pub silences: bool,
    /// Whether servers are harmed together beside restarts of boxes in addition.
    pub harms: bool,
    /// Whether all boxes are killed at once beside rollouts of releases in addition.
    pub restarts: bool,
    /// Whether a box is out of step beside rollouts of releases in addition.
    pub out_of_step: bool,
    /// Whether another writer leaves odd entries in the store in addition.
    pub odd_entries: bool,
    /// Whether clients and servers misbehave, beside planned stops, in addition.
    pub misbehaving: bool,
    /// Whether a run goes on after a violation.
    pub whole: bool,
    /// Whether the logs of runs without violations are kept.
    pub keep_logs: bool,
    /// Number of boxes in place of the one that the seed determines.
    pub boxes: Option<usize>,
}

/// Runs one seed.
///
/// # Errors
///
/// The fleet cannot be started or controlled. This does not count as a violation.
pub async fn seed(seed: u64, options: &Options) -> eyre::Result<Outcome> {
    let mut schedule = Schedule::new(seed);
    if options.emptied_halls {
        schedule = schedule.with_emptied_halls();
    }
    if options.crashing_requests {
        schedule = schedule.with_crashing_requests();
    }
    if options.crashing_parts {
        schedule = schedule.with_crashing_parts();
    }
    if options.suspensions {
        schedule = schedule.with_suspensions();
    }
    if options.words {
        schedule = schedule.with_words();
    }
    if options.returns {
        schedule = schedule.with_returns();
    }
    if options.partitions {
        schedule = schedule.with_partitions();
    }
    if options.short_outages {
        schedule = schedule.with_short_outages();
    }
    if options.copies {
        schedule = schedule.with_copies();
    }
    if options.releases {
        schedule = schedule.with_releases();
    }
    if options.hot_subject {
        schedule = schedule.with_hot_subject();
    }
    if options.standstills {
        schedule = schedule.with_standstills();
    }
    if options.silences {
        schedule = schedule.with_silences();
    }
    if options.harms {
        schedule = schedule.with_harms();
    }
    if options.restarts {
        schedule = schedule.with_restarts();
    }
    if options.out_of_step {
        schedule = schedule.with_boxes_out_of_step();
    }
    if options.odd_entries {
        schedule = schedule.with_odd_entries();
    }
    if options.misbehaving {
        schedule = schedule.with_misbehaving();
    }
    if let Some(boxes) = options.boxes {
        schedule = schedule.with_boxes(boxes);
    }
    let folder = options.folder.join(format!("seed-{seed}"));
    clear(&folder)?;
    fs::create_dir_all(&folder)?;
    fs::write(folder.join("schedule.txt"), format!("{schedule:#?}\n"))?;
    let started = Instant::now();
    let fleet = Fleet::start(&schedule, &options.relay, &folder).await?;
    let judged = judge_periodically(fleet.clone(), started, options.whole);
    let finished = async {
        run_schedule(&fleet, &schedule).await?;
        Ok(Verdict::new(&Evidence::gather(
            &fleet.ledger,
            started,
            || fleet.deliveries(),
        )))
    };
    let verdict = finished.or(judged).await?;
    let evidence = Evidence::gather(&fleet.ledger, started, || fleet.deliveries());
    let outcome = Outcome {
        seed,
        faults: fleet.ledger.faults(),
        requests: evidence.requests.len() as u64,
        latencies: latencies(&evidence)?,
        cuts: Cuts::new(&evidence),
        take_ups: TakeUps::new(&evidence),
        verdict,
        duration: started.elapsed(),
    };
    drop(fleet);
    if outcome.verdict.violations.is_empty() && !options.keep_logs {
        clear(&folder)?;
    } else {
        write_findings(&folder, &evidence, &outcome.verdict)?;
    }
    Ok(outcome)
}

fn clear(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Evaluates the rules while the run goes on; returns at the first violation, or never if
/// the run is to be `whole`.
async fn judge_periodically(
    fleet: Arc<Fleet>,
    started: Instant,
    whole: bool,
) -> eyre::Result<Verdict> {
    loop {
        Timer::after(JUDGE_INTERVAL).await;
        fleet.restart_ended()?;
        if whole {
            continue;
        }
        let evidence = Evidence::gather(&fleet.ledger, started, || fleet.deliveries());
        let verdict = smol::unblock(move || Verdict::new(&evidence)).await;
        if !verdict.violations.is_empty() {
            return Ok(verdict);
        }
    }
}

async fn run_schedule(fleet: &Arc<Fleet>, schedule: &Schedule) -> eyre::Result<()> {
    let _monitor = smol::spawn(delay_monitor::watch(fleet.clone()));
    let _samples = smol::spawn(fleet.clone().sample_loads());
    let _limits = smol::spawn(fleet.clone().watch_limits());
    let _backups = smol::spawn(fleet.clone().keep_backups());
    let load = Load::start(fleet, schedule);
    Timer::after(WARM_UP).await;
    let levels: Vec<_> = (0..fleet.box_count())
        .map(|box_index| fleet.level(box_index))
        .collect();
    let start = Instant::now();
    let mut steps: Vec<Task<eyre::Result<()>>> = Vec::new();
    for step in &schedule.steps {
        Timer::at(start + step.at).await;
        steps.push(smol::spawn(fleet.clone().carry_out(*step)));
    }
    for step in steps {
        step.await?;
    }
    wait_for_recovery(fleet).await;
    Timer::after(FINAL_CALM).await;
    load.finish().await;
    if schedule.misbehaving {
        fleet.send_large_requests(LARGE_REQUEST_BOXES).await;
    }
    record_growth(fleet, &levels).await;
    Ok(())
}

/// Waits until each box serves again, or records those that do not in time.
async fn wait_for_recovery(fleet: &Fleet) {
    let faults_ended = Instant::now();
    let mut waiting: Vec<usize> = (0..fleet.box_count()).collect();
    while !waiting.is_empty() {
        Timer::after(POLL_INTERVAL).await;
        waiting.retain(|box_index| {
            let recent = fleet.ledger.recent_results(*box_index, faults_ended);
            let in_a_row = recent.iter().take_while(|served| **served).count();
            in_a_row < SUCCESSES_MIN
        });
        if faults_ended.elapsed() > bound::RECOVERY_TIMEOUT {
            for box_index in waiting {
                fleet.ledger.record_fact(Fact::StillDown(box_index));
            }
            return;
        }
    }
}

/// Waits until the processes hold no more resources than they may beyond those before the
/// faults, or records the excess.
async fn record_growth(fleet: &Fleet, before: &[Option<Level>]) {
    let start = Instant::now();
    loop {
        let boxes = before.iter().enumerate();
        let grown = boxes.filter_map(|(box_index, before)| {
            let what =
                growth_beyond_limits((*before)?, fleet.level(box_index)?, fleet.box_count())?;
            Some((box_index, what))
        });
        let grown: Vec<(usize, String)> = grown.collect();
        if grown.is_empty() {
            return;
        }
        if start.elapsed() > SETTLE_TIMEOUT {
            for (box_index, what) in grown {
                fleet.ledger.record_fact(Fact::Grown(box_index, what));
            }
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Describes how a process has grown beyond the bounds; `None` if it has not. A box that
/// all others began to follow during the faults has two connections from each of them.
fn growth_beyond_limits(before: Level, now: Level, boxes: usize) -> Option<String> {
    let peer_connections = 2 * boxes.saturating_sub(COVERED_BOXES) as u64;
    let within = now.memory_kb <= before.memory_kb + MEMORY_GROWTH_MAX_KB
        && now.descriptors <= before.descriptors + DESCRIPTOR_GROWTH_MAX + peer_connections
        && now.threads <= before.threads;
    (!within).then(|| format!("{before:?} grew to {now:?}"))
}

/// Latencies of the served requests, in ms.
fn latencies(evidence: &Evidence) -> eyre::Result<Histogram<u64>> {
    let mut latencies = Histogram::new_with_max(LATENCY_MAX_MS, 2)?;
    let served = evidence.requests.iter().filter(|request| request.served());
    for answer in served.filter_map(|request| request.answer.as_ref()) {
        latencies.saturating_record(answer.elapsed.as_millis() as u64);
    }
    Ok(latencies)
}

/// Writes the files that are needed to analyse a failure, beside the logs of the boxes.
fn write_findings(folder: &Path, evidence: &Evidence, verdict: &Verdict) -> io::Result<()> {
    let since = |at: Instant| at.saturating_duration_since(evidence.started).as_secs_f64();
    let mut lines = timeline(evidence);
    lines.sort_by_key(|(at, _)| *at);
    let text = lines
        .into_iter()
        .map(|(at, line)| format!("{:9.3} {line}\n", since(at)));
    fs::write(folder.join("timeline.txt"), text.collect::<String>())?;
    let findings = verdict.violations.iter().map(|found| format!("{found}\n"));
    fs::write(folder.join("violations.txt"), findings.collect::<String>())
}

/// Lists what was done and observed with its time, in no particular order.
fn timeline(evidence: &Evidence) -> Vec<(Instant, String)> {
    let mut lines: Vec<(Instant, String)> = Vec::new();
    for found in &evidence.disturbances {
        let scope = found.scope;
        lines.push((found.from, format!("begin {} {scope:?}", found.name)));
        if let Some(to) = found.to {
            lines.push((to, format!("end {} {scope:?}", found.name)));
        }
    }
    for (at, fact) in &evidence.facts {
        lines.push((*at, format!("{fact:?}")));
    }
    for request in &evidence.requests {
        let text = rule::describe(request);
        lines.push((request.sent, format!("sent {text}")));
        for delivery in evidence.deliveries(request) {
            let (id, run) = (&delivery.server.id, &delivery.run);
            let odd = run.odd.map_or("", Odd::name);
            let text = format!("reached {id} {} {:?} {odd}", run.attempt, run.outcome);
            lines.push((run.arrived, text));
        }
    }
    lines
}

/// Number of violations of each rule, also of those without any.
pub fn count_by_rule<'a>(verdicts: impl Iterator<Item = &'a Verdict>) -> BTreeMap<String, u64> {
    let mut counts: BTreeMap<String, u64> =
        Rule::ALL.iter().map(|rule| (rule.to_string(), 0)).collect();
    for violation in verdicts.flat_map(|verdict| &verdict.violations) {
        *counts.entry(violation.rule.to_string()).or_insert(0) += 1;
    }
    counts
}
