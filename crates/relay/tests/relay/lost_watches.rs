//! Watches of the store whose call or answer is lost while the other calls of the box
//! are answered, so that nothing shows that the store was away.

use std::time::Duration;

use eyre::ensure;
use futures_lite::future;
use serde_json::{json, Value};
use smol::{Task, Timer};
use tidepier_clock::Instant;
use tidepier_core::server::State;
use tidepier_relay_standin::server::Server;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::{Down, Faults};

use crate::box_harness::{
    site_with_keys, start_boxes_in, wait_for_readers, TestBox, APPLY_TIME, FRESHNESS_CHECK_TIME,
    LEAVE_TIME,
};
use crate::harness::{ms, run, server_settings, wait_until, Executor, Result, SERVICE};

/// Two boxes of a hall, of which the second follows the first, and a box of another hall.
const HALLS: [&str; 3] = ["hall-1", "hall-1", "hall-2"];
/// The boxes among them that read the store.
const READERS: [usize; 2] = [0, 2];
/// Time from the end of an outage until the store counts as stable again.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Time from a change of a server until the watch that delivered it is called again.
const GATHER_MS: u64 = 400;

/// What an outage affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// Calls of all boxes, which get no answer.
    Store,
    /// What goes to and from the reader of the first hall.
    Reader,
}

/// A change that all boxes have to learn of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Leaving,
    Gone,
    Joined,
}

/// A fleet in which a server joins and the store is away for a moment afterwards.
struct Fleet {
    site: Site,
    boxes: Vec<TestBox>,
    servers: Vec<Server>,
}

impl Fleet {
    async fn start(executor: &Executor) -> Result<Self> {
        let site = site_with_keys()?;
        let servers = [1, 2, 3].map(|number| site.server(server_settings(number)));
        let servers = servers.into_iter().collect::<std::io::Result<_>>()?;
        let boxes = start_boxes_in(executor, &site, &HALLS).await?;
        wait_for_readers(&boxes, &READERS).await?;
        Ok(Self {
            site,
            boxes,
            servers,
        })
    }

    /// Adds a server, and waits until all boxes know it.
    async fn join(&mut self) -> Result {
        let number = self.servers.len() as u32 + 1;
        let server = self.site.server(server_settings(number))?;
        wait_until("joined", async || {
            Ok(self.boxes.iter().all(|it| it.knows(&server)))
        })
        .await?;
        self.servers.push(server);
        Ok(())
    }

    fn begin_outage(&self, extent: Extent) {
        match extent {
            Extent::Store => self
                .site
                .store
                .faults(|faults| faults.down = Some(Down::Silent)),
            Extent::Reader => self.boxes[READERS[0]].store.lose(),
        }
    }

    fn end_outage(&self, extent: Extent) {
        match extent {
            Extent::Store => self.site.store.faults(|faults| faults.down = None),
            Extent::Reader => self.boxes[READERS[0]].store.restore_link(),
        }
    }

    /// Makes a change, and returns how long it took until all boxes acted on it.
    async fn delay_of(&mut self, change: Change) -> Result<Duration> {
        let start = Instant::now();
        let boxes = &self.boxes;
        match change {
            Change::Leaving => {
                let server = &self.servers[0];
                self.site.announce(server, State::Draining);
                wait_until("leaving", async || {
                    let sends = boxes.iter().map(|it| it.sends_to(server));
                    Ok(!sends.collect::<Result<Vec<bool>>>()?.contains(&true))
                })
                .await?;
            }
            Change::Gone => {
                let server = &self.servers[1];
                self.site.withdraw(server);
                let knows = || boxes.iter().any(|it| it.knows(server));
                wait_until("gone", async || Ok(!knows())).await?;
            }
            Change::Joined => self.join().await?,
        }
        Ok(start.elapsed())
    }

    /// Makes each change once, and checks that all boxes act on it in time.
    async fn ensure_all_in_time(&mut self) -> Result {
        for change in [Change::Leaving, Change::Gone, Change::Joined] {
            let delay = self.delay_of(change).await;
            let delay = delay.map_err(|error| error.wrap_err(format!("{change:?}")))?;
            ensure!(delay < LEAVE_TIME, "{change:?}: known after {delay:?}");
        }
        Ok(())
    }
}

