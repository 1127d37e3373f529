//! Owns the reducer, feeds it events and executes its effects.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::sync::{Notify, mpsc, oneshot, watch};
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        GatewayOptions, GatewayReducer, GatewayStats,
        availability::ServerNotice,
        event::{
            GatewayEffect, GatewayEvent, GatewayRefusal, GatewayRequest, RequestNumber,
            ServerDispatch,
        },
        message::{PeerAnswer, PeerCall},
        revision::StoreRevision,
        route_explain::{ExplainError, RouteExplanation, RouteQuestion},
        server_scheduler::PRIORITY_COUNT,
        servers::GatewayServerKey,
    },
    operator::UsageView,
    settings::GatewaySettings,
};

use super::{
    clock::BootClock,
    connections::ConnectionPool,
    held::BodyBudget,
    logs,
    metrics::GatewayMetrics,
    orders::{self, ServerProcess},
    peers, store,
};

/// Maximum number of idle connections to one server.
const MAX_SERVER_IDLE_CONNECTIONS: usize = 16;
/// Maximum number of idle connections for orders and reports of one server.
const MAX_ORDER_IDLE_CONNECTIONS: usize = 2;
/// Maximum number of idle connections to one peer.
const MAX_PEER_IDLE_CONNECTIONS: usize = 4;
/// Number of usage records in one response.
const USAGE_PAGE_RECORDS: usize = 1_000;
/// Instances assumed in each data centre until the members are known.
const EXPECTED_INSTANCES_PER_DATA_CENTRE: usize = 2;
/// Longest sleep between checks of the boot clock.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// A command from the reducer to the driver of one request.
#[derive(Debug)]
pub(super) enum RequestCommand {
    /// Send the request to a backend server.
    Dispatch(ServerDispatch),
    /// Refuse the request, or end its response.
    Refuse(GatewayRefusal),
}

/// Receives the commands for one request.
pub(super) type CommandReceiver = mpsc::UnboundedReceiver<RequestCommand>;

struct CoreState {
    reducer: GatewayReducer,
    requests: HashMap<RequestNumber, mpsc::UnboundedSender<RequestCommand>>,
    next_request: RequestNumber,
    next_peer_call: u64,
    /// Peers' calls that the reducer has not answered yet.
    peer_calls: HashMap<u64, oneshot::Sender<PeerAnswer>>,
    wake_at: Option<ClockTime>,
    effect_buffer: Vec<GatewayEffect>,
}

/// State of the gateway, shared by all tasks of the process.
pub(crate) struct GatewayCore {
    state: Mutex<CoreState>,
    clock: BootClock,
    wake_changed: Notify,
    closing: watch::Sender<bool>,
    instance: smol_str::SmolStr,
    incarnation: u64,
    store_address: SocketAddr,
    /// Era in the store's last answer.
    store_era: AtomicU64,
    pub(super) servers: ConnectionPool<smol_str::SmolStr>,
    /// Connections for orders and reports of model servers.
    pub(super) orders: ConnectionPool<smol_str::SmolStr>,
    pub(super) peers: ConnectionPool<SocketAddr>,
    pub(super) metrics: GatewayMetrics,
    /// Memory for bodies of requests and responses.
    pub(super) bodies: BodyBudget,
}

impl GatewayCore {
    /// Creates the reducer and spawns its timer task.
    pub(super) fn start(settings: &GatewaySettings, metrics: GatewayMetrics) -> Arc<GatewayCore> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let reducer = GatewayReducer::new(GatewayOptions {
            instance: settings.instance.clone(),
            incarnation,
            seed: rand::random(),
            data_centre: settings.data_centre.clone(),
            caller_address: settings.listen.callers,
            peer_address: settings.listen.peers,
            seed_peers: settings.first_peers.clone(),
            min_instances: settings.data_centres.len() * EXPECTED_INSTANCES_PER_DATA_CENTRE,
            first_start: settings.first_start,
            grace_period: settings.grace,
            bounds: settings.bounds,
            pause_bounds: settings.pause_bounds,
            queue_hold: settings.queue_hold,
        });
        let core = Arc::new(GatewayCore {
            state: Mutex::new(CoreState {
                reducer,
                requests: HashMap::new(),
                next_request: 1,
                next_peer_call: 1,
                peer_calls: HashMap::new(),
                wake_at: Some(ClockTime::ZERO),
                effect_buffer: Vec::new(),
            }),
            clock: BootClock::new(),
            wake_changed: Notify::new(),
            closing: watch::channel(false).0,
            instance: settings.instance.clone(),
            incarnation,
            store_address: settings.store,
            store_era: AtomicU64::new(0),
            servers: ConnectionPool::new(MAX_SERVER_IDLE_CONNECTIONS),
            orders: ConnectionPool::new(MAX_ORDER_IDLE_CONNECTIONS)
                .with_delivery_timeout(orders::CALL_TIMEOUT),
            peers: ConnectionPool::new(MAX_PEER_IDLE_CONNECTIONS),
            metrics,
            bodies: BodyBudget::new(settings.body_memory),
        });
        tokio::spawn(core.clone().run_timers());
        core
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the reducer and executes the effects.
    pub(super) fn handle_event(self: &Arc<GatewayCore>, event: GatewayEvent) {
        let mut state = self.lock();
        self.reduce(&mut state, event);
    }

