//! A scheduler's view of one server: its concurrency limit, running requests and adapter slots.

use crate::{
    clock::ClockTime,
    config::{AdapterKey, ConfigState, ServerKey, ServerRole},
    pool::WorkTarget,
};

/// The concurrency limit of a restarted server starts at its full concurrency divided by this.
const INITIAL_LIMIT_DIVISOR: u32 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotPhase {
    Loading,
    Ready,
    Unloading,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterSlot {
    pub(super) adapter: AdapterKey,
    pub(super) version: u32,
    pub(super) phase: SlotPhase,
    /// Number of permits for this slot.
    pub(super) pins: u32,
    /// Requests running on this slot, as last reported by the engine.
    pub(super) reported_active: u32,
    pub(super) changed_at: ClockTime,
    pub(super) last_used: ClockTime,
}

/// A scheduler's view of one server.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    pub(super) concurrency: u32,
    /// Current concurrency limit: grows with each answered request and halves with each failure.
    pub(super) limit: u32,
    pub(super) running: u32,
    pub(super) slots: Vec<AdapterSlot>,
    pub(super) max_slots: usize,
    /// Epoch of the last load report; `None` until the first one.
    pub(super) epoch: Option<u64>,
    pub(super) paused_until: ClockTime,
    /// Largest fencing number known to have been used for this server.
    pub(super) fence: u64,
}

impl ServerState {
    pub(super) fn new(config: &ConfigState, server: ServerKey) -> ServerState {
        let record = &config.servers[server];
        let max_slots = match record.role {
            ServerRole::Engine { slots, .. } => slots as usize,
            ServerRole::Service { .. } => 0,
        };
        ServerState {
            concurrency: record.concurrency,
            limit: initial_limit(record.concurrency),
            running: 0,
            slots: Vec::new(),
            max_slots,
            epoch: None,
            paused_until: ClockTime::ZERO,
            fence: 0,
        }
    }

    pub(super) fn slot(&mut self, adapter: AdapterKey, version: u32) -> Option<&mut AdapterSlot> {
        self.slots
            .iter_mut()
            .find(|slot| slot.adapter == adapter && slot.version == version)
    }

    pub(super) fn slot_phase(&self, adapter: AdapterKey, version: u32) -> Option<SlotPhase> {
        self.slots
            .iter()
            .find(|slot| slot.adapter == adapter && slot.version == version)
            .map(|slot| slot.phase)
    }

    pub(super) fn accepts_requests(&self, now: ClockTime) -> bool {
        self.epoch.is_some() && self.running < self.limit && now >= self.paused_until
    }

    /// Adapter and version of the least recently used slot without requests.
    pub(super) fn eviction_candidate(&self) -> Option<(AdapterKey, u32)> {
        self.slots
            .iter()
            .filter(|slot| {
                slot.phase == SlotPhase::Ready && slot.pins == 0 && slot.reported_active == 0
            })
            .min_by_key(|slot| slot.last_used)
            .map(|slot| (slot.adapter, slot.version))
    }

    pub(super) fn has_pending_order(&self) -> bool {
        self.slots.iter().any(|slot| slot.phase != SlotPhase::Ready)
    }
}

pub(super) fn initial_limit(concurrency: u32) -> u32 {
    (concurrency / INITIAL_LIMIT_DIVISOR).max(1)
}

/// Whether the server can run the target without another adapter load.
pub(super) fn can_run(state: &ServerState, target: WorkTarget) -> bool {
    match target {
        WorkTarget::Adapter { adapter, version } => {
            state.slot_phase(adapter, version) == Some(SlotPhase::Ready)
        }
        WorkTarget::Base(_) | WorkTarget::Service(_) => true,
    }
}

/// Counts a permit for a slot; adds the slot if it is not known yet.
pub(super) fn pin_slot(state: &mut ServerState, now: ClockTime, adapter: AdapterKey, version: u32) {
    if let Some(slot) = state.slot(adapter, version) {
        slot.pins += 1;
        slot.last_used = now;
        return;
    }
    state.slots.push(AdapterSlot {
        adapter,
        version,
        phase: SlotPhase::Ready,
        pins: 1,
        reported_active: 0,
        changed_at: now,
        last_used: now,
    });
}
