//! What a box takes over of another's word, and what it passes on itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{ensure, eyre};
use serde_json::json;
use tidepier_clock::Instant;
use tidepier_core::era::{Era, Revision};
use tidepier_core::server::{Server, State};
use tidepier_platform::store::Client;
use tidepier_relay::budget::{Budget, Limits};
use tidepier_relay::emptied_halls::List;
use tidepier_relay::follow::Follower;
use tidepier_relay::health::Outcome;
use tidepier_relay::message::follow::{
    Answer, Change, Options, Position, Request, Row, Servers, Status,
};
use tidepier_relay::message::link::Error;
use tidepier_relay::message::VERSION;
use tidepier_relay::relay::{Bounds, Relay};

use crate::box_harness::{APPLY_TIME, REVOKE_TIME};
use crate::harness::{ms, Result, SERVICE};

/// What a box without any task knows.
pub(crate) fn relay() -> Result<Rc<Relay>> {
    let terms = Limits {
        ratio: 0.1,
        extra: 0.0,
        window: Duration::from_secs(10),
    };
    let bounds = Bounds {
        catalog_max_age: APPLY_TIME,
        confirm_within: APPLY_TIME,
        cold_overage: 1.0,
        cold_tolerance: 0.0,
        key_max_age: Some(REVOKE_TIME),
        grace_period: Duration::from_millis(3_000),
        rewrite_within: REVOKE_TIME,
        entry_ttl: Duration::from_millis(4_800),
        crowd_factor: 2.0,
        exposure: 0.1,
        rollback: Duration::from_secs(5),
    };
    Ok(Rc::new(Relay::new(
        "hall-1".parse()?,
        bounds,
        Budget::new(terms),
    )))
}

/// A box that hears from nobody but the test.
pub(crate) fn follower() -> Result<(Rc<Relay>, Rc<Follower>)> {
    let relay = relay()?;
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let store = Rc::new(Client::new(nowhere));
    Ok((relay.clone(), Follower::new(relay, store)))
}

pub(crate) fn row_of(id: &str, revision: u64, state: State) -> Result<Row> {
    let server = Server {
        id: id.parse()?,
        service: SERVICE.parse()?,
        address: SocketAddr::from(([127, 0, 0, 1], 4_000)),
        hall: "hall-1".parse()?,
        slots: 8,
        release: None,
        state,
        born: None,
        cold: Duration::ZERO,
    };
    Ok(Row::new(&server, Revision::of(revision)))
}

pub(crate) fn row(id: &str, revision: u64) -> Result<Row> {
    row_of(id, revision, State::Ready)
}

fn document(version: u64) -> Vec<u8> {
    let limits = json!({
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    });
    let document = json!({ "version": version, "routes": [], "services": [], "limits": limits });
    document.to_string().into_bytes()
}

/// Takes over an answer and the configuration's entry that followed it.
fn take(follower: &Follower, told: Answer, entry: Option<Vec<u8>>, asked: Instant) -> Result {
    let document_bytes = entry.as_ref().map(|bytes| bytes.len() as u32);
    let told = Answer {
        document_bytes,
        ..told
    };
    Ok(follower.apply_answer(told, entry, asked)?)
}

/// An answer of a box that vouches for it.
fn told(age_ms: u64, revision: u64, servers: Servers) -> Answer {
    Answer {
        version: VERSION,
        number: 1,
        age_ms: Some(age_ms),
        known_ms: Some(age_ms),
        revision,
        standing: None,
        document_bytes: None,
        emptied: Some(List::default()),
        rollouts: None,
        servers,
        position: Position {
            life: 3,
            changes: 0,
        },
        held_ms: 0,
        boxes: None,
    }
}

pub(crate) fn nothing() -> Servers {
    Servers::Changes(Vec::new())
}

fn known(relay: &Relay, id: &str) -> Result<bool> {
    Ok(relay.fleet.get(&id.parse()?).is_some())
}

