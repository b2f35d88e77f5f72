//! Opens links, and sends and receives frames over them.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::{WebSocketReceiver, WebSocketSender, WebSocketStream};
use futures_lite::{FutureExt, StreamExt};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use smol::net::TcpStream;
use smol::Timer;
use tidepier_config::key::Secret;
use tidepier_http::dial::Dial;

use crate::frame::{Frame, Hello, VERSION};

/// Largest frame in bytes, which leaves ample room around a document of a
/// megabyte.
const FRAME_BYTES_MAX: usize = 2 << 20;
/// Largest frame in bytes that is accepted from a side that has not yet proved that
/// it holds a link key.
const UNPROVEN_FRAME_BYTES_MAX: usize = 1024;
/// Read buffer of a link in bytes. The library's default of 128 KiB is too much
/// for hundreds of links on a small box.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Time-out of opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of a nonce.
const NONCE_BYTES: usize = 16;

/// Why a link could not be opened or has ended.
#[derive(Debug)]
pub enum Error {
    /// Nothing listens at the address: the process has ended.
    Refused,
    /// The socket failed or timed out.
    Io(io::Error),
    /// The other side did not prove a known key, or is of another fleet or
    /// version.
    Denied(&'static str),
    /// A frame could not be read.
    Malformed(String),
    /// The other side closed the link.
    Closed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused => f.write_str("connection refused"),
            Error::Io(error) => write!(f, "{error}"),
            Error::Denied(why) => write!(f, "denied: {why}"),
            Error::Malformed(why) => write!(f, "malformed frame: {why}"),
            Error::Closed => f.write_str("closed"),
        }
    }
}

impl std::error::Error for Error {}

/// The sending half of a link.
pub struct Sender(WebSocketSender<TcpStream>);

/// The receiving half of a link.
pub struct Receiver(WebSocketReceiver<TcpStream>);

/// An open link.
pub struct Link {
    /// The other side, as its hello describes it.
    pub peer: Hello,
    /// Sends frames.
    pub sender: Sender,
    /// Receives frames.
    pub receiver: Receiver,
}

/// A new random nonce.
pub fn nonce() -> Vec<u8> {
    let mut bytes = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

impl Link {
    /// Opens a link to `address` over `network`.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when nothing listens there; other errors for all other
    /// failures.
    pub async fn dial(
        network: &dyn Dial,
        address: SocketAddr,
        me: &Hello,
        keys: &[Secret],
    ) -> Result<Self, Error> {
        with_timeout(Self::dial_without_timeout(network, address, me, keys)).await
    }

    async fn dial_without_timeout(
        network: &dyn Dial,
        address: SocketAddr,
        me: &Hello,
        keys: &[Secret],
    ) -> Result<Self, Error> {
        let socket = network.dial(address).await.map_err(connect_error)?;
        socket.set_nodelay(true).map_err(Error::Io)?;
        let url = format!("ws://{address}/link");
        let opened = async_tungstenite::client_async_with_config(url, socket, Some(limits()));
        let (stream, _) = opened.await.map_err(socket_error)?;
        let (mut sender, mut receiver) = halves(stream);
        sender.send(&Frame::Hello(me.clone())).await?;
        let peer = receiver.hello(&me.fleet).await?;
        let key = keys.first().ok_or(Error::Denied("no link key"))?;
        sender
            .send(&Frame::Proof(proof(key, "dial", me, &peer)))
            .await?;
        let shown = receiver.proof().await?;
        if !proves(key, "accept", &peer, me, &shown) {
            return Err(denied("wrong proof"));
        }
        Ok(Self {
            peer,
            sender,
            receiver,
        })
    }

    /// Accepts a link on a new connection.
    ///
    /// # Errors
    ///
    /// [`Error::Denied`] when the other side does not prove a known key; other
    /// errors for other failures.
    pub async fn accept(socket: TcpStream, me: &Hello, keys: &[Secret]) -> Result<Self, Error> {
        with_timeout(Self::accept_without_timeout(socket, me, keys)).await
    }

    async fn accept_without_timeout(
        socket: TcpStream,
        me: &Hello,
        keys: &[Secret],
    ) -> Result<Self, Error> {
        socket.set_nodelay(true).map_err(Error::Io)?;
        let opened = async_tungstenite::accept_async_with_config(socket, Some(limits()));
        let stream = opened.await.map_err(socket_error)?;
        let (mut sender, mut receiver) = halves(stream);
        let peer = receiver.hello(&me.fleet).await?;
        sender.send(&Frame::Hello(me.clone())).await?;
        let shown = receiver.proof().await?;
        let key = keys
            .iter()
            .find(|key| proves(key, "dial", &peer, me, &shown));
        let key = key.ok_or_else(|| denied("wrong proof"))?;
        sender
            .send(&Frame::Proof(proof(key, "accept", me, &peer)))
            .await?;
        Ok(Self {
            peer,
            sender,
            receiver,
        })
    }
}

impl Sender {
    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// The link has failed.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let mut bytes = Vec::with_capacity(64);
        ciborium::into_writer(frame, &mut bytes)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let purpose = frame.purpose().name();
        metrics::counter!("tidepier_control_bytes_total", "purpose" => purpose)
            .increment(bytes_on_wire(bytes.len()));
        metrics::counter!("tidepier_control_messages_total", "purpose" => purpose).increment(1);
        let sent = self.0.send(Message::Binary(bytes.into())).await;
        sent.map_err(socket_error)
    }
}

