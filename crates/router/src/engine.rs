//! Asking engines, in whatever way they speak.

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

/// The bytes of an answer on their way.
pub(crate) type Body = Reader<Box<dyn AsyncBufRead + Send + Unpin>>;

/// How engines are spoken to about one request. Calls are made and events are
/// read here; sending, placing and repeating them is decided elsewhere.
pub(crate) trait Dialect: Send + Sync {
    /// The call that starts `work`, going on after `text`.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when there is no request to send.
    fn start(&self, work: &Work, text: &str) -> Result<Call, Fault>;

    /// The call that reads an answer on from `offset`.
    fn resume(&self, request: ids::Request, offset: u64) -> Call;

    /// The call that ends an answer for its reader of the number `reader`.
    fn cancel(&self, request: ids::Request, reader: u64) -> Call;

    /// The engine's number for whoever reads an answer.
    fn reader(&self, answer: &Answer) -> u64;

    /// Which request a frame belongs to, and its place in the answer; `None` for
    /// a frame that does not tell.
    fn position(&self, frame: &Frame) -> Option<(ids::Request, ids::Offset)>;

    /// The event of a frame at its place; `None` for one that cannot be read.
    fn event(&self, frame: Frame) -> Option<Event>;
}

/// Where an engine listens.
///
/// # Errors
///
/// [`Kind::Gone`] when no document in force names it.
pub(crate) fn address_of(node: &Node, engine: &ids::Engine) -> Result<SocketAddr, Fault> {
    let document = node.document()?;
    let found = document.engine(engine).map(|engine| engine.address.0);
    found.ok_or_else(|| Fault::new(Kind::Gone, format!("engine {engine} is gone")))
}

/// An engine's answer that has begun.
pub(crate) struct Opened {
    pub(crate) address: SocketAddr,
    pub(crate) body: Body,
    /// The engine's number for this reader.
    pub(crate) reader: u64,
}

/// A request that an engine did not take.
pub(crate) struct Failed {
    pub(crate) fault: Fault,
    /// The engine could not be reached or closed the connection, so that it is
    /// taken for gone; one that refuses or is late is not.
    pub(crate) gone: bool,
}

impl From<Fault> for Failed {
    fn from(fault: Fault) -> Self {
        Self { fault, gone: false }
    }
}

/// Sends a request to one engine, going on after `text` where there is some.
///
/// # Errors
///
/// A fault whose kind tells whether the engine may have run it.
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
        fault: lost(engine, &failure),
        gone: true,
    })?;
    let status = answer.status();
    if status != 200 {
        return Err(refused(engine, status).into());
    }
    Ok(Opened {
        address,
        reader: dialect.reader(&answer),
        body: body(answer),
    })
}

/// The bytes of an answer.
pub(crate) fn body(answer: Answer) -> Body {
    Reader::new(Box::new(answer.reader()))
}

fn lost(engine: &ids::Engine, failure: &Failure) -> Fault {
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

fn refused(engine: &ids::Engine, status: u16) -> Fault {
    let detail = format!("engine {engine} answered {status}");
    match status {
        400..=499 => Fault::new(Kind::BadRequest, detail),
        503 => Fault::new(Kind::Refused, detail),
        _ => Fault::new(Kind::Lost, detail),
    }
}
