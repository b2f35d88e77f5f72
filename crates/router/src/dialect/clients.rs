//! Accepts clients' connections, authenticates their requests, and routes them
//! by path.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use http_types::{Method, Request};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_config::document::{Account, Document};
use tidepier_config::key::Hash;
use tidepier_errors::{Fault, Kind};
use tidepier_http::server::{serve, End, Handler, Reply};
use tidepier_http::{body, http_types};
use tidepier_ids as ids;

use crate::deadline::Deadline;
use crate::dialect::incoming::Incoming;
use crate::dialect::request::Api;
use crate::dialect::{chat, headers, resume, service};
use crate::node::Node;
use crate::phase::Phase;
use crate::port::{limits, ready};
use crate::trace::Hop;

/// Time before connections are accepted again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

pub(crate) fn start(node: &Arc<Node>) -> io::Result<()> {
    let address = node.settings.callers.0;
    let listener = smol::block_on(TcpListener::bind(address))?;
    node.spawn(accept(node.clone(), listener));
    Ok(())
}

async fn accept(node: Arc<Node>, listener: TcpListener) {
    let endpoint = Arc::new(Endpoint {
        node: node.clone(),
        connections: AtomicUsize::new(0),
    });
    loop {
        let next = async { Some(listener.accept().await) };
        let closed = async {
            node.stop.reached(Phase::Closed).await;
            None
        };
        match next.or(closed).await {
            Some(Ok((socket, _))) => endpoint.spawn_connection(socket),
            Some(Err(_)) => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
            None => return,
        }
    }
}

struct Endpoint {
    node: Arc<Node>,
    connections: AtomicUsize,
}

impl Endpoint {
    fn spawn_connection(self: &Arc<Self>, socket: TcpStream) {
        // A connection over the limit is closed at once, so that the balancer
        // tries another box.
        if self.connections.load(Ordering::SeqCst) >= self.node.settings.tuning.connections {
            metrics::counter!("tidepier_connections_refused_total").increment(1);
            return;
        }
        self.connections.fetch_add(1, Ordering::SeqCst);
        let endpoint = self.clone();
        self.node.spawn(async move {
            let limits = limits(&endpoint.node);
            let end = serve(socket, &limits, &*endpoint).await;
            endpoint.connections.fetch_sub(1, Ordering::SeqCst);
            let end = match end {
                End::Closed | End::Finished => "whole",
                End::Left => "left",
                End::Slow => "slow",
                End::Refused => "refused",
            };
            metrics::counter!("tidepier_connections_total", "end" => end).increment(1);
        });
    }
}

impl Handler for Endpoint {
    async fn handle(&self, mut request: Request) -> Reply {
        let node = &self.node;
        let id = ids::Request::random();
        let started = Instant::now();
        let _opened = node.count_open();
        let ended = async {
            node.stop.reached(Phase::Ending).await;
            let detail = "the box stopped before the answer was complete";
            Err(Fault::new(Kind::Lost, detail))
        };
        let answered = answer(node, id, &mut request).or(ended).await;
        let mut reply = match answered {
            Ok(reply) => reply,
            Err(fault) => {
                let kind = fault.kind.name();
                metrics::counter!("tidepier_refusals_total", "kind" => kind).increment(1);
                node.ring
                    .record(node.name(), id, Hop::Caller, format!("refused: {fault}"));
                Reply::fault(&fault)
            }
        };
        metrics::histogram!("tidepier_head_seconds").record(started.elapsed().as_secs_f64());
        metrics::counter!("tidepier_requests_total").increment(1);
        reply
            .response
            .insert_header(headers::REQUEST, id.to_string());
        reply
    }

    fn closing(&self) -> bool {
        self.node.phase() != Phase::Serving
    }
}

async fn answer(node: &Arc<Node>, id: ids::Request, request: &mut Request) -> Result<Reply, Fault> {
    let path = request.url().path().to_string();
    match path.as_str() {
        "/healthz" => return Ok(Reply::text(200, "ok\n".into())),
        "/readyz" => return ready(node),
        _ => {}
    }
    let document = node.document()?;
    let account = authenticate(&document, request)?;
    let tuning = &node.settings.tuning;
    let timeout = headers::client_timeout(request, tuning.deadline_ms.duration())?;
    let deadline = Deadline::after(timeout);
    let mut held = node.bodies.held();
    let pause = tuning.header_ms.duration();
    let read = body::read_held(request, tuning.body_bytes, pause, &mut held);
    let ended = async {
        node.stop.reached(Phase::Ending).await;
        let detail = "the box stopped before the request was complete";
        Err(Fault::new(Kind::Draining, detail))
    };
    let bytes = read.or(ended).await?;
    let incoming = Incoming {
        id,
        account: &account,
        document: &document,
        deadline,
        request,
    };
    let note = format!("{} {path} for {}", request.method(), account.name);
    node.ring.record(node.name(), id, Hop::Caller, note);
    let parts: Vec<&str> = path.trim_matches('/').splitn(3, '/').collect();
    match (request.method(), parts.as_slice()) {
        (Method::Post, ["v1", "chat", "completions"]) => {
            Box::pin(chat::handle(node, Api::Completions, &incoming, &bytes)).await
        }
        (Method::Post, ["v1", "responses"]) => {
            Box::pin(chat::handle(node, Api::Responses, &incoming, &bytes)).await
        }
        (Method::Get, ["v1", "responses", response]) => {
            Box::pin(resume::handle(node, &incoming, response)).await
        }
        (Method::Get, ["v1", "models"]) => Ok(models(&incoming)),
        (_, ["v1", "chat", "completions"] | ["v1", "responses"] | ["v1", "models"]) => {
            let detail = format!("{} is not taken here", request.method());
            Err(Fault::new(Kind::Method, detail))
        }
        (_, ["services", name]) => {
            Box::pin(service::handle(node, &incoming, name, "", bytes)).await
        }
        (_, ["services", name, rest]) => {
            Box::pin(service::handle(node, &incoming, name, rest, bytes)).await
        }
        _ => Err(Fault::new(Kind::NotFound, format!("no path {path:?}"))),
    }
}

fn authenticate(document: &Document, request: &Request) -> Result<Account, Fault> {
    let missing = || {
        Fault::new(
            Kind::Unauthorized,
            "no or an unknown key; send Authorization: Bearer",
        )
    };
    let bearer = headers::bearer(request).ok_or_else(missing)?;
    let account = document.account_by_key(&Hash::of(bearer));
    account.cloned().ok_or_else(missing)
}

fn models(incoming: &Incoming<'_>) -> Reply {
    let models = incoming.account.models.iter();
    let data: Vec<_> = models
        .map(|model| serde_json::json!({ "id": model, "object": "model" }))
        .collect();
    Reply::json(200, &serde_json::json!({ "object": "list", "data": data }))
}
