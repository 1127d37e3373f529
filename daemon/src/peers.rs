//! Exchange of envelopes with other instances.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, header::HeaderValue};
use poem::{Endpoint, EndpointExt, Response, Route, Server, listener::TcpAcceptor};
use smol_str::SmolStr;
use tokio::{net::TcpListener, sync::mpsc};
use wasabistall_lib::{
    envelope::{self, PEER_PATH, SIGNATURE_HEADER},
    event::Event,
    message::{MAX_ENVELOPE_BYTES, PEER_PROTOCOL, PeerEnvelope, PeerMessage},
    settings::InstanceSettings,
};

use crate::{
    client::{CallLimits, HttpClient},
    core::CoreHandle,
    telemetry::MetricSet,
};

/// Messages queued for one peer; more are dropped and requested again later.
const PEER_QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of messages in one envelope.
const MAX_ENVELOPE_MESSAGES: usize = 256;
/// How long messages that are not urgent wait for others to the same peer.
const BATCH_WINDOW: Duration = Duration::from_millis(20);
/// Limits on a call to a peer; one that does not respond within the timeout counts as unreachable.
const PEER_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(1),
    max_response_bytes: 1_024,
};

/// Sends messages to other instances, with one task per peer.
pub(crate) struct PeerClient {
    settings: Arc<InstanceSettings>,
    core: CoreHandle,
    client: HttpClient,
    metrics: MetricSet,
    queues: HashMap<SmolStr, mpsc::Sender<PeerMessage>>,
}

impl PeerClient {
    pub(crate) fn new(
        settings: &InstanceSettings,
        core: CoreHandle,
        client: HttpClient,
        metrics: MetricSet,
    ) -> PeerClient {
        PeerClient {
            settings: Arc::new(settings.clone()),
            core,
            client,
            metrics,
            queues: HashMap::new(),
        }
    }

    /// Queues a message. Messages to one peer are sent in order.
    pub(crate) fn send(&mut self, peer: &SmolStr, address: SocketAddr, message: PeerMessage) {
        if !self.queues.contains_key(peer) {
            let (queue, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
            let sender = PeerSender {
                settings: self.settings.clone(),
                core: self.core.clone(),
                client: self.client.clone(),
                metrics: self.metrics.clone(),
                peer: peer.clone(),
                address,
            };
            tokio::spawn(sender.run(receiver));
            self.queues.insert(peer.clone(), queue);
        }
        if let Some(queue) = self.queues.get(peer)
            && queue.try_send(message).is_err()
        {
            tracing::debug!(peer = %peer, "message dropped: the queue is full");
        }
    }
}

struct PeerSender {
    settings: Arc<InstanceSettings>,
    core: CoreHandle,
    client: HttpClient,
    metrics: MetricSet,
    peer: SmolStr,
    address: SocketAddr,
}

impl PeerSender {
    async fn run(self, mut queue: mpsc::Receiver<PeerMessage>) {
        let mut messages = Vec::new();
        while queue.recv_many(&mut messages, MAX_ENVELOPE_MESSAGES).await > 0 {
            collect_batch(&mut queue, &mut messages).await;
            let batch = std::mem::take(&mut messages);
            if !self.send_envelope(batch).await {
                self.core
                    .send_event(Event::EnvelopeUndelivered(self.peer.clone()))
                    .await;
            }
        }
    }

