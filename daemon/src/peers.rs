//! Envelopes to and from other instances.

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

/// Messages that may wait for one peer; more are dropped and asked for again.
const PEER_QUEUE: usize = 4_096;
/// Messages in one envelope at most.
const ENVELOPE_MESSAGES: usize = 256;
/// Messages that nobody waits for are kept this long for others to the same peer.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// A peer that does not answer within this time counts as unreachable.
const PEER_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(1),
    answer_bytes: 1_024,
};

/// Sends messages to other instances, one task a peer.
pub(crate) struct PeerLink {
    settings: Arc<InstanceSettings>,
    core: CoreHandle,
    client: HttpClient,
    metrics: MetricSet,
    queues: HashMap<SmolStr, mpsc::Sender<PeerMessage>>,
}

impl PeerLink {
    pub(crate) fn new(
        settings: &InstanceSettings,
        core: CoreHandle,
        client: HttpClient,
        metrics: MetricSet,
    ) -> PeerLink {
        PeerLink {
            settings: Arc::new(settings.clone()),
            core,
            client,
            metrics,
            queues: HashMap::new(),
        }
    }

    /// Queues a message. Messages to one peer keep their order.
    pub(crate) fn send(&mut self, to: &SmolStr, address: SocketAddr, message: PeerMessage) {
        if !self.queues.contains_key(to) {
            let (queue, receiver) = mpsc::channel(PEER_QUEUE);
            let sender = PeerSender {
                settings: self.settings.clone(),
                core: self.core.clone(),
                client: self.client.clone(),
                metrics: self.metrics.clone(),
                to: to.clone(),
                address,
            };
            tokio::spawn(sender.run(receiver));
            self.queues.insert(to.clone(), queue);
        }
        if let Some(queue) = self.queues.get(to)
            && queue.try_send(message).is_err()
        {
            tracing::debug!(peer = %to, "message queue is full");
        }
    }
}

struct PeerSender {
    settings: Arc<InstanceSettings>,
    core: CoreHandle,
    client: HttpClient,
    metrics: MetricSet,
    to: SmolStr,
    address: SocketAddr,
}

impl PeerSender {
    async fn run(self, mut queue: mpsc::Receiver<PeerMessage>) {
        let mut messages = Vec::new();
        while queue.recv_many(&mut messages, ENVELOPE_MESSAGES).await > 0 {
            gather(&mut queue, &mut messages).await;
            let batch = std::mem::take(&mut messages);
            if !self.deliver(batch).await {
                self.core
                    .tell(Event::EnvelopeUndelivered(self.to.clone()))
                    .await;
            }
        }
    }

    async fn deliver(&self, messages: Vec<PeerMessage>) -> bool {
        let shared = &self.core.shared;
        let envelope = PeerEnvelope {
            protocol: PEER_PROTOCOL,
            fleet: self.settings.fleet.clone(),
            from: self.settings.instance.clone(),
            incarnation: self.core.life,
            config_sequence: shared.config_sequence.load(Ordering::Acquire),
            leaving: shared.leaving.load(Ordering::Acquire),
            messages,
        };
        let Some(signed) = envelope::encode(&envelope, &self.settings.peer_secrets) else {
            tracing::error!(peer = %self.to, "cannot encode an envelope");
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
            Ok(answer) if answer.status == StatusCode::NO_CONTENT => true,
            Ok(answer) => {
                tracing::warn!(peer = %self.to, status = %answer.status, "peer refused an envelope");
                false
            }
            Err(fault) => {
                tracing::debug!(peer = %self.to, ?fault, "peer is unreachable");
                false
            }
        }
    }
}

/// Waits a little for more messages, unless somebody waits for one of them.
async fn gather(queue: &mut mpsc::Receiver<PeerMessage>, messages: &mut Vec<PeerMessage>) {
    let deadline = tokio::time::Instant::now() + GATHER_TIME;
    while messages.len() < ENVELOPE_MESSAGES && !messages.iter().any(PeerMessage::is_urgent) {
        match tokio::time::timeout_at(deadline, queue.recv()).await {
            Ok(Some(message)) => messages.push(message),
            Ok(None) | Err(_) => return,
        }
    }
}

/// Serves envelopes of other instances.
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
        async move { receiver.receive(request).await }
    });
    run_server(listener, Route::new().at(PEER_PATH, endpoint.boxed()))
}

/// Runs an HTTP server on a listener until the task is aborted.
pub(crate) async fn run_server(listener: TcpListener, endpoint: impl Endpoint + 'static) {
    let acceptor = match TcpAcceptor::from_tokio(listener) {
        Ok(acceptor) => acceptor,
        Err(error) => {
            tracing::error!(%error, "cannot serve");
            return;
        }
    };
    if let Err(error) = Server::new_with_acceptor(acceptor).run(endpoint).await {
        tracing::error!(%error, "server ended");
    }
}

struct PeerReceiver {
    settings: InstanceSettings,
    core: CoreHandle,
    metrics: MetricSet,
}

impl PeerReceiver {
    async fn receive(&self, mut request: poem::Request) -> Response {
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
        let opened = envelope::decode(
            &body,
            &signature,
            &self.settings.peer_secrets,
            &self.settings.fleet,
        );
        match opened {
            Ok(envelope) => {
                self.core.tell(Event::EnvelopeReceived(envelope)).await;
                Response::builder().status(StatusCode::NO_CONTENT).finish()
            }
            Err(fault) => self.refuse(fault),
        }
    }

    fn refuse(&self, fault: envelope::EnvelopeError) -> Response {
        self.metrics.count_envelope_refused(fault.name());
        tracing::warn!(fault = fault.name(), "refused an envelope");
        let status = StatusCode::from_u16(fault.status()).unwrap_or(StatusCode::BAD_REQUEST);
        Response::builder().status(status).finish()
    }
}
