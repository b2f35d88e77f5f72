//! Asking other boxes which engines keep which parts.

use std::time::Duration;

use smol::{LocalExecutor, Task};
use tidepier_clock::Instant;

use crate::message::link::{self, Error};
use crate::message::recall::{Answer, Request};
use crate::message::{PeerRequest, VERSION};
use crate::peer::registry::{Member, Registry};
use crate::peer::upstream::{ANSWER_TIMEOUT, CONNECT_TIMEOUT};
use crate::relay::Relay;
use crate::traffic::Progress;

/// Boxes of this hall that are asked beside its first one.
const NEIGHBOURS: usize = 2;
/// Longest time for a whole answer, which is 70 KB at the most: 0.06 s over the
/// weakest link, and a hub answers its whole hall.
const WHOLE_TIME: Duration = Duration::from_millis(600);

/// Asks some boxes at once and takes over what they know; returns whether this
/// box now knows all that there is to know.
pub(super) async fn ask(
    relay: &Relay,
    registry: &Registry,
    executor: &LocalExecutor<'static>,
) -> bool {
    let asked = asked(registry);
    let tasks: Vec<(Member, Task<_>)> = asked
        .into_iter()
        .map(|member| (member.clone(), executor.spawn(ask_one(member))))
        .collect();
    let mut answers = Vec::new();
    for (member, task) in tasks {
        match task.await {
            Ok(answer) => {
                relay.traffic.index.recall(&answer.kept, Instant::now());
                answers.push((member, answer.progress));
            }
            Err(error) => log::info!(
                target: "peer",
                "event=recall_failed box={} why=\"{error}\"",
                member.name
            ),
        }
    }
    answers
        .iter()
        .any(|(_, progress)| *progress == Progress::Done)
        || all_listed(relay, registry, &answers)
}

/// Whether the first box of each hall that answered, and this one if it is the
/// first of its own, know what the engines there keep.
fn all_listed(relay: &Relay, registry: &Registry, answers: &[(Member, Progress)]) -> bool {
    let is_first = |member: &Member| registry.members_of(&member.hall).first() == Some(member);
    let mut firsts = answers.iter().filter(|(member, _)| is_first(member));
    let own = !relay.traffic.is_hub() || relay.traffic.progress() == Progress::Listed;
    own && !answers.is_empty() && firsts.all(|(_, progress)| *progress >= Progress::Listed)
}

/// The first box of each hall, and some more of this one: which of them are up
/// is not known.
fn asked(registry: &Registry) -> Vec<Member> {
    let first_of = |hall| registry.members_of(hall).into_iter().next();
    let far = registry.other_halls();
    let firsts = far.iter().filter_map(first_of);
    let mut near = registry.members_of(&registry.me.hall);
    near.retain(|member| member.name != registry.me.name);
    if near.len() > 1 {
        fastrand::shuffle(&mut near[1..]);
    }
    near.truncate(1 + NEIGHBOURS);
    near.into_iter().chain(firsts).collect()
}

async fn ask_one(member: Member) -> Result<Answer, Error> {
    let mut conn = link::open(member.address, CONNECT_TIMEOUT).await?;
    link::send(&conn, &PeerRequest::Recall(Request { version: VERSION })).await?;
    link::within(ANSWER_TIMEOUT, link::wait_for_length(&mut conn)).await?;
    let answer: Answer = link::within(WHOLE_TIME, link::receive(&mut conn)).await?;
    if answer.version != VERSION {
        return Err(Error::Malformed(format!("version {}", answer.version)));
    }
    Ok(answer)
}
