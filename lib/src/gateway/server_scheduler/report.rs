//! Applies reports of a model server and published records to its scheduler.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    ADAPTER_LOAD_TIME, AdapterSlot, ModelStatus, ServerScheduler, SlotPhase,
    orders::MODEL_RECHECK_INTERVAL,
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
    /// Applies a report of the server, or `None` if it could not be read.
    pub fn observe_report(&mut self, now: ClockTime, report: Option<&ServerReport>) {
        self.order_lease.observe_report(now, report);
        if !self.order_lease.is_active() {
            self.clear_queue();
        }
        let Some(report) = report else { return };
        self.model_status = Some(ModelStatus {
            busy: report.busy,
            cached_models: report.cached_models.clone(),
        });
        if report.busy {
            self.model_status = None;
            self.model_loading_until = now.after(MODEL_RECHECK_INTERVAL);
        }
        self.recently_unloaded
            .retain(|(_, _, time)| now.since(*time) < SLOT_RECHECK_INTERVAL);
        self.apply_models(now, &report.models);
        for (model, adapter) in &report.loading_adapters {
            self.apply_adapter(now, model, adapter, now.after(ADAPTER_LOAD_TIME));
        }
        let unloading = |slot: &AdapterSlot| slot.phase == SlotPhase::Unloading;
        if self.adapter_slots.iter().any(unloading) {
            self.order_lease.request_report(now);
        }
    }

    /// Resets the state for a server whose process was replaced.
    pub fn server_restarted(&mut self, now: ClockTime, models: &[LoadedModel]) {
        self.clear_queue();
        self.recently_evicted.clear();
        self.prefix_cache.clear();
        self.adapter_slots.clear();
        self.models.clear();
        self.recently_unloaded.clear();
        self.last_fence = 0;
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
        self.adapter_slots.retain(|slot| {
            let listed = models.iter().any(|model| {
                model.name == slot.model
                    && model
                        .adapters
                        .iter()
                        .any(|adapter| adapter.name == slot.adapter)
            });
            // A report may be older than the newest order, and a load takes time.
            matches!(slot.phase, SlotPhase::Reserved { .. })
                || listed
                || now.since(slot.changed_at.max(slot.ready_at)) < SLOT_RECHECK_INTERVAL
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
        let is_dropped = self
            .recently_unloaded
            .iter()
            .any(|(other_model, other, _)| other_model == model && *other == adapter.name);
        if is_dropped {
            return;
        }
        if let Some(slot) = self.slot(model, &adapter.name) {
            slot.confirmed = slot.confirmed || ready_at <= now;
            if now.since(slot.changed_at) >= SLOT_RECHECK_INTERVAL {
                slot.version = adapter.version;
            }
            return;
        }
        self.adapter_slots.push(AdapterSlot {
            model: model.clone(),
            adapter: adapter.name.clone(),
            version: adapter.version,
            phase: SlotPhase::Ready,
            ready_at,
            changed_at: now,
            last_used_at: now,
            confirmed: ready_at <= now,
            from_store: false,
            late: false,
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
