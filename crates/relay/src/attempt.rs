//! One attempt to send a request to one server.
//!
//! Invariants:
//!
//! * [`Executed::No`] is returned only if no byte of the request left this box, or if the
//!   server itself states that it did not execute the request.
//! * An answer is returned only if it names the attempt that was sent, and a success only
//!   if the server signed it.
//! * An attempt is sent over a connection once. All sendings of an attempt have one id, so
//!   that only the connection tells the answer to one of them from a late copy of the
//!   answer to another.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::{future, FutureExt};
use tidepier_clock::Instant;
use tidepier_core::answer::Answer;
use tidepier_h1::{head, Body, Conn, Framing, Head, Malformed, Unread};
use tidepier_platform::answer;

use crate::dial::Dialer;
use crate::events::Disorder;
use crate::fleet::advertisement::Ineligible;
use crate::fleet::used::Used;
use crate::fleet::{Backend, Fleet, InFlight, Permit, Plain};
use crate::timeout;
use crate::tunnel::gateways::MayPass;

/// Largest head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;
/// Largest answer to another request that is skipped, in bytes.
const SKIPPED_BYTES_MAX: usize = 256 << 10;
/// Maximum number of answers to other requests that are skipped on one connection.
const SKIPPED_MAX: usize = 2;

/// Whether a failed request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Executed {
    /// It was not executed and never will be.
    No,
    /// It may have been executed, or may yet be.
    Unknown,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum Cause {
    /// The server stopped taking new requests, which became known while the connection was
    /// being opened.
    Ineligible(Ineligible),
    /// No connection.
    Connect(io::Error),
    /// The connection was lost before the head of the answer.
    Lost(Malformed),
    /// No answer before the deadline.
    TimedOut,
    /// The answer names no attempt, or only other attempts.
    WrongAttempt,
    /// A success that the server did not sign.
    Unsigned,
    /// The body of the answer was cut off.
    Broken(io::Error),
    /// An event of a stream is out of order.
    Disordered(Disorder),
    /// A stream or the whole server stalled.
    Stalled,
    /// The server rejected the request with this status and did not execute it.
    Refused(u16),
    /// The server answered with an error of its own.
    Error(u16),
}

impl Cause {
    /// Whether the server may have crashed while it executed the request: the connection
    /// was cut off or stalled.
    pub fn may_be_crash(&self) -> bool {
        match self {
            Cause::Lost(Malformed::BrokenOff | Malformed::Lost(_)) | Cause::Stalled => true,
            Cause::Broken(error) => error.kind() != io::ErrorKind::InvalidData,
            _ => false,
        }
    }

    /// Whether the network may have failed instead of the server.
    pub fn may_be_network(&self) -> bool {
        matches!(self, Cause::TimedOut) || self.may_be_crash()
    }

    /// Whether the box that carried the connection is gone.
    pub fn is_carrier_lost(&self) -> bool {
        match self {
            Cause::Lost(Malformed::Lost(error)) | Cause::Broken(error) => {
                error.kind() == io::ErrorKind::UnexpectedEof
            }
            _ => false,
        }
    }

    /// A short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Cause::Ineligible(_) => "withheld",
            Cause::Connect(_) => "connect",
            Cause::Lost(_) => "lost",
            Cause::TimedOut => "late",
            Cause::WrongAttempt => "foreign",
            Cause::Unsigned => "unsigned",
            Cause::Broken(_) => "broken",
            Cause::Disordered(_) => "disordered",
            Cause::Stalled => "stalled",
            Cause::Refused(_) => "refused",
            Cause::Error(_) => "error",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Ineligible(why) => why.fmt(f),
            Cause::Connect(error) => write!(f, "no connection: {error}"),
            Cause::Lost(error) => write!(f, "no answer: {error}"),
            Cause::TimedOut => f.write_str("no answer in time"),
            Cause::WrongAttempt => f.write_str("the answer names another attempt"),
            Cause::Unsigned => f.write_str("the success is not signed"),
            Cause::Broken(error) => write!(f, "the answer was cut off: {error}"),
            Cause::Disordered(disorder) => write!(f, "out of order: {disorder}"),
            Cause::Stalled => f.write_str("the server stalled"),
            Cause::Refused(status) => write!(f, "the server rejected the request with {status}"),
            Cause::Error(status) => write!(f, "the server answered {status}"),
        }
    }
}

