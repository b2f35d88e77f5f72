//! Readers of a hall that answer wrongly or not at all, and strangers on the port
//! of boxes: no box believes them, and none is held up.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{bail, ensure, eyre};
use futures_lite::FutureExt;
use smol::{Task, Timer};
use tidepier_core::catalog::Kind;
use tidepier_core::era::Revision;
use tidepier_core::server::{Server, State};
use tidepier_h1::{Conn, Listener};
use tidepier_relay::emptied_halls::List;
use tidepier_relay::message::follow::{Answer, Change, Position, Request, Row, Servers};
use tidepier_relay::message::link;
use tidepier_relay::message::{PeerRequest, VERSION};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server as stand_in;
use tidepier_relay_standin::site::{Route, Site};

use crate::box_harness::{
    address, readers, register, served, settled, site_with_keys, start_boxes, started, TestBox,
    PROOF_TIME,
};
use crate::harness::{self, ms, run, server_settings, wait_until, Executor, Result, SERVICE};

/// Time without data after which a connection of a test ends; never.
const UNACKED: Duration = Duration::from_secs(30);

/// What a false reader sends as its answer.
enum Say {
    /// An answer, and the configuration's entry that follows it.
    Answer(Box<Answer>, Option<Vec<u8>>),
    Bytes(Vec<u8>),
    /// Two pieces, and the time between them.
    Slowly(Vec<u8>, Duration, Vec<u8>),
    Nothing,
}

/// A false reader of `hall-1`; it ends when dropped.
fn impostor(
    executor: &Executor,
    site: &Site,
    answer: impl Fn(&Request) -> Say + 'static,
) -> Result<Task<()>> {
    let peer = address();
    let listener = Listener::bind(peer)?;
    register(site, "box-8", "hall-1", peer)?;
    let answer = Rc::new(answer);
    let tasks = executor.clone();
    Ok(executor.spawn(async move {
        while let Ok(conn) = listener.accept(UNACKED).await {
            let answer = answer.clone();
            let talk = async move {
                if let Err(error) = lie(conn, &*answer).await {
                    log::debug!("an asker left: {error}");
                }
            };
            tasks.spawn(talk).detach();
        }
    }))
}

async fn lie(mut conn: Conn, answer: &impl Fn(&Request) -> Say) -> Result {
    loop {
        let question: PeerRequest = link::receive(&mut conn).await?;
        let PeerRequest::Follow(ask) = question else {
            continue;
        };
        match answer(&ask) {
            Say::Answer(mut told, document) => {
                told.document_bytes = document.as_ref().map(|bytes| bytes.len() as u32);
                link::send(&conn, &*told).await?;
                link::send_bytes(&conn, &document.unwrap_or_default()).await?;
            }
            Say::Bytes(bytes) => conn.writer().write_all(&bytes).await?,
            Say::Slowly(first, time, rest) => {
                conn.writer().write_all(&first).await?;
                Timer::after(time).await;
                conn.writer().write_all(&rest).await?;
            }
            Say::Nothing => {}
        }
    }
}

/// An answer that vouches for a configuration of this revision and no servers'
/// changes.
fn told(ask: &Request, revision: u64) -> Answer {
    Answer {
        version: VERSION,
        number: ask.number,
        age_ms: Some(0),
        known_ms: Some(0),
        revision,
        standing: None,
        document_bytes: None,
        emptied: Some(List::default()),
        rollouts: None,
        servers: Servers::Changes(Vec::new()),
        position: Position {
            life: 7,
            changes: 0,
        },
        held_ms: 0,
        boxes: None,
    }
}

/// Boxes beside a false reader serve all the same.
async fn serve_beside(executor: Executor, answer: impl Fn(&Request) -> Say + 'static) -> Result {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let _impostor = impostor(&executor, &site, answer)?;
    let machines = start_boxes(&executor, &site, 2).await?;
    served(&machines, &[&server], ms(1_500)).await?;
    let found = readers(&machines, PROOF_TIME).await;
    ensure!(found.contains(&0), "read by {found:?}");
    Ok(())
}

#[test]
fn a_reader_of_another_version_is_not_believed() -> Result {
    run(async |executor| {
        let other = |ask: &Request| {
            let version = VERSION + 1;
            let told = told(ask, 1_000);
            Say::Answer(Box::new(Answer { version, ..told }), Some(b"{}".to_vec()))
        };
        serve_beside(executor, other).await
    })
}

#[test]
fn a_reader_that_sends_garbage_is_not_believed() -> Result {
    run(async |executor| {
        let garbage = |ask: &Request| match ask.number % 3 {
            0 => Say::Bytes(vec![0xff; 64]),
            1 => Say::Bytes(vec![0, 0, 0, 4, 1, 2, 3, 4]),
            _ => Say::Bytes(vec![0, 0, 0, 9, 0xa1]),
        };
        serve_beside(executor, garbage).await
    })
}

#[test]
fn a_silent_reader_is_not_waited_for() -> Result {
    run(async |executor| serve_beside(executor, |_| Say::Nothing).await)
}

#[test]
fn a_reader_that_cannot_vouch_is_not_believed() -> Result {
    run(async |executor| {
        let unsure = |ask: &Request| {
            let age_ms = None;
            let told = told(ask, 1_000);
            Say::Answer(Box::new(Answer { age_ms, ..told }), None)
        };
        serve_beside(executor, unsure).await
    })
}

