//! Asking another box, after a start, which engines keep which parts.
//!
//! A box that was restarted knows nothing of where prompts are kept, and would
//! have them read anew. The others know; the first one that knows something is
//! asked once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol::Timer;
use tidepier_h1::Conn;

use super::ask::{ANSWER_TIME, CONNECT_TIME, UNACKED_TIME};
use super::link::{self, Error};
use super::message::{Question, VERSION};
use super::registry::{Member, Registry};
use crate::relay::Relay;
use crate::traffic::index::Kept;

/// Rounds in which the boxes are asked: all may have started together, and then
/// none of them knows anything.
const ROUNDS: u32 = 3;
/// Time between two rounds.
const ROUND_TIME: Duration = Duration::from_millis(400);
/// Boxes asked in one round.
const ASKED_MAX: usize = 4;
/// Longest time for a whole answer, which is 100 KB at the most: 0.1 s over the
/// weakest link.
const WHOLE_TIME: Duration = Duration::from_millis(600);

/// What a box asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// [`VERSION`] of the sender.
    pub version: u16,
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// [`VERSION`] of the sender.
    pub version: u16,
    /// What is known to be kept.
    pub kept: Vec<Kept>,
}

/// Asks other boxes until one knows something; boxes of this hall first.
pub async fn run(relay: Rc<Relay>, registry: Rc<Registry>) {
    while !registry.is_listed() {
        registry.changed.wait().await;
    }
    for _ in 0..ROUNDS {
        for member in candidates(&registry) {
            match ask(&member).await {
                Ok(kept) if kept.is_empty() => {}
                Ok(kept) => {
                    log::info!(
                        target: "peer",
                        "event=recalled box={} rows={}",
                        member.name,
                        kept.len()
                    );
                    relay.traffic.index.recall(&kept, Instant::now());
                    return;
                }
                Err(error) => log::info!(
                    target: "peer",
                    "event=recall_failed box={} why=\"{error}\"",
                    member.name
                ),
            }
        }
        Timer::after(ROUND_TIME).await;
    }
}

/// Other boxes by chance, those of this hall first: many may have started
/// together, and are not all to ask the same one.
fn candidates(registry: &Registry) -> Vec<Member> {
    let mut others = registry.others();
    fastrand::shuffle(&mut others);
    others.sort_by_key(|member| member.hall != registry.me.hall);
    others.truncate(ASKED_MAX);
    others
}

async fn ask(member: &Member) -> Result<Vec<Kept>, Error> {
    let conn = Conn::open(member.address, CONNECT_TIME, UNACKED_TIME).await;
    let mut conn = conn.map_err(Error::Io)?;
    link::send(&conn, &Question::Recall(Ask { version: VERSION })).await?;
    link::within(ANSWER_TIME, link::begin(&mut conn)).await?;
    let answer: Answer = link::within(WHOLE_TIME, link::receive(&mut conn)).await?;
    if answer.version != VERSION {
        return Err(Error::Malformed(format!("version {}", answer.version)));
    }
    Ok(answer.kept)
}
