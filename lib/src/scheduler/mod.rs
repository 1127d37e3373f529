//! Scheduling of one pool: assigns requests to backend servers and adapters to slots.
//!
//! One instance schedules a pool at a time. The other instances request permits from it. The
//! scheduler queues the requests with weighted fairness between teams, orders adapter loads and
//! unloads, and never grants more permits than a server's concurrency limit.

mod server;

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use self::server::{AdapterSlot, ServerState, SlotPhase, can_run, initial_limit, pin_slot};
use crate::{
    clock::ClockTime,
    config::{AdapterKey, ConfigState, InstanceKey, PriceClass, ServerKey, TeamKey},
    engine::{EngineOrder, LoadReport, OrderKind, OrderOutcome},
    error::ErrorKind,
    message::{PermitError, PermitOutcome},
    pool::{PoolRecord, WorkTarget},
    rendezvous,
};

/// Largest number of queued requests per pool.
const MAX_QUEUE: usize = 1_000;
/// A permit expires if it is not renewed for this long.
const PERMIT_LIFETIME: Duration = Duration::from_secs(10);
/// A new scheduler waits this long before its first grant, so that instances can report the
/// permits that its predecessor granted.
const TAKEOVER_DELAY: Duration = Duration::from_millis(2_500);
/// A server gets no new requests for this long after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// A failed load of an adapter is not retried on the same server for this long.
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay advised with a refusal.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Units of a fair-queueing tag per token; limits the rounding error of the division by a team's
/// weight.
const TAG_SCALE: u64 = 1_000;

/// Identifies a request across all instances and their incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitKey {
    /// The instance that requested the permit.
    pub instance: InstanceKey,
    /// Incarnation of that instance.
    pub incarnation: u64,
    /// Number of the request in that incarnation.
    pub request: u64,
}

/// A permit request whose names were resolved with the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRequest {
    /// Key of the requested permit.
    pub permit: PermitKey,
    /// The team that the request runs for; `None` on open routes.
    pub team: Option<TeamKey>,
    /// What the request runs on.
    pub target: WorkTarget,
    /// Prompt tokens and reserved output tokens.
    pub tokens: u64,
    /// When the caller stops waiting.
    pub deadline: ClockTime,
    /// Servers that already failed this request.
    pub avoid: Vec<ServerKey>,
    /// When the permit request reached the scheduler.
    pub arrived: ClockTime,
    /// W3C `traceparent` of the request's span; empty when there is none.
    pub trace: SmolStr,
}

/// An action that a scheduler asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Grant a permit.
    Grant {
        /// Key of the permit.
        permit: PermitKey,
        /// The server that the request may be sent to.
        server: ServerKey,
        /// How long the request was queued.
        waited: Duration,
        /// W3C `traceparent` of the request's span; empty when there is none.
        trace: SmolStr,
    },
    /// Refuse a permit.
    Refuse {
        /// Key of the permit.
        permit: PermitKey,
        /// Reason for the refusal.
        fault: PermitError,
        /// Advised delay before a retry.
        retry_after: Duration,
    },
    /// Send an order to an engine.
    Order(EngineOrder),
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    request: ResolvedRequest,
    class: PriceClass,
    tag: u64,
}

#[derive(Clone, Copy, Debug)]
struct PermitRecord {
    server: ServerKey,
    target: WorkTarget,
    expires: ClockTime,
}

/// Counters of a pool scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// Permits granted.
    pub grants: u64,
    /// Grants for an adapter that was loaded on the server when the request arrived.
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
    servers: BTreeMap<ServerKey, ServerState>,
    queue: Vec<QueuedRequest>,
    permits: BTreeMap<PermitKey, PermitRecord>,
    /// Fair-queueing tag of the last request of each team.
    team_tags: BTreeMap<Option<TeamKey>, u64>,
    virtual_time: u64,
    /// When each failed adapter load may be retried.
    failed_loads: BTreeMap<(ServerKey, AdapterKey, u32), ClockTime>,
    max_loads_in_flight: u32,
    loads_in_flight: u32,
    /// End of the takeover delay.
    ready_at: ClockTime,
    min_fence: u64,
    next_wake: Option<ClockTime>,
    stats: SchedulerStats,
}

