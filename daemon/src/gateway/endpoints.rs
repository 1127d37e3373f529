//! HTTP endpoints for addresses, readiness, metrics, usage and explanations of routing.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::json;
use tokio::net::TcpListener;
use wasabistall_lib::gateway::route_explain::{ExplainError, RouteExplanation, RouteQuestion};
use wasabistall_platform::{
    ADDRESSES_PATH, READINESS_PATH,
    response::{decode_caller_data_centre, encode_addresses},
};

use super::{core::GatewayCore, listen::serve_requests};

/// How long callers may cache addresses; short, so that they soon stop using a lost instance.
const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Path of explanations of routing on the operators' address.
const EXPLAIN_PATH: &str = "/v1/routes/explain";

fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn not_found() -> Response<Full<Bytes>> {
    build_response(StatusCode::NOT_FOUND, "text/plain", Vec::new())
}

fn is_get(request: &Request<Incoming>, path: &str) -> bool {
    request.method() == Method::GET && request.uri().path() == path
}

/// Serves the list of addresses to callers.
pub(super) async fn serve_addresses(listener: TcpListener, core: Arc<GatewayCore>) {
    serve_requests(listener, move |request| {
        let response = if is_get(&request, ADDRESSES_PATH) {
            let data_centre = decode_caller_data_centre(request.uri().query());
            let addresses = core.caller_addresses(data_centre.as_deref());
            let body = encode_addresses(&addresses, ADDRESS_TTL);
            build_response(StatusCode::OK, "application/json", body)
        } else {
            not_found()
        };
        std::future::ready(response)
    })
    .await;
}

/// Serves the platform's readiness probe.
pub(super) async fn serve_readiness(listener: TcpListener, core: Arc<GatewayCore>) {
    serve_requests(listener, move |request| {
        let response = if !is_get(&request, READINESS_PATH) {
            not_found()
        } else if core.is_ready() {
            build_response(StatusCode::OK, "text/plain", Vec::new())
        } else {
            build_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new())
        };
        std::future::ready(response)
    })
    .await;
}

/// Answers a question about routing whose parameters are in `query`.
fn explain_route(
    core: &GatewayCore,
    query: Option<&str>,
) -> Result<RouteExplanation, ExplainError> {
    let parameters: Vec<(String, String)> = form_urlencoded::parse(query.unwrap_or("").as_bytes())
        .into_owned()
        .collect();
    core.explain_route(&RouteQuestion::from_parameters(&parameters)?)
}

fn explanation_response(
    explanation: Result<RouteExplanation, ExplainError>,
) -> Response<Full<Bytes>> {
    let (status, body) = match explanation {
        Ok(explanation) => (StatusCode::OK, serde_json::to_vec(&explanation)),
        Err(error) => {
            let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
            let body = json!({ "error": error.to_string(), "hint": error.hint() });
            (status, serde_json::to_vec(&body))
        }
    };
    // Names and finite numbers always serialize.
    build_response(status, "application/json", body.unwrap_or_default())
}

/// Serves metrics, usage and explanations of routing to operators.
pub(super) async fn serve_operators(listener: TcpListener, core: Arc<GatewayCore>) {
    serve_requests(listener, move |request| {
        let response = if is_get(&request, "/metrics") {
            match core.metrics.render() {
                Ok(page) => build_response(StatusCode::OK, "text/plain; version=0.0.4", page),
                Err(error) => {
                    tracing::warn!(event = "metrics_unwritable", %error);
                    build_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Vec::new())
                }
            }
        } else if is_get(&request, "/operator/v1/usage") {
            build_response(StatusCode::OK, "application/json", core.usage())
        } else if is_get(&request, EXPLAIN_PATH) {
            explanation_response(explain_route(&core, request.uri().query()))
        } else {
            not_found()
        };
        std::future::ready(response)
    })
    .await;
}
