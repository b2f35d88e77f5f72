//! Where the parts of prompts are placed: what boxes agree on without talking,
//! and which server a box picks for one request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_core::answer::Load;
use tidepier_core::request::{Part, Prompt};
use tidepier_core::server::{Server, State};
use tidepier_ids as ids;
use tidepier_relay::choose::{self, Ask, Choice};
use tidepier_relay::fleet::Count;
use tidepier_relay::fleet::{Backend, Fleet, Running};
use tidepier_relay::health::Outcome;
use tidepier_relay::places::{Memory, Places};

use crate::house::{ms, run, Result, SERVICE};

/// Subjects of a test: many against the servers, so that each comes first for
/// some.
const SUBJECTS: u64 = 200;
/// Tokens of a subject that is kept once for all halls.
const LARGE: u32 = 3_000;
/// Tokens of a subject that is kept in each hall.
const SMALL: u32 = 900;
/// Connections that a box may open to one server.
const CONNECTIONS: u32 = 1_000;
/// Servers that may read one subject while nobody has much to do.
const KEEPERS_MAX: usize = 2;
/// Age of a router from which a server that it hears of counts as new.
const SETTLED: Duration = Duration::from_millis(8_100);

fn id<T: std::str::FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| eyre!("no id: {text}"))
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

/// Server `number`; two halls by turns.
fn server(number: u16, state: State) -> Result<Server> {
    Ok(Server {
        id: id(&format!("i-{number}"))?,
        service: id(SERVICE)?,
        address: address(number),
        hall: id(&format!("hall-{}", number % 2 + 1))?,
        slots: 16,
        state,
        cold: Duration::ZERO,
    })
}

/// One box with what it knows.
struct Desk {
    fleet: Fleet,
    memory: Memory,
    hall: ids::Hall,
    service: ids::Service,
}

impl Desk {
    /// A box in a hall that heard of these servers in this order.
    fn new(hall: &str, numbers: impl IntoIterator<Item = u16>) -> Result<Self> {
        let desk = Self {
            fleet: Fleet::default(),
            memory: Memory::default(),
            hall: id(hall)?,
            service: id(SERVICE)?,
        };
        for number in numbers {
            desk.fleet.announce(server(number, State::Ready)?);
        }
        Ok(desk)
    }

    fn places<'a>(&self, prompt: &'a Prompt) -> Places<'a> {
        self.places_after(prompt, &[])
    }

    /// The same after the prompt was sent to some servers in vain.
    fn places_after<'a>(&self, prompt: &'a Prompt, tried: &[ids::Server]) -> Places<'a> {
        let now = Instant::now();
        Places::new(
            &self.fleet,
            &self.service,
            prompt,
            &self.hall,
            &self.memory,
            tried,
            now,
        )
    }

    /// The address from which a server is to copy a prompt.
    fn source(&self, prompt: &Prompt, server: &ids::Server) -> Option<SocketAddr> {
        let places = self.places(prompt);
        let source = places.source(server);
        source.map(|source| source.server.address)
    }

    /// The server that comes first for a prompt.
    fn first(&self, prompt: &Prompt) -> Result<ids::Server> {
        self.ranked(prompt, 0)
    }

    fn ranked(&self, prompt: &Prompt, rank: usize) -> Result<ids::Server> {
        let places = self.places(prompt);
        let mut ids = self.fleet.ids().into_iter();
        let found = ids.find(|id| places.rank(id) == Some(rank));
        found.ok_or_else(|| eyre!("no server of rank {rank}"))
    }

    fn backend(&self, id: &ids::Server) -> Result<Rc<Backend>> {
        self.fleet.get(id).ok_or_else(|| eyre!("no server {id}"))
    }

    fn drain(&self, id: &ids::Server) -> Result {
        let backend = self.backend(id)?;
        let state = State::Draining;
        self.fleet.announce(Server {
            state,
            ..backend.server.clone()
        });
        Ok(())
    }

    fn choose(&self, prompt: Option<&Prompt>, tried: &[ids::Server]) -> Result<Choice> {
        let ask = Ask {
            prompt,
            copy_ms: Some(0.004),
            tried,
            hall: &self.hall,
            connections: CONNECTIONS,
        };
        let chosen = choose::choose(
            &self.fleet,
            &self.service,
            &ask,
            &self.memory,
            Instant::now(),
        );
        chosen.ok_or_else(|| eyre!("no server chosen"))
    }

    /// Chooses a server and remembers that it got the prompt.
    fn send(&self, prompt: &Prompt) -> Result<Rc<Backend>> {
        let chosen = self.choose(Some(prompt), &[])?.backend;
        self.memory.sent(prompt, &chosen.server.id, Instant::now());
        Ok(chosen)
    }

    /// Lets a server have so many requests of this box.
    fn load(&self, id: &ids::Server, count: usize) -> Result<Vec<Running>> {
        let backend = self.backend(id)?;
        Ok((0..count).map(|_| backend.run(0)).collect())
    }
}

