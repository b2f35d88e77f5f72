//! Asking the box of this hall that reads the store.
//!
//! Each question is answered at once; the time between questions bounds how
//! late a change is known here. A box that does not answer, or that cannot
//! confirm that what it knows is current, is passed over for a while.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_h1::Conn;
use tidepier_ids as ids;

use crate::follow::{Follower, SCOUTS};
use crate::message::follow::{Answer, Ask, Position};
use crate::message::link::{self, Error};
use crate::message::{Question, VERSION};
use crate::peer::registry::{Member, Registry};

/// Time between two questions.
const ASK_TIME: Duration = Duration::from_millis(400);
/// Longest time to connect: some hundred round trips within a hall. A box that
/// has just started waits so long for one before it that has not; until then it
/// knows nothing to serve by.
pub(crate) const CONNECT_TIME: Duration = Duration::from_millis(120);
/// Longest time until an answer begins: short enough for two boxes to be tried
/// within the bounds.
pub(crate) const ANSWER_TIME: Duration = Duration::from_millis(350);
/// Longest time for an answer that has begun to be whole. One with all of 3,000
/// servers is 0.4 MB: 0.3 s over the weakest link, and 1.2 s for a reader of
/// 200 Mbit/s that 75 boxes of its hall ask at once. Beginning anew would only
/// add to that.
const WHOLE_TIME: Duration = Duration::from_millis(2_000);
/// Longest time for a whole configuration to follow an answer: one of 250 KB
/// takes 0.2 s over the weakest link, and a reader sends it to its whole hall.
const DOCUMENT_TIME: Duration = Duration::from_millis(1_500);
/// Time that a box is passed over after it failed.
pub(super) const PASS_OVER_TIME: Duration = Duration::from_secs(3);
/// The same for a box that answers but cannot confirm that what it knows is
/// current, while this box has just started: the others may have, too, and need
/// a moment.
pub(super) const UNSURE_TIME: Duration = Duration::from_millis(400);
/// How long a box counts as just started.
const START_TIME: Duration = Duration::from_secs(5);

/// Asks whoever comes first in this hall; does not end.
pub async fn run(follower: Rc<Follower>, registry: Rc<Registry>) {
    let mut passed_over: HashMap<ids::Box, Instant> = HashMap::new();
    let started = Instant::now();
    loop {
        if !registry.is_listed() {
            registry.changed.wait().await;
            continue;
        }
        let now = Instant::now();
        passed_over.retain(|_, until| now < *until);
        let before = registry.before_me();
        follower.set_boxes_before(before.len());
        // While the store is unreachable nobody knows what is current; the
        // first boxes are asked often, as one of them finds first that it is
        // back.
        let unreachable = follower.store_is_unreachable();
        let most = match unreachable {
            true => SCOUTS as usize,
            false => before.len(),
        };
        let mut asked = before.iter().take(most);
        let first = asked.find(|member| !passed_over.contains_key(&member.name));
        let Some(first) = first else {
            follower.read_self("nobody_before", true);
            let changed = async { registry.changed.wait().await };
            changed.or(pause(ASK_TIME)).await;
            continue;
        };
        let Err(error) = follow(&follower, first).await;
        log::info!(
            target: "peer",
            "event=reader_lost box={} why=\"{error}\"",
            first.name
        );
        let time = pass_over_time(&error, unreachable, started);
        passed_over.insert(first.name.clone(), Instant::now() + time);
    }
}

/// How long a box is passed over that failed with `error`, at a box that
/// started at `started`.
fn pass_over_time(error: &Error, unreachable: bool, started: Instant) -> Duration {
    match error {
        _ if unreachable => UNSURE_TIME,
        Error::Unsure if started.elapsed() < START_TIME => UNSURE_TIME,
        _ => PASS_OVER_TIME,
    }
}

async fn pause(time: Duration) {
    Timer::after(time).await;
}

/// Asks one box until it fails.
async fn follow(follower: &Follower, member: &Member) -> Result<std::convert::Infallible, Error> {
    let mut conn = link::open(member.address, CONNECT_TIME).await?;
    let mut position = Position::default();
    let mut number = 0;
    loop {
        number += 1;
        let ask = Ask {
            version: VERSION,
            number,
            document: follower.revision().0,
            position,
        };
        let asked = Instant::now();
        let mut answer = ask_for(&mut conn, &ask).await?;
        // The configuration that follows may take a second or more, and with it
        // a server that leaves would get requests past its time.
        follower.hear_servers(&mut answer)?;
        let document = document(&mut conn, &answer).await?;
        position = answer.position;
        if number == 1 {
            log::info!(
                target: "peer",
                "event=reader box={} revision={} age_ms={:?}",
                member.name,
                answer.revision,
                answer.age_ms
            );
        }
        follower.take_answer(answer, document, asked)?;
        follower.read_self("reader", false);
        Timer::after(ASK_TIME).await;
    }
}

/// Asks, and waits for the answer.
pub(super) async fn ask_for(conn: &mut Conn, ask: &Ask) -> Result<Answer, Error> {
    link::send(conn, &Question::Follow(ask.clone())).await?;
    link::within(ANSWER_TIME, link::begin(conn)).await?;
    let answer: Answer = link::within(WHOLE_TIME, link::receive(conn)).await?;
    if answer.version != VERSION || answer.number != ask.number {
        let why = format!("version {}, number {}", answer.version, answer.number);
        return Err(Error::Malformed(why));
    }
    Ok(answer)
}

/// The configuration's entry that follows an answer, if one does.
pub(super) async fn document(conn: &mut Conn, answer: &Answer) -> Result<Option<Vec<u8>>, Error> {
    let Some(count) = answer.document_bytes else {
        return Ok(None);
    };
    let bytes = link::receive_bytes(conn, count as usize);
    link::within(DOCUMENT_TIME, bytes).await.map(Some)
}
