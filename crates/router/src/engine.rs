//! Sends requests to engines. The engines' protocol is behind a trait.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_lite::AsyncBufRead;
use tidepier_core::answer::Event;
use tidepier_core::work::Work;
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Answer, Call, Failure};
use tidepier_http::events::{Frame, Reader};
use tidepier_ids as ids;

use crate::deadline::Deadline;
use crate::node::Node;

/// The reader of an answer's events.
pub(crate) type Body = Reader<Box<dyn AsyncBufRead + Send + Unpin>>;

/// The protocol to engines for one request. It builds calls and reads events;
/// sending, placing and retrying are decided elsewhere.
pub(crate) trait Dialect: Send + Sync {
    /// The call that starts `work`, or continues its answer after `text`.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when there is no request to send.
    fn start(&self, work: &Work, text: &str) -> Result<Call, Fault>;

    /// The call that resumes an answer from `offset`.
    fn resume(&self, request: ids::Request, offset: u64) -> Call;

    /// The call that cancels an answer for its reader of the number `reader`.
    fn cancel(&self, request: ids::Request, reader: u64) -> Call;

    /// The engine's number for the reader of an answer.
    fn reader(&self, answer: &Answer) -> u64;

    /// The request that a frame belongs to, and its offset in the answer; `None`
    /// for a frame without them.
    fn position(&self, frame: &Frame) -> Option<(ids::Request, ids::Offset)>;

    /// The event of a frame; `None` for a frame that cannot be parsed.
    fn event(&self, frame: Frame) -> Option<Event>;
}

/// The address of an engine.
///
/// # Errors
///
/// [`Kind::Gone`] when the document in force does not name the engine.
pub(crate) fn address_of(node: &Node, engine: &ids::Engine) -> Result<SocketAddr, Fault> {
    let document = node.document()?;
    let found = document.engine(engine).map(|engine| engine.address.0);
    found.ok_or_else(|| Fault::new(Kind::Gone, format!("engine {engine} is gone")))
}

/// An engine's answer that has started.
pub(crate) struct Opened {
    pub(crate) address: SocketAddr,
    pub(crate) body: Body,
    /// The engine's number for this reader.
    pub(crate) reader: u64,
}

/// A request that an engine did not accept.
pub(crate) struct Failed {
    pub(crate) fault: Fault,
    /// The engine could not be reached or closed the connection, so it counts as
    /// gone. An engine that rejects the request or is late does not.
    pub(crate) gone: bool,
}

impl From<Fault> for Failed {
    fn from(fault: Fault) -> Self {
        Self { fault, gone: false }
    }
}

/// Sends a request to one engine, which continues the answer after `text` unless
/// that is empty.
///
/// # Errors
///
/// A fault whose kind tells whether the engine may have executed the request.
pub(crate) async fn send(
    node: &Arc<Node>,
    dialect: &dyn Dialect,
    work: &Work,
    engine: &ids::Engine,
    text: &str,
) -> Result<Opened, Failed> {
    let address = address_of(node, engine)?;
    let mut call = dialect.start(work, text)?;
    if !work.kind.repeatable() {
        call = call.once();
    }
    let sending = async { Ok(node.client.send(address, &call).await) };
    let deadline = Deadline::at(work.deadline);
    let sent = deadline.bound(Kind::Deadline, sending).await?;
    let answer = sent.map_err(|failure| Failed {
        fault: sending_fault(engine, &failure),
        gone: true,
    })?;
    let status = answer.status();
    if status != 200 {
        return Err(status_fault(engine, status).into());
    }
    Ok(Opened {
        address,
        reader: dialect.reader(&answer),
        body: body(answer),
    })
}

/// The reader of an answer's events.
pub(crate) fn body(answer: Answer) -> Body {
    Reader::new(Box::new(answer.reader()))
}

fn sending_fault(engine: &ids::Engine, failure: &Failure) -> Fault {
    match failure {
        Failure::Unsent(error) => {
            let detail = format!("engine {engine} cannot be reached: {error}");
            Fault::new(Kind::NoEngine, detail)
        }
        Failure::Unknown(error) => {
            let detail = format!("engine {engine} did not answer: {error}");
            Fault::new(Kind::Lost, detail)
        }
    }
}

fn status_fault(engine: &ids::Engine, status: u16) -> Fault {
    let detail = format!("engine {engine} answered {status}");
    match status {
        400..=499 => Fault::new(Kind::BadRequest, detail),
        503 => Fault::new(Kind::Refused, detail),
        _ => Fault::new(Kind::Lost, detail),
    }
}
