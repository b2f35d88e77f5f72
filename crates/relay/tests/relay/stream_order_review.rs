//! Ends of connections that do not stand for the end of an answer.

use std::time::Duration;

use eyre::{bail, ensure, eyre};
use futures_lite::FutureExt;
use smol::Timer;
use tidepier_h1::{Body, Conn, Framing};
use tidepier_relay::message::link;
use tidepier_relay::message::tunnel::{Answer, Outcome, Request};
use tidepier_relay::message::{PeerRequest, VERSION};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::Fault;
use tidepier_relay_standin::site::HOST;

use crate::harness::{run, Result};
use crate::partition_harness::Partitioned;

const TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than a box carries a connection without bytes.
const SILENCE: Duration = Duration::from_secs(18);
/// Largest head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Guards against an answer without a length that looks complete since the box that carries
/// its connection ends a tunnel whose server is silent.
#[test]
fn a_silent_server_behind_a_tunnel_has_not_ended_its_answer() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        let server = fleet
            .servers
            .iter()
            .find(|it| it.settings().events.is_some());
        let server = server.ok_or_else(|| eyre!("no server of streams"))?;
        server.fault(Fault::Unframed, u32::MAX);
        server.slow(40.0);
        let id = server.settings().id.to_string();
        let gateway = fleet.boxes[1].peer;
        let mut conn = Conn::open_from(Some(fleet.source(0)), gateway, TIMEOUT, TIMEOUT).await?;
        let request = Request {
            version: VERSION,
            sender: "box-0".parse()?,
            hall: "hall-1".parse()?,
            server: id.parse()?,
        };
        link::send(&conn, &PeerRequest::Tunnel(request)).await?;
        let answer: Answer = link::receive(&mut conn).await?;
        ensure!(answer.outcome == Outcome::Opened, "{answer:?}");
        conn.carry(gateway)?;
        let request = format!(
            "POST /u/x HTTP/1.1\r\nHost: {HOST}\r\n{}: silent\r\n{}: {id}\r\n{}: 60000\r\n\
             Content-Length: 0\r\n\r\n",
            names::ATTEMPT,
            names::TARGET,
            names::DEADLINE,
        );
        conn.writer().write_all(request.as_bytes()).await?;
        let head = conn.answer_head(HEAD_BYTES_MAX).await?;
        let framing = Framing::of_answer(&head, "POST")?;
        ensure!(framing == Framing::UntilClose, "{framing:?}");
        let (mut body, mut bytes) = (Body::new(framing), Vec::new());
        ensure!(body.read(&mut conn, &mut bytes).await?, "ended");
        server.slow(100_000.0);
        let ended = async {
            while body.read(&mut conn, &mut bytes).await? {}
            Result::Ok(true)
        };
        let silent = async {
            Timer::after(SILENCE).await;
            Ok(false)
        };
        // An error, or no end at all, is right.
        if ended.or(silent).await.unwrap_or(false) {
            bail!("looks complete: {:?}", String::from_utf8_lossy(&bytes));
        }
        Ok(())
    })
}