impl PoolScheduler {
    /// Takes over a pool whose previous scheduler may have granted permits.
    ///
    /// Orders to engines carry fencing numbers of at least `min_fence`.
    pub fn take_over(now: ClockTime, min_fence: u64) -> PoolScheduler {
        PoolScheduler {
            servers: BTreeMap::new(),
            queue: Vec::new(),
            permits: BTreeMap::new(),
            team_tags: BTreeMap::new(),
            virtual_time: 0,
            failed_loads: BTreeMap::new(),
            max_loads_in_flight: 1,
            loads_in_flight: 0,
            ready_at: now.after(TAKEOVER_DELAY),
            min_fence,
            next_wake: None,
            stats: SchedulerStats::default(),
        }
    }

    /// Stops scheduling; returns the keys of the queued requests.
    pub fn close(self) -> Vec<PermitKey> {
        self.queue
            .into_iter()
            .map(|queued| queued.request.permit)
            .collect()
    }

    /// Counters since the scheduler took over.
    pub fn stats(&self) -> SchedulerStats {
        self.stats
    }

    /// Number of queued requests.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Number of permits in use.
    pub fn permit_count(&self) -> usize {
        self.permits.len()
    }

    /// When [`PoolScheduler::step`] must run next, if no event comes first.
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.next_wake
    }

    /// Adds servers that joined the pool, and sets the largest number of concurrent adapter loads.
    pub fn sync_servers(
        &mut self,
        config: &ConfigState,
        pool: &PoolRecord,
        max_loads_in_flight: u32,
    ) {
        self.max_loads_in_flight = max_loads_in_flight;
        for server in &pool.servers {
            self.servers
                .entry(*server)
                .or_insert_with(|| ServerState::new(config, *server));
        }
    }

    /// Queues a request. A repeated request is granted again if it has a permit, and keeps its
    /// place in the queue otherwise.
    pub fn enqueue(
        &mut self,
        config: &ConfigState,
        request: ResolvedRequest,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if let Some(record) = self.permits.get(&request.permit) {
            actions.push(SchedulerAction::Grant {
                permit: request.permit,
                server: record.server,
                waited: Duration::ZERO,
                trace: SmolStr::default(),
            });
            return;
        }
        if self
            .queue
            .iter()
            .any(|queued| queued.request.permit == request.permit)
        {
            return;
        }
        if self.queue.len() >= MAX_QUEUE {
            self.refuse(request.permit, ErrorKind::QueueFull, actions);
            return;
        }
        let (weight, class) = match request.team {
            Some(team) => (config.teams[team].weight, config.teams[team].price),
            None => (1, PriceClass::Standard),
        };
        let last_tag = self.team_tags.get(&request.team).copied().unwrap_or(0);
        let start = last_tag.max(self.virtual_time);
        let cost = request.tokens.max(1) * TAG_SCALE / u64::from(weight);
        let tag = start + cost;
        self.team_tags.insert(request.team, tag);
        self.queue.push(QueuedRequest {
            request,
            class,
            tag,
        });
    }

    fn refuse(&mut self, permit: PermitKey, kind: ErrorKind, actions: &mut Vec<SchedulerAction>) {
        self.stats.refusals += 1;
        actions.push(SchedulerAction::Refuse {
            permit,
            fault: PermitError::Refused(kind),
            retry_after: REFUSAL_RETRY_DELAY,
        });
    }

    /// Removes a request from the queue, or returns its permit unused if it was granted already.
    pub fn cancel(&mut self, now: ClockTime, permit: PermitKey) {
        self.queue.retain(|queued| queued.request.permit != permit);
        self.release(now, permit, PermitOutcome::Unused);
    }

    /// Takes a permit back, and adjusts the server's concurrency limit to the outcome.
    pub fn release(&mut self, now: ClockTime, permit: PermitKey, outcome: PermitOutcome) {
        let Some(record) = self.permits.remove(&permit) else {
            return;
        };
        let Some(state) = self.servers.get_mut(&record.server) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        if let WorkTarget::Adapter { adapter, version } = record.target
            && let Some(slot) = state.slot(adapter, version)
        {
            slot.pins = slot.pins.saturating_sub(1);
            slot.last_used = now;
        }
        match outcome {
            PermitOutcome::Answered => state.limit = (state.limit + 1).min(state.concurrency),
            PermitOutcome::Failed => {
                state.limit = (state.limit / 2).max(1);
                state.paused_until = now.after(FAILURE_PAUSE);
            }
            PermitOutcome::Unused => {}
        }
    }

    /// Extends a permit that an instance holds; adds it if it is not known, as after a takeover.
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
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        state.running += 1;
        if let WorkTarget::Adapter { adapter, version } = target {
            pin_slot(state, now, adapter, version);
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

    /// Drops the permits and queued requests of older incarnations of an instance.
    pub fn instance_restarted(&mut self, now: ClockTime, instance: InstanceKey, incarnation: u64) {
        let is_stale =
            |permit: &PermitKey| permit.instance == instance && permit.incarnation < incarnation;
        self.queue
            .retain(|queued| !is_stale(&queued.request.permit));
        let permits: Vec<PermitKey> = self.permits.keys().copied().filter(is_stale).collect();
        for permit in permits {
            self.release(now, permit, PermitOutcome::Unused);
        }
    }

    /// Applies a load report that was sampled at or after `sampled`.
    pub fn report(
        &mut self,
        now: ClockTime,
        config: &ConfigState,
        server: ServerKey,
        sampled: ClockTime,
        report: &LoadReport,
    ) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        state.fence = state.fence.max(report.fence);
        if state.epoch != Some(report.epoch) {
            state.epoch = Some(report.epoch);
            state.limit = initial_limit(state.concurrency);
            state.slots.clear();
        }
        for reported in &report.slots {
            let Some(adapter) = config.adapters.key(&reported.adapter) else {
                continue;
            };
            match state.slot(adapter, reported.version) {
                Some(slot) => slot.reported_active = reported.active,
                None => state.slots.push(AdapterSlot {
                    adapter,
                    version: reported.version,
                    phase: SlotPhase::Ready,
                    pins: 0,
                    reported_active: reported.active,
                    changed_at: now,
                    last_used: now,
                }),
            }
        }
        state.slots.retain(|slot| {
            let is_listed = report.slots.iter().any(|reported| {
                config.adapters[slot.adapter].name == reported.adapter
                    && slot.version == reported.version
            });
            is_listed || slot.phase != SlotPhase::Ready || slot.changed_at >= sampled
        });
    }

    /// Applies the outcome of an order to an engine.
    pub fn order_done(&mut self, now: ClockTime, order: &EngineOrder, outcome: OrderOutcome) {
        if order.kind == OrderKind::Load {
            self.loads_in_flight = self.loads_in_flight.saturating_sub(1);
        }
        let Some(state) = self.servers.get_mut(&order.server) else {
            return;
        };
        if outcome == OrderOutcome::Fenced {
            state.fence += 1;
        }
        let Some(slot) = state.slot(order.adapter, order.version) else {
            return;
        };
        slot.changed_at = now;
        let remove = match (order.kind, outcome) {
            (OrderKind::Load, OrderOutcome::Done) => {
                slot.phase = SlotPhase::Ready;
                slot.last_used = now;
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
        if remove {
            state
                .slots
                .retain(|slot| (slot.adapter, slot.version) != (order.adapter, order.version));
        }
    }

    /// Expires queued requests and permits, then grants permits and orders adapters.
    ///
    /// `take_load_allowance` takes the allowance for one adapter load, or returns false.
    pub fn step(
        &mut self,
        now: ClockTime,
        config: &ConfigState,
        take_load_allowance: &mut dyn FnMut() -> bool,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.next_wake = None;
        self.expire(now, actions);
        if now < self.ready_at {
            self.wake_at(self.ready_at);
            return;
        }
        self.queue.sort_by_key(|queued| (queued.class, queued.tag));
        let mut blocked: Vec<WorkTarget> = Vec::new();
        let mut position = 0;
        while position < self.queue.len() {
            let request = &self.queue[position].request;
            let target = request.target;
            // Requests for the same target are served in order, so the first that must wait blocks
            // the others.
            if blocked.contains(&target) && request.avoid.is_empty() {
                position += 1;
                continue;
            }
            match self.pick_server(now, config, position) {
                Some(server) => self.grant(now, position, server, actions),
                None => {
                    self.ensure_adapter(now, config, position, take_load_allowance, actions);
                    blocked.push(target);
                    position += 1;
                }
            }
        }
        self.schedule_wake(now);
    }

    fn expire(&mut self, now: ClockTime, actions: &mut Vec<SchedulerAction>) {
        let overdue: Vec<PermitKey> = self
            .queue
            .iter()
            .filter(|queued| queued.request.deadline <= now)
            .map(|queued| queued.request.permit)
            .collect();
        self.queue.retain(|queued| queued.request.deadline > now);
        for permit in overdue {
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

    /// Servers to avoid for a request; empty if no other server is in service.
    fn servers_to_avoid<'a>(
        &self,
        config: &ConfigState,
        avoid: &'a [ServerKey],
    ) -> &'a [ServerKey] {
        let is_alternative =
            |server: &ServerKey| config.server_in_service(*server) && !avoid.contains(server);
        if self.servers.keys().any(is_alternative) {
            avoid
        } else {
            &[]
        }
    }

    /// The server with the lowest load, relative to its limit, that can run the queued request now.
    fn pick_server(
        &self,
        now: ClockTime,
        config: &ConfigState,
        position: usize,
    ) -> Option<ServerKey> {
        let request = &self.queue[position].request;
        let avoid = self.servers_to_avoid(config, &request.avoid);
        self.servers
            .iter()
            .filter(|(server, state)| {
                config.server_in_service(**server)
                    && state.accepts_requests(now)
                    && !avoid.contains(server)
                    && can_run(state, request.target)
            })
            .min_by_key(|(_, state)| u64::from(state.running) * 1_000 / u64::from(state.limit))
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
        let permit = queued.request.permit;
        self.renew(now, permit, server, queued.request.target);
        self.stats.grants += 1;
        actions.push(SchedulerAction::Grant {
            permit,
            server,
            waited: now.since(queued.request.arrived),
            trace: queued.request.trace,
        });
    }

    /// Orders the load of a queued request's adapter, unless it is loaded or loading already. If
    /// all slots of the chosen server are in use, orders an unload first.
    fn ensure_adapter(
        &mut self,
        now: ClockTime,
        config: &ConfigState,
        position: usize,
        take_load_allowance: &mut dyn FnMut() -> bool,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let request = &self.queue[position].request;
        let WorkTarget::Adapter { adapter, version } = request.target else {
            return;
        };
        let avoid = self.servers_to_avoid(config, &request.avoid).to_vec();
        let is_present = self.servers.iter().any(|(server, state)| {
            !avoid.contains(server)
                && config.server_in_service(*server)
                && matches!(
                    state.slot_phase(adapter, version),
                    Some(SlotPhase::Loading | SlotPhase::Ready)
                )
        });
        if is_present {
            return;
        }
        let Some(server) = self.pick_load_server(now, config, adapter, version, &avoid) else {
            return;
        };
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let fence = state.fence.max(self.min_fence);
        state.fence = fence;
        if state.slots.len() >= state.max_slots {
            let Some((victim, victim_version)) = state.eviction_candidate() else {
                return;
            };
            if let Some(slot) = state.slot(victim, victim_version) {
                slot.phase = SlotPhase::Unloading;
                slot.changed_at = now;
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
        if self.loads_in_flight >= self.max_loads_in_flight {
            return;
        }
        if !take_load_allowance() {
            return;
        }
        self.loads_in_flight += 1;
        state.slots.push(AdapterSlot {
            adapter,
            version,
            phase: SlotPhase::Loading,
            pins: 0,
            reported_active: 0,
            changed_at: now,
            last_used: now,
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

    /// The first server in the adapter's rendezvous order that has a free or evictable slot and no
    /// unfinished order.
    fn pick_load_server(
        &self,
        now: ClockTime,
        config: &ConfigState,
        adapter: AdapterKey,
        version: u32,
        avoid: &[ServerKey],
    ) -> Option<ServerKey> {
        let mut candidates: Vec<ServerKey> = self
            .servers
            .iter()
            .filter(|(server, state)| {
                config.server_in_service(**server)
                    && state.epoch.is_some()
                    && now >= state.paused_until
                    && !avoid.contains(server)
                    && !self
                        .failed_loads
                        .contains_key(&(**server, adapter, version))
                    && !state.has_pending_order()
                    && (state.slots.len() < state.max_slots || state.eviction_candidate().is_some())
            })
            .map(|(server, _)| *server)
            .collect();
        let name = &config.adapters[adapter].name;
        rendezvous::rank(name, &mut candidates, |server| &config.servers[server].name);
        candidates.first().copied()
    }

    fn wake_at(&mut self, time: ClockTime) {
        self.next_wake = Some(self.next_wake.map_or(time, |wake| wake.min(time)));
    }

    fn schedule_wake(&mut self, now: ClockTime) {
        let deadlines = self.queue.iter().map(|queued| queued.request.deadline);
        let expiries = self.permits.values().map(|record| record.expires);
        let pauses = self.servers.values().map(|state| state.paused_until);
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
