//! Sends one attempt of a request to a server.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming};
use smol_str::SmolStr;
use wasabistall_lib::gateway::event::{AttemptEnd, AttemptStats, ServerDispatch};
use wasabistall_platform::{
    headers::server_request_headers,
    response::{ResponseHead, decode_response},
};

use super::{
    connections::{ConnectionError, SendError, ServerConnection},
    core::GatewayCore,
    held::{HeldBody, read_body},
};

/// Largest response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Largest body that is read after a head that already decides the attempt, in bytes.
const MAX_IGNORED_BYTES: usize = 64 * 1024;
/// Longest time that a connection may have been idle to carry a request that must run at most once:
/// when a connection breaks during the send, the request may have run.
const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::from_millis(1_500);
const MAX_IDLE: Duration = Duration::from_secs(60);

/// A caller's request in the form that is forwarded to servers.
pub(super) struct CallerCall {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: HeldBody,
    pub(super) attempt: Bytes,
    /// Servers that the request was sent to before.
    pub(super) tried_servers: Vec<SmolStr>,
}

/// A complete response of a server.
pub(super) struct ServerResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: HeldBody,
}

/// A stream whose first chunk has arrived.
pub(super) struct StreamResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) first: Bytes,
    pub(super) rest: StreamRest,
}

/// The rest of a stream and the connection that carries it.
pub(super) struct StreamRest {
    pub(super) body: Incoming,
    connection: ServerConnection,
    keep_alive: Option<Duration>,
    server: SmolStr,
    pub(super) stats: AttemptStats,
}

impl StreamRest {
    /// Returns the connection of a completely read stream to the pool.
    pub(super) fn finish(self, core: &GatewayCore) {
        core.servers
            .put(&self.server, self.connection, self.keep_alive);
    }

    /// Id of the server.
    pub(super) fn server(&self) -> &str {
        &self.server
    }

    /// Closes the connection, which ends the request at the server.
    pub(super) fn close(self) {
        self.connection.close();
    }
}

/// Outcome of an attempt.
pub(super) enum AttemptResult {
    /// The attempt ended without a response for the caller.
    Ended(AttemptEnd, AttemptStats),
    /// A complete response.
    Full(ServerResponse, AttemptStats),
    /// A stream with its first chunk.
    Stream(Box<StreamResponse>),
}

impl AttemptResult {
    /// Time from sending to the first event or the whole answer, if there was one.
    fn first_event(&self) -> Option<Duration> {
        match self {
            AttemptResult::Ended(_, stats) | AttemptResult::Full(_, stats) => stats.first_event,
            AttemptResult::Stream(response) => response.rest.stats.first_event,
        }
    }
}

/// Sends the request and waits for the complete response or for the first chunk of a stream.
pub(super) async fn run_attempt(
    core: &Arc<GatewayCore>,
    call: &CallerCall,
    dispatch: &ServerDispatch,
    last_event_id: Option<&str>,
) -> AttemptResult {
    let started = Instant::now();
    let exchange = exchange(core, call, dispatch, last_event_id, started);
    let result = match tokio::time::timeout(dispatch.timeout, exchange).await {
        Ok(result) => result,
        Err(_) => AttemptResult::Ended(AttemptEnd::Silent, AttemptStats::default()),
    };
    if let Some(elapsed) = result.first_event() {
        core.metrics
            .record_first_event_stage(&dispatch.stages.route, elapsed);
    }
    result
}

/// A connection and the response whose head arrived on it.
///
/// Dropping the value closes the connection, which ends the request at the server.
struct OpenExchange {
    connection: ServerConnection,
    response: Response<Incoming>,
}

async fn exchange(
    core: &Arc<GatewayCore>,
    call: &CallerCall,
    dispatch: &ServerDispatch,
    last_event_id: Option<&str>,
    started: Instant,
) -> AttemptResult {
    let ended = |end| AttemptResult::Ended(end, AttemptStats::default());
    let exchange = match open_exchange(core, call, dispatch, last_event_id, started).await {
        Ok(exchange) => exchange,
        Err(ConnectionError::Refused | ConnectionError::Unreachable) => {
            return ended(AttemptEnd::NotConnected);
        }
        Err(_) => return ended(AttemptEnd::Broken),
    };
    let OpenExchange {
        connection,
        response,
    } = exchange;
    let head = decode_response(response.status(), response.headers(), &call.attempt);
    core.report_notice(dispatch.server, dispatch.started, head.notice);
    let stats = AttemptStats {
        load: head.load,
        ..AttemptStats::default()
    };
    if head.not_run {
        // The head has all the information; the body is read only to reuse the connection.
        let body = read_body(response.into_body(), MAX_IGNORED_BYTES, &core.bodies).await;
        if body.is_ok() {
            core.servers.put(&dispatch.id, connection, head.keep_alive);
        }
        let end = AttemptEnd::Rejected {
            misdirected: head.misdirected,
        };
        return AttemptResult::Ended(end, stats);
    }
    if !head.authentic {
        tracing::warn!(
            event = "answer_not_genuine",
            server = %dispatch.id,
            status = %response.status()
        );
        connection.close();
        return AttemptResult::Ended(AttemptEnd::Broken, stats);
    }
    if head.success && dispatch.is_stream {
        return receive_stream_start(connection, response, &head, dispatch, started).await;
    }
    receive_full_response(core, connection, response, &head, dispatch, started).await
}

