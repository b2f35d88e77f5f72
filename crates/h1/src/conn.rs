//! TCP connections whose end is seen and whose buffers are lent.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use futures_lite::future::yield_now;
use futures_lite::FutureExt;
use rustix::io::Errno;
use rustix::net::SendFlags;
use smol::{Async, Timer};
use socket2::{Domain, Protocol, SockRef, TcpKeepalive, Type};

use crate::head::{self, Head, Malformed, Search};
use crate::record::Decoder;
use crate::socket;

/// Bytes read at once. One buffer of this size serves all connections of a
/// thread; what is read is copied into a buffer of its own length.
const READ_BYTES: usize = 16 << 10;

/// Bytes that are read of one connection without a wait before other tasks have their
/// turn: a peer may send as fast as its bytes are read.
const TURN_BYTES: usize = 128 << 10;

/// Rest after which a connection's peer is probed; with the interval, a peer
/// that has gone dark is noticed within a few seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Largest record of [`Writer::try_write`], in bytes. Linux notes that a peer with a full
/// buffer has taken something only when it has room for the rest of a record, which would
/// otherwise have up to 64 KiB. With a time-out of 4 s, a peer is alive at 2 KB/s.
pub const RECORD_BYTES: usize = 8 << 10;

/// Maximum number of interim answers that come before one answer.
const INTERIM_MAX: usize = 8;
/// Status after which a connection carries another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

thread_local! {
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_BYTES].into());
}

/// A connection and the bytes that were read from it but not yet taken.
pub struct Conn {
    socket: Arc<socket::Socket>,
    /// Bytes that were read. Those before `taken` have been taken.
    buffer: Vec<u8>,
    taken: usize,
    /// Bytes read since the last wait.
    unwaited: usize,
    /// Whether the last read took all that had arrived: the next one waits first
    /// and is spared a call that finds nothing.
    drained: bool,
    /// Set if another host carries the connection.
    carried: Option<Carried>,
}

/// The state of a connection that another host carries.
struct Carried {
    /// The address of that host.
    by: SocketAddr,
    records: Decoder,
}

/// The writing half of a connection.
pub struct Writer {
    socket: Arc<socket::Socket>,
    /// Bytes of the last record of [`Writer::try_write`].
    record: AtomicUsize,
}

/// A reference to a connection's socket that does not keep it open.
#[derive(Debug, Clone)]
pub struct WeakSocket(Weak<socket::Socket>);

impl WeakSocket {
    /// Whether it is the socket of this connection.
    pub fn is_of(&self, conn: &Conn) -> bool {
        std::ptr::eq(self.0.as_ptr(), Arc::as_ptr(&conn.socket))
    }

    /// Calls `work` with the socket; `None` if the connection is closed.
    pub fn with<T>(&self, work: impl FnOnce(SockRef<'_>) -> T) -> Option<T> {
        let socket = self.0.upgrade()?;
        Some(work(socket.options()))
    }
}

/// A listening socket.
pub struct Listener(Async<TcpListener>);

impl Listener {
    /// Listens at `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        Async::<TcpListener>::bind(address).map(Self)
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// The socket has no address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.get_ref().local_addr()
    }

    /// The next connection. A peer that acknowledges nothing of what was sent, or has
    /// no room for what is due to it, for `unacked` ends it: reads and writes then fail
    /// with [`io::ErrorKind::TimedOut`].
    ///
    /// # Errors
    ///
    /// No connection could be accepted, such as for want of descriptors.
    pub async fn accept(&self, unacked: Duration) -> io::Result<Conn> {
        let (stream, _) = self.0.accept().await?;
        Conn::over(stream, unacked)
    }
}

impl Conn {
    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// The peer refused, or did not answer in time.
    pub async fn open(address: SocketAddr, limit: Duration, unacked: Duration) -> io::Result<Self> {
        Self::open_from(None, address, limit, unacked).await
    }

