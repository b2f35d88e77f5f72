//! Answers of servers, as decoded and as encoded for clients, and refusals.

use std::time::Duration;

use crate::common::{answer_head, written};
use tidepier_core::answer::{Load, Slowdown};
use tidepier_platform::answer::{self, Length};
use tidepier_platform::monitoring;
use tidepier_platform::refusal::Refusal;

const SERVER_ANSWER: &str = "HTTP/1.1 200 Fine
Attempt-Id: 1
Response-Seal: abc
Content-Type: text/event-stream
Weight-Versions: 3
Server-Load: 3, 0,8
Server-Leaving: 1
Instance-Id: i-1
Not-Executed: 1
Keep-Alive: 7
Connection: x-hop
X-Hop: 1
Content-Length: 10";

#[test]
fn an_answer_is_decoded() {
    let answer = answer::decode(&answer_head(SERVER_ANSWER));
    assert_eq!(answer.status, 200);
    assert_eq!(answer.attempt.as_deref(), Some("1"));
    assert!(answer.signed);
    assert!(answer.not_executed);
    assert!(answer.leaving);
    assert_eq!(answer.server.as_deref(), Some("i-1"));
    let load = Load {
        running: 3,
        waiting: 0,
        slots: 8,
        slowdown: None,
    };
    assert_eq!(answer.load, Some(load));
    assert_eq!(answer.keep_alive, Some(Duration::from_secs(7)));
    assert_eq!(answer.retry_after, None);
    assert!(!answer.close);
}

#[test]
fn a_minimal_answer_has_no_optional_fields() {
    let answer = answer::decode(&answer_head("HTTP/1.1 500 Oops\nConnection: Close"));
    assert_eq!(answer.status, 500);
    assert!(!answer.signed && !answer.not_executed && answer.close);
    assert!(answer.attempt.is_none() && answer.load.is_none() && answer.keep_alive.is_none());
}

#[test]
fn a_misdirected_request_was_not_executed() {
    assert!(answer::decode(&answer_head("HTTP/1.1 421 Elsewhere\nInstance-Id: i-2")).not_executed);
    assert!(!answer::decode(&answer_head("HTTP/1.1 503 Full")).not_executed);
}

#[test]
fn all_formats_of_times_are_decoded() {
    let keep_alive = |value: &str| {
        answer::decode(&answer_head(&format!(
            "HTTP/1.1 200 OK\nKeep-Alive: {value}"
        )))
        .keep_alive
    };
    assert_eq!(
        keep_alive("timeout=5, max=100"),
        Some(Duration::from_secs(5))
    );
    assert_eq!(
        keep_alive("max=100, Timeout=5"),
        Some(Duration::from_secs(5))
    );
    assert_eq!(keep_alive("12"), Some(Duration::from_secs(12)));
    assert_eq!(keep_alive("max=100"), None);
    let retry_after = |value: &str| {
        answer::decode(&answer_head(&format!(
            "HTTP/1.1 503 Full\nRetry-After: {value}"
        )))
        .retry_after
    };
    assert_eq!(retry_after("0.25"), Some(Duration::from_millis(250)));
    assert_eq!(retry_after("2"), Some(Duration::from_secs(2)));
    assert_eq!(retry_after("-1"), None);
    assert_eq!(retry_after("inf"), None);
    assert_eq!(retry_after("Sun, 06 Nov 1994 08:49:37 GMT"), None);
}

#[test]
fn only_one_value_says_that_a_server_is_leaving() {
    let leaving =
        |field: &str| answer::decode(&answer_head(&format!("HTTP/1.1 200 OK\n{field}"))).leaving;
    assert!(leaving("Server-Leaving: 1"));
    assert!(leaving("server-leaving:  1 "));
    for field in [
        "Server-Leaving: 0",
        "Server-Leaving:",
        "Server-Leaving: yes",
        "Leaving: 1",
    ] {
        assert!(!leaving(field), "{field}");
    }
}

