//! Scheduler of one model server: tracks its adapters and prompts and decides which requests may be
//! sent.
//!
//! One instance schedules a server. Other instances request a grant from it before they send a
//! request there, so that adapters in use are known and prompts don't queue up at one server.

mod admission;
mod grant;
mod grant_queue;
mod load_limiter;
mod orders;
mod pacer;
mod prefill;
mod report;
mod status;
pub mod wait_queue;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use smol_str::SmolStr;

use self::{
    admission::{LaterPrefill, StartBounds},
    grant_queue::GrantQueue,
    load_limiter::INITIAL_LOAD_TIME,
    prefill::PrefillModel,
};
pub use self::{
    grant::{DeclineReason, GrantKey, GrantNumber, GrantRelease, GrantReply, GrantRequest},
    grant_queue::{GrantAnswer, GrantCaller, OvertakeCounts, PRIORITY_COUNT},
    load_limiter::{LoadLimiter, LoadTiming},
    orders::{FENCE_TIME_BITS, OrderAction, ServerOrder, ServerOrderOutcome},
    pacer::PrefillPacer,
};
use super::{
    catalog::{EngineConfig, LoadedAdapter, LoadedModel},
    order_lease::OrderLease,
    prompt::PrefixCache,
};
use crate::clock::ClockTime;

/// Time to load an adapter that the server evicted recently and still has in its local cache.
const RECENT_LOAD_TIME: Duration = Duration::from_millis(25);
/// Time for an order to reach the server.
const ORDER_LATENCY: Duration = Duration::from_millis(12);
/// Number of evicted adapters that a server keeps in its local cache.
const MAX_RECENTLY_EVICTED: usize = 32;
/// Maximum number of adapters that load on a server at the same time.
const MAX_LOADING: usize = 4;
/// Factor by which the expected load time grows after a late load, its decay with each request that
/// was served, and its upper bound.
const LOAD_TIME_FACTOR_GROWTH: f64 = 1.25;
const LOAD_TIME_FACTOR_DECAY: f64 = 0.8;
const MAX_LOAD_TIME_FACTOR: f64 = 2.0;
/// Factor on the expected load time above which a late load shows that the weight store is
/// overloaded, not just slower than expected.
const OVERLOAD_FACTOR: f64 = 1.3;
/// Time after which an adapter that is slightly late is expected to be loaded, and the same while
/// the weight store is overloaded.
const LATE_LOAD_WAIT: Duration = Duration::from_millis(40);
const OVERLOADED_LOAD_WAIT: Duration = Duration::from_millis(120);
/// Time after the expected end of a load from which on it no longer counts against [`MAX_LOADING`].
const LOADED_MARGIN: Duration = Duration::from_millis(100);
/// Time in which a use of an adapter loses half of its weight against eviction. Demand moves to other
/// adapters within seconds.
const USE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Share of a server's cache memory that requests may fill.
const MEMORY_SHARE: f64 = 0.9;
/// Time of one decode step, in which a server generates a token for each stream. Published steps
/// take 4.4 to 5.3 ms and grow with the batch.
const DECODE_STEP_TIME: Duration = Duration::from_millis(6);
/// Prompts with at least this many uncached tokens are sent to a server one after another, with the
/// gap of [`PrefillPacer`] between them.
const LONG_PREFILL_TOKENS: u64 = 1_500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotPhase {
    /// The load waits for its start time.
    Reserved {
        start: ClockTime,
        load_time: Duration,
    },
    /// The load was ordered or is complete.
    Ready,
    /// The adapter is unloaded once its requests have ended.
    Unloading,
}

