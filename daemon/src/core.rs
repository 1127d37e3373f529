//! Core task of an instance: owns the reducer, feeds it events and executes its effects.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use tokio::sync::{mpsc, oneshot};
use wasabistall_lib::{
    clock::ClockTime,
    event::{CallerRequest, DispatchOrder, Effect, Event, RequestNumber, RequestRefusal},
    reducer::{Reducer, ReducerSettings},
    settings::InstanceSettings,
};

use crate::{
    client::HttpClient,
    engines::EngineClient,
    peers::PeerClient,
    telemetry::{self, MetricSet},
};

/// Capacity of the queue of events for the reducer.
const EVENT_QUEUE_CAPACITY: usize = 16_384;
/// Capacity of the command queue of one request.
const COMMAND_QUEUE_CAPACITY: usize = 8;
/// How often a shutdown checks whether requests are still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A command from the reducer to the driver of one request.
#[derive(Debug)]
pub(crate) enum RequestCommand {
    /// Send the request to a backend server.
    Dispatch(DispatchOrder),
    /// Refuse the request.
    Refuse(RequestRefusal),
    /// Abort the current attempt.
    Abort,
}

/// A request that is registered with the core.
pub(crate) struct OpenRequest {
    pub(crate) number: RequestNumber,
    pub(crate) commands: mpsc::Receiver<RequestCommand>,
}

type ReducerQuery = Box<dyn FnOnce(&Reducer) + Send>;

enum CoreInput {
    Event(Event),
    Open(CallerRequest, oneshot::Sender<OpenRequest>),
    Query(ReducerQuery),
}

/// State that other tasks read without a query to the core.
#[derive(Default)]
pub(crate) struct SharedState {
    pub(crate) config_sequence: AtomicU64,
    pub(crate) leaving: AtomicBool,
    pub(crate) open_requests: AtomicU64,
}

/// Sends events and queries to the core.
#[derive(Clone)]
pub(crate) struct CoreHandle {
    inputs: mpsc::Sender<CoreInput>,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) incarnation: u64,
}

impl CoreHandle {
    /// Queues an event for the reducer; waits while the queue is full.
    pub(crate) async fn send_event(&self, event: Event) {
        if self.inputs.send(CoreInput::Event(event)).await.is_err() {
            tracing::debug!("event dropped: the core has stopped");
        }
    }

    /// Assigns a number to a caller's request and passes it to the reducer.
    ///
    /// Returns `None` when the core has stopped.
    pub(crate) async fn open_request(&self, request: CallerRequest) -> Option<OpenRequest> {
        let (sender, receiver) = oneshot::channel();
        self.inputs
            .send(CoreInput::Open(request, sender))
            .await
            .ok()?;
        receiver.await.ok()
    }

