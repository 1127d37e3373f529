//! Claims of instances to schedule model servers, with what the servers hold.
//!
//! Claims are much larger than membership records and change with each adapter that is loaded. In a
//! gossip exchange, both sides state which revisions they hold, and each sends the other only what
//! it lacks: the called one in its answer, the caller in a second call, whose answer has the claims
//! of members that the first call did not mention. A peer that holds an earlier revision gets the
//! changes since, as far as they are kept; others get whole claims.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    catalog::LoadedModel,
    claim_changes::{ChangeLog, RevisionChange},
    digest::MemberKey,
    members::MemberRecord,
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

/// Claims of one instance in a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ClaimsForm", into = "ClaimsForm")]
pub enum MemberClaims {
    /// All of them.
    Whole(WholeClaims),
    /// What changed since a revision that the receiver holds.
    Changes(ClaimChanges),
}

/// All claims of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct WholeClaims {
    /// Name of the instance.
    pub member: SmolStr,
    /// Start of its process, in Unix milliseconds.
    pub incarnation: u64,
    /// Incremented by the instance when its claims change; the first is 1.
    pub revision: u64,
    /// The claims.
    pub claims: Vec<Arc<ServerClaim>>,
}

impl WholeClaims {
    fn version(&self) -> ClaimVersion {
        ClaimVersion::new(self.incarnation, self.revision)
    }
}

/// Changes of the claims of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimChanges {
    /// The instance.
    pub member: MemberKey,
    /// Revision to which the first change applies.
    pub base: u64,
    /// The changes, one for each revision.
    pub changes: Vec<Arc<RevisionChange>>,
}

/// Encoding of [`MemberClaims`]: that of whole claims, empty if there are changes.
#[derive(Default, Serialize, Deserialize)]
struct ClaimsForm {
    member: SmolStr,
    #[serde(rename = "life")]
    incarnation: u64,
    revision: u64,
    claims: Vec<Arc<ServerClaim>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    changes: Option<ClaimChanges>,
}

impl From<ClaimsForm> for MemberClaims {
    fn from(form: ClaimsForm) -> MemberClaims {
        match form.changes {
            Some(changes) => MemberClaims::Changes(changes),
            None => MemberClaims::Whole(WholeClaims {
                member: form.member,
                incarnation: form.incarnation,
                revision: form.revision,
                claims: form.claims,
            }),
        }
    }
}

impl From<MemberClaims> for ClaimsForm {
    fn from(claims: MemberClaims) -> ClaimsForm {
        match claims {
            MemberClaims::Whole(whole) => ClaimsForm {
                member: whole.member,
                incarnation: whole.incarnation,
                revision: whole.revision,
                claims: whole.claims,
                changes: None,
            },
            MemberClaims::Changes(changes) => ClaimsForm {
                changes: Some(changes),
                ..ClaimsForm::default()
            },
        }
    }
}

/// Claims that an instance asks a peer for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WantedClaims {
    /// All claims of the member with this name.
    Whole(SmolStr),
    /// The changes of a member's claims since this revision.
    Changes(MemberKey, u64),
}

/// Claims that a peer lacks.
#[derive(Clone, Copy, Debug)]
pub struct MissingClaims<'n> {
    /// Name of the instance.
    pub member: &'n SmolStr,
    /// Key of the instance and version that the peer holds, if it may be sent changes.
    pub base: Option<(MemberKey, ClaimVersion)>,
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

    /// The revision; 0 without claims.
    pub fn revision(self) -> u64 {
        self.revision
    }

    /// Whether both versions are of claims of the same process.
    pub fn is_same_process(self, other: ClaimVersion) -> bool {
        self.revision > 0 && self.incarnation == other.incarnation
    }
}

#[derive(Debug)]
struct KnownClaims {
    whole: WholeClaims,
    log: ChangeLog,
    /// Local gossip round in which they were received.
    learned_in: u64,
}

/// Newest known claims of the local instance and of all others.
#[derive(Debug, Default)]
pub struct ClaimTable {
    local: Vec<Arc<ServerClaim>>,
    local_revision: u64,
    local_log: ChangeLog,
    others: BTreeMap<SmolStr, KnownClaims>,
}

