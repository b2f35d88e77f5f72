//! Opening TCP connections: the one edge at which a process meets the network
//! as a client. Tests put a network with cuts in its place.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use smol::net::TcpStream;

/// A connection being opened.
pub type Opening = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// Opens connections.
pub trait Dial: Send + Sync {
    /// Opens a connection to `address`.
    fn dial(&self, address: SocketAddr) -> Opening;
}

/// The network of the machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Direct;

impl Dial for Direct {
    fn dial(&self, address: SocketAddr) -> Opening {
        Box::pin(TcpStream::connect(address))
    }
}

/// The network of the machine, shared.
pub fn direct() -> Arc<dyn Dial> {
    Arc::new(Direct)
}
