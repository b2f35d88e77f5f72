//! One sending of a request to one server.
//!
//! Invariants:
//!
//! * [`Executed::No`] is said only where no byte of the request left this box, or
//!   where the server itself states that it did not run.
//! * An answer is returned only if it names the attempt that was sent, and a
//!   success only if the server signed it.

use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::{future, FutureExt};
use tidepier_clock::Instant;
use tidepier_core::answer::Answer;
use tidepier_h1::{Body, Conn, Framing, Head, Malformed, Unread};
use tidepier_platform::answer;

use crate::fleet::advertisement::Ineligible;
use crate::fleet::{Backend, Fleet, InFlight, Permit};
use crate::timeout;

/// Longest time to open a connection to a server: over ten round trips
/// between halls, and far under the time after which a lost opening is
/// repeated. Nothing was sent then, so another server is tried at once.
pub(crate) const CONNECT_TIME: Duration = Duration::from_millis(150);
/// Data that a server leaves unacknowledged for so long ends its connection.
const UNACKED_TIME: Duration = Duration::from_secs(3);
/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 16 << 10;
/// Largest answer to another request that is skipped, in bytes.
const SURPLUS_BYTES: usize = 256 << 10;
/// Answers to other requests that are skipped on one connection.
const SURPLUS_MAX: usize = 2;

/// Whether a request that failed has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Executed {
    /// It has not and never will.
    No,
    /// It may have, or may yet.
    Unknown,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum Cause {
    /// The server takes nothing new, as was learned while a connection was opened.
    Withheld(Ineligible),
    /// No connection.
    Connect(io::Error),
    /// The connection broke off before an answer's head.
    Lost(Malformed),
    /// No answer in time.
    Late,
    /// The answer names no attempt, or others only.
    WrongAttempt,
    /// A success that the server did not sign.
    Unsigned,
    /// The answer's body broke off.
    Broken(io::Error),
    /// A stream, or the whole server, went silent.
    Stalled,
    /// The server refused it, with this status, and did not run it.
    Refused(u16),
    /// The server answered with an error of its own.
    Error(u16),
}

impl Cause {
    /// Whether the server may have ended while it ran the request: the connection
    /// broke off or went silent.
    pub fn may_be_crash(&self) -> bool {
        match self {
            Cause::Lost(Malformed::BrokenOff | Malformed::Lost(_)) | Cause::Stalled => true,
            Cause::Broken(error) => error.kind() != io::ErrorKind::InvalidData,
            _ => false,
        }
    }

    /// A short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Cause::Withheld(_) => "withheld",
            Cause::Connect(_) => "connect",
            Cause::Lost(_) => "lost",
            Cause::Late => "late",
            Cause::WrongAttempt => "foreign",
            Cause::Unsigned => "unsigned",
            Cause::Broken(_) => "broken",
            Cause::Stalled => "stalled",
            Cause::Refused(_) => "refused",
            Cause::Error(_) => "error",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Withheld(why) => why.fmt(f),
            Cause::Connect(error) => write!(f, "no connection: {error}"),
            Cause::Lost(error) => write!(f, "no answer: {error}"),
            Cause::Late => f.write_str("no answer in time"),
            Cause::WrongAttempt => f.write_str("the answer is not to this attempt"),
            Cause::Unsigned => f.write_str("a success without a signature"),
            Cause::Broken(error) => write!(f, "the answer broke off: {error}"),
            Cause::Stalled => f.write_str("the server went silent"),
            Cause::Refused(status) => write!(f, "the server refused it with {status}"),
            Cause::Error(status) => write!(f, "the server answered {status}"),
        }
    }
}

/// A sending without an answer.
#[derive(Debug)]
pub struct Failure {
    /// Whether the request has run.
    pub ran: Executed,
    /// Why.
    pub cause: Cause,
}

/// A request as it goes to one server.
pub struct Dispatch<'a> {
    /// Head and body.
    pub bytes: &'a [u8],
    /// Its method.
    pub method: &'a str,
    /// The attempt that the answer has to name.
    pub attempt: &'a str,
    /// When it is given up.
    pub deadline: Instant,
    /// Longest rest of a kept connection that may carry it.
    pub max_idle: Duration,
    /// Prompt tokens that the server has to read.
    pub prefill: u64,
    /// Called when there is a connection, before anything is sent.
    pub on_connected: &'a dyn Fn(),
    /// Is told what the server says of itself.
    pub fleet: &'a Fleet,
}

/// The head of an answer, and what its body comes from.
pub struct Reply {
    /// The head as sent.
    pub head: Head,
    /// What it says.
    pub answer: Answer,
    /// How its body ends.
    pub framing: Framing,
    /// The body, unread.
    pub body: Body,
    /// The connection that it arrives on.
    pub conn: Conn,
    /// Whether the connection can carry another request after the body.
    pub reusable: bool,
    /// Keeps the request counted at its server.
    pub running: InFlight,
}

