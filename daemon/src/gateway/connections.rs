//! Pooled HTTP/1 connections to servers and peers.

use std::{
    collections::HashMap,
    hash::Hash,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::{net::TcpStream, task::AbortHandle};
use wasabistall_lib::gateway::exchange::ExchangeTimeouts;

use super::head_limit::{HeadAllowance, HeadLimitStream};
use crate::client::FullResponse;

/// Largest head, and largest piece of a body that is read at once, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is reused, unless the server announces a shorter keep-alive time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from the server's keep-alive time, so that no connection is used while the server
/// closes it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionError {
    /// The connection was refused or reset immediately; nothing was sent.
    Refused,
    /// The connection attempt timed out; nothing was sent.
    Unreachable,
    /// The connection broke after data was sent.
    Broken,
    /// The response timed out.
    Silent,
    /// The response exceeds the size limit.
    TooLong,
}

/// Why no response head arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendError {
    /// The connection was closed before anything was sent on it.
    NotSent,
    /// The connection broke; the request may have reached the server.
    Broken,
}

/// A connection that carries one request at a time.
pub(super) struct ServerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    head_allowance: HeadAllowance,
    local_port: u16,
}

impl ServerConnection {
    /// Connects to an address. Fails with `Refused` or `Unreachable`.
    pub(super) async fn connect(address: SocketAddr) -> Result<ServerConnection, ConnectionError> {
        ServerConnection::connect_with(address, None).await
    }

    /// Connects to an address. With a `delivery_timeout`, what has not been delivered is lost when the
    /// connection is closed, or after that time even while the process does not run.
    async fn connect_with(
        address: SocketAddr,
        delivery_timeout: Option<Duration>,
    ) -> Result<ServerConnection, ConnectionError> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(ConnectionError::Refused),
            Err(_) => return Err(ConnectionError::Unreachable),
        };
        if stream.set_nodelay(true).is_err() {
            return Err(ConnectionError::Refused);
        }
        if let Some(timeout) = delivery_timeout {
            // Otherwise the operating system would go on delivering what was written after the
            // connection is closed, also after a long outage of the link.
            let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
            set_tcp_user_timeout(&stream, millis).map_err(|_| ConnectionError::Refused)?;
            stream
                .set_zero_linger()
                .map_err(|_| ConnectionError::Refused)?;
        }
        let local_port = stream.local_addr().map_or(0, |address| address.port());
        let stream = HeadLimitStream::new(stream);
        let head_allowance = stream.allowance();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectionError::Refused)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "server connection failed");
            }
        });
        Ok(ServerConnection {
            sender,
            task: task.abort_handle(),
            head_allowance,
            local_port,
        })
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_allowance.expect_head();
        let sent = self.sender.try_send_request(request).await;
        self.head_allowance.allow_body();
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Broken,
        })
    }

    /// Closes the connection, even with a request in progress.
    pub(super) fn close(self) {
        drop(self);
    }
}

impl Drop for ServerConnection {
    // An attempt is cancelled by dropping its future, which must end the request at the server.
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    connection: ServerConnection,
    idle_since: Instant,
    idle_timeout: Duration,
}

/// Idle connections by destination.
pub(super) struct ConnectionPool<K> {
    idle: Mutex<HashMap<K, Vec<IdleConnection>>>,
    max_per_key: usize,
    delivery_timeout: Option<Duration>,
}

impl<K: Hash + Eq + Clone> ConnectionPool<K> {
    pub(super) fn new(max_per_key: usize) -> ConnectionPool<K> {
        ConnectionPool {
            idle: Mutex::new(HashMap::new()),
            max_per_key,
            delivery_timeout: None,
        }
    }

    /// Makes connections lose what has not been delivered when they are closed, or after `timeout`.
    pub(super) fn with_delivery_timeout(mut self, timeout: Duration) -> ConnectionPool<K> {
        self.delivery_timeout = Some(timeout);
        self
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used connection to `key` if it has been idle for less than `max_idle`.
    pub(super) fn take(&self, key: &K, max_idle: Duration) -> Option<ServerConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(key)?;
        while let Some(candidate) = connections.pop() {
            let age = candidate.idle_since.elapsed();
            let is_usable = age < candidate.idle_timeout
                && candidate.connection.sender.is_ready()
                && !candidate.connection.sender.is_closed();
            if !is_usable {
                candidate.connection.close();
                continue;
            }
            if age < max_idle {
                return Some(candidate.connection);
            }
            // The other connections have been idle for longer.
            connections.push(candidate);
            return None;
        }
        None
    }

