//! Drives one caller's request: sends it where the reducer says, streams the answer back, and
//! reports what happened.

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
    client::{CallFault, CallLimits, HttpClient, WholeAnswer, read_whole},
    core::{CoreHandle, RequestCommand},
    sse::{self, EventBuffer},
    telemetry,
};

/// Longest whole answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Events that may wait for a slow caller.
const ANSWER_QUEUE: usize = 64;
/// Time for an engine to take a cancellation.
const CANCEL_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(1),
    answer_bytes: 1_024,
};
/// Identifies a request to servers, which send it back with the answer.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Error codes with which an engine says that it did not run a request.
const NOT_RUN_CODES: [&str; 2] = ["adapter_not_loaded", "overloaded"];

/// What is sent to a backend server.
pub(crate) enum BackendCall {
    /// A completion.
    Completion {
        /// Path of the engine's API.
        path: &'static str,
        /// The caller's body without the model's name.
        fields: Map<String, Value>,
        /// Whether the answer is streamed.
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

/// What goes back to the caller.
pub(crate) enum CallerReply {
    /// A whole answer.
    Whole(WholeAnswer),
    /// Server-sent events. A broken answer ends with an error event and without `[DONE]`.
    Stream(mpsc::Receiver<Result<Bytes, std::io::Error>>),
    /// A refusal.
    Refusal(RefusalBody),
}

/// Clients that drivers share.
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

/// Why an attempt is given up before its answer begins.
enum Interruption {
    /// The reducer wants it stopped.
    Aborted,
    /// The caller went away.
    CallerGone,
}

/// Why an attempt gave no answer.
struct AttemptFault {
    run: RunState,
    output_tokens: u64,
}

impl AttemptFault {
    fn new(run: RunState) -> AttemptFault {
        AttemptFault {
            run,
            output_tokens: 0,
        }
    }
}

/// Token counts in an engine's answer.
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
                    self.core.tell(Event::CallerDisconnected(self.number)).await;
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

    /// Sends the request to one server. Returns the driver unless the request is over.
    async fn attempt(mut self, order: DispatchOrder) -> Option<RequestDriver> {
        let clients = self.clients.clone();
        let exchange = send_call(&clients, self.number, self.core.life, &self.call, &order);
        let head = tokio::select! {
            head = exchange => head,
            interruption = interrupted(&mut self.commands, &mut self.reply) => {
                return self.give_up(&order, interruption).await;
            }
        };
        let response = match head {
            Ok(response) => response,
            Err(fault) => return self.failed(fault).await,
        };
        match &self.call {
            BackendCall::Completion { stream: true, .. } if response.status().is_success() => {
                self.stream(response, &order).await
            }
            _ => self.whole(response, &order).await,
        }
    }

    /// Stops the attempt at its server. Returns the driver unless the request is over.
    async fn give_up(
        self,
        order: &DispatchOrder,
        interruption: Interruption,
    ) -> Option<RequestDriver> {
        self.cancel(order);
        match interruption {
            Interruption::Aborted => Some(self),
            Interruption::CallerGone => {
                self.core.tell(Event::CallerDisconnected(self.number)).await;
                None
            }
        }
    }

    async fn failed(self, fault: AttemptFault) -> Option<RequestDriver> {
        self.core
            .tell(Event::ResponseFailed {
                request: self.number,
                run: fault.run,
                output_tokens: fault.output_tokens,
            })
            .await;
        Some(self)
    }

    async fn whole(
        mut self,
        response: Response<Incoming>,
        order: &DispatchOrder,
    ) -> Option<RequestDriver> {
        let answer = tokio::select! {
            answer = read_whole(response, MAX_ANSWER_BYTES) => answer,
            interruption = interrupted(&mut self.commands, &mut self.reply) => {
                return self.give_up(order, interruption).await;
            }
        };
        let Ok(answer) = answer else {
            return self.failed(AttemptFault::new(RunState::Unknown)).await;
        };
        let is_completion = matches!(self.call, BackendCall::Completion { .. });
        let mut usage = TokenUsage::default();
        if is_completion {
            if !answer.status.is_success() {
                let run = engine_run_state(&answer.body);
                return self.failed(AttemptFault::new(run)).await;
            }
            match serde_json::from_slice::<UsageBody>(&answer.body) {
                Ok(UsageBody {
                    usage: Some(counted),
                }) => usage = counted,
                Ok(_) => {}
                Err(_) => return self.failed(AttemptFault::new(RunState::Unknown)).await,
            }
        }
        self.core
            .tell(Event::ResponseFinished {
                request: self.number,
                prompt_tokens: is_completion.then_some(usage.prompt_tokens),
                output_tokens: usage.completion_tokens,
            })
            .await;
        let _ = self.reply.send(CallerReply::Whole(answer));
        None
    }

    async fn stream(
        mut self,
        response: Response<Incoming>,
        order: &DispatchOrder,
    ) -> Option<RequestDriver> {
        let mut answer = AnswerStream::new(response, self.clients.stall_timeout);
        let first = tokio::select! {
            first = answer.next() => first,
            interruption = interrupted(&mut self.commands, &mut self.reply) => {
                return self.give_up(order, interruption).await;
            }
        };
        let Ok(Some(first)) = first else {
            return self.failed(AttemptFault::new(RunState::Unknown)).await;
        };
        self.core.tell(Event::ResponseStarted(self.number)).await;
        let (sender, receiver) = mpsc::channel(ANSWER_QUEUE);
        let RequestDriver {
            core,
            clients,
            number,
            mut commands,
            reply,
            ..
        } = self;
        if reply.send(CallerReply::Stream(receiver)).is_err() {
            core.tell(Event::CallerDisconnected(number)).await;
            return None;
        }
        let forward = forward_events(&mut answer, first, &sender);
        let end = tokio::select! {
            end = forward => end,
            refusal = refused(&mut commands) => {
                cancel_at(&clients, order.address, request_id(&clients.instance, core.life, number));
                break_stream(&sender, &refusal).await;
                return None;
            }
        };
        match end {
            StreamEnd::Finished => {
                core.tell(Event::ResponseFinished {
                    request: number,
                    prompt_tokens: answer.usage.map(|usage| usage.prompt_tokens),
                    output_tokens: answer.output_tokens(),
                })
                .await;
            }
            StreamEnd::CallerGone => {
                cancel_at(
                    &clients,
                    order.address,
                    request_id(&clients.instance, core.life, number),
                );
                core.tell(Event::CallerDisconnected(number)).await;
            }
            StreamEnd::Broken => {
                core.tell(Event::ResponseFailed {
                    request: number,
                    run: RunState::Unknown,
                    output_tokens: answer.output_tokens(),
                })
                .await;
                let refusal = refused(&mut commands).await;
                break_stream(&sender, &refusal).await;
            }
        }
        None
    }

    fn cancel(&self, order: &DispatchOrder) {
        if matches!(self.call, BackendCall::Completion { .. }) {
            let id = request_id(&self.clients.instance, self.core.life, self.number);
            cancel_at(&self.clients, order.address, id);
        }
    }
}

/// Waits until the reducer wants the attempt stopped.
async fn aborted(commands: &mut mpsc::Receiver<RequestCommand>) {
    while let Some(command) = commands.recv().await {
        if matches!(command, RequestCommand::Abort) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Waits until an attempt must be given up.
async fn interrupted(
    commands: &mut mpsc::Receiver<RequestCommand>,
    reply: &mut oneshot::Sender<CallerReply>,
) -> Interruption {
    tokio::select! {
        () = aborted(commands) => Interruption::Aborted,
        () = reply.closed() => Interruption::CallerGone,
    }
}

/// Waits until the reducer refuses a request whose answer has begun.
async fn refused(commands: &mut mpsc::Receiver<RequestCommand>) -> RefusalBody {
    while let Some(command) = commands.recv().await {
        if let RequestCommand::Refuse(refusal) = command {
            return RefusalBody::new(refusal.kind, refusal.run, refusal.retry_after);
        }
    }
    std::future::pending().await
}

fn request_id(instance: &str, life: u64, number: RequestNumber) -> String {
    format!("{instance}-{life}-{number}")
}

fn cancel_at(clients: &BackendClients, address: SocketAddr, id: String) {
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
            tracing::debug!(id, "cancellation got no answer");
        }
    });
}

