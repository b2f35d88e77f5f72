//! A loopback proxy between two processes that can impair the link while it runs.
//!
//! Bytes that an impairment blocks are forwarded once it ends, as with TCP; only a reset
//! and [`Impairment::Loss`] lose data. Several impairments may be active at once, and each is cleared separately.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use event_listener::{Event, EventListener};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{Shutdown, TcpListener, TcpStream};
use smol::{Task, Timer};
use socket2::SockRef;
use tidepier_relay_standin::partition::{set_dropped, Cut};

use crate::sync::lock;

/// Size of the buffer that bytes are forwarded in.
const CHUNK_BYTES: usize = 64 << 10;
/// Interval at which a blocked direction checks whether it is open again, besides the
/// notification.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the side that opened the connection.
    There,
    /// To the side that opened the connection.
    Back,
}

/// An impairment of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Impairment {
    /// Each chunk of bytes is delayed by this.
    Delay(Duration),
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Bytes of one direction are blocked.
    Cut(Direction),
    /// Bytes of both directions are blocked.
    Silence,
    /// Bytes are lost, and a connection that lost some carries none from then on.
    Loss,
}

impl Impairment {
    /// The name of the impairment in reports.
    pub fn name(self) -> &'static str {
        match self {
            Impairment::Delay(_) => "delay",
            Impairment::Reset => "reset",
            Impairment::Cut(_) => "cut_one_way",
            Impairment::Silence => "silence",
            Impairment::Loss => "loss",
        }
    }

    fn blocks(self, direction: Direction) -> bool {
        match self {
            Impairment::Silence => true,
            Impairment::Cut(cut) => cut == direction,
            Impairment::Delay(_) | Impairment::Reset | Impairment::Loss => false,
        }
    }
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    /// Held by the task that accepts connections.
    listener: Weak<TcpListener>,
    impairments: Mutex<Vec<Impairment>>,
    /// Senders that are partitioned from the proxy.
    cuts: Mutex<Vec<(IpAddr, Cut)>>,
    /// Open connections by number, with their senders.
    open: Mutex<HashMap<u64, Open>>,
    next_number: AtomicU64,
    reset: Event,
    changed: Event,
}

/// An open connection.
#[derive(Debug)]
struct Open {
    sender: IpAddr,
    stream: TcpStream,
    reset: Arc<Event>,
}

/// Removes a connection from the open ones when it is dropped.
struct Entry {
    state: Arc<State>,
    number: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        lock(&self.state.open).remove(&self.number);
    }
}

/// A proxy to one address. Dropping it closes the listener and its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<State>,
    task: Mutex<Option<Task<()>>>,
}

impl Proxy {
    /// Opens a proxy on a free port.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let listener = Arc::new(TcpListener::try_from(listener)?);
        let state = Arc::new(State {
            target,
            listener: Arc::downgrade(&listener),
            cuts: Mutex::default(),
            open: Mutex::default(),
            next_number: AtomicU64::new(0),
            impairments: Mutex::default(),
            reset: Event::new(),
            changed: Event::new(),
        });
        let shared = state.clone();
        let task = smol::spawn(async move {
            let mut open: Vec<Task<()>> = Vec::new();
            loop {
                open.retain(|task| !task.is_finished());
                match listener.accept().await {
                    Ok((near, sender)) => {
                        open.push(smol::spawn(shared.clone().forward(near, sender.ip())));
                    }
                    Err(error) => {
                        eprintln!("a proxy could not accept a connection: {error}");
                        Timer::after(POLL_INTERVAL).await;
                    }
                }
            }
        });
        Ok(Self {
            address,
            state,
            task: Mutex::new(Some(task)),
        })
    }

    /// The address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        lock(&self.task).take();
    }

    /// Whether this impairment is active.
    pub fn has(&self, wanted: Impairment) -> bool {
        self.state.any(|impairment| impairment == wanted)
    }

    /// Activates an impairment.
    pub fn impair(&self, impairment: Impairment) {
        lock(&self.state.impairments).push(impairment);
        if impairment == Impairment::Reset {
            self.state.reset.notify(usize::MAX);
        }
    }

    /// Partitions these senders, and no others, from the proxy.
    ///
    /// # Errors
    ///
    /// The filter of a socket cannot be set.
    pub fn set_cuts(&self, cuts: &[(IpAddr, Cut)]) -> io::Result<()> {
        lock(&self.state.cuts).clone_from(&cuts.to_vec());
        let all: Vec<IpAddr> = cuts.iter().map(|(sender, _)| *sender).collect();
        if let Some(listener) = self.state.listener.upgrade() {
            set_dropped(&SockRef::from(&*listener), &all)?;
        }
        let open = lock(&self.state.open);
        open.values()
            .try_for_each(|it| self.state.filter(&it.stream))
    }

    /// Resets the open connections of these senders.
    pub fn reset_from(&self, senders: &[IpAddr]) {
        let open = lock(&self.state.open);
        let reset = open.values().filter(|it| senders.contains(&it.sender));
        reset.for_each(|it| {
            it.reset.notify(usize::MAX);
        });
    }

    /// Clears an impairment that was activated.
    pub fn clear(&self, impairment: Impairment) {
        let mut impairments = lock(&self.state.impairments);
        if let Some(at) = impairments.iter().position(|held| *held == impairment) {
            impairments.swap_remove(at);
        }
        drop(impairments);
        self.state.changed.notify(usize::MAX);
    }
}

