//! Scheduling of the pools that are assigned to this instance.

use std::time::Duration;

use super::{Reducer, TimerKind};
use crate::{
    clock::ClockTime,
    config::{RegionKey, ServerKey, ServerRole},
    engine::{EngineOrder, LoadReport, OrderOutcome},
    event::Effect,
    limits::{LimitAmount, LimitKey},
    member::PeerIncarnation,
    message::{PeerMessage, PermitError, PermitHolding, PermitOutcome, PermitRequest},
    pool::PoolKey,
    scheduler::{PermitKey, PoolScheduler, ResolvedRequest, SchedulerAction},
};

/// Interval at which the servers of scheduled pools are asked for their load.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Retry delay advised when this instance does not schedule the pool or lacks configuration.
const NOT_SCHEDULER_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Reducer {
    /// Takes over pools that are newly assigned to this instance, and stops scheduling the others.
    pub(super) fn sync_pools(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        let config = self.config();
        let own = config.instances.key(&self.settings.instance);
        let keys: Vec<PoolKey> = self.pools.iter().map(|(key, _)| key).collect();
        for pool in keys {
            let record = self.pools.record(pool);
            let scheduler = self
                .members
                .scheduler(&config, &record.name, record.data_centre);
            if scheduler.is_none() || scheduler != own {
                self.stop_scheduling(pool, effects);
                continue;
            }
            if !self.schedulers.contains_key(&pool) {
                let min_fence = self.settings.incarnation + now.as_micros() / 1_000;
                let scheduler = PoolScheduler::take_over(now, min_fence);
                self.schedulers.insert(pool, scheduler);
            }
            let max_loads_in_flight = self.max_loads_in_flight(pool);
            if let Some(scheduler) = self.schedulers.get_mut(&pool) {
                scheduler.sync_servers(&config, self.pools.record(pool), max_loads_in_flight);
            }
            self.step_pool(now, pool, effects);
        }
    }

    fn region_of(&self, pool: PoolKey) -> RegionKey {
        let data_centre = self.pools.record(pool).data_centre;
        self.config().data_centres[data_centre].region
    }

    /// Largest number of concurrent adapter loads for a pool: its region's `loads_in_flight`,
    /// divided evenly between the pools with engines.
    fn max_loads_in_flight(&self, pool: PoolKey) -> u32 {
        let config = self.config();
        let region = self.region_of(pool);
        let is_engine =
            |server: &ServerKey| matches!(config.servers[*server].role, ServerRole::Engine { .. });
        let engine_pools = self
            .pools
            .iter()
            .filter(|(key, record)| {
                self.region_of(*key) == region && record.servers.iter().any(is_engine)
            })
            .count();
        let engine_pools = u32::try_from(engine_pools).unwrap_or(u32::MAX).max(1);
        (config.regions[region].loads_in_flight / engine_pools).max(1)
    }

    /// Stops scheduling a pool, and refuses queued requests so that their instances ask the pool's
    /// next scheduler.
    fn stop_scheduling(&mut self, pool: PoolKey, effects: &mut Vec<Effect>) {
        let Some(scheduler) = self.schedulers.remove(&pool) else {
            return;
        };
        for permit in scheduler.close() {
            self.send_refusal(pool, permit, PermitError::NotScheduler, effects);
        }
    }

    fn send_refusal(
        &mut self,
        pool: PoolKey,
        permit: PermitKey,
        fault: PermitError,
        effects: &mut Vec<Effect>,
    ) {
        let message = PeerMessage::PermitRefusal {
            request: permit.request,
            pool: self.pools.record(pool).name.clone(),
            fault,
            retry_after: NOT_SCHEDULER_RETRY_DELAY,
        };
        self.send(permit.instance, message, effects);
    }

    /// Steps the scheduler of a pool and applies its actions.
    pub(super) fn step_pool(&mut self, now: ClockTime, pool: PoolKey, effects: &mut Vec<Effect>) {
        let config = self.config();
        let limit = LimitKey::Loads(self.region_of(pool));
        let Some(scheduler) = self.schedulers.get_mut(&pool) else {
            return;
        };
        let mut actions = Vec::new();
        let one_load = LimitAmount::from_units(0, 1);
        let limits = &mut self.limits;
        let mut missing = None;
        let mut take_load_allowance = || {
            missing = limits.take(now, limit, one_load).err();
            missing.is_none()
        };
        scheduler.step(now, &config, &mut take_load_allowance, &mut actions);
        if let Some(wake) = scheduler.next_wake() {
            self.timers
                .retain(|(_, kind)| *kind != TimerKind::StepPool(pool));
            self.set_timer(wake, TimerKind::StepPool(pool));
        }
        self.apply_actions(pool, actions, effects);
        self.report_loans(now, effects);
        if let Some(missing) = missing {
            self.load_limited.insert(pool);
            self.request_loan(now, limit, missing, effects);
            let retry_at = self.limits.next_loan_request(now, limit);
            self.set_timer(retry_at, TimerKind::StepPool(pool));
        } else {
            self.load_limited.remove(&pool);
        }
    }

    /// Steps the pools that wait for their region's load limit.
    pub(super) fn step_load_limited_pools(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        let load_limited: Vec<PoolKey> = self.load_limited.iter().copied().collect();
        for pool in load_limited {
            self.step_pool(now, pool, effects);
        }
    }

    fn apply_actions(
        &mut self,
        pool: PoolKey,
        actions: Vec<SchedulerAction>,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config();
        let name = self.pools.record(pool).name.clone();
        for action in actions {
            match action {
                SchedulerAction::Grant {
                    permit,
                    server,
                    waited,
                    trace,
                } => {
                    if !trace.is_empty() {
                        effects.push(Effect::TraceGrant {
                            trace,
                            pool: name.clone(),
                            server: config.servers[server].name.clone(),
                            waited,
                        });
                    }
                    let message = PeerMessage::PermitGrant {
                        request: permit.request,
                        pool: name.clone(),
                        server: config.servers[server].name.clone(),
                    };
                    self.send(permit.instance, message, effects);
                }
                SchedulerAction::Refuse {
                    permit,
                    fault,
                    retry_after,
                } => {
                    let message = PeerMessage::PermitRefusal {
                        request: permit.request,
                        pool: name.clone(),
                        fault,
                        retry_after,
                    };
                    self.send(permit.instance, message, effects);
                }
                SchedulerAction::Order(order) => effects.push(Effect::OrderEngine {
                    order,
                    address: config.servers[order.server].address,
                    adapter: config.adapters[order.adapter].name.clone(),
                }),
            }
        }
    }

    pub(super) fn permit_requested(
        &mut self,
        now: ClockTime,
        from: PeerIncarnation,
        request: &PermitRequest,
        effects: &mut Vec<Effect>,
    ) {
        let refusal = |fault| PeerMessage::PermitRefusal {
            request: request.request,
            pool: request.pool.clone(),
            fault,
            retry_after: NOT_SCHEDULER_RETRY_DELAY,
        };
        let pool = self.pools.key(&request.pool);
        let Some(pool) = pool.filter(|pool| self.schedulers.contains_key(pool)) else {
            self.send(from.instance, refusal(PermitError::NotScheduler), effects);
            return;
        };
        let Some(resolved) = self.resolve_request(now, from, request) else {
            self.send(from.instance, refusal(PermitError::Behind), effects);
            return;
        };
        let config = self.config();
        let mut actions = Vec::new();
        if let Some(scheduler) = self.schedulers.get_mut(&pool) {
            scheduler.enqueue(&config, resolved, &mut actions);
        }
        self.apply_actions(pool, actions, effects);
        self.step_pool(now, pool, effects);
    }

    /// Resolves the names in a permit request; `None` if the configuration lacks one.
    fn resolve_request(
        &self,
        now: ClockTime,
        from: PeerIncarnation,
        request: &PermitRequest,
    ) -> Option<ResolvedRequest> {
        let config = self.config();
        let team = match &request.team {
            Some(team) => Some(config.teams.key(team)?),
            None => None,
        };
        Some(ResolvedRequest {
            permit: PermitKey {
                instance: from.instance,
                incarnation: from.incarnation,
                request: request.request,
            },
            team,
            target: request.target.resolve(&config)?,
            tokens: request.tokens,
            deadline: now.after(request.time_left),
            avoid: request
                .avoid
                .iter()
                .filter_map(|server| config.servers.key(server))
                .collect(),
            arrived: now,
            trace: request.trace.clone(),
        })
    }

    pub(super) fn permit_cancelled(
        &mut self,
        now: ClockTime,
        from: PeerIncarnation,
        request: u64,
        pool: &str,
        effects: &mut Vec<Effect>,
    ) {
        let permit = PermitKey {
            instance: from.instance,
            incarnation: from.incarnation,
            request,
        };
        self.with_scheduler(now, pool, effects, |scheduler| {
            scheduler.cancel(now, permit);
        });
    }

    pub(super) fn permit_released(
        &mut self,
        now: ClockTime,
        from: PeerIncarnation,
        request: u64,
        pool: &str,
        outcome: PermitOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let permit = PermitKey {
            instance: from.instance,
            incarnation: from.incarnation,
            request,
        };
        self.with_scheduler(now, pool, effects, |scheduler| {
            scheduler.release(now, permit, outcome);
        });
    }

    pub(super) fn permits_renewed(
        &mut self,
        now: ClockTime,
        from: PeerIncarnation,
        pool: &str,
        holdings: &[PermitHolding],
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config();
        self.with_scheduler(now, pool, effects, |scheduler| {
            for holding in holdings {
                let server = config.servers.key(&holding.server);
                let target = holding.target.resolve(&config);
                let (Some(server), Some(target)) = (server, target) else {
                    continue;
                };
                let permit = PermitKey {
                    instance: from.instance,
                    incarnation: from.incarnation,
                    request: holding.request,
                };
                scheduler.renew(now, permit, server, target);
            }
        });
    }

    /// Runs `update` on the scheduler of a pool, if this instance schedules it, and then steps it.
    fn with_scheduler(
        &mut self,
        now: ClockTime,
        pool: &str,
        effects: &mut Vec<Effect>,
        update: impl FnOnce(&mut PoolScheduler),
    ) {
        let Some(pool) = self.pools.key(pool) else {
            return;
        };
        let Some(scheduler) = self.schedulers.get_mut(&pool) else {
            return;
        };
        update(scheduler);
        self.step_pool(now, pool, effects);
    }

    pub(super) fn order_done(
        &mut self,
        now: ClockTime,
        order: &EngineOrder,
        outcome: OrderOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pool) = self.pools.pool_of_server(order.server) else {
            return;
        };
        let name = self.pools.record(pool).name.clone();
        self.with_scheduler(now, &name, effects, |scheduler| {
            scheduler.order_done(now, order, outcome);
        });
    }

    pub(super) fn load_reported(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        requested_at: ClockTime,
        report: Option<&LoadReport>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(report) = report else { return };
        let Some(pool) = self.pools.pool_of_server(server) else {
            return;
        };
        let config = self.config();
        let age = Duration::from_millis(report.age_ms);
        let age_micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let sampled = ClockTime::from_micros(requested_at.as_micros().saturating_sub(age_micros));
        let name = self.pools.record(pool).name.clone();
        self.with_scheduler(now, &name, effects, |scheduler| {
            scheduler.report(now, &config, server, sampled, report);
        });
    }

    /// Polls the servers of all scheduled pools for their load.
    pub(super) fn poll_loads(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        if now.since(self.last_poll) < POLL_INTERVAL {
            return;
        }
        self.last_poll = now;
        let config = self.config();
        for pool in self.schedulers.keys() {
            for server in &self.pools.record(*pool).servers {
                effects.push(Effect::PollLoad {
                    server: *server,
                    address: config.servers[*server].address,
                });
            }
        }
    }
}
