//! What a box applies of another box's answers, and what it passes on itself.

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
use tidepier_relay::message::part::Part;
use tidepier_relay::message::VERSION;
use tidepier_relay::network::Network;
use tidepier_relay::relay::{Bounds, Relay};

use crate::box_harness::{APPLY_TIME, REVOKE_TIME};
use crate::harness::{ms, Result, SERVICE};

/// The state of a box without any tasks.
pub(crate) fn relay() -> Result<Rc<Relay>> {
    let limits = Limits {
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
        client_timeout: Duration::from_secs(4),
    };
    Ok(Rc::new(Relay::new(
        "hall-1".parse()?,
        bounds,
        Budget::new(limits),
        Network::default(),
    )))
}

/// A box that receives answers from the test alone.
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

pub(crate) fn document(version: u64) -> Vec<u8> {
    let limits = json!({
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    });
    let document = json!({ "version": version, "routes": [], "services": [], "limits": limits });
    document.to_string().into_bytes()
}

/// Applies an answer and the configuration's entry that followed it.
pub(crate) fn deliver(
    follower: &Follower,
    answer: Answer,
    entry: Option<Vec<u8>>,
    asked: Instant,
) -> Result {
    let document_bytes = entry.as_ref().map(|bytes| bytes.len() as u32);
    let answer = Answer {
        document_bytes,
        ..answer
    };
    Ok(follower.apply_answer(answer, entry, asked)?)
}

