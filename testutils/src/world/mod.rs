//! Discrete-event simulation of a fleet: real reducers, simulated engines and a lossy network.
//!
//! All random choices come from one seed, so that a failing run can be repeated.

pub mod baseline;
mod engine;
mod engines;
pub mod experiment;
pub mod figures;
mod observer;
mod plan;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use wasabistall_lib::{
    clock::ClockTime,
    config::{LogEntry, ServerRole, TeamKey},
    engine::EngineOrder,
    error::{ErrorKind, RunState},
    event::{CallTarget, CallerRequest, DispatchOrder, Effect, Event, RequestNumber},
    limits::{LimitKey, LimitRate, LimitTotals},
    member::InstanceListing,
    message::{PEER_PROTOCOL, PeerEnvelope, PeerMessage},
    reducer::{Reducer, ReducerSettings},
};

pub use self::{
    engine::{EngineCounts, EngineSlot, WorldEngine},
    observer::LimitObserver,
    plan::{DeploymentPlan, LoadGenerator, NetworkConditions, TeamPlan},
};

/// Duration of one adapter load at full speed.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Concurrent loads beyond this number slow all new loads down.
const FULL_SPEED_LOADS: usize = 8;
/// Interval at which each instance reads the configuration log and the instance list.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a sender learns that a message was lost.
const LOSS_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum difference between two incarnation numbers of an instance, in milliseconds.
const INCARNATION_STEP: u64 = 1_000_000;

/// Identifies a request over all instances and incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    /// Position of the instance.
    pub node: usize,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Request number within the incarnation.
    pub number: RequestNumber,
}

/// What happened to a request.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
    /// Position of the caller's team among all teams.
    pub team: usize,
    /// When it arrived.
    pub arrived: ClockTime,
    /// Tokens reserved: prompt and maximum output.
    pub tokens: u64,
    /// Requested adapter; empty when there is none.
    pub adapter: SmolStr,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens of the response.
    pub output_tokens: u64,
    /// Whether the team's rate limit, taken over the whole fleet, allowed it on arrival.
    pub within_rate: bool,
    /// Whether no engine had its adapter loaded on arrival.
    pub cold: bool,
    /// When it was first dispatched to a server.
    pub sent: Option<ClockTime>,
    /// Number of times that it started on a server.
    pub runs: u32,
    /// When its response was complete.
    pub answered: Option<ClockTime>,
    /// When and why it was refused, and whether it may have run.
    pub refused: Option<(ClockTime, ErrorKind, RunState)>,
}

/// An instance, running or not.
struct WorldNode {
    name: SmolStr,
    reducer: Option<Reducer>,
    incarnation: u64,
    started: ClockTime,
    paused_until: ClockTime,
    reads_platform: bool,
    next_request: RequestNumber,
}

/// A request running on a server.
#[derive(Clone, Debug)]
struct RunningRequest {
    server: SmolStr,
    epoch: u64,
    slot: Option<(SmolStr, u32)>,
    output_tokens: u64,
    prompt_tokens: u64,
}

/// The slot of a load in progress, with the epoch of its engine.
#[derive(Clone, Debug)]
struct LoadedSlot {
    server: SmolStr,
    epoch: u64,
    slot: (SmolStr, u32),
}

/// A scheduled event. Instances are given by position and incarnation.
#[derive(Clone, Debug)]
enum WorldEvent {
    Tick(usize, u64),
    ReadPlatform(usize, u64),
    Deliver(usize, u64, Event),
    Arrive(RequestId, DispatchOrder, u32),
    Finish(RequestId, u32),
    Order(usize, u64, EngineOrder, SmolStr),
    Loaded(usize, u64, EngineOrder, LoadedSlot),
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug)]
struct RequestSize {
    prompt_tokens: u64,
    output_tokens: u64,
}

/// Name of the requested adapter; empty when there is none.
fn adapter_of(request: &CallerRequest) -> &str {
    match &request.target {
        CallTarget::Model(model) => model.split_once(':').map_or("", |(_, adapter)| adapter),
        CallTarget::Service { .. } => "",
    }
}