#[test]
fn a_proof_is_as_old_as_question_and_age_together() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now() - ms(200);
    take(&follower, told(300, 4, nothing()), Some(document(7)), asked)?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    let age = relay.view.age_at(asked);
    ensure!(age == Some(ms(300)), "{age:?}");
    let age = relay.view.age_at(asked + ms(100));
    ensure!(age == Some(ms(400)), "{age:?}");
    // An older proof does not replace it, a newer one does.
    take(&follower, told(900, 4, nothing()), None, asked)?;
    ensure!(relay.view.age_at(asked + ms(100)) == age, "an older proof");
    take(&follower, told(10, 4, nothing()), None, asked)?;
    let age = relay.view.age_at(asked + ms(100));
    ensure!(age == Some(ms(110)), "{age:?}");
    // It is passed on no younger, and not at all when it is too old.
    ensure!(follower.shareable_age(asked + ms(100)) == age, "passed on");
    ensure!(
        follower.shareable_age(asked + APPLY_TIME).is_none(),
        "too old"
    );
    Ok(())
}

#[test]
fn one_that_cannot_vouch_is_not_believed() -> Result {
    let (relay, follower) = follower()?;
    let all = Servers::All(vec![row("i-1", 3)?], Revision::of(3));
    let answer = Answer {
        age_ms: None,
        known_ms: None,
        ..told(0, 4, all)
    };
    ensure!(
        take(&follower, answer, Some(document(7)), Instant::now()).is_err(),
        "believed"
    );
    ensure!(relay.view.catalog().is_none(), "its catalog was taken");
    ensure!(!known(&relay, "i-1")?, "its servers were taken");
    ensure!(relay.view.age().is_none(), "its proof was taken");
    Ok(())
}

#[test]
fn a_version_never_falls_by_a_word() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    take(
        &follower,
        told(500, 10, nothing()),
        Some(document(7)),
        asked,
    )?;
    let age = relay.view.age_at(asked + ms(10));
    // An older entry is neither taken nor is its proof one of ours.
    take(&follower, told(0, 9, nothing()), Some(document(6)), asked)?;
    take(&follower, told(0, 9, nothing()), None, asked)?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    ensure!(
        follower.revision().number() == 10,
        "{}",
        follower.revision()
    );
    ensure!(
        relay.view.age_at(asked + ms(10)) == age,
        "proven by an older entry"
    );
    // A newer entry whose text did not come proves nothing either.
    take(&follower, told(0, 11, nothing()), None, asked)?;
    ensure!(
        relay.view.age_at(asked + ms(10)) == age,
        "proven by an unknown entry"
    );
    // Nor does one that cannot be read.
    let broken = Some(b"{".to_vec());
    take(&follower, told(0, 12, nothing()), broken, asked)?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    ensure!(
        relay.view.age_at(asked + ms(10)) == age,
        "proven by a broken entry"
    );
    // A newer entry with an older version is what the operator says last, and
    // does not make the version fall.
    take(&follower, told(0, 13, nothing()), Some(document(5)), asked)?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    Ok(())
}

/// What a box of an older form is told that knows this revision.
fn document_after(follower: &Follower, known: u64) -> (u64, Option<Rc<[u8]>>) {
    let ask = Request {
        version: VERSION,
        number: 1,
        document: known,
        position: Position::default(),
        options: None,
    };
    (follower.revision().number(), follower.document_for(&ask))
}

#[test]
fn the_entry_goes_to_boxes_that_know_an_older_one() -> Result {
    let (_, follower) = follower()?;
    ensure!(
        document_after(&follower, 0) == (0, None),
        "an entry of nothing"
    );
    let asked = Instant::now();
    take(&follower, told(0, 10, nothing()), Some(document(7)), asked)?;
    ensure!(
        document_after(&follower, 9) == (10, Some(document(7).into())),
        "not told"
    );
    ensure!(document_after(&follower, 10) == (10, None), "told again");
    ensure!(
        document_after(&follower, 11) == (10, None),
        "told what is older"
    );
    Ok(())
}