    /// The same from an address of this machine; `None`: the system chooses one.
    ///
    /// # Errors
    ///
    /// The peer refused, or did not answer in time; or this machine does not have the
    /// address.
    pub async fn open_from(
        source: Option<IpAddr>,
        address: SocketAddr,
        limit: Duration,
        unacked: Duration,
    ) -> io::Result<Self> {
        let late = async {
            Timer::after(limit).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = async {
            match source {
                Some(source) => connect_from(source, address).await,
                None => Async::<TcpStream>::connect(address).await,
            }
        };
        let stream = connected.or(late).await?;
        Self::over(stream, unacked)
    }

    /// A connection over an open socket.
    ///
    /// # Errors
    ///
    /// The socket's options cannot be set: it is already closed.
    pub fn over(stream: Async<TcpStream>, unacked: Duration) -> io::Result<Self> {
        let socket = SockRef::from(stream.get_ref());
        // Events of a stream are small writes that must not wait for another.
        socket.set_tcp_nodelay(true)?;
        // A peer that has lost power or is cut off never answers; without this
        // the connection would hang for minutes.
        socket.set_tcp_user_timeout(Some(unacked))?;
        // A connection on which nothing is due is asked whether it still is.
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&probes)?;
        Ok(Self {
            socket: Arc::new(socket::Socket::new(stream)),
            buffer: Vec::new(),
            taken: 0,
            unwaited: 0,
            drained: false,
            carried: None,
        })
    }

    /// From now on the peer carries the connection for another host, whose bytes it sends
    /// as [records](crate::record). What is written reaches that host as it is.
    ///
    /// # Errors
    ///
    /// What was read already is no record.
    pub fn carry(&mut self, by: SocketAddr) -> io::Result<()> {
        let mut records = Decoder::default();
        let read = self.take(self.pending().len());
        records.decode(&read, &mut self.buffer)?;
        self.carried = Some(Carried { by, records });
        Ok(())
    }

    /// The host that carries the connection; `None` if it reaches its peer directly.
    pub fn carried_by(&self) -> Option<SocketAddr> {
        self.carried.as_ref().map(|carried| carried.by)
    }

