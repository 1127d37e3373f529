//! Fake model server that carries out orders as documented.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::{EngineConfig, LoadedAdapter, LoadedModel, ModelConfig, ServerReport},
        server_scheduler::{GrantKey, GrantRequest, OrderAction, ServerOrder, ServerOrderOutcome},
    },
};

const LOAD_TIME: Duration = Duration::from_millis(250);
/// Time to load an adapter that the server has loaded before.
const RECENT_LOAD_TIME: Duration = Duration::from_millis(25);
const MAX_LOADING: usize = 4;
/// Minimum time between orders of two instances.
pub(crate) const LEASE: Duration = Duration::from_millis(3_000);
/// Number of orders that a failing test shows.
const LOGGED_ORDERS: usize = 16;
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Time between the starts of two of its processes.
const RESTART_MILLIS: u64 = 10_000;

/// Key of a grant of one instance.
pub(crate) fn grant_key(request: u64) -> GrantKey {
    GrantKey {
        instance: "a-1".into(),
        incarnation: 1,
        number: request,
    }
}

/// Request for a grant of a prompt with 1,000 tokens.
pub(crate) fn grant_request(request: u64, adapter: &str) -> GrantRequest {
    GrantRequest {
        key: grant_key(request),
        server: "s-1".into(),
        model: "base".into(),
        adapter: Some(adapter.into()),
        version: 0,
        prompt_tokens: 1_000,
        output_tokens: 50,
        parts: Vec::new(),
        max_wait: Duration::from_secs(10),
        lifetime: Duration::from_secs(10),
        priority: 1,
        team: None,
        objective_left: Duration::from_secs(1),
        hold: Duration::ZERO,
        place_hold: Duration::ZERO,
        waited: Duration::ZERO,
    }
}

/// Configuration of a service of such servers.
pub(crate) fn engine_config(adapter_slots: usize) -> EngineConfig {
    EngineConfig {
        slots: 64,
        cache_tokens: 200_000,
        adapter_slots,
        event_tokens: 5,
        fetches_prompts: true,
        models: vec![ModelConfig {
            name: "base".into(),
            load_time: Duration::from_millis(1_900),
            adapters: 3_000,
        }],
    }
}

/// Fake model server.
pub(crate) struct FakeEngine {
    slots: usize,
    /// Time that the next load of an adapter takes.
    pub(crate) load_time: Duration,
    /// Start of its process, in Unix milliseconds.
    pub(crate) started: u64,
    sequence: u64,
    has_model: bool,
    loading_model: bool,
    loaded: Vec<SmolStr>,
    loading: BTreeMap<SmolStr, ClockTime>,
    in_use: Vec<SmolStr>,
    unloaded: Vec<SmolStr>,
    last_fence: u64,
    /// Time at which the newest load of an adapter completes.
    loaded_at: BTreeMap<SmolStr, ClockTime>,
    history: Vec<(ClockTime, ServerReport)>,
    /// Newest orders, shown by a failing test.
    pub(crate) log: Vec<String>,
    /// Set when a load was ordered without a free slot.
    pub(crate) overfilled: Option<String>,
    /// Set when an accepted order had a lower fencing token than an earlier one.
    pub(crate) fence_regression: Option<(u64, u64)>,
    last_holder: Option<(SmolStr, ClockTime)>,
    /// Set when two instances in turn had an order with the same fencing token accepted.
    pub(crate) shared_fence: Option<(SmolStr, SmolStr, u64)>,
    /// Set when an order was accepted within the lease time of another instance.
    pub(crate) lease_violation: Option<(SmolStr, SmolStr, Duration)>,
    last_attempt: Option<(SmolStr, ClockTime, u64)>,
    /// Set when an order, accepted or not, arrived within the lease time of another instance's order, or
    /// with the same or a lower fencing token than that one.
    pub(crate) holder_conflict: Option<String>,
    /// Set when an adapter was unloaded while requests ran on it.
    pub(crate) unloaded_in_use: Option<SmolStr>,
}

