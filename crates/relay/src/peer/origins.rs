//! Tells other boxes which releases began this box's streams, and asks them for those of
//! streams that began elsewhere.
//!
//! An origin is sent before the first event of its stream, without waiting for an answer:
//! if it is lost, the stream does not go on elsewhere, and no harm is done. Connections
//! for this carry nothing else, as boxes of former releases close them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};
use tidepier_clock::Instant;
use tidepier_h1::Conn;
use tidepier_ids as ids;

use super::upstream::CONNECT_TIMEOUT;
use crate::dial::race;
use crate::message::link::{self, Error};
use crate::message::origin::{Answer, Report, Request};
use crate::message::{PeerRequest, VERSION};
use crate::network::Network;
use crate::notifier::Notifier;
use crate::origin::keepers::Keeper;
use crate::origin::{Origin, Record, Stream};
use crate::relay::Relay;

/// Most origins in one message, at 19 bytes each.
pub(super) const RECORDS_MAX: usize = 4_096;
/// Interval at which streams that are told to nobody are checked.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Idle time after which a connection to a keeper is closed: less than the other side allows.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time-out to send a message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a keeper that failed is passed over.
const FAILED_TIME: Duration = Duration::from_secs(2);
/// Time-out of a request.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between requests to two keepers while neither has answered.
const ASK_INTERVAL: Duration = Duration::from_millis(2);

/// The connection to one keeper, and what is to be sent over it.
#[derive(Default)]
struct Link {
    records: RefCell<Vec<Record>>,
    queued: Notifier,
    failed: Cell<Option<Instant>>,
    /// Whether a task serves it.
    is_served: Cell<bool>,
}

impl Link {
    fn has_failed(&self) -> bool {
        let failed = self.failed.get();
        failed.is_some_and(|at| at.elapsed() < FAILED_TIME)
    }
}

/// Sends the origins of this box's streams to their keepers; never returns.
pub async fn run(relay: Rc<Relay>, executor: Rc<LocalExecutor<'static>>) -> Infallible {
    let mut links: HashMap<SocketAddr, Rc<Link>> = HashMap::new();
    loop {
        let records = relay.origins.take_outbox();
        if records.is_empty() {
            relay.origins.queued.wait().await;
            continue;
        }
        let keepers = relay.origins.keepers();
        for record in records {
            let fails = |it: &Keeper| links.get(&it.address).is_some_and(|it| it.has_failed());
            let told = keepers.to_tell(record.stream, fails);
            let told: Vec<SocketAddr> = told.into_iter().map(|it| it.address).collect();
            for address in told {
                let link = links.entry(address).or_default();
                link.records.borrow_mut().push(record);
                link.queued.notify();
                if !link.is_served.replace(true) {
                    executor
                        .spawn(serve(relay.network, address, link.clone()))
                        .detach();
                }
            }
        }
        links.retain(|_, link| link.is_served.get() || link.has_failed());
    }
}

/// Sends what is queued for a keeper, until there has been nothing for a while.
async fn serve(network: Network, address: SocketAddr, link: Rc<Link>) {
    let mut conn: Option<Conn> = None;
    loop {
        let mut records = link.records.take();
        if records.is_empty() {
            if !wait_for_records(&link, &mut conn).await {
                break;
            }
            continue;
        }
        let rest = records.split_off(records.len().min(RECORDS_MAX));
        link.records.borrow_mut().extend(rest);
        let count = records.len() as u64;
        let result = send(network, address, &mut conn, records).await;
        let name = if result.is_ok() { "sent" } else { "failed" };
        metrics::counter!("tidepier_stream_origins_told_total", "result" => name).increment(count);
        if let Err(error) = result {
            log::info!(target: "peer", "event=keeper_lost address={address} why=\"{error}\"");
            link.failed.set(Some(Instant::now()));
            conn = None;
        }
    }
    link.is_served.set(false);
}

/// Waits until something is queued. Returns false after a while without it. A connection
/// that the keeper closes is dropped.
async fn wait_for_records(link: &Link, conn: &mut Option<Conn>) -> bool {
    /// What ends a wait.
    enum Event {
        Queued,
        Closed,
        Idle,
    }
    let queued = async {
        link.queued.wait().await;
        Event::Queued
    };
    let idle = async {
        Timer::after(IDLE_TIMEOUT).await;
        Event::Idle
    };
    let closed = async {
        match conn {
            // No data is expected here: any of it counts as the end of the connection.
            Some(conn) => drop(conn.fill().await),
            None => std::future::pending().await,
        }
        Event::Closed
    };
    match queued.or(closed).or(idle).await {
        Event::Queued => true,
        Event::Closed => {
            *conn = None;
            true
        }
        Event::Idle => false,
    }
}