/// An answer of a box with a confirmed view.
pub(crate) fn confirmed_answer(age_ms: u64, revision: u64, servers: Servers) -> Answer {
    Answer {
        version: VERSION,
        number: 1,
        age_ms: Some(age_ms),
        known_ms: Some(age_ms),
        revision,
        status: None,
        document_bytes: None,
        emptied: Some(List::default()),
        rollouts: None,
        servers,
        position: Position {
            incarnation: 3,
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
fn a_confirmation_is_as_old_as_request_and_age_together() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now() - ms(200);
    deliver(
        &follower,
        confirmed_answer(300, 4, nothing()),
        Some(document(7)),
        asked,
    )?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    let age = relay.view.age_at(asked);
    ensure!(age == Some(ms(300)), "{age:?}");
    let age = relay.view.age_at(asked + ms(100));
    ensure!(age == Some(ms(400)), "{age:?}");
    // An older confirmation does not replace it, a newer one does.
    deliver(&follower, confirmed_answer(900, 4, nothing()), None, asked)?;
    ensure!(
        relay.view.age_at(asked + ms(100)) == age,
        "an older confirmation"
    );
    deliver(&follower, confirmed_answer(10, 4, nothing()), None, asked)?;
    let age = relay.view.age_at(asked + ms(100));
    ensure!(age == Some(ms(110)), "{age:?}");
    // It is sent on no younger than it is, and not at all once it is too old.
    ensure!(follower.shareable_age(asked + ms(100)) == age, "passed on");
    ensure!(
        follower.shareable_age(asked + APPLY_TIME).is_none(),
        "too old"
    );
    Ok(())
}

#[test]
fn an_unconfirmed_answer_is_not_applied() -> Result {
    let (relay, follower) = follower()?;
    let all = Servers::All(vec![row("i-1", 3)?], Revision::of(3));
    let answer = Answer {
        age_ms: None,
        known_ms: None,
        ..confirmed_answer(0, 4, all)
    };
    ensure!(
        deliver(&follower, answer, Some(document(7)), Instant::now()).is_err(),
        "applied"
    );
    ensure!(relay.view.catalog().is_none(), "its catalog was applied");
    ensure!(!known(&relay, "i-1")?, "its servers were applied");
    ensure!(relay.view.age().is_none(), "its confirmation was applied");
    Ok(())
}

#[test]
fn a_version_never_decreases_by_an_answer() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    deliver(
        &follower,
        confirmed_answer(500, 10, nothing()),
        Some(document(7)),
        asked,
    )?;
    let age = relay.view.age_at(asked + ms(10));
    // An older entry is not applied, nor does its confirmation count here.
    deliver(
        &follower,
        confirmed_answer(0, 9, nothing()),
        Some(document(6)),
        asked,
    )?;
    deliver(&follower, confirmed_answer(0, 9, nothing()), None, asked)?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    ensure!(
        follower.revision().number() == 10,
        "{}",
        follower.revision()
    );
    ensure!(
        relay.view.age_at(asked + ms(10)) == age,
        "confirmed by an older entry"
    );
    // A newer entry whose value did not arrive confirms nothing either.
    deliver(&follower, confirmed_answer(0, 11, nothing()), None, asked)?;
    ensure!(
        relay.view.age_at(asked + ms(10)) == age,
        "confirmed by an unknown entry"
    );
    // Nor does an unreadable one.
    let broken = Some(b"{".to_vec());
    deliver(&follower, confirmed_answer(0, 12, nothing()), broken, asked)?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    ensure!(
        relay.view.age_at(asked + ms(10)) == age,
        "confirmed by an invalid entry"
    );
    // A newer entry with a lower version is the operator's latest, but does not make
    // the version decrease.
    deliver(
        &follower,
        confirmed_answer(0, 13, nothing()),
        Some(document(5)),
        asked,
    )?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    Ok(())
}

/// The answer to a box on an older release that knows this revision.
fn document_for_older_release(follower: &Follower, known: u64) -> (u64, Option<Rc<[u8]>>) {
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
fn the_configuration_is_sent_to_boxes_with_an_older_one() -> Result {
    let (_, follower) = follower()?;
    ensure!(
        document_for_older_release(&follower, 0) == (0, None),
        "an entry though there is none"
    );
    let asked = Instant::now();
    deliver(
        &follower,
        confirmed_answer(0, 10, nothing()),
        Some(document(7)),
        asked,
    )?;
    ensure!(
        document_for_older_release(&follower, 9) == (10, Some(document(7).into())),
        "not sent"
    );
    ensure!(
        document_for_older_release(&follower, 10) == (10, None),
        "sent again"
    );
    ensure!(
        document_for_older_release(&follower, 11) == (10, None),
        "sent an older one"
    );
    Ok(())
}

#[test]
fn servers_are_applied_and_passed_on() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let apply = |servers| deliver(&follower, confirmed_answer(0, 0, servers), None, asked);
    apply(Servers::All(
        vec![row("i-1", 3)?, row("i-2", 4)?],
        Revision::of(5),
    ))?;
    ensure!(
        known(&relay, "i-1")? && known(&relay, "i-2")?,
        "not applied"
    );
    let (_, place) = follower.history().since(Position::default());
    let drains = row_of("i-2", 6, State::Draining)?;
    let gone = Change::Removed("i-1".parse()?, Revision::of(7));
    let changes = vec![
        Change::Upserted(drains),
        gone,
        Change::Upserted(row("i-3", 8)?),
    ];
    apply(Servers::Changes(changes.clone()))?;
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
        "wrong servers are known"
    );
    let (since, _) = follower.history().since(place);
    ensure!(since == Servers::Changes(changes), "{since:?}");
    Ok(())
}

#[test]
fn an_older_answer_does_not_bring_a_server_back() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let apply = |servers| deliver(&follower, confirmed_answer(0, 0, servers), None, asked);
    apply(Servers::All(
        vec![row("i-1", 3)?, row("i-2", 4)?],
        Revision::of(5),
    ))?;
    apply(Servers::Changes(vec![Change::Removed(
        "i-1".parse()?,
        Revision::of(8),
    )]))?;
    let again = Change::Upserted(row("i-1", 3)?);
    apply(Servers::All(
        vec![row("i-1", 3)?, row("i-2", 4)?],
        Revision::of(12),
    ))?;
    ensure!(!known(&relay, "i-1")?, "brought back by a list");
    apply(Servers::Changes(vec![again]))?;
    ensure!(!known(&relay, "i-1")?, "brought back by a change");
    // A newer entry with the same id is applied.
    apply(Servers::Changes(vec![Change::Upserted(row("i-1", 13)?)]))?;
    ensure!(known(&relay, "i-1")?, "not applied though newer");
    Ok(())
}