/// A prompt about a subject, with a question of its own.
fn prompt(subject: u64, tokens: u32) -> Prompt {
    let own = Part {
        id: 1_000_000 + subject,
        tokens: 80,
    };
    let shared = Part {
        id: subject,
        tokens,
    };
    Prompt {
        input: tokens + own.tokens,
        output: 100,
        hint: None,
        parts: vec![shared, own],
    }
}

#[test]
fn boxes_agree_on_who_comes_first() -> Result {
    let here = Desk::new("hall-1", 0..12)?;
    let backwards = Desk::new("hall-1", (0..12).rev())?;
    let far = Desk::new("hall-2", 0..12)?;
    let mut firsts: HashMap<ids::Server, usize> = HashMap::new();
    for subject in 0..SUBJECTS {
        let prompt = prompt(subject, LARGE);
        let first = here.first(&prompt)?;
        ensure!(first == backwards.first(&prompt)?, "subject {subject}");
        ensure!(first == far.first(&prompt)?, "subject {subject}");
        let second = here.ranked(&prompt, 1)?;
        ensure!(second == far.ranked(&prompt, 1)?, "subject {subject}");
        *firsts.entry(first).or_default() += 1;
    }
    ensure!(
        firsts.len() == 12,
        "some come first for nothing: {firsts:?}"
    );
    // Twice the mean is far from what an even spread gives.
    let most = firsts.values().max().copied().unwrap_or(0);
    ensure!(most < 2 * SUBJECTS as usize / 12 + 8, "{firsts:?}");
    Ok(())
}

#[test]
fn the_question_does_not_move_a_subject() -> Result {
    let desk = Desk::new("hall-1", 0..12)?;
    for subject in 0..20 {
        let first = desk.first(&prompt(subject, LARGE))?;
        for number in 0..10 {
            let mut other = prompt(subject, LARGE);
            other.parts[1].id = 5_000_000 + number;
            ensure!(desk.first(&other)? == first, "subject {subject}");
        }
    }
    Ok(())
}

#[test]
fn a_subject_moves_only_when_its_server_leaves() -> Result {
    let desk = Desk::new("hall-1", 0..12)?;
    let prompts: Vec<Prompt> = (0..SUBJECTS).map(|n| prompt(n, LARGE)).collect();
    let firsts = |desk: &Desk| -> Result<Vec<ids::Server>> {
        prompts.iter().map(|prompt| desk.first(prompt)).collect()
    };
    let seconds: Result<Vec<ids::Server>> = prompts
        .iter()
        .map(|prompt| desk.ranked(prompt, 1))
        .collect();
    let (before, seconds) = (firsts(&desk)?, seconds?);
    let leaver: ids::Server = id("i-5")?;
    desk.drain(&leaver)?;
    let after = firsts(&desk)?;
    for ((before, second), after) in before.iter().zip(&seconds).zip(&after) {
        let expected = if *before == leaver { second } else { before };
        ensure!(after == expected, "{before} to {after}");
    }
    desk.fleet.remove(&leaver);
    ensure!(firsts(&desk)? == after, "moved when the entry went");
    // One that joins takes what it comes first for, and nothing else moves.
    desk.fleet.announce(server(20, State::Ready)?);
    let joiner: ids::Server = id("i-20")?;
    let joined = firsts(&desk)?;
    let moved = after.iter().zip(&joined).filter(|(a, b)| a != b);
    let to: HashSet<&ids::Server> = moved.map(|(_, to)| to).collect();
    ensure!(to == HashSet::from([&joiner]), "{to:?}");
    Ok(())
}