async fn send(
    network: Network,
    address: SocketAddr,
    conn: &mut Option<Conn>,
    records: Vec<Record>,
) -> Result<(), Error> {
    let conn = match conn {
        Some(conn) => conn,
        None => conn.insert(link::open(network, address, CONNECT_TIMEOUT).await?),
    };
    let report = Report {
        version: VERSION,
        records,
    };
    link::within(
        SEND_TIMEOUT,
        link::send(conn, &PeerRequest::Origins(report)),
    )
    .await
}

/// What other boxes say of the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// One of them keeps the origin of the stream.
    Kept(Origin),
    /// None does, and all streams of the service have this origin.
    Sole(Origin),
    /// None does, and the service has several releases.
    Several,
}

/// What a box says that does not keep the origin.
enum Other {
    Sole(Origin),
    Several,
    Nothing,
}

/// Asks other boxes for the origin of a stream, or of all streams of a service; `None` if
/// none of them knows anything. The box that keeps an origin is believed before any that
/// knows only the service, as it may know of a release that the others do not know.
pub async fn ask(
    relay: &Relay,
    stream: Option<Stream>,
    service: Option<&ids::Service>,
) -> Option<Known> {
    let request = Request {
        version: VERSION,
        stream,
        service: service.cloned(),
    };
    let keepers = relay.origins.keepers();
    let asked = keepers.to_ask(stream).into_iter().map(|keeper| {
        let asking = ask_one(relay.network, keeper.address, request.clone());
        Box::pin(asking) as race::Attempt<'_, Origin, Other>
    });
    match race::first_success(asked.collect(), ASK_INTERVAL).await {
        Ok(origin) => Some(Known::Kept(origin)),
        Err(others) => others
            .into_iter()
            .fold(None, |known, other| match (known, other) {
                (known, Other::Nothing) => known,
                (None, Other::Sole(origin)) => Some(Known::Sole(origin)),
                (Some(Known::Sole(known)), Other::Sole(origin)) if known == origin => {
                    Some(Known::Sole(origin))
                }
                (_, Other::Sole(_) | Other::Several) => Some(Known::Several),
            }),
    }
}

async fn ask_one(network: Network, address: SocketAddr, request: Request) -> Result<Origin, Other> {
    let asked = async {
        let mut conn = link::open(network, address, CONNECT_TIMEOUT).await?;
        link::send(&conn, &PeerRequest::Origin(request)).await?;
        link::receive::<Answer>(&mut conn).await
    };
    match link::within(ASK_TIMEOUT, asked).await {
        Ok(answer) if answer.version != VERSION => Err(Other::Nothing),
        Ok(answer) => answer.origin.ok_or(match answer.sole {
            Some(origin) => Other::Sole(origin),
            None if answer.several => Other::Several,
            None => Other::Nothing,
        }),
        Err(error) => {
            log::debug!(target: "peer", "event=keeper_silent address={address} why=\"{error}\"");
            Err(Other::Nothing)
        }
    }
}

/// The answer to another box's request.
pub(super) fn answer(relay: &Relay, request: &Request) -> Answer {
    let now = Instant::now();
    let service = request.service.as_ref();
    let window = relay.origins.window();
    let releases = &relay.fleet.releases;
    Answer {
        version: VERSION,
        origin: request
            .stream
            .and_then(|stream| relay.origins.table.get(stream, now)),
        sole: service.and_then(|service| relay.sole_origin(service, now)),
        several: service.is_some_and(|service| releases.names(service, window, now).len() > 1),
    }
}

/// Keeps the window and the streams that are told to nobody up to date; never returns.
pub async fn run_updates(relay: Rc<Relay>) -> Infallible {
    loop {
        Timer::after(UPDATE_INTERVAL).await;
        if let Some(catalog) = relay.view.catalog() {
            relay.origins.set_window(&catalog);
        }
        let now = Instant::now();
        let is_sole = |service: &ids::Service| relay.sole_origin(service, now).is_some();
        relay.origins.update(is_sole, now);
        metrics::gauge!("tidepier_stream_origins").set(relay.origins.table.len() as f64);
    }
}
