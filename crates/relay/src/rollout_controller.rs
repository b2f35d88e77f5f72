//! Taking the steps of orders to move services between releases.
//!
//! Any hub may take them: each writes under the condition that the order and what it
//! knows of it are the newest, so that two do no harm, and none is waited for. The
//! first one in the order of halls goes ahead; the next ones step in a little later.

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
use crate::rollout::Known;

/// Time between two looks at orders that are under way.
const LOOK_TIME: Duration = Duration::from_millis(150);
/// Time for which a step was due before the hub of the next hall takes it.
const NEXT_TIME: Duration = Duration::from_millis(700);
/// Longest time for one write.
const CALL_TIME: Duration = Duration::from_millis(600);
/// How long nothing is written after a call that failed.
const PAUSE: Duration = Duration::from_millis(300);

/// What is remembered of one service between two looks.
#[derive(Default)]
struct Memory {
    /// The step that is due, and since when.
    due: Option<(Step, Instant)>,
    /// Since when nothing runs at servers of other releases.
    idle: Option<Instant>,
}

/// Takes steps while this box is the hub of its hall, or has no others beside it; does
/// not end.
pub(crate) async fn run(
    follower: Rc<Follower>,
    store: Rc<Client>,
    registry: Option<Rc<Registry>>,
) -> Infallible {
    let mut memories: BTreeMap<ids::Service, Memory> = BTreeMap::new();
    let rollouts = &follower.relay().rollouts;
    loop {
        let known = rollouts.all();
        let orders: Vec<Revision> = known.iter().map(|known| known.revision).collect();
        rollouts.evidence.keep_only(&orders);
        let open = |known: &Known| known.state() == State::InProgress || known.is_unwritten();
        if !known.iter().any(open) {
            memories.clear();
            rollouts.changed.wait().await;
            continue;
        }
        let place = match &registry {
            None => Some(0),
            Some(registry) if follower.relay().traffic.is_hub() => Some(halls_before(registry)),
            Some(_) => None,
        };
        if let Some(place) = place {
            for known in known.into_iter().filter(open) {
                let memory = memories.entry(known.order.service.clone()).or_default();
                conduct(&follower, &store, &known, memory, place).await;
            }
        }
        let pause = async {
            Timer::after(LOOK_TIME).await;
        };
        pause.or(rollouts.changed.wait()).await;
    }
}

/// How many halls come before this box's own.
fn halls_before(registry: &Registry) -> u32 {
    let halls = registry.other_halls();
    let before = halls.iter().filter(|hall| **hall < registry.me.hall);
    before.count() as u32
}

async fn conduct(
    follower: &Follower,
    store: &Client,
    known: &Known,
    memory: &mut Memory,
    place: u32,
) {
    let now = Instant::now();
    let look = look(follower, known, memory, now);
    let step = match known.stage {
        Some(_) if known.is_unwritten() => Step::Rewrite,
        _ => plan::step(&look),
    };
    if step == Step::Wait {
        memory.due = None;
        return;
    }
    let since = match memory.due {
        Some((due, since)) if due == step => since,
        _ => {
            memory.due = Some((step, now));
            now
        }
    };
    if now.saturating_duration_since(since) < NEXT_TIME * place {
        return;
    }
    let Some(stage) = next(step, known, &look) else {
        return;
    };
    note(known, &stage, &look);
    if let Err(failure) = write(follower, store, known, stage).await {
        log::warn!(
            target: "belief",
            "event=store_call_failed call=rollout why={} detail=\"{failure}\"",
            failure.name()
        );
        Timer::after(PAUSE).await;
    }
}

/// The stage that a step leads to.
fn next(step: Step, known: &Known, look: &Observation) -> Option<Stage> {
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
        elapsed_ms: u64::try_from(look.elapsed.as_millis()).unwrap_or(u64::MAX),
    })
}

/// What is known of an order now.
fn look(follower: &Follower, known: &Known, memory: &mut Memory, now: Instant) -> Observation {
    let relay = follower.relay();
    let (service, target) = (&known.order.service, &known.order.target);
    let rows = relay.rollouts.evidence.all(now);
    let running = relay.in_flight_on_other_releases(service, target, now);
    memory.idle = (running == 0).then(|| memory.idle.unwrap_or(now));
    let serving = relay.fleet.serving(service);
    Observation {
        stage: known.stage,
        elapsed: known.elapsed(now),
        staged: now.saturating_duration_since(known.since),
        within: known.order.within,
        serves: serving
            .iter()
            .any(|it| it.server.release.as_ref() == Some(target)),
        fault: judge::judge(&rows, known.revision),
        answers: judge::answers(&rows, known.revision),
        idle: memory
            .idle
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        max_exposure: relay.bounds().exposure,
    }
}

fn note(known: &Known, stage: &Stage, look: &Observation) {
    let why = look.fault.as_ref().map(Fault::to_string);
    log::info!(
        target: "belief",
        "event=rollout_step service={} target={} state={} share={:.3} elapsed_ms={} answers={:.0} \
         idle_ms={} fault=\"{}\"",
        known.order.service,
        known.order.target,
        stage.state,
        stage.share,
        stage.elapsed_ms,
        look.answers,
        look.idle.as_millis(),
        why.as_deref().unwrap_or("-"),
    );
    metrics::counter!("tidepier_rollout_steps_total", "state" => stage.state.name()).increment(1);
}

/// Writes a stage and what the operator is told, if nothing else was written meanwhile.
async fn write(
    follower: &Follower,
    store: &Client,
    known: &Known,
    stage: Stage,
) -> Result<(), Failure> {
    let service = &known.order.service;
    let (order, own) = (key::rollout(service), stage::key(service));
    let status = key::rollout_state(service);
    let expected = [(&*order, known.revision), (&*own, known.stage_revision)];
    let value = serde_json::to_vec(&stage);
    let value = value.map_err(|error| Failure::Malformed(error.to_string()))?;
    let told = wire::encode_state(stage.state, &known.order.target);
    let writes = [(&*own, &*value), (&*status, &*told)].map(|(key, value)| Write {
        key,
        value,
        lease: None,
    });
    let swap = store.swap(&expected, &writes, &[], CALL_TIME).await?;
    match swap {
        Swap::Done(revision) => {
            let rollouts = &follower.relay().rollouts;
            rollouts.stage(service, stage, revision, Instant::now());
        }
        Swap::Conflict(Current::Items(items)) => follower.take_stages(&items),
        Swap::EraChanged => log::warn!(
            target: "belief",
            "event=rollout_step_void service={service} why=\"the store went back to a copy\""
        ),
        Swap::Conflict(Current::NotReported) | Swap::LeaseExpired => {}
    }
    Ok(())
}
