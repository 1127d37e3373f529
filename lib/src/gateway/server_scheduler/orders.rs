//! Orders to a model server: the queue, the order in flight, and its outcome.

use std::time::Duration;

use smol_str::SmolStr;

use super::{AdapterSlot, ServerScheduler, SlotPhase};
use crate::{
    clock::ClockTime,
    gateway::catalog::{EngineConfig, ModelConfig},
};

/// Number of low bits of a fencing token that hold the wall-clock time, and the unit of that time,
/// which is a fraction of the lease. The time wraps after two hours, which only matters between
/// orders at the same count of accepted orders.
pub const FENCE_TIME_BITS: u32 = 15;
const FENCE_TIME_UNIT_MILLIS: u64 = 250;
/// Position of the start of the server's process, in Unix milliseconds, in a fencing token. An order
/// that is counted adds as much as [`ORDER_MILLIS`] of a later start.
const FENCE_START_SHIFT: u32 = FENCE_TIME_BITS - ORDER_MILLIS.ilog2();
/// Least time between two orders to a server, on average since its start. Tokens of a process then stay
/// below those of a process that starts after it.
const ORDER_MILLIS: u64 = 16;
/// Largest start in a fencing token, in the year 2109. Tokens then have at most 53 bits, with room for
/// 2^28 orders: readers of JSON may round larger numbers.
const MAX_FENCE_START: u64 = (1 << (53 - FENCE_START_SHIFT)) - (1 << 32);
/// Time between two reports of a server that loads a base model.
pub(super) const MODEL_RECHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Action of an order.
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
    /// Unload an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: SmolStr,
    },
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// Action.
    pub action: OrderAction,
    /// Base model.
    pub model: SmolStr,
    /// Number of accepted orders that the server must have counted for the order to be accepted.
    pub expected: u64,
    /// Fencing token of the sender's lease. It differs between leases and increases from one to the
    /// next.
    pub fence: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOrderOutcome {
    /// The server was already in the ordered state, or reached it at once.
    Done,
    /// The order is being carried out.
    Accepted,
    /// Another order is in progress, or the server's count of accepted orders differs.
    Conflict,
    /// The server refused the order or is not the expected one.
    Refused,
    /// No response was received.
    Lost,
}

impl ServerScheduler {
    /// Returns the next order to give, if one may be given now.
    ///
    /// `unix_millis` is the wall-clock time. It distinguishes the tokens of different lease holders
    /// at the same count of accepted orders.
    pub fn next_order(
        &mut self,
        now: ClockTime,
        config: &EngineConfig,
        unix_millis: u64,
    ) -> Option<ServerOrder> {
        if self.pending_order.is_some() {
            return None;
        }
        let expected = self.order_lease.expected().filter(|_| self.may_order)?;
        self.start_loads(now, config);
        let (model, action) = self.queue.pop_front()?;
        self.pending_order = Some((model.clone(), action.clone()));
        self.order_lease.record_sent(now);
        // An order that arrives late must not have a lower token than those given since.
        let fence = self
            .lease_fence
            .unwrap_or_else(|| self.fence(expected, unix_millis));
        self.lease_fence = Some(fence);
        self.pending_fence = fence;
        Some(ServerOrder {
            action,
            model,
            expected,
            fence,
        })
    }

    /// Computes the fencing token of a lease.
    ///
    /// The start of the server's process comes first and the count of accepted orders second, both as
    /// the server reports them, so tokens keep increasing even if the server restarts and all instances
    /// lose their state. The server accepts an order without counting it if it is in the ordered state
    /// already. The wall-clock time then distinguishes the lease holders, because the lease makes it
    /// later for a later holder.
    pub(super) fn fence(&self, expected: u64, unix_millis: u64) -> u64 {
        let started = self.order_lease.server_started().unwrap_or_default();
        let start = started.min(MAX_FENCE_START) << FENCE_START_SHIFT;
        let count = (expected + 1) << FENCE_TIME_BITS;
        let time = (unix_millis / FENCE_TIME_UNIT_MILLIS) & ((1 << FENCE_TIME_BITS) - 1);
        // The clock of the server may have been set back before its restart.
        (start + count + time).max(self.last_fence + 1)
    }

    /// Start time of the next reserved load.
    pub fn next_load_at(&self) -> Option<ClockTime> {
        let start = |slot: &AdapterSlot| match slot.phase {
            SlotPhase::Reserved { start, .. } => Some(start),
            SlotPhase::Ready | SlotPhase::Unloading => None,
        };
        self.adapter_slots.iter().filter_map(start).min()
    }

    /// Largest fencing token of an accepted order.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// Raises the largest known fencing token to that of an earlier scheduler.
    pub fn raise_fence(&mut self, fence: u64) {
        self.last_fence = self.last_fence.max(fence);
    }

    /// Whether a base model is loaded.
    pub fn has_model(&self) -> bool {
        !self.models.is_empty()
    }

