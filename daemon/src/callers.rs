//! HTTP API for callers: completions, plain services, addresses and idempotency keys.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{
        ACCEPT, AUTHORIZATION, CACHE_CONTROL, CONTENT_LENGTH, CONTENT_TYPE, HeaderName,
        HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
    },
};
use poem::{Body, Response, Server, endpoint, listener::TcpAcceptor};
use serde::Serialize;
use serde_json::{Map, Value};
use smol_str::SmolStr;
use tokio::{net::TcpListener, sync::oneshot};
use tracing::Instrument;
use wasabistall_lib::{
    error::{ErrorKind, RefusalBody, RunState},
    event::{CallTarget, CallerRequest},
    key::HashedKey,
    reducer::Reducer,
    settings::{CallerLimits, InstanceSettings},
};

use crate::{
    client::{FullResponse, HttpClient},
    core::CoreHandle,
    driver::{BackendCall, BackendClients, CallerReply, RequestDriver, reply_status},
    telemetry::{self, MetricSet},
};

/// Output tokens reserved when a request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Largest `max_tokens` accepted.
const MAX_TOKENS_LIMIT: u64 = 1_000_000;
/// Prompt bytes per token, for the estimate used until the engine reports its count.
const BYTES_PER_TOKEN: u64 = 4;
/// An oversized body is read and discarded up to this multiple of the limit.
const DRAIN_FACTOR: usize = 4;
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 300;
/// How long open connections may take to close once no request is in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Header with the caller's deadline, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Handle that shuts the callers' server down.
pub(crate) struct ShutdownHandle {
    signal: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl ShutdownHandle {
    /// Stops accepting connections and waits up to [`STOP_TIMEOUT`] for open ones to close.
    pub(crate) async fn stop(self) {
        let _ = self.signal.send(());
        let _ = self.ended.await;
    }
}

/// Returns the callers' server and the handle that shuts it down.
pub(crate) fn serve(
    listener: TcpListener,
    settings: &InstanceSettings,
    core: &CoreHandle,
    metrics: &MetricSet,
) -> (ShutdownHandle, impl Future<Output = ()> + Send + use<>) {
    let service = Arc::new(CallerService {
        limits: settings.limits.clone(),
        core: core.clone(),
        metrics: metrics.clone(),
        clients: BackendClients {
            engines: HttpClient::pooled(),
            services: HttpClient::unpooled(),
            stall_timeout: settings.limits.stall_timeout,
            instance: settings.instance.clone(),
        },
    });
    let endpoint = endpoint::make(move |request| {
        let service = service.clone();
        async move { service.handle(request).await }
    });
    let (signal, stopped) = oneshot::channel();
    let (end, ended) = oneshot::channel();
    let server = async move {
        let acceptor = match TcpAcceptor::from_tokio(listener) {
            Ok(acceptor) => acceptor,
            Err(error) => {
                tracing::error!(%error, "cannot start the callers' server");
                return;
            }
        };
        let stop = async {
            let _ = stopped.await;
        };
        let result = Server::new_with_acceptor(acceptor)
            .run_with_graceful_shutdown(endpoint, stop, Some(STOP_TIMEOUT))
            .await;
        if let Err(error) = result {
            tracing::error!(%error, "the callers' server failed");
        }
        let _ = end.send(());
    };
    (ShutdownHandle { signal, ended }, server)
}

struct CallerService {
    limits: CallerLimits,
    core: CoreHandle,
    metrics: MetricSet,
    clients: BackendClients,
}

/// A parsed request with the token counts that admission needs.
struct ParsedCall {
    target: CallTarget,
    call: BackendCall,
    prompt_tokens: u64,
    max_tokens: u64,
}

impl CallerService {
    async fn handle(self: Arc<Self>, request: poem::Request) -> Response {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if method == Method::GET && path == "/v1/addresses" {
            return self.addresses(&request).await;
        }
        if method == Method::POST && path == "/v1/idempotency-keys" {
            return self.issue_key().await;
        }
        let started = Instant::now();
        let span = tracing::info_span!("caller", otel.kind = "server", %method, path);
        telemetry::set_parent(&span, request.headers());
        let guard = OpenRequestGuard::new(&self.core);
        let reply = self.serve(request, guard).instrument(span).await;
        let kind = match &reply {
            CallerReply::Refusal(body) => body.kind.name(),
            _ => SmolStr::default(),
        };
        let status = reply_status(&reply);
        self.metrics
            .record_response(status.as_u16(), &kind, started.elapsed());
        into_response(reply)
    }

