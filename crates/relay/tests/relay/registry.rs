//! Membership: the entries of boxes in the store, and the priority order that follows
//! from them.

use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use smol::Timer;
use tidepier_core::store::{Store, Swap, Write};
use tidepier_platform::store;
use tidepier_relay::peer::registry::{Member, Registry};

use crate::box_harness::{
    self, address, ensure_served, site_with_keys, start_boxes_with_reader, Process, BOXES,
};
use crate::harness::{ms, run, server_settings, wait_until, Result};
use crate::peer_answers::relay;

/// Time within which a box checks its registration: it lists the boxes every 15 s.
const CHECK_INTERVAL_MAX: Duration = Duration::from_millis(17_000);

#[test]
fn a_box_finds_its_registration() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let peer = address();
        let settings = box_harness::settings(&site, "box-1", "hall-1", 1_000, peer);
        // The entries that the box's previous process left.
        let releases = serde_json::json!({ "releases": ["v1"] });
        site.store.put("tidepier/releases/service-1", &releases);
        let member = Member {
            name: "box-1".parse()?,
            hall: "hall-1".parse()?,
            address: peer,
            link_mbps: 1_000,
        };
        let client = store::Client::new(site.store.address());
        let lease = client.lease(Duration::from_secs(600), ms(500)).await?.id;
        let (key, value) = (format!("{BOXES}hall-1/box-1"), serde_json::to_vec(&member)?);
        let write = Write {
            key: &key,
            value: &value,
            lease: Some(lease),
        };
        let swap = client.swap(&[], &[write], &[], ms(500)).await?;
        ensure!(matches!(swap, Swap::Done(_)), "{swap:?}");
        let revision = site.store.revision();
        let process = Process::start(settings, peer)?;
        wait_until("serving", async || Ok(process.serves().await)).await?;
        // A box that registers does so within this time.
        Timer::after(ms(1_500)).await;
        ensure!(site.store.calls("kv-lease") == 1, "registered again");
        ensure!(site.store.revision() == revision, "written to");
        ensure!(process.serves().await, "does not serve");
        ensure!(!server.runs().is_empty(), "nothing arrived");
        drop(executor);
        Ok(())
    })
}

#[test]
fn a_box_that_lost_its_registration_registers_again() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let server = site.server(server_settings(1))?;
        let boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        let keys = || site.store.keys(BOXES);
        let key = format!("{BOXES}hall-1/box-1");
        ensure!(keys().contains(&key), "{:?}", keys());
        site.store.remove(&key);
        let since = Instant::now();
        while !keys().contains(&key) {
            ensure!(since.elapsed() < CHECK_INTERVAL_MAX, "not registered again");
            ensure_served(&boxes, &[&server], ms(300)).await?;
        }
        ensure!(keys().len() == 2, "{:?}", keys());
        Ok(())
    })
}

#[test]
fn boxes_agree_on_their_order() -> Result {
    run(async |executor| {
        let site = site_with_keys()?;
        let mut members = Vec::new();
        for (name, hall, link_mbps) in [
            ("box-0", "hall-1", 100),
            ("box-1", "hall-1", 300),
            ("box-2", "hall-1", 300),
            ("box-3", "hall-1", 300),
            ("box-4", "hall-1", 200),
            ("box-5", "hall-2", 900),
        ] {
            let member = Member {
                name: name.parse()?,
                hall: hall.parse()?,
                address: address(),
                link_mbps,
            };
            let key = format!("{BOXES}{hall}/{name}");
            site.store.put(&key, &serde_json::to_value(&member)?);
            members.push(member);
        }
        let broken = format!("{BOXES}hall-1/broken");
        site.store.put(&broken, &serde_json::json!(7));
        let (mut orders, mut firsts, mut others) = (Vec::new(), Vec::new(), Vec::new());
        for me in &members {
            let client = store::Client::new(site.store.address());
            let registry = Registry::new(me.clone(), client.into());
            ensure!(!registry.is_listed(), "listed before it asked");
            ensure!(registry.predecessors().is_empty(), "knows others");
            let boxes = relay()?;
            let _task = executor.spawn(registry.clone().maintain(boxes.clone()));
            wait_until("listed", async || Ok(registry.is_listed())).await?;
            let predecessors = registry.predecessors();
            // The first box of a hall sends the list of all boxes to the others, which
            // know only those of their hall until then.
            let own = members.iter().filter(|other| other.hall == me.hall).count();
            match predecessors.is_empty() {
                true => {
                    let all = async || Ok(boxes.boxes() >= members.len());
                    wait_until("all boxes known", all).await?;
                    firsts.push(registry.clone());
                }
                false => ensure!(boxes.boxes() == own, "{} boxes", boxes.boxes()),
            }
            orders.push((me.clone(), predecessors));
            others.push((registry, boxes));
        }
        let first = firsts.first().ok_or_else(|| eyre!("no first box"))?;
        for (registry, boxes) in &others {
            if let Some(list) = first.list_for(registry.digest()) {
                registry.apply_list(boxes, &list);
            }
            ensure!(boxes.boxes() == members.len(), "{} boxes", boxes.boxes());
            ensure!(registry.digest() == first.digest(), "another list");
            ensure!(first.list_for(registry.digest()).is_none(), "sent again");
        }
        orders.sort_by_key(|(_, predecessors)| predecessors.len());
        let hall = |name: &str| -> Result<Vec<(Member, Vec<Member>)>> {
            let name = name.parse()?;
            let own = orders.iter().filter(|(me, _)| me.hall == name);
            Ok(own.cloned().collect())
        };
        let first = hall("hall-1")?;
        for (place, (me, predecessors)) in first.iter().enumerate() {
            let expected: Vec<Member> = first[..place].iter().map(|(me, _)| me.clone()).collect();
            ensure!(*predecessors == expected, "{}: {predecessors:?}", me.name);
        }
        let links: Vec<u32> = first.iter().map(|(me, _)| me.link_mbps).collect();
        ensure!(links == [300, 300, 300, 200, 100], "{links:?}");
        let second = hall("hall-2")?;
        ensure!(second[0].1.is_empty(), "{second:?}");
        Ok(())
    })
}