#[test]
fn a_leaving_server_does_not_come_back_by_an_older_answer() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let apply = |servers| deliver(&follower, confirmed_answer(0, 0, servers), None, asked);
    apply(Servers::All(vec![row("i-1", 3)?], Revision::of(5)))?;
    apply(Servers::Changes(vec![Change::Upserted(row_of(
        "i-1",
        7,
        State::Draining,
    )?)]))?;
    apply(Servers::All(vec![row("i-1", 3)?], Revision::of(6)))?;
    let service = SERVICE.parse()?;
    ensure!(relay.fleet.serving(&service).is_empty(), "serves again");
    // Nor is the older information sent to other boxes.
    let (all, _) = follower.history().since(Position::default());
    let expected = vec![row_of("i-1", 7, State::Draining)?];
    ensure!(
        matches!(&all, Servers::All(rows, _) if *rows == expected),
        "{all:?}"
    );
    Ok(())
}

#[test]
fn an_older_answer_does_not_drop_a_newer_server() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let apply = |servers| deliver(&follower, confirmed_answer(0, 0, servers), None, asked);
    apply(Servers::All(
        vec![row("i-1", 3)?, row("i-2", 9)?],
        Revision::of(9),
    ))?;
    // At the eighth revision this server did not exist yet.
    apply(Servers::All(vec![row("i-1", 3)?], Revision::of(8)))?;
    ensure!(known(&relay, "i-2")?, "dropped by an older list");
    apply(Servers::Changes(vec![Change::Removed(
        "i-2".parse()?,
        Revision::of(7),
    )]))?;
    ensure!(
        known(&relay, "i-2")?,
        "dropped by the removal of an older entry"
    );
    apply(Servers::All(vec![row("i-1", 3)?], Revision::of(10)))?;
    ensure!(!known(&relay, "i-2")?, "kept against a newer list");
    Ok(())
}

/// A server that was absent, and whose address another server has now, gets no more
/// requests before its entry expires. One that answers keeps getting them, whoever
/// writes an entry with its address.
#[test]
fn an_unreachable_server_is_replaced_by_a_newer_one_at_its_address() -> Result {
    for (was_absent, expected) in [(true, &["i-2"][..]), (false, &["i-1", "i-2"])] {
        let (relay, follower) = follower()?;
        let all = Servers::All(vec![row("i-1", 3)?], Revision::of(3));
        deliver(
            &follower,
            confirmed_answer(0, 4, all),
            Some(document(7)),
            Instant::now(),
        )?;
        let old = relay.fleet.get(&"i-1".parse()?);
        let old = old.ok_or_else(|| eyre!("unknown"))?;
        if was_absent {
            old.record(Outcome::NotListening, Instant::now(), Instant::now());
        }
        let both = Servers::All(vec![row("i-1", 3)?, row("i-2", 9)?], Revision::of(9));
        deliver(
            &follower,
            confirmed_answer(0, 4, both),
            None,
            Instant::now(),
        )?;
        let serving = relay.fleet.serving(&SERVICE.parse()?);
        let serving: Vec<&str> = serving.iter().map(|it| it.server.id.as_str()).collect();
        ensure!(serving == expected, "{serving:?}, absent: {was_absent}");
        // Its entry expires; the new server stays.
        let gone = Servers::All(vec![row("i-2", 9)?], Revision::of(12));
        deliver(
            &follower,
            confirmed_answer(0, 4, gone),
            None,
            Instant::now(),
        )?;
        let left = relay.fleet.serving(&SERVICE.parse()?).len();
        ensure!(left == 1, "{left} left");
    }
    Ok(())
}

