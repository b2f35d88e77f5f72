//! Requests of clients, and what servers get of them.

use std::time::Duration;

use crate::common::{head, written};
use tidepier_core::request::{Forward, Part, Request};
use tidepier_ids as ids;
use tidepier_platform::request::{self, Invalid};

const CHAT: &str = "POST /chat/a/v1?x=1 HTTP/1.1
Host: Shop.Example:8080
Attempt-Id: 00ff00ff00ff00ff
Model: m
Token-Usage: 900, 120
Prompt-Prefix: 0a:500, ffffffffffffffff:300,1b:100
Length-Hint: 60
Deadline-Ms: 2500.5
Authorization: bEARER k-1
Last-Event-Id: 17";

fn decoded(text: &str) -> Request {
    request::decode(&head(text)).expect("valid")
}

fn refused(text: &str) -> Invalid {
    request::decode(&head(text)).expect_err("invalid")
}

fn forward(server: &ids::Server) -> Forward<'_> {
    Forward {
        server,
        left: None,
        account: None,
        priority: None,
        resume_after: None,
        copy_from: None,
        body: None,
    }
}

fn server() -> ids::Server {
    "i-1".parse().expect("a name")
}

#[test]
fn a_chat_is_read() {
    let request = decoded(CHAT);
    assert_eq!(&*request.attempt, "00ff00ff00ff00ff");
    assert_eq!(&*request.host, "shop.example");
    assert_eq!(&*request.path, "/chat/a/v1");
    assert_eq!(request.key.as_deref(), Some("k-1"));
    assert_eq!(
        request.client_timeout,
        Some(Duration::from_micros(2_500_500))
    );
    assert_eq!(request.resume_after, Some(17));
    let prompt = request.prompt.expect("a prompt");
    assert_eq!((prompt.input, prompt.output), (900, 120));
    assert_eq!(prompt.hint, Some(60));
    let part = |id, tokens| Part { id, tokens };
    let parts = [part(0x0a, 500), part(u64::MAX, 300), part(0x1b, 100)];
    assert_eq!(prompt.parts, parts);
    assert_eq!(prompt.subject(), Some(&parts[1]));
}

#[test]
fn a_prompt_of_two_parts_shares_the_first() {
    let request = decoded("GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\nPrompt-Prefix: 5:10,6:20");
    let prompt = request.prompt.expect("a prompt");
    assert_eq!(prompt.subject(), Some(&Part { id: 5, tokens: 10 }));
    assert_eq!((prompt.input, prompt.output), (30, 0));
}

#[test]
fn long_part_ids_are_folded() {
    let request = decoded(
        "GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\n\
         Prompt-Prefix: 00000000000000010000000000000002:10,00000000000000010000000000000003:9",
    );
    let parts = request.prompt.expect("a prompt").parts;
    assert_eq!((parts[0].id, parts[1].id), (3, 2));
}

#[test]
fn a_plain_request_has_no_prompt() {
    let request = decoded("GET /a/ HTTP/1.1\nHost: a\nAttempt-Id: 1");
    assert!(request.prompt.is_none());
    assert!(request.key.is_none());
    assert!(request.client_timeout.is_none());
    assert!(request.resume_after.is_none());
}

#[test]
fn absolute_targets_name_the_host() {
    let request = decoded("GET HTTP://Other.example:81/p/q?z HTTP/1.1\nHost: a\nAttempt-Id: 1");
    assert_eq!(&*request.host, "other.example");
    assert_eq!(&*request.path, "/p/q");
    let bare = decoded("GET http://b?z HTTP/1.1\nHost: a\nAttempt-Id: 1");
    assert_eq!((&*bare.host, &*bare.path), ("b", "/"));
}

#[test]
fn ports_are_cut_off_addresses() {
    let host = |host: &str| decoded(&format!("GET / HTTP/1.1\nHost: {host}\nAttempt-Id: 1")).host;
    assert_eq!(&*host("[::1]:80"), "[::1]");
    assert_eq!(&*host("[::1]"), "[::1]");
    assert_eq!(&*host("10.0.0.1:80"), "10.0.0.1");
}

#[test]
fn unreadable_optional_fields_count_as_absent() {
    let request = decoded(
        "GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\nDeadline-Ms: soon\nToken-Usage: many\n\
         Prompt-Prefix: xyz:1\nLast-Event-Id: -\nAuthorization: Basic abc",
    );
    assert!(request.prompt.is_none());
    assert!(request.key.is_none());
    assert!(request.client_timeout.is_none());
    assert!(request.resume_after.is_none());
    let negative = decoded("GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\nDeadline-Ms: -5");
    assert!(negative.client_timeout.is_none());
}

