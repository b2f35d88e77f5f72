//! Reporting to the platform whether the process takes new connections.
//!
//! The answer is the process's own judgement at that moment: it is asked for
//! anew for every call and never kept. The endpoint serves a few connections
//! only, since the platform needs one, and holds none that rests.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use smol::{LocalExecutor, Timer};
use tidepier_h1::{Conn, Framing, Head, Listener, Malformed};
use tidepier_platform::monitoring;

use crate::timeout;

/// A connection that rests this long is closed. Many times the second between
/// two calls of the platform.
const IDLE: Duration = Duration::from_secs(15);
/// An answer that the peer does not take for so long ends the connection.
const UNACKED: Duration = Duration::from_secs(3);
/// Most connections at once; the platform's, and some of people who look.
const CONNECTIONS: usize = 16;
/// Largest head of a call, in bytes.
const HEAD_BYTES: usize = 4 << 10;
/// Pause after no connection could be accepted, as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);

/// Answers to whoever asks at `listener` whether the process is `ready`.
pub async fn serve(listener: Listener, ready: impl Fn() -> bool) {
    let page = |path: &str| match path {
        monitoring::READY if ready() => Page::new("200 OK", "ready\n".into()),
        monitoring::READY => Page::new("503 Service Unavailable", "not ready\n".into()),
        _ => Page::not_found(),
    };
    pages("readiness", listener, &page).await;
}

/// An answer in text.
pub(crate) struct Page {
    status: &'static str,
    text: String,
}

impl Page {
    pub(crate) fn new(status: &'static str, text: String) -> Self {
        Self { status, text }
    }

    pub(crate) fn not_found() -> Self {
        Self::new("404 Not Found", "not found\n".into())
    }

    fn bytes(&self) -> Vec<u8> {
        let Self { status, text } = self;
        let length = text.len();
        format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\n\
             Content-Length: {length}\r\n\r\n{text}"
        )
        .into_bytes()
    }
}

/// Answers `GET` at `listener` by `page`, which is given the path.
pub(crate) async fn pages(name: &str, listener: Listener, page: &impl Fn(&str) -> Page) {
    let open = Cell::new(0);
    let tasks = LocalExecutor::new();
    let accept = async {
        loop {
            match listener.accept(UNACKED).await {
                Ok(conn) if open.get() < CONNECTIONS => {
                    open.set(open.get() + 1);
                    let open = &open;
                    let talk = async move {
                        converse(name, conn, page).await;
                        open.set(open.get() - 1);
                    };
                    tasks.spawn(talk).detach();
                }
                Ok(_) => {
                    ::log::warn!(target: "listen", "event=connection_refused at={name} why=crowded")
                }
                Err(error) => {
                    ::log::warn!(target: "listen", "event=accept_failed at={name} why={error:?}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    tasks.run(accept).await
}

async fn converse(name: &str, mut conn: Conn, page: &impl Fn(&str) -> Page) {
    loop {
        match exchange(&mut conn, page).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => {
                ::log::debug!(target: "listen", "event=connection_failed at={name} why={error:?}");
                return;
            }
        }
    }
}

/// One call and its answer; whether another may follow.
async fn exchange(conn: &mut Conn, page: &impl Fn(&str) -> Page) -> Result<bool, Malformed> {
    let head = timeout::within(IDLE, conn.head(HEAD_BYTES)).await;
    let Some(head) = head.unwrap_or(Ok(None))? else {
        return Ok(false);
    };
    let bodiless = Framing::of_request(&head)? == Framing::Empty;
    let answer = if bodiless {
        answer(&head, page)
    } else {
        Page::new("400 Bad Request", "no body is taken here\n".into())
    };
    write(conn, &answer.bytes())
        .await
        .map_err(Malformed::Lost)?;
    Ok(bodiless && !head.closes())
}

fn answer(head: &Head, page: &impl Fn(&str) -> Page) -> Page {
    if head.method() != "GET" {
        return Page::new("405 Method Not Allowed", "only GET is known here\n".into());
    }
    let path = head.target().split('?').next().unwrap_or_default();
    page(path)
}

/// Writes an answer to a peer that takes it in time.
async fn write(conn: &Conn, bytes: &[u8]) -> io::Result<()> {
    let writer = conn.writer();
    let written = timeout::within(IDLE, writer.write_all(bytes)).await;
    written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