/// Bytes that a frame takes with its WebSocket header. The header of the dialling
/// side has a mask of four bytes, which is counted for both sides.
fn bytes_on_wire(body: usize) -> u64 {
    let header = match body {
        0..=125 => 6,
        126..=65_535 => 8,
        _ => 14,
    };
    (body + header) as u64
}

impl Receiver {
    /// Receives one frame.
    ///
    /// # Errors
    ///
    /// The link has failed or ended, or the frame cannot be read. The link cannot
    /// be used after an error.
    pub async fn recv(&mut self) -> Result<Frame, Error> {
        loop {
            match self.0.next().await {
                None => return Err(Error::Closed),
                Some(Err(error)) => return Err(socket_error(error)),
                Some(Ok(Message::Binary(bytes))) => return decode(&bytes),
                Some(Ok(Message::Close(_))) => return Err(Error::Closed),
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
                Some(Ok(_)) => return Err(malformed("not a binary message".into())),
            }
        }
    }

    async fn hello(&mut self, fleet: &tidepier_ids::Account) -> Result<Hello, Error> {
        let Frame::Hello(hello) = self.recv_unproven().await? else {
            return Err(denied("no hello"));
        };
        if hello.version != VERSION {
            return Err(denied("another version"));
        }
        if hello.fleet != *fleet {
            return Err(denied("another fleet"));
        }
        if hello.nonce.len() != NONCE_BYTES {
            return Err(denied("bad nonce"));
        }
        Ok(hello)
    }

    async fn proof(&mut self) -> Result<Vec<u8>, Error> {
        match self.recv_unproven().await? {
            Frame::Proof(mac) => Ok(mac),
            _ => Err(denied("no proof")),
        }
    }

    /// Receives a frame from a side that has not yet proved that it holds a link
    /// key. Only small frames are accepted.
    async fn recv_unproven(&mut self) -> Result<Frame, Error> {
        match self.0.next().await {
            Some(Ok(Message::Binary(bytes))) if bytes.len() <= UNPROVEN_FRAME_BYTES_MAX => {
                decode(&bytes)
            }
            Some(Err(error)) => Err(socket_error(error)),
            None => Err(Error::Closed),
            Some(Ok(_)) => Err(denied("not a hello")),
        }
    }
}

fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    ciborium::from_reader(bytes).map_err(|error| malformed(error.to_string()))
}

fn malformed(why: String) -> Error {
    metrics::counter!("tidepier_link_refused_total", "why" => "malformed").increment(1);
    Error::Malformed(why)
}

fn denied(why: &'static str) -> Error {
    metrics::counter!("tidepier_link_refused_total", "why" => why).increment(1);
    Error::Denied(why)
}

fn halves(stream: WebSocketStream<TcpStream>) -> (Sender, Receiver) {
    let (sender, receiver) = stream.split();
    (Sender(sender), Receiver(receiver))
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_BYTES_MAX))
        .max_frame_size(Some(FRAME_BYTES_MAX))
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
}

fn connect_error(error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Error::Refused,
        _ => Error::Io(error),
    }
}

fn socket_error(error: async_tungstenite::tungstenite::Error) -> Error {
    use async_tungstenite::tungstenite::Error as Ws;
    match error {
        Ws::ConnectionClosed | Ws::AlreadyClosed => Error::Closed,
        Ws::Io(error) => Error::Io(error),
        other => malformed(other.to_string()),
    }
}

async fn with_timeout<T>(
    work: impl std::future::Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let late = async {
        Timer::after(OPEN_TIMEOUT).await;
        Err(Error::Io(io::ErrorKind::TimedOut.into()))
    };
    work.or(late).await
}

fn mac(key: &Secret, role: &str, prover: &Hello, other: &Hello) -> Hmac<Sha256> {
    // HMAC takes a key of any length, so this cannot fail.
    let mut mac = Hmac::<Sha256>::new_from_slice(key.bytes()).expect("HMAC takes any key");
    for part in [
        role.as_bytes(),
        prover.fleet.as_str().as_bytes(),
        prover.name.as_str().as_bytes(),
        prover.hall.as_str().as_bytes(),
        &prover.incarnation.0.to_be_bytes(),
        other.name.as_str().as_bytes(),
        &prover.nonce,
        &other.nonce,
    ] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

fn proof(key: &Secret, role: &str, prover: &Hello, other: &Hello) -> Vec<u8> {
    mac(key, role, prover, other)
        .finalize()
        .into_bytes()
        .to_vec()
}

fn proves(key: &Secret, role: &str, prover: &Hello, other: &Hello, shown: &[u8]) -> bool {
    mac(key, role, prover, other).verify_slice(shown).is_ok()
}
