//! Connections to servers and peers.

use std::{
    collections::HashMap,
    hash::Hash,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle};

use crate::client::{CallError, FullResponse, read_full_response};

/// A connection that does not come about within this time is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are used for this long, unless the server names a shorter time.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Distance kept from the time at which a server closes idle connections.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkFault {
    /// Nobody listens, or the connection was reset at once; nothing was sent.
    Refused,
    /// No connection came about in time; nothing was sent.
    Unreachable,
    /// The connection broke after something was sent.
    Broken,
    /// Nothing came in time.
    Silent,
    /// The answer is longer than allowed.
    TooLong,
}

/// Why a request got no head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendFault {
    /// The connection was closed before anything was sent on it.
    NotSent,
    /// The connection broke; the request may have arrived.
    Broken,
}

/// A connection that carries one request at a time.
pub(super) struct ServerLink {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl ServerLink {
    /// Connects to an address.
    pub(super) async fn connect(address: SocketAddr) -> Result<ServerLink, LinkFault> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(LinkFault::Refused),
            Err(_) => return Err(LinkFault::Unreachable),
        };
        if stream.set_nodelay(true).is_err() {
            return Err(LinkFault::Refused);
        }
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| LinkFault::Refused)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to a server ended");
            }
        });
        Ok(ServerLink {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFault> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => SendFault::NotSent,
                None => SendFault::Broken,
            })
    }

    /// Closes the connection, whatever it is doing.
    pub(super) fn close(self) {
        drop(self);
    }
}

impl Drop for ServerLink {
    // An attempt is given up by dropping its future, which must end the request at the server.
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleLink {
    link: ServerLink,
    since: Instant,
    usable: Duration,
}

/// Idle connections by whom they lead to.
pub(super) struct LinkPool<K> {
    idle: Mutex<HashMap<K, Vec<IdleLink>>>,
    most: usize,
}

impl<K: Hash + Eq + Clone> LinkPool<K> {
    pub(super) fn new(most: usize) -> LinkPool<K> {
        LinkPool {
            idle: Mutex::new(HashMap::new()),
            most,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, Vec<IdleLink>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection that was used within `newest`.
    pub(super) fn take(&self, key: &K, newest: Duration) -> Option<ServerLink> {
        let mut idle = self.lock();
        let links = idle.get_mut(key)?;
        while let Some(candidate) = links.pop() {
            let age = candidate.since.elapsed();
            let is_usable = age < candidate.usable
                && candidate.link.sender.is_ready()
                && !candidate.link.sender.is_closed();
            if !is_usable {
                candidate.link.close();
                continue;
            }
            if age < newest {
                return Some(candidate.link);
            }
            // The others have been idle for longer still.
            links.push(candidate);
            return None;
        }
        None
    }

    /// Keeps a connection whose answer was read whole.
    pub(super) fn put(&self, key: &K, link: ServerLink, keep_alive: Option<Duration>) {
        if link.sender.is_closed() {
            link.close();
            return;
        }
        let usable = keep_alive.map_or(IDLE_TIME, |time| {
            IDLE_TIME.min(time.saturating_sub(IDLE_MARGIN))
        });
        let mut idle = self.lock();
        let links = idle.entry(key.clone()).or_default();
        if links.len() >= self.most {
            links.remove(0).link.close();
        }
        links.push(IdleLink {
            link,
            since: Instant::now(),
            usable,
        });
    }

    /// Closes the idle connections to `key`.
    pub(super) fn forget(&self, key: &K) {
        for idle in self.lock().remove(key).unwrap_or_default() {
            idle.link.close();
        }
    }
}

/// Reads the body of an answer up to `limit` bytes.
pub(super) async fn read_answer(
    response: Response<Incoming>,
    limit: usize,
) -> Result<FullResponse, LinkFault> {
    read_full_response(response, limit)
        .await
        .map_err(|fault| match fault {
            CallError::TooLong => LinkFault::TooLong,
            CallError::NotConnected | CallError::Broken => LinkFault::Broken,
        })
}

/// Calls through a pool and reads the whole answer, within `timeout`.
pub(super) async fn call<K: Hash + Eq + Clone>(
    pool: &LinkPool<K>,
    key: &K,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    limit: usize,
) -> Result<FullResponse, LinkFault> {
    let mut link = match pool.take(key, IDLE_TIME) {
        Some(link) => link,
        None => ServerLink::connect(address).await?,
    };
    let exchange = async {
        let response = link.send(request).await.map_err(|fault| match fault {
            SendFault::NotSent => LinkFault::Refused,
            SendFault::Broken => LinkFault::Broken,
        })?;
        read_answer(response, limit).await
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(answer)) => {
            pool.put(key, link, None);
            Ok(answer)
        }
        Ok(Err(fault)) => {
            link.close();
            Err(fault)
        }
        Err(_) => {
            link.close();
            Err(LinkFault::Silent)
        }
    }
}
