//! The reducer makes all decisions of one instance, as a deterministic state machine.
//!
//! [`Reducer::reduce`] takes the time and an event, changes the state and appends effects. It
//! reads no clock, socket or external source of randomness, so that the same events always give
//! the same effects.

mod admission;
mod limits;
mod peers;
mod pools;
mod requests;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use smol_str::SmolStr;

use self::{limits::HeldQueue, requests::RequestRecord};
use crate::{
    address::{AddressList, rank_addresses},
    clock::ClockTime,
    config::{ConfigLog, ConfigState, LogEntry, TeamKey},
    event::{Effect, Event, RequestNumber},
    idempotency::{IssuedKey, KeyRegistry},
    limits::{LimitKey, LimitTable, LimitTotals},
    member::MemberTable,
    message::PeerMessage,
    pool::{PoolKey, PoolTable},
    scheduler::{PoolScheduler, SchedulerStats},
    usage::UsageMeter,
};

/// Interval of periodic tasks, such as gossip and load polling.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReducerSettings {
    /// Name of the fleet.
    pub fleet: SmolStr,
    /// Name of this instance.
    pub instance: SmolStr,
    /// Incarnation of this process, in Unix milliseconds: larger than that of any earlier process
    /// with this name.
    pub incarnation: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Peer addresses to request the configuration from while there is none.
    pub seed_peers: Vec<SocketAddr>,
}

/// Purpose of a timer. Timers that are due at the same time run in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Housekeeping,
    Deadline(RequestNumber),
    RetryPermit(RequestNumber),
    HoldExpired(RequestNumber),
    AdmitHeld(TeamKey),
    StepPool(PoolKey),
}

/// All state of one instance.
pub struct Reducer {
    settings: ReducerSettings,
    random: ChaCha8Rng,
    log: ConfigLog,
    members: MemberTable,
    pools: PoolTable,
    limits: LimitTable,
    held: BTreeMap<TeamKey, HeldQueue>,
    requests: BTreeMap<RequestNumber, RequestRecord>,
    schedulers: BTreeMap<PoolKey, PoolScheduler>,
    /// Pools with an adapter load that the region's load limit does not allow yet.
    load_limited: BTreeSet<PoolKey>,
    usage: UsageMeter,
    idempotency: KeyRegistry,
    timers: BTreeSet<(ClockTime, TimerKind)>,
    scheduled_wake: Option<ClockTime>,
    /// Messages from this instance to itself.
    loopback: VecDeque<PeerMessage>,
    peer_incarnations: BTreeMap<SmolStr, u64>,
    last_pull: Option<ClockTime>,
    last_gossip: ClockTime,
    last_renewal: ClockTime,
    last_poll: ClockTime,
    last_hello: ClockTime,
    last_event: ClockTime,
    /// Whether a later process with this instance's name has sent a message.
    superseded: bool,
    leaving: bool,
}

/// Statistics of one instance for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReducerStats {
    /// Version of the current configuration.
    pub config_version: u64,
    /// Position in the configuration log.
    pub config_sequence: u64,
    /// Number of caller requests in progress.
    pub requests: usize,
    /// Pools scheduled by this instance, by name.
    pub pools: BTreeMap<SmolStr, PoolStats>,
    /// Number of usage records written.
    pub usage_records: u64,
}

/// Statistics of a pool scheduled by this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Number of requests in the queue.
    pub queued: usize,
    /// Number of requests with a permit for a server.
    pub running: usize,
    /// Counters of the pool's scheduler.
    pub counters: SchedulerStats,
}

impl Reducer {
    /// Creates an instance without configuration.
    pub fn new(settings: ReducerSettings) -> Reducer {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        let housekeeping = (ClockTime::ZERO, TimerKind::Housekeeping);
        let idempotency = KeyRegistry::new(settings.instance.clone(), settings.incarnation);
        Reducer {
            settings,
            random,
            log: ConfigLog::default(),
            members: MemberTable::default(),
            pools: PoolTable::default(),
            limits: LimitTable::default(),
            held: BTreeMap::new(),
            requests: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            load_limited: BTreeSet::new(),
            usage: UsageMeter::default(),
            idempotency,
            timers: BTreeSet::from([housekeeping]),
            scheduled_wake: None,
            loopback: VecDeque::new(),
            peer_incarnations: BTreeMap::new(),
            last_pull: None,
            last_gossip: ClockTime::ZERO,
            last_renewal: ClockTime::ZERO,
            last_poll: ClockTime::ZERO,
            last_hello: ClockTime::ZERO,
            last_event: ClockTime::ZERO,
            superseded: false,
            leaving: false,
        }
    }

    /// Handles one event and appends the resulting effects.
    pub fn reduce(&mut self, now: ClockTime, event: Event, effects: &mut Vec<Effect>) {
        self.detect_pause(now);
        match event {
            Event::RequestArrived(request) => self.request_arrived(now, &request, effects),
            Event::CallerDisconnected(request) => self.caller_disconnected(now, request, effects),
            Event::ResponseStarted(request) => self.response_started(request),
            Event::ResponseFinished {
                request,
                prompt_tokens,
                output_tokens,
            } => self.response_finished(now, request, prompt_tokens, output_tokens, effects),
            Event::ResponseFailed {
                request,
                run,
                output_tokens,
            } => self.response_failed(now, request, run, output_tokens, effects),
            Event::LogRead(entries) => self.log_read(now, entries, effects),
            Event::InstancesListed(listings) => {
                self.members.update_listed(&listings);
                self.sync_pools(now, effects);
            }
            Event::EnvelopeReceived(envelope) => self.envelope_received(now, envelope, effects),
            Event::EnvelopeUndelivered(instance) => {
                self.envelope_undelivered(now, &instance, effects);
            }
            Event::OrderDone(order, outcome) => self.order_done(now, &order, outcome, effects),
            Event::LoadReported {
                server,
                requested_at,
                report,
            } => self.load_reported(now, server, requested_at, report.as_ref(), effects),
            Event::Tick => self.scheduled_wake = None,
            Event::ShutdownRequested => self.shutdown_requested(now, effects),
        }
        self.run_timers(now, effects);
        self.run_loopback(now, effects);
        self.schedule_wake(effects);
    }

