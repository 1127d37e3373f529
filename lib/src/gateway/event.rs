//! What the gateway's reducer is told, and what it wants done.

use std::{fmt, net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{
    catalog::ServerReport,
    message::{PeerAnswer, PeerCall, PeerError},
    prompt::PromptPart,
    replica::CatalogPage,
    server_scheduler::{ServerOrder, ServerOrderOutcome},
    servers::{GatewayServerKey, ServerLoad},
};
use crate::{clock::ClockTime, error::ErrorKind, key::KeyDigest};

/// Number of a caller's request, unique within the process.
pub type RequestNumber = u64;

/// A model as a request names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelName {
    /// Base model.
    pub model: SmolStr,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<SmolStr>,
}

impl fmt::Display for ModelName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => f.write_str(&self.model),
        }
    }
}

/// A caller's request, read whole, without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayRequest {
    /// Its number.
    pub number: RequestNumber,
    /// Identity of the caller's attempt, for logs.
    pub attempt: SmolStr,
    /// Host that it names, without a port.
    pub host: SmolStr,
    /// Path, without the query.
    pub path: SmolStr,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
    /// Model that it wants.
    pub model: Option<ModelName>,
    /// Prompt tokens and most output tokens, if it says so.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt that others may share.
    pub prompt_parts: Vec<PromptPart>,
    /// How long the caller still waits.
    pub deadline: Option<Duration>,
    /// Hash of method, path and body; the same for the same work.
    pub content_hash: u64,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection came about; nothing was sent.
    NotConnected,
    /// The server vouches that it did not run the request.
    Rejected {
        /// It is another process than expected, or lacks the model.
        misdirected: bool,
    },
    /// The request was sent, and the connection broke or the answer made no sense.
    Broken,
    /// The request was sent, and nothing came in time.
    Silent,
    /// The server answered with a failure that was not passed on.
    Failed,
    /// The whole answer went to the caller.
    Completed {
        /// Whether it was a success.
        success: bool,
    },
    /// The answer broke off after its beginning went to the caller.
    Interrupted,
}

/// What was seen of a server during an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptStats {
    /// Time from sending to the first event or the head of the answer.
    pub first_event: Option<Duration>,
    /// Longest time between two pieces of a stream.
    pub longest_pause: Duration,
    /// Load that the server reported.
    pub load: Option<ServerLoad>,
}

/// Why the platform's store could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// It no longer has the changes after the revision asked for.
    HistoryGone,
    /// It did not answer, or refused.
    Unavailable,
}

/// What the gateway's reducer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEvent {
    /// A caller's request was read.
    RequestArrived(GatewayRequest),
    /// The caller went away.
    CallerDisconnected(RequestNumber),
    /// The beginning of the answer went to the caller.
    ResponseStarted {
        /// The request.
        request: RequestNumber,
        /// Time from sending to its first event.
        first_event: Duration,
    },
    /// An attempt at a server ended.
    AttemptEnded {
        /// The request.
        request: RequestNumber,
        /// How.
        end: AttemptEnd,
        /// What was seen.
        stats: AttemptStats,
    },
    /// A peer calls; `call` identifies it for the answer.
    PeerCalled {
        /// Number of the call.
        call: u64,
        /// The message.
        message: PeerCall,
    },
    /// A call to a peer ended.
    PeerAnswered {
        /// Number of the call.
        call: u64,
        /// The peer's address.
        peer: SocketAddr,
        /// Its answer.
        answer: Result<PeerAnswer, PeerError>,
    },
    /// A read of the platform's store ended.
    StoreAnswered(Result<CatalogPage, StoreError>),
    /// A server's report was read, or could not be.
    ReportRead {
        /// The server.
        server: GatewayServerKey,
        /// The report.
        report: Option<ServerReport>,
    },
    /// An order to a server ended.
    OrderEnded {
        /// The server.
        server: GatewayServerKey,
        /// How.
        outcome: ServerOrderOutcome,
    },
    /// The time asked for has come.
    Tick,
    /// The process was told to stop.
    ShutdownRequested,
}

/// Sends a request to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDispatch {
    /// The request.
    pub request: RequestNumber,
    /// The server.
    pub server: GatewayServerKey,
    /// The server's id, which it checks.
    pub id: SmolStr,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Time since the request arrived, if it is sent for the first time.
    pub waited: Option<Duration>,
    /// Time that is left for the caller.
    pub time_left: Duration,
    /// Time after which the attempt is given up if nothing has come.
    pub timeout: Duration,
    /// A server that likely keeps shared parts of the prompt, which are fetched there.
    pub prompt_source: Option<SocketAddr>,
    /// Team, for the server.
    pub team: Option<SmolStr>,
    /// Rank, for the server; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Whether a failure that the server answers may be dropped in favour of another attempt.
    pub retry_failures: bool,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Whether another server may go on with the stream.
    pub resumable: bool,
    /// Whether the request may run once at most.
    pub at_most_once: bool,
}

/// Ends a request without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayRefusal {
    /// The request.
    pub request: RequestNumber,
    /// Why.
    pub kind: ErrorKind,
    /// When it is worth coming back.
    pub retry_after: Option<Duration>,
}

/// Which part of the platform's store is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// Everything.
    Snapshot,
    /// Changes after a revision, as soon as there are any.
    Watch {
        /// The revision.
        after: u64,
        /// Longest wait for a change.
        wait: Duration,
    },
}

/// A decision worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Event, from the vocabulary in docs/OPERATIONS.md.
    pub event: &'static str,
    /// Identity of the caller's attempt; empty for what touches no request.
    pub attempt: SmolStr,
    /// Inputs and outcome, as `name=value` pairs.
    pub detail: SmolStr,
}

/// What the gateway's reducer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEffect {
    /// Send a request to a server.
    Dispatch(ServerDispatch),
    /// End a request.
    Refuse(GatewayRefusal),
    /// Call a peer.
    CallPeer {
        /// Number of the call.
        call: u64,
        /// The peer's address.
        peer: SocketAddr,
        /// The message.
        message: PeerCall,
    },
    /// Answer a peer's call.
    AnswerPeer {
        /// Number of the call.
        call: u64,
        /// The answer.
        answer: PeerAnswer,
    },
    /// Read the platform's store.
    ReadStore(StoreRead),
    /// Read a server's report.
    ReadReport {
        /// The server.
        server: GatewayServerKey,
        /// Its id.
        id: SmolStr,
        /// Its address.
        address: SocketAddr,
    },
    /// Give a server an order.
    Order {
        /// The server.
        server: GatewayServerKey,
        /// Its id.
        id: SmolStr,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: ServerOrder,
    },
    /// Close connections to a server that is no longer used.
    CloseConnections(SmolStr),
    /// Write a line to the log.
    Log(LogEvent),
    /// Send [`GatewayEvent::Tick`] at that time.
    WakeAt(ClockTime),
}
