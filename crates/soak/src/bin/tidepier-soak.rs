//! Runs seeds of the fault soak; the last line is JSON.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use clap::Parser;
use eyre::{eyre, WrapErr};
use futures_lite::{future, FutureExt, StreamExt};
use serde_json::json;
use tidepier_soak::count::{Cuts, TakeUps};
use tidepier_soak::gate;
use tidepier_soak::rule::Verdict;
use tidepier_soak::run::{self, Options, Outcome};

/// Number of violations that are printed for one seed; its folder has all of them.
const PRINTED_MAX: usize = 5;

/// Runs relay processes among stand-ins, injects the faults that a seed determines, and
/// checks what clients and servers observe.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// One seed.
    #[arg(long, conflicts_with_all = ["seeds", "kept", "minutes"])]
    seed: Option<u64>,
    /// Seeds from A to B, both included.
    #[arg(long, value_name = "A..B", conflicts_with_all = ["kept", "minutes"])]
    seeds: Option<Range>,
    /// Seeds that failed before: the names of the files of a folder.
    #[arg(long, value_name = "FOLDER", conflicts_with = "minutes")]
    kept: Option<PathBuf>,
    /// Random seeds for this many minutes.
    #[arg(long)]
    minutes: Option<f64>,
    /// Also empties halls of servers.
    #[arg(long)]
    emptied_halls: bool,
    /// Also sends requests that crash the servers that run them.
    #[arg(long)]
    crashing_requests: bool,
    /// Also sends requests with a part in their prompts that crashes servers, no two alike.
    #[arg(long)]
    crashing_parts: bool,
    /// Also suspends boxes.
    #[arg(long)]
    suspensions: bool,
    /// Also has servers that announce in answers that they leave, or request a back-off.
    #[arg(long)]
    words: bool,
    /// Also restores the store from older backups.
    #[arg(long)]
    returns: bool,
    /// Also partitions some boxes from all servers.
    #[arg(long)]
    partitions: bool,
    /// Also has short outages of the store, after which servers leave.
    #[arg(long)]
    short_outages: bool,
    /// Also has servers that send second copies of their answers, rejections among them.
    #[arg(long)]
    copies: bool,
    /// Also has servers of two releases serve streams, which break off and which clients take
    /// up at any box.
    #[arg(long)]
    releases: bool,
    /// Makes most streams be about one subject, with sixteen boxes and more servers.
    #[arg(long)]
    hot_subject: bool,
    /// Also stops processes in front of plain servers, so that these stand still, before
    /// forty boxes.
    #[arg(long)]
    standstills: bool,
    /// Also has sound servers stand still beside changes of the configuration.
    #[arg(long)]
    silences: bool,
    /// Also has servers that hang, stand still, crash, fail or are slow, while boxes start again.
    #[arg(long)]
    harms: bool,
    /// Also kills all boxes at once while the servers of streams change their release.
    #[arg(long)]
    restarts: bool,
    /// Also has one box out of step while the servers of streams change their release.
    #[arg(long)]
    out_of_step: bool,
    /// Also has another writer leave odd entries in the store.
    #[arg(long)]
    odd_entries: bool,
    /// Also has clients that do not keep to the limits, servers whose answers are odd, and
    /// planned stops with requests that are whole late.
    #[arg(long)]
    misbehaving: bool,
    /// Plays each seed to its end, also after a violation.
    #[arg(long)]
    whole: bool,
    /// Keeps the logs of seeds without violations too.
    #[arg(long)]
    keep_logs: bool,
    /// Runs the process in front of the server at this address instead.
    #[arg(long, hide = true)]
    gate: Option<SocketAddr>,
    /// Number of boxes in place of the one that the seeds determine; faults affect up to
    /// the first four. There is a proxy between each two boxes, so that 60 boxes open 3,540
    /// ports.
    #[arg(long, value_parser = clap::value_parser!(u16).range(4..=80))]
    boxes: Option<u16>,
    /// Path of the relay program; by default in the folder of this one.
    #[arg(long)]
    relay: Option<PathBuf>,
    /// Folder for the logs of seeds that fail.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

#[derive(Debug, Clone, Copy)]
struct Range {
    first: u64,
    last: u64,
}

impl FromStr for Range {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let (first, last) = text
            .split_once("..")
            .ok_or_else(|| eyre!("expected a range A..B"))?;
        let last = last.strip_prefix('=').unwrap_or(last);
        Ok(Self {
            first: first.parse()?,
            last: last.parse()?,
        })
    }
}

/// The seeds to run, and the time until which new ones are started.
struct Plan {
    seeds: Box<dyn Iterator<Item = u64>>,
    until: Option<Instant>,
}

impl Plan {
    fn new(arguments: &Arguments) -> eyre::Result<Self> {
        if let Some(minutes) = arguments.minutes {
            let time = Duration::from_secs_f64(minutes.max(0.0) * 60.0);
            return Ok(Self {
                seeds: Box::new(std::iter::repeat_with(rand::random::<u64>)),
                until: Some(Instant::now() + time),
            });
        }
        if let Some(folder) = &arguments.kept {
            return Ok(Self {
                seeds: Box::new(kept_seeds(folder)?.into_iter()),
                until: None,
            });
        }
        let range = arguments.seeds.unwrap_or_else(|| {
            let seed = arguments.seed.unwrap_or_else(rand::random);
            Range {
                first: seed,
                last: seed,
            }
        });
        Ok(Self {
            seeds: Box::new(range.first..=range.last),
            until: None,
        })
    }
}

