//! The scheduler of one model server: which adapters it holds, what it reads, who may send.
//!
//! One instance has a server's desk. Others ask it for a grant before they send a request there,
//! so that adapters in use are known and prompts do not pile up at one server.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use super::{
    catalog::{EngineRule, HeldAdapter, HeldModel, ModelRule, ServerReport},
    prompt::{PartCache, PromptPart},
    right::OrderRight,
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
const STRETCH_DECAY: f64 = 0.9;
const MAX_STRETCH: f64 = 4.0;
/// Time after which a place that nobody has used is looked up in a report.
const CONFIRM_TIME: Duration = Duration::from_millis(800);
/// Time after which an adapter that was not in place in time is expected.
const LATE_LOAD_WAIT: Duration = Duration::from_millis(120);
/// Part of a server's memory that requests may fill.
const MEMORY_PART: f64 = 0.9;
/// Prompt tokens that a server reads in a millisecond, until it has been measured.
const FIRST_READ_RATE: f64 = 30.0;
/// Weight of the newest measurement of the reading rate.
const READ_RATE_WEIGHT: f64 = 0.1;
/// Low bits of a fencing token, which tell instances apart at the same count.
const FENCE_HOLDER_BITS: u32 = 16;
/// Pause between looks at a server that loads a base model.
const MODEL_RECHECK: Duration = Duration::from_millis(1_000);
/// Longest time for which a load from the weight store waits for its turn.
const LOAD_QUEUE_TIME: Duration = Duration::from_millis(300);
/// Time for another report after an unload that waits for its runs.
const PLACE_RECHECK: Duration = Duration::from_millis(600);

/// Identifies a grant: the instance that asked and its number there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantKey {
    /// Name of the instance.
    pub entry: SmolStr,
    /// Start of its process, in Unix milliseconds.
    pub life: u64,
    /// Number of the request within the process.
    pub request: u64,
}

/// Asks to send a request to a model server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// The grant.
    pub key: GrantKey,
    /// The server's id.
    pub server: SmolStr,
    /// Base model.
    pub model: SmolStr,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<SmolStr>,
    /// Oldest version of the adapter that will do.
    pub version: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most output tokens.
    pub output_tokens: u64,
    /// Shared parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// How long the grant is held if nothing more is heard of it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
}

/// Why a grant was declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclineReason {
    /// The instance does not schedule the server.
    NotScheduled,
    /// The adapter is missing and the instance may not give orders yet.
    NoRight,
    /// The base model is not in place.
    NoModel,
    /// All places hold adapters in use.
    NoPlace,
    /// Enough adapters are on their way.
    LoadsBusy,
    /// Slots or memory are used up.
    Full,
}

/// Answer to a [`GrantAsk`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GrantReply {
    /// The request may be sent after `wait`.
    Granted {
        /// Time until the adapter is in place.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait: Duration,
        /// Time until the server would begin with another prompt.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        backlog: Duration,
    },
    /// The request must go elsewhere.
    Declined {
        /// Why.
        reason: DeclineReason,
        /// Time until the server would begin with another prompt.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        backlog: Duration,
    },
}

/// Tells a desk that a request has ended.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRelease {
    /// The server's id.
    pub server: SmolStr,
    /// The grant.
    pub key: GrantKey,
    /// Time from sending to the first event, if one came.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub first_event: Option<Duration>,
    /// Whether the server said that it lacks the adapter.
    pub adapter_missing: bool,
}

/// What an order wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a base model.
    LoadModel,
    /// Load an adapter, or replace it by a newer version; 0 means the newest.
    LoadAdapter {
        /// Adapter.
        adapter: SmolStr,
        /// Version, or 0 for the newest.
        version: u64,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: SmolStr,
    },
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// What to do.
    pub action: OrderAction,
    /// Base model.
    pub model: SmolStr,
    /// Count of accepted orders that it is conditional on.
    pub expected: u64,
    /// Fencing token: grows with the count and differs between instances.
    pub fence: u64,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOrderOutcome {
    /// It holds already or was done at once.
    Done,
    /// It is being carried out.
    Accepted,
    /// Another order is in progress, or the count differs.
    Conflict,
    /// The server refused it or is another one.
    Refused,
    /// Nothing was heard.
    Lost,
}

/// Turns of an instance's loads from the weight store, which slows down under many at once.
#[derive(Debug, Default)]
pub struct LoadLanes {
    /// When each lane is free.
    free_at: Vec<ClockTime>,
}

impl LoadLanes {
    /// Sets the number of lanes.
    pub fn resize(&mut self, lanes: usize) {
        self.free_at.sort_unstable();
        self.free_at.resize(lanes.max(1), ClockTime::ZERO);
    }

