//! The scheduler of one model server: which adapters it holds, what it reads, who may send.
//!
//! One instance has a server's desk. Others ask it for a grant before they send a request there,
//! so that adapters in use are known and prompts do not pile up at one server.

mod grant;
mod lanes;
mod orders;
mod reading;
mod report;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use smol_str::SmolStr;

use self::reading::ReadingModel;
pub use self::{
    grant::{DeclineReason, GrantKey, GrantRelease, GrantReply, GrantRequest},
    lanes::LoadLimiter,
    orders::{FENCE_TIME_BITS, OrderAction, ServerOrder, ServerOrderOutcome},
};
use super::{
    catalog::{EngineConfig, LoadedAdapter, LoadedModel},
    order_lease::OrderRight,
    prompt::PartCache,
};
use crate::clock::ClockTime;

/// Time of an adapter's load from the weight store while few are on their way.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(250);
/// Time of a load of an adapter that the server held lately.
const RECENT_LOAD_TIME: Duration = Duration::from_millis(25);
/// Time for an order to reach the server.
const ORDER_TIME: Duration = Duration::from_millis(12);
/// Adapters that a server keeps close at hand after they made way.
const RECENT_ADAPTERS: usize = 32;
/// Adapters that may be on their way to a server at the same time.
const MAX_COMING: usize = 4;
/// Growth of the expected time of loads when one was not done in time, its decay with each request
/// that was served, and its bound.
const STRETCH_GROWTH: f64 = 1.25;
const STRETCH_DECAY: f64 = 0.8;
const MAX_STRETCH: f64 = 2.0;
/// Time after which an adapter that was not in place in time is expected.
const LATE_LOAD_WAIT: Duration = Duration::from_millis(120);
/// Part of a server's memory that requests may fill.
const MEMORY_PART: f64 = 0.9;
/// Time in which a server makes a token for each stream; published steps take 4.4 to 5.3 ms and
/// grow with the batch.
const STEP_TIME: Duration = Duration::from_millis(6);
/// Prompts with at least this many tokens to read go to a server one after another: while two are
/// read in a row, the streams beside them stand still for longer than their objective. In the pause
/// between two of them each stream makes an event.
const PACED_TOKENS: u64 = 1_500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacePhase {
    /// Its load waits for its turn.
    Reserved {
        start: ClockTime,
        load_time: Duration,
    },
    /// It was ordered, or is there.
    Ready,
    /// It goes when its runs have ended.
    Unloading,
}

#[derive(Clone, Debug)]
struct AdapterPlace {
    model: SmolStr,
    adapter: SmolStr,
    version: u64,
    phase: PlacePhase,
    /// When a load is done.
    ready_at: ClockTime,
    changed: ClockTime,
    used: ClockTime,
    /// Whether the server is known to have it: a request ran on it, or a report lists it.
    confirmed: bool,
}

impl AdapterPlace {
    fn is_for(&self, model: &str, adapter: &str) -> bool {
        self.model == model && self.adapter == adapter
    }
}

/// What a report says about base models.
#[derive(Clone, Debug)]
struct WeightsReport {
    busy: bool,
    at_hand: Vec<SmolStr>,
}

#[derive(Clone, Debug)]
struct GrantRecord {
    model: SmolStr,
    adapter: Option<SmolStr>,
    tokens: u64,
    prompt_tokens: u64,
    unread: u64,
    /// When it is sent.
    sent_at: ClockTime,
    /// Time to read its prompt.
    reading: Duration,
    /// When its first event is expected.
    event_at: ClockTime,
    has_event: bool,
    expires: ClockTime,
}

