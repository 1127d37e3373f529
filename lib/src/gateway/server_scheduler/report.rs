//! What reports and publications tell the scheduler of a model server.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    ADAPTER_LOAD_TIME, AdapterPlace, PlacePhase, ServerScheduler, WeightsReport,
    orders::MODEL_RECHECK,
};
use crate::{
    clock::ClockTime,
    gateway::catalog::{LoadedAdapter, LoadedModel, ServerReport},
};

/// Time after which a place that nobody has used is looked up in a report.
const CONFIRM_TIME: Duration = Duration::from_millis(800);
/// Time for another report after an unload that waits for its runs.
const PLACE_RECHECK: Duration = Duration::from_millis(600);

impl ServerScheduler {
    /// Takes in a report of the server, or that there was none.
    pub fn observe(&mut self, now: ClockTime, report: Option<&ServerReport>) {
        self.right.observe(now, report);
        if !self.right.is_active() {
            self.drop_queue();
        }
        let Some(report) = report else { return };
        self.weights = Some(WeightsReport {
            busy: report.busy,
            at_hand: report.cached_models.clone(),
        });
        if report.busy {
            self.weights = None;
            self.model_loading_until = now.after(MODEL_RECHECK);
        }
        self.dropped
            .retain(|(_, _, time)| now.since(*time) < PLACE_RECHECK);
        self.adopt_models(now, &report.models);
        for (model, adapter) in &report.loading_adapters {
            self.adopt_adapter(now, model, adapter, now.after(ADAPTER_LOAD_TIME));
        }
        let unloading = |place: &AdapterPlace| place.phase == PlacePhase::Unloading;
        if self.places.iter().any(unloading) {
            self.right.refresh(now);
        }
    }

    /// Starts over with a server whose process was replaced.
    pub fn server_restarted(&mut self, now: ClockTime, models: &[LoadedModel]) {
        self.drop_queue();
        self.recent.clear();
        self.parts.clear();
        self.places.clear();
        self.models.clear();
        self.dropped.clear();
        self.last_fence = 0;
        self.weights = None;
        self.model_loading_until = now;
        self.adopt_models(now, models);
        self.right.suspend(now);
    }

    /// Takes in what is published of a server that has not been asked itself.
    pub fn published(&mut self, now: ClockTime, models: &[LoadedModel]) {
        if !models.is_empty() && self.models.is_empty() {
            self.adopt_models(now, models);
        }
    }

    pub(super) fn adopt_models(&mut self, now: ClockTime, models: &[LoadedModel]) {
        self.models = models.iter().map(|model| model.name.clone()).collect();
        self.places.retain(|place| {
            let listed = models.iter().any(|model| {
                model.name == place.model
                    && model
                        .adapters
                        .iter()
                        .any(|adapter| adapter.name == place.adapter)
            });
            // A report may be older than the newest order, and a load takes its time.
            matches!(place.phase, PlacePhase::Reserved { .. })
                || listed
                || now.since(place.changed.max(place.ready_at)) < PLACE_RECHECK
        });
        for model in models {
            for adapter in &model.adapters {
                self.adopt_adapter(now, &model.name, adapter, now);
            }
        }
    }

    pub(super) fn adopt_adapter(
        &mut self,
        now: ClockTime,
        model: &SmolStr,
        adapter: &LoadedAdapter,
        ready_at: ClockTime,
    ) {
        let is_dropped = self
            .dropped
            .iter()
            .any(|(held_model, held, _)| held_model == model && *held == adapter.name);
        if is_dropped {
            return;
        }
        if let Some(place) = self.place(model, &adapter.name) {
            place.confirmed = place.confirmed || ready_at <= now;
            if now.since(place.changed) >= PLACE_RECHECK {
                place.version = adapter.version;
            }
            return;
        }
        self.places.push(AdapterPlace {
            model: model.clone(),
            adapter: adapter.name.clone(),
            version: adapter.version,
            phase: PlacePhase::Ready,
            ready_at,
            changed: now,
            used: now,
            confirmed: ready_at <= now,
        });
    }

    /// Has a report read if an adapter should have been in place for a while and nobody used it.
    pub fn check_places(&mut self, now: ClockTime) {
        let is_doubtful =
            |place: &AdapterPlace| !place.confirmed && now.since(place.ready_at) >= CONFIRM_TIME;
        if self.places.iter().any(is_doubtful) {
            self.right.refresh(now);
        }
        self.check_model(now);
    }
}