    /// The address of the peer.
    ///
    /// # Errors
    ///
    /// The connection is already closed.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.socket.peer()
    }

    /// Makes the connection end when the peer leaves data unacknowledged, or has no room
    /// for it, for `time`.
    ///
    /// # Errors
    ///
    /// The connection is already closed.
    pub fn limit_unacked(&self, time: Duration) -> io::Result<()> {
        self.socket.options().set_tcp_user_timeout(Some(time))
    }

    /// Makes the connection accept no more bytes while about `bytes` of those written
    /// have not been sent. Without it the system keeps some megabytes for a peer that
    /// does not read. Bytes in flight are not limited, so that a peer that reads is
    /// served at the same rate.
    ///
    /// # Errors
    ///
    /// The connection is already closed.
    pub fn limit_unsent(&self, bytes: u32) -> io::Result<()> {
        self.socket.options().set_tcp_notsent_lowat(bytes)
    }

    /// The writing half.
    pub fn writer(&self) -> Writer {
        Writer {
            socket: self.socket.clone(),
            record: AtomicUsize::default(),
        }
    }

    /// A reference to the socket that does not keep the connection open.
    pub fn weak_socket(&self) -> WeakSocket {
        WeakSocket(Arc::downgrade(&self.socket))
    }

    /// Bytes that were read but not yet taken.
    pub fn pending(&self) -> &[u8] {
        &self.buffer[self.taken..]
    }

    /// Memory that the bytes take that were read but not yet taken.
    pub fn buffered(&self) -> usize {
        self.buffer.capacity()
    }

    /// Takes the first `count` pending bytes.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        self.drop_taken();
        if count == self.buffer.len() {
            return std::mem::take(&mut self.buffer);
        }
        let rest = self.buffer.split_off(count);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Drops the first `count` pending bytes.
    pub(crate) fn skip(&mut self, count: usize) {
        self.taken += count;
        if self.taken == self.buffer.len() {
            self.buffer = Vec::new();
            self.taken = 0;
        }
    }

    /// Frees the place of the bytes that were taken. It moves the others, so that it is
    /// done once for all that is taken between two reads.
    fn drop_taken(&mut self) {
        self.buffer.drain(..self.taken);
        self.taken = 0;
    }

    /// Waits for more bytes; returns how many came, 0 at the end.
    ///
    /// Cancelling it loses nothing.
    ///
    /// # Errors
    ///
    /// The connection was reset or timed out.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.unwaited >= TURN_BYTES {
            self.unwaited = 0;
            yield_now().await;
        }
        loop {
            if self.drained && !self.has_carried_end() {
                self.socket.readable().await?;
                self.unwaited = 0;
            }
            if let Some(read) = self.try_fill()? {
                self.unwaited += read;
                return Ok(read);
            }
        }
    }

    /// Reads what has arrived, without waiting; `None` when nothing has.
    ///
    /// # Errors
    ///
    /// The connection was reset or timed out.
    pub fn try_fill(&mut self) -> io::Result<Option<usize>> {
        SCRATCH.with_borrow_mut(|scratch| loop {
            if self.has_carried_end() {
                return Ok(Some(0));
            }
            match self.socket.read(scratch) {
                Ok(read) => {
                    // An end is found again by the next read, not by waiting.
                    self.drained = read > 0 && read < scratch.len();
                    match self.append(&scratch[..read])? {
                        // Only parts of records that carry nothing.
                        0 if read > 0 && !self.has_carried_end() => {}
                        count => return Ok(Some(count)),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.drained = true;
                    return Ok(None);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        })
    }

    /// Whether the host that carries the connection has stated its end.
    fn has_carried_end(&self) -> bool {
        let carried = self.carried.as_ref();
        carried.is_some_and(|carried| carried.records.has_ended())
    }

    /// Appends what was read; returns how many bytes it carries.
    fn append(&mut self, read: &[u8]) -> io::Result<usize> {
        self.drop_taken();
        let Some(carried) = &mut self.carried else {
            grow(&mut self.buffer, read.len());
            self.buffer.extend_from_slice(read);
            return Ok(read.len());
        };
        if read.is_empty() {
            // The host that carries the connection is gone, and with it the end.
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let before = self.buffer.len();
        carried.records.decode(read, &mut self.buffer)?;
        Ok(self.buffer.len() - before)
    }

    /// Whether the host that carries the connection will soon close it.
    fn is_closing(&self) -> bool {
        let carried = self.carried.as_ref();
        carried.is_some_and(|carried| carried.records.is_closing())
    }

    /// Waits for more bytes and drops them; returns how many came, 0 at the end.
    ///
    /// # Errors
    ///
    /// The connection was reset or timed out.
    pub async fn scrap(&mut self) -> io::Result<usize> {
        self.skip(self.pending().len());
        let read = self.fill().await?;
        self.skip(self.pending().len());
        Ok(read)
    }

    /// Whether a resting connection is still good: open, with nothing sent that
    /// nobody asked for.
    pub fn rests(&mut self) -> bool {
        self.pending().is_empty() && matches!(self.try_fill(), Ok(None)) && !self.is_closing()
    }

    /// Reads the head of a request of at most `most` bytes; `None` when the peer closed the
    /// connection before the head's first byte.
    ///
    /// # Errors
    ///
    /// The head is malformed, too large, or broke off.
    pub async fn request_head(
        &mut self,
        most: usize,
    ) -> Result<Option<Head<head::Request>>, Malformed> {
        let bytes = self.whole_head(most).await?;
        bytes.map(Head::<head::Request>::parse).transpose()
    }

    /// Reads the head of an answer of at most `most` bytes, past any interim ones.
    ///
    /// # Errors
    ///
    /// The bytes are no answer, too many interim answers came first, or the connection ended
    /// before the end of the head.
    pub async fn answer_head(&mut self, most: usize) -> Result<Head<head::Answer>, Malformed> {
        for _ in 0..=INTERIM_MAX {
            let bytes = self.whole_head(most).await?.ok_or(Malformed::BrokenOff)?;
            let head = Head::<head::Answer>::parse(bytes)?;
            match head.status().code() {
                SWITCHING_PROTOCOLS => return Err(Malformed::Switched),
                100..=199 => {}
                _ => return Ok(head),
            }
        }
        Err(Malformed::Interim)
    }

    /// Takes the bytes of a whole head; `None` when the peer closed the connection before the
    /// first one.
    async fn whole_head(&mut self, most: usize) -> Result<Option<Vec<u8>>, Malformed> {
        let mut search = Search::default();
        loop {
            if let Some(bytes) = self.take_head(&mut search, most)? {
                return Ok(Some(bytes));
            }
            match self.fill().await {
                Ok(0) if self.pending().is_empty() => return Ok(None),
                Ok(0) => return Err(Malformed::BrokenOff),
                Ok(_) => {}
                Err(error) => return Err(Malformed::Lost(error)),
            }
        }
    }

    /// Takes a head of at most `most` bytes, if all of it is pending; `search` is new for
    /// each head.
    ///
    /// # Errors
    ///
    /// The head is malformed or too large.
    pub fn try_head(
        &mut self,
        search: &mut Search,
        most: usize,
    ) -> Result<Option<Head<head::Request>>, Malformed> {
        let bytes = self.take_head(search, most)?;
        bytes.map(Head::<head::Request>::parse).transpose()
    }

    /// Takes the bytes of a whole head, if all of it is pending.
    fn take_head(
        &mut self,
        search: &mut Search,
        most: usize,
    ) -> Result<Option<Vec<u8>>, Malformed> {
        let Some(length) = search.length(self.pending(), most)? else {
            return Ok(None);
        };
        let mut bytes = self.take(length);
        // The head is kept for longer than the bytes that came with it.
        bytes.shrink_to_fit();
        Ok(Some(bytes))
    }
}

/// Makes room for `more` bytes: by half of what there is, as many buffers may grow at once.
fn grow(buffer: &mut Vec<u8>, more: usize) {
    if buffer.capacity() - buffer.len() < more {
        buffer.reserve_exact(more.max(buffer.len() / 2));
    }
}

/// Connects from an address of this machine.
async fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let socket = socket2::Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking().cloexec(),
        Some(Protocol::TCP),
    )?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => {
            return Err(error);
        }
        _ => {}
    }
    let stream = Async::new_nonblocking(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

impl Writer {
    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// The connection was reset or timed out.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = self.write(bytes).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Writes all bytes of two parts, one after the other, without joining them in memory.
    ///
    /// # Errors
    ///
    /// The connection was reset or timed out.
    pub async fn write_both(&self, [mut first, mut second]: [&[u8]; 2]) -> io::Result<()> {
        while !first.is_empty() && !second.is_empty() {
            let parts = [IoSlice::new(first), IoSlice::new(second)];
            let written = self.attempt(|socket| socket.write_vectored(&parts)).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            let of_first = written.min(first.len());
            first = &first[of_first..];
            second = &second[written - of_first..];
        }
        self.write_all(first).await?;
        self.write_all(second).await
    }

    /// Writes some bytes; returns how many.
    async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.attempt(|socket| socket.write(bytes)).await
    }

    /// Calls `write` until it does not have to wait.
    async fn attempt(
        &self,
        write: impl Fn(&socket::Socket) -> io::Result<usize>,
    ) -> io::Result<usize> {
        loop {
            match write(&self.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.writable().await?,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => return other,
            }
        }
    }

    /// Waits until the connection accepts more bytes.
    ///
    /// # Errors
    ///
    /// The connection is closed.
    pub async fn writable(&self) -> io::Result<()> {
        self.socket.writable().await
    }

    /// Writes what the connection accepts without waiting, at most a record of
    /// [`RECORD_BYTES`]; `None` when it accepts nothing.
    ///
    /// # Errors
    ///
    /// The connection was reset or timed out.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<Option<usize>> {
        let filled = self.record.load(Ordering::Relaxed);
        let left = RECORD_BYTES - filled;
        let part = &bytes[..bytes.len().min(left)];
        let mut flags = SendFlags::NOSIGNAL;
        flags.set(SendFlags::EOR, part.len() == left);
        loop {
            match self.socket.send(part, flags) {
                Ok(written) => {
                    let filled = (filled + written) % RECORD_BYTES;
                    self.record.store(filled, Ordering::Relaxed);
                    return Ok(Some(written));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Ends the writing half: the peer reads an end once it has read the rest.
    pub fn finish(&self) {
        // An error says that the connection is gone already.
        let _ = self.socket.shut_down_writing();
    }

    /// Makes the closing of the connection a reset, so that the peer can take
    /// what it has for nothing but a broken answer. This also holds for the end
    /// of the process.
    ///
    /// # Errors
    ///
    /// The connection is already closed.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.socket.options().set_linger(Some(Duration::ZERO))
    }

    /// Takes back [`reset_on_close`](Self::reset_on_close).
    ///
    /// # Errors
    ///
    /// The connection is already closed.
    pub fn end_on_close(&self) -> io::Result<()> {
        self.socket.options().set_linger(None)
    }
}
