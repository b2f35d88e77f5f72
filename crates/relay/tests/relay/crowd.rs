//! What the boxes of a hall have under way, added up for each of them.

use std::time::{Duration, Instant};

use eyre::ensure;
use tidepier_relay::fleet::Count;
use tidepier_relay::peer::crowd::Crowd;

use crate::house::Result;

fn count(server: u64, requests: u32) -> Count {
    Count { server, requests }
}

fn sorted(mut counts: Vec<Count>) -> Vec<Count> {
    counts.sort_by_key(|count| count.server);
    counts
}

#[test]
fn each_box_is_told_the_sum_of_the_others() -> Result {
    let crowd = Crowd::default();
    let now = Instant::now();
    let (first, second) = (crowd.join(), crowd.join());
    ensure!(first != second, "one number for two boxes");
    crowd.report(first, vec![count(1, 2), count(2, 1)], now);
    crowd.report(second, vec![count(2, 4)], now);
    let own = [count(1, 5), count(3, 7)];
    let told = sorted(crowd.others(Some(first), &own, now));
    ensure!(told == [count(1, 5), count(2, 4), count(3, 7)], "{told:?}");
    let told = sorted(crowd.others(Some(second), &own, now));
    ensure!(told == [count(1, 7), count(2, 1), count(3, 7)], "{told:?}");
    let told = sorted(crowd.others(None, &[], now));
    ensure!(told == [count(1, 2), count(2, 5)], "{told:?}");
    Ok(())
}

#[test]
fn a_report_is_replaced_grows_old_and_is_forgotten() -> Result {
    let crowd = Crowd::default();
    let now = Instant::now();
    let member = crowd.join();
    crowd.report(member, vec![count(1, 2)], now);
    crowd.report(member, vec![count(2, 3)], now);
    let told = crowd.others(None, &[], now);
    ensure!(told == [count(2, 3)], "{told:?}");
    let told = crowd.others(None, &[], now + Duration::from_secs(2));
    ensure!(told.is_empty(), "an old report counts: {told:?}");
    crowd.leave(member);
    let told = crowd.others(None, &[], now);
    ensure!(told.is_empty(), "a box that left counts: {told:?}");
    Ok(())
}
