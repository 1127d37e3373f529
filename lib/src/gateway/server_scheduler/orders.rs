//! Orders of the scheduler of a model server: what waits, what was given, and how it ended.

use std::time::Duration;

use smol_str::SmolStr;

use super::{AdapterPlace, PlacePhase, ServerScheduler};
use crate::{
    clock::ClockTime,
    gateway::catalog::{EngineConfig, ModelConfig},
};

/// Low bits of a fencing token, and the unit of the time of day in them: a fraction of the lease.
/// They wrap after two years, and matter only among orders at the same count.
pub const FENCE_TIME_BITS: u32 = 28;
const FENCE_TIME_MILLIS: u64 = 250;
/// Pause between looks at a server that loads a base model.
pub(super) const MODEL_RECHECK: Duration = Duration::from_millis(1_000);

/// What an order wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a base model.
    LoadModel,
    /// Load an adapter, or replace it by a newer version; 0 means the newest.
    LoadAdapter {
        /// Adapter.
        adapter: SmolStr,
        /// Version, or 0 for the newest.
        version: u64,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: SmolStr,
    },
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// What to do.
    pub action: OrderAction,
    /// Base model.
    pub model: SmolStr,
    /// Count of accepted orders that it is conditional on.
    pub expected: u64,
    /// Fencing token: grows with the count and differs between instances.
    pub fence: u64,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOrderOutcome {
    /// It holds already or was done at once.
    Done,
    /// It is being carried out.
    Accepted,
    /// Another order is in progress, or the count differs.
    Conflict,
    /// The server refused it or is another one.
    Refused,
    /// Nothing was heard.
    Lost,
}
impl ServerScheduler {
    /// The next order to give, if one may be given now.
    ///
    /// `unix_millis` is the time of day, which tells tokens of holders apart at the same count.
    pub fn next_order(
        &mut self,
        now: ClockTime,
        rule: &EngineConfig,
        unix_millis: u64,
    ) -> Option<ServerOrder> {
        if self.ordered.is_some() {
            return None;
        }
        let expected = self.right.expected().filter(|_| self.may_order)?;
        self.start_loads(now, rule);
        let (model, action) = self.queue.pop_front()?;
        self.ordered = Some((model.clone(), action.clone()));
        let fence = self.fence(expected, unix_millis);
        self.ordered_fence = fence;
        Some(ServerOrder {
            action,
            model,
            expected,
            fence,
        })
    }

    /// The count leads the token, so that it survives the loss of all instances. An order that
    /// already holds is accepted without being counted; the time of day, which is later for a later
    /// holder by the lease, then tells the holders apart.
    pub(super) fn fence(&self, expected: u64, unix_millis: u64) -> u64 {
        let time = (unix_millis / FENCE_TIME_MILLIS) & ((1 << FENCE_TIME_BITS) - 1);
        let counted = ((expected + 1) << FENCE_TIME_BITS) | time;
        if counted > self.last_fence {
            counted
        } else {
            self.last_fence + 1
        }
    }

    /// When the next load has its turn.
    pub fn next_load_at(&self) -> Option<ClockTime> {
        let start = |place: &AdapterPlace| match place.phase {
            PlacePhase::Reserved { start, .. } => Some(start),
            PlacePhase::Ready | PlacePhase::Unloading => None,
        };
        self.places.iter().filter_map(start).min()
    }

    /// Largest fencing token of an accepted order.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// Takes in the largest fencing token that an earlier scheduler used.
    pub fn raise_fence(&mut self, fence: u64) {
        self.last_fence = self.last_fence.max(fence);
    }

    /// Whether the server holds a base model.
    pub fn has_model(&self) -> bool {
        !self.models.is_empty()
    }

    /// Has a base model loaded on a server that has none: always where the server has a copy, and
    /// from the weight store if `from_store`.
    pub fn want_model(&mut self, now: ClockTime, rule: &EngineConfig, from_store: bool) {
        let Some(weights) = &self.weights else { return };
        if !self.is_active()
            || !self.models.is_empty()
            || weights.busy
            || now < self.model_loading_until
            || self.ordered.is_some()
            || !self.queue.is_empty()
        {
            return;
        }
        let at_hand = |model: &&ModelConfig| weights.at_hand.contains(&model.name);
        let Some(model) = rule
            .models
            .iter()
            .find(at_hand)
            .or(rule.models.first().filter(|_| from_store))
        else {
            return;
        };
        self.model_loading_until = now.after(model.load_time.max(MODEL_RECHECK));
        self.weights = None;
        let order = (model.name.clone(), OrderAction::LoadModel);
        self.queue.push_back(order);
    }

