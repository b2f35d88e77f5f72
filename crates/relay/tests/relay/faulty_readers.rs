//! Boxes next to a faulty reader, which answers wrongly or not at all, and malformed data
//! on the port for other boxes: no box applies invalid data, and none is delayed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{bail, ensure, eyre};
use futures_lite::FutureExt;
use smol::{Task, Timer};
use tidepier_core::catalog::Kind;
use tidepier_core::era::{Era, Revision};
use tidepier_core::server::{Server, State};
use tidepier_h1::{Conn, Listener};
use tidepier_relay::emptied_halls::List;
use tidepier_relay::message::follow::{Answer, Change, Position, Request, Row, Servers, Status};
use tidepier_relay::message::link;
use tidepier_relay::message::part::Part;
use tidepier_relay::message::{PeerRequest, VERSION};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server as stand_in;
use tidepier_relay_standin::site::{Route, Site};

use crate::box_harness::{
    address, boxes_reading_store, ensure_served, register, site_with_keys, start_boxes,
    start_boxes_with_reader, wait_for_readers, wait_until_ready, TestBox, FRESHNESS_CHECK_TIME,
};
use crate::harness::{self, ms, run, server_settings, wait_until, Executor, Result, SERVICE};

/// Time-out for unacknowledged data; longer than any test.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(30);

/// What a faulty reader sends as its answer.
enum Behavior {
    /// An answer, and the configuration document that follows it.
    Answer(Box<Answer>, Option<Vec<u8>>),
    Bytes(Vec<u8>),
    /// Two pieces of an answer, and the delay between them.
    Delayed(Vec<u8>, Duration, Vec<u8>),
    Silence,
}

/// A faulty reader in `hall-1`; it stops when dropped.
fn start_faulty_reader(
    executor: &Executor,
    site: &Site,
    answer: impl Fn(&Request) -> Behavior + 'static,
) -> Result<Task<()>> {
    let peer = address();
    let listener = Listener::bind(peer)?;
    register(site, "box-8", "hall-1", peer)?;
    let answer = Rc::new(answer);
    let tasks = executor.clone();
    Ok(executor.spawn(async move {
        while let Ok(conn) = listener.accept(UNACKED_TIMEOUT).await {
            let answer = answer.clone();
            let serving = async move {
                if let Err(error) = serve_faulty(conn, &*answer).await {
                    log::debug!("an asker left: {error}");
                }
            };
            tasks.spawn(serving).detach();
        }
    }))
}

async fn serve_faulty(mut conn: Conn, answer: &impl Fn(&Request) -> Behavior) -> Result {
    loop {
        let question: PeerRequest = link::receive(&mut conn).await?;
        let PeerRequest::Follow(request) = question else {
            continue;
        };
        match answer(&request) {
            Behavior::Answer(mut message, document) => {
                message.document_bytes = document.as_ref().map(|bytes| bytes.len() as u32);
                link::send(&conn, &*message).await?;
                link::send_bytes(&conn, &document.unwrap_or_default()).await?;
            }
            Behavior::Bytes(bytes) => conn.writer().write_all(&bytes).await?,
            Behavior::Delayed(first, time, rest) => {
                conn.writer().write_all(&first).await?;
                Timer::after(time).await;
                conn.writer().write_all(&rest).await?;
            }
            Behavior::Silence => {}
        }
    }
}

/// An answer that confirms a configuration of this revision as current and has no changes
/// of servers.
fn confirming_answer(request: &Request, revision: u64) -> Answer {
    Answer {
        version: VERSION,
        number: request.number,
        age_ms: Some(0),
        known_ms: Some(0),
        revision,
        status: None,
        document_bytes: None,
        emptied: Some(List::default()),
        rollouts: None,
        servers: Servers::Changes(Vec::new()),
        position: Position {
            incarnation: 7,
            changes: 0,
        },
        held_ms: 0,
        boxes: None,
    }
}

