//! A model engine or plain service in virtual time.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;
use wasabistall_lib::engine::{LoadReport, SlotReport};

/// Time of one output token on an idle engine.
const TOKEN_TIME: Duration = Duration::from_millis(2);
/// Time of one prompt token.
const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(50);
/// Each other request in the batch lengthens a token by this part.
const BATCH_COST: f64 = 0.02;
/// Each other adapter in the batch lengthens a token by this part.
const ADAPTER_COST: f64 = 0.15;
/// A cold engine bears this fraction of its concurrency.
const COLD_FRACTION: usize = 4;

/// An adapter slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineSlot {
    /// Whether the adapter is loaded.
    pub ready: bool,
    /// Requests running on it.
    pub active: u32,
}

/// Counts of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineCounts {
    /// Requests that began.
    pub started: u64,
    /// Loads carried out.
    pub loads: u64,
    /// Unloads of an adapter in use.
    pub unloads_in_use: u64,
    /// Times the engine fell over.
    pub crashes: u64,
    /// Times that requests took.
    pub busy: Duration,
    /// Times that requests would have taken on an idle engine.
    pub ideal: Duration,
}

/// A server in virtual time.
#[derive(Clone, Debug)]
pub struct WorldEngine {
    /// Adapters by name and version.
    pub slots: BTreeMap<(SmolStr, u32), EngineSlot>,
    /// Adapter slots.
    pub max_slots: usize,
    /// Requests it bears when warm.
    pub concurrency: usize,
    /// Requests running.
    pub running: usize,
    /// Requests finished since the last restart.
    pub served: usize,
    /// Changes with each restart.
    pub epoch: u64,
    /// Largest fencing number seen.
    pub fence: u64,
    /// Counts.
    pub counts: EngineCounts,
}

impl WorldEngine {
    /// A cold and empty engine.
    pub fn new(max_slots: usize, concurrency: usize) -> WorldEngine {
        WorldEngine {
            slots: BTreeMap::new(),
            max_slots,
            concurrency,
            running: 0,
            served: 0,
            epoch: 1,
            fence: 0,
            counts: EngineCounts::default(),
        }
    }

    /// Requests that it bears now.
    pub fn bears(&self) -> usize {
        let cold = (self.concurrency / COLD_FRACTION).max(1);
        (cold + self.served).min(self.concurrency)
    }

    /// Restarts empty and cold.
    pub fn crash(&mut self) {
        self.epoch += 1;
        self.slots.clear();
        self.running = 0;
        self.served = 0;
        self.counts.crashes += 1;
    }

    /// Time that a request takes if it begins now.
    pub fn service_time(&mut self, prompt_tokens: u64, output_tokens: u64) -> Duration {
        let adapters = self.slots.values().filter(|slot| slot.active > 0).count();
        let batch = BATCH_COST * self.running.saturating_sub(1) as f64;
        let mix = ADAPTER_COST * adapters.saturating_sub(1) as f64;
        let ideal = TOKEN_TIME.mul_f64(output_tokens as f64)
            + PROMPT_TOKEN_TIME.mul_f64(prompt_tokens as f64);
        let time = ideal.mul_f64(1.0 + batch + mix);
        self.counts.busy += time;
        self.counts.ideal += ideal;
        time
    }

    /// Its load report.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            epoch: self.epoch,
            age_ms: 0,
            running: u32::try_from(self.running).unwrap_or(u32::MAX),
            fence: self.fence,
            slots: self
                .slots
                .iter()
                .filter(|(_, slot)| slot.ready)
                .map(|((adapter, version), slot)| SlotReport {
                    adapter: adapter.clone(),
                    version: *version,
                    active: slot.active,
                })
                .collect(),
        }
    }
}
