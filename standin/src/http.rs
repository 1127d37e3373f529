//! HTTP helpers of the simulated servers.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, StatusCode, Version,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use poem::{Body, Endpoint, Response, Server, listener::TcpAcceptor};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpSocket;

/// Maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Serves `endpoint` in the background and returns the bound address.
pub(crate) async fn serve(
    listen: SocketAddr,
    endpoint: impl Endpoint + 'static,
) -> Result<SocketAddr> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit this. Streamed tokens are small and must not be delayed by
        // Nagle's algorithm.
        socket.set_nodelay(true)?;
        socket.bind(listen)?;
        socket.listen(LISTEN_BACKLOG)
    };
    let listener = bind().wrap_err_with(|| format!("cannot listen on {listen}"))?;
    let address = listener.local_addr()?;
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    tokio::spawn(async move {
        if let Err(error) = Server::new_with_acceptor(acceptor).run(endpoint).await {
            tracing::error!(%error, "server stopped");
        }
    });
    Ok(address)
}

/// Builds a JSON response.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(serde_json::to_vec(value).unwrap_or_default())
}

/// Builds a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

/// Reads a request's body as JSON; `None` if it is invalid.
pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut poem::Request) -> Option<T> {
    let body = request.take_body().into_bytes().await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Returns the value of a numeric query parameter.
pub(crate) fn query_number(request: &poem::Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// HTTP client for requests to the other servers.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Builds an HTTP client.
pub(crate) fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a GET request and returns the status; `None` if the request fails.
pub(crate) async fn get_status(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Option<StatusCode> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}{path}"))
        .body(Full::default())
        .ok()?;
    let response = client.request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Builds a response that announces a body of one byte and ends before it.
pub(crate) fn truncated() -> Response {
    let no_data = futures_util::stream::empty::<Result<Bytes, std::io::Error>>();
    Response::builder()
        .header(CONTENT_LENGTH, "1")
        .body(Body::from_bytes_stream(no_data))
}

/// Turns a response into one that has no length and ends with its connection.
pub(crate) fn without_length(response: Response) -> Response {
    let (head, body) = response.into_parts();
    let body = Body::from_bytes_stream(body.into_bytes_stream());
    let mut response = Response::from_parts(head, body);
    // Bodies of this version have neither a length nor chunks, unless a length is set.
    response.set_version(Version::HTTP_10);
    response
}
