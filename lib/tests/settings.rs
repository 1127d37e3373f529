//! Validation of settings: all errors are reported, each with its position and a hint.

use insta::assert_snapshot;
use wasabistall_lib::settings::{GatewaySettings, InstanceSettings};

fn errors(text: &str) -> String {
    match InstanceSettings::parse(text) {
        Ok(_) => "valid".to_owned(),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = r#"{
    "fleet": "sauti",
    "fleet": "sauti",
    "instance": 7,
    "data_center": "dar-a",
    "listen": { "callers": "10.0.0.1:80", "peers": "10.0.0.1:80", "operators": "localhost" },
    "platform": { "configuration": "10.0.0.9:80" },
    "peer_secrets": ["abc", "00ff"],
    "operator_token_sha256": ["00"],
    "limits": { "body_bytes": "1MB", "body_timeout_ms": 1.5, "default_deadline_ms": 600001 },
    "telemetry": { "log_format": "yaml" },
}"#;
    assert_snapshot!(errors(text), @r#"
    1:1: data_centre: missing
        hint: write the name that the configuration uses
    3:5: fleet: given twice
        hint: keep one of them
    4:17: instance: not a string
        hint: write the name that the configuration uses
    5:5: data_center: unknown field
        hint: known here: data_centre, drain_timeout_ms, first_peers, fleet, instance, limits, listen, operator_token_sha256, peer_secrets, platform, telemetry
    6:52: listen.peers: same address as listen.callers
        hint: give each interface a port of its own
    6:80: listen.operators: not an IP address with a port
        hint: write IP:PORT, such as "10.0.0.1:7101"
    7:17: platform.instances: missing
        hint: write IP:PORT, such as "10.0.0.1:7101"
    8:22: peer_secrets: not a hex string
        hint: write hex strings of 16 bytes or more; the first signs, all are accepted
    8:29: peer_secrets: too short
        hint: write hex strings of 16 bytes or more; the first signs, all are accepted
    9:31: operator_token_sha256: not a SHA-256 digest
        hint: write SHA-256 digests in hex, as `wasabistall token create` prints them
    10:31: limits.body_bytes: not a number
        hint: write a whole number of bytes from 1024 to 67108864, without a unit
    10:57: limits.body_timeout_ms: not a whole number
        hint: write a whole number of milliseconds from 100 to 3600000, without a unit
    10:85: limits.default_deadline_ms: longer than max_deadline_ms
        hint: lower it
    11:34: telemetry.log_format: not a known choice
        hint: write one of: text, json
    "#);
}

#[test]
fn invalid_json_is_reported_with_its_position() {
    assert_snapshot!(errors("{\n  \"fleet\" \"x\"\n}"), @"
    2:11: Expected colon after the string or word in object property
        hint: write JSON; // and /* */ comments are allowed
    ");
    assert_snapshot!(errors("[]"), @"
    1:1: not an object
        hint: write { … }
    ");
}

#[test]
fn the_shipped_examples_are_valid() {
    for file in ["sauti.jsonc", "dial-works.jsonc"] {
        let path = format!("{}/../docs/examples/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).unwrap();
        assert_eq!(errors(&text), "valid", "{file}");
    }
}

/// Settings of a gateway with these bounds on the time for which servers turn it away.
fn gateway_settings(pauses: &str) -> String {
    let text = format!(
        r#"{{
    "role": "gateway", "instance": "g-1", "data_centre": "dar-a", "data_centres": ["dar-a"],
    "listen": {{ "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "peers": "10.0.0.1:3",
        "addresses": "10.0.0.1:4", "operators": "10.0.0.1:5" }},
    "store": "10.0.0.9:80", "first_peers": [],
    {pauses}
}}"#
    );
    match GatewaySettings::parse(&text) {
        Ok(settings) => format!("{:?}", settings.pause_bounds),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
    }
}

#[test]
fn bounds_on_pauses_of_servers_are_checked() {
    let settings = [
        "",
        r#""server_pauses": { "max_ms": 5000, "unreadable_ms": 0 }"#,
        r#""server_pauses": { "max_ms": 1, "unreadable_ms": -1, "max_s": 5 }"#,
    ];
    assert_snapshot!(settings.map(gateway_settings).join("\n\n"), @"
    PauseBounds { max: 120s, unreadable: 1s }

    PauseBounds { max: 5s, unreadable: 0ns }

    6:34: server_pauses.max_ms: out of range
        hint: write a whole number of milliseconds from 100 to 3600000, without a unit
    6:54: server_pauses.unreadable_ms: not a whole number
        hint: write a whole number of milliseconds from 0 to 60000, without a unit
    6:58: server_pauses.max_s: unknown field
        hint: known here: max_ms, unreadable_ms
    ");
}

/// A value of another kind or out of range is refused with the key and what to write instead: zero
/// as a window made rates infinite, and zero as memory refused every body.
#[test]
fn invalid_values_of_a_gateway_name_the_key_and_what_to_write() {
    let invalid = r#""first_start": "yes", "grace_s": -1, "memory_mb": 0,
    "bounds": { "quota_window_s": 0, "quota_overage": "5 %", "retry_ratio": 1e999,
        "order_lease_ms": 2500.5, "cold_slak": 1 }, "telemetry": { "log_level": "loud" }"#;
    assert_snapshot!(gateway_settings(invalid), @r"
    6:20: first_start: not true or false
        hint: write true or false
    6:38: grace_s: out of range
        hint: write a number of seconds, 0 or more
    6:55: memory_mb: out of range
        hint: write a number of megabytes, 17 or more
    7:35: bounds.quota_window_s: out of range
        hint: write a number of seconds, 0.1 or more
    7:55: bounds.quota_overage: not a number
        hint: write a number, 0 or more
    7:77: bounds.retry_ratio: not a number
        hint: write a number, 0 or more
    8:27: bounds.order_lease_ms: not a whole number
        hint: write a whole number of milliseconds from 0 to 60000, without a unit
    8:35: bounds.cold_slak: unknown field
        hint: known here: cold_overage, cold_slack, order_lease_ms, quota_overage, quota_slack, quota_window_s, retry_ratio, retry_slack, retry_window_s
    8:81: telemetry.log_level: not a known choice
        hint: write one of: error, warn, info, debug, trace
    ");
}

/// Values of a template may be written as floating-point numbers.
#[test]
fn whole_numbers_may_have_a_fraction_of_zero() {
    let settings = r#""server_pauses": { "max_ms": 5000.0, "unreadable_ms": 0.00 }"#;
    assert_snapshot!(gateway_settings(settings), @"PauseBounds { max: 5s, unreadable: 0ns }");
}

/// The fields that a gateway's settings omit are listed with their defaults; an empty list counts as
/// omitted, and the data centres are then the gateway's own.
#[test]
fn omitted_settings_of_a_gateway_are_listed() {
    let text = r#"{
    "role": "gateway", "instance": "g-1", "data_centre": "dar-a", "data_centres": [],
    "listen": { "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "peers": "10.0.0.1:3",
        "addresses": "10.0.0.1:4", "operators": "10.0.0.1:5" },
    "store": "10.0.0.9:80", "bounds": { "retry_slack": 7 }
}"#;
    let settings = GatewaySettings::parse(text).unwrap();
    assert_eq!(settings.data_centres, ["dar-a"]);
    let defaults: Vec<String> = settings
        .defaults
        .iter()
        .map(|setting| format!("{}={}", setting.path, setting.value))
        .collect();
    assert_snapshot!(defaults.join("\n"), @r#"
    data_centres=["dar-a"]
    first_peers=[]
    first_start=false
    bounds.quota_window_s=8
    bounds.quota_overage=0
    bounds.quota_slack=0
    bounds.retry_window_s=10
    bounds.retry_ratio=0.1
    bounds.cold_overage=1
    bounds.cold_slack=0
    bounds.order_lease_ms=3000
    server_pauses.max_ms=120000
    server_pauses.unreadable_ms=1000
    queue_hold_ms=0
    grace_s=8
    memory_mb=256
    telemetry.log_format=text
    telemetry.log_level=info
    "#);
}
