//! Tests of the guarantees of placement: one test for each.

use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_config::document::{Load, Policy, Priority};
use tidepier_errors::Kind;
use tidepier_ids as ids;
use tidepier_placement::{by_rendezvous, choose, Ask, Candidate, Ended, Pool, Ticket, Verdict};

pub(crate) const ENGINES: usize = 6;

pub(crate) fn engine(index: usize) -> ids::Engine {
    format!("engine-{index}").parse().unwrap()
}

pub(crate) fn ask(number: u64, account: &str, prefix: u64) -> Ask {
    Ask {
        ticket: Ticket {
            from: "box-1".parse().unwrap(),
            number,
        },
        account: account.parse().unwrap(),
        share: 1,
        priority: Priority::Normal,
        prefix: ids::Prefix(prefix),
        chat: ids::Chat(prefix as u32),
        returning: false,
        prefer: None,
        avoid: Vec::new(),
        patience: Duration::from_secs(60),
    }
}

pub(crate) fn load() -> Load {
    Load {
        multiple: 1.25,
        floor: 1,
        slots: 8,
        queue: 50,
        ..Load::default()
    }
}

fn engines(count: usize) -> Vec<(ids::Engine, bool)> {
    (0..count).map(|index| (engine(index), true)).collect()
}

pub(crate) fn pool_of(load: Load, count: usize) -> (Pool, Instant) {
    let now = Instant::now();
    let mut pool = Pool::new(load.clone(), now);
    pool.configure(load, &engines(count));
    (pool, now)
}

#[test]
fn a_returning_chat_is_granted_the_same_engine() {
    let (mut pool, now) = pool_of(load(), ENGINES);
    let mut first = None;
    for number in 0..20 {
        let Verdict::Granted(grant) = pool.ask(ask(number, "a", 42), now) else {
            panic!("room for one");
        };
        assert_eq!(*first.get_or_insert(grant.engine.clone()), grant.engine);
        pool.release(grant.slot, Ended::Served, now);
    }
}

#[test]
fn a_displaced_chat_returns_to_the_engine_that_served_it() {
    let (mut pool, now) = pool_of(load(), ENGINES);
    // The chats share a prefix and so have the same first engine, which has room
    // for the first of them only.
    let chat = |number: u64, returning: bool| Ask {
        chat: ids::Chat(number as u32),
        returning,
        ..ask(number, "a", 42)
    };
    let mut places = Vec::new();
    for number in 0..6 {
        let Verdict::Granted(grant) = pool.ask(chat(number, false), now) else {
            panic!("room for six");
        };
        places.push(grant);
    }
    for grant in &places {
        pool.release(grant.slot, Ended::Served, now);
    }
    for (number, before) in places.iter().enumerate() {
        let Verdict::Granted(grant) = pool.ask(chat(number as u64, true), now) else {
            panic!("room for one");
        };
        assert_eq!(grant.engine, before.engine);
        pool.release(grant.slot, Ended::Served, now);
    }
}

#[test]
fn a_late_report_is_not_taken_for_foreign_load() {
    let (mut pool, now) = pool_of(load(), 2);
    let mut held = Vec::new();
    for number in 0..6 {
        if let Verdict::Granted(grant) = pool.ask(ask(number, "a", 42), now) {
            held.push(grant);
        }
    }
    let name = held[0].engine.clone();
    let open = pool.engines()[&name].open;
    for grant in held {
        pool.release(grant.slot, Ended::Served, now);
    }
    pool.report(&name, open);
    assert_eq!(
        pool.engines()[&name].foreign,
        0,
        "it ran these a moment ago"
    );
    pool.report(&name, open + 3);
    assert_eq!(
        pool.engines()[&name].foreign,
        3,
        "three more than ever were open"
    );
    pool.report(&name, 2);
    pool.report(&name, 2);
    assert_eq!(
        pool.engines()[&name].foreign,
        2,
        "still running long after the last grant"
    );
}

#[test]
fn removing_an_engine_moves_only_its_own_chats() {
    let names = || (0..10).map(engine);
    for key in 0..1000 {
        let all = by_rendezvous(key, names());
        let fewer = by_rendezvous(key, names().filter(|name| *name != engine(3)));
        if all[0] != engine(3) {
            assert_eq!(all[0], fewer[0]);
        }
    }
}

