//! End-to-end tests of requests through real instances and fake backend servers.

use std::collections::BTreeMap;

use hyper::Method;
use insta::assert_snapshot;
use serde_json::{Value, json};
use wasabistall_testutils::{DeploymentSize, TestCaller, TestDeployment, TestResponse};

fn completion(model: &str, prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream })
}

/// Requests the list of addresses and returns the best one, as callers do.
async fn best_address(deployment: &TestDeployment) -> std::net::SocketAddr {
    let known = deployment.address("callers", "instance-1");
    let answer = TestCaller::anonymous().get(known, "/v1/addresses").await;
    let best = answer.json()["addresses"][0]["address"].clone();
    best.as_str().unwrap().parse().unwrap()
}

#[tokio::test]
async fn a_streamed_completion_is_exact() {
    let deployment = TestDeployment::start(DeploymentSize::default()).await;
    let address = best_address(&deployment).await;
    let body = completion("nyota-7b:elders-2", "which clan tells this story?", 3, true);
    let caller = deployment.caller("elders");
    let answer = caller.post(address, "/v1/completions", &body).await;
    assert!(answer.complete);
    assert_snapshot!(answer.line(), @r#"
    200 data: {"choices":[{"index":0,"text":"nyota-7b:elders-2@1/b954/0 "}]}

    data: {"choices":[{"index":0,"text":"nyota-7b:elders-2@1/b954/1 "}]}

    data: {"choices":[{"index":0,"text":"nyota-7b:elders-2@1/b954/2 "}]}

    data: {"choices":[],"usage":{"completion_tokens":3,"prompt_tokens":7}}

    data: [DONE]
    "#);
}

#[tokio::test]
async fn refusals_are_typed() {
    let deployment = TestDeployment::start(DeploymentSize::default()).await;
    let address = deployment.address("callers", "instance-1");
    let elders = deployment.caller("elders");
    let own = completion("nyota-7b:elders-1", "hello", 2, false);
    let foreign = completion("nyota-7b:architects-1", "hello", 2, false);
    let unknown = completion("nyota-7b:nobody-1", "hello", 2, false);
    let wrong_key = TestCaller::with_token("ws_elders-1_0123");
    let two_keys = elders.clone().with_header("authorization", "Bearer ws_a_b");
    let anonymous = TestCaller::anonymous();
    let path = "/v1/completions";
    let post = Method::POST;
    let long = "x".repeat(2 * 1024 * 1024);
    let mut lines = BTreeMap::new();
    let mut record = |name: &'static str, answer: TestResponse| {
        lines.insert(name, answer.line());
    };
    record("no key", anonymous.post(address, path, &own).await);
    record("wrong key", wrong_key.post(address, path, &own).await);
    record("two keys", two_keys.post(address, path, &own).await);
    record(
        "foreign adapter",
        elders.post(address, path, &foreign).await,
    );
    record("unknown model", elders.post(address, path, &unknown).await);
    record(
        "malformed body",
        elders.call(post.clone(), address, path, "{").await,
    );
    record(
        "long body",
        elders.call(post.clone(), address, path, long).await,
    );
    record("unknown path", elders.get(address, "/v2").await);
    record(
        "unknown service",
        elders.get(address, "/services/nothing/x").await,
    );
    record(
        "unknown call",
        elders.get(address, "/services/booking/admin/stats").await,
    );
    record(
        "dot segments",
        elders
            .get(address, "/services/booking/calendar/%2e%2e/admin")
            .await,
    );
    record(
        "open route",
        anonymous
            .get(address, "/services/booking/opening-hours")
            .await,
    );
    let text: Vec<String> = lines
        .iter()
        .map(|(name, line)| format!("{name}: {line}"))
        .collect();
    assert_snapshot!(text.join("\n"), @r#"
    dot segments: 400 {"kind":"malformed_request","run":"not_run","retry":"never","message":"the body is not a valid request","hint":"check the body against the API description"}
    foreign adapter: 403 {"kind":"not_your_adapter","run":"not_run","retry":"never","message":"the adapter or service belongs to another team","hint":"use an adapter of the team that the key belongs to"}
    long body: 413 {"kind":"body_too_large","run":"not_run","retry":"never","message":"the body is too long","hint":"send a shorter prompt"}
    malformed body: 400 {"kind":"malformed_request","run":"not_run","retry":"never","message":"the body is not a valid request","hint":"check the body against the API description"}
    no key: 401 {"kind":"missing_key","run":"not_run","retry":"never","message":"the request carries no key","hint":"send `Authorization: Bearer KEY`"}
    open route: 200 {"service":"booking","call":"GET /opening-hours","run":1}
    two keys: 400 {"kind":"malformed_request","run":"not_run","retry":"never","message":"the body is not a valid request","hint":"check the body against the API description"}
    unknown call: 404 {"kind":"unknown_route","run":"not_run","retry":"never","message":"no such path, or the method does not fit it","hint":"check method and path"}
    unknown model: 404 {"kind":"unknown_model","run":"not_run","retry":"never","message":"no such model or adapter is in service","hint":"name the model as BASE or BASE:ADAPTER"}
    unknown path: 404 {"kind":"unknown_route","run":"not_run","retry":"never","message":"no such path, or the method does not fit it","hint":"check method and path"}
    unknown service: 404 {"kind":"unknown_service","run":"not_run","retry":"never","message":"no such service","hint":"check the name after /services/"}
    wrong key: 401 {"kind":"invalid_key","run":"not_run","retry":"never","message":"the key is not valid","hint":"ask the operator of your team for a key"}
    "#);
}

#[tokio::test]
async fn two_thousand_requests_are_each_counted_once() {
    const REQUESTS: usize = 2_000;
    const WORKERS: usize = 16;
    let deployment = std::sync::Arc::new(TestDeployment::start(DeploymentSize::default()).await);
    let counted_before = deployment.usage_total("requests").await;
    let started_before = engine_sum(&deployment, "started").await;
    let teams = [
        "researchers",
        "elders",
        "historians",
        "architects",
        "gardeners",
    ];
    let mut workers = Vec::new();
    for worker in 0..WORKERS {
        let deployment = deployment.clone();
        workers.push(tokio::spawn(async move {
            let instances = deployment.names("callers");
            for number in (worker..REQUESTS).step_by(WORKERS) {
                let team = teams[number % teams.len()];
                let instance = &instances[number % instances.len()];
                let address = deployment.address("callers", instance);
                let model = format!("nyota-7b:{team}-{}", number % 3 + 1);
                let prompt = format!("question {number}");
                let body = completion(&model, &prompt, 2, number % 2 == 0);
                let caller = deployment.caller(team);
                let answer = caller.post(address, "/v1/completions", &body).await;
                assert_eq!(answer.status, 200, "{}", answer.body);
                assert!(answer.complete);
                let engine_model = format!("{model}@1/");
                let text = answer.text();
                assert_eq!(text.matches(&engine_model).count(), 2, "{text}");
            }
        }));
    }
    for worker in workers {
        worker.await.unwrap();
    }
    let counted = deployment.usage_total("requests").await - counted_before;
    let started = engine_sum(&deployment, "started").await - started_before;
    assert_eq!(counted, REQUESTS as u64);
    assert_eq!(started, REQUESTS as u64);
    assert_eq!(engine_sum(&deployment, "keys_seen").await, 0);
    assert_eq!(engine_sum(&deployment, "unloads_in_use").await, 0);
    assert_eq!(engine_sum(&deployment, "crashes").await, 0);
    for service in deployment.names("services") {
        let stats = deployment.server_stats("services", &service).await;
        assert_eq!(stats["keys_seen"], 0);
    }
}

async fn engine_sum(deployment: &TestDeployment, field: &str) -> u64 {
    let mut sum = 0;
    for engine in deployment.names("engines") {
        let stats = deployment.server_stats("engines", &engine).await;
        sum += stats[field].as_u64().unwrap_or_default();
    }
    sum
}