#[test]
fn servers_are_taken_over_and_passed_on() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let tell = |servers| take(&follower, told(0, 0, servers), None, asked);
    tell(Servers::All(
        vec![row("i-1", 3)?, row("i-2", 4)?],
        Revision::of(5),
    ))?;
    ensure!(known(&relay, "i-1")? && known(&relay, "i-2")?, "not taken");
    let (_, place) = follower.record().since(Position::default());
    let drains = row_of("i-2", 6, State::Draining)?;
    let gone = Change::Removed("i-1".parse()?, Revision::of(7));
    let changes = vec![
        Change::Upserted(drains),
        gone,
        Change::Upserted(row("i-3", 8)?),
    ];
    tell(Servers::Changes(changes.clone()))?;
    let service = SERVICE.parse()?;
    let serving = relay.fleet.serving(&service);
    ensure!(serving.len() == 1, "{} serve", serving.len());
    ensure!(
        serving[0].server.id.as_str() == "i-3",
        "{}",
        serving[0].server.id
    );
    ensure!(
        known(&relay, "i-2")? && !known(&relay, "i-1")?,
        "wrong ones"
    );
    let (since, _) = follower.record().since(place);
    ensure!(since == Servers::Changes(changes), "{since:?}");
    Ok(())
}

#[test]
fn an_older_word_does_not_bring_a_server_back() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let tell = |servers| take(&follower, told(0, 0, servers), None, asked);
    tell(Servers::All(
        vec![row("i-1", 3)?, row("i-2", 4)?],
        Revision::of(5),
    ))?;
    tell(Servers::Changes(vec![Change::Removed(
        "i-1".parse()?,
        Revision::of(8),
    )]))?;
    let again = Change::Upserted(row("i-1", 3)?);
    tell(Servers::All(
        vec![row("i-1", 3)?, row("i-2", 4)?],
        Revision::of(12),
    ))?;
    ensure!(!known(&relay, "i-1")?, "brought back by a list");
    tell(Servers::Changes(vec![again]))?;
    ensure!(!known(&relay, "i-1")?, "brought back by a change");
    // A newer entry of the same id is another matter.
    tell(Servers::Changes(vec![Change::Upserted(row("i-1", 13)?)]))?;
    ensure!(known(&relay, "i-1")?, "not taken though newer");
    Ok(())
}

#[test]
fn a_leaving_server_does_not_come_back_by_an_older_word() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let tell = |servers| take(&follower, told(0, 0, servers), None, asked);
    tell(Servers::All(vec![row("i-1", 3)?], Revision::of(5)))?;
    tell(Servers::Changes(vec![Change::Upserted(row_of(
        "i-1",
        7,
        State::Draining,
    )?)]))?;
    tell(Servers::All(vec![row("i-1", 3)?], Revision::of(6)))?;
    let service = SERVICE.parse()?;
    ensure!(relay.fleet.serving(&service).is_empty(), "serves again");
    // Nor does the older word go on to other boxes.
    let (all, _) = follower.record().since(Position::default());
    let expected = vec![row_of("i-1", 7, State::Draining)?];
    ensure!(
        matches!(&all, Servers::All(rows, _) if *rows == expected),
        "{all:?}"
    );
    Ok(())
}

#[test]
fn an_older_word_does_not_drop_a_newer_server() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let tell = |servers| take(&follower, told(0, 0, servers), None, asked);
    tell(Servers::All(
        vec![row("i-1", 3)?, row("i-2", 9)?],
        Revision::of(9),
    ))?;
    // As of the eighth revision there was no such server yet.
    tell(Servers::All(vec![row("i-1", 3)?], Revision::of(8)))?;
    ensure!(known(&relay, "i-2")?, "dropped by an older list");
    tell(Servers::Changes(vec![Change::Removed(
        "i-2".parse()?,
        Revision::of(7),
    )]))?;
    ensure!(
        known(&relay, "i-2")?,
        "dropped by the end of an older entry"
    );
    tell(Servers::All(vec![row("i-1", 3)?], Revision::of(10)))?;
    ensure!(!known(&relay, "i-2")?, "kept against a newer list");
    Ok(())
}

