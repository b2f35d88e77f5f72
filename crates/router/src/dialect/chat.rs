//! Handles requests for chat completions and responses.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_core::answer::Event;
use tidepier_core::catalog;
use tidepier_core::work::Work;
use tidepier_errors::{Fault, Kind};
use tidepier_http::events;
use tidepier_http::server::Reply;
use tidepier_ids as ids;

use crate::at_most_once::{self, Permit};
use crate::dialect::answer::{self, End};
use crate::dialect::engine::{Engine, STALL_TIMEOUTS};
use crate::dialect::headers;
use crate::dialect::incoming::Incoming;
use crate::dialect::old;
use crate::dialect::request::{Api, Chat};
use crate::job::Job;
use crate::node::Node;
use crate::phase::Phase;
use crate::seal::Ticket;
use crate::stream::Source;
use crate::trace::Hop;

/// Answers a chat.
///
/// # Errors
///
/// The fault to answer with.
pub(crate) async fn handle(
    node: &Arc<Node>,
    api: Api,
    incoming: &Incoming<'_>,
    bytes: &[u8],
) -> Result<Reply, Fault> {
    let chat = Chat::parse(api, bytes)?;
    let model = allowed_model(incoming, &chat.model)?;
    let prefix = chat.prefix(incoming.document.returning.prefix_bytes);
    if let Some(old) = old::select(incoming, &model, prefix) {
        return old::forward(node, incoming, old, bytes).await;
    }
    let target = format!("model/{model}");
    let options = headers::at_most_once(incoming.request, false)?;
    let permit = match &options {
        None => None,
        Some(options) => {
            let arrival = incoming.arrival(&target, bytes);
            match at_most_once::enter(node, &arrival, options).await? {
                at_most_once::Outcome::Permit(permit) => Some(permit),
                at_most_once::Outcome::Answered(kept) => return Ok(answer::replay(kept)),
            }
        }
    };
    let account = &incoming.account.name;
    let streamed = chat.stream;
    let linger = match streamed {
        true => node.settings.tuning.linger_ms.duration(),
        false => Duration::ZERO,
    };
    let previous = chat.previous_response_id.as_deref();
    let prefer = previous.and_then(|id| node.sealer.open(id));
    let prefer = prefer.filter(|ticket| ticket.account == *account && ticket.model == model);
    let work = Work {
        id: incoming.id,
        account: account.clone(),
        priority: incoming.account.priority as u8,
        model: model.clone(),
        prompt: chat.prompt(prefix, account),
        returning: chat.has_previous_turn(),
        prefer: prefer.map(|ticket| ticket.engine),
        avoid: Vec::new(),
        // Engines always stream, so another engine can continue from the text so
        // far, unless the request may be executed only once.
        kind: catalog::Kind::Stream {
            resumable: options.is_none(),
        },
        deadline: incoming.deadline.instant(),
        stall_timeouts: STALL_TIMEOUTS,
    };
    let job = Job {
        work,
        dialect: Box::new(Engine { chat: Some(chat) }),
        linger,
        moved: false,
    };
    if let Some(permit) = &permit {
        permit.mark_sent();
    }
    let source = Source::open(node.clone(), job).await;
    let source = match source {
        Ok(source) => source,
        Err(fault) => {
            if let Some(permit) = permit {
                permit.record_refusal(&fault);
            }
            return Err(fault);
        }
    };
    let response = response_id(node, incoming, &model, &source);
    match streamed {
        true => Ok(stream(node, api, incoming.id, response, source, permit, 0)),
        false => collect(api, &model, &response, source, permit).await,
    }
}

fn allowed_model(incoming: &Incoming<'_>, name: &str) -> Result<ids::Model, Fault> {
    let document = incoming.document;
    let model = document
        .models
        .iter()
        .find(|model| model.name.as_str() == name);
    let model = model.ok_or_else(|| Fault::new(Kind::NotFound, format!("no model {name:?}")))?;
    if !incoming.account.models.contains(&model.name) {
        let detail = format!("the account may not use model {name:?}");
        return Err(Fault::new(Kind::Forbidden, detail));
    }
    Ok(model.name.clone())
}

