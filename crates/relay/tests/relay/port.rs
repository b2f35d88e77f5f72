//! What the port on which boxes ask each other bears: half messages, many
//! connections, questions that are too long.

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
use crate::harness::{ms, run, server_settings, wait_until, Executor, Result};
use crate::impostors::closed;

/// Time after which bytes that nobody acknowledged end a connection.
const UNACKED: Duration = Duration::from_secs(30);

/// A question of a box that knows every configuration.
fn question(number: u64) -> PeerRequest {
    PeerRequest::Follow(Request {
        version: VERSION,
        number,
        document: u64::MAX,
        position: Position::default(),
        options: None,
    })
}

/// A site with a server, and one box.
async fn alone(executor: &Executor) -> Result<(Site, Server, Vec<TestBox>)> {
    let site = site_with_keys()?;
    let server = site.server(server_settings(1))?;
    let machines = start_boxes(executor, &site, 1).await?;
    Ok((site, server, machines))
}

#[test]
fn half_a_message_on_the_port_of_boxes_is_not_waited_for() -> Result {
    run(async |executor| {
        let (_site, _server, machines) = alone(&executor).await?;
        let open = || Conn::open(machines[0].peer, ms(500), UNACKED);
        let mut asker = open().await?;
        let start = Instant::now();
        let mut halves = Vec::new();
        for bytes in [&[0_u8, 0][..], &[0, 0, 0, 9, 0xa1]] {
            let conn = open().await?;
            conn.writer().write_all(bytes).await?;
            halves.push(conn);
        }
        for conn in &mut halves {
            ended(conn, responder::MESSAGE_TIMEOUT + ms(3_000)).await?;
        }
        ensure!(
            start.elapsed() >= responder::MESSAGE_TIMEOUT - ms(50),
            "{:?}",
            start.elapsed()
        );
        // One that rests between two messages is none of them.
        link::send(&asker, &question(1)).await?;
        let told: Answer = link::receive(&mut asker).await?;
        ensure!(told.number == 1, "{told:?}");
        Ok(())
    })
}

#[test]
fn the_port_of_boxes_takes_so_many_connections() -> Result {
    run(async |executor| {
        let (_site, _server, machines) = alone(&executor).await?;
        let open = || Conn::open(machines[0].peer, ms(500), UNACKED);
        let mut first = open().await?;
        link::send(&first, &question(1)).await?;
        let _told: Answer = link::receive(&mut first).await?;
        let mut others = Vec::new();
        for _ in 0..responder::CONNECTIONS_MAX {
            others.push(open().await?);
        }
        let mut over = others.pop().ok_or_else(|| eyre!("no connection"))?;
        ended(&mut over, ms(3_000)).await?;
        // Those within the bound go on, and an end makes room.
        link::send(&first, &question(2)).await?;
        let told: Answer = link::receive(&mut first).await?;
        ensure!(told.number == 2, "{told:?}");
        drop(others);
        wait_until("room", async || {
            let mut conn = open().await?;
            link::send(&conn, &question(3)).await?;
            Ok(link::receive::<Answer>(&mut conn).await.is_ok())
        })
        .await
    })
}

#[test]
fn a_question_on_the_port_of_boxes_is_no_larger_than_any() -> Result {
    run(async |executor| {
        let (_site, _server, machines) = alone(&executor).await?;
        let mut conn = Conn::open(machines[0].peer, ms(500), UNACKED).await?;
        let length = u32::try_from(responder::REQUEST_BYTES_MAX + 1)?;
        conn.writer().write_all(&length.to_be_bytes()).await?;
        closed(&mut conn).await
    })
}

/// Waits until the other side ends the connection.
async fn ended(conn: &mut Conn, limit: Duration) -> Result {
    let late = async {
        Timer::after(limit).await;
        Err(eyre!("still open after {limit:?}"))
    };
    let end = async {
        match conn.fill().await {
            Ok(0) => Ok(()),
            Ok(count) => Err(eyre!("{count} bytes in answer")),
            // A reset is an end.
            Err(_) => Ok(()),
        }
    };
    end.or(late).await
}
