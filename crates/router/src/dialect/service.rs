//! Forwards requests to plain services: `/services/NAME/...`.

use std::sync::Arc;

use tidepier_config::document::{Server, Service};
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Call, Failure, Repeat, Whole};
use tidepier_http::http_types::Method;
use tidepier_http::server::Reply;

use crate::at_most_once::{self, Permit};
use crate::dialect::incoming::Incoming;
use crate::dialect::{answer, headers};
use crate::node::Node;
use crate::trace::Hop;

/// Largest answer of a service in bytes.
const ANSWER_BYTES_MAX: u64 = 8 << 20;

/// Calls a service.
///
/// # Errors
///
/// The fault to answer with.
pub(crate) async fn handle(
    node: &Arc<Node>,
    incoming: &Incoming<'_>,
    name: &str,
    rest: &str,
    body: Vec<u8>,
) -> Result<Reply, Fault> {
    let service = allowed(incoming, name)?;
    let request = incoming.request;
    let is_post = request.method() != Method::Get;
    let declared = is_post && service.not_repeatable.iter().any(|path| path == rest);
    let options = headers::at_most_once(request, declared)?;
    let mut call = Call {
        method: request.method(),
        path: path(request, rest),
        headers: Vec::new(),
        body: (!body.is_empty()).then(|| body.as_slice().into()),
        repeat: Repeat::Allowed,
        purpose: None,
    };
    call = call.header("x-request-id", incoming.id.to_string());
    for name in ["content-type", "accept", "traceparent"] {
        if let Some(values) = request.header(name) {
            call = call.header(name, values.last().as_str());
        }
    }
    let Some(options) = options else {
        let answer = send(node, incoming, service, &call).await?;
        return Ok(reply(answer));
    };
    let target = format!("service/{name}/{rest}");
    let arrival = incoming.arrival(&target, &body);
    let permit = match at_most_once::enter(node, &arrival, &options).await? {
        at_most_once::Outcome::Permit(permit) => permit,
        at_most_once::Outcome::Answered(kept) => return Ok(answer::replay(kept)),
    };
    send_once(node, incoming, service, &call.once(), permit).await
}

fn allowed<'d>(incoming: &Incoming<'d>, name: &str) -> Result<&'d Service, Fault> {
    let service = incoming.document.service(name);
    let service =
        service.ok_or_else(|| Fault::new(Kind::NotFound, format!("no service {name:?}")))?;
    if !incoming.account.services.contains(&service.name) {
        let detail = format!("the account may not use service {name:?}");
        return Err(Fault::new(Kind::Forbidden, detail));
    }
    Ok(service)
}

fn path(request: &tidepier_http::http_types::Request, rest: &str) -> String {
    match request.url().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    }
}

/// Sends a call that may be executed at most once.
async fn send_once(
    node: &Arc<Node>,
    incoming: &Incoming<'_>,
    service: &Service,
    call: &Call,
    permit: Permit,
) -> Result<Reply, Fault> {
    permit.mark_sent();
    match send(node, incoming, service, call).await {
        Ok(answer) => {
            let mime = answer.header("content-type").unwrap_or("application/json");
            permit.keep_answer(answer.status, mime, &answer.bytes);
            Ok(reply(answer))
        }
        Err(fault) => {
            permit.record_refusal(&fault);
            Err(fault)
        }
    }
}

/// Servers of the service, those of this hall first; within each group, the
/// request's id rotates the order.
fn servers<'s>(node: &Node, incoming: &Incoming<'_>, service: &'s Service) -> Vec<&'s Server> {
    let mut servers: Vec<_> = service.servers.iter().collect();
    let turn = incoming.id.0 as usize % servers.len().max(1);
    servers.rotate_left(turn);
    servers.sort_by_key(|server| server.hall != *node.hall());
    servers
}

/// Tries servers until one answers. After a call that may have been executed,
/// another server is tried only if the call may be repeated.
async fn send(
    node: &Arc<Node>,
    incoming: &Incoming<'_>,
    service: &Service,
    call: &Call,
) -> Result<Whole, Fault> {
    let mut fault = Fault::new(Kind::NoEngine, "the service has no server");
    for server in servers(node, incoming, service) {
        let address = server.address.0;
        let left = incoming.deadline.left();
        let sent = node
            .client
            .whole(address, call, ANSWER_BYTES_MAX, left)
            .await;
        let note = match &sent {
            Ok(answer) => format!("{} at {address} answered {}", service.name, answer.status),
            Err(failure) => format!("{} at {address}: {failure}", service.name),
        };
        node.ring
            .record(node.name(), incoming.id, Hop::Service, note);
        fault = match sent {
            Ok(answer) => {
                node.retries.record_success();
                return Ok(answer);
            }
            Err(Failure::Unsent(error)) => {
                let detail = format!("no server of the service can be reached: {error}");
                Fault::new(Kind::NoEngine, detail)
            }
            Err(Failure::Unknown(error)) => {
                let late = incoming.deadline.passed();
                let kind = if late { Kind::Deadline } else { Kind::Lost };
                let fault = Fault::new(kind, format!("the service did not answer: {error}"));
                if call.repeat == Repeat::Never || late {
                    return Err(fault);
                }
                fault
            }
        };
        if !node.retries.take() {
            break;
        }
    }
    Err(fault)
}

fn reply(answer: Whole) -> Reply {
    let mime = answer
        .header("content-type")
        .unwrap_or("application/json")
        .to_string();
    let mut reply = Reply::text(answer.status, String::new());
    reply.response.set_body(answer.bytes);
    reply.response.insert_header("content-type", mime);
    reply
}
