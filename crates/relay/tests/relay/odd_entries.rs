//! Entries of the store with values that no writer of the platform writes: what one of them says
//! must decide about nothing but itself.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{ensure, eyre};
use serde_json::{json, Value};
use smol::Timer;
use tidepier_clock::Instant;
use tidepier_core::answer::Load;
use tidepier_core::catalog::Cold;
use tidepier_core::era::Revision;
use tidepier_core::rollout::{self, Order};
use tidepier_core::server::{Server, State};
use tidepier_platform::store;
use tidepier_relay::cold::Limit;
use tidepier_relay::fleet::Fleet;
use tidepier_relay::peer::registry::{Member, Registry};
use tidepier_relay::rollout::stage::Stage;
use tidepier_relay::rollout::Selector;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server;
use tidepier_relay_standin::site::Site;

use crate::box_harness::{
    start_boxes_with_reader, wait_until_ready, TestBox, BOXES, FRESHNESS_CHECK_TIME,
};
use crate::harness::{
    ensure_served_by, ms, post, run, server_settings, site, stream_server_settings, wait_until,
    Harness, Result, SERVICE,
};
use crate::odd_values;
use crate::peer_answers::relay;

/// Fields of a server's entry as it would write them, at an address where nothing listens.
const SERVER: [(&str, &str); 9] = [
    ("service", "\"service-1\""),
    ("address", "\"127.0.0.1:9\""),
    ("zone", "\"hall-1\""),
    ("version", "\"v1\""),
    ("slots", "16"),
    ("state", "\"draining\""),
    ("cold_remaining_ms", "0"),
    ("sequence", "1"),
    ("born", "1760000000000"),
];

/// Writes the entries at `at` of every `step` under keys of a prefix.
fn put_all(site: &Site, prefix: &str, entries: &[Vec<u8>], first: usize) {
    for (at, entry) in entries.iter().enumerate().skip(first).step_by(2) {
        site.store
            .put_bytes(&format!("{prefix}odd-{at}"), entry.clone());
    }
}

/// Boxes before the entries, half of which exist at the start, that follow a later server and a
/// later configuration and serve requests.
fn ensure_followed(prefix: &'static str, entries: Vec<Vec<u8>>) -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        put_all(&site, prefix, &entries, 0);
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        put_all(&site, prefix, &entries, 1);
        for round in [2, 3] {
            let later = site.server(server_settings(round))?;
            let version = site.direct("/r/", SERVICE);
            for test_box in &test_boxes {
                wait_until("a later server", async || Ok(test_box.knows(&later))).await?;
                let known = async || Ok(view_version(test_box) >= version);
                wait_until("a later configuration", known).await?;
                for number in 0..6 {
                    let attempt = format!("{}-{round}-{number}", test_box.name);
                    let answer = test_box.call(&post("/r/x", &attempt)).await?;
                    ensure!(answer.status == 200, "{prefix}: {}", answer.status);
                }
            }
            // The second round reads all entries as a list.
            site.store.compact();
            site.store.cut_watches();
        }
        drop(near);
        wait_until_ready(&test_boxes).await
    })
}

fn view_version(test_box: &TestBox) -> u64 {
    test_box.router.relay().view.version().0
}

// Processes that end or stop following when one entry is odd.
#[test]
fn boxes_follow_beside_odd_entries_of_servers() -> Result {
    ensure_followed(names::SERVERS, odd_values::objects(&SERVER))
}

#[test]
fn boxes_follow_beside_odd_entries_of_boxes() -> Result {
    let fields = [
        ("name", "\"odd-1\""),
        ("hall", "\"hall-9\""),
        ("address", "\"127.0.0.1:9\""),
        ("link_mbps", "1"),
    ];
    ensure_followed("tidepier/boxes/hall-9/", odd_values::objects(&fields))
}

