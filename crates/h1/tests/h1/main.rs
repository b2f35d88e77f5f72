//! Heads, bodies, connections and calls over real sockets.

mod body;
mod call;
mod conn;
mod head;
mod record;
mod socket;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use smol::Async;
use tidepier_h1::head::Answer;
use tidepier_h1::{Conn, Head, Malformed};

/// Ample for bytes to cross the loopback on a busy machine.
const LIMIT: Duration = Duration::from_secs(5);

/// Most bytes of a head in these tests.
const HEAD_BYTES: usize = 64 << 10;

/// A connection and its peer.
fn pair() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("loopback");
    peer.set_nodelay(true).expect("open");
    let (stream, _) = listener.accept().expect("connected");
    let stream = Async::new(stream).expect("a socket");
    (Conn::over(stream, LIMIT).expect("open"), peer)
}

/// Has the peer send `bytes` and waits until all of them are pending.
async fn arrive(conn: &mut Conn, mut peer: &TcpStream, bytes: &[u8]) {
    let due = conn.pending().len() + bytes.len();
    peer.write_all(bytes).expect("room in buffers");
    while conn.pending().len() < due {
        assert_ne!(conn.fill().await.expect("open"), 0);
    }
}

/// A connection on which `text` was sent, lines joined by `\n`, and then its end.
fn sent(text: &str) -> Conn {
    let (conn, mut peer) = pair();
    let text = text.replace('\n', "\r\n") + "\r\n\r\n";
    peer.write_all(text.as_bytes()).expect("room in buffers");
    conn
}

/// The head of a request that is read when `text` is sent.
fn head(text: &str) -> Result<Option<Head>, Malformed> {
    smol::block_on(sent(text).request_head(HEAD_BYTES))
}

/// A head of a request that must be one.
fn whole(text: &str) -> Head {
    head(text).expect("valid").expect("one was sent")
}

/// The head of an answer that is read when `text` is sent.
fn answer(text: &str) -> Result<Head<Answer>, Malformed> {
    smol::block_on(sent(text).answer_head(HEAD_BYTES))
}