    /// Runs `read` on the reducer and returns its result, or `None` when the core has stopped.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Reducer) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let query: ReducerQuery = Box::new(move |reducer| {
            let _ = sender.send(read(reducer));
        });
        self.inputs.send(CoreInput::Query(query)).await.ok()?;
        receiver.await.ok()
    }

    /// Starts the shutdown, after which the instance is no longer listed among the addresses.
    pub(crate) async fn shut_down(&self) {
        self.shared.leaving.store(true, Ordering::Release);
        self.send_event(Event::ShutdownRequested).await;
    }

    /// Waits until no request is in progress.
    pub(crate) async fn drained(&self) {
        while self.shared.open_requests.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

struct Core {
    reducer: Reducer,
    started: Instant,
    requests: HashMap<RequestNumber, mpsc::Sender<RequestCommand>>,
    next_request: RequestNumber,
    wake_at: Option<ClockTime>,
    peers: PeerClient,
    engines: EngineClient,
    shared: Arc<SharedState>,
    metrics: MetricSet,
}

/// Spawns the core task of an instance.
pub(crate) fn start(settings: &InstanceSettings, metrics: MetricSet) -> CoreHandle {
    let (inputs, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let shared = Arc::new(SharedState::default());
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let handle = CoreHandle {
        inputs,
        shared: shared.clone(),
        incarnation,
    };
    let client = HttpClient::pooled();
    let core = Core {
        reducer: Reducer::new(ReducerSettings {
            fleet: settings.fleet.clone(),
            instance: settings.instance.clone(),
            incarnation,
            seed: rand::random(),
            seed_peers: settings.first_peers.clone(),
        }),
        started: Instant::now(),
        requests: HashMap::new(),
        next_request: 1,
        wake_at: Some(ClockTime::ZERO),
        peers: PeerClient::new(settings, handle.clone(), client.clone(), metrics.clone()),
        engines: EngineClient::new(handle.clone(), client),
        shared,
        metrics,
    };
    tokio::spawn(core.run(receiver));
    handle
}

impl Core {
    fn now(&self) -> ClockTime {
        let micros = self.started.elapsed().as_micros();
        ClockTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    async fn run(mut self, mut inputs: mpsc::Receiver<CoreInput>) {
        let mut effects = Vec::new();
        loop {
            let wake_at = self.wake_at;
            let sleep = async {
                match wake_at {
                    Some(wake_at) => {
                        let deadline = self.started + Duration::from_micros(wake_at.as_micros());
                        tokio::time::sleep_until(deadline.into()).await;
                    }
                    None => std::future::pending().await,
                }
            };
            let input = tokio::select! {
                biased;
                input = inputs.recv() => input,
                () = sleep => Some(CoreInput::Event(Event::Tick)),
            };
            let Some(input) = input else { return };
            self.handle_input(input, &mut effects);
            for effect in effects.drain(..) {
                self.execute(effect);
            }
            self.update_shared_state();
        }
    }

    fn handle_input(&mut self, input: CoreInput, effects: &mut Vec<Effect>) {
        let now = self.now();
        match input {
            CoreInput::Event(event) => {
                if event == Event::Tick {
                    self.wake_at = None;
                }
                if let Event::ResponseFinished { request, .. }
                | Event::CallerDisconnected(request) = event
                {
                    self.requests.remove(&request);
                }
                self.reducer.reduce(now, event, effects);
            }
            CoreInput::Open(mut request, response_sender) => {
                let number = self.next_request;
                self.next_request += 1;
                request.number = number;
                let (sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
                if response_sender
                    .send(OpenRequest { number, commands })
                    .is_err()
                {
                    return;
                }
                self.requests.insert(number, sender);
                self.reducer
                    .reduce(now, Event::RequestArrived(request), effects);
            }
            CoreInput::Query(query) => query(&self.reducer),
        }
    }

    fn send_command(&mut self, request: RequestNumber, command: RequestCommand) {
        let Some(sender) = self.requests.get(&request) else {
            return;
        };
        if sender.try_send(command).is_err() {
            tracing::debug!(request, "command dropped: the request has ended");
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch(order) => {
                self.send_command(order.request, RequestCommand::Dispatch(order));
            }
            Effect::Refuse(refusal) => {
                let request = refusal.request;
                self.send_command(request, RequestCommand::Refuse(refusal));
                self.requests.remove(&request);
            }
            Effect::Abort(request) => self.send_command(request, RequestCommand::Abort),
            Effect::SendToPeer {
                to,
                address,
                message,
            } => self.peers.send(&to, address, message),
            Effect::OrderEngine {
                order,
                address,
                adapter,
            } => self.engines.send_order(order, address, adapter),
            Effect::PollLoad { server, address } => {
                self.engines.poll_load(server, address, self.now());
            }
            Effect::LogApplied {
                sequence,
                version,
                fault,
            } => match fault {
                None => tracing::info!(sequence, version, "configuration patch accepted"),
                Some(fault) => {
                    tracing::warn!(sequence, version, %fault, "configuration patch rejected");
                }
            },
            Effect::TraceGrant {
                trace,
                pool,
                server,
                waited,
            } => telemetry::trace_grant(&trace, &pool, &server, waited),
            Effect::WakeAt(time) => self.wake_at = Some(time),
        }
    }

    fn update_shared_state(&self) {
        let sequence = self.reducer.config_log().sequence();
        self.shared
            .config_sequence
            .store(sequence, Ordering::Release);
        self.metrics
            .set_config_version(self.reducer.config().version);
    }
}