#[test]
fn boxes_follow_beside_odd_orders_and_halls() -> Result {
    let fields = [
        ("service", "\"odd-1\""),
        ("target_version", "\"v2\""),
        ("duration_s", "8"),
    ];
    let orders = odd_values::objects(&fields);
    ensure_followed("op/rollout/", orders.clone())?;
    ensure_followed("op/evacuate/", orders)
}

#[test]
fn boxes_follow_beside_odd_values_of_single_entries() -> Result {
    run(async |executor| {
        let site = site()?;
        let near = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let keys = [
            ("tidepier/era", [("era", "1"), ("x", "1")]),
            (
                "tidepier/releases/service-1",
                [("releases", "[\"v1\"]"), ("x", "1")],
            ),
            (
                "tidepier/rollouts/service-1",
                [("order", "1"), ("share", "0.1")],
            ),
            ("op/config", [("version", "1"), ("routes", "[]")]),
        ];
        for (key, fields) in keys {
            for (number, entry) in odd_values::objects(&fields).into_iter().enumerate() {
                // A configuration with a higher version is the operator's own word.
                let is_config =
                    key == names::CONFIG && serde_json::from_slice::<Value>(&entry).is_ok();
                if !is_config {
                    site.store.put_bytes(key, entry);
                }
                if number % 20 == 0 {
                    let attempt = format!("{key}-{number}");
                    let answer = test_boxes[number % 2].call(&post("/r/x", &attempt)).await?;
                    ensure_served_by(&answer, &[&near], &attempt)?;
                }
            }
            let version = site.direct("/r/", SERVICE);
            for test_box in &test_boxes {
                let known = async || Ok(view_version(test_box) >= version);
                wait_until("a later configuration", known).await?;
            }
        }
        wait_until_ready(&test_boxes).await
    })
}

// An address where no server can listen, and slots that no server has, counted as a server's.
#[test]
fn senseless_entries_are_no_servers() -> Result {
    let odd = [
        ("address", json!("127.0.0.1:0")),
        ("address", json!("0.0.0.0:4000")),
        ("address", json!("255.255.255.255:4000")),
        ("address", json!("224.0.0.1:4000")),
        ("address", json!("[::]:4000")),
        ("address", json!("[ff02::1]:4000")),
        ("slots", json!(u32::MAX)),
        ("slots", json!(100_000)),
    ];
    run(async |executor| {
        let site = site()?;
        let sound = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        for (at, (field, value)) in odd.into_iter().enumerate() {
            let mut entry = json!({
                "service": SERVICE, "address": "127.0.0.1:9", "zone": "hall-1",
                "version": "v1", "slots": 16, "state": "ready",
            });
            entry[field] = value;
            site.store.put_server(&format!("odd-{at}"), &entry);
        }
        let later = site.server(server_settings(2))?;
        for test_box in &test_boxes {
            wait_until("followed", async || Ok(test_box.knows(&later))).await?;
            let serving = test_box.router.relay().fleet.serving(&SERVICE.parse()?);
            let ids = serving.iter().map(|it| it.server.id.to_string());
            let ids: Vec<String> = ids.collect();
            ensure!(ids.len() == 2, "{ids:?} beside {}", sound.settings().id);
        }
        Ok(())
    })
}