/// Sends a request; waits for the head of its answer.
///
/// # Errors
///
/// There is no answer that can be passed on.
pub async fn send(permit: &Permit, sending: &Dispatch<'_>) -> Result<Reply, Failure> {
    let backend = permit.backend();
    let running = backend.run(sending.prefill);
    backend.health.sent(Instant::now());
    let mut conn = connection(backend, sending).await?;
    // An answer to another request may have brought the server's word meanwhile.
    permit.renewed(Instant::now()).map_err(not_sent)?;
    (sending.on_connected)();
    let exchanged = timeout::until(sending.deadline, exchange(&mut conn, sending)).await;
    let (own, whole) = exchanged.unwrap_or_else(|| Err(unknown(Cause::Late)))?;
    let Own {
        head,
        answer,
        before,
    } = own;
    let framing = Framing::of_answer(&head, sending.method);
    let framing = framing.map_err(|error| unknown(Cause::Lost(error)))?;
    let reusable = whole && !answer.close && framing != Framing::UntilClose;
    backend.record_received();
    before
        .iter()
        .chain([&answer])
        .for_each(|it| sending.fleet.observe_answer(backend, it, sending.attempt));
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

fn not_sent(why: Ineligible) -> Failure {
    Failure {
        ran: Executed::No,
        cause: Cause::Withheld(why),
    }
}

fn unknown(cause: Cause) -> Failure {
    let ran = Executed::Unknown;
    Failure { ran, cause }
}

async fn connection(backend: &Rc<Backend>, sending: &Dispatch<'_>) -> Result<Conn, Failure> {
    if let Some(conn) = backend.connection(sending.max_idle) {
        return Ok(conn);
    }
    let left = sending.deadline.saturating_duration_since(Instant::now());
    let opened = open(backend, CONNECT_TIME.min(left)).await;
    opened.map_err(|error| Failure {
        ran: Executed::No,
        cause: Cause::Connect(error),
    })
}

/// Whether a server takes a connection, which then rests for the next request.
pub(crate) async fn accepts_connection(backend: &Backend) -> bool {
    match open(backend, CONNECT_TIME).await {
        Ok(conn) => {
            backend.keep(conn, None);
            true
        }
        Err(error) => {
            log::info!(target: "request", "event=not_there server={} why=\"{error}\"", backend.server.id);
            false
        }
    }
}

/// Opens a connection to a server.
///
/// # Errors
///
/// The server refused, or did not answer within `limit`.
pub(crate) async fn open(backend: &Backend, limit: Duration) -> io::Result<Conn> {
    metrics::counter!("tidepier_server_connections_total").increment(1);
    let start = Instant::now();
    let conn = Conn::open(backend.server.address, limit, UNACKED_TIME).await?;
    backend.hall.record_connect_time(start.elapsed());
    Ok(conn)
}

/// Writes the request and reads the head of its answer. An answer may come
/// before the request is written; whether it was written whole is returned.
async fn exchange(conn: &mut Conn, sending: &Dispatch<'_>) -> Result<(Own, bool), Failure> {
    let writer = conn.writer();
    let written = std::cell::Cell::new(false);
    let write = async {
        // A failed write ends the connection; the reader reports why.
        written.set(writer.write_all(sending.bytes).await.is_ok());
        future::pending().await
    };
    let own = read(conn, sending).or(write).await?;
    Ok((own, written.get()))
}

/// The answer to this request.
struct Own {
    head: Head,
    answer: Answer,
    /// Answers to other requests that came first, from the same server.
    before: Vec<Answer>,
}

async fn read(conn: &mut Conn, sending: &Dispatch<'_>) -> Result<Own, Failure> {
    let mut before: Vec<Answer> = Vec::new();
    loop {
        let head = conn
            .head(HEAD_BYTES)
            .await
            .map_err(|e| unknown(Cause::Lost(e)))?;
        let head = head.ok_or_else(|| unknown(Cause::Lost(Malformed::BrokenOff)))?;
        if matches!(head.status(), 100..=199) {
            continue;
        }
        let answer = answer::decode(&head);
        match answer.attempt.as_deref() {
            Some(attempt) if attempt == sending.attempt => {
                signed(&answer)?;
                return Ok(own(head, answer, before));
            }
            None if answer.not_run => return Ok(own(head, answer, before)),
            Some(_) if before.len() < SURPLUS_MAX => {
                before.push(answer);
                metrics::counter!("tidepier_surplus_answers_total").increment(1);
                skip(conn, &head, sending.method).await?;
            }
            _ => return Err(unknown(Cause::WrongAttempt)),
        }
    }
}

fn signed(answer: &Answer) -> Result<(), Failure> {
    if matches!(answer.status, 200..=299) && !answer.signed {
        return Err(unknown(Cause::Unsigned));
    }
    Ok(())
}

fn own(head: Head, answer: Answer, mut before: Vec<Answer>) -> Own {
    // Who gave them shows by this one alone: its server, unless it is another's.
    match answer.status {
        answer::MISDIRECTED => before.clear(),
        _ => before
            .iter_mut()
            .for_each(|it| it.server.clone_from(&answer.server)),
    }
    Own {
        head,
        answer,
        before,
    }
}

/// Reads past the body of an answer that nobody waits for.
async fn skip(conn: &mut Conn, head: &Head, method: &str) -> Result<(), Failure> {
    let framing = Framing::of_answer(head, method);
    let framing = framing.map_err(|error| unknown(Cause::Lost(error)))?;
    if framing == Framing::UntilClose {
        return Err(unknown(Cause::WrongAttempt));
    }
    let rest = Body::new(framing).rest(conn, None, SURPLUS_BYTES).await;
    rest.map_err(|error| match error {
        Unread::Broken(error) => unknown(Cause::Broken(error)),
        Unread::TooLong(_) => unknown(Cause::WrongAttempt),
    })
}
