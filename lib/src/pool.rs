//! Pools: the backend servers of one kind in one data centre, scheduled together.

use std::{cmp::Reverse, collections::BTreeMap};

use la_arena::{Arena, Idx};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    config::{AdapterKey, BaseKey, ConfigState, DataCentreKey, ServerKey, ServerRole, ServiceKey},
    rendezvous,
};

/// Key of a pool.
pub type PoolKey = Idx<PoolRecord>;

/// What a request runs on.
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

    /// Name of the base model or service that a server must run.
    fn served_by(self, config: &ConfigState) -> &SmolStr {
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
    /// Its servers, in or out of service.
    pub servers: Vec<ServerKey>,
}

/// All pools of a configuration. Keys stay valid as the configuration grows.
#[derive(Clone, Debug, Default)]
pub struct PoolTable {
    arena: Arena<PoolRecord>,
    index: BTreeMap<SmolStr, PoolKey>,
    by_server: BTreeMap<ServerKey, PoolKey>,
    by_served: BTreeMap<SmolStr, Vec<ServerKey>>,
}

impl PoolTable {
    /// Adds the servers that `config` has and the table has not.
    pub fn extend(&mut self, config: &ConfigState) {
        let known = self.by_server.len();
        for (server, record) in config.servers.iter().skip(known) {
            let served = match &record.role {
                ServerRole::Engine { base, .. } => base,
                ServerRole::Service { service } => service,
            };
            let data_centre = &config.data_centres[record.data_centre].name;
            let name = format_smolstr!("{data_centre}/{served}");
            let pool = match self.index.get(&name) {
                Some(pool) => *pool,
                None => self.add_pool(name, record.data_centre),
            };
            self.arena[pool].servers.push(server);
            self.by_server.insert(server, pool);
            self.by_served
                .entry(served.clone())
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
        self.index.insert(name, pool);
        pool
    }

    /// The pool named `name`.
    pub fn key(&self, name: &str) -> Option<PoolKey> {
        self.index.get(name).copied()
    }

    /// The pool that a server belongs to.
    pub fn of_server(&self, server: ServerKey) -> Option<PoolKey> {
        self.by_server.get(&server).copied()
    }

    /// The pool's record.
    pub fn record(&self, pool: PoolKey) -> &PoolRecord {
        &self.arena[pool]
    }

    /// All pools in the order they were added.
    pub fn iter(&self) -> impl Iterator<Item = (PoolKey, &PoolRecord)> {
        self.arena.iter()
    }

    /// Pools that can run `target`, best first.
    ///
    /// Adapters are spread by rendezvous hashing over the servers in service, so that a pool wins
    /// adapters in proportion to its servers. Plain services and base models, which need no
    /// adapter loaded, prefer the pools of `near`.
    pub fn candidates(
        &self,
        config: &ConfigState,
        target: WorkTarget,
        near: Option<DataCentreKey>,
    ) -> Vec<PoolKey> {
        let Some(servers) = self.by_served.get(target.served_by(config)) else {
            return Vec::new();
        };
        // Only the best server of each pool counts, so nothing the size of the fleet is sorted.
        let key = target.name(config);
        let by_adapter = matches!(target, WorkTarget::Adapter { .. });
        let mut ranks: BTreeMap<PoolKey, PoolRank> = BTreeMap::new();
        for server in servers {
            if !config.server_in_service(*server) {
                continue;
            }
            let record = &config.servers[*server];
            let rank = PoolRank {
                is_far: !by_adapter && Some(record.data_centre) != near,
                weight: Reverse(rendezvous::weight(key, &record.name)),
            };
            let pool = self.by_server[server];
            let best = ranks.entry(pool).or_insert(rank);
            *best = rank.min(*best);
        }
        let mut pools: Vec<(PoolRank, PoolKey)> =
            ranks.into_iter().map(|(pool, rank)| (rank, pool)).collect();
        pools.sort();
        pools.into_iter().map(|(_, pool)| pool).collect()
    }
}

/// Order of a pool for one target; the smallest is asked first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolRank {
    is_far: bool,
    weight: Reverse<u64>,
}