    /// Passes on what a server said about itself in an answer, if anything.
    pub(super) fn report_notice(
        self: &Arc<GatewayCore>,
        server: GatewayServerKey,
        started: u64,
        notice: ServerNotice,
    ) {
        if notice != ServerNotice::default() {
            self.handle_event(GatewayEvent::ServerNoticed {
                server,
                started,
                notice,
            });
        }
    }

    fn reduce(self: &Arc<GatewayCore>, state: &mut CoreState, event: GatewayEvent) {
        let now = self.clock.now();
        if event == GatewayEvent::Tick {
            state.wake_at = None;
        }
        if let GatewayEvent::CallerDisconnected(request) = event {
            state.requests.remove(&request);
        }
        let mut effects = std::mem::take(&mut state.effect_buffer);
        state.reducer.reduce(now, event, &mut effects);
        for effect in effects.drain(..) {
            self.execute(state, effect);
        }
        state.effect_buffer = effects;
    }

    /// Assigns a number to a caller's request and passes it to the reducer.
    pub(super) fn open_request(
        self: &Arc<GatewayCore>,
        mut request: GatewayRequest,
    ) -> (RequestNumber, CommandReceiver) {
        let mut state = self.lock();
        let number = state.next_request;
        state.next_request += 1;
        request.number = number;
        let (sender, receiver) = mpsc::unbounded_channel();
        state.requests.insert(number, sender);
        self.reduce(&mut state, GatewayEvent::RequestArrived(request));
        (number, receiver)
    }

    /// Drops the command channel of a request that has ended.
    pub(super) fn remove_request(&self, request: RequestNumber) {
        self.lock().requests.remove(&request);
    }

