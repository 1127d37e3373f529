//! Events that the gateway's reducer processes, and effects that it requests.

use std::{fmt, net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{
    availability::ServerNotice,
    catalog::ServerReport,
    message::{PeerAnswer, PeerCall, PeerError},
    prompt::PromptPart,
    replica::CatalogPage,
    server_scheduler::{ServerOrder, ServerOrderOutcome},
    servers::{GatewayServerKey, ServerLoad},
    stages::StageTimes,
};
use crate::{clock::ClockTime, error::ErrorKind, key::KeyDigest};

/// Number of a caller's request, unique within the process.
pub type RequestNumber = u64;

/// A model as named in a request.
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

/// A caller's request that was received completely, without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayRequest {
    /// Number of the request.
    pub number: RequestNumber,
    /// Identifier of the caller's attempt, for logs.
    pub attempt: SmolStr,
    /// Requested host, without a port.
    pub host: SmolStr,
    /// Path, without the query.
    pub path: SmolStr,
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Number of prompt tokens and maximum number of output tokens, if known.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt that other requests may share.
    pub prompt_parts: Vec<PromptPart>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Hash of method, path, query and body.
    pub content_hash: u64,
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was established; nothing was sent.
    NotConnected,
    /// The server guarantees that it did not run the request.
    Rejected {
        /// Whether the server is a different process than expected or lacks the model.
        misdirected: bool,
    },
    /// The request was sent, and the connection broke or the response was malformed.
    Broken,
    /// The request was sent, and no response began in time.
    Silent,
    /// The server responded with a failure that was not forwarded to the caller.
    Failed,
    /// The complete response was forwarded to the caller.
    Completed {
        /// Whether it was a success.
        success: bool,
    },
    /// The response broke off after its beginning was forwarded to the caller.
    Interrupted,
}

/// Measurements of one attempt at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptStats {
    /// Time from sending to the first event or the head of the response.
    pub first_event: Option<Duration>,
    /// Longest time between two chunks of a stream.
    pub longest_pause: Duration,
    /// Load that the server reported.
    pub load: Option<ServerLoad>,
}

/// Why the platform's store could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// It no longer has the changes after the requested revision.
    HistoryGone,
    /// It was restored from an older copy while its pages were read.
    MixedEras,
    /// It did not answer, or answered with a failure.
    Unavailable,
}

/// Input of the gateway's reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEvent {
    /// A caller's request was received.
    RequestArrived(GatewayRequest),
    /// The caller disconnected.
    CallerDisconnected(RequestNumber),
    /// The beginning of the response was forwarded to the caller.
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
        /// How it ended.
        end: AttemptEnd,
        /// Measurements of the attempt.
        stats: AttemptStats,
    },
    /// A peer called this instance.
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
    /// A read of a server's report ended.
    ReportRead {
        /// The server.
        server: GatewayServerKey,
        /// The report; `None` if it could not be read.
        report: Option<ServerReport>,
    },
    /// A check whether a server accepts connections ended.
    ServerChecked {
        /// The server.
        server: GatewayServerKey,
        /// Whether it accepted one.
        is_reachable: bool,
    },
    /// An order to a server ended.
    OrderEnded {
        /// The server.
        server: GatewayServerKey,
        /// How it ended.
        outcome: ServerOrderOutcome,
    },
    /// The head of a server's answer of any kind says something about the server.
    ServerNoticed {
        /// The server.
        server: GatewayServerKey,
        /// Start of the process that answered, in Unix milliseconds.
        started: u64,
        /// What it says.
        notice: ServerNotice,
    },
    /// The time of [`GatewayEffect::WakeAt`] has come.
    Tick,
    /// The process was asked to shut down.
    ShutdownRequested,
    /// The grace period is almost over; requests still in progress must end.
    ShutdownExpired,
}

/// One attempt to send a request to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDispatch {
    /// The request.
    pub request: RequestNumber,
    /// The server.
    pub server: GatewayServerKey,
    /// The server's id, which the server checks.
    pub id: SmolStr,
    /// Start of the server's process, in Unix milliseconds.
    pub started: u64,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Time since the request arrived; set only for the first send.
    pub waited: Option<Duration>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Time after which the attempt is abandoned if no response has begun.
    pub timeout: Duration,
    /// Address of a server that probably has shared parts of the prompt cached, to be fetched from
    /// there.
    pub prompt_source: Option<SocketAddr>,
    /// Version of the adapter that the server must have, if one was announced.
    pub expected_version: Option<u64>,
    /// Team, as sent to the server.
    pub team: Option<SmolStr>,
    /// Priority, as sent to the server; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Whether a failure response of the server is discarded so that the request can be retried.
    pub retry_failures: bool,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Whether another server may continue the stream.
    pub resumable: bool,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// Times of the stages before this send.
    pub stages: StageTimes,
}

/// Refusal of a request, which ends without a server's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayRefusal {
    /// The request.
    pub request: RequestNumber,
    /// Reason.
    pub kind: ErrorKind,
    /// When the caller should retry.
    pub retry_after: Option<Duration>,
    /// Times of the stages before the refusal; without a route if the request was not admitted.
    pub stages: StageTimes,
}

/// Which part of the platform's store is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// A snapshot of all items.
    Snapshot,
    /// Changes after a revision, as soon as there are any.
    Watch {
        /// The revision.
        after: u64,
        /// Maximum time to wait for a change.
        wait: Duration,
    },
}

/// A log line that records a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Event name, one of those listed in docs/OPERATIONS.md.
    pub event: &'static str,
    /// Identifier of the caller's attempt; empty if the line is not about a request.
    pub attempt: SmolStr,
    /// Inputs and outcome, as `name=value` pairs.
    pub detail: SmolStr,
}

/// Output of the gateway's reducer, to be performed by its driver.
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
        /// The server's id.
        id: SmolStr,
        /// Start of the server's process, in Unix milliseconds.
        started: u64,
        /// The server's address.
        address: SocketAddr,
    },
    /// Check whether a server accepts connections.
    CheckServer {
        /// The server.
        server: GatewayServerKey,
        /// The server's address.
        address: SocketAddr,
    },
    /// Send an order to a server.
    Order {
        /// The server.
        server: GatewayServerKey,
        /// The server's id.
        id: SmolStr,
        /// Start of the server's process, in Unix milliseconds.
        started: u64,
        /// The server's address.
        address: SocketAddr,
        /// The order.
        order: ServerOrder,
    },
    /// Close connections to a server that is no longer used.
    CloseConnections(SmolStr),
    /// Write a line to the log.
    Log(LogEvent),
    /// Send [`GatewayEvent::Tick`] at this time.
    WakeAt(ClockTime),
}