impl State {
    fn any(&self, wanted: impl Fn(Impairment) -> bool) -> bool {
        lock(&self.impairments)
            .iter()
            .any(|impairment| wanted(*impairment))
    }

    fn delay(&self) -> Duration {
        let impairments = lock(&self.impairments);
        let delays = impairments.iter().map(|impairment| match impairment {
            Impairment::Delay(delay) => *delay,
            _ => Duration::ZERO,
        });
        delays.max().unwrap_or_default()
    }

    /// Makes an open connection drop the packets of the senders whose connections fall
    /// silent.
    fn filter(&self, stream: &TcpStream) -> io::Result<()> {
        let cuts = lock(&self.cuts);
        let silent = cuts.iter().filter(|(_, cut)| *cut != Cut::New);
        let silent: Vec<IpAddr> = silent.map(|(sender, _)| *sender).collect();
        set_dropped(&SockRef::from(stream), &silent)
    }

    async fn forward(self: Arc<Self>, near: TcpStream, sender: IpAddr) {
        let reset = Arc::new(Event::new());
        let own_reset = reset.listen();
        let stream = near.clone();
        let open = Open {
            sender,
            stream,
            reset,
        };
        let _entry = self.clone().insert(open);
        if let Err(error) = self.filter(&near) {
            eprintln!("a connection could not be filtered: {error}");
        }
        self.forward_open(near, own_reset).await;
    }

    fn insert(self: Arc<Self>, open: Open) -> Entry {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        lock(&self.open).insert(number, open);
        Entry {
            state: self,
            number,
        }
    }

    async fn forward_open(&self, near: TcpStream, own_reset: EventListener) {
        let reset = self.reset.listen();
        if self.any(|impairment| impairment == Impairment::Reset) {
            return abort(&near);
        }
        let Ok(far) = TcpStream::connect(self.target).await else {
            return abort(&near);
        };
        let lost = AtomicBool::new(false);
        let there = self.copy_bytes(near.clone(), far.clone(), Direction::There, &lost);
        let back = self.copy_bytes(far.clone(), near.clone(), Direction::Back, &lost);
        let both = async { future::try_zip(there, back).await.is_ok() };
        let was_reset = async {
            reset.or(own_reset).await;
            false
        };
        if !both.or(was_reset).await {
            abort(&near);
            abort(&far);
        }
    }

    /// Forwards bytes until the sender closes its side, then shuts down the receiver's
    /// side. `lost`: whether the connection has lost bytes.
    async fn copy_bytes(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        direction: Direction,
        lost: &AtomicBool,
    ) -> io::Result<()> {
        let mut bytes = vec![0; CHUNK_BYTES];
        loop {
            let count = from.read(&mut bytes).await?;
            self.wait_until_open(direction).await;
            if count == 0 {
                return to.shutdown(Shutdown::Write);
            }
            if self.any(|impairment| impairment == Impairment::Loss) {
                lost.store(true, Ordering::Relaxed);
            }
            if lost.load(Ordering::Relaxed) {
                continue;
            }
            Timer::after(self.delay()).await;
            to.write_all(&bytes[..count]).await?;
        }
    }

    /// Waits until no impairment blocks a direction.
    async fn wait_until_open(&self, direction: Direction) {
        while self.any(|impairment| impairment.blocks(direction)) {
            let changed = self.changed.listen();
            let poll = async {
                Timer::after(POLL_INTERVAL).await;
            };
            changed.or(poll).await;
        }
    }
}

/// Makes the connection end with a reset when it is dropped.
fn abort(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        eprintln!("a connection could not be reset: {error}");
    }
}