#[test]
fn a_small_subject_is_kept_in_each_hall() -> Result {
    let here = Desk::new("hall-1", 0..12)?;
    let there = Desk::new("hall-2", 0..12)?;
    for subject in 0..SUBJECTS {
        let prompt = prompt(subject, SMALL);
        for desk in [&here, &there] {
            let first = desk.first(&prompt)?;
            ensure!(desk.backend(&first)?.server.hall == desk.hall, "{first}");
            let second = desk.ranked(&prompt, 1)?;
            ensure!(desk.backend(&second)?.server.hall == desk.hall, "{second}");
        }
    }
    // A hall without servers uses the others'.
    let empty = Desk::new("hall-3", 0..12)?;
    let prompt = prompt(1, SMALL);
    let first = empty.first(&prompt)?;
    ensure!(
        first == here.first(&prompt)? || first == there.first(&prompt)?,
        "{first}"
    );
    // So does one whose servers all leave.
    for number in (0..12).filter(|number| number % 2 == 0) {
        here.drain(&id(&format!("i-{number}"))?)?;
    }
    ensure!(here.first(&prompt)? == there.first(&prompt)?, "left alone");
    Ok(())
}

#[test]
fn a_leaving_server_gives_copies_to_its_heir() -> Result {
    let desk = Desk::new("hall-1", 0..12)?;
    for subject in 0..40 {
        let prompt = prompt(subject, LARGE);
        let first = desk.first(&prompt)?;
        if !desk.backend(&first)?.serves() || desk.fleet.serving(&desk.service).len() < 4 {
            continue;
        }
        let heir = desk.ranked(&prompt, 1)?;
        let from = desk.backend(&first)?.server.address;
        // The first one reads by itself what nobody else is likely to have.
        ensure!(desk.source(&prompt, &first).is_none(), "{first}");
        ensure!(desk.source(&prompt, &heir) == Some(from), "{heir}");
        desk.drain(&first)?;
        ensure!(desk.first(&prompt)? == heir, "{heir} is no heir");
        ensure!(desk.source(&prompt, &heir) == Some(from), "{heir}");
        desk.fleet.remove(&first);
        ensure!(
            desk.source(&prompt, &heir) != Some(from),
            "a copy from the gone"
        );
        desk.fleet
            .announce(server(100 + subject as u16, State::Ready)?);
    }
    Ok(())
}

#[test]
fn a_new_server_copies_from_the_next_one() -> Result {
    run(async |_| {
        let desk = Desk::new("hall-1", 0..8)?;
        Timer::after(SETTLED).await;
        let firsts: Result<BTreeMap<u64, ids::Server>> = (0..SUBJECTS)
            .map(|subject| Ok((subject, desk.first(&prompt(subject, LARGE))?)))
            .collect();
        let firsts = firsts?;
        desk.fleet.announce(server(20, State::Ready)?);
        let joiner: ids::Server = id("i-20")?;
        let mut taken = 0;
        for (subject, before) in &firsts {
            let prompt = prompt(*subject, LARGE);
            if desk.first(&prompt)? == joiner {
                taken += 1;
                let from = desk.backend(before)?.server.address;
                ensure!(desk.source(&prompt, &joiner) == Some(from), "{before}");
            }
        }
        ensure!(taken > 0, "the new server took nothing over");
        Ok(())
    })
}