// An entry of a box that stands under the key of another one, or at no address, changed the list
// of boxes.
#[test]
fn an_entry_of_a_box_speaks_for_its_own_key() -> Result {
    run(async |executor| {
        let site = site()?;
        let member = |name: &str, hall: &str, address: &str| -> Result<Member> {
            Ok(Member {
                name: name.parse()?,
                hall: hall.parse()?,
                address: address.parse()?,
                link_mbps: 100,
            })
        };
        let me = member("box-1", "hall-1", "127.0.0.1:4001")?;
        let other = member("box-2", "hall-1", "127.0.0.1:4002")?;
        let odd = [
            ("hall-1/aaa", member("box-2", "hall-1", "127.0.0.1:4009")?),
            ("hall-1/box-3", member("box-3", "hall-2", "127.0.0.1:4003")?),
            ("hall-1/box-4", member("box-4", "hall-1", "127.0.0.1:0")?),
            ("hall-1/box-5", member("box-5", "hall-1", "0.0.0.0:4005")?),
        ];
        let usual = [("hall-1/box-1", me.clone()), ("hall-1/box-2", other)];
        for (key, member) in usual.iter().chain(&odd) {
            let value = serde_json::to_value(member)?;
            site.store.put(&format!("{BOXES}{key}"), &value);
        }
        let client = store::Client::new(site.store.address());
        let registry = Registry::new(me.clone(), client.into());
        let _task = executor.spawn(registry.clone().maintain(relay()?));
        wait_until("listed", async || Ok(registry.is_listed())).await?;
        let found = registry.members_of(&me.hall);
        let names: Vec<String> = found
            .iter()
            .map(|it| format!("{} {}", it.name, it.address))
            .collect();
        ensure!(found.len() == 2, "{names:?}");
        Ok(())
    })
}

// Times whose multiples exceed a `Duration` ended each box with the first request of the route.
#[test]
fn routes_with_times_of_centuries_are_served() -> Result {
    for field in ["timeout_ms", "target_latency_ms", "target_itl_ms"] {
        run(async |executor| {
            let site = site()?;
            let server = site.server(stream_server_settings(1, 3, ms(20)))?;
            let harness = Harness::start_ready(executor, site).await?;
            for time in [1e18, 1e21, 1.8e22] {
                let version = harness.site.configure(|config| {
                    let routes = config["routes"].as_array_mut();
                    for route in routes.into_iter().flatten() {
                        route[field] = json!(time);
                    }
                });
                let view = &harness.router.relay().view;
                wait_until("in force", async || Ok(view.version().0 >= version)).await?;
                for path in ["/r/x", "/s/x", "/u/x"] {
                    let attempt = format!("{field}-{time}-{}", &path[1..2]);
                    let answer = harness.post(path, &attempt).await?;
                    ensure_served_by(&answer, &[&server], &attempt)?;
                }
            }
            Ok(())
        })?;
    }
    Ok(())
}

// A search with a step for each request a second of a cold server held up the whole box.
#[test]
fn cold_servers_that_bear_any_rate_take_no_time_to_share() -> Result {
    for per_s in [1e9, 1e15, 1e18, 1e300, f64::MAX] {
        let cold = Cold {
            time: Duration::from_secs(3),
            per_s,
        };
        let began = Instant::now();
        let share = Limit::new(cold, 1.5, 5.0).share(78);
        ensure!(began.elapsed() < ms(100), "{per_s}: {:?}", began.elapsed());
        ensure!(share.senders == 78, "{per_s}: {share:?}");
        ensure!(share.requests >= 1_000_000, "{per_s}: {share:?}");
    }
    Ok(())
}

fn fleet_with_server(id: &str) -> Result<(Fleet, Server, Instant)> {
    let server = Server {
        id: id.parse()?,
        service: SERVICE.parse()?,
        address: SocketAddr::from(([127, 0, 0, 1], 4_000)),
        hall: "hall-1".parse()?,
        slots: 16,
        release: None,
        state: State::Ready,
        born: None,
        cold: Duration::ZERO,
    };
    let (fleet, now) = (Fleet::default(), Instant::now());
    fleet.announce(server.clone(), now);
    Ok((fleet, server, now))
}

// A load whose sum exceeds an integer ended the box, or looked like none.
#[test]
fn a_load_beyond_an_integer_is_large() -> Result {
    let (fleet, server, now) = fleet_with_server("i-1")?;
    let backend = fleet.get(&server.id).ok_or_else(|| eyre!("unknown"))?;
    for (running, waiting) in [(u32::MAX, 1), (1, u32::MAX), (u32::MAX, u32::MAX)] {
        let load = Load {
            running,
            waiting,
            slots: 1,
            slowdown: None,
        };
        backend.record_load(load, now);
        let _request = backend.run(0);
        let found = backend.load(ms(1_000), now);
        ensure!(found >= Some(u32::MAX - 1), "{found:?}");
    }
    Ok(())
}

