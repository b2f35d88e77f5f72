//! Tests of the store.

use std::time::Instant;

use serde_json::{json, Value};
use smol::Timer;
use tidepier_core::store::{self as core, Scope, Store as _, Watch as _};
use tidepier_platform::store as platform;
use tidepier_relay_standin::client::{Call, Client};
use tidepier_relay_standin::names;
use tidepier_relay_standin::store::Down;
use tidepier_relay_standin::Store;

use crate::ms;

async fn ask(store: &Store, method: &str, target: &str, body: Option<Value>) -> (u16, Value) {
    let mut call = Call::new(method, "store", target, "").leaving(ms(700));
    if let Some(body) = body {
        call = call.body(body.to_string().as_bytes());
    }
    let answer = Client::once(store.address(), &call).await.unwrap();
    let fields = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    (answer.status, fields)
}

async fn put(store: &Store, key: &str, expected: u64, lease: u64) -> (u16, Value) {
    let body = json!({
        "expected_revision": [{ "key_file": key, "revision": expected }],
        "write": [{ "key_file": key, "value": "bm9kZS0x", "lease_id": lease }],
        "remove": [],
    });
    ask(store, "POST", "/-/kv-txn", Some(body)).await
}

#[test]
fn the_store_checks_conditions_and_assigns_revisions() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        assert_eq!(
            put(&store, "my/a", 0, 0).await,
            (200, json!({ "revision": 1 }))
        );
        let (status, refused) = put(&store, "my/a", 0, 0).await;
        assert_eq!(
            (status, &refused["entries"][0]["revision"]),
            (412, &json!(1))
        );
        assert_eq!(put(&store, "my/a", 1, 99).await.0, 404);
        assert_eq!(put(&store, "op/config", 0, 0).await.0, 403);
        assert_eq!(put(&store, "servers/x", 0, 0).await.0, 403);
        let (status, item) = ask(&store, "GET", "/-/kv-key?key_file=my%2Fa", None).await;
        assert_eq!(status, 200);
        assert_eq!(
            (&item["value"], &item["timestamp"]),
            (&json!("bm9kZS0x"), &json!(1))
        );
        assert_eq!(
            ask(&store, "GET", "/-/kv-key?key_file=my/b", None).await.0,
            404
        );
        assert_eq!(store.calls("kv-txn"), 5);
    });
}

#[test]
fn pages_continue_at_a_key() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        store.faults(|faults| faults.page = 2);
        for id in ["a", "b", "c"] {
            store.put_server(id, &json!({}));
        }
        let first = ask(&store, "GET", "/-/kv-range?path_prefix=servers/", None)
            .await
            .1;
        assert_eq!(
            (
                first["entries"].as_array().unwrap().len(),
                &first["has_more"]
            ),
            (2, &json!(true))
        );
        let next = "/-/kv-range?path_prefix=servers/&start_revision=servers/c";
        let rest = ask(&store, "GET", next, None).await.1;
        assert_eq!(rest["entries"][0]["key_file"], "servers/c");
        assert_eq!(
            (rest["entries"].as_array().unwrap().len(), &rest["has_more"]),
            (1, &json!(false))
        );
    });
}

#[test]
fn watches_return_changes_time_out_and_lose_their_history() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        let watch =
            |from: u64| format!("/-/kv-watch?path_prefix=op/&start_revision={from}&wait_ms=300");
        let target = watch(0);
        let waiting = ask(&store, "GET", &target, None);
        let write = async {
            Timer::after(ms(50)).await;
            store.put_config(&json!({ "version": 1 }));
        };
        let ((status, told), ()) = futures_lite::future::zip(waiting, write).await;
        assert_eq!(
            (status, &told["events"][0]["key_file"]),
            (200, &json!("op/config"))
        );
        assert_eq!(told["timestamp"], 1);
        let start = Instant::now();
        let nothing = ask(&store, "GET", &watch(1), None).await.1;
        assert_eq!(nothing, json!({ "events": [], "timestamp": 1 }));
        assert!(start.elapsed() >= ms(290));
        store.remove(names::CONFIG);
        assert_eq!(
            ask(&store, "GET", &watch(1), None).await.1["events"][0]["deleted"],
            true
        );
        store.compact();
        assert_eq!(ask(&store, "GET", &watch(1), None).await.0, 410);
        store.deaf(ms(10_000));
        store.put_config(&json!({ "version": 4 }));
        assert_eq!(
            ask(&store, "GET", &watch(2), None).await.1["events"],
            json!([])
        );
    });
}