#[derive(Clone, Debug)]
struct AdapterSlot {
    model: SmolStr,
    adapter: SmolStr,
    version: u64,
    phase: SlotPhase,
    /// Time at which the load completes.
    ready_at: ClockTime,
    changed_at: ClockTime,
    last_used_at: ClockTime,
    /// Number of grants on the adapter, each halved every [`USE_HALF_LIFE`]; as of `last_used_at`.
    uses: f64,
    /// Whether the adapter is known to be loaded: a request ran on it, or a report lists it.
    confirmed: bool,
    /// Whether its load was ordered from the weight store.
    from_store: bool,
    /// Expected duration of that load.
    load_time: Duration,
    /// Time since the load began at which a request last found the adapter missing.
    missing_after: Option<Duration>,
    /// Whether the load took so long that the weight store must be overloaded.
    late: bool,
}

impl AdapterSlot {
    /// A slot whose adapter was not loaded from the weight store by this scheduler.
    fn listed(
        now: ClockTime,
        model: SmolStr,
        adapter: SmolStr,
        version: u64,
        phase: SlotPhase,
    ) -> AdapterSlot {
        AdapterSlot {
            model,
            adapter,
            version,
            phase,
            ready_at: now,
            changed_at: now,
            last_used_at: now,
            uses: 0.0,
            confirmed: true,
            from_store: false,
            load_time: INITIAL_LOAD_TIME,
            missing_after: None,
            late: false,
        }
    }

    fn recent_uses(&self, now: ClockTime) -> f64 {
        let half_lives = now.since(self.last_used_at).as_secs_f64() / USE_HALF_LIFE.as_secs_f64();
        self.uses * 0.5_f64.powf(half_lives)
    }

    fn record_use(&mut self, now: ClockTime) {
        self.uses = self.recent_uses(now) + 1.0;
        self.last_used_at = now;
    }

    fn matches_adapter(&self, model: &str, adapter: &str) -> bool {
        self.model == model && self.adapter == adapter
    }
}

/// State of the base models according to a report.
#[derive(Clone, Debug)]
struct ModelStatus {
    busy: bool,
    cached_models: Vec<SmolStr>,
}

#[derive(Clone, Debug)]
struct GrantRecord {
    model: SmolStr,
    adapter: Option<SmolStr>,
    tokens: u64,
    prompt_tokens: u64,
    uncached_tokens: u64,
    /// Time at which the request is sent.
    sent_at: ClockTime,
    /// Expected time to prefill the prompt.
    prefill_time: Duration,
    /// Time at which the first event is expected.
    first_event_at: ClockTime,
    has_first_event: bool,
    expires_at: ClockTime,
}

/// Scheduler of one model server.
#[derive(Clone, Debug)]
pub struct ServerScheduler {
    order_lease: OrderLease,
    /// Whether the instance is allowed to give orders at all.
    may_order: bool,
    models: Vec<SmolStr>,
    adapter_slots: Vec<AdapterSlot>,
    recently_evicted: VecDeque<(SmolStr, SmolStr)>,
    /// Factor on the expected load time, which grows while many loads run across all servers.
    load_time_factor: f64,
    grants: BTreeMap<GrantKey, GrantRecord>,
    prefix_cache: PrefixCache,
    prefill_until: ClockTime,
    /// Prompts that wait for a load while others are prefilled.
    later_prefills: Vec<LaterPrefill>,
    prefill_model: PrefillModel,
    prefill_pacer: PrefillPacer,
    grant_queue: GrantQueue,
    queue: VecDeque<(SmolStr, OrderAction)>,
    pending_order: Option<(SmolStr, OrderAction)>,
    /// Largest fencing token of an accepted order, including orders of earlier schedulers.
    last_fence: u64,
    /// Fencing token of the lease that is held, once an order was given under it.
    lease_fence: Option<u64>,
    /// Fencing token of the order in flight.
    pending_fence: u64,
    model_loading_until: ClockTime,
    /// State of the base models according to the last report, if there was one.
    model_status: Option<ModelStatus>,
}

