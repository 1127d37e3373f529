//! Serves callers' requests; each gets exactly one final response.

use std::{
    convert::Infallible,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::TryStreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Method, Request, Response, StatusCode, Uri,
    body::{Frame, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};
use tokio_io_timeout::TimeoutStream;
use tokio_util::task::TaskTracker;
use twox_hash::XxHash3_64;
use wasabistall_lib::{
    error::{ErrorKind, RefusalBody, RunState},
    gateway::{
        catalog::CallerBounds,
        event::{
            AttemptEnd, AttemptStats, GatewayEvent, GatewayRefusal, GatewayRequest, RequestNumber,
        },
    },
};
use wasabistall_platform::{headers::decode_request, response::caller_response_headers};

use super::{
    core::{CommandReceiver, GatewayCore, RequestCommand},
    forward::{AttemptResult, CallerCall, ServerResponse, StreamResponse, StreamRest, run_attempt},
    held::{BodyError, HeldBody, read_body},
    listen,
    resume::{ResumeBuffer, ResumeError},
};
use crate::sse::EventTail;

/// Limits used until a configuration is known.
const DEFAULT_BOUNDS: CallerBounds = CallerBounds {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    idle_time: Duration::from_secs(15),
};
/// Added to the idle time, so that a request sent at the end of it is still read.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Number of stream chunks buffered for a slow caller.
const STREAM_QUEUE_CAPACITY: usize = 16;
/// Time without progress after which a caller that doesn't read its response is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest body that is read, and ignored, of a request that its head decides, in bytes. A caller
/// may miss a response that arrives while it still sends.
const MAX_IGNORED_BYTES: usize = 64 * 1024;
/// Time for that.
const IGNORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay for a caller whose body found no memory.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_millis(200);

type CallerBody = BoxBody<Bytes, io::Error>;

/// Accepts callers' connections until they are to be closed; `connections` tracks their tasks.
pub(super) async fn serve(listener: TcpListener, core: Arc<GatewayCore>, connections: TaskTracker) {
    let on_connect = |stream| {
        connections.spawn(serve_connection(stream, core.clone()));
    };
    listen::accept_until(listener, on_connect, closed(core.closing())).await;
    connections.close();
}

/// Waits until callers' connections are to be closed.
async fn closed(mut closing: watch::Receiver<bool>) {
    // An error is impossible: the sender lives as long as the process.
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn serve_connection(stream: TcpStream, core: Arc<GatewayCore>) {
    let bounds = core.caller_bounds().unwrap_or(DEFAULT_BOUNDS);
    let close_requested = closed(core.closing());
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let service = service_fn(|request| {
        let core = core.clone();
        async move { Ok::<_, Infallible>(handle(core, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timeout also applies while the connection is idle.
        .header_read_timeout(bounds.idle_time + IDLE_MARGIN)
        .max_buf_size(bounds.header_bytes.saturating_mul(2).max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        // Reads a request that has already arrived before the connection counts as idle.
        biased;
        result = connection.as_mut() => result,
        () = close_requested => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "caller connection failed");
    }
}

/// A request registered with the reducer; dropping it reports that the caller disconnected.
struct OpenRequest {
    core: Arc<GatewayCore>,
    number: RequestNumber,
    ended: bool,
}

impl OpenRequest {
    fn report_end(&mut self, end: AttemptEnd, stats: AttemptStats) {
        self.core.metrics.record_attempt(&stats);
        self.core.handle_event(GatewayEvent::AttemptEnded {
            request: self.number,
            end,
            stats,
        });
    }

    /// Marks the request as ended, so that dropping it doesn't report a disconnected caller.
    fn close(mut self) {
        self.ended = true;
    }
}

impl Drop for OpenRequest {
    // Hyper drops the response future when the caller's connection closes.
    fn drop(&mut self) {
        if !self.ended {
            self.core
                .handle_event(GatewayEvent::CallerDisconnected(self.number));
        }
        self.core.remove_request(self.number);
    }
}

async fn handle(core: Arc<GatewayCore>, request: Request<Incoming>) -> Response<CallerBody> {
    let is_leaving = core.is_leaving();
    let arrived = Instant::now();
    let mut response = handle_request(core.clone(), request).await;
    core.metrics
        .record_response(response.status().as_u16(), arrived.elapsed());
    if is_leaving {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_request(
    core: Arc<GatewayCore>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let bounds = core.caller_bounds().unwrap_or(DEFAULT_BOUNDS);
    let (parts, body) = request.into_parts();
    if header_bytes(&parts.headers) > bounds.header_bytes {
        return refusal(ErrorKind::HeadersTooLarge, None);
    }
    let head = decode_request(
        &parts.headers,
        parts
            .uri
            .authority()
            .map(hyper::http::uri::Authority::as_str),
    );
    let timeout = match core.check_head(&head.host, parts.uri.path(), head.key.as_ref()) {
        Ok(timeout) => head.deadline.unwrap_or(timeout).min(timeout),
        Err(kind) => {
            tracing::info!(
                event = "request_refused",
                attempt = %head.attempt,
                detail = %format_args!("kind={kind:?} stage=head config={}", core.config_version())
            );
            ignore_body(&core, body).await;
            return refusal(kind, None);
        }
    };
    let body = read_body(body, bounds.body_bytes, &core.bodies);
    let body = match tokio::time::timeout(timeout, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return body_refusal(&head.attempt, error),
        Err(_) => {
            log_body_refusal(&head.attempt, ErrorKind::BodyTimeout);
            return refusal(ErrorKind::BodyTimeout, None);
        }
    };
    let origin_form: Option<Uri> = parts
        .uri
        .path_and_query()
        .and_then(|path| path.as_str().parse().ok());
    let Some(uri) = origin_form else {
        return refusal(ErrorKind::MalformedRequest, None);
    };
    let content_hash = hash_content(&parts.method, &uri, &body.bytes);
    let call = CallerCall {
        method: parts.method,
        uri,
        attempt: Bytes::copy_from_slice(head.attempt.as_bytes()),
        headers: parts.headers,
        body,
        tried_servers: Vec::new(),
    };
    let (number, commands) = core.open_request(GatewayRequest {
        number: 0,
        attempt: head.attempt,
        host: head.host,
        path: call.uri.path().into(),
        key: head.key,
        model: head.model,
        tokens: head.tokens,
        prompt_parts: head.parts,
        deadline: head.deadline,
        content_hash,
    });
    let request = OpenRequest {
        core,
        number,
        ended: false,
    };
    run_attempts(request, commands, call).await
}

/// Hash of what a caller asks for: the method, the path with its query, and the body.
fn hash_content(method: &Method, uri: &Uri, body: &[u8]) -> u64 {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let method_hash = XxHash3_64::oneshot(method.as_str().as_bytes());
    let line_hash = XxHash3_64::oneshot_with_seed(method_hash, target.as_bytes());
    XxHash3_64::oneshot_with_seed(line_hash, body)
}

/// Reads the rest of a request that is refused whatever its body is.
async fn ignore_body(core: &GatewayCore, body: Incoming) {
    let body = read_body(body, MAX_IGNORED_BYTES, &core.bodies);
    if tokio::time::timeout(IGNORE_TIMEOUT, body).await.is_err() {
        tracing::debug!("a refused request's body did not arrive in time");
    }
}

fn body_refusal(attempt: &str, error: BodyError) -> Response<CallerBody> {
    let (kind, retry_after) = match error {
        BodyError::TooLong => (ErrorKind::BodyTooLarge, None),
        BodyError::NoMemory => (ErrorKind::QueueFull, Some(NO_MEMORY_RETRY_DELAY)),
        BodyError::Broken => (ErrorKind::MalformedRequest, None),
    };
    log_body_refusal(attempt, kind);
    refusal(kind, retry_after)
}

fn log_body_refusal(attempt: &str, kind: ErrorKind) {
    tracing::info!(
        event = "request_refused",
        %attempt,
        detail = %format_args!("kind={kind:?} stage=body")
    );
}

/// Size of the headers on the wire: four bytes per line for `: ` and the line end.
fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}

async fn run_attempts(
    mut request: OpenRequest,
    mut commands: CommandReceiver,
    mut call: CallerCall,
) -> Response<CallerBody> {
    loop {
        let dispatch = match commands.recv().await {
            Some(RequestCommand::Dispatch(dispatch)) => dispatch,
            Some(RequestCommand::Refuse(refused)) => {
                request.close();
                return refusal_from(&refused);
            }
            None => {
                request.close();
                return refusal(ErrorKind::InternalFault, None);
            }
        };
        let core = request.core.clone();
        if let Some(waited) = dispatch.waited {
            core.metrics.record_wait(waited);
        }
        let result = tokio::select! {
            result = run_attempt(&core, &call, &dispatch, None) => result,
            command = commands.recv() => {
                request.close();
                return match command {
                    Some(RequestCommand::Refuse(refused)) => refusal_from(&refused),
                    _ => refusal(ErrorKind::InternalFault, None),
                };
            }
        };
        call.tried_servers.push(dispatch.id.clone());
        match result {
            AttemptResult::Ended(end, stats) => request.report_end(end, stats),
            AttemptResult::Full(response, stats) => {
                let success = !response.status.is_server_error();
                request.report_end(AttemptEnd::Completed { success }, stats);
                request.close();
                return full_response(response);
            }
            AttemptResult::Stream(response) => {
                core.handle_event(GatewayEvent::ResponseStarted {
                    request: request.number,
                    first_event: response.rest.stats.first_event.unwrap_or_default(),
                });
                let resumable = dispatch.resumable;
                return stream_response(request, commands, call, *response, resumable);
            }
        }
    }
}

fn full_response(upstream: ServerResponse) -> Response<CallerBody> {
    let HeldBody { bytes, held } = upstream.body;
    // The closure keeps the share of the budget for as long as the body exists.
    let body = Full::new(bytes).map_err(move |never| {
        let _held = &held;
        match never {}
    });
    let mut response = Response::new(body.boxed());
    *response.status_mut() = upstream.status;
    *response.headers_mut() = caller_response_headers(&upstream.headers);
    response
}

fn full_body(body: Bytes) -> CallerBody {
    Full::new(body).map_err(|never| match never {}).boxed()
}

fn refusal_from(refused: &GatewayRefusal) -> Response<CallerBody> {
    refusal(refused.kind, refused.retry_after)
}

fn refusal(kind: ErrorKind, retry_after: Option<Duration>) -> Response<CallerBody> {
    let status =
        StatusCode::from_u16(kind.response().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let run = match status.as_u16() {
        500 | 502 | 504 => RunState::Unknown,
        _ => RunState::NotRun,
    };
    let body = RefusalBody::new(kind, run, retry_after);
    // Serializing a refusal never fails.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", delay.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// Part of a stream on its way to the caller. A stream without an end was interrupted.
enum StreamPart {
    Data(Bytes),
    End,
}

fn stream_response(
    request: OpenRequest,
    commands: CommandReceiver,
    call: CallerCall,
    upstream: StreamResponse,
    resumable: bool,
) -> Response<CallerBody> {
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CAPACITY);
    let mut headers = caller_response_headers(&upstream.headers);
    if resumable {
        // What another server sends may have another length.
        headers.remove(CONTENT_LENGTH);
    }
    let status = upstream.status;
    let resume_buffer = resumable.then(|| ResumeBuffer::new(&request.core.bodies));
    let relay = StreamRelay {
        request,
        commands,
        call,
        sender,
        media_type: media_type(&upstream.headers),
        resume_buffer,
        tail: EventTail::default(),
    };
    tokio::spawn(relay.run(upstream));
    let chunks = futures_util::stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(StreamPart::Data(chunk)) => Some((Ok(chunk), Some(receiver))),
            Some(StreamPart::End) => None,
            // An error breaks the connection, so that the response does not look complete.
            None => Some((Err(io::Error::other("the response was interrupted")), None)),
        }
    });
    let body = StreamBody::new(chunks.map_ok(Frame::data));
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The media type of a response in lower case, without parameters.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next().unwrap_or(value);
    Some(media_type.trim().to_ascii_lowercase())
}

/// Relays a stream from a server to its caller.
struct StreamRelay {
    request: OpenRequest,
    commands: CommandReceiver,
    call: CallerCall,
    sender: mpsc::Sender<StreamPart>,
    /// Media type of the first server's response.
    media_type: Option<String>,
    resume_buffer: Option<ResumeBuffer>,
    /// End of what the current server has sent.
    tail: EventTail,
}

/// How relaying from one server ended.
enum RelayEnd {
    Complete(StreamRest),
    Interrupted(StreamRest),
    Refused(StreamRest),
    CallerDisconnected(StreamRest),
}

impl StreamRelay {
    async fn run(mut self, response: StreamResponse) {
        let mut first = response.first;
        let mut rest = response.rest;
        loop {
            let end = self.relay(first, rest).await;
            match end {
                RelayEnd::Complete(rest) => {
                    let stats = rest.stats;
                    rest.finish(&self.request.core);
                    self.request
                        .report_end(AttemptEnd::Completed { success: true }, stats);
                    // Fails if the caller has disconnected, which no longer matters.
                    let _ = self.sender.send(StreamPart::End).await;
                    self.request.close();
                    return;
                }
                RelayEnd::CallerDisconnected(rest) => {
                    rest.close();
                    return;
                }
                RelayEnd::Refused(rest) => {
                    rest.close();
                    self.abort();
                    return;
                }
                RelayEnd::Interrupted(rest) => {
                    let stats = rest.stats;
                    rest.close();
                    self.request.report_end(AttemptEnd::Interrupted, stats);
                }
            }
            match self.resume_stream().await {
                Some(response) => {
                    first = response.first;
                    rest = response.rest;
                }
                None => {
                    self.abort();
                    return;
                }
            }
        }
    }

    /// Ends the stream without its end, which breaks the caller's connection.
    fn abort(self) {
        self.request.close();
    }

    async fn relay(&mut self, first: Bytes, mut rest: StreamRest) -> RelayEnd {
        if let Some(error) = self.forward_chunk(&first).await {
            return error.into_relay_end(rest);
        }
        let mut last_chunk = Instant::now();
        loop {
            let frame = tokio::select! {
                frame = rest.body.frame() => frame,
                _ = self.commands.recv() => return RelayEnd::Refused(rest),
                () = self.sender.closed() => return RelayEnd::CallerDisconnected(rest),
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let pause = &mut rest.stats.longest_pause;
                    *pause = last_chunk.elapsed().max(*pause);
                    last_chunk = Instant::now();
                    if let Some(error) = self.forward_chunk(&data).await {
                        return error.into_relay_end(rest);
                    }
                }
                Some(Err(_)) => return RelayEnd::Interrupted(rest),
                // A response without a length ends with its connection, also when the server fails.
                None if self.tail.is_within_event() => return RelayEnd::Interrupted(rest),
                None => return self.complete(rest).await,
            }
        }
    }

    async fn forward_chunk(&mut self, data: &Bytes) -> Option<ForwardError> {
        self.tail.push(data);
        let chunk = match &mut self.resume_buffer {
            Some(buffer) => match buffer.push(data) {
                Ok(chunk) => chunk,
                Err(error) => return Some(ForwardError::Unusable(error)),
            },
            None => data.clone(),
        };
        self.send_chunk(chunk).await
    }

    /// Forwards what follows the last event of a complete stream.
    async fn complete(&mut self, rest: StreamRest) -> RelayEnd {
        let pending = self.resume_buffer.as_mut().map(ResumeBuffer::take_pending);
        match self.send_chunk(pending.unwrap_or_default()).await {
            Some(error) => error.into_relay_end(rest),
            None => RelayEnd::Complete(rest),
        }
    }

    async fn send_chunk(&mut self, chunk: Bytes) -> Option<ForwardError> {
        if chunk.is_empty() {
            return None;
        }
        // A caller that doesn't read must not delay the end of the request.
        tokio::select! {
            sent = self.sender.send(StreamPart::Data(chunk)) => {
                sent.err().map(|_| ForwardError::CallerDisconnected)
            }
            _ = self.commands.recv() => Some(ForwardError::Refused),
        }
    }

    /// Resumes the stream on another server; `None` when the request must end instead.
    async fn resume_stream(&mut self) -> Option<StreamResponse> {
        let core = self.request.core.clone();
        loop {
            let dispatch = match self.commands.recv().await {
                Some(RequestCommand::Dispatch(dispatch)) => dispatch,
                Some(RequestCommand::Refuse(_)) | None => return None,
            };
            let buffer = self.resume_buffer.as_mut()?;
            buffer.begin_continuation();
            self.tail = EventTail::default();
            let last_id = buffer.last_id().map(smol_str::SmolStr::new);
            let result = tokio::select! {
                result = run_attempt(&core, &self.call, &dispatch, last_id.as_deref()) => result,
                _ = self.commands.recv() => return None,
                () = self.sender.closed() => return None,
            };
            self.call.tried_servers.push(dispatch.id.clone());
            match result {
                AttemptResult::Stream(response)
                    if media_type(&response.headers) != self.media_type =>
                {
                    tracing::warn!(
                        event = "stream_not_continued",
                        server = response.rest.server(),
                        fault = "media type"
                    );
                    let stats = response.rest.stats;
                    response.rest.close();
                    self.request.report_end(AttemptEnd::Interrupted, stats);
                }
                AttemptResult::Stream(response) => return Some(*response),
                AttemptResult::Ended(end, stats) => self.request.report_end(end, stats),
                // The caller has a success status already, so a complete error response is useless.
                AttemptResult::Full(_, stats) => {
                    self.request.report_end(AttemptEnd::Interrupted, stats);
                }
            }
        }
    }
}

/// Why a chunk could not be forwarded to the caller.
enum ForwardError {
    CallerDisconnected,
    Refused,
    Unusable(ResumeError),
}

impl ForwardError {
    fn into_relay_end(self, rest: StreamRest) -> RelayEnd {
        match self {
            ForwardError::CallerDisconnected => RelayEnd::CallerDisconnected(rest),
            ForwardError::Refused => RelayEnd::Refused(rest),
            ForwardError::Unusable(fault) => {
                tracing::warn!(
                    event = "stream_not_continued",
                    server = rest.server(),
                    ?fault
                );
                RelayEnd::Interrupted(rest)
            }
        }
    }
}