    async fn addresses(&self, request: &poem::Request) -> Response {
        let data_centre = query_value(request, "data_centre");
        let caller = request
            .remote_addr()
            .as_socket_addr()
            .map(|address| address.ip().to_string())
            .unwrap_or_default();
        let list = self
            .core
            .query(move |reducer| reducer.addresses(data_centre.as_deref(), &caller))
            .await;
        json_response(list)
    }

    /// Issues an idempotency key, which only this instance accepts.
    async fn issue_key(&self) -> Response {
        let random = rand::random();
        let issue = move |reducer: &Reducer| reducer.issue_idempotency_key(random);
        json_response(self.core.query(issue).await)
    }

    async fn serve(&self, mut request: poem::Request, guard: OpenRequestGuard) -> CallerReply {
        if header_bytes(request.headers()) > self.limits.header_bytes {
            return refusal(ErrorKind::HeadersTooLarge);
        }
        if is_ambiguous(&request) {
            return refusal(ErrorKind::MalformedRequest);
        }
        let body = match self.read_body(&mut request).await {
            Ok(body) => body,
            Err(kind) => return refusal(kind),
        };
        let parsed = match parse_call(&request, body) {
            Ok(parsed) => parsed,
            Err(kind) => return refusal(kind),
        };
        let Some(timeout) = self.timeout(request.headers()) else {
            return refusal(ErrorKind::MalformedRequest);
        };
        let caller_request = CallerRequest {
            number: 0,
            target: parsed.target,
            key: bearer_key(request.headers()),
            prompt_tokens: parsed.prompt_tokens,
            max_tokens: parsed.max_tokens,
            timeout,
            idempotency_key: idempotency_key(request.headers()),
            trace: telemetry::current_traceparent(),
        };
        let Some(opened) = self.core.open_request(caller_request).await else {
            return refusal(ErrorKind::ShuttingDown);
        };
        let (sender, receiver) = oneshot::channel();
        let driver = RequestDriver {
            core: self.core.clone(),
            clients: self.clients.clone(),
            number: opened.number,
            commands: opened.commands,
            call: parsed.call,
            reply: sender,
        };
        let run = async move {
            driver.drive().await;
            drop(guard);
        };
        tokio::spawn(run.instrument(tracing::Span::current()));
        receiver.await.unwrap_or_else(|_| {
            let body = RefusalBody::new(ErrorKind::InternalFault, RunState::Unknown, None);
            CallerReply::Refusal(body)
        })
    }

    async fn read_body(&self, request: &mut poem::Request) -> Result<Bytes, ErrorKind> {
        let body = request.take_body().into_bytes_stream();
        let read = collect_body(body, self.limits.body_bytes);
        tokio::time::timeout(self.limits.body_timeout, read)
            .await
            .unwrap_or(Err(ErrorKind::BodyTimeout))
    }

    /// The caller's timeout, capped at the limit; `None` when the header is not a number.
    fn timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        let Some(value) = headers.get(&DEADLINE_HEADER) else {
            return Some(self.limits.default_deadline);
        };
        let millis: u64 = value.to_str().ok()?.parse().ok()?;
        Some(Duration::from_millis(millis).min(self.limits.max_deadline))
    }
}

/// Counts a request as open until the guard is dropped.
struct OpenRequestGuard {
    core: CoreHandle,
}

