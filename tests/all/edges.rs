//! The port for clients: invalid input gets a clear answer and does no harm.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::OnceLock;
use std::time::Duration;

use proptest::prelude::*;
use tidepier_errors::{Kind, Ran};
use tidepier_http::client::{Call, Failure, Pool};
use tidepier_load::fleet::key_of;
use tidepier_standin::faults::Faults;

use crate::harness::{bearer, fault_of, Fleet, Plan};
use crate::streams::config;

/// One fleet, shared by all tests that do not change its state.
fn fleet() -> &'static Fleet {
    static FLEET: OnceLock<Fleet> = OnceLock::new();
    FLEET.get_or_init(|| {
        Fleet::start(Plan {
            boxes: 1,
            engines: 2,
            ..Plan::default()
        })
    })
}

/// Sends raw bytes and returns the status of the answer; 0 without one.
fn raw(address: SocketAddr, bytes: &[u8]) -> (u16, String) {
    raw_then(address, bytes, true)
}

/// Like [`raw`]; `ends` closes the sending side after the bytes.
pub fn raw_then(address: SocketAddr, bytes: &[u8], ends: bool) -> (u16, String) {
    let mut socket = TcpStream::connect(address).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    // The other side may answer and close the connection before everything is
    // written.
    let _ = socket.write_all(bytes);
    if ends {
        let _ = socket.shutdown(std::net::Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    (status.unwrap_or(0), text)
}

fn chat_call(key: &str, body: &str) -> Call {
    Call::post("/v1/chat/completions", body.as_bytes()).header("authorization", bearer(key))
}

fn kind_of(call: &Call) -> (u16, Kind) {
    let answer = fleet().call(fleet().addresses()[0], call).unwrap();
    (answer.status, fault_of(&answer).kind)
}

#[test]
fn what_is_not_http_gets_a_400() {
    let address = fleet().addresses()[0];
    for bytes in [
        &b"hello\r\n\r\n"[..],
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/0.9\r\nHost: a\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
    ] {
        let (status, text) = raw(address, bytes);
        assert_eq!(status, 400, "{:?}: {text}", String::from_utf8_lossy(bytes));
        assert!(text.contains("\"ran\":\"no\""), "{text}");
    }
}

#[test]
fn two_lengths_that_differ_get_a_400() {
    let bytes =
        b"POST /v1/models HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}";
    let (status, text) = raw(fleet().addresses()[0], bytes);
    assert_eq!(status, 400, "{text}");
}

#[test]
fn a_head_without_end_gets_a_413_in_bounded_memory() {
    let mut bytes = b"GET / HTTP/1.1\r\nHost: a\r\nX: ".to_vec();
    bytes.resize(64 << 10, b'x');
    // The connection stays open for more bytes; the answer must not wait for
    // them.
    let (status, text) = raw_then(fleet().addresses()[0], &bytes, false);
    assert_eq!(status, 413, "{text}");
}

#[test]
fn a_body_over_the_limit_gets_a_413() {
    let bytes = b"POST /v1/models HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";
    let (status, text) = raw(fleet().addresses()[0], bytes);
    assert_eq!(status, 413, "{text}");
}

#[test]
fn a_body_cut_short_by_the_caller_is_not_taken_as_whole() {
    let key = bearer(&key_of("drivers"));
    let head = format!(
        "POST /services/billing/drafts HTTP/1.1\r\nHost: a\r\nAuthorization: {key}\r\n\
         Content-Length: 50\r\n\r\n{{\"id\":\"cut-body\"}}"
    );
    let (status, _) = raw(fleet().addresses()[0], head.as_bytes());
    assert!(status == 400 || status == 0, "{status}");
    assert_eq!(fleet().runs("cut-body"), 0);
}

#[test]
fn a_response_cut_short_is_an_error() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _ = socket.read(&mut request).unwrap();
        socket
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            .unwrap();
    });
    let pool = Pool::new();
    let call = Call::get("/").once();
    let sent = smol::block_on(pool.whole(address, &call, 1000, Duration::from_secs(20)));
    assert!(matches!(sent, Err(Failure::Unknown(_))), "{sent:?}");
    serving.join().unwrap();
}

#[test]
fn a_key_that_is_missing_or_unknown_gets_a_401() {
    let body = r#"{"model":"linen","messages":[{"role":"user","content":"a"}]}"#;
    assert_eq!(
        kind_of(&chat_call("nobody", body)),
        (401, Kind::Unauthorized)
    );
    let bare = Call::post("/v1/chat/completions", body.as_bytes());
    assert_eq!(kind_of(&bare), (401, Kind::Unauthorized));
}