/// A server that was not there and whose address another one has gets nothing more
/// before its entry lapses. One that answers keeps its place, whoever writes an
/// entry with its address.
#[test]
fn a_server_that_was_absent_is_supplanted_by_a_newer_one_at_its_address() -> Result {
    for (was_absent, expected) in [(true, &["i-2"][..]), (false, &["i-1", "i-2"])] {
        let (relay, follower) = follower()?;
        let all = Servers::All(vec![row("i-1", 3)?], Revision::of(3));
        take(
            &follower,
            told(0, 4, all),
            Some(document(7)),
            Instant::now(),
        )?;
        let old = relay.fleet.get(&"i-1".parse()?);
        let old = old.ok_or_else(|| eyre!("unknown"))?;
        if was_absent {
            old.record(Outcome::NotListening, Instant::now());
        }
        let both = Servers::All(vec![row("i-1", 3)?, row("i-2", 9)?], Revision::of(9));
        take(&follower, told(0, 4, both), None, Instant::now())?;
        let serving = relay.fleet.serving(&SERVICE.parse()?);
        let serving: Vec<&str> = serving.iter().map(|it| it.server.id.as_str()).collect();
        ensure!(serving == expected, "{serving:?}, absent: {was_absent}");
        // Its entry lapses; the new one stays.
        let gone = Servers::All(vec![row("i-2", 9)?], Revision::of(12));
        take(&follower, told(0, 4, gone), None, Instant::now())?;
        let left = relay.fleet.serving(&SERVICE.parse()?).len();
        ensure!(left == 1, "{left} left");
    }
    Ok(())
}

/// Load that this answers: thousands of servers that start together write their
/// entries anew each second while they are cold.
#[test]
fn a_server_that_gets_warmer_is_no_news_and_one_that_turns_cold_is() -> Result {
    let (relay, follower) = follower()?;
    let entry = |revision, cold| Ok(row("i-1", revision)?.with_cold(ms(cold))) as Result<Row>;
    let hear = |rows: Vec<Row>| {
        let changes = rows.into_iter().map(Change::Upserted).collect();
        let answer = told(0, 4, Servers::Changes(changes));
        take(&follower, answer, Some(document(7)), Instant::now())
    };
    let (_, start) = follower.servers_after(Position::default());
    hear(vec![entry(5, 3_000)?])?;
    let (told_first, joined) = follower.servers_after(start);
    let Servers::Changes(changes) = &told_first else {
        return Err(eyre!("{told_first:?}"));
    };
    ensure!(changes.len() == 1, "{changes:?}");
    for (revision, cold) in [(6, 1_800), (7, 600), (8, 0)] {
        hear(vec![entry(revision, cold)?])?;
    }
    ensure!(
        follower.servers_after(joined) == (nothing(), joined),
        "told again"
    );
    ensure!(
        follower.record().newest_revision() == Revision::of(8),
        "not seen"
    );
    ensure!(
        follower.record().is_outdated(&entry(7, 0)?),
        "the older one counts"
    );
    // It turns cold again; others are told for how much longer.
    hear(vec![entry(9, 2_000)?])?;
    let (again, place) = follower.servers_after(joined);
    let Servers::Changes(changes) = &again else {
        return Err(eyre!("{again:?}"));
    };
    ensure!(changes.len() == 1, "{changes:?}");
    let Change::Upserted(told_cold) = &changes[0] else {
        return Err(eyre!("{changes:?}"));
    };
    let cold = Server::from(told_cold.clone()).cold;
    ensure!(cold > ms(1_500) && cold <= ms(2_000), "cold for {cold:?}");
    // Its entry was missing for a while: others may have dropped it meanwhile.
    relay.fleet.mark_missing(&"i-1".parse()?);
    hear(vec![entry(10, 0)?])?;
    let (back, _) = follower.servers_after(place);
    ensure!(
        matches!(&back, Servers::Changes(all) if all.len() == 1),
        "{back:?}"
    );
    Ok(())
}

