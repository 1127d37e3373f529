//! The task that owns the reducer: feeds it events and carries out its effects.

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
    engines::EngineLink,
    peers::PeerLink,
    telemetry::{self, MetricSet},
};

/// Events that may wait for the reducer.
const EVENT_QUEUE: usize = 16_384;
/// Commands that may wait for one request.
const COMMAND_QUEUE: usize = 8;
/// How often a shutdown looks whether requests are left.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// What the reducer wants of one request's driver.
#[derive(Debug)]
pub(crate) enum RequestCommand {
    /// Send the request to a server.
    Dispatch(DispatchOrder),
    /// Refuse the request.
    Refuse(RequestRefusal),
    /// Stop sending or answering.
    Abort,
}

/// A request that the core has numbered.
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

/// What other tasks may read without asking the core.
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
    pub(crate) life: u64,
}

impl CoreHandle {
    /// Tells the reducer about an event.
    pub(crate) async fn tell(&self, event: Event) {
        if self.inputs.send(CoreInput::Event(event)).await.is_err() {
            tracing::debug!("event after the end of the core");
        }
    }

    /// Numbers a caller's request and hands it to the reducer.
    pub(crate) async fn open(&self, request: CallerRequest) -> Option<OpenRequest> {
        let (sender, receiver) = oneshot::channel();
        self.inputs
            .send(CoreInput::Open(request, sender))
            .await
            .ok()?;
        receiver.await.ok()
    }

    /// Reads something from the reducer.
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

    /// Takes the instance out of the addresses.
    pub(crate) async fn shut_down(&self) {
        self.shared.leaving.store(true, Ordering::Release);
        self.tell(Event::ShutdownRequested).await;
    }

    /// Waits until no request is in progress.
    pub(crate) async fn drained(&self) {
        while self.shared.open_requests.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
    }
}

struct Core {
    reducer: Reducer,
    started: Instant,
    requests: HashMap<RequestNumber, mpsc::Sender<RequestCommand>>,
    next_request: RequestNumber,
    wake: Option<ClockTime>,
    peers: PeerLink,
    engines: EngineLink,
    shared: Arc<SharedState>,
    metrics: MetricSet,
}

/// Starts the core of an instance.
pub(crate) fn start(settings: &InstanceSettings, metrics: MetricSet) -> CoreHandle {
    let (inputs, receiver) = mpsc::channel(EVENT_QUEUE);
    let shared = Arc::new(SharedState::default());
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let life = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let handle = CoreHandle {
        inputs,
        shared: shared.clone(),
        life,
    };
    let client = HttpClient::pooled();
    let core = Core {
        reducer: Reducer::new(ReducerSettings {
            fleet: settings.fleet.clone(),
            instance: settings.instance.clone(),
            incarnation: life,
            seed: rand::random(),
            seed_peers: settings.first_peers.clone(),
        }),
        started: Instant::now(),
        requests: HashMap::new(),
        next_request: 1,
        wake: Some(ClockTime::ZERO),
        peers: PeerLink::new(settings, handle.clone(), client.clone(), metrics.clone()),
        engines: EngineLink::new(handle.clone(), client),
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
            let wake = self.wake;
            let sleep = async {
                match wake {
                    Some(wake) => {
                        let start = self.started + Duration::from_micros(wake.as_micros());
                        tokio::time::sleep_until(start.into()).await;
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
            self.take(input, &mut effects);
            for effect in effects.drain(..) {
                self.perform(effect);
            }
            self.publish();
        }
    }

    fn take(&mut self, input: CoreInput, effects: &mut Vec<Effect>) {
        let now = self.now();
        match input {
            CoreInput::Event(event) => {
                if event == Event::Tick {
                    self.wake = None;
                }
                if let Event::ResponseFinished { request, .. }
                | Event::CallerDisconnected(request) = event
                {
                    self.requests.remove(&request);
                }
                self.reducer.reduce(now, event, effects);
            }
            CoreInput::Open(mut request, reply) => {
                let number = self.next_request;
                self.next_request += 1;
                request.number = number;
                let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
                if reply.send(OpenRequest { number, commands }).is_err() {
                    return;
                }
                self.requests.insert(number, sender);
                self.reducer
                    .reduce(now, Event::RequestArrived(request), effects);
            }
            CoreInput::Query(query) => query(&self.reducer),
        }
    }

    fn command(&mut self, request: RequestNumber, command: RequestCommand) {
        let Some(sender) = self.requests.get(&request) else {
            return;
        };
        if sender.try_send(command).is_err() {
            tracing::debug!(request, "command for a request that has ended");
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch(order) => {
                self.command(order.request, RequestCommand::Dispatch(order));
            }
            Effect::Refuse(refusal) => {
                let request = refusal.request;
                self.command(request, RequestCommand::Refuse(refusal));
                self.requests.remove(&request);
            }
            Effect::Abort(request) => self.command(request, RequestCommand::Abort),
            Effect::SendToPeer {
                to,
                address,
                message,
            } => self.peers.send(&to, address, message),
            Effect::OrderEngine {
                order,
                address,
                adapter,
            } => self.engines.order(order, address, adapter),
            Effect::PollLoad { server, address } => {
                self.engines.poll(server, address, self.now());
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
            Effect::WakeAt(time) => self.wake = Some(time),
        }
    }

    fn publish(&self) {
        let sequence = self.reducer.config_log().sequence();
        self.shared
            .config_sequence
            .store(sequence, Ordering::Release);
        self.metrics.set_config(self.reducer.config().version);
    }
}
