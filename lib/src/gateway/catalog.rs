//! What the operator publishes for the gateway: routes, services, teams and backend servers.
//!
//! The types are the product's own; the adapter of a platform decodes into them once.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use crate::key::KeyDigest;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request may run once at most.
    Once,
    /// A stream that may run once at most.
    Stream,
    /// A stream that another server may continue after the last event received.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }

    /// Whether a request that may have run can be sent once more.
    pub fn may_repeat(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

/// A service among those that share a route, with its part of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: SmolStr,
    /// Relative weight.
    pub weight: f64,
}

/// Which requests go to which service, and on what terms.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Name, for logs.
    pub name: SmolStr,
    /// Host that the request names.
    pub host: SmolStr,
    /// Start of the path; the longest one that fits wins.
    pub prefix: SmolStr,
    /// Services that share the requests.
    pub targets: Vec<RouteTarget>,
    /// What may be repeated.
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// Longest time until the final answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Time within which an answer counts in full; for streams, until the first event.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub objective: Duration,
    /// Most servers that may run one request.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether the route needs no key.
    pub public: bool,
}

/// A base model that the servers of a service can hold.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelConfig {
    /// Name.
    pub name: SmolStr,
    /// Time of a load from the weight store.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_time: Duration,
    /// Number of adapters that exist.
    pub adapters: u32,
}

/// What is the same for all model servers of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and running requests, in tokens.
    pub cache_tokens: u64,
    /// Places for adapters.
    pub adapter_slots: usize,
    /// Output tokens of an event of a stream.
    pub event_tokens: u32,
    /// Whether a server can fetch parts of prompts from another one.
    pub fetches_prompts: bool,
    /// Base models.
    pub models: Vec<ModelConfig>,
}

/// A service and what its servers bear.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Name.
    pub name: SmolStr,
    /// How long a server stays cold after its start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cold_time: Duration,
    /// Requests a second that a cold server bears; 0 when it is never cold.
    pub cold_rate: f64,
    /// Present for services of model servers.
    pub engine: Option<EngineConfig>,
}

/// What a team's limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// Prompt tokens and most output tokens together.
    Tokens,
}

/// A team, its keys and its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamConfig {
    /// Name that backend servers see.
    pub name: SmolStr,
    /// Digests of the keys in force.
    pub keys: Vec<KeyDigest>,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
    /// What the limit counts.
    pub unit: QuotaUnit,
    /// What a request without token counts costs, in tokens.
    #[serde(rename = "plain_tokens")]
    pub default_request_tokens: f64,
    /// Units a second; 0 means no limit.
    pub rate: f64,
    /// Units beyond the rate.
    pub burst: f64,
}

/// Bounds on what a caller may send.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Longest headers together, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_time: Duration,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingConfig {
    /// Grows with each configuration, in uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteConfig>,
    /// Services.
    pub services: Vec<ServiceConfig>,
    /// Teams; without any, no key is needed.
    pub teams: Vec<TeamConfig>,
    /// Bounds on callers.
    pub bounds: CallerBounds,
}

impl ServingConfig {
    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// An adapter that a server holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedAdapter {
    /// Name within its base model.
    pub name: SmolStr,
    /// Version of its weights.
    pub version: u64,
}

/// A base model that a server holds, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name.
    pub name: SmolStr,
    /// Adapters that are in place.
    pub adapters: Vec<LoadedAdapter>,
}

/// What a backend server says of itself in the published list.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Identity of one incarnation, mostly; see `started`.
    pub id: SmolStr,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no more requests.
    pub draining: bool,
    /// How much longer it bears little, from when the record was written.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cold_for: Duration,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Unix milliseconds of its start; tells incarnations with one id apart.
    pub started: u64,
    /// Base models and adapters in place.
    pub models: Vec<LoadedModel>,
}

/// A server's report of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Unix milliseconds of its start, if it said so.
    pub started: Option<u64>,
    /// Whether an order on a base model is in progress.
    pub busy: bool,
    /// Base models and adapters in place.
    pub models: Vec<LoadedModel>,
    /// Base models that the server can load without the weight store.
    pub cached_models: Vec<SmolStr>,
    /// Adapters on their way, as (model, adapter).
    pub loading_adapters: Vec<(SmolStr, LoadedAdapter)>,
}

/// One thing that the platform publishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PublishedItem {
    /// The configuration in force.
    Config(std::sync::Arc<ServingConfig>),
    /// A data centre whose servers get no more requests.
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
    /// Revision of the change; grows over all keys.
    pub revision: u64,
    /// The item; `None` when it was removed or names nothing to use.
    pub item: Option<PublishedItem>,
}
