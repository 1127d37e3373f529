//! Configuration patches, as written by operators against a version of the configuration.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::key::KeyDigest;

/// A set of changes to the configuration, accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPatch {
    /// Version of the configuration that the patch is based on.
    pub base: u64,
    /// Author of the patch, for the audit log.
    pub author: SmolStr,
    /// Purpose of the patch.
    #[serde(default)]
    pub note: SmolStr,
    /// The changes, applied in order.
    pub changes: Vec<ConfigChange>,
}

/// Price class of a team's requests, which also determines their priority.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriceClass {
    /// Higher price; dispatched first.
    Premium,
    /// Standard price.
    #[default]
    Standard,
}

/// Rate limits and bursts of a team, enforced across all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRate {
    /// Tokens per second, prompt and output tokens together.
    pub tokens_per_second: u64,
    /// Burst of tokens.
    pub burst_tokens: u64,
    /// Requests per second.
    pub requests_per_second: u64,
    /// Burst of requests.
    pub burst_requests: u64,
}

/// A call that a plain service offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// HTTP method in upper case.
    pub method: SmolStr,
    /// Path prefix relative to the service, starting with `/`.
    pub path: SmolStr,
    /// Whether the call is idempotent, so that it may be retried.
    pub idempotent: bool,
    /// Whether the call is open to callers without a key.
    #[serde(default)]
    pub open: bool,
}

/// The workload of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// A model engine.
    Engine {
        /// Name of the base model that the engine serves.
        base: SmolStr,
        /// Number of adapter slots.
        slots: u32,
        /// Whether the engine rejects orders with an outdated fencing token.
        enforces_fencing: bool,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: SmolStr,
    },
}

/// One change of a patch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigChange {
    /// Adds an owner, who is billed for teams.
    AddOwner {
        /// The owner's name.
        owner: SmolStr,
    },
    /// Adds a team of an owner.
    AddTeam {
        /// The team's name.
        team: SmolStr,
        /// Name of the owner who is billed for the team.
        owner: SmolStr,
        /// Rate limits and bursts.
        rate: TeamRate,
        /// Weight in fair queueing.
        #[serde(default = "default_weight")]
        weight: u32,
        /// Price class of the team's requests.
        #[serde(default)]
        price: PriceClass,
    },
    /// Changes a team's rate limits and bursts.
    SetRate {
        /// The team's name.
        team: SmolStr,
        /// The new rate limits and bursts.
        rate: TeamRate,
    },
    /// Removes a team; its keys and adapters stop working.
    RemoveTeam {
        /// The team's name.
        team: SmolStr,
    },
    /// Grants an API key to a team. A key id cannot be reused.
    GrantKey {
        /// The key's id.
        key: SmolStr,
        /// Name of the team that the key authenticates.
        team: SmolStr,
        /// Digest of the whole key.
        sha256: KeyDigest,
    },
    /// Withdraws an API key permanently.
    WithdrawKey {
        /// The key's id.
        key: SmolStr,
    },
    /// Adds a base model.
    AddBase {
        /// The base model's name.
        base: SmolStr,
        /// Whether callers may use it without an adapter.
        #[serde(default)]
        open: bool,
    },
    /// Adds an adapter of a team, with its first version.
    AddAdapter {
        /// The adapter's name.
        adapter: SmolStr,
        /// Name of the base model that the adapter extends.
        base: SmolStr,
        /// Name of the team that the adapter belongs to.
        team: SmolStr,
        /// The first version, which takes effect immediately.
        version: u32,
    },
    /// Switches an adapter to another version.
    SetVersion {
        /// The adapter's name.
        adapter: SmolStr,
        /// The version to use for new requests.
        version: u32,
    },
    /// Removes an adapter.
    RemoveAdapter {
        /// The adapter's name.
        adapter: SmolStr,
    },
    /// Adds a plain service.
    AddService {
        /// The service's name.
        service: SmolStr,
        /// Name of the team that may call the service; `None` if every team may.
        #[serde(default)]
        team: Option<SmolStr>,
        /// The service's calls; the first match applies.
        calls: Vec<ServiceCall>,
    },
    /// Adds a region and its weight store.
    AddRegion {
        /// The region's name.
        region: SmolStr,
        /// Adapter loads per second that the weight store supports.
        store_loads_per_second: u64,
        /// Concurrent adapter loads that the weight store serves at full speed.
        loads_in_flight: u32,
    },
    /// Adds a data centre, initially in service.
    AddDataCentre {
        /// The data centre's name.
        data_centre: SmolStr,
        /// Name of the data centre's region.
        region: SmolStr,
    },
    /// Takes a data centre out of service, or puts it back into service.
    SetDataCentre {
        /// The data centre's name.
        data_centre: SmolStr,
        /// Whether it accepts new work.
        in_service: bool,
    },
    /// Adds a backend server, initially in service.
    AddServer {
        /// The server's name.
        server: SmolStr,
        /// Name of its data centre.
        data_centre: SmolStr,
        /// Address that the server listens on.
        address: SocketAddr,
        /// Number of concurrent requests that the server handles when warm.
        concurrency: u32,
        /// The workload that it runs.
        role: ServerRole,
    },
    /// Takes a backend server out of service, or puts it back into service.
    SetServer {
        /// The server's name.
        server: SmolStr,
        /// Whether it accepts new work.
        in_service: bool,
    },
    /// Adds an instance.
    AddInstance {
        /// The instance's name.
        instance: SmolStr,
        /// Name of its data centre.
        data_centre: SmolStr,
        /// Address for callers.
        caller_address: SocketAddr,
        /// Address for other instances.
        peer_address: SocketAddr,
    },
    /// Removes an instance permanently.
    RemoveInstance {
        /// The instance's name.
        instance: SmolStr,
    },
}

fn default_weight() -> u32 {
    1
}
