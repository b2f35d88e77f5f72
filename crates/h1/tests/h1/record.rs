//! Connections that another host carries.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};

use tidepier_h1::{record, Conn};

use crate::pair;

/// A connection that another host carries, and that host's side.
fn carried() -> (Conn, TcpStream) {
    let (mut conn, peer) = pair();
    let by = SocketAddr::from(([127, 0, 0, 1], 1));
    conn.carry(by).expect("nothing was read");
    assert_eq!(conn.carried_by(), Some(by));
    (conn, peer)
}

/// All that is read until the end.
fn read(conn: &mut Conn) -> std::io::Result<Vec<u8>> {
    smol::block_on(async {
        while conn.fill().await? > 0 {}
        Ok(conn.take(conn.pending().len()))
    })
}

#[test]
fn records_carry_bytes_however_they_arrive() {
    let sent: Vec<u8> = (0..70_000u32).map(|at| at as u8).collect();
    let bytes = [record::data(&sent), record::end()].concat();
    for piece in [1_000, 65_538, usize::MAX] {
        let (mut conn, mut peer) = carried();
        let bytes = bytes.clone();
        let writer = std::thread::spawn(move || {
            for part in bytes.chunks(piece) {
                peer.write_all(part).expect("it is read");
            }
            // Stays open: the end is in the records.
            peer
        });
        assert_eq!(read(&mut conn).expect("it ends"), sent);
        drop(writer.join());
    }
}

// Guards against an end that only shows that the host that carries the connection is gone.
#[test]
fn a_connection_without_a_record_of_its_end_has_broken_off() {
    let (mut conn, mut peer) = carried();
    peer.write_all(&record::data(b"part")).expect("open");
    drop(peer);
    let error = read(&mut conn).expect_err("no end");
    assert_eq!(error.kind(), ErrorKind::UnexpectedEof);
    assert_eq!(conn.pending(), b"part");
}

#[test]
fn a_connection_that_will_close_does_not_rest() {
    let (mut conn, mut peer) = carried();
    assert!(conn.rests());
    peer.write_all(&record::closing()).expect("open");
    peer.write_all(&record::data(b"answer")).expect("open");
    smol::block_on(conn.fill()).expect("open");
    assert_eq!(conn.take(6), b"answer");
    assert!(!conn.rests());
}

#[test]
fn bytes_that_are_no_records_are_an_error() {
    let (mut conn, mut peer) = carried();
    peer.write_all(b"HTTP/1.1 200 OK\r\n").expect("open");
    let error = read(&mut conn).expect_err("no record");
    assert_eq!(error.kind(), ErrorKind::InvalidData);
}
