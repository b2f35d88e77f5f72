//! Clients that each send some bytes and then stay, whatever they are answered.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use smol::{Async, Task, Timer};
use tidepier_relay_standin::names;
use tidepier_relay_standin::site::HOST;

use crate::harness::Result;

/// Time without room for more bytes after which a client stops sending: the process has
/// stopped reading.
const STUCK: Duration = Duration::from_secs(2);
/// Bytes that a client writes at once.
const WRITE_BYTES: usize = 64 << 10;

/// Clients whose connections stay open until the crowd is dropped.
pub(crate) struct Crowd(Vec<Async<TcpStream>>);

impl Crowd {
    /// Connects `count` clients.
    pub(crate) async fn connect(address: SocketAddr, count: usize) -> Result<Self> {
        let mut clients = Vec::new();
        for _ in 0..count {
            clients.push(Async::<TcpStream>::connect(address).await?);
        }
        Ok(Self(clients))
    }

    /// All clients send at once what `bytes` returns for their index; completes when each has
    /// sent all of it, was cut off, or is stuck.
    pub(crate) async fn send(&mut self, bytes: impl Fn(usize) -> Vec<u8>) {
        let clients = std::mem::take(&mut self.0).into_iter().enumerate();
        let sending = clients.map(|(index, client)| {
            let bytes = bytes(index);
            smol::spawn(async move {
                write(&client, &bytes).await;
                client
            })
        });
        let sending: Vec<Task<_>> = sending.collect();
        for task in sending {
            self.0.push(task.await);
        }
    }
}

async fn write(mut client: &Async<TcpStream>, bytes: &[u8]) {
    for part in bytes.chunks(WRITE_BYTES) {
        let written = async { client.write_all(part).await.is_ok() };
        let stuck = async {
            Timer::after(STUCK).await;
            false
        };
        if !written.or(stuck).await {
            return;
        }
        yield_now().await;
    }
}

/// A head of a `POST` request; `framing` is the field that gives the end of its body.
pub(crate) fn head(target: &str, index: usize, framing: &str) -> Vec<u8> {
    let fields = format!("Host: {HOST}\r\n{}: c-{index}", names::ATTEMPT);
    let deadline = format!("{}: 120000", names::DEADLINE);
    format!("POST {target} HTTP/1.1\r\n{fields}\r\n{deadline}\r\n{framing}\r\n\r\n").into_bytes()
}

/// The framing field of a chunked body.
pub(crate) const CHUNKED: &str = "Transfer-Encoding: chunked";

/// The framing field of a body with a length.
pub(crate) fn length(bytes: usize) -> String {
    format!("Content-Length: {bytes}")
}

/// `count` chunks of `size` bytes each, whose size is followed by `extension`.
pub(crate) fn chunks(count: usize, size: usize, extension: &str) -> Vec<u8> {
    let mut chunk = format!("{size:x}{extension}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'c');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(count)
}
