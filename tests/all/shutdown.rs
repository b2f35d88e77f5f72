//! The end of a router's graceful shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use tidepier_config::settings::{Millis, Tuning};
use tidepier_errors::Kind;
use tidepier_http::client::{Call, Failure, Pool, Whole};
use tidepier_load::caller::Chat;

use crate::edges::raw_then;
use crate::harness::{bearer, fault_of, tuning, Fleet, Plan};

/// Tokens of an answer that takes far longer than the shutdown waits.
const TOKENS: u64 = 20_000;

fn fleet() -> Fleet {
    let plan = Plan {
        boxes: 1,
        engines: 2,
        ..Plan::default()
    };
    let tuning = Tuning {
        stop_ms: Millis(1_500),
        ..tuning()
    };
    Fleet::start_with(plan, tuning)
}

/// Sends a chat in a thread of its own.
fn send(
    address: SocketAddr,
    chat: &Chat,
    stream: bool,
) -> std::thread::JoinHandle<Result<Whole, Failure>> {
    let body = serde_json::json!({
        "model": chat.model,
        "messages": chat.messages,
        "max_tokens": chat.tokens,
        "stream": stream,
    });
    let call = Call::post("/v1/chat/completions", body.to_string().into_bytes());
    let call = call.header("authorization", bearer(&chat.key)).once();
    std::thread::spawn(move || {
        let pool = Pool::new();
        smol::block_on(pool.whole(address, &call, 1 << 20, Duration::from_secs(20)))
    })
}

// Guards against requests that a shutdown ends without an answer.
#[test]
fn a_shutdown_answers_the_requests_that_it_interrupts() {
    let mut fleet = fleet();
    let address = fleet.addresses()[0];
    let chat = fleet.make_chat(1, TOKENS);
    let whole = send(address, &chat, false);
    let stream = send(address, &chat, true);
    let unread = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: {}\r\n\
         Content-Length: 50\r\n\r\n{{",
        bearer(&chat.key)
    );
    let unread = std::thread::spawn(move || raw_then(address, unread.as_bytes(), false));
    fleet.wait("open", || {
        let status = fleet.routers[0].status();
        status.is_some_and(|status| status.open == 3)
    });
    assert_eq!(fleet.routers[0].finish(), 3, "interrupted");
    let answer = whole.join().unwrap().expect("an answer");
    let kind = fault_of(&answer).kind;
    assert_eq!((answer.status, kind), (502, Kind::Lost));
    let stream = stream.join().unwrap().expect("an answer");
    let events = String::from_utf8_lossy(&stream.bytes).into_owned();
    let last = events.trim_end().lines().last().unwrap_or_default();
    assert!(last.contains("\"lost\""), "{last}");
    let (status, text) = unread.join().unwrap();
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("\"ran\":\"no\""), "{text}");
}