impl FakeEngine {
    pub(crate) fn new(slots: usize) -> FakeEngine {
        FakeEngine {
            slots,
            load_time: LOAD_TIME,
            started: 1,
            sequence: 0,
            has_model: true,
            loading_model: false,
            loaded: Vec::new(),
            loading: BTreeMap::new(),
            in_use: Vec::new(),
            unloaded: Vec::new(),
            last_fence: 0,
            loaded_at: BTreeMap::new(),
            history: Vec::new(),
            log: Vec::new(),
            overfilled: None,
            fence_regression: None,
            last_holder: None,
            shared_fence: None,
            lease_violation: None,
            last_attempt: None,
            holder_conflict: None,
            unloaded_in_use: None,
        }
    }

    /// Replaces the process by a new one, which holds no adapters. Tokens that the one before has
    /// accepted still count.
    pub(crate) fn restart(&mut self) {
        *self = FakeEngine {
            started: self.started + RESTART_MILLIS,
            last_fence: self.last_fence,
            ..FakeEngine::new(self.slots)
        };
    }

    /// Drops an adapter without counting an order.
    pub(crate) fn lose_adapter(&mut self, adapter: &str) {
        self.loaded.retain(|loaded| loaded != adapter);
    }

    pub(crate) fn remove_model(&mut self) {
        self.has_model = false;
    }

    pub(crate) fn holds(&self, adapter: &str) -> bool {
        self.loaded.iter().any(|loaded| loaded == adapter)
    }

    pub(crate) fn set_in_use(&mut self, adapter: &str, in_use: bool) {
        self.in_use.retain(|used| used != adapter);
        if in_use {
            self.in_use.push(adapter.into());
        }
    }

    /// Completes the loads that are due.
    pub(crate) fn advance(&mut self, now: ClockTime) {
        let due: Vec<SmolStr> = self
            .loading
            .iter()
            .filter(|(_, time)| **time <= now)
            .map(|(adapter, _)| adapter.clone())
            .collect();
        for adapter in due {
            self.loading.remove(&adapter);
            self.loaded.push(adapter);
        }
        self.history.push((now, self.report()));
    }

    pub(crate) fn order_by_other_instance(&mut self, _now: ClockTime) {
        self.sequence += 1;
    }

    pub(crate) fn order(&mut self, now: ClockTime, order: &ServerOrder) -> ServerOrderOutcome {
        self.advance(now);
        let outcome = match &order.action {
            OrderAction::LoadModel if self.loading_model => ServerOrderOutcome::Accepted,
            OrderAction::LoadModel if self.has_model => ServerOrderOutcome::Done,
            OrderAction::LoadModel => {
                self.apply_if_expected(order, ServerOrderOutcome::Accepted, |engine| {
                    engine.loading_model = true;
                })
            }
            OrderAction::LoadAdapter { adapter, .. } => self.load(now, order, adapter),
            OrderAction::UnloadAdapter { adapter } => self.unload(order, adapter),
        };
        self.history.push((now, self.report()));
        let accepted = matches!(
            outcome,
            ServerOrderOutcome::Done | ServerOrderOutcome::Accepted
        );
        if accepted {
            if order.fence < self.last_fence {
                self.fence_regression = Some((self.last_fence, order.fence));
            }
            self.last_fence = order.fence;
        }
        outcome
    }

    /// Handles an order of the instance `holder`.
    pub(crate) fn order_from(
        &mut self,
        now: ClockTime,
        holder: &SmolStr,
        order: &ServerOrder,
    ) -> ServerOrderOutcome {
        if let Some((last, time, fence)) = &self.last_attempt
            && last != holder
            && (now.since(*time) < LEASE || order.fence <= *fence)
        {
            let millis = now.as_micros() / 1_000;
            let conflict = format!(
                "{holder} ordered with token {} at {millis} ms, {:?} after {last} with {fence}",
                order.fence,
                now.since(*time)
            );
            self.holder_conflict.get_or_insert(conflict);
        }
        self.last_attempt = Some((holder.clone(), now, order.fence));
        let was_valid = self.overfilled.is_none() && self.lease_violation.is_none();
        let last_fence = self.last_fence;
        let outcome = self.order(now, order);
        if was_valid {
            let millis = now.as_micros() / 1_000;
            self.log
                .push(format!("{millis} {holder} {order:?} {outcome:?}"));
            if self.log.len() > LOGGED_ORDERS {
                self.log.remove(0);
            }
        }
        let accepted = matches!(
            outcome,
            ServerOrderOutcome::Done | ServerOrderOutcome::Accepted
        );
        if accepted {
            if let Some((last, _)) = &self.last_holder
                && last != holder
                && order.fence == last_fence
            {
                self.shared_fence = Some((last.clone(), holder.clone(), last_fence));
            }
            if let Some((last, time)) = &self.last_holder
                && last != holder
                && now.since(*time) < LEASE
            {
                self.lease_violation = Some((last.clone(), holder.clone(), now.since(*time)));
            }
            self.last_holder = Some((holder.clone(), now));
        }
        outcome
    }