impl OpenRequestGuard {
    fn new(core: &CoreHandle) -> OpenRequestGuard {
        core.shared.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequestGuard { core: core.clone() }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.core
            .shared
            .open_requests
            .fetch_sub(1, Ordering::AcqRel);
    }
}

/// Collects a body of at most `limit` bytes.
///
/// The rest of a longer body is read and discarded up to [`DRAIN_FACTOR`] times the limit: a caller
/// that is still sending when the connection closes may never see the refusal.
async fn collect_body(
    mut body: impl Stream<Item = std::io::Result<Bytes>> + Unpin,
    limit: usize,
) -> Result<Bytes, ErrorKind> {
    let mut collected = BytesMut::new();
    let mut length = 0;
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|_| ErrorKind::MalformedRequest)?;
        length += chunk.len();
        if length > limit * DRAIN_FACTOR {
            break;
        }
        if length <= limit {
            collected.extend_from_slice(&chunk);
        }
    }
    if length > limit {
        return Err(ErrorKind::BodyTooLarge);
    }
    Ok(collected.freeze())
}

/// A JSON response with caching disabled.
fn json_response<T: Serialize>(value: Option<T>) -> Response {
    match value.and_then(|value| serde_json::to_vec(&value).ok()) {
        Some(body) => Response::builder()
            .header(CONTENT_TYPE, "application/json")
            .header(CACHE_CONTROL, "no-store")
            .body(body),
        None => into_response(refusal(ErrorKind::InternalFault)),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Option<SmolStr> {
    let value = headers.get(&IDEMPOTENCY_KEY_HEADER)?.to_str().ok()?;
    (value.len() <= MAX_IDEMPOTENCY_KEY_BYTES).then(|| value.into())
}

/// A refusal of a request that was not sent to any server.
fn refusal(kind: ErrorKind) -> CallerReply {
    CallerReply::Refusal(RefusalBody::new(kind, RunState::NotRun, None))
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Whether backend servers could interpret the request differently than this instance does.
fn is_ambiguous(request: &poem::Request) -> bool {
    let headers = request.headers();
    let has_both_lengths =
        headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING);
    let keys = headers.get_all(AUTHORIZATION).iter().count();
    has_both_lengths || keys > 1 || has_ambiguous_path(request.uri().path())
}

/// Whether a path contains empty or dot segments, escapes, or bytes that servers may interpret
/// differently.
fn has_ambiguous_path(path: &str) -> bool {
    let is_ambiguous_byte =
        |byte: u8| matches!(byte, b'%' | b'\\' | b';') || byte.is_ascii_control();
    let is_ambiguous_segment = |segment: &str| matches!(segment, "" | "." | "..");
    path.bytes().any(is_ambiguous_byte) || path.split('/').skip(1).any(is_ambiguous_segment)
}

fn query_value(request: &poem::Request, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.to_owned())
    })
}

fn bearer_key(headers: &HeaderMap) -> Result<Option<HashedKey>, ()> {
    let Some(value) = headers.get(AUTHORIZATION) else {
        return Ok(None);
    };
    let token = value
        .to_str()
        .ok()
        .and_then(|value| value.strip_prefix("Bearer "));
    token.and_then(HashedKey::parse).map(Some).ok_or(())
}

fn parse_call(request: &poem::Request, body: Bytes) -> Result<ParsedCall, ErrorKind> {
    let path = request.uri().path();
    let completion = match path {
        "/v1/completions" => Some("/v1/completions"),
        "/v1/chat/completions" => Some("/v1/chat/completions"),
        _ => None,
    };
    match completion {
        Some(path) if request.method() == Method::POST => parse_completion(path, &body),
        Some(_) => Err(ErrorKind::UnknownRoute),
        None => parse_service(request, body),
    }
}