    async fn send_envelope(&self, messages: Vec<PeerMessage>) -> bool {
        let shared = &self.core.shared;
        let envelope = PeerEnvelope {
            protocol: PEER_PROTOCOL,
            fleet: self.settings.fleet.clone(),
            from: self.settings.instance.clone(),
            incarnation: self.core.incarnation,
            config_sequence: shared.config_sequence.load(Ordering::Acquire),
            leaving: shared.leaving.load(Ordering::Acquire),
            messages,
        };
        let Some(signed) = envelope::encode(&envelope, &self.settings.peer_secrets) else {
            tracing::error!(peer = %self.peer, "cannot encode an envelope");
            return false;
        };
        let Ok(signature) = HeaderValue::from_str(&signed.signature) else {
            return false;
        };
        let mut headers = HeaderMap::new();
        headers.insert(SIGNATURE_HEADER, signature);
        self.metrics.count_envelope_sent(signed.body.len());
        let body = Bytes::from(signed.body);
        let call = self.client.call(
            Method::POST,
            self.address,
            PEER_PATH,
            &headers,
            body,
            PEER_LIMITS,
        );
        match call.await {
            Ok(response) if response.status == StatusCode::NO_CONTENT => true,
            Ok(response) => {
                tracing::warn!(peer = %self.peer, status = %response.status, "peer refused an envelope");
                false
            }
            Err(error) => {
                tracing::debug!(peer = %self.peer, fault = ?error, "peer is unreachable");
                false
            }
        }
    }
}

/// Adds messages until the envelope is full, a message is urgent or [`BATCH_WINDOW`] is over.
async fn collect_batch(queue: &mut mpsc::Receiver<PeerMessage>, messages: &mut Vec<PeerMessage>) {
    let deadline = tokio::time::Instant::now() + BATCH_WINDOW;
    while messages.len() < MAX_ENVELOPE_MESSAGES && !messages.iter().any(PeerMessage::is_urgent) {
        match tokio::time::timeout_at(deadline, queue.recv()).await {
            Ok(Some(message)) => messages.push(message),
            Ok(None) | Err(_) => return,
        }
    }
}

/// Serves peers' envelopes until the task is aborted.
pub(crate) fn serve(
    listener: TcpListener,
    settings: &InstanceSettings,
    core: &CoreHandle,
    metrics: &MetricSet,
) -> impl Future<Output = ()> + Send + use<> {
    let receiver = Arc::new(PeerReceiver {
        settings: settings.clone(),
        core: core.clone(),
        metrics: metrics.clone(),
    });
    let endpoint = poem::endpoint::make(move |request| {
        let receiver = receiver.clone();
        async move { receiver.handle(request).await }
    });
    run_server(listener, Route::new().at(PEER_PATH, endpoint.boxed()))
}

/// Runs an HTTP server on a listener until the task is aborted.
pub(crate) async fn run_server(listener: TcpListener, endpoint: impl Endpoint + 'static) {
    let acceptor = match TcpAcceptor::from_tokio(listener) {
        Ok(acceptor) => acceptor,
        Err(error) => {
            tracing::error!(%error, "cannot start the server");
            return;
        }
    };
    if let Err(error) = Server::new_with_acceptor(acceptor).run(endpoint).await {
        tracing::error!(%error, "server failed");
    }
}

struct PeerReceiver {
    settings: InstanceSettings,
    core: CoreHandle,
    metrics: MetricSet,
}

impl PeerReceiver {
    async fn handle(&self, mut request: poem::Request) -> Response {
        let signature = request
            .header(SIGNATURE_HEADER)
            .unwrap_or_default()
            .to_owned();
        let body = request.take_body().into_bytes_limit(MAX_ENVELOPE_BYTES);
        let body = match tokio::time::timeout(PEER_LIMITS.timeout, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return self.refuse(envelope::EnvelopeError::TooLong),
            Err(_) => return self.refuse(envelope::EnvelopeError::Malformed),
        };
        let result = envelope::decode(
            &body,
            &signature,
            &self.settings.peer_secrets,
            &self.settings.fleet,
        );
        match result {
            Ok(envelope) => {
                self.core
                    .send_event(Event::EnvelopeReceived(envelope))
                    .await;
                Response::builder().status(StatusCode::NO_CONTENT).finish()
            }
            Err(error) => self.refuse(error),
        }
    }

    fn refuse(&self, error: envelope::EnvelopeError) -> Response {
        self.metrics.count_envelope_refused(error.name());
        tracing::warn!(fault = error.name(), "refused an envelope");
        let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
        Response::builder().status(status).finish()
    }
}
