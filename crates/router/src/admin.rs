//! The operators' port: health, metrics, status, documents, the spans of a
//! request, shutdown.

use std::io;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http_types::{Method, Request};
use metrics_exporter_prometheus::PrometheusHandle;
use smol::net::TcpListener;
use smol::Timer;
use tidepier_config::key::Hash;
use tidepier_errors::{Fault, Kind};
use tidepier_http::server::{serve, Handler, Reply};
use tidepier_http::{body, http_types};

use crate::apply;
use crate::dialect::headers::bearer;
use crate::node::Node;
use crate::phase::Phase;
use crate::port::{limits, ready};
use crate::status::{BoxStatus, Status};

/// Largest body of an operator's call; leaves room for a document of a megabyte.
const BODY_BYTES_MAX: u64 = 2 << 20;
/// Time within which a body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Sets the source of `/metrics`; later calls have no effect.
pub fn set_metrics(handle: PrometheusHandle) {
    let _ = METRICS.set(handle);
}

pub(crate) fn start(node: &Arc<Node>) -> io::Result<()> {
    let address = node.settings.admin.0;
    let listener = smol::block_on(TcpListener::bind(address))?;
    node.spawn(accept(node.clone(), listener));
    Ok(())
}

async fn accept(node: Arc<Node>, listener: TcpListener) {
    let endpoint = Arc::new(Endpoint { node: node.clone() });
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        let endpoint = endpoint.clone();
        node.spawn(async move {
            serve(socket, &limits(&endpoint.node), &*endpoint).await;
        });
    }
}

struct Endpoint {
    node: Arc<Node>,
}

impl Handler for Endpoint {
    async fn handle(&self, mut request: Request) -> Reply {
        let answered = answer(&self.node, &mut request).await;
        answered.unwrap_or_else(|fault| Reply::fault(&fault))
    }
}

async fn answer(node: &Arc<Node>, request: &mut Request) -> Result<Reply, Fault> {
    let path = request.url().path().to_string();
    let method = request.method();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method, parts.as_slice()) {
        (Method::Get, ["healthz"]) => return Ok(Reply::text(200, "ok\n".into())),
        (Method::Get, ["readyz"]) => return ready(node),
        (Method::Get, ["metrics"]) => {
            let text = METRICS
                .get()
                .map_or(String::new(), PrometheusHandle::render);
            return Ok(Reply::text(200, text));
        }
        _ => {}
    }
    authorize(node, request)?;
    match (method, parts.as_slice()) {
        (Method::Get, ["status"]) => Ok(Reply::json(200, &status(node))),
        (Method::Get, ["document"]) => {
            let json = node.current.json();
            let json = json.ok_or_else(|| Fault::new(Kind::NotReady, "no configuration yet"))?;
            Ok(Reply::json(200, &json))
        }
        (Method::Post, ["apply"]) => {
            let mut held = node.bodies.held();
            let read = body::read_held(request, BODY_BYTES_MAX, BODY_TIMEOUT, &mut held);
            let bytes = read.await?;
            let request = serde_json::from_slice(&bytes)
                .map_err(|error| Fault::new(Kind::BadRequest, error.to_string()))?;
            Ok(Reply::json(200, &apply::apply(node, &request).await?))
        }
        (Method::Get, ["explain", id]) => {
            let id = id
                .parse()
                .map_err(|_| Fault::new(Kind::BadRequest, "not a request id"))?;
            Ok(Reply::json(200, &node.ring.spans_of(id)))
        }
        (Method::Post, ["drain"]) => {
            let stopping = node.clone();
            node.spawn(async move {
                stopping.finish().await;
            });
            Ok(Reply::json(202, &status(node)))
        }
        _ => Err(Fault::new(Kind::NotFound, format!("no path {path:?}"))),
    }
}

fn authorize(node: &Node, request: &Request) -> Result<(), Fault> {
    let missing = || Fault::new(Kind::Unauthorized, "no or an unknown operator key");
    let hash = Hash::of(bearer(request).ok_or_else(missing)?);
    let known = node
        .settings
        .operator_keys
        .iter()
        .any(|key| key.matches(&hash));
    known.then_some(()).ok_or_else(missing)
}

fn status(node: &Node) -> Status {
    let metadata = node.current.metadata();
    let phase = match node.phase() {
        Phase::Serving => "serving",
        Phase::Stopping => "stopping",
        Phase::Closed | Phase::Ending => "closed",
    };
    let table = node.table();
    let boxes = table.rumors().into_iter().map(|rumor| BoxStatus {
        name: rumor.name,
        hall: rumor.hall,
        incarnation: rumor.incarnation,
        state: rumor.state.name().to_string(),
        admin: rumor.admin,
    });
    Status {
        name: node.name().clone(),
        hall: node.hall().clone(),
        incarnation: table.me().incarnation,
        phase: phase.to_string(),
        generation: node.generation(),
        generation_age_s: metadata
            .as_ref()
            .map(|metadata| metadata.since.elapsed().as_secs()),
        accepted_ms: metadata.as_ref().map(|metadata| metadata.at_ms),
        author: metadata.map(|metadata| metadata.author),
        open: node.open_requests(),
        links: node.links.count(),
        pools: node.pools.summary(),
        boxes: boxes.collect(),
    }
}
