//! Simulation of a small fleet of gateway reducers with a store and model servers, in virtual time.

mod calls;
mod crashes;
mod exchanges;
mod notices;
mod stages;
mod store;

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::{
    clock::ClockTime,
    error::ErrorKind,
    gateway::{
        FleetBounds, GatewayOptions, GatewayReducer,
        allowance::{ColdBounds, QuotaBounds, RetryBounds},
        catalog::{
            CallerBounds, PublishedItem, QuotaUnit, RetryPolicy, RouteConfig, RouteTarget,
            ServerRecord, ServiceConfig, ServingConfig, TeamConfig,
        },
        encoding::encode_call,
        event::{
            AttemptEnd, AttemptStats, GatewayEffect, GatewayEvent, GatewayRequest, ModelName,
            ServerDispatch, StoreError, StoreRead,
        },
        message::{PeerCall, PeerError},
        prompt::PromptPart,
        server_scheduler::ServerOrder,
        servers::GatewayServerKey,
    },
    key::KeyDigest,
};

use self::{
    calls::{CallTable, HeldCall},
    crashes::{CrashTable, ServerRun},
    exchanges::{ExchangeNumber, LinkExchange},
    notices::{NoticeTable, PAUSE_BOUNDS},
    stages::StageTable,
    store::FakeStore,
};
use super::{
    engine::{FakeEngine, LEASE, engine_config},
    link::LinkTable,
};

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const NO_ANSWER_DELAY: Duration = Duration::from_millis(1_000);
const RESPONSE_TIME: Duration = Duration::from_millis(120);

/// Action scheduled for some virtual time.
enum WorldAction {
    Event(usize, u64, GatewayEvent),
    Deliver(
        usize,
        u64,
        u64,
        SocketAddr,
        PeerCall,
        Option<ExchangeNumber>,
    ),
    Watch(usize, u64, u64, ClockTime, Option<ExchangeNumber>),
    /// Divides the bandwidth of the links anew.
    StepLinks,
    /// Gives up on an exchange, unless it is complete.
    Timeout(ExchangeNumber),
    /// Gives up on a call that is held, unless it was answered.
    AbandonCall(u64),
    /// Completes a run, unless its server has crashed.
    EndRun(ServerRun),
    /// Crashes the server of a run.
    Crash(ServerRun),
    /// Publishes the record of a server.
    Publish(usize),
    Order(usize, u64, GatewayServerKey, usize, ServerOrder),
}

/// One instance of the gateway.
pub(crate) struct WorldNode {
    pub(crate) name: SmolStr,
    address: SocketAddr,
    reducer: Option<GatewayReducer>,
    incarnation: u64,
    started: ClockTime,
    paused_until: ClockTime,
    pub(crate) is_partitioned: bool,
    pub(crate) store_unavailable: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    Served,
    Refused(ErrorKind),
}

pub(crate) struct GatewayWorld {
    pub(crate) now: ClockTime,
    random: ChaCha8Rng,
    pub(crate) nodes: Vec<WorldNode>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) store: FakeStore,
    queue: BinaryHeap<std::cmp::Reverse<(ClockTime, u64)>>,
    actions: BTreeMap<u64, WorldAction>,
    next_action: u64,
    pub(crate) order_loss: f64,
    pub(crate) outcomes: Vec<(ClockTime, u64, RequestEnd)>,
    /// Number of calls between instances.
    pub(crate) calls: u64,
    /// Prompt parts of the requests that are sent next.
    pub(crate) prompt_parts: Vec<PromptPart>,
    /// Servers to which requests were sent, each with the address from which to fetch prompt parts.
    pub(crate) dispatches: Vec<(SocketAddr, Option<SocketAddr>)>,
    /// Time from the arrival of each request that was sent to its first send.
    pub(crate) first_waits: BTreeMap<u64, Duration>,
    pub(crate) notice_table: NoticeTable,
    pub(crate) stage_table: StageTable,
    next_request: u64,
    adapters: BTreeMap<u64, SmolStr>,
    pub(crate) events: Vec<(ClockTime, usize, &'static str)>,
    /// Whether connections between the two sides of a partition are refused instead of lost.
    pub(crate) partition_refuses: bool,
    /// Links of limited bandwidth; without them, messages of any size take the same time.
    links: Option<LinkTable>,
    exchanges: BTreeMap<ExchangeNumber, LinkExchange>,
    next_exchange: ExchangeNumber,
    call_table: CallTable,
    pub(crate) crash_table: CrashTable,
    /// Number of reads of the store.
    pub(crate) store_reads: u64,
    /// Number of times that an instance fetched the configuration from a peer.
    pub(crate) config_fetches: u64,
}

