//! Reading on an answer, through any box: `GET /v1/responses/ID`.

use std::sync::Arc;

use tidepier_errors::{Fault, Kind};
use tidepier_http::server::Reply;
use tidepier_ids as ids;

use crate::chat;
use crate::dialect::request::Api;
use crate::incoming::Incoming;
use crate::node::Node;
use crate::place::Need;
use crate::stream::{Job, Source};
use crate::trace::Hop;

/// Continues the stream of a response id after the offset that the caller has.
///
/// # Errors
///
/// [`Kind::NotFound`] for an id that is not this fleet's or not the account's,
/// without telling which; [`Kind::Gone`] for an answer no longer kept.
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
    let from = next_offset(incoming)?;
    let note = format!("resumes {} on {} at {from}", ticket.request, ticket.engine);
    node.ring.note(node.name(), incoming.id, Hop::Caller, note);
    let need = Need {
        request: ticket.request,
        account: ticket.account,
        model: ticket.model,
        prefix: ids::Prefix::default(),
        chat: ids::Chat::default(),
        returning: true,
        prefer: None,
        avoid: Vec::new(),
        deadline: incoming.deadline,
    };
    let job = Job {
        need,
        priority: incoming.account.priority,
        chat: None,
        repeat: false,
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

/// The offset after the last one that the caller has.
fn next_offset(incoming: &Incoming<'_>) -> Result<u64, Fault> {
    let request = incoming.request;
    let query = request
        .url()
        .query_pairs()
        .find(|(name, _)| name == "starting_after");
    let query = query.map(|(_, value)| value.into_owned());
    let header = request
        .header("last-event-id")
        .map(|values| values.last().as_str().to_string());
    let Some(text) = query.or(header) else {
        return Ok(0);
    };
    match text.parse::<u64>() {
        Ok(last) => Ok(last.saturating_add(1)),
        Err(_) => {
            let detail = format!("starting_after: found {text:?}; allowed: a number");
            Err(Fault::new(Kind::BadRequest, detail))
        }
    }
}
