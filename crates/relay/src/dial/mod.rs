//! Opens connections to servers: directly, or through another box.
//!
//! A direct connection has a head start. If it fails, or takes longer, another box is asked
//! to carry one ([`tunnel`](crate::tunnel)), and the one that is open first is used. Where
//! that shows that only this box cannot reach the servers ([`Reach`](crate::fleet::reach)),
//! the other box is asked at once, and direct connections are tried in the background
//! ([`probe`]) until one succeeds.
//!
//! Invariant: nothing is sent before a connection is chosen, so that of several only one
//! carries the request.

mod probe;
pub(crate) mod race;

use std::cell::{OnceCell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use tidepier_clock::Instant;
use tidepier_h1::Conn;
use tidepier_ids as ids;

use crate::fleet::reach::{Group, Opening};
use crate::fleet::used::Used;
use crate::fleet::Backend;
use crate::message::tunnel::{Lack, Request};
use crate::message::VERSION;
use crate::network::Network;
use crate::timeout;
use crate::tunnel::gateways::{Gateway, Gateways, MayPass};
use crate::tunnel::open::{self, Failure};

pub(crate) use probe::run as probe_unreached;

/// Time-out for opening a connection to a server: more than ten round trips between halls,
/// and far less than the time after which a lost SYN is retransmitted. Nothing was sent by
/// then, so another server can be tried at once.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// A connection is closed when the server leaves data unacknowledged for this long.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);
/// Head start of a direct connection, besides two round trips.
const HEAD_START: Duration = Duration::from_millis(30);
/// Longest head start.
const HEAD_START_MAX: Duration = Duration::from_millis(75);
/// Head start of a box that was asked for a tunnel before the next one is asked: its round
/// trip, and that of its connection to the server.
const GATEWAY_HEAD_START: Duration = Duration::from_millis(30);

/// Longest time for finding a box that carries a connection.
const DETOUR_TIMEOUT: Duration = Duration::from_millis(300);

/// The names by which other boxes know this one.
#[derive(Debug, Clone)]
struct Identity {
    name: ids::Box,
    hall: ids::Hall,
}

/// Why no other box carries a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoDetour {
    /// Others do not reach the server either, or there are none.
    ServerDown,
    /// The boxes that were asked reach none of the servers of this service and hall.
    AllUnreached,
}

/// Opens the connections of one box to servers.
#[derive(Default)]
pub struct Dialer {
    network: Network,
    /// Set if the box may ask others to carry connections.
    identity: OnceCell<Identity>,
    /// The boxes that may be asked.
    pub gateways: Gateways,
    /// Servers to which a direct connection was slow, to be probed.
    suspects: RefCell<Vec<Rc<Backend>>>,
}

impl Dialer {
    /// A dialer over the network of this box.
    pub fn new(network: Network) -> Self {
        Self {
            network,
            ..Self::default()
        }
    }

    /// Lets the box ask others to carry connections, under its name and hall.
    pub fn identify(&self, name: ids::Box, hall: ids::Hall) {
        // Set once, at the start of the process.
        let _ = self.identity.set(Identity { name, hall });
    }

    /// Connects to a server within `left`; through other boxes only in halls that `may_pass`
    /// accepts.
    ///
    /// # Errors
    ///
    /// The server refused the connection, or did not answer in time, and no other box can
    /// carry one. The error is that of the direct connection, unless none was tried as it is
    /// known to fail ([`is_untried`]).
    pub(crate) async fn connect(
        &self,
        backend: &Rc<Backend>,
        may_pass: MayPass<'_>,
        left: Duration,
    ) -> io::Result<Conn> {
        let connect = async {
            if backend.reach.is_hopeless(Instant::now()) {
                return Err(untried());
            }
            if backend.is_detoured() {
                match self.detour(backend, may_pass).await {
                    Ok(conn) => Ok(conn),
                    Err(_) => self.open(backend, CONNECT_TIMEOUT).await,
                }
            } else {
                self.connect_directly_first(backend, may_pass).await
            }
        };
        let late = || Err(io::ErrorKind::TimedOut.into());
        timeout::within(left, connect).await.unwrap_or_else(late)
    }

