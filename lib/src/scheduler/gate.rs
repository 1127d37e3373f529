//! What a scheduler knows of one server: its limit, its requests, its adapter slots.

use crate::{
    clock::ClockTime,
    config::{AdapterKey, ConfigState, ServerKey, ServerRole},
    pool::WorkTarget,
};

/// A cold server starts at this fraction of its concurrency.
const COLD_FRACTION: u32 = 4;

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
    /// Requests with a permit for this slot.
    pub(super) pins: u32,
    /// Requests that the engine reported on this slot.
    pub(super) reported: u32,
    pub(super) changed: ClockTime,
    pub(super) used: ClockTime,
}

/// What the scheduler knows of one server.
#[derive(Clone, Debug)]
pub(super) struct ServerGate {
    pub(super) concurrency: u32,
    /// Requests it bears now; grows with evidence.
    pub(super) limit: u32,
    pub(super) running: u32,
    pub(super) slots: Vec<AdapterSlot>,
    pub(super) max_slots: usize,
    pub(super) epoch: Option<u64>,
    pub(super) paused_until: ClockTime,
    pub(super) fence: u64,
}

impl ServerGate {
    pub(super) fn new(config: &ConfigState, server: ServerKey) -> ServerGate {
        let record = &config.servers[server];
        let max_slots = match record.role {
            ServerRole::Engine { slots, .. } => slots as usize,
            ServerRole::Service { .. } => 0,
        };
        ServerGate {
            concurrency: record.concurrency,
            limit: cold_limit(record.concurrency),
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

    pub(super) fn takes_requests(&self, now: ClockTime) -> bool {
        self.epoch.is_some() && self.running < self.limit && now >= self.paused_until
    }

    /// The least recently used slot that nothing runs on.
    pub(super) fn evictable(&self) -> Option<(AdapterKey, u32)> {
        self.slots
            .iter()
            .filter(|slot| slot.phase == SlotPhase::Ready && slot.pins == 0 && slot.reported == 0)
            .min_by_key(|slot| slot.used)
            .map(|slot| (slot.adapter, slot.version))
    }

    pub(super) fn is_reloading(&self) -> bool {
        self.slots.iter().any(|slot| slot.phase != SlotPhase::Ready)
    }
}

pub(super) fn cold_limit(concurrency: u32) -> u32 {
    (concurrency / COLD_FRACTION).max(1)
}

pub(super) fn has_target(gate: &ServerGate, target: WorkTarget) -> bool {
    match target {
        WorkTarget::Adapter { adapter, version } => {
            gate.slot_phase(adapter, version) == Some(SlotPhase::Ready)
        }
        WorkTarget::Base(_) | WorkTarget::Service(_) => true,
    }
}

pub(super) fn pin_slot(gate: &mut ServerGate, now: ClockTime, adapter: AdapterKey, version: u32) {
    if let Some(slot) = gate.slot(adapter, version) {
        slot.pins += 1;
        slot.used = now;
        return;
    }
    gate.slots.push(AdapterSlot {
        adapter,
        version,
        phase: SlotPhase::Ready,
        pins: 1,
        reported: 0,
        changed: now,
        used: now,
    });
}