/// The scheduler of one model server.
#[derive(Debug)]
pub struct ServerScheduler {
    right: OrderRight,
    /// Whether the instance may order at all.
    may_order: bool,
    models: Vec<SmolStr>,
    places: Vec<AdapterPlace>,
    recent: VecDeque<(SmolStr, SmolStr)>,
    /// Adapters dropped so recently that a report may still list them.
    dropped: Vec<(SmolStr, SmolStr, ClockTime)>,
    /// Factor on the time of loads, which grows while many are on their way over all servers.
    load_stretch: f64,
    grants: BTreeMap<GrantKey, GrantRecord>,
    parts: PartCache,
    read_until: ClockTime,
    reading: ReadingModel,
    queue: VecDeque<(SmolStr, OrderAction)>,
    ordered: Option<(SmolStr, OrderAction)>,
    /// Largest fencing token of an order that was accepted, here or by an earlier scheduler.
    last_fence: u64,
    ordered_fence: u64,
    model_loading_until: ClockTime,
    /// What the last report said about the base models, if there was one.
    weights: Option<WeightsReport>,
}

impl ServerScheduler {
    /// A desk that has not heard from its server yet; `models` is what is published of it.
    pub fn new(
        now: ClockTime,
        lease: Duration,
        rule: &EngineConfig,
        models: &[LoadedModel],
    ) -> Self {
        let mut desk = ServerScheduler {
            right: OrderRight::new(now, lease),
            may_order: true,
            models: Vec::new(),
            places: Vec::new(),
            recent: VecDeque::new(),
            dropped: Vec::new(),
            load_stretch: 1.0,
            grants: BTreeMap::new(),
            parts: PartCache::new(rule.cache_tokens),
            read_until: now,
            reading: ReadingModel::new(),
            queue: VecDeque::new(),
            ordered: None,
            last_fence: 0,
            ordered_fence: 0,
            model_loading_until: now,
            weights: None,
        };
        desk.adopt_models(now, models);
        desk
    }

    /// The right to order.
    pub fn right(&self) -> &OrderRight {
        &self.right
    }

    /// Whether orders can be given now.
    pub fn is_active(&self) -> bool {
        self.may_order && self.right.is_active()
    }

    /// Says whether the instance may order at all. Orders that wait meanwhile are dropped.
    pub fn set_may_order(&mut self, may_order: bool) {
        if self.may_order != may_order {
            self.drop_queue();
            self.may_order = may_order;
        }
    }

    /// Whether a report is due; the caller then reads one.
    pub fn begin_reading(&mut self, now: ClockTime) -> bool {
        self.right.begin_reading(now)
    }

    /// Gives the right up until it has been observed anew. Orders that wait were decided on what
    /// may not hold any more.
    pub fn suspend(&mut self, now: ClockTime) {
        self.drop_queue();
        self.right.suspend(now);
    }

    /// Time until the server would begin with another prompt.
    pub fn backlog(&self, now: ClockTime) -> Duration {
        self.read_until.since(now)
    }

    /// What the server holds and will hold soon.
    pub fn holdings(&self) -> Vec<LoadedModel> {
        self.models
            .iter()
            .map(|model| LoadedModel {
                name: model.clone(),
                adapters: self
                    .places
                    .iter()
                    .filter(|place| place.model == *model && place.phase == PlacePhase::Ready)
                    .map(|place| LoadedAdapter {
                        name: place.adapter.clone(),
                        version: place.version,
                    })
                    .collect(),
            })
            .collect()
    }

    /// Adapters that made way lately and come back fast.
    pub fn recent_holdings(&self) -> Vec<LoadedModel> {
        self.models
            .iter()
            .map(|model| LoadedModel {
                name: model.clone(),
                adapters: self
                    .recent
                    .iter()
                    .filter(|(held_model, _)| held_model == model)
                    .map(|(_, adapter)| LoadedAdapter {
                        name: adapter.clone(),
                        version: 0,
                    })
                    .collect(),
            })
            .collect()
    }

    /// Whether the server holds the adapter in `version` or a newer one, or will soon; the base model
    /// if there is no adapter.
    pub fn holds(&self, model: &str, adapter: Option<&str>, version: u64) -> bool {
        self.models.iter().any(|held| held == model)
            && adapter.is_none_or(|adapter| {
                self.places.iter().any(|place| {
                    place.is_for(model, adapter)
                        && place.phase == PlacePhase::Ready
                        && place.version >= version
                })
            })
    }

