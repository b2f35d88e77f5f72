//! Boxes that are partitioned from all servers, while clients, the store and the other
//! boxes reach them.

use tidepier_relay_standin::partition::Cut;

use crate::box_harness::Proxy;
use crate::harness::{ms, run, Result};
use crate::partition_harness::{tries_while_cut, Partitioned, BURST};

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
