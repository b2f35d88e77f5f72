//! `tidepier-load report`: combines the files of a measure into its JSON line.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use eyre::WrapErr;
use serde::de::DeserializeOwned;
use serde_json::{json, Map, Value};

use super::claims::Line as Claims;
use super::control::Cost;
use super::decide::Line as Decisions;
use super::run::Phases;
use crate::tally::Summary;

/// Policies; the first is the router's own, the others are compared with it.
const POLICIES: [&str; 4] = ["tidepier", "random", "least_loaded", "hash"];
/// Seeds of each measure.
const SEEDS: [u32; 3] = [1, 2, 3];
/// Boxes of the target.
const TARGET_BOXES: f64 = 350.0;
/// Requests per second and box at the target.
const TARGET_REQUESTS: f64 = 20.0;
/// Engines at the target.
const TARGET_ENGINES: f64 = 900.0;

/// Which measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Measure {
    /// Cache reuse.
    Reuse,
    /// Skew.
    Skew,
    /// Accounts.
    Limits,
    /// Cost of control.
    Control,
}

/// Puts the files of a measure together into its line.
#[derive(clap::Args)]
pub struct Command {
    /// The measure.
    #[arg(value_enum)]
    measure: Measure,
    /// Where its files are.
    #[arg(long)]
    dir: PathBuf,
}

impl Command {
    /// Prints the line.
    ///
    /// # Errors
    ///
    /// A file is missing or cannot be read.
    pub fn execute(&self) -> eyre::Result<()> {
        let line = match self.measure {
            Measure::Reuse => self.reuse()?,
            Measure::Skew => self.skew()?,
            Measure::Limits => self.limits()?,
            Measure::Control => self.control()?,
        };
        println!("{line}");
        Ok(())
    }

    fn read<T: DeserializeOwned>(&self, name: &str) -> eyre::Result<T> {
        let path = self.dir.join(format!("{name}.json"));
        let text =
            fs::read_to_string(&path).wrap_err_with(|| format!("reading {}", path.display()))?;
        serde_json::from_str(&text).wrap_err_with(|| format!("reading {}", path.display()))
    }

    /// The runs of a policy, one for each seed.
    fn runs(&self, policy: &str) -> eyre::Result<Vec<Phases>> {
        SEEDS
            .iter()
            .map(|seed| self.read(&format!("{policy}-{seed}")))
            .collect()
    }

    fn reuse(&self) -> eyre::Result<Value> {
        let mut steady = Map::new();
        let mut churn = Map::new();
        let mut first = Map::new();
        let (mut best, mut best_churn, mut moves) = (0.0, 0.0, Vec::new());
        let mut lost = 0;
        for policy in POLICIES {
            let runs = self.runs(policy)?;
            let then = || runs.iter().filter_map(|run| run.then.as_ref());
            let reuse = |summary: &Summary| summary.reuse;
            steady.insert(
                policy.into(),
                rounded(mean(runs.iter().map(|r| r.steady.reuse))),
            );
            churn.insert(policy.into(), rounded(mean(then().map(reuse))));
            first.insert(
                policy.into(),
                rounded(mean(runs.iter().map(|r| r.steady.first_ms.p95))),
            );
            lost += runs.iter().map(|r| r.steady.lost).sum::<u64>();
            lost += then().map(|summary| summary.lost).sum::<u64>();
            if policy == POLICIES[0] {
                best = mean(runs.iter().map(|run| run.steady.reuse_best));
                best_churn = mean(then().map(|summary| summary.reuse_best));
                moves = then()
                    .map(|s| s.moves as f64 / s.moves_needed.max(1) as f64)
                    .collect();
            }
        }
        Ok(json!({
            "measure": "reuse",
            "upper_bound": rounded(best),
            "upper_bound_churn": rounded(best_churn),
            "steady": steady,
            "churn": churn,
            "moves_over_fewest": rounded(mean(moves.into_iter())),
            "first_token_ms_p95": first,
            "lost": lost,
        }))
    }

    fn skew(&self) -> eyre::Result<Value> {
        let (mut p99, mut worst, mut halls, mut reuse) =
            (Map::new(), Map::new(), Map::new(), Map::new());
        let (mut broken, mut admissions, mut bound) = (0, 0, 0.0_f64);
        for policy in POLICIES {
            let runs = self.runs(policy)?;
            let skews = || runs.iter().map(|run| &run.steady.skew);
            p99.insert(
                policy.into(),
                rounded(mean(skews().map(|skew| skew.model_p99))),
            );
            halls.insert(
                policy.into(),
                rounded(mean(skews().map(|skew| skew.hall_p99))),
            );
            let most = skews().map(|skew| skew.model_worst).fold(0.0, f64::max);
            worst.insert(policy.into(), rounded(most));
            reuse.insert(
                policy.into(),
                rounded(mean(runs.iter().map(|r| r.steady.reuse))),
            );
            if policy == POLICIES[0] {
                broken = skews().map(|skew| skew.bound_broken).sum::<u64>();
                admissions = skews().map(|skew| skew.admissions).sum::<u64>();
                bound = skews().map(|skew| skew.bound_worst).fold(0.0, f64::max);
            }
        }
        let by = |name: &str| -> eyre::Result<Value> {
            let run: Phases = self.read(name)?;
            Ok(rounded(run.steady.skew.model_p99))
        };
        Ok(json!({
            "measure": "skew",
            "p99": p99,
            "worst": worst,
            "in_hall_p99": halls,
            "reuse": reuse,
            "bound": tidepier_config::document::Load::default().multiple,
            "bound_broken": broken,
            "bound_worst": rounded(bound),
            "admissions": admissions,
            "by_routers": { "3": by("boxes-3")?, "9": p99["tidepier"], "36": by("boxes-36")? },
        }))
    }

