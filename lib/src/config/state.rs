//! The configuration at one version, and the application of patches to it.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use la_arena::Idx;
use smol_str::SmolStr;

use super::{
    ConfigChange, ConfigPatch, PatchError, PatchErrorKind, PriceClass, RecordTable, ServerRole,
    ServiceCall, TeamRate,
};
use crate::key::KeyDigest;

/// Maximum number of changes in a patch.
const MAX_CHANGES: usize = 10_000;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 100;
/// Largest allowed rate or burst; keeps token arithmetic within 64 bits.
const MAX_RATE: u64 = 1_000_000_000;

macro_rules! table_keys {
    ($($(#[$doc:meta])* $key:ident => $record:ident;)*) => {
        $($(#[$doc])* pub type $key = Idx<$record>;)*
    };
}

table_keys! {
    /// Table key of an owner.
    OwnerKey => OwnerRecord;
    /// Table key of a team.
    TeamKey => TeamRecord;
    /// Table key of a team's API key.
    CredentialKey => CredentialRecord;
    /// Table key of a base model.
    BaseKey => BaseRecord;
    /// Table key of an adapter.
    AdapterKey => AdapterRecord;
    /// Table key of a plain service.
    ServiceKey => ServiceRecord;
    /// Table key of a region.
    RegionKey => RegionRecord;
    /// Table key of a data centre.
    DataCentreKey => DataCentreRecord;
    /// Table key of a backend server.
    ServerKey => ServerRecord;
    /// Table key of an instance.
    InstanceKey => InstanceRecord;
}

/// An owner, who is billed for teams.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerRecord {
    /// The owner's name.
    pub name: SmolStr,
}

/// A region and its weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionRecord {
    /// The region's name.
    pub name: SmolStr,
    /// Adapter loads per second that the weight store supports.
    pub store_loads_per_second: u64,
    /// Concurrent adapter loads that the weight store serves at full speed.
    pub loads_in_flight: u32,
}

/// A team of an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRecord {
    /// The team's name.
    pub name: SmolStr,
    /// The owner who is billed for the team.
    pub owner: OwnerKey,
    /// Rate limits and bursts.
    pub rate: TeamRate,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Price class of the team's requests.
    pub price: PriceClass,
    /// Whether the team was removed.
    pub removed: bool,
}

/// An API key granted to a team.
#[derive(Clone, Debug, PartialEq)]
pub struct CredentialRecord {
    /// The key's id.
    pub name: SmolStr,
    /// The team that the key authenticates.
    pub team: TeamKey,
    /// Digest of the whole key.
    pub digest: KeyDigest,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct BaseRecord {
    /// The base model's name.
    pub name: SmolStr,
    /// Whether callers may use it without an adapter.
    pub open: bool,
}

/// An adapter of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterRecord {
    /// The adapter's name.
    pub name: SmolStr,
    /// The base model that the adapter extends.
    pub base: BaseKey,
    /// The team that the adapter belongs to.
    pub team: TeamKey,
    /// The version used for new requests.
    pub version: u32,
    /// Whether the adapter was removed.
    pub removed: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRecord {
    /// The service's name.
    pub name: SmolStr,
    /// The team that may call the service; `None` if every team may.
    pub team: Option<TeamKey>,
    /// The service's calls; the first match applies.
    pub calls: Vec<ServiceCall>,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentreRecord {
    /// The data centre's name.
    pub name: SmolStr,
    /// The data centre's region.
    pub region: RegionKey,
    /// Whether it accepts new work.
    pub in_service: bool,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// The server's name.
    pub name: SmolStr,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Number of concurrent requests that the server handles when warm.
    pub concurrency: u32,
    /// The workload that it runs.
    pub role: ServerRole,
    /// Whether it accepts new work.
    pub in_service: bool,
}

/// An instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceRecord {
    /// The instance's name.
    pub name: SmolStr,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Whether the instance was removed.
    pub removed: bool,
}

/// The configuration at one version.
///
/// Versions share their tables; a patch copies only those that it modifies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    /// Version number: how many patches were accepted so far.
    pub version: u64,
    /// Owners.
    pub owners: Arc<RecordTable<OwnerRecord>>,
    /// Teams.
    pub teams: Arc<RecordTable<TeamRecord>>,
    /// API keys.
    pub keys: Arc<RecordTable<CredentialRecord>>,
    /// Base models.
    pub bases: Arc<RecordTable<BaseRecord>>,
    /// Adapters.
    pub adapters: Arc<RecordTable<AdapterRecord>>,
    /// Plain services.
    pub services: Arc<RecordTable<ServiceRecord>>,
    /// Regions.
    pub regions: Arc<RecordTable<RegionRecord>>,
    /// Data centres.
    pub data_centres: Arc<RecordTable<DataCentreRecord>>,
    /// Backend servers.
    pub servers: Arc<RecordTable<ServerRecord>>,
    /// Instances.
    pub instances: Arc<RecordTable<InstanceRecord>>,
}

/// Kind of the error in a change, and the offending name.
type ChangeError = (PatchErrorKind, SmolStr);

fn reject<T>(kind: PatchErrorKind, name: &SmolStr) -> Result<T, ChangeError> {
    Err((kind, name.clone()))
}

fn check_name(name: &SmolStr) -> Result<(), ChangeError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        return reject(PatchErrorKind::InvalidName, name);
    }
    Ok(())
}

