//! Applies reports of a model server and published records to its scheduler.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    AdapterSlot, ModelStatus, ServerScheduler, SlotPhase,
    load_limiter::INITIAL_LOAD_TIME,
    orders::{MODEL_RECHECK_INTERVAL, OrderAction},
};
use crate::{
    clock::ClockTime,
    gateway::catalog::{LoadedAdapter, LoadedModel, ServerReport},
};

/// Time after which a load that no request has confirmed is checked in a report.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// Time until the next report after an unload that waits for its requests to end.
const SLOT_RECHECK_INTERVAL: Duration = Duration::from_millis(600);

impl ServerScheduler {
    /// Applies a report of the server, or `None` if it could not be read. Returns whether the report
    /// was discarded as outdated.
    ///
    /// Each order is conditional on the server's count of accepted orders, so the slots must be
    /// those that the server had at that count. A report from before the newest order would free
    /// the slot of that order, and while an order is in flight, it is not known whether a report
    /// includes it.
    pub fn observe_report(&mut self, now: ClockTime, report: Option<&ServerReport>) -> bool {
        if let Some(report) = report
            && (self.pending_order.is_some() || self.order_lease.predates_orders(report))
        {
            self.order_lease.discard_report(now);
            return true;
        }
        if report.is_some_and(|report| self.order_lease.is_restarted(report)) {
            self.lease_fence = None;
        }
        self.order_lease.observe_report(now, report);
        if !self.order_lease.is_active() {
            self.clear_queue();
        }
        if !self.order_lease.is_held() {
            self.lease_fence = None;
        }
        let Some(report) = report else { return false };
        self.model_status = Some(ModelStatus {
            busy: report.busy,
            cached_models: report.cached_models.clone(),
        });
        if report.busy {
            self.model_status = None;
            self.model_loading_until = now.after(MODEL_RECHECK_INTERVAL);
        }
        self.apply_models(now, &report.models);
        for (model, adapter) in &report.loading_adapters {
            self.apply_adapter(now, model, adapter, now.after(INITIAL_LOAD_TIME));
        }
        let unloading = |slot: &AdapterSlot| slot.phase == SlotPhase::Unloading;
        if self.adapter_slots.iter().any(unloading) {
            self.order_lease.request_report(now);
        }
        false
    }

    /// Resets the state for a server whose process was replaced by one that started at `started`, in
    /// Unix milliseconds.
    pub fn server_restarted(&mut self, now: ClockTime, started: u64, models: &[LoadedModel]) {
        self.clear_queue();
        self.recently_evicted.clear();
        self.prefix_cache.clear();
        self.adapter_slots.clear();
        self.models.clear();
        // A report may have told of this process before, which may have got orders since.
        if self.order_lease.server_started() != Some(started) {
            self.lease_fence = None;
        }
        self.model_status = None;
        self.model_loading_until = now;
        self.apply_models(now, models);
        self.order_lease.suspend(now);
    }

    /// Applies the published models if none are known from a report.
    pub fn apply_published(&mut self, now: ClockTime, models: &[LoadedModel]) {
        if !models.is_empty() && self.models.is_empty() {
            self.apply_models(now, models);
        }
    }

    pub(super) fn apply_models(&mut self, now: ClockTime, models: &[LoadedModel]) {
        self.models = models.iter().map(|model| model.name.clone()).collect();
        let queue = &self.queue;
        let is_queued = |slot: &AdapterSlot| {
            queue.iter().any(|(model, action)| {
                *model == slot.model
                    && matches!(action, OrderAction::LoadAdapter { adapter, .. } if *adapter == slot.adapter)
            })
        };
        self.adapter_slots.retain(|slot| {
            let listed = models.iter().any(|model| {
                model.name == slot.model
                    && model
                        .adapters
                        .iter()
                        .any(|adapter| adapter.name == slot.adapter)
            });
            matches!(slot.phase, SlotPhase::Reserved { .. }) || listed || is_queued(slot)
        });
        for model in models {
            for adapter in &model.adapters {
                self.apply_adapter(now, &model.name, adapter, now);
            }
        }
    }

    pub(super) fn apply_adapter(
        &mut self,
        now: ClockTime,
        model: &SmolStr,
        adapter: &LoadedAdapter,
        ready_at: ClockTime,
    ) {
        let is_unload_queued = self.queue.iter().any(|(other_model, action)| {
            other_model == model
                && matches!(action, OrderAction::UnloadAdapter { adapter: other } if *other == adapter.name)
        });
        if is_unload_queued {
            return;
        }
        if let Some(slot) = self.slot(model, &adapter.name) {
            slot.confirmed = slot.confirmed || ready_at <= now;
            if now.since(slot.changed_at) >= SLOT_RECHECK_INTERVAL {
                slot.version = adapter.version;
            }
            return;
        }
        let (model, name) = (model.clone(), adapter.name.clone());
        let slot = AdapterSlot::listed(now, model, name, adapter.version, SlotPhase::Ready);
        self.adapter_slots.push(AdapterSlot {
            ready_at,
            confirmed: ready_at <= now,
            ..slot
        });
    }

    /// Requests a report if an adapter should have been loaded for a while and no request has
    /// confirmed it.
    pub fn check_slots(&mut self, now: ClockTime) {
        let is_unconfirmed =
            |slot: &AdapterSlot| !slot.confirmed && now.since(slot.ready_at) >= CONFIRM_TIMEOUT;
        if self.adapter_slots.iter().any(is_unconfirmed) {
            self.order_lease.request_report(now);
        }
        self.check_model(now);
    }
}