/// Key of the only team.
pub(crate) fn team_key() -> KeyDigest {
    KeyDigest::of(b"team-key")
}

/// A configuration with one model route and one team.
pub(crate) fn config(version: u64, team: Option<TeamConfig>) -> ServingConfig {
    ServingConfig {
        version,
        routes: vec![RouteConfig {
            name: "r-1".into(),
            host: "host".into(),
            prefix: "/chat/".into(),
            targets: vec![RouteTarget {
                service: "models".into(),
                weight: 1.0,
            }],
            retry: RetryPolicy::Stream,
            timeout: Duration::from_secs(5),
            objective: Duration::from_secs(1),
            pause_objective: Some(Duration::from_millis(500)),
            max_attempts: 1,
            priority: 1,
            public: false,
        }],
        services: vec![ServiceConfig {
            name: "models".into(),
            cold_time: Duration::ZERO,
            cold_rate: 0.0,
            engine: Some(engine_config(3)),
        }],
        teams: team.into_iter().collect(),
        bounds: CallerBounds {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            idle_time: Duration::from_secs(15),
        },
    }
}

/// A team with one key and a limit in tokens.
pub(crate) fn team(rate: f64, burst: f64) -> TeamConfig {
    TeamConfig {
        name: "team".into(),
        keys: vec![team_key()],
        priority: None,
        unit: QuotaUnit::Tokens,
        default_request_tokens: 100.0,
        rate,
        burst,
    }
}

/// Quota bounds of all simulations.
pub(crate) const QUOTA: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.25,
    slack: 20_000.0,
};

impl GatewayWorld {
    pub(crate) fn new(seed: u64, nodes: usize, engines: usize) -> GatewayWorld {
        let address = |index: usize| {
            SocketAddr::from((
                Ipv4Addr::new(10, 0, (index / 200) as u8, (index % 200) as u8),
                7_000,
            ))
        };
        let mut world = GatewayWorld {
            now: ClockTime::from_millis(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..nodes)
                .map(|index| WorldNode {
                    name: format_smolstr!("n-{index}"),
                    address: address(index),
                    reducer: None,
                    incarnation: 0,
                    started: ClockTime::ZERO,
                    paused_until: ClockTime::ZERO,
                    is_partitioned: false,
                    store_unavailable: false,
                })
                .collect(),
            engines: (0..engines).map(|_| FakeEngine::new(3)).collect(),
            store: FakeStore::default(),
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            next_action: 0,
            order_loss: 0.0,
            outcomes: Vec::new(),
            calls: 0,
            prompt_parts: Vec::new(),
            dispatches: Vec::new(),
            first_waits: BTreeMap::new(),
            notice_table: NoticeTable::default(),
            stage_table: StageTable::default(),
            next_request: 0,
            adapters: BTreeMap::new(),
            events: Vec::new(),
            partition_refuses: false,
            links: None,
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            call_table: CallTable::default(),
            crash_table: CrashTable::default(),
            store_reads: 0,
            config_fetches: 0,
        };
        world.publish(
            "op/config",
            Some(PublishedItem::Config(Arc::new(config(
                1,
                Some(team(0.0, 0.0)),
            )))),
        );
        for index in 0..engines {
            world.publish_server(index);
        }
        for index in 0..nodes {
            world.start(index);
        }
        world
    }

    pub(crate) fn publish(&mut self, key: &str, item: Option<PublishedItem>) {
        self.store.write(self.now, key, item);
    }

    pub(crate) fn publish_server(&mut self, index: usize) {
        let record = ServerRecord {
            id: format_smolstr!("s-{index}"),
            service: "models".into(),
            address: engine_address(index),
            data_centre: "dc-0".into(),
            slots: 64,
            draining: self.notice_table.draining.contains(&index),
            cold_for: Duration::ZERO,
            sequence: self.engines[index].report().sequence,
            started: self.engines[index].started,
            models: self.engines[index].report().models,
        };
        let key = format!("servers/s-{index}");
        self.publish(&key, Some(PublishedItem::Server(record)));
    }

