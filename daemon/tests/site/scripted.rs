//! A gateway in front of a server whose answers follow a script.

use std::time::Duration;

use hyper::Method;
use serde_json::json;
use wasabistall_testutils::{
    gateway::{CallerConnection, CallerResponse},
    platform::platform_config,
    scripted::{AnswerScript, AnswerStep, BodyReading, ScriptedServer},
};

use super::TestSite;

/// Largest body of a request, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4_000_000;

/// A gateway whose service `desk` is a scripted server, listed under one or two ids. Its service `calm`
/// has a sound server.
pub(crate) struct ScriptedSite {
    pub(crate) site: TestSite,
    pub(crate) server: ScriptedServer,
}

impl ScriptedSite {
    pub(crate) async fn start(ids: &[&str], script: AnswerScript) -> ScriptedSite {
        ScriptedSite::start_reading(ids, script, BodyReading::Whole).await
    }

    pub(crate) async fn start_reading(
        ids: &[&str],
        script: AnswerScript,
        reading: BodyReading,
    ) -> ScriptedSite {
        let site = TestSite::start(1).await;
        let server = ScriptedServer::start(site.gateways[0].ports.ip, script, reading);
        let mut config = platform_config(2, "key");
        config["Limits"]["MaxBodyBytes"] = json!(MAX_BODY_BYTES);
        let routes = config["Routes"].as_array_mut().expect("routes");
        for (name, resumable) in [("stream", false), ("resume", true)] {
            routes.push(
                json!({"Name": name, "Host": "host", "Prefix": format!("/{name}/"),
                "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 1000,
                "Service": "desk", "MaxAttempts": 3, "Resumable": resumable}),
            );
        }
        routes.push(
            json!({"Name": "slow", "Host": "host", "Prefix": "/slow/", "Kind": "unsafe",
            "TimeoutMs": 20_000, "TargetLatencyMs": 300, "Service": "desk", "MaxAttempts": 1}),
        );
        routes.push(
            json!({"Name": "calm", "Host": "host", "Prefix": "/calm/", "Kind": "safe",
            "TimeoutMs": 3000, "TargetLatencyMs": 300, "Service": "calm", "MaxAttempts": 2}),
        );
        let services = config["Services"].as_array_mut().expect("services");
        services.push(
            json!({"Name": "calm", "MaxConnections": 300, "ColdStartS": 0.0, "ColdPerS": 0.0}),
        );
        let calm_ip = site.gateways[0].ports.ip;
        let platform = &site.platform;
        platform.start_server(calm_ip, "s-7", "calm", false).await;
        site.platform.put("op/config", Some(&config));
        for id in ids {
            site.platform
                .register(id, "desk", server.address, false, "ready");
        }
        for id in ["s-3", "s-4"] {
            site.platform.put(&format!("servers/{id}"), None);
        }
        let scripted = ScriptedSite { site, server };
        scripted.wait_logged("server_withdrawn", "s-4").await;
        scripted.wait_logged("config_applied", "version=2").await;
        scripted
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.site.gateways[0].log()).expect("log")
    }

    pub(crate) async fn wait_logged(&self, event: &str, detail: &str) {
        let is_logged = |line: &str| line.contains(event) && line.contains(detail);
        for _ in 0..1_000 {
            if self.log().lines().any(is_logged) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{event} of {detail} was not logged");
    }

    pub(crate) async fn call(&self, path: &str, attempt: &str) -> CallerResponse {
        self.upload(path, attempt, b"").await
    }

    pub(crate) async fn upload(
        &self,
        path: &str,
        attempt: &str,
        body: &'static [u8],
    ) -> CallerResponse {
        let address = self.site.gateways[0].ports.callers();
        let mut connection = CallerConnection::open(address).await.expect("connect");
        let headers = [
            ("host", "host"),
            ("attempt-id", attempt),
            ("credential", "key"),
            ("deadline-ms", "4000"),
        ];
        connection
            .call(Method::POST, path, &headers, body)
            .await
            .expect("response")
    }

    /// Status of the answer and number of times that the request arrived at the server.
    pub(crate) async fn status_and_arrivals(&self, attempt: &str) -> (u16, usize) {
        let answer = self.call("/once/x", attempt).await;
        let arrivals = self.server.requests_of(attempt).len();
        (answer.status.as_u16(), arrivals)
    }
}

pub(crate) fn send(bytes: &str) -> AnswerStep {
    AnswerStep::Send(bytes.to_owned())
}

pub(crate) fn head(status: &str, attempt: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\nattempt-id: {attempt}\r\n{fields}")
}

/// A complete answer of a server that ran the request.
pub(crate) fn answer(attempt: &str) -> AnswerStep {
    let fields = "response-seal: seal\r\ncontent-length: 2\r\n\r\nok";
    send(&head("200 OK", attempt, fields))
}

pub(crate) fn refusal(attempt: &str) -> AnswerStep {
    let fields = "not-executed: 1\r\ncontent-length: 0\r\n\r\n";
    send(&head("503 Service Unavailable", attempt, fields))
}
