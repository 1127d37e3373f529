//! HTTP requests to the platform and the instances.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, de::DeserializeOwned};
use wasabistall_lib::config::LogEntry;

use crate::deployment::Deployment;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP request; `token` is sent as a bearer token unless empty.
pub(crate) struct HttpCall<'a> {
    pub(crate) method: Method,
    pub(crate) address: SocketAddr,
    pub(crate) path: &'a str,
    pub(crate) token: &'a str,
    pub(crate) body: Vec<u8>,
}

impl<'a> HttpCall<'a> {
    /// Builds a GET request without a body.
    pub(crate) fn get(address: SocketAddr, path: &'a str, token: &'a str) -> HttpCall<'a> {
        HttpCall {
            method: Method::GET,
            address,
            path,
            token,
            body: Vec::new(),
        }
    }
}

/// Sends a request and returns the response once its head has arrived.
pub(crate) async fn send(call: HttpCall<'_>) -> Result<Response<Incoming>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build(connector);
    let mut request = Request::builder()
        .method(call.method)
        .uri(format!("http://{}{}", call.address, call.path))
        .header(CONTENT_TYPE, "application/json");
    if !call.token.is_empty() {
        request = request.header(AUTHORIZATION, format!("Bearer {}", call.token));
    }
    let request = request.body(Full::new(Bytes::from(call.body)))?;
    client
        .request(request)
        .await
        .wrap_err_with(|| format!("cannot reach {}", call.address))
}

/// Sends a request and returns status and body of the response, within `CALL_TIMEOUT`.
pub(crate) async fn fetch(call: HttpCall<'_>) -> Result<(StatusCode, Bytes)> {
    let endpoint = format!("{}{}", call.address, call.path);
    let exchange = async {
        let response = send(call).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        eyre::Ok((status, body))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| eyre!("{endpoint} timed out"))?
}

/// Sends a request and parses the response as JSON, within `CALL_TIMEOUT`.
pub(crate) async fn call_json<T: DeserializeOwned>(call: HttpCall<'_>) -> Result<T> {
    let endpoint = format!("{}{}", call.address, call.path);
    let (status, body) = fetch(call).await?;
    if status == StatusCode::UNAUTHORIZED {
        return Err(eyre!(
            "{endpoint} rejected the token\n    hint: set WASABISTALL_TOKEN"
        ));
    }
    if !status.is_success() {
        return Err(eyre!("{endpoint} returned {status}"));
    }
    serde_json::from_slice(&body)
        .wrap_err_with(|| format!("{endpoint} returned an invalid response"))
}

#[derive(Deserialize)]
struct LogPage {
    entries: Vec<LogEntry>,
}

/// Fetches the whole configuration log, page by page.
pub(crate) async fn fetch_log(deployment: &Deployment) -> Result<Vec<LogEntry>> {
    let mut log: Vec<LogEntry> = Vec::new();
    loop {
        let path = format!("/v1/log?after={}", log.len());
        let call = HttpCall::get(deployment.configuration, &path, "");
        let page: LogPage = call_json(call).await?;
        if page.entries.is_empty() {
            return Ok(log);
        }
        log.extend(page.entries);
    }
}