fn check_unused<T>(table: &RecordTable<T>, name: &SmolStr) -> Result<(), ChangeError> {
    check_name(name)?;
    match table.key(name) {
        Some(_) => reject(PatchErrorKind::NameTaken, name),
        None => Ok(()),
    }
}

fn find<T>(table: &RecordTable<T>, name: &SmolStr) -> Result<Idx<T>, ChangeError> {
    table
        .key(name)
        .map_or_else(|| reject(PatchErrorKind::Unknown, name), Ok)
}

fn check_rate(team: &SmolStr, rate: &TeamRate) -> Result<(), ChangeError> {
    let values = [
        rate.tokens_per_second,
        rate.burst_tokens,
        rate.requests_per_second,
        rate.burst_requests,
    ];
    if values.iter().all(|value| (1..=MAX_RATE).contains(value)) {
        return Ok(());
    }
    reject(PatchErrorKind::OutOfRange, team)
}

impl ConfigState {
    /// Applies all changes of a patch and returns the next version of the configuration.
    ///
    /// The result depends only on the state and the patch, so that all instances agree on it.
    ///
    /// # Errors
    ///
    /// Returns the first error if the patch is rejected.
    pub fn apply(&self, patch: &ConfigPatch) -> Result<ConfigState, PatchError> {
        if patch.base != self.version {
            return Err(PatchError::whole(
                PatchErrorKind::BaseMismatch,
                SmolStr::new(patch.base.to_string()),
            ));
        }
        if patch.changes.is_empty() {
            return Err(PatchError::whole(PatchErrorKind::Empty, SmolStr::default()));
        }
        if patch.changes.len() > MAX_CHANGES {
            return Err(PatchError::whole(
                PatchErrorKind::TooManyChanges,
                SmolStr::default(),
            ));
        }
        let mut next = self.clone();
        next.version += 1;
        for (position, change) in patch.changes.iter().enumerate() {
            next.apply_change(change)
                .map_err(|(kind, name)| PatchError {
                    change: Some(position),
                    kind,
                    name,
                })?;
        }
        Ok(next)
    }

    fn apply_change(&mut self, change: &ConfigChange) -> Result<(), ChangeError> {
        match change {
            ConfigChange::AddOwner { owner } => self.add_owner(owner),
            ConfigChange::AddTeam {
                team,
                owner,
                rate,
                weight,
                price,
            } => self.add_team(team, owner, rate, *weight, *price),
            ConfigChange::SetRate { team, rate } => self.set_rate(team, rate),
            ConfigChange::RemoveTeam { team } => self.remove_team(team),
            ConfigChange::GrantKey { key, team, sha256 } => self.grant_key(key, team, *sha256),
            ConfigChange::WithdrawKey { key } => self.withdraw_key(key),
            ConfigChange::AddBase { base, open } => self.add_base(base, *open),
            ConfigChange::AddAdapter {
                adapter,
                base,
                team,
                version,
            } => self.add_adapter(adapter, base, team, *version),
            ConfigChange::SetVersion { adapter, version } => self.set_version(adapter, *version),
            ConfigChange::RemoveAdapter { adapter } => self.remove_adapter(adapter),
            ConfigChange::AddService {
                service,
                team,
                calls,
            } => self.add_service(service, team.as_ref(), calls),
            ConfigChange::AddRegion {
                region,
                store_loads_per_second,
                loads_in_flight,
            } => self.add_region(region, *store_loads_per_second, *loads_in_flight),
            ConfigChange::AddDataCentre {
                data_centre,
                region,
            } => self.add_data_centre(data_centre, region),
            ConfigChange::SetDataCentre {
                data_centre,
                in_service,
            } => self.set_data_centre(data_centre, *in_service),
            ConfigChange::AddServer {
                server,
                data_centre,
                address,
                concurrency,
                role,
            } => self.add_server(server, data_centre, *address, *concurrency, role),
            ConfigChange::SetServer { server, in_service } => self.set_server(server, *in_service),
            ConfigChange::AddInstance {
                instance,
                data_centre,
                caller_address,
                peer_address,
            } => self.add_instance(instance, data_centre, *caller_address, *peer_address),
            ConfigChange::RemoveInstance { instance } => self.remove_instance(instance),
        }
    }

