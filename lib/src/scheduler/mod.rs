//! Schedules one pool: which request goes to which backend server, and which adapter into which
//! slot.
//!
//! One instance schedules a pool at a time. Entries ask it for permits; it queues them fairly by
//! team, has adapters loaded, and never grants more than a server bears.

mod gate;

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use self::gate::{AdapterSlot, ServerGate, SlotPhase, cold_limit, has_target, pin_slot};
use crate::{
    clock::ClockTime,
    config::{AdapterKey, ConfigState, InstanceKey, PriceClass, ServerKey, TeamKey},
    engine::{EngineOrder, LoadReport, OrderKind, OrderOutcome},
    error::ErrorKind,
    message::{PermitError, PermitOutcome},
    pool::{PoolRecord, WorkTarget},
    rendezvous,
};

/// Requests that may wait in one pool.
const MAX_QUEUE: usize = 1_000;
/// A permit that is not renewed for this long is forgotten.
const PERMIT_LIFETIME: Duration = Duration::from_secs(10);
/// A new scheduler waits this long for the permits that its predecessor granted.
const TAKEOVER_QUIET: Duration = Duration::from_millis(2_500);
/// A server that failed takes no new request for this long.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// A slot whose load failed is not tried for the same adapter for this long.
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry advice given with a refusal for lack of servers or queue space.
const REFUSAL_RETRY: Duration = Duration::from_millis(500);
/// Queue tags count tokens in this many parts, so that weights divide evenly enough.
const TAG_PARTS: u64 = 1_000;

/// Identifies a request over all instances and their lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitKey {
    /// The entry that asked.
    pub entry: InstanceKey,
    /// The entry's process life.
    pub life: u64,
    /// Number of the request in that life.
    pub request: u64,
}

/// A request for a permit, resolved against the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitAsk {
    /// Who asks.
    pub permit: PermitKey,
    /// The team it runs for; `None` on open routes.
    pub team: Option<TeamKey>,
    /// What it runs on.
    pub target: WorkTarget,
    /// Prompt and reserved output tokens.
    pub tokens: u64,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// Servers that already failed this request.
    pub avoid: Vec<ServerKey>,
    /// When the request came to the scheduler.
    pub arrived: ClockTime,
    /// W3C `traceparent` of the request's span; empty when there is none.
    pub trace: SmolStr,
}

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Let the request go to the server.
    Grant {
        /// Whose permit.
        permit: PermitKey,
        /// Where to.
        server: ServerKey,
        /// How long the request waited.
        waited: Duration,
        /// W3C `traceparent` of the request's span; empty when there is none.
        trace: SmolStr,
    },
    /// Refuse the request.
    Refuse {
        /// Whose permit.
        permit: PermitKey,
        /// Why.
        fault: PermitError,
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// Send an order to an engine.
    Order(EngineOrder),
}

#[derive(Clone, Debug)]
struct QueuedAsk {
    ask: PermitAsk,
    class: PriceClass,
    tag: u64,
}

#[derive(Clone, Copy, Debug)]
struct PermitRecord {
    server: ServerKey,
    target: WorkTarget,
    expires: ClockTime,
}

/// Figures of a pool for operators and experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// Permits granted.
    pub grants: u64,
    /// Grants on an adapter that the server already had when the request arrived.
    pub hits: u64,
    /// Loads ordered.
    pub loads: u64,
    /// Unloads ordered.
    pub unloads: u64,
    /// Requests refused.
    pub refusals: u64,
}

/// The scheduler of one pool.
#[derive(Clone, Debug)]
pub struct PoolScheduler {
    gates: BTreeMap<ServerKey, ServerGate>,
    queue: Vec<QueuedAsk>,
    permits: BTreeMap<PermitKey, PermitRecord>,
    team_tags: BTreeMap<Option<TeamKey>, u64>,
    virtual_time: u64,
    failed_loads: BTreeMap<(ServerKey, AdapterKey, u32), ClockTime>,
    max_loads: u32,
    loads: u32,
    ready_at: ClockTime,
    fence_base: u64,
    wake: Option<ClockTime>,
    stats: SchedulerStats,
}

