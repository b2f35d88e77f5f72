//! Bodies: how their end is told, and reading them however they arrive.

use std::cell::Cell;
use std::io::{self, Write};

use futures_lite::future::{poll_once, yield_now, zip};
use tidepier_h1::{Body, Conn, Framing, Malformed};

use crate::{answer, arrive, pair, whole};

#[test]
fn the_end_of_a_body_is_told_in_one_way() {
    let request = |fields: &str| Framing::of_request(&whole(&format!("POST / HTTP/1.1{fields}")));
    let good = |fields: &str| request(fields).expect("one way");
    assert_eq!(good(""), Framing::Empty);
    assert_eq!(good("\nContent-Length: 0"), Framing::Length(0));
    assert_eq!(good("\nCONTENT-length: 17"), Framing::Length(17));
    assert_eq!(
        good("\nContent-Length: 17\nContent-Length: 17"),
        Framing::Length(17)
    );
    assert_eq!(good("\nTransfer-Encoding: Chunked"), Framing::Chunked);
    for bad in [
        "\nContent-Length: 17\nContent-Length: 18",
        "\nContent-Length: 17, 17",
        "\nContent-Length: +17",
        "\nContent-Length: -1",
        "\nContent-Length:",
        "\nContent-Length: 18446744073709551616",
        "\nContent-Length: 5\nTransfer-Encoding: chunked",
        "\nTransfer-Encoding: chunked\nContent-Length: 5",
        "\nTransfer-Encoding: chunked\nTransfer-Encoding: chunked",
        "\nTransfer-Encoding: gzip, chunked",
        "\nTransfer-Encoding: identity",
    ] {
        let found = request(bad);
        assert!(
            matches!(found, Err(Malformed::Framing(_))),
            "{bad}: {found:?}"
        );
    }
}

#[test]
fn answers_without_a_length_go_on_until_the_close() {
    let answer = |text: &str, method| {
        let head = answer(&format!("HTTP/1.1 {text}")).expect("an answer");
        Framing::of_answer(&head, method).expect("one way")
    };
    assert_eq!(answer("200 OK", "GET"), Framing::UntilClose);
    assert_eq!(
        answer("200 OK\nContent-Length: 3", "GET"),
        Framing::Length(3)
    );
    assert_eq!(answer("200 OK\nContent-Length: 3", "HEAD"), Framing::Empty);
    for status in [204, 304] {
        let text = format!("{status} x\nContent-Length: 3");
        assert_eq!(answer(&text, "GET"), Framing::Empty);
    }
}

/// Takes what is there now, without waiting.
async fn take(body: &mut Body, conn: &mut Conn, out: &mut Vec<u8>) -> io::Result<()> {
    while let Some(more) = poll_once(body.read(conn, out)).await {
        if !more? {
            break;
        }
    }
    Ok(())
}

/// Sends `sent` in the pieces given, reading after each; the body that was
/// read and the bytes left after it.
fn pieces(framing: Framing, sent: &[&[u8]]) -> io::Result<(Vec<u8>, bool, Vec<u8>)> {
    let (mut conn, peer) = pair();
    smol::block_on(async {
        let (mut body, mut out) = (Body::new(framing), Vec::new());
        for piece in sent {
            arrive(&mut conn, &peer, piece).await;
            take(&mut body, &mut conn, &mut out).await?;
        }
        Ok((out, body.is_done(), conn.pending().to_vec()))
    })
}

const CHUNKED: &[u8] =
    b"5;ext=\"a\"\r\nhello\r\n1\r\n \r\n00A\r\n\r\n0\r\n\r\nfiv\r\n0\r\nTrailer: x\r\nOther: y\r\n\r\nNEXT";
const WHOLE: &[u8] = b"hello \r\n0\r\n\r\nfiv";

#[test]
fn chunks_may_be_split_at_every_byte() {
    let sent = CHUNKED;
    for cut in 0..=sent.len() {
        let (out, done, rest) = pieces(Framing::Chunked, &[&sent[..cut], &sent[cut..]])
            .unwrap_or_else(|error| panic!("cut at {cut}: {error}"));
        assert_eq!((&out[..], done, &rest[..]), (WHOLE, true, &b"NEXT"[..]));
    }
    let single: Vec<_> = sent.chunks(1).collect();
    let (out, done, rest) = pieces(Framing::Chunked, &single).expect("valid");
    assert_eq!((&out[..], done, &rest[..]), (WHOLE, true, &b"NEXT"[..]));
}

#[test]
fn a_length_may_be_split_at_every_byte_and_leaves_the_rest() {
    let sent = b"hello, world";
    for cut in 0..=sent.len() {
        let parts = [&sent[..cut], &sent[cut..]];
        let (out, done, rest) = pieces(Framing::Length(5), &parts).expect("valid");
        assert_eq!(
            (&out[..], done, &rest[..]),
            (&b"hello"[..], true, &b", world"[..])
        );
    }
    let (out, done, rest) = pieces(Framing::Empty, &[b"x"]).expect("valid");
    assert_eq!((out.len(), done, &rest[..]), (0, true, &b"x"[..]));
}

