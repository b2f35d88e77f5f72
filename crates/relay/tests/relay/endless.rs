//! Servers that send bytes without end, in a head or in a body, until the router closes.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{ensure, WrapErr as _};
use futures_lite::future::poll_once;
use serde_json::json;
use smol::Timer;
use tidepier_relay::backlog::{Backlog, SMALL_BYTES};
use tidepier_relay_standin::server;
use tidepier_relay_standin::site::Site;

use crate::harness::{
    ensure_served_by, ms, run, server_settings, site, stream_body, stream_server_settings, Harness,
    Result, SERVICE,
};
use crate::raw::TwoPartServer;

/// Bytes of an answer without end that no router takes: more than it reads of the longest
/// answer, and the buffers of the operating system on both sides. A server stops there.
const BYTES_MAX: u64 = 24 << 20;
/// Interval at which the test checks that other tasks of the router's thread run.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time without a tick.
const TICK_MAX: Duration = Duration::from_millis(500);

/// Bytes that a router reads at once.
const READ_BYTES: usize = 16 << 10;
/// Bytes of a usual answer, or of an event.
const USUAL_BYTES: usize = 4 << 10;

/// An answer without end.
struct Endless {
    name: &'static str,
    /// What comes first; `ATTEMPT` stands for the attempt that is answered.
    begin: &'static str,
    /// What is repeated.
    unit: &'static str,
}

const OK: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nResponse-Seal: raw\r\n";

/// Heads without end.
const HEADS: [Endless; 4] = [
    Endless {
        name: "a line without end",
        begin: "",
        unit: "\x16\x03\x01\x02",
    },
    Endless {
        name: "empty lines",
        begin: "",
        unit: "\r\n",
    },
    Endless {
        name: "head fields",
        begin: "HTTP/1.1 200 OK\r\n",
        unit: "X-More: more\r\n",
    },
    Endless {
        name: "interim answers",
        begin: "",
        unit: "HTTP/1.1 100 Continue\r\n\r\n",
    },
];

/// Bodies without end.
const BODIES: [Endless; 7] = [
    Endless {
        name: "a length of terabytes",
        begin: "Content-Length: 9000000000000\r\n\r\n",
        unit: "bytes",
    },
    Endless {
        name: "bytes until the connection closes",
        begin: "\r\n",
        unit: "bytes",
    },
    Endless {
        name: "chunks",
        begin: "Transfer-Encoding: chunked\r\n\r\n",
        unit: "5\r\nbytes\r\n",
    },
    Endless {
        name: "zeros of a chunk's size",
        begin: "Transfer-Encoding: chunked\r\n\r\n",
        unit: "0000",
    },
    Endless {
        name: "an extension of a chunk",
        begin: "Transfer-Encoding: chunked\r\n\r\n5;",
        unit: "more=more;",
    },
    Endless {
        name: "trailers",
        begin: "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n",
        unit: "X-More: more\r\n",
    },
    Endless {
        name: "lines within an event",
        begin: "Transfer-Encoding: chunked\r\n\r\n",
        unit: "c\r\ndata: bytes\n\r\n",
    },
];

/// Heads of answers whose bodies are not forwarded.
const UNWANTED: [&str; 3] = [
    "HTTP/1.1 503 Full\r\nAttempt-Id: ATTEMPT\r\nNot-Executed: 1\r\n",
    "HTTP/1.1 500 Failed\r\nAttempt-Id: ATTEMPT\r\nResponse-Seal: raw\r\n",
    "HTTP/1.1 200 OK\r\nAttempt-Id: of-another\r\nResponse-Seal: raw\r\n",
];

/// A server that answers each request without end, on threads of its own: it has to be as
/// fast as the router.
struct Server {
    /// Most bytes that one connection took.
    bytes: Arc<AtomicU64>,
}