// A share below 0 or above 1 outlived its stage in the credit of the release.
#[test]
fn a_stage_with_no_share_of_requests_is_not_taken() -> Result {
    for odd in [-1e300, -0.1, 1.1, 1e300, f64::NAN, f64::INFINITY] {
        let (relay, now) = (relay()?, Instant::now());
        let service = SERVICE.parse()?;
        let order = Order {
            service: SERVICE.parse()?,
            target: "v2".parse()?,
            within: Duration::from_secs(60),
        };
        let rollouts = &relay.rollouts;
        rollouts.order(order, Revision::of(4), None, now);
        rollouts.confirm_at(now);
        let take = |share: f64, revision: u64| {
            let stage = Stage {
                order: 4,
                state: rollout::State::InProgress,
                share,
                elapsed_ms: u64::MAX,
            };
            rollouts.stage(&service, stage, Revision::of(revision), now);
            let target = || {
                let selector = rollouts.release_selector(&service, false, ms(1_000), |_| 4, now);
                matches!(selector, Selector::Target { .. })
            };
            (0..1_000).filter(|_| target()).count()
        };
        let before = take(odd, 5);
        ensure!(before == 0, "{odd}: {before}");
        let after = take(0.5, 6);
        ensure!((490..=510).contains(&after), "{odd}: {after}");
    }
    Ok(())
}

// An unreadable stage kept an order where it was for good: nothing replaced it.
#[test]
fn an_order_goes_on_after_an_odd_stage() -> Result {
    run(async |executor| {
        let site = site()?;
        let _server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let order = json!({ "service": SERVICE, "target_version": "v2", "duration_s": 60.0 });
        site.store.put(&format!("op/rollout/{SERVICE}"), &order);
        let key = format!("tidepier/rollouts/{SERVICE}");
        let is_readable = async || {
            let value = site.store.value(&key).unwrap_or_default();
            let stage = serde_json::from_slice::<Stage>(&value);
            Ok(stage.is_ok_and(|stage| (0.0..=1.0).contains(&stage.share)))
        };
        wait_until("begun", is_readable).await?;
        let deep = "[".repeat(100_000);
        let share = |share: &str| {
            let order = site.store.value(&key).unwrap_or_default();
            let text = String::from_utf8_lossy(&order).into_owned();
            text.replace("\"share\":0.0", &format!("\"share\":{share}"))
        };
        for odd in [
            deep,
            "7".into(),
            share("1e400"),
            share("-1e300"),
            share("1e300"),
        ] {
            site.store.put_bytes(&key, odd.clone().into_bytes());
            let name = &odd[..odd.len().min(90)];
            wait_until(name, is_readable).await?;
        }
        wait_until_ready(&test_boxes).await
    })
}

// An unreadable order in the place of one in force made every freshness check read all entries of
// the operator.
#[test]
fn an_unreadable_order_costs_no_reads() -> Result {
    run(async |executor| {
        let site = site()?;
        let _server = site.server(server_settings(1))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let key = format!("op/rollout/{SERVICE}");
        let order = json!({ "service": SERVICE, "target_version": "v2", "duration_s": 60.0 });
        site.store.put(&key, &order);
        let stage = format!("tidepier/rollouts/{SERVICE}");
        wait_until("begun", async || Ok(site.store.value(&stage).is_some())).await?;
        site.store.put_bytes(&key, b"[".repeat(100_000));
        Timer::after(FRESHNESS_CHECK_TIME).await;
        let before = site.store.calls("kv-range");
        Timer::after(FRESHNESS_CHECK_TIME * 4).await;
        let reads = site.store.calls("kv-range") - before;
        ensure!(reads <= 1, "{reads} reads");
        // The order that was readable stays in force.
        let relay = test_boxes[0].router.relay();
        ensure!(relay.rollouts.of(&SERVICE.parse()?).is_some(), "no order");
        wait_until_ready(&test_boxes).await
    })
}

