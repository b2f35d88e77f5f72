//! Tests of clients and servers that misbehave: their schedules, and what rules find beside
//! them.

use std::collections::BTreeSet;
use std::time::Duration;

use tidepier_relay_standin::client::End;
use tidepier_relay_standin::server::{event, Events, Odd, Order, Outcome};
use tidepier_soak::fault::Fault;
use tidepier_soak::ledger::{Fact, Scope, Traffic};
use tidepier_soak::misuse::{Manner, Misuse};
use tidepier_soak::process::Level;
use tidepier_soak::rule::Rule;
use tidepier_soak::schedule::Schedule;
use tidepier_soak::{bound, plan};

use crate::rules::TestRun;

/// A request in the time of a stop that began at 10 s.
struct Stopped {
    /// When its head was sent, and how long after it its body.
    sent: f64,
    body: f64,
    /// When it arrived at a server and ended there; `None`: at no server.
    ran: Option<(f64, f64)>,
    /// When its connection was closed without an answer.
    closed: f64,
}

impl Stopped {
    fn broken_rules(&self) -> Vec<Rule> {
        let mut case = TestRun::new();
        case.record_fact(10.0, Fact::Stopping(0));
        let traffic = Traffic::Once;
        if let Some((arrived, ended)) = self.ran {
            case.record_execution("a", traffic, arrived, plan::PLAIN);
            let ended = case.at(ended);
            if let Some(delivery) = case.deliveries.last_mut() {
                delivery.run.ended = Some(ended);
                delivery.run.outcome = Outcome::Left;
            }
        }
        case.record_request("a", traffic, self.sent, 0, b"");
        let mut evidence = case.evidence();
        evidence
            .disturbances
            .push(case.disturbance(Scope::Box(0), 10.0, 18.5));
        let request = &mut evidence.requests[0];
        request.manner = Manner::Late(Duration::from_secs_f64(self.body));
        request.ended = Some(case.at(self.closed));
        if let Some(answer) = &mut request.answer {
            answer.complete = false;
            answer.end = End::Closed;
            answer.elapsed = Duration::from_secs_f64(self.closed - self.sent);
        }
        TestRun::broken_rules_of(&evidence)
    }
}

/// Guards against requests that are taken late in the grace period and cut at its end, which no
/// rule finds.
#[test]
fn a_late_request_that_a_stop_cuts_is_found() {
    let cut = Stopped {
        sent: 12.5,
        body: 2.5,
        ran: Some((15.0, 17.6)),
        closed: 17.6,
    };
    assert_eq!(cut.broken_rules(), [Rule::Planned]);
    let at_no_server = Stopped { ran: None, ..cut };
    assert_eq!(at_no_server.broken_rules(), [Rule::Planned]);
    let never_whole = Stopped {
        body: 5.2,
        ran: None,
        ..cut
    };
    assert_eq!(never_whole.broken_rules(), []);
    let whole_early = Stopped {
        body: 0.4,
        ran: Some((12.9, 17.6)),
        ..cut
    };
    assert_eq!(whole_early.broken_rules(), []);
    let cut_early = Stopped {
        ran: Some((12.9, 16.0)),
        closed: 16.0,
        ..whole_early
    };
    assert_eq!(cut_early.broken_rules(), [Rule::Planned]);
}

#[test]
fn a_request_that_was_never_whole_may_be_refused_but_not_executed() {
    let broken = |misuse: Misuse, ran: bool| {
        let mut case = TestRun::new();
        if ran {
            case.record_execution("a", Traffic::Repeatable, 1.01, plan::PLAIN);
        }
        case.record_request("a", Traffic::Repeatable, 1.0, 413, b"");
        let mut evidence = case.evidence();
        evidence.requests[0].manner = Manner::Misuse(misuse);
        evidence.requests[0]
            .answer
            .as_mut()
            .expect("answered")
            .fields
            .truncate(1);
        TestRun::broken_rules_of(&evidence)
    };
    assert_eq!(broken(Misuse::LongChunked, false), []);
    assert_eq!(broken(Misuse::LongChunked, true), [Rule::Unasked]);
    assert_eq!(broken(Misuse::Pipelined, true), []);
}

/// What a client got of a stream of four events whose server sent them in an odd order.
fn with_events(ids: &[u64], is_complete: bool, order: Option<Order>) -> Vec<Rule> {
    let mut case = TestRun::new();
    case.record_execution("a", Traffic::Resumable, 1.01, plan::STREAM);
    if let Some(delivery) = case.deliveries.last_mut() {
        delivery.run.odd = order.map(Odd::Events);
        delivery.server.events = Some(Events {
            count: 4,
            pause: Duration::ZERO,
        });
    }
    let body: String = ids.iter().map(|id| event(*id)).collect();
    case.record_request("a", Traffic::Resumable, 1.0, 200, body.as_bytes());
    let mut evidence = case.evidence();
    evidence.requests[0]
        .answer
        .as_mut()
        .expect("answered")
        .complete = is_complete;
    TestRun::broken_rules_of(&evidence)
}

#[test]
fn events_out_of_order_are_found() {
    let (swapped, repeated) = (Some(Order::Swapped), Some(Order::Repeated));
    assert_eq!(with_events(&[1, 2, 3, 4], true, repeated), []);
    assert_eq!(with_events(&[1, 2], false, repeated), []);
    for ids in [&[1, 1][..], &[1, 3], &[2, 1], &[1, 2, 1]] {
        assert_eq!(
            with_events(ids, false, repeated),
            [Rule::Answers],
            "{ids:?}"
        );
    }
    // A box that has passed on the later one of two events can only break off.
    assert_eq!(with_events(&[1, 3], false, swapped), []);
    assert_eq!(with_events(&[1, 3, 4], true, swapped), [Rule::Answers]);
    assert_eq!(with_events(&[1, 3, 2], false, swapped), [Rule::Answers]);
    assert_eq!(with_events(&[1, 3], false, None), [Rule::Answers]);
}

#[test]
fn a_process_over_its_limits_is_found() {
    let limits = bound::LOW_LIMITS;
    let within = Level {
        memory_peak_kb: 62_500,
        descriptors: 512,
        ..Level::default()
    };
    assert_eq!(limits.exceeded_by(&within), None);
    let over = [
        Level {
            memory_peak_kb: 62_501,
            ..within
        },
        Level {
            descriptors: 513,
            ..within
        },
    ];
    for level in over {
        let case = TestRun::new();
        let what = limits.exceeded_by(&level).expect("over its limits");
        case.record_fact(1.0, Fact::OverLimits(0, what));
        assert_eq!(case.broken_rules(), [Rule::Limits]);
    }
}

#[test]
fn all_kinds_of_misbehaviour_come_and_a_run_ends_in_time() {
    let schedules = (0..300).map(|seed| Schedule::new(seed).with_misbehaving());
    let steps: Vec<_> = schedules.flat_map(|schedule| schedule.steps).collect();
    let names: BTreeSet<String> = steps
        .iter()
        .map(|step| step.fault.name())
        .filter(|name| name.contains("misuse") || name.contains("_odd_"))
        .collect();
    // 8 kinds at 3 ports; 12 kinds of answers, of one server or all.
    assert_eq!(names.len(), 8 * 3 + 12 * 2, "{names:?}");
    for step in &steps {
        assert!(step.at < Duration::from_secs(20), "{step:?}");
        if matches!(step.fault, Fault::Misuse(..)) {
            let end = step.at + step.lasts;
            assert!(end < Duration::from_secs(9), "{step:?}");
        }
    }
}
