//! Which servers cache the parts of prompts, as far as boxes agree on it without messages.

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

/// Subjects of a test: many more than servers, so that each server ranks first for some.
const SUBJECTS: u64 = 200;
/// When servers join in these tests, counted from when the first ones became known.
const LATER: Duration = Duration::from_millis(1_500);

#[test]
fn boxes_agree_on_the_first_server() -> Result {
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
        "some servers rank first for no subject: {firsts:?}"
    );
    // Twice the mean is far above what an even spread gives.
    let most = firsts.values().max().copied().unwrap_or(0);
    ensure!(most < 2 * SUBJECTS as usize / 12 + 8, "{firsts:?}");
    Ok(())
}

#[test]
fn the_unshared_part_does_not_move_a_subject() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..12)?;
    for subject in 0..20 {
        let first = harness.first(&prompt(subject, LARGE))?;
        for number in 0..10 {
            let mut other = prompt(subject, LARGE);
            other.parts[1].id = 5_000_000 + number;
            ensure!(harness.first(&other)? == first, "subject {subject}");
        }
    }
    Ok(())
}

#[test]
fn a_subject_moves_only_when_its_server_leaves() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..12)?;
    let prompts: Vec<Prompt> = (0..SUBJECTS).map(|n| prompt(n, LARGE)).collect();
    let firsts = |harness: &ChoiceHarness| -> Result<Vec<ids::Server>> {
        prompts.iter().map(|prompt| harness.first(prompt)).collect()
    };
    let seconds: Result<Vec<ids::Server>> = prompts
        .iter()
        .map(|prompt| harness.ranked(prompt, 1))
        .collect();
    let (before, seconds) = (firsts(&harness)?, seconds?);
    let leaving: ids::Server = id("i-5")?;
    harness.drain(&leaving)?;
    let after = firsts(&harness)?;
    for ((before, second), after) in before.iter().zip(&seconds).zip(&after) {
        let expected = if *before == leaving { second } else { before };
        ensure!(after == expected, "{before} to {after}");
    }
    harness.fleet.remove(&leaving);
    ensure!(
        firsts(&harness)? == after,
        "moved when the entry was removed"
    );
    // A server that joins takes the subjects for which it ranks first, and nothing else
    // moves.
    harness.join(20, LATER)?;
    let new_server: ids::Server = id("i-20")?;
    let joined = firsts(&harness)?;
    let moved = after.iter().zip(&joined).filter(|(a, b)| a != b);
    let to: HashSet<&ids::Server> = moved.map(|(_, to)| to).collect();
    ensure!(to == HashSet::from([&new_server]), "{to:?}");
    Ok(())
}

#[test]
fn a_small_subject_has_the_same_order_in_all_halls() -> Result {
    // This includes a hall without servers of its own.
    let harnesses = [
        ChoiceHarness::new("hall-1", 0..12)?,
        ChoiceHarness::new("hall-2", 0..12)?,
        ChoiceHarness::new("hall-3", 0..12)?,
    ];
    for subject in 0..SUBJECTS {
        let prompt = prompt(subject, SMALL);
        for rank in 0..3 {
            let expected = harnesses[0].ranked(&prompt, rank)?;
            for harness in &harnesses {
                let found = harness.ranked(&prompt, rank)?;
                ensure!(found == expected, "{}: {found}", harness.hall);
            }
        }
    }
    Ok(())
}

#[test]
fn a_replacement_copies_from_a_leaving_server() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..12)?;
    for subject in 0..40 {
        let prompt = prompt(subject, LARGE);
        let first = harness.first(&prompt)?;
        if !harness.backend(&first)?.accepts_requests()
            || harness.fleet.serving(&harness.service).len() < 4
        {
            continue;
        }
        let replacement = harness.ranked(&prompt, 1)?;
        let from = harness.backend(&first)?.server.address;
        // Before any holder is reported, a replacement copies from the server that should
        // cache the subject. That server itself copies only if it joined later, from one
        // that was there before.
        let joined = harness.backend(&first)?.known_since;
        let copies = harness.source(&prompt, &first).is_some();
        ensure!(copies == (joined > harness.start), "{first}");
        ensure!(
            harness.source(&prompt, &replacement) == Some(from),
            "{replacement}"
        );
        // Subjects are requested repeatedly.
        for _ in 0..2 {
            harness
                .index
                .record_local(&prompt, Key::new(&first), Instant::now());
        }
        ensure!(harness.source(&prompt, &first).is_none(), "{first}");
        ensure!(
            harness.source(&prompt, &replacement) == Some(from),
            "{replacement}"
        );
        harness.drain(&first)?;
        ensure!(
            harness.first(&prompt)? == replacement,
            "{replacement} is not next in order"
        );
        ensure!(
            harness.source(&prompt, &replacement) == Some(from),
            "{replacement}"
        );
        harness.fleet.remove(&first);
        ensure!(
            harness.source(&prompt, &replacement) != Some(from),
            "a copy from a removed server"
        );
        harness.join(100 + subject as u16, LATER)?;
    }
    Ok(())
}

