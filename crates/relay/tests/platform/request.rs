//! Requests of clients, as decoded and as encoded for servers.

use std::time::Duration;

use crate::common::{request_head, written};
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

fn decode(text: &str) -> Request {
    request::decode(&request_head(text)).expect("valid")
}

fn decode_error(text: &str) -> Invalid {
    request::decode(&request_head(text)).expect_err("invalid")
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
fn a_request_with_a_prompt_is_decoded() {
    let request = decode(CHAT);
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
fn the_first_of_two_parts_is_the_subject() {
    let request = decode("GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\nPrompt-Prefix: 5:10,6:20");
    let prompt = request.prompt.expect("a prompt");
    assert_eq!(prompt.subject(), Some(&Part { id: 5, tokens: 10 }));
    assert_eq!((prompt.input, prompt.output), (30, 0));
}

#[test]
fn long_part_ids_are_folded() {
    let request = decode(
        "GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\n\
         Prompt-Prefix: 00000000000000010000000000000002:10,00000000000000010000000000000003:9",
    );
    let parts = request.prompt.expect("a prompt").parts;
    assert_eq!((parts[0].id, parts[1].id), (3, 2));
}

#[test]
fn a_plain_request_has_no_prompt() {
    let request = decode("GET /a/ HTTP/1.1\nHost: a\nAttempt-Id: 1");
    assert!(request.prompt.is_none());
    assert!(request.key.is_none());
    assert!(request.client_timeout.is_none());
    assert!(request.resume_after.is_none());
}

#[test]
fn absolute_targets_name_the_host() {
    let request = decode("GET HTTP://Other.example:81/p/q?z HTTP/1.1\nHost: a\nAttempt-Id: 1");
    assert_eq!(&*request.host, "other.example");
    assert_eq!(&*request.path, "/p/q");
    let bare = decode("GET http://b?z HTTP/1.1\nHost: a\nAttempt-Id: 1");
    assert_eq!((&*bare.host, &*bare.path), ("b", "/"));
}

#[test]
fn ports_are_removed_from_hosts() {
    let host = |host: &str| decode(&format!("GET / HTTP/1.1\nHost: {host}\nAttempt-Id: 1")).host;
    assert_eq!(&*host("[::1]:80"), "[::1]");
    assert_eq!(&*host("[::1]"), "[::1]");
    assert_eq!(&*host("10.0.0.1:80"), "10.0.0.1");
}

#[test]
fn malformed_optional_fields_count_as_absent() {
    let request = decode(
        "GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\nDeadline-Ms: soon\nToken-Usage: many\n\
         Prompt-Prefix: xyz:1\nLast-Event-Id: -\nAuthorization: Basic abc",
    );
    assert!(request.prompt.is_none());
    assert!(request.key.is_none());
    assert!(request.client_timeout.is_none());
    assert!(request.resume_after.is_none());
    let negative = decode("GET / HTTP/1.1\nHost: a\nAttempt-Id: 1\nDeadline-Ms: -5");
    assert!(negative.client_timeout.is_none());
}

#[test]
fn requests_without_a_route_are_invalid() {
    assert_eq!(
        decode_error("GET / HTTP/1.1\nAttempt-Id: 1"),
        Invalid::MissingHost
    );
    assert_eq!(
        decode_error("GET / HTTP/1.1\nHost: :80\nAttempt-Id: 1"),
        Invalid::MissingHost
    );
    assert_eq!(
        decode_error("GET / HTTP/1.1\nHost: a\nHost: b\nAttempt-Id: 1"),
        Invalid::TwoHosts
    );
    assert_eq!(
        decode_error("GET / HTTP/1.1\nHost: a"),
        Invalid::MissingAttempt
    );
    assert_eq!(
        decode_error("GET / HTTP/1.1\nHost: a\nAttempt-Id: "),
        Invalid::MissingAttempt
    );
    assert_eq!(
        decode_error("OPTIONS * HTTP/1.1\nHost: a\nAttempt-Id: 1"),
        Invalid::BadTarget
    );
    assert_eq!(
        decode_error("GET ftp://a/ HTTP/1.1\nHost: a\nAttempt-Id: 1"),
        Invalid::BadTarget
    );
    let longest = "x".repeat(128);
    decode(&format!("GET / HTTP/1.1\nHost: a\nAttempt-Id: {longest}"));
    assert_eq!(
        decode_error(&format!("GET / HTTP/1.1\nHost: a\nAttempt-Id: {longest}x")),
        Invalid::LongAttempt
    );
}

#[test]
fn the_fleets_fields_are_added_to_forwarded_requests() {
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
    let chat = request_head(CHAT);
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
fn hop_by_hop_and_fleet_fields_are_not_forwarded() {
    let sent = request_head(
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
fn the_forwarded_deadline_is_at_least_a_millisecond() {
    let server = server();
    let forward = Forward {
        left: Some(Duration::from_micros(10)),
        ..forward(&server)
    };
    let sent = request_head("GET / HTTP/1.1\nHost: a\nAttempt-Id: 1");
    let text = written(|out| request::encode(&sent, &forward, out));
    assert!(text.contains("\nDeadline-Ms: 1\n"), "{text}");
}

#[test]
fn a_forwarded_request_decodes_as_the_original() {
    let chat = request_head(CHAT);
    let server = server();
    let text = written(|out| request::encode(&chat, &forward(&server), out));
    let again = decode(text.trim_end());
    let first = decode(CHAT);
    assert_eq!(again.attempt, first.attempt);
    assert_eq!((again.host, again.path), (first.host, first.path));
    let parts = |prompt: Option<tidepier_core::request::Prompt>| prompt.map(|p| p.parts);
    assert_eq!(parts(again.prompt), parts(first.prompt));
    assert_eq!(again.key, None);
}

#[test]
fn protected_fields_cannot_be_listed_in_connection() {
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
        let found = decode_error(&sent(connection));
        assert_eq!(found, Invalid::HiddenField(hidden), "{connection}");
    }
    assert_eq!(
        decode_error(&sent("Attempt-Id")).to_string(),
        "Connection lists Attempt-Id"
    );
    // Fields that apply to the connection may be listed, known ones and others.
    for connection in [
        "close",
        "Keep-Alive, X-Hop",
        "TE, Upgrade, Transfer-Encoding",
    ] {
        decode(&sent(connection));
    }
}
