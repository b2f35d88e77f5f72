//! What the listening stand-ins share: accepting connections, reading bodies and encoding
//! answers.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use smol::{Async, Task};
use tidepier_h1::{Body, Conn, Framing, Head};

use crate::partition::Partitions;

/// Time after which unacknowledged data ends a connection; far more than loopback ever
/// needs.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest head that a stand-in reads, in bytes: four times what sites allow.
pub(crate) const HEAD_BYTES_MAX: usize = 64 << 10;

/// A loopback address with a port that the system picks.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Serves connections at `address` until the returned task is dropped, which closes the
/// port and all connections.
pub(crate) fn listen<S, F>(
    address: SocketAddr,
    partitions: Arc<Partitions>,
    serve: S,
) -> io::Result<(SocketAddr, Task<()>)>
where
    S: Fn(Conn) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let listener = Arc::new(Async::<TcpListener>::bind(address)?);
    let bound = listener.get_ref().local_addr()?;
    partitions.listen(listener.clone());
    let accept = move || {
        let listener = listener.clone();
        async move {
            let (stream, sender) = listener.accept().await?;
            Ok::<_, io::Error>((Conn::over(stream, UNACKED_TIMEOUT)?, sender.ip()))
        }
    };
    let task = smol::spawn(async move {
        let mut open: Vec<Task<()>> = Vec::new();
        loop {
            open.retain(|task| !task.is_finished());
            match accept().await {
                Ok((conn, sender)) => {
                    partitions.accepted(sender, conn.weak_socket());
                    open.push(smol::spawn(serve(conn)));
                }
                Err(error) => log::warn!("no connection accepted at {bound}: {error}"),
            }
        }
    });
    Ok((bound, task))
}

/// Reads the body that follows the head of a request.
pub(crate) async fn body(conn: &mut Conn, head: &Head) -> io::Result<Vec<u8>> {
    let framing = Framing::of_request(head).map_err(io::Error::other)?;
    let mut body = Body::new(framing);
    let mut out = Vec::new();
    while body.read(conn, &mut out).await? {}
    Ok(out)
}

/// Encodes the head of an answer, without the empty line that ends it.
pub(crate) fn head(status: u16, fields: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}

/// Encodes a complete answer with a content length.
pub(crate) fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let head = head(status, fields);
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