#[test]
fn a_lease_ends_with_its_keys() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        let grant = json!({ "ttl_ms": 200 });
        let lease = ask(&store, "POST", "/-/kv-lease", Some(grant)).await.1;
        let id = lease["lease_id"].as_u64().unwrap();
        assert_eq!(put(&store, "my/n", 0, id).await.0, 200);
        Timer::after(ms(120)).await;
        assert_eq!(
            ask(&store, "POST", &format!("/-/kv-keep/{id}"), None)
                .await
                .0,
            200
        );
        Timer::after(ms(120)).await;
        assert_eq!(store.keys("my/"), ["my/n"]);
        Timer::after(ms(200)).await;
        assert!(store.keys("my/").is_empty());
        assert_eq!(
            ask(&store, "POST", &format!("/-/kv-keep/{id}"), None)
                .await
                .0,
            404
        );
    });
}

#[test]
fn store_faults_have_separate_effects() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        store.faults(|faults| faults.lost = 1);
        assert_eq!(put(&store, "my/lost", 0, 0).await.0, 0);
        assert_eq!(store.keys("my/"), ["my/lost"]);
        store.faults(|faults| faults.late = (1, ms(900)));
        assert_eq!(put(&store, "my/late", 0, 0).await.0, 0);
        assert_eq!(store.keys("my/"), ["my/lost"]);
        Timer::after(ms(400)).await;
        assert_eq!(store.keys("my/"), ["my/late", "my/lost"]);
        let downs = [(Down::Busy, 503), (Down::Reset, 0), (Down::Silent, 0)];
        for (down, status) in downs {
            store.faults(|faults| faults.down = Some(down));
            assert_eq!(put(&store, "my/down", 0, 0).await.0, status);
        }
        store.faults(|faults| (faults.down, faults.refuse) = (None, true));
        assert_eq!(put(&store, "my/down", 0, 0).await.0, 429);
        assert_eq!(store.keys("my/"), ["my/late", "my/lost"]);
    });
}

#[test]
fn the_platform_client_can_use_the_store() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        store.faults(|faults| faults.page = 2);
        let client = platform::Client::new(store.address());
        let limit = ms(700);
        let lease = client.lease(ms(1_000), limit).await.unwrap();
        let absent = core::Revision::of(0);
        for key in ["my/a", "my/b", "my/c"] {
            let lease = Some(lease.id);
            let write = core::Write {
                key,
                value: b"v",
                lease,
            };
            let swap = client.swap(&[(key, absent)], &[write], &[], limit).await;
            assert!(matches!(swap.unwrap(), core::Swap::Done(_)));
        }
        let write = core::Write {
            key: "my/a",
            value: b"w",
            lease: None,
        };
        let expected = [("my/a", absent), ("my/x", absent)];
        let again = client.swap(&expected, &[write], &[], limit).await;
        let core::Swap::Conflict(core::Current::Items(items)) = again.unwrap() else {
            panic!("no conflict");
        };
        assert_eq!((items.len(), &*items[0].value), (1, &b"v"[..]));
        let listed = client.list("my/", false, limit).await.unwrap();
        assert_eq!((listed.value.len(), listed.revision.number()), (3, 3));
        assert_eq!(store.calls("kv-range"), 2);
        assert!(client.get("my/x", limit).await.unwrap().value.is_none());
        let kept = client.renew(lease.id, limit).await.unwrap();
        assert_eq!(kept, core::LeaseState::For(ms(1_000)));
        client.end(lease.id, limit).await.unwrap();
        let mut watch = client.watch(Scope::Prefix("my/"), listed.revision);
        let seen = watch.next(limit).await.unwrap();
        assert_eq!((seen.value.len(), seen.revision.number()), (3, 4));
        assert!(matches!(seen.value[0], core::Event::Delete { .. }));
        assert_eq!(
            client.renew(lease.id, limit).await.unwrap(),
            core::LeaseState::Gone
        );
        store.faults(|faults| faults.refuse = true);
        let refused = client.get("my/a", limit).await;
        assert!(matches!(refused, Err(core::Failure::TooMany)));
    });
}

