//! What boxes of all halls report to each other about the requests that they place.

use std::time::Duration;

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_admission::demand::{Service, Subject, Summary};
use tidepier_admission::report::{self, Account, Class, Load, Offered, Rank};
use tidepier_admission::rise::Sample;
use tidepier_admission::stall;
use tidepier_clock::Instant;
use tidepier_core::request::Part;
use tidepier_h1::Conn;
use tidepier_ids as ids;
use tidepier_relay::fleet::{lives, Count, Key};
use tidepier_relay::message::{self, link, recall, traffic, PeerRequest, VERSION};
use tidepier_relay::traffic::log::{Placement, Position};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Server, Settings};
use tidepier_relay_standin::site::Site;
use tidepier_relay_standin::Client;

use crate::box_harness::{self, site_with_keys, TestBox};
use crate::choice_harness::id;
use crate::faulty_readers::wait_until_closed;
use crate::harness::{
    ms, post, run, stream_server_settings, wait_until, Executor, Result, SERVICE,
};

/// Time within which all boxes know of one box's placement: three requests at intervals of
/// 0.4 s, and as much again on a busy machine.
const REPORT_TIME: Duration = Duration::from_millis(2_400);
/// Tokens of the part that a subject's prompts share.
const SHARED: u32 = 3_000;

fn subject(number: u64) -> Part {
    Part {
        id: 0xa000 + number,
        tokens: SHARED,
    }
}

/// Sends a box a request about a subject.
pub(crate) async fn ask_about(test_box: &TestBox, number: u64) -> Result {
    let prompt = format!("{:x}:{SHARED},c{number:x}:80", subject(number).id);
    let call = post("/u/x", &format!("{}-{number}", test_box.name));
    let answer = test_box.call(&call.with(names::PROMPT, &prompt)).await?;
    ensure!(answer.status == 200, "{}", answer.status);
    Ok(())
}

/// Servers that cache a subject in a box's local view.
pub(crate) fn holders(test_box: &TestBox, number: u64) -> Vec<Key> {
    let index = &test_box.router.relay().traffic.index;
    index.holders(&subject(number), Instant::now())
}

/// Requests of other boxes that a box counts at a server.
fn counted_requests(test_box: &TestBox, server: &Server) -> Result<u32> {
    let id = server.settings().id.parse()?;
    let backend = test_box.router.relay().fleet.get(&id);
    let backend = backend.ok_or_else(|| eyre!("{id} is not known"))?;
    let counted = backend.total_in_flight(Duration::from_secs(2), Instant::now());
    Ok(counted.unwrap_or(0).saturating_sub(backend.in_flight()))
}

/// Two boxes in the first hall and one in the second, all ready.
pub(crate) async fn halls(executor: &Executor, site: &Site) -> Result<Vec<TestBox>> {
    let mut boxes = Vec::new();
    for (name, hall, link) in [
        ("box-0", "hall-1", 5_000),
        ("box-1", "hall-1", 4_000),
        ("box-2", "hall-2", 5_000),
    ] {
        boxes.push(TestBox::start(executor, site, name, hall, link).await?);
    }
    box_harness::wait_until_ready(&boxes).await?;
    Ok(boxes)
}

pub(crate) fn engines(site: &Site) -> Result<Vec<Server>> {
    let engine = |number: u32| Settings {
        hall: format!("hall-{}", number % 2 + 1),
        ..stream_server_settings(number, 3, ms(10))
    };
    let servers: std::io::Result<_> = (1..=4).map(|n| site.server(engine(n))).collect();
    Ok(servers?)
}

/// Waits until all boxes have the same holder of a subject in their local views.
pub(crate) async fn agreed(boxes: &[TestBox], number: u64) -> Result {
    let start = Instant::now();
    loop {
        let known: Vec<Vec<Key>> = boxes.iter().map(|it| holders(it, number)).collect();
        let same = known.iter().all(|it| !it.is_empty() && *it == known[0]);
        if same {
            return Ok(());
        }
        ensure!(start.elapsed() < REPORT_TIME, "subject {number}: {known:?}");
        Timer::after(ms(20)).await;
    }
}