#[test]
fn a_quiet_account_is_served_before_one_that_has_its_share() {
    let (mut pool, now) = pool_of(load(), 2);
    let mut held = Vec::new();
    for number in 0..40 {
        if let Verdict::Granted(grant) = pool.ask(ask(number, "loud", number), now) {
            held.push(grant);
        }
    }
    let quiet = ask(100, "quiet", 7);
    assert_eq!(pool.ask(quiet.clone(), now), Verdict::Waits);
    let verdicts = pool.release(held[0].slot, Ended::Served, now);
    assert_eq!(
        verdicts[0].0, quiet.ticket,
        "the next place goes to the quiet account"
    );
}

#[test]
fn a_quiet_account_finds_room_at_once_beside_one_that_takes_all() {
    let (mut pool, now) = pool_of(load(), 2);
    let place = |pool: &mut Pool, number, account| pool.ask(ask(number, account, number), now);
    let Verdict::Granted(first) = place(&mut pool, 0, "quiet") else {
        panic!("the pool is empty");
    };
    pool.release(first.slot, Ended::Served, now);
    for number in 1..40 {
        place(&mut pool, number, "loud");
    }
    assert!(pool.waiting() > 0, "the loud account waits");
    let found = place(&mut pool, 100, "quiet");
    assert!(matches!(found, Verdict::Granted(_)), "{found:?}");
}

#[test]
fn one_account_alone_takes_the_whole_pool() {
    let (mut pool, now) = pool_of(load(), 2);
    let granted = (0..20).filter(|number| {
        matches!(
            pool.ask(ask(*number, "alone", *number), now),
            Verdict::Granted(_)
        )
    });
    assert_eq!(granted.count(), 16);
}

#[test]
fn failures_of_an_ejected_engine_do_not_extend_its_ejection() {
    let (mut pool, now) = pool_of(load(), 2);
    pool.fail(&engine(0), now);
    let until = pool.engines()[&engine(0)].ejected.unwrap();
    for second in 1..30 {
        pool.fail(&engine(0), now + Duration::from_secs(second));
    }
    assert_eq!(pool.engines()[&engine(0)].ejected, Some(until));
    pool.recover(&engine(0), now + Duration::from_secs(30));
    assert_eq!(pool.engines()[&engine(0)].ejected, None);
}

#[test]
fn without_a_usable_engine_a_request_waits_only_briefly() {
    let (mut pool, now) = pool_of(load(), 1);
    pool.fail(&engine(0), now);
    assert_eq!(pool.ask(ask(1, "a", 1), now), Verdict::Waits);
    let told = pool.tick(now + Duration::from_secs(3));
    let [(_, Verdict::Refused(fault))] = told.as_slice() else {
        panic!("{told:?}");
    };
    assert_eq!(fault.kind, Kind::NoEngine);
    assert!(fault.retry_seconds().is_some());
}

#[test]
fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let mut small = load();
    small.queue = 2;
    let (mut pool, now) = pool_of(small, 1);
    let mut refusals = Vec::new();
    for number in 0..20 {
        if let Verdict::Refused(fault) = pool.ask(ask(number, "loud", number), now) {
            refusals.push(fault);
        }
    }
    assert_eq!(refusals.len(), 20 - 8 - 2);
    for fault in &refusals {
        assert_eq!(fault.kind, Kind::Quota);
        assert!(fault.retry_seconds().is_some());
    }
    let waits: Vec<_> = refusals.iter().map(|fault| fault.retry_after).collect();
    assert!(
        waits.windows(2).any(|pair| pair[0] != pair[1]),
        "spread: {waits:?}"
    );
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let (mut pool, now) = pool_of(load(), 1);
    for number in 0..8 {
        pool.ask(ask(number, "a", number), now);
    }
    let mut hurried = ask(9, "a", 9);
    hurried.patience = Duration::from_millis(1);
    let Verdict::Refused(fault) = pool.ask(hurried, now) else {
        panic!("it cannot be served in a millisecond");
    };
    assert_eq!(fault.kind, Kind::Busy);
}

#[test]
fn a_low_priority_is_not_refused_if_the_queue_empties_in_time() {
    let (mut pool, now) = pool_of(load(), 1);
    for number in 0..40 {
        let mut first = ask(number, "person", number);
        first.priority = Priority::Interactive;
        first.share = 4;
        pool.ask(first, now);
    }
    // 32 requests wait and 8 are served per second, so the queue is empty after
    // 4 s. By its share of the pool, a 64th, the batch request would wait 9 s.
    let mut batch = ask(100, "batch", 7);
    batch.priority = Priority::Batch;
    batch.patience = Duration::from_secs(6);
    assert_eq!(pool.ask(batch, now), Verdict::Waits);
}

