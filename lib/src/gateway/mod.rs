//! The gateway routes callers' requests to backend servers. The platform's operator publishes the
//! routes, servers register themselves with the platform, and gateway instances discover each other
//! by gossip.
//!
//! Like [`crate::reducer`], [`GatewayReducer::reduce`] is a deterministic state machine: it takes
//! the time and an event, updates the state and appends effects. It reads no clock, socket or
//! external source of randomness.

mod addresses;
mod admission;
pub mod allowance;
pub mod availability;
pub mod catalog;
mod catalog_fetch;
mod choice;
pub mod claim_changes;
pub mod claims;
pub mod crash_causes;
pub mod crash_log;
pub mod digest;
pub mod encoding;
mod engine_capacity;
mod engines;
pub mod event;
pub mod exchange;
pub mod exclusion;
mod grant_queues;
pub mod members;
pub mod message;
pub mod order_lease;
mod peers;
pub mod plain_choice;
pub mod prompt;
pub mod replica;
mod requests;
pub mod revision;
pub mod route_explain;
mod route_explanation;
mod route_question;
pub mod routes;
pub mod server_scheduler;
pub mod server_status;
pub mod servers;
pub mod shutdown;
pub mod stages;
mod store;
mod suspect_trials;
mod suspects;
mod teams;
mod termination;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use smol_str::SmolStr;

use self::{
    allowance::{ColdBounds, QuotaBounds, RetryBounds, RetryBudget, TeamBucket},
    availability::PauseBounds,
    catalog_fetch::CatalogFetcher,
    engine_capacity::CapacityView,
    engines::OwnerView,
    event::{GatewayEffect, GatewayEvent, LogEvent, RequestNumber},
    members::{GossipTable, MemberPhase, MemberRecord},
    replica::CatalogReplica,
    requests::RequestRecord,
    revision::StoreRevision,
    routes::RouteIndex,
    server_scheduler::{GrantNumber, GrantRelease, GrantReply, LoadLimiter, ServerScheduler},
    servers::{GatewayServerKey, GatewayServers},
    store::{DoubtedChanges, StoreReader},
    suspects::SuspectList,
};
use crate::{clock::ClockTime, usage::UsageMeter};

/// Interval of the periodic work that no event triggers.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of gossip rounds when nothing has changed.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of gossip rounds during the first [`STARTUP_TIME`] of a process, when the whole fleet
/// may be starting at once.
const STARTUP_GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const STARTUP_TIME: Duration = Duration::from_millis(2_000);
/// A gap between events of at least this length means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// How long a new process waits to hear from a peer before it claims servers anyway.
const JOIN_TIME: Duration = Duration::from_millis(1_500);

/// Fleet-wide limits, of which each instance enforces its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Teams' quotas.
    pub quota: QuotaBounds,
    /// Retries.
    pub retry: RetryBounds,
    /// Requests to cold servers.
    pub cold: ColdBounds,
    /// Minimum time between orders from two different instances to one server.
    pub order_lease: Duration,
}

/// Options of one gateway instance, fixed while its process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayOptions {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Start of the process, in Unix milliseconds.
    pub incarnation: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address on which it accepts callers' requests.
    pub caller_address: SocketAddr,
    /// Address on which it accepts messages from peers.
    pub peer_address: SocketAddr,
    /// Addresses of peers to contact first.
    pub seed_peers: Vec<SocketAddr>,
    /// Minimum number of instances to assume until the membership is known.
    pub min_instances: usize,
    /// Whether this is the instance's first start, so that no earlier process can have spent quota.
    pub first_start: bool,
    /// Maximum duration of a graceful shutdown.
    pub grace_period: Duration,
    /// Fleet-wide limits.
    pub bounds: FleetBounds,
    /// Bounds on the time for which a server can turn this instance away.
    pub pause_bounds: PauseBounds,
    /// Longest time for which one scheduler queues a request that only needs a place; zero without
    /// queues.
    pub queue_hold: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Housekeeping,
    Gossip,
    Deadline(RequestNumber),
    Continue(RequestNumber),
    Order(GatewayServerKey),
}

/// Purpose of a call to a peer that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    Gossip {
        has_digest: bool,
    },
    Catalog,
    Claims,
    Grant {
        request: RequestNumber,
        grant: GrantNumber,
        server: GatewayServerKey,
    },
    Borrow(RequestNumber),
    Releases,
}

