//! Asks other boxes which engines cache which prompt parts.

use std::time::Duration;

use smol::{LocalExecutor, Task};
use tidepier_clock::Instant;

use crate::message::link::{self, Error};
use crate::message::recall::{Answer, Request};
use crate::message::{PeerRequest, VERSION};
use crate::network::Network;
use crate::peer::registry::{Member, Registry};
use crate::peer::upstream::{ANSWER_TIMEOUT, CONNECT_TIMEOUT};
use crate::relay::Relay;
use crate::traffic::Progress;

/// Boxes of this hall that are asked beside its first one.
const NEIGHBOURS: usize = 2;
/// Time-out for a whole answer. The largest has 70 KB, which takes 0.06 s over the slowest
/// link, but a hub answers all boxes of its hall.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(600);

/// Sends requests to some boxes concurrently and merges their answers. Returns whether this
/// box now knows everything that can be learned.
pub(super) async fn ask(
    relay: &Relay,
    registry: &Registry,
    executor: &LocalExecutor<'static>,
) -> bool {
    let members = members_to_ask(registry);
    let tasks: Vec<(Member, Task<_>)> = members
        .into_iter()
        .map(|member| {
            (
                member.clone(),
                executor.spawn(ask_one(relay.network, member)),
            )
        })
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
        || all_have_lists(relay, registry, &answers)
}

/// Whether the first box of each hall that answered, and this box if it is the first of its
/// own hall, have the lists of the engines there.
fn all_have_lists(relay: &Relay, registry: &Registry, answers: &[(Member, Progress)]) -> bool {
    let is_first = |member: &Member| registry.members_of(&member.hall).first() == Some(member);
    let mut firsts = answers.iter().filter(|(member, _)| is_first(member));
    let own_hall = !relay.traffic.is_hub() || relay.traffic.progress() == Progress::Listed;
    own_hall && !answers.is_empty() && firsts.all(|(_, progress)| *progress >= Progress::Listed)
}

/// The first box of each hall, and some more of this hall, as it is not known which boxes
/// are up.
fn members_to_ask(registry: &Registry) -> Vec<Member> {
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

async fn ask_one(network: Network, member: Member) -> Result<Answer, Error> {
    let mut conn = link::open(network, member.address, CONNECT_TIMEOUT).await?;
    link::send(&conn, &PeerRequest::Recall(Request { version: VERSION })).await?;
    link::within(ANSWER_TIMEOUT, link::wait_for_length(&mut conn)).await?;
    let answer: Answer = link::within(RECEIVE_TIMEOUT, link::receive(&mut conn)).await?;
    if answer.version != VERSION {
        return Err(Error::Malformed(format!("version {}", answer.version)));
    }
    Ok(answer)
}
