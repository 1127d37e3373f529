//! The items that the platform publishes for the gateway: the operator's configuration with routes,
//! services and teams, and backend servers.
//!
//! The types do not depend on a platform; the adapter of a platform converts its formats to them.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use crate::key::KeyDigest;

/// Whether and when requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// A stream that may run at most once.
    Stream,
    /// A stream that another server may continue after the last event received.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }

    /// Whether a request that may have run can be sent again.
    pub fn may_retry(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

/// One of the services that share the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: SmolStr,
    /// Weight relative to the other targets of the route.
    pub weight: f64,
}

/// A route: which requests go to which services, with timeouts, retry policy and priority.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Name, for logs.
    pub name: SmolStr,
    /// Host in the request.
    pub host: SmolStr,
    /// Prefix of the path; the route with the longest matching prefix applies.
    pub prefix: SmolStr,
    /// Services that share the requests.
    pub targets: Vec<RouteTarget>,
    /// Retry policy.
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// Maximum time until the request ends.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Latency objective of the response, or for streams of the first event.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub objective: Duration,
    /// Objective for the longest pause between two events of a stream, if there is one.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub pause_objective: Option<Duration>,
    /// Maximum number of servers that may run one request.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the route can be used without a key.
    pub public: bool,
}

/// A base model that the servers of a service can load.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelConfig {
    /// Name.
    pub name: SmolStr,
    /// Time to load the model from the weight store.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_time: Duration,
    /// Number of its adapters.
    pub adapters: u32,
}

/// Properties that all model servers of a service share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Size of the cache for prompts and running requests, in tokens.
    pub cache_tokens: u64,
    /// Number of adapters that can be loaded at the same time.
    pub adapter_slots: usize,
    /// Output tokens per event of a stream.
    pub event_tokens: u32,
    /// Whether a server can fetch cached parts of prompts from another one.
    pub fetches_prompts: bool,
    /// Base models that the servers can load.
    pub models: Vec<ModelConfig>,
}

/// A service and the capacity of its servers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Name.
    pub name: SmolStr,
    /// How long a server is cold, with reduced capacity, after its start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cold_time: Duration,
    /// Requests per second that a cold server can handle; 0 if servers are never cold.
    pub cold_rate: f64,
    /// Set for services of model servers.
    pub engine: Option<EngineConfig>,
}

/// Unit of a team's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Requests; each one costs 1.
    Requests,
    /// Prompt tokens plus the maximum number of output tokens.
    Tokens,
}

/// A team, its keys and its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamConfig {
    /// Name, as sent to backend servers.
    pub name: SmolStr,
    /// Digests of the valid keys.
    pub keys: Vec<KeyDigest>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Unit of the limit.
    pub unit: QuotaUnit,
    /// Cost of a request without token counts, in tokens.
    #[serde(rename = "plain_tokens")]
    pub default_request_tokens: f64,
    /// Units per second; 0 means no limit.
    pub rate: f64,
    /// Units that may exceed the rate at once.
    pub burst: f64,
}

/// Limits on callers' requests and connections.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Maximum total size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_time: Duration,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingConfig {
    /// Increases with each configuration, but not always by 1.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteConfig>,
    /// Services.
    pub services: Vec<ServiceConfig>,
    /// Teams; if there are none, callers need no key.
    pub teams: Vec<TeamConfig>,
    /// Limits on callers.
    pub bounds: CallerBounds,
}

impl ServingConfig {
    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// An adapter that is loaded on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedAdapter {
    /// Name within its base model.
    pub name: SmolStr,
    /// Version of its weights.
    pub version: u64,
}

/// A base model that is loaded on a server, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name.
    pub name: SmolStr,
    /// Loaded adapters.
    pub adapters: Vec<LoadedAdapter>,
}

/// A backend server's registration.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Identifier of the server. A restarted server usually gets a new one; see `started`.
    pub id: SmolStr,
    /// Service to which it belongs.
    pub service: SmolStr,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: SmolStr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is shutting down and accepts no more requests.
    pub draining: bool,
    /// Remaining time for which it is cold, counted from when the record was written.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cold_for: Duration,
    /// Number of orders accepted since its start.
    pub sequence: u64,
    /// Start of its process, in Unix milliseconds; distinguishes processes with the same id.
    pub started: u64,
    /// Loaded base models and adapters.
    pub models: Vec<LoadedModel>,
}

/// A server's report of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Number of orders accepted since its start.
    pub sequence: u64,
    /// Start of its process, in Unix milliseconds, if reported.
    pub started: Option<u64>,
    /// Whether an order on a base model is in progress.
    pub busy: bool,
    /// Loaded base models and adapters.
    pub models: Vec<LoadedModel>,
    /// Base models that the server can load without the weight store.
    pub cached_models: Vec<SmolStr>,
    /// Adapters that are being loaded, as (model, adapter).
    pub loading_adapters: Vec<(SmolStr, LoadedAdapter)>,
}

/// An item that the platform publishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PublishedItem {
    /// The current configuration.
    Config(std::sync::Arc<ServingConfig>),
    /// An evacuated data centre, whose servers get no new requests.
    Evacuation(SmolStr),
    /// The newest version of an adapter.
    AdapterVersion {
        /// Base model.
        model: SmolStr,
        /// Adapter.
        adapter: SmolStr,
        /// Version.
        version: u64,
    },
    /// A backend server.
    Server(ServerRecord),
}

/// A published item that was written or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedChange {
    /// Key in the store.
    pub key: SmolStr,
    /// Revision of the change; increases with each change of any key.
    pub revision: u64,
    /// The item; `None` if it was removed or is of no use to the gateway.
    pub item: Option<PublishedItem>,
}