/// Reads the seeds from the file names of a folder.
fn kept_seeds(folder: &Path) -> eyre::Result<BTreeSet<u64>> {
    let mut seeds = BTreeSet::new();
    for entry in std::fs::read_dir(folder)? {
        let file = entry?.path();
        let seed = file
            .file_stem()
            .and_then(|stem| stem.to_str()?.parse().ok());
        seeds.insert(seed.ok_or_else(|| eyre!("the name of {} is not a seed", file.display()))?);
    }
    Ok(seeds)
}

fn main() -> eyre::Result<ExitCode> {
    let arguments = Arguments::parse();
    if let Some(target) = arguments.gate {
        smol::block_on(gate::run(target))?;
        return Ok(ExitCode::SUCCESS);
    }
    let relay = match &arguments.relay {
        Some(relay) => relay.clone(),
        None => std::env::current_exe()?.with_file_name("tidepier-relay"),
    };
    let relay = relay
        .canonicalize()
        .wrap_err_with(|| format!("relay program {}", relay.display()))?;
    let folder = arguments.folder.clone();
    let options = Options {
        relay,
        folder,
        emptied_halls: arguments.emptied_halls,
        crashing_requests: arguments.crashing_requests,
        crashing_parts: arguments.crashing_parts,
        suspensions: arguments.suspensions,
        words: arguments.words,
        returns: arguments.returns,
        partitions: arguments.partitions,
        short_outages: arguments.short_outages,
        copies: arguments.copies,
        releases: arguments.releases,
        hot_subject: arguments.hot_subject,
        standstills: arguments.standstills,
        silences: arguments.silences,
        harms: arguments.harms,
        restarts: arguments.restarts,
        out_of_step: arguments.out_of_step,
        odd_entries: arguments.odd_entries,
        misbehaving: arguments.misbehaving,
        whole: arguments.whole,
        keep_logs: arguments.keep_logs,
        boxes: arguments.boxes.map(usize::from),
    };
    let plan = Plan::new(&arguments)?;
    let mut outcomes = Vec::new();
    let mut not_run = 0;
    for seed in plan.seeds {
        // A seed that was started in time is run to its end.
        if plan.until.is_some_and(|until| Instant::now() >= until) {
            break;
        }
        println!("seed {seed}");
        let finished = async { Some(run::seed(seed, &options).await) };
        match smol::block_on(finished.or(interrupted())) {
            Some(Ok(outcome)) => {
                print(&outcome, &options);
                outcomes.push(outcome);
            }
            Some(Err(error)) => {
                not_run += 1;
                println!("seed {seed} could not be run: {error:#}");
            }
            None => break,
        }
    }
    println!("{}", summary(&outcomes, not_run));
    let failed = |outcome: &Outcome| !outcome.verdict.violations.is_empty();
    Ok(match not_run > 0 || outcomes.iter().any(failed) {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    })
}

/// Waits until the soak is told to stop; its processes then end with it.
async fn interrupted<T>() -> Option<T> {
    match Signals::new([Signal::Int, Signal::Term]) {
        Ok(mut signals) => signals.next().await.and(None),
        Err(error) => {
            eprintln!("cannot install signal handlers: {error}");
            future::pending().await
        }
    }
}

fn print(outcome: &Outcome, options: &Options) {
    let Outcome {
        seed,
        requests,
        latencies,
        verdict,
        duration,
        ..
    } = outcome;
    let served = latencies.len();
    let faults: u64 = outcome.faults.values().sum();
    let left_out = left_out([verdict].into_iter());
    println!(
        "seed {seed}: {} violations, {faults} faults, {served} of {requests} served, \
         median {} ms, 99 of 100 within {} ms, left out {left_out:?}, {:.1} s",
        verdict.violations.len(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        duration.as_secs_f64(),
    );
    let Outcome { cuts, take_ups, .. } = outcome;
    println!("  cuts {}, taken up {}", cuts.to_json(), take_ups.to_json());
    for violation in verdict.violations.iter().take(PRINTED_MAX) {
        println!("  {violation}");
    }
    if !verdict.violations.is_empty() {
        let folder = options.folder.join(format!("seed-{seed}"));
        println!("  logs in {}", folder.display());
    }
}

/// Number of checks that were left out, by rule.
fn left_out<'a>(verdicts: impl Iterator<Item = &'a Verdict>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (rule, ids) in verdicts.flat_map(|verdict| &verdict.left_out) {
        *counts.entry(rule.to_string()).or_insert(0) += ids.len();
    }
    counts
}

fn summary(outcomes: &[Outcome], not_run: u64) -> serde_json::Value {
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    for (name, count) in outcomes.iter().flat_map(|outcome| &outcome.faults) {
        *faults.entry(name).or_insert(0) += count;
    }
    let verdicts = || outcomes.iter().map(|outcome| &outcome.verdict);
    json!({
        "soak_seeds": outcomes.len(),
        "faults": faults,
        "requests": outcomes.iter().map(|outcome| outcome.requests).sum::<u64>(),
        "cuts": outcomes.iter().map(|outcome| outcome.cuts).sum::<Cuts>().to_json(),
        "taken_up": outcomes.iter().map(|outcome| outcome.take_ups).sum::<TakeUps>().to_json(),
        "violations": run::count_by_rule(verdicts()),
        "left_out": left_out(verdicts()),
        "not_run": not_run,
    })
}