    /// Orders a base model for a server that has none, from the server's local cache if it has a
    /// copy, and otherwise from the weight store if `from_store`.
    pub fn load_model_if_missing(
        &mut self,
        now: ClockTime,
        config: &EngineConfig,
        from_store: bool,
    ) {
        let Some(model_status) = &self.model_status else {
            return;
        };
        if !self.is_active()
            || !self.models.is_empty()
            || model_status.busy
            || now < self.model_loading_until
            || self.pending_order.is_some()
            || !self.queue.is_empty()
        {
            return;
        }
        let is_cached = |model: &&ModelConfig| model_status.cached_models.contains(&model.name);
        let Some(model) = config
            .models
            .iter()
            .find(is_cached)
            .or(config.models.first().filter(|_| from_store))
        else {
            return;
        };
        self.model_loading_until = now.after(model.load_time.max(MODEL_RECHECK_INTERVAL));
        self.model_status = None;
        let order = (model.name.clone(), OrderAction::LoadModel);
        self.queue.push_back(order);
    }

    /// Requests a report once a base model that was ordered should be loaded.
    pub(super) fn check_model(&mut self, now: ClockTime) {
        if self.models.is_empty() && self.model_status.is_none() && now >= self.model_loading_until
        {
            self.order_lease.request_report(now);
        }
    }

    /// Applies the outcome of the order in flight.
    pub fn order_ended(&mut self, now: ClockTime, outcome: ServerOrderOutcome) {
        let Some((model, action)) = self.pending_order.take() else {
            return;
        };
        if !matches!(
            outcome,
            ServerOrderOutcome::Conflict | ServerOrderOutcome::Refused
        ) {
            self.last_fence = self.last_fence.max(self.pending_fence);
        }
        if action == OrderAction::LoadModel {
            // Only a report taken from now on tells whether the model must be ordered again.
            self.model_status = None;
            self.model_loading_until = now.after(MODEL_RECHECK_INTERVAL);
        }
        match outcome {
            ServerOrderOutcome::Done if matches!(action, OrderAction::UnloadAdapter { .. }) => {
                self.order_lease.record_accepted(now);
            }
            // The server also answers this if the adapter was already loaded.
            ServerOrderOutcome::Done => self.order_lease.request_report(now),
            ServerOrderOutcome::Accepted => {
                self.order_lease.record_accepted(now);
                if matches!(action, OrderAction::UnloadAdapter { .. }) {
                    // The unload waits for requests that this scheduler doesn't know of.
                    self.clear_queue();
                    self.add_unloading_slot(now, model, action);
                    self.order_lease.request_report(now);
                }
            }
            ServerOrderOutcome::Conflict | ServerOrderOutcome::Refused => {
                self.clear_queue();
                self.revert_order(&model, &action);
                self.order_lease.mark_rejected(now);
            }
            ServerOrderOutcome::Lost => {
                self.clear_queue();
                // A load may have been accepted, so its slot stays occupied.
                if matches!(action, OrderAction::UnloadAdapter { .. }) {
                    self.revert_order(&model, &action);
                }
                self.order_lease.mark_unsettled(now);
            }
        }
    }

    pub(super) fn add_unloading_slot(
        &mut self,
        now: ClockTime,
        model: SmolStr,
        action: OrderAction,
    ) {
        if let OrderAction::UnloadAdapter { adapter } = action {
            let slot = AdapterSlot::listed(now, model, adapter, 0, SlotPhase::Unloading);
            self.adapter_slots.push(slot);
        }
    }

    /// Reverts the assumed effect of an order that was not carried out.
    pub(super) fn revert_order(&mut self, model: &SmolStr, action: &OrderAction) {
        match action {
            OrderAction::LoadModel => {}
            OrderAction::LoadAdapter { adapter, .. } => {
                self.adapter_slots
                    .retain(|slot| !slot.matches_adapter(model, adapter));
            }
            OrderAction::UnloadAdapter { adapter } => {
                // The slot may have been reserved for a new load of the same adapter meanwhile.
                self.adapter_slots
                    .retain(|slot| !slot.matches_adapter(model, adapter));
                // The next report may overwrite the slot.
                let time = ClockTime::ZERO;
                let (model, adapter) = (model.clone(), adapter.clone());
                let slot = AdapterSlot::listed(time, model, adapter, 0, SlotPhase::Ready);
                self.adapter_slots.push(slot);
            }
        }
    }

    pub(super) fn clear_queue(&mut self) {
        // Newest first, so that an evicted adapter regains its slot after the load that replaced it
        // was removed.
        for (model, action) in std::mem::take(&mut self.queue).into_iter().rev() {
            self.revert_order(&model, &action);
        }
    }

    pub(super) fn queue_load(&mut self, model: &SmolStr, adapter: &SmolStr, version: u64) {
        let action = OrderAction::LoadAdapter {
            adapter: adapter.clone(),
            version,
        };
        self.queue.push_back((model.clone(), action));
    }
}
