//! State of a simulated engine: adapter slots, running requests, prefix cache and injected faults.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wasabistall_lib::engine::{LoadReport, SlotReport};

/// A cold engine handles its concurrency divided by this number.
const COLD_CAPACITY_DIVISOR: usize = 4;
/// Maximum number of prompt prefixes in the cache.
const MAX_CACHED_PREFIXES: usize = 64;
/// One cache event in this many is dropped, as a lossy event feed would.
const EVENT_DROP_INTERVAL: u64 = 7;

/// Name and version of an adapter.
pub(crate) type AdapterId = (SmolStr, u32);

/// An occupied adapter slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotState {
    /// Whether the adapter is loaded; until then it is loading.
    pub(crate) ready: bool,
    /// Number of running requests that use the adapter.
    pub(crate) active: u32,
}

/// Faults to inject, set through `POST /admin/faults`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct EngineFaults {
    /// Number of upcoming adapter loads that fail.
    pub(crate) fail_loads: u64,
    /// A prompt that contains this text crashes the engine.
    pub(crate) crash_on: Option<SmolStr>,
    /// Responses break off before the output token at this position, counted from 0.
    pub(crate) break_after: Option<u64>,
    /// Responses stall before the output token at this position, counted from 0.
    pub(crate) silent_after: Option<u64>,
    /// Responses carry the request id `crossed` instead of their own.
    pub(crate) crossed: bool,
    /// Minimum age of load reports, in milliseconds.
    pub(crate) report_lag_ms: u64,
    /// Responses to completions have no length and end with their connection.
    pub(crate) ends_by_connection: bool,
}

/// An insertion into the prefix cache or an eviction from it; published late and with gaps.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) prefix: u64,
    /// True for an insertion, false for an eviction.
    pub(crate) kept: bool,
}

/// Counters, read by tests through `GET /admin/stats`.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct EngineStats {
    /// Completions that started.
    pub(crate) started: u64,
    /// Completions that ended with a full response.
    pub(crate) finished: u64,
    /// Completions that ended early: cancelled, interrupted by a fault, or without a client.
    pub(crate) cancelled: u64,
    /// Completions started, by engine model name.
    pub(crate) by_model: BTreeMap<SmolStr, u64>,
    /// Requests refused because the adapter was not loaded.
    pub(crate) not_loaded: u64,
    /// Requests that contained a caller's API key.
    pub(crate) keys_seen: u64,
    /// Maximum number of concurrent completions.
    pub(crate) most_running: usize,
    /// Number of crashes.
    pub(crate) crashes: u64,
    /// Adapter loads completed.
    pub(crate) loads: u64,
    /// Adapters unloaded.
    pub(crate) unloads: u64,
    /// Adapters unloaded while a request used them.
    pub(crate) unloads_in_use: u64,
    /// Orders rejected because of an old fencing token.
    pub(crate) fenced: u64,
    /// Prompts whose prefix was in the cache.
    pub(crate) prefix_hits: u64,
}

/// State of a simulated engine; a crash resets most of it.
pub(crate) struct EngineState {
    /// Random identifier of the engine process; a crash changes it.
    pub(crate) epoch: u64,
    /// Highest fencing token seen.
    pub(crate) fence: u64,
    pub(crate) role: SmolStr,
    pub(crate) slots: BTreeMap<AdapterId, SlotState>,
    pub(crate) running: usize,
    /// Completions finished since the last crash.
    pub(crate) served: usize,
    pub(crate) concurrency: usize,
    pub(crate) max_slots: usize,
    pub(crate) faults: EngineFaults,
    pub(crate) stats: EngineStats,
    pub(crate) events: VecDeque<CacheEvent>,
    /// Hashes of the cached prefixes, oldest first.
    prefixes: VecDeque<u64>,
    last_sequence: u64,
}

impl EngineState {
    pub(crate) fn new(concurrency: usize, max_slots: usize) -> EngineState {
        EngineState {
            epoch: rand::random::<u32>().into(),
            fence: 0,
            role: "mixed".into(),
            slots: BTreeMap::new(),
            running: 0,
            served: 0,
            concurrency,
            max_slots,
            faults: EngineFaults::default(),
            stats: EngineStats::default(),
            events: VecDeque::new(),
            prefixes: VecDeque::new(),
            last_sequence: 0,
        }
    }

    /// Returns how many requests the engine can run at once: few when cold, and one more for each
    /// request served.
    pub(crate) fn capacity(&self) -> usize {
        let cold = (self.concurrency / COLD_CAPACITY_DIVISOR).max(1);
        (cold + self.served).min(self.concurrency)
    }

    /// Simulates a crash and restart: the engine is empty and cold afterwards.
    pub(crate) fn crash(&mut self) {
        self.epoch = rand::random::<u32>().into();
        self.slots.clear();
        self.prefixes.clear();
        self.running = 0;
        self.served = 0;
        self.stats.crashes += 1;
    }

    /// Returns the current load; adapters that are still loading are left out.
    pub(crate) fn report(&self) -> LoadReport {
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

    /// Inserts a prompt's prefix into the cache, evicting the oldest one if the cache is full.
    /// Returns whether the prefix was cached before.
    pub(crate) fn insert_prefix(&mut self, prefix: u64) -> bool {
        if self.prefixes.contains(&prefix) {
            self.stats.prefix_hits += 1;
            return true;
        }
        if self.prefixes.len() == MAX_CACHED_PREFIXES
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.record_event(evicted, false);
        }
        self.prefixes.push_back(prefix);
        self.record_event(prefix, true);
        false
    }

    fn record_event(&mut self, prefix: u64, kept: bool) {
        self.last_sequence += 1;
        if self.last_sequence.is_multiple_of(EVENT_DROP_INTERVAL) {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence: self.last_sequence,
            prefix,
            kept,
        });
    }

    /// Returns the cached prefixes, oldest first, for import into another engine.
    pub(crate) fn export_prefixes(&self) -> Vec<u64> {
        self.prefixes.iter().copied().collect()
    }
}
