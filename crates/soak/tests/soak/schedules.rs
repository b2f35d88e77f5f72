//! Tests of the schedule that a seed gives.

use std::collections::BTreeSet;
use std::time::Duration;

use tidepier_soak::bound;
use tidepier_soak::fault::{Fault, Server};
use tidepier_soak::schedule::{Schedule, Step};

#[test]
fn a_seed_determines_the_whole_schedule() {
    for seed in [0, 7, u64::MAX] {
        assert_eq!(Schedule::new(seed), Schedule::new(seed));
    }
    assert_ne!(Schedule::new(1).steps, Schedule::new(2).steps);
}

#[test]
fn steps_come_in_order_and_end_in_time() {
    for seed in 0..200 {
        let schedule = Schedule::new(seed);
        assert!(schedule.steps.is_sorted_by_key(|step| step.at));
        for step in &schedule.steps {
            assert!(step.at < Duration::from_secs(10), "{step:?}");
            assert!(step.lasts < Duration::from_secs(8), "{step:?}");
        }
    }
}

#[test]
fn all_kinds_of_faults_come_and_overlap() {
    let steps: Vec<_> = (0..400)
        .flat_map(|seed| Schedule::new(seed).steps)
        .collect();
    let names: BTreeSet<String> = steps.iter().map(|step| step.fault.name()).collect();
    // 4 links by 4 harms, 4 signals, 8 of the store, 9 + 5 of a server, 9 of all
    // servers, 3 changes.
    assert_eq!(names.len(), 16 + 4 + 8 + 14 + 9 + 3, "{names:?}");
    let overlaps = |seed| {
        let steps = Schedule::new(seed).steps;
        steps
            .windows(2)
            .any(|pair| pair[0].at + pair[0].lasts > pair[1].at)
    };
    assert!((0..50).filter(|seed| overlaps(*seed)).count() > 40);
}

#[test]
fn emptied_halls_leave_the_other_faults_as_they_are() {
    for seed in 0..50 {
        let plain = Schedule::new(seed);
        let more = plain.clone().with_emptied_halls();
        let is_emptied = |step: &&Step| step.fault.name() == "config_emptyhall";
        let others = more.steps.iter().filter(|step| !is_emptied(step));
        assert!(others.eq(plain.steps.iter()), "seed {seed}");
        assert!(more.steps.iter().any(|step| is_emptied(&step)));
    }
}

#[test]
fn crashing_requests_and_suspensions_leave_the_other_faults_as_they_are() {
    let added = ["requests_crashing", "process_suspend"];
    for seed in 0..50 {
        let plain = Schedule::new(seed);
        let more = plain.clone().with_crashing_requests().with_suspensions();
        let is_added = |step: &&Step| added.contains(&step.fault.name().as_str());
        let others = more.steps.iter().filter(|step| !is_added(step));
        assert!(others.eq(plain.steps.iter()), "seed {seed}");
        assert!(more.steps.is_sorted_by_key(|step| step.at));
        for name in added {
            let count = more.steps.iter().filter(|step| step.fault.name() == name);
            assert!(count.count() > 1, "seed {seed}: {name}");
        }
    }
}

#[test]
fn advertisements_leave_the_other_faults_as_they_are() {
    for seed in 0..50 {
        let plain = Schedule::new(seed);
        let more = plain.clone().with_words();
        let named = |name: &str| {
            let named = more.steps.iter().filter(|step| step.fault.name() == name);
            named.count()
        };
        assert_eq!((named("server_say"), named("server_rest")), (2, 4));
        // The seventh is a store outage while a server announces that it leaves.
        assert_eq!(more.steps.len(), plain.steps.len() + 7, "seed {seed}");
        assert!(more.steps.is_sorted_by_key(|step| step.at));
        let mut left = more.steps.iter();
        let kept = plain.steps.iter().all(|step| left.any(|it| it == step));
        assert!(kept, "seed {seed}");
    }
}

#[test]
fn partitions_leave_the_other_faults_as_they_are_and_a_box_out() {
    for seed in 0..50 {
        let plain = Schedule::new(seed);
        let more = plain.clone().with_partitions();
        let others = more.steps.iter().filter(|step| !is_partition(step));
        assert!(others.eq(plain.steps.iter()), "seed {seed}");
        let counts = more.steps.iter().filter_map(|step| match step.fault {
            Fault::Partition(_, count, _) => Some(count),
            _ => None,
        });
        let counts: Vec<usize> = counts.collect();
        assert_eq!(counts.len(), 3);
        assert!(counts.iter().all(|count| (1..plain.boxes).contains(count)));
    }
}

#[test]
fn short_outages_leave_the_other_faults_as_they_are_and_end_before_servers_leave() {
    for seed in 0..50 {
        let plain = Schedule::new(seed);
        let more = plain.clone().with_short_outages();
        let mut left = more.steps.iter();
        let kept = plain.steps.iter().all(|step| left.any(|it| it == step));
        assert!(kept, "seed {seed}");
        let added: Vec<&Step> = left.collect();
        assert_eq!(added.len(), 9, "seed {seed}");
        for round in added.chunks(3) {
            let [joins, outage, leaves] = [round[0], round[1], round[2]];
            assert!(matches!(joins.fault, Fault::Server(_, Server::Join)));
            assert!(matches!(leaves.fault, Fault::Server(_, Server::Leave)));
            assert!(outage.at >= joins.at);
            let stable = leaves.at - (outage.at + outage.lasts);
            assert!(stable > bound::GRACE_PERIOD, "seed {seed}");
        }
    }
}

#[test]
fn copies_leave_the_other_faults_as_they_are() {
    for seed in 0..50 {
        let plain = Schedule::new(seed);
        let more = plain.clone().with_copies();
        let is_copy = |step: &&Step| matches!(step.fault, Fault::Copies(_));
        let others = more.steps.iter().filter(|step| !is_copy(step));
        assert!(others.eq(plain.steps.iter()), "seed {seed}");
        assert_eq!(more.steps.iter().filter(is_copy).count(), 4);
        assert!(more.steps.is_sorted_by_key(|step| step.at));
    }
}

#[test]
fn standstills_leave_the_other_faults_as_they_are_and_a_window_for_the_rule_on_load() {
    for seed in 0..50 {
        let plain = Schedule::new(seed);
        let more = plain.clone().with_standstills();
        let is_standstill =
            |step: &&Step| matches!(step.fault, Fault::Server(_, Server::Standstill));
        let others = more.steps.iter().filter(|step| !is_standstill(step));
        assert!(others.eq(plain.steps.iter()), "seed {seed}");
        let added: Vec<&Step> = more.steps.iter().filter(is_standstill).collect();
        assert_eq!(added.len(), 3);
        for pair in added.windows(2) {
            assert!(pair[1].at - pair[0].at > bound::CROWD_WINDOW, "seed {seed}");
        }
    }
}

fn is_partition(step: &Step) -> bool {
    matches!(step.fault, Fault::Partition(..))
}