    /// Takes the next turn for a load; `None` when it is too far off.
    fn reserve(&mut self, now: ClockTime, load_time: Duration) -> Option<ClockTime> {
        let lane = self.free_at.iter_mut().min()?;
        let start = (*lane).max(now);
        if start.since(now) > LOAD_QUEUE_TIME {
            return None;
        }
        *lane = start.after(load_time);
        Some(start)
    }
}

/// Whether an adapter was in place when it was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// It was.
    InTime,
    /// It was not; too many may be on their way.
    Late,
}

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
    unread: u64,
    /// Whether nothing was read ahead of it and nothing had to be loaded.
    undisturbed: bool,
    /// Whether the adapter had to be loaded for it.
    placed: bool,
    expires: ClockTime,
}

/// The scheduler of one model server.
#[derive(Debug)]
pub struct ServerDesk {
    right: OrderRight,
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
    read_rate: f64,
    queue: VecDeque<(SmolStr, OrderAction)>,
    ordered: Option<(SmolStr, OrderAction)>,
    /// Largest fencing token of an order that was accepted, here or by an earlier scheduler.
    last_fence: u64,
    ordered_fence: u64,
    model_loading_until: ClockTime,
    /// What the last report said about the base models, if there was one.
    weights: Option<WeightsReport>,
}