/// Checks that boxes next to a faulty reader serve requests all the same.
async fn check_served_beside(
    executor: Executor,
    answer: impl Fn(&Request) -> Behavior + 'static,
) -> Result {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let _reader = start_faulty_reader(&executor, &site, answer)?;
    let boxes = start_boxes(&executor, &site, 2).await?;
    ensure_served(&boxes, &[&server], ms(1_500)).await?;
    let found = boxes_reading_store(&boxes, FRESHNESS_CHECK_TIME).await;
    ensure!(found.contains(&0), "read by {found:?}");
    Ok(())
}

#[test]
fn answers_of_another_protocol_version_are_ignored() -> Result {
    run(async |executor| {
        let other_version = |request: &Request| {
            let version = VERSION + 1;
            let answer = confirming_answer(request, 1_000);
            Behavior::Answer(Box::new(Answer { version, ..answer }), Some(b"{}".to_vec()))
        };
        check_served_beside(executor, other_version).await
    })
}

#[test]
fn malformed_answers_are_ignored() -> Result {
    run(async |executor| {
        let garbage = |request: &Request| match request.number % 3 {
            0 => Behavior::Bytes(vec![0xff; 64]),
            1 => Behavior::Bytes(vec![0, 0, 0, 4, 1, 2, 3, 4]),
            _ => Behavior::Bytes(vec![0, 0, 0, 9, 0xa1]),
        };
        check_served_beside(executor, garbage).await
    })
}

#[test]
fn an_unresponsive_reader_delays_nobody() -> Result {
    run(async |executor| check_served_beside(executor, |_| Behavior::Silence).await)
}

#[test]
fn unconfirmed_answers_are_ignored() -> Result {
    run(async |executor| {
        let unconfirmed = |request: &Request| {
            let age_ms = None;
            let answer = confirming_answer(request, 1_000);
            Behavior::Answer(Box::new(Answer { age_ms, ..answer }), None)
        };
        check_served_beside(executor, unconfirmed).await
    })
}

#[test]
fn an_older_configuration_is_not_applied() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let entry = || -> Result<(u64, Vec<u8>)> {
            let text = site.store.value(names::CONFIG);
            Ok((
                site.store.revision(),
                text.ok_or_else(|| eyre!("no configuration"))?,
            ))
        };
        let row = Row::new(&advertised(&server)?, Revision::of(site.store.revision()));
        let older = entry()?;
        let version = site.declare(&[Route::new("/new/", Kind::Repeatable, SERVICE)]);
        let newer = entry()?;
        // The reader confirms the newest entry at first, and later the one before it.
        let stale = Rc::new(Cell::new(false));
        let is_stale = stale.clone();
        let outdated = move |request: &Request| {
            let (revision, text) = if is_stale.get() { &older } else { &newer };
            let servers = Servers::All(vec![row.clone()], Revision::of(*revision));
            let answer = confirming_answer(request, *revision);
            Behavior::Answer(Box::new(Answer { servers, ..answer }), Some(text.clone()))
        };
        let _reader = start_faulty_reader(&executor, &site, outdated)?;
        let boxes = start_boxes(&executor, &site, 2).await?;
        wait_for_readers(&boxes, &[]).await?;
        stale.set(true);
        let start = Instant::now();
        while start.elapsed() < ms(3_000) {
            for test_box in &boxes {
                let now = test_box.router.relay().view.version().0;
                ensure!(now == version, "{now} after {version}");
            }
            ensure_served(&boxes, &[&server], ms(1)).await?;
        }
        Ok(())
    })
}

