//! Servers whose answers are none, or do not end, as the client of all processes reads them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tidepier_http::client::{Call, Failure, Pool};
use tidepier_http::events::Reader;

/// Bytes after which a server stops: more than a client takes of what does not end, and the
/// buffers of the operating system on both sides.
const BYTES_MAX: usize = 32 << 20;
/// Time in which a client gives up.
const LIMIT: Duration = Duration::from_secs(20);

/// A server that answers each request with `begin` and then, up to [`BYTES_MAX`], with `unit`.
struct Server {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
}

impl Server {
    fn start(begin: &'static str, unit: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let count = sent.clone();
        let unit = unit.repeat((64 << 10) / unit.len().max(1));
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let read = stream.read(&mut [0; 4_096]).unwrap();
                assert_ne!(read, 0);
                // An error means that the client has closed the connection.
                let _ = stream.write_all(begin.as_bytes());
                while !unit.is_empty() && count.load(Ordering::Relaxed) < BYTES_MAX {
                    match stream.write(unit.as_bytes()) {
                        Ok(written) => count.fetch_add(written, Ordering::Relaxed),
                        Err(_) => break,
                    };
                }
            }
        });
        Self { address, sent }
    }

    /// Checks that the server did not get rid of all that it had.
    fn check(&self, what: &str) {
        let sent = self.sent.load(Ordering::Relaxed);
        assert!(sent < BYTES_MAX, "{what}: {sent} bytes taken");
    }
}

/// Guards against bytes that are taken for an answer and are none, and against a client that
/// panics at a value that is not ASCII.
#[test]
fn what_is_no_answer_is_a_failure() {
    for begin in [
        "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 099\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 Own\r\nContent-Length: 0\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Odd: é\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
    ] {
        let server = Server::start(begin, "");
        let pool = Pool::new();
        let call = Call::get("/");
        let answer = smol::block_on(pool.whole(server.address, &call, 1 << 20, LIMIT));
        assert!(
            matches!(answer, Err(Failure::Unknown(_))),
            "{begin:?}: {answer:?}"
        );
    }
}

/// Guards against a head or a body of which all is kept that a server sends.
#[test]
fn answers_without_end_are_given_up() {
    for (begin, unit) in [
        ("", "\x16\x03\x01\x02"),
        ("HTTP/1.1 200 OK\r\nX-More: ", "more"),
        ("HTTP/1.1 200 OK\r\n", "X-More: more\r\n"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "0000",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "5\r\nbytes\r\n",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-More: more\r\n",
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n",
            "bytes",
        ),
    ] {
        let server = Server::start(begin, unit);
        let pool = Pool::new();
        let call = Call::get("/");
        let answer = smol::block_on(pool.whole(server.address, &call, 1 << 20, LIMIT));
        assert!(
            matches!(answer, Err(Failure::Unknown(_))),
            "{begin:?}: {answer:?}"
        );
        server.check(&format!("{begin:?} {unit:?}"));
    }
}

/// Guards against an event of a stream of which all is kept that a server sends.
#[test]
fn events_without_end_are_given_up() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n";
    for unit in ["bytes", "data: bytes\n", ": comment\n", "retry: 1\n"] {
        let server = Server::start(HEAD, unit);
        let pool = Pool::new();
        let event = smol::block_on(async {
            let answer = pool.send(server.address, &Call::get("/")).await.unwrap();
            Reader::new(answer.reader()).next().await
        });
        assert!(event.is_err(), "{unit:?}: {event:?}");
        server.check(unit);
    }
}
