//! Calls between instances over HTTP, with MessagePack bodies.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HOST, HeaderValue},
};
use tokio::net::TcpListener;
use wasabistall_lib::gateway::{
    event::GatewayEvent,
    message::{PeerAnswer, PeerCall, PeerError},
};

use super::{
    connections::{self, ConnectionError, ExchangeFailure, ExchangeLimits},
    core::GatewayCore,
    listen::serve_requests,
    transfers::CatalogTransfer,
};

const PEER_PATH: &str = "/v1/gateway/peer";
/// Largest message, in bytes; it fits a configuration of the platform's maximum value size together
/// with all servers.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Calls a peer and reports the outcome to the reducer.
pub(super) async fn call_peer(
    core: Arc<GatewayCore>,
    call: u64,
    peer: SocketAddr,
    message: PeerCall,
) {
    let started = Instant::now();
    let body = exchange(&core, peer, &message).await;
    if matches!(message, PeerCall::CatalogChanges { .. }) {
        let transfer = CatalogTransfer::new("peer", &body, started.elapsed());
        transfer.record(&core.metrics);
    }
    let answer = match body {
        Ok(body) => decode_answer(peer, &body),
        Err(failure) => {
            tracing::debug!(%peer, fault = ?failure, "call to a peer failed");
            Err(match failure.error {
                ConnectionError::Refused => PeerError::ConnectionRefused,
                _ => PeerError::NoAnswer,
            })
        }
    };
    core.metrics
        .record_peer_call(answer.is_ok(), started.elapsed());
    core.handle_event(GatewayEvent::PeerAnswered { call, peer, answer });
}

/// Calls a peer and returns the body of its response.
async fn exchange(
    core: &GatewayCore,
    peer: SocketAddr,
    message: &PeerCall,
) -> Result<Bytes, ExchangeFailure> {
    let silent = ExchangeFailure {
        error: ConnectionError::Silent,
        received_bytes: 0,
    };
    let request = encode_request(peer, message).ok_or(silent)?;
    let limits = ExchangeLimits {
        timeouts: message.timeouts(),
        max_response_bytes: MAX_MESSAGE_BYTES,
    };
    let call = connections::call(&core.peers, &peer, peer, request, limits);
    let response = match message {
        // A caller's request waits for the answer, and must not wait for a connection as well.
        PeerCall::Grant(_) | PeerCall::Borrow { .. } => {
            tokio::time::timeout(limits.timeouts.total, call)
                .await
                .unwrap_or(Err(silent))
        }
        _ => call.await,
    };
    if response
        .as_ref()
        .is_err_and(|failure| failure.error != ConnectionError::Refused)
    {
        core.peers.remove(&peer);
    }
    response.map(|response| response.body)
}

fn decode_answer(peer: SocketAddr, body: &[u8]) -> Result<PeerAnswer, PeerError> {
    rmp_serde::from_slice(body).map_err(|error| {
        tracing::warn!(event = "peer_answer_unreadable", %peer, %error);
        PeerError::NoAnswer
    })
}

fn encode_request(peer: SocketAddr, message: &PeerCall) -> Option<Request<Full<Bytes>>> {
    let body = rmp_serde::to_vec(message).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = PEER_PATH.parse().ok()?;
    let host = HeaderValue::from_str(&peer.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}

/// Serves calls from peers until the task is aborted.
pub(super) async fn serve(listener: TcpListener, core: Arc<GatewayCore>) {
    serve_requests(listener, move |request| {
        let core = core.clone();
        async move { handle_call(&core, request).await }
    })
    .await;
}

async fn handle_call(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let is_call = request.method() == Method::POST && request.uri().path() == PEER_PATH;
    if !is_call {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
    let Ok(body) = body.collect().await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let message: PeerCall = match rmp_serde::from_slice(&body.to_bytes()) {
        Ok(message) => message,
        Err(error) => {
            tracing::warn!(event = "peer_call_unreadable", %error);
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let answer = core.handle_peer_call(message);
    match answer.and_then(|answer| rmp_serde::to_vec(&answer).ok()) {
        Some(body) => Response::new(Full::new(Bytes::from(body))),
        None => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