// An unreadable record of one service's releases kept those of other services from being written.
#[test]
fn an_unreadable_record_of_releases_delays_no_other() -> Result {
    run(async |executor| {
        let site = site()?;
        let key = |number: u32| format!("tidepier/releases/service-{number}");
        let mut servers = Vec::new();
        for number in 1..=12 {
            servers.push(site.server(server::Settings {
                service: format!("service-{number}"),
                release: Some("v1".into()),
                ..server_settings(number)
            })?);
            if number % 2 == 0 {
                site.store.put_bytes(&key(number), b"[".repeat(1_000));
            }
        }
        let _test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        for number in (1..=12).step_by(2) {
            let written = async || Ok(site.store.value(&key(number)).is_some());
            wait_until(&key(number), written).await?;
        }
        Ok(())
    })
}

// Entries that are plausible and wrong: nothing listens there, and their slots are as many as an
// entry may state.
#[test]
fn requests_are_served_beside_plausible_entries_without_servers() -> Result {
    const ODD: usize = 20;
    run(async |executor| {
        let site = site()?;
        let sound: Vec<_> = (1..=3)
            .map(|number| site.server(server_settings(number)))
            .collect::<std::io::Result<_>>()?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        for at in 0..ODD {
            let entry = json!({
                "service": SERVICE, "address": format!("127.0.0.{}:9", at + 1), "zone": "hall-1",
                "version": "v1", "slots": 65_535, "state": "ready",
                "cold_remaining_ms": if at % 2 == 0 { 0.0 } else { 1e21 },
            });
            site.store.put_server(&format!("odd-{at}"), &entry);
        }
        let later = site.server(server_settings(4))?;
        let (mut slowest, mut refused) = (Duration::ZERO, 0);
        for test_box in &test_boxes {
            wait_until("followed", async || Ok(test_box.knows(&later))).await?;
            for number in 0..100 {
                let attempt = format!("{}-{number}", test_box.name);
                let answer = test_box.call(&post("/r/x", &attempt)).await?;
                slowest = slowest.max(answer.elapsed);
                // Each refused request shows the box at least one of them.
                if number < ODD && answer.status == 503 {
                    refused += 1;
                    continue;
                }
                let servers = [&sound[0], &sound[1], &sound[2], &later];
                ensure_served_by(&answer, &servers, &attempt)?;
            }
        }
        ensure!(slowest < ms(500), "{slowest:?}");
        let runs = sound.iter().chain([&later]).map(|it| it.runs().len());
        let runs: Vec<usize> = runs.collect();
        ensure!(runs.iter().sum::<usize>() == 200 - refused, "{runs:?}");
        Ok(())
    })
}

// A server's entry that names the address of a box itself.
#[test]
fn requests_are_served_beside_an_entry_with_the_address_of_the_box() -> Result {
    run(async |executor| {
        let site = site()?;
        let sound = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        for (at, test_box) in test_boxes.iter().enumerate() {
            let entry = json!({
                "service": SERVICE, "address": test_box.router.client_address().to_string(),
                "zone": "hall-1", "version": "v1", "slots": 64, "state": "ready",
            });
            site.store.put_server(&format!("odd-{at}"), &entry);
        }
        let later = site.server(server_settings(4))?;
        for test_box in &test_boxes {
            wait_until("followed", async || Ok(test_box.knows(&later))).await?;
        }
        for path in ["/r/x", "/o/x"] {
            for number in 0..50 {
                let attempt = format!("{}-{number}", &path[1..2]);
                let test_box = &test_boxes[number % 2];
                let answer = test_box.call(&post(path, &attempt)).await?;
                ensure_served_by(&answer, &[&sound, &later], &attempt)?;
                let runs = sound.ran(&attempt) + later.ran(&attempt);
                ensure!(runs == 1, "{attempt} ran {runs} times");
            }
        }
        Ok(())
    })
}