fn parse_completion(path: &'static str, body: &[u8]) -> Result<ParsedCall, ErrorKind> {
    let malformed = ErrorKind::MalformedRequest;
    let mut fields: Map<String, Value> = serde_json::from_slice(body).map_err(|_| malformed)?;
    let Some(Value::String(model)) = fields.remove("model") else {
        return Err(malformed);
    };
    let prompt = match path {
        "/v1/completions" => fields.get("prompt").and_then(Value::as_str),
        _ => None,
    };
    let prompt_bytes = match (prompt, fields.get("messages").and_then(Value::as_array)) {
        (Some(prompt), _) => prompt.len(),
        (None, Some(messages)) if !messages.is_empty() => message_bytes(messages)?,
        _ => return Err(malformed),
    };
    let stream = match fields.get("stream") {
        None => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(malformed),
    };
    let max_tokens = match fields.get("max_tokens") {
        None => DEFAULT_MAX_TOKENS,
        Some(value) => value.as_u64().ok_or(malformed)?,
    };
    if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        return Err(malformed);
    }
    fields.insert("max_tokens".into(), Value::from(max_tokens));
    Ok(ParsedCall {
        target: CallTarget::Model(model.into()),
        call: BackendCall::Completion {
            path,
            fields,
            stream,
        },
        prompt_tokens: (prompt_bytes as u64).div_ceil(BYTES_PER_TOKEN),
        max_tokens,
    })
}

fn message_bytes(messages: &[Value]) -> Result<usize, ErrorKind> {
    messages.iter().try_fold(0, |bytes, message| {
        let content = message.get("content").and_then(Value::as_str);
        let content = content.ok_or(ErrorKind::MalformedRequest)?;
        Ok(bytes + content.len())
    })
}

fn parse_service(request: &poem::Request, body: Bytes) -> Result<ParsedCall, ErrorKind> {
    let rest = request
        .uri()
        .path()
        .strip_prefix("/services/")
        .ok_or(ErrorKind::UnknownRoute)?;
    let (service, path) = match rest.find('/') {
        Some(position) => rest.split_at(position),
        None => (rest, "/"),
    };
    let mut headers = HeaderMap::new();
    for name in [CONTENT_TYPE, ACCEPT, IDEMPOTENCY_KEY_HEADER] {
        if let Some(value) = request.headers().get(&name) {
            headers.insert(name, value.clone());
        }
    }
    let full_path = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok(ParsedCall {
        target: CallTarget::Service {
            service: service.into(),
            method: SmolStr::new(request.method().as_str()),
            path: path.into(),
        },
        call: BackendCall::Service {
            method: request.method().clone(),
            path: full_path,
            headers,
            body,
        },
        prompt_tokens: 0,
        max_tokens: 0,
    })
}

fn into_response(reply: CallerReply) -> Response {
    let status = reply_status(&reply);
    match reply {
        CallerReply::Full(response) => full_response(response),
        CallerReply::Stream(receiver) => {
            let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
                receiver.recv().await.map(|event| (event, receiver))
            });
            Response::builder()
                .header(CONTENT_TYPE, "text/event-stream")
                .header(CACHE_CONTROL, "no-store")
                .body(Body::from_bytes_stream(stream))
        }
        CallerReply::Refusal(body) => {
            let mut builder = Response::builder()
                .status(status)
                .header(CONTENT_TYPE, "application/json");
            if let Some(delay) = body.retry_after {
                let seconds = delay.as_millis().div_ceil(1_000);
                builder = builder.header(RETRY_AFTER, seconds.to_string());
            }
            builder.body(serde_json::to_vec(&body).unwrap_or_default())
        }
    }
}

fn full_response(upstream: FullResponse) -> Response {
    let mut response = Response::builder()
        .status(upstream.status)
        .body(upstream.body);
    for name in [CONTENT_TYPE, CACHE_CONTROL] {
        if let Some(value) = upstream.headers.get(&name) {
            let value: &HeaderValue = value;
            response.headers_mut().insert(name, value.clone());
        }
    }
    if upstream.status == StatusCode::NO_CONTENT {
        response.headers_mut().remove(CONTENT_TYPE);
    }
    response
}