impl ServerScheduler {
    /// Creates a scheduler that has not read a report of its server yet. `models` are the published
    /// ones.
    pub fn new(
        now: ClockTime,
        lease_time: Duration,
        config: &EngineConfig,
        models: &[LoadedModel],
    ) -> Self {
        let mut scheduler = ServerScheduler {
            order_lease: OrderLease::new(now, lease_time),
            may_order: true,
            models: Vec::new(),
            adapter_slots: Vec::new(),
            recently_evicted: VecDeque::new(),
            load_time_factor: 1.0,
            grants: BTreeMap::new(),
            prefix_cache: PrefixCache::new(config.cache_tokens),
            prefill_until: now,
            later_prefills: Vec::new(),
            prefill_model: PrefillModel::new(),
            prefill_pacer: PrefillPacer::default(),
            grant_queue: GrantQueue::default(),
            queue: VecDeque::new(),
            pending_order: None,
            last_fence: 0,
            lease_fence: None,
            pending_fence: 0,
            model_loading_until: now,
            model_status: None,
        };
        scheduler.apply_models(now, models);
        scheduler
    }

    /// The lease for giving orders.
    pub fn order_lease(&self) -> &OrderLease {
        &self.order_lease
    }

    /// Whether orders can be given now.
    pub fn is_active(&self) -> bool {
        self.may_order && self.order_lease.is_active()
    }

    /// Sets whether the instance is allowed to give orders at all. A change drops queued orders.
    pub fn set_may_order(&mut self, may_order: bool) {
        if self.may_order != may_order {
            self.clear_queue();
            self.may_order = may_order;
        }
    }

    /// Whether a report is due. If so, the caller must read one.
    pub fn begin_report_read(&mut self, now: ClockTime) -> bool {
        self.order_lease.begin_report_read(now)
    }

    /// Gives up the order lease until it has been acquired again. Drops queued orders, because the
    /// state they were based on may have changed.
    pub fn suspend(&mut self, now: ClockTime) {
        self.clear_queue();
        self.lease_fence = None;
        self.order_lease.suspend(now);
    }

    /// Whether a report since the last call has shown an order of another instance.
    pub fn take_other_order(&mut self) -> bool {
        self.order_lease.take_other_order()
    }

    /// Time until the server could start on another prompt.
    pub fn backlog(&self, now: ClockTime) -> Duration {
        self.prefill_until.since(now) + self.grant_queue.prefill_time()
    }

    /// Models and adapters that are loaded or loading.
    pub fn holdings(&self) -> Vec<LoadedModel> {
        self.models
            .iter()
            .map(|model| LoadedModel {
                name: model.clone(),
                adapters: self
                    .adapter_slots
                    .iter()
                    .filter(|slot| slot.model == *model && slot.phase == SlotPhase::Ready)
                    .map(|slot| LoadedAdapter {
                        name: slot.adapter.clone(),
                        version: slot.version,
                    })
                    .collect(),
            })
            .collect()
    }

    /// Recently evicted adapters, which the server can load quickly.
    pub fn recent_holdings(&self) -> Vec<LoadedModel> {
        self.models
            .iter()
            .map(|model| LoadedModel {
                name: model.clone(),
                adapters: self
                    .recently_evicted
                    .iter()
                    .filter(|(other_model, _)| other_model == model)
                    .map(|(_, adapter)| LoadedAdapter {
                        name: adapter.clone(),
                        version: 0,
                    })
                    .collect(),
            })
            .collect()
    }

    /// Whether the adapter is loaded or loading in `version` or a newer one. Without an adapter,
    /// whether the base model is loaded.
    pub fn holds(&self, model: &str, adapter: Option<&str>, version: u64) -> bool {
        self.models.iter().any(|name| name == model)
            && adapter.is_none_or(|adapter| {
                self.adapter_slots.iter().any(|slot| {
                    slot.matches_adapter(model, adapter)
                        && slot.phase == SlotPhase::Ready
                        && slot.version >= version
                })
            })
    }

    /// Whether the adapter was evicted recently, so that the server can load it quickly.
    pub fn was_recently_evicted(&self, model: &str, adapter: &str) -> bool {
        self.models.iter().any(|name| name == model) && self.is_recently_evicted(model, adapter)
    }

