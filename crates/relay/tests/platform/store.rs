//! The client of the platform's store, against a scripted store.

use std::future::Future;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use tidepier_core::store::{
    Current, Event, Failure, Item, LeaseId, LeaseState, Revision, Scope, Store, Swap, Watch, Write,
};
use tidepier_platform::store::Client;
use tidepier_relay::metrics::Registry;

/// Ample for a call over loopback.
const LIMIT: Duration = Duration::from_secs(5);

/// Short enough to test running out of time, long enough for a busy machine.
const SHORT: Duration = Duration::from_millis(300);

/// What the scripted store does with one request.
enum Act {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Answers and closes.
    Last(u16, &'static str),
    /// Closes without an answer.
    Close,
    /// Closes one byte short of the whole answer.
    Cut(&'static str),
    /// Answers once told to.
    Late(Receiver<()>, &'static str),
}

/// Plays a script: one list of acts per connection. Requests are sent to the
/// receiver as "connection: line body".
fn scripted(script: Vec<Vec<Act>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let (sender, seen) = channel();
    std::thread::spawn(move || {
        for (at, acts) in script.into_iter().enumerate() {
            let (stream, _) = listener.accept().expect("a connection");
            let sender = sender.clone();
            std::thread::spawn(move || play(at, &stream, acts, &sender));
        }
    });
    (address, seen)
}

fn play(at: usize, stream: &TcpStream, acts: Vec<Act>, seen: &Sender<String>) {
    let mut reader = BufReader::new(stream);
    for act in acts {
        let Some(request) = read_request(&mut reader) else {
            return;
        };
        // The test may be over.
        let _ = seen.send(format!("{at}: {request}"));
        let (status, body, close) = match act {
            Act::Answer(status, body) => (status, body, ""),
            Act::Last(status, body) => (status, body, "Connection: close\r\n"),
            Act::Close => return,
            Act::Cut(body) => {
                let length = body.len() + 1;
                let part = format!("HTTP/1.1 200 x\r\nContent-Length: {length}\r\n\r\n{body}");
                let _ = (&mut &*stream).write_all(part.as_bytes());
                return;
            }
            Act::Late(told, body) => {
                let _ = told.recv();
                (200, body, "")
            }
        };
        let length = body.len();
        let answer =
            format!("HTTP/1.1 {status} x\r\n{close}Content-Length: {length}\r\n\r\n{body}");
        // The client may have dropped the connection.
        let _ = (&mut &*stream).write_all(answer.as_bytes());
    }
    // Held open until the client closes.
    let _ = reader.read(&mut [0]);
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            break;
        }
        lines.push(line.trim().to_owned());
    }
    let length = lines
        .iter()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    reader.read_exact(&mut body).ok()?;
    let line = lines[0].trim_end_matches(" HTTP/1.1");
    Some(
        format!("{line} {}", String::from_utf8(body).expect("text"))
            .trim()
            .to_owned(),
    )
}

fn next(seen: &Receiver<String>) -> String {
    seen.recv_timeout(LIMIT).expect("a request")
}

/// Runs a test's calls and hands it the figures that they are counted in.
fn counted<F: Future>(test: impl FnOnce(Figures) -> F) -> F::Output {
    let registry = Registry::default();
    let figures = Figures(registry.clone());
    metrics::with_local_recorder(&registry, || smol::block_on(test(figures)))
}

struct Figures(Registry);

impl Figures {
    /// Calls of a kind that were sent.
    fn calls(&self, name: &str) -> u64 {
        self.value(&format!("tidepier_store_calls_total{{call=\"{name}\"}}"))
    }

    /// Connections that were opened.
    fn connections(&self) -> u64 {
        self.value("tidepier_store_connections_total")
    }

    /// The figure of a series; 0 for one that nothing was counted in.
    fn value(&self, series: &str) -> u64 {
        let text = self.0.render();
        let mut lines = text.lines().filter_map(|line| line.split_once(' '));
        let found = lines.find(|(name, _)| *name == series);
        found.map_or(0, |(_, value)| value.parse().expect("a number"))
    }
}

fn item(key: &str, value: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: value.into(),
        revision: Revision::of(revision),
        lease: None,
    }
}

