//! HTTP endpoints for addresses, readiness, metrics and usage.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::net::TcpListener;
use wasabistall_platform::{
    ADDRESSES_PATH, READINESS_PATH,
    response::{decode_caller_data_centre, encode_addresses},
};

use super::{core::GatewayCore, listen::serve_requests};

/// How long callers may cache addresses; short, so that they soon stop using a lost instance.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

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

/// Serves metrics and usage to operators.
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
        } else {
            not_found()
        };
        std::future::ready(response)
    })
    .await;
}
