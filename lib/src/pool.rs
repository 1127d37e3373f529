//! Pools: backend servers in one data centre with the same workload, which are scheduled together.

use std::{cmp::Reverse, collections::BTreeMap};

use la_arena::{Arena, Idx};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    config::{AdapterKey, BaseKey, ConfigState, DataCentreKey, ServerKey, ServerRole, ServiceKey},
    rendezvous,
};

/// Key of a pool in a [`PoolTable`].
pub type PoolKey = Idx<PoolRecord>;

/// The model, adapter or service that a request runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkTarget {
    /// A base model without an adapter.
    Base(BaseKey),
    /// One version of an adapter.
    Adapter {
        /// The adapter.
        adapter: AdapterKey,
        /// Its version.
        version: u32,
    },
    /// A plain service.
    Service(ServiceKey),
}

impl WorkTarget {
    /// Name of the adapter, base model or service.
    pub fn name(self, config: &ConfigState) -> &SmolStr {
        match self {
            WorkTarget::Base(base) => &config.bases[base].name,
            WorkTarget::Adapter { adapter, .. } => &config.adapters[adapter].name,
            WorkTarget::Service(service) => &config.services[service].name,
        }
    }

    /// Name of the base model or service that a server must run to serve the target.
    fn required_workload(self, config: &ConfigState) -> &SmolStr {
        match self {
            WorkTarget::Base(base) => &config.bases[base].name,
            WorkTarget::Adapter { adapter, .. } => {
                &config.bases[config.adapters[adapter].base].name
            }
            WorkTarget::Service(service) => &config.services[service].name,
        }
    }
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolRecord {
    /// `DATA-CENTRE/BASE` or `DATA-CENTRE/SERVICE`.
    pub name: SmolStr,
    /// The data centre of all its servers.
    pub data_centre: DataCentreKey,
    /// Its servers, including those out of service.
    pub servers: Vec<ServerKey>,
}

/// All pools of a configuration. Keys stay valid when the configuration is extended.
#[derive(Clone, Debug, Default)]
pub struct PoolTable {
    arena: Arena<PoolRecord>,
    by_name: BTreeMap<SmolStr, PoolKey>,
    pool_by_server: BTreeMap<ServerKey, PoolKey>,
    servers_by_workload: BTreeMap<SmolStr, Vec<ServerKey>>,
}

impl PoolTable {
    /// Adds the servers of `config` that the table does not have yet.
    pub fn extend(&mut self, config: &ConfigState) {
        let known_servers = self.pool_by_server.len();
        for (server, record) in config.servers.iter().skip(known_servers) {
            let workload = match &record.role {
                ServerRole::Engine { base, .. } => base,
                ServerRole::Service { service } => service,
            };
            let data_centre = &config.data_centres[record.data_centre].name;
            let name = format_smolstr!("{data_centre}/{workload}");
            let pool = match self.by_name.get(&name) {
                Some(pool) => *pool,
                None => self.add_pool(name, record.data_centre),
            };
            self.arena[pool].servers.push(server);
            self.pool_by_server.insert(server, pool);
            self.servers_by_workload
                .entry(workload.clone())
                .or_default()
                .push(server);
        }
    }

    fn add_pool(&mut self, name: SmolStr, data_centre: DataCentreKey) -> PoolKey {
        let pool = self.arena.alloc(PoolRecord {
            name: name.clone(),
            data_centre,
            servers: Vec::new(),
        });
        self.by_name.insert(name, pool);
        pool
    }

    /// The pool named `name`.
    pub fn key(&self, name: &str) -> Option<PoolKey> {
        self.by_name.get(name).copied()
    }

    /// The pool that a server belongs to.
    pub fn pool_of_server(&self, server: ServerKey) -> Option<PoolKey> {
        self.pool_by_server.get(&server).copied()
    }

    /// The record of a pool.
    pub fn record(&self, pool: PoolKey) -> &PoolRecord {
        &self.arena[pool]
    }

    /// All pools, in the order they were added.
    pub fn iter(&self) -> impl Iterator<Item = (PoolKey, &PoolRecord)> {
        self.arena.iter()
    }

    /// Pools with servers in service that can run `target`, best first.
    ///
    /// Adapters are spread over the servers by rendezvous hashing, so that a pool gets adapters in
    /// proportion to its number of servers. Plain services and base models need no adapter, so
    /// pools in the data centre `local` come first for them.
    pub fn candidates(
        &self,
        config: &ConfigState,
        target: WorkTarget,
        local: Option<DataCentreKey>,
    ) -> Vec<PoolKey> {
        let Some(servers) = self
            .servers_by_workload
            .get(target.required_workload(config))
        else {
            return Vec::new();
        };
        // Only the best server of each pool is kept, which avoids sorting all servers of the fleet.
        let key = target.name(config);
        let is_adapter = matches!(target, WorkTarget::Adapter { .. });
        let mut ranks: BTreeMap<PoolKey, PoolRank> = BTreeMap::new();
        for server in servers {
            if !config.server_in_service(*server) {
                continue;
            }
            let record = &config.servers[*server];
            let rank = PoolRank {
                is_remote: !is_adapter && Some(record.data_centre) != local,
                weight: Reverse(rendezvous::weight(key, &record.name)),
            };
            let pool = self.pool_by_server[server];
            let best = ranks.entry(pool).or_insert(rank);
            *best = rank.min(*best);
        }
        let mut pools: Vec<(PoolRank, PoolKey)> =
            ranks.into_iter().map(|(pool, rank)| (rank, pool)).collect();
        pools.sort();
        pools.into_iter().map(|(_, pool)| pool).collect()
    }
}

/// Sort key of a pool for one target; pools are tried in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolRank {
    is_remote: bool,
    weight: Reverse<u64>,
}