#[test]
fn a_new_server_copies_from_its_predecessor() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..8)?;
    let firsts = sent_to_firsts(&harness)?;
    harness.join(20, LATER)?;
    let new_server: ids::Server = id("i-20")?;
    let mut taken = 0;
    for (subject, before) in &firsts {
        let prompt = prompt(*subject, LARGE);
        if harness.first(&prompt)? == new_server {
            taken += 1;
            let from = harness.backend(before)?.server.address;
            ensure!(
                harness.source(&prompt, &new_server) == Some(from),
                "{before}"
            );
        }
    }
    ensure!(taken > 0, "the new server took over no subject");
    Ok(())
}

#[test]
fn a_new_server_copies_from_its_predecessor_without_reports() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..8)?;
    let first = |subject| harness.first(&prompt(subject, LARGE));
    let firsts: Result<Vec<ids::Server>> = (0..SUBJECTS).map(first).collect();
    harness.join(20, LATER)?;
    let new_server: ids::Server = id("i-20")?;
    let mut taken = 0;
    for (subject, before) in (0..SUBJECTS).zip(firsts?) {
        let prompt = prompt(subject, LARGE);
        if harness.first(&prompt)? != new_server {
            ensure!(harness.source(&prompt, &before).is_none(), "{before}");
            continue;
        }
        taken += 1;
        let from = harness.backend(&before)?.server.address;
        ensure!(
            harness.source(&prompt, &new_server) == Some(from),
            "{before}"
        );
        // A holder that is only expected does not make the new server cheaper.
        let missing = harness
            .locations(&prompt)
            .missing_tokens(Key::new(&new_server));
        ensure!(missing.copied == 0.0, "{missing:?}");
    }
    ensure!(taken > 0, "the new server took over no subject");
    Ok(())
}

#[test]
fn only_parts_with_a_known_holder_count_as_copied() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..12)?;
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
    let holder = harness.first(&known)?;
    for _ in 0..2 {
        harness
            .index
            .record_local(&known, Key::new(&holder), Instant::now());
    }
    let ids = harness.fleet.ids();
    let locations = harness.locations(&unknown);
    let unranked = ids.iter().find(|id| locations.rank(Key::new(id)).is_none());
    let unranked = unranked.ok_or_else(|| eyre!("all have a rank"))?;
    let missing = locations.missing_tokens(Key::new(unranked));
    ensure!(missing.copied == f64::from(common.tokens), "{missing:?}");
    ensure!(missing.prefilled == f64::from(LARGE), "{missing:?}");
    // All parts are copied from the engine that should cache the subject, though.
    let from = harness.backend(&harness.first(&unknown)?)?.server.address;
    ensure!(harness.source(&unknown, unranked) == Some(from), "{from}");
    // But not where all placements are reported: then this subject is known to be new.
    harness.index.coverage.record_message(100_000, 0);
    let source = harness.source(&unknown, unranked);
    let from = harness.backend(&holder)?.server.address;
    ensure!(source == Some(from), "{source:?}");
    Ok(())
}

/// Sends each subject to the server that ranks first for it. Returns these servers.
fn sent_to_firsts(harness: &ChoiceHarness) -> Result<BTreeMap<u64, ids::Server>> {
    let now = Instant::now();
    let send = |subject| {
        let prompt = prompt(subject, LARGE);
        let first = harness.first(&prompt)?;
        harness.index.record_local(&prompt, Key::new(&first), now);
        Ok((subject, first))
    };
    (0..SUBJECTS).map(send).collect()
}

