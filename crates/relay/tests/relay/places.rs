//! Where the parts of prompts are placed: what boxes agree on without talking.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use eyre::{ensure, eyre};
use tidepier_clock::Instant;
use tidepier_core::request::{Part, Prompt};
use tidepier_ids as ids;
use tidepier_relay::fleet::Key;
use tidepier_relay::health::Outcome;

use crate::choice_harness::{id, prompt, ChoiceHarness, LARGE, SMALL};
use crate::harness::Result;

/// Subjects of a test: many against the servers, so that each comes first for
/// some.
const SUBJECTS: u64 = 200;
/// When servers join in these tests, from when the first ones were known.
const LATER: Duration = Duration::from_millis(1_500);

#[test]
fn boxes_agree_on_who_comes_first() -> Result {
    let here = ChoiceHarness::new("hall-1", 0..12)?;
    let backwards = ChoiceHarness::new("hall-1", (0..12).rev())?;
    let far = ChoiceHarness::new("hall-2", 0..12)?;
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
    let desk = ChoiceHarness::new("hall-1", 0..12)?;
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
    let desk = ChoiceHarness::new("hall-1", 0..12)?;
    let prompts: Vec<Prompt> = (0..SUBJECTS).map(|n| prompt(n, LARGE)).collect();
    let firsts = |desk: &ChoiceHarness| -> Result<Vec<ids::Server>> {
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
    desk.join(20, LATER)?;
    let joiner: ids::Server = id("i-20")?;
    let joined = firsts(&desk)?;
    let moved = after.iter().zip(&joined).filter(|(a, b)| a != b);
    let to: HashSet<&ids::Server> = moved.map(|(_, to)| to).collect();
    ensure!(to == HashSet::from([&joiner]), "{to:?}");
    Ok(())
}

#[test]
fn a_small_subject_has_one_order_for_all_halls() -> Result {
    // A hall without servers of its own, too.
    let desks = [
        ChoiceHarness::new("hall-1", 0..12)?,
        ChoiceHarness::new("hall-2", 0..12)?,
        ChoiceHarness::new("hall-3", 0..12)?,
    ];
    for subject in 0..SUBJECTS {
        let prompt = prompt(subject, SMALL);
        for rank in 0..3 {
            let expected = desks[0].ranked(&prompt, rank)?;
            for desk in &desks {
                let found = desk.ranked(&prompt, rank)?;
                ensure!(found == expected, "{}: {found}", desk.hall);
            }
        }
    }
    Ok(())
}

#[test]
fn a_leaving_server_gives_copies_to_its_heir() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..12)?;
    for subject in 0..40 {
        let prompt = prompt(subject, LARGE);
        let first = desk.first(&prompt)?;
        if !desk.backend(&first)?.accepts_requests() || desk.fleet.serving(&desk.service).len() < 4
        {
            continue;
        }
        let heir = desk.ranked(&prompt, 1)?;
        let from = desk.backend(&first)?.server.address;
        // Before anybody has told, who stands in asks the one that should keep it,
        // and that one only somebody who was there before it joined.
        let joined = desk.backend(&first)?.known_since;
        let copies = desk.source(&prompt, &first).is_some();
        ensure!(copies == (joined > desk.start), "{first}");
        ensure!(desk.source(&prompt, &heir) == Some(from), "{heir}");
        // Subjects are asked for again and again.
        for _ in 0..2 {
            desk.index
                .record_local(&prompt, Key::new(&first), Instant::now());
        }
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
        desk.join(100 + subject as u16, LATER)?;
    }
    Ok(())
}

#[test]
fn a_new_server_copies_from_the_next_one() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..8)?;
    let firsts = sent_to_firsts(&desk)?;
    desk.join(20, LATER)?;
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
}

#[test]
fn a_new_server_copies_from_the_one_before_it_though_nobody_told() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..8)?;
    let first = |subject| desk.first(&prompt(subject, LARGE));
    let firsts: Result<Vec<ids::Server>> = (0..SUBJECTS).map(first).collect();
    desk.join(20, LATER)?;
    let joiner: ids::Server = id("i-20")?;
    let mut taken = 0;
    for (subject, before) in (0..SUBJECTS).zip(firsts?) {
        let prompt = prompt(subject, LARGE);
        if desk.first(&prompt)? != joiner {
            ensure!(desk.source(&prompt, &before).is_none(), "{before}");
            continue;
        }
        taken += 1;
        let from = desk.backend(&before)?.server.address;
        ensure!(desk.source(&prompt, &joiner) == Some(from), "{before}");
        // What is only expected to be there does not make the new one cheaper.
        let lack = desk.places(&prompt).missing_tokens(Key::new(&joiner));
        ensure!(lack.copied == 0.0, "{lack:?}");
    }
    ensure!(taken > 0, "the new server took nothing over");
    Ok(())
}

