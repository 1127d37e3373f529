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
