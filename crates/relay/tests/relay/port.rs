//! Limits of the port that serves requests of other boxes: incomplete messages, many
//! connections, oversized requests.

use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use futures_lite::FutureExt;
use smol::Timer;
use tidepier_h1::Conn;
use tidepier_relay::message::follow::{Answer, Position, Request};
use tidepier_relay::message::{link, PeerRequest, VERSION};
use tidepier_relay::peer::responder;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::Server;

use crate::box_harness::{site_with_keys, start_boxes, TestBox};
use crate::faulty_readers::wait_until_closed;
use crate::harness::{ms, run, server_settings, wait_until, Executor, Result};

/// Time-out for unacknowledged data.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(30);

/// A request of a box that knows every configuration.
fn request(number: u64) -> PeerRequest {
    PeerRequest::Follow(Request {
        version: VERSION,
        number,
        document: u64::MAX,
        position: Position::default(),
        options: None,
    })
}

/// A site with a server, and one box.
async fn start_one_box(executor: &Executor) -> Result<(Site, Server, Vec<TestBox>)> {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let boxes = start_boxes(executor, &site, 1).await?;
    Ok((site, server, boxes))
}

#[test]
fn incomplete_requests_of_boxes_time_out() -> Result {
    run(async |executor| {
        let (_site, _server, boxes) = start_one_box(&executor).await?;
        let open = || Conn::open(boxes[0].peer, ms(500), UNACKED_TIMEOUT);
        let mut conn_of_box = open().await?;
        let start = Instant::now();
        let mut halves = Vec::new();
        for bytes in [&[0_u8, 0][..], &[0, 0, 0, 9, 0xa1]] {
            let conn = open().await?;
            conn.writer().write_all(bytes).await?;
            halves.push(conn);
        }
        for conn in &mut halves {
            wait_for_end(conn, responder::MESSAGE_TIMEOUT + ms(3_000)).await?;
        }
        ensure!(
            start.elapsed() >= responder::MESSAGE_TIMEOUT - ms(50),
            "{:?}",
            start.elapsed()
        );
        // A connection that is idle between two messages stays open.
        link::send(&conn_of_box, &request(1)).await?;
        let answer: Answer = link::receive(&mut conn_of_box).await?;
        ensure!(answer.number == 1, "{answer:?}");
        Ok(())
    })
}

#[test]
fn connections_of_boxes_are_limited() -> Result {
    run(async |executor| {
        let (_site, _server, boxes) = start_one_box(&executor).await?;
        let open = || Conn::open(boxes[0].peer, ms(500), UNACKED_TIMEOUT);
        let mut first = open().await?;
        link::send(&first, &request(1)).await?;
        let _answer: Answer = link::receive(&mut first).await?;
        let mut others = Vec::new();
        for _ in 0..responder::CONNECTIONS_MAX {
            others.push(open().await?);
        }
        let mut surplus = others.pop().ok_or_else(|| eyre!("no connection"))?;
        wait_for_end(&mut surplus, ms(3_000)).await?;
        // Connections within the limit stay open, and closing some makes room for others.
        link::send(&first, &request(2)).await?;
        let answer: Answer = link::receive(&mut first).await?;
        ensure!(answer.number == 2, "{answer:?}");
        drop(others);
        wait_until("room", async || {
            let mut conn = open().await?;
            link::send(&conn, &request(3)).await?;
            Ok(link::receive::<Answer>(&mut conn).await.is_ok())
        })
        .await
    })
}

#[test]
fn oversized_requests_of_boxes_are_refused() -> Result {
    run(async |executor| {
        let (_site, _server, boxes) = start_one_box(&executor).await?;
        let mut conn = Conn::open(boxes[0].peer, ms(500), UNACKED_TIMEOUT).await?;
        let length = u32::try_from(responder::REQUEST_BYTES_MAX + 1)?;
        conn.writer().write_all(&length.to_be_bytes()).await?;
        wait_until_closed(&mut conn).await
    })
}

/// Waits until the other side closes the connection.
async fn wait_for_end(conn: &mut Conn, limit: Duration) -> Result {
    let late = async {
        Timer::after(limit).await;
        Err(eyre!("still open after {limit:?}"))
    };
    let end = async {
        match conn.fill().await {
            Ok(0) => Ok(()),
            Ok(count) => Err(eyre!("{count} bytes in answer")),
            // A reset closes it too.
            Err(_) => Ok(()),
        }
    };
    end.or(late).await
}
