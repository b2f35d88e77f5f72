//! Looking at the engines of the pools that this box keeps.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use smol::Timer;
use tidepier_http::client::Call;
use tidepier_ids as ids;

use crate::node::Node;

/// Largest load report in bytes.
const REPORT_BYTES: u64 = 4096;
/// Time for a report.
const REPORT_TIME: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Report {
    running: u32,
    #[serde(default)]
    waiting: u32,
}

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(run(node.clone()));
}

/// Some engines are looked at this many times as often: those of a young pool,
/// as another keeper may still be granting and only the engines' reports tell,
/// and those that are out.
const OFTEN: u32 = 10;

async fn run(node: Arc<Node>) {
    let pause = node.settings.tuning.probe_ms.duration() / OFTEN;
    let mut round = 0;
    loop {
        let all = round % OFTEN == 0;
        for watched in node.pools.engines() {
            if !all && !watched.often {
                continue;
            }
            let probing = node.clone();
            node.spawn(async move {
                probe(&probing, &watched.model, &watched.engine).await;
            });
        }
        round = (round + 1) % OFTEN;
        Timer::after(pause).await;
    }
}

async fn probe(node: &Node, model: &ids::Model, engine: &ids::Engine) {
    let document = node.current.document();
    let declared = document
        .as_ref()
        .and_then(|document| document.engine(engine));
    let Some(address) = declared.map(|engine| engine.address.0) else {
        return;
    };
    metrics::counter!("tidepier_probes_total").increment(1);
    let call = Call::get("/load").counted("probe");
    let answer = node
        .client
        .whole(address, &call, REPORT_BYTES, REPORT_TIME)
        .await;
    let report = answer
        .ok()
        .and_then(|answer| serde_json::from_slice::<Report>(&answer.bytes).ok());
    let running = report.map(|report| report.running + report.waiting);
    if running.is_none() {
        metrics::counter!("tidepier_probe_failures_total").increment(1);
    }
    node.pools.report(model, engine, running);
}
