//! Tests of what each impairment does to the bytes that a proxy forwards.

use std::io;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use tidepier_soak::proxy::{Direction, Impairment, Proxy};

/// Time in which blocked bytes must not arrive.
const BLOCKED_TIME: Duration = Duration::from_millis(150);
/// Time-out for what has to arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);

/// A proxy to a peer that sends back what it receives, and reports each piece.
struct Echo {
    proxy: Proxy,
    received: smol::channel::Receiver<Vec<u8>>,
    _task: Task<io::Result<()>>,
}

impl Echo {
    async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let proxy = Proxy::open(listener.local_addr()?)?;
        let (pieces, received) = smol::channel::unbounded();
        let _task = smol::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await?;
                let mut bytes = [0; 64];
                while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                    pieces.send(bytes[..count].to_vec()).await.expect("told");
                    stream.write_all(&bytes[..count]).await?;
                }
            }
        });
        Ok(Self {
            proxy,
            received,
            _task,
        })
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        TcpStream::connect(self.proxy.address()).await
    }
}

/// Reads what arrives within a time; `None` if nothing does.
async fn read(stream: &mut TcpStream, time: Duration) -> Option<io::Result<usize>> {
    let mut bytes = [0; 64];
    let read = async { Some(stream.read(&mut bytes).await) };
    let over = async {
        Timer::after(time).await;
        None
    };
    read.or(over).await
}

#[test]
fn a_delay_applies_to_each_direction() -> io::Result<()> {
    smol::block_on(async {
        let echo = Echo::start().await?;
        let mut stream = echo.connect().await?;
        echo.proxy.impair(Impairment::Delay(BLOCKED_TIME));
        let start = Instant::now();
        stream.write_all(b"ask").await?;
        assert_eq!(
            read(&mut stream, ARRIVAL_TIMEOUT).await.expect("answer")?,
            3
        );
        assert!(start.elapsed() >= 2 * BLOCKED_TIME);
        Ok(())
    })
}

#[test]
fn a_reset_ends_open_and_new_connections_until_cleared() -> io::Result<()> {
    smol::block_on(async {
        let echo = Echo::start().await?;
        let mut stream = echo.connect().await?;
        stream.write_all(b"ask").await?;
        assert_eq!(
            read(&mut stream, ARRIVAL_TIMEOUT).await.expect("answer")?,
            3
        );
        echo.proxy.impair(Impairment::Reset);
        let ended = read(&mut stream, ARRIVAL_TIMEOUT).await.expect("an end");
        assert_eq!(ended.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
        // The reset may arrive before the connection is established.
        let refused = match echo.connect().await {
            Ok(mut stream) => read(&mut stream, ARRIVAL_TIMEOUT).await.expect("an end"),
            Err(error) => Err(error),
        };
        assert_eq!(refused.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
        echo.proxy.clear(Impairment::Reset);
        let mut stream = echo.connect().await?;
        stream.write_all(b"ask").await?;
        assert_eq!(
            read(&mut stream, ARRIVAL_TIMEOUT).await.expect("answer")?,
            3
        );
        Ok(())
    })
}

#[test]
fn a_cut_blocks_one_direction() -> io::Result<()> {
    smol::block_on(async {
        for (direction, arrives) in [(Direction::There, false), (Direction::Back, true)] {
            let echo = Echo::start().await?;
            let mut stream = echo.connect().await?;
            echo.proxy.impair(Impairment::Cut(direction));
            stream.write_all(b"ask").await?;
            if arrives {
                assert_eq!(echo.received.recv().await.expect("piece"), b"ask");
            }
            assert!(read(&mut stream, BLOCKED_TIME).await.is_none());
            assert!(echo.received.is_empty());
            echo.proxy.clear(Impairment::Cut(direction));
            assert_eq!(
                read(&mut stream, ARRIVAL_TIMEOUT).await.expect("answer")?,
                3
            );
        }
        Ok(())
    })
}

#[test]
fn silence_blocks_both_directions_until_all_are_cleared() -> io::Result<()> {
    smol::block_on(async {
        let echo = Echo::start().await?;
        let mut stream = echo.connect().await?;
        echo.proxy.impair(Impairment::Silence);
        echo.proxy.impair(Impairment::Silence);
        stream.write_all(b"ask").await?;
        echo.proxy.clear(Impairment::Silence);
        assert!(read(&mut stream, BLOCKED_TIME).await.is_none());
        assert!(echo.received.is_empty());
        echo.proxy.clear(Impairment::Silence);
        assert_eq!(
            read(&mut stream, ARRIVAL_TIMEOUT).await.expect("answer")?,
            3
        );
        Ok(())
    })
}

/// Guards against servers that have ended and whose connections stay open, as the proxy
/// holds them.
#[test]
fn a_closed_proxy_ends_open_connections_and_refuses_new_ones() -> io::Result<()> {
    smol::block_on(async {
        let echo = Echo::start().await?;
        let mut stream = echo.connect().await?;
        stream.write_all(b"ask").await?;
        assert_eq!(
            read(&mut stream, ARRIVAL_TIMEOUT).await.expect("answer")?,
            3
        );
        echo.proxy.close();
        let ended = read(&mut stream, ARRIVAL_TIMEOUT).await.expect("an end");
        assert!(ended.is_ok_and(|count| count == 0));
        let until = Instant::now() + ARRIVAL_TIMEOUT;
        while echo.connect().await.is_ok() {
            assert!(Instant::now() < until, "still accepts connections");
            Timer::after(Duration::from_millis(10)).await;
        }
        Ok(())
    })
}
