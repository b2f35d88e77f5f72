//! A process in front of a server, which is stopped and continued by signals.
//!
//! While it is stopped the server stands still for all boxes: connections open and carry
//! nothing. What was sent meanwhile reaches the server when the process goes on.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use futures_lite::io::{AsyncBufReadExt, BufReader};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use rustix::process::{kill_process, Pid, Signal};
use smol::net::{TcpListener, TcpStream};

/// Size of the buffer that bytes are forwarded in.
const CHUNK_BYTES: usize = 16 << 10;

/// A running process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Gate {
    child: Child,
    pid: Pid,
    address: SocketAddr,
}

impl Gate {
    /// Starts a process that forwards connections to `target`: `program` with the option
    /// `--gate`.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or does not name its address.
    pub fn start(program: &Path, target: SocketAddr) -> io::Result<Self> {
        let mut child = Command::new(program)
            .args(["--gate", &target.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            io::BufRead::read_line(&mut io::BufReader::new(output), &mut line)?;
        }
        let pid = Pid::from_child(&child);
        let address = line.trim().parse().map_err(io::Error::other);
        // Built first, so that the process is killed if it names none.
        let mut gate = Self {
            child,
            pid,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        };
        gate.address = address?;
        Ok(gate)
    }

    /// Where it accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends the process a signal.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid, signal)?)
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Forwards connections to `target` until the standard input is closed: the process that
/// [`Gate::start`] starts. Prints its address first.
///
/// # Errors
///
/// No port can be bound.
pub async fn run(target: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    println!("{}", listener.local_addr()?);
    let closed = async {
        let mut input = BufReader::new(smol::Unblock::new(io::stdin()));
        while input.read_line(&mut String::new()).await? > 0 {}
        Ok(())
    };
    let accepting = async {
        loop {
            let (stream, _) = listener.accept().await?;
            smol::spawn(forward(stream, target)).detach();
        }
    };
    closed.or(accepting).await
}

/// Forwards one connection until either side closes it.
async fn forward(client: TcpStream, target: SocketAddr) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let there = copy(client.clone(), server.clone());
    future::or(there, copy(server, client)).await;
}

/// Forwards bytes until the sender closes the connection or it breaks.
async fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
