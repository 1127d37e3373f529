//! Owns the reducer: feeds it events and carries out its effects.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::sync::{Notify, mpsc, watch};
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        GatewayOptions, GatewayReducer, GatewayStats,
        event::{
            GatewayEffect, GatewayEvent, GatewayRefusal, GatewayRequest, RequestNumber,
            ServerDispatch,
        },
        message::{PeerAnswer, PeerCall},
    },
    operator::UsageView,
    settings::GatewaySettings,
};

use super::{
    clock::BootClock, links::LinkPool, logs, metrics::GatewayMetrics, orders, peers, store,
};

/// Connections that may be idle with one server.
const SERVER_IDLE_LINKS: usize = 16;
/// Connections that may be idle with one peer.
const PEER_IDLE_LINKS: usize = 4;
/// Records in one answer about usage.
const USAGE_RECORDS: usize = 1_000;
/// Instances to expect in a data centre while the members are not known yet.
const EXPECTED_PER_DATA_CENTRE: usize = 2;
/// The clock is looked at this often when nothing else is due.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// What the reducer wants of one request's driver.
#[derive(Debug)]
pub(super) enum RequestCommand {
    /// Send the request to a server.
    Dispatch(ServerDispatch),
    /// End the request.
    Refuse(GatewayRefusal),
}

/// Commands for one request.
pub(super) type CommandReceiver = mpsc::UnboundedReceiver<RequestCommand>;

struct CoreState {
    reducer: GatewayReducer,
    requests: HashMap<RequestNumber, mpsc::UnboundedSender<RequestCommand>>,
    next_request: RequestNumber,
    next_peer_call: u64,
    peer_answers: HashMap<u64, PeerAnswer>,
    wake: Option<ClockTime>,
    spare_effects: Vec<GatewayEffect>,
}

/// Shared by all tasks of the process.
pub(crate) struct GatewayCore {
    state: Mutex<CoreState>,
    clock: BootClock,
    wake_changed: Notify,
    closing: watch::Sender<bool>,
    instance: smol_str::SmolStr,
    life: u64,
    store_address: SocketAddr,
    pub(super) servers: LinkPool<smol_str::SmolStr>,
    pub(super) peers: LinkPool<SocketAddr>,
    pub(super) metrics: GatewayMetrics,
}

impl GatewayCore {
    /// Starts the reducer and its timers.
    pub(super) fn start(settings: &GatewaySettings, metrics: GatewayMetrics) -> Arc<GatewayCore> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let life = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let reducer = GatewayReducer::new(GatewayOptions {
            instance: settings.instance.clone(),
            incarnation: life,
            seed: rand::random(),
            data_centre: settings.data_centre.clone(),
            caller_address: settings.listen.callers,
            peer_address: settings.listen.peers,
            seed_peers: settings.first_peers.clone(),
            min_instances: settings.data_centres.len() * EXPECTED_PER_DATA_CENTRE,
            first_start: settings.first_start,
            grace_period: settings.grace,
            bounds: settings.bounds,
        });
        let core = Arc::new(GatewayCore {
            state: Mutex::new(CoreState {
                reducer,
                requests: HashMap::new(),
                next_request: 1,
                next_peer_call: 1,
                peer_answers: HashMap::new(),
                wake: Some(ClockTime::ZERO),
                spare_effects: Vec::new(),
            }),
            clock: BootClock::new(),
            wake_changed: Notify::new(),
            closing: watch::channel(false).0,
            instance: settings.instance.clone(),
            life,
            store_address: settings.store,
            servers: LinkPool::new(SERVER_IDLE_LINKS),
            peers: LinkPool::new(PEER_IDLE_LINKS),
            metrics,
        });
        tokio::spawn(core.clone().run_timers());
        core
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the reducer about an event.
    pub(super) fn tell(self: &Arc<GatewayCore>, event: GatewayEvent) {
        let mut state = self.lock();
        self.reduce(&mut state, event);
    }

    fn reduce(self: &Arc<GatewayCore>, state: &mut CoreState, event: GatewayEvent) {
        let now = self.clock.now();
        if event == GatewayEvent::Tick {
            state.wake = None;
        }
        if let GatewayEvent::CallerDisconnected(request) = event {
            state.requests.remove(&request);
        }
        let mut effects = std::mem::take(&mut state.spare_effects);
        state.reducer.reduce(now, event, &mut effects);
        for effect in effects.drain(..) {
            self.perform(state, effect);
        }
        state.spare_effects = effects;
    }

