//! A plain service with a few servers.

use std::time::Duration;

use wasabistall_lib::{
    gateway::catalog::{
        CallerBounds, QuotaUnit, RetryPolicy, RouteConfig, RouteTarget, ServerRecord,
        ServiceConfig, ServingConfig, TeamConfig,
    },
    key::KeyDigest,
};

fn route(prefix: &str, retry: RetryPolicy, max_attempts: u32) -> RouteConfig {
    RouteConfig {
        name: prefix.into(),
        host: "host".into(),
        prefix: prefix.into(),
        targets: vec![RouteTarget {
            service: "desk".into(),
            weight: 1.0,
        }],
        retry,
        timeout: Duration::from_millis(3_000),
        objective: Duration::from_millis(300),
        pause_objective: None,
        max_attempts,
        priority: 1,
        public: false,
    }
}

/// A configuration of a plain service with routes of each kind, and one team with these keys.
pub(crate) fn serving_config(version: u64, keys: &[&[u8]]) -> ServingConfig {
    ServingConfig {
        version,
        routes: vec![
            route("/safe/", RetryPolicy::Idempotent, 3),
            route("/once/", RetryPolicy::Once, 1),
            route("/stream/", RetryPolicy::ResumableStream, 2),
        ],
        services: vec![ServiceConfig {
            name: "desk".into(),
            cold_time: Duration::from_secs(3),
            cold_rate: 0.0,
            engine: None,
        }],
        teams: vec![TeamConfig {
            name: "team".into(),
            keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
            priority: None,
            unit: QuotaUnit::Requests,
            default_request_tokens: 0.0,
            rate: 0.0,
            burst: 0.0,
        }],
        bounds: CallerBounds {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            idle_time: Duration::from_secs(15),
        },
    }
}

/// The entry of a server of that service.
pub(crate) fn server(id: u8, draining: bool) -> ServerRecord {
    ServerRecord {
        id: format!("s-{id}").into(),
        service: "desk".into(),
        address: format!("10.0.0.{id}:80").parse().unwrap(),
        data_centre: format!("dc-{id}").into(),
        slots: 6,
        draining,
        cold_for: Duration::ZERO,
        sequence: 0,
        started: 1,
        models: Vec::new(),
    }
}