    /// Whether the adapter made way lately and comes back fast.
    pub fn held_lately(&self, model: &str, adapter: &str) -> bool {
        self.models.iter().any(|held| held == model) && self.is_recent(model, adapter)
    }

    /// Decides on a request that wants to be sent to the server.
    ///
    /// `lanes` are those of the instance for loads from the weight store.
    pub fn ask(
        &mut self,
        now: ClockTime,
        rule: &EngineConfig,
        ask: &GrantRequest,
        lanes: &mut LoadLimiter,
    ) -> GrantReply {
        self.expire(now);
        let unread = self.parts.unread(ask);
        let turn = self.reading_turn(now, rule, unread);
        let admitted = if turn.since(now) > ask.max_wait {
            Err(DeclineReason::Busy)
        } else {
            self.admit(now, rule, ask, lanes)
        };
        match admitted {
            Ok(load_wait) => {
                let reading = self.reading.time(ask.prompt_tokens, unread);
                let ready_at = now.after(load_wait);
                let start = ready_at.max(turn);
                self.read_until = self.read_until.max(start).after(reading);
                let event_at = self.read_until.after(event_time(rule));
                self.parts.remember(ask);
                self.grants.insert(
                    ask.key.clone(),
                    GrantRecord {
                        model: ask.model.clone(),
                        adapter: ask.adapter.clone(),
                        tokens: ask.prompt_tokens + ask.output_tokens,
                        prompt_tokens: ask.prompt_tokens,
                        unread,
                        sent_at: start,
                        reading,
                        event_at,
                        has_event: false,
                        expires: now.after(ask.lifetime),
                    },
                );
                GrantReply::Granted {
                    wait: start.since(now),
                    backlog: self.backlog(now),
                    uncached_tokens: unread,
                }
            }
            Err(reason) => GrantReply::Declined {
                reason,
                backlog: self.backlog(now),
            },
        }
    }

    /// When a prompt with that many tokens to read may be sent.
    fn reading_turn(&self, now: ClockTime, rule: &EngineConfig, unread: u64) -> ClockTime {
        if unread >= PACED_TOKENS {
            self.read_until.after(event_time(rule)).max(now)
        } else {
            now
        }
    }

    fn admit(
        &mut self,
        now: ClockTime,
        rule: &EngineConfig,
        ask: &GrantRequest,
        lanes: &mut LoadLimiter,
    ) -> Result<Duration, DeclineReason> {
        if !self.models.contains(&ask.model) {
            return Err(DeclineReason::NoModel);
        }
        let tokens: u64 = self.grants.values().map(|grant| grant.tokens).sum();
        let wanted = ask.prompt_tokens + ask.output_tokens;
        let memory = (rule.cache_tokens as f64 * MEMORY_PART) as u64;
        let is_full = self.grants.len() >= rule.slots as usize
            || (!self.grants.is_empty() && tokens + wanted > memory);
        if is_full {
            return Err(DeclineReason::Full);
        }
        let Some(adapter) = &ask.adapter else {
            return Ok(Duration::ZERO);
        };
        let ready_at = self.place_adapter(now, rule, ask, adapter, lanes)?;
        if let Some(place) = self.place(&ask.model, adapter) {
            place.used = now;
        }
        Ok(ready_at.since(now))
    }

    fn place(&mut self, model: &str, adapter: &str) -> Option<&mut AdapterPlace> {
        self.places
            .iter_mut()
            .find(|place| place.is_for(model, adapter))
    }

