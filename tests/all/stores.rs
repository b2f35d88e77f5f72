//! Both stores keep one contract: the gateway's client and that of the users'
//! platform are asked the same questions, each at its stand-in.

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

/// Ample for a call over loopback.
const LIMIT: Duration = Duration::from_secs(5);
/// Time in which nothing is to happen.
const SHORT: Duration = Duration::from_millis(150);
/// Term of a lease that outlasts a test.
const TERM: Duration = Duration::from_secs(60);

/// An address of loopback that was free just now.
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
    store.get(key, LIMIT).await.expect("read").value
}

async fn items_change_under_conditions(store: &impl Store) {
    let (a, b) = ("contract/a", "contract/b");
    assert_eq!(get(store, a).await, None);
    let absent = [(a, Revision::of(0))];
    let writes = [write(a, b"\xff\x00", None)];
    let first = done(store.swap(&absent, &writes, &[], LIMIT).await);
    let read = store.get(a, LIMIT).await.expect("read");
    assert!(read.revision >= first, "{read:?}");
    let item = read.value.expect("an item");
    assert_eq!((&*item.key, &*item.value), (a, &b"\xff\x00"[..]));
    assert_eq!((item.revision, item.lease), (first, None));
    // It is there by now.
    match store.swap(&absent, &writes, &[], LIMIT).await {
        Ok(Swap::Conflict(Current::Items(now))) => assert_eq!(now, std::slice::from_ref(&item)),
        Ok(Swap::Conflict(Current::NotReported)) => {}
        other => panic!("{other:?}"),
    }
    assert_eq!(get(store, a).await, Some(item));
    let second = store
        .swap(&[(a, first)], &[write(b, b"", None)], &[a], LIMIT)
        .await;
    assert!(done(second) > first);
    assert_eq!(get(store, a).await, None);
    let listed = store.list("contract/", false, LIMIT).await.expect("list");
    let keys: Vec<&str> = listed.value.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, [b]);
    assert!(get(store, b).await.expect("an item").value.is_empty());
}

async fn changes_are_watched(store: &impl Store) {
    let (key, beside) = ("watched/key", "watched/key-beside");
    let now = store.list("watched/", false, LIMIT).await.expect("list");
    let mut watch = store.watch(Scope::Key(key), now.revision);
    let start = Instant::now();
    let nothing = watch.next(SHORT).await.expect("a wait");
    assert!(nothing.value.is_empty() && start.elapsed() >= SHORT);
    // Not what was asked for, though its key begins alike.
    done(
        store
            .swap(&[], &[write(beside, b"0", None)], &[], LIMIT)
            .await,
    );
    for value in [b"1", b"2"] {
        let written = done(
            store
                .swap(&[], &[write(key, value, None)], &[], LIMIT)
                .await,
        );
        let read = loop {
            let read = watch.next(LIMIT).await.expect("changes");
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

async fn items_go_with_their_lease(store: &impl Store) {
    let key = "leased/key";
    let lease = store.lease(TERM, LIMIT).await.expect("granted");
    assert_eq!(lease.ttl, TERM);
    let writes = [write(key, b"1", Some(lease.id))];
    done(store.swap(&[], &writes, &[], LIMIT).await);
    let kept = store.renew(lease.id, LIMIT).await.expect("an answer");
    assert_eq!(kept, LeaseState::For(TERM));
    store.end(lease.id, LIMIT).await.expect("ended");
    store.end(lease.id, LIMIT).await.expect("ended before");
    assert_eq!(get(store, key).await, None);
    let gone = store.renew(lease.id, LIMIT).await.expect("an answer");
    assert_eq!(gone, LeaseState::Gone);
    let late = store.swap(&[], &writes, &[], LIMIT).await;
    assert_eq!(late.expect("an answer"), Swap::LeaseExpired);
    assert_eq!(get(store, key).await, None);
}

async fn the_contract(store: &impl Store) {
    items_change_under_conditions(store).await;
    changes_are_watched(store).await;
    items_go_with_their_lease(store).await;
}

#[test]
fn the_gateway_keeps_the_contract() {
    let (_part, client) = gateway();
    smol::block_on(the_contract(&client));
}

#[test]
fn the_users_platform_keeps_the_contract() {
    let store = tidepier_relay_standin::Store::start().expect("a store");
    let client = tidepier_platform::store::Client::new(store.address());
    smol::block_on(the_contract(&client));
}

#[test]
fn a_change_at_the_gateway_whose_answer_is_lost_may_have_been_done() {
    let (part, client) = gateway();
    part.handler().0.switches.set(Faults {
        drop_reply: 1,
        ..Faults::default()
    });
    smol::block_on(async {
        let writes = [write("lost", b"1", None)];
        let lost = client.swap(&[], &writes, &[], SHORT).await;
        assert!(matches!(lost, Err(Failure::NoAnswer(_))), "{lost:?}");
        let item = get(&client, "lost").await.expect("an item");
        assert_eq!(item.value, b"1");
    });
}

/// A gateway that answers one call with this status and body, and closes.
fn answering(status: u16, body: &'static str) -> etcd::Client {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let mut reader = BufReader::new(&stream);
        let (mut line, mut length) = (String::new(), 0);
        while reader.read_line(&mut line).is_ok_and(|read| read > 2) {
            let told = line.to_ascii_lowercase();
            if let Some(told) = told.strip_prefix("content-length:") {
                length = told.trim().parse().expect("a number");
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
fn refusals_of_the_gateway_are_told_apart() {
    for (status, body, name) in [
        (429, "{}", "too_many"),
        (400, "{}", "refused"),
        // It was given up, and may be done all the same.
        (503, "{}", "no_answer"),
        (500, "{}", "no_answer"),
        (200, "no json", "malformed"),
        (200, r#"{"kvs":[{"key":"*"}]}"#, "malformed"),
    ] {
        let client = answering(status, body);
        let failure = smol::block_on(client.get("k", LIMIT)).expect_err("refused");
        assert_eq!(failure.name(), name, "{status} {body}");
    }
}

#[test]
fn a_watch_of_the_gateway_tells_that_history_is_gone() {
    let client = answering(
        200,
        r#"{"result":{"header":{"revision":"9"},"created":true}}
        {"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"7"}}"#,
    );
    let mut watch = client.watch(Scope::Prefix("k/"), Revision::of(3));
    let gone = smol::block_on(watch.next(LIMIT));
    assert!(matches!(gone, Err(Failure::Compacted)), "{gone:?}");
}

#[test]
fn a_watch_of_the_gateway_tells_removals_and_ends_with_its_connection() {
    let client = answering(
        200,
        r#"{"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"8"}}]}}
"#,
    );
    let mut watch = client.watch(Scope::Key("k"), Revision::of(3));
    smol::block_on(async {
        let read = watch.next(LIMIT).await.expect("changes");
        let gone = Event::Delete {
            key: "k".to_owned(),
            revision: Revision::of(8),
        };
        assert_eq!((read.value, read.revision), (vec![gone], Revision::of(9)));
        let ended = watch.next(LIMIT).await;
        assert!(matches!(ended, Err(Failure::NoAnswer(_))), "{ended:?}");
    });
}
