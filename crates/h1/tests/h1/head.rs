//! Heads: limits, fields, and what goes on to the next hop.

use std::io::Write;
use std::time::Duration;

use tidepier_h1::{target, Malformed};

use crate::{answer, arrive, head, pair, whole};

#[test]
fn a_head_may_arrive_split_at_every_byte() {
    let sent = b"\r\nPOST /a?b HTTP/1.1\r\nHost: x\r\nX-Empty:\r\n\r\nBODY";
    for cut in 0..sent.len() - 4 {
        let (mut conn, mut peer) = pair();
        smol::block_on(async {
            arrive(&mut conn, &peer, &sent[..cut]).await;
            let early = futures_lite::future::poll_once(conn.request_head(1_000)).await;
            assert!(early.is_none(), "cut at {cut}: {early:?}");
            peer.write_all(&sent[cut..]).expect("room in buffers");
            let head = conn
                .request_head(1_000)
                .await
                .expect("valid")
                .expect("sent");
            assert_eq!((head.method(), head.target()), ("POST", "/a?b"));
            assert_eq!(
                (head.text("HOST"), head.text("x-empty")),
                (Some("x"), Some(""))
            );
            while conn.pending().len() < 4 {
                conn.fill().await.expect("open");
            }
            // Early bytes are the body's, and still there.
            assert_eq!(conn.pending(), b"BODY");
        });
    }
}

/// Guards against a head that is taken as whole though its sender stopped in the middle.
#[test]
fn a_head_that_ends_at_any_byte_before_its_last_is_broken_off() {
    for whole in [
        "HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 12\r\n\r\n",
        "HTTP/1.1 200 OK\n\n",
        "\r\nHTTP/1.1 204 x\r\n\r\n",
    ] {
        for cut in 1..whole.len() {
            let (mut conn, mut peer) = pair();
            peer.write_all(&whole.as_bytes()[..cut])
                .expect("room in buffers");
            drop(peer);
            let head = smol::block_on(conn.answer_head(1_000));
            assert!(
                matches!(head, Err(Malformed::BrokenOff)),
                "{cut} of {whole:?}: {head:?}"
            );
        }
    }
}

#[test]
fn heads_over_a_limit_are_refused_whole_or_not() {
    let text = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(100));
    let read = |sent: &[u8], most| {
        let (mut conn, mut peer) = pair();
        peer.write_all(sent).expect("room in buffers");
        smol::block_on(conn.request_head(most)).map(|head| head.is_some())
    };
    assert!(read(text.as_bytes(), text.len()).expect("at the limit"));
    let whole = read(text.as_bytes(), text.len() - 1);
    assert!(matches!(whole, Err(Malformed::TooLarge)), "{whole:?}");
    let part = read(&text.as_bytes()[..60], 50);
    assert!(matches!(part, Err(Malformed::TooLarge)), "{part:?}");
    // Bytes of a body do not count.
    let early = text.clone() + &"b".repeat(1_000);
    assert!(read(early.as_bytes(), text.len()).expect("at the limit"));
    let fields = |count: usize| head(&format!("GET / HTTP/1.1{}", "\nX: 1".repeat(count)));
    assert!(fields(64).is_ok());
    let many = fields(65);
    assert!(matches!(many, Err(Malformed::Syntax(_))), "{many:?}");
}

#[test]
fn broken_heads_and_absent_ones_differ() {
    let sent = |text: &[u8]| {
        let (mut conn, mut peer) = pair();
        peer.write_all(text).expect("room in buffers");
        drop(peer);
        smol::block_on(conn.request_head(1_000))
    };
    assert!(matches!(sent(b""), Ok(None)));
    assert!(matches!(sent(b"GET / HT"), Err(Malformed::BrokenOff)));
    assert!(matches!(
        sent(b"\x00\x01\r\n\r\n"),
        Err(Malformed::Syntax(_))
    ));
    assert!(matches!(
        sent(b"GET / HTTP/1.1\r\nA B: c\r\n\r\n"),
        Err(Malformed::Syntax(_))
    ));
}