    fn load(
        &mut self,
        now: ClockTime,
        order: &ServerOrder,
        adapter: &SmolStr,
    ) -> ServerOrderOutcome {
        if self.holds(adapter) || self.loading.contains_key(adapter) {
            return ServerOrderOutcome::Done;
        }
        if order.expected != self.sequence || self.loading.len() >= MAX_LOADING {
            return ServerOrderOutcome::Conflict;
        }
        if self.loaded.len() + self.loading.len() >= self.slots {
            self.overfilled = Some(format!("{:?} with {:?}", self.loaded, adapter));
        }
        self.apply_if_expected(order, ServerOrderOutcome::Accepted, |engine| {
            let loaded_at = now.after(engine.load_time);
            engine.loading.insert(adapter.clone(), loaded_at);
        })
    }

    fn unload(&mut self, order: &ServerOrder, adapter: &SmolStr) -> ServerOrderOutcome {
        if !self.holds(adapter) {
            return ServerOrderOutcome::Done;
        }
        if self.in_use.contains(adapter) {
            self.unloaded_in_use = Some(adapter.clone());
        }
        self.apply_if_expected(order, ServerOrderOutcome::Done, |engine| {
            engine.loaded.retain(|loaded| loaded != adapter);
            engine.unloaded.push(adapter.clone());
        })
    }

    fn apply_if_expected(
        &mut self,
        order: &ServerOrder,
        outcome: ServerOrderOutcome,
        apply: impl FnOnce(&mut FakeEngine),
    ) -> ServerOrderOutcome {
        if order.expected != self.sequence {
            return ServerOrderOutcome::Conflict;
        }
        self.sequence += 1;
        apply(self);
        outcome
    }

    pub(crate) fn report(&self) -> ServerReport {
        let adapters = self.loaded.iter().map(|adapter| LoadedAdapter {
            name: adapter.clone(),
            version: 1,
        });
        let models = LoadedModel {
            name: "base".into(),
            adapters: adapters.collect(),
        };
        let loading = self.loading.keys().map(|adapter| {
            let loaded = LoadedAdapter {
                name: adapter.clone(),
                version: 1,
            };
            ("base".into(), loaded)
        });
        ServerReport {
            sequence: self.sequence,
            started: Some(self.started),
            busy: self.loading_model,
            models: if self.has_model {
                vec![models]
            } else {
                Vec::new()
            },
            cached_models: Vec::new(),
            loading_adapters: loading.collect(),
        }
    }

    /// Returns the report as of `REPORT_LAG` ago.
    pub(crate) fn lagging_report(&self, now: ClockTime) -> ServerReport {
        let lag = u64::try_from(REPORT_LAG.as_micros()).unwrap_or(u64::MAX);
        let sampled = ClockTime::from_micros(now.as_micros().saturating_sub(lag));
        let mut report = self
            .history
            .iter()
            .rev()
            .find(|(time, _)| *time <= sampled)
            .map_or_else(|| self.report(), |(_, report)| report.clone());
        // Move loads that had completed by then to the loaded adapters.
        let loading = std::mem::take(&mut report.loading_adapters);
        for (model, adapter) in loading {
            let done = self.loaded_at.get(&adapter.name);
            if done.is_some_and(|time| *time <= sampled) {
                report.models[0].adapters.push(adapter);
            } else {
                report.loading_adapters.push((model, adapter));
            }
        }
        report
    }
}
