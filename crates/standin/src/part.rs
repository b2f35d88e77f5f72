//! One part: a listener with a handler, which can be killed and started again.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::FutureExt;
use smol::channel;
use smol::net::TcpListener;
use smol::Task;
use tidepier_http::server::{serve, Handler, Limits};

/// Attempts to bind an address.
const BIND_ATTEMPTS_MAX: u32 = 50;
/// Delay after an attempt that found the address in use.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits of the stand-ins' connections: generous, so that the limits of the
/// software under test apply first.
fn limits() -> Limits {
    Limits {
        header: Duration::from_secs(60),
        idle: Duration::from_secs(120),
        stall: Duration::from_secs(120),
        body: 64 << 20,
    }
}

struct Running {
    _accepting: Task<()>,
    /// Dropped when the part is killed, which ends every connection.
    _alive: channel::Sender<()>,
}

/// A listener that serves the handler `H` at one address.
pub struct Part<H> {
    address: SocketAddr,
    handler: Arc<H>,
    running: Mutex<Option<Running>>,
}

impl<H: Handler> Part<H> {
    /// A part that is not started yet.
    pub fn new(address: SocketAddr, handler: Arc<H>) -> Self {
        Self {
            address,
            handler,
            running: Mutex::new(None),
        }
    }

    /// The handler.
    pub fn handler(&self) -> &Arc<H> {
        &self.handler
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to listen; does nothing if the part is listening already.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(&self) -> io::Result<()> {
        let mut running = self.running.lock().unwrap_or_else(|e| e.into_inner());
        if running.is_some() {
            return Ok(());
        }
        let listener = bind(self.address)?;
        let (alive, killed) = channel::bounded(1);
        let handler = self.handler.clone();
        let accepting = smol::spawn(accept(listener, handler, killed));
        *running = Some(Running {
            _accepting: accepting,
            _alive: alive,
        });
        Ok(())
    }

    /// Closes the listener and all connections at once.
    pub fn kill(&self) {
        self.running
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .take();
    }
}

/// Binds an address. The executor closes the listener of a killed part
/// a moment after the kill, so an address in use is tried again.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..BIND_ATTEMPTS_MAX {
        match smol::block_on(TcpListener::bind(address)) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            bound => return bound,
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, killed: channel::Receiver<()>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            smol::Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let handler = handler.clone();
        let killed = killed.clone();
        let connection = async move {
            serve(socket, &limits(), &*handler).await;
        };
        let kill = async move {
            let _ = killed.recv().await;
        };
        smol::spawn(connection.or(kill)).detach();
    }
}
