//! Carries connections to servers for other boxes.
//!
//! Invariants:
//!
//! * Only boxes that are registered in the store, at the address that they connect from,
//!   are served.
//! * A tunnel leads to a server that this box knows and would send requests to itself, over
//!   a connection that this box opens directly.
//! * A tunnel holds as many bytes as one read returns, in each direction.

use std::cell::Cell;
use std::future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::{FutureExt, StreamExt};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_h1::{record, Conn};

use super::registry::Registry;
use crate::dial::CONNECT_TIMEOUT;
use crate::fleet::reach::Opening;
use crate::fleet::Backend;
use crate::message::link::{self, Error};
use crate::message::tunnel::{Answer, Outcome, Request};
use crate::message::VERSION;
use crate::relay::Relay;
use crate::stop::{self, Phase};
use crate::timeout;

/// Time in which the answer to a request has to be sent.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// How much longer than a slow client the other box may leave data untaken.
const UNACKED_MARGIN: Duration = Duration::from_secs(1);
/// Bytes that the operating system keeps for each side of a tunnel that does not read.
const UNSENT_BYTES_MAX: u32 = 64 << 10;
/// Time without bytes after the server last sent some from which a tunnel counts as unused:
/// the pause between two events of a stream is shorter.
const UNUSED_TIME: Duration = Duration::from_secs(2);
/// Time without bytes after which an unused tunnel is closed: boxes keep idle connections
/// for less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a tunnel checks whether it is unused, or should be closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the other box may take the end of a tunnel.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Answers a request and, if it is granted, carries the connection until it ends.
///
/// # Errors
///
/// The connection to the other box failed.
pub(super) async fn serve(
    mut conn: Conn,
    relay: &Relay,
    registry: &Registry,
    request: &Request,
) -> Result<(), Error> {
    let granted = grant(&conn, relay, registry, request).await;
    let outcome = granted
        .as_ref()
        .map_or_else(|denied| *denied, |_| Outcome::Opened);
    metrics::counter!("tidepier_tunnels_requested_total", "outcome" => outcome.name()).increment(1);
    if outcome != Outcome::Opened {
        log::info!(
            target: "peer",
            "event=tunnel_denied box={} server={} why={outcome}",
            request.sender,
            request.server,
        );
    }
    let answer = Answer {
        version: VERSION,
        outcome,
        carried: relay.carried.open(),
    };
    link::within(SEND_TIMEOUT, link::send(&conn, &answer)).await?;
    let Ok(granted) = granted else {
        return Ok(());
    };
    let limit = relay.bounds().client_timeout + UNACKED_MARGIN;
    conn.limit_unacked(limit).map_err(Error::Io)?;
    conn.limit_unsent(UNSENT_BYTES_MAX).map_err(Error::Io)?;
    granted
        .server
        .limit_unsent(UNSENT_BYTES_MAX)
        .map_err(Error::Io)?;
    let tunnel = Tunnel {
        relay,
        backend: granted.backend,
        used: Cell::new(Instant::now()),
        awaits_answer: Cell::new(false),
        busy: Cell::new(None),
    };
    let end = tunnel.carry(&mut conn, granted.server).await;
    tunnel.finish(conn, end).await.map_err(Error::Io)
}

/// A granted request.
struct Granted<'a> {
    backend: Rc<Backend>,
    /// The connection to the server.
    server: Conn,
    _guard: crate::tunnel::carried::Guard<'a>,
}

/// Checks a request and opens the connection to the server.
async fn grant<'a>(
    conn: &Conn,
    relay: &'a Relay,
    registry: &Registry,
    request: &Request,
) -> Result<Granted<'a>, Outcome> {
    let address = conn.peer().map_err(|_| Outcome::Stranger)?;
    let Request { sender, hall, .. } = request;
    if !registry.verify(sender, hall, address.ip()).await {
        return Err(Outcome::Stranger);
    }
    if relay.stop.phase() != Phase::Serving {
        return Err(Outcome::Full);
    }
    let (clients, clients_max) = (relay.stop.connections(), relay.clients_max());
    let guard = relay.carried.admit(clients, clients_max);
    let guard = guard.ok_or(Outcome::Full)?;
    let backend = relay.fleet.get(&request.server);
    let backend = backend.ok_or(Outcome::Ineligible)?;
    let permit = relay.fleet.permit(&backend, Instant::now());
    let permit = permit.map_err(|_| Outcome::Ineligible)?;
    if backend.is_detoured() {
        return Err(Outcome::Unreached);
    }
    let opened = relay.dialer.open(&backend, CONNECT_TIMEOUT).await;
    let is_alone = !backend.reach.is_unreached();
    let server = opened.map_err(|error| match Opening::of::<()>(&Err(error)) {
        Opening::TimedOut if is_alone => Outcome::TimedOut,
        Opening::TimedOut => Outcome::Unreached,
        Opening::Refused | Opening::Opened if is_alone => Outcome::Refused,
        Opening::Refused | Opening::Opened => Outcome::AllRefused,
    })?;
    let permitted = permit.recheck(Instant::now());
    permitted.map_err(|_| Outcome::Ineligible)?;
    Ok(Granted {
        backend,
        server,
        _guard: guard,
    })
}