    async fn connect_directly_first(
        &self,
        backend: &Rc<Backend>,
        may_pass: MayPass<'_>,
    ) -> io::Result<Conn> {
        /// The connection whose attempt ended first.
        enum First {
            Direct(io::Result<Conn>),
            Detour(Result<Conn, NoDetour>),
        }
        let mut direct = std::pin::pin!(self.open(backend, CONNECT_TIMEOUT));
        match timeout::within(head_start(backend), direct.as_mut()).await {
            Some(Ok(conn)) => return Ok(conn),
            Some(Err(error)) => return self.detour_after(backend, may_pass, error).await,
            None => {}
        }
        let mut detour = self.detour(backend, may_pass);
        let first_direct = async { First::Direct(direct.as_mut().await) };
        let first_detour = async { First::Detour(detour.as_mut().await) };
        match first_direct.or(first_detour).await {
            First::Direct(Ok(conn)) => Ok(conn),
            First::Direct(Err(error)) => detour.await.map_err(|_| error),
            First::Detour(Ok(conn)) => {
                // Whether the direct connection was only slow shows later.
                self.suspects.borrow_mut().push(backend.clone());
                Ok(conn)
            }
            First::Detour(Err(_)) => direct.await,
        }
    }

    /// A tunnel after a direct connection failed with `error`, if the server may be sound.
    async fn detour_after(
        &self,
        backend: &Rc<Backend>,
        may_pass: MayPass<'_>,
        error: io::Error,
    ) -> io::Result<Conn> {
        // A server that refuses a connection is down, unless others seem to as well.
        let may_be_sound = match Opening::of::<()>(&Err(io::Error::from(error.kind()))) {
            Opening::Refused => backend.reach.is_unreached(),
            Opening::TimedOut | Opening::Opened => true,
        };
        match may_be_sound {
            true => self.detour(backend, may_pass).await.map_err(|_| error),
            false => Err(error),
        }
    }

    /// Opens a direct connection to a server.
    ///
    /// # Errors
    ///
    /// The server refused the connection, or did not answer within `limit`.
    pub(crate) async fn open(&self, backend: &Backend, limit: Duration) -> io::Result<Conn> {
        metrics::counter!("tidepier_server_connections_total").increment(1);
        let start = Instant::now();
        let address = backend.server.address;
        let opened = self.network.open(address, limit, UNACKED_TIMEOUT).await;
        backend.record_opening(Opening::of(&opened), Instant::now());
        let conn = opened?;
        backend.hall.record_connect_time(start.elapsed());
        Ok(conn)
    }

