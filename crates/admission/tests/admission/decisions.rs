//! Decisions on single requests.

use std::time::Duration;

use tidepier_admission::admission::{is_under_pressure, Admission, Request, Verdict};
use tidepier_admission::demand::Service;
use tidepier_admission::report::{Account, Class, Rank};
use tidepier_clock::Instant;
use tidepier_ids as ids;

fn request(content: u64) -> Request {
    let service: ids::Service = "ledger".parse().unwrap();
    Request {
        service: Service::new(&service),
        class: Class {
            rank: Rank(0),
            account: Account::OTHERS,
        },
        objective: Duration::from_millis(300),
        left: Duration::from_secs(4),
        elapsed: Duration::ZERO,
        begun: Duration::ZERO,
        content,
        slots: 6.0,
        in_flight: None,
    }
}

/// An admission of a box whose own answers show that the servers are full.
fn crowded(now: Instant) -> Admission {
    let admission = Admission::default();
    for time in [50, 50, 300, 300, 300] {
        admission.answered(&request(0), Duration::from_millis(time), now);
    }
    admission
}

/// Guards against a service without servers whose requests are refused as too many: callers
/// would not learn that there is none, or that it is leaving.
#[test]
fn without_servers_no_request_is_refused_for_load() {
    let now = Instant::now();
    let admission = crowded(now);
    let without = |content| Request {
        slots: 0.0,
        ..request(content)
    };
    let refused = |request: &Request| admission.decide(request, now).0 != Verdict::Admitted;
    assert!((0..50).any(|content| refused(&request(content))));
    assert!((0..50).all(|content| !refused(&without(content))));
    assert!(!is_under_pressure(0.0, 0.0));
}

/// Guards against clients that gain by repeating a refused request at once.
#[test]
fn a_request_that_is_repeated_at_once_gets_the_same_verdict() {
    let now = Instant::now();
    let admission = crowded(now);
    let refused = (0..50).map(request);
    let refused: Vec<Request> = refused
        .filter(|it| admission.decide(it, now).0 != Verdict::Admitted)
        .collect();
    assert!(!refused.is_empty());
    for request in refused {
        let again = Request {
            elapsed: Duration::from_millis(30),
            ..request
        };
        assert_ne!(admission.decide(&again, now).0, Verdict::Admitted);
    }
}
