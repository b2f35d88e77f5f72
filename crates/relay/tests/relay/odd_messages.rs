//! Messages of other boxes, and answers of servers, with values that nobody sends: they are
//! malformed or applied, and end no process.

use std::collections::HashMap;
use std::time::Duration;

use ciborium::Value;
use eyre::{ensure, eyre};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tidepier_admission::stall;
use tidepier_clock::Instant;
use tidepier_core::era::{Era, Revision};
use tidepier_core::rollout::Order;
use tidepier_core::server::State;
use tidepier_relay::emptied_halls;
use tidepier_relay::fleet::lives::Life;
use tidepier_relay::fleet::{speeds, Count, Key};
use tidepier_relay::message::follow::{Answer, Position, Servers, Status};
use tidepier_relay::message::part::Part;
use tidepier_relay::message::traffic::{Report, Request, Requester};
use tidepier_relay::message::{self, link, PeerRequest, VERSION};
use tidepier_relay::peer::session::Session;
use tidepier_relay::rollout::evidence;
use tidepier_relay::server_history::History;
use tidepier_relay_standin::names;

use crate::harness::{ms, run, site, Harness, Result, SERVICE};
use crate::peer_answers::{follower, relay, row_of};
use crate::raw::{self, Raw};

fn odd_values() -> Vec<Value> {
    let mut nested = Value::Null;
    for _ in 0..300 {
        nested = Value::Array(vec![nested]);
    }
    vec![
        Value::from(u64::MAX),
        Value::from(u64::from(u32::MAX)),
        Value::from(i64::MIN),
        Value::from(-1),
        Value::from(0),
        Value::Float(f64::NAN),
        Value::Float(f64::INFINITY),
        Value::Float(f64::NEG_INFINITY),
        Value::Float(1e300),
        Value::Float(-1e300),
        Value::Text("x".repeat(100_000)),
        Value::Bytes(vec![0xff; 8]),
        Value::Bool(true),
        Value::Null,
        Value::Array(Vec::new()),
        Value::Map(Vec::new()),
        nested,
    ]
}

/// The message with each part of it replaced by each odd value.
fn variants(message: &Value) -> Vec<Value> {
    let mut found = odd_values();
    match message {
        Value::Array(items) => {
            for (at, item) in items.iter().enumerate() {
                found.extend(variants(item).into_iter().map(|changed| {
                    let mut items = items.clone();
                    items[at] = changed;
                    Value::Array(items)
                }));
            }
        }
        Value::Map(rows) => {
            for (at, (_, value)) in rows.iter().enumerate() {
                found.extend(variants(value).into_iter().map(|changed| {
                    let mut rows = rows.clone();
                    rows[at].1 = changed;
                    Value::Map(rows)
                }));
            }
        }
        _ => {}
    }
    found
}

fn encoded(message: &Value) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)?;
    Ok(bytes)
}

/// The variants of a message that decode.
fn readable<T: Serialize + DeserializeOwned>(message: &T) -> Result<Vec<T>> {
    let value = Value::serialized(message)?;
    let mut found = Vec::new();
    for changed in variants(&value) {
        let bytes = encoded(&changed)?;
        found.extend(ciborium::from_reader::<T, _>(bytes.as_slice()).ok());
    }
    ensure!(found.len() > 20, "only {} variants", found.len());
    Ok(found)
}

fn answer(servers: Servers) -> Result<Answer> {
    let relay = relay()?;
    let now = Instant::now();
    let order = Order {
        service: SERVICE.parse()?,
        target: "v2".parse()?,
        within: Duration::from_secs(8),
    };
    relay
        .rollouts
        .order(order, Revision::new(Era(2), 4), None, now);
    relay.rollouts.confirm_at(now);
    Ok(Answer {
        version: VERSION,
        number: 1,
        age_ms: Some(100),
        known_ms: Some(100),
        revision: 7,
        status: Some(Status {
            era: 2,
            first: 3,
            settled: true,
            in_force: 0,
            stored: 0,
            state: 8,
            followed_ms: Some(100),
            in_grace_period: false,
        }),
        document_bytes: None,
        emptied: Some(emptied_halls::List {
            rows: vec![emptied_halls::Row {
                hall: "hall-7".parse()?,
                revision: Revision::new(Era(2), 5),
            }],
            seen: Revision::new(Era(2), 8),
        }),
        rollouts: Some(relay.rollouts.list(now)),
        servers,
        position: Position {
            incarnation: 3,
            changes: 1,
        },
        held_ms: 0,
        boxes: None,
    })
}