#[test]
fn only_what_a_source_is_known_to_keep_counts_as_copied() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..12)?;
    let common = Part {
        id: 77_000,
        tokens: 400,
    };
    let with_common = |subject| {
        let mut prompt = prompt(subject, LARGE);
        prompt.parts.insert(0, common);
        prompt
    };
    let (known, unknown) = (with_common(1), with_common(2));
    let keeper = desk.first(&known)?;
    for _ in 0..2 {
        desk.index
            .record_local(&known, Key::new(&keeper), Instant::now());
    }
    let ids = desk.fleet.ids();
    let places = desk.places(&unknown);
    let stranger = ids.iter().find(|id| places.rank(Key::new(id)).is_none());
    let stranger = stranger.ok_or_else(|| eyre!("all have a rank"))?;
    let lack = places.missing_tokens(Key::new(stranger));
    ensure!(lack.copied == f64::from(common.tokens), "{lack:?}");
    ensure!(lack.read == f64::from(LARGE), "{lack:?}");
    // All of it is rather copied from the engine that should keep the subject.
    let from = desk.backend(&desk.first(&unknown)?)?.server.address;
    ensure!(desk.source(&unknown, stranger) == Some(from), "{from}");
    // But not where all placements are told: this subject is new.
    desk.index.coverage.record_message(100_000, 0);
    let source = desk.source(&unknown, stranger);
    let from = desk.backend(&keeper)?.server.address;
    ensure!(source == Some(from), "{source:?}");
    Ok(())
}

/// Sends each subject to the server that comes first for it; returns those.
fn sent_to_firsts(desk: &ChoiceHarness) -> Result<BTreeMap<u64, ids::Server>> {
    let now = Instant::now();
    let send = |subject| {
        let prompt = prompt(subject, LARGE);
        let first = desk.first(&prompt)?;
        desk.index.record_local(&prompt, Key::new(&first), now);
        Ok((subject, first))
    };
    (0..SUBJECTS).map(send).collect()
}

#[test]
fn what_was_sent_goes_before_what_is_likely() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..12)?;
    let prompt = prompt(7, LARGE);
    let now = Instant::now();
    let first = desk.first(&prompt)?;
    let ids = desk.fleet.ids();
    let outsider = ids
        .iter()
        .find(|id| desk.places(&prompt).rank(Key::new(id)).is_none());
    let outsider = outsider.ok_or_else(|| eyre!("all have a rank"))?;
    let lacks = |id: &ids::Server| desk.places(&prompt).missing_tokens(Key::new(id)).tokens();
    ensure!(lacks(outsider) == f64::from(LARGE), "{}", lacks(outsider));
    ensure!(lacks(&first) < f64::from(LARGE), "{}", lacks(&first));
    desk.index.record_local(&prompt, Key::new(outsider), now);
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
    desk.index.record_local(&short, Key::new(outsider), now);
    ensure!(desk.source(&short, &first).is_none(), "copies too little");
    Ok(())
}

#[test]
fn boxes_agree_on_who_stands_in_for_a_server_that_fails() -> Result {
    let desks = [
        ChoiceHarness::new("hall-1", 0..12)?,
        ChoiceHarness::new("hall-2", 0..12)?,
    ];
    let prompt = prompt(3, LARGE);
    let failing = desks[0].first(&prompt)?;
    let next = desks[0].ranked(&prompt, 1)?;
    for desk in &desks {
        let backend = desk.backend(&failing)?;
        for _ in 0..3 {
            backend.record(Outcome::NotListening, Instant::now());
        }
        ensure!(desk.first(&prompt)? == next, "{failing} is still first");
        let lacking = desk
            .places(&prompt)
            .missing_tokens(Key::new(&failing))
            .tokens();
        ensure!(
            lacking == f64::from(LARGE),
            "it counts as keeping the prompt"
        );
        // Nothing can be copied from a server that does not answer.
        desk.index
            .record_local(&prompt, backend.key, Instant::now());
        let from = backend.server.address;
        ensure!(desk.source(&prompt, &next) != Some(from), "a copy from it");
    }
    Ok(())
}

#[test]
fn nothing_is_copied_from_a_server_whose_last_request_failed() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..12)?;
    for told in [false, true] {
        let prompt = prompt(4 + u64::from(told), LARGE);
        let first = desk.backend(&desk.first(&prompt)?)?;
        let heir = desk.ranked(&prompt, 1)?;
        if told {
            desk.index.record_local(&prompt, first.key, Instant::now());
        }
        let from = Some(first.server.address);
        ensure!(desk.source(&prompt, &heir) == from, "{told}");
        first.record(Outcome::NotListening, Instant::now());
        ensure!(first.is_healthy(Instant::now()), "left out at once");
        ensure!(desk.source(&prompt, &heir) != from, "{told}");
        first.record(Outcome::Succeeded, Instant::now());
        ensure!(desk.source(&prompt, &heir) == from, "{told}");
    }
    Ok(())
}

#[test]
fn a_request_that_failed_goes_on_to_the_next_in_order() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..12)?;
    let prompt = prompt(5, LARGE);
    let tried = [desk.first(&prompt)?, desk.ranked(&prompt, 1)?];
    let third = desk.ranked(&prompt, 2)?;
    let places = desk.places_after(&prompt, &tried);
    let rank = |id: &ids::Server| places.rank(Key::new(id));
    ensure!(rank(&third) == Some(0), "{:?}", rank(&third));
    ensure!(rank(&tried[0]).is_none(), "tried again");
    Ok(())
}

#[test]
fn servers_that_join_together_copy_from_one_that_was_there() -> Result {
    let desk = ChoiceHarness::new("hall-1", 0..8)?;
    let settled = sent_to_firsts(&desk)?;
    for number in 20..28 {
        desk.join(number, LATER)?;
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
}