/// How a tunnel ended.
enum End {
    /// The other box closed its side, or is gone.
    Left,
    /// The server closed the connection in an orderly way.
    Closed,
    /// The server's connection failed, or is carried no longer.
    Broken,
}

/// A connection that is being carried.
struct Tunnel<'a> {
    relay: &'a Relay,
    backend: Rc<Backend>,
    /// When bytes were last carried.
    used: Cell<Instant>,
    /// Whether the server has sent nothing since the other box last did.
    awaits_answer: Cell<bool>,
    /// Counts a request as in flight for the graceful shutdown.
    busy: Cell<Option<stop::Guard<'a>>>,
}

impl<'a> Tunnel<'a> {
    /// Carries bytes in both directions until one side ends.
    async fn carry(&self, near: &mut Conn, mut far: Conn) -> End {
        let (to_box, to_server) = (near.writer(), far.writer());
        let upstream = async {
            loop {
                match near.fill().await {
                    Ok(1..) => {}
                    Ok(0) | Err(_) => return End::Left,
                }
                self.record_request();
                let bytes = near.take(near.pending().len());
                if to_server.write_all(&bytes).await.is_err() {
                    // What the server still sends, or the reason of the failure, is found
                    // by the other direction.
                    future::pending::<()>().await;
                }
                count_bytes("to_server", bytes.len());
            }
        };
        let downstream = async {
            let mut checks = Timer::interval(CHECK_INTERVAL);
            let mut has_said_closing = false;
            loop {
                let read = async { Some(far.fill().await) };
                let due = async {
                    checks.next().await;
                    None
                };
                let record = match read.or(due).await {
                    Some(Ok(0)) => return End::Closed,
                    Some(Err(_)) => return End::Broken,
                    Some(Ok(_)) => {
                        let bytes = far.take(far.pending().len());
                        self.record_answer();
                        count_bytes("to_box", bytes.len());
                        record::data(&bytes)
                    }
                    // The server has not ended it, and may be in the middle of an answer.
                    None if self.is_idle() => return End::Broken,
                    None if !has_said_closing && self.should_close() => {
                        has_said_closing = true;
                        record::closing()
                    }
                    None => continue,
                };
                if to_box.write_all(&record).await.is_err() {
                    return End::Left;
                }
            }
        };
        upstream.or(downstream).await
    }

    /// Records that the other box has sent bytes of a request.
    fn record_request(&self) {
        self.used.set(Instant::now());
        self.awaits_answer.set(true);
        let busy = self.busy.take();
        self.busy
            .set(busy.or_else(|| Some(self.relay.stop.request())));
    }

    /// Records that the server has sent bytes of an answer.
    fn record_answer(&self) {
        self.used.set(Instant::now());
        self.awaits_answer.set(false);
    }

    /// Whether nothing has been carried for long. Until then, the request counts as
    /// finished once nothing has been carried for a while.
    fn is_idle(&self) -> bool {
        if self.awaits_answer.get() {
            return false;
        }
        let unused = self.used.get().elapsed();
        if unused >= UNUSED_TIME {
            self.busy.set(None);
        }
        unused >= IDLE_TIMEOUT
    }

    /// Whether the other box should use this tunnel for no further request.
    fn should_close(&self) -> bool {
        self.relay.stop.phase() != Phase::Serving || self.backend.is_detoured()
    }

    /// Ends the tunnel in a way that shows the other box how the server's connection ended.
    async fn finish(&self, mut conn: Conn, end: End) -> io::Result<()> {
        self.busy.set(None);
        match end {
            End::Left => Ok(()),
            End::Broken => conn.writer().reset_on_close(),
            End::Closed => {
                let writer = conn.writer();
                writer.write_all(&record::end()).await?;
                writer.finish();
                let drain = async { while let Ok(1..) = conn.scrap().await {} };
                timeout::within(LINGER_TIME, drain).await;
                Ok(())
            }
        }
    }
}

fn count_bytes(direction: &'static str, bytes: usize) {
    metrics::counter!("tidepier_tunnel_bytes_total", "direction" => direction)
        .increment(bytes as u64);
}