#[test]
fn waiting_watches_are_cut_and_outlast_a_rate_limit() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        let watch = "/-/kv-watch?path_prefix=op/&start_revision=0&wait_ms=500";
        let cut = async {
            Timer::after(ms(100)).await;
            store.cut_watches();
        };
        let start = Instant::now();
        let ((status, _), ()) =
            futures_lite::future::zip(ask(&store, "GET", watch, None), cut).await;
        assert_eq!(status, 0);
        assert!(start.elapsed() < ms(400));
        let limit = async {
            Timer::after(ms(100)).await;
            store.faults(|faults| faults.refuse = true);
        };
        let ((status, _), ()) =
            futures_lite::future::zip(ask(&store, "GET", watch, None), limit).await;
        assert_eq!(status, 200);
    });
}

#[test]
fn a_restored_store_loses_later_changes_and_raises_its_era() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        let lease = async |ttl_ms: u64| {
            let body = json!({ "ttl_ms": ttl_ms });
            let granted = ask(&store, "POST", "/-/kv-lease", Some(body)).await.1;
            granted["lease_id"].as_u64().unwrap()
        };
        let kept = lease(60_000).await;
        assert_eq!(put(&store, "my/a", 0, kept).await.0, 200);
        let copy = store.copy();
        let lost = lease(60_000).await;
        assert_eq!(put(&store, "my/b", 0, lost).await.0, 200);
        assert_eq!(put(&store, "my/a", 1, 0).await.0, 200);
        assert_eq!((store.revision(), store.era()), (3, 1));
        store.go_back(&copy);
        assert_eq!((store.revision(), store.era()), (1, 2));
        assert_eq!(store.value("my/b"), None);
        let keep = async |id| {
            ask(&store, "POST", &format!("/-/kv-keep/{id}"), None)
                .await
                .0
        };
        assert_eq!((keep(kept).await, keep(lost).await), (200, 404));
        // The revision is assigned again, for another change.
        let (status, done) = put(&store, "my/c", 0, 0).await;
        assert_eq!((status, done), (200, json!({ "revision": 2 })));
    });
}

#[test]
fn every_answer_names_the_era() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        let copy = store.copy();
        let era = async |target: &str| {
            let call = Call::new("GET", "store", target, "").leaving(ms(700));
            let answer = Client::once(store.address(), &call).await.unwrap();
            (answer.status, answer.field(names::ERA).map(str::to_owned))
        };
        let first = Some("1".to_owned());
        assert_eq!(era("/-/kv-key?key_file=a").await, (404, first.clone()));
        assert_eq!(era("/-/kv-range?path_prefix=a").await, (200, first.clone()));
        let old = "/-/kv-watch?path_prefix=a&start_revision=7&wait_ms=9";
        assert_eq!(era(old).await, (410, first));
        store.go_back(&copy);
        store.faults(|faults| faults.down = Some(Down::Busy));
        assert_eq!(era("/-/kv-key?key_file=a").await, (503, Some("2".into())));
    });
}

#[test]
fn a_delayed_answer_names_the_era_in_which_it_was_made() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        let copy = store.copy();
        store.put("a", &json!(1));
        store.faults(|faults| faults.held = ms(200));
        let call = Call::new("GET", "store", "/-/kv-key?key_file=a", "").leaving(ms(700));
        let held = Client::once(store.address(), &call);
        let back = async {
            Timer::after(ms(50)).await;
            store.go_back(&copy);
        };
        let (answer, ()) = futures_lite::future::zip(held, back).await;
        let answer = answer.unwrap();
        assert_eq!((answer.status, answer.field(names::ERA)), (200, Some("1")));
    });
}

#[test]
fn a_waiting_watch_ends_when_its_revision_is_gone() {
    smol::block_on(async {
        let store = Store::start().unwrap();
        let copy = store.copy();
        store.put("a", &json!(1));
        let target = "/-/kv-watch?path_prefix=a&start_revision=1&wait_ms=5000";
        let waiting = ask(&store, "GET", target, None);
        let back = async {
            Timer::after(ms(50)).await;
            store.go_back(&copy);
        };
        let (answer, ()) = futures_lite::future::zip(waiting, back).await;
        assert_eq!(answer.0, 410);
    });
}
