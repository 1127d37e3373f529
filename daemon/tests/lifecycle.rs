//! Startup, shutdown and failure of real instances.

use std::{net::SocketAddr, process::Command};

use http_body_util::BodyExt;
use hyper::{Method, Response, body::Incoming};
use insta::assert_snapshot;
use serde_json::json;
use wasabistall_testutils::{DeploymentSize, TestCaller, TestDeployment, wait_until};

#[test]
fn bad_settings_are_refused_at_start() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("bad.jsonc");
    std::fs::write(&file, "{ \"fleet\": 3 }").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_wasabistalld"))
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    let text = text.replace(&file.display().to_string(), "bad.jsonc");
    assert_snapshot!(text, @"
    error: bad.jsonc is not valid:
    1:1: instance: missing
        hint: write the name that the configuration uses
    1:1: data_centre: missing
        hint: write the name that the configuration uses
    1:1: listen: missing
        hint: write an object { … }
    1:1: platform: missing
        hint: write an object { … }
    1:1: peer_secrets: missing
        hint: write hex strings of 16 bytes or more; the first signs, all are accepted
    1:1: operator_token_sha256: missing
        hint: write SHA-256 digests in hex, as `wasabistall token create` prints them
    1:12: fleet: not a string
        hint: write the fleet's name
    ");
}