/// Guards against a box that leaves its own watch for a reader whose list of servers is
/// older than its own; once the reader has the change, the box follows it.
#[test]
fn a_box_with_its_own_watch_does_not_follow_a_reader_with_an_older_list() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let era = Era(site.store.era());
        let revision_of = move |number| Revision::new(era, number);
        let row = Row::new(&advertised(&server)?, revision_of(site.store.revision()));
        let version = site.declare(&[]);
        let text = site.store.value(names::CONFIG);
        let text = text.ok_or_else(|| eyre!("no configuration"))?;
        let revision = site.store.revision();
        // The revision up to which the reader knows all servers, if it confirms its data.
        let complete = Rc::new(Cell::new(None));
        let known = complete.clone();
        let outdated = move |request: &Request| {
            let known = known.get();
            let part = Part::new(revision_of(known.unwrap_or(1)), [row.clone()]);
            let status = Status {
                era: era.0,
                first: 1,
                settled: true,
                in_force: version,
                stored: version,
                state: revision,
                followed_ms: known.map(|_| 0),
                in_grace_period: false,
            };
            let answer = Answer {
                status: Some(status),
                servers: Servers::Part(part),
                ..confirming_answer(request, revision)
            };
            let document = (request.document < revision).then(|| text.clone());
            Behavior::Answer(Box::new(answer), document)
        };
        let _reader = start_faulty_reader(&executor, &site, outdated)?;
        let boxes = [TestBox::start(&executor, &site, "box-0", "hall-1", 5_000).await?];
        wait_until_ready(&boxes).await?;
        wait_until("known", async || Ok(boxes[0].knows(&server))).await?;
        // The box writes nothing more, so that the next change is that of the server.
        let recorded = || site.store.value("tidepier/releases/service-1");
        wait_until("recorded", async || Ok(recorded().is_some())).await?;
        let later = site.server(server_settings(2))?;
        let change = site.store.revision();
        wait_until("known", async || Ok(boxes[0].knows(&later))).await?;
        complete.set(Some(change - 1));
        // Longer than a box is skipped that failed.
        for _ in 0..5 {
            let found = boxes_reading_store(&boxes, FRESHNESS_CHECK_TIME).await;
            ensure!(found == [0], "the box left its watch");
        }
        complete.set(Some(change));
        wait_for_readers(&boxes, &[]).await
    })
}

/// The server as its entry advertises it.
fn advertised(server: &stand_in::Server) -> Result<Server> {
    let settings = server.settings();
    Ok(Server {
        id: settings.id.parse()?,
        service: settings.service.parse()?,
        address: server.address(),
        hall: settings.hall.parse()?,
        slots: u32::try_from(settings.slots)?,
        release: None,
        state: State::Ready,
        born: None,
        cold: Duration::ZERO,
    })
}

#[test]
fn malformed_requests_of_boxes_do_no_harm() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let peer = boxes[0].peer;
        let open = || Conn::open(peer, ms(500), UNACKED_TIMEOUT);
        let before = boxes[1].store.request_bytes();
        let huge = u32::MAX.to_be_bytes().to_vec();
        for bytes in [
            huge,
            vec![0; 4],
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            vec![0, 0, 0, 3, 9, 9, 9],
        ] {
            let mut conn = open().await?;
            conn.writer().write_all(&bytes).await?;
            wait_until_closed(&mut conn).await?;
        }
        let request = Request {
            version: VERSION,
            number: 5,
            document: 0,
            position: Position::default(),
            options: None,
        };
        let mut other = open().await?;
        let version = VERSION + 1;
        link::send(
            &other,
            &PeerRequest::Follow(Request {
                version,
                ..request.clone()
            }),
        )
        .await?;
        wait_until_closed(&mut other).await?;
        // Half a message, and many connections that send nothing.
        let half = open().await?;
        half.writer().write_all(&[0, 0, 1]).await?;
        let mut silent = Vec::new();
        for _ in 0..50 {
            silent.push(open().await?);
        }
        let mut right = open().await?;
        link::send(&right, &PeerRequest::Follow(request)).await?;
        let answer: Answer = link::receive(&mut right).await?;
        ensure!(
            (answer.version, answer.number) == (VERSION, 5),
            "{answer:?}"
        );
        let Some(count) = answer.document_bytes else {
            bail!("no document: {answer:?}");
        };
        ensure!(answer.age_ms.is_some() && count > 0, "{answer:?}");
        let document = link::receive_bytes(&mut right, count as usize).await?;
        ensure!(document.len() == count as usize, "a cut document");
        ensure_served(&boxes, &[&server], ms(800)).await?;
        ensure!(
            boxes[1].store.request_bytes() == before,
            "the reader was left"
        );
        Ok(())
    })
}

