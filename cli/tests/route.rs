//! `wasabistall route explain` against a real gateway.

use std::{
    net::{IpAddr, Ipv4Addr},
    path::{Path, PathBuf},
    process::Command,
};

use insta::assert_snapshot;
use wasabistall_testutils::{
    gateway::{GatewayPorts, GatewayProcess, get, wait_ready},
    platform::{PlatformStandin, platform_config},
};

/// Runs the tool and returns its exit code and output.
fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_wasabistall"))
        .args(arguments)
        .env_remove("WASABISTALL_DEPLOYMENT")
        .output()
        .expect("run the tool");
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    )
}

/// Replaces numbers with a unit of time, which differ between runs.
fn without_times(text: &str) -> String {
    let mut words: Vec<&str> = Vec::new();
    for word in text.split(' ') {
        if word.starts_with("ms")
            && let Some(number) = words.last_mut()
        {
            *number = if number.starts_with('(') { "(T" } else { "T" };
        }
        words.push(word);
    }
    words.join(" ")
}

fn daemon() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_wasabistall")).with_file_name("wasabistalld");
    assert!(path.exists(), "run `cargo test --workspace`");
    path
}

/// Guards against a tool and a gateway that do not understand each other, and a gateway that counts
/// questions as requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_real_gateway_explains_its_routing() {
    let process = std::process::id().to_le_bytes();
    let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, process[0] | 1, process[1], host));
    let platform = PlatformStandin::start(ip(200)).await;
    platform.put("op/config", Some(&platform_config(1, "key")));
    platform.start_server(ip(201), "s-1", "models", true).await;
    platform.start_server(ip(203), "s-3", "desk", false).await;
    platform.register(
        "s-4",
        "desk",
        "127.0.0.1:9".parse().expect("address"),
        false,
        "draining",
    );
    let folder = tempfile::tempdir().expect("folder for settings");
    let ports = GatewayPorts {
        ip: ip(1),
        base_port: 21_000,
    };
    let gateway =
        GatewayProcess::start(&daemon(), folder.path(), "g-1", ports, &[], platform.store);
    wait_ready(ports).await;
    let address = ports.operators().to_string();
    let explain = |arguments: &[&str]| {
        let mut all = vec!["route", "explain", "host"];
        all.extend(arguments);
        all.extend(["--address", address.as_str()]);
        run(&all)
    };
    let plain = explain(&["/once/x", "--team", "team"]);
    assert_snapshot!(without_times(&plain), @r"
    exit 0
    instance g-1 (dc-a), configuration 1, catalog T ms old
    route once (host/once/), priority 0, objective T ms, timeout T ms
    team team
    admission: admitted, cost 1

    service desk, 100 % of the requests: sent to one of these, with a preference for little load
    server  data centre  load                   failures
    s-3     dc-a         0.0 of 16 (no report)  0.00 (T ms old)
    excluded s-4: draining
    ");
    let model = explain(&["/chat/x", "--model", "base/a1", "--prompt-tokens", "500"]);
    assert!(model.contains("model base/a1"), "{model}");
    assert_snapshot!(explain(&["/chat/x", "--model", "other"]), @r#"
    exit 1
    error: no service of the route has the base model "other"
        hint: base models of this route: base
    "#);
    assert_snapshot!(explain(&["/chat/x", "--prompt-tokens", "5k"]), @r#"
    exit 1
    error: `prompt_tokens` is not a number of tokens: "5k"
        hint: write a whole number of tokens, without a unit
    "#);
    let json = explain(&["/once/x", "--format", "json"]);
    assert!(json.contains("\"next\": \"send_to_any\""), "{json}");
    let metrics = get(ports.operators(), "/metrics").await.expect("metrics");
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    for line in [
        "wasabistall_requests_total 0",
        "wasabistall_refusals_total 0",
    ] {
        assert!(metrics.lines().any(|found| found == line), "{metrics}");
    }
    assert_eq!(platform.runs(), Vec::new());
    drop(gateway);
}

/// Guards against an unclear error when no instance is given.
#[test]
fn a_question_without_an_instance_prints_a_hint() {
    assert_snapshot!(run(&["route", "explain", "host", "/once/x"]), @"
    exit 1
    error: no deployment given
        hint: use --deployment FILE or set WASABISTALL_DEPLOYMENT
    ");
}