impl PoolScheduler {
    /// Takes over a pool whose former scheduler may have left permits behind.
    pub fn take_over(now: ClockTime, fence_base: u64) -> PoolScheduler {
        PoolScheduler {
            gates: BTreeMap::new(),
            queue: Vec::new(),
            permits: BTreeMap::new(),
            team_tags: BTreeMap::new(),
            virtual_time: 0,
            failed_loads: BTreeMap::new(),
            max_loads: 1,
            loads: 0,
            ready_at: now.after(TAKEOVER_QUIET),
            fence_base,
            wake: None,
            stats: SchedulerStats::default(),
        }
    }

    /// Ends scheduling; returns the requests that still wait.
    pub fn close(self) -> Vec<PermitKey> {
        self.queue
            .into_iter()
            .map(|queued| queued.ask.permit)
            .collect()
    }

    /// Figures so far.
    pub fn stats(&self) -> SchedulerStats {
        self.stats
    }

    /// Requests that wait.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Permits in use.
    pub fn permit_count(&self) -> usize {
        self.permits.len()
    }

    /// When [`PoolScheduler::step`] has something to do next, if nothing else happens.
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.wake
    }

    /// Adds gates for servers that joined the pool, and sets how many loads may run together.
    pub fn sync_servers(&mut self, config: &ConfigState, pool: &PoolRecord, max_loads: u32) {
        self.max_loads = max_loads;
        for server in &pool.servers {
            self.gates
                .entry(*server)
                .or_insert_with(|| ServerGate::new(config, *server));
        }
    }

    /// Queues a request. A repeated request is answered again, or keeps its place.
    pub fn ask(
        &mut self,
        config: &ConfigState,
        ask: PermitAsk,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if let Some(record) = self.permits.get(&ask.permit) {
            actions.push(SchedulerAction::Grant {
                permit: ask.permit,
                server: record.server,
                waited: Duration::ZERO,
                trace: SmolStr::default(),
            });
            return;
        }
        if self
            .queue
            .iter()
            .any(|queued| queued.ask.permit == ask.permit)
        {
            return;
        }
        if self.queue.len() >= MAX_QUEUE {
            self.refuse(ask.permit, ErrorKind::QueueFull, actions);
            return;
        }
        let (weight, class) = match ask.team {
            Some(team) => (config.teams[team].weight, config.teams[team].price),
            None => (1, PriceClass::Standard),
        };
        let last = self.team_tags.get(&ask.team).copied().unwrap_or(0);
        let start = last.max(self.virtual_time);
        let cost = ask.tokens.max(1) * TAG_PARTS / u64::from(weight);
        let tag = start + cost;
        self.team_tags.insert(ask.team, tag);
        self.queue.push(QueuedAsk { ask, class, tag });
    }

    fn refuse(&mut self, permit: PermitKey, kind: ErrorKind, actions: &mut Vec<SchedulerAction>) {
        self.stats.refusals += 1;
        actions.push(SchedulerAction::Refuse {
            permit,
            fault: PermitError::Refused(kind),
            retry_after: REFUSAL_RETRY,
        });
    }

    /// Forgets a request that no longer waits; a permit already granted is returned unused.
    pub fn cancel(&mut self, now: ClockTime, permit: PermitKey) {
        self.queue.retain(|queued| queued.ask.permit != permit);
        self.release(now, permit, PermitOutcome::Unused);
    }

    /// Takes a permit back.
    pub fn release(&mut self, now: ClockTime, permit: PermitKey, used: PermitOutcome) {
        let Some(record) = self.permits.remove(&permit) else {
            return;
        };
        let Some(gate) = self.gates.get_mut(&record.server) else {
            return;
        };
        gate.running = gate.running.saturating_sub(1);
        if let WorkTarget::Adapter { adapter, version } = record.target
            && let Some(slot) = gate.slot(adapter, version)
        {
            slot.pins = slot.pins.saturating_sub(1);
            slot.used = now;
        }
        match used {
            PermitOutcome::Answered => gate.limit = (gate.limit + 1).min(gate.concurrency),
            PermitOutcome::Failed => {
                gate.limit = (gate.limit / 2).max(1);
                gate.paused_until = now.after(FAILURE_PAUSE);
            }
            PermitOutcome::Unused => {}
        }
    }

    /// Takes in the permits that an entry says it holds; others of that entry's older lives go.
    pub fn renew(
        &mut self,
        now: ClockTime,
        permit: PermitKey,
        server: ServerKey,
        target: WorkTarget,
    ) {
        let expires = now.after(PERMIT_LIFETIME);
        if let Some(record) = self.permits.get_mut(&permit) {
            record.expires = expires;
            return;
        }
        let Some(gate) = self.gates.get_mut(&server) else {
            return;
        };
        gate.running += 1;
        if let WorkTarget::Adapter { adapter, version } = target {
            pin_slot(gate, now, adapter, version);
        }
        self.permits.insert(
            permit,
            PermitRecord {
                server,
                target,
                expires,
            },
        );
    }

    /// Forgets everything that older lives of an entry held or asked.
    pub fn entry_restarted(&mut self, now: ClockTime, entry: InstanceKey, life: u64) {
        let stale = |permit: &PermitKey| permit.entry == entry && permit.life < life;
        self.queue.retain(|queued| !stale(&queued.ask.permit));
        let permits: Vec<PermitKey> = self.permits.keys().copied().filter(stale).collect();
        for permit in permits {
            self.release(now, permit, PermitOutcome::Unused);
        }
    }

    /// Takes in a load report whose sample was taken no earlier than `sampled`.
    pub fn report(
        &mut self,
        now: ClockTime,
        config: &ConfigState,
        server: ServerKey,
        sampled: ClockTime,
        report: &LoadReport,
    ) {
        let Some(gate) = self.gates.get_mut(&server) else {
            return;
        };
        gate.fence = gate.fence.max(report.fence);
        if gate.epoch != Some(report.epoch) {
            gate.epoch = Some(report.epoch);
            gate.limit = cold_limit(gate.concurrency);
            gate.slots.clear();
        }
        for reported in &report.slots {
            let Some(adapter) = config.adapters.key(&reported.adapter) else {
                continue;
            };
            match gate.slot(adapter, reported.version) {
                Some(slot) => slot.reported = reported.active,
                None => gate.slots.push(AdapterSlot {
                    adapter,
                    version: reported.version,
                    phase: SlotPhase::Ready,
                    pins: 0,
                    reported: reported.active,
                    changed: now,
                    used: now,
                }),
            }
        }
        gate.slots.retain(|slot| {
            let listed = report.slots.iter().any(|reported| {
                config.adapters[slot.adapter].name == reported.adapter
                    && slot.version == reported.version
            });
            listed || slot.phase != SlotPhase::Ready || slot.changed >= sampled
        });
    }

    /// Takes in the outcome of an order.
    pub fn order_done(&mut self, now: ClockTime, order: &EngineOrder, outcome: OrderOutcome) {
        if order.kind == OrderKind::Load {
            self.loads = self.loads.saturating_sub(1);
        }
        let Some(gate) = self.gates.get_mut(&order.server) else {
            return;
        };
        if outcome == OrderOutcome::Fenced {
            gate.fence += 1;
        }
        let Some(slot) = gate.slot(order.adapter, order.version) else {
            return;
        };
        slot.changed = now;
        let gone = match (order.kind, outcome) {
            (OrderKind::Load, OrderOutcome::Done) => {
                slot.phase = SlotPhase::Ready;
                slot.used = now;
                false
            }
            (OrderKind::Load, _) => {
                let key = (order.server, order.adapter, order.version);
                self.failed_loads.insert(key, now.after(LOAD_RETRY_DELAY));
                true
            }
            (OrderKind::Unload, OrderOutcome::Done) => true,
            (OrderKind::Unload, _) => {
                slot.phase = SlotPhase::Ready;
                false
            }
        };
        if gone {
            gate.slots
                .retain(|slot| (slot.adapter, slot.version) != (order.adapter, order.version));
        }
    }

    /// Expires what is due and grants what can be granted.
    ///
    /// `allow_load` takes the allowance for one adapter load, or returns false.
    pub fn step(
        &mut self,
        now: ClockTime,
        config: &ConfigState,
        allow_load: &mut dyn FnMut() -> bool,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.wake = None;
        self.expire(now, actions);
        if now < self.ready_at {
            self.wake_at(self.ready_at);
            return;
        }
        self.queue.sort_by_key(|queued| (queued.class, queued.tag));
        let mut blocked: Vec<WorkTarget> = Vec::new();
        let mut position = 0;
        while position < self.queue.len() {
            let ask = &self.queue[position].ask;
            let target = ask.target;
            // Requests for one target are served in order, so one that waits holds up the rest.
            if blocked.contains(&target) && ask.avoid.is_empty() {
                position += 1;
                continue;
            }
            match self.pick_server(now, config, position) {
                Some(server) => self.grant(now, position, server, actions),
                None => {
                    self.want_adapter(now, config, position, allow_load, actions);
                    blocked.push(target);
                    position += 1;
                }
            }
        }
        self.plan_wake(now);
    }

    fn expire(&mut self, now: ClockTime, actions: &mut Vec<SchedulerAction>) {
        let late: Vec<PermitKey> = self
            .queue
            .iter()
            .filter(|queued| queued.ask.deadline <= now)
            .map(|queued| queued.ask.permit)
            .collect();
        self.queue.retain(|queued| queued.ask.deadline > now);
        for permit in late {
            self.refuse(permit, ErrorKind::DeadlineExceeded, actions);
        }
        let expired: Vec<PermitKey> = self
            .permits
            .iter()
            .filter(|(_, record)| record.expires <= now)
            .map(|(permit, _)| *permit)
            .collect();
        for permit in expired {
            self.release(now, permit, PermitOutcome::Unused);
        }
        self.failed_loads.retain(|_, until| *until > now);
    }

    /// Servers to avoid for a request; none when it would have to avoid all.
    fn avoided<'a>(&self, config: &ConfigState, avoid: &'a [ServerKey]) -> &'a [ServerKey] {
        let is_left =
            |server: &ServerKey| config.server_in_service(*server) && !avoid.contains(server);
        if self.gates.keys().any(is_left) {
            avoid
        } else {
            &[]
        }
    }

    /// The least loaded server that can run the queued request at once.
    fn pick_server(
        &self,
        now: ClockTime,
        config: &ConfigState,
        position: usize,
    ) -> Option<ServerKey> {
        let ask = &self.queue[position].ask;
        let avoid = self.avoided(config, &ask.avoid);
        self.gates
            .iter()
            .filter(|(server, gate)| {
                config.server_in_service(**server)
                    && gate.takes_requests(now)
                    && !avoid.contains(server)
                    && has_target(gate, ask.target)
            })
            .min_by_key(|(_, gate)| u64::from(gate.running) * 1_000 / u64::from(gate.limit))
            .map(|(server, _)| *server)
    }

    fn grant(
        &mut self,
        now: ClockTime,
        position: usize,
        server: ServerKey,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let queued = self.queue.remove(position);
        self.virtual_time = self.virtual_time.max(queued.tag);
        let permit = queued.ask.permit;
        self.renew(now, permit, server, queued.ask.target);
        self.stats.grants += 1;
        actions.push(SchedulerAction::Grant {
            permit,
            server,
            waited: now.since(queued.ask.arrived),
            trace: queued.ask.trace,
        });
    }

    /// Orders the adapter of a queued request loaded, unless it already is or will be.
    fn want_adapter(
        &mut self,
        now: ClockTime,
        config: &ConfigState,
        position: usize,
        allow_load: &mut dyn FnMut() -> bool,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let ask = &self.queue[position].ask;
        let WorkTarget::Adapter { adapter, version } = ask.target else {
            return;
        };
        let avoid = self.avoided(config, &ask.avoid).to_vec();
        let present = self.gates.iter().any(|(server, gate)| {
            !avoid.contains(server)
                && config.server_in_service(*server)
                && matches!(
                    gate.slot_phase(adapter, version),
                    Some(SlotPhase::Loading | SlotPhase::Ready)
                )
        });
        if present {
            return;
        }
        let Some(server) = self.pick_load_server(now, config, adapter, version, &avoid) else {
            return;
        };
        let Some(gate) = self.gates.get_mut(&server) else {
            return;
        };
        let fence = gate.fence.max(self.fence_base);
        gate.fence = fence;
        if gate.slots.len() >= gate.max_slots {
            let Some((victim, victim_version)) = gate.evictable() else {
                return;
            };
            if let Some(slot) = gate.slot(victim, victim_version) {
                slot.phase = SlotPhase::Unloading;
                slot.changed = now;
            }
            self.stats.unloads += 1;
            actions.push(SchedulerAction::Order(EngineOrder {
                server,
                kind: OrderKind::Unload,
                adapter: victim,
                version: victim_version,
                fence,
            }));
            return;
        }
        if self.loads >= self.max_loads {
            return;
        }
        if !allow_load() {
            return;
        }
        self.loads += 1;
        gate.slots.push(AdapterSlot {
            adapter,
            version,
            phase: SlotPhase::Loading,
            pins: 0,
            reported: 0,
            changed: now,
            used: now,
        });
        self.stats.loads += 1;
        actions.push(SchedulerAction::Order(EngineOrder {
            server,
            kind: OrderKind::Load,
            adapter,
            version,
            fence,
        }));
    }

    /// A server with a free or evictable slot, in rendezvous order among the least busy.
    fn pick_load_server(
        &self,
        now: ClockTime,
        config: &ConfigState,
        adapter: AdapterKey,
        version: u32,
        avoid: &[ServerKey],
    ) -> Option<ServerKey> {
        let mut servers: Vec<ServerKey> = self
            .gates
            .iter()
            .filter(|(server, gate)| {
                config.server_in_service(**server)
                    && gate.epoch.is_some()
                    && now >= gate.paused_until
                    && !avoid.contains(server)
                    && !self
                        .failed_loads
                        .contains_key(&(**server, adapter, version))
                    && !gate.is_reloading()
                    && (gate.slots.len() < gate.max_slots || gate.evictable().is_some())
            })
            .map(|(server, _)| *server)
            .collect();
        let name = &config.adapters[adapter].name;
        rendezvous::rank(name, &mut servers, |server| &config.servers[server].name);
        servers.first().copied()
    }

    fn wake_at(&mut self, time: ClockTime) {
        self.wake = Some(self.wake.map_or(time, |wake| wake.min(time)));
    }

    fn plan_wake(&mut self, now: ClockTime) {
        let deadlines = self.queue.iter().map(|queued| queued.ask.deadline);
        let expiries = self.permits.values().map(|record| record.expires);
        let pauses = self.gates.values().map(|gate| gate.paused_until);
        let retries = self.failed_loads.values().copied();
        let next = deadlines
            .chain(expiries)
            .chain(pauses)
            .chain(retries)
            .filter(|time| *time > now)
            .min();
        if let Some(next) = next {
            self.wake_at(next);
        }
    }
}
