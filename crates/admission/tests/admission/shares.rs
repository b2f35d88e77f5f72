//! How the capacity is divided between classes.

use std::collections::BTreeMap;

use tidepier_admission::rate::Rate;
use tidepier_admission::report::{Account, Class, Offered, Rank};
use tidepier_admission::share::{allocate, Shares};

/// The least part of the mean fraction that every class is promised.
const LEAST_PART: f64 = 0.25;
/// Reported units for one request a second: tenths of a request in half a second.
const UNITS_PER_RATE: f64 = 5.0;

fn class(rank: u8, account: &str) -> Class {
    Class {
        rank: Rank(rank),
        account: Account::new(account),
    }
}

/// Demand in requests a second, recent and usual.
fn offered(recent: f64, usual: f64) -> Offered {
    Offered {
        recent: (recent * UNITS_PER_RATE) as u32,
        usual: (usual * UNITS_PER_RATE) as u32,
    }
}

/// The rate that the shares admit.
fn admitted(demand: &BTreeMap<Class, Offered>, shares: &Shares) -> f64 {
    let rate = |it: &Offered| f64::from(it.recent) / UNITS_PER_RATE;
    let parts = demand
        .iter()
        .map(|(class, it)| rate(it) * shares.of(*class));
    parts.sum()
}

/// Guards against less urgent requests that displace urgent ones, and against a rank that
/// gets nothing while an urgent one needs all of the capacity.
#[test]
fn urgent_ranks_come_first_and_every_class_keeps_the_least_part() {
    let (urgent, usual, last) = (class(0, "a"), class(1, "a"), class(2, "b"));
    let demand = BTreeMap::from([
        (urgent, offered(60.0, 60.0)),
        (usual, offered(60.0, 60.0)),
        (last, offered(60.0, 60.0)),
    ]);
    for capacity in [20.0, 60.0, 100.0, 140.0, 179.0] {
        let shares = allocate(&demand, Rate(capacity));
        let of = |class| shares.of(class);
        assert!(of(urgent) >= of(usual), "{capacity}: {shares:?}");
        assert!(of(usual) >= of(last), "{capacity}: {shares:?}");
        let least = LEAST_PART * capacity / 180.0;
        assert!(of(last) >= least, "{capacity}: {shares:?}");
    }
    let shares = allocate(&demand, Rate(100.0));
    assert!(shares.of(urgent) > 0.99, "{shares:?}");
    assert!(shares.of(last) < shares.of(usual), "{shares:?}");
}

/// Guards against one account whose crowd displaces the requests of the others, also of an
/// account that has just begun to send.
#[test]
fn an_account_at_eight_times_its_usual_is_limited_first() {
    let (large, small, new) = (class(1, "large"), class(1, "small"), class(1, "new"));
    let demand = BTreeMap::from([
        (large, offered(160.0, 20.0)),
        (small, offered(20.0, 20.0)),
        (new, offered(10.0, 0.0)),
    ]);
    let shares = allocate(&demand, Rate(80.0));
    assert!(shares.of(small) > 0.99, "{shares:?}");
    assert!(shares.of(large) < 0.5, "{shares:?}");
    let least = LEAST_PART * shares.mean();
    assert!(shares.of(new) >= least, "{shares:?}");
}

/// Guards against shares that admit more than the capacity, leave some of it unused, or are
/// not fractions, for demands and ranks of any size, also none.
#[test]
fn shares_use_the_capacity_and_no_more() {
    let mut random = fastrand::Rng::with_seed(5);
    for case in 0..2_000 {
        let demand: BTreeMap<Class, Offered> = (0..random.u32(1..40))
            .map(|number| {
                let most = 10u32.pow(random.u32(0..6));
                let it = Offered {
                    recent: random.u32(0..most),
                    usual: random.u32(0..most),
                };
                (class(random.u8(0..4), &number.to_string()), it)
            })
            .collect();
        let total = admitted(&demand, &Shares::all());
        let capacity = total * random.f64() * 1.2;
        let shares = allocate(&demand, Rate(capacity));
        for class in demand.keys() {
            let share = shares.of(*class);
            assert!((0.0..=1.0).contains(&share), "{case}: {share}");
        }
        let (got, wanted) = (admitted(&demand, &shares), capacity.min(total));
        let error = (got - wanted).abs();
        assert!(error <= 1e-6 * total, "{case}: {got} of {wanted}");
    }
    assert_eq!(allocate(&BTreeMap::new(), Rate(0.0)), Shares::all());
}