#[test]
fn what_was_sent_goes_before_what_is_likely() -> Result {
    let desk = Desk::new("hall-1", 0..12)?;
    let prompt = prompt(7, LARGE);
    let now = Instant::now();
    let first = desk.first(&prompt)?;
    let ids = desk.fleet.ids();
    let outsider = ids
        .iter()
        .find(|id| desk.places(&prompt).rank(id).is_none());
    let outsider = outsider.ok_or_else(|| eyre!("all have a rank"))?;
    let lacks = |id: &ids::Server| desk.places(&prompt).lacking(id);
    ensure!(lacks(outsider) == f64::from(LARGE), "{}", lacks(outsider));
    ensure!(lacks(&first) < f64::from(LARGE), "{}", lacks(&first));
    desk.memory.sent(&prompt, outsider, now);
    ensure!(lacks(outsider) == 0.0, "{}", lacks(outsider));
    ensure!(
        desk.source(&prompt, outsider).is_none(),
        "copies what it has"
    );
    let from = desk.backend(outsider)?.server.address;
    ensure!(
        desk.source(&prompt, &first) == Some(from),
        "not from where it is"
    );
    // Too little to be worth a copy.
    let short = self::prompt(8, 150);
    desk.memory.sent(&short, outsider, now);
    ensure!(desk.source(&short, &first).is_none(), "copies too little");
    Ok(())
}

#[test]
fn few_servers_read_one_subject_without_load() -> Result {
    for tokens in [LARGE, SMALL] {
        let boxes: Result<Vec<Desk>> = (0..6).map(|_| Desk::new("hall-1", 0..12)).collect();
        let boxes = boxes?;
        let mut readers: HashMap<u64, HashSet<ids::Server>> = HashMap::new();
        for _ in 0..5 {
            for (subject, desk) in (0..40).flat_map(|n| boxes.iter().map(move |desk| (n, desk))) {
                let chosen = desk.send(&prompt(subject, tokens))?;
                let all = readers.entry(subject).or_default();
                all.insert(chosen.server.id.clone());
            }
        }
        for (subject, servers) in &readers {
            ensure!(servers.len() <= KEEPERS_MAX, "{subject} at {servers:?}");
        }
    }
    Ok(())
}

#[test]
fn a_crowded_server_is_passed_over() -> Result {
    let desk = Desk::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    let calm = desk.choose(Some(&prompt), &[])?;
    ensure!(
        calm.backend.server.id == first,
        "{}",
        calm.backend.server.id
    );
    ensure!(calm.rank == Some(0), "{:?}", calm.rank);
    // As many everywhere: no reason to move.
    let ids = desk.fleet.ids();
    let even: Result<Vec<_>> = ids.iter().map(|id| desk.load(id, 6)).collect();
    let even = even?;
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id == first, "moved by an even load");
    ensure!(choice.load == 6.0, "{}", choice.load);
    drop(even);
    // All of them here: the bound moves it.
    let crowd = desk.load(&first, 14)?;
    for _ in 0..20 {
        let choice = desk.choose(Some(&prompt), &[])?;
        ensure!(choice.backend.server.id != first, "chosen over the bound");
    }
    drop(crowd);
    // So does a load that the server tells, among others that tell theirs.
    let told = |running| Load {
        running,
        waiting: 0,
        slots: 16,
    };
    for id in desk.fleet.ids() {
        let running = if id == first { 14 } else { 2 };
        desk.backend(&id)?
            .record_load(told(running), Instant::now());
    }
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id != first, "chosen over a told load");
    ensure!(choice.load == 2.0, "{}", choice.load);
    Ok(())
}

#[test]
fn a_server_that_is_crowded_by_other_boxes_is_passed_over() -> Result {
    let desk = Desk::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    let server = desk.backend(&first)?.key;
    let crowded = Count {
        server,
        requests: 6,
    };
    desk.fleet.set_others(&[crowded], Instant::now());
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id != first, "chosen over the count");
    // What the others have under way is over.
    desk.fleet.set_others(&[], Instant::now());
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(choice.backend.server.id == first, "an old count moved it");
    Ok(())
}