/// Guards against bytes that are taken for an answer, or for a request, and are none.
#[test]
fn an_answer_begins_with_a_status_and_a_request_does_not() {
    for code in [200, 204, 304, 421, 503, 599] {
        let head = answer(&format!("HTTP/1.1 {code} x")).expect("an answer");
        assert_eq!(head.status().code(), code);
    }
    for code in ["000", "001", "099", "600", "999"] {
        for line in [format!("HTTP/1.1 {code}"), format!("HTTP/1.0 {code} OK")] {
            let head = answer(&line);
            let status = code.parse::<u16>().expect("a number");
            assert!(
                matches!(head, Err(Malformed::Status(code)) if code == status),
                "{line}: {head:?}"
            );
        }
    }
    for line in ["GET / HTTP/1.1", "\nHTTP/1.1 200 OK", "HTTP/1.1 20 OK"] {
        let head = answer(line);
        assert!(
            matches!(head, Err(Malformed::Syntax(_))),
            "{line}: {head:?}"
        );
    }
    let switched = answer("HTTP/1.1 101 Switching Protocols\nUpgrade: x");
    assert!(matches!(switched, Err(Malformed::Switched)), "{switched:?}");
    // An interim answer has no body, whatever its fields say.
    let interim = "HTTP/1.1 100 Continue\nContent-Length: 3\n\n";
    let after = |count: usize| answer(&(interim.repeat(count) + "HTTP/1.1 200 OK"));
    assert_eq!(after(8).expect("an answer").status().code(), 200);
    assert!(matches!(after(9), Err(Malformed::Interim)));
    let request = head("HTTP/1.1 503 Full");
    assert!(matches!(request, Err(Malformed::Syntax(_))), "{request:?}");
}

#[test]
fn what_concerns_one_connection_ends_here() {
    let head = whole(
        "GET / HTTP/1.1\nHost: a\nConnection: close, X-Hop\nX-Hop: 1\nConnection: x-two\nX-Two: 2
Keep-Alive: 5\nTE: trailers\nTrailer: T\nUpgrade: h2c\nProxy-Connection: close
Proxy-Authenticate: x\nTransfer-Encoding: chunked\nContent-Length: 3\nX-Own: kept\nX-own: too",
    );
    let kept: Vec<_> = head.end_to_end().map(|field| field.name).collect();
    assert_eq!(kept, ["Host", "X-Own", "X-own"]);
    assert!(head.lists("x-HOP") && head.lists("close") && !head.lists("x-own"));
    // By the standard a listed field goes, whichever it is; who needs one must
    // look whether it is listed.
    let hidden = whole("GET / HTTP/1.1\nAttempt-Id: 1\nConnection: close, Attempt-Id");
    assert_eq!(hidden.end_to_end().count(), 0);
    assert!(hidden.lists("attempt-id"));
}

#[test]
fn the_sender_tells_when_it_closes_and_how_long_it_rests() {
    let closes = |text: &str| whole(text).closes();
    assert!(closes("GET / HTTP/1.1\nConnection: x, CLOSE"));
    assert!(!closes("GET / HTTP/1.1\nConnection: keep-alive"));
    assert!(!closes("GET / HTTP/1.1"));
    assert!(closes("GET / HTTP/1.0"));
    assert!(!closes("GET / HTTP/1.0\nConnection: Keep-Alive"));
    let rests = |value: &str| {
        let head = answer(&format!("HTTP/1.1 200 OK\nKeep-Alive: {value}"));
        head.expect("an answer").keep_alive()
    };
    assert_eq!(rests("max=1, timeout=7"), Some(Duration::from_secs(7)));
    assert_eq!(rests("7"), Some(Duration::from_secs(7)));
    assert_eq!(rests("soon"), None);
}

#[test]
fn tokens_of_bearers_are_read() {
    let bearer = |value: &str| {
        let head = whole(&format!("GET / HTTP/1.1\nAuthorization: {value}"));
        head.bearer().map(str::to_owned)
    };
    assert_eq!(bearer("bEARER  k ").as_deref(), Some("k"));
    assert_eq!(bearer("Basic k"), None);
    assert_eq!(bearer("Bearer"), None);
}

#[test]
fn targets_are_split_and_escaped() {
    assert_eq!(target::split("/a/b?c"), Some((None, "/a/b")));
    assert_eq!(target::split("http://h:1?c"), Some((Some("h:1"), "/")));
    assert_eq!(target::split("HTTPS://h/p#f"), Some((Some("h"), "/p")));
    for none in ["*", "ftp://h/", "http://u@h/", "http:///p", "h:80"] {
        assert_eq!(target::split(none), None, "{none}");
    }
    assert_eq!(target::without_port("[::1]:80"), "[::1]");
    assert_eq!(target::without_port("[::1]"), "[::1]");
    assert_eq!(target::escape("a b/c&=%é"), "a%20b/c%26%3D%25%C3%A9");
}