    fn add_owner(&mut self, owner: &SmolStr) -> Result<(), ChangeError> {
        check_unused(&self.owners, owner)?;
        let record = OwnerRecord {
            name: owner.clone(),
        };
        Arc::make_mut(&mut self.owners).insert(owner.clone(), record);
        Ok(())
    }

    fn add_region(
        &mut self,
        region: &SmolStr,
        store_loads_per_second: u64,
        loads_in_flight: u32,
    ) -> Result<(), ChangeError> {
        check_unused(&self.regions, region)?;
        if !(1..=MAX_RATE).contains(&store_loads_per_second) || loads_in_flight == 0 {
            return reject(PatchErrorKind::OutOfRange, region);
        }
        let record = RegionRecord {
            name: region.clone(),
            store_loads_per_second,
            loads_in_flight,
        };
        Arc::make_mut(&mut self.regions).insert(region.clone(), record);
        Ok(())
    }

    fn active_team(&self, team: &SmolStr) -> Result<TeamKey, ChangeError> {
        let key = find(&self.teams, team)?;
        if self.teams[key].removed {
            return reject(PatchErrorKind::Unknown, team);
        }
        Ok(key)
    }

    fn add_team(
        &mut self,
        team: &SmolStr,
        owner: &SmolStr,
        rate: &TeamRate,
        weight: u32,
        price: PriceClass,
    ) -> Result<(), ChangeError> {
        check_unused(&self.teams, team)?;
        check_rate(team, rate)?;
        if !(1..=1_000).contains(&weight) {
            return reject(PatchErrorKind::OutOfRange, team);
        }
        let record = TeamRecord {
            name: team.clone(),
            owner: find(&self.owners, owner)?,
            rate: *rate,
            weight,
            price,
            removed: false,
        };
        Arc::make_mut(&mut self.teams).insert(team.clone(), record);
        Ok(())
    }

    fn set_rate(&mut self, team: &SmolStr, rate: &TeamRate) -> Result<(), ChangeError> {
        check_rate(team, rate)?;
        let key = self.active_team(team)?;
        if self.teams[key].rate == *rate {
            return reject(PatchErrorKind::NoEffect, team);
        }
        Arc::make_mut(&mut self.teams)[key].rate = *rate;
        Ok(())
    }

    fn remove_team(&mut self, team: &SmolStr) -> Result<(), ChangeError> {
        let key = self.active_team(team)?;
        Arc::make_mut(&mut self.teams)[key].removed = true;
        Ok(())
    }

    fn grant_key(
        &mut self,
        key: &SmolStr,
        team: &SmolStr,
        digest: KeyDigest,
    ) -> Result<(), ChangeError> {
        check_unused(&self.keys, key)?;
        if key.contains('_') {
            return reject(PatchErrorKind::InvalidName, key);
        }
        let record = CredentialRecord {
            name: key.clone(),
            team: self.active_team(team)?,
            digest,
            withdrawn: false,
        };
        Arc::make_mut(&mut self.keys).insert(key.clone(), record);
        Ok(())
    }

    fn withdraw_key(&mut self, key: &SmolStr) -> Result<(), ChangeError> {
        let grant = find(&self.keys, key)?;
        if self.keys[grant].withdrawn {
            return reject(PatchErrorKind::NoEffect, key);
        }
        Arc::make_mut(&mut self.keys)[grant].withdrawn = true;
        Ok(())
    }

    fn add_base(&mut self, base: &SmolStr, open: bool) -> Result<(), ChangeError> {
        check_unused(&self.bases, base)?;
        let record = BaseRecord {
            name: base.clone(),
            open,
        };
        Arc::make_mut(&mut self.bases).insert(base.clone(), record);
        Ok(())
    }

    fn add_adapter(
        &mut self,
        adapter: &SmolStr,
        base: &SmolStr,
        team: &SmolStr,
        version: u32,
    ) -> Result<(), ChangeError> {
        check_unused(&self.adapters, adapter)?;
        let record = AdapterRecord {
            name: adapter.clone(),
            base: find(&self.bases, base)?,
            team: self.active_team(team)?,
            version,
            removed: false,
        };
        Arc::make_mut(&mut self.adapters).insert(adapter.clone(), record);
        Ok(())
    }

    fn active_adapter(&self, adapter: &SmolStr) -> Result<AdapterKey, ChangeError> {
        let key = find(&self.adapters, adapter)?;
        if self.adapters[key].removed {
            return reject(PatchErrorKind::Unknown, adapter);
        }
        Ok(key)
    }

    fn set_version(&mut self, adapter: &SmolStr, version: u32) -> Result<(), ChangeError> {
        let key = self.active_adapter(adapter)?;
        if self.adapters[key].version == version {
            return reject(PatchErrorKind::NoEffect, adapter);
        }
        Arc::make_mut(&mut self.adapters)[key].version = version;
        Ok(())
    }