    fn run_loopback(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        while let Some(message) = self.loopback.pop_front() {
            let from = self.settings.instance.clone();
            let incarnation = self.settings.incarnation;
            self.message_received(now, &from, incarnation, message, effects);
        }
    }

    fn set_timer(&mut self, time: ClockTime, kind: TimerKind) {
        self.timers.insert((time, kind));
    }

    fn run_timers(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        while let Some((time, kind)) = self.timers.first().copied() {
            if time > now {
                return;
            }
            self.timers.pop_first();
            match kind {
                TimerKind::Housekeeping => self.housekeeping(now, effects),
                TimerKind::Deadline(request) => self.deadline_passed(now, request, effects),
                TimerKind::RetryPermit(request) => self.retry_permit(now, request, effects),
                TimerKind::HoldExpired(request) => self.hold_expired(now, request, effects),
                TimerKind::AdmitHeld(team) => self.admit_held(now, team, effects),
                TimerKind::StepPool(pool) => self.step_pool(now, pool, effects),
            }
            self.run_loopback(now, effects);
        }
    }

    fn housekeeping(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        self.update_limits(now, effects);
        self.report_loans(now, effects);
        self.renew_permits(now, effects);
        self.poll_loads(now, effects);
        self.gossip(now, effects);
        self.set_timer(now.after(HOUSEKEEPING_INTERVAL), TimerKind::Housekeeping);
    }

    fn schedule_wake(&mut self, effects: &mut Vec<Effect>) {
        let Some((next, _)) = self.timers.first().copied() else {
            return;
        };
        if self.scheduled_wake.is_none_or(|wake| next < wake) {
            self.scheduled_wake = Some(next);
            effects.push(Effect::WakeAt(next));
        }
    }

    fn log_read(&mut self, now: ClockTime, entries: Vec<LogEntry>, effects: &mut Vec<Effect>) {
        let first = self.log.sequence();
        for entry in entries {
            let before = self.config();
            let Some(outcome) = self.log.append(entry) else {
                continue;
            };
            effects.push(Effect::LogApplied {
                sequence: outcome.sequence,
                version: outcome.version,
                fault: outcome
                    .fault
                    .as_ref()
                    .map(|fault| Arc::from(fault.to_string())),
            });
            // Limits must see every configuration, to know all past holders of a share.
            self.configure_limits(now, &before);
        }
        if self.log.sequence() == first {
            return;
        }
        let config = self.config();
        self.pools.extend(&config);
        self.update_limits(now, effects);
        self.sync_pools(now, effects);
        self.refuse_withdrawn(now, effects);
    }

    fn shutdown_requested(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        self.leaving = true;
        let instance = self.settings.instance.clone();
        self.members
            .record_leaving(&instance, self.settings.incarnation);
        self.announce_leaving(effects);
        self.sync_pools(now, effects);
    }

    /// The current configuration.
    pub fn config(&self) -> Arc<ConfigState> {
        self.log.state().clone()
    }

    /// The configuration log.
    pub fn config_log(&self) -> &ConfigLog {
        &self.log
    }

    /// Issues an idempotency key for a call that is not idempotent.
    pub fn issue_idempotency_key(&self, random: u64) -> IssuedKey {
        self.idempotency.issue(self.last_event, random)
    }

    /// Usage recorded so far.
    pub fn usage(&self) -> &UsageMeter {
        &self.usage
    }

    /// Amounts of a limit that this process has admitted so far.
    pub fn limit_totals(&self, key: LimitKey) -> LimitTotals {
        self.limits.totals(key)
    }

    /// Settings of this instance.
    pub fn settings(&self) -> &ReducerSettings {
        &self.settings
    }

    /// Whether a shutdown was requested.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the configuration lists this instance.
    pub fn is_configured(&self) -> bool {
        let config = self.config();
        config.instances.key(&self.settings.instance).is_some()
    }

    /// Whether the instance can admit requests: it is configured, not superseded by a later
    /// process, and may use its shares.
    pub fn is_ready(&self) -> bool {
        self.is_configured() && !self.superseded && self.limits.is_active(self.last_event)
    }

    /// Ranks instance addresses for a caller in the data centre `near`, or in this instance's own
    /// data centre if `near` is unknown.
    pub fn addresses(&self, near: Option<&str>, caller: &str) -> AddressList {
        let config = self.config();
        let own = config
            .instances
            .key(&self.settings.instance)
            .map(|key| config.instances[key].data_centre);
        let near = near.and_then(|name| config.data_centres.key(name)).or(own);
        rank_addresses(&config, &self.members, near, caller)
    }

    /// Statistics for operators.
    pub fn stats(&self) -> ReducerStats {
        let pools = self
            .schedulers
            .iter()
            .map(|(pool, scheduler)| {
                let stats = PoolStats {
                    queued: scheduler.queue_length(),
                    running: scheduler.permit_count(),
                    counters: scheduler.stats(),
                };
                (self.pools.record(*pool).name.clone(), stats)
            })
            .collect();
        ReducerStats {
            config_version: self.log.state().version,
            config_sequence: self.log.sequence(),
            requests: self.requests.len(),
            pools,
            usage_records: self.usage.sequence(),
        }
    }
}
