//! Answering the boxes that ask this one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::{LocalExecutor, Timer};
use tidepier_h1::{Conn, Listener};

use crate::follow::Follower;
use crate::peer::crowd::Crowd;
use crate::peer::link::{self, Error};
use crate::peer::message::{Answer, Ask, VERSION};

/// An answer that a box does not take for so long ends the connection.
const UNACKED_TIME: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves boxes that ask; does not end.
pub async fn serve(
    listener: Listener,
    follower: Rc<Follower>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        match listener.accept(UNACKED_TIME).await {
            Ok(conn) => {
                let follower = follower.clone();
                let talk = async move {
                    if let Err(error) = converse(conn, &follower).await {
                        log::debug!(target: "peer", "event=asker_lost why=\"{error}\"");
                    }
                };
                executor.spawn(talk).detach();
            }
            Err(error) => {
                log::warn!(target: "peer", "event=accept_failed why=\"{error}\"");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(mut conn: Conn, follower: &Follower) -> Result<(), Error> {
    let crowd = follower.crowd();
    let member = Member {
        crowd,
        number: crowd.join(),
    };
    loop {
        let mut ask: Ask = link::receive(&mut conn).await?;
        if ask.version != VERSION {
            return Err(Error::Malformed(format!("version {}", ask.version)));
        }
        let running = std::mem::take(&mut ask.running);
        crowd.report(member.number, running, Instant::now());
        let (answer, document) = answer(follower, &ask, member.number);
        link::send(&conn, &answer).await?;
        if let Some(document) = document {
            link::send_bytes(&conn, &document).await?;
        }
    }
}

/// A box that asks; its report is forgotten when it no longer does.
struct Member<'a> {
    crowd: &'a Crowd,
    number: u64,
}

impl Drop for Member<'_> {
    fn drop(&mut self) {
        self.crowd.leave(self.number);
    }
}

/// The answer, and the configuration's entry that follows it.
fn answer(follower: &Follower, ask: &Ask, member: u64) -> (Answer, Option<Rc<[u8]>>) {
    let (revision, document) = follower.document_after(ask.document);
    let (servers, position) = follower.record().since(ask.position);
    let now = Instant::now();
    let answer = Answer {
        version: VERSION,
        number: ask.number,
        age_ms: follower.proven_age(now).map(as_ms),
        revision,
        document_bytes: document.as_ref().map(|bytes| bytes.len() as u32),
        servers,
        position,
        running: follower.running_beside(member, now),
    };
    (answer, document)
}

/// Rounded up, so that a proof never looks younger.
fn as_ms(age: Duration) -> u64 {
    age.as_millis() as u64 + 1
}
