//! Answers to questions for addresses, readiness and metrics.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::net::TcpListener;
use wasabistall_platform::{ADDRESSES_PATH, READINESS_PATH, response::encode_addresses};

use super::{core::GatewayCore, listen::serve_whole};

/// How long callers keep addresses; short, so that a lost instance is soon out of use.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(2);

fn reply(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn not_found() -> Response<Full<Bytes>> {
    reply(StatusCode::NOT_FOUND, "text/plain", Vec::new())
}

fn is_get(request: &Request<Incoming>, path: &str) -> bool {
    request.method() == Method::GET && request.uri().path() == path
}

/// Answers callers who ask which instance to use.
pub(super) async fn serve_addresses(listener: TcpListener, core: Arc<GatewayCore>) {
    serve_whole(listener, move |request| {
        let response = if is_get(&request, ADDRESSES_PATH) {
            let body = encode_addresses(&core.caller_addresses(), ADDRESS_LIFETIME);
            reply(StatusCode::OK, "application/json", body)
        } else {
            not_found()
        };
        std::future::ready(response)
    })
    .await;
}

/// Answers the platform's question whether the instance is ready.
pub(super) async fn serve_readiness(listener: TcpListener, core: Arc<GatewayCore>) {
    serve_whole(listener, move |request| {
        let response = if !is_get(&request, READINESS_PATH) {
            not_found()
        } else if core.is_ready() {
            reply(StatusCode::OK, "text/plain", Vec::new())
        } else {
            reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new())
        };
        std::future::ready(response)
    })
    .await;
}

/// Serves metrics and usage.
pub(super) async fn serve_operators(listener: TcpListener, core: Arc<GatewayCore>) {
    serve_whole(listener, move |request| {
        let response = if is_get(&request, "/metrics") {
            match core.metrics.render() {
                Ok(page) => reply(StatusCode::OK, "text/plain; version=0.0.4", page),
                Err(error) => {
                    tracing::warn!(event = "metrics_unwritable", %error);
                    reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Vec::new())
                }
            }
        } else if is_get(&request, "/operator/v1/usage") {
            reply(StatusCode::OK, "application/json", core.usage())
        } else {
            not_found()
        };
        std::future::ready(response)
    })
    .await;
}
