//! How long requests have waited at a server without any answer.

use std::rc::Rc;

use eyre::eyre;
use tidepier_clock::Instant;
use tidepier_core::server::State;
use tidepier_relay::fleet::silence::Wait;
use tidepier_relay::fleet::{Backend, Plain};

use crate::choice_harness::{server, ChoiceHarness};
use crate::harness::{ms, Result};

fn backend() -> Result<(Rc<Backend>, Instant)> {
    let harness = ChoiceHarness::new("hall-1", [1])?;
    let id = server(1, State::Ready)?.id;
    let backend = harness.fleet.get(&id).ok_or_else(|| eyre!("no {id}"))?;
    Ok((backend, harness.start))
}

/// The time of the wait and for how long it has been over, in ms.
fn wait(backend: &Backend, now: Instant) -> Option<(u128, Option<u128>)> {
    let wait = backend.silence.wait(now);
    wait.map(|Wait { time, ended }| (time.as_millis(), ended.map(|it| it.as_millis())))
}

#[test]
fn requests_wait_from_the_first_that_is_sent_to_the_last_answer() -> Result {
    let (backend, start) = backend()?;
    assert_eq!(wait(&backend, start), None);
    let first = backend.run(0);
    assert_eq!(wait(&backend, start), None, "it is not sent yet");
    first.sent(None, start);
    let second = backend.run(0);
    second.sent(None, start + ms(40));
    assert_eq!(wait(&backend, start + ms(100)), Some((100, None)));
    first.answered(start + ms(120));
    assert_eq!(wait(&backend, start + ms(150)), Some((30, None)));
    second.answered(start + ms(160));
    assert_eq!(wait(&backend, start + ms(170)), None);
    assert_eq!(backend.silence.last_answered(), Some(start + ms(160)));
    Ok(())
}

#[test]
fn a_wait_without_an_answer_counts_for_five_seconds() -> Result {
    let (backend, start) = backend()?;
    let first = backend.run(0);
    first.sent(None, start);
    first.given_up(start + ms(100));
    assert_eq!(wait(&backend, start + ms(300)), Some((100, Some(200))));
    let second = backend.run(0);
    second.sent(None, start + ms(1_000));
    let ended = Some((100, Some(950)));
    assert_eq!(wait(&backend, start + ms(1_050)), ended, "the longer one");
    assert_eq!(wait(&backend, start + ms(1_150)), Some((150, None)));
    second.given_up(start + ms(1_200));
    assert_eq!(wait(&backend, start + ms(6_190)), Some((200, Some(4_990))));
    assert_eq!(wait(&backend, start + ms(6_210)), None);
    Ok(())
}

/// What is expected where waits of some milliseconds are long.
fn plain(wait_ms: u64) -> Option<Plain> {
    Some(Plain {
        wait_limit: ms(wait_ms),
        is_verified: true,
    })
}

/// Guards against a slow server that looks as though it stood still, and one that stood still and
/// looks sound as soon as it answers what has waited.
#[test]
fn only_answers_in_time_end_a_wait() -> Result {
    let (backend, start) = backend()?;
    let usual = plain(200);
    let first = backend.run(0);
    first.sent(usual, start);
    assert!(!backend.is_stalled(start + ms(199)));
    assert!(backend.is_stalled(start + ms(200)));
    first.answered(start + ms(800));
    assert!(backend.is_stalled(start + ms(900)), "the answer is late");
    let second = backend.run(0);
    second.sent(usual, start + ms(900));
    second.answered(start + ms(950));
    assert!(!backend.is_stalled(start + ms(1_000)));
    let third = backend.run(0);
    third.sent(plain(1_500), start + ms(1_000));
    assert!(
        !backend.is_stalled(start + ms(2_400)),
        "it is slow as usual"
    );
    Ok(())
}

/// Guards against a box that could not run and takes the time for a wait: the answers may
/// be there, unread.
#[test]
fn time_in_which_the_box_could_not_run_is_left_out() -> Result {
    let (backend, start) = backend()?;
    let request = backend.run(0);
    request.sent(None, start);
    let woken = start + ms(2_000);
    backend.silence.leave_out(ms(1_900), woken);
    assert_eq!(wait(&backend, woken), Some((100, None)));
    Ok(())
}