/// Counters of one instance since the start of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayStats {
    /// Requests received from callers.
    pub requests: u64,
    /// Requests that the gateway refused or ended without a server's response.
    pub refusals: u64,
    /// Sends to servers, not counting the first one of each request.
    pub retries: u64,
    /// Orders sent to servers.
    pub orders: u64,
    /// Requests that waited for an adapter to load.
    pub stalls: u64,
    /// Processes of servers that announced that they leave.
    pub leaving_servers: u64,
    /// Times that a server turned this instance away for some time.
    pub pauses: u64,
    /// Requests that a server turned away for some time, or that were about to be sent to it when it
    /// did so or announced that it leaves.
    pub diverted: u64,
}

/// State of one gateway instance.
pub struct GatewayReducer {
    options: GatewayOptions,
    random: ChaCha8Rng,
    members: GossipTable,
    catalog: CatalogReplica,
    catalog_confirmed: Option<ClockTime>,
    catalog_fetcher: CatalogFetcher,
    routes: Option<RouteIndex>,
    adapter_versions: BTreeMap<(SmolStr, SmolStr), u64>,
    servers: GatewayServers,
    store: StoreReader,
    doubted_changes: DoubtedChanges,
    requests: BTreeMap<RequestNumber, RequestRecord>,
    team_buckets: BTreeMap<SmolStr, TeamBucket>,
    /// Per team, the time until which no peer is asked for quota.
    borrow_pauses: BTreeMap<SmolStr, ClockTime>,
    retry_budgets: BTreeMap<SmolStr, RetryBudget>,
    schedulers: BTreeMap<GatewayServerKey, ServerScheduler>,
    /// Per server id, the other live instance whose claim to schedule it takes precedence.
    owners: BTreeMap<SmolStr, OwnerView>,
    /// Limits concurrent loads from the weight store on the servers scheduled by this instance.
    load_limiter: LoadLimiter,
    /// Per server id, the start of its process in Unix milliseconds and the largest known fencing
    /// token.
    fencing_tokens: BTreeMap<SmolStr, (u64, u64)>,
    capacity: CapacityView,
    /// Per server that declined a request, the time until which it is not asked to load another
    /// adapter.
    load_pauses: BTreeMap<GatewayServerKey, ClockTime>,
    releases: BTreeMap<SocketAddr, Vec<GrantRelease>>,
    next_grant: GrantNumber,
    /// Answers of own schedulers to own requests, which are handled after the event.
    own_grants: VecDeque<(RequestNumber, GrantNumber, GatewayServerKey, GrantReply)>,
    suspects: SuspectList,
    has_quorum: bool,
    timers: BTreeSet<(ClockTime, TimerKind)>,
    wake: Option<ClockTime>,
    calls: BTreeMap<u64, CallPurpose>,
    next_call: u64,
    last_spread: ClockTime,
    last_event: ClockTime,
    leaving_since: Option<ClockTime>,
    stats: GatewayStats,
    usage: UsageMeter,
}

impl GatewayReducer {
    /// Creates an instance that knows only its options.
    pub fn new(options: GatewayOptions) -> GatewayReducer {
        let local = MemberRecord {
            name: options.instance.clone(),
            incarnation: options.incarnation,
            heartbeat: 0,
            phase: MemberPhase::Starting,
            data_centre: options.data_centre.clone(),
            caller_address: options.caller_address,
            peer_address: options.peer_address,
            suspects: Vec::new(),
            cleared: Vec::new(),
        };
        let members = GossipTable::new(local, options.seed_peers.clone(), options.min_instances);
        let timers = BTreeSet::from([
            (ClockTime::ZERO, TimerKind::Housekeeping),
            (ClockTime::ZERO, TimerKind::Gossip),
        ]);
        GatewayReducer {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            members,
            catalog: CatalogReplica::default(),
            catalog_confirmed: None,
            catalog_fetcher: CatalogFetcher::default(),
            routes: None,
            adapter_versions: BTreeMap::new(),
            servers: GatewayServers::default(),
            store: StoreReader::default(),
            doubted_changes: DoubtedChanges::default(),
            requests: BTreeMap::new(),
            team_buckets: BTreeMap::new(),
            borrow_pauses: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            owners: BTreeMap::new(),
            load_limiter: LoadLimiter::default(),
            fencing_tokens: BTreeMap::new(),
            capacity: CapacityView::default(),
            load_pauses: BTreeMap::new(),
            releases: BTreeMap::new(),
            next_grant: 1,
            own_grants: VecDeque::new(),
            suspects: SuspectList::default(),
            has_quorum: false,
            timers,
            wake: None,
            calls: BTreeMap::new(),
            next_call: 1,
            last_spread: ClockTime::ZERO,
            last_event: ClockTime::ZERO,
            leaving_since: None,
            stats: GatewayStats::default(),
            usage: UsageMeter::default(),
        }
    }