/// Guards against load on the boxes: thousands of servers that start together rewrite
/// their entries every second while they are cold.
#[test]
fn a_warming_server_is_no_change_and_one_that_turns_cold_is() -> Result {
    let (relay, follower) = follower()?;
    let entry = |revision, cold| Ok(row("i-1", revision)?.with_cold(ms(cold))) as Result<Row>;
    let apply = |rows: Vec<Row>| {
        let changes = rows.into_iter().map(Change::Upserted).collect();
        let answer = confirmed_answer(0, 4, Servers::Changes(changes));
        deliver(&follower, answer, Some(document(7)), Instant::now())
    };
    let (_, start) = follower.servers_after(Position::default());
    apply(vec![entry(5, 3_000)?])?;
    let (first_answer, joined) = follower.servers_after(start);
    let Servers::Changes(changes) = &first_answer else {
        return Err(eyre!("{first_answer:?}"));
    };
    ensure!(changes.len() == 1, "{changes:?}");
    for (revision, cold) in [(6, 1_800), (7, 600), (8, 0)] {
        apply(vec![entry(revision, cold)?])?;
    }
    ensure!(
        follower.servers_after(joined) == (nothing(), joined),
        "sent again"
    );
    ensure!(
        follower.history().newest_revision() == Revision::of(8),
        "revision not observed"
    );
    ensure!(
        follower.history().is_outdated(&entry(7, 0)?),
        "the older entry is applied"
    );
    // It becomes cold again; other boxes are sent the remaining time.
    apply(vec![entry(9, 2_000)?])?;
    let (again, place) = follower.servers_after(joined);
    let Servers::Changes(changes) = &again else {
        return Err(eyre!("{again:?}"));
    };
    ensure!(changes.len() == 1, "{changes:?}");
    let Change::Upserted(cold_row) = &changes[0] else {
        return Err(eyre!("{changes:?}"));
    };
    let cold = Server::from(cold_row.clone()).cold;
    ensure!(cold > ms(1_500) && cold <= ms(2_000), "cold for {cold:?}");
    // Its entry was missing for a while, so that other boxes may have dropped it
    // meanwhile.
    relay.fleet.mark_missing(&"i-1".parse()?);
    apply(vec![entry(10, 0)?])?;
    let (back, _) = follower.servers_after(place);
    ensure!(
        matches!(&back, Servers::Changes(all) if all.len() == 1),
        "{back:?}"
    );
    Ok(())
}

/// The state of the store that an answer is based on.
fn status(era: u64, first: u64, in_force: u64) -> Status {
    Status {
        era,
        first,
        settled: true,
        in_force,
        stored: in_force,
        state: first,
        followed_ms: Some(0),
        in_grace_period: false,
    }
}

/// Guards against a box that follows a follower of a reader in its grace period: that box
/// knows of a deletion as late as the reader. A follower that does not state whether it is
/// in one counts as if it were not, as one of an older release.
#[test]
fn a_follower_states_the_grace_period_of_its_reader() -> Result {
    let (_, follower) = follower()?;
    let answer = |in_grace_period| Answer {
        status: Some(Status {
            in_grace_period,
            ..status(1, 40, 7)
        }),
        ..confirmed_answer(0, 40, Servers::Part(Part::default()))
    };
    for in_grace_period in [false, true, false] {
        let sent = answer(in_grace_period);
        ensure!(!follower.keeps_own_watch(&sent), "it has no watch");
        deliver(&follower, sent, Some(document(7)), Instant::now())?;
        let stated = follower.advertised_status(Instant::now());
        ensure!(stated.followed_ms.is_some(), "{stated:?}");
        ensure!(stated.in_grace_period == in_grace_period, "{stated:?}");
        let mut message = serde_json::to_value(stated)?;
        let is_stated = message.get("in_grace_period").is_some();
        ensure!(is_stated == in_grace_period, "{message}");
        message["in_grace_period"] = in_grace_period.into();
        ensure!(serde_json::from_value::<Status>(message)? == stated);
    }
    Ok(())
}