#[test]
fn what_cannot_be_routed_is_refused() {
    assert_eq!(
        refused("GET / HTTP/1.1\nAttempt-Id: 1"),
        Invalid::MissingHost
    );
    assert_eq!(
        refused("GET / HTTP/1.1\nHost: :80\nAttempt-Id: 1"),
        Invalid::MissingHost
    );
    assert_eq!(
        refused("GET / HTTP/1.1\nHost: a\nHost: b\nAttempt-Id: 1"),
        Invalid::TwoHosts
    );
    assert_eq!(refused("GET / HTTP/1.1\nHost: a"), Invalid::MissingAttempt);
    assert_eq!(
        refused("GET / HTTP/1.1\nHost: a\nAttempt-Id: "),
        Invalid::MissingAttempt
    );
    assert_eq!(
        refused("OPTIONS * HTTP/1.1\nHost: a\nAttempt-Id: 1"),
        Invalid::BadTarget
    );
    assert_eq!(
        refused("GET ftp://a/ HTTP/1.1\nHost: a\nAttempt-Id: 1"),
        Invalid::BadTarget
    );
    let longest = "x".repeat(128);
    decoded(&format!("GET / HTTP/1.1\nHost: a\nAttempt-Id: {longest}"));
    assert_eq!(
        refused(&format!("GET / HTTP/1.1\nHost: a\nAttempt-Id: {longest}x")),
        Invalid::LongAttempt
    );
}

#[test]
fn a_server_gets_the_request_and_what_the_fleet_adds() {
    let (server, account) = (server(), "acme".parse().expect("a name"));
    let forward = Forward {
        left: Some(Duration::from_micros(1_999_900)),
        account: Some(&account),
        priority: Some(2),
        resume_after: Some(21),
        copy_from: Some("10.0.0.9:81".parse().expect("an address")),
        body: Some(5),
        ..forward(&server)
    };
    let chat = head(CHAT);
    assert_eq!(
        written(|out| request::encode(&chat, &forward, out)),
        "POST /chat/a/v1?x=1 HTTP/1.1
Host: Shop.Example:8080
Attempt-Id: 00ff00ff00ff00ff
Model: m
Token-Usage: 900, 120
Prompt-Prefix: 0a:500, ffffffffffffffff:300,1b:100
Length-Hint: 60
Target-Instance: i-1
Deadline-Ms: 1999
Tenant: acme
Request-Priority: 2
Last-Event-Id: 21
Kv-Fetch: 10.0.0.9:81
Content-Length: 5

"
    );
}

#[test]
fn fields_of_one_connection_and_of_the_fleet_are_not_passed_on() {
    let sent = head(
        "GET http://a/x HTTP/1.1
Host: a
Attempt-Id: 1
Connection: keep-alive, X-Hop
X-Hop: 1
Keep-Alive: timeout=5
TE: trailers
Upgrade: h2c
Transfer-Encoding: chunked
Expect: 100-continue
authorization: Bearer k
TENANT: other
Target-Instance: i-9
Deadline-Ms: 1
Request-Priority: 0
Hold: h
Expected-Version: 1
Kv-Backup: 1.1.1.1:1
Kv-From: 1.1.1.1:1/2
Kv-Fetch: 1.1.1.1:1
Pin-Ms: 4000
X-Own: kept
Last-Event-Id: 4",
    );
    assert_eq!(
        written(|out| request::encode(&sent, &forward(&server()), out)),
        "GET http://a/x HTTP/1.1
Host: a
Attempt-Id: 1
X-Own: kept
Last-Event-Id: 4
Target-Instance: i-1

"
    );
}

#[test]
fn a_server_has_at_least_a_millisecond() {
    let server = server();
    let forward = Forward {
        left: Some(Duration::from_micros(10)),
        ..forward(&server)
    };
    let sent = head("GET / HTTP/1.1\nHost: a\nAttempt-Id: 1");
    let text = written(|out| request::encode(&sent, &forward, out));
    assert!(text.contains("\nDeadline-Ms: 1\n"), "{text}");
}

#[test]
fn what_is_forwarded_reads_the_same() {
    let chat = head(CHAT);
    let server = server();
    let text = written(|out| request::encode(&chat, &forward(&server), out));
    let again = decoded(text.trim_end());
    let first = decoded(CHAT);
    assert_eq!(again.attempt, first.attempt);
    assert_eq!((again.host, again.path), (first.host, first.path));
    let parts = |prompt: Option<tidepier_core::request::Prompt>| prompt.map(|p| p.parts);
    assert_eq!(parts(again.prompt), parts(first.prompt));
    assert_eq!(again.key, None);
}

#[test]
fn a_client_cannot_take_a_field_out_that_the_adapter_needs() {
    let sent = |connection: &str| {
        format!("GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\nConnection: {connection}\nX-Hop: 1")
    };
    for (connection, hidden) in [
        ("close, Attempt-Id", "Attempt-Id"),
        ("close\nConnection: aTTempt-iD", "Attempt-Id"),
        ("Host", "Host"),
        ("X-Hop,content-length", "Content-Length"),
        ("Prompt-Prefix", "Prompt-Prefix"),
        ("Token-Usage", "Token-Usage"),
        ("Length-Hint", "Length-Hint"),
        ("Last-Event-Id", "Last-Event-Id"),
        ("Model", "Model"),
        ("Deadline-Ms", "Deadline-Ms"),
        ("Authorization", "Authorization"),
        ("Tenant", "Tenant"),
        ("Target-Instance", "Target-Instance"),
    ] {
        let found = refused(&sent(connection));
        assert_eq!(found, Invalid::HiddenField(hidden), "{connection}");
    }
    assert_eq!(
        refused(&sent("Attempt-Id")).to_string(),
        "Connection lists Attempt-Id"
    );
    // What concerns the connection may be listed, known or not.
    for connection in [
        "close",
        "Keep-Alive, X-Hop",
        "TE, Upgrade, Transfer-Encoding",
    ] {
        decoded(&sent(connection));
    }
}