#[test]
fn one_item_is_read_or_absent_on_a_kept_connection() {
    let (address, seen) = scripted(vec![vec![
        Act::Answer(
            200,
            r#"{"key_file":"a b/c","value":"aGk=","revision":4,"created":1,"lease_id":7,"timestamp":9}"#,
        ),
        Act::Answer(404, r#"{"timestamp":10}"#),
        Act::Answer(404, ""),
    ]]);
    counted(|figures| async move {
        let client = Client::new(address);
        let read = client.get("a b/c", LIMIT).await.expect("read");
        let mut expected = item("a b/c", "hi", 4);
        expected.lease = Some(LeaseId(7));
        assert_eq!(
            (read.value, read.revision),
            (Some(expected), Revision::of(9))
        );
        let read = client.get("x&y=%", LIMIT).await.expect("read");
        assert_eq!((read.value, read.revision), (None, Revision::of(10)));
        let read = client.get("z", LIMIT).await.expect("read");
        assert_eq!((read.value, read.revision), (None, Revision::of(0)));
        assert_eq!((figures.calls("get"), figures.connections()), (3, 1));
    });
    assert_eq!(next(&seen), "0: GET /-/kv-key?key_file=a%20b/c");
    assert_eq!(next(&seen), "0: GET /-/kv-key?key_file=x%26y%3D%25");
    assert_eq!(next(&seen), "0: GET /-/kv-key?key_file=z");
}

#[test]
fn a_list_takes_all_pages_and_the_first_revision() {
    let (address, seen) = scripted(vec![vec![
        Act::Answer(
            200,
            r#"{"entries":[{"key_file":"p/a","value":"MQ==","revision":2,"created":1},
            {"key_file":"p/b","value":"Mg==","revision":3,"created":1}],"has_more":true,"timestamp":5}"#,
        ),
        Act::Answer(
            200,
            r#"{"entries":[{"key_file":"p/b","value":"Mg==","revision":3,"created":1},
            {"key_file":"p/c","value":"Mw==","revision":6,"created":1}],"has_more":false,"timestamp":8}"#,
        ),
        Act::Answer(200, r#"{"entries":[],"has_more":false,"timestamp":9}"#),
        Act::Answer(200, r#"{"entries":[],"has_more":true,"timestamp":9}"#),
        Act::Answer(
            200,
            r#"{"entries":[{"key_file":"p/b","value":"","revision":3},
            {"key_file":"p/a","value":"","revision":3}],"has_more":false,"timestamp":9}"#,
        ),
    ]]);
    counted(|figures| async move {
        let client = Client::new(address);
        let read = client.list("p/", false, LIMIT).await.expect("read");
        let items = [
            item("p/a", "1", 2),
            item("p/b", "2", 3),
            item("p/c", "3", 6),
        ];
        assert_eq!(
            (&read.value[..], read.revision),
            (&items[..], Revision::of(5))
        );
        assert_eq!(figures.calls("list"), 2);
        let stale = client.list("p/", true, LIMIT).await.expect("read");
        assert!(stale.value.is_empty());
        let endless = client.list("p/", false, LIMIT).await;
        assert!(matches!(endless, Err(Failure::Malformed(_))), "{endless:?}");
        let unsorted = client.list("p/", false, LIMIT).await;
        assert!(
            matches!(unsorted, Err(Failure::Malformed(_))),
            "{unsorted:?}"
        );
        assert_eq!((figures.calls("list"), figures.calls("stale")), (4, 1));
    });
    assert_eq!(next(&seen), "0: GET /-/kv-range?path_prefix=p/");
    assert_eq!(
        next(&seen),
        "0: GET /-/kv-range?path_prefix=p/&start_revision=p/b"
    );
    assert_eq!(next(&seen), "0: GET /-/kv-range?path_prefix=p/&stale_ok=1");
}

#[test]
fn a_watch_tells_changes_and_lost_history_on_its_own_connection() {
    let (address, seen) = scripted(vec![
        vec![Act::Answer(404, "")],
        vec![
            Act::Answer(
                200,
                r#"{"events":[{"key_file":"p/a","value":"MQ==","revision":12,"created":1,"lease_id":0},
                {"key_file":"p/b","revision":13,"deleted":true}],"timestamp":14}"#,
            ),
            Act::Answer(410, ""),
        ],
    ]);
    counted(|figures| async move {
        let client = Client::new(address);
        client.get("a", LIMIT).await.expect("read");
        let mut watch = client.watch(Scope::Prefix("p/"), Revision::of(11));
        let read = watch.next(LIMIT).await.expect("read");
        let gone = Event::Delete {
            key: "p/b".to_owned(),
            revision: Revision::of(13),
        };
        assert_eq!(read.value, [Event::Put(item("p/a", "1", 12)), gone]);
        assert_eq!(read.revision, Revision::of(14));
        let late = watch.next(LIMIT * 100).await;
        assert!(matches!(late, Err(Failure::Compacted)), "{late:?}");
        assert_eq!((figures.calls("watch"), figures.connections()), (2, 2));
    });
    next(&seen);
    assert_eq!(
        next(&seen),
        "1: GET /-/kv-watch?path_prefix=p/&start_revision=11&wait_ms=5000"
    );
    assert_eq!(
        next(&seen),
        "1: GET /-/kv-watch?path_prefix=p/&start_revision=14&wait_ms=30000"
    );
}

