//! One attempt of a request at a server.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming};
use wasabistall_lib::gateway::event::{AttemptEnd, AttemptStats, ServerDispatch};
use wasabistall_platform::{
    headers::server_request_headers,
    response::{ResponseHead, decode_response},
};

use super::{
    core::GatewayCore,
    links::{LinkFault, SendFault, ServerLink, read_answer},
};
use crate::client::FullResponse;

/// Longest answer that is no stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// A request that may run once is only sent on connections that were used this recently: a
/// connection that breaks while it is sent leaves its fate unknown.
const FRESH_LINK: Duration = Duration::from_millis(1_500);
const ANY_LINK: Duration = Duration::from_secs(60);

/// A caller's request, to be sent to servers.
pub(super) struct CallerCall {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) attempt: Bytes,
}

/// A stream whose beginning has arrived.
pub(super) struct StreamAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) first: Bytes,
    pub(super) rest: StreamRest,
}

/// What is left of a stream.
pub(super) struct StreamRest {
    pub(super) body: Incoming,
    link: ServerLink,
    keep_alive: Option<Duration>,
    server: smol_str::SmolStr,
    pub(super) sight: AttemptStats,
}

impl StreamRest {
    /// Keeps the connection of a stream that was read whole.
    pub(super) fn finish(self, core: &GatewayCore) {
        core.servers.put(&self.server, self.link, self.keep_alive);
    }

    /// Ends the stream at the server.
    pub(super) fn close(self) {
        self.link.close();
    }
}

/// What came of an attempt.
pub(super) enum AttemptResult {
    /// Nothing that goes to the caller.
    Ended(AttemptEnd, AttemptStats),
    /// A whole answer.
    Whole(FullResponse, AttemptStats),
    /// The beginning of a stream.
    Stream(Box<StreamAnswer>),
}

/// Sends the request and waits for the answer, or for the beginning of a stream.
pub(super) async fn attempt(
    core: &GatewayCore,
    call: &CallerCall,
    dispatch: &ServerDispatch,
    last_event: Option<&str>,
) -> AttemptResult {
    let started = Instant::now();
    let exchange = exchange(core, call, dispatch, last_event, started);
    match tokio::time::timeout(dispatch.timeout, exchange).await {
        Ok(result) => result,
        Err(_) => AttemptResult::Ended(AttemptEnd::Silent, AttemptStats::default()),
    }
}

/// A connection and the head of the answer that came on it.
///
/// The connection closes with the value, which ends the request at the server.
struct OpenExchange {
    link: ServerLink,
    response: Response<Incoming>,
}

async fn exchange(
    core: &GatewayCore,
    call: &CallerCall,
    dispatch: &ServerDispatch,
    last_event: Option<&str>,
    started: Instant,
) -> AttemptResult {
    let ended = |end| AttemptResult::Ended(end, AttemptStats::default());
    let opened = match open_exchange(core, call, dispatch, last_event, started).await {
        Ok(opened) => opened,
        Err(LinkFault::Refused | LinkFault::Unreachable) => {
            return ended(AttemptEnd::NotConnected);
        }
        Err(_) => return ended(AttemptEnd::Broken),
    };
    let OpenExchange { link, response } = opened;
    let head = decode_response(response.status(), response.headers(), &call.attempt);
    let sight = AttemptStats {
        load: head.load,
        ..AttemptStats::default()
    };
    if head.not_run {
        // The body says nothing that the head does not.
        if let Ok(_answer) = read_answer(response, MAX_RESPONSE_BYTES).await {
            core.servers.put(&dispatch.id, link, head.keep_alive);
        }
        let end = AttemptEnd::Rejected {
            misdirected: head.misdirected,
        };
        return AttemptResult::Ended(end, sight);
    }
    if !head.authentic {
        tracing::warn!(
            event = "answer_not_genuine",
            server = %dispatch.id,
            status = %response.status()
        );
        link.close();
        return AttemptResult::Ended(AttemptEnd::Broken, sight);
    }
    if head.success && dispatch.is_stream {
        return begin_stream(link, response, &head, dispatch, started).await;
    }
    whole_answer(core, link, response, &head, dispatch, started).await
}

async fn open_exchange(
    core: &GatewayCore,
    call: &CallerCall,
    dispatch: &ServerDispatch,
    last_event: Option<&str>,
    started: Instant,
) -> Result<OpenExchange, LinkFault> {
    let newest = if dispatch.at_most_once {
        FRESH_LINK
    } else {
        ANY_LINK
    };
    let request = || server_request(call, dispatch, last_event, started);
    if let Some(mut link) = core.servers.take(&dispatch.id, newest) {
        match link.send(request()).await {
            Ok(response) => return Ok(OpenExchange { link, response }),
            // The server had closed the connection before anything was sent on it.
            Err(SendFault::NotSent) => link.close(),
            Err(SendFault::Broken) => {
                link.close();
                return Err(LinkFault::Broken);
            }
        }
    }
    let mut link = ServerLink::connect(dispatch.address).await?;
    match link.send(request()).await {
        Ok(response) => Ok(OpenExchange { link, response }),
        Err(SendFault::NotSent) => Err(LinkFault::Refused),
        Err(SendFault::Broken) => Err(LinkFault::Broken),
    }
}

fn server_request(
    call: &CallerCall,
    dispatch: &ServerDispatch,
    last_event: Option<&str>,
    started: Instant,
) -> Request<Full<Bytes>> {
    let left = dispatch.time_left.saturating_sub(started.elapsed());
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = server_request_headers(&call.headers, dispatch, left, last_event);
    request
}

async fn begin_stream(
    link: ServerLink,
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
                link.close();
                let sight = AttemptStats {
                    load: head.load,
                    ..AttemptStats::default()
                };
                return AttemptResult::Ended(AttemptEnd::Broken, sight);
            }
        }
    };
    AttemptResult::Stream(Box::new(StreamAnswer {
        status: parts.status,
        headers: parts.headers,
        first,
        rest: StreamRest {
            body,
            link,
            keep_alive: head.keep_alive,
            server: dispatch.id.clone(),
            sight: AttemptStats {
                first_event: Some(started.elapsed()),
                load: head.load,
                ..AttemptStats::default()
            },
        },
    }))
}

async fn whole_answer(
    core: &GatewayCore,
    link: ServerLink,
    response: Response<Incoming>,
    head: &ResponseHead,
    dispatch: &ServerDispatch,
    started: Instant,
) -> AttemptResult {
    let answer = read_answer(response, MAX_RESPONSE_BYTES).await;
    let sight = AttemptStats {
        first_event: Some(started.elapsed()),
        load: head.load,
        ..AttemptStats::default()
    };
    let Ok(answer) = answer else {
        link.close();
        return AttemptResult::Ended(AttemptEnd::Broken, sight);
    };
    core.servers.put(&dispatch.id, link, head.keep_alive);
    if dispatch.retry_failures && answer.status.is_server_error() {
        return AttemptResult::Ended(AttemptEnd::Failed, sight);
    }
    AttemptResult::Whole(answer, sight)
}