#[test]
fn a_server_that_told_no_load_counts_as_the_mean() -> Result {
    let desk = Desk::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    for id in desk.fleet.ids().iter().filter(|id| **id != first) {
        let load = Load {
            running: 6,
            waiting: 0,
            slots: 16,
        };
        desk.backend(id)?.record_load(load, Instant::now());
    }
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id == first,
        "an untold load looked crowded"
    );
    ensure!(
        choice.load == 6.0,
        "an untold load looked idle: {}",
        choice.load
    );
    Ok(())
}

#[test]
fn the_load_stays_bounded_under_one_hot_subject() -> Result {
    let desk = Desk::new("hall-1", (0..16).filter(|number| number % 2 == 0))?;
    let mut running = Vec::new();
    for _ in 0..80 {
        let backend = desk.send(&prompt(1, SMALL))?;
        running.push(backend.run(0));
        let loads: Vec<u32> = desk
            .fleet
            .serving(&desk.service)
            .iter()
            .map(|b| b.own())
            .collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
        let most = f64::from(loads.iter().max().copied().unwrap_or(0));
        // The operator's bound on skew: twice the mean and three.
        ensure!(most <= 2.0 * mean + 3.0, "{loads:?}");
    }
    Ok(())
}

#[test]
fn a_server_fails_by_comparison_with_the_others() -> Result {
    let desk = Desk::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    let fail = |id: &ids::Server| -> Result {
        let health = &desk.backend(id)?.health;
        // Never three in a row, which would leave it out.
        for _ in 0..12 {
            for outcome in [Outcome::Bad, Outcome::Bad, Outcome::Good] {
                health.record(outcome, Instant::now());
            }
        }
        Ok(())
    };
    fail(&first)?;
    ensure!(
        desk.backend(&first)?.health.allows(Instant::now()),
        "left out"
    );
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id != first,
        "chosen though it alone fails"
    );
    let plain = desk.choose(None, &[])?;
    ensure!(
        plain.backend.server.id != first,
        "chosen though it alone fails"
    );
    for id in desk.fleet.ids().iter().filter(|id| **id != first) {
        fail(id)?;
    }
    let choice = desk.choose(Some(&prompt), &[])?;
    ensure!(
        choice.backend.server.id == first,
        "moved though all fail alike"
    );
    Ok(())
}

#[test]
fn a_server_that_is_left_out_is_taken_only_without_others() -> Result {
    let desk = Desk::new("hall-1", 0..4)?;
    let prompt = prompt(3, SMALL);
    let first = desk.first(&prompt)?;
    let leave_out = |id: &ids::Server| -> Result {
        for _ in 0..3 {
            desk.backend(id)?
                .health
                .record(Outcome::Bad, Instant::now());
        }
        Ok(())
    };
    leave_out(&first)?;
    // However crowded the others are.
    let others: Vec<_> = desk
        .fleet
        .ids()
        .into_iter()
        .filter(|id| *id != first)
        .collect();
    let crowds: Result<Vec<_>> = others.iter().map(|id| desk.load(id, 60)).collect();
    let crowds = crowds?;
    for prompt in [Some(&prompt), None] {
        let choice = desk.choose(prompt, &[])?;
        ensure!(
            choice.backend.server.id != first,
            "a server that is left out"
        );
    }
    drop(crowds);
    // Of two that are left out or were tried, the one not tried yet.
    for id in &others {
        leave_out(id)?;
    }
    let tried = &others[..];
    for prompt in [Some(&prompt), None] {
        let choice = desk.choose(prompt, tried)?;
        ensure!(choice.backend.server.id == first, "one that was tried");
    }
    // With nothing else, one that was tried.
    for id in &others {
        desk.drain(id)?;
    }
    let choice = desk.choose(Some(&prompt), std::slice::from_ref(&first))?;
    ensure!(
        choice.backend.server.id == first,
        "{}",
        choice.backend.server.id
    );
    desk.drain(&first)?;
    ensure!(
        desk.choose(Some(&prompt), &[]).is_err(),
        "chose a leaving server"
    );
    Ok(())
}

