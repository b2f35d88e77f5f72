//! Servers that answer with arbitrary bytes given by a test.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use smol::{Task, Timer};
use tidepier_h1::{Body, Conn, Framing, Head, Listener};
use tidepier_relay_standin::site::Site;

use crate::harness::{Executor, Result, SERVICE};

/// Time after which a connection with unacknowledged data is closed; never reached on
/// loopback.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest head of a request, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// A request that reached the server.
pub(crate) struct Request {
    /// Its attempt id.
    pub(crate) attempt: String,
    /// Its index on its connection, from 0.
    pub(crate) number: usize,
}

/// A running server; it stops when dropped.
pub(crate) struct Raw {
    _task: Task<()>,
}

impl Raw {
    /// Starts a server and registers it as `id`. `answer` returns the bytes of an answer,
    /// or `None` to close the connection.
    pub(crate) fn start(
        executor: &Executor,
        site: &Site,
        id: &str,
        answer: impl Fn(&Request) -> Option<String> + 'static,
    ) -> Result<Self> {
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        announce(site, id, &listener)?;
        let answer = Rc::new(answer);
        let tasks = executor.clone();
        let task = executor.spawn(async move {
            while let Ok(conn) = listener.accept(UNACKED_TIMEOUT).await {
                let answer = answer.clone();
                let serve = async move { serve(conn, &*answer).await };
                tasks.spawn(serve).detach();
            }
        });
        Ok(Self { _task: task })
    }
}

async fn serve(mut conn: Conn, answer: &impl Fn(&Request) -> Option<String>) {
    for number in 0.. {
        let Ok(Some(head)) = conn.request_head(HEAD_BYTES_MAX).await else {
            return;
        };
        if read(&mut conn, &head).await.is_err() {
            return;
        }
        let attempt = head.text("Attempt-Id").unwrap_or_default().to_owned();
        let Some(text) = answer(&Request { attempt, number }) else {
            return;
        };
        if conn.writer().write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn read(conn: &mut Conn, head: &Head) -> Result {
    let mut body = Body::new(Framing::of_request(head)?);
    let mut discarded = Vec::new();
    while body.read(conn, &mut discarded).await? {}
    Ok(())
}

/// A server that sends its answer in two parts.
pub(crate) struct TwoPartServer {
    /// Time from the request to the first part.
    pub(crate) first: Duration,
    /// Time from the first part to the second.
    pub(crate) second: Duration,
}

impl TwoPartServer {
    /// Starts the server and registers it as `id`. `answer` returns the two parts; a
    /// connection carries one request.
    pub(crate) fn start(
        self,
        executor: &Executor,
        site: &Site,
        id: &str,
        answer: impl Fn(&str) -> [String; 2] + 'static,
    ) -> Result<Raw> {
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        announce(site, id, &listener)?;
        let shared = Rc::new((self, answer));
        let tasks = executor.clone();
        let task = executor.spawn(async move {
            while let Ok(mut conn) = listener.accept(UNACKED_TIMEOUT).await {
                let shared = shared.clone();
                let serve = async move {
                    let (times, answer) = &*shared;
                    // An error here only means that the client disconnected.
                    let _ = times.serve(&mut conn, answer).await;
                };
                tasks.spawn(serve).detach();
            }
        });
        Ok(Raw { _task: task })
    }

    async fn serve(&self, conn: &mut Conn, answer: &impl Fn(&str) -> [String; 2]) -> Result {
        let Some(head) = conn.request_head(HEAD_BYTES_MAX).await? else {
            return Ok(());
        };
        read(conn, &head).await?;
        let [first, second] = answer(head.text("Attempt-Id").unwrap_or_default());
        Timer::after(self.first).await;
        conn.writer().write_all(first.as_bytes()).await?;
        Timer::after(self.second).await;
        conn.writer().write_all(second.as_bytes()).await?;
        Ok(())
    }
}

fn announce(site: &Site, id: &str, listener: &Listener) -> Result {
    let entry = json!({
        "service": SERVICE, "address": listener.address()?.to_string(), "zone": "hall-1",
        "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
    });
    site.store.put_server(id, &entry);
    Ok(())
}

/// A complete answer to an attempt, with or without a signature.
pub(crate) fn answer(attempt: &str, signed: bool) -> String {
    let seal = if signed { "Response-Seal: raw\r\n" } else { "" };
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n{seal}Content-Length: 2\r\n\r\nok")
}