    /// Numbers a caller's request and hands it to the reducer.
    pub(super) fn open(
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

    /// Forgets the commands of a request that has ended.
    pub(super) fn forget(&self, request: RequestNumber) {
        self.lock().requests.remove(&request);
    }

    /// Answers a peer's call.
    pub(super) fn answer_peer(self: &Arc<GatewayCore>, message: PeerCall) -> Option<PeerAnswer> {
        let mut state = self.lock();
        let call = state.next_peer_call;
        state.next_peer_call += 1;
        self.reduce(&mut state, GatewayEvent::PeerCalled { call, message });
        state.peer_answers.remove(&call)
    }

    fn command(state: &CoreState, request: RequestNumber, command: RequestCommand) {
        // A driver that has ended needs no command.
        if let Some(sender) = state.requests.get(&request) {
            let _ = sender.send(command);
        }
    }

    fn perform(self: &Arc<GatewayCore>, state: &mut CoreState, effect: GatewayEffect) {
        match effect {
            GatewayEffect::Dispatch(dispatch) => {
                Self::command(state, dispatch.request, RequestCommand::Dispatch(dispatch));
            }
            GatewayEffect::Refuse(refusal) => {
                Self::command(state, refusal.request, RequestCommand::Refuse(refusal));
            }
            GatewayEffect::CallPeer {
                call,
                peer,
                message,
            } => {
                tokio::spawn(peers::call(self.clone(), call, peer, message));
            }
            GatewayEffect::AnswerPeer { call, answer } => {
                state.peer_answers.insert(call, answer);
            }
            GatewayEffect::ReadStore(read) => {
                tokio::spawn(store::read(self.clone(), self.store_address, read));
            }
            GatewayEffect::ReadReport {
                server,
                id,
                address,
            } => {
                tokio::spawn(orders::read_report(self.clone(), server, id, address));
            }
            GatewayEffect::Order {
                server,
                id,
                address,
                order,
            } => {
                tokio::spawn(orders::send_order(self.clone(), server, id, address, order));
            }
            GatewayEffect::CloseConnections(id) => self.servers.forget(&id),
            GatewayEffect::Log(note) => logs::write(&note),
            GatewayEffect::WakeAt(time) => {
                state.wake = Some(time);
                self.wake_changed.notify_one();
            }
        }
    }

    async fn run_timers(self: Arc<GatewayCore>) {
        loop {
            let wake = self.lock().wake;
            let now = self.clock.now();
            let delay = wake.map_or(LONGEST_SLEEP, |wake| wake.since(now).min(LONGEST_SLEEP));
            if !delay.is_zero() {
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = self.wake_changed.notified() => {}
                }
            }
            if wake.is_some_and(|wake| wake <= self.clock.now()) {
                self.tell(GatewayEvent::Tick);
            }
        }
    }

    /// Takes the instance out of the addresses.
    pub(super) fn shut_down(self: &Arc<GatewayCore>) {
        self.tell(GatewayEvent::ShutdownRequested);
    }

    /// Has callers' connections closed as soon as they are idle.
    pub(super) fn close_idle_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Changes to true when callers' connections are to be closed.
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

    pub(super) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.lock().reducer.caller_addresses(self.clock.now())
    }

    /// Longest headers, longest body and idle time of callers, once known.
    pub(super) fn caller_bounds(&self) -> Option<wasabistall_lib::gateway::catalog::CallerBounds> {
        self.lock()
            .reducer
            .config()
            .map(|config| config.bounds.clone())
    }

    pub(super) fn instance(&self) -> &str {
        &self.instance
    }

    pub(super) fn life(&self) -> u64 {
        self.life
    }

    /// What this process has counted, as JSON.
    pub(super) fn usage(&self) -> Vec<u8> {
        let state = self.lock();
        let usage = state.reducer.usage();
        let view = UsageView::from_meter(self.instance.clone(), self.life, usage, 0, USAGE_RECORDS);
        // Names and numbers always serialize.
        serde_json::to_vec(&view).unwrap_or_default()
    }

    /// Counters of the reducer.
    pub(super) fn stats(&self) -> GatewayStats {
        self.lock().reducer.stats()
    }

    /// Version of the configuration in force; 0 while there is none.
    pub(super) fn config_version(&self) -> u64 {
        self.lock().reducer.config_version()
    }
}
