//! The settings template of the users' platform: a field that the platform does not state must not
//! make the settings invalid or keep the gateway from starting.

mod template;

use std::{
    net::{IpAddr, Ipv4Addr},
    path::Path,
    process::Command,
};

use serde_json::{Value, json};
use wasabistall_lib::settings::GatewaySettings;
use wasabistall_testutils::{
    gateway::{GatewayPorts, GatewayProcess, wait_ready},
    platform::{PlatformStandin, platform_config},
};

use self::template::render;

const TEMPLATE: &str = include_str!("../../deploy/settings.jsonc");

/// An optional field of the platform, the settings' key that it fills, and the documented default.
type OptionalField = (&'static str, &'static str, &'static str);

const OPTIONAL_FIELDS: [OptionalField; 14] = [
    ("/Zones", "data_centres", "[\"dc-a\"]"),
    ("/Seeds", "first_peers", "[]"),
    ("/Bootstrap", "first_start", "false"),
    ("/Bounds/QuotaWindowS", "bounds.quota_window_s", "8"),
    ("/Bounds/QuotaOverage", "bounds.quota_overage", "0"),
    ("/Bounds/QuotaSlack", "bounds.quota_slack", "0"),
    ("/Bounds/BudgetWindowS", "bounds.retry_window_s", "10"),
    ("/Bounds/RetryBudgetRatio", "bounds.retry_ratio", "0.1"),
    ("/Bounds/RetrySlack", "bounds.retry_slack", "10"),
    ("/Bounds/ColdOverage", "bounds.cold_overage", "1"),
    ("/Bounds/ColdSlack", "bounds.cold_slack", "0"),
    ("/Bounds/LeaseMs", "bounds.order_lease_ms", "3000"),
    ("/Bounds/GraceS", "grace_s", "8"),
    ("/Limits/MemoryMb", "memory_mb", "256"),
];

/// Settings that the template never states.
const UNSTATED: [(&str, &str); 3] = [
    ("server_pauses.max_ms", "120000"),
    ("server_pauses.unreadable_ms", "1000"),
    ("queue_hold_ms", "0"),
];

/// An address of this machine that no other test uses.
fn address(host: u8) -> IpAddr {
    let process = std::process::id().to_le_bytes();
    IpAddr::V4(Ipv4Addr::new(127, process[0] | 1, process[1], host))
}

fn ports(host: u8) -> GatewayPorts {
    GatewayPorts {
        ip: address(host),
        base_port: 21_000,
    }
}

/// The values of a platform that states all fields.
fn all_fields(ports: GatewayPorts, store: &str) -> Value {
    let operators = ports.operators().port();
    json!({
        "NodeName": "g-0", "Ip": ports.ip, "Zone": "dc-a",
        "InternalPorts": [operators, operators + 10],
        "Seeds": [ports.peers(), "127.0.0.1:1"],
        "Bootstrap": true,
        "Zones": {"dc-a": "east", "dc-b": "west"},
        "Listen": {"Front": ports.callers(), "Ready": ports.readiness(),
            "Control": ports.peers(), "Directory": ports.addresses()},
        "Limits": {"MemoryMb": 160},
        "Platform": {"Address": store},
        "Bounds": {"QuotaWindowS": 4.5, "QuotaOverage": 0.05, "QuotaSlack": 20,
            "BudgetWindowS": 6.0, "RetryBudgetRatio": 0.2, "RetrySlack": 50,
            "ColdOverage": 1.3, "ColdSlack": 3, "LeaseMs": 2500, "GraceS": 4},
    })
}

/// Removes the field at a JSON pointer.
fn remove(fields: &mut Value, pointer: &str) {
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
    let parent = fields.pointer_mut(parent).expect("the parent of the field");
    let removed = parent.as_object_mut().and_then(|table| table.remove(name));
    assert!(removed.is_some(), "{pointer}");
}

/// A case: its name, the platform's values, and the optional fields that they omit.
type Case = (String, Value, Vec<OptionalField>);

/// Values that omit nothing, each optional field alone, all those of a table, each table, and all.
fn cases(ports: GatewayPorts, store: &str) -> Vec<Case> {
    let fields = all_fields(ports, store);
    let mut cases = vec![("nothing".to_owned(), fields.clone(), Vec::new())];
    let mut all = fields.clone();
    for field in OPTIONAL_FIELDS {
        let mut one = fields.clone();
        remove(&mut one, field.0);
        cases.push((field.0.to_owned(), one, vec![field]));
        remove(&mut all, field.0);
    }
    for table in ["/Bounds", "/Limits"] {
        let within = OPTIONAL_FIELDS.into_iter();
        let within: Vec<OptionalField> =
            within.filter(|field| field.0.starts_with(table)).collect();
        let mut without = fields.clone();
        remove(&mut without, table);
        cases.push((table.to_owned(), without, within.clone()));
        let mut empty = fields.clone();
        for field in &within {
            remove(&mut empty, field.0);
        }
        cases.push((format!("fields of {table}"), empty, within));
    }
    cases.push(("all fields".to_owned(), all.clone(), OPTIONAL_FIELDS.into()));
    remove(&mut all, "/Bounds");
    remove(&mut all, "/Limits");
    cases.push((
        "all fields and tables".to_owned(),
        all,
        OPTIONAL_FIELDS.into(),
    ));
    cases
}

/// The defaults that apply if the platform omits these fields, by key.
fn expected_defaults(omitted: &[OptionalField]) -> Vec<(String, String)> {
    let omitted = omitted.iter().map(|(_, key, value)| (*key, *value));
    let mut defaults: Vec<(String, String)> = omitted
        .chain(UNSTATED)
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    defaults.sort();
    defaults
}

/// Guards against settings that are invalid, or silently different from the documented default,
/// because the platform omits an optional field.
#[test]
fn each_optional_field_of_the_platform_can_be_omitted() {
    for (name, fields, omitted) in cases(ports(1), "10.0.0.9:80") {
        let text = render(TEMPLATE, &fields);
        let settings = GatewaySettings::parse(&text)
            .unwrap_or_else(|errors| panic!("without {name}: {errors:?} in\n{text}"));
        let mut defaults: Vec<(String, String)> = settings
            .defaults
            .iter()
            .map(|setting| (setting.path.to_string(), setting.value.to_string()))
            .collect();
        defaults.sort();
        assert_eq!(defaults, expected_defaults(&omitted), "without {name}");
    }
}

/// Guards against a stated field that the template drops or confuses with another.
#[test]
fn stated_fields_are_taken() {
    let text = render(TEMPLATE, &all_fields(ports(1), "10.0.0.9:80"));
    let mut settings = GatewaySettings::parse(&text).expect("valid settings");
    // Loopback addresses differ between runs.
    assert_eq!(settings.listen.operators, ports(1).operators());
    assert_eq!(settings.first_peers[0], ports(1).peers());
    settings.first_peers.remove(0);
    insta::assert_debug_snapshot!(
        (
            &settings.instance,
            &settings.data_centre,
            &settings.data_centres,
            &settings.first_peers,
            settings.first_start,
        ),
        @r#"
    (
        "g-0",
        "dc-a",
        [
            "dc-a",
            "dc-b",
        ],
        [
            127.0.0.1:1,
        ],
        true,
    )
    "#);
    insta::assert_debug_snapshot!(
        (settings.bounds, settings.grace, settings.body_memory),
        @r"
    (
        FleetBounds {
            quota: QuotaBounds {
                window: 4.5s,
                overage: 0.05,
                slack: 20.0,
            },
            retry: RetryBounds {
                window: 6s,
                ratio: 0.2,
                slack: 50.0,
            },
            cold: ColdBounds {
                overage: 1.3,
                slack: 3.0,
            },
            order_lease: 2.5s,
        },
        4s,
        40000000,
    )
    "
    );
}

/// Keys and values of the `setting_defaulted` lines in a log.
fn logged_defaults(log: &str) -> Vec<(String, String)> {
    let lines = log
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("a line in JSON"));
    let text = |value: &Value| value.as_str().expect("a text").to_owned();
    let mut defaults: Vec<(String, String)> = lines
        .filter(|line| line["event"] == "setting_defaulted")
        .map(|line| (text(&line["key"]), text(&line["value"])))
        .collect();
    defaults.sort();
    defaults
}

/// Guards against a gateway that does not start, or does not say which defaults it uses, because the
/// platform omits an optional field.
#[tokio::test(flavor = "multi_thread")]
async fn the_program_starts_and_logs_each_omitted_field() {
    let platform = PlatformStandin::start(address(200)).await;
    platform.put("op/config", Some(&platform_config(1, "key")));
    let folder = tempfile::tempdir().expect("folder for settings");
    let binary = Path::new(env!("CARGO_BIN_EXE_wasabistalld"));
    let store = platform.store.to_string();
    let count = cases(ports(1), &store).len();
    for index in 0..count {
        let host = u8::try_from(index + 2).expect("few cases");
        let (name, fields, omitted) = cases(ports(host), &store).swap_remove(index);
        let text = render(TEMPLATE, &fields);
        let file = format!("case-{index}");
        let gateway = GatewayProcess::start_with(binary, folder.path(), &file, ports(host), &text);
        wait_ready(gateway.ports).await;
        // The lines are written before `started`, which may still be on its way to the file.
        let mut log = String::new();
        for _ in 0..1_000 {
            log = std::fs::read_to_string(gateway.log()).expect("log");
            if log.contains("\"started\"") {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert!(log.contains("\"started\""), "without {name}");
        let lines = log.rsplit_once('\n').map_or("", |(lines, _)| lines);
        assert_eq!(
            logged_defaults(lines),
            expected_defaults(&omitted),
            "without {name}"
        );
    }
}

/// What the program writes when it does not start with these fields.
fn start_error(fields: &Value) -> String {
    let folder = tempfile::tempdir().expect("folder for settings");
    let path = folder.path().join("settings.jsonc");
    std::fs::write(&path, render(TEMPLATE, fields)).expect("write settings");
    let output = Command::new(env!("CARGO_BIN_EXE_wasabistalld"))
        .arg(&path)
        .output()
        .expect("run the program");
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("text");
    text.replace(&path.display().to_string(), "FILE")
}

/// Guards against an error that leaves the operator to guess the field or its form.
#[test]
fn the_program_names_the_key_and_the_expected_value_of_an_invalid_setting() {
    let mut fields = all_fields(ports(100), "10.0.0.9:80");
    fields["Bounds"]["LeaseMs"] = json!(-1);
    fields["Limits"]["MemoryMb"] = json!(0);
    fields["Platform"]["Address"] = json!("store.example");
    insta::assert_snapshot!(start_error(&fields), @r#"
    error: FILE is not valid:
    15:14: store: not an IP address with a port
        hint: write IP:PORT, such as "10.0.0.1:7101"
    27:27: bounds.order_lease_ms: not a whole number
        hint: write a whole number of milliseconds from 0 to 60000, without a unit
    31:18: memory_mb: out of range
        hint: write a number of megabytes, 17 or more
    "#);
    // The template writes numbers without quotes, so that a text is no JSON.
    let mut fields = all_fields(ports(100), "10.0.0.9:80");
    fields["Bounds"]["LeaseMs"] = json!("3s");
    insta::assert_snapshot!(start_error(&fields), @r"
    error: FILE is not valid:
    27:28: order_lease_ms: Unexpected token
        hint: write JSON; // and /* */ comments are allowed
    ");
}

/// Guards against a renderer that differs from the platform's, so that the other tests would prove
/// nothing.
#[test]
fn the_renderer_follows_the_platform() {
    let fields = json!({"a": {"b": 1.5}, "l": ["x", "y"], "t": {"k": {"b": 7}, "m": {}}, "no": false,
        "yes": true, "zero": 0, "q": "\""});
    let rendered = [
        (
            "{{a}} {{a.b}} {{l}} {{l.1}} {{none}} {{a.none}}",
            "{\"b\":1.5} 1.5 x,y y  ",
        ),
        (
            "{{l|json}} {{q|json}} {{none|json}}",
            "[\"x\",\"y\"] \"\\\"\" null",
        ),
        ("{{#l}}{{@}}={{.}}{{,}}{{/l}}", "0=x,1=y"),
        ("{{#t}}{{@}}={{b}}/{{a.b}}{{,}}{{/t}}", "k=7/1.5,m=/1.5"),
        ("{{#yes}}{{.}}{{/yes}}{{#zero}}{{.}}{{/zero}}", "true0"),
        (
            "{{#no}}x{{/no}}{{#none}}x{{/none}}{{^no}}n{{/no}}{{^none}}n{{/none}}{{^a}}x{{/a}}",
            "nn",
        ),
        (
            "{{#yes}}{{#l}}{{#yes}}{{.}}{{/yes}}{{/l}}{{/yes}}",
            "truetrue",
        ),
    ];
    for (template, expected) in rendered {
        assert_eq!(render(template, &fields), expected, "{template}");
    }
}
