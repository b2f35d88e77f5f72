//! Tests that both clients of a store fulfil the contract of
//! `tidepier_core::store`: that of the gateway and that of the users' platform,
//! each against its stand-in.

use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tidepier_core::store::{
    Current, Event, Failure, Item, LeaseId, LeaseState, Revision, Scope, Store, Swap, Watch, Write,
};
use tidepier_http::client::Pool;
use tidepier_standin::faults::Faults;
use tidepier_standin::part::Part;
use tidepier_standin::store::{Door, Store as Gateway};
use tidepier_store::etcd;

/// Time-out of a call over loopback, far longer than one takes.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a test expects no change or answer.
const QUIET_TIME: Duration = Duration::from_millis(150);
/// Term of a lease, longer than any test.
const LEASE_TTL: Duration = Duration::from_secs(60);

/// A loopback address whose port was free just now.
fn address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    listener.local_addr().expect("bound")
}

fn gateway() -> (Part<Door>, etcd::Client) {
    for _ in 0..20 {
        let part = Part::new(address(), Arc::new(Door(Gateway::new())));
        if part.start().is_ok() {
            let client = etcd::Client::new(Pool::new(), part.address());
            return (part, client);
        }
    }
    panic!("no free port");
}

fn write<'a>(key: &'a str, value: &'a [u8], lease: Option<LeaseId>) -> Write<'a> {
    Write { key, value, lease }
}

fn done(swap: Result<Swap, Failure>) -> Revision {
    match swap {
        Ok(Swap::Done(revision)) => revision,
        other => panic!("{other:?}"),
    }
}

async fn get(store: &impl Store, key: &str) -> Option<Item> {
    store.get(key, TIMEOUT).await.expect("read").value
}

async fn items_change_under_conditions(store: &impl Store) {
    let (a, b) = ("contract/a", "contract/b");
    assert_eq!(get(store, a).await, None);
    let absent = [(a, Revision::of(0))];
    let writes = [write(a, b"\xff\x00", None)];
    let first = done(store.swap(&absent, &writes, &[], TIMEOUT).await);
    let read = store.get(a, TIMEOUT).await.expect("read");
    assert!(read.revision >= first, "{read:?}");
    let item = read.value.expect("an item");
    assert_eq!((&*item.key, &*item.value), (a, &b"\xff\x00"[..]));
    assert_eq!((item.revision, item.lease), (first, None));
    // The item exists by now, so the condition that it is absent fails.
    match store.swap(&absent, &writes, &[], TIMEOUT).await {
        Ok(Swap::Conflict(Current::Items(now))) => assert_eq!(now, std::slice::from_ref(&item)),
        Ok(Swap::Conflict(Current::NotReported)) => {}
        other => panic!("{other:?}"),
    }
    assert_eq!(get(store, a).await, Some(item));
    let second = store
        .swap(&[(a, first)], &[write(b, b"", None)], &[a], TIMEOUT)
        .await;
    assert!(done(second) > first);
    assert_eq!(get(store, a).await, None);
    let listed = store.list("contract/", false, TIMEOUT).await.expect("list");
    let keys: Vec<&str> = listed.value.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, [b]);
    assert!(get(store, b).await.expect("an item").value.is_empty());
}

async fn changes_are_watched(store: &impl Store) {
    let (key, beside) = ("watched/key", "watched/key-beside");
    let now = store.list("watched/", false, TIMEOUT).await.expect("list");
    let mut watch = store.watch(Scope::Key(key), now.revision);
    let start = Instant::now();
    let nothing = watch.next(QUIET_TIME).await.expect("a wait");
    assert!(nothing.value.is_empty() && start.elapsed() >= QUIET_TIME);
    // A watch of one key does not report another that begins with it.
    done(
        store
            .swap(&[], &[write(beside, b"0", None)], &[], TIMEOUT)
            .await,
    );
    for value in [b"1", b"2"] {
        let written = done(
            store
                .swap(&[], &[write(key, value, None)], &[], TIMEOUT)
                .await,
        );
        let read = loop {
            let read = watch.next(TIMEOUT).await.expect("changes");
            if !read.value.is_empty() {
                break read;
            }
        };
        let [Event::Put(item)] = &read.value[..] else {
            panic!("{read:?}");
        };
        assert_eq!((&*item.key, &*item.value), (key, &value[..]));
        assert_eq!((item.revision, read.revision), (written, written));
    }
}

