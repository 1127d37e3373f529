//! A few reducers and small stand-in engines in virtual time, joined by a lossy queue.
//!
//! Everything random comes from one seed, so that a failing schedule can be run again.

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

/// Time of one adapter load at full speed.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Loads that run at full speed together.
const FULL_SPEED_LOADS: usize = 8;
/// How often each instance reads log and list.
const PLATFORM_INTERVAL: Duration = Duration::from_millis(500);
/// A sender learns of a lost message after this time.
const LOSS_NOTICE: Duration = Duration::from_secs(1);
/// Distance between two lives of an instance, as their numbers count milliseconds.
const LIFE_STEP: u64 = 1_000_000;

/// Identifies a request over all instances and lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    /// Position of the instance.
    pub node: usize,
    /// Its life.
    pub life: u64,
    /// Number in that life.
    pub number: RequestNumber,
}

/// How a request went.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
    /// Position of the caller's team among all teams.
    pub team: usize,
    /// When it arrived.
    pub arrived: ClockTime,
    /// Tokens reserved.
    pub tokens: u64,
    /// Adapter named; empty when there is none.
    pub adapter: SmolStr,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens of the answer.
    pub output_tokens: u64,
    /// Whether the fleet as a whole could have admitted it on arrival.
    pub within_rate: bool,
    /// Whether no engine had its adapter on arrival.
    pub cold: bool,
    /// When it was first sent to a server.
    pub sent: Option<ClockTime>,
    /// Servers on which it began.
    pub runs: u32,
    /// When its answer was whole.
    pub answered: Option<ClockTime>,
    /// When and why it was refused, and whether it may have run.
    pub refused: Option<(ClockTime, ErrorKind, RunState)>,
}

/// One instance.
struct WorldNode {
    name: SmolStr,
    reducer: Option<Reducer>,
    life: u64,
    started: ClockTime,
    paused_until: ClockTime,
    reads_platform: bool,
    next_request: RequestNumber,
}

/// A request on an engine.
#[derive(Clone, Debug)]
struct RunningRequest {
    server: SmolStr,
    epoch: u64,
    slot: Option<(SmolStr, u32)>,
    output_tokens: u64,
    prompt_tokens: u64,
}

