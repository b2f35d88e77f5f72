//! The stand-ins do what tests of the relay count on.

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_relay_standin::client::{Answer, Call, Client, End, Payload};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{event, Events, Fault, Outcome, Settings};
use tidepier_relay_standin::site::{Route, HOST};
use tidepier_relay_standin::store::Down;
use tidepier_relay_standin::{Server, Site, Store};

/// A wait after which nothing more is expected.
const QUIET: Duration = Duration::from_millis(150);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn post(attempt: &str) -> Call {
    Call::new("POST", HOST, "/a/b?c=1", attempt).body(b"question")
}

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

async fn sent(server: &Server, call: Call) -> Answer {
    Client::once(server.address(), &call).await.unwrap()
}

#[test]
fn the_store_keeps_conditions_and_revisions() {
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
fn pages_go_on_at_a_key() {
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
fn watches_wake_expire_and_lose_their_history() {
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
fn store_faults_are_kept_apart() {
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
fn a_server_answers_and_remembers() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        let chunks = Payload::Chunked(vec![b"que".to_vec(), b"stion".to_vec()]);
        let mut call = post("one").with(names::TARGET, "i-1");
        call.payload = chunks;
        let answer = sent(&server, call).await;
        let run = &server.runs()[0];
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(answer.field(names::SEAL), Some(&*run.seal));
        assert_eq!(answer.field(names::LOAD), Some("0,0,4"));
        assert_eq!(answer.body, run.text(64));
        assert_eq!(run.body.as_deref(), Some(&b"question"[..]));
        assert_eq!((run.outcome, server.ran("one")), (Outcome::Finished, 1));
        let other = sent(&server, post("two").with(names::TARGET, "i-2")).await;
        assert_eq!(
            (other.status, other.field(names::INSTANCE)),
            (421, Some("i-1"))
        );
        assert_eq!(server.ran("two"), 0);
        let health = sent(&server, Call::new("GET", HOST, "/healthz", "h")).await;
        assert_eq!(
            (health.status, server.probes(), server.runs().len()),
            (200, 1, 2)
        );
        let late = Settings {
            work: ms(500),
            ..Settings::default()
        };
        let slow = Server::start(late).unwrap();
        assert_eq!(
            sent(&slow, post("late").with(names::DEADLINE, "50"))
                .await
                .status,
            504
        );
    });
}

#[test]
fn a_full_server_queues_then_sheds() {
    smol::block_on(async {
        let settings = Settings {
            slots: 1,
            queue: 1,
            work: ms(100),
            ..Settings::default()
        };
        let server = Server::start(settings).unwrap();
        let calls = ["a", "b", "c"].map(post);
        let address = server.address();
        let send = |call| smol::spawn(async move { Client::once(address, &call).await });
        let calls = calls.map(send);
        let mut statuses = Vec::new();
        for call in calls {
            statuses.push(call.await.unwrap().status);
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 503]);
        assert_eq!(server.running(), 0);
    });
}

#[test]
fn a_client_that_leaves_is_noticed() {
    smol::block_on(async {
        let settings = Settings {
            work: ms(2_000),
            ..Settings::default()
        };
        let server = Server::start(settings).unwrap();
        let answer = sent(&server, post("gone").leaving(ms(50))).await;
        assert_eq!((answer.status, answer.end), (0, End::Left));
        Timer::after(QUIET).await;
        let run = &server.runs()[0];
        assert_eq!(run.outcome, Outcome::Left);
        assert!(run.closed.is_some());
    });
}

#[test]
fn streams_resume_and_break_off() {
    smol::block_on(async {
        let events = Some(Events {
            count: 6,
            pause: ms(10),
        });
        let server = Server::start(Settings {
            events,
            ..Settings::default()
        })
        .unwrap();
        let whole = sent(&server, post("s")).await;
        assert_eq!(
            (whole.ids(), whole.complete),
            (vec![1, 2, 3, 4, 5, 6], true)
        );
        assert!(whole.first_event().unwrap() < whole.elapsed);
        let rest = sent(&server, post("t").with(names::LAST_EVENT, "4")).await;
        assert_eq!(rest.body, [event(5), event(6)].concat().as_bytes());
        server.fault(Fault::CutEvent, 1);
        let cut = sent(&server, post("u")).await;
        assert_eq!(
            (cut.ids(), cut.complete, cut.end),
            (vec![1, 2, 3], false, End::Closed)
        );
        assert!(cut.body.len() > event(1).len() * 3);
        server.fault(Fault::BreakOff, 1);
        let broken = sent(&server, post("v")).await;
        assert_eq!(broken.body.len(), event(1).len() * 3);
        assert!(!broken.complete);
    });
}

