//! Chat completions and responses.

use std::sync::Arc;
use std::time::Duration;

use tidepier_errors::{Fault, Kind};
use tidepier_http::events;
use tidepier_http::server::Reply;
use tidepier_ids as ids;

use crate::dialect::answer;
use crate::dialect::request::{Api, Chat};
use crate::incoming::Incoming;
use crate::node::Node;
use crate::old;
use crate::once::{self, Permit};
use crate::place::Need;
use crate::seal::Ticket;
use crate::stream::{Job, Piece, Source};
use crate::trace::Hop;

/// The header that carries the response id of a streamed answer.
const RESPONSE_HEADER: &str = "tidepier-response";

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
    if let Some(old) = old::share(incoming, &model, prefix) {
        return old::pass(node, incoming, old, bytes).await;
    }
    let target = format!("model/{model}");
    let once = once::wanted(incoming.request, false)?;
    let permit = match &once {
        None => None,
        Some(wish) => match once::enter(node, incoming, &target, wish, bytes).await? {
            once::Entry::Permit(permit) => Some(permit),
            once::Entry::Answered(reply) => return Ok(*reply),
        },
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
    let need = Need {
        request: incoming.id,
        account: account.clone(),
        model: model.clone(),
        prefix,
        chat: chat.identity(account),
        returning: chat.returns(),
        prefer: prefer.map(|ticket| ticket.engine),
        avoid: Vec::new(),
        deadline: incoming.deadline,
    };
    let job = Job {
        need,
        priority: incoming.account.priority,
        chat: Some(chat),
        repeat: once.is_none(),
        linger,
        moved: false,
    };
    if let Some(permit) = &permit {
        permit.sending();
    }
    let source = Source::open(node.clone(), job).await;
    let source = match source {
        Ok(source) => source,
        Err(fault) => {
            if let Some(permit) = permit {
                permit.refused(&fault);
            }
            return Err(fault);
        }
    };
    let response = response_id(node, incoming, &model, &source);
    match streamed {
        true => Ok(stream(node, api, incoming.id, response, source, permit, 0)),
        false => whole(api, &model, &response, source, permit).await,
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

/// Collects the whole answer.
async fn whole(
    api: Api,
    model: &ids::Model,
    response: &str,
    mut source: Source,
    permit: Option<Permit>,
) -> Result<Reply, Fault> {
    let end = loop {
        match source.next().await {
            Ok(Piece::Token { .. }) => {}
            Ok(Piece::Last { end, .. }) => break end,
            Err(fault) => {
                if let Some(permit) = permit {
                    permit.refused(&fault);
                }
                return Err(fault);
            }
        }
    };
    let body = answer::whole(api, model, response, source.text(), &end);
    if let Some(permit) = permit {
        permit.done(200, "application/json", &body);
    }
    let mut reply = Reply::text(200, String::new());
    reply.response.set_body(body);
    reply
        .response
        .insert_header("content-type", "application/json");
    reply.response.insert_header(RESPONSE_HEADER, response);
    Ok(reply)
}

/// Passes the answer on as it comes.
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
    head.insert_header(RESPONSE_HEADER, response.as_str());
    let opened = node.opened();
    let node = node.clone();
    let pump = async move {
        let _opened = opened;
        let outcome = pump(api, response, source, sender, skip).await;
        let note = match &outcome {
            Ok(()) => "answered whole".to_string(),
            Err(fault) => format!("ended with {fault}"),
        };
        node.ring.note(node.name(), id, Hop::Caller, note);
        if let Some(permit) = permit {
            // A streamed answer is not kept.
            permit.streamed();
        }
    };
    Reply {
        response: head,
        pump: Some(Box::pin(pump)),
    }
}

async fn pump(
    api: Api,
    response: String,
    mut source: Source,
    mut sender: events::Sender,
    mut sequence: u64,
) -> Result<(), Fault> {
    let left = |_| Fault::new(Kind::Lost, "the caller left");
    if api == Api::Responses {
        let created = answer::created(&response);
        sender.send("", &created).await.map_err(left)?;
    }
    loop {
        match source.next().await {
            Ok(Piece::Token { offset, data }) => {
                let data = match api {
                    Api::Completions => data,
                    Api::Responses => answer::delta(&data, sequence),
                };
                sequence += 1;
                sender
                    .send(&offset.to_string(), &data)
                    .await
                    .map_err(left)?;
            }
            Ok(Piece::Last { offset, data, end }) => {
                let data = match api {
                    Api::Completions => data,
                    Api::Responses => answer::completed(&response, &end),
                };
                sender
                    .send(&offset.to_string(), &data)
                    .await
                    .map_err(left)?;
                return sender.send("", "[DONE]").await.map_err(left);
            }
            Err(fault) => {
                // Said aloud: a stream that just ends could pass for whole.
                let body = serde_json::to_string(&fault.body()).unwrap_or_default();
                sender.send("", &body).await.map_err(left)?;
                return Err(fault);
            }
        }
    }
}
