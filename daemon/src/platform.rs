//! Follows what the platform publishes: the configuration log and the list of instances.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use serde::Deserialize;
use wasabistall_lib::{
    config::LogEntry, event::Event, member::InstanceListing, settings::InstanceSettings,
};

use crate::{
    client::{CallLimits, HttpClient},
    core::CoreHandle,
};

/// How long a watch waits at the service for a new entry.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// A watch without an answer for this long is given up.
const WATCH_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(25),
    answer_bytes: 8 * 1024 * 1024,
};
const LIST_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(2),
    answer_bytes: 1024 * 1024,
};
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// First delay after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Answer of the configuration service to a watch.
#[derive(Deserialize)]
struct LogPage {
    entries: Vec<LogEntry>,
}

/// Starts following the platform.
pub(crate) fn start(settings: &InstanceSettings, core: &CoreHandle) {
    let client = HttpClient::pooled();
    let platform = &settings.platform;
    tokio::spawn(follow_log(
        client.clone(),
        platform.configuration,
        core.clone(),
    ));
    tokio::spawn(follow_list(client, platform.instances, core.clone()));
}

/// Delays a retry: doubles with each failure, with full jitter.
struct RetryBackoff {
    next: Duration,
}

impl RetryBackoff {
    fn new() -> RetryBackoff {
        RetryBackoff { next: MIN_BACKOFF }
    }

    async fn wait(&mut self) {
        let jitter: f64 = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}

async fn follow_log(client: HttpClient, address: SocketAddr, core: CoreHandle) {
    let mut backoff = RetryBackoff::new();
    let mut reachable = true;
    loop {
        let after = core.shared.config_sequence.load(Ordering::Acquire);
        match read_log(&client, address, after).await {
            Some(entries) => {
                backoff = RetryBackoff::new();
                if !reachable {
                    tracing::info!("the configuration service answers again");
                }
                reachable = true;
                let behind = entries.last().is_some_and(|last| last.sequence <= after);
                if behind {
                    tracing::debug!(after, "the configuration service answers with old entries");
                    backoff.wait().await;
                }
                if !entries.is_empty() {
                    core.tell(Event::LogRead(entries)).await;
                    // The next watch starts after what the reducer has applied.
                    core.query(|_| ()).await;
                }
            }
            None => {
                if reachable {
                    tracing::warn!("the configuration service does not answer");
                }
                reachable = false;
                backoff.wait().await;
            }
        }
    }
}

async fn read_log(client: &HttpClient, address: SocketAddr, after: u64) -> Option<Vec<LogEntry>> {
    let wait = WATCH_WAIT.as_millis();
    let path = format!("/v1/log?after={after}&wait_ms={wait}");
    let headers = HeaderMap::new();
    let call = client.call(
        Method::GET,
        address,
        &path,
        &headers,
        Bytes::new(),
        WATCH_LIMITS,
    );
    let answer = call.await.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    let page: LogPage = serde_json::from_slice(&answer.body).ok()?;
    Some(page.entries)
}

async fn follow_list(client: HttpClient, address: SocketAddr, core: CoreHandle) {
    loop {
        if let Some(listings) = read_list(&client, address).await {
            core.tell(Event::InstancesListed(listings)).await;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

async fn read_list(client: &HttpClient, address: SocketAddr) -> Option<Vec<InstanceListing>> {
    let headers = HeaderMap::new();
    let call = client.call(
        Method::GET,
        address,
        "/v1/instances",
        &headers,
        Bytes::new(),
        LIST_LIMITS,
    );
    let answer = call.await.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}