/// An outage after a server joined, and the change that follows it.
#[derive(Debug, Clone, Copy)]
struct Case {
    extent: Extent,
    /// Time from the change of the server to the outage.
    after: Duration,
    length: Duration,
    change: Change,
}

impl Case {
    async fn play(self, executor: &Executor) -> Result {
        let mut fleet = Fleet::start(executor).await?;
        fleet.join().await?;
        Timer::after(self.after).await;
        fleet.begin_outage(self.extent);
        Timer::after(self.length).await;
        fleet.end_outage(self.extent);
        Timer::after(CONTACT_TIME).await;
        let delay = fleet.delay_of(self.change).await;
        let delay = delay.map_err(|error| error.wrap_err(format!("{self:?}")))?;
        ensure!(delay < LEAVE_TIME, "{self:?}: known after {delay:?}");
        Ok(())
    }
}

/// Plays cases side by side, each with a fleet of its own.
async fn play_all(executor: &Executor, cases: impl IntoIterator<Item = Case>) -> Result {
    let cases = cases.into_iter().map(|case| {
        let own = executor.clone();
        executor.spawn(async move { case.play(&own).await })
    });
    let tasks: Vec<Task<Result>> = cases.collect();
    let mut failed = Vec::new();
    for task in tasks {
        if let Err(error) = task.await {
            failed.push(format!("{error:#}"));
        }
    }
    ensure!(failed.is_empty(), "{failed:#?}");
    Ok(())
}

/// The cases of an extent: outages that begin before the next call of the watch, or as it
/// is made, of lengths below and above the interval of freshness checks.
fn cases(extent: Extent) -> Vec<Case> {
    let mut cases = Vec::new();
    let changes = [Change::Leaving, Change::Gone, Change::Joined];
    let mut changes = changes.into_iter().cycle();
    for (after, lengths) in [
        (GATHER_MS - 10, [100, 350, 600, 1_500]),
        (GATHER_MS - 150, [200, 350, 800, 1_200]),
        (GATHER_MS - 300, [350, 450, 700, 1_000]),
    ] {
        for (length, change) in lengths.into_iter().zip(&mut changes) {
            cases.push(Case {
                extent,
                after: ms(after),
                length: ms(length),
                change,
            });
        }
    }
    cases
}

/// Guards against requests to servers that have left: a watch call that was lost in a
/// short outage hid all changes of servers for 18 s.
#[test]
fn servers_leave_in_time_after_a_watch_call_was_lost() -> Result {
    run(async |executor| play_all(&executor, cases(Extent::Store)).await)
}

/// The same where one reader alone was cut off, and other boxes follow it.
#[test]
fn servers_leave_in_time_after_a_watch_call_of_one_reader_was_lost() -> Result {
    run(async |executor| play_all(&executor, cases(Extent::Reader)).await)
}

/// Guards against a reader that confirms an old list of servers to its hall while its
/// watch is not answered, or answered from an old state.
#[test]
fn servers_leave_in_time_while_watches_return_nothing() -> Result {
    run(async |executor| {
        let silent = async {
            let mut fleet = Fleet::start(&executor).await?;
            let silence = |faults: &mut Faults| faults.silent_watches = true;
            fleet.site.store.faults(silence);
            fleet.ensure_all_in_time().await
        };
        let stale = async {
            let mut fleet = Fleet::start(&executor).await?;
            fleet.site.store.deaf(CONTACT_TIME * 4);
            fleet.ensure_all_in_time().await
        };
        let (silent, stale) = future::zip(silent, stale).await;
        silent.map_err(|error| error.wrap_err("no answers"))?;
        stale.map_err(|error| error.wrap_err("stale answers"))
    })
}