    fn limits(&self) -> eyre::Result<Value> {
        let (mut ratios, mut shares, mut storms, mut refused) =
            (Vec::new(), Vec::new(), Vec::new(), 0);
        let mut whole = Vec::new();
        for seed in SEEDS {
            let surge: Phases = self.read(&format!("surge-{seed}"))?;
            let alone: Phases = self.read(&format!("alone-{seed}"))?;
            let storm: Phases = self.read(&format!("storm-{seed}"))?;
            let then = surge.then.unwrap_or_default();
            let loud = surge.loud.unwrap_or_default();
            ratios.push(then.first_ms.p95 / surge.steady.first_ms.p95.max(0.001));
            refused += loud.refused;
            // All requests that the engines served in the surge, by their rate.
            shares.push(alone.steady.rate / (then.rate + loud.rate).max(0.001));
            storms.push(storm.repeated);
            let after = storm.then.unwrap_or_default();
            whole.push(after.whole as f64 / after.requests.max(1) as f64);
        }
        Ok(json!({
            "measure": "limits",
            "quiet_p95_ratio": rounded(mean(ratios.into_iter())),
            "alone_share": rounded(mean(shares.into_iter())),
            "storm_extra_load": rounded(mean(storms.into_iter())),
            "storm_whole_share": rounded(mean(whole.into_iter())),
            "loud_refused": refused,
        }))
    }

    fn control(&self) -> eyre::Result<Value> {
        let boxes = [3, 6, 9, 18, 36];
        let idle = |count: u32| self.read::<Cost>(&format!("idle-{count}"));
        let costs: Vec<Cost> = boxes
            .iter()
            .map(|count| idle(*count))
            .collect::<Result<_, _>>()?;
        let by = |value: fn(&Cost) -> f64| -> Map<String, Value> {
            let pairs = boxes.iter().zip(&costs);
            pairs
                .map(|(count, cost)| (count.to_string(), rounded(value(cost))))
                .collect()
        };
        let slow: Cost = self.read("rate-60")?;
        let fast: Cost = self.read("rate-180")?;
        // 6 boxes at 60 and 180 requests a second are 10 and 30 for a box.
        let per_request = |value: fn(&Cost) -> f64| (value(&fast) - value(&slow)) / 20.0;
        let grants = |cost: &Cost| cost.bytes_s.get("grant").copied().unwrap_or(0.0);
        let few: Cost = self.read("accounts-50")?;
        let many: Cost = self.read("accounts-200")?;
        let purposes: BTreeMap<_, _> = costs[2]
            .bytes_s
            .iter()
            .map(|(name, value)| (name, rounded(*value)))
            .collect();
        let engines: Map<String, Value> = ["12", "80", "160"]
            .iter()
            .map(|count| {
                let cost: Cost = self.read(&format!("engines-{count}"))?;
                Ok(((*count).to_string(), rounded(cost.bytes_s_total)))
            })
            .collect::<eyre::Result<_>>()?;
        let claims: Claims = self.read("claims")?;
        let decide: Decisions = self.read("decide")?;
        let largest = &costs[costs.len() - 1];
        // Probes increase with the number of engines per box; 6 boxes were measured.
        let points = [12.0, 80.0, 160.0].map(|count| {
            let cost = self.read::<Cost>(&format!("engines-{count}"));
            let probes = cost.map(|cost| cost.bytes_s.get("probe").copied().unwrap_or(0.0));
            (count / 6.0, probes.unwrap_or(0.0))
        });
        let per_engine = slope(&points);
        let probes = per_engine * TARGET_ENGINES / TARGET_BOXES;
        let heartbeats = largest.bytes_s.get("heartbeat").copied().unwrap_or(0.0);
        let asked = TARGET_REQUESTS * per_request(grants);
        Ok(json!({
            "measure": "control",
            "bytes_s": by(|cost| cost.bytes_s_total),
            "heartbeat_bytes_s": by(|cost| cost.bytes_s.get("heartbeat").copied().unwrap_or(0.0)),
            "cpu_share": by(|cost| cost.cpu_share),
            "rss_mb": by(|cost| cost.rss_mb),
            "store_calls_s": by(|cost| cost.store_calls_s),
            "purposes_at_9": purposes,
            "engines_bytes_s": engines,
            "accounts_rss_mb": { "50": rounded(few.rss_mb), "200": rounded(many.rss_mb) },
            "grant_bytes_per_request": rounded(per_request(grants)),
            "cpu_share_per_request_s": per_request(|cost| cost.cpu_share),
            "probe_bytes_s_per_engine": rounded(per_engine),
            "decide": decide,
            "at_target": {
                "bytes_s": rounded(heartbeats + probes + asked),
                "of_it_heartbeats": rounded(heartbeats),
                "of_it_probes": rounded(probes),
                "of_it_grants": rounded(asked),
                "cpu_share_idle": rounded(largest.cpu_share),
                "rss_mb_idle": rounded(largest.rss_mb),
            },
            "claims": claims,
        }))
    }
}

fn rounded(value: f64) -> Value {
    json!((value * 10_000.0).round() / 10_000.0)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    sum / f64::from(count.max(1))
}

/// The slope of the straight line with the least squares through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let middle_x = mean(points.iter().map(|point| point.0));
    let middle_y = mean(points.iter().map(|point| point.1));
    let rise: f64 = points
        .iter()
        .map(|(x, y)| (x - middle_x) * (y - middle_y))
        .sum();
    let run: f64 = points.iter().map(|(x, _)| (x - middle_x).powi(2)).sum();
    rise / run.max(f64::MIN_POSITIVE)
}