#[test]
fn a_swap_is_done_conflicts_or_has_no_lease() {
    let (address, seen) = scripted(vec![vec![
        Act::Answer(200, r#"{"revision":20}"#),
        Act::Answer(
            412,
            r#"{"entries":[{"key_file":"k","value":"MQ==","revision":19,"created":1},
            {"key_file":"absent","revision":0},null]}"#,
        ),
        Act::Answer(404, "{}"),
        Act::Answer(403, ""),
    ]]);
    counted(|figures| async move {
        let client = Client::new(address);
        let write = [Write {
            key: "k",
            value: b"\xff\x00",
            lease: Some(LeaseId(7)),
        }];
        let expected = [("k", Revision::of(3)), ("l", Revision::of(0))];
        let swap = || client.swap(&expected, &write, &["old"], LIMIT);
        assert_eq!(
            swap().await.expect("an answer"),
            Swap::Done(Revision::of(20))
        );
        let conflict = Swap::Conflict(Current::Items(vec![item("k", "1", 19)]));
        assert_eq!(swap().await.expect("an answer"), conflict);
        assert_eq!(swap().await.expect("an answer"), Swap::LeaseExpired);
        let refused = swap().await;
        assert!(matches!(refused, Err(Failure::Refused(403))), "{refused:?}");
        assert_eq!((figures.calls("swap"), figures.connections()), (4, 1));
    });
    assert_eq!(
        next(&seen),
        "0: POST /-/kv-txn {\"expected_revision\":[{\"key_file\":\"k\",\"revision\":3},\
         {\"key_file\":\"l\",\"revision\":0}],\"write\":[{\"key_file\":\"k\",\"value\":\"/wA=\",\
         \"lease_id\":7}],\"remove\":[\"old\"]}"
    );
}