async fn open_exchange(
    core: &GatewayCore,
    call: &CallerCall,
    dispatch: &ServerDispatch,
    last_event_id: Option<&str>,
    started: Instant,
) -> Result<OpenExchange, ConnectionError> {
    let max_idle = if dispatch.at_most_once {
        AT_MOST_ONCE_MAX_IDLE
    } else {
        MAX_IDLE
    };
    let request = || server_request(call, dispatch, last_event_id, started);
    // On a connection that carried this attempt before, a second copy of its refusal could not be
    // told from the answer.
    let is_repeat = call.tried_servers.contains(&dispatch.id);
    let pooled = (!is_repeat).then(|| core.servers.take(&dispatch.id, max_idle));
    if let Some(mut connection) = pooled.flatten() {
        match connection.send(request()).await {
            Ok(response) => {
                return Ok(OpenExchange {
                    connection,
                    response,
                });
            }
            // The server closed the idle connection before anything was sent on it.
            Err(SendError::NotSent) => connection.close(),
            Err(SendError::Broken) => {
                connection.close();
                return Err(ConnectionError::Broken);
            }
        }
    }
    let mut connection = ServerConnection::connect(dispatch.address).await?;
    match connection.send(request()).await {
        Ok(response) => Ok(OpenExchange {
            connection,
            response,
        }),
        Err(SendError::NotSent) => Err(ConnectionError::Refused),
        Err(SendError::Broken) => Err(ConnectionError::Broken),
    }
}

fn server_request(
    call: &CallerCall,
    dispatch: &ServerDispatch,
    last_event_id: Option<&str>,
    started: Instant,
) -> Request<Full<Bytes>> {
    let remaining = dispatch.time_left.saturating_sub(started.elapsed());
    let mut request = Request::new(Full::new(call.body.bytes.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() =
        server_request_headers(&call.headers, dispatch, remaining, last_event_id);
    request
}

async fn receive_stream_start(
    connection: ServerConnection,
    response: Response<Incoming>,
    head: &ResponseHead,
    dispatch: &ServerDispatch,
    started: Instant,
) -> AttemptResult {
    let (parts, mut body) = response.into_parts();
    let first = loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    break data;
                }
            }
            Some(Err(_)) | None => {
                connection.close();
                let stats = AttemptStats {
                    load: head.load,
                    ..AttemptStats::default()
                };
                return AttemptResult::Ended(AttemptEnd::Broken, stats);
            }
        }
    };
    AttemptResult::Stream(Box::new(StreamResponse {
        status: parts.status,
        headers: parts.headers,
        first,
        rest: StreamRest {
            body,
            connection,
            keep_alive: head.keep_alive,
            server: dispatch.id.clone(),
            stats: AttemptStats {
                first_event: Some(started.elapsed()),
                load: head.load,
                ..AttemptStats::default()
            },
        },
    }))
}

async fn receive_full_response(
    core: &GatewayCore,
    connection: ServerConnection,
    response: Response<Incoming>,
    head: &ResponseHead,
    dispatch: &ServerDispatch,
    started: Instant,
) -> AttemptResult {
    let (parts, body) = response.into_parts();
    let body = read_body(body, MAX_RESPONSE_BYTES, &core.bodies).await;
    let stats = AttemptStats {
        first_event: Some(started.elapsed()),
        load: head.load,
        ..AttemptStats::default()
    };
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            tracing::warn!(event = "answer_unreadable", server = %dispatch.id, ?error);
            connection.close();
            return AttemptResult::Ended(AttemptEnd::Broken, stats);
        }
    };
    core.servers.put(&dispatch.id, connection, head.keep_alive);
    if dispatch.retry_failures && parts.status.is_server_error() {
        return AttemptResult::Ended(AttemptEnd::Failed, stats);
    }
    let response = ServerResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    AttemptResult::Full(response, stats)
}
