//! Boxes that are partitioned from all servers, while clients, the store and the other
//! boxes reach them.

use eyre::ensure;
use smol::Timer;
use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::Server;

use crate::box_harness::{wait_until_ready, Proxy, TestBox};
use crate::harness::{ms, run, Result};
use crate::partition_harness::{tries_while_cut, Partitioned, BURST, CONTACT_TIME};

// Guards against a box that refuses all requests while only its own network to the servers
// is partitioned; here that of all boxes of a hall.
#[test]
fn a_hall_partitioned_from_all_servers_serves_its_clients() -> Result {
    run(|executor| async move {
        let halls = ["hall-1", "hall-1", "hall-2"];
        let (_fleet, tries) =
            tries_while_cut(&executor, &halls, &[0, 1], Cut::Silent, true).await?;
        tries.iter().try_for_each(|tries| tries.ensure_served())
    })
}

// The same where open connections are reset.
#[test]
fn a_box_whose_connections_to_all_servers_are_reset_serves_its_clients() -> Result {
    run(|executor| async move {
        let halls = ["hall-1", "hall-1", "hall-2"];
        let (_fleet, tries) = tries_while_cut(&executor, &halls, &[1], Cut::Reset, true).await?;
        tries.iter().try_for_each(|tries| tries.ensure_served())
    })
}

// The same where open connections live on; they are idle for too long to be used.
#[test]
fn a_box_that_can_open_no_connections_to_servers_serves_its_clients() -> Result {
    run(|executor| async move {
        let halls = ["hall-1", "hall-2", "hall-2"];
        let (_fleet, tries) = tries_while_cut(&executor, &halls, &[2], Cut::New, false).await?;
        tries.iter().try_for_each(|tries| tries.ensure_served())
    })
}

// The same where new connections are refused at once while open ones live on.
#[test]
fn a_box_whose_new_connections_are_refused_serves_its_clients() -> Result {
    run(|executor| async move {
        let (fleet, proxies) = Partitioned::start_with_proxies(&executor).await?;
        fleet.send("before", ms(400), 1).await?;
        proxies.iter().for_each(Proxy::refuse);
        let tries = fleet.send("after", ms(1_500), BURST).await?;
        tries.iter().try_for_each(|tries| tries.ensure_served())
    })
}

// Guards against a box that learns of other ways only by losing its own: here it never had any.
#[test]
fn a_box_that_starts_behind_a_partition_serves_its_clients() -> Result {
    run(|executor| async move {
        let mut fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        let started = TestBox::start(&executor, &fleet.site, "box-9", "hall-1", 1_000).await?;
        // None of its tasks has run yet.
        fleet.boxes.push(started);
        fleet.cut(&[2], Cut::Silent)?;
        wait_until_ready(&fleet.boxes).await?;
        let tries = fleet.send("after", ms(1_500), 1).await?;
        tries.iter().try_for_each(|tries| tries.ensure_served())
    })
}

// The same if all boxes of its hall are partitioned.
#[test]
fn a_box_that_starts_in_a_partitioned_hall_serves_its_clients() -> Result {
    run(|executor| async move {
        let mut fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        let started = TestBox::start(&executor, &fleet.site, "box-9", "hall-1", 1_000).await?;
        fleet.boxes.push(started);
        fleet.cut(&[0, 2], Cut::Silent)?;
        wait_until_ready(&fleet.boxes).await?;
        Timer::after(CONTACT_TIME).await;
        let tries = fleet.send("after", ms(1_500), 1).await?;
        tries.iter().try_for_each(|tries| tries.ensure_served())
    })
}

// Guards against contents that are refused everywhere as three servers seemed to crash under
// them, while the box that ran them was cut off.
#[test]
fn a_partition_that_refuses_connections_is_no_crash_of_servers() -> Result {
    run(|executor| async move {
        let (fleet, proxies) = Partitioned::start_with_proxies(&executor).await?;
        fleet.servers.iter().for_each(|server| server.slow(200.0));
        let running = fleet.send_to(0, "running", ms(300), 4);
        Timer::after(ms(400)).await;
        proxies.iter().for_each(Proxy::vanish);
        fleet.servers.iter().for_each(Server::heal);
        running.await;
        let suspected = fleet.boxes[0].router.relay().crashes.table.len();
        ensure!(suspected == 0, "{suspected} contents suspected");
        fleet.send_to(0, "after", ms(500), 1).await.ensure_served()
    })
}

// Guards against crashes that are not noticed as other boxes are asked about them.
#[test]
fn a_server_that_refuses_all_boxes_has_crashed() -> Result {
    run(|executor| async move {
        let fleet = Partitioned::start(&executor, &["hall-1", "hall-2"]).await?;
        fleet.servers.iter().for_each(|server| server.slow(200.0));
        let running = fleet.send_to(0, "running", ms(300), 4);
        Timer::after(ms(400)).await;
        fleet.servers[2].crash();
        running.await;
        let suspected = fleet.boxes[0].router.relay().crashes.table.len();
        ensure!(suspected > 0, "no crash was noticed");
        Ok(())
    })
}
