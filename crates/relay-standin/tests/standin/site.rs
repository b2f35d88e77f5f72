//! Tests of sites.

use serde_json::{json, Value};
use tidepier_core::catalog::Kind;
use tidepier_core::server::State;
use tidepier_platform::catalog;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::Settings;
use tidepier_relay_standin::site::{Route, HOST};
use tidepier_relay_standin::Site;

#[test]
fn a_site_writes_its_configuration_and_servers() {
    smol::block_on(async {
        let site = Site::start().unwrap();
        let kind = Kind::Stream { resumable: true };
        let first = site.declare(&[
            Route::new("/a/", kind, "s1"),
            Route::new("/b/", Kind::AtMostOnce, "s1"),
        ]);
        let server = site
            .server(Settings {
                service: "s1".into(),
                ..Settings::default()
            })
            .unwrap();
        let config = || -> Value {
            serde_json::from_slice(&site.store.value(names::CONFIG).unwrap()).unwrap()
        };
        assert_eq!(config()["services"].as_array().unwrap().len(), 1);
        assert_eq!(config()["routes"][0]["stream_resume"], true);
        assert!(site.account("acme", &["k1"], 1) > first);
        site.drop_route("/b/");
        assert_eq!(config()["routes"].as_array().unwrap().len(), 1);
        assert_eq!(config()["tenants"][0]["api_keys"][0], "k1");
        site.announce(&server, State::Draining);
        let entry: Value =
            serde_json::from_slice(&site.store.value("servers/i-1").unwrap()).unwrap();
        assert_eq!(
            (&entry["state"], &entry["service"]),
            (&json!("draining"), &json!("s1"))
        );
        site.withdraw(&server);
        assert!(site.store.keys(names::SERVERS).is_empty());
        let settings = site.settings("box-1", "hall-1", [server.address(); 3]);
        assert_eq!(
            settings["platform"]["address"],
            site.store.address().to_string()
        );
    });
}

#[test]
fn the_platform_crate_can_decode_a_site() {
    smol::block_on(async {
        let site = Site::start().unwrap();
        let kind = Kind::Stream { resumable: true };
        let split = vec![("s1".into(), 9), ("s2".into(), 1)];
        let route = Route {
            split,
            ..Route::new("/a/", kind, "s1")
        };
        site.declare(&[route, Route::new("/a/b/", Kind::AtMostOnce, "s1")]);
        let version = site.account("acme", &["k1", "k2"], 3);
        let value = site.store.value(names::CONFIG).unwrap();
        let catalog = catalog::decode(&value).unwrap();
        assert_eq!(catalog.version.0, version);
        let found = catalog.route(HOST, "/a/x").unwrap();
        assert_eq!(
            (found.kind, found.split.len(), found.attempts),
            (kind, 2, 2)
        );
        assert_eq!(
            catalog.route(HOST, "/a/b/x").unwrap().kind,
            Kind::AtMostOnce
        );
        assert_eq!(catalog.services.len(), 2);
        assert_eq!(catalog.account("k2").unwrap().priority, 3);
        let server = site.server(Settings::default()).unwrap();
        let entry = site.store.value("servers/i-1").unwrap();
        let entry = tidepier_platform::server::decode("i-1", &entry).unwrap();
        assert_eq!((entry.address, entry.slots), (server.address(), 4));
        assert_eq!(entry.state, State::Ready);
    });
}
