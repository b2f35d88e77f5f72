//! Moving a model's traffic from an old back end and back, as
//! `docs/MIGRATION.md` walks through it.

use std::sync::atomic::Ordering;

use tidepier_config::document::{Document, Old};
use tidepier_config::settings::Address;

use crate::harness::{Fleet, Plan};

/// The last engine plays the old back end: it is in no document.
const OLD: usize = 2;

fn share(document: &mut Document, percent: u8) {
    let old = document.engines.remove(OLD);
    document.old = vec![Old {
        model: old.model,
        account: None,
        percent,
        address: Address(old.address.0),
    }];
}

#[test]
fn a_share_of_chats_stays_on_the_old_back_end() {
    let fleet = Fleet::start(Plan {
        boxes: 2,
        engines: 3,
        ..Plan::default()
    });
    let started = || fleet.engine(OLD).engine().started.load(Ordering::SeqCst);
    let mut went = Vec::new();
    for (generation, percent) in (2..).zip([100, 40, 0, 40]) {
        fleet
            .apply_with(0, None, |document| share(document, percent))
            .unwrap();
        fleet.wait("in force", || {
            fleet.generations() == [generation, generation]
        });
        let before = started();
        // The same chats each time: a share is one of chats, not of requests.
        let outcomes = fleet.chats(0..100, 3);
        for outcome in &outcomes {
            assert!(outcome.wrong == 0 && outcome.whole, "{outcome:?}");
        }
        went.push(started() - before);
    }
    assert_eq!(went[0], 100);
    assert!((20..=60).contains(&went[1]), "{went:?}");
    assert_eq!(went[2], 0);
    assert_eq!(went[3], went[1], "the same chats go back");
}
