//! Checks that real instances export traces to a collector, with a span for each hop of a request.

use std::sync::{Arc, Mutex};

use poem::{Server, endpoint, listener::TcpAcceptor};
use serde_json::json;
use tokio::net::TcpListener;
use wasabistall_testutils::{DeploymentSize, TestDeployment, wait_until};

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

/// Concatenated bodies of the requests to a collector.
type CollectedBytes = Arc<Mutex<Vec<u8>>>;

/// Starts a trace collector and returns its address.
async fn start_collector(collected: CollectedBytes) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = endpoint::make(move |mut request: poem::Request| {
        let collected = collected.clone();
        async move {
            let body = request.take_body().into_bytes().await.unwrap_or_default();
            if request.uri().path() == "/v1/traces" {
                collected.lock().unwrap().extend_from_slice(&body);
            }
            poem::Response::builder().finish()
        }
    });
    let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
    tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoint));
    address
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_hop_of_a_request_has_a_span() {
    let collected = CollectedBytes::default();
    let collector = start_collector(collected.clone()).await;
    let mut deployment = TestDeployment::start_platform(DeploymentSize::default());
    for instance in deployment.names("callers") {
        let path = deployment.settings_path(&instance);
        let settings = std::fs::read_to_string(&path).unwrap();
        let telemetry = format!("\"telemetry\": {{ \"otlp\": \"{collector}\" }},\n}}");
        let end = settings.rfind('}').unwrap();
        std::fs::write(&path, format!("{}{telemetry}\n", &settings[..end])).unwrap();
        deployment.start_daemon(&instance);
    }
    for instance in deployment.names("callers") {
        deployment.wait_ready(&instance).await;
    }
    let parent = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
    let caller = deployment
        .caller("elders")
        .with_header("traceparent", &parent);
    let address = deployment.address("callers", "instance-1");
    let body = json!({ "model": "nyota-7b:elders-1", "prompt": "hello", "max_tokens": 1 });
    let answer = caller.post(address, "/v1/completions", &body).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let trace_id: u128 = u128::from_str_radix(TRACE_ID, 16).unwrap();
    wait_until(|| async {
        let bytes = collected.lock().unwrap();
        let spans = [b"caller".as_slice(), b"schedule", b"engine"];
        spans.iter().all(|span| contains(&bytes, span)) && contains(&bytes, &trace_id.to_be_bytes())
    })
    .await;
    assert!(
        !contains(&collected.lock().unwrap(), b"ws_"),
        "a trace contains an API key"
    );
}