/// Guards against answers of a stale era that arrive after those of a later one, and
/// against answers without an era once there was more than one.
#[test]
fn an_answer_of_a_stale_era_is_not_applied() -> Result {
    let (relay, follower) = follower()?;
    let of_era = |era, first, version, servers| Answer {
        status: Some(status(era, first, version)),
        ..confirmed_answer(0, first, servers)
    };
    let asked = Instant::now();
    let all = |id: &str, number| -> Result<Servers> {
        Ok(Servers::All(vec![row(id, number)?], Revision::of(number)))
    };
    deliver(
        &follower,
        of_era(1, 40, 7, nothing()),
        Some(document(7)),
        asked,
    )?;
    // An answer on the older release belongs to the only era that was observed.
    deliver(
        &follower,
        confirmed_answer(0, 41, all("i-1", 41)?),
        Some(document(8)),
        asked,
    )?;
    ensure!(
        known(&relay, "i-1")?,
        "answer without an era was not applied"
    );
    ensure!(relay.view.version().0 == 8, "{}", relay.view.version());
    let two = Revision::new(Era(2), 30);
    let row = row("i-2", 1)?.with_revision(two);
    let servers = Servers::All(vec![row], Revision::of(30));
    deliver(&follower, of_era(2, 30, 8, servers), None, asked)?;
    ensure!(
        known(&relay, "i-2")?,
        "a lower revision number of a later era was not applied"
    );
    ensure!(
        !known(&relay, "i-1")?,
        "a server that the later era lacks is kept"
    );
    let age = relay.view.age_at(asked + ms(10));
    for late in [
        of_era(1, 60, 9, all("i-3", 60)?),
        confirmed_answer(0, 61, all("i-3", 61)?),
    ] {
        let mut partial = late.clone();
        let partial_result = follower.apply_partial_answer(&mut partial, &mut None);
        ensure!(
            matches!(partial_result, Err(Error::StaleEra)),
            "{partial_result:?}"
        );
        let taken = follower.apply_answer(late, Some(document(9)), Instant::now());
        ensure!(matches!(taken, Err(Error::StaleEra)), "{taken:?}");
    }
    ensure!(
        !known(&relay, "i-3")?,
        "a server of the stale era was applied"
    );
    ensure!(relay.view.version().0 == 8, "{}", relay.view.version());
    ensure!(relay.view.age_at(asked + ms(10)) == age, "confirmed");
    Ok(())
}

/// Guards against a box that drops its configuration in force because another one,
/// which started after the restore, knows less.
#[test]
fn a_box_that_knows_less_reverts_nothing() -> Result {
    let (relay, follower) = follower()?;
    let asked = Instant::now();
    let answer = Answer {
        status: Some(status(1, 40, 7)),
        ..confirmed_answer(0, 40, nothing())
    };
    deliver(&follower, answer, Some(document(7)), asked)?;
    let less = Answer {
        status: Some(Status {
            settled: false,
            ..status(2, 30, 5)
        }),
        known_ms: None,
        ..confirmed_answer(0, 30, nothing())
    };
    let age = relay.view.age_at(asked + ms(10));
    deliver(&follower, less, None, Instant::now())?;
    ensure!(relay.view.version().0 == 7, "{}", relay.view.version());
    ensure!(
        relay.view.age_at(asked + ms(10)) == age,
        "confirmed by a box that knows less"
    );
    ensure!(
        !relay.era_state.is_settled(),
        "settled by a box that knows less"
    );
    // The other box is sent what it lacks.
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
    let answer = follower.document_for(&ask(5));
    ensure!(answer == Some(document(7).into()), "not sent");
    ensure!(follower.document_for(&ask(7)).is_none(), "sent again");
    Ok(())
}