// Ages, revisions, cold times and counts of another box that exceed what arithmetic holds.
#[test]
fn odd_answers_of_boxes_are_applied_or_refused() -> Result {
    let row = row_of("i-1", 6, State::Ready)?.with_revision(Revision::new(Era(2), 6));
    let gone = [("i-2".parse()?, Revision::new(Era(2), 6))];
    let part = Part::new(Revision::new(Era(2), 8), [row.clone()]).with_removed(gone);
    let lists = [
        Servers::Part(part),
        Servers::All(vec![row], Revision::of(8)),
    ];
    for servers in lists {
        for mut odd in readable(&answer(servers)?)? {
            let (relay, follower) = follower()?;
            let mut listing = None;
            let asked = Instant::now();
            // Refusals are right as well.
            let _ = follower.apply_partial_answer(&mut odd, &mut listing);
            let _ = follower.apply_answer(odd.clone(), None, asked);
            let _ = follower.apply_seed(odd.clone(), None, asked);
            follower.apply_recalled(&odd, None, asked);
            let now = Instant::now();
            follower.advertised_status(now);
            follower.servers_after(Position::default());
            follower.shareable_age(now);
            relay.rollouts.list(now);
            for known in relay.rollouts.all() {
                known.elapsed(now);
            }
        }
    }
    Ok(())
}

fn report() -> Result<Report> {
    let key = Key::new(&"i-1".parse()?);
    let wait = stall::Wait {
        server: key,
        boxes: 3,
        time: ms(900),
        ended: Some(ms(100)),
        limit: ms(300),
    };
    let order = Revision::of(4);
    let trial = evidence::Row {
        subject: evidence::Subject {
            order,
            route: 1,
            target: true,
        },
        count: evidence::Count {
            answers: 3.0,
            failed: 1.0,
            slow: 1.0,
            tried: 1,
            bad: 1,
        },
    };
    let other = Key::new(&"i-2".parse()?);
    let count = |server, requests| Count { server, requests };
    Ok(Report {
        boxes: 2,
        counts: vec![count(key, 3), count(other, u32::MAX)],
        omitted: 1,
        speeds: vec![speeds::Row::from((key, (20, 300).into()))],
        waits: vec![wait],
        lives: Some(vec![Life::from((key, 40))]),
        trials: vec![trial],
        ..Report::default()
    })
}

#[test]
fn odd_reports_of_boxes_are_applied_or_refused() -> Result {
    let request = Request {
        version: VERSION,
        number: 1,
        requester: Requester::Box,
        position: Default::default(),
        report: report()?,
        takes_rises: true,
        takes_stalls: true,
    };
    for odd in readable(&request)? {
        let relay = relay()?;
        for id in ["i-1", "i-2"] {
            let server = row_of(id, 6, State::Ready)?.into();
            relay.fleet.announce(server, Instant::now());
        }
        let mut session = Session::default();
        for _ in 0..2 {
            session.answer(&relay, 1, odd.clone());
        }
        relay.update_hall_demand();
        let now = Instant::now();
        relay.in_flight_in_subtree(now);
        let target = "v2".parse()?;
        let running = relay.in_flight_on_other_releases(&SERVICE.parse()?, &target, now);
        let counts: HashMap<Key, u32> = odd
            .report
            .counts
            .iter()
            .map(|count| (count.server, count.requests))
            .collect();
        let known = relay.fleet.known(&SERVICE.parse()?);
        let known = known.iter().filter_map(|server| counts.get(&server.key));
        let expected = known.fold(0u32, |sum, count| sum.saturating_add(*count));
        ensure!(running == expected, "{running}, not {expected}: {counts:?}");
        relay.rollouts.evidence.all(now);
    }
    Ok(())
}