/// A slot whose load has ended.
#[derive(Clone, Debug)]
struct LoadedSlot {
    server: SmolStr,
    epoch: u64,
    slot: (SmolStr, u32),
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum WorldEvent {
    Tick(usize, u64),
    ReadPlatform(usize, u64),
    Tell(usize, u64, Event),
    Arrive(RequestId, DispatchOrder, u32),
    Finish(RequestId, u32),
    Order(usize, u64, EngineOrder, SmolStr),
    Loaded(usize, u64, EngineOrder, LoadedSlot),
}

/// Requests on engines and what they ask for.
#[derive(Clone, Copy, Debug)]
struct RequestSize {
    prompt_tokens: u64,
    output_tokens: u64,
}

/// Name of the adapter that a request runs on; empty when there is none.
fn adapter_of(request: &CallerRequest) -> &str {
    match &request.target {
        CallTarget::Model(model) => model.split_once(':').map_or("", |(_, adapter)| adapter),
        CallTarget::Service { .. } => "",
    }
}

/// The whole world.
pub struct World {
    now: ClockTime,
    random: ChaCha8Rng,
    nodes: Vec<WorldNode>,
    events: BTreeMap<(ClockTime, u64), WorldEvent>,
    next_event: u64,
    log: Vec<LogEntry>,
    log_published: Vec<ClockTime>,
    listings: Vec<(ClockTime, Vec<InstanceListing>)>,
    list_lag: Duration,
    network: NetworkConditions,
    cut: BTreeSet<(usize, usize)>,
    engines: BTreeMap<SmolStr, WorldEngine>,
    loads: usize,
    running: BTreeMap<(RequestId, u32), RunningRequest>,
    sizes: BTreeMap<RequestId, RequestSize>,
    attempts: BTreeMap<RequestId, u32>,
    histories: BTreeMap<RequestId, RequestHistory>,
    observers: BTreeMap<TeamKey, LimitObserver>,
    dead_totals: BTreeMap<TeamKey, LimitTotals>,
    first_peers: Vec<SocketAddr>,
    messages: u64,
    stores: BTreeMap<SmolStr, (u64, u64, ClockTime)>,
    /// Loads that the store refused for its rate.
    pub store_refusals: u64,
    /// Most loads at once.
    pub most_loads: usize,
}

impl World {
    /// Starts `instances` with a first configuration.
    ///
    /// # Panics
    ///
    /// Panics when the configuration is rejected.
    pub fn new(seed: u64, instances: &[&str], first: &serde_json::Value) -> World {
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
            cut: BTreeSet::new(),
            engines: BTreeMap::new(),
            loads: 0,
            running: BTreeMap::new(),
            sizes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            histories: BTreeMap::new(),
            observers: BTreeMap::new(),
            dead_totals: BTreeMap::new(),
            first_peers: Vec::new(),
            messages: 0,
            stores: BTreeMap::new(),
            store_refusals: 0,
            most_loads: 0,
        };
        world.publish(0, first);
        for instance in instances {
            world.nodes.push(WorldNode {
                name: (*instance).into(),
                reducer: None,
                life: 0,
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

    /// The time.
    pub fn now(&self) -> ClockTime {
        self.now
    }

    /// Random numbers for the caller's own choices.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// How messages travel from now on.
    pub fn set_network(&mut self, network: NetworkConditions) {
        self.network = network;
    }

    /// Tells instances that start from now on where the instances listen, in their order.
    pub fn set_seed_peers(&mut self, peers: Vec<SocketAddr>) {
        self.first_peers = peers;
    }

    /// How far the list of instances lags from now on.
    pub fn set_list_lag(&mut self, lag: Duration) {
        self.list_lag = lag;
    }

    /// Publishes a patch.
    pub fn publish(&mut self, base: u64, changes: &serde_json::Value) {
        let patch = serde_json::json!({ "base": base, "author": "world", "changes": changes });
        self.log.push(LogEntry {
            sequence: self.log.len() as u64 + 1,
            text: Arc::from(patch.to_string()),
        });
        self.log_published.push(self.now);
    }

    /// Writes the platform's list: live and leaving instances.
    pub fn set_instance_list(&mut self, live: &[usize], leaving: &[usize]) {
        let listing = |node: &usize, leaving| InstanceListing {
            instance: self.nodes[*node].name.clone(),
            leaving,
        };
        let mut list: Vec<InstanceListing> = live.iter().map(|node| listing(node, false)).collect();
        list.extend(leaving.iter().map(|node| listing(node, true)));
        self.listings.push((self.now, list));
    }

    /// Starts a new life of an instance.
    pub fn start(&mut self, node: usize) {
        self.kill(node);
        let now = self.now;
        let first_peers = self.first_peers.clone();
        let slot = &mut self.nodes[node];
        slot.life = slot.life.max(now.as_micros() / 1_000) + LIFE_STEP;
        slot.started = now;
        slot.paused_until = ClockTime::ZERO;
        slot.next_request = 1;
        let life = slot.life;
        slot.reducer = Some(Reducer::new(ReducerSettings {
            fleet: "world".into(),
            instance: slot.name.clone(),
            incarnation: life,
            seed: life ^ node as u64,
            seed_peers: first_peers,
        }));
        let jitter = self
            .random
            .random_range(0..PLATFORM_INTERVAL.as_micros() as u64 / 4);
        self.at(Duration::ZERO, WorldEvent::Tick(node, life));
        let delay = Duration::from_micros(jitter);
        self.at(delay, WorldEvent::ReadPlatform(node, life));
    }

    /// Kills an instance; what it had on engines is cancelled.
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
        let life = self.nodes[node].life;
        let cancelled: Vec<(RequestId, u32)> = self
            .running
            .keys()
            .filter(|(id, _)| id.node == node && id.life == life)
            .copied()
            .collect();
        for (id, attempt) in cancelled {
            self.leave_engine(id, attempt, false);
        }
    }

    /// Stops an instance from running for a while; events wait.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = self.now.after(time);
    }

    /// Cuts or mends the connection between two instances.
    pub fn set_disconnected(&mut self, one: usize, other: usize, cut: bool) {
        for pair in [(one, other), (other, one)] {
            if cut {
                self.cut.insert(pair);
            } else {
                self.cut.remove(&pair);
            }
        }
    }

    /// Whether an instance can read log and list.
    pub fn set_platform_reachable(&mut self, node: usize, reachable: bool) {
        self.nodes[node].reads_platform = reachable;
    }

    /// The reducer of a running instance.
    pub fn reducer(&self, node: usize) -> Option<&Reducer> {
        self.nodes[node].reducer.as_ref()
    }

    /// Tells an instance to leave.
    pub fn shut_down(&mut self, node: usize) {
        self.tell(node, Event::ShutdownRequested);
    }

    /// An engine.
    pub fn engine(&mut self, name: &str) -> &mut WorldEngine {
        self.engines.get_mut(name).unwrap()
    }

    /// All engines and services.
    pub fn engines(&self) -> impl Iterator<Item = (&SmolStr, &WorldEngine)> {
        self.engines.iter()
    }

    /// How all requests went.
    pub fn histories(&self) -> impl Iterator<Item = (&RequestId, &RequestHistory)> {
        self.histories.iter()
    }

    /// Messages sent between instances.
    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Largest amounts by which any team was over its rate and burst, as whole units rounded up.
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

    /// A caller's request arrives at an instance; the answer has `output_tokens`.
    ///
    /// Returns `None` when the instance does not run.
    pub fn request(
        &mut self,
        node: usize,
        mut request: CallerRequest,
        team: usize,
        output_tokens: u64,
    ) -> Option<RequestId> {
        let slot = &mut self.nodes[node];
        if slot.reducer.is_none() || slot.paused_until > self.now {
            return None;
        }
        let number = slot.next_request;
        slot.next_request += 1;
        let id = RequestId {
            node,
            life: slot.life,
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
        self.tell(node, Event::RequestArrived(request));
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

    /// Lets time pass.
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

    fn at(&mut self, delay: Duration, event: WorldEvent) {
        self.next_event += 1;
        let key = (self.now.after(delay), self.next_event);
        self.events.insert(key, event);
    }

    fn is_running(&self, node: usize, life: u64) -> bool {
        self.nodes[node].life == life && self.nodes[node].reducer.is_some()
    }

    /// Delays what concerns a paused instance; returns whether it may happen now.
    fn awake(&mut self, node: usize, event: &WorldEvent) -> bool {
        let paused_until = self.nodes[node].paused_until;
        if paused_until <= self.now {
            return true;
        }
        let delay = paused_until.since(self.now);
        self.at(delay, event.clone());
        false
    }

    fn handle(&mut self, event: WorldEvent) {
        if let WorldEvent::Tick(node, life)
        | WorldEvent::ReadPlatform(node, life)
        | WorldEvent::Tell(node, life, _) = &event
            && (!self.is_running(*node, *life) || !self.awake(*node, &event))
        {
            return;
        }
        match event {
            WorldEvent::Tick(node, _) => self.tell(node, Event::Tick),
            WorldEvent::ReadPlatform(node, life) => self.read_platform(node, life),
            WorldEvent::Tell(node, _, event) => self.tell(node, event),
            WorldEvent::Arrive(id, order, attempt) => self.arrive(id, &order, attempt),
            WorldEvent::Finish(id, attempt) => self.finish(id, attempt),
            WorldEvent::Order(node, life, order, adapter) => {
                self.order(node, life, order, &adapter);
            }
            WorldEvent::Loaded(node, life, order, loaded) => {
                self.loaded(node, life, order, &loaded);
            }
        }
    }

    fn read_platform(&mut self, node: usize, life: u64) {
        self.at(PLATFORM_INTERVAL, WorldEvent::ReadPlatform(node, life));
        if !self.nodes[node].reads_platform {
            return;
        }
        let after = self
            .reducer(node)
            .map_or(0, |reducer| reducer.config_log().sequence());
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        let entries: Vec<LogEntry> = self.log.iter().skip(skip).cloned().collect();
        if !entries.is_empty() {
            self.tell(node, Event::LogRead(entries));
        }
        let visible = |(written, _): &&(ClockTime, Vec<InstanceListing>)| {
            written.after(self.list_lag) <= self.now
        };
        let list = self.listings.iter().rev().find(visible);
        let list = list.or_else(|| self.listings.first());
        if let Some((_, list)) = list.cloned() {
            self.tell(node, Event::InstancesListed(list));
        }
    }

    /// Tells an instance about an event now, and carries out its effects.
    fn tell(&mut self, node: usize, event: Event) {
        let slot = &mut self.nodes[node];
        let Some(reducer) = &mut slot.reducer else {
            return;
        };
        let local = ClockTime::from_micros(self.now.as_micros() - slot.started.as_micros());
        let mut effects = Vec::new();
        reducer.reduce(local, event, &mut effects);
        self.observe();
        for effect in effects {
            self.perform(node, effect);
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

    fn perform(&mut self, node: usize, effect: Effect) {
        let life = self.nodes[node].life;
        match effect {
            Effect::Dispatch(order) => {
                let id = RequestId {
                    node,
                    life,
                    number: order.request,
                };
                let attempt = self.attempts.entry(id).or_insert(0);
                *attempt += 1;
                let attempt = *attempt;
                if let Some(history) = self.histories.get_mut(&id) {
                    history.sent.get_or_insert(self.now);
                }
                let delay = self.delay();
                self.at(delay, WorldEvent::Arrive(id, order, attempt));
            }
            Effect::Refuse(refusal) => {
                let id = RequestId {
                    node,
                    life,
                    number: refusal.request,
                };
                if let Some(history) = self.histories.get_mut(&id) {
                    history.refused = Some((self.now, refusal.kind, refusal.run));
                }
            }
            Effect::Abort(number) => {
                let id = RequestId { node, life, number };
                let attempt = self.attempts.get(&id).copied().unwrap_or(0);
                self.leave_engine(id, attempt, false);
            }
            Effect::SendToPeer { to, message, .. } => self.send(node, &to, message),
            Effect::OrderEngine { order, adapter, .. } => {
                let delay = self.delay();
                self.at(delay, WorldEvent::Order(node, life, order, adapter));
            }
            Effect::PollLoad { server, address } => self.poll(node, server, address),
            Effect::WakeAt(time) => {
                let due = self.nodes[node].started.after(time.since(ClockTime::ZERO));
                self.at(due.since(self.now), WorldEvent::Tick(node, life));
            }
            Effect::LogApplied { .. } | Effect::TraceGrant { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: &str, message: PeerMessage) {
        self.messages += 1;
        let named = self.nodes.iter().position(|node| node.name == to);
        let by_address = || {
            self.first_peers
                .iter()
                .position(|peer| peer.to_string() == to)
        };
        let Some(target) = named.or_else(by_address) else {
            return;
        };
        let life = self.nodes[from].life;
        let reducer = self.nodes[from].reducer.as_ref();
        let envelope = PeerEnvelope {
            protocol: PEER_PROTOCOL,
            fleet: "world".into(),
            from: self.nodes[from].name.clone(),
            incarnation: life,
            config_sequence: reducer.map_or(0, |reducer| reducer.config_log().sequence()),
            leaving: reducer.is_some_and(Reducer::is_leaving),
            messages: vec![message],
        };
        let lost = self.random.random_ratio(self.network.lost_per_mille, 1_000);
        let refused = self.nodes[target].reducer.is_none();
        let unreachable = refused || self.cut.contains(&(from, target));
        if lost || unreachable {
            let notice = if refused { self.delay() } else { LOSS_NOTICE };
            let event = Event::EnvelopeUndelivered(to.into());
            self.at(notice, WorldEvent::Tell(from, life, event));
            // Half of the losses concern the answer: the message itself arrives.
            if unreachable || self.random.random_bool(0.5) {
                return;
            }
        }
        let delay = self.delay();
        let target_life = self.nodes[target].life;
        let event = Event::EnvelopeReceived(envelope);
        self.at(delay, WorldEvent::Tell(target, target_life, event));
    }
}
