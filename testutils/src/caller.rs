//! A caller of the system.

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

/// An answer, read as far as it came.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// HTTP status; 0 when no answer came.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: String,
    /// Whether the body came to a proper end.
    pub complete: bool,
}

impl TestResponse {
    /// The body as JSON; null when it is not.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of a streamed or whole completion.
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

/// Sends requests with an optional key.
#[derive(Clone)]
pub struct TestCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    headers: HeaderMap,
}

impl TestCaller {
    /// A caller without a key.
    pub fn anonymous() -> TestCaller {
        TestCaller {
            client: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .build_http(),
            headers: HeaderMap::new(),
        }
    }

    /// A caller that shows `token` with each request.
    pub fn with_token(token: &str) -> TestCaller {
        TestCaller::anonymous().with_header("authorization", &format!("Bearer {token}"))
    }

    /// The same caller with one more header.
    ///
    /// # Panics
    ///
    /// Panics when name or value cannot stand in a header.
    pub fn with_header(mut self, name: &str, value: &str) -> TestCaller {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        let mut value = HeaderValue::from_str(value).unwrap();
        value.set_sensitive(name == AUTHORIZATION);
        self.headers.append(name, value);
        self
    }

    /// Sends a request and returns the head of the answer.
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

    /// Sends a request and reads the whole answer.
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
        read_answer(response).await
    }

    /// Fetches a path.
    pub async fn get(&self, address: SocketAddr, path: &str) -> TestResponse {
        self.call(Method::GET, address, path, Bytes::new()).await
    }

    /// Posts a JSON body.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> TestResponse {
        self.call(Method::POST, address, path, body.to_string())
            .await
    }
}

/// Reads an answer to its end, or as far as it comes.
async fn read_answer(response: Response<Incoming>) -> TestResponse {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    TestResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        complete: whole,
    }
}
