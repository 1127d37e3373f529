//! Responses of the platform's stand-ins, and the loop that serves them.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, Version,
    body::{Frame, Incoming},
    header::HeaderMap,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

use super::{SLOW_INTERVAL, SLOW_PIECES};

pub(super) type StandinBody = BoxBody<Bytes, std::io::Error>;

/// Rejects a request as not run; the answer echoes its attempt id.
pub(super) fn misdirected_response(request: &HeaderMap) -> Response<StandinBody> {
    let mut response = full_response(StatusCode::MISDIRECTED_REQUEST, Vec::new());
    if let Some(attempt) = request.get("attempt-id") {
        response.headers_mut().insert("attempt-id", attempt.clone());
    }
    response
}

/// Turns a response into one that ends with its connection.
pub(super) fn without_length(response: Response<StandinBody>) -> Response<StandinBody> {
    let (mut head, body) = response.into_parts();
    // Bodies of this version have neither a length nor chunks.
    head.version = Version::HTTP_10;
    let frames = futures_util::stream::unfold(body, |mut body| async {
        let frame = body.frame().await?;
        Some((frame, body))
    });
    Response::from_parts(head, BodyExt::boxed(StreamBody::new(frames)))
}

pub(super) fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        let hex = tail.get(..2).filter(|_| *byte == b'%');
        let decoded = hex
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        bytes.push(decoded.unwrap_or(*byte));
        rest = if decoded.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub(super) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

pub(super) fn full_response(status: StatusCode, body: Vec<u8>) -> Response<StandinBody> {
    let body = Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

pub(super) fn json_response(value: &Value) -> Response<StandinBody> {
    full_response(StatusCode::OK, value.to_string().into_bytes())
}

pub(super) fn slow_body(body: &[u8]) -> StandinBody {
    let piece_bytes = body.len().div_ceil(SLOW_PIECES).max(1);
    let pieces: Vec<Bytes> = body
        .chunks(piece_bytes)
        .map(Bytes::copy_from_slice)
        .collect();
    let frames = futures_util::stream::unfold(pieces.into_iter(), |mut pieces| async {
        let piece = pieces.next()?;
        tokio::time::sleep(SLOW_INTERVAL).await;
        Some((Ok(Frame::data(piece)), pieces))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

pub(super) async fn serve<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<StandinBody>> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = handle(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            // Clients may disconnect at any time.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