    /// Looks whether a base model that was ordered has arrived.
    pub(super) fn check_model(&mut self, now: ClockTime) {
        if self.models.is_empty() && self.weights.is_none() && now >= self.model_loading_until {
            self.right.refresh(now);
        }
    }

    /// Takes in how the order ended that was given last.
    pub fn order_ended(&mut self, now: ClockTime, outcome: ServerOrderOutcome) {
        let Some((model, action)) = self.ordered.take() else {
            return;
        };
        if !matches!(
            outcome,
            ServerOrderOutcome::Conflict | ServerOrderOutcome::Refused
        ) {
            self.last_fence = self.last_fence.max(self.ordered_fence);
        }
        if action == OrderAction::LoadModel {
            // Only a report taken from now on tells whether it has to be ordered again.
            self.weights = None;
            self.model_loading_until = now.after(MODEL_RECHECK);
        }
        match outcome {
            // The server says so too if the adapter was there already.
            ServerOrderOutcome::Done if matches!(action, OrderAction::UnloadAdapter { .. }) => {
                self.right.accept();
            }
            ServerOrderOutcome::Done => self.right.refresh(now),
            ServerOrderOutcome::Accepted => {
                self.right.accept();
                if matches!(action, OrderAction::UnloadAdapter { .. }) {
                    // It waits for runs that this desk does not know of.
                    self.drop_queue();
                    self.keep_unloading(now, model, action);
                    self.right.refresh(now);
                }
            }
            ServerOrderOutcome::Conflict | ServerOrderOutcome::Refused => {
                self.drop_queue();
                self.undo(&model, &action);
                self.right.unsettle(now);
            }
            ServerOrderOutcome::Lost => {
                self.drop_queue();
                // A load may have been accepted, so that its place stays taken.
                if matches!(action, OrderAction::UnloadAdapter { .. }) {
                    self.undo(&model, &action);
                }
                self.right.unsettle(now);
            }
        }
    }

    pub(super) fn keep_unloading(&mut self, now: ClockTime, model: SmolStr, action: OrderAction) {
        if let OrderAction::UnloadAdapter { adapter } = action {
            self.places.push(AdapterPlace {
                model,
                adapter,
                version: 0,
                phase: PlacePhase::Unloading,
                ready_at: now,
                changed: now,
                used: now,
                confirmed: true,
            });
        }
    }

    /// Takes back what was assumed of an order that was not carried out.
    pub(super) fn undo(&mut self, model: &SmolStr, action: &OrderAction) {
        match action {
            OrderAction::LoadModel => {}
            OrderAction::LoadAdapter { adapter, .. } => {
                self.places.retain(|place| !place.is_for(model, adapter));
            }
            OrderAction::UnloadAdapter { adapter } => {
                self.dropped
                    .retain(|(held_model, held, _)| held_model != model || held != adapter);
                // A load that waits for its turn may have been asked for meanwhile.
                self.places.retain(|place| !place.is_for(model, adapter));
                self.places.push(AdapterPlace {
                    model: model.clone(),
                    adapter: adapter.clone(),
                    version: 0,
                    phase: PlacePhase::Ready,
                    ready_at: ClockTime::ZERO,
                    // The next report decides.
                    changed: ClockTime::ZERO,
                    used: ClockTime::ZERO,
                    confirmed: true,
                });
            }
        }
    }

    pub(super) fn drop_queue(&mut self) {
        // The newest first, so that a place is given back before what should have taken it.
        for (model, action) in std::mem::take(&mut self.queue).into_iter().rev() {
            self.undo(&model, &action);
        }
    }

    pub(super) fn push_load(&mut self, model: &SmolStr, adapter: &SmolStr, version: u64) {
        let action = OrderAction::LoadAdapter {
            adapter: adapter.clone(),
            version,
        };
        self.queue.push_back((model.clone(), action));
    }
}