async fn items_are_removed_with_their_lease(store: &impl Store) {
    let key = "leased/key";
    let lease = store.lease(LEASE_TTL, TIMEOUT).await.expect("granted");
    assert_eq!(lease.ttl, LEASE_TTL);
    let writes = [write(key, b"1", Some(lease.id))];
    done(store.swap(&[], &writes, &[], TIMEOUT).await);
    let kept = store.renew(lease.id, TIMEOUT).await.expect("an answer");
    assert_eq!(kept, LeaseState::For(LEASE_TTL));
    store.end(lease.id, TIMEOUT).await.expect("ended");
    store.end(lease.id, TIMEOUT).await.expect("ended before");
    assert_eq!(get(store, key).await, None);
    let gone = store.renew(lease.id, TIMEOUT).await.expect("an answer");
    assert_eq!(gone, LeaseState::Gone);
    let late = store.swap(&[], &writes, &[], TIMEOUT).await;
    assert_eq!(late.expect("an answer"), Swap::LeaseExpired);
    assert_eq!(get(store, key).await, None);
}

async fn the_contract(store: &impl Store) {
    items_change_under_conditions(store).await;
    changes_are_watched(store).await;
    items_are_removed_with_their_lease(store).await;
}

#[test]
fn the_gateway_client_fulfils_the_contract() {
    let (_part, client) = gateway();
    smol::block_on(the_contract(&client));
}

#[test]
fn the_users_platform_client_fulfils_the_contract() {
    let store = tidepier_relay_standin::Store::start().expect("a store");
    let client = tidepier_platform::store::Client::new(store.address());
    smol::block_on(the_contract(&client));
}

#[test]
fn a_change_whose_answer_is_lost_may_have_been_made() {
    let (part, client) = gateway();
    part.handler().0.switches.set(Faults {
        drop_reply: 1,
        ..Faults::default()
    });
    smol::block_on(async {
        let writes = [write("lost", b"1", None)];
        let lost = client.swap(&[], &writes, &[], QUIET_TIME).await;
        assert!(matches!(lost, Err(Failure::NoAnswer(_))), "{lost:?}");
        let item = get(&client, "lost").await.expect("an item");
        assert_eq!(item.value, b"1");
    });
}

/// A client of a gateway that answers one call with this status and body and then
/// closes the connection.
fn answering(status: u16, body: &'static str) -> etcd::Client {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let mut reader = BufReader::new(&stream);
        let (mut line, mut length) = (String::new(), 0);
        while reader.read_line(&mut line).is_ok_and(|read| read > 2) {
            let header = line.to_ascii_lowercase();
            if let Some(header) = header.strip_prefix("content-length:") {
                length = header.trim().parse().expect("a number");
            }
            line.clear();
        }
        reader.read_exact(&mut vec![0; length]).expect("a body");
        let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
        let answer = format!("{head}Connection: close\r\n\r\n{body}");
        (&stream).write_all(answer.as_bytes()).expect("an asker");
    });
    etcd::Client::new(Pool::new(), address)
}

#[test]
fn error_statuses_of_the_gateway_are_distinguished() {
    for (status, body, name) in [
        (429, "{}", "too_many"),
        (400, "{}", "refused"),
        // The gateway gave the call up; it may have been carried out nevertheless.
        (503, "{}", "no_answer"),
        (500, "{}", "no_answer"),
        (200, "no json", "malformed"),
        (200, r#"{"kvs":[{"key":"*"}]}"#, "malformed"),
    ] {
        let client = answering(status, body);
        let failure = smol::block_on(client.get("k", TIMEOUT)).expect_err("refused");
        assert_eq!(failure.name(), name, "{status} {body}");
    }
}

#[test]
fn a_watch_reports_that_its_history_was_compacted() {
    let client = answering(
        200,
        r#"{"result":{"header":{"revision":"9"},"created":true}}
        {"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"7"}}"#,
    );
    let mut watch = client.watch(Scope::Prefix("k/"), Revision::of(3));
    let gone = smol::block_on(watch.next(TIMEOUT));
    assert!(matches!(gone, Err(Failure::Compacted)), "{gone:?}");
}

#[test]
fn a_watch_reports_removals_and_ends_with_its_connection() {
    let client = answering(
        200,
        r#"{"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"8"}}]}}
"#,
    );
    let mut watch = client.watch(Scope::Key("k"), Revision::of(3));
    smol::block_on(async {
        let read = watch.next(TIMEOUT).await.expect("changes");
        let gone = Event::Delete {
            key: "k".to_owned(),
            revision: Revision::of(8),
        };
        assert_eq!((read.value, read.revision), (vec![gone], Revision::of(9)));
        let ended = watch.next(TIMEOUT).await;
        assert!(matches!(ended, Err(Failure::NoAnswer(_))), "{ended:?}");
    });
}
