//! Claims of instances to schedule model servers, with what the servers hold.
//!
//! Claims are much larger than membership records and change with each adapter that is loaded. In a
//! gossip exchange, both sides state which revisions they hold, and only newer ones are sent.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    catalog::LoadedModel,
    members::{AgedRecord, MemberRecord},
};

/// An instance's claim to schedule a model server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerClaim {
    /// The server's id.
    pub server: SmolStr,
    /// Start of the server's process, in Unix milliseconds.
    pub started: u64,
    /// Whether the claimant may already send orders to the server.
    pub active: bool,
    /// Largest fencing token of an order that the server accepted.
    pub fence: u64,
    /// Base models and adapters loaded on the server.
    pub models: Vec<LoadedModel>,
    /// Recently evicted adapters, which the server can load again quickly.
    #[serde(rename = "recent")]
    pub recently_evicted: Vec<LoadedModel>,
}

/// All claims of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberClaims {
    /// Name of the instance.
    pub member: SmolStr,
    /// Start of its process, in Unix milliseconds.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Incremented by the instance when its claims change; the first is 1.
    pub revision: u64,
    /// The claims.
    pub claims: Vec<Arc<ServerClaim>>,
}

impl MemberClaims {
    fn version(&self) -> (u64, u64) {
        (self.incarnation, self.revision)
    }
}

/// Newest known claims of the local instance and of all others.
#[derive(Debug, Default)]
pub struct ClaimTable {
    local: Vec<Arc<ServerClaim>>,
    local_revision: u64,
    others: BTreeMap<SmolStr, MemberClaims>,
}

impl ClaimTable {
    /// Sets the claims of the local instance.
    pub fn set_local(&mut self, claims: Vec<ServerClaim>) {
        let is_unchanged = self.local_revision > 0
            && self.local.len() == claims.len()
            && self
                .local
                .iter()
                .zip(&claims)
                .all(|(old, new)| **old == *new);
        if !is_unchanged {
            self.local = claims.into_iter().map(Arc::new).collect();
            self.local_revision += 1;
        }
    }

    /// Revision of the claims held for a member: those of its current process, else 0.
    pub fn revision(&self, record: &MemberRecord) -> u64 {
        self.others
            .get(&record.name)
            .filter(|claims| claims.incarnation == record.incarnation)
            .map_or(0, |claims| claims.revision)
    }

    /// Revision of the local instance's claims.
    pub fn local_revision(&self) -> u64 {
        self.local_revision
    }

    /// Claims of a member's current process.
    pub fn claims(&self, record: &MemberRecord) -> &[Arc<ServerClaim>] {
        self.others
            .get(&record.name)
            .filter(|claims| claims.incarnation == record.incarnation)
            .map_or(&[], |claims| &claims.claims)
    }

    /// Claims that the sender of `records` lacks: newer ones of the members listed there, and those
    /// of the local instance unless it has them.
    pub fn missing_at_sender(
        &self,
        local: &MemberRecord,
        records: &[AgedRecord],
    ) -> Vec<MemberClaims> {
        let is_local = |aged: &AgedRecord| aged.record.name == local.name;
        let known_local = records
            .iter()
            .find(|aged| is_local(aged))
            .map(|aged| (aged.record.incarnation, aged.claims_revision));
        let own = MemberClaims {
            member: local.name.clone(),
            incarnation: local.incarnation,
            revision: self.local_revision,
            claims: self.local.clone(),
        };
        let own = (self.local_revision > 0 && known_local != Some(own.version())).then_some(own);
        let newer = records.iter().filter_map(|aged| {
            let held = self.others.get(&aged.record.name)?;
            let known = (aged.record.incarnation, aged.claims_revision);
            (held.version() > known).then(|| held.clone())
        });
        own.into_iter().chain(newer).collect()
    }

    /// Applies claims received from a peer; returns whether any of them were new.
    pub fn merge(&mut self, local: &MemberRecord, received: Vec<MemberClaims>) -> bool {
        let mut changed = false;
        for claims in received {
            let is_known = claims.member == local.name
                || self
                    .others
                    .get(&claims.member)
                    .is_some_and(|known| known.version() >= claims.version());
            if !is_known {
                self.others.insert(claims.member.clone(), claims);
                changed = true;
            }
        }
        changed
    }

    /// Drops the claims of members that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.others.retain(|name, _| is_known(name));
    }
}