    fn slot(&mut self, model: &str, adapter: &str) -> Option<&mut AdapterSlot> {
        self.adapter_slots
            .iter_mut()
            .find(|slot| slot.matches_adapter(model, adapter))
    }

    /// Ensures that the adapter is loaded or will be, and returns the time at which it is ready.
    fn allocate_slot(
        &mut self,
        now: ClockTime,
        config: &EngineConfig,
        request: &GrantRequest,
        adapter: &SmolStr,
        bounds: StartBounds,
        load_limiter: &mut LoadLimiter,
    ) -> Result<ClockTime, DeclineReason> {
        let (model, version) = (&request.model, request.version);
        let is_active = self.is_active();
        let is_in_use = self.is_in_use(model, adapter);
        if let Some(slot) = self.slot(model, adapter) {
            if slot.phase == SlotPhase::Unloading {
                return Err(DeclineReason::NoPlace);
            }
            if let SlotPhase::Reserved { start, .. } = slot.phase
                && start.since(now) > bounds.load
            {
                return Err(DeclineReason::LoadsBusy);
            }
            if slot.version >= version {
                return Ok(slot.ready_at.max(now));
            }
            if !is_active {
                return Err(DeclineReason::NoRight);
            }
            if is_in_use {
                return Err(DeclineReason::NoPlace);
            }
            slot.version = version;
            slot.confirmed = false;
            slot.changed_at = now;
            slot.ready_at = now.after(load_limiter.load_time() + ORDER_LATENCY);
            let ready_at = slot.ready_at;
            self.queue_load(model, adapter, version);
            return Ok(ready_at);
        }
        if !is_active {
            return Err(DeclineReason::NoRight);
        }
        if self.loading_count(now) >= MAX_LOADING {
            return Err(DeclineReason::LoadsBusy);
        }
        let is_recently_evicted = self.is_recently_evicted(model, adapter);
        let load_time = if is_recently_evicted {
            RECENT_LOAD_TIME
        } else {
            load_limiter.load_time().mul_f64(self.load_time_factor)
        };
        if self.occupied_slots() + self.reserved_slots() >= config.adapter_slots
            && self.eviction_candidates(now).count() <= self.reserved_slots()
        {
            return Err(DeclineReason::NoPlace);
        }
        // Recently evicted adapters are loaded from the server's local cache and need no load slot
        // of the weight store.
        let start = if is_recently_evicted {
            now
        } else {
            load_limiter
                .reserve(now, load_time, bounds.load)
                .ok_or(DeclineReason::LoadsBusy)?
        };
        self.remove_recently_evicted(model, adapter);
        let ready_at = start.after(load_time + ORDER_LATENCY);
        self.adapter_slots.push(AdapterSlot {
            model: model.clone(),
            adapter: adapter.clone(),
            version,
            phase: SlotPhase::Reserved { start, load_time },
            ready_at,
            changed_at: now,
            last_used_at: now,
            uses: 0.0,
            confirmed: false,
            from_store: !is_recently_evicted,
            load_time,
            missing_after: None,
            late: false,
        });
        self.start_loads(now, config);
        Ok(ready_at)
    }

    /// Number of slots that hold an adapter or for which a load was ordered.
    fn occupied_slots(&self) -> usize {
        self.adapter_slots
            .iter()
            .filter(|slot| !matches!(slot.phase, SlotPhase::Reserved { .. }))
            .count()
    }

    fn reserved_slots(&self) -> usize {
        self.adapter_slots.len() - self.occupied_slots()
    }

