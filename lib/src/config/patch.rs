//! Patches: what operators write, each against a numbered version of the configuration.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::key::KeyDigest;

/// A change to the configuration, accepted or rejected whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPatch {
    /// The version that the patch was made against.
    pub base: u64,
    /// Who made it, for the audit log.
    pub author: SmolStr,
    /// What it is for.
    #[serde(default)]
    pub note: SmolStr,
    /// Applied in order.
    pub changes: Vec<ConfigChange>,
}

/// How a team's price is billed; also the priority of its requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriceClass {
    /// Paid more, dispatched first.
    Premium,
    /// The ordinary price.
    #[default]
    Standard,
}

/// Rates and bursts of a team, counted over all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRate {
    /// Tokens a second, prompt and output together.
    pub tokens_per_second: u64,
    /// Tokens that may be used at once.
    pub burst_tokens: u64,
    /// Requests a second.
    pub requests_per_second: u64,
    /// Requests that may arrive at once.
    pub burst_requests: u64,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// HTTP method in upper case.
    pub method: SmolStr,
    /// Path prefix below the service, starting with `/`.
    pub path: SmolStr,
    /// Whether the call may be repeated safely.
    pub idempotent: bool,
    /// Whether the call needs no key.
    #[serde(default)]
    pub open: bool,
}

/// What a backend server runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// A model engine.
    Engine {
        /// The base model it has loaded.
        base: SmolStr,
        /// Adapter slots.
        slots: u32,
        /// Whether it refuses orders with an old fencing number.
        enforces_fencing: bool,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: SmolStr,
    },
}

/// One step of a patch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigChange {
    /// Adds an owner who is billed.
    AddOwner {
        /// The owner's name.
        owner: SmolStr,
    },
    /// Adds a team of an owner.
    AddTeam {
        /// The team's name.
        team: SmolStr,
        /// The owner billed for it.
        owner: SmolStr,
        /// Rates and bursts.
        rate: TeamRate,
        /// Weight in fair queueing.
        #[serde(default = "default_weight")]
        weight: u32,
        /// Price class of its requests.
        #[serde(default)]
        price: PriceClass,
    },
    /// Changes a team's rates and bursts.
    SetRate {
        /// The team's name.
        team: SmolStr,
        /// The new rates and bursts.
        rate: TeamRate,
    },
    /// Removes a team; its keys and adapters stop working.
    RemoveTeam {
        /// The team's name.
        team: SmolStr,
    },
    /// Grants a key to a team. A key id is never granted twice.
    GrantKey {
        /// The key's id.
        key: SmolStr,
        /// The team it opens.
        team: SmolStr,
        /// Digest of the whole key.
        sha256: KeyDigest,
    },
    /// Withdraws a key for good.
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
        /// The base model it extends.
        base: SmolStr,
        /// The team it belongs to.
        team: SmolStr,
        /// Its first version, in force at once.
        version: u32,
    },
    /// Puts another version of an adapter in force.
    SetVersion {
        /// The adapter's name.
        adapter: SmolStr,
        /// The version that new requests run on.
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
        /// The team it belongs to; `None` when every team may call it.
        #[serde(default)]
        team: Option<SmolStr>,
        /// Its calls; the first that fits counts.
        calls: Vec<ServiceCall>,
    },
    /// Adds a region with its weight store.
    AddRegion {
        /// The region's name.
        region: SmolStr,
        /// Adapter loads a second that the weight store allows.
        store_loads_per_second: u64,
        /// Adapter loads that run at full speed together.
        loads_in_flight: u32,
    },
    /// Adds a data centre, in service.
    AddDataCentre {
        /// The data centre's name.
        data_centre: SmolStr,
        /// The region it lies in.
        region: SmolStr,
    },
    /// Takes a data centre out of service or brings it back.
    SetDataCentre {
        /// The data centre's name.
        data_centre: SmolStr,
        /// Whether it takes new work.
        in_service: bool,
    },
    /// Adds a backend server, in service.
    AddServer {
        /// The server's name.
        server: SmolStr,
        /// The data centre it stands in.
        data_centre: SmolStr,
        /// Where it listens.
        address: SocketAddr,
        /// Requests it bears at once when warm.
        concurrency: u32,
        /// What it runs.
        role: ServerRole,
    },
    /// Takes a backend server out of service or brings it back.
    SetServer {
        /// The server's name.
        server: SmolStr,
        /// Whether it takes new work.
        in_service: bool,
    },
    /// Adds an instance of the system.
    AddInstance {
        /// The instance's name.
        instance: SmolStr,
        /// The data centre it stands in.
        data_centre: SmolStr,
        /// Where callers connect.
        caller_address: SocketAddr,
        /// Where other instances connect.
        peer_address: SocketAddr,
    },
    /// Removes an instance for good.
    RemoveInstance {
        /// The instance's name.
        instance: SmolStr,
    },
}

fn default_weight() -> u32 {
    1
}
