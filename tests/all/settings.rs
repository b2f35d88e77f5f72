//! Tests of the checks of settings and documents: all faults are reported at once,
//! each with its field, what was found and what is allowed.

use proptest::prelude::*;
use serde_json::{json, Value};
use tidepier_config::document::Policy;
use tidepier_config::{check, Document, Settings};
use tidepier_load::fleet::{Fleet, Size, User};

use crate::streams::config;

fn sample_fleet() -> Fleet {
    Fleet::new(&Size {
        user: User::Safi,
        boxes: 1,
        engines: 2,
        halls: 1,
        accounts: 2,
        port: 20_000,
        policy: Policy::Tidepier,
        cache_tokens: 1000,
    })
}

fn faults_of_settings(change: impl FnOnce(&mut Value)) -> String {
    let mut value = serde_json::to_value(&sample_fleet().boxes[0]).unwrap();
    change(&mut value);
    match check::parse::<Settings>(&value.to_string()) {
        Ok(_) => "valid".into(),
        Err(faults) => faults.to_string(),
    }
}

fn faults_of_document(change: impl FnOnce(&mut Value)) -> String {
    let mut value = serde_json::to_value(&sample_fleet().document).unwrap();
    change(&mut value);
    match check::parse::<Document>(&value.to_string()) {
        Ok(_) => "valid".into(),
        Err(faults) => faults.to_string(),
    }
}

#[test]
fn all_faults_of_settings_are_reported_at_once() {
    let text = faults_of_settings(|value| {
        value["callers"] = json!("127.0.0.1:70000");
        value["admin"] = value["peers"].clone();
        value["box"] = json!("Box One");
        value["colour"] = json!("blue");
        value["tuning"]["heartbeat_ms"] = json!("fast");
        value["link_keys"] = json!([]);
        value.as_object_mut().unwrap().remove("hall");
    });
    insta::assert_snapshot!(text);
}

#[test]
fn all_faults_of_a_document_are_reported_at_once() {
    let text = faults_of_document(|value| {
        value["engines"][1]["name"] = value["engines"][0]["name"].clone();
        value["engines"][0]["hall"] = json!("nowhere");
        value["engines"][0]["state"] = json!("tired");
        value["accounts"][0]["models"] = json!(["unknown"]);
        value["accounts"][1]["key_sha256"] = json!(["abc"]);
        value["services"][0]["servers"][0]["address"] = json!("here");
        value["load"]["multiple"] = json!(0.5);
        value["returning"]["policy"] = json!("best");
    });
    insta::assert_snapshot!(text);
}

#[test]
fn a_syntax_error_names_line_and_column() {
    let faults = check::parse::<Settings>("{\n  \"fleet\": safi\n}").unwrap_err();
    insta::assert_snapshot!(faults);
}

#[test]
fn secrets_stay_out_of_messages_and_debug_output() {
    let settings = sample_fleet().boxes.remove(0);
    let secret = serde_json::to_value(&settings.link_keys[0]).unwrap();
    let secret = secret.as_str().unwrap().to_string();
    assert!(!format!("{settings:?}").contains(&secret));
    let text = faults_of_settings(|value| value["fleet"] = json!(7));
    assert!(!text.contains(&secret), "{text}");
}

/// The check that avoids compiling the schema accepts and refuses the same files
/// as the full one, and reports the same faults.
#[test]
fn the_lean_check_agrees_with_the_full_one() {
    let changes: [(&str, Value); 9] = [
        ("/box", json!("Box One")),
        ("/callers", json!("127.0.0.1:0")),
        ("/link_keys", json!([])),
        ("/link_keys", json!(["abc"])),
        ("/tuning/heartbeat_ms", json!(0)),
        ("/tuning/heartbeat_ms", json!(99_999_999)),
        ("/tuning/suspect_ms", json!(10)),
        ("/tuning/neighbours", json!(-1)),
        ("/operator_keys", json!("none")),
    ];
    let whole = serde_json::to_value(&sample_fleet().boxes[0]).unwrap();
    assert!(check::parse_lean::<Settings>(&whole.to_string()).is_ok());
    for (field, found) in changes {
        let mut value = whole.clone();
        *value.pointer_mut(field).unwrap() = found;
        let full = check::parse::<Settings>(&value.to_string()).unwrap_err();
        let lean = check::parse_lean::<Settings>(&value.to_string()).unwrap_err();
        assert_eq!(full, lean, "{field}");
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn no_text_crashes_the_check(text in "\\PC{0,300}") {
        let _ = check::parse::<Settings>(&text);
        let _ = check::parse::<Document>(&text);
    }

    #[test]
    fn no_change_of_a_field_crashes_the_check(field in 0..12usize, number in any::<i64>(), text in "\\PC{0,20}") {
        faults_of_document(|value| {
            let object = value.as_object_mut().unwrap();
            let keys: Vec<String> = object.keys().cloned().collect();
            let key = &keys[field % keys.len()];
            object.insert(key.clone(), if number % 2 == 0 { json!(number) } else { json!([text]) });
        });
    }
}
