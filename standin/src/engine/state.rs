//! Slots, batches and faults of a stand-in engine.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wasabistall_lib::engine::{LoadReport, SlotReport};

/// A cold engine bears this fraction of its concurrency.
const COLD_FRACTION: usize = 4;
/// Prompt prefixes kept in the cache.
const CACHED_PREFIXES: usize = 64;
/// Every how many cache events one is lost.
const EVENT_GAP: u64 = 7;

/// Name and version of an adapter.
pub(crate) type SlotName = (SmolStr, u32);

/// One adapter slot in use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotState {
    pub(crate) ready: bool,
    pub(crate) active: u32,
}

/// Faults that a test switches on.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct EngineFaults {
    /// Loads that fail from now on.
    pub(crate) fail_loads: u64,
    /// A prompt that holds this text crashes the engine.
    pub(crate) crash_on: Option<SmolStr>,
    /// Answers that break off after this many tokens.
    pub(crate) break_after: Option<u64>,
    /// Answers that fall silent after this many tokens.
    pub(crate) silent_after: Option<u64>,
    /// Answers carry the id of another request.
    pub(crate) crossed: bool,
    /// How far load reports lag, in milliseconds.
    pub(crate) report_lag_ms: u64,
}

/// What the prefix cache did; published late and with gaps.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) prefix: u64,
    pub(crate) kept: bool,
}

/// Counts for tests.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct EngineStats {
    /// Completions that began.
    pub(crate) started: u64,
    /// Completions that ended whole.
    pub(crate) finished: u64,
    /// Completions that were cancelled.
    pub(crate) cancelled: u64,
    /// Completions by engine model name.
    pub(crate) by_model: BTreeMap<SmolStr, u64>,
    /// Requests refused because the adapter was not loaded.
    pub(crate) not_loaded: u64,
    /// Requests that carried a caller's key.
    pub(crate) keys_seen: u64,
    /// Most completions at once.
    pub(crate) most_running: usize,
    /// Times the engine fell over.
    pub(crate) crashes: u64,
    /// Loads carried out.
    pub(crate) loads: u64,
    /// Unloads carried out.
    pub(crate) unloads: u64,
    /// Unloads of an adapter in use.
    pub(crate) unloads_in_use: u64,
    /// Orders refused for their fencing number.
    pub(crate) fenced: u64,
    /// Prompts whose prefix was cached.
    pub(crate) prefix_hits: u64,
}

/// State of an engine.
pub(crate) struct EngineState {
    pub(crate) epoch: u64,
    pub(crate) fence: u64,
    pub(crate) role: SmolStr,
    pub(crate) slots: BTreeMap<SlotName, SlotState>,
    pub(crate) running: usize,
    pub(crate) served: usize,
    pub(crate) concurrency: usize,
    pub(crate) max_slots: usize,
    pub(crate) faults: EngineFaults,
    pub(crate) stats: EngineStats,
    pub(crate) events: VecDeque<CacheEvent>,
    prefixes: VecDeque<u64>,
    next_event: u64,
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
            next_event: 0,
        }
    }

    /// Requests that it bears now: a cold engine bears few, each served one adds one.
    pub(crate) fn bears(&self) -> usize {
        let cold = (self.concurrency / COLD_FRACTION).max(1);
        (cold + self.served).min(self.concurrency)
    }

    /// Restarts empty and cold.
    pub(crate) fn crash(&mut self) {
        self.epoch = rand::random::<u32>().into();
        self.slots.clear();
        self.prefixes.clear();
        self.running = 0;
        self.served = 0;
        self.stats.crashes += 1;
    }

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

    /// Looks a prompt's prefix up in the cache and keeps it; returns whether it was there.
    pub(crate) fn touch_prefix(&mut self, prefix: u64) -> bool {
        if self.prefixes.contains(&prefix) {
            self.stats.prefix_hits += 1;
            return true;
        }
        if self.prefixes.len() == CACHED_PREFIXES
            && let Some(dropped) = self.prefixes.pop_front()
        {
            self.publish(dropped, false);
        }
        self.prefixes.push_back(prefix);
        self.publish(prefix, true);
        false
    }

    fn publish(&mut self, prefix: u64, kept: bool) {
        self.next_event += 1;
        if self.next_event.is_multiple_of(EVENT_GAP) {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence: self.next_event,
            prefix,
            kept,
        });
    }

    /// The prefixes in the cache, as exported to another engine.
    pub(crate) fn export_prefixes(&self) -> Vec<u64> {
        self.prefixes.iter().copied().collect()
    }
}
