//! Capacity of a model server that other instances take into account.

use std::time::Duration;

use super::{MAX_LOADING, ServerScheduler, prefill::PrefillModel};
use crate::{
    clock::ClockTime,
    gateway::{catalog::EngineConfig, server_status::ServerStatus},
};

impl ServerScheduler {
    /// Number of adapters that could start to load now, into slots that are free or whose adapter
    /// can be evicted. Zero if no orders can be given.
    pub fn free_adapter_slots(&self, now: ClockTime, config: &EngineConfig) -> usize {
        if !self.is_active() {
            return 0;
        }
        let reserved = self.reserved_slots();
        let evictable = self.eviction_candidates(now).count();
        let unused = config
            .adapter_slots
            .saturating_sub(self.adapter_slots.len());
        let max_loads = MAX_LOADING.saturating_sub(self.loading_count(now));
        (unused + evictable.saturating_sub(reserved)).min(max_loads)
    }

    /// Measured prefill speed relative to the prior, if known.
    pub fn speed(&self) -> Option<f64> {
        self.prefill_model.speed()
    }

    /// Starts the measurement of the speed anew from `speed`, which an earlier scheduler of the
    /// server published.
    pub fn set_initial_speed(&mut self, speed: f64) {
        self.prefill_model = PrefillModel::with_speed(speed);
    }

    /// Current state of the server. The scheduler does not queue requests yet.
    pub fn status(&self, now: ClockTime, config: &EngineConfig) -> ServerStatus {
        ServerStatus {
            age: Duration::ZERO,
            free_slots: u32::try_from(self.free_adapter_slots(now, config)).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queued_count()).unwrap_or(u32::MAX),
            backlog: self.backlog(now),
            speed: self.speed(),
        }
    }
}
