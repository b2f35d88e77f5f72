//! Asking any box that the settings name, while this one has just started and
//! does not reach the store.
//!
//! A box that was killed while the store is down knows nothing, and where it is
//! the only one of its hall nobody can tell it. Boxes of other halls still know
//! the catalog, the servers and how old that knowledge is.
//!
//! Invariant: what was learnt so is as old here as it is there, and this box
//! vouches to nobody for it.

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

/// Time between two checks whether others are to be asked.
const LOOK_TIME: Duration = Duration::from_millis(50);
/// Age of a process from which others are asked though no call to the store
/// has failed yet: where the store answers, a box that starts knows all before.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time between two rounds: few boxes are named to all, so that each is asked
/// seldom.
const ROUND_TIME: Duration = Duration::from_millis(800);

/// Asks the boxes at `seeds` in turn until this one is informed otherwise.
pub async fn run(follower: Rc<Follower>, registry: Rc<Registry>, mut seeds: Vec<SocketAddr>) {
    let started = Instant::now();
    while !follower.is_synced() {
        if !registry.has_failed() && started.elapsed() < PATIENCE {
            Timer::after(LOOK_TIME).await;
            continue;
        }
        // Boxes that start together do not all ask the same one first.
        fastrand::shuffle(&mut seeds);
        round(&follower, &seeds).await;
        Timer::after(ROUND_TIME.mul_f64(0.5 + fastrand::f64() * 0.5)).await;
    }
}

/// Asks boxes until one knows something.
async fn round(follower: &Follower, seeds: &[SocketAddr]) {
    for seed in seeds {
        if follower.is_synced() {
            return;
        }
        match ask(follower, *seed).await {
            Ok(()) => return,
            Err(error) => log::info!(
                target: "peer",
                "event=seed_failed address={seed} why=\"{error}\""
            ),
        }
    }
}

async fn ask(follower: &Follower, seed: SocketAddr) -> Result<(), Error> {
    let mut conn = link::open(seed, ANSWER_TIMEOUT).await?;
    let ask = Request {
        version: VERSION,
        number: 1,
        document: follower.revision().number(),
        position: Position::default(),
        options: None,
    };
    let asked = Instant::now();
    let answer = upstream::ask_for(&mut conn, &ask).await?;
    let document = upstream::document(&mut conn, &answer).await?;
    if follower.is_synced() {
        return Ok(());
    }
    let (revision, known_ms) = (answer.revision, answer.known_ms);
    follower.apply_seed(answer, document, asked)?;
    log::info!(
        target: "peer",
        "event=seeded address={seed} revision={revision} known_ms={known_ms:?}"
    );
    Ok(())
}