#[test]
fn an_older_configuration_is_not_taken_over() -> Result {
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
        let row = Row::new(&announced(&server)?, Revision::of(site.store.revision()));
        let older = entry()?;
        let version = site.declare(&[Route::new("/new/", Kind::Repeatable, SERVICE)]);
        let newer = entry()?;
        // It vouches for the newest entry at first, later for the one before.
        let stale = Rc::new(Cell::new(false));
        let said = stale.clone();
        let old = move |ask: &Request| {
            let (revision, text) = if said.get() { &older } else { &newer };
            let servers = Servers::All(vec![row.clone()], Revision::of(*revision));
            let told = told(ask, *revision);
            Say::Answer(Box::new(Answer { servers, ..told }), Some(text.clone()))
        };
        let _impostor = impostor(&executor, &site, old)?;
        let machines = start_boxes(&executor, &site, 2).await?;
        settled(&machines, &[]).await?;
        stale.set(true);
        let start = Instant::now();
        while start.elapsed() < ms(3_000) {
            for machine in &machines {
                let now = machine.router.relay().view.version().0;
                ensure!(now == version, "{now} after {version}");
            }
            served(&machines, &[&server], ms(1)).await?;
        }
        Ok(())
    })
}

/// A server as its entry says.
fn announced(server: &stand_in::Server) -> Result<Server> {
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
fn garbage_on_the_port_of_boxes_does_no_harm() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let machines = started(&executor, &site, 2).await?;
        let peer = machines[0].peer;
        let open = || Conn::open(peer, ms(500), UNACKED);
        let before = machines[1].store.asked();
        let huge = u32::MAX.to_be_bytes().to_vec();
        for bytes in [
            huge,
            vec![0; 4],
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            vec![0, 0, 0, 3, 9, 9, 9],
        ] {
            let mut conn = open().await?;
            conn.writer().write_all(&bytes).await?;
            closed(&mut conn).await?;
        }
        let ask = Request {
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
                ..ask.clone()
            }),
        )
        .await?;
        closed(&mut other).await?;
        // Half a message, and many who say nothing.
        let half = open().await?;
        half.writer().write_all(&[0, 0, 1]).await?;
        let mut silent = Vec::new();
        for _ in 0..50 {
            silent.push(open().await?);
        }
        let mut right = open().await?;
        link::send(&right, &PeerRequest::Follow(ask)).await?;
        let told: Answer = link::receive(&mut right).await?;
        ensure!((told.version, told.number) == (VERSION, 5), "{told:?}");
        let Some(count) = told.document_bytes else {
            bail!("no document: {told:?}");
        };
        ensure!(told.age_ms.is_some() && count > 0, "{told:?}");
        let document = link::receive_bytes(&mut right, count as usize).await?;
        ensure!(document.len() == count as usize, "a cut document");
        served(&machines, &[&server], ms(800)).await?;
        ensure!(machines[1].store.asked() == before, "the reader was left");
        Ok(())
    })
}

/// Waits until the other side closes without a word.
pub(crate) async fn closed(conn: &mut Conn) -> Result {
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

/// A message as it is on the wire.
fn frame(answer: &Answer) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    ciborium::into_writer(answer, &mut body)?;
    let mut bytes = u32::try_from(body.len())?.to_be_bytes().to_vec();
    bytes.append(&mut body);
    Ok(bytes)
}

/// A large configuration takes long on the way to a whole hall; who leaves
/// meanwhile is known before it is there.
#[test]
fn a_server_that_goes_is_known_before_a_slow_configuration() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let row = Row::new(&announced(&server)?, Revision::of(site.store.revision()));
        let id = row.id().clone();
        let text = site.store.value(names::CONFIG);
        let text = text.ok_or_else(|| eyre!("no configuration"))?;
        let revision = site.store.revision();
        let going = Rc::new(Cell::new(false));
        let said = going.clone();
        let slow = move |ask: &Request| {
            if ask.document < revision || !said.get() {
                let servers = Servers::All(vec![row.clone()], Revision::of(revision));
                let told = told(ask, revision);
                let document = (ask.document < revision).then(|| text.clone());
                return Say::Answer(Box::new(Answer { servers, ..told }), document);
            }
            let answer = Answer {
                servers: Servers::Changes(vec![Change::Removed(
                    id.clone(),
                    Revision::of(revision + 1),
                )]),
                document_bytes: Some(400_000),
                ..told(ask, revision + 1)
            };
            Say::Bytes(frame(&answer).unwrap_or_default())
        };
        let _impostor = impostor(&executor, &site, slow)?;
        let machine = TestBox::start(&executor, &site, "box-0", "hall-1", 5_000).await?;
        settled(std::slice::from_ref(&machine), &[]).await?;
        ensure!(harness::knows(&machine.router, &server), "not known");
        going.set(true);
        let start = Instant::now();
        wait_until("gone", async || {
            Ok(!harness::knows(&machine.router, &server))
        })
        .await?;
        ensure!(start.elapsed() < ms(1_000), "{:?}", start.elapsed());
        Ok(())
    })
}

#[test]
fn an_answer_that_has_begun_is_waited_for() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let last = Rc::new(Cell::new(0));
        let seen = last.clone();
        // As the list of very many servers does over a weak link.
        let slow = move |ask: &Request| {
            seen.set(seen.get().max(ask.number));
            let mut bytes = frame(&told(ask, 1)).unwrap_or_default();
            let rest = bytes.split_off(bytes.len() / 2);
            Say::Slowly(bytes, ms(900), rest)
        };
        let _impostor = impostor(&executor, &site, slow)?;
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