#[test]
fn bad_requests_say_what_is_wrong() {
    let key = key_of("drivers");
    let cases = [
        ("{", 400, Kind::BadRequest),
        ("{}", 400, Kind::BadRequest),
        (r#"{"model":"linen","messages":[]}"#, 400, Kind::BadRequest),
        (r#"{"model":"linen","messages":"a"}"#, 400, Kind::BadRequest),
        (
            r#"{"model":"no","messages":[{"role":"user","content":"a"}]}"#,
            404,
            Kind::NotFound,
        ),
    ];
    for (body, status, kind) in cases {
        assert_eq!(kind_of(&chat_call(&key, body)), (status, kind), "{body}");
    }
    let late = chat_call(&key, "{}").header("tidepier-deadline-ms", "soon");
    assert_eq!(kind_of(&late), (400, Kind::BadRequest));
}

#[test]
fn a_forged_or_foreign_response_id_is_unknown() {
    let fleet = fleet();
    let chat = fleet.make_chat(1, 3);
    let call = tidepier_load::caller::call(&chat);
    let answer = fleet.call(fleet.addresses()[0], &call).unwrap();
    let response = answer.header("tidepier-response").unwrap().to_string();
    let mut forged = response.clone().into_bytes();
    let last = forged.len() - 1;
    forged[last] = if forged[last] == b'A' { b'B' } else { b'A' };
    let forged = String::from_utf8(forged).unwrap();
    let get = |id: &str, key: &str| {
        let call = Call::get(format!("/v1/responses/{id}")).header("authorization", bearer(key));
        fleet.call(fleet.addresses()[0], &call).unwrap().status
    };
    assert_eq!(get(&response, &chat.key), 200);
    assert_eq!(
        get(&response, &key_of("back-office")),
        404,
        "another account's"
    );
    assert_eq!(get(&forged, &chat.key), 404);
    assert_eq!(get("resp_", &chat.key), 404);
    assert_eq!(get("resp_AAAA", &chat.key), 404);
}

#[test]
fn json_answers_are_whole_too() {
    let fleet = fleet();
    let chat = fleet.make_chat(2, 7);
    let body = serde_json::json!({
        "model": chat.model, "messages": chat.messages, "max_tokens": 7,
    });
    let answer = fleet
        .call(
            fleet.addresses()[0],
            &chat_call(&chat.key, &body.to_string()),
        )
        .unwrap();
    let value: serde_json::Value = serde_json::from_slice(&answer.bytes).unwrap();
    let seed = tidepier_standin::oracle::seed(
        &chat.model,
        &tidepier_standin::oracle::prompt(&chat.messages),
    );
    let right = tidepier_standin::oracle::answer(seed, 7);
    assert_eq!(value["choices"][0]["message"]["content"], right.as_str());
    assert_eq!(value["choices"][0]["finish_reason"], "stop");
}

#[test]
fn the_responses_api_has_its_own_format() {
    let fleet = fleet();
    let key = key_of("drivers");
    let body = r#"{"model":"linen","input":"Which van?","max_output_tokens":4}"#;
    let call = Call::post("/v1/responses", body.as_bytes()).header("authorization", bearer(&key));
    let answer = fleet.call(fleet.addresses()[0], &call).unwrap();
    let value: serde_json::Value = serde_json::from_slice(&answer.bytes).unwrap();
    assert_eq!(value["status"], "completed");
    let text = value["output"][0]["content"][0]["text"].as_str().unwrap();
    assert_eq!(text.split_whitespace().count(), 4);
    let streamed = body.replace("\"input\"", "\"stream\":true,\"input\"");
    let call =
        Call::post("/v1/responses", streamed.into_bytes()).header("authorization", bearer(&key));
    let answer = fleet.call(fleet.addresses()[0], &call).unwrap();
    let text = String::from_utf8(answer.bytes).unwrap();
    assert_eq!(
        text.matches("response.output_text.delta").count(),
        4,
        "{text}"
    );
    assert_eq!(text.matches("response.completed").count(), 1, "{text}");
}

#[test]
fn a_disconnected_client_frees_the_engine() {
    let fleet = Fleet::start(Plan {
        boxes: 1,
        engines: 1,
        step_us: 5500,
        ..Plan::default()
    });
    let key = bearer(&key_of("drivers"));
    let body =
        r#"{"model":"linen","messages":[{"role":"user","content":"a"}],"max_tokens":100000}"#;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut socket = TcpStream::connect(fleet.addresses()[0]).unwrap();
    socket.write_all(head.as_bytes()).unwrap();
    let engine = fleet.engine(0).engine().clone();
    fleet.wait("the engine runs it", || engine.report().running == 1);
    // A frozen engine sends no tokens, so the router writes nothing and cannot
    // detect the closed connection by a failed write.
    engine.switches.set(Faults {
        freeze: true,
        ..Faults::default()
    });
    drop(socket);
    let free = || {
        fleet.routers[0]
            .status()
            .is_some_and(|status| status.open == 0)
    };
    // Far less than the time-out after which the router gives up a stalled
    // engine.
    fleet.wait_for(Duration::from_secs(20), "nothing is open", free);
    engine.switches.set(Faults::default());
    fleet.wait("the engine is free again", || engine.report().running == 0);
}

#[test]
fn every_refusal_by_engines_says_not_run_and_none_ran() {
    let fleet = Fleet::start(Plan {
        boxes: 1,
        engines: 2,
        ..Plan::default()
    });
    let started = || -> u64 {
        (0..2)
            .map(|index| fleet.engine(index).engine().started.load(Ordering::SeqCst))
            .sum()
    };
    let before = started();
    for index in 0..2 {
        let switches = &fleet.engine(index).engine().switches;
        switches.set(Faults {
            refuse: 1000,
            ..Faults::default()
        });
    }
    let outcomes = fleet.chats(500..530, 3);
    for outcome in &outcomes {
        let refused = outcome.refused.as_ref().expect("refused");
        assert_eq!(refused.ran, Ran::No);
        assert!(refused.retry_after.is_some());
    }
    assert_eq!(started(), before, "the engines' own counts");
}

proptest! {
    #![proptest_config(config(64))]

    #[test]
    fn arbitrary_bytes_leave_the_port_healthy(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        raw(fleet().addresses()[0], &bytes);
        let (status, _) = raw(fleet().addresses()[0], b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        prop_assert_eq!(status, 200);
    }

    #[test]
    fn arbitrary_bodies_get_a_client_error(body in "\\PC{0,200}", path in "[a-z/0-9]{0,30}") {
        let call = Call::post(format!("/{path}"), body.into_bytes())
            .header("authorization", bearer(&key_of("drivers")));
        let answer = fleet().call(fleet().addresses()[0], &call).unwrap();
        prop_assert!((400..500).contains(&answer.status), "{}", answer.status);
        prop_assert!(answer.header("tidepier-request").is_some());
    }
}
