//! Membership: which instances are available, and which of them schedules a pool.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    config::{ConfigState, DataCentreKey, InstanceKey},
    rendezvous,
};

/// One incarnation of an instance, that is, one run of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerIncarnation {
    /// The instance.
    pub instance: InstanceKey,
    /// Number of the incarnation; a later process of the same instance has a larger one.
    pub incarnation: u64,
}

/// An entry of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// The instance's name.
    pub instance: SmolStr,
    /// Whether the instance was asked to shut down.
    #[serde(default)]
    pub leaving: bool,
}

/// Availability of the instances, as known to this process.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    /// The platform's latest list: whether each instance is leaving. `None` before the first one.
    listed: Option<BTreeMap<SmolStr, bool>>,
    /// Instances that announced that they are leaving, with the incarnation that did.
    announced_leaving: BTreeMap<SmolStr, u64>,
}

impl MemberTable {
    /// Replaces the platform's list of instances. The list may be out of date.
    pub fn update_listed(&mut self, listings: &[InstanceListing]) {
        let listed = listings
            .iter()
            .map(|listing| (listing.instance.clone(), listing.leaving))
            .collect();
        self.listed = Some(listed);
    }

    /// Records that the given incarnation of an instance is leaving.
    pub fn record_leaving(&mut self, instance: &SmolStr, incarnation: u64) {
        self.announced_leaving.insert(instance.clone(), incarnation);
    }

    /// Records a message from an incarnation of an instance. If it is newer than the one that
    /// announced leaving, the instance is available again.
    pub fn record_incarnation(&mut self, instance: &SmolStr, incarnation: u64) {
        if self
            .announced_leaving
            .get(instance)
            .is_some_and(|leaving| *leaving < incarnation)
        {
            self.announced_leaving.remove(instance);
        }
    }

    /// Whether the instance is listed and not leaving, as far as this process knows.
    ///
    /// Before the first list, instances that did not announce leaving count as available.
    pub fn is_available(&self, instance: &str) -> bool {
        if self.announced_leaving.contains_key(instance) {
            return false;
        }
        match &self.listed {
            Some(listed) => listed.get(instance) == Some(&false),
            None => true,
        }
    }

    /// Instances that can accept work, in configuration order.
    pub fn available(&self, config: &ConfigState) -> Vec<InstanceKey> {
        config
            .live_instances()
            .filter(|(_, record)| self.is_available(&record.name))
            .filter(|(_, record)| config.data_centre_in_service(record.data_centre))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the instance that schedules a pool, chosen by rendezvous hashing of the pool's name.
    ///
    /// Available instances in the pool's data centre take precedence over all others.
    pub fn scheduler(
        &self,
        config: &ConfigState,
        pool: &str,
        data_centre: DataCentreKey,
    ) -> Option<InstanceKey> {
        let mut members = self.available(config);
        rendezvous::rank(pool, &mut members, |member| &config.instances[member].name);
        let local = members
            .iter()
            .copied()
            .find(|member| config.instances[*member].data_centre == data_centre);
        local.or_else(|| members.first().copied())
    }
}
