//! Entries of the platform's store: configurations and servers' advertisements.

use std::time::Duration;

use proptest::prelude::*;
use tidepier_core::catalog::Kind;
use tidepier_core::server::{StartTime, State};
use tidepier_platform::catalog::{self, Invalid};
use tidepier_platform::{key, server};

const CONFIG: &str = r#"{"version":12,"note":"new","routes":[
{"name":"r-a","host":"Shop.example","path_prefix":"/chat/","type":"streaming","timeout_ms":6000,
 "target_latency_ms":600.5,"priority":1,"traffic_split":[{"service":"big","weight":90},
 {"service":"small","weight":10}],"max_attempts":1,"public":false,"session_affinity":true,
 "stream_resume":true,"target_itl_ms":300},
{"name":"r-b","host":"shop.example","path_prefix":"/chat/long/","type":"idempotent",
 "timeout_ms":4000,"target_latency_ms":500,"priority":300,"service":"big","max_attempts":2,
 "public":true},
{"name":"r-\u0063","host":"other.example","path_prefix":"/","type":"non_idempotent","service":"small"}],
"services":[{"name":"big","health_path":"/healthz","max_connections":370,"protocol":"h1",
 "tls":false,"engine":{"slots":64,"kv_capacity":363122,"kv_bytes":327680,"link_mbps":370000.0}},
 {"name":"small","engine":null}],
"limits":{"max_header_bytes":8192,"max_body_bytes":1000,"header_timeout_ms":2000},
"tenants":[{"name":"acme","api_keys":["k1","k2"],"priority":1},{"name":"none"}]}"#;

#[test]
fn a_configuration_is_decoded() {
    let catalog = catalog::decode(CONFIG.as_bytes()).expect("valid");
    assert_eq!(catalog.version.0, 12);
    let chat = catalog.route("shop.example", "/chat/x").expect("a route");
    assert_eq!(&*chat.name, "r-a");
    assert_eq!(chat.kind, Kind::Stream { resumable: true });
    assert_eq!(chat.timeout, Duration::from_secs(6));
    assert_eq!(chat.objective, Duration::from_micros(600_500));
    assert_eq!(chat.pause, Some(Duration::from_millis(300)));
    assert!(chat.affinity && !chat.public);
    let split = chat.split.iter();
    let split: Vec<_> = split
        .map(|share| (share.service.as_str(), share.weight))
        .collect();
    assert_eq!(split, [("big", 90), ("small", 10)]);

    let long = catalog
        .route("shop.example", "/chat/long/x")
        .expect("a route");
    assert_eq!((&*long.name, long.kind), ("r-b", Kind::Repeatable));
    assert_eq!((long.attempts, long.priority, long.public), (2, 255, true));
    assert_eq!(long.split.len(), 1);

    let plain = catalog.route("other.example", "/any").expect("a route");
    assert_eq!((&*plain.name, plain.kind), ("r-c", Kind::AtMostOnce));
    assert_eq!((plain.attempts, plain.pause), (1, None));
    assert!(catalog.route("shop.example", "/").is_none());

    let big = &catalog.services[&"big".parse().expect("a name")];
    assert_eq!((&*big.health_path, big.connections), ("/healthz", 370));
    let engine = big.engine.expect("an engine");
    assert_eq!((engine.slots, engine.memory_tokens), (64, 363_122));
    assert!(catalog.services[&"small".parse().expect("a name")]
        .engine
        .is_none());

    assert_eq!(
        (catalog.limits.head_bytes, catalog.limits.body_bytes),
        (8192, 1000)
    );
    assert_eq!(catalog.limits.head_time, Duration::from_secs(2));
    assert_eq!(catalog.limits.idle_time, Duration::from_secs(15));

    let account = catalog.account("k2").expect("an account");
    assert_eq!((account.name.as_str(), account.priority), ("acme", 1));
    assert!(catalog.account("k3").is_none());
}

