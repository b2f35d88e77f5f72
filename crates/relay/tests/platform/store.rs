//! Tests of the client of the platform's store against a scripted store.

use std::future::Future;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use tidepier_core::store::{
    Current, Event, Failure, Item, LeaseId, LeaseState, Revision, Scope, Store, Swap, Watch, Write,
};
use tidepier_h1::account::Account;
use tidepier_platform::store::Client;
use tidepier_relay::metrics::Registry;

/// Time-out of calls: ample over loopback.
const LIMIT: Duration = Duration::from_secs(5);

/// A time-out for tests of calls that time out: short for the test, long for a busy
/// machine.
const SHORT: Duration = Duration::from_millis(300);

/// What the scripted store does with one request.
enum Step {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Answers and closes.
    Last(u16, &'static str),
    /// Closes without an answer.
    Close,
    /// Closes one byte short of the whole answer.
    Cut(&'static str),
    /// Answers after a signal.
    Late(Receiver<()>, &'static str),
}

/// Starts a store that follows a script: one list of steps for each connection. Requests
/// are sent to the receiver as "connection: line body".
fn scripted_store(script: Vec<Vec<Step>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for (at, steps) in script.into_iter().enumerate() {
            let (stream, _) = listener.accept().expect("a connection");
            let sender = sender.clone();
            std::thread::spawn(move || play(at, &stream, steps, &sender));
        }
    });
    (address, requests)
}

fn play(at: usize, stream: &TcpStream, steps: Vec<Step>, requests: &Sender<String>) {
    let mut reader = BufReader::new(stream);
    for step in steps {
        let Some(request) = read_request(&mut reader) else {
            return;
        };
        // The test may be over.
        let _ = requests.send(format!("{at}: {request}"));
        let (status, body, close) = match step {
            Step::Answer(status, body) => (status, body, ""),
            Step::Last(status, body) => (status, body, "Connection: close\r\n"),
            Step::Close => return,
            Step::Cut(body) => {
                let length = body.len() + 1;
                let part = format!("HTTP/1.1 200 x\r\nContent-Length: {length}\r\n\r\n{body}");
                let _ = (&mut &*stream).write_all(part.as_bytes());
                return;
            }
            Step::Late(signal, body) => {
                let _ = signal.recv();
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

fn next(requests: &Receiver<String>) -> String {
    requests.recv_timeout(LIMIT).expect("a request")
}

/// Runs a test with the metrics that its calls are counted in.
fn with_metrics<F: Future>(test: impl FnOnce(Metrics) -> F) -> F::Output {
    let registry = Registry::default();
    let recorded = Metrics(registry.clone());
    metrics::with_local_recorder(&registry, || smol::block_on(test(recorded)))
}

struct Metrics(Registry);

impl Metrics {
    /// Number of calls of a kind that were sent.
    fn calls(&self, name: &str) -> u64 {
        self.value(&format!("tidepier_store_calls_total{{call=\"{name}\"}}"))
    }

    /// Number of connections that were opened.
    fn connections(&self) -> u64 {
        self.value("tidepier_store_connections_total")
    }

    /// Value of a series; 0 if it does not exist.
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
fn one_item_is_read_or_absent_on_a_reused_connection() {
    let (address, requests) = scripted_store(vec![vec![
        Step::Answer(
            200,
            r#"{"key_file":"a b/c","value":"aGk=","revision":4,"created":1,"lease_id":7,"timestamp":9}"#,
        ),
        Step::Answer(404, r#"{"timestamp":10}"#),
        Step::Answer(404, ""),
    ]]);
    with_metrics(|recorded| async move {
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
        assert_eq!((recorded.calls("get"), recorded.connections()), (3, 1));
    });
    assert_eq!(next(&requests), "0: GET /-/kv-key?key_file=a%20b/c");
    assert_eq!(next(&requests), "0: GET /-/kv-key?key_file=x%26y%3D%25");
    assert_eq!(next(&requests), "0: GET /-/kv-key?key_file=z");
}

#[test]
fn a_list_has_all_pages_and_the_first_revision() {
    let (address, requests) = scripted_store(vec![vec![
        Step::Answer(
            200,
            r#"{"entries":[{"key_file":"p/a","value":"MQ==","revision":2,"created":1},
            {"key_file":"p/b","value":"Mg==","revision":3,"created":1}],"has_more":true,"timestamp":5}"#,
        ),
        Step::Answer(
            200,
            r#"{"entries":[{"key_file":"p/b","value":"Mg==","revision":3,"created":1},
            {"key_file":"p/c","value":"Mw==","revision":6,"created":1}],"has_more":false,"timestamp":8}"#,
        ),
        Step::Answer(200, r#"{"entries":[],"has_more":false,"timestamp":9}"#),
        Step::Answer(200, r#"{"entries":[],"has_more":true,"timestamp":9}"#),
        Step::Answer(
            200,
            r#"{"entries":[{"key_file":"p/b","value":"","revision":3},
            {"key_file":"p/a","value":"","revision":3}],"has_more":false,"timestamp":9}"#,
        ),
    ]]);
    with_metrics(|recorded| async move {
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
        assert_eq!(recorded.calls("list"), 2);
        let stale = client.list("p/", true, LIMIT).await.expect("read");
        assert!(stale.value.is_empty());
        let endless = client.list("p/", false, LIMIT).await;
        assert!(matches!(endless, Err(Failure::Malformed(_))), "{endless:?}");
        let unsorted = client.list("p/", false, LIMIT).await;
        assert!(
            matches!(unsorted, Err(Failure::Malformed(_))),
            "{unsorted:?}"
        );
        assert_eq!((recorded.calls("list"), recorded.calls("stale")), (4, 1));
    });
    assert_eq!(next(&requests), "0: GET /-/kv-range?path_prefix=p/");
    assert_eq!(
        next(&requests),
        "0: GET /-/kv-range?path_prefix=p/&start_revision=p/b"
    );
    assert_eq!(
        next(&requests),
        "0: GET /-/kv-range?path_prefix=p/&stale_ok=1"
    );
}

#[test]
fn a_watch_reports_changes_and_compaction_on_its_own_connection() {
    let (address, requests) = scripted_store(vec![
        vec![Step::Answer(404, "")],
        vec![
            Step::Answer(
                200,
                r#"{"events":[{"key_file":"p/a","value":"MQ==","revision":12,"created":1,"lease_id":0},
                {"key_file":"p/b","revision":13,"deleted":true}],"timestamp":14}"#,
            ),
            Step::Answer(410, ""),
        ],
    ]);
    with_metrics(|recorded| async move {
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
        assert_eq!((recorded.calls("watch"), recorded.connections()), (2, 2));
    });
    next(&requests);
    assert_eq!(
        next(&requests),
        "1: GET /-/kv-watch?path_prefix=p/&start_revision=11&wait_ms=5000"
    );
    assert_eq!(
        next(&requests),
        "1: GET /-/kv-watch?path_prefix=p/&start_revision=14&wait_ms=30000"
    );
}

/// Guards against a store that always has another page of a list, all of which were kept.
#[test]
fn a_list_without_end_is_given_up() {
    let page = |number: usize| {
        let value = "A".repeat(1 << 20);
        let entry = format!(r#"{{"key_file":"p/{number:02}","value":"{value}","revision":1}}"#);
        let page = format!(r#"{{"entries":[{entry}],"has_more":true,"timestamp":5}}"#);
        Step::Answer(200, page.leak())
    };
    let (address, requests) = scripted_store(vec![(0..30).map(page).collect()]);
    let client = Client::sharing(address, Rc::new(Account::new(16 << 20)));
    // The memory of the first list is free for the second one.
    for _ in 0..2 {
        let list = smol::block_on(client.list("p/", false, LIMIT));
        assert!(matches!(list, Err(Failure::Malformed(_))), "{list:?}");
        let pages = requests.try_iter().count();
        assert!((5..=12).contains(&pages), "{pages} pages");
    }
}

// One value that is no bytes hid all other items of its page, at each read.
#[test]
fn an_unreadable_value_hides_no_other_item() {
    let nest = "[".repeat(1_000) + &"]".repeat(1_000);
    let odd = [
        r#""value":"*""#,
        r#""value":null"#,
        r#""value":7"#,
        r#""value":{"a":[1]}"#,
        r#""lease_id":0"#,
        &format!(r#""value":{nest}"#),
    ];
    let rows = odd.iter().enumerate().map(|(at, field)| {
        let key = format!("p/{at}");
        format!(r#"{{"key_file":"{key}",{field},"revision":2}}"#)
    });
    let rows: Vec<String> = rows.collect();
    let page = |name: &str| -> &'static str {
        let last = r#"{"key_file":"p/z","value":"MQ==","revision":3}"#;
        let text = format!(r#"{{"{name}":[{},{last}],"timestamp":9}}"#, rows.join(","));
        text.leak()
    };
    let (address, _requests) = scripted_store(vec![
        vec![Step::Answer(200, page("entries"))],
        vec![Step::Answer(200, page("events"))],
    ]);
    with_metrics(|recorded| async move {
        let client = Client::new(address);
        let unreadable = (0..odd.len()).map(|at| item(&format!("p/{at}"), "", 2));
        let items: Vec<Item> = unreadable.chain([item("p/z", "1", 3)]).collect();
        let read = client.list("p/", false, LIMIT).await.expect("read");
        assert_eq!(read.value, items);
        let mut watch = client.watch(Scope::Prefix("p/"), Revision::of(1));
        let read = watch.next(LIMIT).await.expect("read");
        let events: Vec<Event> = items.into_iter().map(Event::Put).collect();
        assert_eq!(read.value, events);
        let counted = recorded.value("tidepier_store_values_unreadable_total");
        assert_eq!(counted, 2 * odd.len() as u64);
    });
}

// Recursion into, and figures beyond, what a page may hold.
#[test]
fn odd_pages_are_malformed_or_have_no_effect() {
    let nest = "[".repeat(100_000) + &"]".repeat(100_000);
    let page = |text: String| Step::Answer(200, text.leak());
    let (address, _requests) = scripted_store(vec![vec![
        page(nest.clone()),
        page(format!(r#"{{"entries":{nest},"timestamp":9}}"#)),
        page(r#"{"entries":[],"timestamp":18446744073709551616}"#.to_owned()),
        page(r#"{"entries":[],"timestamp":1e400}"#.to_owned()),
        page(r#"{"entries":[],"timestamp":-1}"#.to_owned()),
        page(format!(r#"{{"entries":[],"timestamp":9,"x":{nest}}}"#)),
    ]]);
    with_metrics(|_| async move {
        let client = Client::new(address);
        for number in 0..5 {
            let read = client.list("p/", false, LIMIT).await;
            assert!(matches!(read, Err(Failure::Malformed(_))), "{number}");
        }
        let read = client.list("p/", false, LIMIT).await.expect("read");
        assert!(read.value.is_empty());
    });
}

#[test]
fn a_swap_is_committed_conflicts_or_has_no_lease() {
    let (address, requests) = scripted_store(vec![vec![
        Step::Answer(200, r#"{"revision":20}"#),
        Step::Answer(
            412,
            r#"{"entries":[{"key_file":"k","value":"MQ==","revision":19,"created":1},
            {"key_file":"absent","revision":0},null]}"#,
        ),
        Step::Answer(404, "{}"),
        Step::Answer(403, ""),
    ]]);
    with_metrics(|recorded| async move {
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
        assert_eq!((recorded.calls("swap"), recorded.connections()), (4, 1));
    });
    assert_eq!(
        next(&requests),
        "0: POST /-/kv-txn {\"expected_revision\":[{\"key_file\":\"k\",\"revision\":3},\
         {\"key_file\":\"l\",\"revision\":0}],\"write\":[{\"key_file\":\"k\",\"value\":\"/wA=\",\
         \"lease_id\":7}],\"remove\":[\"old\"]}"
    );
}

#[test]
fn a_lease_is_granted_renewed_and_revoked() {
    let (address, requests) = scripted_store(vec![vec![
        Step::Answer(200, r#"{"lease_id":77,"ttl_ms":4000}"#),
        Step::Answer(200, r#"{"ttl_ms":4000}"#),
        Step::Answer(404, ""),
        Step::Answer(200, "{}"),
        Step::Answer(404, ""),
    ]]);
    with_metrics(|recorded| async move {
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
                recorded.calls("lease"),
                recorded.calls("keep"),
                recorded.calls("end")
            ),
            (1, 2, 2)
        );
    });
    assert_eq!(next(&requests), "0: POST /-/kv-lease {\"ttl_ms\":3000}");
    assert_eq!(next(&requests), "0: POST /-/kv-keep/77");
    assert_eq!(next(&requests), "0: POST /-/kv-keep/77");
    assert_eq!(next(&requests), "0: DELETE /-/kv-lease-end/77");
}

#[test]
fn rejections_differ_and_keep_the_connection() {
    let (address, _seen) = scripted_store(vec![vec![
        Step::Answer(429, ""),
        Step::Answer(503, "{}"),
        Step::Answer(500, ""),
        Step::Answer(200, "not json"),
        Step::Answer(200, r#"{"key_file":"k","value":"*","revision":1}"#),
    ]]);
    with_metrics(|recorded| async move {
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
        assert_eq!((recorded.calls("get"), recorded.connections()), (5, 1));
    });
}

#[test]
fn a_call_without_an_answer_may_have_been_executed_and_closes_the_connection() {
    let (address, requests) = scripted_store(vec![vec![Step::Close], vec![Step::Answer(404, "")]]);
    with_metrics(|recorded| async move {
        let client = Client::new(address);
        let lost = client.get("k", LIMIT).await;
        assert!(matches!(lost, Err(Failure::NoAnswer(_))), "{lost:?}");
        client.get("l", LIMIT).await.expect("a new connection");
        assert_eq!(recorded.connections(), 2);
    });
    assert_eq!(next(&requests), "0: GET /-/kv-key?key_file=k");
    assert_eq!(next(&requests), "1: GET /-/kv-key?key_file=l");
}

#[test]
fn a_late_answer_is_never_used_for_another_call() {
    let (send_signal, signal) = channel();
    let late = r#"{"key_file":"k","value":"MQ==","revision":1,"timestamp":1}"#;
    let (address, _seen) = scripted_store(vec![
        vec![Step::Late(signal, late)],
        vec![Step::Answer(404, r#"{"timestamp":2}"#)],
    ]);
    with_metrics(|recorded| async move {
        let client = Client::new(address);
        let begin = Instant::now();
        let failure = client.get("k", SHORT).await;
        assert!(matches!(failure, Err(Failure::NoAnswer(_))), "{failure:?}");
        assert!(begin.elapsed() >= SHORT);
        send_signal.send(()).expect("the store waits");
        let read = client.get("l", LIMIT).await.expect("read");
        assert_eq!((read.value, read.revision), (None, Revision::of(2)));
        assert_eq!(recorded.connections(), 2);
    });
}

#[test]
fn a_truncated_answer_is_no_answer() {
    let (address, _seen) = scripted_store(vec![
        vec![Step::Cut(r#"{"revision":20}"#)],
        vec![Step::Answer(200, r#"{"revision":21}"#)],
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
fn a_waiting_watch_delays_no_other_call() {
    let (send_signal, signal) = channel();
    let (address, requests) = scripted_store(vec![
        vec![Step::Late(signal, r#"{"events":[],"timestamp":5}"#)],
        vec![Step::Answer(404, "")],
    ]);
    smol::block_on(async {
        let client = Client::new(address);
        let mut watch = client.watch(Scope::Prefix("p/"), Revision::of(5));
        let other = async {
            // Blocking the thread would stop the watch as well.
            let request = smol::unblock(move || next(&requests)).await;
            assert!(request.starts_with("0: GET /-/kv-watch"));
            client.get("k", LIMIT).await.expect("read");
            send_signal.send(()).expect("the store waits");
        };
        let (read, ()) = futures_lite::future::zip(watch.next(LIMIT), other).await;
        let read = read.expect("an answer");
        assert_eq!((read.value.len(), read.revision), (0, Revision::of(5)));
    });
}

#[test]
fn a_value_of_the_largest_size_is_read_completely() {
    // 1 MiB of zero bytes and two more, so that the base64 needs no padding.
    let text = "AAAA".repeat((1 << 20) / 3 + 1);
    let body = format!(r#"{{"key_file":"k","value":"{text}","revision":1,"timestamp":1}}"#);
    let (address, _seen) = scripted_store(vec![vec![Step::Answer(200, body.leak())]]);
    smol::block_on(async {
        let read = Client::new(address).get("k", LIMIT).await.expect("read");
        let value = read.value.expect("an item").value;
        assert_eq!(value.len(), text.len() / 4 * 3);
    });
}

#[test]
fn a_closed_connection_is_replaced_before_the_next_call() {
    let (address, _seen) =
        scripted_store(vec![vec![Step::Last(404, "")], vec![Step::Answer(404, "")]]);
    with_metrics(|recorded| async move {
        let client = Client::new(address);
        client.get("k", LIMIT).await.expect("read");
        client.get("k", LIMIT).await.expect("read");
        assert_eq!((recorded.calls("get"), recorded.connections()), (2, 2));
    });
}

#[test]
fn a_call_without_a_connection_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    with_metrics(|recorded| async move {
        let client = Client::new(address);
        let failure = client.lease(LIMIT, LIMIT).await;
        assert!(matches!(failure, Err(Failure::NotSent(_))), "{failure:?}");
        assert_eq!((recorded.calls("lease"), recorded.connections()), (0, 1));
    });
}
