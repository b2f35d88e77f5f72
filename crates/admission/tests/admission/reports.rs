//! What boxes tell each other of the load on plain services.

use std::collections::BTreeMap;

use tidepier_admission::demand::Service;
use tidepier_admission::report::{Account, Class, Load, Offered, Rank, Report, CLASSES_MAX};

fn service() -> Service {
    Service::new(&"service-1".parse().expect("a valid name"))
}

fn class(rank: u8, number: u32) -> Class {
    Class {
        rank: Rank(rank),
        account: Account::new(&number.to_string()),
    }
}

/// A report with these accounts, the later ones with more requests.
fn report(accounts: std::ops::Range<u32>, count: u32) -> Report {
    let offered = |number: u32| Offered {
        recent: number + 1,
        usual: 2 * number + 1,
    };
    let load = Load {
        offered: accounts
            .map(|number| (class((number % 3) as u8, number), offered(number)))
            .collect(),
        distinct: count,
        returned: count + 1,
        refused: count + 2,
        answered: count + 3,
        time_ms: count + 4,
        late: count + 5,
        rejected: count + 6,
    };
    Report {
        services: BTreeMap::from([(service(), load)]),
    }
}

fn sums(report: &Report) -> (u64, u64) {
    let offered = || report.services[&service()].offered.values();
    let recent = offered().map(|it| u64::from(it.recent)).sum();
    let usual = offered().map(|it| u64::from(it.usual)).sum();
    (recent, usual)
}

/// Guards against a hub whose sums drift as boxes replace their reports.
#[test]
fn a_report_that_is_subtracted_leaves_the_former_sum() {
    let mut sum = report(0..20, 7);
    let former = sum.clone();
    let added = report(10..40, 90);
    sum.add(&added);
    assert_ne!(sum, former);
    sum.subtract(&added);
    assert_eq!(sum, former);
    sum.subtract(&former);
    assert!(sum.is_empty(), "{sum:?}");
}

/// Guards against messages that grow with the number of accounts, and against demand that
/// disappears from the sums as its account is not among the largest.
#[test]
fn a_report_is_bounded_without_loss_of_demand() {
    let whole = report(0..1_000, 7);
    let bounded = whole.bounded();
    assert_eq!(sums(&bounded), sums(&whole));
    let load = &bounded.services[&service()];
    // Beside the largest ones there is one sum for each of the three ranks.
    assert!(load.offered.len() <= CLASSES_MAX + 3, "{load:?}");
    let largest = class(0, 999);
    let before = &whole.services[&service()];
    assert_eq!(load.offered[&largest], before.offered[&largest]);
    let others = |it: &&Class| it.account == Account::OTHERS;
    assert_eq!(load.offered.keys().filter(others).count(), 3);
    assert_eq!(load.distinct, before.distinct);
}

/// Guards against an overflow by the counts of a faulty box.
#[test]
fn the_largest_counts_do_not_overflow() {
    let most = Offered {
        recent: u32::MAX,
        usual: u32::MAX,
    };
    let load = Load {
        offered: (0..1_000).map(|it| (class(u8::MAX, it), most)).collect(),
        distinct: u32::MAX,
        returned: u32::MAX,
        refused: u32::MAX,
        answered: u32::MAX,
        time_ms: u32::MAX,
        late: u32::MAX,
        rejected: u32::MAX,
    };
    let faulty = Report {
        services: BTreeMap::from([(service(), load)]),
    };
    let mut sum = report(0..20, 7);
    sum.add(&faulty);
    sum.add(&faulty);
    let others = Class {
        rank: Rank(u8::MAX),
        account: Account::OTHERS,
    };
    let bounded = sum.bounded();
    let load = &bounded.services[&service()];
    assert_eq!(load.offered[&others], most);
    assert!(load.offered_rate().0.is_finite());
    sum.subtract(&faulty);
}

/// Guards against messages that grow by the names of fields: a box sends one each 0.4 s, and
/// a hub one to each box of its hall.
#[test]
fn a_report_of_a_service_takes_less_than_half_a_kilobyte() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&report(0..1_000, 7).bounded(), &mut bytes).unwrap();
    assert!(bytes.len() < 512, "{} bytes", bytes.len());
    let read: Report = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(read, report(0..1_000, 7).bounded());
}
