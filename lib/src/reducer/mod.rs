//! The reducer: every decision of one instance, as a function of the events it is told.
//!
//! `reduce` takes the time and an event, changes the state and appends effects. It reads no
//! clock, socket or random source, so that the same events give the same effects.

mod admission;
mod entry;
mod limits;
mod peers;
mod pools;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use smol_str::SmolStr;

use self::{entry::RequestRecord, limits::HeldQueue};
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

/// How often each duty that no event triggers is looked after.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// What an instance must know of itself to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReducerSettings {
    /// Name of the fleet.
    pub fleet: SmolStr,
    /// Name of this instance.
    pub instance: SmolStr,
    /// Process life: larger than that of any earlier process with this name, in Unix milliseconds.
    pub life: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Where some instances listen for peers; asked while there is no configuration.
    pub first_peers: Vec<SocketAddr>,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Housekeeping,
    Deadline(RequestNumber),
    AskAgain(RequestNumber),
    HoldEnd(RequestNumber),
    Admit(TeamKey),
    Pool(PoolKey),
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
    /// Pools that wait for the allowance to load an adapter.
    starved: BTreeSet<PoolKey>,
    usage: UsageMeter,
    idempotency: KeyRegistry,
    timers: BTreeSet<(ClockTime, TimerKind)>,
    wake: Option<ClockTime>,
    /// Messages of this instance to itself.
    loopback: VecDeque<PeerMessage>,
    lives: BTreeMap<SmolStr, u64>,
    last_pull: Option<ClockTime>,
    last_gossip: ClockTime,
    last_renewal: ClockTime,
    last_poll: ClockTime,
    last_hello: ClockTime,
    last_event: ClockTime,
    /// Set when a later process with this instance's name was heard of.
    superseded: bool,
    leaving: bool,
}

/// Figures of one instance for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReducerStats {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Position in the configuration log.
    pub config_sequence: u64,
    /// Requests of callers in progress.
    pub requests: usize,
    /// Pools scheduled here, by name.
    pub pools: BTreeMap<SmolStr, PoolStats>,
    /// Requests counted.
    pub counted: u64,
}

/// Figures of a pool scheduled here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Requests that wait.
    pub queued: usize,
    /// Requests on servers.
    pub running: usize,
    /// Counters.
    pub counters: SchedulerStats,
}

impl Reducer {
    /// A fresh instance without configuration.
    pub fn new(settings: ReducerSettings) -> Reducer {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        let housekeeping = (ClockTime::ZERO, TimerKind::Housekeeping);
        let idempotency = KeyRegistry::new(settings.instance.clone(), settings.life);
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
            starved: BTreeSet::new(),
            usage: UsageMeter::default(),
            idempotency,
            timers: BTreeSet::from([housekeeping]),
            wake: None,
            loopback: VecDeque::new(),
            lives: BTreeMap::new(),
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

    /// Takes in one event and appends what should be done about it.
    pub fn reduce(&mut self, now: ClockTime, event: Event, effects: &mut Vec<Effect>) {
        self.notice_pause(now);
        match event {
            Event::RequestArrived(request) => self.request_arrived(now, &request, effects),
            Event::CallerDisconnected(request) => self.caller_gone(now, request, effects),
            Event::ResponseStarted(request) => self.answer_started(request),
            Event::ResponseFinished {
                request,
                prompt_tokens,
                output_tokens,
            } => self.answer_finished(now, request, prompt_tokens, output_tokens, effects),
            Event::ResponseFailed {
                request,
                run,
                output_tokens,
            } => self.answer_failed(now, request, run, output_tokens, effects),
            Event::LogRead(entries) => self.log_read(now, entries, effects),
            Event::InstancesListed(listings) => {
                self.members.update_listed(&listings);
                self.sync_pools(now, effects);
            }
            Event::EnvelopeReceived(envelope) => self.peer_received(now, envelope, effects),
            Event::EnvelopeUndelivered(instance) => self.peer_failed(now, &instance, effects),
            Event::OrderDone(order, outcome) => self.order_done(now, &order, outcome, effects),
            Event::LoadReported {
                server,
                requested_at: asked,
                report,
            } => self.load_reported(now, server, asked, report.as_ref(), effects),
            Event::Tick => self.wake = None,
            Event::ShutdownRequested => self.shutdown_requested(now, effects),
        }
        self.run_timers(now, effects);
        self.run_loopback(now, effects);
        self.plan_wake(effects);
    }

    fn run_loopback(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        while let Some(message) = self.loopback.pop_front() {
            let from = self.settings.instance.clone();
            let life = self.settings.life;
            self.message_received(now, &from, life, message, effects);
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
                TimerKind::AskAgain(request) => self.ask_again(now, request, effects),
                TimerKind::HoldEnd(request) => self.hold_ended(now, request, effects),
                TimerKind::Admit(team) => self.admit_held(now, team, effects),
                TimerKind::Pool(pool) => self.step_pool(now, pool, effects),
            }
            self.run_loopback(now, effects);
        }
    }

    fn housekeeping(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        self.update_limits(now, effects);
        self.settle_loans(now, effects);
        self.renew_permits(now, effects);
        self.poll_reports(now, effects);
        self.gossip(now, effects);
        self.set_timer(now.after(HOUSEKEEPING_INTERVAL), TimerKind::Housekeeping);
    }

    fn plan_wake(&mut self, effects: &mut Vec<Effect>) {
        let Some((next, _)) = self.timers.first().copied() else {
            return;
        };
        if self.wake.is_none_or(|wake| next < wake) {
            self.wake = Some(next);
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
            // Shares must see every move, to know all former holders.
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
        self.members.record_leaving(&instance, self.settings.life);
        self.announce_leaving(effects);
        self.sync_pools(now, effects);
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<ConfigState> {
        self.log.state().clone()
    }

    /// The configuration log.
    pub fn config_log(&self) -> &ConfigLog {
        &self.log
    }

    /// Issues a key for a call that may not be repeated.
    pub fn issue_idempotency_key(&self, random: u64) -> IssuedKey {
        self.idempotency.issue(self.last_event, random)
    }

    /// Usage counted so far.
    pub fn usage(&self) -> &UsageMeter {
        &self.usage
    }

    /// What this process has admitted of a limit so far.
    pub fn limit_totals(&self, key: LimitKey) -> LimitTotals {
        self.limits.totals(key)
    }

    /// What this instance must know of itself.
    pub fn settings(&self) -> &ReducerSettings {
        &self.settings
    }

    /// Whether the instance was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the instance has a configuration that names it.
    pub fn is_configured(&self) -> bool {
        let config = self.config();
        config.instances.key(&self.settings.instance).is_some()
    }

    /// Whether the instance can admit requests: it is configured and may use its shares.
    pub fn is_ready(&self) -> bool {
        self.is_configured() && !self.superseded && self.limits.is_active(self.last_event)
    }

    /// Ranks addresses for a caller in the data centre `near`, or in this instance's own.
    pub fn addresses(&self, near: Option<&str>, caller: &str) -> AddressList {
        let config = self.config();
        let own = config
            .instances
            .key(&self.settings.instance)
            .map(|key| config.instances[key].data_centre);
        let near = near.and_then(|name| config.data_centres.key(name)).or(own);
        rank_addresses(&config, &self.members, near, caller)
    }

    /// Figures for operators.
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
            counted: self.usage.sequence(),
        }
    }
}