/// Ends a stream so that the caller cannot take it for a whole answer.
async fn break_stream(sender: &mpsc::Sender<Result<Bytes, std::io::Error>>, refusal: &RefusalBody) {
    let body = serde_json::to_string(refusal).unwrap_or_default();
    let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
    let _ = sender.send(Ok(event)).await;
}

enum StreamEnd {
    Finished,
    CallerGone,
    Broken,
}

async fn forward_events(
    answer: &mut AnswerStream,
    first: Bytes,
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> StreamEnd {
    let mut event = first;
    loop {
        if sender.send(Ok(event)).await.is_err() {
            return StreamEnd::CallerGone;
        }
        let next = tokio::select! {
            next = answer.next() => next,
            () = sender.closed() => return StreamEnd::CallerGone,
        };
        event = match next {
            Ok(Some(event)) => event,
            Ok(None) => return StreamEnd::Finished,
            Err(()) => return StreamEnd::Broken,
        };
    }
}

/// The events of a streamed answer.
struct AnswerStream {
    body: Incoming,
    buffer: EventBuffer,
    stall_timeout: Duration,
    started: bool,
    done: bool,
    chunks: u64,
    usage: Option<TokenUsage>,
}

impl AnswerStream {
    fn new(response: Response<Incoming>, stall_timeout: Duration) -> AnswerStream {
        AnswerStream {
            body: response.into_body(),
            buffer: EventBuffer::default(),
            stall_timeout,
            started: false,
            done: false,
            chunks: 0,
            usage: None,
        }
    }

    /// The next event; `None` after the end, `Err` when the stream broke off.
    async fn next(&mut self) -> Result<Option<Bytes>, ()> {
        loop {
            if let Some(event) = self.buffer.next_event() {
                self.note(&event);
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
            None if self.buffer.has_rest() => Err(()),
            None => Ok(None),
        }
    }

    fn note(&mut self, event: &[u8]) {
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

/// Whether an engine's error says that the request did not run.
fn engine_run_state(body: &[u8]) -> RunState {
    match serde_json::from_slice::<EngineError>(body) {
        Ok(error) if NOT_RUN_CODES.contains(&error.error.code.as_str()) => RunState::NotRun,
        _ => RunState::Unknown,
    }
}

/// Sends the call to the server named in the order and waits for the head of its answer.
async fn send_call(
    clients: &BackendClients,
    number: RequestNumber,
    life: u64,
    call: &BackendCall,
    order: &DispatchOrder,
) -> Result<Response<Incoming>, AttemptFault> {
    let id = request_id(&clients.instance, life, number);
    let (client, method, path, mut headers, body) = match call {
        BackendCall::Completion { path, fields, .. } => {
            let mut fields = fields.clone();
            fields.insert("model".into(), Value::String(order.model.to_string()));
            let body =
                serde_json::to_vec(&fields).map_err(|_| AttemptFault::new(RunState::NotRun))?;
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            let priority = match order.price {
                PriceClass::Premium => "0",
                PriceClass::Standard => "1",
            };
            headers.insert(PRIORITY, HeaderValue::from_static(priority));
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
        headers.insert(REQUEST_ID, value);
    }
    headers.insert(DEADLINE, HeaderValue::from(time_left_millis(order)));
    telemetry::inject_context(&mut headers);
    let response = client
        .send(method, order.address, path, &headers, body)
        .await
        .map_err(|fault| {
            AttemptFault::new(match fault {
                CallFault::NotConnected => RunState::NotRun,
                CallFault::Broken | CallFault::TooLong => RunState::Unknown,
            })
        })?;
    if is_foreign(&response, &id) {
        tracing::warn!(id, server = %order.server, "dropped the answer to another request");
        return Err(AttemptFault::new(RunState::Unknown));
    }
    Ok(response)
}

fn time_left_millis(order: &DispatchOrder) -> u64 {
    u64::try_from(order.time_left.as_millis()).unwrap_or(u64::MAX)
}

/// Whether the answer names another request than the one it came for.
fn is_foreign(response: &Response<Incoming>, id: &str) -> bool {
    response
        .headers()
        .get(REQUEST_ID)
        .is_some_and(|answered| answered.as_bytes() != id.as_bytes())
}

/// Status of the answer for metrics.
pub(crate) fn reply_status(reply: &CallerReply) -> StatusCode {
    match reply {
        CallerReply::Whole(answer) => answer.status,
        CallerReply::Stream(_) => StatusCode::OK,
        CallerReply::Refusal(body) => StatusCode::from_u16(body.kind.response().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