    /// Processes one event and appends the resulting effects.
    pub fn reduce(
        &mut self,
        now: ClockTime,
        event: GatewayEvent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.detect_pause(now, effects);
        match event {
            GatewayEvent::RequestArrived(request) => self.request_arrived(now, request, effects),
            GatewayEvent::CallerDisconnected(request) => {
                self.caller_disconnected(now, request, effects);
            }
            GatewayEvent::ResponseStarted {
                request,
                first_event,
            } => self.response_started(now, request, first_event, effects),
            GatewayEvent::AttemptEnded {
                request,
                end,
                stats,
            } => self.attempt_ended(now, request, end, stats, effects),
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
            GatewayEvent::ServerChecked {
                server,
                is_reachable,
            } => self.server_checked(now, server, is_reachable, effects),
            GatewayEvent::OrderEnded { server, outcome } => {
                self.order_ended(now, server, outcome, effects);
            }
            GatewayEvent::ServerNoticed {
                server,
                started,
                notice,
            } => self.server_noticed(now, server, started, notice, effects),
            GatewayEvent::Tick => self.wake = None,
            GatewayEvent::ShutdownRequested => self.shutdown_requested(now, effects),
            GatewayEvent::ShutdownExpired => self.shutdown_expired(now, effects),
        }
        self.run_timers(now, effects);
        self.deliver_own_grants(now, effects);
        self.flush_releases(effects);
        self.schedule_wake(effects);
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
                    let interval = if now.since(ClockTime::ZERO) < STARTUP_TIME {
                        STARTUP_GOSSIP_INTERVAL
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
        self.check_members(now, effects);
        self.read_store(now, effects);
        self.end_restore(now, effects);
        self.sync_schedulers(now, effects);
        self.load_limiter.adjust(now);
        self.run_schedulers(now, effects);
        self.set_timer(now.after(HOUSEKEEPING_INTERVAL), TimerKind::Housekeeping);
    }

    fn schedule_wake(&mut self, effects: &mut Vec<GatewayEffect>) {
        let Some((next, _)) = self.timers.first().copied() else {
            return;
        };
        if self.wake.is_none_or(|wake| next < wake) {
            self.wake = Some(next);
            effects.push(GatewayEffect::WakeAt(next));
        }
    }

    /// Detects that the process was paused. Housekeeping runs periodically, so a long gap between
    /// events has no other cause.
    fn detect_pause(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        let detail = format!("pause_ms={}", gap.as_millis());
        log_event(effects, "process_paused", "", &detail);
        self.members.restart_timeouts(now);
        // Other instances may have taken over the servers in the meantime.
        for scheduler in self.schedulers.values_mut() {
            scheduler.suspend(now);
        }
        self.catalog_confirmed = None;
        self.store.read_now(now);
        self.read_store(now, effects);
    }

    fn instance_count(&self, now: ClockTime) -> usize {
        self.members.instance_count(now)
    }

    /// Whether the instance has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && !self.is_leaving()
    }

    /// Whether the instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Number of callers' requests in progress.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Counters since the start of the process.
    pub fn stats(&self) -> GatewayStats {
        self.stats
    }

    /// Usage of the requests that have ended, each counted once.
    pub fn usage(&self) -> &UsageMeter {
        &self.usage
    }

    /// Version of the current configuration; 0 if there is none yet.
    pub fn config_version(&self) -> u64 {
        self.routes
            .as_ref()
            .map_or(0, |routes| routes.config().version)
    }

    /// Revision up to which the replica of the catalog is complete; number 0 while it is empty.
    pub fn catalog_revision(&self) -> StoreRevision {
        self.catalog.revision()
    }

    /// Whether the backend server with this id may receive requests; `None` if it is unknown.
    pub fn is_server_in_service(&self, id: &str) -> Option<bool> {
        let key = self.servers.key(id)?;
        Some(self.servers.is_in_service(key))
    }

    /// Newest known version of an adapter; 0 if none was announced.
    pub fn adapter_version(&self, model: &str, adapter: &str) -> u64 {
        let key = (model.into(), adapter.into());
        self.adapter_versions.get(&key).copied().unwrap_or(0)
    }

    /// The current configuration.
    pub fn config(&self) -> Option<&Arc<catalog::ServingConfig>> {
        self.routes.as_ref().map(RouteIndex::config)
    }

    /// Records of live members, this instance's first.
    pub fn members(&self, now: ClockTime) -> Vec<&MemberRecord> {
        [self.members.local()]
            .into_iter()
            .chain(self.members.alive(now))
            .collect()
    }
}

/// Appends an effect that writes a log line.
fn log_event(effects: &mut Vec<GatewayEffect>, event: &'static str, attempt: &str, detail: &str) {
    effects.push(GatewayEffect::Log(LogEvent {
        event,
        attempt: attempt.into(),
        detail: detail.into(),
    }));
}
