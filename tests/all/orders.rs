//! Tests of the steward: engines converge to the document, and a holder of the
//! duty that was suspended beyond the end of its lease sends no orders.

use std::time::Duration;

use tidepier_standin::faults::Faults;
use tidepier_steward::Duty;

use crate::harness::{Fleet, Plan};

fn fleet() -> Fleet {
    Fleet::start(Plan {
        boxes: 2,
        engines: 4,
        ..Plan::default()
    })
}

#[test]
fn engines_converge_to_the_document_through_faults() {
    let fleet = fleet();
    let _steward = fleet.steward(0);
    let old = fleet.made.document.models[0].version.clone();
    fleet.wait("the first version", || fleet.loaded(&old));
    // One engine rejects the next three requests.
    fleet.engine(1).engine().switches.set(Faults {
        refuse: 3,
        ..Faults::default()
    });
    fleet
        .apply_with(0, None, |document| {
            document.models[0].version = "next".into()
        })
        .unwrap();
    fleet.wait("the next version", || fleet.loaded("next"));
    assert_eq!(fleet.stale_orders(), 0);
}

#[test]
fn a_holder_that_slept_past_its_lease_orders_nothing() {
    let fleet = fleet();
    let first = fleet.steward(0);
    let old = fleet.made.document.models[0].version.clone();
    fleet.wait("the first version", || fleet.loaded(&old));
    first.freeze();
    fleet
        .apply_with(0, None, |document| {
            document.models[0].version = "next".into()
        })
        .unwrap();
    let _second = fleet.steward(1);
    fleet.wait("the next version", || fleet.loaded("next"));
    first.thaw();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(
        fleet.stale_orders(),
        0,
        "no engine took an order with an old number"
    );
    assert!(fleet.loaded("next"));
}

#[test]
fn a_duty_has_one_holder_and_growing_numbers() {
    let fleet = fleet();
    let settings = &fleet.made.boxes[0];
    let pool = tidepier_http::client::Pool::new();
    let store = tidepier_store::etcd::Client::new(pool, settings.platform.store.0);
    let timeout = Duration::from_millis(500);
    let duty = |index: usize| {
        let name = fleet.made.boxes[index].name.clone();
        Duty::new(
            store.clone(),
            timeout,
            &settings.fleet,
            &settings.hall,
            name,
        )
    };
    let (one, other) = (duty(0), duty(1));
    let first = smol::block_on(one.take())
        .unwrap()
        .expect("the duty is free");
    assert!(first.valid());
    assert!(
        smol::block_on(other.take()).unwrap().is_none(),
        "it is held"
    );
    smol::block_on(one.give_back(&first)).unwrap();
    let second = smol::block_on(other.take())
        .unwrap()
        .expect("it is free at once");
    assert!(second.fencing > first.fencing);
}
