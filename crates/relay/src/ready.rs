//! The readiness endpoint: reports to the platform whether the process accepts new
//! connections.
//!
//! Readiness is evaluated anew for every request and never cached. The endpoint
//! serves only a few connections at once, since the platform needs one, and closes
//! idle ones. A further connection takes the place of one that has got no answer yet, or
//! else of the one that got its last answer first, so that nobody is kept out by
//! connections that are held open.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::yield_now;
use smol::{LocalExecutor, Task, Timer};
use tidepier_clock::Instant;
use tidepier_h1::{Conn, Framing, Head, Listener, Malformed};
use tidepier_platform::monitoring;

use crate::timeout;

/// Time after which an idle connection is closed; many times the platform's interval
/// of one second between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a connection is closed whose peer does not acknowledge sent data.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);
/// Most connections at once: the platform's, and a few for people who inspect the
/// endpoint.
const CONNECTIONS_MAX: usize = 16;
/// Largest head of a request, in bytes.
const HEAD_BYTES_MAX: usize = 4 << 10;
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Serves the readiness endpoint at `listener`; `ready` is evaluated per request.
pub async fn serve(listener: Listener, ready: impl Fn() -> bool) {
    let page = |path: &str| match path {
        monitoring::READY if ready() => Page::new("200 OK", "ready\n".into()),
        monitoring::READY => Page::new("503 Service Unavailable", "not ready\n".into()),
        _ => Page::not_found(),
    };
    serve_pages("readiness", listener, &page).await;
}

/// A plain text answer.
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

    /// The answer to a request with `method`; one to `HEAD` has no body.
    fn bytes(&self, method: &str) -> Vec<u8> {
        let Self { status, text } = self;
        let length = text.len();
        let body = if method == "HEAD" { "" } else { text };
        format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

/// A connection that is being served; closed when dropped.
struct Connection {
    task: Task<()>,
    used: Rc<Used>,
}

/// When a connection was last of use.
struct Used {
    is_answered: Cell<bool>,
    at: Cell<Instant>,
}

/// Serves `GET` requests at `listener`; `page` makes the answer for a path.
pub(crate) async fn serve_pages(name: &str, listener: Listener, page: &impl Fn(&str) -> Page) {
    let tasks = LocalExecutor::new();
    let accept = async {
        let mut open: Vec<Connection> = Vec::new();
        loop {
            match listener.accept(UNACKED_TIMEOUT).await {
                Ok(conn) => {
                    open.retain(|it| !it.task.is_finished());
                    if open.len() >= CONNECTIONS_MAX {
                        close_least_used(&mut open);
                        ::log::warn!(target: "listen", "event=connection_refused at={name} why=crowded");
                    }
                    let used = Rc::new(Used {
                        is_answered: Cell::new(false),
                        at: Cell::new(Instant::now()),
                    });
                    let task = tasks.spawn(serve_connection(name, conn, page, used.clone()));
                    open.push(Connection { task, used });
                    // A request that has come with its connection is answered before the
                    // next one is accepted.
                    yield_now().await;
                }
                Err(error) => {
                    ::log::warn!(target: "listen", "event=accept_failed at={name} why={error:?}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    tasks.run(accept).await
}

/// Closes the connection that has waited for longest for its first request or, if all have got
/// an answer, for the next one.
fn close_least_used(open: &mut Vec<Connection>) {
    let key = |it: &Connection| (it.used.is_answered.get(), it.used.at.get());
    let least = (0..open.len()).min_by_key(|at| key(&open[*at]));
    least.map(|at| open.swap_remove(at));
}

async fn serve_connection(
    name: &str,
    mut conn: Conn,
    page: &impl Fn(&str) -> Page,
    used: Rc<Used>,
) {
    loop {
        match serve_request(&mut conn, page).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => {
                ::log::debug!(target: "listen", "event=connection_failed at={name} why={error:?}");
                return;
            }
        }
        used.is_answered.set(true);
        used.at.set(Instant::now());
    }
}

/// Handles one request; returns whether the connection can carry another.
async fn serve_request(conn: &mut Conn, page: &impl Fn(&str) -> Page) -> Result<bool, Malformed> {
    let head = timeout::within(IDLE_TIMEOUT, conn.request_head(HEAD_BYTES_MAX)).await;
    let Some(head) = head.unwrap_or(Ok(None))? else {
        return Ok(false);
    };
    let bodiless = Framing::of_request(&head)? == Framing::Empty;
    let answer = if bodiless {
        answer(&head, page)
    } else {
        Page::new("400 Bad Request", "no body is taken here\n".into())
    };
    write(conn, &answer.bytes(head.method()))
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

/// Writes an answer, with a time limit for slow peers.
async fn write(conn: &Conn, bytes: &[u8]) -> io::Result<()> {
    let writer = conn.writer();
    let written = timeout::within(IDLE_TIMEOUT, writer.write_all(bytes)).await;
    written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
