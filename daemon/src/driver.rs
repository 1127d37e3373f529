//! Drives one caller's request: sends it to the server that the reducer selects, relays the
//! response and reports the outcome to the reducer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use serde::Deserialize;
use serde_json::{Map, Value};
use tokio::sync::{mpsc, oneshot};
use tracing::Instrument;
use wasabistall_lib::{
    config::PriceClass,
    error::{ErrorKind, RefusalBody, RunState},
    event::{DispatchOrder, Event, RequestNumber},
};

use crate::{
    client::{CallError, CallLimits, FullResponse, HttpClient, read_full_response},
    core::{CoreHandle, RequestCommand},
    sse::{self, EventBuffer},
    telemetry,
};

/// Largest response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Number of events buffered for a slow caller.
const STREAM_QUEUE_CAPACITY: usize = 64;
/// Limits on a cancellation call to an engine.
const CANCEL_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(1),
    max_response_bytes: 1_024,
};
/// Header with the request id, which servers echo in the response.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Engine error codes which state that the request did not run.
const NOT_RUN_CODES: [&str; 2] = ["adapter_not_loaded", "overloaded"];

/// A call to a backend server.
pub(crate) enum BackendCall {
    /// A completion.
    Completion {
        /// Path of the engine's API.
        path: &'static str,
        /// Fields of the caller's body, without `model`.
        fields: Map<String, Value>,
        /// Whether the response is streamed.
        stream: bool,
    },
    /// A call of a plain service.
    Service {
        method: Method,
        path: String,
        headers: HeaderMap,
        body: Bytes,
    },
}

/// The reply to a caller.
pub(crate) enum CallerReply {
    /// A complete response.
    Full(FullResponse),
    /// Server-sent events. An interrupted stream ends with an error event and without `[DONE]`.
    Stream(mpsc::Receiver<Result<Bytes, std::io::Error>>),
    /// A refusal.
    Refusal(RefusalBody),
}

/// HTTP clients and settings shared by all drivers.
#[derive(Clone)]
pub(crate) struct BackendClients {
    pub(crate) engines: HttpClient,
    pub(crate) services: HttpClient,
    pub(crate) stall_timeout: Duration,
    pub(crate) instance: smol_str::SmolStr,
}

/// Drives one request.
pub(crate) struct RequestDriver {
    pub(crate) core: CoreHandle,
    pub(crate) clients: BackendClients,
    pub(crate) number: RequestNumber,
    pub(crate) commands: mpsc::Receiver<RequestCommand>,
    pub(crate) call: BackendCall,
    pub(crate) reply: oneshot::Sender<CallerReply>,
}

/// Why an attempt is abandoned before its response starts.
enum Interruption {
    /// The reducer aborted it.
    Aborted,
    /// The caller disconnected.
    CallerDisconnected,
}

/// An attempt that failed without a response.
struct AttemptError {
    run: RunState,
    output_tokens: u64,
}

impl AttemptError {
    fn new(run: RunState) -> AttemptError {
        AttemptError {
            run,
            output_tokens: 0,
        }
    }
}

/// Token counts reported by an engine.
#[derive(Clone, Copy, Default, Deserialize)]
struct TokenUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

#[derive(Deserialize)]
struct UsageBody {
    usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct EngineError {
    error: EngineErrorBody,
}

#[derive(Deserialize)]
struct EngineErrorBody {
    code: String,
}

impl RequestDriver {
    /// Runs until the request is over.
    pub(crate) async fn drive(mut self) {
        loop {
            let command = tokio::select! {
                command = self.commands.recv() => command,
                () = self.reply.closed() => {
                    self.core.send_event(Event::CallerDisconnected(self.number)).await;
                    return;
                }
            };
            match command {
                Some(RequestCommand::Dispatch(order)) => {
                    let span = tracing::info_span!(
                        "engine",
                        otel.kind = "client",
                        server = %order.server,
                        model = %order.model,
                        request = self.number,
                    );
                    match self.attempt(order).instrument(span).await {
                        Some(driver) => self = driver,
                        None => return,
                    }
                }
                Some(RequestCommand::Refuse(refusal)) => {
                    let body = RefusalBody::new(refusal.kind, refusal.run, refusal.retry_after);
                    let _ = self.reply.send(CallerReply::Refusal(body));
                    return;
                }
                Some(RequestCommand::Abort) => {}
                None => {
                    let body = RefusalBody::new(ErrorKind::InternalFault, RunState::Unknown, None);
                    let _ = self.reply.send(CallerReply::Refusal(body));
                    return;
                }
            }
        }
    }