/// An attempt without an answer.
#[derive(Debug)]
pub struct Failure {
    /// Whether the request was executed.
    pub executed: Executed,
    /// Why there is no answer.
    pub cause: Cause,
}

/// Where the connection of an attempt comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It was idle in the pool.
    Pooled,
    /// It was opened for this attempt.
    Opened,
}

impl Origin {
    /// A short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Origin::Pooled => "pooled",
            Origin::Opened => "opened",
        }
    }
}

/// The connection of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Path {
    /// Where it comes from.
    pub origin: Origin,
    /// The box that carries it; `None` if it is direct.
    pub carrier: Option<SocketAddr>,
}

impl Path {
    /// Whether another box opened the connection for this attempt.
    pub fn is_new_tunnel(&self) -> bool {
        self.carrier.is_some() && self.origin == Origin::Opened
    }
}

/// A request as it is sent to one server.
pub struct Dispatch<'a> {
    /// Head and body, which are sent as one.
    pub parts: [&'a [u8]; 2],
    /// The request method.
    pub method: &'a str,
    /// Id of the attempt, which the answer has to name.
    pub attempt: &'a str,
    /// When the attempt is given up.
    pub deadline: Instant,
    /// Maximum idle time of a pooled connection that may carry the request.
    pub max_idle: Duration,
    /// Prompt tokens that the server has to prefill.
    pub prefill: u64,
    /// What is expected of the request at a server of a plain service.
    pub plain: Option<Plain>,
    /// Called once there is a connection, before anything is sent.
    pub on_connected: &'a dyn Fn(Path),
    /// The connections over which the request was sent before; it is sent over none of
    /// them again.
    pub used: &'a Used,
    /// Opens the connection, if none is pooled.
    pub dialer: &'a Dialer,
    /// The halls of boxes that may carry the connection.
    pub may_pass: MayPass<'a>,
    /// Records what the server reports of itself.
    pub fleet: &'a Fleet,
}