/// How far the store is known that an answer is from.
fn standing(era: u64, first: u64, in_force: u64) -> Status {
    Status {
        era,
        first,
        settled: true,
        in_force,
        stored: in_force,
        state: first,
        followed_ms: Some(0),
    }
}

/// Guards against words of a former era that come after those of a later one, and against
/// boxes that know no eras once there was more than one.
#[test]
fn a_word_of_a_former_era_is_not_taken() -> Result {
    let (relay, follower) = follower()?;
    let of_era = |era, first, version, servers| Answer {
        standing: Some(standing(era, first, version)),
        ..told(0, first, servers)
    };
    let asked = Instant::now();
    let all = |id: &str, number| -> Result<Servers> {
        Ok(Servers::All(vec![row(id, number)?], Revision::of(number)))
    };
    take(
        &follower,
        of_era(1, 40, 7, nothing()),
        Some(document(7)),
        asked,
    )?;
    // One of the older form is of the only era that was heard of.
    take(
        &follower,
        told(0, 41, all("i-1", 41)?),
        Some(document(8)),
        asked,
    )?;
    ensure!(known(&relay, "i-1")?, "not understood");
    ensure!(relay.view.version().0 == 8, "{}", relay.view.version());
    let two = Revision::new(Era(2), 30);
    let row = row("i-2", 1)?.with_revision(two);
    let servers = Servers::All(vec![row], Revision::of(30));
    take(&follower, of_era(2, 30, 8, servers), None, asked)?;
    ensure!(known(&relay, "i-2")?, "a lower number of a later era");
    ensure!(!known(&relay, "i-1")?, "what the later era lacks");
    let age = relay.view.age_at(asked + ms(10));
    for late in [
        of_era(1, 60, 9, all("i-3", 60)?),
        told(0, 61, all("i-3", 61)?),
    ] {
        let mut heard = late.clone();
        let listened = follower.apply_partial_answer(&mut heard, &mut None);
        ensure!(matches!(listened, Err(Error::StaleEra)), "{listened:?}");
        let taken = follower.apply_answer(late, Some(document(9)), Instant::now());
        ensure!(matches!(taken, Err(Error::StaleEra)), "{taken:?}");
    }
    ensure!(!known(&relay, "i-3")?, "a server of the former era");
    ensure!(relay.view.version().0 == 8, "{}", relay.view.version());
    ensure!(relay.view.age_at(asked + ms(10)) == age, "proven");
    Ok(())
}

/// Guards against a box that drops what it knows to be in force as another one, which
/// started after the return, knows less.
#[test]
fn a_box_that_knows_less_takes_nothing_back() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let answer = Answer {
        standing: Some(standing(1, 40, 7)),
        ..told(0, 40, nothing())
    };
    take(&follower, answer, Some(document(7)), asked)?;
    let less = Answer {
        standing: Some(Status {
            settled: false,
            ..standing(2, 30, 5)
        }),
        known_ms: None,
        ..told(0, 30, nothing())
    };
    let age = relay.view.age_at(asked + ms(10));
    take(&follower, less, None, Instant::now())?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    ensure!(relay.view.age_at(asked + ms(10)) == age, "proven by less");
    ensure!(!relay.standing.is_settled(), "settled by less");
    // It is told what it lacks.
    let ask = |in_force| Request {
        version: VERSION,
        number: 1,
        document: 99,
        position: Position::default(),
        options: Some(Options {
            in_force: Some(in_force),
            ..Options::default()
        }),
    };
    let told = follower.document_for(&ask(5));
    ensure!(told == Some(document(7).into()), "not told");
    ensure!(follower.document_for(&ask(7)).is_none(), "told again");
    Ok(())
}