    fn remove_adapter(&mut self, adapter: &SmolStr) -> Result<(), ChangeError> {
        let key = self.active_adapter(adapter)?;
        Arc::make_mut(&mut self.adapters)[key].removed = true;
        Ok(())
    }

    fn add_service(
        &mut self,
        service: &SmolStr,
        team: Option<&SmolStr>,
        calls: &[ServiceCall],
    ) -> Result<(), ChangeError> {
        check_unused(&self.services, service)?;
        if calls.is_empty() {
            return reject(PatchErrorKind::OutOfRange, service);
        }
        let mut seen = BTreeSet::new();
        for call in calls {
            if !call.path.starts_with('/') {
                return reject(PatchErrorKind::InvalidName, &call.path);
            }
            if !seen.insert((&call.method, &call.path)) {
                return reject(PatchErrorKind::NameTaken, &call.path);
            }
        }
        let record = ServiceRecord {
            name: service.clone(),
            team: team.map(|team| self.active_team(team)).transpose()?,
            calls: calls.to_vec(),
        };
        Arc::make_mut(&mut self.services).insert(service.clone(), record);
        Ok(())
    }

    fn add_data_centre(&mut self, name: &SmolStr, region: &SmolStr) -> Result<(), ChangeError> {
        check_unused(&self.data_centres, name)?;
        let record = DataCentreRecord {
            name: name.clone(),
            region: find(&self.regions, region)?,
            in_service: true,
        };
        Arc::make_mut(&mut self.data_centres).insert(name.clone(), record);
        Ok(())
    }

    fn set_data_centre(&mut self, name: &SmolStr, in_service: bool) -> Result<(), ChangeError> {
        let key = find(&self.data_centres, name)?;
        if self.data_centres[key].in_service == in_service {
            return reject(PatchErrorKind::NoEffect, name);
        }
        Arc::make_mut(&mut self.data_centres)[key].in_service = in_service;
        Ok(())
    }

    fn add_server(
        &mut self,
        server: &SmolStr,
        data_centre: &SmolStr,
        address: SocketAddr,
        concurrency: u32,
        role: &ServerRole,
    ) -> Result<(), ChangeError> {
        check_unused(&self.servers, server)?;
        match role {
            ServerRole::Engine { base, slots, .. } => {
                find(&self.bases, base)?;
                if *slots == 0 {
                    return reject(PatchErrorKind::OutOfRange, server);
                }
            }
            ServerRole::Service { service } => {
                find(&self.services, service)?;
            }
        }
        if concurrency == 0 {
            return reject(PatchErrorKind::OutOfRange, server);
        }
        let record = ServerRecord {
            name: server.clone(),
            data_centre: find(&self.data_centres, data_centre)?,
            address,
            concurrency,
            role: role.clone(),
            in_service: true,
        };
        Arc::make_mut(&mut self.servers).insert(server.clone(), record);
        Ok(())
    }

    fn set_server(&mut self, server: &SmolStr, in_service: bool) -> Result<(), ChangeError> {
        let key = find(&self.servers, server)?;
        if self.servers[key].in_service == in_service {
            return reject(PatchErrorKind::NoEffect, server);
        }
        Arc::make_mut(&mut self.servers)[key].in_service = in_service;
        Ok(())
    }

    fn add_instance(
        &mut self,
        instance: &SmolStr,
        data_centre: &SmolStr,
        caller_address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Result<(), ChangeError> {
        check_unused(&self.instances, instance)?;
        let record = InstanceRecord {
            name: instance.clone(),
            data_centre: find(&self.data_centres, data_centre)?,
            caller_address,
            peer_address,
            removed: false,
        };
        Arc::make_mut(&mut self.instances).insert(instance.clone(), record);
        Ok(())
    }

    fn remove_instance(&mut self, instance: &SmolStr) -> Result<(), ChangeError> {
        let key = find(&self.instances, instance)?;
        if self.instances[key].removed {
            return reject(PatchErrorKind::NoEffect, instance);
        }
        Arc::make_mut(&mut self.instances)[key].removed = true;
        Ok(())
    }

    /// Whether a data centre accepts new work.
    pub fn data_centre_in_service(&self, key: DataCentreKey) -> bool {
        self.data_centres[key].in_service
    }

    /// Whether a backend server and its data centre accept new work.
    pub fn server_in_service(&self, key: ServerKey) -> bool {
        let record = &self.servers[key];
        record.in_service && self.data_centre_in_service(record.data_centre)
    }

    /// Instances that have not been removed, in the order in which they were added.
    pub fn live_instances(&self) -> impl Iterator<Item = (InstanceKey, &InstanceRecord)> {
        self.instances.iter().filter(|(_, record)| !record.removed)
    }
}
