//! A loopback proxy between two processes, which can be harmed while it runs.
//!
//! Bytes that a harm holds back are passed on once it ends, as TCP would; only
//! a reset loses some. Several harms may hold at once; each ends by itself.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use event_listener::Event;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{Shutdown, TcpListener, TcpStream};
use smol::{Task, Timer};
use socket2::SockRef;

use crate::sync::lock;

/// Bytes that are passed on at once.
const PIECE: usize = 64 << 10;
/// How often a held direction looks whether it may go on, besides being told.
const LOOK: Duration = Duration::from_millis(20);

/// The way that bytes take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connected.
    There,
    /// Towards the side that connected.
    Back,
}

/// What is wrong with a way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Each piece takes so much longer.
    Delay(Duration),
    /// Connections are reset, and so are new ones.
    Reset,
    /// Nothing passes in one direction.
    Cut(Direction),
    /// Nothing passes.
    Silence,
}

impl Harm {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Harm::Delay(_) => "delay",
            Harm::Reset => "reset",
            Harm::Cut(_) => "cut_one_way",
            Harm::Silence => "silence",
        }
    }

    fn holds(self, direction: Direction) -> bool {
        match self {
            Harm::Silence => true,
            Harm::Cut(cut) => cut == direction,
            Harm::Delay(_) | Harm::Reset => false,
        }
    }
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    harms: Mutex<Vec<Harm>>,
    reset: Event,
    changed: Event,
}

/// A proxy to one address; it ends with its connections when dropped.
#[derive(Debug)]
pub struct Way {
    address: SocketAddr,
    state: Arc<State>,
    task: Mutex<Option<Task<()>>>,
}

impl Way {
    /// Opens a proxy on a free port.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::try_from(listener)?;
        let state = Arc::new(State {
            target,
            harms: Mutex::default(),
            reset: Event::new(),
            changed: Event::new(),
        });
        let shared = state.clone();
        let task = smol::spawn(async move {
            let mut open: Vec<Task<()>> = Vec::new();
            loop {
                open.retain(|task| !task.is_finished());
                match listener.accept().await {
                    Ok((near, _)) => open.push(smol::spawn(shared.clone().carry(near))),
                    Err(error) => {
                        eprintln!("a proxy could not accept a connection: {error}");
                        Timer::after(LOOK).await;
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends it with its connections: nobody listens there any more.
    pub fn close(&self) {
        lock(&self.task).take();
    }

    /// Whether it is harmed so.
    pub fn is(&self, wanted: Harm) -> bool {
        self.state.is(|harm| harm == wanted)
    }

    /// Begins a harm.
    pub fn harm(&self, harm: Harm) {
        lock(&self.state.harms).push(harm);
        if harm == Harm::Reset {
            self.state.reset.notify(usize::MAX);
        }
    }

    /// Ends a harm that was begun.
    pub fn mend(&self, harm: Harm) {
        let mut harms = lock(&self.state.harms);
        if let Some(at) = harms.iter().position(|held| *held == harm) {
            harms.swap_remove(at);
        }
        drop(harms);
        self.state.changed.notify(usize::MAX);
    }
}

impl State {
    fn is(&self, wanted: impl Fn(Harm) -> bool) -> bool {
        lock(&self.harms).iter().any(|harm| wanted(*harm))
    }

    fn delay(&self) -> Duration {
        let harms = lock(&self.harms);
        let delays = harms.iter().map(|harm| match harm {
            Harm::Delay(delay) => *delay,
            _ => Duration::ZERO,
        });
        delays.max().unwrap_or_default()
    }

    async fn carry(self: Arc<Self>, near: TcpStream) {
        let reset = self.reset.listen();
        if self.is(|harm| harm == Harm::Reset) {
            return abort(&near);
        }
        let Ok(far) = TcpStream::connect(self.target).await else {
            return abort(&near);
        };
        let there = self.pump(near.clone(), far.clone(), Direction::There);
        let back = self.pump(far.clone(), near.clone(), Direction::Back);
        let both = async { future::try_zip(there, back).await.is_ok() };
        let cut = async {
            reset.await;
            false
        };
        if !both.or(cut).await {
            abort(&near);
            abort(&far);
        }
    }

    /// Passes bytes on until their sender ends; then ends the receiver's side.
    async fn pump(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        direction: Direction,
    ) -> io::Result<()> {
        let mut bytes = vec![0; PIECE];
        loop {
            let count = from.read(&mut bytes).await?;
            self.open(direction).await;
            if count == 0 {
                return to.shutdown(Shutdown::Write);
            }
            Timer::after(self.delay()).await;
            to.write_all(&bytes[..count]).await?;
        }
    }

    /// Waits until a direction is not held.
    async fn open(&self, direction: Direction) {
        while self.is(|harm| harm.holds(direction)) {
            let changed = self.changed.listen();
            let look = async {
                Timer::after(LOOK).await;
            };
            changed.or(look).await;
        }
    }
}

/// Lets a connection end with a reset when it is dropped.
fn abort(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        eprintln!("a connection could not be reset: {error}");
    }
}
