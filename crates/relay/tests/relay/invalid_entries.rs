//! Entries among those of servers that were not written by servers.

use eyre::ensure;
use serde_json::{json, Value};
use tidepier_core::server::State;
use tidepier_relay_standin::names;

use crate::box_harness::{start_boxes_with_reader, wait_until_ready, TestBox};
use crate::harness::{
    ensure_served_by, post, run, server_settings, site, wait_until, Result, SERVICE,
};

fn key(id: &str) -> String {
    format!("{}{id}", names::SERVERS)
}

/// An entry as a server would write it.
fn entry(id: usize) -> Value {
    json!({
        "service": SERVICE, "address": format!("127.0.0.1:{}", 40_000 + id), "zone": "hall-1",
        "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        "born": 1_760_000_000_000_u64,
    })
}

/// Entries that describe no usable server: arbitrary bytes, and valid entries with one
/// field changed.
fn invalid_entries() -> Vec<Vec<u8>> {
    let mut found: Vec<Vec<u8>> = [
        &b""[..],
        b"{",
        b"null",
        b"[]",
        b"7",
        b"\"ready\"",
        b"\xff\xfe\x00",
        b"{}",
        b"true",
        b"{\"service\":",
        b"[[[[[[[[[[[[[[[[[[[[[[",
    ]
    .iter()
    .map(|bytes| bytes.to_vec())
    .collect();
    let wrong = [
        ("service", json!(7)),
        ("service", json!("No Service")),
        ("service", Value::Null),
        ("address", json!("here")),
        ("address", json!({ "ip": "127.0.0.1" })),
        ("zone", json!(["hall-1"])),
        ("slots", json!(-1)),
        ("slots", json!("16")),
        ("slots", json!(1e30)),
        ("state", json!("resting")),
        ("state", json!(true)),
        ("cold_remaining_ms", json!("soon")),
        ("cold_remaining_ms", json!(-5)),
        ("cold_remaining_ms", json!(1e300)),
        ("born", json!("today")),
        ("born", json!(-3)),
        ("born", json!(1.5)),
        ("born", json!([1])),
    ];
    for (at, (field, value)) in wrong.into_iter().enumerate() {
        let mut changed = entry(at);
        changed[field] = value;
        found.push(changed.to_string().into_bytes());
    }
    for (at, field) in ["service", "address", "zone", "slots", "state"]
        .iter()
        .enumerate()
    {
        let mut lacking = entry(100 + at);
        lacking.as_object_mut().map(|fields| fields.remove(*field));
        found.push(lacking.to_string().into_bytes());
    }
    found
}

fn serving(test_box: &TestBox) -> Result<usize> {
    let service = SERVICE.parse()?;
    Ok(test_box.router.relay().fleet.serving(&service).len())
}

#[test]
fn invalid_entries_are_ignored_and_harm_no_other() -> Result {
    run(async |executor| {
        let site = site()?;
        let good = [
            site.server(server_settings(1))?,
            site.server(server_settings(2))?,
        ];
        // Half of them exist at the start, the others are added while the router runs.
        let invalid = invalid_entries();
        let put = |at: usize| {
            site.store
                .put_bytes(&key(&format!("s-{at}")), invalid[at].clone())
        };
        (0..invalid.len()).step_by(2).for_each(|at| {
            put(at);
        });
        site.store.put(&key("No Id"), &entry(200));
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        (1..invalid.len()).step_by(2).for_each(|at| {
            put(at);
        });
        let marker = site.server(server_settings(3))?;
        for test_box in &test_boxes {
            wait_until("followed", async || Ok(test_box.knows(&marker))).await?;
            ensure!(serving(test_box)? == 3, "{} servers", serving(test_box)?);
            let answer = test_box.call(&post("/r/x", &test_box.name)).await?;
            ensure_served_by(&answer, &[&good[0], &good[1], &marker], &test_box.name)?;
        }
        // The result is the same when they are read as a list.
        site.store.compact();
        site.store.cut_watches();
        let second = site.server(server_settings(4))?;
        for test_box in &test_boxes {
            wait_until("followed", async || Ok(test_box.knows(&second))).await?;
            ensure!(serving(test_box)? == 4, "{} servers", serving(test_box)?);
        }
        wait_until_ready(&test_boxes).await
    })
}

/// The entry's change may be received by a watch or read in a list.
#[test]
fn a_server_whose_entry_becomes_invalid_is_not_used() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let other = site.server(server_settings(2))?;
        let test_boxes = start_boxes_with_reader(&executor, &site, 2).await?;
        for bytes in [&b"\xff"[..], b"{}", br#"{"state":"ready"}"#] {
            site.store.put_bytes(&key("i-1"), bytes.to_vec());
            for test_box in &test_boxes {
                wait_until("dropped", async || Ok(!test_box.knows(&server))).await?;
                let answer = test_box.call(&post("/r/x", &test_box.name)).await?;
                ensure_served_by(&answer, &[&other], &test_box.name)?;
            }
            site.announce(&server, State::Ready);
            for test_box in &test_boxes {
                wait_until("back", async || test_box.sends_to(&server)).await?;
            }
        }
        Ok(())
    })
}