impl Server {
    fn start(site: &Site, head: &str, endless: &Endless) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entry = json!({
            "service": SERVICE, "address": listener.local_addr()?.to_string(), "zone": "hall-1",
            "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        });
        site.store.put_server("i-endless", &entry);
        let bytes = Arc::new(AtomicU64::new(0));
        let (sent, begin) = (bytes.clone(), format!("{head}{}", endless.begin));
        let unit = endless.unit.repeat((64 << 10) / endless.unit.len());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sent, begin, unit) = (sent.clone(), begin.clone(), unit.clone());
                thread::spawn(move || {
                    // An error means that the router has closed the connection.
                    if let Ok(count) = answer(stream, &begin, unit.as_bytes()) {
                        sent.fetch_max(count, Ordering::Relaxed);
                    }
                });
            }
        });
        Ok(Self { bytes })
    }
}

/// Reads a request and answers it; returns how many bytes were sent.
fn answer(mut stream: TcpStream, begin: &str, unit: &[u8]) -> std::io::Result<u64> {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    while !request.windows(4).any(|part| part == b"\r\n\r\n") {
        match stream.read(&mut buffer)? {
            0 => return Ok(0),
            count => request.extend_from_slice(&buffer[..count]),
        }
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let named = request
        .lines()
        .find_map(|line| line.strip_prefix("Attempt-Id: "));
    let begin = begin.replace("ATTEMPT", named.unwrap_or("-"));
    stream.write_all(begin.as_bytes())?;
    let mut sent = 0;
    while sent < BYTES_MAX {
        match stream.write(unit) {
            Ok(count) => sent += count as u64,
            Err(_) => break,
        }
    }
    Ok(sent)
}

/// The longest time for which tasks of this thread did not run.
async fn watch(longest: Rc<Cell<Duration>>) {
    loop {
        let at = Instant::now();
        Timer::after(TICK_INTERVAL).await;
        longest.set(longest.get().max(at.elapsed()));
    }
}

/// Sends a request that is first sent to a server that answers `head` and `endless`, then to a
/// sound one.
fn play(target: &'static str, head: &'static str, endless: &'static Endless) -> Result {
    run(async move |executor| {
        let site = site()?;
        let server = Server::start(&site, head, endless)?;
        let sound = match target {
            "/s/x" => site.server(stream_server_settings(2, 3, ms(1)))?,
            _ => site.server(server_settings(2))?,
        };
        let longest = Rc::new(Cell::new(Duration::ZERO));
        let harness = Harness::start_ready(executor.clone(), site).await?;
        let watching = executor.spawn(watch(longest.clone()));
        let answer = harness.post(target, "attempt-1").await?;
        drop(watching);
        let mut bytes = server.bytes.load(Ordering::Relaxed);
        for _ in 0..20 {
            Timer::after(ms(10)).await;
            bytes = server.bytes.load(Ordering::Relaxed).max(bytes);
        }
        let what = format!(
            "{head:?} {}: {} KiB taken, held up for {:?}",
            endless.name,
            bytes >> 10,
            longest.get()
        );
        ensure!(longest.get() < TICK_MAX, "{what}");
        ensure!(bytes < BYTES_MAX, "{what}");
        ensure_served_by(&answer, &[&sound], "attempt-1").wrap_err(what)
    })
}

/// Plays each of these and lists what failed.
fn play_all(
    plays: impl IntoIterator<Item = (&'static str, &'static str, &'static Endless)>,
) -> Result {
    let played = plays
        .into_iter()
        .map(|(target, head, endless)| play(target, head, endless));
    let failures: Vec<String> = played
        .filter_map(Result::err)
        .map(|error| format!("{error:#}"))
        .collect();
    ensure!(failures.is_empty(), "{}", failures.join("\n"));
    Ok(())
}

/// Guards against heads that a router reads until their request's deadline.
#[test]
fn heads_without_end_hold_nothing_up() -> Result {
    play_all(
        HEADS
            .iter()
            .flat_map(|it| [("/r/x", "", it), ("/s/x", "", it)]),
    )
}

/// Guards against bodies that fill the memory of a router or keep its thread from other
/// requests.
#[test]
fn bodies_without_end_hold_nothing_up() -> Result {
    play_all(BODIES.iter().map(|it| ("/r/x", OK, it)))
}

/// Guards against streams of which a router buffers an event without end.
#[test]
fn streams_without_end_hold_nothing_up() -> Result {
    play_all(BODIES.iter().map(|it| ("/s/x", OK, it)))
}

/// Guards against bodies that a router reads to discard them.
#[test]
fn unwanted_bodies_without_end_hold_nothing_up() -> Result {
    let heads = UNWANTED.iter();
    play_all(heads.flat_map(|head| BODIES.iter().map(move |it| ("/r/x", *head, it))))
}

/// Guards against events that are lost as the one after them takes too much memory: the stream
/// went on after them at another server.
#[test]
fn events_before_one_that_does_not_end_are_not_lost() -> Result {
    run(async |executor| {
        let site = site()?;
        let faulty = TwoPartServer {
            first: ms(0),
            second: ms(50),
        };
        let _faulty = faulty.start(&executor, &site, "i-faulty", |attempt| {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\nResponse-Seal: raw";
            let begin = format!(
                "{head}\r\nAttempt-Id: {attempt}\r\n\r\n{}",
                server::event(1)
            );
            [begin, server::event(2) + "data: " + &"e".repeat(8 << 10)]
        })?;
        let sound = site.server(stream_server_settings(2, 4, ms(1)))?;
        let harness = Harness::start_with_settings(executor, site, |settings| {
            settings["limits"]["memory_mb"] = 1.into();
            settings["limits"]["events_share"] = 0.005.into();
        })
        .await?;
        let answer = harness.post("/s/x", "attempt-1").await?;
        ensure!(answer.status == 200 && answer.complete, "{answer:?}");
        ensure!(answer.body == stream_body(1..=4), "{answer:?}");
        ensure!(sound.ran("attempt-1") == 1, "not resumed");
        Ok(())
    })
}

/// Guards against a stream with events of usual length that is given up for the memory that
/// those of others take, and against a sum of all that has no bound.
#[test]
fn events_without_end_leave_memory_for_others() {
    const LIMIT: usize = 4 << 20;
    let backlog = Rc::new(Backlog::default());
    backlog.set_partial_limit(LIMIT);
    let alone = backlog.partial();
    assert!(alone.set(1 << 20));
    drop(alone);
    let faulty: Vec<_> = (0..200).map(|_| backlog.partial()).collect();
    let mut given_up = 0;
    for read in 1..=64 {
        for (index, partial) in faulty.iter().enumerate() {
            // Some stay at what they have.
            if index % 3 == 0 && read > 1 {
                continue;
            }
            if !partial.set(read * READ_BYTES) {
                assert!(!partial.set(usize::MAX >> 1) && partial.set(0));
                given_up += 1;
            }
            assert!(backlog.partial_bytes() <= LIMIT);
            assert!(backlog.partial().set(USUAL_BYTES));
        }
    }
    assert!(given_up > 0);
    drop(faulty);
    assert_eq!(backlog.partial_bytes(), 0);
}

/// Guards against a usual answer that waits for the memory that many answers take which are
/// not completed, and against a sum of these that has no bound.
#[test]
fn small_answers_without_end_leave_memory_for_others() -> Result {
    const LIMIT: usize = 8 << 20;
    run(async |_| {
        let backlog = Rc::new(Backlog::default());
        backlog.set_limit(LIMIT);
        let large = backlog.reservation();
        large.extend_to(LIMIT).await;
        let faulty: Vec<_> = (0..200).map(|_| backlog.reservation()).collect();
        let mut waited = 0;
        for read in 1..=SMALL_BYTES / READ_BYTES {
            for reservation in &faulty {
                let extended = poll_once(reservation.extend_to(read * READ_BYTES));
                waited += usize::from(extended.await.is_none());
                // One of those that wait may exceed the limit.
                ensure!(backlog.reserved() <= LIMIT + LIMIT / 4 + SMALL_BYTES);
                let usual = backlog.reservation();
                let extended = poll_once(usual.extend_to(USUAL_BYTES)).await;
                ensure!(extended.is_some(), "{} bytes", backlog.reserved());
            }
        }
        ensure!(waited > 0, "none had to wait");
        drop((large, faulty));
        ensure!(backlog.reserved() == 0, "{} bytes", backlog.reserved());
        Ok(())
    })
}
