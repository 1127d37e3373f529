//! A model engine or service without models in virtual time.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;
use wasabistall_lib::engine::{LoadReport, SlotReport};

/// Time per output token on an idle engine.
const TOKEN_TIME: Duration = Duration::from_millis(2);
/// Time per prompt token on an idle engine.
const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(50);
/// Slowdown of a request by each other request in the batch, as a fraction of its ideal time.
const BATCH_COST: f64 = 0.02;
/// Slowdown of a request by each other adapter in the batch, as a fraction of its ideal time.
const ADAPTER_COST: f64 = 0.15;
/// A cold engine starts with its concurrency divided by this.
const COLD_DIVISOR: usize = 4;

/// An adapter slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineSlot {
    /// Whether the adapter is loaded.
    pub ready: bool,
    /// Running requests that use it.
    pub active: u32,
}

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineCounts {
    /// Requests started.
    pub started: u64,
    /// Adapter loads completed.
    pub loads: u64,
    /// Unloads of adapters that running requests used.
    pub unloads_in_use: u64,
    /// Crashes.
    pub crashes: u64,
    /// Total time of all requests.
    pub busy: Duration,
    /// Total time that the same requests would have taken on an idle engine.
    pub ideal: Duration,
}

/// A simulated server.
#[derive(Clone, Debug)]
pub struct WorldEngine {
    /// Occupied slots by adapter name and version.
    pub slots: BTreeMap<(SmolStr, u32), EngineSlot>,
    /// Number of adapter slots.
    pub max_slots: usize,
    /// Requests that it runs at once when warm.
    pub concurrency: usize,
    /// Requests running.
    pub running: usize,
    /// Requests finished since the last restart, each of which raises the capacity by one.
    pub served: usize,
    /// Incremented on each restart.
    pub epoch: u64,
    /// Largest fencing token seen.
    pub fence: u64,
    /// Counters since the start of the simulation.
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

    /// Requests that it can run at once now; one more makes it crash.
    pub fn capacity(&self) -> usize {
        let cold = (self.concurrency / COLD_DIVISOR).max(1);
        (cold + self.served).min(self.concurrency)
    }

    /// Restarts the engine without adapters and cold.
    pub fn crash(&mut self) {
        self.epoch += 1;
        self.slots.clear();
        self.running = 0;
        self.served = 0;
        self.counts.crashes += 1;
    }

    /// Time that a request takes if it starts now; adds it to the counters.
    pub fn service_time(&mut self, prompt_tokens: u64, output_tokens: u64) -> Duration {
        let adapters = self.slots.values().filter(|slot| slot.active > 0).count();
        let batch_overhead = BATCH_COST * self.running.saturating_sub(1) as f64;
        let adapter_overhead = ADAPTER_COST * adapters.saturating_sub(1) as f64;
        let ideal = TOKEN_TIME.mul_f64(output_tokens as f64)
            + PROMPT_TOKEN_TIME.mul_f64(prompt_tokens as f64);
        let time = ideal.mul_f64(1.0 + batch_overhead + adapter_overhead);
        self.counts.busy += time;
        self.counts.ideal += ideal;
        time
    }

    /// Load report of the current state.
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
