//! What each harm does to what goes over a way.

use std::io;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use tidepier_soak::way::{Direction, Harm, Way};

/// Time in which nothing that is held back arrives.
const HELD: Duration = Duration::from_millis(150);
/// Longest wait for what has to arrive.
const PATIENCE: Duration = Duration::from_secs(10);

/// A way to a peer that sends back what it gets, and tells each piece.
struct Echo {
    way: Way,
    got: smol::channel::Receiver<Vec<u8>>,
    _task: Task<io::Result<()>>,
}

impl Echo {
    async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let way = Way::open(listener.local_addr()?)?;
        let (told, got) = smol::channel::unbounded();
        let _task = smol::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await?;
                let mut bytes = [0; 64];
                while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                    told.send(bytes[..count].to_vec()).await.expect("told");
                    stream.write_all(&bytes[..count]).await?;
                }
            }
        });
        Ok(Self { way, got, _task })
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        TcpStream::connect(self.way.address()).await
    }
}

/// What comes within a time; `None` if nothing does.
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
fn a_delay_is_kept_each_way() -> io::Result<()> {
    smol::block_on(async {
        let echo = Echo::start().await?;
        let mut stream = echo.connect().await?;
        echo.way.harm(Harm::Delay(HELD));
        let start = Instant::now();
        stream.write_all(b"ask").await?;
        assert_eq!(read(&mut stream, PATIENCE).await.expect("answer")?, 3);
        assert!(start.elapsed() >= 2 * HELD);
        Ok(())
    })
}

#[test]
fn a_reset_ends_connections_and_new_ones_until_it_is_over() -> io::Result<()> {
    smol::block_on(async {
        let echo = Echo::start().await?;
        let mut stream = echo.connect().await?;
        stream.write_all(b"ask").await?;
        assert_eq!(read(&mut stream, PATIENCE).await.expect("answer")?, 3);
        echo.way.harm(Harm::Reset);
        let ended = read(&mut stream, PATIENCE).await.expect("an end");
        assert_eq!(ended.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
        // The reset may come before the connection is known to be up.
        let refused = match echo.connect().await {
            Ok(mut stream) => read(&mut stream, PATIENCE).await.expect("an end"),
            Err(error) => Err(error),
        };
        assert_eq!(refused.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
        echo.way.mend(Harm::Reset);
        let mut stream = echo.connect().await?;
        stream.write_all(b"ask").await?;
        assert_eq!(read(&mut stream, PATIENCE).await.expect("answer")?, 3);
        Ok(())
    })
}

#[test]
fn a_cut_holds_one_direction_back() -> io::Result<()> {
    smol::block_on(async {
        for (direction, arrives) in [(Direction::There, false), (Direction::Back, true)] {
            let echo = Echo::start().await?;
            let mut stream = echo.connect().await?;
            echo.way.harm(Harm::Cut(direction));
            stream.write_all(b"ask").await?;
            if arrives {
                assert_eq!(echo.got.recv().await.expect("piece"), b"ask");
            }
            assert!(read(&mut stream, HELD).await.is_none());
            assert!(echo.got.is_empty());
            echo.way.mend(Harm::Cut(direction));
            assert_eq!(read(&mut stream, PATIENCE).await.expect("answer")?, 3);
        }
        Ok(())
    })
}

#[test]
fn silence_holds_all_back_until_the_last_harm_is_over() -> io::Result<()> {
    smol::block_on(async {
        let echo = Echo::start().await?;
        let mut stream = echo.connect().await?;
        echo.way.harm(Harm::Silence);
        echo.way.harm(Harm::Silence);
        stream.write_all(b"ask").await?;
        echo.way.mend(Harm::Silence);
        assert!(read(&mut stream, HELD).await.is_none());
        assert!(echo.got.is_empty());
        echo.way.mend(Harm::Silence);
        assert_eq!(read(&mut stream, PATIENCE).await.expect("answer")?, 3);
        Ok(())
    })
}