/// Waits until the other side closes the connection without sending anything.
pub(crate) async fn wait_until_closed(conn: &mut Conn) -> Result {
    let late = async {
        Timer::after(ms(1_000)).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    match conn.fill().or(late).await {
        Ok(0) => Ok(()),
        Ok(count) => Err(eyre!("{count} bytes in answer")),
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => Ok(()),
        Err(error) => Err(error.into()),
    }
}

/// Encodes a message as on the wire.
fn encode_frame(answer: &Answer) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    ciborium::into_writer(answer, &mut body)?;
    let mut bytes = u32::try_from(body.len())?.to_be_bytes().to_vec();
    bytes.append(&mut body);
    Ok(bytes)
}

/// A large configuration takes long to reach a whole hall; that a server is removed has
/// to be known before it has arrived.
#[test]
fn a_removed_server_is_known_before_a_slow_configuration() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let row = Row::new(&advertised(&server)?, Revision::of(site.store.revision()));
        let id = row.id().clone();
        let text = site.store.value(names::CONFIG);
        let text = text.ok_or_else(|| eyre!("no configuration"))?;
        let revision = site.store.revision();
        let removed = Rc::new(Cell::new(false));
        let is_removed = removed.clone();
        let slow = move |request: &Request| {
            if request.document < revision || !is_removed.get() {
                let servers = Servers::All(vec![row.clone()], Revision::of(revision));
                let answer = confirming_answer(request, revision);
                let document = (request.document < revision).then(|| text.clone());
                return Behavior::Answer(Box::new(Answer { servers, ..answer }), document);
            }
            let answer = Answer {
                servers: Servers::Changes(vec![Change::Removed(
                    id.clone(),
                    Revision::of(revision + 1),
                )]),
                document_bytes: Some(400_000),
                ..confirming_answer(request, revision + 1)
            };
            Behavior::Bytes(encode_frame(&answer).unwrap_or_default())
        };
        let _reader = start_faulty_reader(&executor, &site, slow)?;
        let test_box = TestBox::start(&executor, &site, "box-0", "hall-1", 5_000).await?;
        wait_for_readers(std::slice::from_ref(&test_box), &[]).await?;
        ensure!(harness::knows(&test_box.router, &server), "not known");
        removed.set(true);
        let start = Instant::now();
        wait_until("gone", async || {
            Ok(!harness::knows(&test_box.router, &server))
        })
        .await?;
        ensure!(start.elapsed() < ms(1_000), "{:?}", start.elapsed());
        Ok(())
    })
}

#[test]
fn a_slow_answer_is_received_completely() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let last = Rc::new(Cell::new(0));
        let seen = last.clone();
        // The answer takes as long as a list of very many servers over a weak link.
        let slow = move |request: &Request| {
            seen.set(seen.get().max(request.number));
            let mut bytes = encode_frame(&confirming_answer(request, 1)).unwrap_or_default();
            let rest = bytes.split_off(bytes.len() / 2);
            Behavior::Delayed(bytes, ms(900), rest)
        };
        let _reader = start_faulty_reader(&executor, &site, slow)?;
        let _machine = TestBox::start(&executor, &site, "box-0", "hall-1", 5_000).await?;
        for _ in 0..50 {
            Timer::after(ms(100)).await;
            if last.get() > 1 {
                return Ok(());
            }
        }
        bail!("asked {} times on one connection", last.get())
    })
}