impl ClaimTable {
    /// Sets the claims of the local instance.
    ///
    /// A change of recently evicted adapters alone makes no revision.
    pub fn set_local(&mut self, claims: Vec<ServerClaim>) {
        let change = if self.local_revision > 0 {
            RevisionChange::between(&self.local, &claims)
        } else {
            None
        };
        let Some(change) = change else {
            self.local = claims.into_iter().map(Arc::new).collect();
            self.local_revision += 1;
            self.local_log = ChangeLog::default();
            return;
        };
        change.apply(&mut self.local);
        for (known, claim) in self.local.iter_mut().zip(claims) {
            if known.recently_evicted != claim.recently_evicted {
                Arc::make_mut(known).recently_evicted = claim.recently_evicted;
            }
        }
        if !change.is_empty() {
            self.local_revision += 1;
            self.local_log.push(Arc::new(change));
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
    pub fn version(&self, local: &MemberRecord, member: &str) -> ClaimVersion {
        if member == local.name {
            return ClaimVersion::new(local.incarnation, self.local_revision);
        }
        self.others
            .get(member)
            .map_or(ClaimVersion::default(), |known| known.whole.version())
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
            .filter(|known| known.whole.incarnation == record.incarnation)
            .map_or(&[], |known| &known.whole.claims)
    }

    /// Claims in the form in which a peer that lacks them can use them, as far as they are known.
    pub fn missing(
        &self,
        local: &MemberRecord,
        missing: MissingClaims<'_>,
    ) -> Option<MemberClaims> {
        let version = self.version(local, missing.member);
        let known = self.others.get(missing.member);
        let log = known.map_or(&self.local_log, |known| &known.log);
        if let Some((key, base)) = missing.base
            && base.incarnation == version.incarnation
            && let Some(count) = version.revision.checked_sub(base.revision)
            && let Some(changes) = log.last(count)
        {
            return Some(MemberClaims::Changes(ClaimChanges {
                member: key,
                base: base.revision,
                changes,
            }));
        }
        if *missing.member != local.name {
            return known.map(|known| MemberClaims::Whole(known.whole.clone()));
        }
        (self.local_revision > 0).then(|| {
            MemberClaims::Whole(WholeClaims {
                member: local.name.clone(),
                incarnation: local.incarnation,
                revision: self.local_revision,
                claims: self.local.clone(),
            })
        })
    }

    /// Applies whole claims received from a peer in a gossip round; returns whether they were new.
    pub fn merge_whole(&mut self, local: &MemberRecord, round: u64, claims: &WholeClaims) -> bool {
        let known = self.others.get(&claims.member);
        if claims.member == local.name
            || known.is_some_and(|known| known.whole.version() >= claims.version())
        {
            return false;
        }
        let known = KnownClaims {
            whole: claims.clone(),
            log: ChangeLog::default(),
            learned_in: round,
        };
        self.others.insert(claims.member.clone(), known);
        true
    }

    /// Applies changes of the claims of `record`'s process, received from a peer in a gossip round;
    /// returns whether any of them were new. Changes of a revision that is not held have no effect.
    pub fn merge_changes(
        &mut self,
        record: &MemberRecord,
        round: u64,
        received: &ClaimChanges,
    ) -> bool {
        let Some(known) = self
            .others
            .get_mut(&record.name)
            .filter(|known| known.whole.incarnation == record.incarnation)
        else {
            return false;
        };
        let Some(applied) = known.whole.revision.checked_sub(received.base) else {
            return false;
        };
        let applied = usize::try_from(applied).unwrap_or(usize::MAX);
        let mut changed = false;
        for change in received.changes.iter().skip(applied) {
            change.apply(&mut known.whole.claims);
            known.whole.revision += 1;
            known.log.push(change.clone());
            known.learned_in = round;
            changed = true;
        }
        changed
    }

    /// Drops the claims of members that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.others.retain(|name, _| is_known(name));
    }
}