/// Boxes before some engines, after a placement of one box is known to all.
async fn boxes_with_a_known_placement(
    executor: &Executor,
) -> Result<(Site, Vec<Server>, Vec<TestBox>)> {
    let site = site_with_keys()?;
    let engines = engines(&site)?;
    let boxes = halls(executor, &site).await?;
    ask_about(&boxes[1], 100).await?;
    agreed(&boxes, 100).await?;
    Ok((site, engines, boxes))
}

#[test]
fn all_boxes_learn_which_server_got_a_prompt() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let _engines = engines(&site)?;
        let boxes = halls(&executor, &site).await?;
        // Boxes that have just started have to find their hubs first.
        ask_about(&boxes[0], 100).await?;
        wait_until("reported", async || {
            Ok(boxes.iter().all(|it| !holders(it, 100).is_empty()))
        })
        .await?;
        for (number, test_box) in boxes.iter().enumerate() {
            ask_about(test_box, number as u64).await?;
            agreed(&boxes, number as u64).await?;
        }
        Ok(())
    })
}

#[test]
fn boxes_keep_reporting_while_the_store_is_down() -> Result {
    run(async |executor| {
        let (_site, _engines, boxes) = boxes_with_a_known_placement(&executor).await?;
        for test_box in &boxes {
            test_box.store.make_unresponsive();
        }
        Timer::after(ms(2_500)).await;
        for (number, test_box) in boxes.iter().enumerate() {
            ask_about(test_box, number as u64).await?;
            agreed(&boxes, number as u64).await?;
        }
        Ok(())
    })
}

#[test]
fn another_box_replaces_a_hub_that_hangs() -> Result {
    run(async |executor| {
        let (_site, _engines, boxes) = boxes_with_a_known_placement(&executor).await?;
        boxes[0].freeze(true);
        let awake = &boxes[1..];
        // Both of the other boxes first give up on the hub.
        let mut number = 0;
        wait_until("reported", async || {
            number += 1;
            ask_about(&awake[0], number).await?;
            let start = Instant::now();
            while start.elapsed() < ms(500) && holders(&awake[1], number).is_empty() {
                Timer::after(ms(20)).await;
            }
            Ok(!holders(&awake[1], number).is_empty())
        })
        .await?;
        ask_about(&awake[1], 200).await?;
        agreed(awake, 200).await
    })
}

#[test]
fn a_starting_box_asks_the_others_what_is_cached() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let _engines = engines(&site)?;
        let mut boxes = halls(&executor, &site).await?;
        for number in 0..20 {
            ask_about(&boxes[0], number).await?;
        }
        agreed(&boxes, 19).await?;
        // The only box of its hall is restarted.
        drop(boxes.remove(2));
        let fresh = TestBox::start(&executor, &site, "box-3", "hall-2", 5_000).await?;
        boxes.push(fresh);
        let start = Instant::now();
        wait_until("recalled", async || {
            Ok((0..20).all(|number| holders(&boxes[2], number) == holders(&boxes[0], number)))
        })
        .await?;
        ensure!(start.elapsed() < REPORT_TIME, "{:?}", start.elapsed());
        Ok(())
    })
}

#[test]
fn requests_of_all_halls_are_counted() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let slow = Settings {
            hall: "hall-1".into(),
            ..stream_server_settings(1, 40, ms(100))
        };
        let engine = site.server(slow)?;
        let boxes = halls(&executor, &site).await?;
        let mut calls = Vec::new();
        for test_box in &boxes {
            for number in 0..2 {
                let front = test_box.router.client_address();
                let call = post("/u/x", &format!("{}-{number}", test_box.name));
                calls.push(executor.spawn(async move { Client::once(front, &call).await }));
            }
        }
        let counts = || -> Result<Vec<u32>> {
            boxes
                .iter()
                .map(|it| counted_requests(it, &engine))
                .collect()
        };
        wait_until("counted", async || Ok(counts()? == [4, 4, 4])).await?;
        for call in calls {
            ensure!(call.await?.status == 200, "not served");
        }
        wait_until("ended", async || Ok(counts()? == [0, 0, 0])).await
    })
}

