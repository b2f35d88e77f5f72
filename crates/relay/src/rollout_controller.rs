//! Carries out rollout orders step by step.
//!
//! Any hub may take a step: each writes it on the condition that its view of the order and
//! of the stage is the newest, so that two hubs do no harm and none waits for another. The
//! first hub in the priority order of the halls acts at once, the others a little later
//! each.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::rollout::State;
use tidepier_core::store::{Current, Failure, Revision, Store, Swap, Write};
use tidepier_ids as ids;
use tidepier_platform::store::Client;
use tidepier_platform::{key, rollout as wire};

use crate::follow::Follower;
use crate::peer::registry::Registry;
use crate::rollout::judge::{self, Fault};
use crate::rollout::plan::{self, Observation, Step};
use crate::rollout::stage::{self, Stage};
use crate::rollout::Rollout;

/// Interval between two evaluations of the orders in progress.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a step has to be due before the hub of the next hall takes it.
const TAKEOVER_DELAY: Duration = Duration::from_millis(700);
/// Time-out for one write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// Retry delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// State kept per service between two evaluations.
#[derive(Default)]
struct Pending {
    /// The step that is due, and since when.
    due: Option<(Step, Instant)>,
    /// Since when no request is in flight at servers of other releases.
    idle: Option<Instant>,
}

/// Takes steps while this box is the hub of its hall or the only box. Never returns.
pub(crate) async fn run(
    follower: Rc<Follower>,
    store: Rc<Client>,
    registry: Option<Rc<Registry>>,
) -> Infallible {
    let mut pending: BTreeMap<ids::Service, Pending> = BTreeMap::new();
    let rollouts = &follower.relay().rollouts;
    loop {
        let known = rollouts.all();
        let orders: Vec<Revision> = known.iter().map(|known| known.revision).collect();
        rollouts.evidence.retain_orders(&orders);
        let open = |known: &Rollout| known.state() == State::InProgress || known.needs_rewrite();
        if !known.iter().any(open) {
            pending.clear();
            rollouts.changed.wait().await;
            continue;
        }
        let hall_rank = match &registry {
            None => Some(0),
            Some(registry) if follower.relay().traffic.is_hub() => Some(halls_before(registry)),
            Some(_) => None,
        };
        if let Some(hall_rank) = hall_rank {
            for known in known.into_iter().filter(open) {
                let pending = pending.entry(known.order.service.clone()).or_default();
                evaluate(&follower, &store, &known, pending, hall_rank).await;
            }
        }
        let pause = async {
            Timer::after(EVALUATION_INTERVAL).await;
        };
        pause.or(rollouts.changed.wait()).await;
    }
}

/// Number of halls that come before this box's own in the priority order.
fn halls_before(registry: &Registry) -> u32 {
    let halls = registry.other_halls();
    let before = halls.iter().filter(|hall| **hall < registry.me.hall);
    before.count() as u32
}

async fn evaluate(
    follower: &Follower,
    store: &Client,
    known: &Rollout,
    pending: &mut Pending,
    hall_rank: u32,
) {
    let now = Instant::now();
    let observation = observation(follower, known, pending, now);
    let step = match known.stage {
        Some(_) if known.needs_rewrite() => Step::Rewrite,
        _ => plan::step(&observation),
    };
    if step == Step::Wait {
        pending.due = None;
        return;
    }
    let since = match pending.due {
        Some((due, since)) if due == step => since,
        _ => {
            pending.due = Some((step, now));
            now
        }
    };
    if now.saturating_duration_since(since) < TAKEOVER_DELAY * hall_rank {
        return;
    }
    let Some(stage) = stage_after(step, known, &observation) else {
        return;
    };
    log_step(known, &stage, &observation);
    if let Err(failure) = write_stage(follower, store, known, stage).await {
        log::warn!(
            target: "belief",
            "event=store_call_failed call=rollout why={} detail=\"{failure}\"",
            failure.name()
        );
        Timer::after(RETRY_DELAY).await;
    }
}

/// The stage that a step leads to.
fn stage_after(step: Step, known: &Rollout, observation: &Observation) -> Option<Stage> {
    let (state, share) = match step {
        Step::Wait => return None,
        Step::Rewrite => return known.stage,
        Step::Share(share) => (State::InProgress, share),
        Step::Complete => (State::Completed, 1.0),
        Step::RollBack => (State::RolledBack, 0.0),
    };
    Some(Stage {
        order: known.revision.number(),
        state,
        share,
        elapsed_ms: u64::try_from(observation.elapsed.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Returns the current observations on an order.
fn observation(
    follower: &Follower,
    known: &Rollout,
    pending: &mut Pending,
    now: Instant,
) -> Observation {
    let relay = follower.relay();
    let (service, target) = (&known.order.service, &known.order.target);
    let rows = relay.rollouts.evidence.all(now);
    let running = relay.in_flight_on_other_releases(service, target, now);
    pending.idle = (running == 0).then(|| pending.idle.unwrap_or(now));
    let serving = relay.fleet.serving(service);
    Observation {
        stage: known.stage,
        elapsed: known.elapsed(now),
        stage_age: now.saturating_duration_since(known.since),
        within: known.order.within,
        has_servers: serving
            .iter()
            .any(|it| it.server.release.as_ref() == Some(target)),
        fault: judge::judge(&rows, known.revision),
        answers: judge::answers(&rows, known.revision),
        idle: pending
            .idle
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        max_exposure: relay.bounds().exposure,
    }
}

fn log_step(known: &Rollout, stage: &Stage, observation: &Observation) {
    let why = observation.fault.as_ref().map(Fault::to_string);
    log::info!(
        target: "belief",
        "event=rollout_step service={} target={} state={} share={:.3} elapsed_ms={} answers={:.0} \
         idle_ms={} fault=\"{}\"",
        known.order.service,
        known.order.target,
        stage.state,
        stage.share,
        stage.elapsed_ms,
        observation.answers,
        observation.idle.as_millis(),
        why.as_deref().unwrap_or("-"),
    );
    metrics::counter!("tidepier_rollout_steps_total", "state" => stage.state.name()).increment(1);
}

/// Writes a stage and the status for the operator, unless something else was written
/// meanwhile.
async fn write_stage(
    follower: &Follower,
    store: &Client,
    known: &Rollout,
    stage: Stage,
) -> Result<(), Failure> {
    let service = &known.order.service;
    let (order, stage_key) = (key::rollout(service), stage::key(service));
    let status = key::rollout_state(service);
    let expected = [
        (&*order, known.revision),
        (&*stage_key, known.stage_revision),
    ];
    let value = serde_json::to_vec(&stage);
    let value = value.map_err(|error| Failure::Malformed(error.to_string()))?;
    let status_value = wire::encode_state(stage.state, &known.order.target);
    let writes = [(&*stage_key, &*value), (&*status, &*status_value)].map(|(key, value)| Write {
        key,
        value,
        lease: None,
    });
    let swap = store.swap(&expected, &writes, &[], WRITE_TIMEOUT).await?;
    match swap {
        Swap::Done(revision) => {
            let rollouts = &follower.relay().rollouts;
            rollouts.stage(service, stage, revision, Instant::now());
        }
        Swap::Conflict(Current::Items(items)) => follower.apply_stages(&items),
        Swap::EraChanged => log::warn!(
            target: "belief",
            "event=rollout_step_void service={service} why=\"the store was restored from an older backup\""
        ),
        Swap::Conflict(Current::NotReported) | Swap::LeaseExpired => {}
    }
    Ok(())
}
