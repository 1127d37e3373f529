//! Calls between instances: HTTP with MessagePack bodies.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

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
    core::GatewayCore,
    links::{self, LinkFault},
    listen::serve_whole,
};

const PEER_PATH: &str = "/v1/gateway/peer";
/// Longest message, in bytes: a configuration of the platform's longest value with all servers.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Time for an answer that a request waits for; it goes on without it after that.
const GRANT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for any other answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Calls a peer and tells the reducer what came of it.
pub(super) async fn call(core: Arc<GatewayCore>, call: u64, peer: SocketAddr, message: PeerCall) {
    let started = Instant::now();
    let answer = exchange(&core, peer, &message).await;
    core.metrics
        .count_peer_call(answer.is_ok(), started.elapsed());
    if let Err(fault) = answer {
        tracing::debug!(%peer, ?fault, "call to a peer failed");
    }
    core.tell(GatewayEvent::PeerAnswered { call, peer, answer });
}

async fn exchange(
    core: &GatewayCore,
    peer: SocketAddr,
    message: &PeerCall,
) -> Result<PeerAnswer, PeerError> {
    let timeout = match message {
        PeerCall::Grant(_) | PeerCall::Borrow { .. } => GRANT_TIMEOUT,
        _ => CALL_TIMEOUT,
    };
    let request = encode(peer, message).ok_or(PeerError::NoAnswer)?;
    let called = links::call(
        &core.peers,
        &peer,
        peer,
        request,
        timeout,
        MAX_MESSAGE_BYTES,
    );
    // Covers the time to connect, too.
    let answer = match tokio::time::timeout(timeout, called).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(LinkFault::Refused)) => return Err(PeerError::ConnectionRefused),
        Ok(Err(_)) | Err(_) => {
            core.peers.forget(&peer);
            return Err(PeerError::NoAnswer);
        }
    };
    rmp_serde::from_slice(&answer.body).map_err(|error| {
        tracing::warn!(event = "peer_answer_unreadable", %peer, %error);
        PeerError::NoAnswer
    })
}

fn encode(peer: SocketAddr, message: &PeerCall) -> Option<Request<Full<Bytes>>> {
    let body = rmp_serde::to_vec(message).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = PEER_PATH.parse().ok()?;
    let host = HeaderValue::from_str(&peer.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}

/// Answers the calls of peers.
pub(super) async fn serve(listener: TcpListener, core: Arc<GatewayCore>) {
    serve_whole(listener, move |request| {
        let core = core.clone();
        async move { answer(&core, request).await }
    })
    .await;
}

async fn answer(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let is_call = request.method() == Method::POST && request.uri().path() == PEER_PATH;
    if !is_call {
        return failure(StatusCode::NOT_FOUND);
    }
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
    let Ok(body) = body.collect().await else {
        return failure(StatusCode::BAD_REQUEST);
    };
    let message: PeerCall = match rmp_serde::from_slice(&body.to_bytes()) {
        Ok(message) => message,
        Err(error) => {
            tracing::warn!(event = "peer_call_unreadable", %error);
            return failure(StatusCode::BAD_REQUEST);
        }
    };
    let answer = core.answer_peer(message);
    match answer.and_then(|answer| rmp_serde::to_vec(&answer).ok()) {
        Some(body) => Response::new(Full::new(Bytes::from(body))),
        None => failure(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn failure(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
