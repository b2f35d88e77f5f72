//! A reader that was cut off from the store and has just reached it again, so that it
//! still counts servers as present whose entries are missing.

use std::collections::BTreeSet;
use std::time::Duration;

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_relay_standin::server::Server;
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::store::Down;

use crate::box_harness::{
    boxes_reading_store, ensure_served, site_with_keys, start_boxes_with_reader, wait_for_readers,
    wait_until_ready, TestBox, APPLY_TIME,
};
use crate::harness::{ms, run, server_settings, wait_until, Executor, Result};

/// Longest time until a box that watches the store knows of a deletion: changes are
/// gathered for 0.4 s. A reader in its grace period drops the server up to 2.2 s later.
const WATCH_TIME: Duration = Duration::from_millis(1_200);
/// Interval between two servers that leave.
const LEAVE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time from the return of the store until the grace period of a reader is over.
const GRACE_TIME: Duration = Duration::from_millis(2_700);
/// Time in which a box that reads the store makes a freshness check, also on a machine
/// with other load.
const CHECK_TIME: Duration = Duration::from_millis(1_700);
/// Boxes of a hall that may read the store at once while its reader is just back: the
/// reader, and the two boxes that the others ask when it does not answer.
const READERS_MAX: usize = 3;

/// A reader without access to the store, and a box that started after the access was
/// lost, which reads the store itself. As it has just started, it asks the reader twice a
/// second.
async fn with_reader_cut_off(executor: &Executor, site: &Site) -> Result<Vec<TestBox>> {
    let mut boxes = start_boxes_with_reader(executor, site, 1).await?;
    boxes[0].store.cut();
    let confirmed = || {
        boxes[0]
            .confirmed_at()
            .ok_or_else(|| eyre!("not confirmed"))
    };
    wait_until("cut off", async || Ok(confirmed()?.elapsed() > APPLY_TIME)).await?;
    boxes.push(TestBox::start(executor, site, "box-1", "hall-1", 1_000).await?);
    wait_until_ready(&boxes[1..]).await?;
    wait_for_readers(&boxes[1..], &[0]).await?;
    Ok(boxes)
}

/// Waits until a box has confirmed its data since `moment`.
async fn wait_until_confirmed(test_box: &TestBox, moment: Instant) -> Result {
    wait_until("confirmed", async || {
        Ok(test_box.confirmed_at().is_some_and(|at| at > moment))
    })
    .await
}

/// Deletes the entries of the servers one by one; returns the longest time after which
/// the box dropped one of them.
async fn longest_delay(site: &Site, test_box: &TestBox, servers: &[Server]) -> Result<Duration> {
    let start = Instant::now();
    let mut left = Vec::new();
    let mut longest = Duration::ZERO;
    let mut waiting = servers.iter();
    loop {
        let due = LEAVE_INTERVAL * (servers.len() - waiting.len()) as u32;
        if start.elapsed() >= due {
            if let Some(server) = waiting.next() {
                site.withdraw(server);
                left.push((server, Instant::now()));
            }
        }
        left.retain(|(server, at)| {
            longest = longest.max(at.elapsed());
            test_box.knows(server)
        });
        if left.is_empty() && waiting.len() == 0 {
            return Ok(longest);
        }
        ensure!(
            start.elapsed() < ms(10_000),
            "{} servers are kept",
            left.len()
        );
        Timer::after(ms(10)).await;
    }
}

/// Guards against a box that leaves its own watch of the store for a reader that has just
/// found the store back: it learned of a deletion 2.2 s later than the boxes that kept
/// their watches, as the reader keeps servers with missing entries for a grace period.
#[test]
fn a_box_with_its_own_watch_does_not_follow_a_reader_in_its_grace_period() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let stays = site.server(server_settings(1))?;
        let leaving = (2..12)
            .map(|number| site.server(server_settings(number)))
            .collect::<std::io::Result<Vec<Server>>>()?;
        let boxes = with_reader_cut_off(&executor, &site).await?;
        let (reader, other) = (&boxes[0], &boxes[1]);
        reader.store.restore_link();
        wait_until_confirmed(reader, Instant::now()).await?;
        let longest = longest_delay(&site, other, &leaving).await?;
        ensure!(longest < WATCH_TIME, "known as gone after {longest:?}");
        // It follows the reader after that, and stays with it.
        wait_for_readers(&boxes, &[0]).await?;
        let found = boxes_reading_store(&boxes, GRACE_TIME).await;
        ensure!(found == [0], "read by {found:?}");
        ensure_served(&boxes, &[&stays], ms(100)).await
    })
}

/// Eight boxes of a hall, the first of which reads the store.
async fn start_hall(executor: &Executor, site: &Site) -> Result<Vec<TestBox>> {
    let mut boxes = Vec::new();
    for number in 0..8 {
        let (name, link) = (format!("box-{number}"), 5_000 - number * 100);
        boxes.push(TestBox::start(executor, site, &name, "hall-1", link).await?);
    }
    wait_for_readers(&boxes, &[0]).await?;
    Ok(boxes)
}

/// Waits until only the first box reads the store. Checks that never more than
/// `READERS_MAX` boxes do, and that no box begins again after it stopped.
async fn ensure_few_readers(boxes: &[TestBox]) -> Result {
    let start = Instant::now();
    let (mut stopped, mut history) = (BTreeSet::new(), Vec::new());
    loop {
        let found = boxes_reading_store(boxes, CHECK_TIME).await;
        history.push(found.clone());
        ensure!(found.len() <= READERS_MAX, "read by {history:?}");
        ensure!(
            found.iter().all(|at| !stopped.contains(at)),
            "began again: {history:?}"
        );
        let begun: BTreeSet<usize> = history.iter().flatten().copied().collect();
        stopped.extend(begun.into_iter().filter(|at| !found.contains(at)));
        if found == [0] && start.elapsed() > GRACE_TIME + CHECK_TIME {
            return Ok(());
        }
        ensure!(start.elapsed() < ms(15_000), "read by {history:?}");
    }
}

/// Guards against a hall all of whose boxes turn to the store while its reader is in its
/// grace period, and against boxes that alternate between reading and following.
#[test]
fn few_boxes_read_the_store_when_the_reader_of_a_hall_is_back() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let boxes = start_hall(&executor, &site).await?;
        boxes[0].store.cut();
        // The boxes find another reader.
        Timer::after(ms(5_000)).await;
        wait_for_readers(&boxes[1..], &[0]).await?;
        boxes[0].store.restore_link();
        wait_until_confirmed(&boxes[0], Instant::now()).await?;
        ensure_few_readers(&boxes).await?;
        ensure_served(&boxes, &[&server], ms(100)).await
    })
}

/// Guards against boxes with nothing better that turn to the store because the reader is
/// in its grace period: all of them lost the store together with it.
#[test]
fn few_boxes_read_the_store_when_it_is_back_for_a_whole_hall() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let boxes = start_hall(&executor, &site).await?;
        site.store.faults(|faults| faults.down = Some(Down::Reset));
        Timer::after(ms(5_000)).await;
        site.store.faults(|faults| faults.down = None);
        wait_until_confirmed(&boxes[0], Instant::now()).await?;
        ensure_few_readers(&boxes).await?;
        ensure_served(&boxes, &[&server], ms(100)).await
    })
}
