//! A plain HTTP service that counts the calls it runs.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use eyre::Result;
use hyper::{Method, StatusCode};
use poem::Response;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::engine::LoadReport;

use crate::http;

/// Configuration of a simulated service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceOptions {
    pub(crate) name: SmolStr,
}

/// Faults to inject, set through `POST /admin/faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ServiceFaults {
    /// Delay before a call runs, in milliseconds.
    delay_ms: u64,
    /// Number of calls that run and then get a truncated response.
    drop_answers: u64,
    /// Responses have no length and end with their connection.
    ends_by_connection: bool,
}

/// Counters, read by tests through `GET /admin/stats`.
#[derive(Clone, Debug, Default, Serialize)]
struct ServiceStats {
    /// Runs by method and path.
    runs: BTreeMap<SmolStr, u64>,
    /// Runs by idempotency key.
    keyed_runs: BTreeMap<SmolStr, u64>,
    /// Requests that contained a caller's API key.
    keys_seen: u64,
}

#[derive(Serialize)]
struct ServiceResponse<'a> {
    service: &'a str,
    call: &'a str,
    run: u64,
}

struct ServiceState {
    options: ServiceOptions,
    epoch: u64,
    running: AtomicU32,
    stats: Mutex<ServiceStats>,
    faults: Mutex<ServiceFaults>,
}

/// Starts the service and returns its address.
pub(crate) async fn start(listen: SocketAddr, options: ServiceOptions) -> Result<SocketAddr> {
    let state = Arc::new(ServiceState {
        options,
        epoch: rand::random(),
        running: AtomicU32::new(0),
        stats: Mutex::new(ServiceStats::default()),
        faults: Mutex::new(ServiceFaults::default()),
    });
    let endpoint = poem::endpoint::make(move |request| {
        let state = state.clone();
        async move { state.handle(request).await }
    });
    http::serve(listen, endpoint).await
}

impl ServiceState {
    async fn handle(&self, mut request: poem::Request) -> Response {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/admin/stats") => {
                http::json(StatusCode::OK, &*self.stats.lock().unwrap())
            }
            (&Method::GET, "/admin/report") => http::json(StatusCode::OK, &self.report()),
            (&Method::POST, "/admin/faults") => match http::read_json(&mut request).await {
                Some(faults) => {
                    *self.faults.lock().unwrap() = faults;
                    http::empty(StatusCode::NO_CONTENT)
                }
                None => http::empty(StatusCode::BAD_REQUEST),
            },
            _ => self.run(request, &path).await,
        }
    }

    fn report(&self) -> LoadReport {
        LoadReport {
            epoch: self.epoch,
            age_ms: 0,
            running: self.running.load(Ordering::Acquire),
            fence: 0,
            slots: Vec::new(),
        }
    }

    async fn run(&self, mut request: poem::Request, path: &str) -> Response {
        let delay = self.faults.lock().unwrap().delay_ms;
        self.running.fetch_add(1, Ordering::AcqRel);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        let call = format_smolstr!("{} {path}", request.method());
        let run = {
            let mut stats = self.stats.lock().unwrap();
            if crate::engine::contains_api_key(request.headers(), &body) {
                stats.keys_seen += 1;
            }
            if let Some(key) = request.header("idempotency-key") {
                *stats.keyed_runs.entry(key.into()).or_default() += 1;
            }
            let runs = stats.runs.entry(call.clone()).or_default();
            *runs += 1;
            *runs
        };
        self.running.fetch_sub(1, Ordering::AcqRel);
        let (drops_response, ends_by_connection) = {
            let mut faults = self.faults.lock().unwrap();
            let drops_response = faults.drop_answers > 0;
            faults.drop_answers = faults.drop_answers.saturating_sub(1);
            (drops_response, faults.ends_by_connection)
        };
        if drops_response {
            return http::truncated();
        }
        let response = ServiceResponse {
            service: &self.options.name,
            call: &call,
            run,
        };
        let response = http::json(StatusCode::OK, &response);
        if ends_by_connection {
            http::without_length(response)
        } else {
            response
        }
    }
}