/// Guards against a suspended box that does not notice, once it goes on, that the store
/// was away in the meantime.
#[test]
fn a_box_learns_in_time_what_changed_while_it_was_suspended() -> Result {
    run(async |executor| {
        let mut fleet = Fleet::start(&executor).await?;
        fleet.begin_outage(Extent::Store);
        Timer::after(ms(20)).await;
        fleet.boxes.iter().for_each(|it| it.freeze(true));
        fleet.site.announce(&fleet.servers[0], State::Draining);
        fleet.site.withdraw(&fleet.servers[1]);
        let added = fleet.site.server(server_settings(9))?;
        Timer::after(ms(600)).await;
        fleet.end_outage(Extent::Store);
        fleet.boxes.iter().for_each(|it| it.freeze(false));
        let start = Instant::now();
        wait_until("known", async || {
            Ok(fleet.boxes.iter().all(|it| it.knows(&added)))
        })
        .await?;
        ensure!(start.elapsed() < LEAVE_TIME, "{:?}", start.elapsed());
        fleet.ensure_all_in_time().await
    })
}

/// Guards against watches that are called anew, or lists that are read, whenever the store
/// changes elsewhere: a change of another entry costs each reader one call.
#[test]
fn entries_of_other_kinds_cost_one_call_each() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor).await?;
        let calls = |name| fleet.site.store.calls(name);
        let before = ["kv-watch", "kv-range"].map(calls);
        for number in 0..4 {
            let other = json!({ "number": number });
            fleet.site.store.put("other/entry", &other);
            // Longer than a freshness check and the poll after it take.
            Timer::after(FRESHNESS_CHECK_TIME + ms(300)).await;
        }
        let after = ["kv-watch", "kv-range"].map(calls);
        let [watches, lists] = [0, 1].map(|at| after[at] - before[at]);
        ensure!((4..=8).contains(&watches), "{watches} calls of watches");
        ensure!(lists <= 1, "{lists} lists");
        wait_for_readers(&fleet.boxes, &READERS).await
    })
}

/// The same for an answer that is lost with the change that it delivers.
#[test]
fn a_change_is_known_in_time_although_the_answer_of_the_watch_is_lost() -> Result {
    run(async |executor| {
        let mut fleet = Fleet::start(&executor).await?;
        fleet.join().await?;
        // The watch is called again before the next change.
        Timer::after(ms(GATHER_MS + 200)).await;
        fleet.begin_outage(Extent::Reader);
        let leaving = fleet.delay_of(Change::Leaving);
        let mut leaving = Box::pin(leaving);
        let early = future::or(async { Some((&mut leaving).await) }, async {
            Timer::after(ms(50)).await;
            None
        });
        ensure!(early.await.is_none(), "the answer was not lost");
        drop(leaving);
        fleet.end_outage(Extent::Reader);
        let delay = fleet.delay_of(Change::Leaving).await?;
        ensure!(delay < LEAVE_TIME, "known after {delay:?}");
        Ok(())
    })
}

/// Guards against a release that gets its full share as the order to roll it out is
/// unknown: freshness checks named only the orders that were known.
#[test]
fn a_rollout_order_is_known_in_time_while_watches_return_nothing() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor).await?;
        let silence = |faults: &mut Faults| faults.silent_watches = true;
        fleet.site.store.faults(silence);
        put_order(&fleet.site, json!("v2"));
        let start = Instant::now();
        wait_until("known", async || {
            let mut rollouts = fleet.boxes.iter().map(|it| &it.router.relay().rollouts);
            Ok(rollouts.all(|rollouts| rollouts.all().len() == 1))
        })
        .await?;
        ensure!(start.elapsed() < APPLY_TIME, "{:?}", start.elapsed());
        Ok(())
    })
}

/// Guards against a list of the operator entries with each freshness check because of an
/// order that cannot be read.
#[test]
fn an_unreadable_order_is_read_once() -> Result {
    run(async |executor| {
        let fleet = Fleet::start(&executor).await?;
        put_order(&fleet.site, json!(7));
        Timer::after(FRESHNESS_CHECK_TIME * 2).await;
        let lists = fleet.site.store.calls("kv-range");
        Timer::after(FRESHNESS_CHECK_TIME * 3).await;
        let lists = fleet.site.store.calls("kv-range") - lists;
        ensure!(lists <= 1, "{lists} lists");
        Ok(())
    })
}

/// Writes the order to roll a release out.
fn put_order(site: &Site, release: Value) {
    let order = json!({ "service": SERVICE, "target_version": release, "duration_s": 20.0 });
    site.store.put(&format!("op/rollout/{SERVICE}"), &order);
}
