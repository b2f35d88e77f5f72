//! Forwards a share of the chats to old back ends, as the document declares it.

use std::sync::Arc;

use tidepier_config::document::Old;
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Answer, Call, Failure};
use tidepier_http::events::{self, Reader};
use tidepier_http::server::Reply;
use tidepier_ids as ids;

use crate::dialect::incoming::Incoming;
use crate::node::Node;
use crate::trace::Hop;

/// Largest answer without streaming, in bytes.
const ANSWER_BYTES_MAX: u64 = 8 << 20;
/// The data of a stream's last event.
const DONE: &str = "[DONE]";

/// The document's entry by which this chat goes to an old back end, if any. The
/// first entry for the chat's model and account decides.
pub(crate) fn select<'d>(
    incoming: &Incoming<'d>,
    model: &ids::Model,
    prefix: ids::Prefix,
) -> Option<&'d Old> {
    let fits = |old: &&Old| {
        let account = old
            .account
            .as_ref()
            .is_none_or(|name| *name == incoming.account.name);
        old.model == *model && account
    };
    let old = incoming.document.old.iter().find(fits)?;
    (prefix.0 % 100 < u64::from(old.percent)).then_some(old)
}

/// Forwards a chat to an old back end.
///
/// # Errors
///
/// [`Kind::NoEngine`] when nothing was sent, else [`Kind::Lost`].
pub(crate) async fn forward(
    node: &Arc<Node>,
    incoming: &Incoming<'_>,
    old: &Old,
    bytes: &[u8],
) -> Result<Reply, Fault> {
    metrics::counter!("tidepier_old_requests_total").increment(1);
    let address = old.address.0;
    let note = format!("{}% of {} stay on {address}", old.percent, old.model);
    node.ring
        .record(node.name(), incoming.id, Hop::Engine, note);
    let call = Call::post("/v1/chat/completions", bytes)
        .header("x-request-id", incoming.id.to_string())
        .once();
    let sending = async {
        let sent = node.client.send(address, &call).await;
        sent.map_err(|failure| sending_fault(&failure))
    };
    let answer = incoming.deadline.bound(Kind::Deadline, sending).await?;
    let mime = answer
        .header("content-type")
        .unwrap_or("application/json")
        .to_string();
    if answer.status() == 200 && mime.starts_with("text/event-stream") {
        return Ok(stream(node, answer));
    }
    let complete = answer.whole(ANSWER_BYTES_MAX);
    let reading = async { complete.await.map_err(|failure| sending_fault(&failure)) };
    let complete = incoming.deadline.bound(Kind::Deadline, reading).await?;
    let mut reply = Reply::text(complete.status, String::new());
    reply.response.set_body(complete.bytes);
    reply.response.insert_header("content-type", mime);
    Ok(reply)
}

fn sending_fault(failure: &Failure) -> Fault {
    let detail = format!("the old back end: {failure}");
    match failure {
        Failure::Unsent(_) => Fault::new(Kind::NoEngine, detail),
        Failure::Unknown(_) => Fault::new(Kind::Lost, detail),
    }
}

/// Forwards the events; a stream that ends without its end mark gets an error
/// event.
fn stream(node: &Arc<Node>, answer: Answer) -> Reply {
    let (response, mut sender) = events::response();
    let opened = node.count_open();
    let pump = async move {
        let _opened = opened;
        let mut reader = Reader::new(answer.reader());
        // Old back ends do not number their events, but clients expect offsets.
        let mut offset = 0_u64;
        while let Ok(Some(frame)) = reader.next().await {
            let last = frame.data == DONE;
            let id = if last {
                String::new()
            } else {
                offset.to_string()
            };
            offset += 1;
            if sender.send(&id, &frame.data).await.is_err() || last {
                return;
            }
        }
        let fault = Fault::new(Kind::Broken, "the old back end broke off");
        let body = serde_json::to_string(&fault.body()).unwrap_or_default();
        // A failure to send means that the client has disconnected, so there is
        // no one to report it to.
        let _ = sender.send("", &body).await;
    };
    Reply {
        response,
        pump: Some(Box::pin(pump)),
    }
}
