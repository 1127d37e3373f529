//! Runs real gateway processes against a fake of the users' platform.

mod site;

use std::time::Duration;

use hyper::{Method, StatusCode};
use rustix::process::Signal;
use wasabistall_testutils::{
    gateway::{CallerConnection, CallerResponse, get, wait_ready},
    platform::{StoreMode, platform_config},
};

use self::site::TestSite;

impl TestSite {
    /// Waits until all gateways have applied a version of the configuration.
    async fn wait_for_version(&self, version: u64) {
        let line = format!("wasabistall_config_version {version}");
        for gateway in &self.gateways {
            let mut metrics = String::new();
            for _ in 0..1_000 {
                let answer = get(gateway.ports.operators(), "/metrics").await;
                let body = answer
                    .map(|answer| answer.body.to_vec())
                    .unwrap_or_default();
                metrics = String::from_utf8_lossy(&body).into_owned();
                if metrics.lines().any(|other| other == line) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let name = &gateway.name;
            assert!(metrics.contains(&line), "{name} has no version {version}");
        }
    }

    /// Requests a stream until its adapter is loaded: a gateway needs some seconds to get the right to
    /// send orders to a server.
    async fn stream(&self, gateway: usize, id: &str) -> CallerResponse {
        for attempt in 0..60 {
            let id = format!("{id}-{attempt}");
            let answer = self.request_stream(gateway, "a1", &id).await;
            let answer = answer.expect("response");
            if answer.status != StatusCode::SERVICE_UNAVAILABLE {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        panic!("the adapter was never loaded");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_requests_and_streams_are_forwarded_completely() {
    let site = TestSite::start(3).await;
    let answer = site.call(0, Method::POST, "/once/book", "one").await;
    assert_eq!(
        (answer.status, &answer.body[..]),
        (StatusCode::OK, &b"answer to one"[..])
    );
    assert!(answer.headers.contains_key("response-seal"));
    let stream = site.stream(1, "two").await;
    assert!(stream.complete);
    let text = String::from_utf8(stream.body.to_vec()).expect("text");
    let ids: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    let expected: Vec<String> = (0..12).map(|number| number.to_string()).collect();
    assert_eq!(ids, expected);
    let runs = site.platform.runs();
    assert!(
        runs.iter()
            .all(|run| !run.received_credential && run.tenant.as_deref() == Some("team"))
    );
    assert_eq!(site.platform.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_list_every_ready_instance() {
    let site = TestSite::start(3).await;
    let mut listed = 0;
    for _ in 0..200 {
        let answer = get(site.gateways[2].ports.addresses(), "/resolve?Name=host").await;
        let body = answer.expect("response").body;
        let value: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        listed = value["Addresses"].as_array().map_or(0, Vec::len);
        if listed == 3 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(listed, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_keys_and_paths_are_refused_as_not_run() {
    let site = TestSite::start(1).await;
    let unknown = site.call(0, Method::GET, "/nowhere/x", "one").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let address = site.gateways[0].ports.callers();
    let mut connection = CallerConnection::open(address).await.expect("connect");
    let headers = [
        ("host", "host"),
        ("attempt-id", "two"),
        ("credential", "wrong"),
    ];
    let answer = connection
        .call(Method::POST, "/once/x", &headers, b"")
        .await;
    assert_eq!(answer.expect("response").status, StatusCode::UNAUTHORIZED);
    assert_eq!(site.platform.runs(), Vec::new());
}

/// When a caller disconnects, the gateway closes the connection to the server, which ends the run.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_ends_its_run() {
    let site = TestSite::start(1).await;
    site.stream(0, "warm").await;
    let address = site.gateways[0].ports.callers();
    let mut connection = CallerConnection::open(address).await.expect("connect");
    let headers = [
        ("host", "host"),
        ("attempt-id", "leaver"),
        ("credential", "key"),
        ("model", "base/a1"),
        ("token-usage", "100,20"),
    ];
    let response = connection
        .send(Method::POST, "/chat/x", &headers, b"")
        .await;
    assert_eq!(
        response.as_ref().map(hyper::Response::status),
        Some(StatusCode::OK)
    );
    drop(response);
    drop(connection);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let runs = site.platform.runs();
    let run = runs
        .iter()
        .find(|run| run.attempt == "leaver")
        .expect("a run");
    assert!(!run.finished);
}

/// A gateway that gets SIGTERM finishes requests in progress, serves late ones and exits within its
/// grace time.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_request() {
    let mut site = TestSite::start(2).await;
    site.stream(0, "warm").await;
    let address = site.gateways[0].ports.callers();
    let mut connection = CallerConnection::open(address).await.expect("connect");
    let headers = [
        ("host", "host"),
        ("attempt-id", "crossing"),
        ("credential", "key"),
        ("model", "base/a1"),
        ("token-usage", "100,20"),
    ];
    let running = connection.call(Method::POST, "/chat/x", &headers, b"");
    site.gateways[0].signal(Signal::TERM);
    let answer = running.await.expect("response");
    assert!(answer.complete && answer.status == StatusCode::OK);
    let later = site.call(0, Method::POST, "/once/x", "later").await;
    assert_eq!(later.status, StatusCode::OK);
    assert_eq!(
        later
            .headers
            .get("connection")
            .map(|value| value.as_bytes()),
        Some(&b"close"[..])
    );
    let ready = get(site.gateways[0].ports.readiness(), "/readiness").await;
    assert_eq!(
        ready.map(|answer| answer.status),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    assert!(site.gateways[0].wait_exit(Duration::from_secs(10)));
}

/// Instances keep serving while the store does not respond, and a restarted instance gets its
/// configuration from peers.
#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_store_interrupts_no_service() {
    let mut site = TestSite::start(3).await;
    site.platform.set_mode(StoreMode::Silent);
    site.gateways[1].kill();
    site.gateways[1].restart();
    wait_ready(site.gateways[1].ports).await;
    for gateway in 0..3 {
        let id = format!("dark-{gateway}");
        let answer = site.call(gateway, Method::POST, "/once/x", &id).await;
        assert_eq!(answer.status, StatusCode::OK, "gateway {gateway}");
    }
}

/// Regression test: a read of the store had a timeout for the whole response. A configuration that
/// took longer to transfer was never applied, although data kept arriving.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_arrives_slowly_is_applied() {
    let site = TestSite::start(1).await;
    site.platform.set_mode(StoreMode::Slow);
    let mut config = platform_config(2, "key");
    config["Routes"][1]["Prefix"] = "/moved/".into();
    site.platform.put("op/config", Some(&config));
    for attempt in 0..200 {
        let id = format!("moved-{attempt}");
        let answer = site.call(0, Method::POST, "/moved/x", &id).await;
        if answer.status == StatusCode::OK {
            return;
        }
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the configuration was never applied");
}

/// The log lines of a request carry its attempt id and show each step.
#[tokio::test(flavor = "multi_thread")]
async fn logs_and_metrics_trace_a_request() {
    let mut site = TestSite::start(1).await;
    site.call(0, Method::POST, "/once/x", "traced").await;
    let metrics = get(site.gateways[0].ports.operators(), "/metrics").await;
    let text = String::from_utf8(metrics.expect("metrics").body.to_vec()).expect("text");
    let counted = [
        "wasabistall_requests_total 1",
        "wasabistall_open_requests 0",
        "wasabistall_log_dropped_lines_total 0",
        "wasabistall_answer_head_seconds_count{status=\"200\"} 1",
        "wasabistall_request_wait_seconds_count 1",
        "wasabistall_server_first_event_seconds_count 1",
        "wasabistall_request_stage_seconds_count{route=\"once\",stage=\"quota\"} 1",
        "wasabistall_request_stage_seconds_count{route=\"once\",stage=\"selection\"} 1",
        "wasabistall_request_stage_seconds_count{route=\"once\",stage=\"first_event\"} 1",
    ];
    for line in counted {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
    site.gateways[0].signal(Signal::TERM);
    site.gateways[0].wait_exit(Duration::from_secs(10));
    let log = std::fs::read_to_string(site.gateways[0].log()).expect("read the log");
    let events: Vec<String> = log
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|line| line["attempt"] == "traced")
        .map(|line| line["event"].as_str().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(events, ["request_sent", "attempt_ended"]);
}

/// Regression test: after the store had come back from an older copy, gateways that did not read it
/// themselves never applied another configuration, since its revision was below theirs.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_follow_a_store_that_is_restored_from_an_older_copy() {
    let site = TestSite::start(5).await;
    let copy = site.platform.copy_store();
    for version in [2, 4, 6] {
        let config = platform_config(version, "key");
        site.platform.put("op/config", Some(&config));
    }
    site.wait_for_version(6).await;
    site.platform.set_mode(StoreMode::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.platform.restore_store(copy);
    site.platform.set_mode(StoreMode::Up);
    tokio::time::sleep(Duration::from_millis(500)).await;
    // The operator writes the lost configuration again, and then a new one. Its key is the new one.
    site.platform
        .put("op/config", Some(&platform_config(6, "key")));
    site.platform
        .put("op/config", Some(&platform_config(7, "new-key")));
    site.wait_for_version(7).await;
    for gateway in 0..5 {
        let answer = site.call(gateway, Method::GET, "/safe/x", "late").await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "gateway {gateway}");
    }
}
