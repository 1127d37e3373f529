//! The gateway: serves the routes that a platform's operator publishes, in front of servers that
//! register themselves, on instances that find each other.
//!
//! Like [`crate::reducer`], [`GatewayReducer::reduce`] takes the time and an event, changes the
//! state and appends effects; it reads no clock, socket or random source.

mod admission;
pub mod allowance;
pub mod catalog;
mod choice;
mod endings;
mod engines;
pub mod event;
pub mod members;
pub mod message;
pub mod order_lease;
mod peers;
pub mod prompt;
pub mod replica;
mod requests;
pub mod routes;
pub mod server_scheduler;
pub mod servers;
mod store;
mod suspects;
mod teams;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use smol_str::SmolStr;

use self::{
    allowance::{ColdBounds, QuotaBounds, RetryBounds, RetryBudget, TeamBucket},
    engines::OwnerView,
    event::{GatewayEffect, GatewayEvent, LogEvent, RequestNumber},
    members::{GossipTable, MemberPhase, MemberRecord},
    replica::CatalogReplica,
    requests::RequestRecord,
    routes::RouteIndex,
    server_scheduler::{GrantRelease, LoadLimiter, ServerScheduler},
    servers::{GatewayServerKey, GatewayServers},
    store::StoreReader,
    suspects::SuspectList,
};
use crate::{clock::ClockTime, usage::UsageMeter};

/// How often each duty that no event triggers is looked after.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// How often members are exchanged when nothing has changed.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// The same for a process that has just started, and for how long: all may have started at once.
const FIRST_GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_GOSSIP_TIME: Duration = Duration::from_millis(2_000);
/// The process stood still when no event came for this long.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// A new process waits this long for peers before it takes servers over.
const JOIN_TIME: Duration = Duration::from_millis(1_500);

/// Fleet-wide bounds that instances divide among themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// On teams.
    pub quota: QuotaBounds,
    /// On repeated sends.
    pub retry: RetryBounds,
    /// On cold servers.
    pub cold: ColdBounds,
    /// Time that must pass between orders of two instances to one server.
    pub order_lease: Duration,
}

/// What an instance must know of itself to start.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayOptions {
    /// Its name.
    pub instance: SmolStr,
    /// Start of its process, in Unix milliseconds.
    pub incarnation: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Where it takes requests.
    pub caller_address: SocketAddr,
    /// Where it takes messages of peers.
    pub peer_address: SocketAddr,
    /// Peers that may already run.
    pub seed_peers: Vec<SocketAddr>,
    /// Instances to assume while the members are not known yet.
    pub min_instances: usize,
    /// Whether no earlier process can have used up any allowance.
    pub first_start: bool,
    /// How long a planned stop may take.
    pub grace_period: Duration,
    /// Fleet-wide bounds.
    pub bounds: FleetBounds,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Housekeeping,
    Gossip,
    Deadline(RequestNumber),
    Continue(RequestNumber),
    Order(GatewayServerKey),
}

/// What a call to a peer was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    Gossip,
    Board,
    Grant(RequestNumber, GatewayServerKey),
    Borrow(RequestNumber),
    Releases,
}

/// Counters of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayStats {
    /// Requests of callers.
    pub requests: u64,
    /// Requests ended without a server's answer.
    pub refusals: u64,
    /// Sends to servers beyond the first of each request.
    pub retries: u64,
    /// Orders given.
    pub orders: u64,
    /// Requests that waited for an adapter.
    pub stalls: u64,
}

