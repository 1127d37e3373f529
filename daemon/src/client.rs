//! HTTP client to backend servers, peers and the platform.

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
pub(crate) enum CallFault {
    /// No connection came about; nothing was sent.
    NotConnected,
    /// The connection broke, went silent or answered nonsense.
    Broken,
    /// The answer is longer than allowed.
    TooLong,
}

/// A whole answer.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// HTTP client.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client that keeps idle connections.
    pub(crate) fn pooled() -> HttpClient {
        HttpClient::with_idle(16)
    }

    /// A client that opens a connection for each call, so that a connection fault proves that
    /// nothing was sent.
    pub(crate) fn unpooled() -> HttpClient {
        HttpClient::with_idle(0)
    }

    fn with_idle(connections: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(connections)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(connections > 0)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallFault> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|_| CallFault::NotConnected)?;
        request.headers_mut().extend(headers.clone());
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallFault::NotConnected
            } else {
                CallFault::Broken
            }
        })
    }

    /// Sends a request and reads the whole answer, within `timeout`.
    pub(crate) async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
        limits: CallLimits,
    ) -> Result<WholeAnswer, CallFault> {
        let exchange = async {
            let response = self.send(method, address, path, headers, body).await?;
            read_whole(response, limits.answer_bytes).await
        };
        tokio::time::timeout(limits.timeout, exchange)
            .await
            .unwrap_or(Err(CallFault::Broken))
    }
}

/// Bounds on one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    pub(crate) timeout: Duration,
    pub(crate) answer_bytes: usize,
}

/// Reads the body of an answer up to `limit` bytes.
pub(crate) async fn read_whole(
    response: Response<Incoming>,
    limit: usize,
) -> Result<WholeAnswer, CallFault> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, limit)
        .collect()
        .await
        .map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                CallFault::TooLong
            } else {
                CallFault::Broken
            }
        })?
        .to_bytes();
    Ok(WholeAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}
