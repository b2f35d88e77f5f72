//! Transcripts of every subcommand.

use std::process::{Command, Output};

use insta::assert_snapshot;
use tidepier_load::fleet::OPERATOR_KEY;

use crate::harness::{Fleet, Plan};

fn tidepier() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidepier"));
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    command
        .env_remove("TIDEPIER_AT")
        .env("RUST_BACKTRACE", "0")
        .env("USER", "ana");
    command
}

fn transcript(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap_or(-1),
        text(&output.stdout),
        text(&output.stderr)
    )
}

fn run(arguments: &[&str]) -> String {
    transcript(&tidepier().args(arguments).output().unwrap())
}

struct Desk {
    fleet: Fleet,
    at: String,
}

impl Desk {
    fn new() -> Self {
        let fleet = Fleet::start(Plan {
            boxes: 2,
            engines: 2,
            ..Plan::default()
        });
        let at: Vec<_> = fleet
            .made
            .boxes
            .iter()
            .map(|b| b.admin.to_string())
            .collect();
        Self {
            fleet,
            at: at.join(","),
        }
    }

    /// Runs a command against the fleet, with its ports and times blanked out.
    fn run(&self, arguments: &[&str]) -> String {
        let mut command = tidepier();
        command.args(arguments).args(["--at", &self.at]);
        command.env("TIDEPIER_OPERATOR_KEY", OPERATOR_KEY);
        let mut text = transcript(&command.output().unwrap());
        for settings in &self.fleet.made.boxes {
            text = text.replace(&settings.admin.to_string(), "ADMIN");
        }
        text
    }

    fn write(&self, name: &str, change: impl FnOnce(&mut serde_json::Value)) -> String {
        let mut value = serde_json::to_value(&self.fleet.made.document).unwrap();
        change(&mut value);
        let folder = std::env::temp_dir();
        let path = folder.join(format!("tidepier-{}-{name}.json", std::process::id()));
        std::fs::write(&path, value.to_string()).unwrap();
        path.to_str().unwrap().to_string()
    }
}

#[test]
fn help_lists_the_subcommands() {
    assert_snapshot!(run(&["--help"]));
    assert_snapshot!(run(&["apply", "--help"]));
}

#[test]
fn check_is_offline() {
    assert_snapshot!(run(&["check", "examples/safi.json"]));
    assert_snapshot!(run(&[
        "check",
        "--settings",
        "examples/safi/box-embakasi-1.json"
    ]));
    assert_snapshot!(run(&["check", "examples/safi/box-embakasi-1.json"]));
    assert_snapshot!(run(&["check", "examples/none.json"]));
}

#[test]
fn a_missing_key_is_said_before_anything_is_called() {
    let output = tidepier()
        .args(["status", "--at", "127.0.0.1:1"])
        .env_remove("TIDEPIER_OPERATOR_KEY")
        .output()
        .unwrap();
    assert_snapshot!(transcript(&output));
}

#[test]
fn an_operators_day() {
    let desk = Desk::new();
    let engine = desk.fleet.made.document.engines[0].name.to_string();
    let path = desk.write("leaving", |value| {
        value["engines"][0]["state"] = "leaving".into()
    });
    assert_snapshot!(desk.run(&["diff", &path]));
    assert_snapshot!(desk.run(&["apply", &path, "--dry-run"]));
    let applied = desk.run(&["apply", &path, "--wait"]);
    let (head, _) = applied.split_once(" after ").unwrap();
    assert_snapshot!(head);
    assert_snapshot!(desk.run(&["apply", &path, "--expect", "1"]));
    assert_snapshot!(desk.run(&["diff", &path]));
    let empty = desk.write("hall", |value| {
        value["halls"]
            .as_array_mut()
            .unwrap()
            .push("westlands".into());
    });
    assert_snapshot!(desk.run(&["apply", &empty]));
    let shown = desk.run(&["show"]);
    assert!(shown.contains(&engine), "{shown}");
    let record = desk.run(&["show", "--json"]);
    assert!(record.contains("\"generation\": 2"), "{record}");
    assert_snapshot!(desk.run(&["drain", "engine", "--help"]));
    let unknown = desk.run(&["drain", "engine", "nobody"]);
    assert_snapshot!(unknown);
    let drained = desk.run(&[
        "drain",
        "engine",
        desk.fleet.made.document.engines[1].name.as_str(),
    ]);
    assert_snapshot!(drained);
}

#[test]
fn status_shows_every_box() {
    let desk = Desk::new();
    let text = desk.run(&["status"]);
    for settings in &desk.fleet.made.boxes {
        assert!(text.contains(settings.name.as_str()), "{text}");
    }
    let json = desk.run(&["status", "--json"]);
    assert!(json.contains("\"generation\": 1"), "{json}");
}

#[test]
fn explain_names_who_decided_what() {
    let desk = Desk::new();
    let chat = desk.fleet.make_chat(1, 3);
    let call = tidepier_load::caller::call(&chat);
    let answer = desk.fleet.call(desk.fleet.addresses()[0], &call).unwrap();
    let request = answer.header("tidepier-request").unwrap();
    let text = desk.run(&["explain", request]);
    assert!(
        text.contains("keeper") && text.contains("granted"),
        "{text}"
    );
    assert!(text.contains("answered whole"), "{text}");
    assert_snapshot!(desk.run(&["explain", "0000000000000000"]));
    assert_snapshot!(desk.run(&["explain", "what"]));
}

#[test]
fn a_drained_box_finishes_and_says_so() {
    let desk = Desk::new();
    let name = desk.fleet.made.boxes[1].name.to_string();
    assert_snapshot!(desk.run(&["drain", "box", &name, "--wait"]));
}

#[test]
fn keys_are_new_each_time_and_hash_alike() {
    let one = run(&["keys", "new"]);
    assert_ne!(one, run(&["keys", "new"]));
    let field = |name: &str| {
        let line = one.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().last().unwrap().to_string()
    };
    let hash = tidepier_config::key::Hash::of(&field("key")).to_string();
    assert_eq!(hash, field("sha256"));
    assert_eq!(run(&["keys", "secret"]).lines().nth(1).unwrap().len(), 64);
}

#[test]
fn completions_and_schemas_are_printed() {
    assert!(run(&["completions", "bash"]).contains("_tidepier"));
    assert!(run(&["schema"]).contains("\"$schema\""));
    assert!(run(&["schema", "--settings"]).contains("link_keys"));
}
