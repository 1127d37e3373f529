//! Instances of the system: which of them are live, and which one schedules a pool.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    config::{ConfigState, DataCentreKey, InstanceKey},
    rendezvous,
};

/// One process life of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerIncarnation {
    /// The instance.
    pub instance: InstanceKey,
    /// Its life; a later process of the same name has a larger number.
    pub incarnation: u64,
}

/// One row of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// The instance's name.
    pub instance: SmolStr,
    /// Whether it was told to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// What this process knows of the other instances.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    listed: Option<BTreeMap<SmolStr, bool>>,
    announced_leaving: BTreeMap<SmolStr, u64>,
}

impl MemberTable {
    /// Takes in a reading of the platform's list. Readings may be late.
    pub fn update_listed(&mut self, listings: &[InstanceListing]) {
        let listed = listings
            .iter()
            .map(|listing| (listing.instance.clone(), listing.leaving))
            .collect();
        self.listed = Some(listed);
    }

    /// Notes that the given life of an instance said that it is leaving.
    pub fn record_leaving(&mut self, instance: &SmolStr, life: u64) {
        self.announced_leaving.insert(instance.clone(), life);
    }

    /// Notes a message from an instance; a newer life is no longer leaving.
    pub fn record_life(&mut self, instance: &SmolStr, life: u64) {
        if self
            .announced_leaving
            .get(instance)
            .is_some_and(|left| *left < life)
        {
            self.announced_leaving.remove(instance);
        }
    }

    /// Whether the instance is live and not leaving, as far as this process knows.
    pub fn is_available(&self, instance: &str) -> bool {
        if self.announced_leaving.contains_key(instance) {
            return false;
        }
        match &self.listed {
            Some(listed) => listed.get(instance) == Some(&false),
            None => true,
        }
    }

    /// Instances that may take work now, in configuration order.
    pub fn available(&self, config: &ConfigState) -> Vec<InstanceKey> {
        config
            .live_instances()
            .filter(|(_, record)| self.is_available(&record.name))
            .filter(|(_, record)| config.data_centre_in_service(record.data_centre))
            .map(|(key, _)| key)
            .collect()
    }

    /// The instance that schedules a pool: one of the pool's data centre while there is any.
    pub fn scheduler(
        &self,
        config: &ConfigState,
        pool: &str,
        data_centre: DataCentreKey,
    ) -> Option<InstanceKey> {
        let mut members = self.available(config);
        rendezvous::rank(pool, &mut members, |member| &config.instances[member].name);
        let near = members
            .iter()
            .copied()
            .find(|member| config.instances[*member].data_centre == data_centre);
        near.or_else(|| members.first().copied())
    }
}