#[test]
fn only_a_503_requests_a_back_off() {
    let rest =
        |text: &str| answer::decode(&answer_head(&format!("HTTP/1.1 {text}"))).requested_backoff();
    assert_eq!(
        rest("503 Full\nRetry-After: 2.5"),
        Some(Duration::from_millis(2_500))
    );
    assert_eq!(
        rest("503 Full\nRetry-After: 86400"),
        Some(Duration::from_secs(86_400))
    );
    assert_eq!(
        rest("503 Full\nRetry-After: 31536000"),
        Some(Duration::from_secs(31_536_000))
    );
    for asked in [
        "",
        "0",
        "-3",
        "NaN",
        "inf",
        "soon",
        "1e300",
        "Sun, 06 Nov 1994 08:49:37 GMT",
    ] {
        assert_eq!(
            rest(&format!("503 Full\nRetry-After: {asked}")),
            None,
            "{asked}"
        );
    }
    assert_eq!(rest("503 Full"), None);
    for status in ["429 Busy", "500 Oops", "200 OK", "421 Elsewhere"] {
        assert_eq!(rest(&format!("{status}\nRetry-After: 3")), None, "{status}");
    }
}

/// Guards against a load that is ignored because of its fourth figure, and against a
/// slowdown that no server can have.
#[test]
fn a_fourth_figure_is_a_slowdown_if_it_is_plausible() {
    let decode = |figure: &str| {
        let answer = answer::decode(&answer_head(&format!(
            "HTTP/1.1 200 OK\nServer-Load: 3,0,8{figure}"
        )));
        answer.load
    };
    let load = |slowdown| {
        Some(Load {
            running: 3,
            waiting: 0,
            slots: 8,
            slowdown,
        })
    };
    for (figure, hundredths) in [
        (",140", 140),
        (", 100", 100),
        (",1", 1),
        (",10000", 10_000),
        (",140.4", 140),
    ] {
        assert_eq!(decode(figure), load(Slowdown::new(hundredths)), "{figure}");
    }
    for figure in [
        "",
        ",",
        ",x",
        ",0",
        ",0.4",
        ",-140",
        ",10001",
        ",1e9",
        ",99999999999",
        ",inf",
        ",NaN",
    ] {
        assert_eq!(decode(figure), load(None), "{figure}");
    }
}

#[test]
fn malformed_loads_count_as_absent() {
    for load in ["3,0", "3,0,8,100,1", "a,b,c", "a,0,8,100", "3,0,,100", ""] {
        let answer = answer::decode(&answer_head(&format!(
            "HTTP/1.1 200 OK\nServer-Load: {load}"
        )));
        assert_eq!(answer.load, None, "{load}");
    }
}

/// `Server-Leaving` is forwarded, as the platform's documentation requires.
const CLIENT_HEAD: &str = "HTTP/1.1 200 OK
Attempt-Id: 1
Response-Seal: abc
Content-Type: text/event-stream
Weight-Versions: 3
Server-Leaving: 1
";

#[test]
fn internal_fields_are_removed_from_answers() {
    let sent = answer_head(SERVER_ANSWER);
    let client = |length, close| written(|out| answer::encode(&sent, length, close, out));
    assert_eq!(
        client(Length::Known(10), false),
        format!("{CLIENT_HEAD}Content-Length: 10\n\n")
    );
    assert_eq!(
        client(Length::Chunked, true),
        format!("{CLIENT_HEAD}Transfer-Encoding: chunked\nConnection: close\n\n")
    );
    assert_eq!(
        client(Length::UntilClose, false),
        format!("{CLIENT_HEAD}Connection: close\n\n")
    );
}

#[test]
fn answers_without_a_body_have_no_length() {
    let sent = answer_head("HTTP/1.1 204 Nothing");
    assert_eq!(
        written(|out| answer::encode(&sent, Length::Known(0), false, out)),
        "HTTP/1.1 204 No Content\n\n"
    );
}

