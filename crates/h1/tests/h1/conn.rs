//! Connections: whether they rest, and how they end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use tidepier_h1::{Conn, Listener};

use crate::{arrive, pair, LIMIT};

/// Waits until `good` holds; false if it does not within the limit.
fn eventually(mut good: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + LIMIT;
    while !good() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

#[test]
fn a_connection_rests_while_it_is_open_and_silent() {
    let (mut conn, peer) = pair();
    assert!(conn.rests() && conn.rests());
    drop(peer);
    assert!(eventually(|| !conn.rests()));

    let (mut conn, mut peer) = pair();
    peer.write_all(b"x").expect("room in buffers");
    assert!(eventually(|| !conn.rests()));
    assert_eq!(conn.pending(), b"x");

    let (mut conn, peer) = pair();
    smol::block_on(arrive(&mut conn, &peer, b"late"));
    assert!(!conn.rests());

    let (mut conn, peer) = pair();
    let socket = socket2::SockRef::from(&peer);
    socket.set_linger(Some(Duration::ZERO)).expect("open");
    drop(peer);
    assert!(eventually(|| !conn.rests()));
}

#[test]
fn the_writing_half_ends_by_a_close_or_a_reset() {
    let (conn, mut peer) = pair();
    smol::block_on(conn.writer().write_all(b"all")).expect("open");
    conn.writer().finish();
    let mut all = Vec::new();
    peer.read_to_end(&mut all).expect("an end");
    assert_eq!(all, b"all");

    let (conn, mut peer) = pair();
    conn.writer().reset_on_close().expect("open");
    drop(conn);
    let reset = peer.read(&mut [0]).expect_err("a reset");
    assert_eq!(reset.kind(), std::io::ErrorKind::ConnectionReset);
}

#[test]
fn connections_are_accepted_opened_and_refused() {
    smol::block_on(async {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let listener = Listener::bind(any).expect("loopback");
        let address = listener.address().expect("bound");
        let mut one = Conn::open(address, LIMIT, LIMIT).await.expect("accepted");
        let other = listener.accept(LIMIT).await.expect("a connection");
        other.writer().write_all(b"hi").await.expect("open");
        assert_eq!(one.scrap().await.expect("open"), 2);
        assert!(one.pending().is_empty());
        let gone = TcpListener::bind(any).expect("loopback");
        let address = gone.local_addr().expect("bound");
        drop(gone);
        assert!(Conn::open(address, LIMIT, LIMIT).await.is_err());
    });
}

#[test]
fn two_parts_are_written_as_one_however_little_the_peer_takes() {
    let sizes = [0, 1, 100, 3 << 20];
    for (first, second) in sizes.iter().flat_map(|a| sizes.map(|b| (*a, b))) {
        let (conn, mut peer) = pair();
        let reading = std::thread::spawn(move || {
            let mut all = Vec::new();
            peer.read_to_end(&mut all).expect("an end");
            all
        });
        let parts = [vec![b'1'; first], vec![b'2'; second]];
        let writer = conn.writer();
        let written = writer.write_both([&parts[0], &parts[1]]);
        smol::block_on(written).expect("open");
        writer.finish();
        let all = reading.join().expect("no panic");
        assert!(all == parts.concat(), "{first} and {second}");
    }
}