    /// Makes sure that the adapter is or will be in place; returns when.
    fn place_adapter(
        &mut self,
        now: ClockTime,
        rule: &EngineConfig,
        ask: &GrantRequest,
        adapter: &SmolStr,
        lanes: &mut LoadLimiter,
    ) -> Result<ClockTime, DeclineReason> {
        let (model, version) = (&ask.model, ask.version);
        let is_active = self.is_active();
        let is_in_use = self.is_in_use(model, adapter);
        if let Some(place) = self.place(model, adapter) {
            if place.phase == PlacePhase::Unloading {
                return Err(DeclineReason::NoPlace);
            }
            if place.version >= version {
                return Ok(place.ready_at.max(now));
            }
            if !is_active {
                return Err(DeclineReason::NoRight);
            }
            if is_in_use {
                return Err(DeclineReason::NoPlace);
            }
            place.version = version;
            place.confirmed = false;
            place.changed = now;
            place.ready_at = now.after(ADAPTER_LOAD_TIME + ORDER_TIME);
            let ready_at = place.ready_at;
            self.push_load(model, adapter, version);
            return Ok(ready_at);
        }
        if !is_active {
            return Err(DeclineReason::NoRight);
        }
        if self.coming() >= MAX_COMING {
            return Err(DeclineReason::LoadsBusy);
        }
        let is_recent = self.is_recent(model, adapter);
        let load_time = if is_recent {
            RECENT_LOAD_TIME
        } else {
            ADAPTER_LOAD_TIME.mul_f64(self.load_stretch)
        };
        // An adapter that is close at hand does not burden the weight store.
        if self.taken() + self.reserved() >= rule.adapter_slots
            && self.victims(now).count() <= self.reserved()
        {
            return Err(DeclineReason::NoPlace);
        }
        let start = if is_recent {
            now
        } else {
            lanes
                .reserve(now, load_time)
                .ok_or(DeclineReason::LoadsBusy)?
        };
        self.forget_recent(model, adapter);
        let ready_at = start.after(load_time + ORDER_TIME);
        self.places.push(AdapterPlace {
            model: model.clone(),
            adapter: adapter.clone(),
            version,
            phase: PlacePhase::Reserved { start, load_time },
            ready_at,
            changed: now,
            used: now,
            confirmed: false,
        });
        self.start_loads(now, rule);
        Ok(ready_at)
    }

    /// Places that the server has given or will give to adapters.
    fn taken(&self) -> usize {
        self.places
            .iter()
            .filter(|place| !matches!(place.phase, PlacePhase::Reserved { .. }))
            .count()
    }

    fn reserved(&self) -> usize {
        self.places.len() - self.taken()
    }

    /// Orders the loads whose turn has come, and makes room for them.
    fn start_loads(&mut self, now: ClockTime, rule: &EngineConfig) {
        let is_due = |place: &AdapterPlace| matches!(place.phase, PlacePhase::Reserved { start, .. } if start <= now);
        while self.places.iter().any(is_due) {
            if self.taken() >= rule.adapter_slots && self.evict(now).is_err() {
                return;
            }
            let Some(place) = self.places.iter_mut().find(|place| is_due(place)) else {
                return;
            };
            if let PlacePhase::Reserved { load_time, .. } = place.phase {
                place.ready_at = now.after(load_time + ORDER_TIME);
            }
            place.phase = PlacePhase::Ready;
            place.changed = now;
            let (model, adapter) = (place.model.clone(), place.adapter.clone());
            let version = place.version;
            place.version = version.max(1);
            self.push_load(&model, &adapter, version);
        }
    }

    /// Adapters that nobody uses and that are known to be in place.
    fn victims(&self, now: ClockTime) -> impl Iterator<Item = (usize, &AdapterPlace)> {
        self.places.iter().enumerate().filter(move |(_, place)| {
            place.phase == PlacePhase::Ready
                && place.ready_at <= now
                && place.confirmed
                && !self.is_in_use(&place.model, &place.adapter)
        })
    }

    /// Makes the least recently used adapter that nobody uses leave its place.
    fn evict(&mut self, now: ClockTime) -> Result<(), DeclineReason> {
        let victim = self
            .victims(now)
            .min_by_key(|(_, place)| place.used)
            .map(|(position, _)| position)
            .ok_or(DeclineReason::NoPlace)?;
        let place = self.places.remove(victim);
        let action = OrderAction::UnloadAdapter {
            adapter: place.adapter.clone(),
        };
        self.queue.push_back((place.model.clone(), action));
        self.dropped
            .push((place.model.clone(), place.adapter.clone(), now));
        self.remember_recent(place.model, place.adapter);
        Ok(())
    }

