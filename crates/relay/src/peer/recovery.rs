//! Asking other boxes what was in force before the store went back to an older copy.
//!
//! A box that reads a store whose operator's entries may not be whole knows what it knew,
//! or nothing at all if it has just started. Other boxes may know more: a higher version,
//! a hall that was to be emptied, an order that was rolled back; or that the entries are
//! whole by now.
//!
//! Invariant: what is heard so is never taken for the store's word.

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

/// Time between two rounds.
const ROUND_TIME: Duration = Duration::from_millis(400);
/// Boxes of the own hall that are asked in a round, ...
const OWN_HALL: usize = 4;
/// ... and of each other hall.
const OTHER_HALL: usize = 2;

/// Asks others while this box reads a store whose operator's entries may not be whole;
/// does not end. `registry`: the boxes, if there are others; `seeds`: those that the
/// settings name.
pub async fn run(
    follower: Rc<Follower>,
    registry: Option<Rc<Registry>>,
    seeds: Vec<SocketAddr>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        follower.wait_until_unsettled().await;
        let others = others(registry.as_deref(), &seeds);
        let asked = others.into_iter().map(|address| {
            let follower = follower.clone();
            executor.spawn(async move {
                if let Err(error) = ask(&follower, address).await {
                    log::debug!(target: "peer", "event=memory_failed address={address} why=\"{error}\"");
                }
            })
        });
        let asked: Vec<_> = asked.collect();
        for answer in asked {
            answer.await;
        }
        follower.note_recall();
        Timer::after(ROUND_TIME).await;
    }
}

/// Whom to ask: some of each hall, others in each round.
fn others(registry: Option<&Registry>, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut others = seeds.to_vec();
    let Some(registry) = registry else {
        return others;
    };
    let halls = registry.other_halls().into_iter();
    let halls = halls.map(|hall| (hall, OTHER_HALL));
    for (hall, most) in halls.chain([(registry.me.hall.clone(), OWN_HALL)]) {
        let mut members = registry.members_of(&hall);
        members.retain(|member| member.name != registry.me.name);
        fastrand::shuffle(&mut members);
        others.extend(members.iter().take(most).map(|member| member.address));
    }
    others
}

async fn ask(follower: &Follower, address: SocketAddr) -> Result<(), Error> {
    let mut conn = link::open(address, CONNECT_TIMEOUT).await?;
    let ask = Request {
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
    let asked = Instant::now();
    let answer = upstream::ask_for(&mut conn, &ask).await?;
    let document = upstream::document(&mut conn, &answer).await?;
    follower.apply_recalled(&answer, document, asked);
    Ok(())
}