/// The head of an answer, and the state for reading its body.
pub struct Reply {
    /// The head as sent.
    pub head: Head<head::Answer>,
    /// The decoded head.
    pub answer: Answer,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// The body, not yet read.
    pub body: Body,
    /// The connection that it arrives on.
    pub conn: Conn,
    /// Whether the connection can carry another request after the body.
    pub reusable: bool,
    /// Counts the request as in flight at its server.
    pub running: InFlight,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// There is no answer that can be forwarded to the client.
pub async fn send(permit: &Permit, dispatch: &Dispatch<'_>) -> Result<Reply, Failure> {
    let backend = permit.backend();
    let running = backend.run(dispatch.prefill);
    backend.health.record_sent(Instant::now());
    let (mut conn, origin) = connection(backend, dispatch).await?;
    // An answer to another request may meanwhile have reported that the server takes
    // nothing new.
    permit.recheck(Instant::now()).map_err(ineligible)?;
    let carrier = conn.carried_by();
    dispatch.used.record(&conn);
    (dispatch.on_connected)(Path { origin, carrier });
    let sent = Instant::now();
    running.sent(dispatch.plain, sent);
    let exchanged = timeout::until(dispatch.deadline, exchange(&mut conn, dispatch)).await;
    let (own, written_whole) = exchanged.unwrap_or_else(|| Err(maybe_executed(Cause::TimedOut)))?;
    let OwnAnswer {
        head,
        answer,
        earlier,
    } = own;
    let framing = Framing::of_answer(&head, dispatch.method);
    let framing = framing.map_err(|error| maybe_executed(Cause::Lost(error)))?;
    let reusable = written_whole && !answer.close && framing != Framing::UntilClose;
    backend.record_received();
    // A server may reject requests while it answers none of those that it has accepted.
    match answer.not_executed {
        true => running.given_up(Instant::now()),
        false => running.answered(Instant::now()),
    }
    if !answer.not_executed && answer.status < 500 {
        backend.record_answering(sent, Instant::now());
    }
    earlier
        .iter()
        .chain([&answer])
        .for_each(|it| dispatch.fleet.observe_answer(backend, it, dispatch.attempt));
    if let Some(load) = answer.load {
        backend.record_load(load, Instant::now());
    }
    Ok(Reply {
        body: Body::new(framing),
        head,
        answer,
        framing,
        conn,
        reusable,
        running,
    })
}

fn ineligible(why: Ineligible) -> Failure {
    Failure {
        executed: Executed::No,
        cause: Cause::Ineligible(why),
    }
}

fn maybe_executed(cause: Cause) -> Failure {
    let executed = Executed::Unknown;
    Failure { executed, cause }
}

async fn connection(
    backend: &Rc<Backend>,
    dispatch: &Dispatch<'_>,
) -> Result<(Conn, Origin), Failure> {
    let (dialer, used) = (dispatch.dialer, dispatch.used);
    if let Some(conn) = dialer.pooled(backend, dispatch.may_pass, dispatch.max_idle, used) {
        return Ok((conn, Origin::Pooled));
    }
    let left = dispatch.deadline.saturating_duration_since(Instant::now());
    let opened = dialer.connect(backend, dispatch.may_pass, left);
    let opened = opened.await;
    let failure = |error| Failure {
        executed: Executed::No,
        cause: Cause::Connect(error),
    };
    opened.map(|conn| (conn, Origin::Opened)).map_err(failure)
}

/// Writes the request and reads the head of its answer. An answer may arrive before the
/// request is written; returns whether the request was written completely.
async fn exchange(conn: &mut Conn, dispatch: &Dispatch<'_>) -> Result<(OwnAnswer, bool), Failure> {
    let writer = conn.writer();
    let written = std::cell::Cell::new(false);
    let write = async {
        // A failed write ends the connection; the reader reports the reason.
        written.set(writer.write_both(dispatch.parts).await.is_ok());
        future::pending().await
    };
    let own = read(conn, dispatch).or(write).await?;
    Ok((own, written.get()))
}

/// The answer to this request.
struct OwnAnswer {
    head: Head<head::Answer>,
    answer: Answer,
    /// Answers to other requests that came first, from the same server.
    earlier: Vec<Answer>,
}

async fn read(conn: &mut Conn, dispatch: &Dispatch<'_>) -> Result<OwnAnswer, Failure> {
    let mut earlier: Vec<Answer> = Vec::new();
    loop {
        let head = conn.answer_head(HEAD_BYTES_MAX).await;
        let head = head.map_err(|error| maybe_executed(Cause::Lost(error)))?;
        let answer = answer::decode(&head);
        match answer.attempt.as_deref() {
            Some(attempt) if attempt == dispatch.attempt => {
                check_signature(&answer)?;
                return Ok(own_answer(head, answer, earlier));
            }
            None if answer.not_executed => return Ok(own_answer(head, answer, earlier)),
            Some(_) if earlier.len() < SKIPPED_MAX => {
                log::info!(
                    target: "request",
                    "event=surplus id={} of={} status={}",
                    dispatch.attempt,
                    answer.attempt.as_deref().unwrap_or("-"),
                    answer.status
                );
                earlier.push(answer);
                metrics::counter!("tidepier_surplus_answers_total").increment(1);
                skip(conn, &head, dispatch.method).await?;
            }
            _ => return Err(maybe_executed(Cause::WrongAttempt)),
        }
    }
}

fn check_signature(answer: &Answer) -> Result<(), Failure> {
    if matches!(answer.status, 200..=299) && !answer.signed {
        return Err(maybe_executed(Cause::Unsigned));
    }
    Ok(())
}

fn own_answer(head: Head<head::Answer>, answer: Answer, mut earlier: Vec<Answer>) -> OwnAnswer {
    // Only this answer shows which server sent the earlier ones, so they take its server
    // id. An answer with MISDIRECTED shows that another server has this address, so the
    // earlier ones are dropped.
    match answer.status {
        answer::MISDIRECTED => earlier.clear(),
        _ => earlier
            .iter_mut()
            .for_each(|it| it.server.clone_from(&answer.server)),
    }
    OwnAnswer {
        head,
        answer,
        earlier,
    }
}

/// Reads and discards the body of an answer to another request.
///
async fn skip(conn: &mut Conn, head: &Head<head::Answer>, method: &str) -> Result<(), Failure> {
    let framing = Framing::of_answer(head, method);
    let framing = framing.map_err(|error| maybe_executed(Cause::Lost(error)))?;
    if framing == Framing::UntilClose {
        return Err(maybe_executed(Cause::WrongAttempt));
    }
    let rest = Body::new(framing).rest(conn, None, SKIPPED_BYTES_MAX).await;
    rest.map_err(|error| match error {
        Unread::Broken(error) => maybe_executed(Cause::Broken(error)),
        Unread::TooLong(_) => maybe_executed(Cause::WrongAttempt),
    })
}