#[test]
fn a_flapping_engine_is_ejected_for_longer_each_time() {
    let (mut pool, mut now) = pool_of(load(), 2);
    let mut spans = Vec::new();
    for _ in 0..4 {
        pool.fail(&engine(0), now);
        let until = pool.engines()[&engine(0)].ejected.expect("ejected");
        spans.push(until - now);
        now = until;
        pool.recover(&engine(0), now);
    }
    assert!(spans.windows(2).all(|pair| pair[1] > pair[0]), "{spans:?}");
}

#[test]
fn nothing_is_granted_before_a_takeover_has_ended() {
    let now = Instant::now();
    let ready = now + Duration::from_secs(1);
    let mut pool = Pool::new(load(), ready);
    pool.configure(load(), &engines(2));
    assert_eq!(pool.ask(ask(1, "a", 1), now), Verdict::Waits);
    assert!(pool.tick(now).is_empty());
    assert_eq!(pool.tick(ready).len(), 1);
}

#[test]
fn whoever_waits_before_a_pool_that_ends_is_told() {
    let (mut pool, now) = pool_of(load(), 1);
    let mut waiting = Vec::new();
    for number in 0..12 {
        let ask = ask(number, "a", number);
        let ticket = ask.ticket.clone();
        if pool.ask(ask, now) == Verdict::Waits {
            waiting.push(ticket);
        }
    }
    assert_eq!(waiting.len(), 4);
    let told = pool.dissolve();
    assert_eq!(told.len(), 4);
    for (ticket, verdict) in told {
        assert!(waiting.contains(&ticket));
        assert!(matches!(verdict, Verdict::Refused(fault) if fault.kind == Kind::Peer));
    }
}

#[test]
fn waiting_requests_of_a_box_presumed_dead_are_refused() {
    let gone: ids::Box = "box-1".parse().unwrap();
    for reconnected in [false, true] {
        let (mut pool, now) = pool_of(load(), 1);
        let mut waiting = Vec::new();
        for number in 0..12 {
            let ask = ask(number, "a", number);
            let ticket = ask.ticket.clone();
            if pool.ask(ask, now) == Verdict::Waits {
                waiting.push(ticket);
            }
        }
        assert_eq!(waiting.len(), 4);
        let told = if reconnected {
            let kept = pool.slots(&gone);
            pool.retain(&gone, &kept, now)
        } else {
            pool.forsake(&gone)
        };
        assert_eq!(pool.waiting(), 0);
        assert_eq!(pool.open(), 8, "what runs is not touched");
        assert_eq!(told.len(), 4);
        for (ticket, verdict) in told {
            assert!(waiting.contains(&ticket));
            assert!(matches!(verdict, Verdict::Refused(fault) if fault.kind == Kind::Peer));
        }
    }
}

#[test]
fn adopted_places_count_towards_the_bound() {
    let (mut pool, now) = pool_of(load(), 2);
    for number in 0..8 {
        pool.adopt(&ask(number, "a", 0), &engine(0), now);
    }
    for number in 10..14 {
        let Verdict::Granted(grant) = pool.ask(ask(number, "a", number), now) else {
            panic!("the other engine has room");
        };
        assert_eq!(grant.engine, engine(1));
    }
}

#[test]
fn baselines_choose_as_their_names_say() {
    let among: Vec<_> = (0..4)
        .map(|index| Candidate {
            engine: engine(index),
            open: [3, 1, 2, 1][index],
        })
        .collect();
    let prefix = ids::Prefix(9);
    for _ in 0..50 {
        let least = choose(Policy::LeastLoaded, prefix, &among).unwrap();
        assert!(least == engine(1) || least == engine(3));
        let hashed = choose(Policy::Hash, prefix, &among);
        assert_eq!(hashed, choose(Policy::Hash, prefix, &among));
        assert!(choose(Policy::Random, prefix, &among).is_some());
    }
    assert_eq!(choose(Policy::Hash, prefix, &[]), None);
    assert_eq!(choose(Policy::Tidepier, prefix, &among), None);
}
