//! Events that the reducer consumes, and effects that it returns.

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

/// Number of a caller's request, unique within an incarnation of the instance.
pub type RequestNumber = u64;

/// What a caller's request addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// A completion by a model, named `BASE` or `BASE:ADAPTER`.
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
    /// Number of the request.
    pub number: RequestNumber,
    /// The model or service that it addresses.
    pub target: CallTarget,
    /// Key of the request; `Err` if it sent a key that cannot be parsed.
    pub key: Result<Option<HashedKey>, ()>,
    /// Number of prompt tokens, estimated from the body.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens requested.
    pub max_tokens: u64,
    /// Time until the caller's deadline.
    pub timeout: Duration,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<SmolStr>,
    /// W3C `traceparent` of the request's span; empty if there is none.
    pub trace: SmolStr,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request arrived.
    RequestArrived(CallerRequest),
    /// The caller disconnected.
    CallerDisconnected(RequestNumber),
    /// The first byte of the response was sent to the caller.
    ResponseStarted(RequestNumber),
    /// The complete response was sent to the caller.
    ResponseFinished {
        /// The request.
        request: RequestNumber,
        /// Prompt tokens as counted by the server, if reported.
        prompt_tokens: Option<u64>,
        /// Output tokens.
        output_tokens: u64,
    },
    /// The request or its response failed.
    ResponseFailed {
        /// The request.
        request: RequestNumber,
        /// Whether the server may have run the request.
        run: RunState,
        /// Output tokens received before the failure.
        output_tokens: u64,
    },
    /// Entries of the configuration log were read from the configuration service.
    LogRead(Vec<LogEntry>),
    /// The platform's list of instances was read.
    InstancesListed(Vec<InstanceListing>),
    /// An envelope from another instance was received.
    EnvelopeReceived(PeerEnvelope),
    /// An envelope could not be delivered to the named instance.
    EnvelopeUndelivered(SmolStr),
    /// An order to an engine completed or failed.
    OrderDone(EngineOrder, OrderOutcome),
    /// A load report of a server arrived or failed.
    LoadReported {
        /// The server.
        server: ServerKey,
        /// When the report was requested.
        requested_at: ClockTime,
        /// The report; `None` if the server did not respond.
        report: Option<LoadReport>,
    },
    /// The time requested by [`Effect::WakeAt`] was reached.
    Tick,
    /// Shutdown of the process was requested.
    ShutdownRequested,
}

/// Instruction to send a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The request.
    pub request: RequestNumber,
    /// The server's name.
    pub server: SmolStr,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Model name for the engine, `BASE` or `BASE:ADAPTER@VERSION`; otherwise the service's name.
    pub model: SmolStr,
    /// Price class, which determines the priority on the engine.
    pub price: PriceClass,
    /// Time remaining until the caller's deadline.
    pub time_left: Duration,
}

/// Refusal of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// The request.
    pub request: RequestNumber,
    /// Reason for the refusal.
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub run: RunState,
    /// Delay before a retry.
    pub retry_after: Option<Duration>,
}

/// Action requested by the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a server.
    Dispatch(DispatchOrder),
    /// Refuse the request, or end its response with an error if it has started.
    Refuse(RequestRefusal),
    /// Cancel the request on its server, since nobody waits for the response.
    Abort(RequestNumber),
    /// Send a message to another instance.
    SendToPeer {
        /// The instance's name.
        to: SmolStr,
        /// Address that the instance listens on for peers.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send an order to an engine.
    OrderEngine {
        /// The order.
        order: EngineOrder,
        /// Address that the engine listens on.
        address: SocketAddr,
        /// Name of the adapter.
        adapter: SmolStr,
    },
    /// Request a load report from a server.
    PollLoad {
        /// The server.
        server: ServerKey,
        /// Address that the server listens on.
        address: SocketAddr,
    },
    /// Log that an entry of the configuration log was processed.
    LogApplied {
        /// Position in the log.
        sequence: u64,
        /// Configuration version after the entry.
        version: u64,
        /// Reason for rejecting the entry, if it was rejected.
        fault: Option<Arc<str>>,
    },
    /// Record a trace span for the scheduling of a request, which may have been received by another
    /// instance.
    TraceGrant {
        /// W3C `traceparent` of the request's span.
        trace: SmolStr,
        /// The pool.
        pool: SmolStr,
        /// The server assigned to the request.
        server: SmolStr,
        /// Time that the request spent in the queue.
        waited: Duration,
    },
    /// Send [`Event::Tick`] at this time; replaces an earlier [`Effect::WakeAt`].
    WakeAt(ClockTime),
}
