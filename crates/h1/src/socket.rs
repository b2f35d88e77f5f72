//! A TCP socket whose failure is known to both halves of its connection.
//!
//! Linux returns the pending error of a socket to one call only, the first of either half.
//! Reads after a write that failed with a reset would find an end like an orderly one.
//!
//! Invariant: once any call has returned the error by which the connection failed, no read
//! returns an end.

use std::io::{self, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::OnceLock;

use rustix::io::Errno;
use rustix::net::{self, SendFlags};
use smol::Async;
use socket2::SockRef;

/// A socket that both halves of a connection share.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: Async<TcpStream>,
    /// The error by which the connection failed, once a call has returned it.
    failure: OnceLock<Errno>,
}

impl Socket {
    pub(crate) fn new(stream: Async<TcpStream>) -> Self {
        Self {
            stream,
            failure: OnceLock::new(),
        }
    }

    /// The socket's options.
    pub(crate) fn options(&self) -> SockRef<'_> {
        SockRef::from(self.stream.get_ref())
    }

    pub(crate) fn peer(&self) -> io::Result<SocketAddr> {
        self.stream.get_ref().peer_addr()
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    pub(crate) async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Reads what has arrived; 0 if the peer has ended its sending side.
    pub(crate) fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match self.keep_failure(self.stream.get_ref().read(buffer)) {
            Ok(0) => self.failure().map_or(Ok(0), Err),
            read => read,
        }
    }

    pub(crate) fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.keep_failure(self.stream.get_ref().write(bytes))
    }

    pub(crate) fn write_vectored(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        self.keep_failure(self.stream.get_ref().write_vectored(parts))
    }

    pub(crate) fn send(&self, bytes: &[u8], flags: SendFlags) -> io::Result<usize> {
        self.keep_failure(net::send(self.stream.get_ref(), bytes, flags).map_err(io::Error::from))
    }

    pub(crate) fn shut_down_writing(&self) -> io::Result<()> {
        self.stream.get_ref().shutdown(Shutdown::Write)
    }

    /// Keeps the error by which the connection failed, and returns it in place of the ones that
    /// the system returns after it.
    fn keep_failure(&self, result: io::Result<usize>) -> io::Result<usize> {
        result.map_err(|error| match Errno::from_io_error(&error) {
            None | Some(Errno::WOULDBLOCK | Errno::INTR) => error,
            // Without an earlier failure, the peer had ended its sending side in order before
            // it reset the connection: reads return all of its bytes and then that end.
            Some(Errno::PIPE) => self.failure().unwrap_or(error),
            Some(errno) => (*self.failure.get_or_init(|| errno)).into(),
        })
    }

    fn failure(&self) -> Option<io::Error> {
        self.failure.get().map(|errno| (*errno).into())
    }
}