    /// Orders the loads that are due, and evicts adapters to make room for them.
    fn start_loads(&mut self, now: ClockTime, config: &EngineConfig) {
        let is_due = |slot: &AdapterSlot| matches!(slot.phase, SlotPhase::Reserved { start, .. } if start <= now);
        while self.adapter_slots.iter().any(is_due) {
            if self.occupied_slots() >= config.adapter_slots && self.evict(now).is_err() {
                return;
            }
            let Some(slot) = self.adapter_slots.iter_mut().find(|slot| is_due(slot)) else {
                return;
            };
            if let SlotPhase::Reserved { load_time, .. } = slot.phase {
                slot.ready_at = now.after(load_time + ORDER_LATENCY);
            }
            slot.phase = SlotPhase::Ready;
            slot.changed_at = now;
            let (model, adapter) = (slot.model.clone(), slot.adapter.clone());
            let version = slot.version;
            slot.version = version.max(1);
            self.queue_load(&model, &adapter, version);
        }
    }

    /// Adapters that are known to be loaded and that no request uses.
    fn eviction_candidates(&self, now: ClockTime) -> impl Iterator<Item = (usize, &AdapterSlot)> {
        self.adapter_slots
            .iter()
            .enumerate()
            .filter(move |(_, slot)| {
                slot.phase == SlotPhase::Ready
                    && slot.ready_at <= now
                    && slot.confirmed
                    && !self.is_in_use(&slot.model, &slot.adapter)
            })
    }

    /// Evicts the adapter with the fewest recent uses among those that no request uses. Most adapters
    /// are asked for once, and would displace those in demand if the least recent use counted.
    fn evict(&mut self, now: ClockTime) -> Result<(), DeclineReason> {
        let victim = self
            .eviction_candidates(now)
            .min_by(|(_, left), (_, right)| {
                let uses = left.recent_uses(now).total_cmp(&right.recent_uses(now));
                uses.then(left.last_used_at.cmp(&right.last_used_at))
            })
            .map(|(position, _)| position)
            .ok_or(DeclineReason::NoPlace)?;
        let slot = self.adapter_slots.remove(victim);
        let action = OrderAction::UnloadAdapter {
            adapter: slot.adapter.clone(),
        };
        self.queue.push_back((slot.model.clone(), action));
        self.push_recently_evicted(slot.model, slot.adapter);
        Ok(())
    }

    fn push_recently_evicted(&mut self, model: SmolStr, adapter: SmolStr) {
        self.recently_evicted.push_back((model, adapter));
        if self.recently_evicted.len() > MAX_RECENTLY_EVICTED {
            self.recently_evicted.pop_front();
        }
    }

    fn is_recently_evicted(&self, model: &str, adapter: &str) -> bool {
        let is_same =
            |(other_model, other): &(SmolStr, SmolStr)| other_model == model && other == adapter;
        self.recently_evicted.iter().any(is_same)
    }

    fn remove_recently_evicted(&mut self, model: &str, adapter: &str) {
        self.recently_evicted
            .retain(|(other_model, other)| other_model != model || other != adapter);
    }

    fn expire_grants(&mut self, now: ClockTime) {
        self.grants.retain(|_, grant| grant.expires_at > now);
    }

    /// Whether a granted request on the adapter has not ended.
    fn is_in_use(&self, model: &str, adapter: &str) -> bool {
        self.grants
            .values()
            .any(|grant| grant.model == model && grant.adapter.as_deref() == Some(adapter))
    }

    /// Number of adapters that may still be loading.
    ///
    /// The first event that confirms a load comes after the prefill, up to seconds later. An adapter
    /// therefore also counts as loaded some time after it should be, unless a request found it
    /// missing since, which makes that time later.
    pub fn loading_count(&self, now: ClockTime) -> usize {
        self.adapter_slots
            .iter()
            .filter(|slot| !slot.confirmed && now < slot.ready_at.after(LOADED_MARGIN))
            .count()
    }

