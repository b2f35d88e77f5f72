//! What a box knows of the last answers of servers, and what it passes on.

use std::time::Duration;

use tidepier_admission::verify::SERVERS_MAX;
use tidepier_clock::Instant;
use tidepier_relay::fleet::lives::{aged, Life, Lives, Scope, Sent};
use tidepier_relay::fleet::Key;

use crate::choice_harness::id;
use crate::harness::{ms, Result};

fn key(number: usize) -> Result<Key> {
    Ok(Key::new(&id(&format!("i-{number}"))?))
}

fn life(number: usize, age: Duration) -> Result<Life> {
    let server = key(number)?;
    Ok(Life { server, age })
}

/// Guards against an answer that comes back to a box by others and looks newer than it is.
#[test]
fn only_own_and_reported_answers_are_reported_on() -> Result {
    let (lives, now) = (Lives::default(), Instant::now());
    lives.record(key(1)?, now);
    lives.record_reported(&[life(2, ms(100))?], now);
    lives.set_told_of_hall(&[life(3, ms(100))?], now);
    lives.set_told_elsewhere(&[life(4, ms(100))?], now);
    let servers = |scope| -> Result<Vec<Key>> {
        let updates = lives.updates(&mut Sent::default(), scope, now);
        let mut servers: Vec<Key> = updates.into_iter().flatten().map(|it| it.server).collect();
        servers.sort();
        Ok(servers)
    };
    let keys = |numbers: &[usize]| -> Result<Vec<Key>> {
        let mut keys = numbers
            .iter()
            .map(|it| key(*it))
            .collect::<Result<Vec<Key>>>()?;
        keys.sort();
        Ok(keys)
    };
    assert_eq!(servers(Scope::Reported)?, keys(&[1, 2])?);
    assert_eq!(servers(Scope::Hall)?, keys(&[1, 2, 3])?);
    assert_eq!(servers(Scope::Elsewhere)?, keys(&[4])?);
    assert!(lives.last(key(4)?).is_some() && lives.last_in_hall(key(4)?).is_none());
    Ok(())
}

/// Guards against an answer that looks newer than it is since its message took long, or
/// since an older one came after it.
#[test]
fn the_age_of_an_answer_includes_the_way() -> Result {
    let (lives, now) = (Lives::default(), Instant::now());
    lives.set_told_of_hall(&aged(vec![life(1, ms(100))?], ms(300)), now);
    let age = |lives: &Lives| -> Result<Option<Duration>> {
        let last = lives.last(key(1)?);
        Ok(last.map(|at| now.saturating_duration_since(at)))
    };
    assert_eq!(age(&lives)?, Some(ms(400)));
    lives.set_told_of_hall(&[life(1, ms(900))?], now);
    assert_eq!(age(&lives)?, Some(ms(400)));
    Ok(())
}

/// Guards against reports that grow with every answer, or repeat what is known.
#[test]
fn an_answer_is_passed_on_once() -> Result {
    let (lives, now, mut sent) = (Lives::default(), Instant::now(), Sent::default());
    lives.record(key(1)?, now);
    let mut count = |now| {
        lives
            .updates(&mut sent, Scope::Reported, now)
            .map(|it| it.len())
    };
    assert_eq!(count(now), Some(1));
    assert_eq!(count(now), Some(0));
    lives.record(key(1)?, now + ms(1));
    assert_eq!(count(now + ms(1)), Some(1));
    Ok(())
}

/// Guards against a box that asks before each request since the box that it reports to, of a
/// former release or with too many servers, tells no answers.
#[test]
fn answers_are_not_required_of_a_box_that_is_told_none() -> Result {
    let (lives, now) = (Lives::default(), Instant::now());
    assert!(lives.is_used(now), "it hears of no other box");
    lives.hear(false, now);
    assert!(!lives.is_used(now));
    assert!(lives.is_used(now + ms(1_600)), "it hears of none any more");
    lives.hear(true, now);
    assert!(lives.is_used(now));
    for number in 0..=SERVERS_MAX {
        lives.record(key(number)?, now);
    }
    assert_eq!(lives.updates(&mut Sent::default(), Scope::Hall, now), None);
    Ok(())
}