#[test]
fn absent_accounts_differ_from_an_empty_list() {
    let accounts = |json: &str| catalog::decode(json.as_bytes()).expect("valid").accounts;
    assert!(accounts(r#"{"version":1}"#).is_none());
    assert!(accounts(r#"{"version":1,"tenants":[]}"#).is_some_and(|accounts| accounts.is_empty()));
}

fn decode_error(fields: &str) -> String {
    let json = format!(r#"{{"version":1,"routes":[{{"name":"r-x",{fields}}}]}}"#);
    let decode_error = catalog::decode(json.as_bytes());
    decode_error.expect_err("invalid").to_string()
}

#[test]
fn errors_name_the_invalid_route() {
    let place = r#""host":"a","path_prefix":"/""#;
    assert_eq!(
        decode_error(&format!(r#"{place},"type":"batch","service":"s""#)),
        "route \"r-x\": type \"batch\" is unknown"
    );
    assert_eq!(
        decode_error(&format!(r#"{place},"service":"s""#)),
        "route \"r-x\": type \"\" is unknown"
    );
    for nobody in ["", r#","service":null"#, r#","traffic_split":[]"#] {
        assert_eq!(
            decode_error(&format!(r#"{place},"type":"streaming"{nobody}"#)),
            "route \"r-x\": no service takes its requests"
        );
    }
    for named in [
        r#""service":"S S""#,
        r#""traffic_split":[{"service":"S S","weight":1}]"#,
    ] {
        let why = decode_error(&format!(r#"{place},"type":"streaming",{named}"#));
        assert!(
            why.starts_with("route \"r-x\": name of a service: found \"S S\""),
            "{why}"
        );
    }
}

#[test]
fn malformed_configurations_are_rejected() {
    let whole = r#""host":"a","path_prefix":"/","type":"streaming","service":"s""#;
    let json = |json: &str| matches!(catalog::decode(json.as_bytes()), Err(Invalid::Json(_)));
    let route = |fields: &str| json(&format!(r#"{{"version":1,"routes":[{{{fields}}}]}}"#));
    assert!(!route(whole));
    assert!(route(&whole.replace(r#""host":"a","#, "")));
    assert!(route(&whole.replace(r#""path_prefix":"/","#, "")));
    assert!(route(&format!(r#"{whole},"timeout_ms":-1"#)));
    assert!(json("{"));
    assert!(json(r#"{"routes":[]}"#));
    assert!(json(r#"{"version":1,"services":[{"name":""}]}"#));
    assert!(json(r#"{"version":1,"tenants":[{"name":"A B"}]}"#));
    assert!(json(r#"{"version":1,"limits":{"idle_timeout_ms":-1}}"#));
}

const ENTRY: &str = r#"{"service":"big","address":"10.0.0.9:8080","zone":"north","version":"v1",
"slots":64,"state":"ready","cold_remaining_ms":1500,"phase":"mixed","models":[],"sequence":4}"#;

#[test]
fn an_advertisement_is_decoded() {
    let server = server::decode("i-1", ENTRY.as_bytes()).expect("valid");
    assert_eq!(
        (server.id.as_str(), server.service.as_str()),
        ("i-1", "big")
    );
    assert_eq!(server.address.to_string(), "10.0.0.9:8080");
    assert_eq!((server.hall.as_str(), server.slots), ("north", 64));
    assert_eq!(server.state, State::Ready);
    assert_eq!(server.cold, Duration::from_millis(1500));
    let draining = ENTRY.replace("ready", "draining");
    let draining = server::decode("i-1", draining.as_bytes()).expect("valid");
    assert_eq!(draining.state, State::Draining);
}

#[test]
fn malformed_advertisements_are_rejected() {
    use tidepier_platform::server::Invalid;
    let cases = [
        (r#""ready""#, r#""gone""#, "unknown variant `gone`"),
        ("10.0.0.9", "box", "invalid socket address"),
        ("north", "No rth", "found \"No rth\""),
        (r#""slots":64,"#, "", "missing field `slots`"),
        (r#""state":"ready","#, "", "missing field `state`"),
        ("1500", "-1", "-1 ms is no length of time"),
    ];
    for (from, to, why) in cases {
        let decode_error = server::decode("i-1", ENTRY.replace(from, to).as_bytes());
        assert!(
            matches!(&decode_error, Err(Invalid::Json(_))),
            "{decode_error:?}"
        );
        let found = decode_error.expect_err("invalid").to_string();
        assert!(found.contains(why), "{found}");
    }
    let unnamed = server::decode("", ENTRY.as_bytes());
    assert!(matches!(unnamed, Err(Invalid::Id(_))), "{unnamed:?}");
}

#[test]
fn server_ids_are_decoded_from_keys() {
    assert_eq!(key::server_id("servers/i-1"), Some("i-1"));
    assert_eq!(key::server_id("servers/"), None);
    assert_eq!(key::server_id(key::CONFIG), None);
    assert!(key::CONFIG.starts_with(key::OPERATOR));
}

#[test]
fn cold_limits_and_allowed_regions_are_decoded() {
    let text = r#"{"version":1,"routes":[
{"name":"r-a","host":"a","path_prefix":"/","type":"idempotent","service":"s","allowed_regions":["north","far"]},
{"name":"r-b","host":"b","path_prefix":"/","type":"idempotent","service":"s","allowed_regions":[]}],
"services":[{"name":"s","cold_start_s":3.5,"cold_per_s":9.6},{"name":"t","cold_start_s":3.0,"cold_per_s":0.0},
{"name":"u","cold_start_s":0.0,"cold_per_s":9.6},{"name":"v","cold_start_s":-1,"cold_per_s":2}],
"tenants":[{"name":"acme","api_keys":["k1"],"allowed_regions":["north"]},{"name":"other","api_keys":["k2"]}]}"#;
    let catalog = catalog::decode(text.as_bytes()).expect("valid");
    let homes = |host| {
        let route = catalog.route(host, "/x").expect("a route");
        route
            .allowed_regions
            .as_ref()
            .map(|homes| homes.iter().map(ToString::to_string).collect::<Vec<_>>())
    };
    assert_eq!(homes("a"), Some(vec!["north".into(), "far".into()]));
    assert_eq!(homes("b"), None);
    let account = catalog.account("k1").expect("an account");
    assert!(account
        .allowed_regions
        .as_ref()
        .is_some_and(|homes| homes.len() == 1));
    assert!(catalog
        .account("k2")
        .is_some_and(|account| account.allowed_regions.is_none()));
    let cold = |name: &str| catalog.services[&name.parse().expect("a name")].cold;
    let known = cold("s").expect("cold after a start");
    assert_eq!(
        (known.time, known.per_s),
        (Duration::from_millis(3_500), 9.6)
    );
    assert!([cold("t"), cold("u"), cold("v")]
        .iter()
        .all(Option::is_none));
}

#[test]
fn a_start_time_is_an_integer() {
    let born = |value: &str| {
        let entry = ENTRY.replace(
            "\"sequence\":4",
            &format!("\"sequence\":4,\"born\":{value}"),
        );
        server::decode("i-1", entry.as_bytes()).map(|server| server.born)
    };
    assert_eq!(
        born("1760000000123").expect("valid"),
        Some(StartTime(1_760_000_000_123))
    );
    assert_eq!(born("null").expect("valid"), None);
    for strange in ["1.5", "-1", "\"7\"", "[7]", "true"] {
        assert!(born(strange).is_err(), "{strange}");
    }
}

#[test]
fn emptied_halls_are_decoded_from_keys() {
    let hall = "hall-1".parse().expect("a name");
    assert_eq!(key::emptied(&hall), "op/evacuate/hall-1");
    assert_eq!(key::emptied_hall("op/evacuate/hall-1"), Some("hall-1"));
    assert_eq!(key::emptied_hall("op/evacuate/"), None);
    assert_eq!(key::emptied_hall(key::CONFIG), None);
    assert!(key::EMPTIED.starts_with(key::OPERATOR));
}

proptest! {
    /// Decoding of arbitrary bytes ends, with a value or with an error.
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = server::decode("i-1", &bytes);
        let _ = catalog::decode(&bytes);
    }

    /// The same for a valid entry in which some bytes are changed; the id is that of the
    /// key.
    #[test]
    fn any_changed_entry_is_decoded_or_rejected(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = ENTRY.as_bytes().to_vec();
        for (at, byte) in &changes {
            let at = at.index(bytes.len());
            bytes[at] = *byte;
        }
        if let Ok(server) = server::decode("i-1", &bytes) {
            prop_assert_eq!(server.id.as_str(), "i-1");
        }
    }
}