    /// Applies the progress or the end of a granted request. Returns what it shows about a load from
    /// the weight store, if anything.
    pub fn release(&mut self, now: ClockTime, release: &GrantRelease) -> Option<LoadTiming> {
        let grant = self.grants.get(&release.key)?;
        let (model, adapter) = (grant.model.clone(), grant.adapter.clone());
        let timing = release
            .first_event
            .and_then(|first| self.record_first_event(now, &release.key, first));
        if !release.ended {
            return timing;
        }
        if let Some(had_late_pause) = release.late_pause {
            self.prefill_pacer.record_stream(had_late_pause);
        }
        self.grants.remove(&release.key);
        self.later_prefills
            .retain(|prefill| prefill.key != release.key);
        match adapter {
            Some(adapter) if release.adapter_missing => {
                self.record_late_load(now, &model, &adapter)
            }
            _ => timing,
        }
    }

    /// Updates the load and prefill estimates after the first event of a request, which came
    /// `first` after it was sent. Returns whether it confirms a load from the weight store.
    fn record_first_event(
        &mut self,
        now: ClockTime,
        key: &GrantKey,
        first: Duration,
    ) -> Option<LoadTiming> {
        let grant = self.grants.get_mut(key)?;
        if std::mem::replace(&mut grant.has_first_event, true) {
            return None;
        }
        let grant = grant.clone();
        self.load_time_factor = 1.0 + (self.load_time_factor - 1.0) * LOAD_TIME_FACTOR_DECAY;
        let mut timing = None;
        if let Some(adapter) = &grant.adapter
            && let Some(slot) = self.slot(&grant.model, adapter)
        {
            let was_confirmed = std::mem::replace(&mut slot.confirmed, true);
            if slot.from_store && !was_confirmed {
                timing = match slot.missing_after {
                    None => Some(LoadTiming::Timely),
                    Some(_) if slot.late => None,
                    Some(time) => Some(LoadTiming::Delayed(time)),
                };
            }
        }
        if grant.uncached_tokens < LONG_PREFILL_TOKENS {
            return timing;
        }
        // Shift the start of queued prompts by the difference between the actual and the expected
        // time.
        let first_event_at = grant.sent_at.after(first);
        let late = first_event_at.since(grant.first_event_at);
        let early = grant.first_event_at.since(first_event_at);
        self.prefill_until = if late.is_zero() {
            self.prefill_until.before(early).max(now)
        } else {
            self.prefill_until
                .max(now)
                .after(late.min(grant.prefill_time))
        };
        let waited = grant
            .first_event_at
            .since(grant.sent_at.after(grant.prefill_time));
        let prefill_time = first.saturating_sub(waited);
        self.prefill_model
            .record(grant.prompt_tokens, grant.uncached_tokens, prefill_time);
        timing
    }

    /// Handles a response that says that the server lacks an adapter which should be loaded by now.
    ///
    /// The load may still be running, so the slot is kept until a report says otherwise. A load that
    /// is slightly late only shows that loads take longer than expected. Of the responses about one
    /// load that is later than that, only the first counts: others say nothing new about the weight
    /// store.
    fn record_late_load(
        &mut self,
        now: ClockTime,
        model: &str,
        adapter: &str,
    ) -> Option<LoadTiming> {
        self.order_lease.request_report(now);
        let slot = self.slot(model, adapter)?;
        let time = now.since(slot.changed_at).saturating_sub(ORDER_LATENCY);
        if slot.confirmed {
            // The server lost the adapter or has another version of it.
            slot.ready_at = now.after(LATE_LOAD_WAIT);
            return None;
        }
        slot.missing_after = Some(time);
        if time <= slot.load_time.mul_f64(OVERLOAD_FACTOR) {
            slot.ready_at = now.after(LATE_LOAD_WAIT);
            return None;
        }
        slot.ready_at = now.after(OVERLOADED_LOAD_WAIT);
        if std::mem::replace(&mut slot.late, true) {
            return None;
        }
        self.load_time_factor =
            (self.load_time_factor * LOAD_TIME_FACTOR_GROWTH).min(MAX_LOAD_TIME_FACTOR);
        Some(LoadTiming::Late)
    }
}

/// Time in which each stream of a server emits an event.
fn event_interval(config: &EngineConfig) -> Duration {
    DECODE_STEP_TIME * config.event_tokens
}