/// The simulated fleet, its engines, network and platform.
pub struct World {
    now: ClockTime,
    random: ChaCha8Rng,
    nodes: Vec<WorldNode>,
    events: BTreeMap<(ClockTime, u64), WorldEvent>,
    next_event: u64,
    log: Vec<LogEntry>,
    /// Time at which each entry of the log was published.
    log_published: Vec<ClockTime>,
    /// Versions of the instance list by time of their publication.
    listings: Vec<(ClockTime, Vec<InstanceListing>)>,
    list_lag: Duration,
    network: NetworkConditions,
    /// Pairs of instances whose messages are lost, in both orders.
    disconnected: BTreeSet<(usize, usize)>,
    engines: BTreeMap<SmolStr, WorldEngine>,
    loads: usize,
    running: BTreeMap<(RequestId, u32), RunningRequest>,
    sizes: BTreeMap<RequestId, RequestSize>,
    attempts: BTreeMap<RequestId, u32>,
    histories: BTreeMap<RequestId, RequestHistory>,
    observers: BTreeMap<TeamKey, LimitObserver>,
    /// Totals of killed incarnations.
    dead_totals: BTreeMap<TeamKey, LimitTotals>,
    seed_peers: Vec<SocketAddr>,
    messages: u64,
    /// Store rate limits by region: loads per second, level in millionths of a load, last refill.
    stores: BTreeMap<SmolStr, (u64, u64, ClockTime)>,
    /// Adapter loads refused by the rate limits of the stores.
    pub store_refusals: u64,
    /// Largest number of concurrent adapter loads.
    pub max_concurrent_loads: usize,
}

impl World {
    /// Starts `instances` with an initial configuration.
    ///
    /// # Panics
    ///
    /// Panics when the configuration is rejected.
    pub fn new(seed: u64, instances: &[&str], initial_changes: &serde_json::Value) -> World {
        let mut world = World {
            now: ClockTime::from_millis(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            log: Vec::new(),
            log_published: Vec::new(),
            listings: Vec::new(),
            list_lag: Duration::ZERO,
            network: NetworkConditions::default(),
            disconnected: BTreeSet::new(),
            engines: BTreeMap::new(),
            loads: 0,
            running: BTreeMap::new(),
            sizes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            histories: BTreeMap::new(),
            observers: BTreeMap::new(),
            dead_totals: BTreeMap::new(),
            seed_peers: Vec::new(),
            messages: 0,
            stores: BTreeMap::new(),
            store_refusals: 0,
            max_concurrent_loads: 0,
        };
        world.publish(0, initial_changes);
        for instance in instances {
            world.nodes.push(WorldNode {
                name: (*instance).into(),
                reducer: None,
                incarnation: 0,
                started: ClockTime::ZERO,
                paused_until: ClockTime::ZERO,
                reads_platform: true,
                next_request: 1,
            });
        }
        world.set_instance_list(&(0..instances.len()).collect::<Vec<usize>>(), &[]);
        for node in 0..instances.len() {
            world.start(node);
        }
        world.add_engines();
        world
    }

    fn add_engines(&mut self) {
        let mut log = wasabistall_lib::config::ConfigLog::default();
        let outcome = log.append(self.log[0].clone()).cloned();
        assert_eq!(outcome.and_then(|outcome| outcome.fault), None);
        for (_, server) in log.state().servers.iter() {
            let slots = match server.role {
                ServerRole::Engine { slots, .. } => slots as usize,
                ServerRole::Service { .. } => 0,
            };
            let engine = WorldEngine::new(slots, server.concurrency as usize);
            self.engines.insert(server.name.clone(), engine);
        }
        for (_, region) in log.state().regions.iter() {
            let rate = region.store_loads_per_second;
            let store = (rate, rate * 1_000_000, ClockTime::ZERO);
            self.stores.insert(region.name.clone(), store);
        }
        for (team, record) in log.state().teams.iter() {
            let observer = LimitObserver::new(LimitRate::from(record.rate));
            self.observers.insert(team, observer);
        }
    }

    /// Current virtual time.
    pub fn now(&self) -> ClockTime {
        self.now
    }

    /// The random generator of the simulation.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Sets the delay and loss of messages from now on.
    pub fn set_network(&mut self, network: NetworkConditions) {
        self.network = network;
    }

    /// Sets the seed peers of later starts: the addresses of all instances, by position.
    pub fn set_seed_peers(&mut self, peers: Vec<SocketAddr>) {
        self.seed_peers = peers;
    }

    /// Sets the delay until instances see changes of the instance list.
    pub fn set_list_lag(&mut self, lag: Duration) {
        self.list_lag = lag;
    }

    /// Appends a patch against version `base` to the configuration log.
    pub fn publish(&mut self, base: u64, changes: &serde_json::Value) {
        let patch = serde_json::json!({ "base": base, "author": "world", "changes": changes });
        self.log.push(LogEntry {
            sequence: self.log.len() as u64 + 1,
            text: Arc::from(patch.to_string()),
        });
        self.log_published.push(self.now);
    }

    /// Sets the platform's instance list: live and leaving instances, by position.
    pub fn set_instance_list(&mut self, live: &[usize], leaving: &[usize]) {
        let listing = |node: &usize, leaving| InstanceListing {
            instance: self.nodes[*node].name.clone(),
            leaving,
        };
        let mut list: Vec<InstanceListing> = live.iter().map(|node| listing(node, false)).collect();
        list.extend(leaving.iter().map(|node| listing(node, true)));
        self.listings.push((self.now, list));
    }

    /// Starts a new incarnation of an instance; kills the running one.
    pub fn start(&mut self, node: usize) {
        self.kill(node);
        let now = self.now;
        let seed_peers = self.seed_peers.clone();
        let state = &mut self.nodes[node];
        state.incarnation = state.incarnation.max(now.as_micros() / 1_000) + INCARNATION_STEP;
        state.started = now;
        state.paused_until = ClockTime::ZERO;
        state.next_request = 1;
        let incarnation = state.incarnation;
        state.reducer = Some(Reducer::new(ReducerSettings {
            fleet: "world".into(),
            instance: state.name.clone(),
            incarnation,
            seed: incarnation ^ node as u64,
            seed_peers,
        }));
        let jitter = self
            .random
            .random_range(0..READ_INTERVAL.as_micros() as u64 / 4);
        self.schedule(Duration::ZERO, WorldEvent::Tick(node, incarnation));
        let delay = Duration::from_micros(jitter);
        self.schedule(delay, WorldEvent::ReadPlatform(node, incarnation));
    }

    /// Kills an instance and cancels its requests on the engines.
    pub fn kill(&mut self, node: usize) {
        let Some(reducer) = self.nodes[node].reducer.take() else {
            return;
        };
        for team in self.observers.keys() {
            let totals = reducer.limit_totals(LimitKey::Team(*team));
            let dead = self.dead_totals.entry(*team).or_default();
            dead.taken = dead.taken.saturating_add(totals.taken);
            dead.refunded = dead.refunded.saturating_add(totals.refunded);
        }
        let incarnation = self.nodes[node].incarnation;
        let cancelled: Vec<(RequestId, u32)> = self
            .running
            .keys()
            .filter(|(id, _)| id.node == node && id.incarnation == incarnation)
            .copied()
            .collect();
        for (id, attempt) in cancelled {
            self.remove_from_engine(id, attempt, false);
        }
    }

    /// Pauses an instance for `time`; its events are delayed until then.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = self.now.after(time);
    }