    /// Makes one attempt to send the request. Returns the driver unless the request is over.
    async fn attempt(mut self, order: DispatchOrder) -> Option<RequestDriver> {
        let clients = self.clients.clone();
        let send = send_call(
            &clients,
            self.number,
            self.core.incarnation,
            &self.call,
            &order,
        );
        let result = tokio::select! {
            result = send => result,
            interruption = wait_for_interruption(&mut self.commands, &mut self.reply) => {
                return self.abandon(&order, interruption).await;
            }
        };
        let response = match result {
            Ok(response) => response,
            Err(error) => return self.report_failure(error).await,
        };
        match &self.call {
            BackendCall::Completion { stream: true, .. } if response.status().is_success() => {
                self.relay_stream(response, &order).await
            }
            _ => self.relay_full(response, &order).await,
        }
    }

    /// Cancels the attempt at its server. Returns the driver unless the request is over.
    async fn abandon(
        self,
        order: &DispatchOrder,
        interruption: Interruption,
    ) -> Option<RequestDriver> {
        self.cancel_attempt(order);
        match interruption {
            Interruption::Aborted => Some(self),
            Interruption::CallerDisconnected => {
                self.core
                    .send_event(Event::CallerDisconnected(self.number))
                    .await;
                None
            }
        }
    }

    async fn report_failure(self, error: AttemptError) -> Option<RequestDriver> {
        self.core
            .send_event(Event::ResponseFailed {
                request: self.number,
                run: error.run,
                output_tokens: error.output_tokens,
            })
            .await;
        Some(self)
    }

    async fn relay_full(
        mut self,
        response: Response<Incoming>,
        order: &DispatchOrder,
    ) -> Option<RequestDriver> {
        let response = tokio::select! {
            response = read_full_response(response, MAX_RESPONSE_BYTES) => response,
            interruption = wait_for_interruption(&mut self.commands, &mut self.reply) => {
                return self.abandon(order, interruption).await;
            }
        };
        let Ok(response) = response else {
            return self
                .report_failure(AttemptError::new(RunState::Unknown))
                .await;
        };
        let is_completion = matches!(self.call, BackendCall::Completion { .. });
        let mut usage = TokenUsage::default();
        if is_completion {
            if !response.status.is_success() {
                let run = engine_run_state(&response.body);
                return self.report_failure(AttemptError::new(run)).await;
            }
            match serde_json::from_slice::<UsageBody>(&response.body) {
                Ok(UsageBody {
                    usage: Some(counted),
                }) => usage = counted,
                Ok(_) => {}
                Err(_) => {
                    return self
                        .report_failure(AttemptError::new(RunState::Unknown))
                        .await;
                }
            }
        }
        self.core
            .send_event(Event::ResponseFinished {
                request: self.number,
                prompt_tokens: is_completion.then_some(usage.prompt_tokens),
                output_tokens: usage.completion_tokens,
            })
            .await;
        let _ = self.reply.send(CallerReply::Full(response));
        None
    }

    async fn relay_stream(
        mut self,
        response: Response<Incoming>,
        order: &DispatchOrder,
    ) -> Option<RequestDriver> {
        let mut stream = ResponseStream::new(response, self.clients.stall_timeout);
        let first = tokio::select! {
            first = stream.next() => first,
            interruption = wait_for_interruption(&mut self.commands, &mut self.reply) => {
                return self.abandon(order, interruption).await;
            }
        };
        let Ok(Some(first)) = first else {
            return self
                .report_failure(AttemptError::new(RunState::Unknown))
                .await;
        };
        self.core
            .send_event(Event::ResponseStarted(self.number))
            .await;
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CAPACITY);
        let RequestDriver {
            core,
            clients,
            number,
            mut commands,
            reply,
            ..
        } = self;
        if reply.send(CallerReply::Stream(receiver)).is_err() {
            core.send_event(Event::CallerDisconnected(number)).await;
            return None;
        }
        let forward = forward_events(&mut stream, first, &sender);
        let end = tokio::select! {
            end = forward => end,
            refusal = wait_for_refusal(&mut commands) => {
                cancel_request(&clients, order.address, request_id(&clients.instance, core.incarnation, number));
                send_error_event(&sender, &refusal).await;
                return None;
            }
        };
        match end {
            StreamEnd::Finished => {
                core.send_event(Event::ResponseFinished {
                    request: number,
                    prompt_tokens: stream.usage.map(|usage| usage.prompt_tokens),
                    output_tokens: stream.output_tokens(),
                })
                .await;
            }
            StreamEnd::CallerDisconnected => {
                cancel_request(
                    &clients,
                    order.address,
                    request_id(&clients.instance, core.incarnation, number),
                );
                core.send_event(Event::CallerDisconnected(number)).await;
            }
            StreamEnd::Broken => {
                core.send_event(Event::ResponseFailed {
                    request: number,
                    run: RunState::Unknown,
                    output_tokens: stream.output_tokens(),
                })
                .await;
                let refusal = wait_for_refusal(&mut commands).await;
                send_error_event(&sender, &refusal).await;
            }
        }
        None
    }