#[test]
fn no_server_gets_more_connections_than_allowed() -> Result {
    let desk = Desk::new("hall-1", 0..2)?;
    let prompt = prompt(3, SMALL);
    let ask = |connections| Ask {
        prompt: Some(&prompt),
        copy_ms: None,
        tried: &[],
        hall: &desk.hall,
        connections,
    };
    let pick = |connections| {
        let now = Instant::now();
        let ask = ask(connections);
        choose::choose(&desk.fleet, &desk.service, &ask, &desk.memory, now)
    };
    let first = desk.first(&prompt)?;
    let _running = desk.load(&first, 2)?;
    let other = pick(2).ok_or_else(|| eyre!("none chosen"))?;
    ensure!(other.backend.server.id != first, "more than allowed");
    let _others = desk.load(&other.backend.server.id, 2)?;
    ensure!(pick(2).is_none(), "more than allowed");
    ensure!(pick(3).is_some(), "fewer than allowed");
    Ok(())
}

#[test]
fn the_own_hall_goes_first_where_nothing_is_kept() -> Result {
    run(async |_| {
        let desk = Desk::new("hall-2", 0..8)?;
        for _ in 0..20 {
            let chosen = desk.choose(None, &[])?.backend;
            ensure!(chosen.server.hall == desk.hall, "{}", chosen.server.id);
            Timer::after(ms(1)).await;
        }
        Ok(())
    })
}

#[test]
fn boxes_agree_on_who_stands_in_for_a_server_that_fails() -> Result {
    let desks = [Desk::new("hall-1", 0..12)?, Desk::new("hall-2", 0..12)?];
    let prompt = prompt(3, LARGE);
    let failing = desks[0].first(&prompt)?;
    let next = desks[0].ranked(&prompt, 1)?;
    for desk in &desks {
        let backend = desk.backend(&failing)?;
        for _ in 0..3 {
            backend.record(Outcome::Absent, Instant::now());
        }
        ensure!(desk.first(&prompt)? == next, "{failing} is still first");
        let lacking = desk.places(&prompt).lacking(&failing);
        ensure!(
            lacking == f64::from(LARGE),
            "it counts as keeping the prompt"
        );
        // Nothing can be copied from a server that does not answer.
        let from = backend.server.address;
        ensure!(desk.source(&prompt, &next) != Some(from), "a copy from it");
    }
    Ok(())
}

#[test]
fn a_request_that_failed_goes_on_to_the_next_in_order() -> Result {
    let desk = Desk::new("hall-1", 0..12)?;
    let prompt = prompt(5, LARGE);
    let tried = [desk.first(&prompt)?, desk.ranked(&prompt, 1)?];
    let third = desk.ranked(&prompt, 2)?;
    let places = desk.places_after(&prompt, &tried);
    ensure!(places.rank(&third) == Some(0), "{:?}", places.rank(&third));
    ensure!(places.rank(&tried[0]).is_none(), "tried again");
    Ok(())
}

#[test]
fn servers_that_join_together_copy_from_one_that_was_there() -> Result {
    run(async |_| {
        let desk = Desk::new("hall-1", 0..8)?;
        Timer::after(SETTLED).await;
        let settled: Result<BTreeMap<u64, ids::Server>> = (0..SUBJECTS)
            .map(|subject| Ok((subject, desk.first(&prompt(subject, LARGE))?)))
            .collect();
        let settled = settled?;
        for number in 20..28 {
            desk.fleet.announce(server(number, State::Ready)?);
        }
        let mut both_new = 0;
        for (subject, before) in &settled {
            let prompt = prompt(*subject, LARGE);
            let first = desk.first(&prompt)?;
            let second = desk.ranked(&prompt, 1)?;
            if first != *before && second != *before {
                both_new += 1;
                let from = desk.backend(before)?.server.address;
                ensure!(desk.source(&prompt, &first) == Some(from), "{first}");
                // Whoever stands in for the new one copies from there too.
                ensure!(desk.source(&prompt, &second) == Some(from), "{second}");
            }
        }
        ensure!(
            both_new > 0,
            "no subject has two new servers before its old one"
        );
        Ok(())
    })
}
