//! Calls: one request and its answer over a connection that is kept.
//!
//! Invariants:
//!
//! * One call, one request: nothing is repeated here.
//! * A connection on which a call failed, ran out of time or was cancelled is
//!   dropped, so that no late answer is taken for the answer of another call.
//! * A failure states whether the request may have arrived: see [`Failure`].

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

use crate::account::{Account, Share};
use crate::body::{Body, Framing, Unread};
use crate::conn::Conn;
use crate::head::{Answer, Head, Malformed};
use crate::write;

/// Bytes of an announced body length that are set aside before they arrive:
/// more than an answer usually has, little against what a process may hold.
const RESERVE_BYTES: u64 = 2 << 20;

/// What a caller waits for and takes at most.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest time for a connection to open.
    pub open: Duration,
    /// Longest time that sent bytes may stay without acknowledgement.
    pub unacked: Duration,
    /// Largest head of an answer, in bytes.
    pub head_bytes: usize,
    /// Largest body of an answer, in bytes.
    pub body_bytes: usize,
}

/// A request to be made.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Type and bytes of its body, if it has one.
    pub body: Option<(&'a str, &'a [u8])>,
}

impl Request<'_> {
    fn bytes(&self, host: SocketAddr) -> Vec<u8> {
        let mut bytes = Vec::new();
        write::request(&mut bytes, self.method, self.target);
        write::display(&mut bytes, "Host", host);
        if let Some((kind, body)) = self.body {
            write::field(&mut bytes, "Content-Type", kind.as_bytes());
            write::display(&mut bytes, "Content-Length", body.len());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(self.body.map_or(b"", |(_, body)| body));
        bytes
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// Its head.
    pub head: Head<Answer>,
    /// Its body.
    pub body: Vec<u8>,
    /// The memory that the body takes.
    pub memory: Share,
}

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A connection is being opened.
    Open,
    /// The request is being sent.
    Send,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The peer was not reached; it has seen nothing of the request.
    #[error("not sent: {0}")]
    NotSent(io::Error),
    /// No whole answer came in time; the request may have arrived, or may yet.
    #[error("no answer: {0}")]
    NoAnswer(io::Error),
    /// The answer cannot be read; the request may have arrived.
    #[error("unreadable answer: {0}")]
    Malformed(String),
}

/// Calls one peer, one call at a time on its kept connection; further ones at
/// the same time open their own.
pub struct Caller {
    address: SocketAddr,
    limits: Limits,
    /// The memory of the answers' bodies.
    memory: Rc<Account>,
    kept: RefCell<Option<Conn>>,
}

impl Caller {
    /// A caller of the peer at `address`; connects when first called.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        Self::sharing(address, limits, Rc::new(Account::new(usize::MAX)))
    }

    /// The same; the bodies of its answers take memory of an account that it shares.
    pub fn sharing(address: SocketAddr, limits: Limits, memory: Rc<Account>) -> Self {
        Self {
            address,
            limits,
            memory,
            kept: RefCell::default(),
        }
    }

    /// Makes a call within `limit`, on the kept connection if it is good.
    /// `note` is called with each step before it is taken.
    ///
    /// # Errors
    ///
    /// See [`Failure`].
    pub async fn call(
        &self,
        request: &Request<'_>,
        limit: Duration,
        note: impl Fn(Step),
    ) -> Result<Reply, Failure> {
        let sent = Cell::new(false);
        let note = |step| {
            sent.set(step == Step::Send);
            note(step);
        };
        let late = async {
            Timer::after(limit).await;
            let error = io::ErrorKind::TimedOut.into();
            match sent.get() {
                true => Err(Failure::NoAnswer(error)),
                false => Err(Failure::NotSent(error)),
            }
        };
        let (reply, kept) = self.attempt(request, limit, &note).or(late).await?;
        if kept.is_some() {
            self.kept.replace(kept);
        }
        Ok(reply)
    }

    async fn attempt(
        &self,
        request: &Request<'_>,
        limit: Duration,
        note: &impl Fn(Step),
    ) -> Result<(Reply, Option<Conn>), Failure> {
        let kept = self.kept.take();
        let mut conn = match kept.and_then(|mut conn| conn.rests().then_some(conn)) {
            Some(conn) => conn,
            None => {
                note(Step::Open);
                let limit = self.limits.open.min(limit);
                let conn = Conn::open(self.address, limit, self.limits.unacked).await;
                conn.map_err(Failure::NotSent)?
            }
        };
        // From here on even a part of the request may count as sent: the rest
        // may be on its way when an error is seen.
        note(Step::Send);
        let written = conn.writer().write_all(&request.bytes(self.address)).await;
        written.map_err(Failure::NoAnswer)?;
        let head = self.head(&mut conn).await?;
        let framing = Framing::of_answer(&head, request.method)
            .map_err(|error| Failure::Malformed(error.to_string()))?;
        let memory = self.memory.share();
        let body = self.body(&mut conn, framing, &memory).await?;
        let keeps = !head.closes() && framing != Framing::UntilClose;
        let reply = Reply { head, body, memory };
        Ok((reply, keeps.then_some(conn)))
    }

    async fn head(&self, conn: &mut Conn) -> Result<Head<Answer>, Failure> {
        let head = conn.answer_head(self.limits.head_bytes).await;
        head.map_err(|error| match error {
            Malformed::BrokenOff => Failure::NoAnswer(io::ErrorKind::UnexpectedEof.into()),
            Malformed::Lost(error) => Failure::NoAnswer(error),
            error => Failure::Malformed(error.to_string()),
        })
    }

    async fn body(
        &self,
        conn: &mut Conn,
        framing: Framing,
        memory: &Share,
    ) -> Result<Vec<u8>, Failure> {
        let mut bytes = Vec::new();
        if let Framing::Length(length) = framing {
            bytes.reserve_exact(length.min(RESERVE_BYTES) as usize);
        }
        let mut body = Body::new(framing);
        while body.read(conn, &mut bytes).await.map_err(unread)? {
            if bytes.len() > self.limits.body_bytes {
                let error = Unread::TooLong(self.limits.body_bytes);
                return Err(Failure::Malformed(error.to_string()));
            }
            if !memory.set(bytes.len()) {
                let why = format!("no memory for a body over {} bytes", bytes.len());
                return Err(Failure::Malformed(why));
            }
        }
        Ok(bytes)
    }
}

fn unread(error: io::Error) -> Failure {
    match error.kind() {
        io::ErrorKind::InvalidData => Failure::Malformed(error.to_string()),
        _ => Failure::NoAnswer(error),
    }
}