#[tokio::test]
async fn a_planned_stop_interrupts_no_stream() {
    let size = DeploymentSize {
        instances: 2,
        ..DeploymentSize::default()
    };
    let mut deployment = TestDeployment::start(size).await;
    let leaving = deployment.address("callers", "instance-1");
    let staying = deployment.address("callers", "instance-2");
    let body = json!({
        "model": "nyota-7b:elders-1", "prompt": "a long story", "max_tokens": 400, "stream": true,
    });
    let caller = deployment.caller("elders");
    let path = "/v1/completions";
    let response = caller
        .open(Method::POST, leaving, path, body.to_string())
        .await
        .unwrap();
    assert_eq!(response.status(), 200);

    deployment.signal("instance-1", "TERM");
    let anonymous = TestCaller::anonymous();
    wait_until(|| async {
        let list = anonymous.get(staying, "/v1/addresses").await;
        !list.body.contains("instance-1")
    })
    .await;
    let late = json!({ "model": "nyota-7b:elders-1", "prompt": "late", "max_tokens": 1 });
    let answer = caller.post(leaving, path, &late).await;
    assert_eq!(
        answer.status, 200,
        "a caller with a stale address is served: {}",
        answer.body
    );

    let streamed = response.into_body().collect().await.unwrap().to_bytes();
    let streamed = String::from_utf8_lossy(&streamed);
    assert_eq!(streamed.matches("elders-1@1/").count(), 400);
    assert!(streamed.ends_with("data: [DONE]\n\n"));
    assert_eq!(deployment.wait_exit("instance-1").await, Some(0));
    let answer = caller.post(staying, path, &late).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Opens a completion that streams for longer than any test runs.
async fn open_long_stream(deployment: &TestDeployment, address: SocketAddr) -> Response<Incoming> {
    let body = json!({
        "model": "nyota-7b:elders-1", "prompt": "endless", "max_tokens": 15000, "stream": true,
    });
    let caller = deployment.caller("elders");
    caller
        .open(Method::POST, address, "/v1/completions", body.to_string())
        .await
        .unwrap()
}

#[tokio::test]
async fn a_second_signal_ends_the_process() {
    let size = DeploymentSize {
        instances: 1,
        ..DeploymentSize::default()
    };
    let mut deployment = TestDeployment::start(size).await;
    let address = deployment.address("callers", "instance-1");
    let response = open_long_stream(&deployment, address).await;
    assert_eq!(response.status(), 200);
    deployment.signal("instance-1", "TERM");
    wait_until(|| async { deployment.log("instance-1").contains("shutting down") }).await;
    deployment.signal("instance-1", "TERM");
    assert_eq!(deployment.wait_exit("instance-1").await, Some(0));
    assert!(
        response.into_body().collect().await.is_err(),
        "an aborted response must not look complete"
    );
}

#[tokio::test]
async fn a_disconnected_caller_cancels_the_engine_request() {
    let size = DeploymentSize {
        instances: 1,
        ..DeploymentSize::default()
    };
    let deployment = TestDeployment::start(size).await;
    let address = deployment.address("callers", "instance-1");
    let response = open_long_stream(&deployment, address).await;
    drop(response);
    wait_until(|| async {
        let mut cancelled = 0;
        for engine in deployment.names("engines") {
            let stats = deployment.server_stats("engines", &engine).await;
            cancelled += stats["cancelled"].as_u64().unwrap_or_default();
        }
        cancelled == 1
    })
    .await;
}

#[tokio::test]
async fn unsigned_and_oversized_envelopes_are_refused_and_counted() {
    let size = DeploymentSize {
        instances: 1,
        ..DeploymentSize::default()
    };
    let deployment = TestDeployment::start(size).await;
    let peers = deployment.address("peers", "instance-1");
    let path = "/peer/v1/envelopes";
    let anonymous = TestCaller::anonymous();
    let garbage = anonymous.call(Method::POST, peers, path, "garbage").await;
    assert_eq!(garbage.status, 401);
    let long = vec![0; 3 * 1024 * 1024];
    let oversize = anonymous.call(Method::POST, peers, path, long).await;
    assert_eq!(oversize.status, 413);
    let operators = deployment.address("operators", "instance-1");
    let metrics = anonymous.get(operators, "/metrics").await.body;
    let counts: Vec<&str> = metrics
        .lines()
        .filter(|line| line.starts_with("wasabistall_envelopes_refused_total{"))
        .collect();
    assert_snapshot!(counts.join("\n"), @r#"
    wasabistall_envelopes_refused_total{fault="bad_signature",otel_scope_name="wasabistalld"} 1
    wasabistall_envelopes_refused_total{fault="too_long",otel_scope_name="wasabistalld"} 1
    "#);
    let refused = anonymous.get(operators, "/operator/v1/status").await;
    assert_eq!(refused.status, 401);
}

#[tokio::test]
async fn an_instance_starts_while_the_configuration_service_is_down() {
    let size = DeploymentSize {
        instances: 2,
        ..DeploymentSize::default()
    };
    let mut deployment = TestDeployment::start(size).await;
    let change = json!([{ "op": "withdraw_key", "key": "elders-1" }]);
    let sequence = deployment.publish(1, change).await;
    deployment.wait_applied("instance-1", sequence).await;
    let service = deployment.platform_address("configuration");
    let down = deployment
        .set_faults(service, json!({ "down": true }))
        .await;
    assert_eq!(down.status, 204);
    deployment.signal("instance-2", "KILL");
    deployment.wait_exit("instance-2").await;
    deployment.start_daemon("instance-2");
    deployment.wait_ready("instance-2").await;
    let address = deployment.address("callers", "instance-2");
    let body = json!({ "model": "nyota-7b:elders-1", "prompt": "hello", "max_tokens": 1 });
    let caller = deployment.caller("elders");
    let answer = caller.post(address, "/v1/completions", &body).await;
    assert_eq!(answer.status, 401, "{}", answer.body);
    assert_eq!(answer.json()["kind"], "key_withdrawn");
    let other = deployment.caller("historians");
    let body = json!({ "model": "nyota-7b:historians-1", "prompt": "hello", "max_tokens": 1 });
    let answer = other.post(address, "/v1/completions", &body).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Answers of servers that have no length and end with their connection reach callers whole, and one
/// that breaks off does not look complete.
#[tokio::test]
async fn answers_that_end_with_their_connection_are_whole() {
    let size = DeploymentSize {
        instances: 1,
        ..DeploymentSize::default()
    };
    let deployment = TestDeployment::start(size).await;
    let address = deployment.address("callers", "instance-1");
    for group in ["engines", "services"] {
        for server in deployment.names(group) {
            let faults = json!({ "ends_by_connection": true });
            let server = deployment.address(group, &server);
            assert_eq!(deployment.set_faults(server, faults).await.status, 204);
        }
    }
    let caller = deployment.caller("elders");
    let path = "/v1/completions";
    let call = |stream: bool| json!({ "model": "nyota-7b:elders-1", "prompt": "hello", "max_tokens": 8, "stream": stream });
    for _ in 0..3 {
        let whole = caller.post(address, path, &call(false)).await;
        assert_eq!(whole.status, 200, "{}", whole.body);
        assert_eq!(whole.json()["usage"]["completion_tokens"], 8);
        let streamed = caller.post(address, path, &call(true)).await;
        assert_eq!(streamed.body.matches("elders-1@1/").count(), 8);
        assert!(streamed.body.ends_with("data: [DONE]\n\n"));
    }
    for engine in deployment.names("engines") {
        let faults = json!({ "ends_by_connection": true, "break_after": 4 });
        let engine = deployment.address("engines", &engine);
        assert_eq!(deployment.set_faults(engine, faults).await.status, 204);
    }
    let broken = caller.post(address, path, &call(false)).await;
    assert_ne!(broken.status, 200, "{}", broken.body);
    let broken = caller.post(address, path, &call(true)).await;
    assert!(!broken.body.contains("[DONE]"), "{}", broken.body);
}

/// Regression test: a list of instances with one entry of an unexpected form was ignored as a whole, so
/// that the next changes of the others were not followed.
#[tokio::test]
async fn an_odd_entry_in_the_list_of_instances_affects_no_other() {
    let size = DeploymentSize {
        instances: 2,
        ..DeploymentSize::default()
    };
    let deployment = TestDeployment::start(size).await;
    let nested = "[".repeat(100) + &"]".repeat(100);
    let list = format!(
        r#"[{{"instance":"instance-1"}},{{"instance":7}},{nested},null,
        {{"instance":"instance-2","leaving":true}}]"#
    );
    let anonymous = TestCaller::anonymous();
    let registry = deployment.platform_address("instances_list");
    let written = anonymous.call(Method::PUT, registry, "/v1/instances", list);
    assert_eq!(written.await.status, 204);
    let address = deployment.address("callers", "instance-1");
    wait_until(|| async {
        let listed = anonymous.get(address, "/v1/addresses").await;
        !listed.body.contains("instance-2")
    })
    .await;
}
