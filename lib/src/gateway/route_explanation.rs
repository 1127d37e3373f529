//! Explanation of where a request would be routed, as shown to operators. Durations are serialized
//! in milliseconds.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

pub use super::choice::AdapterResidency;
use super::{exclusion::ServerExclusion, server_scheduler::DeclineReason};
use crate::error::ErrorKind;

/// Where an instance would route a request now, and why.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Version of the configuration.
    pub config_version: u64,
    /// Time since the configuration and the list of servers were last known to be current; `None`
    /// if they never were.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "catalog_age_ms")]
    pub catalog_age: Option<Duration>,
    /// The route.
    pub route: RouteView,
    /// Team of the request.
    pub team: Option<SmolStr>,
    /// Requested model, `MODEL` or `MODEL/ADAPTER`.
    pub model: Option<SmolStr>,
    /// Oldest version of the adapter that the request may run on, if one was announced.
    pub min_version: Option<u64>,
    /// Whether the request would be admitted.
    pub admission: AdmissionView,
    /// Services that share the requests of the route.
    pub services: Vec<ServiceView>,
    /// What the explanation does not consider.
    pub notes: Vec<String>,
}

/// A route.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteView {
    /// Name.
    pub name: SmolStr,
    /// Host in the request.
    pub host: SmolStr,
    /// Prefix of the path.
    pub prefix: SmolStr,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective of the response or its first event.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "objective_ms")]
    pub objective: Duration,
    /// Maximum time until the request ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
}

/// How a request would be rejected.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Error kind.
    pub kind: ErrorKind,
    /// Retry delay that the caller is given.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
}

/// Whether a request would be admitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum AdmissionView {
    /// It would.
    Admitted {
        /// Cost of the request, in the unit of the team's limit.
        cost: f64,
    },
    /// It would if peers lend what this instance's share of the team's quota lacks.
    Loan {
        /// Cost of the request, in the unit of the team's limit.
        cost: f64,
        /// Units that are missing.
        missing: f64,
        /// Number of peers that would be asked.
        lenders: usize,
        /// How it would be rejected if they lend too little.
        otherwise: Rejection,
    },
    /// It would not.
    Rejected(Rejection),
}

/// A service that may get the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of the route's requests that it gets, from 0 to 1.
    pub share: f64,
    /// What would happen to the request if it is admitted.
    pub decision: RouteDecision,
    /// Servers that can be selected, the preferred one first.
    pub candidates: Vec<CandidateView>,
    /// Servers that cannot.
    pub excluded: Vec<ExcludedView>,
}

/// What would happen to an admitted request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "next", rename_all = "snake_case")]
pub enum RouteDecision {
    /// It would be sent to this server.
    Send {
        /// The server.
        server: SmolStr,
        /// Time until then.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "wait_ms")]
        wait: Duration,
    },
    /// It would be sent immediately to one of the candidates of a plain service, with a preference
    /// for little load; the choice has a random part.
    SendToAny,
    /// Another instance that schedules this server would be asked for a grant.
    AskScheduler {
        /// The server.
        server: SmolStr,
    },
    /// It would wait for a server.
    Wait {
        /// Longest time until it is rejected.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "max_wait_ms")]
        max_wait: Duration,
        /// How it would be rejected then.
        otherwise: Rejection,
    },
    /// It would be rejected immediately.
    Reject(Rejection),
}

/// A server that can be selected.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateView {
    /// Id of the server.
    pub server: SmolStr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Whether that is the data centre of the instance.
    pub is_local: bool,
    /// Sum of `cost_parts`; `None` for plain services.
    pub cost: Option<f64>,
    /// Cost of selecting the server, by part. A millisecond until the first event costs 0.2, or more
    /// if that is late.
    pub cost_parts: BTreeMap<SmolStr, f64>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// This instance's requests at the server.
    pub in_flight: u32,
    /// Estimated number of requests of all instances at the server.
    pub load: f64,
    /// Age of the load that the server reported; `None` if it reported none.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "load_age_ms")]
    pub load_age: Option<Duration>,
    /// Share of failures among recent outcomes, from 0 to 1.
    pub failure_share: f64,
    /// Time since the last of these outcomes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "failures_age_ms")]
    pub failures_age: Duration,
    /// Inputs that only model servers have.
    pub engine: Option<EngineInputs>,
    /// Reply of the server's scheduler, if that is this instance and the server would be tried.
    pub grant: Option<GrantView>,
}

/// What is known about a model server with regard to the request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineInputs {
    /// Where the server has the model and adapter.
    pub residency: AdapterResidency,
    /// Whether its scheduler may order loads.
    pub may_order: bool,
    /// Expected time until it could start on another prompt.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backlog_ms")]
    pub backlog: Duration,
    /// The instance that schedules it.
    pub scheduler: SchedulerView,
}

/// The instance that schedules a model server, from which the other inputs come.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "by", rename_all = "snake_case")]
pub enum SchedulerView {
    /// This instance; the inputs are current.
    Own,
    /// Another instance.
    Peer {
        /// Its name.
        instance: SmolStr,
        /// Time since its heartbeat was last seen to grow.
        #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
        #[serde(rename = "heartbeat_age_ms")]
        heartbeat_age: Option<Duration>,
        /// Age of the backlog; `None` if it was never told.
        #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
        #[serde(rename = "backlog_age_ms")]
        backlog_age: Option<Duration>,
    },
    /// No instance; the inputs come from the server's published record.
    None,
}

/// Reply of a scheduler to a grant request.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum GrantView {
    /// The request may be sent.
    Granted {
        /// Time until then.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "wait_ms")]
        wait: Duration,
    },
    /// It may not.
    Declined {
        /// Why not.
        reason: DeclineReason,
    },
}

/// A server that cannot be selected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExcludedView {
    /// Id of the server.
    pub server: SmolStr,
    /// Why not.
    #[serde(flatten)]
    pub reason: ServerExclusion,
}