// Nests and lengths that a decoder follows by recursion or reserves at once.
#[test]
fn frames_that_claim_more_than_they_hold_are_malformed() -> Result {
    let deep = |open: &[u8], depth: usize| {
        let mut bytes = open.repeat(depth);
        bytes.push(0);
        bytes
    };
    let mut frames = Vec::new();
    for depth in [100, 300, 100_000] {
        for open in [
            &b"\x81"[..],
            b"\xa1\x00",
            b"\xc1",
            b"\x9f",
            b"\xbf\x00",
            b"\x5f",
        ] {
            frames.push(deep(open, depth));
        }
    }
    for kind in [0x5b, 0x7b, 0x9b, 0xbb] {
        for length in [u64::MAX, u64::from(u32::MAX), 1 << 40] {
            let head = [&[kind][..], &length.to_be_bytes()].concat();
            frames.push(head.clone());
            // As the list of samples of a request.
            frames.push([&b"\xa1\x67Samples"[..], &head].concat());
            frames.push([&b"\xa1\x66Follow\xa1\x67version"[..], &head].concat());
        }
    }
    run(async |_| {
        let listener = tidepier_h1::Listener::bind(([127, 0, 0, 1], 0).into())?;
        let address = listener.address()?;
        for frame in frames {
            let near = tidepier_h1::Conn::open(address, ms(1_000), ms(1_000)).await?;
            let mut far = listener.accept(ms(1_000)).await?;
            let length = u32::try_from(frame.len())?.to_be_bytes();
            near.writer().write_all(&length).await?;
            near.writer().write_all(&frame).await?;
            let received = link::receive::<PeerRequest>(&mut far).await;
            let Err(link::Error::Malformed(_)) = received else {
                return Err(eyre!(
                    "{received:?} of {:x?}",
                    &frame[..frame.len().min(20)]
                ));
            };
        }
        Ok(())
    })
}

#[test]
fn odd_requests_of_boxes_decode_or_are_malformed() -> Result {
    use message::{origin, recall, tunnel};
    let samples = PeerRequest::Samples(Vec::new());
    let tunnel = PeerRequest::Tunnel(tunnel::Request {
        version: VERSION,
        sender: "box-1".parse()?,
        hall: "hall-1".parse()?,
        server: "i-1".parse()?,
    });
    let origin = PeerRequest::Origin(origin::Request {
        version: VERSION,
        stream: None,
        service: Some(SERVICE.parse()?),
    });
    let recall = PeerRequest::Recall(recall::Request { version: VERSION });
    for message in [samples, tunnel, origin, recall] {
        let value = Value::serialized(&message)?;
        for changed in variants(&value) {
            let bytes = encoded(&changed)?;
            let _ = ciborium::from_reader::<PeerRequest, _>(bytes.as_slice());
        }
    }
    Ok(())
}

// Figures in the head of a server's answer that exceed what arithmetic holds.
#[test]
fn odd_heads_of_servers_are_forwarded_by_a_box_that_lives() -> Result {
    let figures = [
        "0",
        "-1",
        "4294967295",
        "18446744073709551616",
        "1e21",
        "1e400",
        "NaN",
        "inf",
    ];
    let fields = figures.iter().flat_map(|odd| {
        [
            format!("{}: {odd},{odd},{odd}", names::LOAD),
            format!("{}: 4294967295,1,{odd},{odd}", names::LOAD),
            format!("Keep-Alive: timeout={odd}"),
            format!("{}: {odd}", names::RETRY_AFTER),
            format!("{}: {odd}", names::INSTANCE),
        ]
    });
    let fields: Vec<String> = fields.collect();
    let count = fields.len();
    run(async |executor| {
        let site = site()?;
        let _raw = Raw::start(&executor, &site, "i-raw", move |request| {
            let at: usize = request.attempt.parse().ok()?;
            let usual = raw::answer(&request.attempt, true);
            let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", fields[at]);
            Some(usual.replacen("HTTP/1.1 200 OK\r\n", &head, 1))
        })?;
        let harness = Harness::start_ready(executor, site).await?;
        for number in 0..count {
            let answer = harness.post("/r/x", &number.to_string()).await?;
            ensure!(answer.status == 200, "{number}: {answer:?}");
        }
        Ok(())
    })
}

// The number after the last one of a revision, where the oldest removal is forgotten.
#[test]
fn removals_at_the_last_revision_are_remembered_or_forgotten() -> Result {
    let history = History::default();
    history.confirm(Revision::of(1));
    for number in 0..600 {
        history.remove(&format!("i-{number}").parse()?, Revision::of(u64::MAX));
    }
    Ok(())
}
