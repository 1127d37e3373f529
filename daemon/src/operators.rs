//! HTTP API for operators: status, usage, configuration, metrics and probes.

use std::sync::Arc;

use hyper::{
    Method, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use poem::{Response, endpoint};
use serde::Serialize;
use tokio::net::TcpListener;
use wasabistall_lib::{
    operator::{self, StatusView, UsageView},
    settings::InstanceSettings,
};

use crate::{
    core::CoreHandle,
    peers::run_server,
    telemetry::{MetricSet, Telemetry},
};

/// Number of usage records in one response.
const USAGE_PAGE_RECORDS: usize = 1_000;

/// Serves operators until the task is aborted.
pub(crate) fn serve(
    listener: TcpListener,
    settings: &InstanceSettings,
    core: &CoreHandle,
    telemetry: &Telemetry,
) -> impl Future<Output = ()> + Send + use<> {
    let service = Arc::new(OperatorService {
        settings: settings.clone(),
        core: core.clone(),
        metrics: telemetry.metrics.clone(),
    });
    let endpoint = endpoint::make(move |request| {
        let service = service.clone();
        async move { service.handle(&request).await }
    });
    run_server(listener, endpoint)
}

struct OperatorService {
    settings: InstanceSettings,
    core: CoreHandle,
    metrics: MetricSet,
}

impl OperatorService {
    async fn handle(&self, request: &poem::Request) -> Response {
        if request.method() != Method::GET {
            return empty_response(StatusCode::METHOD_NOT_ALLOWED);
        }
        match request.uri().path() {
            "/healthz" => return empty_response(StatusCode::OK),
            "/readyz" => return self.readiness().await,
            "/metrics" => return self.metrics_page(),
            _ => {}
        }
        if !self.is_operator(request) {
            return empty_response(StatusCode::UNAUTHORIZED);
        }
        let after = query_number(request, "after");
        match request.uri().path() {
            "/operator/v1/status" => json_response(self.core.query(StatusView::read).await),
            "/operator/v1/usage" => {
                let view = self
                    .core
                    .query(move |reducer| UsageView::read(reducer, after, USAGE_PAGE_RECORDS))
                    .await;
                json_response(view)
            }
            "/operator/v1/config" => json_response(self.core.query(operator::config_view).await),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn is_operator(&self, request: &poem::Request) -> bool {
        let token = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        token.is_some_and(|token| {
            operator::token_matches(token, &self.settings.operator_token_digests)
        })
    }

    async fn readiness(&self) -> Response {
        let ready = self
            .core
            .query(|reducer| reducer.is_ready() && !reducer.is_leaving())
            .await;
        match ready {
            Some(true) => empty_response(StatusCode::OK),
            _ => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn metrics_page(&self) -> Response {
        match self.metrics.render() {
            Some(page) => Response::builder()
                .header(CONTENT_TYPE, "text/plain; version=0.0.4")
                .body(page),
            None => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

fn query_number(request: &poem::Request, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn empty_response(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}

fn json_response<T: Serialize>(view: Option<T>) -> Response {
    match view.and_then(|view| serde_json::to_vec(&view).ok()) {
        Some(body) => Response::builder()
            .header(CONTENT_TYPE, "application/json")
            .body(body),
        None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}
