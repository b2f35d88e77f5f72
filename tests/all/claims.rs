//! Tests of claims: many writers share few pages in a store that loses replies,
//! and each test counts how many of them are told that they hold a key.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use smol::Executor;
use tidepier_claims::{Claimant, Key, Pages, Verdict, PAGES};
use tidepier_http::client::Pool;
use tidepier_ids as ids;
use tidepier_standin::faults::Faults;
use tidepier_standin::part::Part;
use tidepier_standin::store::{Door, Store};
use tidepier_store::etcd::Client;

use crate::streams::config;

static NEXT: AtomicU16 = AtomicU16::new(0);

struct Harness {
    store: Part<Door>,
    executor: Arc<Executor<'static>>,
}

impl Harness {
    fn new() -> Self {
        for _ in 0..100 {
            let port = 8000 + NEXT.fetch_add(1, Ordering::SeqCst) % 900;
            let store = Part::new(([127, 0, 0, 1], port).into(), Arc::new(Door(Store::new())));
            if store.start().is_ok() {
                let executor = Arc::new(Executor::new());
                return Self { store, executor };
            }
        }
        panic!("no free port");
    }

    fn pages(&self, retention: Duration) -> Pages {
        let timeout = Duration::from_millis(300);
        let client = Client::new(Pool::new(), self.store.address());
        let interval = Duration::from_millis(1);
        let fleet = "safi".parse().unwrap();
        Pages::new(client, timeout, fleet, retention, interval, &self.executor)
    }

    fn run<T>(&self, work: impl std::future::Future<Output = T>) -> T {
        smol::block_on(self.executor.run(work))
    }

    fn set_faults(&self, faults: Faults) {
        self.store.handler().0.switches.set(faults);
    }
}

fn key(text: &str) -> Key {
    Key::new(&"drivers".parse().unwrap(), "service/billing/drafts", text)
}

fn claimant(index: usize) -> Claimant {
    Claimant::new(format!("box-{index}").parse().unwrap(), ids::Incarnation(1))
}

const RETENTION: Duration = Duration::from_secs(3600);

#[test]
fn one_of_many_writers_holds_a_key() {
    let harness = Harness::new();
    let writers: Vec<_> = (0..6).map(|_| harness.pages(RETENTION)).collect();
    let held = harness.run(async {
        let mut tasks = Vec::new();
        for (index, pages) in writers.iter().enumerate() {
            for number in 0..50 {
                let pages = pages.clone();
                tasks.push(harness.executor.spawn(async move {
                    let key = key(&format!("key-{number}"));
                    let verdict = pages
                        .claim(&key, claimant(index), ids::Digest(0), None)
                        .await;
                    (number, verdict == Verdict::Held)
                }));
            }
        }
        let mut held: BTreeMap<i32, u32> = BTreeMap::new();
        for task in tasks {
            let (number, yes) = task.await;
            *held.entry(number).or_default() += u32::from(yes);
        }
        held
    });
    assert!(held.values().all(|count| *count == 1), "{held:?}");
    let writes = harness.store.handler().0.counts().writes;
    assert!(
        writes < 300,
        "300 claims took {writes} writes: they are recorded together"
    );
}

#[test]
fn a_claim_whose_reply_was_lost_is_recognised() {
    let harness = Harness::new();
    let pages = harness.pages(RETENTION);
    // The first claim reads the page; after it, a claim on the same page calls the
    // store for its write only, so that the lost reply is that of the write.
    let page = key("a").page(PAGES);
    let same = (0..)
        .map(|number| format!("b{number}"))
        .find(|text| key(text).page(PAGES) == page);
    let same = key(&same.unwrap());
    let first = harness.run(pages.claim(&key("a"), claimant(1), ids::Digest(0), None));
    assert_eq!(first, Verdict::Held);
    harness.set_faults(Faults {
        drop_reply: 1,
        ..Faults::default()
    });
    let writes = harness.store.handler().0.counts().writes;
    let second = harness.run(pages.claim(&same, claimant(1), ids::Digest(0), None));
    assert_eq!(
        second,
        Verdict::Held,
        "its write took effect though the reply was lost"
    );
    assert_eq!(
        harness.store.handler().0.counts().writes,
        writes + 1,
        "and is not made twice"
    );
}