    /// Has another box carry a connection to a server, one in a hall that `may_pass` accepts.
    ///
    /// # Errors
    ///
    /// No box does.
    // Boxed, as the futures of all requests would hold it otherwise, which rarely need it.
    pub(crate) fn detour<'a>(
        &'a self,
        backend: &'a Rc<Backend>,
        may_pass: MayPass<'a>,
    ) -> Pin<Box<dyn Future<Output = Result<Conn, NoDetour>> + 'a>> {
        Box::pin(async move {
            let detour = self.detour_unbounded(backend, may_pass);
            let detour = timeout::within(DETOUR_TIMEOUT, detour);
            detour.await.unwrap_or(Err(NoDetour::ServerDown))
        })
    }

    async fn detour_unbounded(
        &self,
        backend: &Rc<Backend>,
        may_pass: MayPass<'_>,
    ) -> Result<Conn, NoDetour> {
        let identity = self.identity.get().ok_or(NoDetour::ServerDown)?;
        let now = Instant::now();
        if backend.reach.is_denied(backend.key, now) {
            return Err(NoDetour::ServerDown);
        }
        let group = backend.group();
        let candidates = self
            .gateways
            .candidates(&identity.hall, &group, may_pass, now);
        let attempts = candidates.into_iter().map(|gateway| {
            let attempt: race::Attempt<'_, _, _> =
                Box::pin(self.open_through(identity, gateway, backend, &group));
            attempt
        });
        let opened = race::first_success(attempts.collect(), GATEWAY_HEAD_START).await;
        let now = Instant::now();
        let failures = match opened {
            Ok(conn) => {
                backend.record_detour(now);
                return Ok(conn);
            }
            Err(failures) => failures,
        };
        if failures.iter().any(|it| it.lack() == Some(Lack::Server)) {
            backend.reach.record_denied(backend.key, now);
            return Err(NoDetour::ServerDown);
        }
        backend.reach.record_no_gateway(now);
        Err(match failures.iter().any(Failure::is_unreached) {
            true => NoDetour::AllUnreached,
            false => NoDetour::ServerDown,
        })
    }

    /// Has one box carry a connection to a server.
    async fn open_through(
        &self,
        identity: &Identity,
        gateway: Rc<Gateway>,
        backend: &Backend,
        group: &Group,
    ) -> Result<Conn, Failure> {
        let slow = Slow::new(&gateway);
        let start = Instant::now();
        let request = Request {
            version: VERSION,
            sender: identity.name.clone(),
            hall: identity.hall.clone(),
            server: backend.server.id.clone(),
        };
        let opened = open::open(self.network, gateway.address, request).await;
        slow.disarm();
        let now = Instant::now();
        let outcome = match &opened {
            Ok((_, carried)) => {
                gateway.record_opened(*carried, now);
                metrics::histogram!("tidepier_tunnel_open_seconds")
                    .record(start.elapsed().as_secs_f64());
                "opened"
            }
            Err(failure) => {
                match failure.lack() {
                    None => gateway.record_lost(now),
                    Some(lack) => gateway.record_denied(group, lack, now),
                }
                log::info!(
                    target: "peer",
                    "event=no_tunnel box={} server={} why=\"{failure}\" ms={}",
                    gateway.name,
                    backend.server.id,
                    start.elapsed().as_millis(),
                );
                failure.name()
            }
        };
        metrics::counter!("tidepier_tunnels_total", "outcome" => outcome).increment(1);
        opened.map(|(conn, _)| conn)
    }

    /// Has the box at an address, which carried a connection before, carry another one.
    async fn open_again(&self, backend: &Backend, carrier: SocketAddr) -> io::Result<Conn> {
        let identity = self.identity.get().ok_or_else(untried)?;
        let gateway = self.gateways.at(carrier).ok_or_else(untried)?;
        let group = backend.group();
        let opened = self.open_through(identity, gateway, backend, &group);
        let opened = opened.await;
        opened.map_err(|failure| io::Error::other(failure.to_string()))
    }

    /// Takes an idle connection to a server that may carry another request: one that was
    /// idle for less than `max_idle`, over the way that new connections take, and is not
    /// among those that the request has `used`.
    pub(crate) fn pooled(
        &self,
        backend: &Backend,
        may_pass: MayPass<'_>,
        max_idle: Duration,
        used: &Used,
    ) -> Option<Conn> {
        let is_detoured = backend.is_detoured();
        backend.connection(max_idle, used, |conn, since| match conn.carried_by() {
            None => !is_detoured && backend.reach.is_trusted_since(backend.key, since),
            Some(gateway) => is_detoured && self.gateways.may_carry(gateway, may_pass, since),
        })
    }

    /// Whether a server accepts a connection: a direct one, or through the box at the
    /// address `carrier`. The connection is pooled for the next request.
    pub(crate) async fn accepts_connection(
        &self,
        backend: &Backend,
        carrier: Option<SocketAddr>,
    ) -> bool {
        let opened = match carrier {
            Some(carrier) => self.open_again(backend, carrier).await,
            None => self.open(backend, CONNECT_TIMEOUT).await,
        };
        match opened {
            Ok(conn) => {
                backend.keep(conn, None);
                true
            }
            Err(error) => {
                log::info!(target: "request", "event=not_there server={} why=\"{error}\"", backend.server.id);
                false
            }
        }
    }

    /// Takes the servers to which a direct connection was slow.
    fn take_suspects(&self) -> Vec<Rc<Backend>> {
        self.suspects.take()
    }
}

/// The error of a connection that was not tried.
fn untried() -> io::Error {
    io::ErrorKind::HostUnreachable.into()
}

/// Whether no connection was tried, so that the error says nothing new of the server.
pub(crate) fn is_untried(error: &io::Error) -> bool {
    // An error of the system has a code.
    error.kind() == io::ErrorKind::HostUnreachable && error.raw_os_error().is_none()
}

/// Head start of a direct connection to a server.
fn head_start(backend: &Backend) -> Duration {
    let round_trip = backend.hall.round_trip().unwrap_or_default();
    (HEAD_START + 2 * round_trip).min(HEAD_START_MAX)
}

/// Records a box as slow if it is not waited for any longer.
struct Slow<'a> {
    gateway: &'a Gateway,
    since: Instant,
    disarmed: bool,
}

impl<'a> Slow<'a> {
    fn new(gateway: &'a Gateway) -> Self {
        Self {
            gateway,
            since: Instant::now(),
            disarmed: false,
        }
    }

    fn disarm(mut self) {
        self.disarmed = true;
    }
}

impl Drop for Slow<'_> {
    fn drop(&mut self) {
        if !self.disarmed && self.since.elapsed() >= GATEWAY_HEAD_START {
            self.gateway.record_slow(Instant::now());
        }
    }
}