    /// Disconnects or reconnects two instances.
    pub fn set_disconnected(&mut self, first: usize, second: usize, disconnected: bool) {
        for pair in [(first, second), (second, first)] {
            if disconnected {
                self.disconnected.insert(pair);
            } else {
                self.disconnected.remove(&pair);
            }
        }
    }

    /// Sets whether an instance can read the configuration log and the instance list.
    pub fn set_platform_reachable(&mut self, node: usize, reachable: bool) {
        self.nodes[node].reads_platform = reachable;
    }

    /// The reducer of an instance; `None` when it does not run.
    pub fn reducer(&self, node: usize) -> Option<&Reducer> {
        self.nodes[node].reducer.as_ref()
    }

    /// Requests the graceful shutdown of an instance.
    pub fn shut_down(&mut self, node: usize) {
        self.deliver(node, Event::ShutdownRequested);
    }

    /// An engine or service by name.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn engine(&mut self, name: &str) -> &mut WorldEngine {
        self.engines.get_mut(name).unwrap()
    }

    /// All engines and services.
    pub fn engines(&self) -> impl Iterator<Item = (&SmolStr, &WorldEngine)> {
        self.engines.iter()
    }

    /// Histories of all requests.
    pub fn histories(&self) -> impl Iterator<Item = (&RequestId, &RequestHistory)> {
        self.histories.iter()
    }

    /// Messages sent between instances.
    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Each team's largest excess over rate and burst, in whole tokens and requests, rounded up.
    pub fn overdrawn(&self) -> Vec<(u64, u64)> {
        let round = |micros: u64| micros.div_ceil(1_000_000);
        self.observers
            .values()
            .map(|observer| {
                (
                    round(observer.overdrawn.tokens),
                    round(observer.overdrawn.requests),
                )
            })
            .collect()
    }

    /// Sends a request of a team to an instance; its response will have `output_tokens`.
    ///
    /// Returns `None` when the instance does not run or is paused.
    pub fn request(
        &mut self,
        node: usize,
        mut request: CallerRequest,
        team: usize,
        output_tokens: u64,
    ) -> Option<RequestId> {
        let state = &mut self.nodes[node];
        if state.reducer.is_none() || state.paused_until > self.now {
            return None;
        }
        let number = state.next_request;
        state.next_request += 1;
        let id = RequestId {
            node,
            incarnation: state.incarnation,
            number,
        };
        request.number = number;
        let tokens = request.prompt_tokens + request.max_tokens;
        let key = self.observers.keys().nth(team).copied();
        let now = self.now;
        let within_rate = key
            .and_then(|key| self.observers.get_mut(&key))
            .is_none_or(|observer| observer.allows(now, tokens));
        self.histories.insert(
            id,
            RequestHistory {
                team,
                arrived: now,
                tokens,
                within_rate,
                cold: self.is_cold(&request),
                adapter: adapter_of(&request).into(),
                prompt_tokens: request.prompt_tokens,
                output_tokens,
                ..RequestHistory::default()
            },
        );
        self.sizes.insert(
            id,
            RequestSize {
                prompt_tokens: request.prompt_tokens,
                output_tokens,
            },
        );
        self.deliver(node, Event::RequestArrived(request));
        Some(id)
    }

    fn is_cold(&self, request: &CallerRequest) -> bool {
        let adapter = adapter_of(request);
        if adapter.is_empty() {
            return false;
        }
        !self.engines.values().any(|engine| {
            engine
                .slots
                .iter()
                .any(|((name, _), slot)| slot.ready && name == adapter)
        })
    }

    /// Advances the time and handles all events that are due.
    pub fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = self.now.max(time);
            self.handle(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, delay: Duration, event: WorldEvent) {
        self.next_event += 1;
        let key = (self.now.after(delay), self.next_event);
        self.events.insert(key, event);
    }

    fn is_running(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].incarnation == incarnation && self.nodes[node].reducer.is_some()
    }

    /// Whether an instance can handle an event now; reschedules the event if it is paused.
    fn awake_or_defer(&mut self, node: usize, event: &WorldEvent) -> bool {
        let paused_until = self.nodes[node].paused_until;
        if paused_until <= self.now {
            return true;
        }
        let delay = paused_until.since(self.now);
        self.schedule(delay, event.clone());
        false
    }

    fn handle(&mut self, event: WorldEvent) {
        if let WorldEvent::Tick(node, incarnation)
        | WorldEvent::ReadPlatform(node, incarnation)
        | WorldEvent::Deliver(node, incarnation, _) = &event
            && (!self.is_running(*node, *incarnation) || !self.awake_or_defer(*node, &event))
        {
            return;
        }
        match event {
            WorldEvent::Tick(node, _) => self.deliver(node, Event::Tick),
            WorldEvent::ReadPlatform(node, incarnation) => self.read_platform(node, incarnation),
            WorldEvent::Deliver(node, _, event) => self.deliver(node, event),
            WorldEvent::Arrive(id, order, attempt) => self.start_request(id, &order, attempt),
            WorldEvent::Finish(id, attempt) => self.finish_request(id, attempt),
            WorldEvent::Order(node, incarnation, order, adapter) => {
                self.execute_order(node, incarnation, order, &adapter);
            }
            WorldEvent::Loaded(node, incarnation, order, loaded) => {
                self.finish_load(node, incarnation, order, &loaded);
            }
        }
    }

    fn read_platform(&mut self, node: usize, incarnation: u64) {
        self.schedule(READ_INTERVAL, WorldEvent::ReadPlatform(node, incarnation));
        if !self.nodes[node].reads_platform {
            return;
        }
        let after = self
            .reducer(node)
            .map_or(0, |reducer| reducer.config_log().sequence());
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        let entries: Vec<LogEntry> = self.log.iter().skip(skip).cloned().collect();
        if !entries.is_empty() {
            self.deliver(node, Event::LogRead(entries));
        }
        let visible = |(written, _): &&(ClockTime, Vec<InstanceListing>)| {
            written.after(self.list_lag) <= self.now
        };
        let list = self.listings.iter().rev().find(visible);
        let list = list.or_else(|| self.listings.first());
        if let Some((_, list)) = list.cloned() {
            self.deliver(node, Event::InstancesListed(list));
        }
    }

    /// Passes an event to the reducer of an instance and applies the effects.
    fn deliver(&mut self, node: usize, event: Event) {
        let state = &mut self.nodes[node];
        let Some(reducer) = &mut state.reducer else {
            return;
        };
        let local = ClockTime::from_micros(self.now.as_micros() - state.started.as_micros());
        let mut effects = Vec::new();
        reducer.reduce(local, event, &mut effects);
        self.observe();
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn observe(&mut self) {
        for (team, observer) in &mut self.observers {
            let mut sums = self.dead_totals.get(team).copied().unwrap_or_default();
            for node in &self.nodes {
                if let Some(reducer) = &node.reducer {
                    let totals = reducer.limit_totals(LimitKey::Team(*team));
                    sums.taken = sums.taken.saturating_add(totals.taken);
                    sums.refunded = sums.refunded.saturating_add(totals.refunded);
                }
            }
            observer.observe(self.now, sums);
        }
    }

    fn delay(&mut self) -> Duration {
        let (low, high) = (self.network.min_delay, self.network.max_delay);
        let micros = self.random.random_range(low.as_micros()..=high.as_micros());
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        let incarnation = self.nodes[node].incarnation;
        match effect {
            Effect::Dispatch(order) => {
                let id = RequestId {
                    node,
                    incarnation,
                    number: order.request,
                };
                let attempt = self.attempts.entry(id).or_insert(0);
                *attempt += 1;
                let attempt = *attempt;
                if let Some(history) = self.histories.get_mut(&id) {
                    history.sent.get_or_insert(self.now);
                }
                let delay = self.delay();
                self.schedule(delay, WorldEvent::Arrive(id, order, attempt));
            }
            Effect::Refuse(refusal) => {
                let id = RequestId {
                    node,
                    incarnation,
                    number: refusal.request,
                };
                if let Some(history) = self.histories.get_mut(&id) {
                    history.refused = Some((self.now, refusal.kind, refusal.run));
                }
            }
            Effect::Abort(number) => {
                let id = RequestId {
                    node,
                    incarnation,
                    number,
                };
                let attempt = self.attempts.get(&id).copied().unwrap_or(0);
                self.remove_from_engine(id, attempt, false);
            }
            Effect::SendToPeer { to, message, .. } => self.send_message(node, &to, message),
            Effect::OrderEngine { order, adapter, .. } => {
                let delay = self.delay();
                self.schedule(delay, WorldEvent::Order(node, incarnation, order, adapter));
            }
            Effect::PollLoad { server, address } => self.poll_load(node, server, address),
            Effect::WakeAt(time) => {
                let due = self.nodes[node].started.after(time.since(ClockTime::ZERO));
                self.schedule(due.since(self.now), WorldEvent::Tick(node, incarnation));
            }
            Effect::LogApplied { .. } | Effect::TraceGrant { .. } => {}
        }
    }

    fn send_message(&mut self, from: usize, to: &str, message: PeerMessage) {
        self.messages += 1;
        let by_name = self.nodes.iter().position(|node| node.name == to);
        let by_address = || {
            self.seed_peers
                .iter()
                .position(|address| address.to_string() == to)
        };
        let Some(peer) = by_name.or_else(by_address) else {
            return;
        };
        let incarnation = self.nodes[from].incarnation;
        let reducer = self.nodes[from].reducer.as_ref();
        let envelope = PeerEnvelope {
            protocol: PEER_PROTOCOL,
            fleet: "world".into(),
            from: self.nodes[from].name.clone(),
            incarnation,
            config_sequence: reducer.map_or(0, |reducer| reducer.config_log().sequence()),
            leaving: reducer.is_some_and(Reducer::is_leaving),
            messages: vec![message],
        };
        let lost = self.random.random_ratio(self.network.lost_per_mille, 1_000);
        let refused = self.nodes[peer].reducer.is_none();
        let unreachable = refused || self.disconnected.contains(&(from, peer));
        if lost || unreachable {
            let notice_delay = if refused { self.delay() } else { LOSS_TIMEOUT };
            let event = Event::EnvelopeUndelivered(to.into());
            self.schedule(notice_delay, WorldEvent::Deliver(from, incarnation, event));
            // In half of the losses the message arrives and only the response to it is lost.
            if unreachable || self.random.random_bool(0.5) {
                return;
            }
        }
        let delay = self.delay();
        let peer_incarnation = self.nodes[peer].incarnation;
        let event = Event::EnvelopeReceived(envelope);
        self.schedule(delay, WorldEvent::Deliver(peer, peer_incarnation, event));
    }
}
