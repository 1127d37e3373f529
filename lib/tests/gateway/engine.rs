//! A model server that carries out orders exactly as published.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::{EngineConfig, LoadedAdapter, LoadedModel, ModelConfig, ServerReport},
        server_scheduler::{OrderAction, ServerOrder, ServerOrderOutcome},
    },
};

const LOAD_TIME: Duration = Duration::from_millis(250);
/// An adapter that the server held before is close at hand.
const RECENT_LOAD_TIME: Duration = Duration::from_millis(25);
const MAX_COMING: usize = 4;
/// Time that must pass between orders of two instances.
pub(crate) const LEASE: Duration = Duration::from_millis(3_000);
/// Orders that a failing test shows.
const LOGGED_ORDERS: usize = 16;
const REPORT_LAG: Duration = Duration::from_millis(200);

/// The rule of a service of such servers.
pub(crate) fn engine_rule(adapter_slots: usize) -> EngineConfig {
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

/// The server.
pub(crate) struct FakeEngine {
    slots: usize,
    sequence: u64,
    has_model: bool,
    loading_model: bool,
    held: Vec<SmolStr>,
    coming: BTreeMap<SmolStr, ClockTime>,
    in_use: Vec<SmolStr>,
    dropped: Vec<SmolStr>,
    last_fence: u64,
    /// When the newest load of an adapter is done.
    done_at: BTreeMap<SmolStr, ClockTime>,
    history: Vec<(ClockTime, ServerReport)>,
    /// The newest orders, for a failing test to show.
    pub(crate) log: Vec<String>,
    /// Set when an order asked for more than there is room for.
    pub(crate) overfilled: Option<String>,
    /// Set when an accepted order had a lower token than one before.
    pub(crate) fence_regression: Option<(u64, u64)>,
    last_holder: Option<(SmolStr, ClockTime)>,
    /// Set when an order was accepted within the lease time of another instance's.
    pub(crate) lease_violation: Option<(SmolStr, SmolStr, Duration)>,
    /// Set when an adapter was to be dropped while requests ran on it.
    pub(crate) dropped_in_use: Option<SmolStr>,
}

impl FakeEngine {
    pub(crate) fn new(slots: usize) -> FakeEngine {
        FakeEngine {
            slots,
            sequence: 0,
            has_model: true,
            loading_model: false,
            held: Vec::new(),
            coming: BTreeMap::new(),
            in_use: Vec::new(),
            dropped: Vec::new(),
            last_fence: 0,
            done_at: BTreeMap::new(),
            history: Vec::new(),
            log: Vec::new(),
            overfilled: None,
            fence_regression: None,
            last_holder: None,
            lease_violation: None,
            dropped_in_use: None,
        }
    }

    pub(crate) fn lose_model(&mut self) {
        self.has_model = false;
    }

    pub(crate) fn holds(&self, adapter: &str) -> bool {
        self.held.iter().any(|held| held == adapter)
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
            .coming
            .iter()
            .filter(|(_, time)| **time <= now)
            .map(|(adapter, _)| adapter.clone())
            .collect();
        for adapter in due {
            self.coming.remove(&adapter);
            self.held.push(adapter);
        }
        self.history.push((now, self.report()));
    }

    pub(crate) fn order_by_other(&mut self, _now: ClockTime) {
        self.sequence += 1;
    }

    pub(crate) fn order(&mut self, now: ClockTime, order: &ServerOrder) -> ServerOrderOutcome {
        self.advance(now);
        let outcome = match &order.action {
            OrderAction::LoadModel if self.loading_model => ServerOrderOutcome::Accepted,
            OrderAction::LoadModel if self.has_model => ServerOrderOutcome::Done,
            OrderAction::LoadModel => self.counted(order, ServerOrderOutcome::Accepted, |engine| {
                engine.loading_model = true;
            }),
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

    /// Takes an order of the instance `holder`.
    pub(crate) fn order_from(
        &mut self,
        now: ClockTime,
        holder: &SmolStr,
        order: &ServerOrder,
    ) -> ServerOrderOutcome {
        let was_sound = self.overfilled.is_none() && self.lease_violation.is_none();
        let outcome = self.order(now, order);
        if was_sound {
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
        if self.holds(adapter) || self.coming.contains_key(adapter) {
            return ServerOrderOutcome::Done;
        }
        if order.expected != self.sequence || self.coming.len() >= MAX_COMING {
            return ServerOrderOutcome::Conflict;
        }
        if self.held.len() + self.coming.len() >= self.slots {
            self.overfilled = Some(format!("{:?} with {:?}", self.held, adapter));
        }
        self.counted(order, ServerOrderOutcome::Accepted, |engine| {
            engine.coming.insert(adapter.clone(), now.after(LOAD_TIME));
        })
    }

    fn unload(&mut self, order: &ServerOrder, adapter: &SmolStr) -> ServerOrderOutcome {
        if !self.holds(adapter) {
            return ServerOrderOutcome::Done;
        }
        if self.in_use.contains(adapter) {
            self.dropped_in_use = Some(adapter.clone());
        }
        self.counted(order, ServerOrderOutcome::Done, |engine| {
            engine.held.retain(|held| held != adapter);
            engine.dropped.push(adapter.clone());
        })
    }

    fn counted(
        &mut self,
        order: &ServerOrder,
        outcome: ServerOrderOutcome,
        carry_out: impl FnOnce(&mut FakeEngine),
    ) -> ServerOrderOutcome {
        if order.expected != self.sequence {
            return ServerOrderOutcome::Conflict;
        }
        self.sequence += 1;
        carry_out(self);
        outcome
    }

    pub(crate) fn report(&self) -> ServerReport {
        let adapters = self.held.iter().map(|adapter| LoadedAdapter {
            name: adapter.clone(),
            version: 1,
        });
        let models = LoadedModel {
            name: "base".into(),
            adapters: adapters.collect(),
        };
        let coming = self.coming.keys().map(|adapter| {
            let held = LoadedAdapter {
                name: adapter.clone(),
                version: 1,
            };
            ("base".into(), held)
        });
        ServerReport {
            sequence: self.sequence,
            started: Some(1),
            busy: self.loading_model,
            models: if self.has_model {
                vec![models]
            } else {
                Vec::new()
            },
            cached_models: Vec::new(),
            loading_adapters: coming.collect(),
        }
    }

    /// The report of a fixed time ago.
    pub(crate) fn lagging_report(&self, now: ClockTime) -> ServerReport {
        let lag = u64::try_from(REPORT_LAG.as_micros()).unwrap_or(u64::MAX);
        let sampled = ClockTime::from_micros(now.as_micros().saturating_sub(lag));
        let mut report = self
            .history
            .iter()
            .rev()
            .find(|(time, _)| *time <= sampled)
            .map_or_else(|| self.report(), |(_, report)| report.clone());
        // Loads that were done by then.
        let coming = std::mem::take(&mut report.loading_adapters);
        for (model, adapter) in coming {
            let done = self.done_at.get(&adapter.name);
            if done.is_some_and(|time| *time <= sampled) {
                report.models[0].adapters.push(adapter);
            } else {
                report.loading_adapters.push((model, adapter));
            }
        }
        report
    }
}
