//! Recovery of the state that was in force before the store was restored from an older
//! backup.
//!
//! While the operator entries in the store may be incomplete, a box knows only what it
//! knew before, or nothing at all if it has just started. Other boxes may know more: a
//! higher version of the configuration, an emptied hall, a rollout that was rolled back;
//! or that the entries are complete by now.
//!
//! Invariant: data from other boxes is never treated as data that the store confirmed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::{LocalExecutor, Timer};
use tidepier_clock::Instant;

use super::registry::Registry;
use super::upstream::{self, CONNECT_TIMEOUT};
use crate::follow::Follower;
use crate::message::follow::{Options, Position, Request};
use crate::message::link::{self, Error};
use crate::message::VERSION;

/// Time between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Boxes of the own hall that are asked in a round.
const OWN_HALL_MAX: usize = 4;
/// Boxes of each other hall that are asked in a round.
const OTHER_HALL_MAX: usize = 2;

/// Asks other boxes while this box reads a store whose operator entries may be
/// incomplete; never returns. `registry`: the known boxes, if there are others; `seeds`:
/// the seed boxes of the settings.
pub async fn run(
    follower: Rc<Follower>,
    registry: Option<Rc<Registry>>,
    seeds: Vec<SocketAddr>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        follower.wait_until_unsettled().await;
        let others = others(registry.as_deref(), &seeds);
        let requests = others.into_iter().map(|address| {
            let follower = follower.clone();
            executor.spawn(async move {
                if let Err(error) = fetch(&follower, address).await {
                    log::debug!(target: "peer", "event=memory_failed address={address} why=\"{error}\"");
                }
            })
        });
        let requests: Vec<_> = requests.collect();
        for request in requests {
            request.await;
        }
        follower.note_recall();
        Timer::after(ROUND_INTERVAL).await;
    }
}

/// Addresses to ask: a random choice from each hall, which changes with each round.
fn others(registry: Option<&Registry>, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut others = seeds.to_vec();
    let Some(registry) = registry else {
        return others;
    };
    let halls = registry.other_halls().into_iter();
    let halls = halls.map(|hall| (hall, OTHER_HALL_MAX));
    for (hall, most) in halls.chain([(registry.me.hall.clone(), OWN_HALL_MAX)]) {
        let mut members = registry.members_of(&hall);
        members.retain(|member| member.name != registry.me.name);
        fastrand::shuffle(&mut members);
        others.extend(members.iter().take(most).map(|member| member.address));
    }
    others
}

async fn fetch(follower: &Follower, address: SocketAddr) -> Result<(), Error> {
    let mut conn = link::open(follower.relay().network, address, CONNECT_TIMEOUT).await?;
    let request = Request {
        version: VERSION,
        number: 1,
        document: follower.revision().number(),
        position: Position::default(),
        options: Some(Options {
            in_force: Some(follower.relay().view.version().0),
            operator_only: true,
            ..Options::default()
        }),
    };
    let sent_at = Instant::now();
    let answer = upstream::send_request(&mut conn, &request).await?;
    let document = upstream::receive_document(&mut conn, &answer).await?;
    follower.apply_recalled(&answer, document, sent_at);
    Ok(())
}
