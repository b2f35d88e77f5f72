//! Message heads for tests, read from a real connection as in a box.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use smol::Async;
use tidepier_h1::{head, Conn, Head};

/// Largest head in these tests, in bytes.
const HEAD_BYTES: usize = 64 << 10;

/// Returns the head of a request that a peer reads when `text` is sent, with `\n` as line
/// breaks.
pub(crate) fn request_head(text: &str) -> Head {
    smol::block_on(async {
        let head = receiver_of(text).request_head(HEAD_BYTES).await;
        head.expect("a head").expect("one was sent")
    })
}

/// The same for the head of an answer.
pub(crate) fn answer_head(text: &str) -> Head<head::Answer> {
    smol::block_on(async {
        let head = receiver_of(text).answer_head(HEAD_BYTES).await;
        head.expect("a head")
    })
}

fn receiver_of(text: &str) -> Conn {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let mut sender = TcpStream::connect(address).expect("loopback");
    let text = text.replace('\n', "\r\n") + "\r\n\r\n";
    sender.write_all(text.as_bytes()).expect("room in buffers");
    let (stream, _) = listener.accept().expect("connected");
    let stream = Async::new(stream).expect("a socket");
    Conn::over(stream, Duration::from_secs(3)).expect("open")
}

/// Returns the head that `encode` writes, as text with `\n` as line breaks.
pub(crate) fn written(encode: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut out = Vec::new();
    encode(&mut out);
    let text = String::from_utf8(out).expect("text");
    text.replace("\r\n", "\n")
}
