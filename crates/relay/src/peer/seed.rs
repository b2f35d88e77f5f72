//! Bootstrap from seed boxes: requests to the boxes that the settings name, while this
//! box has just started and does not reach the store.
//!
//! A box that restarts while the store is down knows nothing, and if it is the only box
//! of its hall, no box of the hall can inform it. Boxes of other halls still know the
//! catalog, the servers and the age of that knowledge.
//!
//! Invariant: data learnt from a seed box is as old here as it is there, and this box
//! never confirms it to others as current.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use tidepier_clock::Instant;

use crate::follow::Follower;
use crate::message::follow::{Position, Request};
use crate::message::link::{self, Error};
use crate::message::VERSION;
use crate::peer::registry::Registry;
use crate::peer::upstream::{self, ANSWER_TIMEOUT};

/// Time between two checks whether the seed boxes are to be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Age of the process from which seed boxes are asked even though no call to the store
/// has failed yet: if the store is reachable, a starting box knows everything before
/// that.
const STORE_WAIT: Duration = Duration::from_secs(1);
/// Time between two rounds: all boxes name the same few seed boxes, so each box has to
/// ask them rarely.
const ROUND_INTERVAL: Duration = Duration::from_millis(800);

/// Asks the boxes at `seeds` in turn until this box has data from them or from elsewhere.
pub async fn run(follower: Rc<Follower>, registry: Rc<Registry>, mut seeds: Vec<SocketAddr>) {
    let started = Instant::now();
    while !follower.is_synced() {
        if !registry.has_failed() && started.elapsed() < STORE_WAIT {
            Timer::after(CHECK_INTERVAL).await;
            continue;
        }
        // Shuffled so that boxes that start together do not all ask the same seed box
        // first.
        fastrand::shuffle(&mut seeds);
        try_seeds(&follower, &seeds).await;
        Timer::after(ROUND_INTERVAL.mul_f64(0.5 + fastrand::f64() * 0.5)).await;
    }
}

/// Asks the seed boxes in turn until one of them sends data.
async fn try_seeds(follower: &Follower, seeds: &[SocketAddr]) {
    for seed in seeds {
        if follower.is_synced() {
            return;
        }
        match fetch(follower, *seed).await {
            Ok(()) => return,
            Err(error) => log::info!(
                target: "peer",
                "event=seed_failed address={seed} why=\"{error}\""
            ),
        }
    }
}

async fn fetch(follower: &Follower, seed: SocketAddr) -> Result<(), Error> {
    let mut conn = link::open(follower.relay().network, seed, ANSWER_TIMEOUT).await?;
    let request = Request {
        version: VERSION,
        number: 1,
        document: follower.revision().number(),
        position: Position::default(),
        options: None,
    };
    let sent_at = Instant::now();
    let answer = upstream::send_request(&mut conn, &request).await?;
    let document = upstream::receive_document(&mut conn, &answer).await?;
    if follower.is_synced() {
        return Ok(());
    }
    let (revision, known_ms) = (answer.revision, answer.known_ms);
    follower.apply_seed(answer, document, sent_at)?;
    log::info!(
        target: "peer",
        "event=seeded address={seed} revision={revision} known_ms={known_ms:?}"
    );
    Ok(())
}
