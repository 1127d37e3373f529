//! The interface to operators: status, usage, configuration, metrics, probes.

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

/// Usage records in one answer.
const USAGE_PAGE: usize = 1_000;

/// Serves operators.
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
        async move { service.answer(&request).await }
    });
    run_server(listener, endpoint)
}

struct OperatorService {
    settings: InstanceSettings,
    core: CoreHandle,
    metrics: MetricSet,
}

impl OperatorService {
    async fn answer(&self, request: &poem::Request) -> Response {
        if request.method() != Method::GET {
            return status(StatusCode::METHOD_NOT_ALLOWED);
        }
        match request.uri().path() {
            "/healthz" => return status(StatusCode::OK),
            "/readyz" => return self.readiness().await,
            "/metrics" => return self.metrics_page(),
            _ => {}
        }
        if !self.is_operator(request) {
            return status(StatusCode::UNAUTHORIZED);
        }
        let after = number(request, "after");
        match request.uri().path() {
            "/operator/v1/status" => json(self.core.query(StatusView::read).await),
            "/operator/v1/usage" => {
                let view = self
                    .core
                    .query(move |reducer| UsageView::read(reducer, after, USAGE_PAGE))
                    .await;
                json(view)
            }
            "/operator/v1/config" => json(self.core.query(operator::config_view).await),
            _ => status(StatusCode::NOT_FOUND),
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
            Some(true) => status(StatusCode::OK),
            _ => status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn metrics_page(&self) -> Response {
        match self.metrics.render() {
            Some(page) => Response::builder()
                .header(CONTENT_TYPE, "text/plain; version=0.0.4")
                .body(page),
            None => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

fn number(request: &poem::Request, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn status(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}

fn json<T: Serialize>(view: Option<T>) -> Response {
    match view.and_then(|view| serde_json::to_vec(&view).ok()) {
        Some(body) => Response::builder()
            .header(CONTENT_TYPE, "application/json")
            .body(body),
        None => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}
