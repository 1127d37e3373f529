//! HTTP client for backend servers, peers and the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderMap};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The connection could not be established; nothing was sent.
    NotConnected,
    /// The connection broke, timed out or returned an invalid response.
    Broken,
    /// The response exceeds the size limit.
    TooLong,
}

/// A response with its complete body.
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// HTTP client; clones share its connection pool.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that reuses idle connections.
    pub(crate) fn pooled() -> HttpClient {
        HttpClient::with_max_idle(16)
    }

    /// Creates a client that opens a connection for each call, so that a connect error proves that
    /// nothing was sent.
    pub(crate) fn unpooled() -> HttpClient {
        HttpClient::with_max_idle(0)
    }

    fn with_max_idle(max_idle: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(max_idle > 0)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|_| CallError::NotConnected)?;
        request.headers_mut().extend(headers.clone());
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotConnected
            } else {
                CallError::Broken
            }
        })
    }

    /// Sends a request and reads the complete response within `limits`.
    pub(crate) async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
        limits: CallLimits,
    ) -> Result<FullResponse, CallError> {
        let response = async {
            let response = self.send(method, address, path, headers, body).await?;
            read_full_response(response, limits.max_response_bytes).await
        };
        tokio::time::timeout(limits.timeout, response)
            .await
            .unwrap_or(Err(CallError::Broken))
    }
}

/// Limits on one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    pub(crate) timeout: Duration,
    pub(crate) max_response_bytes: usize,
}

/// Reads a response body of at most `limit` bytes.
pub(crate) async fn read_full_response(
    response: Response<Incoming>,
    limit: usize,
) -> Result<FullResponse, CallError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, limit)
        .collect()
        .await
        .map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                CallError::TooLong
            } else {
                CallError::Broken
            }
        })?
        .to_bytes();
    Ok(FullResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}