    fn cancel_attempt(&self, order: &DispatchOrder) {
        if matches!(self.call, BackendCall::Completion { .. }) {
            let id = request_id(&self.clients.instance, self.core.incarnation, self.number);
            cancel_request(&self.clients, order.address, id);
        }
    }
}

/// Waits until the reducer aborts the attempt.
async fn wait_for_abort(commands: &mut mpsc::Receiver<RequestCommand>) {
    while let Some(command) = commands.recv().await {
        if matches!(command, RequestCommand::Abort) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Waits until the reducer aborts the attempt or the caller disconnects.
async fn wait_for_interruption(
    commands: &mut mpsc::Receiver<RequestCommand>,
    reply: &mut oneshot::Sender<CallerReply>,
) -> Interruption {
    tokio::select! {
        () = wait_for_abort(commands) => Interruption::Aborted,
        () = reply.closed() => Interruption::CallerDisconnected,
    }
}

/// Waits until the reducer refuses a request whose response has started.
async fn wait_for_refusal(commands: &mut mpsc::Receiver<RequestCommand>) -> RefusalBody {
    while let Some(command) = commands.recv().await {
        if let RequestCommand::Refuse(refusal) = command {
            return RefusalBody::new(refusal.kind, refusal.run, refusal.retry_after);
        }
    }
    std::future::pending().await
}

fn request_id(instance: &str, incarnation: u64, number: RequestNumber) -> String {
    format!("{instance}-{incarnation}-{number}")
}

fn cancel_request(clients: &BackendClients, address: SocketAddr, id: String) {
    let client = clients.engines.clone();
    tokio::spawn(async move {
        let path = format!("/admin/cancel/{id}");
        let headers = HeaderMap::new();
        let call = client.call(
            Method::POST,
            address,
            &path,
            &headers,
            Bytes::new(),
            CANCEL_LIMITS,
        );
        if call.await.is_err() {
            tracing::debug!(id, "cancellation failed");
        }
    });
}

/// Ends a stream with an error event, so that the caller does not take it for complete.
async fn send_error_event(
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
    refusal: &RefusalBody,
) {
    let body = serde_json::to_string(refusal).unwrap_or_default();
    let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
    let _ = sender.send(Ok(event)).await;
}

enum StreamEnd {
    Finished,
    CallerDisconnected,
    Broken,
}

async fn forward_events(
    stream: &mut ResponseStream,
    first: Bytes,
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> StreamEnd {
    let mut event = first;
    loop {
        if sender.send(Ok(event)).await.is_err() {
            return StreamEnd::CallerDisconnected;
        }
        let next = tokio::select! {
            next = stream.next() => next,
            () = sender.closed() => return StreamEnd::CallerDisconnected,
        };
        event = match next {
            Ok(Some(event)) => event,
            Ok(None) => return StreamEnd::Finished,
            Err(()) => return StreamEnd::Broken,
        };
    }
}

/// The events of a streamed response.
struct ResponseStream {
    body: Incoming,
    buffer: EventBuffer,
    stall_timeout: Duration,
    started: bool,
    done: bool,
    chunks: u64,
    usage: Option<TokenUsage>,
}

impl ResponseStream {
    fn new(response: Response<Incoming>, stall_timeout: Duration) -> ResponseStream {
        ResponseStream {
            body: response.into_body(),
            buffer: EventBuffer::default(),
            stall_timeout,
            started: false,
            done: false,
            chunks: 0,
            usage: None,
        }
    }

    /// Returns the next event; `None` after the end, `Err` when the stream was interrupted.
    async fn next(&mut self) -> Result<Option<Bytes>, ()> {
        loop {
            if let Some(event) = self.buffer.next_event() {
                self.record_event(&event);
                self.started = true;
                return Ok(Some(event));
            }
            if self.done {
                return Ok(None);
            }
            match self.read().await {
                Ok(Some(bytes)) => self.buffer.push(&bytes).map_err(|_| ())?,
                Ok(None) => return Err(()),
                Err(()) => return Err(()),
            }
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, ()> {
        let frame = self.body.frame();
        let frame = if self.started {
            tokio::time::timeout(self.stall_timeout, frame)
                .await
                .map_err(|_| ())?
        } else {
            frame.await
        };
        match frame {
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(_)) => Err(()),
            None if self.buffer.has_partial_event() => Err(()),
            None => Ok(None),
        }
    }

    fn record_event(&mut self, event: &[u8]) {
        let Some(data) = sse::event_data(event) else {
            return;
        };
        if sse::is_done(data) {
            self.done = true;
            return;
        }
        match serde_json::from_slice::<UsageBody>(data) {
            Ok(UsageBody { usage: Some(usage) }) => self.usage = Some(usage),
            _ => self.chunks += 1,
        }
    }

    fn output_tokens(&self) -> u64 {
        self.usage
            .map_or(self.chunks, |usage| usage.completion_tokens)
    }
}

/// Tells from an engine's error whether the request ran.
fn engine_run_state(body: &[u8]) -> RunState {
    match serde_json::from_slice::<EngineError>(body) {
        Ok(error) if NOT_RUN_CODES.contains(&error.error.code.as_str()) => RunState::NotRun,
        _ => RunState::Unknown,
    }
}

/// Sends the call to the server of the dispatch and waits for the response head.
async fn send_call(
    clients: &BackendClients,
    number: RequestNumber,
    incarnation: u64,
    call: &BackendCall,
    order: &DispatchOrder,
) -> Result<Response<Incoming>, AttemptError> {
    let id = request_id(&clients.instance, incarnation, number);
    let (client, method, path, mut headers, body) = match call {
        BackendCall::Completion { path, fields, .. } => {
            let mut fields = fields.clone();
            fields.insert("model".into(), Value::String(order.model.to_string()));
            let body =
                serde_json::to_vec(&fields).map_err(|_| AttemptError::new(RunState::NotRun))?;
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            let priority = match order.price {
                PriceClass::Premium => "0",
                PriceClass::Standard => "1",
            };
            headers.insert(PRIORITY_HEADER, HeaderValue::from_static(priority));
            let client = &clients.engines;
            (client, Method::POST, *path, headers, Bytes::from(body))
        }
        BackendCall::Service {
            method,
            path,
            headers,
            body,
        } => {
            let client = &clients.services;
            let path = path.as_str();
            (client, method.clone(), path, headers.clone(), body.clone())
        }
    };
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    headers.insert(DEADLINE_HEADER, HeaderValue::from(time_left_millis(order)));
    telemetry::inject_context(&mut headers);
    let response = client
        .send(method, order.address, path, &headers, body)
        .await
        .map_err(|error| {
            AttemptError::new(match error {
                CallError::NotConnected => RunState::NotRun,
                CallError::Broken | CallError::TooLong => RunState::Unknown,
            })
        })?;
    if is_for_other_request(&response, &id) {
        tracing::warn!(id, server = %order.server, "dropped the response to another request");
        return Err(AttemptError::new(RunState::Unknown));
    }
    Ok(response)
}

fn time_left_millis(order: &DispatchOrder) -> u64 {
    u64::try_from(order.time_left.as_millis()).unwrap_or(u64::MAX)
}

/// Whether the response carries the id of another request.
fn is_for_other_request(response: &Response<Incoming>, id: &str) -> bool {
    response
        .headers()
        .get(REQUEST_ID_HEADER)
        .is_some_and(|value| value.as_bytes() != id.as_bytes())
}

/// HTTP status of a reply.
pub(crate) fn reply_status(reply: &CallerReply) -> StatusCode {
    match reply {
        CallerReply::Full(response) => response.status,
        CallerReply::Stream(_) => StatusCode::OK,
        CallerReply::Refusal(body) => StatusCode::from_u16(body.kind.response().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