impl ServerDesk {
    /// A desk that has not heard from its server yet; `models` is what is published of it.
    pub fn new(now: ClockTime, lease: Duration, rule: &EngineRule, models: &[HeldModel]) -> Self {
        let mut desk = ServerDesk {
            right: OrderRight::new(now, lease),
            models: Vec::new(),
            places: Vec::new(),
            recent: VecDeque::new(),
            dropped: Vec::new(),
            load_stretch: 1.0,
            grants: BTreeMap::new(),
            parts: PartCache::new(rule.cache_tokens),
            read_until: now,
            read_rate: FIRST_READ_RATE,
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
    pub fn holdings(&self) -> Vec<HeldModel> {
        self.models
            .iter()
            .map(|model| HeldModel {
                name: model.clone(),
                adapters: self
                    .places
                    .iter()
                    .filter(|place| place.model == *model && place.phase == PlacePhase::Ready)
                    .map(|place| HeldAdapter {
                        name: place.adapter.clone(),
                        version: place.version,
                    })
                    .collect(),
            })
            .collect()
    }

    /// Adapters that made way lately and come back fast.
    pub fn recent_holdings(&self) -> Vec<HeldModel> {
        self.models
            .iter()
            .map(|model| HeldModel {
                name: model.clone(),
                adapters: self
                    .recent
                    .iter()
                    .filter(|(held_model, _)| held_model == model)
                    .map(|(_, adapter)| HeldAdapter {
                        name: adapter.clone(),
                        version: 0,
                    })
                    .collect(),
            })
            .collect()
    }

    /// Decides on a request that wants to be sent to the server.
    ///
    /// `lanes` are those of the instance for loads from the weight store.
    pub fn ask(
        &mut self,
        now: ClockTime,
        rule: &EngineRule,
        ask: &GrantAsk,
        lanes: &mut LoadLanes,
    ) -> GrantReply {
        self.expire(now);
        match self.admit(now, rule, ask, lanes) {
            Ok(wait) => {
                let unread = self.parts.unread(ask);
                let busy_until = self.read_until.max(now);
                let undisturbed = busy_until == now && wait.is_zero();
                let reading = Duration::from_secs_f64(unread as f64 / self.read_rate / 1_000.0);
                self.read_until = busy_until.after(reading);
                self.parts.remember(ask);
                self.grants.insert(
                    ask.key.clone(),
                    GrantRecord {
                        model: ask.model.clone(),
                        adapter: ask.adapter.clone(),
                        tokens: ask.prompt_tokens + ask.output_tokens,
                        unread,
                        undisturbed,
                        placed: !wait.is_zero(),
                        expires: now.after(ask.lifetime),
                    },
                );
                GrantReply::Granted {
                    wait,
                    backlog: self.backlog(now),
                }
            }
            Err(reason) => GrantReply::Declined {
                reason,
                backlog: self.backlog(now),
            },
        }
    }

    fn admit(
        &mut self,
        now: ClockTime,
        rule: &EngineRule,
        ask: &GrantAsk,
        lanes: &mut LoadLanes,
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
        rule: &EngineRule,
        ask: &GrantAsk,
        adapter: &SmolStr,
        lanes: &mut LoadLanes,
    ) -> Result<ClockTime, DeclineReason> {
        let (model, version) = (&ask.model, ask.version);
        let is_active = self.right.is_active();
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
    fn start_loads(&mut self, now: ClockTime, rule: &EngineRule) {
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

    fn push_load(&mut self, model: &SmolStr, adapter: &SmolStr, version: u64) {
        let action = OrderAction::LoadAdapter {
            adapter: adapter.clone(),
            version,
        };
        self.queue.push_back((model.clone(), action));
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

    /// Takes a grant back; tells whether an adapter loaded for it was in place in time.
    pub fn release(&mut self, now: ClockTime, release: &GrantRelease) -> Option<LoadSignal> {
        let grant = self.grants.remove(&release.key)?;
        if release.adapter_missing
            && let Some(adapter) = &grant.adapter
        {
            self.load_late(now, &grant.model, adapter);
            return Some(LoadSignal::Late);
        }
        if release.first_event.is_some() {
            self.load_stretch = 1.0 + (self.load_stretch - 1.0) * STRETCH_DECAY;
            if let Some(adapter) = &grant.adapter
                && let Some(place) = self.place(&grant.model, adapter)
            {
                place.confirmed = true;
            }
        }
        if let Some(first) = release.first_event
            && grant.undisturbed
            && grant.unread > 1_000
        {
            let rate = grant.unread as f64 / (first.as_secs_f64() * 1_000.0).max(1.0);
            self.read_rate += (rate - self.read_rate) * READ_RATE_WEIGHT;
        }
        (grant.placed && release.first_event.is_some()).then_some(LoadSignal::InTime)
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

    /// Has a report read if an adapter should have been in place for a while and nobody used it.
    pub fn check_places(&mut self, now: ClockTime) {
        let is_doubtful =
            |place: &AdapterPlace| !place.confirmed && now.since(place.ready_at) >= CONFIRM_TIME;
        if self.places.iter().any(is_doubtful) {
            self.right.refresh(now);
        }
        self.check_model(now);
    }

    /// The next order to give, if one may be given now.
    ///
    /// `holder_bits` tells fencing tokens of instances apart that are at the same count.
    pub fn next_order(
        &mut self,
        now: ClockTime,
        rule: &EngineRule,
        holder_bits: u16,
    ) -> Option<ServerOrder> {
        if self.ordered.is_some() {
            return None;
        }
        let expected = self.right.expected()?;
        self.start_loads(now, rule);
        let (model, action) = self.queue.pop_front()?;
        self.ordered = Some((model.clone(), action.clone()));
        let fence = self.fence(expected, holder_bits);
        self.ordered_fence = fence;
        Some(ServerOrder {
            action,
            model,
            expected,
            fence,
        })
    }

    /// The count alone gives the token, so that it survives the loss of all instances; it is above
    /// that only after an order that was accepted without being counted.
    fn fence(&self, expected: u64, holder_bits: u16) -> u64 {
        let token = |count: u64| count << FENCE_HOLDER_BITS | u64::from(holder_bits);
        let counted = token(expected + 1);
        if counted >= self.last_fence {
            counted
        } else if self.last_fence == token(self.last_fence >> FENCE_HOLDER_BITS) {
            self.last_fence
        } else {
            token((self.last_fence >> FENCE_HOLDER_BITS) + 1)
        }
    }

    /// When the next load has its turn.
    pub fn next_load_at(&self) -> Option<ClockTime> {
        let start = |place: &AdapterPlace| match place.phase {
            PlacePhase::Reserved { start, .. } => Some(start),
            PlacePhase::Ready | PlacePhase::Unloading => None,
        };
        self.places.iter().filter_map(start).min()
    }

    /// Largest fencing token of an accepted order.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// Takes in the largest fencing token that an earlier scheduler used.
    pub fn raise_fence(&mut self, fence: u64) {
        self.last_fence = self.last_fence.max(fence);
    }

    /// Whether the server holds a base model.
    pub fn has_model(&self) -> bool {
        !self.models.is_empty()
    }

    /// Has a base model loaded on a server that has none: always where the server has a copy, and
    /// from the weight store if `from_store`.
    pub fn want_model(&mut self, now: ClockTime, rule: &EngineRule, from_store: bool) {
        let Some(weights) = &self.weights else { return };
        if !self.right.is_active()
            || !self.models.is_empty()
            || weights.busy
            || now < self.model_loading_until
            || self.ordered.is_some()
            || !self.queue.is_empty()
        {
            return;
        }
        let at_hand = |model: &&ModelRule| weights.at_hand.contains(&model.name);
        let Some(model) = rule
            .models
            .iter()
            .find(at_hand)
            .or(rule.models.first().filter(|_| from_store))
        else {
            return;
        };
        self.model_loading_until = now.after(model.load_time.max(MODEL_RECHECK));
        self.weights = None;
        let order = (model.name.clone(), OrderAction::LoadModel);
        self.queue.push_back(order);
    }

    /// Looks whether a base model that was ordered has arrived.
    fn check_model(&mut self, now: ClockTime) {
        if self.models.is_empty() && self.weights.is_none() && now >= self.model_loading_until {
            self.right.refresh(now);
        }
    }

    /// Takes in how the order ended that was given last.
    pub fn order_ended(&mut self, now: ClockTime, outcome: ServerOrderOutcome) {
        let Some((model, action)) = self.ordered.take() else {
            return;
        };
        if !matches!(
            outcome,
            ServerOrderOutcome::Conflict | ServerOrderOutcome::Refused
        ) {
            self.last_fence = self.last_fence.max(self.ordered_fence);
        }
        if action == OrderAction::LoadModel {
            // Only a report taken from now on tells whether it has to be ordered again.
            self.weights = None;
            self.model_loading_until = now.after(MODEL_RECHECK);
        }
        match outcome {
            // The server says so too if the adapter was there already.
            ServerOrderOutcome::Done if matches!(action, OrderAction::UnloadAdapter { .. }) => {
                self.right.accept();
            }
            ServerOrderOutcome::Done => self.right.refresh(now),
            ServerOrderOutcome::Accepted => {
                self.right.accept();
                if matches!(action, OrderAction::UnloadAdapter { .. }) {
                    // It waits for runs that this desk does not know of.
                    self.drop_queue();
                    self.keep_unloading(now, model, action);
                    self.right.refresh(now);
                }
            }
            ServerOrderOutcome::Conflict | ServerOrderOutcome::Refused => {
                self.drop_queue();
                self.undo(&model, &action);
                self.right.unsettle(now);
            }
            ServerOrderOutcome::Lost => {
                self.drop_queue();
                // A load may have been accepted, so that its place stays taken.
                if matches!(action, OrderAction::UnloadAdapter { .. }) {
                    self.undo(&model, &action);
                }
                self.right.unsettle(now);
            }
        }
    }

    fn keep_unloading(&mut self, now: ClockTime, model: SmolStr, action: OrderAction) {
        if let OrderAction::UnloadAdapter { adapter } = action {
            self.places.push(AdapterPlace {
                model,
                adapter,
                version: 0,
                phase: PlacePhase::Unloading,
                ready_at: now,
                changed: now,
                used: now,
                confirmed: true,
            });
        }
    }

    /// Takes back what was assumed of an order that was not carried out.
    fn undo(&mut self, model: &SmolStr, action: &OrderAction) {
        match action {
            OrderAction::LoadModel => {}
            OrderAction::LoadAdapter { adapter, .. } => {
                self.places.retain(|place| !place.is_for(model, adapter));
            }
            OrderAction::UnloadAdapter { adapter } => {
                self.dropped
                    .retain(|(held_model, held, _)| held_model != model || held != adapter);
                // A load that waits for its turn may have been asked for meanwhile.
                self.places.retain(|place| !place.is_for(model, adapter));
                self.places.push(AdapterPlace {
                    model: model.clone(),
                    adapter: adapter.clone(),
                    version: 0,
                    phase: PlacePhase::Ready,
                    ready_at: ClockTime::ZERO,
                    // The next report decides.
                    changed: ClockTime::ZERO,
                    used: ClockTime::ZERO,
                    confirmed: true,
                });
            }
        }
    }

    fn drop_queue(&mut self) {
        // The newest first, so that a place is given back before what should have taken it.
        for (model, action) in std::mem::take(&mut self.queue).into_iter().rev() {
            self.undo(&model, &action);
        }
    }

    /// Takes in a report of the server, or that there was none.
    pub fn observe(&mut self, now: ClockTime, report: Option<&ServerReport>) {
        self.right.observe(now, report);
        if !self.right.is_active() {
            self.drop_queue();
        }
        let Some(report) = report else { return };
        self.weights = Some(WeightsReport {
            busy: report.busy,
            at_hand: report.at_hand.clone(),
        });
        if report.busy {
            self.weights = None;
            self.model_loading_until = now.after(MODEL_RECHECK);
        }
        self.dropped
            .retain(|(_, _, time)| now.since(*time) < PLACE_RECHECK);
        self.adopt_models(now, &report.models);
        for (model, adapter) in &report.coming {
            self.adopt_adapter(now, model, adapter, now.after(ADAPTER_LOAD_TIME));
        }
        let unloading = |place: &AdapterPlace| place.phase == PlacePhase::Unloading;
        if self.places.iter().any(unloading) {
            self.right.refresh(now);
        }
    }

    /// Starts over with a server whose process was replaced.
    pub fn server_restarted(&mut self, now: ClockTime, models: &[HeldModel]) {
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
    pub fn published(&mut self, now: ClockTime, models: &[HeldModel]) {
        if !models.is_empty() && self.models.is_empty() {
            self.adopt_models(now, models);
        }
    }

    fn adopt_models(&mut self, now: ClockTime, models: &[HeldModel]) {
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

    fn adopt_adapter(
        &mut self,
        now: ClockTime,
        model: &SmolStr,
        adapter: &HeldAdapter,
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
}