#[test]
fn a_lease_is_granted_kept_and_ended() {
    let (address, seen) = scripted(vec![vec![
        Act::Answer(200, r#"{"lease_id":77,"ttl_ms":4000}"#),
        Act::Answer(200, r#"{"ttl_ms":4000}"#),
        Act::Answer(404, ""),
        Act::Answer(200, "{}"),
        Act::Answer(404, ""),
    ]]);
    counted(|figures| async move {
        let client = Client::new(address);
        let ttl = Duration::from_secs(4);
        let lease = client
            .lease(Duration::from_secs(3), LIMIT)
            .await
            .expect("granted");
        assert_eq!((lease.id, lease.ttl), (LeaseId(77), ttl));
        let kept = client.renew(lease.id, LIMIT).await.expect("an answer");
        assert_eq!(kept, LeaseState::For(ttl));
        let gone = client.renew(lease.id, LIMIT).await.expect("an answer");
        assert_eq!(gone, LeaseState::Gone);
        client.end(lease.id, LIMIT).await.expect("ended");
        client.end(lease.id, LIMIT).await.expect("ended before");
        assert_eq!(
            (
                figures.calls("lease"),
                figures.calls("keep"),
                figures.calls("end")
            ),
            (1, 2, 2)
        );
    });
    assert_eq!(next(&seen), "0: POST /-/kv-lease {\"ttl_ms\":3000}");
    assert_eq!(next(&seen), "0: POST /-/kv-keep/77");
    assert_eq!(next(&seen), "0: POST /-/kv-keep/77");
    assert_eq!(next(&seen), "0: DELETE /-/kv-lease-end/77");
}

#[test]
fn refusals_are_told_apart_and_keep_the_connection() {
    let (address, _seen) = scripted(vec![vec![
        Act::Answer(429, ""),
        Act::Answer(503, "{}"),
        Act::Answer(500, ""),
        Act::Answer(200, "not json"),
        Act::Answer(200, r#"{"key_file":"k","value":"*","revision":1}"#),
    ]]);
    counted(|figures| async move {
        let client = Client::new(address);
        let mut names = Vec::new();
        for _ in 0..5 {
            let failure = client.get("k", LIMIT).await.expect_err("refused");
            names.push(failure.name());
        }
        let expected = [
            "too_many",
            "unavailable",
            "refused",
            "malformed",
            "malformed",
        ];
        assert_eq!(names, expected);
        assert_eq!((figures.calls("get"), figures.connections()), (5, 1));
    });
}

#[test]
fn a_lost_answer_may_have_been_done_and_ends_the_connection() {
    let (address, seen) = scripted(vec![vec![Act::Close], vec![Act::Answer(404, "")]]);
    counted(|figures| async move {
        let client = Client::new(address);
        let lost = client.get("k", LIMIT).await;
        assert!(matches!(lost, Err(Failure::NoAnswer(_))), "{lost:?}");
        client.get("l", LIMIT).await.expect("a new connection");
        assert_eq!(figures.connections(), 2);
    });
    assert_eq!(next(&seen), "0: GET /-/kv-key?key_file=k");
    assert_eq!(next(&seen), "1: GET /-/kv-key?key_file=l");
}

#[test]
fn a_late_answer_is_never_taken_for_another() {
    let (tell, told) = channel();
    let late = r#"{"key_file":"k","value":"MQ==","revision":1,"timestamp":1}"#;
    let (address, _seen) = scripted(vec![
        vec![Act::Late(told, late)],
        vec![Act::Answer(404, r#"{"timestamp":2}"#)],
    ]);
    counted(|figures| async move {
        let client = Client::new(address);
        let begin = Instant::now();
        let failure = client.get("k", SHORT).await;
        assert!(matches!(failure, Err(Failure::NoAnswer(_))), "{failure:?}");
        assert!(begin.elapsed() >= SHORT);
        tell.send(()).expect("the store waits");
        let read = client.get("l", LIMIT).await.expect("read");
        assert_eq!((read.value, read.revision), (None, Revision::of(2)));
        assert_eq!(figures.connections(), 2);
    });
}

#[test]
fn an_answer_cut_short_is_no_answer() {
    let (address, _seen) = scripted(vec![
        vec![Act::Cut(r#"{"revision":20}"#)],
        vec![Act::Answer(200, r#"{"revision":21}"#)],
    ]);
    smol::block_on(async {
        let client = Client::new(address);
        let cut = client.swap(&[], &[], &["k"], LIMIT).await;
        assert!(matches!(cut, Err(Failure::NoAnswer(_))), "{cut:?}");
        let swap = client.swap(&[], &[], &["k"], LIMIT).await;
        assert_eq!(swap.expect("an answer"), Swap::Done(Revision::of(21)));
    });
}

#[test]
fn a_waiting_watch_holds_up_no_other_call() {
    let (tell, told) = channel();
    let (address, seen) = scripted(vec![
        vec![Act::Late(told, r#"{"events":[],"timestamp":5}"#)],
        vec![Act::Answer(404, "")],
    ]);
    smol::block_on(async {
        let client = Client::new(address);
        let mut watch = client.watch(Scope::Prefix("p/"), Revision::of(5));
        let other = async {
            // Blocking the thread would stop the watch as well.
            let request = smol::unblock(move || next(&seen)).await;
            assert!(request.starts_with("0: GET /-/kv-watch"));
            client.get("k", LIMIT).await.expect("read");
            tell.send(()).expect("the store waits");
        };
        let (read, ()) = futures_lite::future::zip(watch.next(LIMIT), other).await;
        let read = read.expect("an answer");
        assert_eq!((read.value.len(), read.revision), (0, Revision::of(5)));
    });
}

#[test]
fn a_value_of_the_largest_size_is_read_whole() {
    // 1 MiB of zero bytes and two more, so that the base64 needs no padding.
    let text = "AAAA".repeat((1 << 20) / 3 + 1);
    let body = format!(r#"{{"key_file":"k","value":"{text}","revision":1,"timestamp":1}}"#);
    let (address, _seen) = scripted(vec![vec![Act::Answer(200, body.leak())]]);
    smol::block_on(async {
        let read = Client::new(address).get("k", LIMIT).await.expect("read");
        let value = read.value.expect("an item").value;
        assert_eq!(value.len(), text.len() / 4 * 3);
    });
}

#[test]
fn a_connection_that_the_store_ends_is_replaced_before_the_next_call() {
    let (address, _seen) = scripted(vec![vec![Act::Last(404, "")], vec![Act::Answer(404, "")]]);
    counted(|figures| async move {
        let client = Client::new(address);
        client.get("k", LIMIT).await.expect("read");
        client.get("k", LIMIT).await.expect("read");
        assert_eq!((figures.calls("get"), figures.connections()), (2, 2));
    });
}

#[test]
fn a_store_that_is_not_there_was_not_asked() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    counted(|figures| async move {
        let client = Client::new(address);
        let failure = client.lease(LIMIT, LIMIT).await;
        assert!(matches!(failure, Err(Failure::NotSent(_))), "{failure:?}");
        assert_eq!((figures.calls("lease"), figures.connections()), (0, 1));
    });
}