#[test]
fn known_holders_take_precedence_over_ranks() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..12)?;
    let prompt = prompt(7, LARGE);
    let now = Instant::now();
    let first = harness.first(&prompt)?;
    let ids = harness.fleet.ids();
    let unranked = ids
        .iter()
        .find(|id| harness.locations(&prompt).rank(Key::new(id)).is_none());
    let unranked = unranked.ok_or_else(|| eyre!("all have a rank"))?;
    let lacks = |id: &ids::Server| {
        harness
            .locations(&prompt)
            .missing_tokens(Key::new(id))
            .tokens()
    };
    ensure!(lacks(unranked) == f64::from(LARGE), "{}", lacks(unranked));
    ensure!(lacks(&first) < f64::from(LARGE), "{}", lacks(&first));
    harness.index.record_local(&prompt, Key::new(unranked), now);
    ensure!(lacks(unranked) == 0.0, "{}", lacks(unranked));
    ensure!(
        harness.source(&prompt, unranked).is_none(),
        "copies parts that it caches"
    );
    let from = harness.backend(unranked)?.server.address;
    ensure!(
        harness.source(&prompt, &first) == Some(from),
        "not copied from the holder"
    );
    // Too small to be worth a copy.
    let short = self::prompt(8, 150);
    harness.index.record_local(&short, Key::new(unranked), now);
    ensure!(
        harness.source(&short, &first).is_none(),
        "copies too little"
    );
    Ok(())
}

#[test]
fn boxes_agree_on_the_replacement_for_a_failing_server() -> Result {
    let harnesses = [
        ChoiceHarness::new("hall-1", 0..12)?,
        ChoiceHarness::new("hall-2", 0..12)?,
    ];
    let prompt = prompt(3, LARGE);
    let failing = harnesses[0].first(&prompt)?;
    let next = harnesses[0].ranked(&prompt, 1)?;
    for harness in &harnesses {
        let backend = harness.backend(&failing)?;
        for _ in 0..3 {
            backend.record(Outcome::NotListening, Instant::now(), Instant::now());
        }
        ensure!(harness.first(&prompt)? == next, "{failing} is still first");
        let missing = harness
            .locations(&prompt)
            .missing_tokens(Key::new(&failing))
            .tokens();
        ensure!(
            missing == f64::from(LARGE),
            "it counts as a holder of the prompt"
        );
        // A server that does not answer is no source of copies.
        harness
            .index
            .record_local(&prompt, backend.key, Instant::now());
        let from = backend.server.address;
        ensure!(
            harness.source(&prompt, &next) != Some(from),
            "a copy from it"
        );
    }
    Ok(())
}

#[test]
fn nothing_is_copied_from_a_server_whose_last_request_failed() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..12)?;
    for reported in [false, true] {
        let prompt = prompt(4 + u64::from(reported), LARGE);
        let first = harness.backend(&harness.first(&prompt)?)?;
        let replacement = harness.ranked(&prompt, 1)?;
        if reported {
            harness
                .index
                .record_local(&prompt, first.key, Instant::now());
        }
        let from = Some(first.server.address);
        ensure!(harness.source(&prompt, &replacement) == from, "{reported}");
        first.record(Outcome::NotListening, Instant::now(), Instant::now());
        ensure!(first.is_healthy(Instant::now()), "ejected at once");
        ensure!(harness.source(&prompt, &replacement) != from, "{reported}");
        first.record(Outcome::Succeeded, Instant::now(), Instant::now());
        ensure!(harness.source(&prompt, &replacement) == from, "{reported}");
    }
    Ok(())
}

#[test]
fn a_failed_request_goes_to_the_next_server_in_order() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..12)?;
    let prompt = prompt(5, LARGE);
    let tried = [harness.first(&prompt)?, harness.ranked(&prompt, 1)?];
    let third = harness.ranked(&prompt, 2)?;
    let locations = harness.locations_after(&prompt, &tried);
    let rank = |id: &ids::Server| locations.rank(Key::new(id));
    ensure!(rank(&third) == Some(0), "{:?}", rank(&third));
    ensure!(rank(&tried[0]).is_none(), "tried again");
    Ok(())
}

#[test]
fn servers_that_join_together_copy_from_an_older_one() -> Result {
    let harness = ChoiceHarness::new("hall-1", 0..8)?;
    let settled = sent_to_firsts(&harness)?;
    for number in 20..28 {
        harness.join(number, LATER)?;
    }
    let mut both_new = 0;
    for (subject, before) in &settled {
        let prompt = prompt(*subject, LARGE);
        let first = harness.first(&prompt)?;
        let second = harness.ranked(&prompt, 1)?;
        if first != *before && second != *before {
            both_new += 1;
            let from = harness.backend(before)?.server.address;
            ensure!(harness.source(&prompt, &first) == Some(from), "{first}");
            // A replacement for the new server copies from there, too.
            ensure!(harness.source(&prompt, &second) == Some(from), "{second}");
        }
    }
    ensure!(
        both_new > 0,
        "no subject has two new servers before its old one"
    );
    Ok(())
}