#[test]
fn claims_survive_a_full_head_and_their_writer() {
    let harness = Harness::new();
    let pages = harness.pages(RETENTION);
    harness.run(async {
        let mut tasks = Vec::new();
        for number in 0..12_000 {
            let pages = pages.clone();
            tasks.push(harness.executor.spawn(async move {
                let key = key(&format!("key-{number}"));
                pages.claim(&key, claimant(1), ids::Digest(0), None).await
            }));
            if tasks.len() == 500 {
                for task in tasks.drain(..) {
                    assert_eq!(task.await, Verdict::Held);
                }
            }
        }
    });
    let other = harness.pages(RETENTION);
    for number in [0, 1, 5999, 11_999] {
        let key = key(&format!("key-{number}"));
        let verdict = harness.run(other.claim(&key, claimant(2), ids::Digest(0), None));
        assert!(
            matches!(verdict, Verdict::Earlier(_)),
            "{number}: {verdict:?}"
        );
    }
}

#[test]
fn a_claim_that_was_given_up_passes_to_one_other() {
    let harness = Harness::new();
    let pages = harness.pages(RETENTION);
    let old = claimant(1);
    let given_up = old.request;
    assert_eq!(
        harness.run(pages.claim(&key("a"), old, ids::Digest(0), None)),
        Verdict::Held
    );
    let supersede = |index| {
        let key = key("a");
        harness.run(pages.claim(&key, claimant(index), ids::Digest(0), Some(given_up)))
    };
    assert_eq!(supersede(2), Verdict::Held);
    assert!(matches!(supersede(3), Verdict::Earlier(_)));
}

/// A step of the property test: a claim, a fault of the store or a new writer.
#[derive(Debug, Clone)]
enum Step {
    Claim { writer: usize, key: u8 },
    DropReplies(u32),
    Refuse(u32),
    Slow(u64),
    NewWriter(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..3usize, 0..12u8).prop_map(|(writer, key)| Step::Claim { writer, key }),
        1 => (1..3u32).prop_map(Step::DropReplies),
        1 => (1..3u32).prop_map(Step::Refuse),
        1 => (0..20u64).prop_map(Step::Slow),
        1 => (0..3usize).prop_map(Step::NewWriter),
    ]
}

proptest! {
    #![proptest_config(config(24))]

    /// Whatever the steps, at most one claim per key gets the verdict that it
    /// holds the key.
    #[test]
    fn a_key_is_held_once_at_most(steps in prop::collection::vec(any_step(), 1..60)) {
        let harness = Harness::new();
        let mut writers: Vec<_> = (0..3).map(|_| harness.pages(RETENTION)).collect();
        let mut held: BTreeMap<u8, u32> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Claim { writer, key: number } => {
                    let key = key(&format!("key-{number}"));
                    let claim = writers[writer].claim(&key, claimant(writer), ids::Digest(0), None);
                    if harness.run(claim) == Verdict::Held {
                        *held.entry(number).or_default() += 1;
                    }
                }
                Step::DropReplies(count) => harness.set_faults(Faults {
                    drop_reply: count,
                    ..Faults::default()
                }),
                Step::Refuse(count) => harness.set_faults(Faults {
                    refuse: count,
                    ..Faults::default()
                }),
                Step::Slow(delay_ms) => harness.set_faults(Faults {
                    delay_ms,
                    ..Faults::default()
                }),
                Step::NewWriter(index) => writers[index] = harness.pages(RETENTION),
            }
        }
        prop_assert!(held.values().all(|count| *count <= 1), "{:?}", held);
    }
}