#[test]
fn server_faults_look_as_named() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        let cases = [
            (Fault::Shed, 503, true, End::Open, 0),
            (Fault::Busy, 429, true, End::Open, 0),
            (Fault::Failure, 500, true, End::Open, 1),
            (Fault::Hang, 0, false, End::Left, 1),
            (Fault::Reset, 0, false, End::Reset, 0),
            (Fault::LostAnswer, 0, false, End::Reset, 1),
            (Fault::Garbage, 0, false, End::Malformed, 1),
            (Fault::Unframed, 200, true, End::Open, 1),
            (Fault::Early, 200, true, End::Open, 1),
            (Fault::BreakOff, 200, false, End::Closed, 1),
            (Fault::Close, 200, true, End::Open, 1),
        ];
        for (fault, status, complete, end, ran) in cases {
            server.fault(fault, 1);
            let attempt = format!("{fault:?}");
            let answer = sent(&server, post(&attempt).leaving(ms(200))).await;
            assert_eq!(
                (answer.status, answer.complete, answer.end),
                (status, complete, end),
                "{fault:?}"
            );
            assert_eq!(server.ran(&attempt), ran, "{fault:?}");
        }
        assert_eq!(sent(&server, post("sound")).await.status, 200);
    });
}

#[test]
fn surplus_answers_come_at_once_or_later() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        server.fault(Fault::Extra, 1);
        let mut client = Client::open(server.address()).await.unwrap();
        assert_eq!(client.call(&post("x")).await.status, 200);
        Timer::after(QUIET).await;
        assert!(!client.rests());
        server.fault(Fault::LateExtra, 1);
        let mut client = Client::open(server.address()).await.unwrap();
        client.call(&post("y")).await;
        Timer::after(QUIET).await;
        assert!(client.rests());
        let stale = client.call(&post("z")).await;
        assert_eq!(stale.field(names::ATTEMPT), Some("y"));
        assert_eq!(
            client.answer("POST", ms(500)).await.field(names::ATTEMPT),
            Some("z")
        );
    });
}

#[test]
fn a_dark_server_is_silent_and_comes_back() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        server.dark(true);
        assert_eq!(
            sent(&server, post("d").leaving(ms(100))).await.end,
            End::Left
        );
        server.heal();
        let answers = Client::open(server.address())
            .await
            .unwrap()
            .pipeline(&[post("e"), post("f")])
            .await;
        assert_eq!(
            answers
                .iter()
                .map(|answer| answer.status)
                .collect::<Vec<_>>(),
            [200, 200]
        );
        server.close_idle(Some(ms(50)));
        let mut client = Client::open(server.address()).await.unwrap();
        client.call(&post("g")).await;
        Timer::after(QUIET).await;
        assert!(!client.rests());
        let address = server.address();
        server.crash();
        Timer::after(QUIET).await;
        assert!(Client::open(address).await.is_err());
        let next = Settings {
            id: "i-2".into(),
            ..Settings::default()
        };
        let heir = Server::start_at(address, next).unwrap();
        assert_eq!(sent(&heir, post("h")).await.status, 200);
    });
}

#[test]
fn prompts_that_are_kept_are_not_read_again() {
    smol::block_on(async {
        let server = Server::start(Settings {
            prefill: Duration::from_micros(10),
            ..Settings::default()
        })
        .unwrap();
        sent(&server, post("p").with(names::PROMPT, "a:800,b:100")).await;
        sent(&server, post("q").with(names::PROMPT, "a:800,c:50")).await;
        let read: Vec<u64> = server.runs().iter().map(|run| run.prefilled).collect();
        assert_eq!(read, [900, 50]);
    });
}

#[test]
fn a_site_tells_its_configuration_and_servers() {
    smol::block_on(async {
        let site = Site::start().unwrap();
        let kind = Kind::Stream { resumable: true };
        let first = site.declare(&[
            Route::new("/a/", kind, "s1"),
            Route::new("/b/", Kind::Once, "s1"),
        ]);
        let server = site
            .server(Settings {
                service: "s1".into(),
                ..Settings::default()
            })
            .unwrap();
        let config = || -> Value {
            serde_json::from_slice(&site.store.value(names::CONFIG).unwrap()).unwrap()
        };
        assert_eq!(config()["services"].as_array().unwrap().len(), 1);
        assert_eq!(config()["routes"][0]["stream_resume"], true);
        assert!(site.account("acme", &["k1"], 1) > first);
        site.drop_route("/b/");
        assert_eq!(config()["routes"].as_array().unwrap().len(), 1);
        assert_eq!(config()["tenants"][0]["api_keys"][0], "k1");
        site.announce(&server, State::Draining);
        let entry: Value =
            serde_json::from_slice(&site.store.value("servers/i-1").unwrap()).unwrap();
        assert_eq!(
            (&entry["state"], &entry["service"]),
            (&json!("draining"), &json!("s1"))
        );
        site.withdraw(&server);
        assert!(site.store.keys(names::SERVERS).is_empty());
        let settings = site.settings("box-1", "hall-1", [server.address(); 3]);
        assert_eq!(
            settings["platform"]["address"],
            site.store.address().to_string()
        );
    });
}
