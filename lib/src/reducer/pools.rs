//! Pools that this instance schedules.

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

/// How often the servers of scheduled pools are asked for their load.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay advised when an instance does not schedule the pool.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(100);

impl Reducer {
    /// Takes over pools that fall to this instance, and drops those that no longer do.
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
                self.drop_pool(pool, effects);
                continue;
            }
            if !self.schedulers.contains_key(&pool) {
                let fence = self.settings.life + now.as_micros() / 1_000;
                let scheduler = PoolScheduler::take_over(now, fence);
                self.schedulers.insert(pool, scheduler);
            }
            let loads_in_flight = self.loads_in_flight(pool);
            if let Some(scheduler) = self.schedulers.get_mut(&pool) {
                scheduler.sync_servers(&config, self.pools.record(pool), loads_in_flight);
            }
            self.step_pool(now, pool, effects);
        }
    }

    fn region_of(&self, pool: PoolKey) -> RegionKey {
        let data_centre = self.pools.record(pool).data_centre;
        self.config().data_centres[data_centre].region
    }

    /// The pool's part of the loads that its region runs at full speed together.
    fn loads_in_flight(&self, pool: PoolKey) -> u32 {
        let config = self.config();
        let region = self.region_of(pool);
        let is_engine =
            |server: &ServerKey| matches!(config.servers[*server].role, ServerRole::Engine { .. });
        let parts = self
            .pools
            .iter()
            .filter(|(key, record)| {
                self.region_of(*key) == region && record.servers.iter().any(is_engine)
            })
            .count();
        let parts = u32::try_from(parts).unwrap_or(u32::MAX).max(1);
        (config.regions[region].loads_in_flight / parts).max(1)
    }

    /// Stops scheduling a pool; entries ask its next scheduler.
    fn drop_pool(&mut self, pool: PoolKey, effects: &mut Vec<Effect>) {
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
            retry_after: ELSEWHERE_RETRY,
        };
        self.send(permit.instance, message, effects);
    }

    /// Lets the scheduler of a pool act, and carries out what it wants.
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
        let mut allow_load = || {
            missing = limits.take(now, limit, one_load).err();
            missing.is_none()
        };
        scheduler.step(now, &config, &mut allow_load, &mut actions);
        if let Some(wake) = scheduler.next_wake() {
            self.timers
                .retain(|(_, kind)| *kind != TimerKind::Pool(pool));
            self.set_timer(wake, TimerKind::Pool(pool));
        }
        self.perform(pool, actions, effects);
        self.settle_loans(now, effects);
        if let Some(missing) = missing {
            self.starved.insert(pool);
            self.borrow(now, limit, missing, effects);
            let next = self.limits.next_loan_request(now, limit);
            self.set_timer(next, TimerKind::Pool(pool));
        } else {
            self.starved.remove(&pool);
        }
    }

    /// Lets pools act that wait for the allowance to load an adapter.
    pub(super) fn step_starved_pools(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        let starved: Vec<PoolKey> = self.starved.iter().copied().collect();
        for pool in starved {
            self.step_pool(now, pool, effects);
        }
    }

    fn perform(&mut self, pool: PoolKey, actions: Vec<SchedulerAction>, effects: &mut Vec<Effect>) {
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
            retry_after: ELSEWHERE_RETRY,
        };
        let pool = self.pools.key(&request.pool);
        let Some(pool) = pool.filter(|pool| self.schedulers.contains_key(pool)) else {
            self.send(from.instance, refusal(PermitError::NotScheduler), effects);
            return;
        };
        let Some(ask) = self.resolve_ask(now, from, request) else {
            self.send(from.instance, refusal(PermitError::Behind), effects);
            return;
        };
        let config = self.config();
        let mut actions = Vec::new();
        if let Some(scheduler) = self.schedulers.get_mut(&pool) {
            scheduler.enqueue(&config, ask, &mut actions);
        }
        self.perform(pool, actions, effects);
        self.step_pool(now, pool, effects);
    }

    /// Resolves the names in a permit request; `None` when the configuration lacks one.
    fn resolve_ask(
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
        used: PermitOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let permit = PermitKey {
            instance: from.instance,
            incarnation: from.incarnation,
            request,
        };
        self.with_scheduler(now, pool, effects, |scheduler| {
            scheduler.release(now, permit, used);
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

    /// Runs `act` on the scheduler of a pool, if this instance has it, and lets it act on.
    fn with_scheduler(
        &mut self,
        now: ClockTime,
        pool: &str,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(&mut PoolScheduler),
    ) {
        let Some(pool) = self.pools.key(pool) else {
            return;
        };
        let Some(scheduler) = self.schedulers.get_mut(&pool) else {
            return;
        };
        act(scheduler);
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
        asked: ClockTime,
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
        let sampled = ClockTime::from_micros(asked.as_micros().saturating_sub(age_micros));
        let name = self.pools.record(pool).name.clone();
        self.with_scheduler(now, &name, effects, |scheduler| {
            scheduler.report(now, &config, server, sampled, report);
        });
    }

    /// Asks the servers of all scheduled pools for their load.
    pub(super) fn poll_reports(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
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