/// Guards against boxes that divide a subject or a hall's requests by their own requests alone.
#[test]
fn boxes_of_all_halls_learn_the_demand() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let engines = engines(&site)?;
        let boxes = halls(&executor, &site).await?;
        for _ in 0..12 {
            ask_about(&boxes[1], 1).await?;
        }
        let engine: ids::Server = id(&engines[0].settings().id)?;
        let shares = |test_box: &TestBox| -> Result<(f64, Option<f64>)> {
            let relay = test_box.router.relay();
            let backend = relay.fleet.get(&engine);
            let backend = backend.ok_or_else(|| eyre!("{engine} is not known"))?;
            let (service, demand) = (&backend.server.service, &relay.traffic.index.demand);
            let now = Instant::now();
            let share = demand.subject_share(service, subject(1).id, engines.len(), now);
            Ok((share, demand.hall_share(service, now)))
        };
        wait_until("known to all", async || {
            let all = boxes.iter().map(shares).collect::<Result<Vec<_>>>()?;
            let subject_is_hot = all.iter().all(|(subject, _)| *subject > 0.5);
            let halls: Vec<f64> = all.iter().filter_map(|(_, hall)| *hall).collect();
            Ok(subject_is_hot && matches!(*halls, [a, b, c] if a > 0.9 && b > 0.9 && c < 0.1))
        })
        .await
    })
}

/// Guards against hubs that tell of a rise only with the next report, and against rises
/// that are sent to boxes of a former release, which take them for a wrong answer.
#[test]
fn a_hub_announces_a_rise_at_once_to_boxes_that_take_it() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let _engines = engines(&site)?;
        let boxes = halls(&executor, &site).await?;
        let exchange = async |conn: &mut Conn, number, takes_rises| -> Result {
            let request = traffic::Request {
                version: VERSION,
                number,
                requester: traffic::Requester::Box,
                position: Position::default(),
                report: traffic::Report::default(),
                takes_rises,
                takes_stalls: false,
            };
            link::send(conn, &PeerRequest::Traffic(Box::new(request))).await?;
            let answer: traffic::Answer = link::receive(conn).await?;
            ensure!(
                answer.number == number && answer.rises.is_empty(),
                "{answer:?}"
            );
            ensure!(answer.takes_samples);
            Ok(())
        };
        let open = || Conn::open(boxes[0].peer, ms(500), ms(30_000));
        let (mut new, mut former) = (open().await?, open().await?);
        exchange(&mut new, 1, true).await?;
        exchange(&mut former, 1, false).await?;
        let service = Service::new(&id(SERVICE)?);
        let subject = Subject::new(service, 1);
        let samples = vec![Sample { service, subject }; 6];
        link::send(&new, &PeerRequest::Samples(samples)).await?;
        let announced: traffic::Answer = link::receive(&mut new).await?;
        ensure!(announced.number == 0, "{announced:?}");
        ensure!(announced.rises.iter().any(|rise| rise.subject == subject));
        exchange(&mut former, 2, false).await
    })
}

/// Guards against a box that does not send samples, or does not use the rises.
#[test]
fn boxes_of_a_hall_learn_of_a_rise() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let engines = engines(&site)?;
        let boxes = halls(&executor, &site).await?;
        let engine: ids::Server = id(&engines[0].settings().id)?;
        let has_risen = |test_box: &TestBox, number: u64| -> Result<bool> {
            let relay = test_box.router.relay();
            let backend = relay.fleet.get(&engine);
            let backend = backend.ok_or_else(|| eyre!("{engine} is not known"))?;
            let (service, demand) = (&backend.server.service, &relay.traffic.index.demand);
            Ok(demand.has_just_risen(service, subject(number).id, Instant::now()))
        };
        let mut number = 0;
        wait_until("known in the hall", async || {
            number += 1;
            for _ in 0..6 {
                ask_about(&boxes[1], number).await?;
            }
            Ok(has_risen(&boxes[0], number)? && has_risen(&boxes[1], number)?)
        })
        .await
    })
}

