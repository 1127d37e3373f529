//! Claims of instances to schedule model servers, with what the servers hold.
//!
//! Claims are much larger than membership records and change with each adapter that is loaded. In a
//! gossip exchange, both sides state which revisions they hold, and each sends the other only what
//! it lacks: the called one in its answer, the caller in a second call, whose answer has the claims
//! of members that the first call did not mention.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{catalog::LoadedModel, members::MemberRecord};

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
    fn version(&self) -> ClaimVersion {
        ClaimVersion::new(self.incarnation, self.revision)
    }
}

/// Identifies a state of one member's claims.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimVersion {
    incarnation: u64,
    revision: u64,
}

impl ClaimVersion {
    /// The version with this revision; without claims, if the revision is 0.
    pub fn new(incarnation: u64, revision: u64) -> ClaimVersion {
        if revision == 0 {
            return ClaimVersion::default();
        }
        ClaimVersion {
            incarnation,
            revision,
        }
    }
}

#[derive(Debug)]
struct KnownClaims {
    claims: MemberClaims,
    /// Local gossip round in which they were received.
    learned_in: u64,
}

/// Newest known claims of the local instance and of all others.
#[derive(Debug, Default)]
pub struct ClaimTable {
    local: Vec<Arc<ServerClaim>>,
    local_revision: u64,
    others: BTreeMap<SmolStr, KnownClaims>,
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

    /// Revision of the claims held for the process of `record`; 0 if there are none.
    pub fn revision(&self, local: &MemberRecord, record: &MemberRecord) -> u64 {
        let version = self.version(local, &record.name);
        if version.incarnation == record.incarnation {
            version.revision
        } else {
            0
        }
    }

    /// Version of the claims held for a member.
    fn version(&self, local: &MemberRecord, member: &str) -> ClaimVersion {
        if member == local.name {
            return ClaimVersion::new(local.incarnation, self.local_revision);
        }
        self.others
            .get(member)
            .map_or(ClaimVersion::default(), |known| known.claims.version())
    }

    /// Members of which claims are held, with the local gossip round in which they were received.
    pub fn learned(&self) -> impl Iterator<Item = (&SmolStr, u64)> {
        self.others
            .iter()
            .map(|(name, known)| (name, known.learned_in))
    }

    /// Claims of a member's current process.
    pub fn claims(&self, record: &MemberRecord) -> &[Arc<ServerClaim>] {
        self.others
            .get(&record.name)
            .filter(|known| known.claims.incarnation == record.incarnation)
            .map_or(&[], |known| &known.claims.claims)
    }

    /// Claims of which a peer holds older versions or none.
    pub fn newer_than(
        &self,
        local: &MemberRecord,
        stated: &[(SmolStr, ClaimVersion)],
    ) -> Vec<MemberClaims> {
        let newer = stated
            .iter()
            .filter(|(member, version)| self.version(local, member) > *version)
            .map(|(member, _)| member);
        self.of_members(local, newer)
    }

    /// Members of which a peer holds newer versions.
    pub fn older_than(
        &self,
        local: &MemberRecord,
        stated: &[(SmolStr, ClaimVersion)],
    ) -> Vec<SmolStr> {
        stated
            .iter()
            .filter(|(member, _)| *member != local.name)
            .filter(|(member, version)| self.version(local, member) < *version)
            .map(|(member, _)| member.clone())
            .collect()
    }

    /// Claims of the given members, as far as they are known.
    pub fn of_members<'n>(
        &self,
        local: &MemberRecord,
        members: impl Iterator<Item = &'n SmolStr>,
    ) -> Vec<MemberClaims> {
        let claims_of = |member: &SmolStr| {
            if *member != local.name {
                return self.others.get(member).map(|known| known.claims.clone());
            }
            (self.local_revision > 0).then(|| MemberClaims {
                member: local.name.clone(),
                incarnation: local.incarnation,
                revision: self.local_revision,
                claims: self.local.clone(),
            })
        };
        members.filter_map(claims_of).collect()
    }

    /// Applies claims received from a peer in a gossip round; returns whether any of them were new.
    pub fn merge(&mut self, local: &MemberRecord, round: u64, received: &[MemberClaims]) -> bool {
        let mut changed = false;
        for claims in received {
            let is_known = claims.member == local.name
                || self
                    .others
                    .get(&claims.member)
                    .is_some_and(|known| known.claims.version() >= claims.version());
            if !is_known {
                let known = KnownClaims {
                    claims: claims.clone(),
                    learned_in: round,
                };
                self.others.insert(claims.member.clone(), known);
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
