//! Tests of links between boxes: who may open one, which frames are applied, and
//! that no bytes from a peer crash a router.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use proptest::prelude::*;
use tidepier_config::document::Record;
use tidepier_config::key::Secret;
use tidepier_http::dial::Direct;
use tidepier_ids as ids;
use tidepier_placement::Ended;
use tidepier_wire::frame::{Ask, Beat, Frame, Hello, Pressure, VERSION};
use tidepier_wire::link::{self, Error};
use tidepier_wire::Link;

use crate::harness::{Fleet, Plan};
use crate::streams::config;

fn fleet() -> Fleet {
    Fleet::start(Plan {
        boxes: 1,
        engines: 1,
        ..Plan::default()
    })
}

fn hello(fleet: &str) -> Hello {
    Hello {
        version: VERSION,
        fleet: fleet.parse().unwrap(),
        name: "stranger".parse().unwrap(),
        hall: "industrial-area".parse().unwrap(),
        incarnation: ids::Incarnation(1),
        peers: ([127, 0, 0, 1], 1).into(),
        admin: ([127, 0, 0, 1], 2).into(),
        nonce: link::nonce(),
    }
}

fn dial(fleet: &Fleet, hello: &Hello, key: &Secret) -> Result<(), Error> {
    let address = fleet.made.boxes[0].peers.0;
    let keys = [key.clone()];
    smol::block_on(Link::dial(&Direct, address, hello, &keys)).map(|_| ())
}

#[test]
fn only_a_key_of_the_fleet_opens_a_link() {
    let fleet = fleet();
    let right = fleet.made.boxes[0].link_keys[0].clone();
    assert!(dial(&fleet, &hello("safi"), &Secret::new([7; 32])).is_err());
    assert!(dial(&fleet, &hello("camara"), &right).is_err());
    let mut old = hello("safi");
    old.version = VERSION + 1;
    assert!(dial(&fleet, &old, &right).is_err());
    assert!(dial(&fleet, &hello("safi"), &right).is_ok());
    let known = fleet.routers[0].status().unwrap().boxes;
    let strangers = known
        .iter()
        .filter(|b| b.name.as_str() == "stranger")
        .count();
    assert_eq!(strangers, 1, "only the last one was let in: {known:?}");
}

/// A peer that has an older document, or pretends to, must not make a box return to
/// an earlier generation.
#[test]
fn a_lower_generation_from_a_peer_is_not_taken() {
    let fleet = fleet();
    let settings = &fleet.made.boxes[0];
    assert_eq!(fleet.apply(0).unwrap().0, 2);
    let record = |generation: u64| {
        let mut document = fleet.made.document.clone();
        document.engines.clear();
        let record = Record {
            generation: ids::Generation(generation),
            apply: ids::Request(1),
            author: "stranger".into(),
            at_ms: 0,
            document,
        };
        Frame::Record(serde_json::to_vec(&record).unwrap())
    };
    let mut link = smol::block_on(Link::dial(
        &Direct,
        settings.peers.0,
        &hello("safi"),
        &settings.link_keys,
    ))
    .unwrap();
    for frame in [record(1), record(2), Frame::Record(b"{}".to_vec())] {
        smol::block_on(link.sender.send(&frame)).unwrap();
    }
    // The answer to a later frame shows that the earlier ones were processed.
    let beat = Beat {
        generation: ids::Generation(0),
        table: 0,
        rumors: Vec::new(),
    };
    smol::block_on(link.sender.send(&Frame::Beat(beat))).unwrap();
    let echoed = smol::block_on(async {
        loop {
            if let Frame::Echo(echo) = link.receiver.recv().await.unwrap() {
                return echo.generation;
            }
        }
    });
    assert_eq!(echoed, ids::Generation(2));
    let status = fleet.routers[0].status().unwrap();
    assert_eq!(status.author.as_deref(), Some("router-0"));
    smol::block_on(link.sender.send(&record(3))).unwrap();
    fleet.wait("a higher generation is taken", || {
        fleet.generations() == [3]
    });
}

#[test]
fn a_place_costs_less_than_a_hundred_bytes() {
    let ask = Frame::Ask(Ask {
        number: 123_456,
        model: "linen".parse().unwrap(),
        account: "pwani-hotels".parse().unwrap(),
        prefix: ids::Prefix(u64::MAX),
        chat: ids::Chat(u32::MAX),
        returning: true,
        prefer: None,
        avoid: Vec::new(),
        patience_ms: 119_999,
    });
    let grant = Frame::Grant(
        123_456,
        "linen-07".parse().unwrap(),
        ids::Slot(u32::MAX),
        Pressure::new(20.0),
    );
    let release = Frame::Release(ids::Slot(u32::MAX), Ended::Served);
    let size = |frame: &Frame| {
        let mut bytes = Vec::new();
        ciborium::into_writer(frame, &mut bytes).unwrap();
        bytes.len()
    };
    let sizes = [size(&ask), size(&grant), size(&release)];
    assert!(sizes.iter().sum::<usize>() < 100, "{sizes:?}");
    let beat = Frame::Beat(Beat {
        generation: ids::Generation(1000),
        table: u32::MAX,
        rumors: Vec::new(),
    });
    assert!(size(&beat) < 24, "{}", size(&beat));
}

proptest! {
    #![proptest_config(config(32))]

    #[test]
    fn no_bytes_crash_the_peer_listener(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        static FLEET: std::sync::OnceLock<Fleet> = std::sync::OnceLock::new();
        let fleet = FLEET.get_or_init(fleet);
        let mut socket = TcpStream::connect(fleet.made.boxes[0].peers.0).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let _ = socket.write_all(&bytes);
        let _ = socket.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer);
        prop_assert!(fleet.routers[0].status().is_some());
    }

    #[test]
    fn no_bytes_crash_the_decoding_of_frames(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _: Result<Frame, _> = ciborium::from_reader(bytes.as_slice());
    }
}