#[test]
fn a_nonsensical_report_does_no_harm() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let engines = engines(&site)?;
        let boxes = halls(&executor, &site).await?;
        let open = || Conn::open(boxes[0].peer, ms(500), ms(30_000));
        let server = Key::new(&id("no-such-server")?);
        let service = Service::new(&id(SERVICE)?);
        let demand = Summary {
            services: [(service, u32::MAX)].into(),
            subjects: (0..1_000)
                .map(|part| (Subject::new(service, part), u32::MAX))
                .collect(),
        };
        let class = |account: u32| Class {
            rank: Rank(u8::MAX),
            account: Account::new(&account.to_string()),
        };
        let offered = Offered {
            recent: u32::MAX,
            usual: u32::MAX,
        };
        let most = Load {
            offered: (0..1_000)
                .map(|account| (class(account), offered))
                .collect(),
            distinct: u32::MAX,
            returned: u32::MAX,
            refused: u32::MAX,
            answered: u32::MAX,
            time_ms: u32::MAX,
            late: u32::MAX,
            rejected: u32::MAX,
        };
        let load = report::Report {
            services: [(service, most)].into(),
        };
        let longest_wait = stall::Wait {
            server,
            boxes: u32::MAX,
            time: Duration::MAX,
            ended: Some(Duration::MAX),
            limit: Duration::MAX,
        };
        let longest_life = lives::Life {
            server,
            age: Duration::MAX,
        };
        let report_request = |version| traffic::Request {
            version,
            number: 1,
            requester: traffic::Requester::Box,
            position: Position::default(),
            report: traffic::Report {
                boxes: u32::MAX,
                counts: vec![Count {
                    server,
                    requests: u32::MAX,
                }],
                rows: (0..10_000).map(|part| Placement { part, server }).collect(),
                omitted: u32::MAX,
                demand: demand.clone(),
                hall_demand: demand.clone(),
                speeds: vec![(server, (u32::MAX, i32::MIN).into()).into()],
                crashes: Vec::new(),
                part_crashes: Vec::new(),
                trials: Vec::new(),
                rollouts: None,
                load: load.clone(),
                waits: vec![longest_wait; 1_000],
                lives: Some(vec![longest_life; 200]),
            },
            takes_rises: true,
            takes_stalls: false,
        };
        let mut other = open().await?;
        link::send(
            &other,
            &PeerRequest::Traffic(Box::new(report_request(VERSION + 1))),
        )
        .await?;
        wait_until_closed(&mut other).await?;
        let mut other = open().await?;
        let wrong = recall::Request {
            version: VERSION + 1,
        };
        link::send(&other, &PeerRequest::Recall(wrong)).await?;
        wait_until_closed(&mut other).await?;
        // Two connections with the same report, so that sums would overflow if unchecked.
        let mut connections = Vec::new();
        for _ in 0..2 {
            let mut connection = open().await?;
            link::send(
                &connection,
                &PeerRequest::Traffic(Box::new(report_request(VERSION))),
            )
            .await?;
            let answer: traffic::Answer = link::receive(&mut connection).await?;
            ensure!(answer.number == 1, "{answer:?}");
            let life = stall::Life {
                server,
                age: Duration::MAX,
            };
            let report = message::stall::Report {
                waits: vec![longest_wait; 1_000],
                lives: vec![life; 1_000],
                answers: Some(vec![longest_life; 1_000]),
            };
            link::send(&connection, &PeerRequest::Stalls(report)).await?;
            connections.push(connection);
        }
        let index = &boxes[0].router.relay().traffic.index;
        ensure!(index.len() <= 8_192, "{} parts", index.len());
        for test_box in &boxes {
            ask_about(test_box, 1).await?;
        }
        drop(engines);
        Ok(())
    })
}