/// All state of one instance of the gateway.
pub struct GatewayReducer {
    options: GatewayOptions,
    random: ChaCha8Rng,
    members: GossipTable,
    catalog: CatalogReplica,
    board_confirmed: Option<ClockTime>,
    routes: Option<RouteIndex>,
    adapter_versions: BTreeMap<(SmolStr, SmolStr), u64>,
    servers: GatewayServers,
    store: StoreReader,
    requests: BTreeMap<RequestNumber, RequestRecord>,
    team_buckets: BTreeMap<SmolStr, TeamBucket>,
    /// Until when peers are not asked for a team's allowance.
    borrow_pauses: BTreeMap<SmolStr, ClockTime>,
    retry_budgets: BTreeMap<SmolStr, RetryBudget>,
    schedulers: BTreeMap<GatewayServerKey, ServerScheduler>,
    owners: BTreeMap<SmolStr, OwnerView>,
    /// Turns of loads to the servers scheduled here.
    load_limiter: LoadLimiter,
    /// Largest fencing tokens heard of, with the start of the server's process.
    fencing_tokens: BTreeMap<SmolStr, (u64, u64)>,
    /// Until when servers are not asked to load another adapter, after they declined.
    load_pauses: BTreeMap<GatewayServerKey, ClockTime>,
    releases: BTreeMap<SocketAddr, Vec<GrantRelease>>,
    suspects: SuspectList,
    has_quorum: bool,
    timers: BTreeSet<(ClockTime, TimerKind)>,
    wake: Option<ClockTime>,
    calls: BTreeMap<u64, CallPurpose>,
    next_call: u64,
    last_rumor: ClockTime,
    last_event: ClockTime,
    leaving_since: Option<ClockTime>,
    stats: GatewayStats,
    usage: UsageMeter,
}

impl GatewayReducer {
    /// A fresh instance that knows nothing but its plan.
    pub fn new(options: GatewayOptions) -> GatewayReducer {
        let own = MemberRecord {
            name: options.instance.clone(),
            incarnation: options.incarnation,
            heartbeat: 0,
            phase: MemberPhase::Starting,
            data_centre: options.data_centre.clone(),
            caller_address: options.caller_address,
            peer_address: options.peer_address,
            claims_revision: 0,
            claims: Some(Arc::default()),
            suspects: Vec::new(),
        };
        let members = GossipTable::new(own, options.seed_peers.clone(), options.min_instances);
        let timers = BTreeSet::from([
            (ClockTime::ZERO, TimerKind::Housekeeping),
            (ClockTime::ZERO, TimerKind::Gossip),
        ]);
        GatewayReducer {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            members,
            catalog: CatalogReplica::default(),
            board_confirmed: None,
            routes: None,
            adapter_versions: BTreeMap::new(),
            servers: GatewayServers::default(),
            store: StoreReader::default(),
            requests: BTreeMap::new(),
            team_buckets: BTreeMap::new(),
            borrow_pauses: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            owners: BTreeMap::new(),
            load_limiter: LoadLimiter::default(),
            fencing_tokens: BTreeMap::new(),
            load_pauses: BTreeMap::new(),
            releases: BTreeMap::new(),
            suspects: SuspectList::default(),
            has_quorum: false,
            timers,
            wake: None,
            calls: BTreeMap::new(),
            next_call: 1,
            last_rumor: ClockTime::ZERO,
            last_event: ClockTime::ZERO,
            leaving_since: None,
            stats: GatewayStats::default(),
            usage: UsageMeter::default(),
        }
    }

    /// Takes in one event and appends what should be done about it.
    pub fn reduce(
        &mut self,
        now: ClockTime,
        event: GatewayEvent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.notice_pause(now, effects);
        match event {
            GatewayEvent::RequestArrived(request) => self.request_arrived(now, request, effects),
            GatewayEvent::CallerDisconnected(request) => self.caller_gone(now, request, effects),
            GatewayEvent::ResponseStarted {
                request,
                first_event,
            } => self.answer_started(now, request, first_event, effects),
            GatewayEvent::AttemptEnded {
                request,
                end,
                stats: sight,
            } => self.attempt_ended(now, request, end, sight, effects),
            GatewayEvent::PeerCalled { call, message } => {
                self.peer_called(now, call, message, effects);
            }
            GatewayEvent::PeerAnswered { call, peer, answer } => {
                self.peer_answered(now, call, peer, answer, effects);
            }
            GatewayEvent::StoreAnswered(answer) => self.store_answered(now, answer, effects),
            GatewayEvent::ReportRead { server, report } => {
                self.report_read(now, server, report.as_ref(), effects);
            }
            GatewayEvent::OrderEnded { server, outcome } => {
                self.order_ended(now, server, outcome, effects);
            }
            GatewayEvent::Tick => self.wake = None,
            GatewayEvent::ShutdownRequested => self.shutdown_requested(now, effects),
        }
        self.run_timers(now, effects);
        self.plan_wake(effects);
    }

