//! Message heads for tests, read from a real connection as in a box.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use smol::Async;
use tidepier_h1::{Conn, Head};

/// Largest head in these tests, in bytes.
const HEAD_BYTES: usize = 64 << 10;

/// Returns the head that a peer reads when `text` is sent, with `\n` as line breaks.
pub(crate) fn head(text: &str) -> Head {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let mut sender = TcpStream::connect(address).expect("loopback");
    let text = text.replace('\n', "\r\n") + "\r\n\r\n";
    sender.write_all(text.as_bytes()).expect("room in buffers");
    let (stream, _) = listener.accept().expect("connected");
    smol::block_on(async {
        let stream = Async::new(stream).expect("a socket");
        let mut conn = Conn::over(stream, Duration::from_secs(3)).expect("open");
        let head = conn.head(HEAD_BYTES).await.expect("a head");
        head.expect("one was sent")
    })
}

/// Returns the head that `encode` writes, as text with `\n` as line breaks.
pub(crate) fn written(encode: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut out = Vec::new();
    encode(&mut out);
    let text = String::from_utf8(out).expect("text");
    text.replace("\r\n", "\n")
}