    pub(crate) fn start(&mut self, index: usize) {
        let seed_peers = self.nodes[..3.min(self.nodes.len())]
            .iter()
            .map(|node| node.address)
            .collect();
        let data_centre = format_smolstr!("dc-{}", index % 3);
        let seed = self.random.random();
        let first_start = self.now < ClockTime::from_millis(100);
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.started = self.now;
        node.reducer = Some(GatewayReducer::new(GatewayOptions {
            instance: node.name.clone(),
            incarnation: 1_770_000_000_000 + self.now.as_micros() / 1_000 + node.incarnation,
            seed,
            data_centre,
            caller_address: node.address,
            peer_address: node.address,
            seed_peers,
            min_instances: 6,
            first_start,
            grace_period: Duration::from_secs(8),
            bounds: FleetBounds {
                quota: QUOTA,
                retry: RetryBounds {
                    window: Duration::from_secs(10),
                    ratio: 0.2,
                    slack: 50.0,
                },
                cold: ColdBounds {
                    overage: 1.5,
                    slack: 5.0,
                },
                order_lease: LEASE,
            },
            pause_bounds: PAUSE_BOUNDS,
            queue_hold: Duration::from_millis(300),
        }));
        let incarnation = node.incarnation;
        self.push(
            self.now,
            WorldAction::Event(index, incarnation, GatewayEvent::Tick),
        );
    }

