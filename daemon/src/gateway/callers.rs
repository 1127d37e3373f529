//! Takes callers' requests and gives each its one final answer.

use std::{
    convert::Infallible,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::TryStreamExt;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
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
    events::ResumeBuffer,
    forward::{AttemptResult, CallerCall, StreamAnswer, StreamRest, attempt},
    listen,
};
use crate::client::FullResponse;

/// Bounds while no configuration is known.
const FIRST_BOUNDS: CallerBounds = CallerBounds {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    idle_time: Duration::from_secs(15),
};
/// Added to the idle time, so that a request sent at its end is still read.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Least buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 * 1024;
/// Pieces of a stream that may wait for a slow caller.
const STREAM_QUEUE: usize = 64;

type CallerBody = BoxBody<Bytes, io::Error>;

/// Accepts callers until it is aborted.
pub(super) async fn serve(listener: TcpListener, core: Arc<GatewayCore>) {
    listen::accept(listener, |stream| {
        tokio::spawn(serve_connection(stream, core.clone()));
    })
    .await;
}

async fn serve_connection(stream: TcpStream, core: Arc<GatewayCore>) {
    let bounds = core.caller_bounds().unwrap_or(FIRST_BOUNDS);
    let mut closing = core.closing();
    let service = service_fn(|request| {
        let core = core.clone();
        async move { Ok::<_, Infallible>(answer(core, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // It also runs while the connection is idle.
        .header_read_timeout(bounds.idle_time + IDLE_MARGIN)
        .max_buf_size((bounds.header_bytes * 2).max(LEAST_BUFFER))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let told_to_close = async {
        // The sender lives as long as the process.
        let _ = closing.wait_for(|closing| *closing).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = told_to_close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection of a caller ended");
    }
}

/// A request that the reducer knows; it is told when the caller goes away.
struct OpenRequest {
    core: Arc<GatewayCore>,
    number: RequestNumber,
    ended: bool,
}

impl OpenRequest {
    fn tell_end(&mut self, end: AttemptEnd, sight: AttemptStats) {
        self.core.metrics.count_sight(&sight);
        self.core.tell(GatewayEvent::AttemptEnded {
            request: self.number,
            end,
            stats: sight,
        });
    }

    /// The request has its final answer.
    fn close(mut self) {
        self.ended = true;
    }
}

impl Drop for OpenRequest {
    // The HTTP library drops the answer's future when the caller's connection closes.
    fn drop(&mut self) {
        if !self.ended {
            self.core
                .tell(GatewayEvent::CallerDisconnected(self.number));
        }
        self.core.forget(self.number);
    }
}

async fn answer(core: Arc<GatewayCore>, request: Request<Incoming>) -> Response<CallerBody> {
    let is_leaving = core.is_leaving();
    let arrived = Instant::now();
    let mut response = answer_request(core.clone(), request).await;
    core.metrics
        .count_answer(response.status().as_u16(), arrived.elapsed());
    if is_leaving {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer_request(
    core: Arc<GatewayCore>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let bounds = core.caller_bounds().unwrap_or(FIRST_BOUNDS);
    let (parts, body) = request.into_parts();
    if header_bytes(&parts.headers) > bounds.header_bytes {
        return refusal(ErrorKind::HeadersTooLarge, None);
    }
    let body = match Limited::new(body, bounds.body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return refusal(ErrorKind::BodyTooLarge, None);
        }
        Err(error) => {
            tracing::debug!(%error, "body of a request was not read");
            return refusal(ErrorKind::MalformedRequest, None);
        }
    };
    let head = decode_request(
        &parts.headers,
        parts
            .uri
            .authority()
            .map(hyper::http::uri::Authority::as_str),
    );
    let line = XxHash3_64::oneshot_with_seed(
        XxHash3_64::oneshot(parts.method.as_str().as_bytes()),
        parts.uri.path().as_bytes(),
    );
    let content_hash = XxHash3_64::oneshot_with_seed(line, &body);
    let origin = parts
        .uri
        .path_and_query()
        .and_then(|path| path.as_str().parse().ok());
    let Some(uri) = origin else {
        return refusal(ErrorKind::MalformedRequest, None);
    };
    let call = CallerCall {
        method: parts.method,
        uri,
        attempt: Bytes::copy_from_slice(head.attempt.as_bytes()),
        headers: parts.headers,
        body,
    };
    let (number, commands) = core.open(GatewayRequest {
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
    let open = OpenRequest {
        core,
        number,
        ended: false,
    };
    drive(open, commands, call).await
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}

async fn drive(
    mut open: OpenRequest,
    mut commands: CommandReceiver,
    call: CallerCall,
) -> Response<CallerBody> {
    loop {
        let dispatch = match commands.recv().await {
            Some(RequestCommand::Dispatch(dispatch)) => dispatch,
            Some(RequestCommand::Refuse(refused)) => {
                open.close();
                return refusal_of(&refused);
            }
            None => {
                open.close();
                return refusal(ErrorKind::InternalFault, None);
            }
        };
        let core = open.core.clone();
        if let Some(waited) = dispatch.waited {
            core.metrics.count_wait(waited);
        }
        let result = tokio::select! {
            result = attempt(&core, &call, &dispatch, None) => result,
            command = commands.recv() => {
                open.close();
                return match command {
                    Some(RequestCommand::Refuse(refused)) => refusal_of(&refused),
                    _ => refusal(ErrorKind::InternalFault, None),
                };
            }
        };
        match result {
            AttemptResult::Ended(end, sight) => open.tell_end(end, sight),
            AttemptResult::Whole(answer, sight) => {
                let success = !answer.status.is_server_error();
                open.tell_end(AttemptEnd::Completed { success }, sight);
                open.close();
                return whole_response(answer);
            }
            AttemptResult::Stream(answer) => {
                core.tell(GatewayEvent::ResponseStarted {
                    request: open.number,
                    first_event: answer.rest.sight.first_event.unwrap_or_default(),
                });
                let resumable = dispatch.resumable;
                return stream_response(open, commands, call, *answer, resumable);
            }
        }
    }
}

fn whole_response(answer: FullResponse) -> Response<CallerBody> {
    let mut response = Response::new(whole_body(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = caller_response_headers(&answer.headers);
    response
}

fn whole_body(body: Bytes) -> CallerBody {
    Full::new(body).map_err(|never| match never {}).boxed()
}

fn refusal_of(refused: &GatewayRefusal) -> Response<CallerBody> {
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
    // The refusal types always serialize.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(whole_body(Bytes::from(body)));
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

type PieceSender = mpsc::Sender<Result<Bytes, io::Error>>;

fn stream_response(
    open: OpenRequest,
    commands: CommandReceiver,
    call: CallerCall,
    answer: StreamAnswer,
    resumable: bool,
) -> Response<CallerBody> {
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
    let headers = caller_response_headers(&answer.headers);
    let status = answer.status;
    let pump = StreamPump {
        open,
        commands,
        call,
        sender,
        resume: resumable.then(ResumeBuffer::default),
    };
    tokio::spawn(pump.run(answer));
    let pieces = futures_util::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|piece| (piece, receiver))
    });
    let body = StreamBody::new(pieces.map_ok(Frame::data));
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Passes a stream on to its caller.
struct StreamPump {
    open: OpenRequest,
    commands: CommandReceiver,
    call: CallerCall,
    sender: PieceSender,
    resume: Option<ResumeBuffer>,
}

/// How the passing on of a stream ended.
enum PumpEnd {
    Complete(StreamRest),
    Interrupted(StreamRest),
    Refused(StreamRest),
    CallerGone(StreamRest),
}

impl StreamPump {
    async fn run(mut self, answer: StreamAnswer) {
        let mut first = answer.first;
        let mut rest = answer.rest;
        loop {
            let end = self.pump(first, rest).await;
            match end {
                PumpEnd::Complete(done) => {
                    let sight = done.sight;
                    done.finish(&self.open.core);
                    self.open
                        .tell_end(AttemptEnd::Completed { success: true }, sight);
                    self.open.close();
                    return;
                }
                PumpEnd::CallerGone(left) => {
                    left.close();
                    return;
                }
                PumpEnd::Refused(left) => {
                    left.close();
                    self.break_off().await;
                    return;
                }
                PumpEnd::Interrupted(left) => {
                    let sight = left.sight;
                    left.close();
                    self.open.tell_end(AttemptEnd::Interrupted, sight);
                }
            }
            match self.go_on().await {
                Some(answer) => {
                    first = answer.first;
                    rest = answer.rest;
                }
                None => {
                    self.break_off().await;
                    return;
                }
            }
        }
    }

    /// Ends the caller's connection, so that the answer does not look complete.
    async fn break_off(self) {
        let error = io::Error::other("the answer broke off");
        // A caller that has gone needs no end.
        let _ = self.sender.send(Err(error)).await;
        self.open.close();
    }

    async fn pump(&mut self, first: Bytes, mut rest: StreamRest) -> PumpEnd {
        if let Some(end) = self.pass_on(&first).await {
            return end.with(rest);
        }
        let mut last_piece = Instant::now();
        loop {
            let frame = tokio::select! {
                frame = rest.body.frame() => frame,
                _ = self.commands.recv() => return PumpEnd::Refused(rest),
                () = self.sender.closed() => return PumpEnd::CallerGone(rest),
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let pause = &mut rest.sight.longest_pause;
                    *pause = last_piece.elapsed().max(*pause);
                    last_piece = Instant::now();
                    if let Some(end) = self.pass_on(&data).await {
                        return end.with(rest);
                    }
                }
                Some(Err(_)) => return PumpEnd::Interrupted(rest),
                None if self
                    .resume
                    .as_ref()
                    .is_some_and(ResumeBuffer::has_partial_event) =>
                {
                    return PumpEnd::Interrupted(rest);
                }
                None => return PumpEnd::Complete(rest),
            }
        }
    }

    async fn pass_on(&mut self, data: &Bytes) -> Option<PassFault> {
        let piece = match &mut self.resume {
            Some(buffer) => match buffer.push(data) {
                Ok(piece) => piece,
                Err(_) => return Some(PassFault::TooLong),
            },
            None => data.clone(),
        };
        if piece.is_empty() {
            return None;
        }
        match self.sender.send(Ok(piece)).await {
            Ok(()) => None,
            Err(_) => Some(PassFault::CallerGone),
        }
    }

    /// Has another server go on with the stream.
    async fn go_on(&mut self) -> Option<StreamAnswer> {
        let core = self.open.core.clone();
        loop {
            let dispatch = match self.commands.recv().await {
                Some(RequestCommand::Dispatch(dispatch)) => dispatch,
                Some(RequestCommand::Refuse(_)) | None => return None,
            };
            let buffer = self.resume.as_mut()?;
            buffer.drop_rest();
            let last_id = buffer.last_id().map(smol_str::SmolStr::new);
            let result = tokio::select! {
                result = attempt(&core, &self.call, &dispatch, last_id.as_deref()) => result,
                _ = self.commands.recv() => return None,
                () = self.sender.closed() => return None,
            };
            match result {
                AttemptResult::Stream(answer) => return Some(*answer),
                AttemptResult::Ended(end, sight) => self.open.tell_end(end, sight),
                // A failure cannot follow a beginning that was a success.
                AttemptResult::Whole(_, sight) => {
                    self.open.tell_end(AttemptEnd::Interrupted, sight);
                }
            }
        }
    }
}

/// Why a piece could not be passed on.
enum PassFault {
    CallerGone,
    TooLong,
}

impl PassFault {
    fn with(self, rest: StreamRest) -> PumpEnd {
        match self {
            PassFault::CallerGone => PumpEnd::CallerGone(rest),
            PassFault::TooLong => PumpEnd::Interrupted(rest),
        }
    }
}