    fn remember_recent(&mut self, model: SmolStr, adapter: SmolStr) {
        self.recent.push_back((model, adapter));
        if self.recent.len() > RECENT_ADAPTERS {
            self.recent.pop_front();
        }
    }

    fn is_recent(&self, model: &str, adapter: &str) -> bool {
        let is_it =
            |(held_model, held): &(SmolStr, SmolStr)| held_model == model && held == adapter;
        self.recent.iter().any(is_it)
    }

    fn forget_recent(&mut self, model: &str, adapter: &str) {
        self.recent
            .retain(|(held_model, held)| held_model != model || held != adapter);
    }

    fn expire(&mut self, now: ClockTime) {
        self.grants.retain(|_, grant| grant.expires > now);
    }

    /// Whether a request was granted on the adapter and has not ended.
    fn is_in_use(&self, model: &str, adapter: &str) -> bool {
        self.grants
            .values()
            .any(|grant| grant.model == model && grant.adapter.as_deref() == Some(adapter))
    }

    /// Adapters that are on their way, as far as it is known.
    pub fn coming(&self) -> usize {
        self.places.iter().filter(|place| !place.confirmed).count()
    }

    /// Takes in what became of a granted request; tells whether an adapter that should be in place
    /// was missing.
    pub fn release(&mut self, now: ClockTime, release: &GrantRelease) -> bool {
        let Some(grant) = self.grants.get(&release.key) else {
            return false;
        };
        let (model, adapter) = (grant.model.clone(), grant.adapter.clone());
        if let Some(first) = release.first_event {
            self.first_event_came(now, &release.key, first);
        }
        if !release.ended {
            return false;
        }
        self.grants.remove(&release.key);
        if release.adapter_missing
            && let Some(adapter) = &adapter
        {
            self.load_late(now, &model, adapter);
        }
        release.adapter_missing && adapter.is_some()
    }

    /// Learns from the first event of a request, which came `first` after it was sent.
    fn first_event_came(&mut self, now: ClockTime, key: &GrantKey, first: Duration) {
        let Some(grant) = self.grants.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut grant.has_event, true) {
            return;
        }
        let grant = grant.clone();
        self.load_stretch = 1.0 + (self.load_stretch - 1.0) * STRETCH_DECAY;
        if let Some(adapter) = &grant.adapter
            && let Some(place) = self.place(&grant.model, adapter)
        {
            place.confirmed = true;
        }
        if grant.unread < PACED_TOKENS {
            return;
        }
        // Prompts behind it are read that much later, or earlier.
        let event_at = grant.sent_at.after(first);
        let late = event_at.since(grant.event_at);
        let early = grant.event_at.since(event_at);
        self.read_until = if late.is_zero() {
            self.read_until.before(early).max(now)
        } else {
            self.read_until.max(now).after(late.min(grant.reading))
        };
        let waited = grant.event_at.since(grant.sent_at.after(grant.reading));
        let reading = first.saturating_sub(waited);
        self.reading
            .learn(grant.prompt_tokens, grant.unread, reading);
    }

    /// The server lacks an adapter that should be in place by now.
    ///
    /// It may still be on its way, so that its place is kept until a report says otherwise.
    fn load_late(&mut self, now: ClockTime, model: &str, adapter: &str) {
        self.load_stretch = (self.load_stretch * STRETCH_GROWTH).min(MAX_STRETCH);
        if let Some(place) = self.place(model, adapter) {
            place.ready_at = now.after(LATE_LOAD_WAIT);
        }
        self.right.refresh(now);
    }
}

/// Time in which each stream of a server makes an event.
fn event_time(rule: &EngineConfig) -> Duration {
    STEP_TIME * rule.event_tokens
}
