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

async fn run(node: Arc<Node>) {
    loop {
        for (model, engine) in node.keeper.engines() {
            let probing = node.clone();
            node.spawn(async move {
                probe(&probing, &model, &engine).await;
            });
        }
        Timer::after(node.settings.tuning.probe_ms.duration()).await;
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
    node.keeper.report(model, engine, running);
}
