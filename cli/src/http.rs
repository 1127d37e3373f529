//! HTTP calls to the platform and the instances.

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

/// One request.
pub(crate) struct HttpCall<'a> {
    pub(crate) method: Method,
    pub(crate) address: SocketAddr,
    pub(crate) path: &'a str,
    pub(crate) token: &'a str,
    pub(crate) body: Vec<u8>,
}

impl<'a> HttpCall<'a> {
    /// A GET request.
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

/// Sends a request and returns the head of the answer.
pub(crate) async fn open(call: HttpCall<'_>) -> Result<Response<Incoming>> {
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
        .wrap_err_with(|| format!("{} does not answer", call.address))
}

/// Sends a request and reads the answer as JSON.
pub(crate) async fn call_json<T: DeserializeOwned>(call: HttpCall<'_>) -> Result<T> {
    let what = format!("{}{}", call.address, call.path);
    let exchange = async {
        let response = open(call).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        eyre::Ok((status, body))
    };
    let (status, body) = tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| eyre!("{what} does not answer"))??;
    if status == StatusCode::UNAUTHORIZED {
        return Err(eyre!(
            "{what} refused the token\n    hint: set WASABISTALL_TOKEN"
        ));
    }
    if !status.is_success() {
        return Err(eyre!("{what} answered {status}"));
    }
    serde_json::from_slice(&body).wrap_err_with(|| format!("{what} answered nonsense"))
}

#[derive(Deserialize)]
struct LogPage {
    entries: Vec<LogEntry>,
}

/// Reads the whole configuration log from the platform.
pub(crate) async fn read_log(deployment: &Deployment) -> Result<Vec<LogEntry>> {
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
