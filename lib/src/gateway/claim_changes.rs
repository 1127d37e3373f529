//! Changes of claims from one revision to the next.
//!
//! All instances apply a change to the same state and get the same one, so that positions in a claim
//! mean the same everywhere. Only the recently evicted adapters may differ: whole claims state them,
//! and changes add those that are no longer loaded.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use smol_str::SmolStr;

use super::{
    catalog::{LoadedAdapter, LoadedModel},
    claims::ServerClaim,
};

/// Maximum number of recently evicted adapters that changes leave in a claim.
const MAX_RECENTLY_EVICTED: usize = 32;
/// Number of revisions whose changes are kept for peers that lack them.
const MAX_LOGGED: usize = 16;

/// Adapters of one version that were loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LoadedGroup {
    /// Position of the base model in the claim.
    model: usize,
    version: u64,
    adapters: Vec<SmolStr>,
}

/// Change of one claim.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimChange {
    /// Position among the claims of the member.
    position: usize,
    active: bool,
    fence: u64,
    /// Bit mask of the adapters that are no longer loaded, over all base models.
    #[serde_as(as = "Bytes")]
    unloaded: Vec<u8>,
    loaded: Vec<LoadedGroup>,
}

impl ClaimChange {
    /// The change from one claim to another; `None` if they are for different server processes or
    /// base models.
    fn between(position: usize, old: &ServerClaim, new: &ServerClaim) -> Option<ClaimChange> {
        let names = |claim: &ServerClaim| -> Vec<SmolStr> {
            let models = claim.models.iter();
            models.map(|model| model.name.clone()).collect()
        };
        let is_same_process = old.server == new.server && old.started == new.started;
        if !is_same_process || names(old) != names(new) {
            return None;
        }
        let mut change = ClaimChange {
            position,
            active: new.active,
            fence: new.fence,
            unloaded: Vec::new(),
            loaded: Vec::new(),
        };
        let mut bit = 0;
        for (model, (old, new)) in old.models.iter().zip(&new.models).enumerate() {
            for adapter in &old.adapters {
                if !new.adapters.contains(adapter) {
                    change.unloaded.resize(bit / 8 + 1, 0);
                    change.unloaded[bit / 8] |= 1 << (bit % 8);
                }
                bit += 1;
            }
            let loaded = new.adapters.iter();
            for adapter in loaded.filter(|adapter| !old.adapters.contains(adapter)) {
                change.push_loaded(model, adapter);
            }
        }
        Some(change)
    }

    fn push_loaded(&mut self, model: usize, adapter: &LoadedAdapter) {
        let name = adapter.name.clone();
        let group = self
            .loaded
            .iter_mut()
            .find(|group| group.model == model && group.version == adapter.version);
        match group {
            Some(group) => group.adapters.push(name),
            None => self.loaded.push(LoadedGroup {
                model,
                version: adapter.version,
                adapters: vec![name],
            }),
        }
    }

    fn is_unloaded(&self, bit: usize) -> bool {
        let byte = self.unloaded.get(bit / 8).copied().unwrap_or(0);
        byte & (1 << (bit % 8)) != 0
    }

    fn apply(&self, claim: &mut ServerClaim) {
        claim.active = self.active;
        claim.fence = self.fence;
        let mut bit = 0;
        for (position, model) in claim.models.iter_mut().enumerate() {
            let mut evicted = Vec::new();
            model.adapters.retain(|adapter| {
                let is_unloaded = self.is_unloaded(bit);
                bit += 1;
                if is_unloaded {
                    evicted.push(adapter.name.clone());
                }
                !is_unloaded
            });
            for group in self.loaded.iter().filter(|group| group.model == position) {
                let adapters = group.adapters.iter().map(|name| LoadedAdapter {
                    name: name.clone(),
                    version: group.version,
                });
                model.adapters.extend(adapters);
            }
            update_evicted(&mut claim.recently_evicted, model, evicted);
        }
    }
}

/// Adds `evicted` to the recently evicted adapters of a base model, and removes those that are loaded.
fn update_evicted(models: &mut Vec<LoadedModel>, loaded: &LoadedModel, evicted: Vec<SmolStr>) {
    let position = models.iter().position(|model| model.name == loaded.name);
    let position = position.unwrap_or_else(|| {
        models.push(LoadedModel {
            name: loaded.name.clone(),
            adapters: Vec::new(),
        });
        models.len() - 1
    });
    let adapters = &mut models[position].adapters;
    adapters.extend(
        evicted
            .into_iter()
            .map(|name| LoadedAdapter { name, version: 0 }),
    );
    adapters.retain(|adapter| {
        loaded
            .adapters
            .iter()
            .all(|other| other.name != adapter.name)
    });
    let surplus = adapters.len().saturating_sub(MAX_RECENTLY_EVICTED);
    adapters.drain(..surplus);
}

/// The changes of all claims of a member that lead to its next revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RevisionChange(Vec<ClaimChange>);

impl RevisionChange {
    /// The change from some claims to others, or `None` if it cannot be expressed.
    ///
    /// Recently evicted adapters are not compared.
    pub fn between(old: &[Arc<ServerClaim>], new: &[ServerClaim]) -> Option<RevisionChange> {
        if old.len() != new.len() {
            return None;
        }
        let mut changes = Vec::new();
        for (position, (old, new)) in old.iter().zip(new).enumerate() {
            let change = ClaimChange::between(position, old, new)?;
            let is_changed = old.active != new.active
                || old.fence != new.fence
                || !change.unloaded.is_empty()
                || !change.loaded.is_empty();
            if is_changed {
                changes.push(change);
            }
        }
        Some(RevisionChange(changes))
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Applies the change to the claims of the revision before.
    pub fn apply(&self, claims: &mut [Arc<ServerClaim>]) {
        for change in &self.0 {
            if let Some(claim) = claims.get_mut(change.position) {
                change.apply(Arc::make_mut(claim));
            }
        }
    }
}

/// The changes that led to the newest revisions of a member's claims.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Arc<RevisionChange>>,
}

impl ChangeLog {
    /// Appends the change to the newest revision.
    pub fn push(&mut self, change: Arc<RevisionChange>) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_LOGGED {
            self.changes.pop_front();
        }
    }

    /// The changes to the newest `count` revisions, if all are kept.
    pub fn last(&self, count: u64) -> Option<Vec<Arc<RevisionChange>>> {
        let count = usize::try_from(count).ok()?;
        let skipped = self.changes.len().checked_sub(count)?;
        Some(self.changes.iter().skip(skipped).cloned().collect())
    }
}
