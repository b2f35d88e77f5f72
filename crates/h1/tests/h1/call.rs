//! Calls over a kept connection, and the three ways in which they fail.

use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use tidepier_h1::call::{Caller, Failure, Limits, Reply, Request, Step};

use crate::LIMIT;

/// Short enough to test running out of time.
const SHORT: Duration = Duration::from_millis(200);

const LIMITS: Limits = Limits {
    open: LIMIT,
    unacked: LIMIT,
    head_bytes: 200,
    body_bytes: 10,
};

/// A peer that gives, per connection, one answer per request and then holds
/// the connection open, or closes it for an answer that is empty.
fn peer(script: Vec<Vec<&'static str>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for answers in script {
            let (mut stream, _) = listener.accept().expect("a connection");
            let closes = answers.last() == Some(&"");
            for answer in answers {
                // Requests of these tests are small and come in one piece.
                let read = stream.read(&mut [0; 1_000]).expect("a request");
                assert_ne!(read, 0);
                stream.write_all(answer.as_bytes()).expect("room");
            }
            if !closes {
                held.push(stream);
            }
        }
        std::thread::sleep(LIMIT);
    });
    address
}

struct Heard(Caller, RefCell<Vec<Step>>);

impl Heard {
    fn new(address: SocketAddr) -> Self {
        Self(Caller::new(address, LIMITS), RefCell::default())
    }

    fn call(&self, limit: Duration) -> Result<Reply, Failure> {
        let request = Request {
            method: "POST",
            target: "/a",
            body: Some(("text/plain", b"x")),
        };
        let told = |step| self.1.borrow_mut().push(step);
        smol::block_on(self.0.call(&request, limit, told))
    }

    fn steps(&self) -> Vec<Step> {
        self.1.take()
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

#[test]
fn a_connection_is_kept_until_an_answer_ends_it() {
    let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
    let caller = Heard::new(peer(vec![vec![OK, interim, closing], vec![OK]]));
    let reply = caller.call(LIMIT).expect("an answer");
    assert_eq!(
        (reply.head.status().code(), &reply.body[..]),
        (200, &b"ok"[..])
    );
    assert_eq!(caller.steps(), [Step::Open, Step::Send]);
    let reply = caller.call(LIMIT).expect("an answer");
    assert_eq!(reply.head.status().code(), 503);
    assert_eq!(caller.steps(), [Step::Send]);
    caller.call(LIMIT).expect("an answer");
    assert_eq!(caller.steps(), [Step::Send]);
    caller.call(LIMIT).expect("an answer");
    assert_eq!(caller.steps(), [Step::Open, Step::Send]);
}

#[test]
fn what_was_never_sent_is_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let caller = Heard::new(address);
    let failure = caller.call(LIMIT);
    assert!(matches!(failure, Err(Failure::NotSent(_))), "{failure:?}");
    assert_eq!(caller.steps(), [Step::Open]);
}

#[test]
fn silence_and_broken_answers_are_no_answer_and_end_the_connection() {
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
    let caller = Heard::new(peer(vec![vec![""], vec![cut], vec![OK]]));
    for _ in 0..2 {
        let failure = caller.call(SHORT);
        assert!(matches!(failure, Err(Failure::NoAnswer(_))), "{failure:?}");
        assert_eq!(caller.steps(), [Step::Open, Step::Send]);
    }
    caller.call(LIMIT).expect("an answer");
    assert_eq!(caller.steps(), [Step::Open, Step::Send]);
}

#[test]
fn unreadable_and_oversized_answers_are_malformed() {
    let long_head: &str = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(200)).leak();
    let long_body = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nelevenbytes";
    let two_ways = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n";
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    let request = "GET / HTTP/1.1\r\n\r\n";
    let script = [
        long_head,
        long_body,
        two_ways,
        chunks,
        request,
        "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 099\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 Own\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "\x00\r\n\r\n",
    ];
    let caller = Heard::new(peer(script.iter().map(|answer| vec![*answer]).collect()));
    for answer in script {
        let failure = caller.call(LIMIT);
        assert!(
            matches!(failure, Err(Failure::Malformed(_))),
            "{answer:?} {failure:?}"
        );
        assert_eq!(caller.steps(), [Step::Open, Step::Send]);
    }
}

/// Guards against an answer that looks whole though its sender stopped in the middle of the
/// head.
#[test]
fn a_call_whose_answer_breaks_off_in_its_head_has_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let cuts = 1..OK.len() - "ok".len();
    let sent = cuts.clone();
    std::thread::spawn(move || {
        for cut in sent {
            let (mut stream, _) = listener.accept().expect("a connection");
            let read = stream.read(&mut [0; 1_000]).expect("a request");
            assert_ne!(read, 0);
            stream.write_all(&OK.as_bytes()[..cut]).expect("room");
        }
    });
    let caller = Heard::new(address);
    for cut in cuts {
        let reply = caller.call(LIMIT);
        let Err(Failure::NoAnswer(error)) = reply else {
            panic!("{cut}: {reply:?}");
        };
        assert_eq!(error.kind(), ErrorKind::UnexpectedEof, "{cut}");
    }
}

/// Guards against a part of an answer that is taken for all of it, as the peer answers before it
/// has read the request and resets the connection.
#[test]
fn a_call_whose_answer_is_reset_has_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            assert_ne!(stream.read(&mut [0]).expect("a request"), 0);
            let part = b"HTTP/1.1 200 OK\r\n\r\npart";
            stream.write_all(part).expect("room");
            // The close resets the connection, as not all bytes were read.
        }
    });
    let caller = Caller::new(address, LIMITS);
    for bytes in [0, 8, 32 << 20] {
        let body = vec![b'x'; bytes];
        let request = Request {
            method: "POST",
            target: "/a",
            body: Some(("text/plain", &body)),
        };
        let reply = smol::block_on(caller.call(&request, LIMIT, |_| {}));
        assert!(
            matches!(reply, Err(Failure::NoAnswer(_))),
            "{bytes}: {reply:?}"
        );
    }
}
