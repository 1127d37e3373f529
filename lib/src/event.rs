//! What the reducer is told, and what it wants done.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use smol_str::SmolStr;

use crate::{
    clock::ClockTime,
    config::{LogEntry, PriceClass, ServerKey},
    engine::{EngineOrder, LoadReport, OrderOutcome},
    error::{ErrorKind, RunState},
    key::HashedKey,
    member::InstanceListing,
    message::{PeerEnvelope, PeerMessage},
};

/// Number of a caller's request, unique within the process life.
pub type RequestNumber = u64;

/// What a caller wants run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// A completion: `BASE` or `BASE:ADAPTER`.
    Model(SmolStr),
    /// A call of a plain service.
    Service {
        /// The service's name.
        service: SmolStr,
        /// HTTP method in upper case.
        method: SmolStr,
        /// Path below the service, starting with `/`.
        path: SmolStr,
    },
}

/// A caller's request, without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Its number.
    pub number: RequestNumber,
    /// What it wants run.
    pub target: CallTarget,
    /// The key that came with it; `Err` when there was one that does not parse.
    pub key: Result<Option<HashedKey>, ()>,
    /// Prompt tokens, as estimated from the body.
    pub prompt_tokens: u64,
    /// Most output tokens asked for.
    pub max_tokens: u64,
    /// How long the caller waits.
    pub timeout: Duration,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<SmolStr>,
    /// W3C `traceparent` of the request's span; empty when there is none.
    pub trace: SmolStr,
}

/// What the reducer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request arrived.
    RequestArrived(CallerRequest),
    /// The caller went away.
    CallerDisconnected(RequestNumber),
    /// The first byte of the answer went to the caller.
    ResponseStarted(RequestNumber),
    /// The whole answer went to the caller.
    ResponseFinished {
        /// The request.
        request: RequestNumber,
        /// Prompt tokens as the server counted them, if it did.
        prompt_tokens: Option<u64>,
        /// Output tokens.
        output_tokens: u64,
    },
    /// The answer failed.
    ResponseFailed {
        /// The request.
        request: RequestNumber,
        /// Whether the server may have run it.
        run: RunState,
        /// Output tokens received before the failure.
        output_tokens: u64,
    },
    /// Log entries were read from the configuration service.
    LogRead(Vec<LogEntry>),
    /// The platform's list of instances was read.
    InstancesListed(Vec<InstanceListing>),
    /// An envelope came from another instance.
    EnvelopeReceived(PeerEnvelope),
    /// An envelope did not reach another instance.
    EnvelopeUndelivered(SmolStr),
    /// An engine answered an order, or did not.
    OrderDone(EngineOrder, OrderOutcome),
    /// A server reported its load.
    LoadReported {
        /// The server.
        server: ServerKey,
        /// When the report was asked for.
        requested_at: ClockTime,
        /// The report; `None` when the server did not answer.
        report: Option<LoadReport>,
    },
    /// The time asked for by [`Effect::WakeAt`] has come.
    Tick,
    /// The process was told to stop.
    ShutdownRequested,
}

/// Where and how to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The request.
    pub request: RequestNumber,
    /// The server's name.
    pub server: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Model name for the engine: `BASE` or `BASE:ADAPTER@VERSION`; the service's name otherwise.
    pub model: SmolStr,
    /// Price class, which sets the engine's priority.
    pub price: PriceClass,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
}

/// A refusal to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// The request.
    pub request: RequestNumber,
    /// Why.
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub run: RunState,
    /// Delay before a retry.
    pub retry_after: Option<Duration>,
}

/// What the reducer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a server.
    Dispatch(DispatchOrder),
    /// Refuse the request, or end its answer with an error when it has begun.
    Refuse(RequestRefusal),
    /// Stop the request on its server; nobody waits for the answer.
    Abort(RequestNumber),
    /// Send a message to another instance.
    SendToPeer {
        /// The instance's name.
        to: SmolStr,
        /// Where it listens for peers.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send an order to an engine.
    OrderEngine {
        /// The order.
        order: EngineOrder,
        /// Where the engine listens.
        address: SocketAddr,
        /// Name of the adapter.
        adapter: SmolStr,
    },
    /// Ask a server for its load.
    PollLoad {
        /// The server.
        server: ServerKey,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Report an entry of the configuration log that was applied.
    LogApplied {
        /// Position in the log.
        sequence: u64,
        /// The version after it.
        version: u64,
        /// Why it was rejected, if it was.
        fault: Option<Arc<str>>,
    },
    /// Trace the scheduling of a request, whose entry may be another instance.
    TraceGrant {
        /// W3C `traceparent` of the request's span.
        trace: SmolStr,
        /// The pool.
        pool: SmolStr,
        /// The server that the request may go to.
        server: SmolStr,
        /// How long it waited.
        waited: Duration,
    },
    /// Send [`Event::Tick`] at this time; replaces an earlier wish.
    WakeAt(ClockTime),
}
