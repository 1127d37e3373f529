//! Calls between instances over HTTP, with MessagePack bodies.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, HOST, HeaderMap, HeaderValue},
};
use tokio::net::TcpListener;
use wasabistall_lib::gateway::{
    encoding::{MAX_MESSAGE_BYTES, decode_answer, decode_call, encode_answer, encode_call},
    event::GatewayEvent,
    message::{PeerAnswer, PeerCall, PeerError},
};

use super::{
    connections::{self, ConnectionError, ExchangeFailure, ExchangeLimits},
    core::GatewayCore,
    listen::serve_requests,
    transfers::CatalogTransfer,
};
use crate::client::FullResponse;

const PEER_PATH: &str = "/v1/gateway/peer";
/// Value of the `Content-Encoding` header of compressed messages.
const DEFLATE: HeaderValue = HeaderValue::from_static("deflate");

/// Calls a peer and reports the outcome to the reducer.
pub(super) async fn call_peer(
    core: Arc<GatewayCore>,
    call: u64,
    peer: SocketAddr,
    message: PeerCall,
) {
    let started = Instant::now();
    let response = exchange(&core, peer, &message).await;
    if matches!(message, PeerCall::CatalogChanges(_)) {
        let transfer = CatalogTransfer::new("peer", &response, started.elapsed());
        transfer.record(&core.metrics);
    }
    let answer = match response {
        Ok(response) => decode_response(peer, &response),
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

async fn exchange(
    core: &GatewayCore,
    peer: SocketAddr,
    message: &PeerCall,
) -> Result<FullResponse, ExchangeFailure> {
    let silent = ExchangeFailure {
        local_port: None,
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
    response
}

fn decode_response(peer: SocketAddr, response: &FullResponse) -> Result<PeerAnswer, PeerError> {
    decode_answer(&response.body, is_compressed(&response.headers)).map_err(|error| {
        tracing::warn!(event = "peer_answer_unreadable", %peer, %error);
        PeerError::NoAnswer
    })
}

fn encode_request(peer: SocketAddr, message: &PeerCall) -> Option<Request<Full<Bytes>>> {
    let encoded = encode_call(message).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(encoded.body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = PEER_PATH.parse().ok()?;
    let host = HeaderValue::from_str(&peer.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    if encoded.is_compressed {
        request.headers_mut().insert(CONTENT_ENCODING, DEFLATE);
    }
    Some(request)
}

fn is_compressed(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_ENCODING) == Some(&DEFLATE)
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
    let is_compressed = is_compressed(request.headers());
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
    let Ok(body) = body.collect().await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let message = match decode_call(&body.to_bytes(), is_compressed) {
        Ok(message) => message,
        Err(error) => {
            tracing::warn!(event = "peer_call_unreadable", %error);
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let answer = core.handle_peer_call(message).await.ok();
    let Some(encoded) = answer.and_then(|answer| encode_answer(&answer).ok()) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = Response::new(Full::new(Bytes::from(encoded.body)));
    if encoded.is_compressed {
        response.headers_mut().insert(CONTENT_ENCODING, DEFLATE);
    }
    response
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
