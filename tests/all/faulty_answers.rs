//! Servers whose answers are none, or do not end, as the client of all processes reads them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
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
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent\x01Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Odd: é\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
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

/// How a server ends its connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// By a reset.
    Reset,
    /// By an end of its sending side, before the reset.
    Shutdown,
}

/// A server that answers `kept` requests on each connection properly, and the next one before
/// it has read more than a byte of it.
fn early_server(answer: &'static str, end: End, kept: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move |mut stream: TcpStream| {
        for _ in 0..kept {
            if stream.read(&mut [0; 4_096]).unwrap_or(0) == 0 {
                return;
            }
            let proper = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept";
            stream.write_all(proper).unwrap();
        }
        if stream.read(&mut [0]).unwrap_or(0) == 0 {
            return;
        }
        stream.write_all(answer.as_bytes()).unwrap();
        if end == End::Shutdown {
            stream.shutdown(Shutdown::Write).unwrap();
        }
        // The close resets the connection, as not all bytes were read.
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Bytes of requests: none, some that are sent at once, and more than the buffers of the
/// operating system take.
const UPLOADS: [usize; 3] = [0, 8, 32 << 20];

/// Guards against a part of an answer that is taken for all of it, as its server answers before
/// it has read the request and resets the connection.
#[test]
fn an_early_answer_that_is_reset_is_a_failure() {
    for (kept, upload) in [0, 1]
        .into_iter()
        .flat_map(|kept| UPLOADS.map(|it| (kept, it)))
    {
        let address = early_server("HTTP/1.1 200 OK\r\n\r\npart", End::Reset, kept);
        let pool = Pool::new();
        let call = Call::post("/", vec![b'x'; upload]);
        smol::block_on(async {
            for _ in 0..kept {
                let answer = pool.whole(address, &Call::get("/"), 1 << 20, LIMIT).await;
                assert_eq!(answer.unwrap().bytes, b"kept");
            }
            let answer = pool.whole(address, &call, 1 << 20, LIMIT).await;
            // A call that fails on a kept connection may be repeated on a new one.
            let is_repeated = kept > 0 && answer.as_ref().is_ok_and(|it| it.bytes == b"kept");
            assert!(
                matches!(answer, Err(Failure::Unknown(_))) || is_repeated,
                "{kept} {upload}: {answer:?}"
            );
        });
    }
}

/// Guards against a stream that ends between two events, as an early answer is reset.
#[test]
fn an_early_stream_that_is_reset_does_not_end() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
    for upload in UPLOADS {
        let address = early_server(answer, End::Reset, 0);
        let call = Call::post("/", vec![b'x'; upload]);
        let end = smol::block_on(async {
            let answer = Pool::new().send(address, &call).await?;
            let mut events = Reader::new(answer.reader());
            while events.next().await.map_err(Failure::Unknown)?.is_some() {}
            Ok(())
        });
        assert!(matches!(end, Err(Failure::Unknown(_))), "{upload}: {end:?}");
    }
}

/// Guards against an answer without a length that counts as empty, of which the bytes are then
/// taken for the next answer, or that is refused though it ends in order.
#[test]
fn an_answer_without_a_length_is_whole_if_it_ends_in_order() {
    for kept in [0, 1] {
        let address = early_server("HTTP/1.1 200 OK\r\n\r\nwhole", End::Shutdown, kept);
        let pool = Pool::new();
        smol::block_on(async {
            for number in 0..3 * (kept + 1) {
                let call = Call::post("/", vec![b'x'; 8]);
                let answer = pool.whole(address, &call, 1 << 20, LIMIT).await;
                let is_kept = number % (kept + 1) < kept;
                let expected: &[u8] = if is_kept { b"kept" } else { b"whole" };
                assert_eq!(answer.unwrap().bytes, expected, "{number} of {kept}");
            }
        });
    }
}

/// Guards against the end of a body that is taken for that of its first part.
#[test]
fn an_answer_without_a_length_may_arrive_in_parts() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert_ne!(stream.read(&mut [0; 4_096]).unwrap(), 0);
        for part in ["HTTP/1.1 200 OK\r\n\r\n", "one ", "two"] {
            stream.write_all(part.as_bytes()).unwrap();
            thread::sleep(Duration::from_millis(20));
        }
    });
    let (pool, call) = (Pool::new(), Call::get("/"));
    let answer = smol::block_on(pool.whole(address, &call, 1 << 20, LIMIT));
    assert_eq!(answer.unwrap().bytes, b"one two");
}
