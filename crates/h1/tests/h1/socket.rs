//! Connections of which one half fails first.

use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use smol::Timer;
use tidepier_h1::{record, Body, Conn, Framing};

use crate::{pair, LIMIT};

/// A call of the writing half.
#[derive(Debug, Clone, Copy)]
enum Call {
    All,
    Both,
    Try,
}

const CALLS: [Call; 3] = [Call::All, Call::Both, Call::Try];

async fn write(conn: &Conn, call: Call) -> io::Result<()> {
    let writer = conn.writer();
    match call {
        Call::All => writer.write_all(b"upload").await,
        Call::Both => writer.write_both([b"up", b"load"]).await,
        Call::Try => writer.try_write(b"upload").map(drop),
    }
}

/// Writes until it fails; returns why.
fn fail_write(conn: &Conn, call: Call) -> ErrorKind {
    let start = Instant::now();
    smol::block_on(async {
        loop {
            if let Err(error) = write(conn, call).await {
                return error.kind();
            }
            assert!(start.elapsed() < LIMIT, "the connection is still open");
            Timer::after(Duration::from_millis(1)).await;
        }
    })
}

/// Reads a body that ends with its connection: the bytes, and the error that it ended with.
fn read(conn: &mut Conn) -> (Vec<u8>, Option<ErrorKind>) {
    let mut body = Body::new(Framing::UntilClose);
    let mut bytes = Vec::new();
    let end = smol::block_on(async {
        while body.read(conn, &mut bytes).await? {}
        io::Result::Ok(())
    });
    (bytes, end.err().map(|error| error.kind()))
}

fn reset(peer: TcpStream) {
    let socket = socket2::SockRef::from(&peer);
    socket.set_linger(Some(Duration::ZERO)).expect("open");
}

/// Sends bytes, ends the sending side in order, and resets as bytes of the other side are
/// not read.
fn end_then_reset(mut peer: TcpStream, bytes: &[u8]) {
    peer.write_all(bytes).expect("room in buffers");
    peer.shutdown(Shutdown::Write).expect("open");
    assert_ne!(peer.peek(&mut [0]).expect("bytes"), 0);
}

/// Guards against a part of a body that is taken for all of it since a write was told of the
/// reset, after which the system reports an end to reads.
#[test]
fn a_body_is_cut_short_if_a_write_was_told_of_the_reset() {
    for call in CALLS {
        for writes in 0..3 {
            let (mut conn, mut peer) = pair();
            peer.write_all(b"part").expect("room in buffers");
            reset(peer);
            let failed: Vec<_> = (0..writes).map(|_| fail_write(&conn, call)).collect();
            let (bytes, end) = read(&mut conn);
            assert_eq!(bytes, b"part", "{call:?}");
            let end = end.unwrap_or_else(|| panic!("{call:?} {failed:?}: a whole body"));
            assert_eq!(end, ErrorKind::ConnectionReset, "{call:?}");
        }
    }
}

/// Guards against the same of the second read after a reset.
#[test]
fn every_read_after_a_reset_fails() {
    let (mut conn, peer) = pair();
    reset(peer);
    for number in 0..3 {
        let read = smol::block_on(conn.fill());
        let kind = read.as_ref().map_err(io::Error::kind);
        assert_eq!(kind, Err(ErrorKind::ConnectionReset), "read {number}");
    }
    assert_eq!(fail_write(&conn, Call::All), ErrorKind::ConnectionReset);
}

/// Guards against the same where the peer no longer takes bytes.
#[test]
fn a_body_is_cut_short_if_a_write_was_told_of_a_time_out() {
    let (mut conn, mut peer) = pair();
    conn.limit_unacked(Duration::from_millis(100))
        .expect("open");
    peer.write_all(b"part").expect("room in buffers");
    let upload = vec![0; 64 << 20];
    let failed = smol::block_on(conn.writer().write_all(&upload));
    let failed = failed.map_err(|error| error.kind());
    assert_eq!(failed, Err(ErrorKind::TimedOut));
    let (bytes, end) = read(&mut conn);
    assert_eq!((&*bytes, end), (&b"part"[..], Some(ErrorKind::TimedOut)));
}

/// Guards against a whole body that is taken for a part since its peer, which had ended its
/// sending side in order, did not read all of the upload.
#[test]
fn a_body_is_whole_if_its_end_came_before_the_reset() {
    for call in CALLS {
        for writes in 0..3 {
            let (mut conn, peer) = pair();
            smol::block_on(write(&conn, call)).expect("open");
            end_then_reset(peer, b"whole");
            (0..writes).for_each(|_| {
                assert_eq!(fail_write(&conn, call), ErrorKind::BrokenPipe, "{call:?}");
            });
            assert_eq!(
                read(&mut conn),
                (b"whole".to_vec(), None),
                "{call:?} {writes}"
            );
        }
    }
}

/// Guards against a reset of a carried connection that is taken for the loss of its carrier,
/// and against one that hides the end that the carrier has stated.
#[test]
fn a_carried_connection_ends_as_its_carrier_states() {
    let by = SocketAddr::from(([127, 0, 0, 1], 1));
    for (records, expected) in [
        (record::data(b"part"), Some(ErrorKind::ConnectionReset)),
        ([record::data(b"part"), record::end()].concat(), None),
    ] {
        let (mut conn, mut peer) = pair();
        conn.carry(by).expect("nothing was read");
        peer.write_all(&records).expect("room in buffers");
        reset(peer);
        assert_eq!(fail_write(&conn, Call::All), ErrorKind::ConnectionReset);
        assert_eq!(read(&mut conn), (b"part".to_vec(), expected));
    }
}