#[test]
fn malformed_chunks_are_errors() {
    for sent in [
        &b"x\r\n"[..],
        b"-1\r\nx",
        b"2\r\nabc\r\n0\r\n\r\n",
        b"10000000000000000\r\n",
        &[b'0'; 20],
    ] {
        let found = pieces(Framing::Chunked, &[sent]);
        let kind = found.as_ref().map_err(io::Error::kind).err();
        assert_eq!(kind, Some(io::ErrorKind::InvalidData), "{sent:?} {found:?}");
    }
    let endless = [&b"0\r\nT: "[..], &[b'x'; 8 << 10]].concat();
    let found = pieces(Framing::Chunked, &[&endless]);
    assert_eq!(
        found.expect_err("endless").kind(),
        io::ErrorKind::InvalidData
    );
}

/// Reads to the end of what the peer sends before it closes, by `close`.
fn closed(
    framing: Framing,
    sent: &[u8],
    close: impl FnOnce(std::net::TcpStream),
) -> (Vec<u8>, io::Result<()>) {
    let (mut conn, mut peer) = pair();
    peer.write_all(sent).expect("room in buffers");
    smol::block_on(async {
        let (mut body, mut out) = (Body::new(framing), Vec::new());
        if !sent.is_empty() {
            assert!(body.read(&mut conn, &mut out).await.expect("some"));
        }
        close(peer);
        loop {
            match body.read(&mut conn, &mut out).await {
                Ok(true) => {}
                Ok(false) => return (out, Ok(())),
                Err(error) => return (out, Err(error)),
            }
        }
    })
}

#[test]
fn a_body_until_the_close_ends_by_the_close_and_not_by_a_reset() {
    let (out, end) = closed(Framing::UntilClose, b"all", drop);
    assert_eq!((&out[..], end.is_ok()), (&b"all"[..], true));
    let reset = |peer: std::net::TcpStream| {
        let socket = socket2::SockRef::from(&peer);
        let linger = socket.set_linger(Some(std::time::Duration::ZERO));
        linger.expect("open");
    };
    let (out, end) = closed(Framing::UntilClose, b"all", reset);
    let kind = end.expect_err("reset").kind();
    assert_eq!(
        (&out[..], kind),
        (&b"all"[..], io::ErrorKind::ConnectionReset)
    );
}

#[test]
fn a_body_that_breaks_off_is_never_a_shorter_one() {
    let (_, end) = closed(Framing::Length(4), b"all", drop);
    assert_eq!(end.expect_err("short").kind(), io::ErrorKind::UnexpectedEof);
    let (_, end) = closed(Framing::Length(4), b"", drop);
    assert_eq!(end.expect_err("none").kind(), io::ErrorKind::UnexpectedEof);
    let full = b"3\r\nall\r\n0\r\nT: x\r\n\r\n";
    for cut in 4..full.len() {
        let (_, end) = closed(Framing::Chunked, &full[..cut], drop);
        let kind = end.expect_err("short").kind();
        assert_eq!(kind, io::ErrorKind::UnexpectedEof, "cut at {cut}");
    }
}

/// Lines between chunks, such as extensions, cost memory of nobody but work without end.
#[test]
fn lines_between_chunks_are_bounded_by_the_body() {
    let chunk = [&b"2;x="[..], &[b'x'; 1_000], b"\r\nab\r\n"].concat();
    let found = pieces(Framing::Chunked, &[&chunk.repeat(80)]);
    let kind = found.expect_err("too long").kind();
    assert_eq!(kind, io::ErrorKind::InvalidData);
    // Chunks of one byte are within the bound, however many, as are a few long lines.
    let single = [&b"1\r\na\r\n"[..]; 20_000].concat();
    let sent = [&chunk.repeat(40)[..], &single, b"0\r\n\r\n"].concat();
    let parts: Vec<&[u8]> = sent.chunks(10_000).collect();
    let (out, done, rest) = pieces(Framing::Chunked, &parts).expect("valid");
    assert_eq!((out.len(), done, rest.len()), (20_080, true, 0));
}

/// A peer that sent as fast as it was read kept all other tasks of the thread waiting.
#[test]
fn other_tasks_run_beside_a_peer_that_sends_without_pause() {
    let (mut conn, mut peer) = pair();
    // As many bytes as the buffers take wait from the beginning.
    let socket = conn.weak_socket();
    let enlarged = socket.with(|socket| socket.set_recv_buffer_size(4 << 20));
    enlarged.expect("open").expect("a size");
    peer.set_nonblocking(true).expect("open");
    let mut due = 0;
    while let Ok(written) = peer.write(&[b'x'; 64 << 10]) {
        due += written;
    }
    let (turns, is_done) = (Cell::new(0), Cell::new(false));
    let read = async {
        let mut body = Body::new(Framing::Length(due as u64));
        let rest = body.rest(&mut conn, None, due);
        rest.await.expect("whole");
        is_done.set(true);
    };
    let others = async {
        while !is_done.get() {
            turns.set(turns.get() + 1);
            yield_now().await;
        }
    };
    smol::block_on(zip(read, others));
    let least = due / (256 << 10);
    assert!(turns.get() >= least, "{} turns, {due} bytes", turns.get());
}