    pub(crate) fn shut_down(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        self.handle(index, incarnation, GatewayEvent::ShutdownRequested);
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].reducer = None;
        self.break_calls(index);
    }

    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.now.after(time);
    }

    pub(crate) fn is_up(&self, index: usize) -> bool {
        self.nodes[index].reducer.is_some()
    }

    pub(crate) fn reducer(&self, index: usize) -> &GatewayReducer {
        self.nodes[index].reducer.as_ref().expect("node is up")
    }

    pub(crate) fn local_time(&self, index: usize) -> ClockTime {
        ClockTime::from_micros(self.now.as_micros() - self.nodes[index].started.as_micros())
    }

    fn push(&mut self, time: ClockTime, action: WorldAction) {
        self.next_action += 1;
        self.actions.insert(self.next_action, action);
        self.queue.push(std::cmp::Reverse((time, self.next_action)));
    }

    /// Runs for `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while let Some(std::cmp::Reverse((due, number))) = self.queue.peek().copied() {
            if due > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(due);
            if let Some(action) = self.actions.remove(&number) {
                self.run_action(action);
            }
        }
        self.now = end;
    }

    fn run_action(&mut self, action: WorldAction) {
        match action {
            WorldAction::Event(index, incarnation, event) => self.handle(index, incarnation, event),
            WorldAction::Deliver(index, from, call, peer, message, exchange) => {
                let held = HeldCall {
                    from,
                    call,
                    peer,
                    exchange,
                };
                self.deliver_call(index, held, message);
            }
            WorldAction::Watch(index, incarnation, after, until, exchange) => {
                let answer = self.store.changes_after(after);
                let is_empty = answer.as_ref().is_ok_and(|page| page.changes.is_empty());
                if is_empty && self.now < until {
                    let next = self.now.after(Duration::from_millis(40));
                    let watch = WorldAction::Watch(index, incarnation, after, until, exchange);
                    self.push(next, watch);
                } else {
                    self.answer_read(index, incarnation, answer, exchange);
                }
            }
            WorldAction::AbandonCall(call) => self.abandon_call(call),
            WorldAction::StepLinks => self.step_links(),
            WorldAction::Timeout(exchange) => self.give_up_exchange(exchange),
            WorldAction::EndRun(run) => self.complete_run(run),
            WorldAction::Crash(run) => self.crash_server(run),
            WorldAction::Publish(engine) => self.publish_server(engine),
            WorldAction::Order(index, incarnation, server, engine, order) => {
                let holder = self.nodes[index].name.clone();
                let outcome = if self.crash_table.is_up(self.now, engine) {
                    self.engines[engine].order_from(self.now, &holder, &order)
                } else {
                    wasabistall_lib::gateway::server_scheduler::ServerOrderOutcome::Refused
                };
                let lost = self.random.random_bool(self.order_loss);
                let outcome = if lost {
                    wasabistall_lib::gateway::server_scheduler::ServerOrderOutcome::Lost
                } else {
                    outcome
                };
                let event = GatewayEvent::OrderEnded { server, outcome };
                self.schedule(NETWORK_DELAY, index, incarnation, event);
            }
        }
    }

    /// Key of a server at all instances, which allocate keys in the order of the ids.
    fn server_key(&self, engine: usize) -> Option<GatewayServerKey> {
        let mut ids: Vec<String> = (0..self.engines.len())
            .map(|engine| format!("s-{engine}"))
            .collect();
        ids.sort();
        let id = format!("s-{engine}");
        let position = ids.iter().position(|other| *other == id)?;
        Some(la_arena::Idx::from_raw(la_arena::RawIdx::from_u32(
            u32::try_from(position).ok()?,
        )))
    }

    fn handle(&mut self, index: usize, incarnation: u64, event: GatewayEvent) {
        let node = &self.nodes[index];
        if node.incarnation != incarnation || node.reducer.is_none() {
            return;
        }
        if self.now < node.paused_until {
            let resume = node.paused_until;
            self.push(resume, WorldAction::Event(index, incarnation, event));
            return;
        }
        let local = self.local_time(index);
        let mut effects = Vec::new();
        if let Some(reducer) = &mut self.nodes[index].reducer {
            reducer.reduce(local, event, &mut effects);
        }
        for effect in effects {
            self.perform(index, incarnation, effect);
        }
    }

    fn schedule(&mut self, delay: Duration, index: usize, incarnation: u64, event: GatewayEvent) {
        self.push(
            self.now.after(delay),
            WorldAction::Event(index, incarnation, event),
        );
    }

    fn perform(&mut self, index: usize, incarnation: u64, effect: GatewayEffect) {
        match effect {
            GatewayEffect::WakeAt(time) => {
                let world_time = ClockTime::from_micros(
                    time.as_micros() + self.nodes[index].started.as_micros(),
                );
                let time = world_time.max(self.now);
                self.push(
                    time,
                    WorldAction::Event(index, incarnation, GatewayEvent::Tick),
                );
            }
            GatewayEffect::CallPeer {
                call,
                peer,
                message,
            } => self.call_peer(index, incarnation, call, peer, message),
            GatewayEffect::ReadStore(read) => self.read_store(index, incarnation, read),
            GatewayEffect::ReadReport { server, id, .. } => {
                let engine = engine_index(&id);
                let now = self.now;
                self.engines[engine].advance(now);
                let is_up = self.crash_table.is_up(now, engine);
                let report = is_up.then(|| self.engines[engine].lagging_report(now));
                self.announce_leaving(index, incarnation, engine, server);
                let event = GatewayEvent::ReportRead { server, report };
                self.schedule(NETWORK_DELAY * 2, index, incarnation, event);
            }
            GatewayEffect::CheckServer { server, address } => {
                let engine = (0..self.engines.len())
                    .find(|engine| engine_address(*engine) == address)
                    .expect("address of a server");
                let is_reachable = self.crash_table.is_up(self.now, engine);
                let event = GatewayEvent::ServerChecked {
                    server,
                    is_reachable,
                };
                self.schedule(NETWORK_DELAY * 2, index, incarnation, event);
            }
            GatewayEffect::Order {
                server, id, order, ..
            } => {
                let engine = engine_index(&id);
                let time = self.now.after(NETWORK_DELAY);
                let action = WorldAction::Order(index, incarnation, server, engine, order);
                self.push(time, action);
            }
            GatewayEffect::Dispatch(dispatch) => self.dispatch(index, incarnation, &dispatch),
            GatewayEffect::Refuse(refusal) => {
                let end = RequestEnd::Refused(refusal.kind);
                self.outcomes.push((self.now, refusal.request, end));
            }
            GatewayEffect::Log(line) => self.events.push((self.now, index, line.event)),
            GatewayEffect::AnswerPeer { call, answer } => {
                self.answer_call(call, answer);
            }
            GatewayEffect::CloseConnections(_) => {}
        }
    }

    fn call_peer(
        &mut self,
        index: usize,
        incarnation: u64,
        call: u64,
        peer: SocketAddr,
        message: PeerCall,
    ) {
        self.calls += 1;
        let target = self.nodes.iter().position(|node| node.address == peer);
        let is_partitioned = self.nodes[index].is_partitioned;
        match target {
            Some(target) if self.nodes[target].is_partitioned == is_partitioned => {
                let from = (index as u64) << 32 | incarnation;
                if self.links.is_some() {
                    let answer = Err(PeerError::NoAnswer);
                    let event = GatewayEvent::PeerAnswered { call, peer, answer };
                    let failure = WorldAction::Event(index, incarnation, event);
                    let exchange = self.begin_exchange(message.timeouts().total, failure);
                    let size = encode_call(&message)
                        .expect("calls always serialize")
                        .body
                        .len();
                    let arrival =
                        WorldAction::Deliver(target, from, call, peer, message, Some(exchange));
                    self.transfer(exchange, Some(index), target, size, arrival);
                    return;
                }
                let time = self.now.after(NETWORK_DELAY);
                self.push(
                    time,
                    WorldAction::Deliver(target, from, call, peer, message, None),
                );
            }
            Some(_) if self.partition_refuses => {
                let answer = Err(PeerError::ConnectionRefused);
                let event = GatewayEvent::PeerAnswered { call, peer, answer };
                self.schedule(NETWORK_DELAY, index, incarnation, event);
            }
            _ => {
                let answer = Err(PeerError::NoAnswer);
                let event = GatewayEvent::PeerAnswered { call, peer, answer };
                self.schedule(NO_ANSWER_DELAY, index, incarnation, event);
            }
        }
    }

    fn read_store(&mut self, index: usize, incarnation: u64, read: StoreRead) {
        if self.nodes[index].store_unavailable {
            let event = GatewayEvent::StoreAnswered(Err(StoreError::Unavailable));
            self.schedule(NO_ANSWER_DELAY, index, incarnation, event);
            return;
        }
        self.store_reads += 1;
        let exchange = self.links.is_some().then(|| {
            let event = GatewayEvent::StoreAnswered(Err(StoreError::Unavailable));
            let failure = WorldAction::Event(index, incarnation, event);
            self.begin_exchange(read.timeouts().total, failure)
        });
        match read {
            StoreRead::Snapshot => {
                let answer = self.store.snapshot();
                self.answer_read(index, incarnation, answer, exchange);
            }
            StoreRead::Watch { after, wait } => {
                let until = self.now.after(wait);
                let time = self.now.after(NETWORK_DELAY * 4);
                let watch = WorldAction::Watch(index, incarnation, after, until, exchange);
                self.push(time, watch);
            }
        }
    }

    fn dispatch(&mut self, index: usize, incarnation: u64, dispatch: &ServerDispatch) {
        let engine = engine_index(&dispatch.id);
        self.stage_table.record(dispatch);
        self.dispatches
            .push((dispatch.address, dispatch.prompt_source));
        if let Some(waited) = dispatch.waited {
            self.first_waits.insert(dispatch.request, waited);
        }
        let now = self.now;
        self.notice_table.arrivals.push((now, index, engine));
        self.announce_leaving(index, incarnation, engine, dispatch.server);
        self.engines[engine].advance(now);
        let adapter = self.adapters.get(&dispatch.request).cloned();
        let holds = adapter.is_some_and(|adapter| self.engines[engine].holds(&adapter));
        if self.crash_table.deadly_part.is_some() {
            self.run_on_server(index, incarnation, dispatch, holds);
            return;
        }
        let (end, first_event) = if holds {
            self.outcomes
                .push((now, dispatch.request, RequestEnd::Served));
            let first_event = Some(Duration::from_millis(40));
            (AttemptEnd::Completed { success: true }, first_event)
        } else {
            (AttemptEnd::Rejected { misdirected: true }, None)
        };
        let event = GatewayEvent::AttemptEnded {
            request: dispatch.request,
            end,
            stats: AttemptStats {
                first_event,
                ..AttemptStats::default()
            },
        };
        let delay = if holds {
            RESPONSE_TIME
        } else {
            NETWORK_DELAY * 2
        };
        self.schedule(delay, index, incarnation, event);
    }

    /// Sends a request for an adapter to an instance; returns the request's number.
    pub(crate) fn request(&mut self, index: usize, adapter: &str, tokens: u64) -> u64 {
        self.next_request += 1;
        let number = self.next_request;
        self.adapters.insert(number, adapter.into());
        self.crash_table.record_parts(number, &self.prompt_parts);
        let request = GatewayRequest {
            number,
            attempt: format_smolstr!("{number:x}"),
            host: "host".into(),
            path: "/chat/x".into(),
            key: Some(team_key()),
            model: Some(ModelName {
                model: "base".into(),
                adapter: Some(adapter.into()),
            }),
            tokens: Some((tokens, 0)),
            prompt_parts: self.prompt_parts.clone(),
            deadline: Some(Duration::from_secs(5)),
            content_hash: number,
        };
        let incarnation = self.nodes[index].incarnation;
        self.handle(index, incarnation, GatewayEvent::RequestArrived(request));
        number
    }

    /// Number of processes that an instance has had, including the current one.
    pub(crate) fn incarnation(&self, index: usize) -> u64 {
        self.nodes[index].incarnation
    }

    pub(crate) fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Names of the members that an instance considers alive.
    pub(crate) fn members_of(&self, index: usize) -> BTreeSet<SmolStr> {
        self.reducer(index)
            .members(self.local_time(index))
            .iter()
            .map(|record| record.name.clone())
            .collect()
    }
}

fn engine_address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 9, 0, index as u8), 80))
}

fn engine_index(id: &str) -> usize {
    id.trim_start_matches("s-").parse().unwrap_or(0)
}
