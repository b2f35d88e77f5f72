//! Resumes the stream of an answer through any box: `GET /v1/responses/ID`.

use std::sync::Arc;

use tidepier_core::catalog;
use tidepier_core::request::Prompt;
use tidepier_core::work::Work;
use tidepier_errors::{Fault, Kind};
use tidepier_http::server::Reply;

use crate::dialect::engine::{Engine, STALL_TIMEOUTS};
use crate::dialect::incoming::Incoming;
use crate::dialect::request::Api;
use crate::dialect::{chat, headers};
use crate::job::Job;
use crate::node::Node;
use crate::stream::Source;
use crate::trace::Hop;

/// Resumes the stream of a response id after the offset that the client has.
///
/// # Errors
///
/// [`Kind::NotFound`] for an id that belongs to another fleet or account,
/// without telling which; [`Kind::Gone`] for an answer that is no longer kept.
pub(crate) async fn handle(
    node: &Arc<Node>,
    incoming: &Incoming<'_>,
    response: &str,
) -> Result<Reply, Fault> {
    let unknown = || Fault::new(Kind::NotFound, "no such response");
    let ticket = node.sealer.open(response).ok_or_else(unknown)?;
    if ticket.account != incoming.account.name {
        return Err(unknown());
    }
    let from = headers::next_offset(incoming.request)?;
    let note = format!("resumes {} on {} at {from}", ticket.request, ticket.engine);
    node.ring
        .record(node.name(), incoming.id, Hop::Caller, note);
    let work = Work {
        id: ticket.request,
        account: ticket.account,
        priority: incoming.account.priority as u8,
        model: ticket.model,
        prompt: Prompt::default(),
        returning: true,
        prefer: None,
        avoid: Vec::new(),
        // This box does not have the request, so no other engine can continue
        // its answer.
        kind: catalog::Kind::Stream { resumable: false },
        deadline: incoming.deadline.instant(),
        stall_timeouts: STALL_TIMEOUTS,
    };
    let job = Job {
        work,
        dialect: Box::new(Engine { chat: None }),
        linger: node.settings.tuning.linger_ms.duration(),
        moved: false,
    };
    let source = Source::attach(node.clone(), job, ticket.engine, from).await?;
    let response = response.to_string();
    Ok(chat::stream(
        node,
        Api::Completions,
        incoming.id,
        response,
        source,
        None,
        from,
    ))
}