    fn set_timer(&mut self, time: ClockTime, kind: TimerKind) {
        self.timers.insert((time, kind));
    }

    fn run_timers(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        while let Some((time, kind)) = self.timers.first().copied() {
            if time > now {
                return;
            }
            self.timers.pop_first();
            match kind {
                TimerKind::Housekeeping => self.housekeeping(now, effects),
                TimerKind::Gossip => {
                    self.gossip(now, effects);
                    let interval = if now.since(ClockTime::ZERO) < FIRST_GOSSIP_TIME {
                        FIRST_GOSSIP_INTERVAL
                    } else {
                        GOSSIP_INTERVAL
                    };
                    self.set_timer(now.after(interval), TimerKind::Gossip);
                }
                TimerKind::Deadline(request) => self.deadline_passed(now, request, effects),
                TimerKind::Continue(request) => self.continue_request(now, request, effects),
                TimerKind::Order(server) => self.run_scheduler(now, server, effects),
            }
        }
    }

    fn housekeeping(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.note_member_changes(now, effects);
        self.read_store(now, effects);
        self.sync_schedulers(now, effects);
        self.load_limiter.adjust(now);
        self.run_schedulers(now, effects);
        self.flush_releases(effects);
        self.set_timer(now.after(HOUSEKEEPING_INTERVAL), TimerKind::Housekeeping);
    }

    fn plan_wake(&mut self, effects: &mut Vec<GatewayEffect>) {
        let Some((next, _)) = self.timers.first().copied() else {
            return;
        };
        if self.wake.is_none_or(|wake| next < wake) {
            self.wake = Some(next);
            effects.push(GatewayEffect::WakeAt(next));
        }
    }

    /// Housekeeping is due all the time, so that a long gap between events means that the process
    /// stood still.
    fn notice_pause(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        let detail = format!("pause_ms={}", gap.as_millis());
        log_event(effects, "process_paused", "", &detail);
        self.members.excuse_silence(now);
        // Other instances may have taken the servers over meanwhile.
        for desk in self.schedulers.values_mut() {
            desk.suspend(now);
        }
        self.board_confirmed = None;
        self.store.hurry(now);
        self.read_store(now, effects);
    }

    fn shutdown_requested(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.leaving_since.get_or_insert(now);
        self.members.own_mut().phase = MemberPhase::Leaving;
        self.gossip(now, effects);
    }

    fn instance_count(&self, now: ClockTime) -> usize {
        self.members.population(now)
    }

    /// Whether the instance can serve.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && !self.is_leaving()
    }

    /// Whether the instance was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Requests of callers in progress.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Counters.
    pub fn stats(&self) -> GatewayStats {
        self.stats
    }

    /// Requests counted so far, each once.
    pub fn usage(&self) -> &UsageMeter {
        &self.usage
    }

    /// Version of the configuration in force; 0 while there is none.
    pub fn config_version(&self) -> u64 {
        self.routes
            .as_ref()
            .map_or(0, |routes| routes.config().version)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<catalog::ServingConfig>> {
        self.routes.as_ref().map(RouteIndex::config)
    }

    /// Members alive, with the own record first.
    pub fn members(&self, now: ClockTime) -> Vec<&MemberRecord> {
        [self.members.own()]
            .into_iter()
            .chain(self.members.alive(now))
            .collect()
    }

    /// Addresses that a caller can connect to now.
    pub fn caller_addresses(&self, now: ClockTime) -> Vec<SocketAddr> {
        let members = self.members(now);
        let ready = |record: &&MemberRecord| record.phase == MemberPhase::Ready;
        let mut addresses: Vec<SocketAddr> = members
            .iter()
            .copied()
            .filter(ready)
            .map(|record| record.caller_address)
            .collect();
        if addresses.is_empty() {
            // An address that may soon serve is better than none.
            addresses.extend(members.iter().map(|record| record.caller_address));
        }
        addresses
    }
}

/// Appends a line for the log.
fn log_event(effects: &mut Vec<GatewayEffect>, event: &'static str, attempt: &str, detail: &str) {
    effects.push(GatewayEffect::Log(LogEvent {
        event,
        attempt: attempt.into(),
        detail: detail.into(),
    }));
}
