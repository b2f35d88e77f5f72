//! Probes the engines of the pools that this box keeps for their load.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use smol::Timer;
use tidepier_http::client::Call;
use tidepier_ids as ids;

use crate::node::Node;

/// Largest load report in bytes.
const REPORT_BYTES_MAX: u64 = 4096;
/// Time that an engine has to answer with its load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Report {
    running: u32,
    #[serde(default)]
    waiting: u32,
}

pub(crate) fn start(node: &Arc<Node>) {
    node.spawn(run(node.clone()));
}

/// Some engines are probed more often by this factor: engines of a pool that
/// this box has just begun to keep, as another keeper may still grant places
/// there and only the engines' reports show these, and ejected engines.
const FREQUENT_FACTOR: u32 = 10;

async fn run(node: Arc<Node>) {
    let interval = node.settings.tuning.probe_ms.duration() / FREQUENT_FACTOR;
    let mut round = 0;
    loop {
        let all = round % FREQUENT_FACTOR == 0;
        for target in node.pools.engines() {
            if !all && !target.is_frequent {
                continue;
            }
            let probing = node.clone();
            node.spawn(async move {
                probe(&probing, &target.model, &target.engine).await;
            });
        }
        round = (round + 1) % FREQUENT_FACTOR;
        Timer::after(interval).await;
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
        .whole(address, &call, REPORT_BYTES_MAX, REPORT_TIMEOUT)
        .await;
    let report = answer
        .ok()
        .and_then(|answer| serde_json::from_slice::<Report>(&answer.bytes).ok());
    let running = report.map(|report| report.running + report.waiting);
    if running.is_none() {
        metrics::counter!("tidepier_probe_failures_total").increment(1);
    }
    node.pools.record_report(model, engine, running);
}
