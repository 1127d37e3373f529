//! A real gateway process beside another writer's entries in the store.

mod site;

use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::json;
use wasabistall_testutils::{
    gateway::{CallerConnection, wait_ready},
    platform::platform_config,
};

use self::site::TestSite;

/// Calls a path until it is answered with success, which shows that the gateway follows the store.
async fn wait_served(site: &TestSite, path: &str) {
    for attempt in 0..300 {
        let address = site.gateways[0].ports.callers();
        if let Some(mut connection) = CallerConnection::open(address).await {
            let id = format!("{path}-{attempt}");
            let headers = [
                ("host", "host"),
                ("attempt-id", id.as_str()),
                ("credential", "key"),
            ];
            let answer = connection.call(Method::POST, path, &headers, b"").await;
            if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{path} was never served");
}

/// Moves the route of plain requests, which the gateway follows only if it still reads the store.
fn move_route(site: &TestSite, version: u64) -> String {
    let path = format!("/moved-{version}/");
    let mut config = platform_config(version, "key");
    config["Routes"][1]["Prefix"] = path.clone().into();
    site.platform.put("op/config", Some(&config));
    path + "x"
}

fn server_entry(field: &str, value: &str) -> Vec<u8> {
    let mut entry = json!({"Service": "desk", "Address": "127.0.0.1:1", "Zone": "dc-a", "Slots": 16,
        "State": "draining", "ColdRemainingMs": 0, "Sequence": 0, "born": 1, "Models": []});
    entry[field] = "PLACE".into();
    entry.to_string().replace("\"PLACE\"", value).into_bytes()
}

fn nested(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

/// Regression test: an entry of a server with a number beyond the range of a duration ended the
/// process at each read of the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_follows_the_store_beside_odd_servers() {
    let mut site = TestSite::start(1).await;
    let odd = [
        ("ColdRemainingMs", "1e300".to_owned()),
        ("ColdRemainingMs", "1e400".to_owned()),
        ("ColdRemainingMs", "18446744073709551615".to_owned()),
        ("Sequence", "18446744073709551615".to_owned()),
        ("Slots", "4294967295".to_owned()),
        ("Slots", "0".to_owned()),
        ("born", "18446744073709551615".to_owned()),
        ("Address", "\"10.0.0.1:99999999\"".to_owned()),
        ("Address", "\"10.0.0.1:0\"".to_owned()),
        ("State", nested(10_000)),
        ("Models", nested(100_000)),
        ("Other", nested(100_000)),
    ];
    for (number, (field, value)) in odd.iter().enumerate() {
        let key = format!("servers/odd-{number}");
        site.platform.put_bytes(&key, &server_entry(field, value));
    }
    site.platform
        .put_bytes("servers/odd-x", nested(100_000).as_bytes());
    site.platform.put_bytes("servers/", b"\xff\xfe");
    site.platform
        .put_bytes("op/version/base.a1", b"{\"Version\":1e400}");
    site.platform.put_bytes("op/evacuate/", b"null");
    let path = move_route(&site, 2);
    wait_served(&site, &path).await;
    assert!(!site.gateways[0].has_exited());
    site.gateways[0].kill();
    site.gateways[0].restart();
    wait_ready(site.gateways[0].ports).await;
    wait_served(&site, &path).await;
}

/// Regression test: a page of the store with one item of an unexpected form was discarded as a whole, so
/// that no change was followed any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_follows_the_store_beside_odd_items() {
    let mut site = TestSite::start(1).await;
    for item in [
        nested(100_000),
        "null".to_owned(),
        r#"{"Key":null,"Value":"","Revision":1}"#.to_owned(),
        r#"{"Key":"servers/odd","Value":7,"Revision":1e400}"#.to_owned(),
        r#"{"Key":"servers/\ud800","Value":"","Revision":1}"#.to_owned(),
        format!(
            r#"{{"Key":"servers/odd","Value":{},"Revision":1}}"#,
            nested(100_000)
        ),
    ] {
        site.platform.add_raw_item(item);
    }
    let path = move_route(&site, 2);
    wait_served(&site, &path).await;
    assert!(!site.gateways[0].has_exited());
}

/// Regression test: a key at the end of a page that cannot stand in a URL made the next page unreadable,
/// so that a restarted gateway never got a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_reads_on_after_any_key() {
    let mut site = TestSite::start(1).await;
    for key in [
        "notes/a b",
        "notes/\u{e4}",
        "notes/%41&Prefix=z#",
        "notes/\n",
    ] {
        site.platform.put_bytes(key, b"{}");
    }
    site.platform.set_page_items(1);
    site.gateways[0].kill();
    site.gateways[0].restart();
    wait_ready(site.gateways[0].ports).await;
    wait_served(&site, "/once/x").await;
}