#[test]
fn a_refusal_has_a_reason_and_a_retry_delay() {
    let refusal = Refusal {
        method: "POST",
        status: 503,
        attempt: "a1",
        retry_after: Some(Duration::from_micros(1_250_100)),
        reason: "no \"room\"",
        close: true,
    };
    assert_eq!(
        written(|out| refusal.encode(out)),
        "HTTP/1.1 503 Service Unavailable
Attempt-Id: a1
Retry-After: 1.251
Content-Type: application/json
Content-Length: 23
Connection: close

{\"error\":\"no \\\"room\\\"\"}"
    );
    let refusal = Refusal {
        status: 404,
        reason: "x",
        ..Refusal::default()
    };
    assert_eq!(
        written(|out| refusal.encode(out)),
        "HTTP/1.1 404 Not Found\nContent-Type: application/json\nContent-Length: 13\n\n{\"error\":\"x\"}"
    );
}

/// Guards against a body after which the next answer on the connection cannot be read.
#[test]
fn a_refusal_of_head_has_no_body() {
    let refusal = Refusal {
        method: "HEAD",
        status: 404,
        reason: "x",
        ..Refusal::default()
    };
    assert_eq!(
        written(|out| refusal.encode(out)),
        "HTTP/1.1 404 Not Found\nContent-Type: application/json\nContent-Length: 13\n\n"
    );
}

#[test]
fn retry_delays_have_at_most_three_decimals() {
    for (ms, text) in [
        (0, "0"),
        (250, "0.25"),
        (2000, "2"),
        (10_000, "10"),
        (1005, "1.005"),
    ] {
        let retry_delay = Some(Duration::from_millis(ms));
        let refusal = Refusal {
            status: 429,
            retry_after: retry_delay,
            reason: "x",
            ..Refusal::default()
        };
        let refusal = written(|out| refusal.encode(out));
        assert!(
            refusal.contains(&format!("\nRetry-After: {text}\n")),
            "{refusal}"
        );
        let read = answer::decode(&answer_head(refusal.split("\n\n").next().expect("a head")));
        assert_eq!(read.retry_after, retry_delay);
    }
}

#[test]
fn health_and_reports_are_decoded() {
    let health = monitoring::health(&answer_head(
        "HTTP/1.1 200 OK\nInstance-Id: i-1\nServer-Load: 1,2,3",
    ));
    assert!(health.healthy);
    assert_eq!(health.server.as_deref(), Some("i-1"));
    assert_eq!(health.load.map(|load| load.waiting), Some(2));
    assert!(!monitoring::health(&answer_head("HTTP/1.1 503 Leaving")).healthy);
    let report = monitoring::report(
        br#"{"phase":"mixed","models":[],"queued":1,"active":12,"kv_used":41,"kv_total":90,"held":7}"#,
    );
    let report = report.expect("valid");
    assert_eq!((report.waiting, report.running), (1, 12));
    assert_eq!((report.memory_used, report.memory_total), (41, 90));
    assert_eq!((report.pinned, report.held), (None, Some(7)));
    assert!(monitoring::report(b"{\"queued\":1}").is_err());
    assert_eq!(monitoring::READY, "/-/readyz");
    let asked = written(|out| monitoring::get(monitoring::REPORT, "10.0.0.1:80", out));
    assert_eq!(asked, "GET /-/report HTTP/1.1\nHost: 10.0.0.1:80\n\n");
}

#[test]
fn lists_of_cached_parts_are_decoded() {
    let list = br#"{"epoch":3,"next_token":9,"held":[["","5c1e07a2",800,"m"],["","no id",1,"m"],
        ["","91bd3f06",410,"m"]],"more":1}"#;
    let parts = monitoring::cached_parts(list).expect("valid");
    let parts: Vec<_> = parts.iter().map(|part| (part.id, part.tokens)).collect();
    assert_eq!(parts, [(0x5c1e_07a2, 800), (0x91bd_3f06, 410)]);
    for invalid in [
        &b"{}"[..],
        b"[]",
        br#"{"held":[["","5c1e07a2"]]}"#,
        br#"{"held":[["","5c1e07a2",-1,"m"]]}"#,
        br#"{"held":"#,
    ] {
        assert!(monitoring::cached_parts(invalid).is_err(), "{invalid:?}");
    }
    assert_eq!(monitoring::CACHE_LIST, "/-/kv-list");
}
