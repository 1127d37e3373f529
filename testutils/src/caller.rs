//! HTTP client for tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response,
    body::Incoming,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// A response, up to where its body ended or broke off.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// HTTP status; 0 when there was no response.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// The body, with invalid UTF-8 replaced.
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl TestResponse {
    /// The body as JSON; null when it does not parse.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of a completion, streamed or not.
    pub fn text(&self) -> String {
        if let Some(text) = self.json()["choices"][0]["text"].as_str() {
            return text.to_owned();
        }
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }

    /// Status and body on one line, for snapshots.
    pub fn line(&self) -> String {
        format!("{} {}", self.status, self.body)
    }
}

/// Sends requests with fixed headers, each on a new connection.
#[derive(Clone)]
pub struct TestCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    headers: HeaderMap,
}

impl TestCaller {
    /// A caller that sends no key.
    pub fn anonymous() -> TestCaller {
        TestCaller {
            client: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .build_http(),
            headers: HeaderMap::new(),
        }
    }

    /// A caller that sends `token` as the bearer token of each request.
    pub fn with_token(token: &str) -> TestCaller {
        TestCaller::anonymous().with_header("authorization", &format!("Bearer {token}"))
    }

    /// The same caller with one more header.
    ///
    /// # Panics
    ///
    /// Panics when the name or the value is not valid in a header.
    pub fn with_header(mut self, name: &str, value: &str) -> TestCaller {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        let mut value = HeaderValue::from_str(value).unwrap();
        value.set_sensitive(name == AUTHORIZATION);
        self.headers.append(name, value);
        self
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// Returns `None` when there is no response.
    pub async fn open(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Option<Response<Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body.into()))
            .ok()?;
        request.headers_mut().extend(self.headers.clone());
        self.client.request(request).await.ok()
    }

    /// Sends a request and reads the response.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> TestResponse {
        let Some(response) = self.open(method, address, path, body).await else {
            return TestResponse {
                status: 0,
                headers: HeaderMap::new(),
                body: String::new(),
                complete: false,
            };
        };
        read_response(response).await
    }

    /// Sends a `GET` request without a body.
    pub async fn get(&self, address: SocketAddr, path: &str) -> TestResponse {
        self.call(Method::GET, address, path, Bytes::new()).await
    }

    /// Sends a `POST` request with a JSON body.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> TestResponse {
        self.call(Method::POST, address, path, body.to_string())
            .await
    }
}

/// Reads the body up to its end or the first error.
async fn read_response(response: Response<Incoming>) -> TestResponse {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    TestResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        complete,
    }
}
