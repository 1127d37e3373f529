//! A configuration service: an append-only log that operators write and instances watch.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::Result;
use hyper::{Method, StatusCode};
use poem::Response;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use wasabistall_lib::config::LogEntry;

use crate::http;

/// Maximum length of a published entry, in bytes.
const MAX_ENTRY_BYTES: usize = 1024 * 1024;
/// Maximum text in one page, in bytes; a longer entry gets a page of its own.
const MAX_PAGE_BYTES: usize = 1024 * 1024;
/// Longest time that a watch request may wait for new entries.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Faults to inject, set through `POST /admin/faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ConfigurationFaults {
    /// Responds to all log requests with 503.
    down: bool,
    /// Hides entries after this sequence number.
    stale_at: Option<u64>,
}

/// Counters, read by tests through `GET /admin/stats`.
#[derive(Clone, Copy, Debug, Serialize)]
struct ConfigurationStats {
    calls: u64,
    entries: usize,
}

#[derive(Serialize)]
struct LogPage {
    entries: Vec<LogEntry>,
}

#[derive(Serialize)]
struct PublishResponse {
    sequence: u64,
}

struct ConfigurationState {
    entries: Mutex<Vec<LogEntry>>,
    newest: watch::Sender<u64>,
    calls: AtomicU64,
    faults: Mutex<ConfigurationFaults>,
}

/// Starts the configuration service and returns its address.
pub(crate) async fn start(listen: SocketAddr) -> Result<SocketAddr> {
    let state = Arc::new(ConfigurationState {
        entries: Mutex::new(Vec::new()),
        newest: watch::Sender::new(0),
        calls: AtomicU64::new(0),
        faults: Mutex::new(ConfigurationFaults::default()),
    });
    let endpoint = poem::endpoint::make(move |request| {
        let state = state.clone();
        async move { state.handle(request).await }
    });
    http::serve(listen, endpoint).await
}

impl ConfigurationState {
    async fn handle(&self, mut request: poem::Request) -> Response {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/admin/stats") => http::json(
                StatusCode::OK,
                &ConfigurationStats {
                    calls: self.calls.load(Ordering::Acquire),
                    entries: self.entries.lock().unwrap().len(),
                },
            ),
            (&Method::POST, "/admin/faults") => match http::read_json(&mut request).await {
                Some(faults) => {
                    *self.faults.lock().unwrap() = faults;
                    http::empty(StatusCode::NO_CONTENT)
                }
                None => http::empty(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, "/v1/log") => self.watch(&request).await,
            (&Method::POST, "/v1/log") => self.publish(request).await,
            _ => http::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn publish(&self, mut request: poem::Request) -> Response {
        if self.faults.lock().unwrap().down {
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let body = request.take_body().into_bytes_limit(MAX_ENTRY_BYTES).await;
        let Ok(body) = body else {
            return http::empty(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(text) = String::from_utf8(body.to_vec()) else {
            return http::empty(StatusCode::BAD_REQUEST);
        };
        let sequence = {
            let mut entries = self.entries.lock().unwrap();
            let sequence = entries.len() as u64 + 1;
            entries.push(LogEntry {
                sequence,
                text: text.into(),
            });
            sequence
        };
        self.newest.send_replace(sequence);
        http::json(StatusCode::OK, &PublishResponse { sequence })
    }

    /// Returns the entries after `after`, waiting up to `wait_ms` for the first one.
    async fn watch(&self, request: &poem::Request) -> Response {
        self.calls.fetch_add(1, Ordering::AcqRel);
        let after = http::query_number(request, "after").unwrap_or(0);
        let wait = http::query_number(request, "wait_ms").unwrap_or(0);
        let wait = Duration::from_millis(wait).min(MAX_WAIT);
        let mut newest = self.newest.subscribe();
        let new_entry = newest.wait_for(|newest| *newest > after);
        let _ = tokio::time::timeout(wait, new_entry).await;
        let faults = *self.faults.lock().unwrap();
        if faults.down {
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let last = faults.stale_at.unwrap_or(u64::MAX);
        http::json(
            StatusCode::OK,
            &LogPage {
                entries: self.page(after, last),
            },
        )
    }

    /// Copies one page of entries between `after` (exclusive) and `last` (inclusive).
    fn page(&self, after: u64, last: u64) -> Vec<LogEntry> {
        let entries = self.entries.lock().unwrap();
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        let mut page = Vec::new();
        let mut bytes = 0;
        for entry in entries.iter().skip(skip) {
            bytes += entry.text.len();
            if entry.sequence > last || (bytes > MAX_PAGE_BYTES && !page.is_empty()) {
                break;
            }
            page.push(entry.clone());
        }
        page
    }
}
