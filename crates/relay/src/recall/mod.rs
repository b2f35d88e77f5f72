//! Learns after a start which engines cache which parts of prompts.
//!
//! A box that was restarted does not know where prompts are cached, and would have them
//! prefilled again. It gets this from other boxes ([`boxes`]). If all boxes were restarted
//! together, the hub of each hall asks the engines of its hall once (`engines`), and the
//! other boxes ask the hubs.

pub mod boxes;
mod engines;

use std::rc::Rc;
use std::time::Duration;

use smol::{LocalExecutor, Timer};

use crate::peer::registry::Registry;
use crate::relay::Relay;
use crate::traffic::Progress;

/// Pauses between rounds of requests. Boxes that start together are up within 0.3 s of each
/// other, and their hubs have asked the engines 0.1 s later.
const PAUSES: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
];

/// Round from which a box other than the first of its hall asks the engines if it has
/// become the hub, as the first box may be dead.
const LATE_ROUND: usize = 2;

/// Learns what is cached; returns when everything is known or no round is left.
pub async fn run(relay: Rc<Relay>, registry: Rc<Registry>, executor: Rc<LocalExecutor<'static>>) {
    while !registry.is_listed() {
        registry.changed.wait().await;
    }
    let first = registry.predecessors().is_empty();
    for (round, pause) in PAUSES.into_iter().enumerate() {
        if boxes::ask(&relay, &registry, &executor).await {
            break;
        }
        // Other boxes ask the engines only if the first one does not.
        //
        let lists = first || (round >= LATE_ROUND && relay.traffic.is_hub());
        if lists && relay.traffic.progress() == Progress::Started {
            engines::list(&relay, &executor).await;
        }
        Timer::after(pause).await;
    }
    relay.traffic.set_progress(Progress::Done);
    log::info!(
        target: "belief",
        "event=recalled parts={} ms={}",
        relay.traffic.index.len(),
        relay.started.elapsed().as_millis()
    );
}
