//! Entries of other writers among those of servers.

use eyre::ensure;
use serde_json::{json, Value};
use tidepier_core::server::State;
use tidepier_relay_standin::names;

use crate::box_harness::{ready, started, TestBox};
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

/// Entries that name no server to use: bytes, and an entry with one field changed.
fn strange() -> Vec<Vec<u8>> {
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

fn serving(machine: &TestBox) -> Result<usize> {
    let service = SERVICE.parse()?;
    Ok(machine.router.relay().fleet.serving(&service).len())
}

#[test]
fn strange_entries_name_no_server_and_harm_no_other() -> Result {
    run(async |executor| {
        let site = site()?;
        let good = [
            site.server(server_settings(1))?,
            site.server(server_settings(2))?,
        ];
        // Half of them are there at the start, the others come while it runs.
        let strange = strange();
        let put = |at: usize| {
            site.store
                .put_bytes(&key(&format!("s-{at}")), strange[at].clone())
        };
        (0..strange.len()).step_by(2).for_each(|at| {
            put(at);
        });
        site.store.put(&key("No Id"), &entry(200));
        let machines = started(&executor, &site, 2).await?;
        (1..strange.len()).step_by(2).for_each(|at| {
            put(at);
        });
        let marker = site.server(server_settings(3))?;
        for machine in &machines {
            wait_until("followed", async || Ok(machine.knows(&marker))).await?;
            ensure!(serving(machine)? == 3, "{} servers", serving(machine)?);
            let answer = machine.call(&post("/r/x", &machine.name)).await?;
            ensure_served_by(&answer, &[&good[0], &good[1], &marker], &machine.name)?;
        }
        // Read as a list, they say the same.
        site.store.compact();
        site.store.cut_watches();
        let second = site.server(server_settings(4))?;
        for machine in &machines {
            wait_until("followed", async || Ok(machine.knows(&second))).await?;
            ensure!(serving(machine)? == 4, "{} servers", serving(machine)?);
        }
        ready(&machines).await
    })
}

/// Whether the change is watched or the list is read.
#[test]
fn a_server_whose_entry_becomes_strange_is_not_used() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(server_settings(1))?;
        let other = site.server(server_settings(2))?;
        let machines = started(&executor, &site, 2).await?;
        for bytes in [&b"\xff"[..], b"{}", br#"{"state":"ready"}"#] {
            site.store.put_bytes(&key("i-1"), bytes.to_vec());
            for machine in &machines {
                wait_until("dropped", async || Ok(!machine.knows(&server))).await?;
                let answer = machine.call(&post("/r/x", &machine.name)).await?;
                ensure_served_by(&answer, &[&other], &machine.name)?;
            }
            site.announce(&server, State::Ready);
            for machine in &machines {
                wait_until("back", async || machine.sends_to(&server)).await?;
            }
        }
        Ok(())
    })
}