    /// Handles a peer's call. The reducer may answer it later.
    pub(super) fn handle_peer_call(
        self: &Arc<GatewayCore>,
        message: PeerCall,
    ) -> oneshot::Receiver<PeerAnswer> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let call = state.next_peer_call;
        state.next_peer_call += 1;
        state.peer_calls.insert(call, sender);
        self.reduce(&mut state, GatewayEvent::PeerCalled { call, message });
        receiver
    }

    fn send_command(state: &CoreState, request: RequestNumber, command: RequestCommand) {
        // The driver may have ended already.
        if let Some(sender) = state.requests.get(&request) {
            let _ = sender.send(command);
        }
    }

    fn execute(self: &Arc<GatewayCore>, state: &mut CoreState, effect: GatewayEffect) {
        match effect {
            GatewayEffect::Dispatch(dispatch) => {
                self.metrics.record_stages(&dispatch.stages);
                Self::send_command(state, dispatch.request, RequestCommand::Dispatch(dispatch));
            }
            GatewayEffect::Refuse(refusal) => {
                self.metrics.record_stages(&refusal.stages);
                Self::send_command(state, refusal.request, RequestCommand::Refuse(refusal));
            }
            GatewayEffect::CallPeer {
                call,
                peer,
                message,
            } => {
                tokio::spawn(peers::call_peer(self.clone(), call, peer, message));
            }
            GatewayEffect::AnswerPeer { call, answer } => {
                // The peer may have given up the call already.
                if let Some(sender) = state.peer_calls.remove(&call) {
                    let _ = sender.send(answer);
                }
            }
            GatewayEffect::ReadStore(read) => {
                tokio::spawn(store::read_store(self.clone(), self.store_address, read));
            }
            GatewayEffect::ReadReport {
                server,
                id,
                started,
                address,
            } => {
                let process = ServerProcess {
                    server,
                    id,
                    started,
                    address,
                };
                tokio::spawn(orders::read_report(self.clone(), process));
            }
            GatewayEffect::CheckServer { server, address } => {
                tokio::spawn(orders::check_server(self.clone(), server, address));
            }
            GatewayEffect::Order {
                server,
                id,
                started,
                address,
                order,
            } => {
                let process = ServerProcess {
                    server,
                    id,
                    started,
                    address,
                };
                tokio::spawn(orders::send_order(self.clone(), process, order));
            }
            GatewayEffect::CloseConnections(id) => {
                self.servers.remove(&id);
                self.orders.remove(&id);
            }
            GatewayEffect::Log(event) => logs::write_event(&event),
            GatewayEffect::WakeAt(time) => {
                state.wake_at = Some(time);
                self.wake_changed.notify_one();
            }
        }
    }

    async fn run_timers(self: Arc<GatewayCore>) {
        loop {
            let wake_at = self.lock().wake_at;
            let now = self.clock.now();
            let delay = wake_at.map_or(MAX_SLEEP, |wake_at| wake_at.since(now).min(MAX_SLEEP));
            if !delay.is_zero() {
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = self.wake_changed.notified() => {}
                }
            }
            if wake_at.is_some_and(|wake_at| wake_at <= self.clock.now()) {
                self.handle_event(GatewayEvent::Tick);
            }
        }
    }

    /// Starts the shutdown, after which the instance is no longer listed among the addresses.
    pub(super) fn shut_down(self: &Arc<GatewayCore>) {
        self.handle_event(GatewayEvent::ShutdownRequested);
    }

    /// Ends the requests that are still in progress.
    pub(super) fn end_requests(self: &Arc<GatewayCore>) {
        self.handle_event(GatewayEvent::ShutdownExpired);
    }

    /// Accepts no more connections of callers, and closes the open ones as soon as they are idle.
    pub(super) fn close_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Becomes true when callers' connections are to be closed.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.lock().reducer.is_leaving()
    }

    pub(super) fn is_ready(&self) -> bool {
        self.lock().reducer.is_ready()
    }

    pub(super) fn open_requests(&self) -> usize {
        self.lock().requests.len()
    }

    /// Addresses for a caller in the given data centre.
    pub(super) fn caller_addresses(&self, data_centre: Option<&str>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.lock().reducer.caller_addresses(now, data_centre)
    }

    /// Checks what the head of a request decides; returns how long the request may take.
    pub(super) fn check_head(
        &self,
        host: &str,
        path: &str,
        key: Option<&wasabistall_lib::key::KeyDigest>,
    ) -> Result<Duration, wasabistall_lib::error::ErrorKind> {
        self.lock().reducer.check_head(host, path, key)
    }

    /// Limits on callers' requests; `None` until a configuration is known.
    pub(super) fn caller_bounds(&self) -> Option<wasabistall_lib::gateway::catalog::CallerBounds> {
        self.lock()
            .reducer
            .config()
            .map(|config| config.bounds.clone())
    }

    pub(super) fn instance(&self) -> &str {
        &self.instance
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Usage counted by this process, as JSON.
    pub(super) fn usage(&self) -> Vec<u8> {
        let state = self.lock();
        let usage = state.reducer.usage();
        let view = UsageView::from_meter(
            self.instance.clone(),
            self.incarnation,
            usage,
            0,
            USAGE_PAGE_RECORDS,
        );
        // Names and numbers always serialize.
        serde_json::to_vec(&view).unwrap_or_default()
    }

    /// Explains where a request would be routed now.
    pub(super) fn explain_route(
        &self,
        question: &RouteQuestion,
    ) -> Result<RouteExplanation, ExplainError> {
        let now = self.clock.now();
        self.lock().reducer.explain_route(now, question)
    }

    /// Counters of the reducer.
    pub(super) fn stats(&self) -> GatewayStats {
        self.lock().reducer.stats()
    }

    /// Records the era that the store stated in an answer, and logs a change.
    pub(super) fn record_store_era(&self, era: u64, status: hyper::StatusCode) {
        let known = self.store_era.swap(era, Ordering::Relaxed);
        if known != era {
            tracing::info!(
                event = "store_era",
                era,
                known,
                status = status.as_u16(),
                catalog = %self.catalog_revision(),
            );
        }
    }

    /// Era in the store's last answer; 0 if it stated none.
    pub(super) fn store_era(&self) -> u64 {
        self.store_era.load(Ordering::Relaxed)
    }

    /// Revision up to which the replica of the catalog is complete.
    pub(super) fn catalog_revision(&self) -> StoreRevision {
        self.lock().reducer.catalog_revision()
    }

    /// Version of the configuration in force; 0 while there is none.
    /// Number of requests in the queues of this instance's schedulers, by priority.
    pub(super) fn queued_grants(&self) -> [usize; PRIORITY_COUNT] {
        self.lock().reducer.queued_grants()
    }

    pub(super) fn config_version(&self) -> u64 {
        self.lock().reducer.config_version()
    }
}
