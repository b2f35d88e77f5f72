//! A TCP stream whose reads are counted against a budget.
//!
//! `async-h1` reads a head line by line without a bound on the line. The
//! budget is set before a head is read and lifted once it is parsed.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// No bound.
pub(crate) const UNBOUNDED: u64 = u64::MAX;

/// A clonable stream; clones share the socket and the budget.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    budget: Arc<AtomicU64>,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream) -> Self {
        Self {
            inner,
            budget: Arc::new(AtomicU64::new(UNBOUNDED)),
        }
    }

    /// Sets how many bytes may still be read.
    pub(crate) fn allow(&self, bytes: u64) {
        self.budget.store(bytes, Ordering::Relaxed);
    }

    pub(crate) fn spent(&self) -> bool {
        self.budget.load(Ordering::Relaxed) == 0
    }

    pub(crate) fn socket(&self) -> &TcpStream {
        &self.inner
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.budget.load(Ordering::Relaxed);
        if left == 0 {
            let full = io::Error::new(io::ErrorKind::InvalidData, "over the limit");
            return Poll::Ready(Err(full));
        }
        let most = buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let polled = Pin::new(&mut self.inner).poll_read(cx, &mut buf[..most]);
        if let Poll::Ready(Ok(read)) = &polled {
            if left != UNBOUNDED {
                self.budget.store(left - *read as u64, Ordering::Relaxed);
            }
        }
        polled
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
