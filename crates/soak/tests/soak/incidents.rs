//! Tests of rounds of incidents: their schedules, and what the rule on silence finds.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use tidepier_relay_standin::client::{Answer, End};
use tidepier_soak::count::Cuts;
use tidepier_soak::evidence::Evidence;
use tidepier_soak::fault::Fault;
use tidepier_soak::ledger::{Fact, Ledger, Request, Scope, Traffic};
use tidepier_soak::misuse::Manner;
use tidepier_soak::rule::{Rule, Verdict};
use tidepier_soak::schedule::{Schedule, Step};

/// Evidence of a stream that a box cut after 1.5 s. Before it began something else was
/// disturbed, and `silence` says whether servers stand still.
fn with_a_cut_stream(silence: bool, elapsed: Duration, other: Option<Scope>) -> Evidence {
    let started = Instant::now() - Duration::from_secs(20);
    let ledger = Ledger::default();
    ledger.record_fact_at(started, Fact::Born(0));
    if let Some(scope) = other {
        ledger.begin_disturbance(scope, "other", false);
    }
    if silence {
        ledger.begin_disturbance(Scope::Silence, "servers_silence", false);
    }
    let sent = Instant::now();
    let number = ledger.record_sent(Request {
        id: "s-1".into(),
        traffic: Traffic::Resumable,
        content: None,
        crashing_part: None,
        takes_up: None,
        manner: Manner::Usual,
        box_index: 0,
        key: None,
        sent,
        ended: None,
        answer: None,
    });
    let answer = Answer {
        status: 0,
        fields: Vec::new(),
        body: Vec::new(),
        complete: false,
        end: End::Closed,
        elapsed,
        events: Vec::new(),
    };
    ledger.record_ended_at(sent + elapsed, number, Some(answer));
    Evidence::gather(&ledger, started, Vec::new)
}

fn broken(evidence: &Evidence) -> Vec<Rule> {
    let verdict = Verdict::new(evidence);
    verdict.violations.iter().map(|found| found.rule).collect()
}

const CUT_AFTER: Duration = Duration::from_millis(1_500);

#[test]
fn an_answer_that_is_cut_beside_silent_servers_is_found() {
    let found = with_a_cut_stream(true, CUT_AFTER, None);
    assert_eq!(broken(&found), [Rule::Silenced]);
    assert_eq!(Cuts::new(&found).other_silent.cuts, 1);
}

#[test]
fn a_cut_that_silence_does_not_explain_is_counted_only() {
    let other = with_a_cut_stream(false, CUT_AFTER, None);
    assert_eq!(broken(&other), []);
    assert_eq!(Cuts::new(&other).other.cuts, 1);
    // The connection was closed before the box read the request, or its time was over.
    for elapsed in [Duration::from_millis(100), Duration::from_millis(3_400)] {
        assert_eq!(broken(&with_a_cut_stream(true, elapsed, None)), []);
    }
    for scope in [Scope::Box(0), Scope::Server] {
        assert_eq!(broken(&with_a_cut_stream(true, CUT_AFTER, Some(scope))), []);
    }
    for scope in [Scope::Box(1), Scope::Store] {
        let found = with_a_cut_stream(true, CUT_AFTER, Some(scope));
        assert_eq!(broken(&found), [Rule::Silenced]);
    }
}

/// The names of the faults that come in all seeds of a kind, and whether the others come too.
fn names(kind: fn(Schedule) -> Schedule) -> (BTreeSet<String>, usize) {
    let mut beside = 0;
    let mut names = BTreeSet::new();
    for seed in 0..200 {
        let plain = Schedule::new(seed);
        let more = kind(plain.clone());
        assert_eq!(more, kind(Schedule::new(seed)));
        assert!(more.steps.is_sorted_by_key(|step| step.at));
        let kept = |step: &Step| more.steps.contains(step);
        let is_beside = plain.steps.iter().all(kept);
        beside += usize::from(is_beside);
        if !is_beside {
            names.extend(more.steps.iter().map(|step| step.fault.name()));
        }
    }
    (names, beside)
}

#[test]
fn silences_come_beside_all_kinds_of_changes() {
    let (names, beside) = names(Schedule::with_silences);
    let changes = ["idle", "mark", "storm", "timeout"].map(|kind| format!("config_{kind}"));
    let others = ["process_freeze", "servers_silence"].map(String::from);
    assert!(names.iter().eq(changes.iter().chain(&others)), "{names:?}");
    assert!((60..140).contains(&beside));
}

#[test]
fn servers_are_harmed_in_all_ways_while_boxes_start_again() {
    let (names, _) = names(Schedule::with_harms);
    let symptoms = ["crash", "failure", "hang", "reset", "slow", "standstill"];
    let boxes = ["process_kill", "process_kill_all", "process_terminate"].map(String::from);
    let harms = symptoms.map(|symptom| format!("servers_harm_{symptom}"));
    assert!(names.iter().eq(boxes.iter().chain(&harms)), "{names:?}");
    for seed in 0..50 {
        let schedule = Schedule::new(seed).with_harms();
        let is_harm = |step: &&Step| matches!(step.fault, Fault::Harm(_));
        let harms = schedule.steps.iter().filter(is_harm).count();
        assert!((3..=6).contains(&harms), "seed {seed}: {harms}");
    }
}

#[test]
fn boxes_are_killed_beside_rollouts_and_faults_of_the_store() {
    let (names, beside) = names(Schedule::with_restarts);
    for name in [
        "process_kill_all",
        "rollout_join",
        "rollout_rest",
        "store_losing",
    ] {
        assert!(names.contains(name), "{name}");
    }
    assert!((60..140).contains(&beside));
    let first = (0..200).filter(|seed| Schedule::new(*seed).with_restarts().first_start);
    assert!((60..140).contains(&first.count()));
}

#[test]
fn streams_break_after_a_release_joined_beside_a_box_out_of_step() {
    let (names, _) = names(Schedule::with_boxes_out_of_step);
    for name in [
        "process_freeze",
        "process_kill",
        "peer_way_cut_off",
        "store_way_silence",
    ] {
        assert!(names.contains(name), "{name}");
    }
    for seed in 0..50 {
        let schedule = Schedule::new(seed).with_boxes_out_of_step();
        let is_join = |step: &&Step| step.fault.name() == "rollout_join";
        let is_break = |step: &&Step| matches!(step.fault, Fault::BreakClients(_));
        let joins = schedule.steps.iter().filter(is_join);
        let breaks = schedule.steps.iter().filter(is_break);
        assert_eq!((joins.count(), breaks.count()), (2, 4), "seed {seed}");
    }
}