fn response_id(
    node: &Node,
    incoming: &Incoming<'_>,
    model: &ids::Model,
    source: &Source,
) -> String {
    node.sealer.seal(&Ticket {
        account: incoming.account.name.clone(),
        engine: source.engine().clone(),
        request: incoming.id,
        model: model.clone(),
    })
}

/// Collects the complete answer and returns it in one body.
async fn collect(
    api: Api,
    model: &ids::Model,
    response: &str,
    mut source: Source,
    permit: Option<Permit>,
) -> Result<Reply, Fault> {
    let end = loop {
        match source.next_event().await {
            Ok(event) if event.last => break End::of(&event),
            Ok(_) => {}
            Err(fault) => {
                if let Some(permit) = permit {
                    permit.record_refusal(&fault);
                }
                return Err(fault);
            }
        }
    };
    let body = answer::complete_body(api, model, response, source.text(), &end);
    if let Some(permit) = permit {
        permit.keep_answer(200, "application/json", &body);
    }
    let mut reply = Reply::text(200, String::new());
    reply.response.set_body(body);
    reply
        .response
        .insert_header("content-type", "application/json");
    reply.response.insert_header(headers::RESPONSE, response);
    Ok(reply)
}

/// Forwards the answer's events as they arrive; `skip` is the sequence number of
/// the first one.
pub(crate) fn stream(
    node: &Arc<Node>,
    api: Api,
    id: ids::Request,
    response: String,
    source: Source,
    permit: Option<Permit>,
    skip: u64,
) -> Reply {
    let (mut head, sender) = events::response();
    head.insert_header(headers::RESPONSE, response.as_str());
    let opened = node.count_open();
    let node = node.clone();
    let pump = async move {
        let _opened = opened;
        let outcome = forward_events(&node, api, response, source, sender, skip).await;
        let note = match &outcome {
            Ok(()) => "answered whole".to_string(),
            Err(fault) => format!("ended with {fault}"),
        };
        node.ring.record(node.name(), id, Hop::Caller, note);
        if let Some(permit) = permit {
            permit.streamed();
        }
    };
    Reply {
        response: head,
        pump: Some(Box::pin(pump)),
    }
}

async fn forward_events(
    node: &Node,
    api: Api,
    response: String,
    mut source: Source,
    mut sender: events::Sender,
    mut sequence: u64,
) -> Result<(), Fault> {
    let disconnected = |_| Fault::new(Kind::Lost, "the caller left");
    if api == Api::Responses {
        let created = answer::created_event(&response);
        sender.send("", &created).await.map_err(disconnected)?;
    }
    loop {
        let ended = async {
            node.stop.reached(Phase::Ending).await;
            let detail = "the box stopped before the answer was complete";
            Err(Fault::new(Kind::Lost, detail))
        };
        match source.next_event().or(ended).await {
            Ok(event) => {
                let id = event.offset.to_string();
                let data = event_data(api, &response, sequence, &event);
                sequence += 1;
                sender.send(&id, &data).await.map_err(disconnected)?;
                if event.last {
                    return sender.send("", "[DONE]").await.map_err(disconnected);
                }
            }
            Err(fault) => {
                // The error is sent as an event: a client could take a stream
                // that just ends for a complete answer.
                let body = serde_json::to_string(&fault.body()).unwrap_or_default();
                sender.send("", &body).await.map_err(disconnected)?;
                return Err(fault);
            }
        }
    }
}

/// The data of an event in the format of `api`.
fn event_data<'e>(api: Api, response: &str, sequence: u64, event: &'e Event) -> Cow<'e, str> {
    match (api, event.last) {
        (Api::Completions, _) => Cow::from(&event.data),
        (Api::Responses, false) => answer::delta_event(&event.text, sequence).into(),
        (Api::Responses, true) => answer::completed_event(response, &End::of(event)).into(),
    }
}
