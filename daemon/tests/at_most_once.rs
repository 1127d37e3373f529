//! Checks against real instances that a keyed call runs at most once.

use hyper::Method;
use serde_json::json;
use wasabistall_testutils::{DeploymentSize, TestCaller, TestDeployment};

const PATH: &str = "/services/booking/confirmations";

async fn run_count(deployment: &TestDeployment, key: &str) -> u64 {
    let mut sum = 0;
    for service in deployment.names("services") {
        let stats = deployment.server_stats("services", &service).await;
        sum += stats["keyed_runs"][key].as_u64().unwrap_or_default();
    }
    sum
}

#[tokio::test]
async fn a_retried_confirmation_runs_once() {
    let mut deployment = TestDeployment::start(DeploymentSize::default()).await;
    let first = deployment.address("callers", "instance-1");
    let second = deployment.address("callers", "instance-2");
    let caller = deployment.caller("elders");
    let refused = caller.call(Method::POST, first, PATH, "").await;
    assert_eq!(refused.status, 428, "{}", refused.body);

    let issued = TestCaller::anonymous()
        .post(first, "/v1/idempotency-keys", &json!({}))
        .await;
    let key = issued.json()["key"].as_str().unwrap().to_owned();
    let keyed = caller.with_header("idempotency-key", &key);
    let at_other_instance = keyed.call(Method::POST, second, PATH, "").await;
    assert_eq!(at_other_instance.status, 421, "{}", at_other_instance.body);

    // The service runs the call, but its response is lost.
    for service in deployment.names("services") {
        let address = deployment.address("services", &service);
        let faults = json!({ "drop_answers": 1 });
        assert_eq!(deployment.set_faults(address, faults).await.status, 204);
    }
    let lost = keyed.call(Method::POST, first, PATH, "").await;
    assert_eq!(
        (lost.status, lost.json()["run"].as_str()),
        (502, Some("unknown"))
    );
    let retried = keyed.call(Method::POST, first, PATH, "").await;
    assert_eq!(
        (retried.status, retried.json()["run"].as_str()),
        (409, Some("unknown"))
    );

    deployment.signal("instance-1", "KILL");
    deployment.wait_exit("instance-1").await;
    deployment.start_daemon("instance-1");
    deployment.wait_ready("instance-1").await;
    let after_restart = keyed.call(Method::POST, first, PATH, "").await;
    assert_eq!(after_restart.status, 421, "{}", after_restart.body);
    assert_eq!(run_count(&deployment, &key).await, 1);
}
