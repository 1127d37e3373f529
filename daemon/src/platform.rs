//! Watches the platform's configuration log and its list of instances.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use serde::Deserialize;
use serde_json::value::RawValue;
use wasabistall_lib::{
    config::LogEntry, event::Event, member::InstanceListing, settings::InstanceSettings,
};

use crate::{
    client::{CallLimits, HttpClient},
    core::CoreHandle,
};

/// How long the configuration service may hold a watch until there is a new entry.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Limits on a watch; the timeout exceeds [`WATCH_WAIT`].
const WATCH_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(25),
    max_response_bytes: 8 * 1024 * 1024,
};
const LIST_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(2),
    max_response_bytes: 1024 * 1024,
};
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// First delay after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Response of the configuration service to a watch.
#[derive(Deserialize)]
struct LogPage {
    entries: Vec<LogEntry>,
}

/// Spawns the tasks that watch the configuration log and the list of instances.
pub(crate) fn start(settings: &InstanceSettings, core: &CoreHandle) {
    let client = HttpClient::pooled();
    let platform = &settings.platform;
    tokio::spawn(watch_log(
        client.clone(),
        platform.configuration,
        core.clone(),
    ));
    tokio::spawn(poll_instances(client, platform.instances, core.clone()));
}

/// Exponential backoff: the delay doubles with each failure; jitter shortens it by up to half.
struct RetryBackoff {
    delay: Duration,
}

impl RetryBackoff {
    fn new() -> RetryBackoff {
        RetryBackoff { delay: MIN_BACKOFF }
    }

    async fn wait(&mut self) {
        let jitter: f64 = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.delay.mul_f64(jitter)).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}

async fn watch_log(client: HttpClient, address: SocketAddr, core: CoreHandle) {
    let mut backoff = RetryBackoff::new();
    let mut reachable = true;
    loop {
        let after = core.shared.config_sequence.load(Ordering::Acquire);
        match read_log(&client, address, after).await {
            Some(entries) => {
                backoff = RetryBackoff::new();
                if !reachable {
                    tracing::info!("the configuration service is reachable again");
                }
                reachable = true;
                let is_stale = entries.last().is_some_and(|last| last.sequence <= after);
                if is_stale {
                    tracing::debug!(after, "the configuration service returned old entries");
                    backoff.wait().await;
                }
                if !entries.is_empty() {
                    core.send_event(Event::LogRead(entries)).await;
                    // Wait until the reducer has applied the entries; the next watch starts there.
                    core.query(|_| ()).await;
                }
            }
            None => {
                if reachable {
                    tracing::warn!("the configuration service is unreachable");
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
    let response = call.await.ok()?;
    if !response.status.is_success() {
        return None;
    }
    let page: LogPage = serde_json::from_slice(&response.body).ok()?;
    Some(page.entries)
}

async fn poll_instances(client: HttpClient, address: SocketAddr, core: CoreHandle) {
    loop {
        if let Some(listings) = fetch_instances(&client, address).await {
            core.send_event(Event::InstancesListed(listings)).await;
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

async fn fetch_instances(client: &HttpClient, address: SocketAddr) -> Option<Vec<InstanceListing>> {
    let headers = HeaderMap::new();
    let call = client.call(
        Method::GET,
        address,
        "/v1/instances",
        &headers,
        Bytes::new(),
        LIST_LIMITS,
    );
    let response = call.await.ok()?;
    if !response.status.is_success() {
        return None;
    }
    decode_instances(&response.body)
}

/// Decodes the list of instances; an entry that cannot be decoded affects no other.
fn decode_instances(body: &[u8]) -> Option<Vec<InstanceListing>> {
    let entries: Vec<&RawValue> = match serde_json::from_slice(body) {
        Ok(entries) => entries,
        Err(error) => {
            tracing::warn!(%error, "cannot decode the list of instances");
            return None;
        }
    };
    let decode = |entry: &RawValue| match serde_json::from_str(entry.get()) {
        Ok(listing) => Some(listing),
        Err(error) => {
            tracing::warn!(%error, "cannot decode an entry of the list of instances");
            None
        }
    };
    Some(entries.into_iter().filter_map(decode).collect())
}