    /// Returns a connection to the pool, once the response on it has been read completely.
    pub(super) fn put(&self, key: &K, connection: ServerConnection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            connection.close();
            return;
        }
        let idle_timeout = keep_alive.map_or(IDLE_TIMEOUT, |time| {
            IDLE_TIMEOUT.min(time.saturating_sub(IDLE_MARGIN))
        });
        let mut idle = self.lock();
        let connections = idle.entry(key.clone()).or_default();
        if connections.len() >= self.max_per_key {
            connections.remove(0).connection.close();
        }
        connections.push(IdleConnection {
            connection,
            idle_since: Instant::now(),
            idle_timeout,
        });
    }

    /// Closes all idle connections to `key`.
    pub(super) fn remove(&self, key: &K) {
        for idle in self.lock().remove(key).unwrap_or_default() {
            idle.connection.close();
        }
    }
}

/// Limits on one exchange of a request and its response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExchangeLimits {
    /// Time limits, from sending the request on.
    pub(super) timeouts: ExchangeTimeouts,
    /// Largest response body, in bytes.
    pub(super) max_response_bytes: usize,
}

/// An exchange without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExchangeFailure {
    /// Why it failed.
    pub(super) error: ConnectionError,
    /// Bytes of the response body that had been received by then.
    pub(super) received_bytes: usize,
    /// Local port of the connection, if there was one; 0 if it is unknown.
    pub(super) local_port: Option<u16>,
}

/// Reads a response body and counts its bytes in `received_bytes`.
async fn read_response(
    response: Response<Incoming>,
    limits: ExchangeLimits,
    received_bytes: &mut usize,
) -> Result<FullResponse, ConnectionError> {
    let (head, mut body) = response.into_parts();
    let mut collected = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(limits.timeouts.stall, body.frame())
            .await
            .map_err(|_| ConnectionError::Silent)?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| ConnectionError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        *received_bytes += data.len();
        if *received_bytes > limits.max_response_bytes {
            return Err(ConnectionError::TooLong);
        }
        collected.extend_from_slice(&data);
    }
    Ok(FullResponse {
        status: head.status,
        headers: head.headers,
        body: collected.freeze(),
    })
}

/// Sends a request on a pooled connection and reads the complete response.
///
/// `limits` do not cover the time to connect.
pub(super) async fn call<K: Hash + Eq + Clone>(
    pool: &ConnectionPool<K>,
    key: &K,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limits: ExchangeLimits,
) -> Result<FullResponse, ExchangeFailure> {
    let mut received_bytes = 0;
    let connected = match pool.take(key, IDLE_TIMEOUT) {
        Some(connection) => Ok(connection),
        None => ServerConnection::connect_with(address, pool.delivery_timeout).await,
    };
    let mut connection = connected.map_err(|error| ExchangeFailure {
        error,
        received_bytes,
        local_port: None,
    })?;
    let exchange = async {
        let head = tokio::time::timeout(limits.timeouts.stall, connection.send(request)).await;
        let response = head
            .map_err(|_| ConnectionError::Silent)?
            .map_err(|error| match error {
                SendError::NotSent => ConnectionError::Refused,
                SendError::Broken => ConnectionError::Broken,
            })?;
        read_response(response, limits, &mut received_bytes).await
    };
    let error = match tokio::time::timeout(limits.timeouts.total, exchange).await {
        Ok(Ok(response)) => {
            pool.put(key, connection, None);
            return Ok(response);
        }
        Ok(Err(error)) => error,
        Err(_) => ConnectionError::Silent,
    };
    let local_port = Some(connection.local_port);
    connection.close();
    Err(ExchangeFailure {
        error,
        received_bytes,
        local_port,
    })
}
